//! Whole answers, retries and cancels of further runs.

#![allow(clippy::expect_used)]

mod request_kit;

use balance::request::{RequestSettings, RequestState};
use ids::{Millis, ServiceName};
use lab::fixture;
use request_kit::{Fate, Kit, Mode, request};
use wire::frame::{Frame, Kind, Refusal};
use wire::token::TargetId;
use yare::parameterized;

const ID: u64 = 0x0fed_cba9_8765_4321;

fn kit() -> Kit {
    Kit::new(RequestSettings::default())
}

fn parts(kit: &Kit) -> Vec<u32> {
    let answers = kit
        .got(ID)
        .into_iter()
        .filter(|frame| frame.kind() == Kind::Answer);
    answers.map(|frame| frame.part).collect()
}

/// Guards against parts that are lost, delivered twice or held back because others come late.
#[parameterized(
    in_order = { &[], &[0, 1, 2] },
    reordered = { &[Fate::Delay(50)], &[1, 2, 0] },
    last_first = { &[Fate::Delay(30), Fate::Delay(20)], &[2, 1, 0] },
    doubled = { &[Fate::Double(3), Fate::Double(40)], &[0, 1, 2] },
)]
fn parts_reach_the_caller_once_each(fates: &[Fate], expected: &[u32]) {
    let mut kit = kit();
    kit.mode = Mode::Answer {
        parts: 3,
        after_ms: 1,
    };
    let owner = kit.owner_of("d1", ID);
    kit.send(owner, request(ID, "d1"));
    kit.run(Millis(2));
    kit.fates.extend(fates);
    kit.run(Millis(500));
    assert_eq!(parts(&kit), expected);
    assert_eq!(kit.state_of(owner, ID), Some(RequestState::Answered));
}

/// Guards against a part lost on the way to the caller that a resend does not bring back.
#[test]
fn resend_brings_back_lost_parts() {
    let mut kit = kit();
    kit.mode = Mode::Answer {
        parts: 2,
        after_ms: 1,
    };
    let owner = kit.owner_of("d1", ID);
    kit.send(owner, request(ID, "d1"));
    kit.run(Millis(8));
    kit.fates.extend([Fate::Drop]);
    kit.run(Millis(100));
    assert_eq!(parts(&kit).len(), 1);
    let resend = Frame {
        attempt: 1,
        elapsed_ms: 100,
        ..request(ID, "d1")
    };
    kit.send(2, resend);
    kit.run(Millis(100));
    assert_eq!(parts(&kit)[1..], [0, 1]);
    assert_eq!(kit.runs_of(ID), 1);
}

/// Guards against answers without bound in memory, and against an evicted answer that is taken
/// for one that never was.
#[test]
fn evicted_answer_is_reported_as_gone() {
    let settings = RequestSettings {
        answers_bytes: 100,
        ..RequestSettings::default()
    };
    let mut kit = Kit::new(settings);
    kit.answer_bytes = 80;
    let owner = kit.owner_of("d1", ID);
    let second = (1..)
        .find(|id| kit.owner_of("d1", *id) == owner)
        .expect("an id");
    for id in [ID, second] {
        kit.send(owner, request(id, "d1"));
        kit.run(Millis(100));
    }
    kit.send(
        owner,
        Frame {
            attempt: 1,
            elapsed_ms: 200,
            ..request(ID, "d1")
        },
    );
    kit.run(Millis(100));
    assert_eq!(
        kit.got(ID).last().expect("a frame").refusal(),
        Refusal::AnswerGone
    );
    assert_eq!(kit.runs_of(ID), 1);
}

/// Guards against an answer put together from a slow run and its retry.
#[test]
fn only_the_first_run_to_answer_is_heard() {
    let mut kit = kit();
    kit.mode = Mode::Answer {
        parts: 2,
        after_ms: 2_050,
    };
    let frame = Frame {
        idempotent: true,
        deadline_ms: 4_000,
        ..request(ID, "d1")
    };
    kit.send(0, frame);
    kit.run(Millis(1_900));
    // The second run would finish between the parts of the first.
    kit.mode = Mode::Answer {
        parts: 2,
        after_ms: 100,
    };
    kit.run(Millis(6_000));
    assert_eq!(kit.runs_of(ID), 2);
    let runs: Vec<_> = kit
        .got(ID)
        .iter()
        .map(|frame| (frame.run, frame.part))
        .collect();
    assert_eq!(runs, [(runs[0].0, 0), (runs[0].0, 1)]);
    assert_ne!(runs[0].0, 0);
}

/// Guards against retries without proof, on the target that refused, on draining targets, and
/// against a refusal that is passed on although another target would have run the request.
#[parameterized(
    overloaded = { Refusal::Overloaded, false, 1 },
    draining = { Refusal::Draining, false, 1 },
    unknown = { Refusal::OutcomeUnknown, false, 0 },
    unknown_idempotent = { Refusal::OutcomeUnknown, true, 1 },
)]
fn refusal_by_one_target(code: Refusal, idempotent: bool, runs: usize) {
    let mut kit = kit();
    kit.send(
        0,
        Frame {
            idempotent,
            ..request(ID, "d1")
        },
    );
    kit.run(Millis(100));
    let refuser = kit.runs[0].1;
    let mut kit = Kit::new(RequestSettings::default());
    kit.modes.insert(refuser, Mode::Refuse(code));
    kit.send(
        0,
        Frame {
            idempotent,
            ..request(ID, "d1")
        },
    );
    kit.run(Millis(5_000));
    assert_eq!(kit.runs_of(ID), runs);
    assert!(kit.runs.iter().all(|run| run.1 != refuser));
    let expected = if runs == 0 {
        code
    } else {
        Refusal::Unspecified
    };
    assert_eq!(kit.got(ID).last().expect("a frame").refusal(), expected);
}

/// Guards against retries that multiply the load when all targets refuse.
#[test]
fn retries_stay_inside_the_budget() {
    let mut kit = kit();
    kit.mode = Mode::Refuse(Refusal::Overloaded);
    let owner = kit.owner_of("d1", ID);
    let ids = (1..).filter(|id| kit.owner_of("d1", *id) == owner);
    for id in ids.take(100).collect::<Vec<_>>() {
        kit.send(owner, request(id, "d1"));
        kit.run(Millis(300));
    }
    kit.run(Millis(6_000));
    // 100 first tries, and the 10 retries that a service starts with.
    assert_eq!(kit.refusals(), 110);
    assert_eq!(kit.inbox.len(), 100);
    assert!(
        kit.inbox
            .iter()
            .all(|(_, frame)| frame.refusal() == Refusal::Overloaded)
    );
}

/// Guards against a request that stays with a target that the document dropped.
#[parameterized(
    idempotent = { true, Refusal::Unspecified },
    order = { false, Refusal::OutcomeUnknown },
)]
fn target_leaves_the_document(idempotent: bool, code: Refusal) {
    let mut kit = kit();
    kit.mode = Mode::Silent;
    let owner = kit.owner_of("d1", ID);
    kit.send(
        owner,
        Frame {
            idempotent,
            ..request(ID, "d1")
        },
    );
    kit.run(Millis(100));
    kit.mode = Mode::Answer {
        parts: 1,
        after_ms: 1,
    };
    let gone = kit.runs[0].1;
    let service: ServiceName = "rates".parse().expect("a name");
    kit.views[owner].targets.remove(&gone);
    let set = kit.views[owner]
        .target_sets
        .get_mut(&service)
        .expect("targets");
    let mut last = set[0].as_ref().clone();
    last.candidates.retain(|candidate| candidate.target != gone);
    set.push(last.into());
    kit.give_view(owner);
    kit.run(Millis(100));
    assert_eq!(kit.got(ID)[0].refusal(), code);
}

/// Guards against new work on a draining target, while the requests of its flows go on.
#[test]
fn draining_target_gets_no_new_request() {
    let mut kit = kit();
    let service: ServiceName = "rates".parse().expect("a name");
    let document = fixture::document(&fixture::hunarmand());
    let drained: Vec<_> = document.services[&service]
        .targets
        .keys()
        .take(13)
        .map(|name| TargetId::new(&service, name))
        .collect();
    for view in &mut kit.views {
        for target in &drained {
            view.targets.get_mut(target).expect("a target").accepts_new = false;
        }
    }
    (0..8).for_each(|me| kit.give_view(me));
    for id in 1..50 {
        kit.send(0, request(id, "d2"));
        kit.run(Millis(100));
    }
    assert_eq!(kit.runs.len(), 49);
    assert!(kit.runs.iter().all(|run| !drained.contains(&run.1)));
}
