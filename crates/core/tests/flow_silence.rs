//! Silent flows and silent targets.

#![allow(clippy::expect_used)]

mod kit;

use balance::event::Observation;
use balance::flow::AffinityMethod;
use ids::{Micros, Millis};
use kit::{Net, fleet, flows_on, open_flows, random, spray};
use rand::Rng;
use rand::rngs::StdRng;
use wire::frame::Refusal;
use yare::parameterized;

const TARGET: &str = "rates-01";

/// Bound on the time to `FlowLost`: `silent_ms` plus one interval of keep-alives.
const LATEST: Millis = Millis(6_500);

struct Case {
    net: Net,
    random: StdRng,
    flows: Vec<u64>,
}

fn case(seed: u64, echo: bool) -> Case {
    let (mut net, mut random) = (fleet(AffinityMethod::Token), random(seed));
    let flows = open_flows(&mut net, &mut random, 0, 200, echo);
    spray(&mut net, &mut random, &flows);
    Case { net, random, flows }
}

impl Case {
    /// Sends a keep-alive a second on each flow over random instances, as callers do that hear
    /// nothing.
    fn keep_alive(&mut self, seconds: u64, flows: &[u64]) {
        for _ in 0..seconds {
            for &flow in flows {
                let via = kit::any_running(&self.net, &mut self.random);
                self.net.keep_alive(flow, via);
            }
            self.net.run(Millis(1_000));
        }
    }

    /// Returns when the flow was first refused.
    fn lost_after(&mut self, flow: u64, flows: &[u64]) -> Option<Millis> {
        let start: Micros = self.net.now;
        while self.net.callers[&flow].refusal.is_none() {
            if self.net.now.since(start) > Millis(60_000) {
                return None;
            }
            self.keep_alive(1, flows);
        }
        Some(self.net.now.since(start))
    }

    fn deafen(&mut self, name: &str, flow: u64) {
        let server = self
            .net
            .targets
            .values_mut()
            .find(|server| server.name == name);
        server.expect("a target").deaf_to.insert(flow);
    }

    fn kill_target(&mut self, name: &str) {
        let server = self
            .net
            .targets
            .values_mut()
            .find(|server| server.name == name);
        server.expect("a target").is_dead = true;
    }

    fn silent_targets(&self) -> usize {
        let observations = self.net.instances.iter().flat_map(|one| &one.observations);
        observations
            .filter(|one| matches!(one, Observation::TimedOut(_)))
            .count()
    }
}

/// Guards against a flow that hangs for good after its path went silent, though the target serves
/// other flows, and against a silence that condemns those.
#[parameterized(echo = { true }, history = { false })]
fn silent_flow_is_lost_in_time(echo: bool) {
    let mut case = case(1, echo);
    let flows = flows_on(&case.net, &case.flows, TARGET);
    let silent = flows[0];
    case.deafen(TARGET, silent);
    let after = case.lost_after(silent, &flows).expect("a lost flow");
    assert!(after <= LATEST, "lost after {after}");
    assert_eq!(kit::refusal(&case.net, silent), Some(Refusal::FlowLost));
    case.keep_alive(20, &flows[1..]);
    let lost = flows[1..]
        .iter()
        .filter(|flow| kit::refusal(&case.net, **flow).is_some());
    assert_eq!(lost.count(), 0, "a live flow was lost");
    assert_eq!(case.silent_targets(), 0);
}

/// Guards against a target that has nothing to say being taken for a silent one.
#[parameterized(echo = { true }, history = { false })]
fn quiet_flow_that_answers_keep_alives_stays(echo: bool) {
    let mut case = case(2, echo);
    let flows = case.flows.clone();
    case.net.run(Millis(60_000));
    case.keep_alive(60, &flows);
    kit::check(&mut case.net, &mut case.random, &flows);
    assert_eq!(case.silent_targets(), 0);
}

/// Guards against data that a target need not answer being counted as unanswered.
#[test]
fn unanswered_data_is_no_silence() {
    let mut case = case(3, true);
    let flows = flows_on(&case.net, &case.flows, TARGET);
    case.kill_target(TARGET);
    for _ in 0..20 {
        spray(&mut case.net, &mut case.random, &flows);
        case.net.run(Millis(1_000));
    }
    let lost = flows
        .iter()
        .filter(|flow| kit::refusal(&case.net, **flow).is_some());
    assert_eq!(lost.count(), 0);
    assert_eq!(case.silent_targets(), 0);
}

/// Guards against single lost keep-alives being taken for silence: a path of four hops that each
/// lose a fiftieth loses about one in twelve.
#[test]
fn lost_keep_alives_are_no_silence() {
    let mut case = case(4, true);
    let flows = case.flows.clone();
    let mut losses = random(40);
    case.net.filter = Box::new(move |_| {
        if losses.random_bool(0.02) {
            kit::Verdict::Drop
        } else {
            kit::Verdict::Deliver
        }
    });
    case.keep_alive(60, &flows);
    case.net.filter = Box::new(|_| kit::Verdict::Deliver);
    kit::check(&mut case.net, &mut case.random, &flows);
}

/// Guards against a dead target that nobody reports, or whose flows hang.
#[parameterized(echo = { true }, history = { false })]
fn dead_target_is_reported_and_its_flows_are_lost(echo: bool) {
    let mut case = case(5, echo);
    let flows = flows_on(&case.net, &case.flows, TARGET);
    case.kill_target(TARGET);
    let all = case.flows.clone();
    case.keep_alive(7, &all);
    assert!(case.silent_targets() > 0);
    let early = flows
        .iter()
        .filter(|flow| kit::refusal(&case.net, **flow).is_some());
    assert_eq!(early.count(), 0, "a short outage must not end flows");
    // Twice `silent_ms`, and some seconds in which keep-alives reach the instance that counts them.
    case.keep_alive(8, &all);
    for flow in &flows {
        assert_eq!(kit::refusal(&case.net, *flow), Some(Refusal::FlowLost));
    }
    let others: Vec<_> = all
        .into_iter()
        .filter(|flow| !flows.contains(flow))
        .collect();
    kit::check(&mut case.net, &mut case.random, &others);
}
