//! Tests that every instance gives a token to the same target, also if targets have equal tokens.

#![allow(clippy::unwrap_used)]

mod kit;

use std::collections::HashMap;

use ids::{Micros, Millis};
use kit::{
    LOOKUP, ORDER, TestInstance, default_routes, expect_forwarded, new_document, new_target,
};
use proptest::prelude::*;
use steer::{
    Change, DropReason, FlowId, PacketKind, ResetReason, Revision, Segment, Target, TargetId,
    TargetLoad, Token, Update, Verdict, View,
};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

/// Pairs of ids with equal tokens.
const PAIRS: [[u64; 2]; 3] = [
    [0x25_3f8f_7811, 0x2c_33b3_a52a],
    [0x53_a4a5_4bd6, 0x94_f4dd_b354],
    [0x7f_55fa_2b4e, 0xd5_efc1_ac92],
];

/// Three ids with one token.
const TRIPLE: [u64; 3] = [0xc1_afed_ece5, 0x63_fbc2_7635, 0x74_898f_785c];

const GRACE: Millis = Millis(2_000);
const FLOW_LIFETIME: Millis = Millis(60_000);

/// What the store holds of a target.
#[derive(Debug, Clone, Copy)]
struct Report {
    id: u64,
    incarnation: u64,
    is_published: bool,
}

fn target(report: Report) -> Target {
    Target {
        incarnation: report.incarnation,
        ..new_target(report.id, "rates", "a")
    }
}

fn update(number: usize, report: Report) -> Update {
    let change = if report.is_published {
        Change::Target(target(report))
    } else {
        Change::TargetGone(TargetId(report.id))
    };
    let revision = Revision {
        number: number as u64 + 1,
        ..Revision::default()
    };
    Update { revision, change }
}

/// A view that learns the updates in the given order, one at a time or all at once.
fn view_of(updates: Vec<Update>, is_batch: bool) -> View {
    let mut view = View::new().unwrap();
    let mut now = Micros(1_000_000);
    if is_batch {
        view.apply_changes(now, Revision::default(), updates, GRACE);
        return view;
    }
    for update in updates {
        view.apply_changes(now, update.revision, vec![update], GRACE);
        now = now + Millis(10);
    }
    view
}

/// Reports in their order in the store: joins, restarts with a new incarnation, and departures.
fn history() -> impl Strategy<Value = Vec<Report>> {
    let ids: Vec<u64> = PAIRS
        .into_iter()
        .flatten()
        .chain(TRIPLE)
        .chain(1..4)
        .collect();
    let report = (
        prop::sample::select(ids),
        0..6_u64,
        prop::bool::weighted(0.8),
    );
    let report = report.prop_map(|(id, incarnation, is_published)| Report {
        id,
        incarnation,
        is_published,
    });
    prop::collection::vec(report, 1..24)
}

/// Reports that the store holds in the end.
fn final_reports(history: &[Report]) -> Vec<(usize, Report)> {
    let mut last: HashMap<u64, (usize, Report)> = HashMap::new();
    for (number, report) in history.iter().enumerate() {
        last.insert(report.id, (number, *report));
    }
    last.into_values()
        .filter(|(_, report)| report.is_published)
        .collect()
}

/// Checks that a reader finds the target of each token that a writer writes.
fn check_tokens(now: Micros, writer: &View, reader: &View, reports: &[(usize, Report)]) {
    for (_, report) in reports {
        let id = TargetId(report.id);
        assert!(writer.has_token(now, id), "{id} gets no flows");
        assert_eq!(reader.target_by_token(now, writer.token_of(id)), Some(id));
    }
}

proptest! {
    /// Guards against packets of an open flow that reach another target after another instance has
    /// taken the flow over.
    #[test]
    fn order_of_learning_does_not_matter(
        (history, order) in history().prop_flat_map(|history| {
            let order: Vec<usize> = (0..history.len()).collect();
            (Just(history), Just(order).prop_shuffle())
        }),
        is_batch in any::<bool>(),
    ) {
        let in_order = |number: usize| update(number, history[number]);
        let first = view_of((0..history.len()).map(in_order).collect(), false);
        let reports = final_reports(&history);
        // An instance that started late knows only what the store holds in the end.
        let late = reports.iter().map(|(number, report)| update(*number, *report));
        let late = view_of(late.collect(), is_batch);
        let shuffled = order.iter().map(|number| update(*number, history[*number]));
        let shuffled = shuffled.filter(|update| matches!(update.change, Change::Target(_)));
        let mut shuffled = view_of(shuffled.collect(), is_batch);
        let held = reports.iter().map(|(number, report)| update(*number, *report));
        let revision = Revision { number: history.len() as u64 + 1, ..Revision::default() };
        shuffled.apply_snapshot(Micros(2_000_000), revision, held.collect(), GRACE);
        let mut views = [first, late, shuffled];
        // Until the grace period is over, targets that have left may live.
        for (writer, reader) in [(0, 0), (0, 1), (0, 2), (1, 1), (2, 0), (2, 1), (2, 2)] {
            check_tokens(Micros(2_000_000), &views[writer], &views[reader], &reports);
        }
        for now in [5_000_000, 10_000_000] {
            for view in &mut views {
                view.expire(Micros(now), GRACE, FLOW_LIFETIME);
            }
        }
        let now = Micros(10_000_000);
        for writer in &views {
            for reader in &views {
                check_tokens(now, writer, reader, &reports);
            }
        }
        for (_, report) in &reports {
            let token = TargetId(report.id).token();
            let found = views.each_ref().map(|view| view.target_by_token(now, token));
            prop_assert!(found.iter().all(|id| *id == found[0]), "{found:?}");
        }
    }

    /// Guards against tokens that reach another target on an instance which does not know all targets
    /// yet. Such an instance may drop the packet, and the caller sends it again.
    #[test]
    fn instances_that_know_fewer_targets_send_to_no_other_target(
        history in history(),
        known in prop::collection::vec(any::<bool>(), 24),
    ) {
        let reports = final_reports(&history);
        let all = reports.iter().map(|(number, report)| update(*number, *report));
        let all = view_of(all.collect(), true);
        let some = reports.iter().filter(|(number, _)| known[*number]);
        let some = view_of(some.map(|(number, report)| update(*number, *report)).collect(), true);
        for (number, report) in &reports {
            let id = TargetId(report.id);
            let found = some.target_by_token(Micros(2_000_000), all.token_of(id));
            prop_assert!(found == Some(id) || found.is_none() && !known[*number], "{found:?}");
        }
    }
}

const NOW_GONE: Millis = Millis(5_000);

/// An instance that knows the configuration and the given targets.
fn instance_with(reports: &[(u64, u64)]) -> TestInstance {
    let mut instance = TestInstance::empty();
    instance.publish(vec![Change::Document(new_document(1, default_routes()))]);
    for (id, incarnation) in reports {
        publish(&mut instance, *id, *incarnation);
    }
    instance
}

fn publish(instance: &mut TestInstance, id: u64, incarnation: u64) {
    let is_published = true;
    instance.publish(vec![Change::Target(target(Report {
        id,
        incarnation,
        is_published,
    }))]);
}

fn remove(instance: &mut TestInstance, id: u64) {
    instance.publish(vec![Change::TargetGone(TargetId(id))]);
}

/// Lets a target announce its shutdown and leave.
fn leave(instance: &mut TestInstance, id: u64) {
    instance.publish(vec![Change::Target(Target {
        is_draining: true,
        ..new_target(id, "rates", "a")
    })]);
    remove(instance, id);
}

/// Returns the numbers of known flows of two targets.
fn flow_counts(instance: &TestInstance, ids: [u64; 2]) -> [u32; 2] {
    ids.map(|id| instance.steer.view().record(TargetId(id)).unwrap().flows)
}

/// Sends a packet of an established flow under a token.
fn send(instance: &mut TestInstance, flow: FlowId, token: Token, ack: u32) -> Verdict {
    instance.send(Segment {
        flow,
        kind: PacketKind::Data,
        token,
        seq: 101,
        ack,
        data_bytes: 100,
    })
}

/// Opens a flow and returns its target and token.
fn open(instance: &mut TestInstance, flow: FlowId) -> (TargetId, Token) {
    match instance.send_opening(flow, 0) {
        Verdict::Forward { to, token } => (to.id, token.unwrap()),
        other => unreachable!("not forwarded: {other:?}"),
    }
}

cases! {
    // Guards against pairs of the tests that no longer collide.
    tokens_of_the_tests_are_equal => {
        for ids in PAIRS.iter().map(|pair| &pair[..]).chain([&TRIPLE[..]]) {
            for id in ids {
                assert_eq!(TargetId(*id).token(), TargetId(ids[0]).token());
            }
        }
    }

    // Guards against targets that get no flows because of their token.
    all_targets_with_one_token_get_flows => {
        let mut instance = instance_with(&TRIPLE.map(|id| (id, 5)));
        let mut counts: HashMap<TargetId, u32> = HashMap::new();
        for _ in 0..30 {
            let flow = instance.flow(ORDER);
            let (id, token) = open(&mut instance, flow);
            assert_eq!(instance.steer.view().target_by_token(instance.now, token), Some(id));
            *counts.entry(id).or_default() += 1;
        }
        assert_eq!(counts.into_values().collect::<Vec<_>>(), [10; 3]);
    }

    // Guards against a reset of flows that were opened before the older target was known: reports of
    // targets that start together arrive in any order.
    open_flow_stays_when_an_older_target_takes_its_token => {
        let [older, younger] = PAIRS[0];
        let mut instance = instance_with(&[(younger, 20)]);
        let flow = instance.flow(ORDER);
        let (id, token) = open(&mut instance, flow);
        expect_forwarded(send(&mut instance, flow, token, 1_000));
        let unfinished = instance.flow(ORDER);
        open(&mut instance, unfinished);
        publish(&mut instance, older, 10);
        for flow in [flow, unfinished] {
            assert_eq!(expect_forwarded(send(&mut instance, flow, token, 1_500)).id, id);
        }
    }

    // Guards against a reset of open flows of the remaining target when the other one starts again.
    open_flow_stays_when_the_older_target_starts_again => {
        let [older, younger] = PAIRS[0];
        let reports = [(older, 10), (younger, 20)];
        let mut fast = instance_with(&reports);
        let mut slow = instance_with(&reports);
        let token = |instance: &TestInstance, id| instance.steer.view().token_of(TargetId(id));
        let before = [older, younger].map(|id| token(&fast, id));
        publish(&mut fast, older, 30);
        let mut newcomer = instance_with(&[(younger, 20), (older, 30)]);
        let primary = TargetId(older).token();
        let holders = [&fast, &newcomer].map(|instance| instance.steer.view().target_by_token(instance.now, primary));
        assert_eq!(holders, [Some(TargetId(younger)); 2]);
        for (id, before) in [older, younger].into_iter().zip(before) {
            for token in [before, token(&fast, id), token(&newcomer, id)] {
                for instance in [&mut fast, &mut slow, &mut newcomer] {
                    let flow = instance.flow(ORDER);
                    assert_eq!(expect_forwarded(send(instance, flow, token, 1_500)).id.0, id);
                }
            }
        }
    }

    // Guards against a reset of open flows of a target whose report lapsed although it lives, by the
    // other target and on any instance.
    open_flow_stays_when_the_report_of_its_target_lapses => {
        let [older, younger] = PAIRS[0];
        let mut instance = instance_with(&[(older, 10)]);
        let flow = instance.flow(ORDER);
        let (id, early_token) = open(&mut instance, flow);
        expect_forwarded(send(&mut instance, flow, early_token, 1_000));
        publish(&mut instance, younger, 20);
        let token = instance.steer.view().token_of(id);
        remove(&mut instance, older);
        for _ in 0..5 {
            instance.advance(Millis(1_000));
            instance.sweep();
            let received = 1_000 + instance.now.0 as u32;
            assert_eq!(expect_forwarded(send(&mut instance, flow, early_token, received)).id, id);
        }
        // The target responds, so its primary token remains its own, also for unknown flows.
        let other = instance.flow(ORDER);
        assert_eq!(expect_forwarded(send(&mut instance, other, early_token, 1_500)).id, id);
        let mut newcomer = instance_with(&[(younger, 20)]);
        let verdict = send(&mut newcomer, other, token, 1_500);
        assert_eq!(verdict, Verdict::Drop(DropReason::UnknownToken));
        publish(&mut newcomer, older, 10);
        assert_eq!(expect_forwarded(send(&mut newcomer, other, token, 1_500)).id, id);
    }

    // Guards against a reset of flows that a newcomer opened at the other target, between the departure
    // of the older one and the next sweep.
    token_of_a_target_that_left_passes_to_the_other_one_at_once => {
        let [older, younger] = PAIRS[0];
        let mut instance = instance_with(&[(older, 10), (younger, 20)]);
        leave(&mut instance, older);
        let mut newcomer = instance_with(&[(younger, 20)]);
        for _ in 0..6 {
            let flow = newcomer.flow(LOOKUP);
            let (_, token) = open(&mut newcomer, flow);
            assert_eq!(token, TargetId(older).token());
            assert_eq!(expect_forwarded(send(&mut instance, flow, token, 1_500)).id.0, younger);
            instance.advance(Millis(900));
        }
    }

    // Guards against a reset of such flows that were attributed to the older target before it was known
    // to be gone.
    attribution_of_a_flow_passes_to_the_other_target => {
        let [older, younger] = PAIRS[0];
        let mut instance = instance_with(&[(older, 10), (younger, 20)]);
        remove(&mut instance, older);
        let flow = instance.flow(LOOKUP);
        let token = TargetId(older).token();
        assert_eq!(expect_forwarded(send(&mut instance, flow, token, 1_000)).id.0, older);
        // Responses of the younger target, acknowledged through this instance.
        instance.advance(Millis(100));
        assert_eq!(expect_forwarded(send(&mut instance, flow, token, 1_500)).id.0, older);
        instance.advance(Millis(2_000));
        instance.sweep();
        instance.advance(Millis(2_000));
        assert_eq!(expect_forwarded(send(&mut instance, flow, token, 2_000)).id.0, younger);
        assert_eq!(flow_counts(&instance, [older, younger]), [0, 1]);
    }

    // Guards against a target that has left and seems to answer, because a peer that does not know it
    // reports answers of the other target under their common token.
    report_of_a_peer_does_not_keep_a_target_that_left => {
        let [older, younger] = PAIRS[0];
        let mut instance = instance_with(&[(older, 10), (younger, 20)]);
        let token = TargetId(older).token();
        leave(&mut instance, older);
        for _ in 0..8 {
            instance.advance(Millis(500));
            let report = TargetLoad { answered: 5, ..TargetLoad::none(token) };
            instance.steer.on_domain_loads(instance.now, &[report]);
        }
        let flow = instance.flow(LOOKUP);
        assert_eq!(expect_forwarded(send(&mut instance, flow, token, 1_500)).id.0, younger);
    }

    // Guards against a target that has left and keeps its token for a minute, because the caller's
    // acknowledgement of its last response came after its departure.
    last_acknowledgement_does_not_keep_a_target_that_left => {
        let [older, younger] = PAIRS[0];
        let mut instance = instance_with(&[(older, 10)]);
        let flow = instance.flow(LOOKUP);
        let (_, token) = open(&mut instance, flow);
        expect_forwarded(send(&mut instance, flow, token, 1_000));
        publish(&mut instance, younger, 20);
        leave(&mut instance, older);
        instance.advance(Millis(5));
        expect_forwarded(send(&mut instance, flow, token, 1_500));
        instance.advance(Millis(5_000));
        let other = instance.flow(LOOKUP);
        assert_eq!(expect_forwarded(send(&mut instance, other, token, 1_500)).id.0, younger);
    }

    // Guards against evidence from flows that may be those of the other target.
    flows_of_unknown_origin_are_no_evidence_against_a_target => {
        let [older, younger] = PAIRS[0];
        let mut instance = instance_with(&[(older, 10), (younger, 20)]);
        let token = TargetId(older).token();
        let flows: Vec<FlowId> = (0..5).map(|_| instance.flow(LOOKUP)).collect();
        for _ in 0..2 {
            for flow in &flows {
                expect_forwarded(send(&mut instance, *flow, token, 1_500));
            }
            instance.advance(Millis(300));
        }
        let record = instance.steer.view().record(TargetId(older)).unwrap();
        assert_eq!(record.responsiveness.unanswered_requests(instance.now), 0);
    }

    // Guards against flows of a target that has left which wait for their deadline, although their
    // requests may run again.
    flow_of_a_target_that_left_is_reset_at_once => {
        let [older, younger] = PAIRS[0];
        let mut instance = instance_with(&[(older, 10)]);
        let early = instance.flow(LOOKUP);
        let (_, primary) = open(&mut instance, early);
        expect_forwarded(send(&mut instance, early, primary, 1_000));
        publish(&mut instance, younger, 20);
        let substitute = instance.steer.view().token_of(TargetId(older));
        instance.advance(Millis(10));
        leave(&mut instance, older);
        let late = instance.flow(LOOKUP);
        for (flow, token) in [(early, primary), (late, substitute)] {
            let verdict = send(&mut instance, flow, token, 1_000);
            assert_eq!(verdict, Verdict::Reset(ResetReason::TargetGone));
        }
    }

    // Guards against flows that a newcomer opens after the older target has left, and that another
    // instance sends to the target that has left.
    token_of_a_target_that_left_passes_to_the_other_one => {
        let [older, younger] = PAIRS[0];
        let mut instance = instance_with(&[(older, 10), (younger, 20)]);
        let under_substitute = instance.steer.view().token_of(TargetId(younger));
        remove(&mut instance, older);
        for _ in 0..2 {
            instance.advance(NOW_GONE);
            instance.sweep();
        }
        let mut newcomer = instance_with(&[(younger, 20)]);
        let primary = newcomer.steer.view().token_of(TargetId(younger));
        for token in [under_substitute, primary] {
            for instance in [&mut instance, &mut newcomer] {
                let flow = instance.flow(ORDER);
                assert_eq!(expect_forwarded(send(instance, flow, token, 1_500)).id.0, younger);
            }
        }
        // Once the older target is forgotten, the other one is like any target.
        instance.advance(FLOW_LIFETIME);
        instance.sweep();
        assert_eq!(instance.steer.view().token_of(TargetId(younger)), primary);
        let flow = instance.flow(ORDER);
        assert_eq!(expect_forwarded(send(&mut instance, flow, under_substitute, 1_500)).id.0, younger);
    }
}
