//! The stand-in target follows the rules for targets; time is passed in explicitly.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use standin::content;
use standin::target::{Behaviour, Target, TargetOptions};
use wire::frame::{Frame, Kind, Refusal};

type OutgoingFrames = Vec<(SocketAddr, Frame)>;

fn target(start: Instant) -> Target {
    let options = TargetOptions {
        service: "rates".parse().expect("a name"),
        name: "r1".parse().expect("a name"),
        slots: 1,
        max_queue_len: 2,
        max_flows: 1,
        push_interval_ms: 100,
        cold_start_ms: 0,
    };
    Target::new(options, start)
}

fn instance_address() -> SocketAddr {
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

/// Passes a frame to the target and returns the refusals that it sent.
fn deliver(target: &mut Target, now: Instant, frame: Frame) -> Vec<Refusal> {
    let mut outgoing = OutgoingFrames::new();
    target.on_frame(now, instance_address(), frame, &mut outgoing);
    let refusals = outgoing
        .iter()
        .filter(|(_, frame)| frame.kind() == Kind::Refuse);
    refusals.map(|(_, frame)| frame.refusal()).collect()
}

fn run_ids(target: &Target) -> Vec<u64> {
    target.record.runs.iter().map(|run| run.request).collect()
}

/// Guards against a target that hides a second run; the at-most-once check relies on seeing it.
#[test]
fn duplicates_run_again() {
    let now = Instant::now();
    let mut target = target(now);
    let mut outgoing = OutgoingFrames::new();
    deliver(&mut target, now, frame(Kind::Request, 1, 0));
    let later = now + Duration::from_secs(1);
    target.on_tick(later, &mut outgoing);
    deliver(&mut target, later, frame(Kind::Request, 1, 0));
    assert_eq!(run_ids(&target), [1, 1]);
}

/// Guards against a request that runs after the target has refused it.
#[yare::parameterized(
    draining = { Behaviour { is_draining: true, ..Behaviour::default() }, Refusal::Draining },
    shedding = { Behaviour { is_overloaded: true, ..Behaviour::default() }, Refusal::Overloaded },
)]
fn refused_request_never_runs(behaviour: Behaviour, code: Refusal) {
    let now = Instant::now();
    let mut target = target(now);
    target.behaviour = behaviour;
    assert_eq!(
        deliver(&mut target, now, frame(Kind::Request, 1, 0)),
        [code]
    );
    target.behaviour = Behaviour::default();
    assert_eq!(
        deliver(&mut target, now, frame(Kind::Request, 1, 0)),
        [code]
    );
    assert_eq!(run_ids(&target), [0_u64; 0]);
}

/// Guards against a cancellation that is confirmed although the request runs, and against a request
/// that runs although its cancellation arrived first.
#[test]
fn cancel_is_confirmed_only_before_the_start() {
    let now = Instant::now();
    let mut target = target(now);
    deliver(&mut target, now, frame(Kind::Request, 1, 0));
    deliver(&mut target, now, frame(Kind::Request, 2, 0));
    assert_eq!(deliver(&mut target, now, frame(Kind::Cancel, 1, 0)), []);
    assert_eq!(
        deliver(&mut target, now, frame(Kind::Cancel, 2, 0)),
        [Refusal::Cancelled]
    );
    assert_eq!(
        deliver(&mut target, now, frame(Kind::Cancel, 3, 0)),
        [Refusal::Cancelled]
    );
    assert_eq!(
        deliver(&mut target, now, frame(Kind::Request, 3, 0)),
        [Refusal::Cancelled]
    );
    target.on_tick(now + Duration::from_secs(1), &mut OutgoingFrames::new());
    assert_eq!(run_ids(&target), [1]);
}

/// Guards against a request that starts after its deadline.
#[test]
fn expired_request_is_refused() {
    let now = Instant::now();
    let mut target = target(now);
    deliver(&mut target, now, frame(Kind::Request, 1, 0));
    let short_deadline = Frame {
        deadline_ms: 1,
        ..frame(Kind::Request, 2, 0)
    };
    deliver(&mut target, now, short_deadline);
    let mut outgoing = OutgoingFrames::new();
    target.on_tick(now + Duration::from_secs(1), &mut outgoing);
    let codes: Vec<_> = outgoing.iter().map(|(_, frame)| frame.refusal()).collect();
    assert!(codes.contains(&Refusal::DeadlinePassed), "{codes:?}");
    assert_eq!(run_ids(&target), [1]);
}

/// Guards against answer parts that do not add up to the content that callers verify.
#[test]
fn answer_is_sent_in_parts() {
    let now = Instant::now();
    let mut target = target(now);
    deliver(&mut target, now, frame(Kind::Request, 7, 0));
    let mut outgoing = OutgoingFrames::new();
    target.on_tick(now + Duration::from_secs(1), &mut outgoing);
    let answer: Vec<u8> = outgoing
        .iter()
        .flat_map(|(_, frame)| frame.body.clone())
        .collect();
    let expected = content::generate_answer("rates", "r1", 7, content::answer_size_bytes("lookup"));
    assert!(outgoing.len() > 1 && outgoing.last().is_some_and(|(_, frame)| frame.last));
    assert_eq!(answer, expected);
}

/// Guards against misaddressed frames that are not counted, and against flows beyond the limit.
#[test]
fn misaddressed_frames_are_counted_and_flows_limited() {
    let now = Instant::now();
    let mut target = target(now);
    let misaddressed = Frame {
        service: "trade".to_owned(),
        ..frame(Kind::Open, 0, 4)
    };
    deliver(&mut target, now, misaddressed);
    assert_eq!(target.record.wrong_service, 1);
    assert_eq!(deliver(&mut target, now, frame(Kind::Open, 0, 5)), []);
    assert_eq!(
        deliver(&mut target, now, frame(Kind::Open, 0, 6)),
        [Refusal::Overloaded]
    );
    assert_eq!(
        deliver(&mut target, now, frame(Kind::Data, 0, 6)),
        [Refusal::FlowLost]
    );
    assert_eq!(target.record.flows_opened, 1);
}
