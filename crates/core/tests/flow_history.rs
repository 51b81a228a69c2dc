//! Property test: random sequences of flows, planned changes and single losses break no flow.

#![allow(clippy::expect_used)]

mod kit;

use balance::flow::AffinityMethod;
use ids::Millis;
use kit::{
    Condition, Payload, ShardNetwork, Verdict, add_target, broken_flows, drain_target, fleet,
    flow_id, open_flows, random_running_instance, remove_target, seeded_rng, send_data, target_mut,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::Rng;
use rand::rngs::StdRng;
use wire::frame::Kind;

/// Longest pause between steps, much longer than the propagation of views and records.
const MAX_PAUSE_MS: u64 = 40_000;

#[derive(Debug, Clone)]
enum Step {
    Open { count: u64, echo: bool },
    Data,
    Close { nth: usize },
    Drain { target: u8 },
    Undrain { target: u8 },
    Add { target: u8 },
    Remove { target: u8 },
    PublishUnevenly { target: u8 },
    Move { target: u8 },
    Join,
    Stop { nth: usize },
    Kill { nth: usize },
    Pause { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..60_u64, any::<bool>()).prop_map(|(count, echo)| Step::Open { count, echo }),
        4 => Just(Step::Data),
        1 => any::<usize>().prop_map(|nth| Step::Close { nth }),
        1 => (1..=14_u8).prop_map(|target| Step::Drain { target }),
        1 => (1..=14_u8).prop_map(|target| Step::Undrain { target }),
        1 => (90..94_u8).prop_map(|target| Step::Add { target }),
        1 => (1..=14_u8).prop_map(|target| Step::Remove { target }),
        1 => (1..=14_u8).prop_map(|target| Step::PublishUnevenly { target }),
        1 => (1..=4_u8).prop_map(|target| Step::Move { target }),
        1 => Just(Step::Join),
        1 => any::<usize>().prop_map(|nth| Step::Stop { nth }),
        1 => any::<usize>().prop_map(|nth| Step::Kill { nth }),
        3 => (0..MAX_PAUSE_MS).prop_map(|ms| Step::Pause { ms }),
    ];
    prop::collection::vec(step, 1..25)
}

struct Scenario {
    net: ShardNetwork,
    random: StdRng,
    flows: Vec<u64>,
    opened_count: u64,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut net = fleet(AffinityMethod::Token);
        if seed.is_multiple_of(2) {
            // Instances that have run for the idle timeout know all target sets of open flows.
            net.run_for(Millis(301_000));
        }
        let mut delays = seeded_rng(seed ^ 1);
        // Delays of up to 3 ms reorder messages, by less than a caller waits for `Opened`.
        net.filter = Box::new(move |_| Verdict::Delay(Millis(delays.random_range(0..4))));
        Self {
            net,
            random: seeded_rng(seed),
            flows: Vec::new(),
            opened_count: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Open { count, echo } => {
                let (net, random) = (&mut self.net, &mut self.random);
                self.flows
                    .extend(open_flows(net, random, self.opened_count, count, echo));
                self.opened_count += count;
            }
            Step::Data => send_data(&mut self.net, &mut self.random, &self.flows),
            Step::Close { nth } if !self.flows.is_empty() => {
                let flow = self.flows.swap_remove(nth % self.flows.len());
                let via = random_running_instance(&self.net, &mut self.random);
                self.net.send_from_caller(flow, Kind::Close, &[], via);
            }
            Step::Close { .. } => {}
            Step::Drain { target } => self.publish(target, drain_target),
            Step::Undrain { target: number } => self.publish(number, |document, name| {
                target_mut(document, name).state = conf::model::TargetState::Serving;
            }),
            Step::Add { target } => {
                self.net
                    .publish(|document| add_target(document, &name(target), target));
            }
            Step::Remove { target } => self.publish(target, remove_target),
            Step::PublishUnevenly { target } => self.publish_unevenly(target),
            Step::Move { target } => self.move_address(target),
            Step::Join => {
                self.net.add_instance();
                self.net.refresh_peers();
            }
            Step::Stop { nth } => self.stop(nth),
            Step::Kill { nth } => self.kill(nth),
            Step::Pause { ms } => self.net.run_for(Millis(ms)),
        }
    }

    fn has_target(&self, number: u8) -> bool {
        let services = &self.net.document().services;
        let name: ids::TargetName = name(number).parse().expect("a valid name");
        services
            .values()
            .any(|service| service.targets.contains_key(&name))
    }

    fn publish(&mut self, number: u8, change: impl Fn(&mut conf::Document, &str)) {
        if self.has_target(number) {
            self.net.publish(|document| change(document, &name(number)));
        }
    }

    fn publish_unevenly(&mut self, number: u8) {
        if !self.has_target(number) {
            return;
        }
        self.net
            .change_document(|document| drain_target(document, &name(number)));
        for index in self.net.running() {
            self.net.activate_document(index);
            send_data(&mut self.net, &mut self.random, &self.flows);
        }
    }

    /// Gives the address of a removed target to another service. The flows of the target may end.
    fn move_address(&mut self, number: u8) {
        if !self.has_target(number) {
            return;
        }
        let ended = kit::flows_on(&self.net, &self.flows, &name(number));
        self.flows.retain(|flow| !ended.contains(flow));
        self.net.publish(|document| {
            let address = target_mut(document, &name(number)).address;
            remove_target(document, &name(number));
            target_mut(document, "submissions-01").address = address;
        });
    }

    fn removable_instance(&self, nth: usize) -> Option<usize> {
        let running = self.net.running();
        (running.len() > 3).then(|| running[nth % running.len()])
    }

    fn stop(&mut self, nth: usize) {
        let Some(index) = self.removable_instance(nth) else {
            return;
        };
        self.net.stop(index);
        // Frames still arrive at the stopping instance while its peers see it leave.
        let others: Vec<_> = self
            .net
            .running()
            .into_iter()
            .filter(|&one| one != index)
            .collect();
        for &one in &others {
            self.net.set_peers(one, &others);
        }
        send_data(&mut self.net, &mut self.random, &self.flows);
        self.net.instances[index].condition = Condition::Dead;
    }

    fn kill(&mut self, nth: usize) {
        let Some(index) = self.removable_instance(nth) else {
            return;
        };
        // Let the hand-over after the last change complete, so that only one instance is lost at a
        // time.
        self.net.run_for(Millis(7_000));
        self.net.kill(index);
        send_data(&mut self.net, &mut self.random, &self.flows);
        self.net.run_for(Millis(2_000));
        self.net.refresh_peers();
        self.net.run_for(Millis(7_000));
    }
}

fn name(number: u8) -> String {
    format!("rates-{number:02}")
}

/// Guards against any sequence of planned changes and single losses that breaks a flow or sends a
/// frame to another service.
#[test]
fn random_histories_break_no_flow() {
    let config = Config {
        cases: 64,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let seed = [7; 32];
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed));
    runner
        .run(&(any::<u64>(), steps()), |(seed, steps)| {
            let mut scenario = Scenario::new(seed);
            for step in steps {
                scenario.apply(step);
            }
            scenario.net.run_for(Millis(7_000));
            let lost = broken_flows(&mut scenario.net, &mut scenario.random, &scenario.flows);
            prop_assert_eq!(lost, Vec::<u64>::new(), "flow-survives");
            prop_assert_eq!(scenario.net.counts.wrong_service_frames, 0, "isolation");
            Ok(())
        })
        .expect("no scenario breaks an invariant");
}

/// Proves that the property test detects broken flows: without record datagrams some break.
#[test]
fn property_fails_without_records() {
    let mut scenario = Scenario::new(1);
    scenario.net.filter = Box::new(|message| match &message.payload {
        Payload::Peer(wire::peer::Body::FlowRecords(_)) => Verdict::Drop,
        _ => Verdict::Deliver,
    });
    let steps = [
        Step::Open {
            count: 200,
            echo: false,
        },
        Step::Add { target: 90 },
        Step::Open {
            count: 200,
            echo: false,
        },
    ];
    for step in steps {
        scenario.apply(step);
    }
    assert!(scenario.flows.contains(&flow_id(0)));
    let lost = broken_flows(&mut scenario.net, &mut scenario.random, &scenario.flows);
    assert_ne!(lost, Vec::<u64>::new());
}
