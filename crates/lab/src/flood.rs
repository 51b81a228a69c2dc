//! Measures the service that other work still gets while one class floods.

use std::io::Write;

use balance::request::RequestSettings;
use hdrhistogram::Histogram;

use crate::fixture::{self, DOMAINS, Fleet, FleetService};
use crate::traffic::{self, Outcome, Sample, Scenario, Stream};
use crate::{Error, Result};

/// Time excluded from measurement at the start, after the flood begins and at the end, while the
/// load settles.
const SETTLE_S: u64 = 10;
const FLOOD_FROM_S: u64 = 60;
const DURATION_S: u64 = 240;
const MEMBER_COUNT: usize = 12;
const DEADLINE_MS: u32 = 5_000;
const FLOOD_FACTOR: f64 = 10.0;
/// Time a slot stays occupied in addition to the run, see [`crate::spread`].
const SLOT_OVERHEAD_MS: f64 = 7.6;

/// Load of the more urgent class, the less urgent class and the bulk service before the flood, as a
/// fraction of the slots. Each class stays within its share in the document.
const LOAD_SHARES: [f64; 3] = [0.35, 0.2, 0.5];
const MEAN_RUNS_MS: [f64; 3] = [50.0, 50.0, 200.0];

/// Indices of streams in a scenario. Streams from `FIRST_FLOOD_STREAM` on belong to the flood.
const BULK_STREAM: usize = 2;
const FIRST_FLOOD_STREAM: usize = 3;

struct Case {
    name: &'static str,
    /// Indices of the classes of the main service that flood.
    flooding_classes: &'static [usize],
    is_from_one_member: bool,
    drained_targets: usize,
}

const CASES: [Case; 7] = [
    Case {
        name: "none",
        flooding_classes: &[],
        is_from_one_member: false,
        drained_targets: 0,
    },
    Case {
        name: "least urgent, one member",
        flooding_classes: &[1],
        is_from_one_member: true,
        drained_targets: 0,
    },
    Case {
        name: "least urgent, all members",
        flooding_classes: &[1],
        is_from_one_member: false,
        drained_targets: 0,
    },
    Case {
        name: "most urgent, one member",
        flooding_classes: &[0],
        is_from_one_member: true,
        drained_targets: 0,
    },
    Case {
        name: "most urgent, all members",
        flooding_classes: &[0],
        is_from_one_member: false,
        drained_targets: 0,
    },
    Case {
        name: "both, all, 2 drains",
        flooding_classes: &[0, 1],
        is_from_one_member: false,
        drained_targets: 2,
    },
    Case {
        name: "both, one, 2 drains",
        flooding_classes: &[0, 1],
        is_from_one_member: true,
        drained_targets: 2,
    },
];

/// Runs the experiment and writes its tables.
pub fn run(seed: u64, out: &mut impl Write) -> Result<()> {
    for (user, fleet) in [
        ("Hunarmand", fixture::hunarmand()),
        ("Morava", fixture::morava()),
    ] {
        writeln!(out, "\n{user}:\n")?;
        writeln!(
            out,
            "| flood | work | answered before | answered in the flood | kept | wait p99 before ms | \
             wait p99 in the flood ms | worst/best member p99 | same, in one failure domain | untrue refusals |"
        )?;
        writeln!(out, "|---|---|---|---|---|---|---|---|---|---|")?;
        for case in &CASES {
            let outcome = traffic::run(scenario(seed, user, &fleet, case));
            write_rows(out, &fleet, case, &outcome)?;
        }
    }
    Ok(())
}

fn scenario(seed: u64, user: &str, fleet: &Fleet, case: &Case) -> Scenario {
    let main = |number: usize| stream(&fleet.main, fleet.main.classes[number].0, number);
    let mut streams = vec![
        main(0),
        main(1),
        stream(&fleet.bulk, fleet.bulk.classes[0].0, BULK_STREAM),
    ];
    for class in case.flooding_classes {
        let base = main(*class);
        streams.push(Stream {
            members: match case.is_from_one_member {
                true => vec![base.members[0].clone()],
                false => base.members.clone(),
            },
            requests_per_second: base.requests_per_second * (FLOOD_FACTOR - 1.0),
            from_s: FLOOD_FROM_S,
            ..base
        });
    }
    let drains =
        (0..case.drained_targets).map(|number| (FLOOD_FROM_S + 5, fleet.main.name, number));
    Scenario {
        seed,
        fleet: fleet.clone(),
        settings: RequestSettings::default(),
        streams,
        seconds: DURATION_S,
        anomalies: Vec::new(),
        instance_weights: vec![1; fleet.instances],
        documents: Vec::new(),
        drains: drains.collect(),
        domain_hop_us: if user == "Hunarmand" { 5_000 } else { 4_000 },
    }
}

fn stream(service: &FleetService, class: &'static str, number: usize) -> Stream {
    let slots = service.targets as f64 * 2.0;
    Stream {
        service: service.name,
        class,
        members: traffic::members("m", MEMBER_COUNT),
        requests_per_second: LOAD_SHARES[number] * slots * 1_000.0
            / (MEAN_RUNS_MS[number] + SLOT_OVERHEAD_MS),
        mean_run_ms: MEAN_RUNS_MS[number],
        from_s: 0,
        until_s: DURATION_S,
        deadline_ms: DEADLINE_MS,
    }
}

fn write_rows(out: &mut impl Write, fleet: &Fleet, case: &Case, outcome: &Outcome) -> Result<()> {
    let false_not_run = outcome.samples.iter().filter(|sample| {
        let is_proof = sample.refusal.is_some_and(|code| code.proves_not_run());
        is_proof && sample.runs > 0
    });
    let false_not_run = false_not_run.count();
    for number in [0, 1, BULK_STREAM] {
        let is_flooded = case.flooding_classes.contains(&number);
        // The flooding member is neither other work nor one of the other members of its class.
        let is_measured = |sample: &&Sample| {
            sample.stream == number
                && !(is_flooded && case.is_from_one_member && sample.member == 0)
        };
        let measured: Vec<_> = outcome.samples.iter().filter(is_measured).collect();
        let before = summarize(&measured, SETTLE_S, FLOOD_FROM_S)?;
        let during = summarize(&measured, FLOOD_FROM_S + SETTLE_S, DURATION_S - SETTLE_S)?;
        let class = match number {
            BULK_STREAM => fleet.bulk.classes[0].0,
            _ => fleet.main.classes[number].0,
        };
        let role = match (is_flooded, case.is_from_one_member) {
            (true, true) => " (others of the flooding class)",
            (true, false) => " (flooding)",
            _ => "",
        };
        writeln!(
            out,
            "| {} | {class}{role} | {:.1}% | {:.1}% | {:.1}% | {:.0} | {:.0} | {:.2} | {:.2} | {false_not_run} |",
            case.name,
            100.0 * before.answered_share,
            100.0 * during.answered_share,
            100.0 * during.answered_share / before.answered_share,
            before.p99_ms,
            during.p99_ms,
            during.worst_over_best,
            during.worst_over_best_in_domain,
        )?;
    }
    let flood = outcome
        .samples
        .iter()
        .filter(|sample| sample.stream >= FIRST_FLOOD_STREAM);
    let (answered, total) = flood.fold((0, 0), |(answered, total), sample| {
        (answered + u64::from(sample.wait_us.is_some()), total + 1)
    });
    let share = 100.0 * answered as f64 / f64::from(total.max(1) as u32);
    writeln!(
        out,
        "| {} | the flood | | {share:.1}% | | | | | | |",
        case.name
    )?;
    Ok(())
}

struct Summary {
    answered_share: f64,
    p99_ms: f64,
    worst_over_best: f64,
    worst_over_best_in_domain: f64,
}

fn summarize(samples: &[&Sample], from_s: u64, until_s: u64) -> Result<Summary> {
    let mut all = new_histogram()?;
    let mut members = vec![new_histogram()?; MEMBER_COUNT];
    let (mut answered, mut total) = (0_u64, 0_u64);
    for sample in samples {
        if sample.sent_us < from_s * 1_000_000 || sample.sent_us >= until_s * 1_000_000 {
            continue;
        }
        total += 1;
        if let Some(wait_us) = sample.wait_us {
            answered += 1;
            all.saturating_record(wait_us.max(1));
            members[sample.member].saturating_record(wait_us.max(1));
        }
    }
    let in_domain = |domain: usize| members.iter().skip(domain).step_by(DOMAINS.len());
    let domains = (0..DOMAINS.len()).map(|domain| worst_over_best(in_domain(domain)));
    Ok(Summary {
        answered_share: answered as f64 / total.max(1) as f64,
        p99_ms: all.value_at_quantile(0.99) as f64 / 1_000.0,
        worst_over_best: worst_over_best(members.iter()),
        worst_over_best_in_domain: domains.fold(1.0, f64::max),
    })
}

fn worst_over_best<'a>(members: impl Iterator<Item = &'a Histogram<u64>>) -> f64 {
    let measured = members.filter(|member| !member.is_empty());
    let p99s: Vec<_> = measured
        .map(|member| member.value_at_quantile(0.99))
        .collect();
    let worst = p99s.iter().max().copied().unwrap_or(1) as f64;
    let best = p99s.iter().min().copied().unwrap_or(1) as f64;
    worst / best
}

fn new_histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 60_000_000, 3)
        .map_err(|error| Error::Histogram(error.to_string()))
}
