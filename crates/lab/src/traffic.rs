//! Simulates request traffic of callers, shards and targets in simulated time.

use std::collections::BTreeMap;
use std::sync::Arc;

use balance::event::{Observation, ShardAction, ShardEvent};
use balance::request::RequestSettings;
use balance::shard::{Shard, ShardSettings};
use balance::view::View;
use conf::Document;
use hashbrown::HashMap;
use ids::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wire::frame::{Frame, Kind, Refusal};
use wire::peer::{Body, RelayedFrame};
use wire::seal::Keys;
use wire::token::TargetId;

use crate::fixture::{self, DOMAINS, Fleet};

const SECOND_US: u64 = 1_000_000;
const TICK_INTERVAL_US: u64 = 10_000;
const CALLER_HOP_US: u64 = 1_000;
const LOCAL_HOP_US: u64 = 250;
/// Interval between load vectors of an instance, which limits their age at the peers.
const LOAD_VECTOR_INTERVAL_US: u64 = 200_000;

/// Requests of one service and class.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Service.
    pub service: &'static str,
    /// Class.
    pub class: &'static str,
    /// Members as (name, index of the failure domain).
    pub members: Vec<(String, usize)>,
    /// Request rate over all members.
    pub requests_per_second: f64,
    /// Mean run time. Run times are exponentially distributed.
    pub mean_run_ms: f64,
    /// Second at which the stream begins.
    pub from_s: u64,
    /// Second at which the stream ends.
    pub until_s: u64,
    /// Deadline of each request.
    pub deadline_ms: u32,
}

/// Deviation of a target from normal behaviour.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetAnomaly {
    /// Factor by which runs take longer; values below 1 count as 1.
    pub run_time_factor: f64,
    /// Added to the load that the target reports.
    pub reported_load_offset: i32,
    /// Ramp of a cold target in the views, as its share of full capacity in thousandths.
    pub ramp_permille: Option<u32>,
}

/// Workload and faults of one simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed of arrivals, run times and the choice of instances.
    pub seed: u64,
    /// Fleet whose services receive the requests.
    pub fleet: Fleet,
    /// Request settings of all shards.
    pub settings: RequestSettings,
    /// Request streams.
    pub streams: Vec<Stream>,
    /// Duration in seconds.
    pub seconds: u64,
    /// Abnormal targets as (service, index of the target, anomaly).
    pub anomalies: Vec<(&'static str, usize, TargetAnomaly)>,
    /// Weight of each instance when the fabric chooses one for a request.
    pub instance_weights: Vec<u32>,
    /// Documents with the second at which all shards activate them.
    pub documents: Vec<(u64, Document)>,
    /// Drained targets as (second, service, index of the target).
    pub drains: Vec<(u64, &'static str, usize)>,
    /// One-way latency between failure domains.
    pub domain_hop_us: u64,
}

/// Result of one request.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Index of its stream.
    pub stream: usize,
    /// Index of its member within the stream.
    pub member: usize,
    /// Time at which it was sent.
    pub sent_us: u64,
    /// Time from sending to the answer, without the run.
    pub wait_us: Option<u64>,
    /// Refusal that the caller received last, if any.
    pub refusal: Option<Refusal>,
    /// Number of times a target ran it.
    pub runs: u32,
    run_us: u64,
}

/// Measurements of one simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Results of all requests.
    pub samples: Vec<Sample>,
    /// Slot time used by each target in each second.
    pub busy_us: BTreeMap<TargetId, Vec<u64>>,
    /// Requests that reached a target.
    pub forwarded: u64,
    /// Requests that targets refused because all slots were in use.
    pub refused_by_targets: u64,
    /// Time during which at least one request waited at a shard.
    pub waiting_us: u64,
    /// Idle slots of the main service integrated over `waiting_us`.
    pub idle_slot_us: u64,
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    Shard(usize, ShardEvent),
    Target(TargetId, usize, Frame),
    RunFinished(TargetId, usize, Frame, u64),
    Caller(Frame),
    Tick,
    LoadVectors(usize),
    Document(Document),
    Drain(&'static str, usize),
}

#[derive(Debug)]
struct SimulatedTarget {
    domain: usize,
    slots: u32,
    running: u32,
    anomaly: TargetAnomaly,
    service: &'static str,
}

/// State of a running simulation.
struct Simulation {
    scenario: Scenario,
    /// One generator per stream, so that adding a stream does not change the others.
    rngs: Vec<SmallRng>,
    now: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    shards: Vec<Shard>,
    views: Vec<View>,
    /// Requests in flight of each instance by target, as its load vector reports them.
    in_flight: Vec<HashMap<TargetId, u32>>,
    load_vectors: Vec<HashMap<TargetId, u32>>,
    targets: BTreeMap<TargetId, SimulatedTarget>,
    sample_by_request: HashMap<u64, usize>,
    waiting_count: usize,
    outcome: Outcome,
}

/// Runs a scenario to its end and returns the measurements.
pub fn run(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    let end = simulation.scenario.seconds * SECOND_US;
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        if at > end {
            break;
        }
        simulation.advance_to(at);
        simulation.handle(event);
    }
    simulation.outcome
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let document = Arc::new(fixture::document(&scenario.fleet));
        let views: Vec<_> = (0..scenario.fleet.instances)
            .map(|index| fixture::view(&scenario.fleet, &document, index))
            .collect();
        let targets = targets(&scenario, &document);
        let mut simulation = Self {
            rngs: (0..scenario.streams.len() as u64)
                .map(|stream| SmallRng::seed_from_u64(scenario.seed ^ (stream << 32)))
                .collect(),
            // Shards get this time plus 10 s, see `handle_shard_event`.
            now: 0,
            sequence: 0,
            events: BTreeMap::new(),
            shards: Vec::new(),
            in_flight: vec![HashMap::new(); views.len()],
            load_vectors: vec![HashMap::new(); views.len()],
            views,
            targets,
            sample_by_request: HashMap::new(),
            waiting_count: 0,
            outcome: Outcome::default(),
            scenario,
        };
        for index in 0..simulation.views.len() {
            let settings = ShardSettings {
                request: simulation.scenario.settings.clone(),
                ..ShardSettings::default()
            };
            simulation
                .shards
                .push(Shard::new(settings, Keys::new("lab", None)));
            simulation.apply_cold_ramps(index);
            simulation.publish_view(index);
            simulation.schedule(
                LOAD_VECTOR_INTERVAL_US * index as u64 / 8,
                Event::LoadVectors(index),
            );
        }
        simulation.schedule(0, Event::Tick);
        for stream in 0..simulation.scenario.streams.len() {
            let from_us = simulation.scenario.streams[stream].from_s * SECOND_US;
            simulation.schedule(from_us, Event::Arrival(stream));
        }
        for (at_s, service, number) in simulation.scenario.drains.clone() {
            simulation.schedule(at_s * SECOND_US, Event::Drain(service, number));
        }
        for (at_s, document) in simulation.scenario.documents.clone() {
            simulation.schedule(at_s * SECOND_US, Event::Document(document));
        }
        simulation
    }

    fn apply_cold_ramps(&mut self, index: usize) {
        for (target, state) in &self.targets {
            if let Some(ramp_permille) = state.anomaly.ramp_permille
                && let Some(view) = self.views[index].targets.get_mut(target)
            {
                view.ramp_permille = ramp_permille;
            }
        }
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.sequence += 1;
        self.events
            .insert((self.now + after_us, self.sequence), event);
    }

    /// Advances the time and integrates the slot usage up to it.
    fn advance_to(&mut self, to: u64) {
        let elapsed_us = to - self.now;
        let second = (self.now / SECOND_US) as usize;
        let mut idle_slots = 0;
        for (target, state) in &self.targets {
            let busy = self.outcome.busy_us.entry(*target).or_default();
            if busy.len() <= second {
                busy.resize(second + 1, 0);
            }
            busy[second] += elapsed_us * u64::from(state.running);
            if state.service == self.scenario.fleet.main.name {
                idle_slots += u64::from(state.slots - state.running);
            }
        }
        if self.waiting_count > 0 {
            self.outcome.waiting_us += elapsed_us;
            self.outcome.idle_slot_us += elapsed_us * idle_slots;
        }
        self.now = to;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(stream) => self.send_request(stream),
            Event::Shard(index, event) => self.handle_shard_event(index, event),
            Event::Target(target, from, frame) => self.handle_target_frame(target, from, frame),
            Event::RunFinished(target, to, frame, run_us) => {
                self.finish_run(target, to, frame, run_us)
            }
            Event::Caller(frame) => self.handle_caller_reply(&frame),
            Event::Tick => {
                for index in 0..self.shards.len() {
                    self.handle_shard_event(index, ShardEvent::Tick);
                }
                self.schedule(TICK_INTERVAL_US, Event::Tick);
            }
            Event::LoadVectors(index) => self.send_load_vector(index),
            Event::Drain(service, number) => self.drain_target(service, number),
            Event::Document(document) => {
                let document = Arc::new(document);
                for index in 0..self.shards.len() {
                    self.views[index].document = Arc::clone(&document);
                    self.publish_view(index);
                }
            }
        }
    }

    fn drain_target(&mut self, service: &str, number: usize) {
        for index in 0..self.views.len() {
            let view = &mut self.views[index];
            let Some(name) = view
                .document
                .services
                .keys()
                .find(|name| name.as_str() == service)
            else {
                continue;
            };
            let names = view.document.services[name].targets.keys();
            let drained: Vec<_> = names.map(|target| TargetId::new(name, target)).collect();
            if let Some(target) = view.targets.get_mut(&drained[number]) {
                target.accepts_new = false;
            }
            if let Some(sets) = view.target_sets.get_mut(name)
                && let Some(last) = sets.last()
            {
                let mut set = last.as_ref().clone();
                set.candidates
                    .retain(|candidate| candidate.target != drained[number]);
                sets.push(Arc::new(set));
            }
            self.publish_view(index);
        }
    }

    /// Publishes the load vector of one instance and gives it those that its peers published last.
    fn send_load_vector(&mut self, index: usize) {
        self.load_vectors[index] = self.in_flight[index].clone();
        for (target, view) in &mut self.views[index].targets {
            let others = self
                .load_vectors
                .iter()
                .enumerate()
                .filter(|(peer, _)| *peer != index);
            view.peers_in_flight = others
                .map(|(_, vector)| vector.get(target).copied().unwrap_or(0))
                .sum();
        }
        self.publish_view(index);
        self.schedule(LOAD_VECTOR_INTERVAL_US, Event::LoadVectors(index));
    }

    fn publish_view(&mut self, index: usize) {
        let view = Arc::new(self.views[index].clone());
        self.handle_shard_event(index, ShardEvent::View(view));
    }

    fn send_request(&mut self, number: usize) {
        let stream = &self.scenario.streams[number];
        if self.now >= stream.until_s * SECOND_US {
            return;
        }
        let rng = &mut self.rngs[number];
        let member = rng.random_range(0..stream.members.len());
        let (name, domain) = &stream.members[member];
        let id: u64 = rng.random();
        let frame = Frame {
            service: stream.service.to_owned(),
            class: stream.class.to_owned(),
            member: name.clone(),
            domain: DOMAINS[*domain].to_owned(),
            request: id,
            deadline_ms: stream.deadline_ms,
            ..Frame::new(Kind::Request)
        };
        let run_us = exponential(rng, stream.mean_run_ms * 1_000.0);
        let gap_us = exponential(rng, SECOND_US as f64 / stream.requests_per_second);
        self.sample_by_request
            .insert(id, self.outcome.samples.len());
        self.outcome.samples.push(Sample {
            stream: number,
            member,
            sent_us: self.now,
            wait_us: None,
            refusal: None,
            runs: 0,
            run_us,
        });
        let to = choose_instance(&self.scenario.instance_weights, &mut self.rngs[number]);
        let from = fixture::address(8, 1);
        self.schedule(
            CALLER_HOP_US,
            Event::Shard(to, ShardEvent::CallerFrame { from, frame }),
        );
        self.schedule(gap_us, Event::Arrival(number));
    }

    fn handle_shard_event(&mut self, index: usize, event: ShardEvent) {
        let before = self.shards[index].requests().waiting_count();
        let mut out = Vec::new();
        // The fixture's epoch begins at zero. The offset makes ownership older than the fence
        // before the first request arrives.
        let now = Micros(self.now + 10 * SECOND_US);
        self.shards[index].handle(now, event, &mut out);
        self.waiting_count =
            self.waiting_count + self.shards[index].requests().waiting_count() - before;
        for action in out {
            self.execute(index, action);
        }
    }

    fn execute(&mut self, index: usize, action: ShardAction) {
        match action {
            ShardAction::SendToTarget { target, frame, .. } => {
                let hop_us = self.hop_us(index, target);
                self.schedule(hop_us, Event::Target(target, index, frame));
            }
            ShardAction::SendToCaller { frame, .. } => {
                self.schedule(CALLER_HOP_US, Event::Caller(frame))
            }
            ShardAction::SendToPeer {
                to,
                body:
                    Body::RelayedFrame(RelayedFrame {
                        frame: Some(frame),
                        hops,
                    }),
            } => {
                let peer = self
                    .views
                    .iter()
                    .position(|view| view.instance == to)
                    .unwrap_or(0);
                let from = self.views[index].instance.clone();
                let hop_us = match peer % DOMAINS.len() == index % DOMAINS.len() {
                    true => LOCAL_HOP_US,
                    false => self.scenario.domain_hop_us,
                };
                self.schedule(
                    hop_us,
                    Event::Shard(peer, ShardEvent::RelayedFrame { from, frame, hops }),
                );
            }
            ShardAction::ReportObservation(Observation::InFlight { target, count }) => {
                self.in_flight[index].insert(target, count);
            }
            _ => {}
        }
    }

    fn hop_us(&self, index: usize, target: TargetId) -> u64 {
        match self.targets[&target].domain == index % DOMAINS.len() {
            true => LOCAL_HOP_US,
            false => self.scenario.domain_hop_us,
        }
    }

    fn handle_target_frame(&mut self, target: TargetId, from: usize, frame: Frame) {
        let sample_index = self
            .sample_by_request
            .get(&frame.request)
            .copied()
            .unwrap_or(0);
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        if frame.kind() == Kind::Cancel {
            return;
        }
        self.outcome.forwarded += 1;
        if state.running >= state.slots {
            self.outcome.refused_by_targets += 1;
            let refusal = Frame {
                load: reported_load(state),
                ..Frame::refusal_for(&frame, Refusal::Overloaded)
            };
            self.reply(target, from, refusal);
            return;
        }
        state.running += 1;
        let sample = &mut self.outcome.samples[sample_index];
        sample.runs += 1;
        let run_time_factor = state.anomaly.run_time_factor.max(1.0);
        let run_us = (sample.run_us as f64 * run_time_factor) as u64;
        sample.run_us = run_us;
        self.schedule(run_us, Event::RunFinished(target, from, frame, run_us));
    }

    fn finish_run(&mut self, target: TargetId, to: usize, frame: Frame, _run_us: u64) {
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        state.running -= 1;
        let answer = Frame {
            kind: Kind::Answer.into(),
            last: true,
            load: reported_load(state),
            ..frame
        };
        self.reply(target, to, answer);
    }

    fn reply(&mut self, target: TargetId, to: usize, frame: Frame) {
        let from = self.views[0].targets[&target].declared.address;
        let hop_us = self.hop_us(to, target);
        self.schedule(
            hop_us,
            Event::Shard(to, ShardEvent::TargetFrame { from, frame }),
        );
    }

    fn handle_caller_reply(&mut self, frame: &Frame) {
        let Some(sample) = self.sample_by_request.get(&frame.request) else {
            return;
        };
        let sample = &mut self.outcome.samples[*sample];
        match frame.kind() {
            Kind::Answer => {
                sample.wait_us = Some((self.now - sample.sent_us).saturating_sub(sample.run_us));
            }
            _ => sample.refusal = Some(frame.refusal()),
        }
    }
}

fn targets(scenario: &Scenario, document: &Document) -> BTreeMap<TargetId, SimulatedTarget> {
    let mut targets = BTreeMap::new();
    for fleet_service in [&scenario.fleet.main, &scenario.fleet.bulk] {
        let service = document
            .services
            .iter()
            .find(|(name, _)| name.as_str() == fleet_service.name);
        let Some((name, service)) = service else {
            continue;
        };
        for (number, (target, declared)) in service.targets.iter().enumerate() {
            let is_this = |anomaly: &&(&str, usize, TargetAnomaly)| {
                anomaly.0 == fleet_service.name && anomaly.1 == number
            };
            let anomaly = scenario.anomalies.iter().find(is_this);
            let state = SimulatedTarget {
                domain: number % DOMAINS.len(),
                slots: declared.slots.0,
                running: 0,
                anomaly: anomaly.map_or(TargetAnomaly::default(), |(_, _, anomaly)| *anomaly),
                service: fleet_service.name,
            };
            targets.insert(TargetId::new(name, target), state);
        }
    }
    targets
}

fn choose_instance(weights: &[u32], rng: &mut SmallRng) -> usize {
    let mut remaining = rng.random_range(0..weights.iter().sum());
    for (instance, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return instance;
        }
        remaining -= weight;
    }
    0
}

fn reported_load(state: &SimulatedTarget) -> u32 {
    let load = state.running as i32 + state.anomaly.reported_load_offset;
    load.max(0) as u32 + 1
}

fn exponential(rng: &mut SmallRng, mean: f64) -> u64 {
    let fraction: f64 = rng.random_range(f64::EPSILON..1.0);
    (-fraction.ln() * mean) as u64
}

/// Returns members, assigned to the failure domains round-robin.
pub fn members(prefix: &str, count: usize) -> Vec<(String, usize)> {
    (0..count)
        .map(|number| (format!("{prefix}{number}"), number % DOMAINS.len()))
        .collect()
}
