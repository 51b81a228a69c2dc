//! The stand-in target keeps the contract for targets; time is passed explicitly.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use standin::content;
use standin::target::{Behaviour, State, TargetOptions};
use wire::frame::{Frame, Kind, Refusal};

type Out = Vec<(SocketAddr, Frame)>;

fn target(start: Instant) -> State {
    let options = TargetOptions {
        service: "rates".parse().expect("a name"),
        name: "r1".parse().expect("a name"),
        slots: 1,
        queue: 2,
        max_flows: 1,
        push_ms: 100,
        cold_ms: 0,
    };
    State::new(options, start)
}

fn from() -> SocketAddr {
    "127.0.0.1:9".parse().expect("an address")
}

fn frame(kind: Kind, request: u64, flow: u64) -> Frame {
    Frame {
        service: "rates".to_owned(),
        target: "r1".to_owned(),
        class: "lookup".to_owned(),
        request,
        flow,
        ..Frame::new(kind)
    }
}

/// Gives a frame to the target and returns the refusals that it sent.
fn give(state: &mut State, now: Instant, frame: Frame) -> Vec<Refusal> {
    let mut out = Out::new();
    state.on_frame(now, from(), frame, &mut out);
    let refusals = out.iter().filter(|(_, frame)| frame.kind() == Kind::Refuse);
    refusals.map(|(_, frame)| frame.refusal()).collect()
}

fn runs(state: &State) -> Vec<u64> {
    state.record.runs.iter().map(|run| run.request).collect()
}

/// Guards against a stand-in that hides a second run, which the check of at-most-once relies on.
#[test]
fn duplicates_run_again() {
    let now = Instant::now();
    let mut state = target(now);
    let mut out = Out::new();
    give(&mut state, now, frame(Kind::Request, 1, 0));
    let later = now + Duration::from_secs(1);
    state.on_step(later, &mut out);
    give(&mut state, later, frame(Kind::Request, 1, 0));
    assert_eq!(runs(&state), [1, 1]);
}

/// Guards against a request that runs after the target said that it would not.
#[yare::parameterized(
    draining = { Behaviour { drain: true, ..Behaviour::default() }, Refusal::Draining },
    shedding = { Behaviour { shed: true, ..Behaviour::default() }, Refusal::Overloaded },
)]
fn refused_request_never_runs(behaviour: Behaviour, code: Refusal) {
    let now = Instant::now();
    let mut state = target(now);
    state.behaviour = behaviour;
    assert_eq!(give(&mut state, now, frame(Kind::Request, 1, 0)), [code]);
    state.behaviour = Behaviour::default();
    assert_eq!(give(&mut state, now, frame(Kind::Request, 1, 0)), [code]);
    assert_eq!(runs(&state), [0_u64; 0]);
}

/// Guards against a cancel that claims "not run" of a request that runs, or that comes before it.
#[test]
fn cancel_is_proof_only_before_the_start() {
    let now = Instant::now();
    let mut state = target(now);
    give(&mut state, now, frame(Kind::Request, 1, 0));
    give(&mut state, now, frame(Kind::Request, 2, 0));
    assert_eq!(give(&mut state, now, frame(Kind::Cancel, 1, 0)), []);
    assert_eq!(
        give(&mut state, now, frame(Kind::Cancel, 2, 0)),
        [Refusal::Cancelled]
    );
    assert_eq!(
        give(&mut state, now, frame(Kind::Cancel, 3, 0)),
        [Refusal::Cancelled]
    );
    assert_eq!(
        give(&mut state, now, frame(Kind::Request, 3, 0)),
        [Refusal::Cancelled]
    );
    state.on_step(now + Duration::from_secs(1), &mut Out::new());
    assert_eq!(runs(&state), [1]);
}

/// Guards against a request that starts after its deadline.
#[test]
fn late_start_is_refused() {
    let now = Instant::now();
    let mut state = target(now);
    give(&mut state, now, frame(Kind::Request, 1, 0));
    let short = Frame {
        deadline_ms: 1,
        ..frame(Kind::Request, 2, 0)
    };
    give(&mut state, now, short);
    let mut out = Out::new();
    state.on_step(now + Duration::from_secs(1), &mut out);
    let codes: Vec<_> = out.iter().map(|(_, frame)| frame.refusal()).collect();
    assert!(codes.contains(&Refusal::DeadlinePassed), "{codes:?}");
    assert_eq!(runs(&state), [1]);
}

/// Guards against an answer whose parts do not make up the content that callers check.
#[test]
fn answer_comes_in_parts() {
    let now = Instant::now();
    let mut state = target(now);
    give(&mut state, now, frame(Kind::Request, 7, 0));
    let mut out = Out::new();
    state.on_step(now + Duration::from_secs(1), &mut out);
    let whole: Vec<u8> = out
        .iter()
        .flat_map(|(_, frame)| frame.body.clone())
        .collect();
    let expected = content::answer("rates", "r1", 7, content::answer_bytes("lookup"));
    assert!(out.len() > 1 && out.last().is_some_and(|(_, frame)| frame.last));
    assert_eq!(whole, expected);
}

/// Guards against frames for others that go unnoticed, and against flows beyond the limit.
#[test]
fn foreign_frames_and_flows_are_counted() {
    let now = Instant::now();
    let mut state = target(now);
    let foreign = Frame {
        service: "trade".to_owned(),
        ..frame(Kind::Open, 0, 4)
    };
    give(&mut state, now, foreign);
    assert_eq!(state.record.wrong_service, 1);
    assert_eq!(give(&mut state, now, frame(Kind::Open, 0, 5)), []);
    assert_eq!(
        give(&mut state, now, frame(Kind::Open, 0, 6)),
        [Refusal::Overloaded]
    );
    assert_eq!(
        give(&mut state, now, frame(Kind::Data, 0, 6)),
        [Refusal::FlowLost]
    );
    assert_eq!(state.record.flows_opened, 1);
}
