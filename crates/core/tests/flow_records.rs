//! Flows that can only be routed by a record. Each case fails when one particular way of passing on
//! records is missing.

#![allow(clippy::expect_used)]

mod kit;

use std::collections::BTreeSet;

use balance::flow::AffinityMethod;
use ids::Millis;
use kit::{
    Condition, Payload, ShardNetwork, Verdict, add_target, check_invariants, fleet, flow_id,
    flows_on, open_flows, remove_target, seeded_rng, send_data, send_data_rounds, target_mut,
};
use wire::peer::Body;

const FLOW_COUNT: u64 = 900;

/// Returns instances that have run for the idle timeout and so know all target sets of open flows.
fn settled_fleet() -> ShardNetwork {
    let mut net = fleet(AffinityMethod::Token);
    net.run_for(Millis(301_000));
    net
}

fn open_through(net: &mut ShardNetwork, via: usize) -> Vec<u64> {
    let flows: Vec<_> = (0..FLOW_COUNT).map(flow_id).collect();
    for &flow in &flows {
        net.open_flow(flow, kit::caller(flow, false), via);
    }
    net.run_for(Millis(100));
    flows
}

/// Guards against flows that cannot be routed after the set they were opened under is retired. Only
/// one instance has seen them, so it must have sent records before it is killed.
#[test]
fn flows_outlive_the_set_they_were_opened_under() {
    let (mut net, mut random) = (settled_fleet(), seeded_rng(1));
    let flows = open_through(&mut net, 0);
    net.publish(|document| add_target(document, "rates-99", 99));
    for _ in 0..31 {
        for &flow in &flows {
            net.send_data(flow, 0);
        }
        net.run_for(Millis(10_000));
    }
    net.publish(|_| {});
    net.kill(0);
    net.run_for(Millis(2_000));
    net.refresh_peers();
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against a graceful stop that relies on remaining owners for the hand-over: all instances
/// that know a flow stop between two ticks.
#[test]
fn stops_within_one_tick_keep_the_records() {
    let (mut net, mut random) = (settled_fleet(), seeded_rng(2));
    net.publish(|document| add_target(document, "rates-99", 99));
    let flows = open_through(&mut net, 0);
    net.run_for(Millis(1));
    for index in 0..6 {
        net.stop(index);
        net.run_for(Millis(6));
        net.instances[index].condition = Condition::Dead;
        net.refresh_peers();
    }
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against a flow that depends on the first record datagram to each owner, which is lost.
#[test]
fn first_copy_of_every_record_may_be_lost() {
    let (mut net, mut random) = (settled_fleet(), seeded_rng(3));
    net.publish(|document| add_target(document, "rates-99", 99));
    let mut seen = BTreeSet::new();
    net.filter = Box::new(move |message| match &message.payload {
        Payload::Peer(Body::FlowRecords(records))
            if records
                .records
                .iter()
                .any(|record| seen.insert((record.flow, message.to))) =>
        {
            Verdict::Drop
        }
        _ => Verdict::Deliver,
    });
    let flows = open_through(&mut net, 0);
    net.run_for(Millis(200));
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against flows opened by an instance that has retired an old set and routed by that set at
/// instances that have not.
#[test]
fn sets_may_be_retired_at_different_times() {
    let (mut net, mut random) = (settled_fleet(), seeded_rng(4));
    net.publish(|document| add_target(document, "rates-99", 99));
    net.run_for(Millis(301_000));
    net.change_document(|_| {});
    net.activate_document(0);
    let flows = open_through(&mut net, 0);
    send_data_rounds(&mut net, &mut random, &flows, 3, Millis(1_000));
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against frames to the wrong service when a view still lists a removed target at an
/// address that the document gives to another service.
#[test]
fn address_belongs_to_the_declared_target() {
    let (mut net, mut random) = (settled_fleet(), seeded_rng(5));
    let flows = open_flows(&mut net, &mut random, 0, FLOW_COUNT, true);
    let moved = flows_on(&net, &flows, "rates-08");
    let known = net.instances[0].view.targets.clone();
    net.publish(|document| {
        let address = target_mut(document, "rates-08").address;
        remove_target(document, "rates-08");
        target_mut(document, "submissions-02").address = address;
    });
    for index in net.running() {
        let view = &mut net.instances[index].view;
        for (target, old) in &known {
            view.targets.entry(*target).or_insert_with(|| old.clone());
        }
        net.publish_view(index);
    }
    send_data(&mut net, &mut random, &flows);
    assert!(!moved.is_empty());
    assert_eq!(net.counts.wrong_service_frames, 0);
}
