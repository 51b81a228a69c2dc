//! Checks invariants against the records of callers, targets and platform.

use std::collections::{HashMap, HashSet};

use crate::load_result::LoadResult;
use crate::platform::CallCounts;
use crate::target::Record;

/// Record of one target.
#[derive(Debug, Clone)]
pub struct TargetRecord {
    /// Service that the target belongs to.
    pub service: String,
    /// Name of the target.
    pub name: String,
    /// Frames and requests that the target has seen.
    pub record: Record,
}

/// Records of all targets and of the platform.
#[derive(Debug, Clone, Default)]
pub struct RunRecords {
    /// Record of each target.
    pub targets: Vec<TargetRecord>,
    /// Calls that the platform has counted.
    pub calls: CallCounts,
}

/// Violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// What violated the invariant.
    pub details: String,
}

impl Violation {
    /// Returns one violation, or none if the invariant holds.
    pub fn unless(
        holds: bool,
        invariant: &'static str,
        details: impl FnOnce() -> String,
    ) -> Vec<Violation> {
        match holds {
            true => Vec::new(),
            false => vec![Violation {
                invariant,
                details: details(),
            }],
        }
    }
}

/// Returns every violation that the records show.
pub fn check_invariants(result: &LoadResult, records: &RunRecords) -> Vec<Violation> {
    let mut violations = Vec::new();
    let wrong_service: u64 = sum_over_targets(records, |record| record.wrong_service);
    violations.extend(Violation::unless(wrong_service == 0, "isolation", || {
        format!("{wrong_service} frames reached a target of another name")
    }));
    let misrouted = result.misrouted_frames;
    violations.extend(Violation::unless(misrouted == 0, "flow-survives", || {
        format!("{misrouted} frames of flows came from another target")
    }));
    let broken: u64 = result
        .classes
        .values()
        .map(|class| class.total_flows_broken())
        .sum();
    violations.extend(Violation::unless(broken == 0, "flow-survives", || {
        format!("{broken} established flows broke")
    }));
    let wrong_answers = result.wrong_answers;
    violations.extend(Violation::unless(
        wrong_answers == 0,
        "whole-answer",
        || format!("{wrong_answers} answers were foreign or had wrong content"),
    ));
    violations.extend(check_runs(result, records));
    let refused = records.calls.refused;
    violations.extend(Violation::unless(refused == 0, "platform budget", || {
        format!("{refused} calls exceeded the budget")
    }));
    violations
}

fn sum_over_targets(records: &RunRecords, count: impl Fn(&Record) -> u64) -> u64 {
    records
        .targets
        .iter()
        .map(|target| count(&target.record))
        .sum()
}

fn check_runs(result: &LoadResult, records: &RunRecords) -> Vec<Violation> {
    let told_not_run: HashSet<u64> = result.told_not_run.iter().copied().collect();
    let mut runs: HashMap<u64, u32> = HashMap::new();
    for target in &records.targets {
        for run in target.record.runs.iter().filter(|run| !run.idempotent) {
            *runs.entry(run.request).or_default() += 1;
        }
    }
    let run_twice = runs.values().filter(|count| **count > 1).count();
    let contradicted = told_not_run
        .iter()
        .filter(|id| runs.contains_key(id))
        .count();
    let mut violations = Violation::unless(run_twice == 0, "at-most-once", || {
        format!("{run_twice} non-idempotent requests ran more than once")
    });
    violations.extend(Violation::unless(contradicted == 0, "not-run", || {
        format!("{contradicted} requests ran although their caller was told that they did not")
    }));
    violations
}
