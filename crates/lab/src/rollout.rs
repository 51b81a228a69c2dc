//! Measures the time and traffic of a configuration change.

use std::io::Write;

use balance::control::ControlSettings;
use conf::{Document, packed};
use ids::{Millis, Version};

use crate::group::{Group, Links};
use crate::linear_fit::LinearFit;
use crate::{Result, fixture};

const GROUP_SIZES: [usize; 5] = [2, 4, 8, 16, 32];
const SERVICE_COUNTS: [usize; 5] = [8, 64, 512, 4_096, 6_800];
const TARGETS_PER_SERVICE: usize = 11;
/// Services that one group carries in the table by service count.
const SERVICES_PER_GROUP: usize = 4;
const CHANGE_COUNT: u64 = 40;
/// Services of the whole fleet, see section 2 of docs/design.md.
const FLEET_SERVICES: usize = 6_800;
/// Changes per case with the fleet's document, fewer because packing it is slow.
const FLEET_CHANGE_COUNT: u64 = 8;
/// Daemons of the whole fleet, and the rate limit of the platform for all of them.
const FLEET_DAEMONS: u64 = 13_000;
const PLATFORM_CALLS_PER_S: u64 = 2_000;
/// Time after which a restart of the fleet counts as failed.
const RESTART_LIMIT_MS: Millis = Millis(1_800_000);
/// Time after which a cold start counts as failed.
const COLD_START_LIMIT_MS: Millis = Millis(60_000);
/// Time after which a change counts as not activated.
const ACTIVATION_LIMIT_MS: Millis = Millis(12_000);
const DELAY_MS: Millis = Millis(5);
const LOSS_PERMILLE: u32 = 20;

/// Runs the experiment and writes its tables.
pub fn run(seed: u64, out: &mut impl Write) -> Result<()> {
    measure_by_group_size(seed, out)?;
    measure_by_service_count(seed, out)?;
    measure_single_domain(seed, out)?;
    measure_fleet_restart(seed, out)
}

fn lossy_links() -> Links {
    Links {
        delay_ms: DELAY_MS,
        loss_permille: LOSS_PERMILLE,
        ..Links::default()
    }
}

fn measure_by_group_size(seed: u64, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "| instances | mean ms | greatest ms | platform calls/s at rest | calls per change | datagrams per change and instance |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|")?;
    let mut points = Vec::new();
    for size in GROUP_SIZES {
        let mut group = Group::new(size, ControlSettings::default(), lossy_links(), seed);
        let mut document = fixture::uniform_document(SERVICES_PER_GROUP, TARGETS_PER_SERVICE);
        group.publish(&document)?;
        group.start_all();
        group.run_for(Millis(65_000));
        let at_rest = measure_counters(&mut group, Millis(60_000));
        let mut times = Vec::new();
        let mut during_changes = GroupCounters::default();
        for change in 0..CHANGE_COUNT {
            document.version = Version(2 + change);
            change_target_weight(&mut document, "service-0000", change as u32);
            let before = GroupCounters::read(&group);
            group.publish(&document)?;
            let is_active =
                |group: &Group| (0..size).all(|index| group.version(index) == 2 + change);
            let time = group
                .run_until(ACTIVATION_LIMIT_MS, is_active)
                .unwrap_or(ACTIVATION_LIMIT_MS);
            times.push(time.0 as f64);
            // An odd interval keeps changes from aligning with heartbeats.
            group.run_for(Millis(2_000 - time.0.min(1_900) + 37 * change % 250));
            during_changes.add_increase(&GroupCounters::read(&group), &before);
        }
        let mean = times.iter().sum::<f64>() / times.len() as f64;
        let greatest = times.iter().copied().fold(0.0, f64::max);
        let changes = CHANGE_COUNT as f64;
        let seconds = during_changes.elapsed_us as f64 / 1e6;
        writeln!(
            out,
            "| {size} | {mean:.0} | {greatest:.0} | {:.2} | {:.1} | {:.1} |",
            at_rest.calls as f64 / 60.0,
            during_changes.calls as f64 / changes,
            (during_changes.sent as f64 - at_rest.sent as f64 * seconds / 60.0)
                / changes
                / size as f64,
        )?;
        points.push((size as f64, mean));
    }
    writeln!(out)?;
    writeln!(
        out,
        "- mean ms = {} x instances",
        LinearFit::through(&points)
    )?;
    writeln!(out)?;
    Ok(())
}

fn measure_by_service_count(seed: u64, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "| services | pages | root B | page B | part B | B per change elsewhere | B per own change | ms elsewhere | ms own |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|")?;
    let mut roots = Vec::new();
    for services in SERVICE_COUNTS {
        let mut document = fixture::uniform_document(services, TARGETS_PER_SERVICE);
        let first = packed::pack(&document, None)?;
        let mut settings = ControlSettings::default();
        settings.rollout.services = document
            .services
            .keys()
            .take(SERVICES_PER_GROUP)
            .cloned()
            .collect();
        let mut group = Group::new(8, settings, lossy_links(), seed);
        group.publish(&document)?;
        group.start_all();
        group.run_for(Millis(10_000));
        let last = format!("service-{:04}", services - 1);
        let mut results = Vec::new();
        for (change, service) in [last.as_str(), "service-0000"].into_iter().enumerate() {
            document.version = Version(2 + change as u64);
            change_target_weight(&mut document, service, 7);
            let before = value_bytes(&group);
            group.publish(&document)?;
            let is_active =
                |group: &Group| (0..8).all(|index| group.version(index) == document.version.0);
            let time = group
                .run_until(ACTIVATION_LIMIT_MS, is_active)
                .unwrap_or(ACTIVATION_LIMIT_MS);
            group.run_for(Millis(5_000));
            results.push(((value_bytes(&group) - before) / 8, time));
        }
        let root = first.root.len();
        let longest = |is_counted: &dyn Fn(&str) -> bool| {
            let texts = first.values.values().filter(|text| is_counted(text));
            texts.map(String::len).max().unwrap_or(0)
        };
        let page = longest(&|text| text.contains("[page]"));
        let part = longest(&|text| text.contains("[target."));
        writeln!(
            out,
            "| {services} | {} | {root} | {page} | {part} | {} | {} | {} | {} |",
            packed::page_count(services),
            results[0].0,
            results[1].0,
            results[0].1.0,
            results[1].1.0,
        )?;
        roots.push(((services as f64).sqrt(), root as f64));
    }
    writeln!(out)?;
    writeln!(
        out,
        "- root B = {} x sqrt(services)",
        LinearFit::through(&roots)
    )?;
    Ok(())
}

/// Measures groups within a single failure domain, with the document of the whole fleet.
fn measure_single_domain(seed: u64, out: &mut impl Write) -> Result<()> {
    writeln!(out)?;
    writeln!(
        out,
        "| instances in one domain | readers | calls of a cold start | cold start ms | platform calls/s at rest | calls per change elsewhere | ms elsewhere, mean | greatest ms | calls per own change | ms own |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|---|")?;
    let mut points = [Vec::new(), Vec::new(), Vec::new(), Vec::new()];
    for size in GROUP_SIZES {
        let mut document = fixture::uniform_document(FLEET_SERVICES, TARGETS_PER_SERVICE);
        let mut settings = ControlSettings::default();
        settings.rollout.services = document
            .services
            .keys()
            .take(SERVICES_PER_GROUP)
            .cloned()
            .collect();
        let mut group = Group::new(size, settings, lossy_links(), seed);
        for instance in &mut group.instances {
            instance.identity.domain = fixture::domain(0);
        }
        group.publish_instances(0..size);
        group.publish(&document)?;
        group.start_all();
        let is_ready = |group: &Group| group.instances.iter().all(|instance| instance.is_ready);
        let started = group
            .run_until(COLD_START_LIMIT_MS, is_ready)
            .unwrap_or(COLD_START_LIMIT_MS);
        let cold_calls = group.platform.calls;
        group.run_for(Millis(65_000));
        let root_watchers = (0..size)
            .filter(|&index| group.is_watching_root(index))
            .count();
        let rest = measure_counters(&mut group, Millis(60_000)).calls as f64 / 60.0;
        let last = format!("service-{:04}", FLEET_SERVICES - 1);
        let mut change = 0;
        let mut measure = |group: &mut Group, service: &str, count: u64| -> Result<_> {
            let calls = group.platform.calls;
            let mut times = Vec::new();
            for _ in 0..count {
                change += 1;
                document.version = Version(1 + change);
                change_target_weight(&mut document, service, change as u32);
                group.publish(&document)?;
                let is_active =
                    |group: &Group| (0..size).all(|index| group.version(index) == 1 + change);
                let time = group
                    .run_until(ACTIVATION_LIMIT_MS, is_active)
                    .unwrap_or(ACTIVATION_LIMIT_MS);
                times.push(time.0 as f64);
                // An odd interval keeps changes from aligning with heartbeats.
                group.run_for(Millis(2_000 + 37 * change % 250));
            }
            let calls = (group.platform.calls - calls) as f64 / count as f64;
            let mean = times.iter().sum::<f64>() / count as f64;
            Ok((calls, mean, times.into_iter().fold(0.0, f64::max)))
        };
        let elsewhere = measure(&mut group, &last, FLEET_CHANGE_COUNT)?;
        let own = measure(&mut group, "service-0000", FLEET_CHANGE_COUNT)?;
        writeln!(
            out,
            "| {size} | {root_watchers} | {cold_calls} | {} | {rest:.2} | {:.1} | {:.0} | {:.0} | {:.1} | {:.0} |",
            started.0, elsewhere.0, elsewhere.1, elsewhere.2, own.0, own.1,
        )?;
        let values = [cold_calls as f64, rest, elsewhere.0, elsewhere.1];
        for (points, value) in points.iter_mut().zip(values) {
            points.push((size as f64, value));
        }
    }
    writeln!(out)?;
    let names = [
        "calls of a cold start",
        "platform calls/s at rest",
        "calls per change elsewhere",
        "ms elsewhere",
    ];
    for (name, points) in names.iter().zip(&points) {
        writeln!(out, "- {name} = {} x instances", LinearFit::through(points))?;
    }
    Ok(())
}

/// Measures the cold start of a group that gets only its share of the platform's rate limit, as
/// when all groups of the fleet restart at once.
fn measure_fleet_restart(seed: u64, out: &mut impl Write) -> Result<()> {
    writeln!(out)?;
    writeln!(
        out,
        "| instances of a group | calls/s served to it | first ready s | all ready s | calls until then | refused |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|")?;
    let mut points = Vec::new();
    for size in GROUP_SIZES {
        let document = fixture::uniform_document(FLEET_SERVICES, TARGETS_PER_SERVICE);
        let mut settings = ControlSettings::default();
        settings.rollout.services = document
            .services
            .keys()
            .take(SERVICES_PER_GROUP)
            .cloned()
            .collect();
        let mut group = Group::new(size, settings, lossy_links(), seed);
        for instance in &mut group.instances {
            instance.identity.domain = fixture::domain(0);
        }
        group.publish_instances(0..size);
        group.publish(&document)?;
        let interval_ms = FLEET_DAEMONS * 1_000 / (PLATFORM_CALLS_PER_S * size as u64);
        group.platform.call_interval_ms = Millis(interval_ms);
        group.start_all();
        let is_any_ready = |group: &Group| group.instances.iter().any(|instance| instance.is_ready);
        let first = group.run_until(RESTART_LIMIT_MS, is_any_ready);
        let first = first.unwrap_or(RESTART_LIMIT_MS);
        let are_all_ready =
            |group: &Group| group.instances.iter().all(|instance| instance.is_ready);
        let rest = group.run_until(RESTART_LIMIT_MS, are_all_ready);
        let all = Millis(first.0 + rest.unwrap_or(RESTART_LIMIT_MS).0);
        writeln!(
            out,
            "| {size} | {:.2} | {:.1} | {:.1} | {} | {} |",
            1e3 / interval_ms as f64,
            first.0 as f64 / 1e3,
            all.0 as f64 / 1e3,
            group.platform.calls,
            group.platform.refused,
        )?;
        points.push((size as f64, all.0 as f64 / 1e3));
    }
    writeln!(out)?;
    writeln!(
        out,
        "- all ready s = {} x instances",
        LinearFit::through(&points)
    )?;
    Ok(())
}

/// Changes the weight of one target of a service.
fn change_target_weight(document: &mut Document, service: &str, amount: u32) {
    let targets = document
        .services
        .iter_mut()
        .find(|(name, _)| name.as_str() == service)
        .and_then(|(_, service)| service.targets.values_mut().next());
    if let Some(target) = targets {
        target.weight.0 = 101 + amount;
    }
}

fn value_bytes(group: &Group) -> u64 {
    group
        .instances
        .iter()
        .map(|instance| instance.traffic.value_bytes)
        .sum()
}

/// Cumulative counters of a group, or their increase over a time.
#[derive(Debug, Clone, Copy, Default)]
struct GroupCounters {
    calls: u64,
    sent: u64,
    elapsed_us: u64,
}

impl GroupCounters {
    fn read(group: &Group) -> Self {
        Self {
            calls: group.platform.calls,
            sent: group
                .instances
                .iter()
                .map(|instance| instance.traffic.sent)
                .sum(),
            elapsed_us: group.now.0,
        }
    }

    fn add_increase(&mut self, after: &Self, before: &Self) {
        self.calls += after.calls - before.calls;
        self.sent += after.sent - before.sent;
        self.elapsed_us += after.elapsed_us - before.elapsed_us;
    }
}

fn measure_counters(group: &mut Group, duration: Millis) -> GroupCounters {
    let before = GroupCounters::read(group);
    group.run_for(duration);
    let mut increase = GroupCounters::default();
    increase.add_increase(&GroupCounters::read(group), &before);
    increase
}
