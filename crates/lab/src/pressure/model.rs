//! The simulated network: passes packets between callers, instances and targets.

use ids::{Micros, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use steer::{Destination, Token, Verdict};

use super::best::{self, BIN};
use super::callers::{Answer, CallerPacket, Flow, Request};
use super::events::{Event, Events};
use super::fleet::Fleet;
use super::results::Results;
use super::scenario::{Exchange, Scenario};
use super::targets::{Admission, Job, Target};
use super::users::User;
use crate::Result;

/// One way from a caller to an instance of its domain, and from a target of the domain to it.
const CALLER_US: u64 = 3_000;
/// One way inside a failure domain, and between two.
const HOP_US: [u64; 2] = [200, 4_900];

/// Time from which the slowness is sampled, when instances have seen enough requests.
const SLOWNESS_FROM: Micros = Micros(4_000_000);

/// The state of a run.
#[derive(Debug)]
pub(super) struct Model<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) events: Events,
    pub(super) random: SmallRng,
    /// Losses of summaries, which must not change the load of a run.
    summary_random: SmallRng,
    pub(super) requests: Vec<Request>,
    /// Users of each stream.
    pub(super) users: Vec<Vec<User>>,
    pub(super) flows: Vec<Flow>,
    /// Next port of each caller, by domain.
    pub(super) ports: Vec<Vec<u16>>,
    pub(super) targets: Vec<Target>,
    pub(super) fleet: Fleet,
    capacity: Vec<best::Capacity>,
    /// Sums of the samples of each target's slowness, and their number.
    slowness: (Vec<f64>, u32),
    seen_busiest_over_mean: f64,
}

/// Runs a scenario until every request has ended.
///
/// # Errors
/// Fails if a core cannot be created.
pub fn run(scenario: &Scenario, seed: u64) -> Result<Results> {
    let mut model = Model::new(scenario, seed)?;
    let longest = scenario.classes.iter().map(|class| class.deadline).max();
    let end = scenario.duration + longest.unwrap_or_default() + Millis(1_000);
    while let Some(event) = model.events.next_until(end) {
        model.handle(event)?;
    }
    Ok(Results {
        scenario: scenario.clone(),
        requests: model.requests,
        targets: model.targets,
        refusals: model.fleet.refusals,
        spill_shares: model.fleet.spill_shares,
        capacity: model.capacity,
        seen_busiest_over_mean: model.seen_busiest_over_mean,
        slowness: {
            let (sums, samples) = model.slowness;
            let means = sums.iter().map(|sum| sum / f64::from(samples.max(1)));
            means.collect()
        },
    })
}

impl<'a> Model<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Result<Self> {
        let domains = scenario.domain_shares.len();
        let mut targets = Vec::new();
        for (service, count) in scenario.targets.iter().enumerate() {
            for index in 0..*count {
                let speeds = &scenario.speeds[service];
                let speed = speeds[(index / domains) % speeds.len()];
                targets.push(Target::new(service, index % domains, speed));
            }
        }
        let mut events = Events::default();
        let mut fleet = Fleet::new(scenario, &targets, seed);
        fleet.join(&mut events, scenario.instances)?;
        let mut model = Self {
            scenario,
            events,
            random: SmallRng::seed_from_u64(seed),
            summary_random: SmallRng::seed_from_u64(seed.wrapping_add(1)),
            requests: Vec::new(),
            users: Vec::new(),
            flows: Vec::new(),
            ports: vec![vec![1_024; scenario.callers + 1]; domains],
            slowness: (vec![0.0; targets.len()], 0),
            seen_busiest_over_mean: 0.0,
            targets,
            fleet,
            capacity: Vec::new(),
        };
        for (index, stream) in scenario.streams.iter().enumerate() {
            let users = (0..stream.users).map(|_| model.new_user(stream)).collect();
            model.users.push(users);
            model.events.add(stream.from, Event::Ask(index));
        }
        for domain in 0..domains {
            model.events.add(Micros(0), Event::Sum(domain));
        }
        for (index, (at, _)) in scenario.faults.iter().enumerate() {
            model.events.add(*at, Event::Fault(index));
        }
        model.events.add(Micros(0), Event::Bin);
        Ok(model)
    }

    fn handle(&mut self, event: Event) -> Result<()> {
        let now = self.events.now();
        match event {
            Event::Ask(stream) => self.ask(stream),
            Event::Retry(request) => self.attempt(request),
            Event::Deadline(request) => self.on_deadline(request),
            Event::Silence(flow, number, copies) => self.on_silence(flow, number, copies),
            Event::AtInstance(instance, packet) => self.at_instance(instance, packet),
            Event::AtTarget(target, packet) => self.at_target(target, &packet),
            Event::AtCaller(flow, answer) => self.at_caller(flow, answer),
            Event::WorkDone(target, job) => self.on_work_done(target, job),
            Event::CoreTimer(instance) => self.on_core_timer(instance),
            Event::Sweep(instance) => self.fleet.on_sweep(&mut self.events, instance),
            Event::Report(instance) => self.on_report(instance),
            Event::AtRoot(instance, report) => self.fleet.on_report(now, instance, report),
            Event::Sum(domain) => self.on_sum(domain),
            Event::Sums(instance, sums, remote) => {
                self.fleet.on_sums(now, instance, &sums, &remote);
            }
            Event::AskLoads(domain, other, at) => self.on_ask_loads(domain, other, at),
            Event::Summary(domain, at, loads) => self.fleet.on_summary(now, domain, at, &loads),
            Event::Evidence(instance, item) => self.fleet.on_evidence(now, instance, &item),
            Event::Fault(index) => return self.on_fault(self.scenario.faults[index].1),
            Event::Publish(target) => self.on_publish(target),
            Event::Bin => self.on_bin(),
        }
        Ok(())
    }

    /// Sends a caller's packet to the instance that the fabric chooses.
    pub(super) fn send(&mut self, flow: usize, segment: steer::Segment) {
        let generation = self.fleet.generation;
        let sender = &mut self.flows[flow];
        if sender.instance.0 != generation {
            let Some(instance) = self.fleet.instance_of(&sender.id, sender.domain) else {
                return;
            };
            sender.instance = (generation, instance);
        }
        let packet = CallerPacket {
            flow,
            number: sender.number,
            segment,
        };
        let event = Event::AtInstance(sender.instance.1, packet);
        self.events.add_after(CALLER_US, event);
    }

    fn at_instance(&mut self, instance: usize, packet: CallerPacket) {
        match self.fleet.on_packet(&mut self.events, instance, &packet) {
            Some(Verdict::Forward { to, token }) => self.forward(to, token, packet),
            Some(Verdict::Reset(_)) => {
                let is_opening = packet.is_opening();
                let event = Event::AtCaller(packet.flow, Answer::Reset { is_opening });
                self.events.add_after(CALLER_US, event);
            }
            _ => {}
        }
    }

    fn forward(&mut self, to: Destination, token: Option<Token>, mut packet: CallerPacket) {
        // Targets do nothing on a bare acknowledgement or the end of a flow.
        if !packet.is_opening() && packet.segment.data_bytes == 0 {
            return;
        }
        packet.segment.token = token.unwrap_or(packet.segment.token);
        let target = to.id.0 as usize - 1;
        if let Some(hop_us) = self.hop_us(self.flows[packet.flow].domain, target) {
            let event = Event::AtTarget(target, packet);
            self.events.add_after(hop_us, event);
        }
    }

    /// Returns the time between a domain and a target, or `None` if they are cut off.
    fn hop_us(&self, domain: usize, target: usize) -> Option<u64> {
        let other = self.targets[target].domain;
        if !self.is_connected(domain, other) {
            return None;
        }
        Some(HOP_US[usize::from(domain != other)])
    }

    fn on_core_timer(&mut self, instance: usize) {
        for resend in self.fleet.on_timer(&mut self.events, instance) {
            let mut index = [0; 8];
            index.copy_from_slice(&resend.packet[..8]);
            let flow = u64::from_be_bytes(index) as usize;
            let packet = CallerPacket {
                flow,
                number: 0,
                segment: self.flows[flow].opening(0),
            };
            self.forward(resend.to, Some(resend.token), packet);
        }
    }

    fn at_target(&mut self, index: usize, packet: &CallerPacket) {
        let target = &mut self.targets[index];
        if target.is_dead {
            return;
        }
        let (incarnation, number) = (target.incarnation, packet.number);
        let flow = &mut self.flows[packet.flow];
        if packet.is_opening() {
            let answer = Answer::Opened(index, incarnation, packet.segment.token);
            return self.answer(index, packet.flow, answer);
        }
        if flow.target != Some((index, incarnation)) {
            return self.answer(index, packet.flow, Answer::Reset { is_opening: false });
        }
        if number <= flow.accepted {
            return self.answer(index, packet.flow, Answer::Acknowledged(number));
        }
        flow.accepted = number;
        let Some(request) = flow.request else {
            return;
        };
        let job = Job {
            flow: packet.flow,
            number,
            incarnation,
            work_us: self.requests[request].work_us,
        };
        let admission = target.accept(job);
        if let Admission::Started(run_us) = admission {
            self.events.add_after(run_us, Event::WorkDone(index, job));
        }
        let answer = match admission {
            Admission::TurnedAway => Answer::Refusal,
            _ => Answer::Acknowledged(number),
        };
        self.answer(index, packet.flow, answer);
    }

    fn on_work_done(&mut self, index: usize, job: Job) {
        let target = &mut self.targets[index];
        if target.incarnation != job.incarnation {
            return;
        }
        if let Some((next, run_us)) = target.finish() {
            self.events.add_after(run_us, Event::WorkDone(index, next));
        }
        self.answer(index, job.flow, Answer::Response(job.number));
    }

    /// Sends a target's answer to the caller, past the instances.
    fn answer(&mut self, target: usize, flow: usize, answer: Answer) {
        if let Some(hop_us) = self.hop_us(self.flows[flow].domain, target) {
            let event = Event::AtCaller(flow, answer);
            self.events.add_after(CALLER_US + hop_us, event);
        }
    }

    fn on_report(&mut self, instance: usize) {
        if let Some(report) = self.fleet.report(&mut self.events, instance) {
            self.exchange(Event::AtRoot(instance, report));
        }
    }

    fn on_sum(&mut self, domain: usize) {
        let (members, sums) = self.fleet.sums(&mut self.events, domain);
        let remote = self.fleet.take_summaries(self.events.now(), domain);
        for instance in members {
            self.exchange(Event::Sums(instance, sums.clone(), remote.clone()));
        }
        let now = self.events.now();
        for other in self.fleet.domains_to_ask(now, domain) {
            if self.is_connected(domain, other) {
                self.exchange_summary(Event::AskLoads(domain, other, now));
            }
        }
    }

    fn on_ask_loads(&mut self, domain: usize, other: usize, at: Micros) {
        if let Some(loads) = self.fleet.summary(self.events.now(), other) {
            self.exchange_summary(Event::Summary(domain, at, loads));
        }
    }

    /// Returns whether two domains are not cut off from each other.
    fn is_connected(&self, domain: usize, other: usize) -> bool {
        let is_cut = |domain| self.scenario.cut_domain == Some(domain);
        domain == other || !is_cut(domain) && !is_cut(other)
    }

    fn exchange(&mut self, event: Event) {
        let exchange = self.scenario.exchange;
        if !self.random.random_bool(exchange.loss) {
            self.events.add_after(exchange.delay.0 * 1_000, event);
        }
    }

    /// Passes a message between the roots of two domains.
    fn exchange_summary(&mut self, event: Event) {
        let Exchange { delay, loss } = self.scenario.exchange;
        if !self.summary_random.random_bool(loss) {
            self.events.add_after(delay.0 * 1_000 + HOP_US[1], event);
        }
    }

    fn on_bin(&mut self) {
        self.capacity.push(best::Capacity::of(&self.targets));
        if (SLOWNESS_FROM..self.scenario.duration).contains(&self.events.now()) {
            let (sums, samples) = &mut self.slowness;
            for (index, sum) in sums.iter_mut().enumerate() {
                *sum += self.fleet.slowness(index, self.targets[index].domain);
            }
            *samples += 1;
            self.seen_busiest_over_mean = self.fleet.busiest_over_mean(self.events.now());
        }
        self.events.add_after(BIN.0 * 1_000, Event::Bin);
    }
}
