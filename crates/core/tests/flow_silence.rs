//! Detection of silent flows and silent targets.

#![allow(clippy::expect_used)]

mod kit;

use balance::event::Observation;
use balance::flow::AffinityMethod;
use ids::{Micros, Millis};
use kit::{ShardNetwork, fleet, flows_on, open_flows, seeded_rng, send_data};
use rand::Rng;
use rand::rngs::StdRng;
use wire::frame::Refusal;
use yare::parameterized;

const TARGET: &str = "rates-01";

/// Upper bound of the time to `FlowLost`: the silence timeout plus one keep-alive interval.
const MAX_DETECTION_TIME: Millis = Millis(6_500);

struct Fixture {
    net: ShardNetwork,
    random: StdRng,
    flows: Vec<u64>,
}

fn fixture(seed: u64, echo: bool) -> Fixture {
    let (mut net, mut random) = (fleet(AffinityMethod::Token), seeded_rng(seed));
    let flows = open_flows(&mut net, &mut random, 0, 200, echo);
    send_data(&mut net, &mut random, &flows);
    Fixture { net, random, flows }
}

impl Fixture {
    /// Sends a keep-alive per second on each flow through random instances, as callers do that
    /// receive nothing.
    fn send_keep_alive(&mut self, seconds: u64, flows: &[u64]) {
        for _ in 0..seconds {
            for &flow in flows {
                let via = kit::random_running_instance(&self.net, &mut self.random);
                self.net.send_keep_alive(flow, via);
            }
            self.net.run_for(Millis(1_000));
        }
    }

    /// Returns the time until the flow is refused.
    fn time_until_lost(&mut self, flow: u64, flows: &[u64]) -> Option<Millis> {
        let start: Micros = self.net.now;
        while self.net.callers[&flow].refusal.is_none() {
            if self.net.now.since(start) > Millis(60_000) {
                return None;
            }
            self.send_keep_alive(1, flows);
        }
        Some(self.net.now.since(start))
    }

    fn ignore_flow(&mut self, name: &str, flow: u64) {
        let server = self
            .net
            .targets
            .values_mut()
            .find(|server| server.name == name);
        server.expect("a target").ignored_flows.insert(flow);
    }

    fn kill_target(&mut self, name: &str) {
        let server = self
            .net
            .targets
            .values_mut()
            .find(|server| server.name == name);
        server.expect("a target").is_dead = true;
    }

    fn silence_report_count(&self) -> usize {
        let observations = self.net.instances.iter().flat_map(|one| &one.observations);
        observations
            .filter(|one| matches!(one, Observation::TimedOut(_)))
            .count()
    }
}

/// Guards against a flow that hangs forever when only its path to the target is silent, and against
/// the loss of other flows of the same target.
#[parameterized(echo = { true }, history = { false })]
fn silent_flow_is_lost_in_time(echo: bool) {
    let mut fixture = fixture(1, echo);
    let flows = flows_on(&fixture.net, &fixture.flows, TARGET);
    let silent = flows[0];
    fixture.ignore_flow(TARGET, silent);
    let detection_time = fixture
        .time_until_lost(silent, &flows)
        .expect("a lost flow");
    assert!(
        detection_time <= MAX_DETECTION_TIME,
        "lost after {detection_time}"
    );
    assert_eq!(
        kit::refusal_of(&fixture.net, silent),
        Some(Refusal::FlowLost)
    );
    fixture.send_keep_alive(20, &flows[1..]);
    let lost = flows[1..]
        .iter()
        .filter(|flow| kit::refusal_of(&fixture.net, **flow).is_some());
    assert_eq!(lost.count(), 0, "a live flow was lost");
    assert_eq!(fixture.silence_report_count(), 0);
}

/// Guards against an idle target that is taken for a silent one although it answers keep-alives.
#[parameterized(echo = { true }, history = { false })]
fn quiet_flow_that_answers_keep_alives_stays(echo: bool) {
    let mut fixture = fixture(2, echo);
    let flows = fixture.flows.clone();
    fixture.net.run_for(Millis(60_000));
    fixture.send_keep_alive(60, &flows);
    kit::check_invariants(&mut fixture.net, &mut fixture.random, &flows);
    assert_eq!(fixture.silence_report_count(), 0);
}

/// Guards against counting data frames as unanswered, which a target need not answer.
#[test]
fn unanswered_data_is_no_silence() {
    let mut fixture = fixture(3, true);
    let flows = flows_on(&fixture.net, &fixture.flows, TARGET);
    fixture.kill_target(TARGET);
    for _ in 0..20 {
        send_data(&mut fixture.net, &mut fixture.random, &flows);
        fixture.net.run_for(Millis(1_000));
    }
    let lost = flows
        .iter()
        .filter(|flow| kit::refusal_of(&fixture.net, **flow).is_some());
    assert_eq!(lost.count(), 0);
    assert_eq!(fixture.silence_report_count(), 0);
}

/// Guards against lost keep-alives being taken for silence. At a loss of 2 % per hop, a path of
/// four hops loses about one round trip in twelve.
#[test]
fn lost_keep_alives_are_no_silence() {
    let mut fixture = fixture(4, true);
    let flows = fixture.flows.clone();
    let mut losses = seeded_rng(40);
    fixture.net.filter = Box::new(move |_| {
        if losses.random_bool(0.02) {
            kit::Verdict::Drop
        } else {
            kit::Verdict::Deliver
        }
    });
    fixture.send_keep_alive(60, &flows);
    fixture.net.filter = Box::new(|_| kit::Verdict::Deliver);
    kit::check_invariants(&mut fixture.net, &mut fixture.random, &flows);
}

/// Guards against a dead target that is not reported or whose flows hang.
#[parameterized(echo = { true }, history = { false })]
fn dead_target_is_reported_and_its_flows_are_lost(echo: bool) {
    let mut fixture = fixture(5, echo);
    let flows = flows_on(&fixture.net, &fixture.flows, TARGET);
    fixture.kill_target(TARGET);
    let all = fixture.flows.clone();
    fixture.send_keep_alive(7, &all);
    assert!(fixture.silence_report_count() > 0);
    let early = flows
        .iter()
        .filter(|flow| kit::refusal_of(&fixture.net, **flow).is_some());
    assert_eq!(early.count(), 0, "a short outage must not end flows");
    // Twice the silence timeout plus time for keep-alives to reach the instance that counts them.
    fixture.send_keep_alive(8, &all);
    for flow in &flows {
        assert_eq!(
            kit::refusal_of(&fixture.net, *flow),
            Some(Refusal::FlowLost)
        );
    }
    let others: Vec<_> = all
        .into_iter()
        .filter(|flow| !flows.contains(flow))
        .collect();
    kit::check_invariants(&mut fixture.net, &mut fixture.random, &others);
}
