//! Prints the results of a run.

use std::collections::BTreeMap;

use super::invariants::{RunRecords, Violation};
use crate::Result;
use crate::load_result::{ClassResult, LoadResult};

pub(super) fn print_report(
    name: &str,
    result: &LoadResult,
    records: &RunRecords,
    violations: &[Violation],
) -> Result<()> {
    println!();
    println!(
        "{:<22}{:>8}{:>8}{:>8}{:>8}{:>7}{:>7}{:>9}{:>9}{:>9}",
        "service/class",
        "sent",
        "served",
        "refused",
        "unknown",
        "flows",
        "broken",
        "p50 ms",
        "p99 ms",
        "p99.9 ms"
    );
    for (class, counts) in &result.classes {
        print_class(class, counts)?;
    }
    print_codes("refused", result, |class| &class.refused);
    print_codes("broken flows", result, |class| &class.flows_broken);
    for (service, (peak, mean)) in summarize_runs_per_target(records) {
        println!(
            "{service}: runs per target, peak over mean {:.2}",
            peak / mean
        );
    }
    println!(
        "platform calls: {}, at most {} in one second",
        records.calls.total, records.calls.peak
    );
    for violation in violations {
        println!("BROKEN {}: {}", violation.invariant, violation.details);
    }
    if violations.is_empty() {
        println!("{name}: isolation, whole-answer, not-run, at-most-once and flow-survives held");
    }
    println!();
    Ok(())
}

fn print_class(name: &str, counts: &ClassResult) -> Result<()> {
    print!(
        "{name:<22}{:>8}{:>8}{:>8}{:>8}{:>7}{:>7}",
        counts.sent,
        counts.served,
        counts.total_refused(),
        counts.unknown,
        counts.flows_opened,
        counts.total_flows_broken()
    );
    if counts.served == 0 {
        println!("{:>9}{:>9}{:>9}", "-", "-", "-");
        return Ok(());
    }
    let latency = counts.latency_percentiles()?;
    println!(
        "{:>9.2}{:>9.2}{:>9.2}",
        latency.p50_ms, latency.p99_ms, latency.p999_ms
    );
    Ok(())
}

fn print_codes(
    label: &str,
    result: &LoadResult,
    codes: impl Fn(&ClassResult) -> &BTreeMap<String, u64>,
) {
    for (class, counts) in &result.classes {
        for (code, count) in codes(counts) {
            println!("{class}: {label} {code} {count}");
        }
    }
}

/// Returns the peak and the mean number of runs per target, for each service with any run.
fn summarize_runs_per_target(records: &RunRecords) -> BTreeMap<&str, (f64, f64)> {
    let mut runs: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for target in &records.targets {
        let count = target.record.runs.len() as f64;
        runs.entry(&target.service).or_default().push(count);
    }
    let summary = |counts: Vec<f64>| {
        let peak = counts.iter().copied().fold(0.0, f64::max);
        (peak, counts.iter().sum::<f64>() / counts.len() as f64)
    };
    let all = runs
        .into_iter()
        .map(|(service, counts)| (service, summary(counts)));
    all.filter(|(_, (peak, _))| *peak > 0.0).collect()
}
