//! Soak test: injects random faults around real instances and checks the guarantees that callers
//! and targets can observe.
//!
//! `SOAK_SEEDS` selects the seeds (`1-50` or `7`), `SOAK_SECONDS` the duration of fault injection.

#![allow(clippy::unwrap_used)]

#[path = "soak/additions.rs"]
mod additions;
mod kit;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use additions::{Additions, cold_document};
use kit::caller::{Caller, Outcome};
use kit::instance::Instance;
use kit::proxy::{Impairment, Proxy};
use kit::store::{Mode, StoreCopy};
use kit::target::Opening;
use kit::{ENTRY, PACKET_PORT, PROXY_PORT, TestNetwork, document, wait_until};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

/// Default seeds, kept as regression tests:
/// 1: instances followed a reader whose watch had stopped responding before they joined;
/// 3: an incomplete entry of another writer got flows, and flows of a target were reset after another
/// one with the same token had left;
/// 14: a process exited when it received SIGHUP right after its start;
/// 501: changes were refused after a restore of the store, which gave out their revisions again.
const SEEDS: [u64; 4] = [1, 3, 14, 501];

/// Time in which a new process may not have installed its signal handlers. A signal then ends the
/// process, and the platform restarts it.
const SIGNAL_HANDLER_SETUP_TIME: Duration = Duration::from_millis(50);

const INSTANCES: u8 = 4;
const TARGETS: u8 = 5;
const CALLERS: u8 = 6;

/// Minimum number of changes that a restore of the store loses. It is more than a run makes, so that
/// all later changes have revisions that were given out before.
const LOST_CHANGES: u32 = 100;

/// Maximum time after a restore of the store until its writers have written again what it lost.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(1_500);

/// Time without faults after which the guarantees with a time limit apply to a component.
const STABILIZATION_TIME: Duration = Duration::from_secs(4);

/// Maximum time until a change must take effect, equal to the settings of the instances.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);

/// Maximum time until requests are answered again after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Since when each component has been free of faults, and whether it is up.
struct Stability {
    /// Time since which no fault affects the instance, or `None` during a fault, and whether
    /// routers send to it.
    instances: Vec<(Option<Instant>, bool)>,
    targets: Vec<(u64, Instant, bool)>,
    /// Outages and restores of the store.
    outages: Vec<Outage>,
}

/// Time in which the store is down, or the moment of a restore.
struct Outage {
    began_at: Instant,
    /// `None` while it lasts.
    ended_at: Option<Instant>,
}

impl Stability {
    fn is_instance_stable(&self, index: usize) -> bool {
        self.was_instance_stable(index, Instant::now())
    }

    /// Returns whether an instance without a current fault was stable at a moment.
    fn was_instance_stable(&self, index: usize, at: Instant) -> bool {
        let (since, is_up) = self.instances[index];
        is_up && since.is_some_and(|since| at.duration_since(since) > STABILIZATION_TIME)
    }

    /// Returns whether the store was stable at a moment: no outage lasted, and the latest one had
    /// ended for longer than the stabilization time. An outage may last longer than that time.
    fn was_store_stable(&self, at: Instant) -> bool {
        self.outages
            .iter()
            .filter(|outage| outage.began_at <= at)
            .all(|outage| {
                outage
                    .ended_at
                    .is_some_and(|end| at.duration_since(end) > STABILIZATION_TIME)
            })
    }

    fn had_outage_since(&self, at: Instant) -> bool {
        self.outages.iter().any(|outage| outage.began_at >= at)
    }

    fn instances_in_rotation(&self) -> Vec<usize> {
        let up = |index: &usize| self.instances[*index].1;
        (0..self.instances.len()).filter(up).collect()
    }
}

/// Number of checks and the violated guarantees.
#[derive(Debug, Default)]
struct CheckResults {
    answered_requests: usize,
    opened_flows: usize,
    checked_changes: usize,
    violations: Vec<String>,
}

impl CheckResults {
    fn add_violation(&mut self, violation: String) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }
}

/// One run with one seed.
struct Soak {
    net: TestNetwork,
    proxies: Vec<Proxy>,
    instances: Vec<Option<Instance>>,
    stability: Arc<Mutex<Stability>>,
    results: Arc<Mutex<CheckResults>>,
    checks: JoinSet<()>,
    random: SmallRng,
    /// Decides about restores of the store, so that they do not change the other faults of a seed.
    restore_random: SmallRng,
    /// Copy of the store from before the start of the instances, if it will be restored.
    copy: Option<StoreCopy>,
    /// Entries of the latest configuration; each version adds one.
    entries: Vec<SocketAddrV4>,
    next_target: u8,
    /// When the store acknowledged that targets drain, as far as it was stable then.
    drains: Vec<(u64, Instant)>,
    additions: Additions,
}

/// A fault that is injected and later reverted.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Pause(usize),
    Kill(usize),
    Terminate(usize),
    Proxy(usize, Impairment),
    Store(Mode),
    Crash(usize),
    Drain(usize),
}

impl Soak {
    async fn new(seed: u64) -> Self {
        let net = TestNetwork::new(TARGETS).await;
        let additions = Additions::new(seed, &net).await;
        let copy = net.store.copy();
        for _ in 0..LOST_CHANGES {
            net.store
                .put("op/config", &configuration(&additions, 1, &[ENTRY]));
        }
        let mut proxies = Vec::new();
        for index in 0..INSTANCES {
            let address = SocketAddr::from((net.instance_host(index), PROXY_PORT));
            proxies.push(Proxy::start(address, net.store.address).await);
        }
        let long_ago = Instant::now().checked_sub(STABILIZATION_TIME).unwrap();
        let stability = Stability {
            instances: vec![(Some(long_ago), true); usize::from(INSTANCES)],
            targets: net
                .targets
                .iter()
                .chain(additions.undisturbed_targets())
                .map(|target| (target.id, long_ago, true))
                .collect(),
            outages: Vec::new(),
        };
        let mut restore_random = SmallRng::seed_from_u64(!seed);
        let mut soak = Self {
            copy: restore_random.random_bool(0.5).then_some(copy),
            net,
            proxies,
            instances: (0..INSTANCES).map(|_| None).collect(),
            stability: Arc::new(Mutex::new(stability)),
            results: Arc::default(),
            checks: JoinSet::new(),
            random: SmallRng::seed_from_u64(seed),
            restore_random,
            entries: vec![ENTRY],
            next_target: TARGETS,
            drains: Vec::new(),
            additions,
        };
        for index in 0..usize::from(INSTANCES) {
            soak.start(index);
        }
        for instance in soak.instances.iter().flatten() {
            wait_until("the instance is ready", || instance.is_ready()).await;
        }
        soak
    }

    fn start(&mut self, index: usize) {
        // The destructor of the previous process removes the settings file, so it must run before
        // the new process writes its own.
        self.instances[index] = None;
        let store = self.proxies[index].address;
        let instance = self
            .net
            .start_with_bounds(index as u8, store, self.additions.bounds());
        self.instances[index] = Some(instance);
    }

    fn was_store_stable(&self, at: Instant) -> bool {
        self.stability.lock().unwrap().was_store_stable(at)
    }

    /// Records that a fault of an instance begins.
    fn mark_disturbed(&self, index: usize, is_up: bool) {
        self.stability.lock().unwrap().instances[index] = (None, is_up);
    }

    /// Records the end of a fault of an instance, unless another fault still affects it.
    fn mark_recovered(&self, index: usize, running: &[(Instant, Fault)]) {
        let has_other_fault = running.iter().any(
            |(_, fault)| matches!(affected_component(fault), (0 | 1, other) if other == index),
        );
        let mut stability = self.stability.lock().unwrap();
        let is_down = running
            .iter()
            .any(|(_, fault)| affected_component(fault) == (0, index));
        stability.instances[index] = ((!has_other_fault).then(Instant::now), !is_down);
    }

    fn record_target_change(&self, id: u64, is_up: bool) {
        let mut stability = self.stability.lock().unwrap();
        stability.targets.retain(|(known, _, _)| *known != id);
        stability.targets.push((id, Instant::now(), is_up));
    }

    fn random_fault(&mut self) -> Fault {
        let index = self.random.random_range(0..usize::from(INSTANCES));
        let target = self.random.random_range(0..self.net.targets.len());
        let impairments = [
            Impairment::Delayed,
            Impairment::Reset,
            Impairment::Blackhole,
            Impairment::ResponsesLost,
        ];
        let impairment = *impairments.choose(&mut self.random).unwrap();
        // Store faults are rare, because few guarantees apply during the seconds after them.
        match self.random.random_range(0..16) {
            0 | 1 => Fault::Pause(index),
            2 | 3 => Fault::Kill(index),
            4 | 5 => Fault::Terminate(index),
            6..=9 => Fault::Proxy(index, impairment),
            10 => Fault::Store(
                *[Mode::Unavailable, Mode::Unresponsive]
                    .choose(&mut self.random)
                    .unwrap(),
            ),
            11 | 12 => Fault::Crash(target),
            _ => Fault::Drain(target),
        }
    }

    async fn begin_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(index) => {
                self.mark_disturbed(index, false);
                self.instances[index]
                    .iter()
                    .for_each(|instance| instance.send_signal("STOP"));
            }
            Fault::Kill(index) => {
                self.mark_disturbed(index, false);
                self.instances[index] = None;
            }
            Fault::Terminate(index) => {
                self.mark_disturbed(index, false);
                self.instances[index]
                    .iter()
                    .for_each(|instance| instance.send_signal("TERM"));
            }
            Fault::Proxy(index, impairment) => {
                self.mark_disturbed(index, true);
                self.proxies[index].set_impairment(impairment);
            }
            Fault::Store(mode) => {
                self.stability.lock().unwrap().outages.push(Outage {
                    began_at: Instant::now(),
                    ended_at: None,
                });
                self.net.store.set_mode(mode);
            }
            Fault::Crash(target) => {
                let target = &self.net.targets[target];
                self.record_target_change(target.id, false);
                target.kill();
                self.replace_target().await;
            }
            Fault::Drain(target) => {
                let target = &self.net.targets[target];
                self.net.store.put(
                    &target.store_key(),
                    &target.numbered_store_record("draining", 2),
                );
                let acknowledged_at = Instant::now();
                if self.was_store_stable(acknowledged_at) {
                    self.drains.push((target.id, acknowledged_at));
                }
                self.replace_target().await;
            }
        }
    }

    async fn replace_target(&mut self) {
        let index = self.next_target;
        self.next_target += 1;
        self.net.add_target(index).await;
        let id = self.net.targets.last().unwrap().id;
        self.record_target_change(id, true);
    }

    fn end_fault(&mut self, fault: Fault, running: &[(Instant, Fault)]) {
        match fault {
            Fault::Pause(index) => {
                self.instances[index]
                    .iter()
                    .for_each(|instance| instance.send_signal("CONT"));
                self.mark_recovered(index, running);
            }
            Fault::Kill(index) | Fault::Terminate(index) => {
                self.start(index);
                self.mark_recovered(index, running);
            }
            Fault::Proxy(index, _) => {
                self.proxies[index].set_impairment(Impairment::None);
                self.mark_recovered(index, running);
            }
            Fault::Store(_) => {
                self.net.store.set_mode(Mode::Up);
                let mut stability = self.stability.lock().unwrap();
                stability
                    .outages
                    .iter_mut()
                    .filter(|outage| outage.ended_at.is_none())
                    .for_each(|outage| outage.ended_at = Some(Instant::now()));
            }
            Fault::Crash(target) | Fault::Drain(target) => {
                let target = &self.net.targets[target];
                self.record_target_change(target.id, false);
                target.kill();
                self.net.store.delete(&target.store_key());
            }
        }
    }

    /// Restores the store from the copy. Its writers notice some time later.
    fn restore_store(&mut self, copy: &StoreCopy) {
        let began_at = Instant::now();
        self.net.store.restore(copy);
        self.stability.lock().unwrap().outages.push(Outage {
            began_at,
            ended_at: Some(Instant::now()),
        });
        let store = self.net.store.clone();
        let delay = MAX_REWRITE_DELAY.mul_f64(self.restore_random.random());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            store.write_again();
        });
    }

    /// Publishes a configuration with an additional entry, and checks after the change limit that
    /// stable instances serve it. Later configurations keep the entry.
    fn publish_change(&mut self) {
        let version = 1 + self.entries.len() as u64;
        let entry = SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, 1), 1_000 + version as u16);
        self.entries.push(entry);
        if self.random.random_bool(0.2) {
            self.net.store.compact();
        }
        let changed_at = Instant::now();
        let was_store_stable = self.was_store_stable(changed_at);
        let configuration = configuration(&self.additions, version, &self.entries);
        self.net.store.put("op/config", &configuration);
        if !was_store_stable {
            return;
        }
        let host = self.net.caller_host(50 + (version % 100) as u8);
        let vias: Vec<_> = (0..INSTANCES)
            .map(|index| self.net.packet_address(index))
            .collect();
        let results = self.results.clone();
        let stability = self.stability.clone();
        self.checks.spawn(async move {
            tokio::time::sleep_until((changed_at + CHANGE_LIMIT).into()).await;
            let mut caller = Caller::bind(SocketAddrV4::new(host, PACKET_PORT)).await;
            for (index, via) in vias.into_iter().enumerate() {
                let is_stable = || {
                    let stability = stability.lock().unwrap();
                    stability.is_instance_stable(index) && !stability.had_outage_since(changed_at)
                };
                if !is_stable() {
                    continue;
                }
                let opened = caller.open_flow_to(via, entry).await;
                if !is_stable() {
                    continue;
                }
                let mut results = results.lock().unwrap();
                results.checked_changes += 1;
                if opened.is_err() {
                    results.add_violation(format!("version {version} is not active at {via}"));
                }
            }
        });
    }

    /// Restarts instances that exited without being told to, as the platform does, and reports each
    /// as a violation.
    fn restart_ended(&mut self, running: &[(Instant, Fault)]) {
        for index in 0..usize::from(INSTANCES) {
            let is_expected = running
                .iter()
                .any(|(_, fault)| affected_component(fault) == (0, index));
            let Some(instance) = self.instances[index].as_mut().filter(|_| !is_expected) else {
                continue;
            };
            if instance.exit_code().is_some() {
                let violation = format!(
                    "instance {index} exited unexpectedly after {:?}",
                    instance.uptime()
                );
                self.results.lock().unwrap().add_violation(violation);
                self.start(index);
                self.mark_recovered(index, running);
            }
        }
    }

    /// Checks that no stable instance opens flows to a target after its drain limit, or after its
    /// failure domain was evacuated.
    fn check_openings(&mut self) {
        let stability = self.stability.lock().unwrap();
        let mut results = self.results.lock().unwrap();
        let evacuation = self.additions.evacuation.as_ref();
        let mut cold_openings = Vec::new();
        let cold_target = self.additions.cold_target();
        let targets = self.net.targets.iter().chain(cold_target);
        for target in targets {
            for opening in target.take_openings() {
                let Opening { at, sender, .. } = opening;
                let is_cold_target = cold_target.is_some_and(|cold| cold.id == target.id);
                if is_cold_target && !opening.is_copy {
                    cold_openings.push(at);
                }
                let index =
                    (0..INSTANCES).position(|index| sender.ip() == self.net.instance_host(index));
                let is_stable = index.is_some_and(|index| stability.was_instance_stable(index, at))
                    && stability.was_store_stable(at);
                if !is_stable {
                    continue;
                }
                let is_after_drain = self.drains.iter().any(|(id, since)| {
                    *id == target.id && at.saturating_duration_since(*since) > CHANGE_LIMIT
                });
                if is_after_drain {
                    results.add_violation(format!(
                        "{sender} opened a flow to {:x} after its drain limit",
                        target.id
                    ));
                }
                if evacuation.is_some_and(|evacuation| evacuation.forbids(target, at)) {
                    results.add_violation(format!(
                        "{sender} opened a flow to {:x} after its failure domain was evacuated",
                        target.id
                    ));
                }
            }
        }
        drop(results);
        drop(stability);
        if let Some(cold_return) = &mut self.additions.cold_return {
            cold_openings
                .into_iter()
                .for_each(|at| cold_return.record_opening(at));
        }
    }

    /// Begins and ends the faults of [`Additions`] that are due.
    async fn advance_additions(&mut self) {
        let stability = self.stability.clone();
        let is_store_stable = |at| stability.lock().unwrap().was_store_stable(at);
        self.additions.advance(&self.net, is_store_stable).await;
    }

    async fn run(&mut self, duration: Duration) {
        for index in 0..CALLERS {
            let address = SocketAddrV4::new(self.net.caller_host(1 + index), PACKET_PORT);
            let instances = (0..INSTANCES)
                .map(|index| self.net.packet_address(index))
                .collect();
            let caller = Caller::bind(address).await;
            let random = SmallRng::seed_from_u64(self.random.random());
            tokio::spawn(generate_load(
                caller,
                instances,
                self.stability.clone(),
                self.results.clone(),
                random,
            ));
        }
        self.additions.schedule(duration);
        let run_until = Instant::now() + duration;
        // Early, since changes are checked only some time after it.
        let restore_at =
            Instant::now() + duration.mul_f64(self.restore_random.random::<f64>() / 3.0);
        let mut running: Vec<(Instant, Fault)> = Vec::new();
        while Instant::now() < run_until {
            if running.len() < 3 && self.random.random_bool(0.25) {
                let fault = self.random_fault();
                let is_new = running
                    .iter()
                    .all(|(_, other)| affected_component(other) != affected_component(&fault));
                if is_new {
                    self.begin_fault(fault).await;
                    let duration = Duration::from_millis(self.random.random_range(300..4_500));
                    running.push((Instant::now() + duration, fault));
                }
            }
            if self.random.random_bool(0.3) {
                self.publish_change();
            }
            if self.random.random_bool(0.2) {
                let index = self.random.random_range(0..usize::from(INSTANCES));
                self.instances[index]
                    .iter()
                    .filter(|instance| instance.uptime() > SIGNAL_HANDLER_SETUP_TIME)
                    .for_each(|instance| instance.send_signal("HUP"));
            }
            let pause = Duration::from_millis(self.random.random_range(50..600));
            tokio::time::sleep(pause).await;
            self.check_openings();
            self.advance_additions().await;
            let now = Instant::now();
            if now >= restore_at
                && let Some(copy) = self.copy.take()
            {
                self.restore_store(&copy);
            }
            let ended: Vec<Fault> = running
                .extract_if(.., |(end, _)| *end <= now)
                .map(|(_, fault)| fault)
                .collect();
            for fault in ended {
                self.end_fault(fault, &running);
            }
            self.restart_ended(&running);
        }
        self.check_openings();
        self.additions.end(&self.net);
        while let Some((_, fault)) = running.pop() {
            self.end_fault(fault, &running);
        }
    }

    /// Checks that all instances serve requests again and that targets received no packets of
    /// unknown flows.
    async fn finish(mut self) -> CheckResults {
        while let Some(checked) = self.checks.join_next().await {
            checked.unwrap();
        }
        let faults_ended_at = Instant::now();
        for index in 0..INSTANCES {
            let via = self.net.packet_address(index);
            let caller = &mut self.net.caller;
            let mut is_served = false;
            while !is_served && faults_ended_at.elapsed() < RECOVERY_LIMIT {
                is_served = match caller.open_flow(via).await {
                    Ok(mut flow) => caller.send_request(via, &mut flow).await == Outcome::Answered,
                    Err(_) => false,
                };
            }
            if !is_served {
                let violation =
                    format!("no request was answered through {via} within {RECOVERY_LIMIT:?}");
                self.results.lock().unwrap().add_violation(violation);
            }
        }
        for target in &self.net.targets {
            if target.unknown_flow_packets() > 0 {
                let violation = format!(
                    "{} packets of unknown flows at target {:x}",
                    target.unknown_flow_packets(),
                    target.id
                );
                self.results.lock().unwrap().add_violation(violation);
            }
        }
        let mut results = std::mem::take(&mut *self.results.lock().unwrap());
        results
            .violations
            .extend(self.additions.foreign_violation());
        results
            .violations
            .extend(self.additions.cold_return.and_then(|cold| cold.violation()));
        results
    }
}

/// Returns the configuration of a version, with a cold rate if a target will return cold.
fn configuration(
    additions: &Additions,
    version: u64,
    entries: &[SocketAddrV4],
) -> serde_json::Value {
    if additions.cold_return.is_some() {
        return cold_document(version, entries);
    }
    document(version, entries)
}

/// Returns the component that a fault affects. A component has at most one fault at a time.
fn affected_component(fault: &Fault) -> (u8, usize) {
    match fault {
        Fault::Pause(index) | Fault::Kill(index) | Fault::Terminate(index) => (0, *index),
        Fault::Proxy(index, _) => (1, *index),
        Fault::Store(_) => (2, 0),
        Fault::Crash(target) | Fault::Drain(target) => (3, *target),
    }
}

/// Opens flows and sends requests over them through random instances in rotation.
async fn generate_load(
    mut caller: Caller,
    instances: Vec<SocketAddrV4>,
    stability: Arc<Mutex<Stability>>,
    results: Arc<Mutex<CheckResults>>,
    mut random: SmallRng,
) {
    loop {
        let index = stability
            .lock()
            .unwrap()
            .instances_in_rotation()
            .choose(&mut random)
            .copied();
        let Some(index) = index else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let opened = caller.open_flow(instances[index]).await;
        let Ok(mut flow) = opened else {
            let stability = stability.lock().unwrap();
            if stability.is_instance_stable(index) {
                let violation = format!(
                    "could not open a flow through {}: {opened:?}",
                    instances[index]
                );
                results.lock().unwrap().add_violation(violation);
            }
            continue;
        };
        results.lock().unwrap().opened_flows += 1;
        for _ in 0..random.random_range(1..12) {
            let choice = stability
                .lock()
                .unwrap()
                .instances_in_rotation()
                .choose(&mut random)
                .copied();
            let Some(index) = choice else { break };
            let outcome = caller.send_request(instances[index], &mut flow).await;
            if outcome == Outcome::Answered {
                results.lock().unwrap().answered_requests += 1;
                tokio::time::sleep(Duration::from_millis(random.random_range(5..150))).await;
                continue;
            }
            let stability = stability.lock().unwrap();
            let is_alive = stability.targets.iter().any(|(id, since, is_up)| {
                steer::TargetId(*id).token().0 == flow.token
                    && *is_up
                    && since.elapsed() > STABILIZATION_TIME
            });
            if outcome == Outcome::Reset && is_alive {
                let violation = format!(
                    "a flow to a live target was reset through {}",
                    instances[index]
                );
                results.lock().unwrap().add_violation(violation);
            }
            break;
        }
    }
}

fn selected_seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    match text.split_once('-') {
        Some((first, last)) => (first.parse().unwrap()..=last.parse().unwrap()).collect(),
        None => vec![text.parse().unwrap()],
    }
}

#[tokio::test]
async fn guarantees_hold_under_random_faults() {
    let duration_s = std::env::var("SOAK_SECONDS").map_or(15, |text| text.parse().unwrap());
    let mut failed = Vec::new();
    for seed in selected_seeds() {
        let mut soak = Soak::new(seed).await;
        soak.run(Duration::from_secs(duration_s)).await;
        let results = soak.finish().await;
        println!("seed {seed}: {results:?}");
        if !results.violations.is_empty() || results.answered_requests == 0 {
            failed.push((seed, results));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
