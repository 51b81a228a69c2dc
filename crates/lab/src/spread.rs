//! Compares the methods of selecting targets for requests.

use std::io::Write;

use balance::request::{RequestSettings, SelectionMethod};
use hdrhistogram::Histogram;

use crate::fixture;
use crate::traffic::{self, Outcome, Scenario, Stream, TargetAnomaly};
use crate::{Error, Result};

const DURATION_S: u64 = 65;
/// Time at the start that is not measured.
const WARM_UP_S: u64 = 5;
const MEAN_RUN_MS: f64 = 50.0;
/// Mean time for which a slot stays occupied in addition to the run: two hops between failure
/// domains for three of four requests, two local hops for the others.
const SLOT_OVERHEAD_MS: f64 = 7.6;
const MEMBER_COUNT: usize = 20;

/// One workload for which the methods are compared.
struct Case {
    name: &'static str,
    load_permille: u32,
    anomalies: Vec<(&'static str, usize, TargetAnomaly)>,
    instance_weights: Vec<u32>,
}

/// Runs the experiment and writes its tables.
pub fn run(seed: u64, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "| case | method | peak over mean, 60 s | peak over mean, median of 10 s | wait p50 ms | \
         wait p99 ms | wait p99 worst/best member | idle slots while work waits | time with \
         waiting | refused by targets | refused to callers |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|---|---|")?;
    for case in cases() {
        for method in [
            SelectionMethod::Hash,
            SelectionMethod::Counts,
            SelectionMethod::Shares,
        ] {
            let outcome = traffic::run(scenario(seed, &case, method));
            write_row(out, &case, method, &outcome)?;
        }
    }
    Ok(())
}

fn cases() -> Vec<Case> {
    let plain = |name, load_permille| Case {
        name,
        load_permille,
        anomalies: Vec::new(),
        instance_weights: vec![1; 8],
    };
    let with_anomaly = |name, anomaly: TargetAnomaly| Case {
        anomalies: vec![("rates", 0, anomaly)],
        ..plain(name, 700)
    };
    let slow = TargetAnomaly {
        run_time_factor: 3.0,
        ..TargetAnomaly::default()
    };
    let misreporting = |reported_load_offset| TargetAnomaly {
        reported_load_offset,
        ..TargetAnomaly::default()
    };
    let cold = TargetAnomaly {
        ramp_permille: Some(250),
        ..TargetAnomaly::default()
    };
    vec![
        plain("30%", 300),
        plain("70%", 700),
        plain("95%", 950),
        Case {
            instance_weights: vec![9, 1, 1, 1, 1, 1, 1, 1],
            ..plain("70%, uneven spraying", 700)
        },
        with_anomaly("70%, one slow target", slow),
        with_anomaly("70%, one states too little", misreporting(-2)),
        with_anomaly("70%, one states too much", misreporting(4)),
        with_anomaly("70%, one cold target", cold),
    ]
}

fn scenario(seed: u64, case: &Case, method: SelectionMethod) -> Scenario {
    let stream = |service, class, targets: f64| Stream {
        service,
        class,
        members: traffic::members("m", MEMBER_COUNT),
        requests_per_second: f64::from(case.load_permille) * targets * 2.0
            / (MEAN_RUN_MS + SLOT_OVERHEAD_MS),
        mean_run_ms: MEAN_RUN_MS,
        from_s: 0,
        until_s: DURATION_S,
        deadline_ms: 5_000,
    };
    Scenario {
        seed,
        fleet: fixture::hunarmand(),
        settings: RequestSettings {
            method,
            ..RequestSettings::default()
        },
        streams: vec![
            stream("rates", "lookup", 14.0),
            stream("submissions", "upload", 4.0),
        ],
        seconds: DURATION_S,
        anomalies: case.anomalies.clone(),
        instance_weights: case.instance_weights.clone(),
        documents: Vec::new(),
        drains: Vec::new(),
        domain_hop_us: 5_000,
    }
}

fn write_row(
    out: &mut impl Write,
    case: &Case,
    method: SelectionMethod,
    outcome: &Outcome,
) -> Result<()> {
    let busy_us = main_service_busy_us(outcome);
    let whole = peak_over_mean(&busy_us, WARM_UP_S as usize, DURATION_S as usize);
    let mut windows: Vec<_> = (WARM_UP_S as usize..DURATION_S as usize)
        .step_by(10)
        .map(|from| peak_over_mean(&busy_us, from, from + 10))
        .collect();
    windows.sort_by(f64::total_cmp);
    let measured = outcome
        .samples
        .iter()
        .filter(|sample| sample.stream == 0 && sample.sent_us >= WARM_UP_S * 1_000_000);
    let mut all = new_histogram()?;
    let mut members = vec![new_histogram()?; MEMBER_COUNT];
    let (mut refused, mut total) = (0_u32, 0_u32);
    for sample in measured {
        total += 1;
        refused += u32::from(sample.refusal.is_some());
        if let Some(wait_us) = sample.wait_us {
            all.saturating_record(wait_us.max(1));
            members[sample.member].saturating_record(wait_us.max(1));
        }
    }
    let p99s = || {
        members
            .iter()
            .map(|member| member.value_at_quantile(0.99).max(1))
    };
    let worst = p99s().max().unwrap_or(1) as f64 / p99s().min().unwrap_or(1) as f64;
    let percent = |part: f64, whole: f64| 100.0 * part / whole.max(1.0);
    writeln!(
        out,
        "| {} | {method:?} | {whole:.2} | {:.2} | {:.1} | {:.1} | {worst:.2} | {:.1} | {:.0}% | \
         {:.1}% | {:.2}% |",
        case.name,
        windows[windows.len() / 2],
        all.value_at_quantile(0.5) as f64 / 1_000.0,
        all.value_at_quantile(0.99) as f64 / 1_000.0,
        outcome.idle_slot_us as f64 / outcome.waiting_us.max(1) as f64,
        percent(outcome.waiting_us as f64, DURATION_S as f64 * 1_000_000.0),
        percent(outcome.refused_by_targets as f64, outcome.forwarded as f64),
        percent(f64::from(refused), f64::from(total)),
    )?;
    Ok(())
}

/// Returns the slot time used in each second by each target of the main service.
fn main_service_busy_us(outcome: &Outcome) -> Vec<&Vec<u64>> {
    let document = fixture::document(&fixture::hunarmand());
    let service = document
        .services
        .iter()
        .find(|(name, _)| name.as_str() == "rates");
    let targets = service.into_iter().flat_map(|(name, service)| {
        let names = service.targets.keys();
        names
            .map(|target| wire::token::TargetId::new(name, target))
            .collect::<Vec<_>>()
    });
    targets
        .filter_map(|target| outcome.busy_us.get(&target))
        .collect()
}

fn peak_over_mean(busy_us: &[&Vec<u64>], from: usize, until: usize) -> f64 {
    let sums = busy_us.iter().map(|seconds| {
        let window = seconds.iter().take(until).skip(from);
        window.sum::<u64>() as f64
    });
    let sums: Vec<_> = sums.collect();
    let peak = sums.iter().copied().fold(0.0, f64::max);
    peak * sums.len() as f64 / sums.iter().sum::<f64>().max(1.0)
}

fn new_histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 60_000_000, 3)
        .map_err(|error| Error::Histogram(error.to_string()))
}
