//! The invariant checks of the demonstration report every kind of violation.

use standin::demo::{RunRecords, TargetRecord, check_invariants};
use standin::load_result::LoadResult;
use standin::target::{Record, RequestRun};

fn run(request: u64, idempotent: bool) -> RequestRun {
    RequestRun {
        request,
        class: "order".to_owned(),
        member: "member-1".to_owned(),
        idempotent,
    }
}

fn records(first: Record, second: Record) -> RunRecords {
    let target = |name: &str, record| TargetRecord {
        service: "trade".to_owned(),
        name: name.to_owned(),
        record,
    };
    RunRecords {
        targets: vec![target("t01", first), target("t02", second)],
        ..RunRecords::default()
    }
}

fn runs(runs: Vec<RequestRun>) -> Record {
    Record {
        runs,
        ..Record::default()
    }
}

fn violated_invariants(result: &LoadResult, records: &RunRecords) -> Vec<&'static str> {
    let violations = check_invariants(result, records);
    violations
        .iter()
        .map(|violation| violation.invariant)
        .collect()
}

fn broken_flow() -> LoadResult {
    let mut result = LoadResult::default();
    let class = result.class_mut("trade", "feed");
    class.flows_broken.insert("FlowLost".to_owned(), 1);
    result
}

/// Guards against a check that passes regardless of the records.
#[yare::parameterized(
    no_violation = {
        LoadResult::default(),
        runs(vec![run(1, false)]), runs(vec![run(2, false)]), &[]
    },
    run_twice = {
        LoadResult::default(),
        runs(vec![run(1, false)]), runs(vec![run(1, false)]), &["at-most-once"]
    },
    idempotent_twice = {
        LoadResult::default(),
        runs(vec![run(1, true)]), runs(vec![run(1, true)]), &[]
    },
    run_after_not_run_refusal = {
        LoadResult { told_not_run: vec![2], ..LoadResult::default() },
        runs(vec![run(1, false)]), runs(vec![run(2, false)]), &["not-run"]
    },
    wrong_target = {
        LoadResult::default(), Record { wrong_service: 1, ..Record::default() }, Record::default(),
        &["isolation"]
    },
    misrouted = {
        LoadResult { misrouted_frames: 1, ..LoadResult::default() },
        Record::default(), Record::default(), &["flow-survives"]
    },
    established_flow_broken = {
        broken_flow(), Record::default(), Record::default(), &["flow-survives"]
    },
    wrong_content = {
        LoadResult { wrong_answers: 1, ..LoadResult::default() },
        Record::default(), Record::default(), &["whole-answer"]
    },
)]
fn violations_are_reported(result: LoadResult, first: Record, second: Record, expected: &[&str]) {
    assert_eq!(
        violated_invariants(&result, &records(first, second)),
        expected
    );
}

/// Guards against counts that are lost when the results of several callers are merged.
#[test]
fn merged_results_add_up() {
    let mut total = broken_flow();
    let mut other = broken_flow();
    other.told_not_run.push(9);
    other.class_mut("trade", "order").latencies.push((2_000, 3));
    total.merge(other);
    assert_eq!(total.class_mut("trade", "feed").total_flows_broken(), 2);
    assert_eq!(total.told_not_run, [9]);
    let percentiles = total.class_mut("trade", "order").latency_percentiles();
    assert!(percentiles.is_ok_and(|at| (at.p99_ms - 2.0).abs() < 0.01));
}
