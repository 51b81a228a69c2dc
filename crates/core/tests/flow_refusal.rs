//! Refusal of new flows, full and draining targets, and isolation of services.

#![allow(clippy::expect_used)]

mod kit;

use balance::event::Observation;
use balance::flow::AffinityMethod;
use balance::view::View;
use ids::Millis;
use kit::{
    SERVICE, ShardNetwork, check_invariants, fleet, flow_id, flows_on, open_flows, refusal_of,
    remove_target, seeded_rng, send_data, target_mut,
};
use wire::frame::Refusal;
use yare::parameterized;

fn refuse_new(net: &mut ShardNetwork) {
    net.publish(|document| {
        let name = document.preset.clone();
        let preset = document.presets.get_mut(&name).expect("the active preset");
        preset.accept_new_flows = false;
    });
}

/// Guards against a preset without new flows that accepts some or ends established ones.
#[parameterized(echo = { true }, history = { false })]
fn preset_refuses_new_flows_only(echo: bool) {
    let (mut net, mut random) = (fleet(AffinityMethod::Token), seeded_rng(1));
    let flows = open_flows(&mut net, &mut random, 0, 100, echo);
    refuse_new(&mut net);
    let refused = open_flows(&mut net, &mut random, 100, 100, echo);
    for flow in refused {
        assert_eq!(refusal_of(&net, flow), Some(Refusal::NotReady));
    }
    check_invariants(&mut net, &mut random, &flows);
}

fn set_peers_flows(view: &mut View, name: &str, count: u32) {
    let of_name = |known: &&mut balance::view::TargetView| known.name.as_str() == name;
    view.targets
        .values_mut()
        .find(of_name)
        .expect("a target")
        .peers_flows = count;
}

/// Guards against new flows on a target whose flows at all instances together reach `max_flows`.
#[parameterized(echo = { true }, history = { false })]
fn full_target_gets_no_new_flow(echo: bool) {
    let (mut net, mut random) = (fleet(AffinityMethod::Token), seeded_rng(2));
    for index in 0..8 {
        set_peers_flows(&mut net.instances[index].view, "rates-06", 2_000);
        net.publish_view(index);
    }
    let flows = open_flows(&mut net, &mut random, 0, 400, echo);
    assert_eq!(flows_on(&net, &flows, "rates-06"), Vec::<u64>::new());
    send_data(&mut net, &mut random, &flows);
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against an instance that does not count its own flows towards `max_flows`.
#[parameterized(echo = { true }, history = { false })]
fn own_flows_count_towards_the_limit(echo: bool) {
    let (mut net, mut random) = (fleet(AffinityMethod::Token), seeded_rng(3));
    net.publish(|document| {
        for service in document.services.values_mut() {
            service
                .targets
                .values_mut()
                .for_each(|target| target.max_flows = 3);
        }
    });
    // A recently started instance relayed_frames opens without echo to an owner, which then counts them.
    net.run_for(Millis(301_000));
    let flows: Vec<_> = (0..60).map(flow_id).collect();
    for &flow in &flows {
        net.open_flow(flow, kit::caller(flow, echo), 0);
    }
    net.run_for(Millis(100));
    let refused = flows
        .iter()
        .filter(|flow| refusal_of(&net, **flow) == Some(Refusal::Overloaded));
    assert_eq!(refused.count(), 60 - 14 * 3);
    net.run_for(Millis(200));
    net.exchange_flow_counts();
    let open: Vec<_> = flows
        .into_iter()
        .filter(|flow| refusal_of(&net, *flow).is_none())
        .collect();
    check_invariants(&mut net, &mut random, &open);
}

/// Guards against a flow that stays refused by a target that drains before the document says so.
/// The caller reopens the flow with the same id and gets another target.
#[parameterized(echo = { true }, history = { false })]
fn flow_refused_by_its_target_opens_elsewhere(echo: bool) {
    let (mut net, mut random) = (fleet(AffinityMethod::Token), seeded_rng(4));
    for server in net
        .targets
        .values_mut()
        .filter(|server| server.name == "rates-02")
    {
        server.open_refusal = Some(Refusal::Draining);
    }
    let flows = open_flows(&mut net, &mut random, 0, 200, echo);
    let refused: Vec<_> = flows
        .iter()
        .copied()
        .filter(|flow| refusal_of(&net, *flow).is_some())
        .collect();
    assert!(!refused.is_empty());
    assert!(
        refused
            .iter()
            .all(|flow| refusal_of(&net, *flow) == Some(Refusal::Draining))
    );
    for round in 0..8 {
        for &flow in &refused {
            if net.callers[&flow].target.is_none() {
                net.open_flow(flow, kit::caller(flow, echo), round);
            }
        }
        net.run_for(Millis(100));
    }
    check_invariants(&mut net, &mut random, &flows);
    let is_draining = |one: &Observation| matches!(one, Observation::Draining(_));
    assert!(
        net.instances
            .iter()
            .any(|one| one.observations.iter().any(is_draining))
    );
}

/// Guards against frames of a removed target's flows that reach the service now at its address, and
/// against frames of that service that reach callers of the removed target.
#[parameterized(echo = { true }, history = { false })]
fn address_that_moves_to_another_service_is_not_shared(echo: bool) {
    let (mut net, mut random) = (fleet(AffinityMethod::Token), seeded_rng(5));
    let flows = open_flows(&mut net, &mut random, 0, 200, echo);
    send_data(&mut net, &mut random, &flows);
    let moved = flows_on(&net, &flows, "rates-08");
    net.publish(|document| {
        let address = target_mut(document, "rates-08").address;
        remove_target(document, "rates-08");
        target_mut(document, "submissions-02").address = address;
    });
    send_data(&mut net, &mut random, &flows);
    assert_eq!(net.counts.wrong_service_frames, 0);
    for &flow in &moved {
        assert_eq!(refusal_of(&net, flow), Some(Refusal::FlowLost));
    }
    let rest: Vec<_> = flows
        .into_iter()
        .filter(|flow| !moved.contains(flow))
        .collect();
    check_invariants(&mut net, &mut random, &rest);
}

/// Guards against misrouted_frames frames when two services swap the addresses of two targets.
#[test]
fn swapped_addresses_keep_services_apart() {
    let (mut net, mut random) = (fleet(AffinityMethod::Token), seeded_rng(6));
    let flows = open_flows(&mut net, &mut random, 0, 200, true);
    net.publish(|document| {
        let (rates, bulk) = ("rates-01", "submissions-01");
        let address = target_mut(document, rates).address;
        target_mut(document, rates).address = target_mut(document, bulk).address;
        target_mut(document, bulk).address = address;
    });
    send_data(&mut net, &mut random, &flows);
    assert_eq!(net.counts.wrong_service_frames, 0);
}

/// Guards against frames that a target sends under the name of another service or target.
#[parameterized(
    service = { "submissions", "rates-01" },
    target = { SERVICE, "rates-02" },
)]
fn frame_in_a_foreign_name_is_dropped(service: &str, name: &str) {
    let mut net = fleet(AffinityMethod::Token);
    let flow = flow_id(1);
    net.open_flow(flow, kit::caller(flow, true), 0);
    net.run_for(Millis(100));
    let count = net.callers[&flow].received_frames.len();
    let frame = wire::frame::Frame {
        service: service.to_owned(),
        target: name.to_owned(),
        source: "127.2.0.1:9".to_owned(),
        flow,
        ..wire::frame::Frame::new(wire::frame::Kind::Data)
    };
    let from = kit::Endpoint::Target(lab::fixture::address(1, 1));
    // Make sure that the fixture still assigns this address to `rates-01`.
    let owner = &net.targets[&lab::fixture::address(1, 1)];
    assert_eq!(
        (owner.service.as_str(), owner.name.as_str()),
        (SERVICE, "rates-01")
    );
    net.send(from, kit::Endpoint::Instance(0), kit::Payload::Frame(frame));
    net.run_for(Millis(100));
    assert_eq!(net.callers[&flow].received_frames.len(), count);
}

/// Guards against another refusal than `UnknownService` for an unknown service.
#[test]
fn unknown_service_is_refused() {
    let mut net = fleet(AffinityMethod::Token);
    let caller = kit::Caller {
        service: "nowhere".to_owned(),
        ..kit::caller(1, true)
    };
    net.open_flow(1, caller, 0);
    net.run_for(Millis(100));
    assert_eq!(refusal_of(&net, 1), Some(Refusal::UnknownService));
}
