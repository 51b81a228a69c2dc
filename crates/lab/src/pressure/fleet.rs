//! The instances: real steering cores, and the load reports and observations that they exchange.

use std::collections::BTreeMap;

use ids::{Micros, Millis, hash_of};
use smol_str::{SmolStr, format_smolstr};
use steer::{FlowId, RemoteLoad, Resend, Settings, Steer, TargetId, Verdict};

use super::callers::CallerPacket;
use super::events::{Event, Events};
use super::exchange::{Report, Root};
use super::scenario::{SERVICES, Scenario};
use super::store::{Store, domain_name};
use super::targets::Target;
use crate::Result;

const SWEEP_INTERVAL_US: u64 = 1_000_000;
/// Interval of load reports while requests wait for slots, and otherwise.
const REPORT_INTERVALS_US: [u64; 2] = [100_000, 400_000];
/// Timeout of a root that asks for a summary.
const CALL_TIMEOUT: Millis = Millis(400);
/// Time of an observation from one instance to another.
const EVIDENCE_DELAY_US: u64 = 2_000;
/// Seed that separates the hash of the fabric from other uses of the hash.
const FABRIC_SEED: u64 = 0x0066_6162_7269_6373;

/// An instance.
#[derive(Debug)]
struct Instance {
    domain: usize,
    weight: f64,
    /// The core, unless the instance has stopped.
    steer: Option<Steer>,
    /// Cut off from the exchange.
    is_cut_off: bool,
    timer_at: Option<Micros>,
}

/// All instances.
#[derive(Debug)]
pub struct Fleet {
    instances: Vec<Instance>,
    /// The root of the exchange in each domain.
    domains: Vec<Root>,
    settings: Settings,
    weights: Vec<f64>,
    seed: u64,
    store: Store,
    /// Changes whenever flows may reach other instances than before.
    pub generation: u32,
    /// Resets of opening packets by reason.
    pub refusals: BTreeMap<SmolStr, u64>,
    /// Time, domain and share of the first service's flows that the first instance of the domain
    /// spills, at each of its totals.
    pub spill_shares: Vec<(Micros, usize, f32)>,
}

impl Fleet {
    /// Creates a fleet without instances. Targets are given by their service and domain.
    pub fn new(scenario: &Scenario, targets: &[Target], seed: u64) -> Self {
        Self {
            instances: Vec::new(),
            domains: scenario
                .domain_shares
                .iter()
                .map(|_| Root::default())
                .collect(),
            settings: scenario.settings.clone(),
            weights: scenario.instance_weights.clone(),
            seed,
            store: Store::new(&scenario.classes, targets),
            generation: 0,
            refusals: BTreeMap::new(),
            spill_shares: Vec::new(),
        }
    }

    /// Starts instances that know all targets and no load.
    pub fn join(&mut self, events: &mut Events, count: usize) -> Result<()> {
        for _ in 0..count {
            let index = self.instances.len();
            let domain = index % self.domains.len();
            let settings = Settings {
                domain: domain_name(domain),
                ..self.settings.clone()
            };
            let mut steer = Steer::new(settings, self.seed.wrapping_add(index as u64))?;
            let (revision, updates) = self.store.all();
            steer.apply_snapshot(events.now(), revision, updates);
            self.instances.push(Instance {
                domain,
                weight: self.weights[(index / self.domains.len()) % self.weights.len()],
                steer: Some(steer),
                is_cut_off: false,
                timer_at: None,
            });
            // Instances start at different times, so their timers are spread over the interval.
            let phase = hash_of(self.seed, &index.to_be_bytes());
            events.add_after(phase % SWEEP_INTERVAL_US, Event::Sweep(index));
            events.add_after(phase % REPORT_INTERVALS_US[0], Event::Report(index));
        }
        self.generation += 1;
        Ok(())
    }

    /// Stops the instances that started first.
    pub fn leave(&mut self, count: usize) {
        let running = self
            .instances
            .iter_mut()
            .filter(|instance| instance.steer.is_some());
        for instance in running.take(count) {
            instance.steer = None;
        }
        self.generation += 1;
    }

    /// Cuts a share of the instances off from the exchange.
    pub fn cut_exchange(&mut self, share: f64) {
        let count = (self.instances.len() as f64 * share).ceil() as usize;
        for instance in self.instances.iter_mut().take(count) {
            instance.is_cut_off = true;
        }
    }

    /// Publishes that a target has started again, or that its report has expired.
    pub fn publish(&mut self, now: Micros, target: usize, incarnation: u64, is_gone: bool) {
        let update = self.store.publish(target, incarnation, is_gone);
        for instance in &mut self.instances {
            if let Some(steer) = &mut instance.steer {
                steer.apply_changes(now, update.revision, vec![update.clone()]);
            }
        }
    }

    /// Returns the instance that gets a flow's packets, by weighted rendezvous hashing.
    pub fn instance_of(&self, flow: &FlowId, domain: usize) -> Option<usize> {
        let mut key = [0; 14];
        key[..4].copy_from_slice(&flow.caller.ip().octets());
        key[4..6].copy_from_slice(&flow.caller.port().to_be_bytes());
        let running = self
            .instances
            .iter()
            .enumerate()
            .filter(|(_, instance)| instance.domain == domain && instance.steer.is_some());
        let ranks = running.map(|(index, instance)| {
            key[6..].copy_from_slice(&(index as u64).to_be_bytes());
            let point = (hash_of(FABRIC_SEED, &key) >> 11) as f64 / (1_u64 << 53) as f64;
            (index, point.ln() / instance.weight)
        });
        let best = ranks.max_by(|left, right| left.1.total_cmp(&right.1));
        best.map(|(index, _)| index)
    }

    /// Passes a packet to a core. An instance that has stopped loses it.
    pub fn on_packet(
        &mut self,
        events: &mut Events,
        index: usize,
        packet: &CallerPacket,
    ) -> Option<Verdict> {
        let steer = self.instances[index].steer.as_mut()?;
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&(packet.flow as u64).to_be_bytes());
        let verdict = steer.on_segment(events.now(), &packet.segment, &bytes);
        if let (Verdict::Reset(reason), true) = (verdict, packet.is_opening()) {
            let reason = format_smolstr!("{reason:?}");
            *self.refusals.entry(reason).or_default() += 1;
        }
        self.after_call(events, index);
        Some(verdict)
    }

    /// Runs a core's handshake timer.
    pub fn on_timer(&mut self, events: &mut Events, index: usize) -> Vec<Resend> {
        let mut resends = Vec::new();
        let instance = &mut self.instances[index];
        instance.timer_at = None;
        if let Some(steer) = instance.steer.as_mut() {
            steer.on_timer(events.now(), |resend| resends.push(resend));
        }
        self.after_call(events, index);
        resends
    }

    /// Runs a core's sweep.
    pub fn on_sweep(&mut self, events: &mut Events, index: usize) {
        if let Some(steer) = self.instances[index].steer.as_mut() {
            steer.sweep(events.now());
            events.add_after(SWEEP_INTERVAL_US, Event::Sweep(index));
        }
        self.after_call(events, index);
    }

    /// Schedules the core's next timer and tells its observations to the others of its domain.
    fn after_call(&mut self, events: &mut Events, index: usize) {
        let instance = &mut self.instances[index];
        let Some(steer) = instance.steer.as_mut() else {
            return;
        };
        let due = steer.next_timer_at();
        if let Some(due) = due.filter(|due| instance.timer_at.is_none_or(|at| *due < at)) {
            instance.timer_at = Some(due);
            events.add(due, Event::CoreTimer(index));
        }
        let notes = steer.take_notes();
        let (domain, is_cut_off) = (instance.domain, instance.is_cut_off);
        if is_cut_off {
            return;
        }
        for evidence in notes.iter().filter_map(steer::Note::evidence) {
            for (other, peer) in self.instances.iter().enumerate() {
                if other != index && peer.domain == domain && !peer.is_cut_off {
                    let event = Event::Evidence(other, evidence);
                    events.add_after(EVIDENCE_DELAY_US, event);
                }
            }
        }
    }

    /// Applies an observation of another instance.
    pub fn on_evidence(&mut self, now: Micros, index: usize, evidence: &steer::Evidence) {
        if let Some(steer) = self.instances[index].steer.as_mut() {
            steer.on_evidence(now, evidence);
        }
    }

    /// Takes the report of an instance, if it is connected.
    pub fn report(&mut self, events: &mut Events, index: usize) -> Option<Report> {
        let instance = &mut self.instances[index];
        let steer = instance.steer.as_mut()?;
        let interval = REPORT_INTERVALS_US[usize::from(!steer.has_queued_requests())];
        events.add_after(interval, Event::Report(index));
        let report = Report {
            loads: steer.take_own_loads(),
            callers: steer.take_own_callers(events.now()),
        };
        (!instance.is_cut_off).then_some(report)
    }

    /// Records a report at the root of its domain.
    pub fn on_report(&mut self, now: Micros, index: usize, report: Report) {
        self.domains[self.instances[index].domain].receive(now, index, report);
    }

    /// Returns the instances of a domain that take part in the exchange.
    fn members(&self, domain: usize) -> Vec<usize> {
        let members = self.instances.iter().enumerate().filter(|(_, instance)| {
            instance.domain == domain && !instance.is_cut_off && instance.steer.is_some()
        });
        members.map(|(index, _)| index).collect()
    }

    /// Returns the first instance of a domain, which stands for the root.
    fn root(&self, domain: usize) -> Option<&Steer> {
        let root = *self.members(domain).first()?;
        self.instances[root].steer.as_ref()
    }

    /// Returns the domains whose loads the root of a domain asks for now.
    pub fn domains_to_ask(&mut self, now: Micros, domain: usize) -> Vec<usize> {
        let is_needed = self
            .root(domain)
            .is_some_and(|root| root.needs_remote_loads(now));
        if !is_needed || !self.domains[domain].is_time_to_ask(now) {
            return Vec::new();
        }
        let others = 0..self.domains.len();
        others.filter(|other| *other != domain).collect()
    }

    /// Returns the summary of a domain's load.
    pub fn summary(&self, now: Micros, domain: usize) -> Option<Vec<RemoteLoad>> {
        self.root(domain).map(|root| root.domain_summary(now))
    }

    /// Records a summary of another domain at the root of a domain, which asked for it at a time.
    pub fn on_summary(
        &mut self,
        now: Micros,
        domain: usize,
        asked_at: Micros,
        loads: &[RemoteLoad],
    ) {
        if now.since(asked_at) <= CALL_TIMEOUT {
            self.domains[domain].receive_summary(now, loads);
        }
    }

    /// Takes the summaries of other domains that have reached the root of a domain.
    pub fn take_summaries(&mut self, now: Micros, domain: usize) -> Vec<RemoteLoad> {
        self.domains[domain].take_summaries(now)
    }

    /// Takes the sums of a domain and the instances that get them.
    pub fn sums(&mut self, events: &mut Events, domain: usize) -> (Vec<usize>, Report) {
        let members = self.members(domain);
        let is_queued = members.iter().any(|index| {
            let steer = self.instances[*index].steer.as_ref();
            steer.is_some_and(Steer::has_queued_requests)
        });
        let interval = REPORT_INTERVALS_US[usize::from(!is_queued)];
        events.add_after(interval, Event::Sum(domain));
        (members, self.domains[domain].take_sums(events.now()))
    }

    /// Returns the mean slowness of a target as the instances of its domain know it.
    pub fn slowness(&self, target: usize, domain: usize) -> f64 {
        let instances = self.instances.iter();
        let cores = instances.filter(|instance| instance.domain == domain);
        let records = cores.filter_map(|instance| {
            let view = instance.steer.as_ref()?.view();
            view.record(TargetId(target as u64 + 1))
        });
        let (sum, count) = records.fold((0.0, 0_u32), |(sum, count), record| {
            (sum + f64::from(record.load.slowness()), count + 1)
        });
        sum / f64::from(count.max(1))
    }

    /// Returns the busy time of the first service's busiest target over the mean as the instances know
    /// it, the most of all.
    pub fn busiest_over_mean(&self, now: Micros) -> f64 {
        let cores = self.instances.iter().filter_map(|core| core.steer.as_ref());
        let balances = cores.flat_map(|steer| steer.work_balance(now));
        let ratios = balances
            .filter(|balance| balance.service == SERVICES[0])
            .map(|balance| f64::from(balance.busiest_over_mean_milli) / 1_000.0);
        ratios.fold(0.0, f64::max)
    }

    /// Applies the sums of a domain, and summaries of others.
    pub fn on_sums(&mut self, now: Micros, index: usize, sums: &Report, remote: &[RemoteLoad]) {
        let domain = self.instances[index].domain;
        let Some(steer) = self.instances[index].steer.as_mut() else {
            return;
        };
        steer.on_remote_loads(now, remote);
        steer.on_domain_loads(now, &sums.loads);
        steer.on_domain_callers(now, &sums.callers);
        // The first instance of each domain.
        if index == domain {
            let mut shares = steer.spill_shares(now);
            let share = shares.find(|(service, _)| *service == SERVICES[0]);
            let share = share.map_or(0.0, |(_, share)| share);
            self.spill_shares.push((now, domain, share));
        }
    }
}
