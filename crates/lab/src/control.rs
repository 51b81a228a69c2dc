//! Measures the control traffic, CPU time and memory of one instance.
//!
//! A group runs in simulated time while its loads keep changing, which is the worst case for
//! heartbeats. The events of one instance are recorded and replayed into new `Control`s, so that
//! the rest of the group adds nothing to the measured time and memory.

use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use balance::control::{Control, ControlSettings, Identity};
use balance::event::{ControlAction, ControlEvent, ControlLogEvent, Observation};
use balance::view::View;
use ids::{Micros, Millis, Version};
use wire::token::TargetId;

use crate::group::{Group, Links};
use crate::linear_fit::LinearFit;
use crate::{Result, fixture};

const GROUP_SIZES: [usize; 5] = [2, 4, 8, 16, 32];
const TARGET_COUNTS: [usize; 5] = [8, 16, 32, 64, 128];
const SERVICE_COUNTS: [usize; 8] = [1, 2, 4, 8, 16, 32, 64, 128];
const INSTANCES: usize = 8;
const TARGETS_PER_SERVICE: usize = 11;
/// Wait between the start and the measurement. A cold start reads every part from the platform, at
/// two calls a second.
const SETTLE_MS: u64 = 6_000;
const SETTLE_PER_SERVICE_MS: u64 = 600;
const MEASURED_S: u64 = 20;
/// Documents published while measuring, one a second.
const DOCUMENT_COUNT: u64 = 5;
/// Replayed copies whose memory is measured together, and copies made before them to use up the
/// memory that earlier replays freed.
const COPY_COUNT: usize = 64;
const WARM_UP_COPY_COUNT: usize = 16;
/// Replays per measurement. The shortest times count, because interruptions only add time.
const REPLAY_COUNT: usize = 9;

/// Size of one measured group.
#[derive(Debug, Clone, Copy)]
struct Size {
    instances: usize,
    services: usize,
    targets: usize,
}

/// Measured cost of one instance.
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

/// A `Control` after a replay, with its newest view. Shards hold that view in production.
type ReplayedControl = Option<(Control, Option<Arc<View>>)>;
/// Memory retained until the experiment ends. If it were freed, the copies of the next size would
/// reuse it and measure as too small.
type Retained = (Group, Vec<ReplayedControl>);
/// Selects one value of a cost.
type CostField = fn(&Cost) -> f64;

/// Runs the experiment and writes its tables.
pub fn run(seed: u64, out: &mut impl Write) -> Result<()> {
    let mut retained = Vec::new();
    let by_group = GROUP_SIZES.map(|instances| Size {
        instances,
        services: 4,
        targets: TARGETS_PER_SERVICE,
    });
    write_table(
        seed,
        "instances",
        &by_group,
        |size| size.instances,
        &mut retained,
        out,
    )?;
    let by_target = TARGET_COUNTS.map(|targets| Size {
        instances: INSTANCES,
        services: 1,
        targets,
    });
    write_table(
        seed,
        "targets",
        &by_target,
        |size| size.targets,
        &mut retained,
        out,
    )?;
    let by_service = SERVICE_COUNTS.map(|services| Size {
        instances: INSTANCES,
        services,
        targets: TARGETS_PER_SERVICE,
    });
    write_table(
        seed,
        "services",
        &by_service,
        |size| size.services,
        &mut retained,
        out,
    )
}

fn write_table(
    seed: u64,
    name: &str,
    sizes: &[Size],
    size_value: impl Fn(&Size) -> usize,
    retained: &mut Vec<Retained>,
    out: &mut impl Write,
) -> Result<()> {
    writeln!(
        out,
        "| {name} | sent/s | sent B/s | received/s | received B/s | us per heartbeat | us per document | % of a core | memory KiB |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|")?;
    let mut costs = Vec::new();
    for size in sizes {
        let cost = measure_cost(seed, *size, retained)?;
        writeln!(
            out,
            "| {} | {:.1} | {:.0} | {:.1} | {:.0} | {:.2} | {:.0} | {:.3} | {:.0} |",
            size_value(size),
            cost.sent,
            cost.sent_bytes,
            cost.received,
            cost.received_bytes,
            cost.heartbeat_us,
            cost.document_us,
            cost.core_percent,
            cost.memory_kib,
        )?;
        costs.push((size_value(size) as f64, cost));
    }
    writeln!(out)?;
    let lines: [(&str, CostField); 5] = [
        ("sent and received B/s", |cost| {
            cost.sent_bytes + cost.received_bytes
        }),
        ("us per heartbeat", |cost| cost.heartbeat_us),
        ("us per document", |cost| cost.document_us),
        ("% of a core", |cost| cost.core_percent),
        ("memory KiB", |cost| cost.memory_kib),
    ];
    for (label, value) in lines {
        let points: Vec<_> = costs.iter().map(|(x, cost)| (*x, value(cost))).collect();
        writeln!(out, "- {label} = {} x {name}", LinearFit::through(&points))?;
    }
    writeln!(out)?;
    Ok(())
}

fn measure_cost(seed: u64, size: Size, retained: &mut Vec<Retained>) -> Result<Cost> {
    let settings = ControlSettings::default();
    let mut group = Group::new(size.instances, settings.clone(), Links::default(), seed);
    let mut document = fixture::uniform_document(size.services, size.targets);
    group.publish(&document)?;
    group.instances[0].recorded_events = Some(Vec::new());
    group.start_all();
    let settle = Millis(SETTLE_MS + SETTLE_PER_SERVICE_MS * size.services as u64);
    group.run_for(settle);
    let before = group.instances[0].traffic;
    let targets: Vec<_> = document
        .services
        .iter()
        .flat_map(|(service, declared)| {
            let names = declared.targets.keys();
            names.map(move |target| TargetId::new(service, target))
        })
        .collect();
    for step in 0..MEASURED_S * 20 {
        let step_index = step as usize;
        let target = targets[step_index % targets.len()];
        let count = 1 + (step_index / targets.len() % 2) as u32;
        for index in 0..size.instances {
            let observation = Observation::InFlight { target, count };
            group.deliver(
                index,
                ControlEvent::Observed {
                    shard: 0,
                    observation,
                },
            );
        }
        if step % 20 == 0 && step / 20 < DOCUMENT_COUNT {
            document.version = Version(2 + step / 20);
            group.publish(&document)?;
        }
        group.run_for(Millis(50));
    }
    let traffic = group.instances[0].traffic;
    let per_second = |after: u64, before: u64| (after - before) as f64 / MEASURED_S as f64;
    let events = group.instances[0]
        .recorded_events
        .take()
        .unwrap_or_default();
    let identity = group.instances[0].identity.clone();
    let replay = (0..REPLAY_COUNT)
        .filter_map(|_| Replay::run(&identity, &settings, &events))
        .reduce(Replay::min_times)
        .unwrap_or_default();
    // The first copies use up the memory that the group has freed. The growth caused by the rest is
    // the memory that is measured.
    let mut copies: Vec<_> = (0..WARM_UP_COPY_COUNT)
        .map(|_| replay_into_control(&identity, &settings, &events))
        .collect();
    let resident_before = resident_kib();
    copies.extend((0..COPY_COUNT).map(|_| replay_into_control(&identity, &settings, &events)));
    let resident = resident_kib().saturating_sub(resident_before);
    retained.push((group, copies));
    Ok(Cost {
        sent: per_second(traffic.sent, before.sent),
        sent_bytes: per_second(traffic.sent_bytes, before.sent_bytes),
        received: per_second(traffic.received, before.received),
        received_bytes: per_second(traffic.received_bytes, before.received_bytes),
        heartbeat_us: mean_us(replay.heartbeats, replay.heartbeat_count),
        document_us: mean_us(replay.documents, replay.document_count),
        core_percent: 100.0 * replay.total.as_secs_f64()
            / (MEASURED_S as f64 + settle.0 as f64 / 1e3),
        memory_kib: resident as f64 / COPY_COUNT as f64,
    })
}

fn mean_us(time: Duration, count: u32) -> f64 {
    1e6 * time.as_secs_f64() / f64::from(count.max(1))
}

/// CPU time of a `Control` for the recorded events.
#[derive(Debug, Clone, Copy, Default)]
struct Replay {
    total: Duration,
    heartbeats: Duration,
    heartbeat_count: u32,
    /// Events that activated a document.
    documents: Duration,
    document_count: u32,
}

impl Replay {
    /// Returns the shorter times of two replays of the same events.
    fn min_times(self, other: Self) -> Self {
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
        events: &[(Micros, ControlEvent)],
    ) -> Option<Self> {
        let mut control = Control::new(identity.clone(), settings.clone()).ok()?;
        let events = events.to_vec();
        let mut replay = Self::default();
        let mut out = Vec::new();
        for (time, event) in events {
            let is_heartbeat = matches!(event, ControlEvent::PeerMessage(_));
            let start = Instant::now();
            control.handle(time, event, &mut out);
            let duration = start.elapsed();
            replay.total += duration;
            let is_activation = |action: &ControlAction| {
                matches!(
                    action,
                    ControlAction::Log(ControlLogEvent::DocumentActivated { .. })
                )
            };
            if out.iter().any(is_activation) {
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

/// Replays the events into a new `Control`.
fn replay_into_control(
    identity: &Identity,
    settings: &ControlSettings,
    events: &[(Micros, ControlEvent)],
) -> ReplayedControl {
    let mut control = Control::new(identity.clone(), settings.clone()).ok()?;
    let mut view = None;
    let mut out = Vec::new();
    for (time, event) in events {
        control.handle(*time, event.clone(), &mut out);
        for action in out.drain(..) {
            if let ControlAction::PublishView(new) = action {
                view = Some(new);
            }
        }
    }
    Some((control, view))
}

/// Returns the resident memory of this process, or zero if it cannot be read.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
