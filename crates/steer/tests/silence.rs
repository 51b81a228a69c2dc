//! Targets that do not answer: opening packets go elsewhere, and only clear evidence resets flows.

mod kit;

use ids::Millis;
use kit::{LOOKUP, ORDER, World, forwarded};
use steer::{
    Evidence, FlowId, Note, Observation, ResetReason, TargetId, UnansweredPacket, Verdict,
};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

/// Opens idempotent flows until `count` of them are on one target.
fn flows_on_one_target(world: &mut World, count: usize) -> (TargetId, Vec<FlowId>) {
    let mut flows = Vec::new();
    let mut chosen = None;
    while flows.len() < count {
        let flow = world.flow(LOOKUP);
        let target = world.opened(flow);
        if *chosen.get_or_insert(target) == target {
            flows.push(flow);
        }
    }
    (chosen.unwrap_or_default(), flows)
}

/// Keeps another target heard, as in any instance with traffic.
fn hear_another(world: &mut World, silent: TargetId) {
    loop {
        let flow = world.flow(LOOKUP);
        if world.opened(flow) != silent {
            return;
        }
    }
}

cases! {
    opening_packet_without_a_handshake_goes_to_another_target => {
        let mut world = World::new();
        let flow = world.flow(ORDER);
        let first = forwarded(world.open(flow, 0)).id;
        world.pass(Millis(39));
        assert!(world.timer().is_empty());
        world.pass(Millis(2));
        let resends = world.timer();
        assert_eq!(resends.len(), 1);
        assert_ne!(resends[0].to.id, first);
        assert_eq!(resends[0].token, resends[0].to.id.token());
    }

    opened_flow_is_not_sent_to_another_target => {
        let mut world = World::new();
        let flow = world.flow(ORDER);
        world.opened(flow);
        world.pass(Millis(500));
        assert!(world.timer().is_empty());
    }

    resent_opening_packet_goes_to_another_target => {
        let mut world = World::new();
        let flow = world.flow(ORDER);
        let first = forwarded(world.open(flow, 0)).id;
        world.pass(Millis(200));
        assert_ne!(forwarded(world.open(flow, 1)).id, first);
    }

    doubled_opening_packet_stays_with_its_target => {
        let mut world = World::new();
        let flow = world.flow(ORDER);
        let first = forwarded(world.open(flow, 0)).id;
        assert_eq!(forwarded(world.open(flow, 0)).id, first);
    }

    silent_target_gets_no_new_flows_until_its_time_is_over => {
        let mut world = World::new();
        let flow = world.flow(ORDER);
        let silent = forwarded(world.open(flow, 0)).id;
        world.pass(Millis(41));
        world.timer();
        for _ in 0..20 {
            let flow = world.flow(ORDER);
            assert_ne!(forwarded(world.open(flow, 0)).id, silent);
        }
    }

    overtaken_packet_is_no_evidence => {
        let mut world = World::new();
        let (target, flows) = flows_on_one_target(&mut world, 5);
        for flow in &flows {
            world.data(*flow, target, 200, 0);
            world.data(*flow, target, 100, 0);
        }
        hear_another(&mut world, target);
        assert_eq!(forwarded(world.data(flows[4], target, 300, 0)).id, target);
    }

    three_unanswered_requests_reset_idempotent_flows => {
        let mut world = World::new();
        let (target, flows) = flows_on_one_target(&mut world, 4);
        for flow in &flows[..3] {
            world.data(*flow, target, 100, 0);
        }
        world.pass(Millis(200));
        for flow in &flows[..2] {
            assert_eq!(forwarded(world.data(*flow, target, 100, 0)).id, target);
        }
        hear_another(&mut world, target);
        assert_eq!(forwarded(world.data(flows[3], target, 100, 0)).id, target);
        assert_eq!(
            world.data(flows[2], target, 100, 0),
            Verdict::Reset(ResetReason::TargetSilent)
        );
        assert_eq!(
            world.data(flows[3], target, 200, 0),
            Verdict::Reset(ResetReason::TargetSilent)
        );
    }

    evidence_of_a_dead_target_does_not_last => {
        let mut world = World::new();
        let (target, flows) = flows_on_one_target(&mut world, 4);
        for flow in &flows[..3] {
            world.data(*flow, target, 100, 0);
        }
        world.pass(Millis(200));
        for flow in &flows[..3] {
            world.data(*flow, target, 100, 0);
        }
        world.pass(Millis(1_100));
        hear_another(&mut world, target);
        assert_eq!(forwarded(world.data(flows[3], target, 100, 0)).id, target);
    }

    unanswered_opening_packets_do_not_reset_open_flows => {
        let mut world = World::new();
        let (target, flows) = flows_on_one_target(&mut world, 1);
        for _ in 0..40 {
            let flow = world.flow(ORDER);
            world.open(flow, 0);
        }
        world.pass(Millis(41));
        world.timer();
        hear_another(&mut world, target);
        assert_eq!(forwarded(world.data(flows[0], target, 100, 0)).id, target);
    }

    silence_of_all_targets_is_taken_as_a_fault_of_this_side => {
        let mut world = World::new();
        let (target, flows) = flows_on_one_target(&mut world, 4);
        world.pass(Millis(500));
        for flow in &flows[..3] {
            world.data(*flow, target, 100, 0);
        }
        world.pass(Millis(200));
        for flow in &flows[..3] {
            world.data(*flow, target, 100, 0);
        }
        assert_eq!(forwarded(world.data(flows[3], target, 100, 0)).id, target);
    }

    target_that_stalls_requests_gets_no_new_flows => {
        let mut world = World::new();
        let (target, flows) = flows_on_one_target(&mut world, 4);
        for flow in &flows[..3] {
            world.data(*flow, target, 100, 0);
        }
        world.pass(Millis(1_000));
        // A request that is answered does not clear the target, unlike one lost datagram.
        world.data(flows[3], target, 100, 0);
        world.data(flows[3], target, 0, 500);
        for _ in 0..20 {
            let flow = world.flow(ORDER);
            assert_ne!(forwarded(world.open(flow, 0)).id, target);
        }
        assert_eq!(forwarded(world.data(flows[0], target, 200, 0)).id, target);
    }

    a_stalled_request_counts_once => {
        let mut world = World::new();
        let (target, flows) = flows_on_one_target(&mut world, 1);
        // Requests that were answered leave nothing behind that counts for a later one.
        for step in 1..=4 {
            world.data(flows[0], target, 100 * step, 100 * (step - 1));
            world.pass(Millis(1));
        }
        world.pass(Millis(2_000));
        hear_another(&mut world, target);
        let stalled = world.steer.take_notes().into_iter();
        assert_eq!(stalled.filter(|note| matches!(note, Note::Stalled { .. })).count(), 1);
    }

    flows_that_routers_send_elsewhere_leave_all_targets_in_use => {
        let mut world = World::new();
        let flows: Vec<_> = (0..60)
            .map(|_| {
                let flow = world.flow(LOOKUP);
                (flow, world.opened(flow))
            })
            .collect();
        for (flow, target) in &flows {
            world.data(*flow, *target, 100, 0);
        }
        // Their answers are acknowledged through another instance.
        world.pass(Millis(1_500));
        let flow = world.flow(LOOKUP);
        world.opened(flow);
        assert!(world.steer.view().records().all(|record| !record.stalled_requests.is_avoided(world.now)));
    }

    slow_answers_of_all_targets_change_nothing => {
        let mut world = World::new();
        let (target, flows) = flows_on_one_target(&mut world, 2);
        for flow in &flows {
            world.data(*flow, target, 100, 0);
            world.pass(Millis(240));
            world.data(*flow, target, 0, 500);
        }
        assert!(world.steer.view().records().all(|record| !record.stalled_requests.is_avoided(world.now)));
    }

    evidence_of_peers_counts_and_is_contradicted => {
        let mut world = World::new();
        let (target, flows) = flows_on_one_target(&mut world, 2);
        let missed = Evidence {
            target,
            observation: Observation::Unanswered(UnansweredPacket::Request),
            age: Millis(200),
        };
        // This instance heard the target later than the peer's caller asked.
        for _ in 0..3 {
            world.steer.on_evidence(world.now, &missed);
        }
        let heard = world.steer.take_notes().iter().filter_map(Note::evidence).count();
        assert_eq!(heard, 3);
        assert_eq!(forwarded(world.data(flows[0], target, 100, 0)).id, target);
        world.pass(Millis(500));
        for _ in 0..3 {
            world.steer.on_evidence(world.now, &missed);
        }
        hear_another(&mut world, target);
        assert_eq!(
            world.data(flows[1], target, 100, 0),
            Verdict::Reset(ResetReason::TargetSilent)
        );
        // Another peer heard it after all.
        let heard = Evidence { target, observation: Observation::Responded, age: Millis(0) };
        world.steer.on_evidence(world.now, &heard);
        assert_eq!(forwarded(world.data(flows[0], target, 200, 0)).id, target);
    }

    avoided_targets_serve_when_there_are_no_others => {
        let mut world = World::new();
        for _ in 0..40 {
            let flow = world.flow(ORDER);
            world.open(flow, 0);
        }
        world.pass(Millis(41));
        world.timer();
        let flow = world.flow(ORDER);
        forwarded(world.open(flow, 0));
    }
}
