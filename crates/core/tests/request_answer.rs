//! Answers in parts, retries, hedged requests and target changes.

#![allow(clippy::expect_used)]

mod request_harness;

use balance::request::{RequestSettings, RequestState};
use ids::{Millis, ServiceName};
use lab::fixture;
use request_harness::{Delivery, Harness, TargetBehavior, request};
use wire::frame::{Frame, Kind, Refusal};
use wire::token::TargetId;
use yare::parameterized;

const ID: u64 = 0x0fed_cba9_8765_4321;

fn harness() -> Harness {
    Harness::new(RequestSettings::default())
}

fn parts(harness: &Harness) -> Vec<u32> {
    let answers = harness
        .replies(ID)
        .into_iter()
        .filter(|frame| frame.kind() == Kind::Answer);
    answers.map(|frame| frame.part).collect()
}

/// Guards against parts that are lost, delivered twice or held back until others arrive.
#[parameterized(
    in_order = { &[], &[0, 1, 2] },
    reordered = { &[Delivery::Delay(50)], &[1, 2, 0] },
    last_first = { &[Delivery::Delay(30), Delivery::Delay(20)], &[2, 1, 0] },
    doubled = { &[Delivery::Duplicate(3), Delivery::Duplicate(40)], &[0, 1, 2] },
)]
fn parts_reach_the_caller_once_each(deliveries: &[Delivery], expected: &[u32]) {
    let mut harness = harness();
    harness.behavior = TargetBehavior::Answer {
        parts: 3,
        after_ms: 1,
    };
    let owner = harness.owner_of("d1", ID);
    harness.send(owner, request(ID, "d1"));
    harness.run(Millis(2));
    harness.deliveries.extend(deliveries);
    harness.run(Millis(500));
    assert_eq!(parts(&harness), expected);
    assert_eq!(harness.state_of(owner, ID), Some(RequestState::Answered));
}

/// Guards against a part that is lost on the way to the caller and not sent again on a resend.
#[test]
fn resend_brings_back_lost_parts() {
    let mut harness = harness();
    harness.behavior = TargetBehavior::Answer {
        parts: 2,
        after_ms: 1,
    };
    let owner = harness.owner_of("d1", ID);
    harness.send(owner, request(ID, "d1"));
    harness.run(Millis(8));
    harness.deliveries.extend([Delivery::Drop]);
    harness.run(Millis(100));
    assert_eq!(parts(&harness).len(), 1);
    let resend = Frame {
        attempt: 1,
        elapsed_ms: 100,
        ..request(ID, "d1")
    };
    harness.send(2, resend);
    harness.run(Millis(100));
    assert_eq!(parts(&harness)[1..], [0, 1]);
    assert_eq!(harness.run_count(ID), 1);
}

/// Guards against unbounded memory for answers, and against a second run of a request whose answer
/// was evicted.
#[test]
fn evicted_answer_is_reported_as_gone() {
    let settings = RequestSettings {
        max_cached_answer_bytes: 100,
        ..RequestSettings::default()
    };
    let mut harness = Harness::new(settings);
    harness.answer_bytes = 80;
    let owner = harness.owner_of("d1", ID);
    let second = (1..)
        .find(|id| harness.owner_of("d1", *id) == owner)
        .expect("an id");
    for id in [ID, second] {
        harness.send(owner, request(id, "d1"));
        harness.run(Millis(100));
    }
    harness.send(
        owner,
        Frame {
            attempt: 1,
            elapsed_ms: 200,
            ..request(ID, "d1")
        },
    );
    harness.run(Millis(100));
    assert_eq!(
        harness.replies(ID).last().expect("a frame").refusal(),
        Refusal::AnswerGone
    );
    assert_eq!(harness.run_count(ID), 1);
}

/// Guards against an answer that mixes parts of a slow run and of its hedge.
#[test]
fn only_the_first_run_to_answer_is_passed_on() {
    let mut harness = harness();
    harness.behavior = TargetBehavior::Answer {
        parts: 2,
        after_ms: 2_050,
    };
    let frame = Frame {
        idempotent: true,
        deadline_ms: 4_000,
        ..request(ID, "d1")
    };
    harness.send(0, frame);
    harness.run(Millis(1_900));
    // The second run finishes between the parts of the first.
    harness.behavior = TargetBehavior::Answer {
        parts: 2,
        after_ms: 100,
    };
    harness.run(Millis(6_000));
    assert_eq!(harness.run_count(ID), 2);
    let runs: Vec<_> = harness
        .replies(ID)
        .iter()
        .map(|frame| (frame.run, frame.part))
        .collect();
    assert_eq!(runs, [(runs[0].0, 0), (runs[0].0, 1)]);
    assert_ne!(runs[0].0, 0);
}

/// Guards against a retry without proof that the request was not run, against a retry on the target
/// that refused or drains, and against a refusal that is passed on although another target would
/// accept.
#[parameterized(
    overloaded = { Refusal::Overloaded, false, 1 },
    draining = { Refusal::Draining, false, 1 },
    unknown = { Refusal::OutcomeUnknown, false, 0 },
    unknown_idempotent = { Refusal::OutcomeUnknown, true, 1 },
)]
fn refusal_by_one_target(code: Refusal, idempotent: bool, runs: usize) {
    let mut harness = harness();
    harness.send(
        0,
        Frame {
            idempotent,
            ..request(ID, "d1")
        },
    );
    harness.run(Millis(100));
    let refusing_target = harness.runs[0].1;
    let mut harness = Harness::new(RequestSettings::default());
    harness
        .behavior_by_target
        .insert(refusing_target, TargetBehavior::Refuse(code));
    harness.send(
        0,
        Frame {
            idempotent,
            ..request(ID, "d1")
        },
    );
    harness.run(Millis(5_000));
    assert_eq!(harness.run_count(ID), runs);
    assert!(harness.runs.iter().all(|run| run.1 != refusing_target));
    let expected = if runs == 0 {
        code
    } else {
        Refusal::Unspecified
    };
    assert_eq!(
        harness.replies(ID).last().expect("a frame").refusal(),
        expected
    );
}

/// Guards against retries that amplify the load when all targets refuse.
#[test]
fn retries_stay_inside_the_budget() {
    let mut harness = harness();
    harness.behavior = TargetBehavior::Refuse(Refusal::Overloaded);
    let owner = harness.owner_of("d1", ID);
    let ids = (1..).filter(|id| harness.owner_of("d1", *id) == owner);
    for id in ids.take(100).collect::<Vec<_>>() {
        harness.send(owner, request(id, "d1"));
        harness.run(Millis(300));
    }
    harness.run(Millis(6_000));
    // 100 first tries, and the initial budget of 10 retries.
    assert_eq!(harness.refusals(), 110);
    assert_eq!(harness.inbox.len(), 100);
    assert!(
        harness
            .inbox
            .iter()
            .all(|(_, frame)| frame.refusal() == Refusal::Overloaded)
    );
}

/// Guards against a request that waits for a target that was removed from the document.
#[parameterized(
    idempotent = { true, Refusal::Unspecified },
    order = { false, Refusal::OutcomeUnknown },
)]
fn target_leaves_the_document(idempotent: bool, code: Refusal) {
    let mut harness = harness();
    harness.behavior = TargetBehavior::Silent;
    let owner = harness.owner_of("d1", ID);
    harness.send(
        owner,
        Frame {
            idempotent,
            ..request(ID, "d1")
        },
    );
    harness.run(Millis(100));
    harness.behavior = TargetBehavior::Answer {
        parts: 1,
        after_ms: 1,
    };
    let removed = harness.runs[0].1;
    let service: ServiceName = "rates".parse().expect("a name");
    harness.views[owner].targets.remove(&removed);
    let set = harness.views[owner]
        .target_sets
        .get_mut(&service)
        .expect("targets");
    let mut last = set[0].as_ref().clone();
    last.candidates
        .retain(|candidate| candidate.target != removed);
    set.push(last.into());
    harness.publish_view(owner);
    harness.run(Millis(100));
    assert_eq!(harness.replies(ID)[0].refusal(), code);
}

/// Guards against new requests on a draining target.
#[test]
fn draining_target_gets_no_new_request() {
    let mut harness = harness();
    let service: ServiceName = "rates".parse().expect("a name");
    let document = fixture::document(&fixture::hunarmand());
    let draining: Vec<_> = document.services[&service]
        .targets
        .keys()
        .take(13)
        .map(|name| TargetId::new(&service, name))
        .collect();
    for view in &mut harness.views {
        for target in &draining {
            view.targets.get_mut(target).expect("a target").accepts_new = false;
        }
    }
    (0..8).for_each(|instance| harness.publish_view(instance));
    for id in 1..50 {
        harness.send(0, request(id, "d2"));
        harness.run(Millis(100));
    }
    assert_eq!(harness.runs.len(), 49);
    assert!(harness.runs.iter().all(|run| !draining.contains(&run.1)));
}
