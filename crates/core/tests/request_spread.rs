//! Target selection: slots, load vectors of peers, false load statements and pinned requests.

#![allow(clippy::expect_used)]

use std::collections::BTreeMap;
use std::sync::Arc;

use balance::event::ShardAction;
use balance::request::{RequestSettings, Requests, SelectionMethod};
use balance::view::View;
use ids::{Micros, Millis, ServiceName};
use lab::fixture;
use wire::frame::{Frame, Kind, Refusal};
use wire::token::TargetId;
use yare::parameterized;

const NOW: Micros = Micros(10_000_000);

fn view(instance: usize) -> View {
    let shape = fixture::hunarmand();
    fixture::view(&shape, &Arc::new(fixture::document(&shape)), instance)
}

fn requests(method: SelectionMethod) -> Requests {
    Requests::new(RequestSettings {
        method,
        ..RequestSettings::default()
    })
}

fn lookup(id: u64) -> Frame {
    Frame {
        service: "rates".to_owned(),
        class: "lookup".to_owned(),
        member: "m1".to_owned(),
        request: id,
        idempotent: true,
        deadline_ms: 5_000,
        source: fixture::address(8, 1).to_string(),
        ..Frame::new(Kind::Request)
    }
}

/// Returns ids that the instance of the view owns for callers without a failure domain.
fn owned(view: &View, count: usize) -> Vec<u64> {
    let is_own = |id: &u64| view.ownership(NOW, "", *id).is_some();
    (1..).filter(is_own).take(count).collect()
}

fn targets(out: &[ShardAction]) -> Vec<TargetId> {
    let target = |action: &ShardAction| match action {
        ShardAction::SendToTarget { target, frame, .. } if frame.kind() == Kind::Request => {
            Some(*target)
        }
        _ => None,
    };
    out.iter().filter_map(target).collect()
}

/// Guards against slots that are assigned to several instances or to none.
#[test]
fn slots_of_a_service_are_divided_among_the_instances() {
    let mut taken: BTreeMap<TargetId, u32> = BTreeMap::new();
    for instance in 0..8 {
        let (view, mut requests, mut out) = (
            view(instance),
            requests(SelectionMethod::Shares),
            Vec::new(),
        );
        let mut view = view;
        // The peers seem to use all slots, so the instance borrows none.
        for target in view.targets.values_mut() {
            target.peers_in_flight = 2;
        }
        for id in owned(&view, 10) {
            requests.on_caller_frame(NOW, &view, lookup(id), None, 0, &mut out);
        }
        let sent = targets(&out);
        assert!((3..=4).contains(&sent.len()), "{} slots", sent.len());
        sent.into_iter()
            .for_each(|target| *taken.entry(target).or_default() += 1);
    }
    assert_eq!(taken.len(), 14);
    assert!(taken.values().all(|slots| *slots == 2));
}

/// Guards against more requests in flight on a target than it has slots, according to the view.
#[parameterized(
    nobody_else = { 0, 28 },
    peers_use_one_each = { 1, 14 },
    peers_use_all = { 2, 0 },
)]
fn requests_in_flight_stay_within_the_slots(peers_in_flight: u32, sent: usize) {
    let (mut view, mut requests, mut out) =
        (view(0), requests(SelectionMethod::Counts), Vec::new());
    for target in view.targets.values_mut() {
        target.peers_in_flight = peers_in_flight;
    }
    for id in owned(&view, 40) {
        requests.on_caller_frame(NOW, &view, lookup(id), None, 0, &mut out);
    }
    assert_eq!(targets(&out).len(), sent);
}

/// Guards against a target that attracts or repels all requests by stating a false load.
#[parameterized(
    too_little = { 0, 1 },
    too_much = { 9, 0 },
)]
fn false_load_statements_are_eventually_ignored(stated: u32, peers_in_flight: u32) {
    let (mut view, mut requests, mut out) =
        (view(0), requests(SelectionMethod::Counts), Vec::new());
    let misreporting_target =
        view.target_sets[&"rates".parse::<ServiceName>().expect("a name")][0].candidates[0].target;
    for (id, target) in &mut view.targets {
        target.accepts_new = *id == misreporting_target;
        target.peers_in_flight = peers_in_flight * 2;
    }
    let address = view.targets[&misreporting_target].declared.address;
    let mut now = NOW;
    for id in owned(&view, 100) {
        // Time passes between statements, so that each one has expired before the next.
        now = now + Millis(200);
        requests.on_tick(now, &view, &mut out);
        out.clear();
        view.targets
            .get_mut(&misreporting_target)
            .expect("a target")
            .peers_in_flight = 0;
        requests.on_caller_frame(now, &view, lookup(id), None, 0, &mut out);
        view.targets
            .get_mut(&misreporting_target)
            .expect("a target")
            .peers_in_flight = peers_in_flight * 2;
        let Some(sent) = out.iter().find_map(|action| match action {
            ShardAction::SendToTarget { to, frame, .. } if *to == address => Some(frame.clone()),
            _ => None,
        }) else {
            continue;
        };
        let answer = Frame {
            last: true,
            load: stated + 1,
            kind: Kind::Answer.into(),
            ..sent
        };
        requests.on_target_frame(now, &view, misreporting_target, answer, &mut out);
    }
    // The peers' counts apply again: the target is full in the first case, free in the second.
    out.clear();
    let id = (1..)
        .filter(|id| view.ownership(NOW, "", *id).is_some())
        .nth(200)
        .expect("an id");
    requests.on_caller_frame(now, &view, lookup(id), None, 0, &mut out);
    assert_eq!(targets(&out).len(), usize::from(peers_in_flight == 0));
}

/// Guards against requests of a flow that move to another target, or stop, when the target drains.
#[parameterized(
    serving = { true, SelectionMethod::Shares },
    draining = { false, SelectionMethod::Shares },
    draining_counts = { false, SelectionMethod::Counts },
)]
fn pinned_request_stays_with_its_target(accepts_new: bool, method: SelectionMethod) {
    let (mut view, mut requests, mut out) = (view(0), requests(method), Vec::new());
    let service = "rates".parse::<ServiceName>().expect("a name");
    let mut set = view.target_sets[&service][0].as_ref().clone();
    let pinned = set.candidates[5].target;
    if !accepts_new {
        view.targets.get_mut(&pinned).expect("a target").accepts_new = false;
        set.candidates.remove(5);
        view.target_sets
            .get_mut(&service)
            .expect("a service")
            .push(Arc::new(set));
    }
    for id in owned(&view, 2) {
        requests.on_caller_frame(NOW, &view, lookup(id), Some(pinned), 0, &mut out);
        requests.on_tick(Micros(NOW.0 + 1_000_000), &view, &mut out);
    }
    assert_eq!(targets(&out), [pinned, pinned]);
}

/// Guards against an instance that keeps sending requests to a target that refuses as draining,
/// while the instance cannot obtain the document that drains it.
#[test]
fn target_that_refuses_as_draining_gets_no_more_requests() {
    let (view, mut requests, mut out) = (view(0), requests(SelectionMethod::Counts), Vec::new());
    let ids = owned(&view, 30);
    requests.on_caller_frame(NOW, &view, lookup(ids[0]), None, 0, &mut out);
    let (draining, frame) = match out
        .iter()
        .find(|a| matches!(a, ShardAction::SendToTarget { .. }))
    {
        Some(ShardAction::SendToTarget { target, frame, .. }) => (*target, frame.clone()),
        _ => unreachable!("the first request is sent"),
    };
    out.clear();
    let refusal = Frame::refusal_for(&frame, Refusal::Draining);
    requests.on_target_frame(NOW, &view, draining, refusal, &mut out);
    for id in &ids[1..] {
        requests.on_caller_frame(NOW, &view, lookup(*id), None, 0, &mut out);
    }
    assert_eq!(targets(&out).len(), 26);
    assert!(!targets(&out).contains(&draining));
}
