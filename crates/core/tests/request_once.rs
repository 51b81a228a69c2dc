//! At-most-once execution and truthful "not run": ownership, fencing, resends, cancels, deadlines.

#![allow(clippy::expect_used)]

mod request_harness;

use balance::request::RequestSettings;
use ids::Millis;
use request_harness::{Delivery, Harness, TargetBehavior, request};
use wire::frame::{Frame, Kind, Refusal};
use yare::parameterized;

const ID: u64 = 0x1234_5678_9abc_def0;

fn harness() -> Harness {
    Harness::new(RequestSettings::default())
}

fn resend(attempt: u32, elapsed_ms: u32) -> Frame {
    Frame {
        attempt,
        elapsed_ms,
        ..request(ID, "d1")
    }
}

fn cancel() -> Frame {
    Frame {
        kind: Kind::Cancel.into(),
        ..request(ID, "d1")
    }
}

/// Returns the refusal codes that the caller received, in order; answer parts are `Unspecified`.
fn outcome(harness: &Harness) -> Vec<Refusal> {
    harness
        .replies(ID)
        .iter()
        .map(|frame| frame.refusal())
        .collect()
}

/// Guards against a request that runs once for each instance that its resends reach.
#[test]
fn resends_to_all_instances_run_once() {
    let mut harness = harness();
    harness.behavior = TargetBehavior::Answer {
        parts: 1,
        after_ms: 300,
    };
    for attempt in 0..8 {
        harness.send(attempt as usize, resend(attempt, attempt * 50));
        harness.run(Millis(50));
    }
    harness.run(Millis(500));
    assert_eq!(harness.run_count(ID), 1);
    assert!(
        harness
            .replies(ID)
            .iter()
            .any(|frame| frame.kind() == Kind::Answer)
    );
}

/// Guards against an answered request that runs again on a resend, or whose resend gets no answer.
#[test]
fn resend_after_the_answer_gets_it_again() {
    let mut harness = harness();
    harness.send(0, request(ID, "d1"));
    harness.run(Millis(200));
    harness.inbox.clear();
    harness.send(3, resend(1, 200));
    harness.run(Millis(200));
    assert_eq!(harness.run_count(ID), 1);
    assert_eq!(harness.replies(ID).len(), 1);
    assert_eq!(harness.replies(ID)[0].kind(), Kind::Answer);
}

/// Guards against a second run at the new owner after the first owner crashed with its record.
#[test]
fn owner_death_leaves_the_outcome_unknown() {
    let mut harness = harness();
    let owner = harness.owner_of("d1", ID);
    harness.behavior = TargetBehavior::Silent;
    harness.send(2, request(ID, "d1"));
    harness.run(Millis(100));
    harness.kill(owner);
    harness.run(Millis(2_000));
    let rest: Vec<_> = (0..8).filter(|peer| *peer != owner).collect();
    for instance in rest.clone() {
        harness.set_peers(instance, &rest, true);
    }
    harness.send(2, resend(1, 2_100));
    harness.run(Millis(2_500));
    harness.send(3, resend(2, 4_600));
    harness.run(Millis(100));
    assert_eq!(harness.run_count(ID), 1);
    assert_eq!(outcome(&harness), [Refusal::OutcomeUnknown; 2]);
}

/// Guards against an unknown outcome although the previous owner, which has the record, is alive.
#[test]
fn resend_after_a_join_reaches_the_previous_owner() {
    let mut harness = harness();
    let new_owner = harness.owner_of("d1", ID);
    let rest: Vec<_> = (0..8).filter(|peer| *peer != new_owner).collect();
    harness.run(Millis(100));
    for instance in 0..8 {
        harness.set_peers(instance, &rest, true);
    }
    harness.run(Millis(5_000));
    harness.behavior = TargetBehavior::Answer {
        parts: 1,
        after_ms: 1_000,
    };
    harness.send(1, request(ID, "d1"));
    harness.run(Millis(200));
    for instance in 0..8 {
        harness.set_peers(instance, &[0, 1, 2, 3, 4, 5, 6, 7], true);
    }
    harness.send(1, resend(1, 200));
    harness.run(Millis(2_000));
    assert_eq!(harness.run_count(ID), 1);
    let kinds: Vec<_> = harness
        .replies(ID)
        .iter()
        .map(|frame| frame.kind())
        .collect();
    assert_eq!(kinds, [Kind::Answer]);
}

/// Guards against a new owner that runs a first attempt while the lost owner may still run it.
#[test]
fn first_attempt_waits_for_the_fence() {
    let mut harness = harness();
    let owner = harness.owner_of("d1", ID);
    let rest: Vec<_> = (0..8).filter(|peer| *peer != owner).collect();
    for instance in rest.clone() {
        harness.set_peers(instance, &rest, true);
    }
    harness.send(1, request(ID, "d1"));
    harness.run(Millis(1_400));
    assert_eq!(harness.run_count(ID), 0);
    harness.run(Millis(300));
    assert_eq!(harness.run_count(ID), 1);
}

/// Guards against first attempts that wait for the fence during a join although the previous owner
/// is alive, and against a duplicate that the new owner runs after its fence.
#[test]
fn first_attempt_after_a_join_runs_at_the_previous_owner() {
    let mut harness = harness();
    let new_owner = harness.owner_of("d1", ID);
    let rest: Vec<_> = (0..8).filter(|peer| *peer != new_owner).collect();
    for instance in 0..8 {
        harness.set_peers(instance, &rest, true);
    }
    harness.run(Millis(5_000));
    harness.deliveries.push_back(Delivery::Duplicate(1_400));
    harness.send(1, request(ID, "d1"));
    for instance in 0..8 {
        harness.set_peers(instance, &[0, 1, 2, 3, 4, 5, 6, 7], true);
    }
    harness.run(Millis(200));
    assert_eq!(harness.run_count(ID), 1);
    harness.run(Millis(4_000));
    assert_eq!(harness.run_count(ID), 1);
}

/// Guards against first attempts that wait for the fence during a graceful stop although the
/// previous owner still answers, and against a duplicate that runs again.
#[test]
fn first_attempt_after_a_stop_asks_the_leaving_owner() {
    let mut harness = harness();
    let leaving = harness.owner_of("d1", ID);
    let rest: Vec<_> = (0..8).filter(|peer| *peer != leaving).collect();
    harness.run(Millis(5_000));
    for instance in 0..8 {
        harness.set_peers(instance, &rest, true);
    }
    for &instance in &rest {
        harness.set_leaving(instance, leaving);
    }
    harness.deliveries.push_back(Delivery::Duplicate(1_400));
    harness.send(1, request(ID, "d1"));
    harness.run(Millis(200));
    assert_eq!(harness.run_count(ID), 1);
    harness.run(Millis(4_000));
    assert_eq!(harness.run_count(ID), 1);
}

/// Guards against a new owner that runs a duplicate after its fence, although the previous owner
/// decided on the request.
#[test]
fn duplicate_after_the_fence_finds_the_record_of_the_previous_owner() {
    let mut harness = harness();
    let new_owner = harness.owner_of("d1", ID);
    let rest: Vec<_> = (0..8).filter(|peer| *peer != new_owner).collect();
    for instance in 0..8 {
        harness.set_peers(instance, &rest, true);
    }
    harness.run(Millis(5_000));
    for instance in 0..8 {
        harness.set_peers(instance, &[0, 1, 2, 3, 4, 5, 6, 7], true);
    }
    harness.run(Millis(1_000));
    harness.deliveries.push_back(Delivery::Duplicate(1_000));
    harness.send(1, request(ID, "d1"));
    harness.run(Millis(3_000));
    assert_eq!(harness.run_count(ID), 1);
}

/// Guards against a fenced request that gets stuck or refused when its owner changes again.
#[test]
fn fenced_request_follows_its_owner() {
    let mut harness = harness();
    let owner = harness.owner_of("d1", ID);
    let others: Vec<_> = (0..8).filter(|peer| *peer != owner).collect();
    let other = others
        .iter()
        .copied()
        .find(|peer| peer % 4 == 0)
        .expect("a peer in d1");
    harness.set_peers(other, &others, true);
    harness.send(other, request(ID, "d1"));
    harness.run(Millis(200));
    harness.set_peers(other, &[0, 1, 2, 3, 4, 5, 6, 7], true);
    harness.run(Millis(200));
    assert_eq!(harness.run_count(ID), 1);
    assert_eq!(harness.replies(ID)[0].kind(), Kind::Answer);
}

/// Guards against a paused owner that runs a buffered request after another instance has answered
/// a resend.
#[test]
fn resumed_owner_runs_nothing_from_its_buffer() {
    let mut harness = harness();
    let owner = harness.owner_of("d1", ID);
    let rest: Vec<_> = (0..8).filter(|peer| *peer != owner).collect();
    harness.pause(owner, Millis(9_000));
    harness.run(Millis(2_100));
    for instance in rest.clone() {
        harness.set_peers(instance, &rest, true);
    }
    harness.run(Millis(3_000));
    harness.send(owner, request(ID, "d1"));
    harness.run(Millis(100));
    harness.send(rest[0], resend(1, 100));
    harness.run(Millis(4_500));
    assert_eq!(harness.run_count(ID), 1);
    harness.set_peers(owner, &rest, false);
    harness.run(Millis(5_000));
    harness.set_peers(owner, &[0, 1, 2, 3, 4, 5, 6, 7], true);
    harness.run(Millis(5_000));
    assert_eq!(harness.run_count(ID), 1);
}

/// Guards against a waiting request that runs after a pause, although its resend was refused with
/// an unknown outcome.
#[test]
fn request_that_waited_through_a_pause_never_runs() {
    let mut harness = harness();
    let owner = harness.owner_of("d1", ID);
    harness.behavior = TargetBehavior::Silent;
    for filler in 1..=64 {
        harness.send(
            owner,
            Frame {
                member: "m2".to_owned(),
                ..request(filler, "d1")
            },
        );
    }
    harness.send(owner, request(ID, "d1"));
    harness.run(Millis(10));
    harness.pause(owner, Millis(1_200));
    harness.run(Millis(1_300));
    harness.behavior = TargetBehavior::Answer {
        parts: 1,
        after_ms: 1,
    };
    harness.run(Millis(2_000));
    harness.send(owner, resend(1, 3_310));
    harness.run(Millis(100));
    assert_eq!(harness.run_count(ID), 0);
    assert_eq!(outcome(&harness), [Refusal::OutcomeUnknown]);
}

/// Guards against a refused request that runs later because of a delayed duplicate of its frame.
#[test]
fn duplicate_of_a_refused_frame_does_not_run() {
    let mut harness = harness();
    harness.behavior = TargetBehavior::Refuse(Refusal::Malformed);
    harness.deliveries.push_back(Delivery::Duplicate(1_000));
    harness.send(0, request(ID, "d1"));
    harness.run(Millis(500));
    harness.behavior = TargetBehavior::Answer {
        parts: 1,
        after_ms: 1,
    };
    harness.run(Millis(2_000));
    assert_eq!(harness.run_count(ID), 0);
    assert_eq!(outcome(&harness), [Refusal::Malformed; 2]);
}

/// Guards against a resend that left before its caller received the refusal, and then runs.
#[test]
fn resend_of_a_refused_request_does_not_run() {
    let mut harness = harness();
    harness.behavior = TargetBehavior::Refuse(Refusal::Malformed);
    harness.send(0, request(ID, "d1"));
    harness.run(Millis(500));
    harness.behavior = TargetBehavior::Answer {
        parts: 1,
        after_ms: 1,
    };
    harness.send(0, resend(1, 500));
    harness.run(Millis(200));
    assert_eq!(harness.run_count(ID), 0);
    assert_eq!(outcome(&harness), [Refusal::Malformed; 2]);
}

/// Guards against a false "not run" on a cancel, which only a refusal by the target proves.
#[parameterized(
    running = { TargetBehavior::Silent, Refusal::OutcomeUnknown, 1 },
    answered = { TargetBehavior::Answer { parts: 1, after_ms: 500 }, Refusal::Unspecified, 1 },
)]
fn cancel_of_a_running_request_reports_the_real_outcome(
    behavior: TargetBehavior,
    last: Refusal,
    runs: usize,
) {
    let mut harness = harness();
    harness.behavior = behavior;
    harness.send(0, request(ID, "d1"));
    harness.run(Millis(100));
    harness.send(1, cancel());
    harness.run(Millis(2_000));
    assert_eq!(outcome(&harness), [last]);
    assert_eq!(harness.run_count(ID), runs);
}

/// Guards against a request that runs although its cancel overtook it and was confirmed.
#[test]
fn cancel_that_overtakes_its_request_prevents_the_run() {
    let mut harness = harness();
    harness.deliveries.push_back(Delivery::Delay(500));
    harness.send(0, request(ID, "d1"));
    harness.send(1, cancel());
    harness.run(Millis(2_000));
    assert_eq!(harness.run_count(ID), 0);
    assert_eq!(outcome(&harness), [Refusal::Cancelled; 2]);
}

/// Guards against a lost request that is reported as unknown although the target can prove that it
/// was not run.
#[test]
fn lost_request_is_proven_not_run_by_the_target() {
    let mut harness = harness();
    let owner = harness.owner_of("d1", ID);
    harness.send(owner, request(ID, "d1"));
    harness.deliveries.extend([Delivery::Drop]);
    harness.run(Millis(7_000));
    assert_eq!(harness.run_count(ID), 0);
    assert_eq!(outcome(&harness), [Refusal::DeadlinePassed]);
}

/// Guards against a timeout that reports a running request as not run.
#[test]
fn deadline_of_a_running_request_is_unknown_and_a_late_answer_settles_it() {
    let mut harness = harness();
    harness.behavior = TargetBehavior::Answer {
        parts: 1,
        after_ms: 8_000,
    };
    harness.send(0, request(ID, "d1"));
    harness.run(Millis(7_000));
    assert_eq!(outcome(&harness), [Refusal::OutcomeUnknown]);
    harness.run(Millis(2_000));
    assert_eq!(harness.replies(ID).len(), 2);
    assert_eq!(harness.replies(ID)[1].kind(), Kind::Answer);
}

/// Guards against records that expire while a resend can still arrive, and against a resend that
/// runs because the record has expired.
#[parameterized(
    record_kept = { 24_000, Kind::Answer },
    record_expired = { 31_000, Kind::Refuse },
)]
fn late_resend_never_runs_again(after_ms: u64, kind: Kind) {
    let mut harness = harness();
    harness.send(0, request(ID, "d1"));
    harness.run(Millis(after_ms));
    harness.inbox.clear();
    harness.send(0, resend(1, after_ms as u32));
    harness.run(Millis(100));
    assert_eq!(harness.run_count(ID), 1);
    assert_eq!(harness.replies(ID)[0].kind(), kind);
    if kind == Kind::Refuse {
        assert_eq!(outcome(&harness), [Refusal::OutcomeUnknown]);
    }
}

/// Guards against a full table that evicts records instead of refusing new requests.
#[test]
fn full_table_refuses_new_work() {
    let settings = RequestSettings {
        max_records: 1,
        ..RequestSettings::default()
    };
    let mut harness = Harness::new(settings);
    let owner = harness.owner_of("d1", ID);
    harness.send(owner, request(ID, "d1"));
    harness.run(Millis(200));
    let second = (1..)
        .find(|id| harness.owner_of("d1", *id) == owner)
        .expect("an id");
    harness.send(owner, request(second, "d1"));
    harness.run(Millis(200));
    assert_eq!(harness.replies(second)[0].refusal(), Refusal::Overloaded);
    harness.send(owner, resend(1, 400));
    harness.run(Millis(200));
    assert_eq!((harness.run_count(ID), harness.run_count(second)), (1, 0));
}

/// Guards against a caller that obtains another member's answer by guessing a request id.
#[test]
fn other_member_gets_nothing_of_the_answer() {
    let mut harness = harness();
    harness.send(0, request(ID, "d1"));
    harness.run(Millis(200));
    harness.inbox.clear();
    harness.send(
        0,
        Frame {
            member: "m9".to_owned(),
            ..resend(1, 200)
        },
    );
    harness.run(Millis(200));
    assert_eq!(outcome(&harness), [Refusal::Malformed]);
}

/// Guards against a false "not run" for a caller that resends under a new flow after the old flow
/// was lost.
#[test]
fn resend_under_a_new_flow_gets_the_answer() {
    let mut harness = harness();
    harness.send(0, request(ID, "d1"));
    harness.run(Millis(200));
    harness.inbox.clear();
    let resend = Frame {
        flow: 9,
        ..resend(1, 200)
    };
    harness.send(0, resend);
    harness.run(Millis(200));
    let replies = harness.replies(ID);
    assert_eq!(replies.len(), 1);
    assert_eq!(replies[0].kind(), Kind::Answer);
    assert_eq!(harness.run_count(ID), 1);
}

/// Guards against running a request of a failure domain whose unreachable instances may run it too,
/// and against a "not run" that a resend to one of them makes false.
#[parameterized(
    first = { 0, 4_000, false, &[], 0 },
    resent = { 1, 3_000, false, &[], 0 },
    resent_late = { 1, 900, false, &[Refusal::OutcomeUnknown], 0 },
    idempotent = { 1, 3_000, true, &[Refusal::Unspecified], 1 },
)]
fn unreachable_domain(
    attempt: u32,
    deadline_ms: u32,
    idempotent: bool,
    codes: &[Refusal],
    runs: usize,
) {
    let mut harness = harness();
    harness.set_peers(1, &[1, 2, 3, 5, 6, 7], true);
    harness.run(Millis(5_000));
    harness.send(
        1,
        Frame {
            idempotent,
            deadline_ms,
            ..resend(attempt, 100)
        },
    );
    harness.run(Millis(200));
    assert_eq!(outcome(&harness), codes);
    assert_eq!(harness.run_count(ID), runs);
}
