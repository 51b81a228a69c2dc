//! Flows survive planned changes and the loss of one instance.

#![allow(clippy::expect_used)]

mod kit;

use balance::flow::AffinityMethod;
use ids::Millis;
use kit::{
    Condition, Endpoint, Payload, ShardNetwork, Verdict, add_target, check_invariants,
    drain_target, fleet, flows_on, open_flows, random_running_instance, remove_target, seeded_rng,
    send_data, send_data_rounds, targets_of,
};
use rand::rngs::StdRng;
use wire::frame::Kind;
use wire::peer::Body;
use yare::parameterized;

const FLOW_COUNT: u64 = 300;

/// Time in which a hand-over of records completes.
const HANDOVER_WAIT: Millis = Millis(7_000);

fn busy_fleet(seed: u64, echo: bool) -> (ShardNetwork, StdRng, Vec<u64>) {
    let (mut net, mut random) = (fleet(AffinityMethod::Token), seeded_rng(seed));
    let flows = open_flows(&mut net, &mut random, 0, FLOW_COUNT, echo);
    send_data(&mut net, &mut random, &flows);
    (net, random, flows)
}

/// Guards against a drain that moves existing flows off the target or still places new ones on it.
#[parameterized(echo = { true }, history = { false })]
fn drained_target_keeps_its_flows(echo: bool) {
    let (mut net, mut random, mut flows) = busy_fleet(1, echo);
    net.publish(|document| drain_target(document, "rates-03"));
    let later = open_flows(&mut net, &mut random, FLOW_COUNT, FLOW_COUNT, echo);
    assert_eq!(flows_on(&net, &later, "rates-03"), Vec::<u64>::new());
    flows.extend(later);
    send_data_rounds(&mut net, &mut random, &flows, 20, Millis(20_000));
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against flows that move to an added target, at once or when the old set is retired.
#[parameterized(echo = { true }, history = { false })]
fn added_target_takes_no_old_flow(echo: bool) {
    let (mut net, mut random, flows) = busy_fleet(2, echo);
    net.publish(|document| add_target(document, "rates-99", 99));
    for _ in 0..2 {
        send_data_rounds(&mut net, &mut random, &flows, 10, Millis(20_000));
        net.publish(|_| {});
    }
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against flows that are routed by the wrong target set because they were opened between
/// two documents published within one round trip.
#[parameterized(echo = { true }, history = { false })]
fn two_publishes_in_one_round_trip(echo: bool) {
    let (mut net, mut random, mut flows) = busy_fleet(3, echo);
    net.publish(|document| drain_target(document, "rates-01"));
    flows.extend(open_flows(
        &mut net,
        &mut random,
        FLOW_COUNT,
        FLOW_COUNT,
        echo,
    ));
    net.publish(|document| add_target(document, "rates-99", 99));
    flows.extend(open_flows(
        &mut net,
        &mut random,
        2 * FLOW_COUNT,
        FLOW_COUNT,
        echo,
    ));
    send_data_rounds(&mut net, &mut random, &flows, 20, Millis(20_000));
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against broken flows when a document reaches instances at different times, so that flows
/// are opened under both versions.
#[parameterized(echo = { true }, history = { false })]
fn document_that_arrives_unevenly(echo: bool) {
    let (mut net, mut random, mut flows) = busy_fleet(4, echo);
    net.change_document(|document| {
        drain_target(document, "rates-02");
        add_target(document, "rates-99", 99);
    });
    for index in 0..8 {
        net.activate_document(index);
        let first = FLOW_COUNT + 100 * index as u64;
        flows.extend(open_flows(&mut net, &mut random, first, 100, echo));
        net.run_for(Millis(500));
    }
    send_data_rounds(&mut net, &mut random, &flows, 20, Millis(20_000));
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against records that are lost with one of their two owners.
#[parameterized(echo = { true }, history = { false })]
fn killed_instance_breaks_no_flow(echo: bool) {
    let (mut net, mut random, mut flows) = busy_fleet(5, echo);
    net.publish(|document| add_target(document, "rates-99", 99));
    flows.extend(open_flows(
        &mut net,
        &mut random,
        FLOW_COUNT,
        FLOW_COUNT,
        echo,
    ));
    net.kill(2);
    send_data(&mut net, &mut random, &flows);
    net.run_for(Millis(2_000));
    net.refresh_peers();
    send_data_rounds(&mut net, &mut random, &flows, 20, Millis(20_000));
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against records that are not handed over to the owners after a join, and against a joined
/// instance that routes older flows by the current target set alone.
#[parameterized(echo = { true }, history = { false })]
fn joined_instance_breaks_no_flow(echo: bool) {
    let (mut net, mut random, mut flows) = busy_fleet(6, echo);
    net.publish(|document| drain_target(document, "rates-04"));
    flows.extend(open_flows(
        &mut net,
        &mut random,
        FLOW_COUNT,
        FLOW_COUNT,
        echo,
    ));
    net.add_instance();
    net.add_instance();
    net.refresh_peers();
    send_data_rounds(&mut net, &mut random, &flows, 5, Millis(500));
    net.run_for(HANDOVER_WAIT);
    // Only the joined instances and two others remain, which route by the records handed over.
    for index in 0..6 {
        net.kill(index);
        net.run_for(Millis(2_000));
        net.refresh_peers();
        net.run_for(HANDOVER_WAIT);
    }
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against a graceful stop that loses records.
#[parameterized(echo = { true }, history = { false })]
fn stopped_instance_hands_its_records_over(echo: bool) {
    let (mut net, mut random, mut flows) = busy_fleet(7, echo);
    net.publish(|document| add_target(document, "rates-99", 99));
    flows.extend(open_flows(
        &mut net,
        &mut random,
        FLOW_COUNT,
        FLOW_COUNT,
        echo,
    ));
    for index in 0..6 {
        net.stop(index);
        assert!(net.instances[index].is_drained);
        net.run_for(Millis(100));
        net.instances[index].condition = Condition::Dead;
        net.refresh_peers();
        send_data(&mut net, &mut random, &flows);
    }
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against an owner that resumes after a pause with an outdated view and without the records
/// of the meantime.
#[parameterized(echo = { true }, history = { false })]
fn paused_owner_breaks_no_flow(echo: bool) {
    let (mut net, mut random, mut flows) = busy_fleet(8, echo);
    net.pause(3);
    net.run_for(Millis(2_000));
    net.refresh_peers();
    net.publish(|document| add_target(document, "rates-99", 99));
    flows.extend(open_flows(
        &mut net,
        &mut random,
        FLOW_COUNT,
        FLOW_COUNT,
        echo,
    ));
    net.run_for(Millis(5_000));
    net.resume(3);
    send_data(&mut net, &mut random, &flows);
    net.activate_document(3);
    net.refresh_peers();
    send_data_rounds(&mut net, &mut random, &flows, 5, Millis(2_000));
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against flows that end with the removal of their target from the document, although its
/// address is not reused.
#[parameterized(echo = { true }, history = { false })]
fn removed_target_keeps_its_flows(echo: bool) {
    let (mut net, mut random, flows) = busy_fleet(9, echo);
    net.publish(|document| remove_target(document, "rates-05"));
    send_data_rounds(&mut net, &mut random, &flows, 20, Millis(20_000));
    net.add_instance();
    net.refresh_peers();
    send_data_rounds(&mut net, &mut random, &flows, 5, Millis(500));
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against the loss of a flow that was placed by load and whose caller stops echoing tokens.
#[test]
fn caller_that_stops_echoing_keeps_its_flow() {
    let (mut net, mut random, flows) = busy_fleet(10, true);
    // After many rounds most instances have seen a token and have an entry. An instance that saw
    // none cannot route the flow before the records reach the owners.
    send_data_rounds(&mut net, &mut random, &flows, 40, Millis(100));
    for flow in &flows {
        net.callers.get_mut(flow).expect("a flow").echo = false;
    }
    send_data_rounds(&mut net, &mut random, &flows, 3, Millis(100));
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against a flow that ends because its first data frame overtook `Open` and was refused by
/// the target.
#[parameterized(echo = { true }, history = { false })]
fn data_may_arrive_before_open(echo: bool) {
    let (mut net, mut random) = (fleet(AffinityMethod::Token), seeded_rng(11));
    net.filter = Box::new(|message| match &message.payload {
        Payload::Frame(frame) if frame.kind() == Kind::Open && message.from == Endpoint::Caller => {
            Verdict::Delay(Millis(20))
        }
        _ => Verdict::Deliver,
    });
    let flows: Vec<_> = (0..50).map(kit::flow_id).collect();
    for (number, &flow) in flows.iter().enumerate() {
        net.open_flow(flow, kit::caller(flow, echo), number % 8);
        // Half of the flows send both frames through the same instance.
        net.send_data(flow, (number + number / 8 % 2) % 8);
    }
    net.run_for(Millis(200));
    check_invariants(&mut net, &mut random, &flows);
}

/// Guards against a flow with two targets after a duplicate `Open` at another instance.
#[parameterized(echo = { true }, history = { false })]
fn flow_opened_twice_has_one_target(echo: bool) {
    let (mut net, mut random) = (fleet(AffinityMethod::Token), seeded_rng(12));
    let flows: Vec<_> = (0..200).map(kit::flow_id).collect();
    for &flow in &flows {
        let via = random_running_instance(&net, &mut random);
        net.open_flow(flow, kit::caller(flow, echo), via);
        let via = random_running_instance(&net, &mut random);
        net.send_from_caller(flow, Kind::Open, &[], via);
    }
    net.run_for(Millis(100));
    let targets = targets_of(&net, &flows);
    send_data_rounds(&mut net, &mut random, &flows, 10, Millis(100));
    check_invariants(&mut net, &mut random, &flows);
    assert_eq!(targets_of(&net, &flows), targets);
}

/// Guards against a late frame that reopens a closed flow, and against entries that never expire.
#[parameterized(echo = { true }, history = { false })]
fn frames_after_close_are_harmless(echo: bool) {
    let (mut net, mut random, flows) = busy_fleet(13, echo);
    for &flow in &flows {
        net.send_from_caller(
            flow,
            Kind::Close,
            &[],
            random_running_instance(&net, &mut random),
        );
    }
    net.run_for(Millis(50));
    send_data(&mut net, &mut random, &flows);
    let held: usize = net.targets.values().map(|target| target.flows.len()).sum();
    assert_eq!(held, 0);
    assert_eq!(net.counts.wrong_service_frames, 0);
    net.run_for(Millis(620_000));
    let entries: usize = net
        .instances
        .iter()
        .map(|one| one.shard.flows().len())
        .sum();
    assert_eq!(entries, 0, "entries outlive their flows");
}

/// Guards against a flow that depends on a single record datagram.
#[test]
fn lost_record_datagrams_break_no_flow() {
    let (mut net, mut random, mut flows) = busy_fleet(14, false);
    net.publish(|document| add_target(document, "rates-99", 99));
    let mut count = 0;
    net.filter = Box::new(move |message| {
        count += 1;
        match &message.payload {
            Payload::Peer(Body::FlowRecords(_)) if count % 3 == 0 => Verdict::Drop,
            _ => Verdict::Deliver,
        }
    });
    flows.extend(open_flows(
        &mut net,
        &mut random,
        FLOW_COUNT,
        FLOW_COUNT,
        false,
    ));
    send_data_rounds(&mut net, &mut random, &flows, 20, Millis(20_000));
    check_invariants(&mut net, &mut random, &flows);
}

/// Proves that `broken_flows` detects broken flows: the baseline method loses some when a target is
/// added.
#[test]
fn baseline_breaks_flows_on_an_added_target() {
    let (mut net, mut random) = (fleet(AffinityMethod::LookupTable), seeded_rng(15));
    let flows = open_flows(&mut net, &mut random, 0, FLOW_COUNT, false);
    net.publish(|document| add_target(document, "rates-99", 99));
    assert_ne!(
        kit::broken_flows(&mut net, &mut random, &flows),
        Vec::<u64>::new()
    );
}
