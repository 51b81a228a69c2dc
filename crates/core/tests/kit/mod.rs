//! Helpers of the flow tests around the simulated network of [`lab::shard_network`].

#![allow(dead_code, reason = "each test file uses a part of the kit")]
#![allow(clippy::expect_used)]

use balance::flow::{AffinityMethod, FlowSettings};
use balance::shard::ShardSettings;
use conf::Document;
use conf::model::{Target, TargetState};
use ids::{Micros, Millis};
use lab::fixture;
#[allow(unused_imports, reason = "each test file uses a part of the kit")]
pub use lab::shard_network::{
    Caller, Condition, Endpoint, Message, Payload, ShardNetwork, Verdict,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wire::frame::Refusal;

/// Service that most tests use.
pub const SERVICE: &str = "rates";

/// Starts the fixture's group of instances with an affinity method.
pub fn fleet(method: AffinityMethod) -> ShardNetwork {
    let flow = FlowSettings {
        method,
        capacity_flows: 4_096,
        ..FlowSettings::default()
    };
    fleet_with(flow)
}

/// Starts the fixture's group of instances with flow settings.
pub fn fleet_with(flow: FlowSettings) -> ShardNetwork {
    let settings = ShardSettings {
        flow,
        ..ShardSettings::default()
    };
    ShardNetwork::new(&fixture::hunarmand(), settings)
}

/// Returns a random number generator with a fixed seed.
pub fn seeded_rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

/// Returns a caller of `SERVICE`, in a failure domain that depends on the flow id.
pub fn caller(flow: u64, echo: bool) -> Caller {
    Caller {
        service: SERVICE.to_owned(),
        domain: fixture::DOMAINS[(flow % 4) as usize].to_owned(),
        echo,
        ..Caller::default()
    }
}

/// Returns a flow id spread over the whole id range, as callers choose them.
pub fn flow_id(number: u64) -> u64 {
    ids::hash_pair(number, 0x666c_6f77) & !3 | (number & 3)
}

/// Opens `count` flows through random instances and waits for the replies of their targets.
pub fn open_flows(
    net: &mut ShardNetwork,
    random: &mut StdRng,
    first: u64,
    count: u64,
    echo: bool,
) -> Vec<u64> {
    let flows: Vec<_> = (first..first + count).map(flow_id).collect();
    for &flow in &flows {
        let via = random_running_instance(net, random);
        net.open_flow(flow, caller(flow, echo), via);
    }
    net.run_for(Millis(100));
    flows
}

/// Returns the index of a random running instance.
pub fn random_running_instance(net: &ShardNetwork, random: &mut StdRng) -> usize {
    let running = net.running();
    running[random.random_range(0..running.len())]
}

/// Sends a data frame on every flow through random instances and waits for the replies.
pub fn send_data(net: &mut ShardNetwork, random: &mut StdRng, flows: &[u64]) {
    for &flow in flows {
        let via = random_running_instance(net, random);
        net.send_data(flow, via);
    }
    net.run_for(Millis(100));
}

/// Sends a data frame on every flow in each of several rounds, with a pause after each.
pub fn send_data_rounds(
    net: &mut ShardNetwork,
    random: &mut StdRng,
    flows: &[u64],
    rounds: u64,
    pause: Millis,
) {
    for _ in 0..rounds {
        send_data(net, random, flows);
        net.run_for(pause);
    }
}

/// Returns a target of a document for editing.
pub fn target_mut<'a>(document: &'a mut Document, name: &str) -> &'a mut Target {
    document
        .services
        .values_mut()
        .find_map(|service| {
            service
                .targets
                .get_mut(&name.parse().expect("a valid name"))
        })
        .expect("a target of the document")
}

/// Sets a target to draining.
pub fn drain_target(document: &mut Document, name: &str) {
    target_mut(document, name).state = TargetState::Draining;
}

/// Adds a copy of the service's first target with its own address.
pub fn add_target(document: &mut Document, name: &str, host: u8) {
    let service = SERVICE.parse().expect("a valid name");
    let service = document.services.get_mut(&service).expect("the service");
    let mut added = service.targets.values().next().expect("a target").clone();
    added.address = fixture::address(1, host);
    service
        .targets
        .insert(name.parse().expect("a valid name"), added);
}

/// Removes a target from the document.
pub fn remove_target(document: &mut Document, name: &str) {
    for service in document.services.values_mut() {
        service.targets.remove(&name.parse().expect("a valid name"));
    }
}

/// Returns the target of each flow.
pub fn targets_of(net: &ShardNetwork, flows: &[u64]) -> Vec<String> {
    let target = |flow| net.callers[flow].target.clone();
    flows
        .iter()
        .map(|flow| target(flow).expect("an opened flow"))
        .collect()
}

/// Returns those flows that are on a target.
pub fn flows_on(net: &ShardNetwork, flows: &[u64], name: &str) -> Vec<u64> {
    let is_on = |flow: &&u64| net.callers[*flow].target.as_deref() == Some(name);
    flows.iter().filter(is_on).copied().collect()
}

/// Returns the flows that were refused or got no reply to any of three data frames. A single frame
/// may be lost while owners change.
pub fn broken_flows(net: &mut ShardNetwork, random: &mut StdRng, flows: &[u64]) -> Vec<u64> {
    let before: Vec<_> = flows
        .iter()
        .map(|flow| net.callers[flow].data_frames_received)
        .collect();
    send_data_rounds(net, random, flows, 3, Millis(0));
    let is_broken = |(flow, before): (&u64, u64)| {
        let caller = &net.callers[flow];
        (caller.refusal.is_some() || caller.data_frames_received <= before).then_some(*flow)
    };
    flows.iter().zip(before).filter_map(is_broken).collect()
}

/// Asserts the invariants `flow-survives` and `isolation`.
pub fn check_invariants(net: &mut ShardNetwork, random: &mut StdRng, flows: &[u64]) {
    assert_eq!(
        broken_flows(net, random, flows),
        Vec::<u64>::new(),
        "flow-survives"
    );
    assert_eq!(net.counts.wrong_service_frames, 0, "isolation");
}

/// Returns the refusal that ended a flow, if any.
pub fn refusal_of(net: &ShardNetwork, flow: u64) -> Option<Refusal> {
    net.callers[&flow].refusal
}

/// Returns the time `count` seconds after the start.
pub fn seconds(count: u64) -> Micros {
    Micros(count * 1_000_000)
}
