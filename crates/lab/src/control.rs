//! Measures the control traffic, time and memory of one instance.
//!
//! A group runs under explicit time while loads keep changing, which is the costly case for
//! heartbeats. The events of one instance are recorded and replayed into fresh `Control`s, whose
//! time and memory are measured without those of the group around it.

use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use balance::control::{Control, ControlSettings, Identity};
use balance::event::{ControlAction, ControlEvent, ControlLogEvent, Observation};
use balance::view::View;
use ids::{Micros, Millis, Version};
use wire::token::TargetId;

use crate::fit::Line;
use crate::group::{Group, Links};
use crate::{Result, fixture};

const GROUPS: [usize; 5] = [2, 4, 8, 16, 32];
const TARGETS: [usize; 5] = [8, 16, 32, 64, 128];
const SERVICES: [usize; 8] = [1, 2, 4, 8, 16, 32, 64, 128];
const GROUP: usize = 8;
const TARGETS_PER_SERVICE: usize = 11;
/// Time after the start before measuring. A cold start reads every part from the platform, which is
/// asked twice a second.
const SETTLE_MS: u64 = 6_000;
const SETTLE_PER_SERVICE_MS: u64 = 600;
const MEASURE_S: u64 = 20;
/// Documents published during the measured time, one a second.
const DOCUMENTS: u64 = 5;
/// Copies whose memory is measured together, and copies made before them, which take what replays
/// have freed.
const COPIES: usize = 64;
const WARM_COPIES: usize = 16;
/// Replays of which the least times count; the others were interrupted more often.
const REPLAYS: usize = 9;

/// Size of one measurement.
#[derive(Debug, Clone, Copy)]
struct Size {
    instances: usize,
    services: usize,
    targets: usize,
}

/// What one instance cost.
#[derive(Debug, Clone, Copy)]
struct Cost {
    sent: f64,
    sent_bytes: f64,
    received: f64,
    received_bytes: f64,
    heartbeat_us: f64,
    document_us: f64,
    core_percent: f64,
    memory_kib: f64,
}

/// A `Control` with the newest view, which shards hold.
type Copy = Option<(Control, Option<Arc<View>>)>;
/// What is kept until the end. Memory that was freed would be taken by the copies of the
/// next size and hide theirs.
type Kept = (Group, Vec<Copy>);
/// Takes one value out of a cost.
type Value = fn(&Cost) -> f64;

/// Runs the experiment and writes its tables.
pub fn run(seed: u64, out: &mut impl Write) -> Result<()> {
    let mut kept = Vec::new();
    let by_group = GROUPS.map(|instances| Size {
        instances,
        services: 4,
        targets: TARGETS_PER_SERVICE,
    });
    table(
        seed,
        "instances",
        &by_group,
        |size| size.instances,
        &mut kept,
        out,
    )?;
    let by_target = TARGETS.map(|targets| Size {
        instances: GROUP,
        services: 1,
        targets,
    });
    table(
        seed,
        "targets",
        &by_target,
        |size| size.targets,
        &mut kept,
        out,
    )?;
    let by_service = SERVICES.map(|services| Size {
        instances: GROUP,
        services,
        targets: TARGETS_PER_SERVICE,
    });
    table(
        seed,
        "services",
        &by_service,
        |size| size.services,
        &mut kept,
        out,
    )
}

fn table(
    seed: u64,
    name: &str,
    sizes: &[Size],
    of: impl Fn(&Size) -> usize,
    kept: &mut Vec<Kept>,
    out: &mut impl Write,
) -> Result<()> {
    writeln!(
        out,
        "| {name} | sent/s | sent B/s | received/s | received B/s | us per heartbeat | us per document | % of a core | memory KiB |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|")?;
    let mut costs = Vec::new();
    for size in sizes {
        let cost = measure(seed, *size, kept)?;
        writeln!(
            out,
            "| {} | {:.1} | {:.0} | {:.1} | {:.0} | {:.2} | {:.0} | {:.3} | {:.0} |",
            of(size),
            cost.sent,
            cost.sent_bytes,
            cost.received,
            cost.received_bytes,
            cost.heartbeat_us,
            cost.document_us,
            cost.core_percent,
            cost.memory_kib,
        )?;
        costs.push((of(size) as f64, cost));
    }
    writeln!(out)?;
    let lines: [(&str, Value); 5] = [
        ("sent and received B/s", |cost| {
            cost.sent_bytes + cost.received_bytes
        }),
        ("us per heartbeat", |cost| cost.heartbeat_us),
        ("us per document", |cost| cost.document_us),
        ("% of a core", |cost| cost.core_percent),
        ("memory KiB", |cost| cost.memory_kib),
    ];
    for (what, value) in lines {
        let points: Vec<_> = costs.iter().map(|(x, cost)| (*x, value(cost))).collect();
        writeln!(out, "- {what} = {} x {name}", Line::through(&points))?;
    }
    writeln!(out)?;
    Ok(())
}

fn measure(seed: u64, size: Size, kept: &mut Vec<Kept>) -> Result<Cost> {
    let settings = ControlSettings::default();
    let mut group = Group::new(size.instances, settings.clone(), Links::default(), seed);
    let mut document = fixture::wide(size.services, size.targets);
    group.publish(&document)?;
    group.nodes[0].record = Some(Vec::new());
    group.start_all();
    let settle = Millis(SETTLE_MS + SETTLE_PER_SERVICE_MS * size.services as u64);
    group.run_for(settle);
    let before = group.nodes[0].traffic;
    let targets: Vec<_> = document
        .services
        .iter()
        .flat_map(|(service, declared)| {
            let names = declared.targets.keys();
            names.map(move |target| TargetId::new(service, target))
        })
        .collect();
    for step in 0..MEASURE_S * 20 {
        let step_index = step as usize;
        let target = targets[step_index % targets.len()];
        let count = 1 + (step_index / targets.len() % 2) as u32;
        for index in 0..size.instances {
            let observation = Observation::InFlight { target, count };
            group.give(
                index,
                ControlEvent::Observed {
                    shard: 0,
                    observation,
                },
            );
        }
        if step % 20 == 0 && step / 20 < DOCUMENTS {
            document.version = Version(2 + step / 20);
            group.publish(&document)?;
        }
        group.run_for(Millis(50));
    }
    let traffic = group.nodes[0].traffic;
    let per_second = |after: u64, before: u64| (after - before) as f64 / MEASURE_S as f64;
    let record = group.nodes[0].record.take().unwrap_or_default();
    let identity = group.nodes[0].identity.clone();
    let replay = (0..REPLAYS)
        .filter_map(|_| Replay::run(&identity, &settings, &record))
        .reduce(Replay::least)
        .unwrap_or_default();
    // The first copies take what the group has freed; the growth by the others is their memory.
    let mut copies: Vec<_> = (0..WARM_COPIES)
        .map(|_| copy(&identity, &settings, &record))
        .collect();
    let resident_before = resident_kib();
    copies.extend((0..COPIES).map(|_| copy(&identity, &settings, &record)));
    let resident = resident_kib().saturating_sub(resident_before);
    kept.push((group, copies));
    Ok(Cost {
        sent: per_second(traffic.sent, before.sent),
        sent_bytes: per_second(traffic.sent_bytes, before.sent_bytes),
        received: per_second(traffic.received, before.received),
        received_bytes: per_second(traffic.received_bytes, before.received_bytes),
        heartbeat_us: micros(replay.heartbeats, replay.heartbeat_count),
        document_us: micros(replay.documents, replay.document_count),
        core_percent: 100.0 * replay.total.as_secs_f64()
            / (MEASURE_S as f64 + settle.0 as f64 / 1e3),
        memory_kib: resident as f64 / COPIES as f64,
    })
}

fn micros(time: Duration, count: u32) -> f64 {
    1e6 * time.as_secs_f64() / f64::from(count.max(1))
}

/// Time that a `Control` took for recorded events.
#[derive(Debug, Clone, Copy, Default)]
struct Replay {
    total: Duration,
    heartbeats: Duration,
    heartbeat_count: u32,
    /// Events that put a document in force.
    documents: Duration,
    document_count: u32,
}

impl Replay {
    /// Returns the least times of two replays of the same events.
    fn least(self, other: Self) -> Self {
        Self {
            total: self.total.min(other.total),
            heartbeats: self.heartbeats.min(other.heartbeats),
            documents: self.documents.min(other.documents),
            ..self
        }
    }

    fn run(
        identity: &Identity,
        settings: &ControlSettings,
        record: &[(Micros, ControlEvent)],
    ) -> Option<Self> {
        let mut control = Control::new(identity.clone(), settings.clone()).ok()?;
        let events = record.to_vec();
        let mut replay = Self::default();
        let mut out = Vec::new();
        for (time, event) in events {
            let is_heartbeat = matches!(event, ControlEvent::PeerMessage(_));
            let start = Instant::now();
            control.handle(time, event, &mut out);
            let duration = start.elapsed();
            replay.total += duration;
            let is_in_force = |action: &ControlAction| {
                matches!(
                    action,
                    ControlAction::Log(ControlLogEvent::DocumentActivated { .. })
                )
            };
            if out.iter().any(is_in_force) {
                replay.documents += duration;
                replay.document_count += 1;
            } else if is_heartbeat {
                replay.heartbeats += duration;
                replay.heartbeat_count += 1;
            }
            out.clear();
        }
        Some(replay)
    }
}

/// Feeds a fresh `Control`.
fn copy(
    identity: &Identity,
    settings: &ControlSettings,
    record: &[(Micros, ControlEvent)],
) -> Copy {
    let mut control = Control::new(identity.clone(), settings.clone()).ok()?;
    let mut view = None;
    let mut out = Vec::new();
    for (time, event) in record {
        control.handle(*time, event.clone(), &mut out);
        for action in out.drain(..) {
            if let ControlAction::PublishView(new) = action {
                view = Some(new);
            }
        }
    }
    Some((control, view))
}

/// Returns the resident memory of this process, or zero where it cannot be read.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
