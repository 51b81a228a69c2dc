//! Flows stay with their target, and packets that have none go nowhere.

mod kit;

use std::collections::BTreeSet;

use ids::Millis;
use kit::{LOOKUP, ORDER, UPLOAD, World, document, forwarded, route, routes, target};
use steer::{
    Change, DropReason, PacketKind, Repeat, ResetReason, Segment, Share, TargetId, Token, Verdict,
};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

cases! {
    opening_packet_gets_the_token_of_its_target => {
        let mut world = World::new();
        let flow = world.flow(LOOKUP);
        match world.open(flow, 0) {
            Verdict::Forward { to, token } => assert_eq!(token, Some(to.id.token())),
            other => panic!("{other:?}"),
        }
    }

    flow_keeps_its_target_on_an_instance_that_never_saw_it => {
        let mut world = World::new();
        let flow = world.flow(LOOKUP);
        let target = world.opened(flow);
        let mut other = World::new();
        assert_eq!(forwarded(other.data(flow, target, 100, 0)).id, target);
    }

    flow_of_a_draining_target_stays_and_new_ones_go_elsewhere => {
        let mut world = World::new();
        let flow = world.flow(UPLOAD);
        let id = world.opened(flow);
        let mut draining = target(id.0, "uploads", "a");
        draining.is_draining = true;
        world.publish(vec![Change::Target(draining)]);
        assert_eq!(forwarded(world.data(flow, id, 100, 0)).id, id);
        let next = world.flow(UPLOAD);
        assert_ne!(forwarded(world.open(next, 0)).id, id);
    }

    flow_outlives_a_changed_and_a_removed_route => {
        let mut world = World::new();
        let flow = world.flow(LOOKUP);
        let id = world.opened(flow);
        let moved = vec![route(LOOKUP, "uploads", Repeat::Idempotent)];
        world.publish(vec![Change::Document(document(2, moved))]);
        assert_eq!(forwarded(world.data(flow, id, 100, 0)).id, id);
        world.publish(vec![Change::Document(document(3, Vec::new()))]);
        assert_eq!(forwarded(world.data(flow, id, 200, 0)).id, id);
    }

    unknown_token_is_dropped_and_never_guessed => {
        let mut world = World::new();
        let flow = world.flow(LOOKUP);
        let verdict = world.send(Segment {
            flow,
            kind: PacketKind::Data,
            token: Token(12_345),
            seq: 1,
            ack: 1,
            data_bytes: 10,
        });
        assert_eq!(verdict, Verdict::Drop(DropReason::UnknownToken));
    }

    opening_packet_without_a_route_is_reset => {
        let mut world = World::new();
        world.publish(vec![Change::Document(document(2, Vec::new()))]);
        let flow = world.flow(LOOKUP);
        assert_eq!(world.open(flow, 0), Verdict::Reset(ResetReason::NoRoute));
    }

    opening_packet_without_a_view_is_dropped => {
        let mut world = World::empty();
        let flow = world.flow(LOOKUP);
        assert_eq!(world.open(flow, 0), Verdict::Drop(DropReason::NoView));
    }

    opening_packet_without_a_target_is_reset_at_once => {
        let mut world = World::new();
        world.publish(vec![
            Change::TargetUnreadable(TargetId(6)),
            Change::TargetUnreadable(TargetId(7)),
        ]);
        let flow = world.flow(UPLOAD);
        assert_eq!(world.open(flow, 0), Verdict::Reset(ResetReason::NoTarget));
    }

    older_document_never_comes_back => {
        let mut world = World::new();
        world.publish(vec![Change::Document(document(5, Vec::new()))]);
        world.publish(vec![Change::Document(document(4, routes()))]);
        let flow = world.flow(LOOKUP);
        assert_eq!(world.open(flow, 0), Verdict::Reset(ResetReason::NoRoute));
    }

    shares_divide_flows_and_resends_stay_with_theirs => {
        let mut world = World::new();
        let mut split = route(ORDER, "rates", Repeat::Never);
        split.shares.push(Share { service: "uploads".into(), weight: 1 });
        world.publish(vec![Change::Document(document(2, vec![split]))]);
        let mut services = BTreeSet::new();
        for _ in 0..64 {
            let flow = world.flow(ORDER);
            let first = forwarded(world.open(flow, 0)).id.0 >= 6;
            let mut other = World::new();
            let mut split = route(ORDER, "rates", Repeat::Never);
            split.shares.push(Share { service: "uploads".into(), weight: 1 });
            other.publish(vec![Change::Document(document(2, vec![split]))]);
            assert_eq!(forwarded(other.open(flow, 1)).id.0 >= 6, first);
            services.insert(first);
        }
        assert_eq!(services.len(), 2);
    }

    lapsed_report_keeps_its_target_until_the_store_has_recovered => {
        let mut world = World::new();
        world.publish(vec![Change::TargetGone(TargetId(6)), Change::TargetGone(TargetId(7))]);
        let flow = world.flow(UPLOAD);
        forwarded(world.open(flow, 0));
        world.pass(Millis(2_001));
        world.sweep();
        let late = world.flow(UPLOAD);
        assert_eq!(world.open(late, 0), Verdict::Reset(ResetReason::NoTarget));
    }

    drained_target_that_leaves_is_gone_at_once => {
        let mut world = World::new();
        let mut draining = target(6, "uploads", "a");
        draining.is_draining = true;
        world.publish(vec![Change::Target(draining), Change::TargetGone(TargetId(6))]);
        let flow = world.flow(UPLOAD);
        assert_eq!(forwarded(world.open(flow, 0)).id, TargetId(7));
    }

    idempotent_flow_of_a_drained_target_is_reset_once_it_has_left => {
        let mut world = World::new();
        let flow = world.flow(LOOKUP);
        let id = world.opened(flow);
        let mut draining = target(id.0, "rates", "a");
        draining.is_draining = true;
        world.publish(vec![Change::Target(draining), Change::TargetGone(id)]);
        assert_eq!(world.data(flow, id, 100, 0), Verdict::Reset(ResetReason::TargetGone));
    }

    idempotent_flow_of_a_gone_target_is_reset_and_others_are_left => {
        let mut world = World::new();
        let (lookup, order) = (world.flow(LOOKUP), world.flow(ORDER));
        let lookup_target = world.opened(lookup);
        let order_target = world.opened(order);
        world.publish((1..=5).map(|id| Change::TargetGone(TargetId(id))).collect());
        world.pass(Millis(2_001));
        world.sweep();
        // A live target's report may come back a moment later than new flows can wait for it.
        assert_eq!(forwarded(world.data(lookup, lookup_target, 100, 0)).id, lookup_target);
        world.pass(Millis(2_000));
        assert_eq!(
            world.data(lookup, lookup_target, 200, 0),
            Verdict::Reset(ResetReason::TargetGone)
        );
        assert_eq!(forwarded(world.data(order, order_target, 100, 0)).id, order_target);
    }
}
