//! Tests that flows stay with their target, and that packets without a target are not forwarded.

mod kit;

use std::collections::BTreeSet;

use ids::Millis;
use kit::{
    LOOKUP, ORDER, TestInstance, UPLOAD, default_routes, expect_forwarded, new_document, new_route,
    new_target,
};
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
        let mut instance = TestInstance::new();
        let flow = instance.flow(LOOKUP);
        match instance.send_opening(flow, 0) {
            Verdict::Forward { to, token } => assert_eq!(token, Some(to.id.token())),
            other => panic!("{other:?}"),
        }
    }

    flow_keeps_its_target_on_an_instance_that_never_saw_it => {
        let mut instance = TestInstance::new();
        let flow = instance.flow(LOOKUP);
        let target = instance.open_established(flow);
        let mut other = TestInstance::new();
        assert_eq!(expect_forwarded(other.send_data(flow, target, 100, 0)).id, target);
    }

    flow_of_a_draining_target_stays_and_new_ones_go_elsewhere => {
        let mut instance = TestInstance::new();
        let flow = instance.flow(UPLOAD);
        let id = instance.open_established(flow);
        let mut draining = new_target(id.0, "uploads", "a");
        draining.is_draining = true;
        instance.publish(vec![Change::Target(draining)]);
        assert_eq!(expect_forwarded(instance.send_data(flow, id, 100, 0)).id, id);
        let next = instance.flow(UPLOAD);
        assert_ne!(expect_forwarded(instance.send_opening(next, 0)).id, id);
    }

    flow_keeps_its_target_after_its_route_changes_or_is_removed => {
        let mut instance = TestInstance::new();
        let flow = instance.flow(LOOKUP);
        let id = instance.open_established(flow);
        let moved = vec![new_route(LOOKUP, "uploads", Repeat::Idempotent)];
        instance.publish(vec![Change::Document(new_document(2, moved))]);
        assert_eq!(expect_forwarded(instance.send_data(flow, id, 100, 0)).id, id);
        instance.publish(vec![Change::Document(new_document(3, Vec::new()))]);
        assert_eq!(expect_forwarded(instance.send_data(flow, id, 200, 0)).id, id);
    }

    packet_with_unknown_token_is_dropped => {
        let mut instance = TestInstance::new();
        let flow = instance.flow(LOOKUP);
        let verdict = instance.send(Segment {
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
        let mut instance = TestInstance::new();
        instance.publish(vec![Change::Document(new_document(2, Vec::new()))]);
        let flow = instance.flow(LOOKUP);
        assert_eq!(instance.send_opening(flow, 0), Verdict::Reset(ResetReason::NoRoute));
    }

    opening_packet_without_a_view_is_dropped => {
        let mut instance = TestInstance::empty();
        let flow = instance.flow(LOOKUP);
        assert_eq!(instance.send_opening(flow, 0), Verdict::Drop(DropReason::NoView));
    }

    opening_packet_without_a_target_is_reset_at_once => {
        let mut instance = TestInstance::new();
        instance.publish(vec![
            Change::TargetUnreadable(TargetId(6)),
            Change::TargetUnreadable(TargetId(7)),
        ]);
        let flow = instance.flow(UPLOAD);
        assert_eq!(instance.send_opening(flow, 0), Verdict::Reset(ResetReason::NoTarget));
    }

    older_document_is_ignored => {
        let mut instance = TestInstance::new();
        instance.publish(vec![Change::Document(new_document(5, Vec::new()))]);
        instance.publish(vec![Change::Document(new_document(4, default_routes()))]);
        let flow = instance.flow(LOOKUP);
        assert_eq!(instance.send_opening(flow, 0), Verdict::Reset(ResetReason::NoRoute));
    }

    flows_are_split_by_share_and_retransmissions_keep_their_service => {
        let mut instance = TestInstance::new();
        let mut split = new_route(ORDER, "rates", Repeat::Never);
        split.shares.push(Share { service: "uploads".into(), weight: 1 });
        instance.publish(vec![Change::Document(new_document(2, vec![split]))]);
        let mut services = BTreeSet::new();
        for _ in 0..64 {
            let flow = instance.flow(ORDER);
            let first = expect_forwarded(instance.send_opening(flow, 0)).id.0 >= 6;
            let mut other = TestInstance::new();
            let mut split = new_route(ORDER, "rates", Repeat::Never);
            split.shares.push(Share { service: "uploads".into(), weight: 1 });
            other.publish(vec![Change::Document(new_document(2, vec![split]))]);
            assert_eq!(expect_forwarded(other.send_opening(flow, 1)).id.0 >= 6, first);
            services.insert(first);
        }
        assert_eq!(services.len(), 2);
    }

    target_with_lapsed_report_gets_flows_during_the_grace_period => {
        let mut instance = TestInstance::new();
        instance.publish(vec![Change::TargetGone(TargetId(6)), Change::TargetGone(TargetId(7))]);
        let flow = instance.flow(UPLOAD);
        expect_forwarded(instance.send_opening(flow, 0));
        instance.advance(Millis(2_001));
        instance.sweep();
        let late = instance.flow(UPLOAD);
        assert_eq!(instance.send_opening(late, 0), Verdict::Reset(ResetReason::NoTarget));
    }

    drained_target_that_leaves_is_gone_at_once => {
        let mut instance = TestInstance::new();
        let mut draining = new_target(6, "uploads", "a");
        draining.is_draining = true;
        instance.publish(vec![Change::Target(draining), Change::TargetGone(TargetId(6))]);
        let flow = instance.flow(UPLOAD);
        assert_eq!(expect_forwarded(instance.send_opening(flow, 0)).id, TargetId(7));
    }

    idempotent_flow_of_a_drained_target_is_reset_once_it_has_left => {
        let mut instance = TestInstance::new();
        let flow = instance.flow(LOOKUP);
        let id = instance.open_established(flow);
        let mut draining = new_target(id.0, "rates", "a");
        draining.is_draining = true;
        instance.publish(vec![Change::Target(draining), Change::TargetGone(id)]);
        assert_eq!(instance.send_data(flow, id, 100, 0), Verdict::Reset(ResetReason::TargetGone));
    }

    only_idempotent_flows_of_a_gone_target_are_reset => {
        let mut instance = TestInstance::new();
        let (lookup, order) = (instance.flow(LOOKUP), instance.flow(ORDER));
        let lookup_target = instance.open_established(lookup);
        let order_target = instance.open_established(order);
        instance.publish((1..=5).map(|id| Change::TargetGone(TargetId(id))).collect());
        instance.advance(Millis(2_001));
        instance.sweep();
        // The report of a live target may come back after the grace period of new flows.
        assert_eq!(
            expect_forwarded(instance.send_data(lookup, lookup_target, 100, 0)).id,
            lookup_target
        );
        instance.advance(Millis(2_000));
        assert_eq!(
            instance.send_data(lookup, lookup_target, 200, 0),
            Verdict::Reset(ResetReason::TargetGone)
        );
        assert_eq!(
            expect_forwarded(instance.send_data(order, order_target, 100, 0)).id,
            order_target
        );
    }

    // A caller may use the port of an earlier flow whose end this instance did not see. The old
    // target may have left since, or the route may lead to another service.
    new_flow_from_a_reused_port_is_placed_again => {
        let mut instance = TestInstance::new();
        let flow = instance.flow(UPLOAD);
        let first = instance.open_established(flow);
        let mut draining = new_target(first.0, "uploads", "a");
        draining.is_draining = true;
        instance.publish(vec![Change::Target(draining)]);
        let second = expect_forwarded(instance.send_opening_from(flow, 9_000, 0)).id;
        assert_ne!(second, first);
        // Copies of the new opening packet belong to the new flow.
        assert_eq!(expect_forwarded(instance.send_opening_from(flow, 9_000, 1)).id, second);
        instance.publish(vec![Change::Document(new_document(2, Vec::new()))]);
        let removed = instance.send_opening_from(flow, 20_000, 0);
        assert_eq!(removed, Verdict::Reset(ResetReason::NoRoute));
    }

    late_copy_of_an_opening_packet_stays_with_its_flow => {
        let mut instance = TestInstance::new();
        let flow = instance.flow(ORDER);
        let id = instance.open_established(flow);
        instance.advance(Millis(600));
        assert_eq!(expect_forwarded(instance.send_opening(flow, 2)).id, id);
    }

    new_flow_from_a_port_seen_only_in_the_middle_of_a_flow_is_placed_again => {
        let mut instance = TestInstance::new();
        let flow = instance.flow(UPLOAD);
        let first = TargetId(6);
        instance.send_data(flow, first, 100, 0);
        instance.advance(Millis(500));
        assert_eq!(expect_forwarded(instance.send_opening(flow, 2)).id, first);
        let mut draining = new_target(first.0, "uploads", "a");
        draining.is_draining = true;
        instance.publish(vec![Change::Target(draining)]);
        instance.advance(Millis(1_500));
        assert_ne!(expect_forwarded(instance.send_opening(flow, 0)).id, first);
    }

    // A report that is missing only shows that the target does not report. Its responses show
    // that it still works on the requests of its flows.
    flow_of_a_responding_target_is_kept_although_its_report_is_missing => {
        let mut instance = TestInstance::new();
        let busy = instance.flow(LOOKUP);
        let id = instance.open_established(busy);
        instance.publish((1..=5).map(|id| Change::TargetGone(TargetId(id))).collect());
        instance.advance(Millis(2_001));
        instance.sweep();
        instance.send_data(busy, id, 100, 0);
        instance.advance(Millis(20));
        instance.send_data(busy, id, 0, 500);
        instance.advance(Millis(2_500));
        assert_eq!(expect_forwarded(instance.send_data(busy, id, 200, 500)).id, id);
    }
}
