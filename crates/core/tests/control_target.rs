//! States of targets, tested with simulated time, see docs/design.md, section 9.

#![allow(clippy::expect_used)]

use std::sync::Arc;

use balance::control::ControlSettings;
use balance::event::{
    ControlEvent, ControlLogEvent, HealthReport, Observation, ShardAction, ShardEvent,
};
use balance::shard::{Shard, ShardSettings};
use balance::view::{TargetView, View};
use conf::Document;
use conf::model::TargetState;
use ids::{Micros, Millis, ServiceName, Version};
use lab::fixture;
use lab::group::{Group, Links};
use wire::frame::{Frame, Kind};
use wire::seal::Keys;
use wire::token::TargetId;

/// Starts a group of one instance with the services `rates` (14 targets) and `submissions` (4).
fn group() -> Group {
    group_of(fixture::document(&fixture::hunarmand()))
}

fn group_of(document: Document) -> Group {
    let mut group = Group::new(1, ControlSettings::default(), Links::default(), 1);
    group.publish(&document).expect("packs");
    group.start_all();
    group.run_for(Millis(3_000));
    group
}

fn id(name: &str) -> TargetId {
    let service = name.split_once('-').expect("service-number").0;
    let parse = (service.parse(), name.parse());
    TargetId::new(&parse.0.expect("a name"), &parse.1.expect("a name"))
}

fn service(name: &str) -> ServiceName {
    name.parse().expect("a name")
}

fn view(group: &Group) -> Arc<View> {
    group.instances[0].view.clone().expect("a view")
}

fn target(group: &Group, name: &str) -> TargetView {
    view(group).targets[&id(name)].clone()
}

fn accepts_new(group: &Group, name: &str) -> bool {
    target(group, name).accepts_new
}

fn report(name: &str, healthy: Option<bool>) -> HealthReport {
    HealthReport {
        target: id(name),
        is_healthy: healthy,
        is_draining: false,
        in_flight: 0,
    }
}

fn observe(group: &mut Group, observation: Observation) {
    group.deliver(
        0,
        ControlEvent::Observed {
            shard: 0,
            observation,
        },
    );
}

fn answered(name: &str) -> Observation {
    Observation::Answered {
        target: id(name),
        load: None,
    }
}

/// Guards against a single lost or wrong report that shifts traffic.
#[yare::parameterized(
    unhealthy = { Some(false) },
    no_answer = { None },
)]
fn three_consecutive_bad_reports_take_a_target_out_of_rotation(healthy: Option<bool>) {
    let mut group = group();
    group.report(0, report("rates-01", healthy), 2);
    group.report(0, report("rates-01", Some(true)), 1);
    group.report(0, report("rates-01", healthy), 2);
    assert!(accepts_new(&group, "rates-01"));
    group.report(0, report("rates-01", healthy), 1);
    assert!(!accepts_new(&group, "rates-01"));
    group.report(0, report("rates-01", Some(true)), 3);
    assert!(accepts_new(&group, "rates-01"));
}

/// Guards against a health endpoint that takes a target out of rotation although it answers, or
/// keeps one in rotation that does not answer.
#[test]
fn own_observations_override_reports() {
    let mut group = group();
    observe(&mut group, answered("rates-01"));
    group.report(0, report("rates-01", Some(false)), 9);
    assert!(accepts_new(&group, "rates-01"));
    observe(&mut group, Observation::TimedOut(id("rates-02")));
    assert!(!accepts_new(&group, "rates-02"));
    group.report(0, report("rates-02", Some(true)), 9);
    assert!(!accepts_new(&group, "rates-02"));
    observe(&mut group, answered("rates-02"));
    assert!(accepts_new(&group, "rates-02"));
    // Good reports take effect once the own observation is old.
    observe(&mut group, Observation::TimedOut(id("rates-02")));
    group.run_for(Millis(9_900));
    assert!(!accepts_new(&group, "rates-02"));
    group.run_for(Millis(200));
    assert!(accepts_new(&group, "rates-02"));
}

/// Guards against broken health checks that leave a service without targets, and against traffic to
/// dead targets while enough others are healthy.
#[yare::parameterized(
    dead = { false },
    draining = { true },
)]
fn reports_are_ignored_when_they_mark_most_targets_as_down(is_draining: bool) {
    let mut group = group();
    let mark_down = |group: &mut Group, name: &str| {
        let bad = HealthReport {
            is_draining,
            ..report(name, Some(is_draining))
        };
        group.report(0, bad, 3);
    };
    mark_down(&mut group, "submissions-01");
    mark_down(&mut group, "submissions-02");
    assert!(!accepts_new(&group, "submissions-01"));
    assert!(!accepts_new(&group, "submissions-02"));
    mark_down(&mut group, "submissions-03");
    for number in 1..=4 {
        assert!(accepts_new(&group, &format!("submissions-0{number}")));
    }
    assert!(accepts_new(&group, "rates-01"));
    let is_panic = |log: &ControlLogEvent| matches!(log, ControlLogEvent::PanicModeEntered { .. });
    assert_eq!(group.count_log(0, is_panic), 1);
    // Panic mode does not override a target that refuses work itself.
    observe(&mut group, Observation::Draining(id("submissions-04")));
    assert!(!accepts_new(&group, "submissions-04"));
}

/// Guards against panic mode sending work to a target that operators drain.
#[test]
fn target_drained_by_the_document_is_not_used_in_panic_mode() {
    let mut document = fixture::document(&fixture::hunarmand());
    let targets = &mut document
        .services
        .get_mut(&service("submissions"))
        .expect("s")
        .targets;
    targets.values_mut().next().expect("a target").state = TargetState::Draining;
    let mut group = group_of(document);
    for number in 2..=4 {
        group.report(0, report(&format!("submissions-0{number}"), None), 3);
    }
    assert!(accepts_new(&group, "submissions-02"));
    assert!(!accepts_new(&group, "submissions-01"));
}

/// Guards against full load on a target that has just started.
#[test]
fn target_that_comes_back_warms_up_over_ten_seconds() {
    let mut group = group();
    group.report(0, report("rates-01", Some(false)), 3);
    group.report(0, report("rates-01", Some(true)), 3);
    let views = group.instances[0].view_count;
    let mut ramps = vec![target(&group, "rates-01").ramp_permille];
    for _ in 0..11 {
        group.run_for(Millis(1_000));
        ramps.push(target(&group, "rates-01").ramp_permille);
    }
    assert_eq!(ramps[0], 100);
    assert!(
        ramps.is_sorted() && ramps[5] < 700 && ramps[5] >= 400,
        "{ramps:?}"
    );
    assert_eq!(ramps[11], 1_000);
    assert!(
        group.instances[0].view_count - views <= 12,
        "at most one view per step"
    );
    assert_eq!(target(&group, "rates-02").ramp_permille, 1_000);
}

/// Guards against full load on new targets, and against an instance that reduces the load on all
/// targets after its own start although they are warm.
#[test]
fn only_targets_that_are_new_to_a_running_instance_warm_up() {
    let mut document = fixture::document(&fixture::hunarmand());
    let declared_service = document.services.get_mut(&service("rates"));
    let removed = declared_service.expect("a service").targets.pop_last();
    let (name, declared) = removed.expect("a target");
    let mut group = group_of(document.clone());
    assert_eq!(target(&group, "rates-01").ramp_permille, 1_000);
    let declared_service = document.services.get_mut(&service("rates"));
    declared_service
        .expect("a service")
        .targets
        .insert(name, declared);
    document.version = Version(2);
    group.publish(&document).expect("packs");
    group.run_for(Millis(100));
    assert_eq!(target(&group, "rates-14").ramp_permille, 100);
    assert_eq!(target(&group, "rates-01").ramp_permille, 1_000);
}

/// Guards against new work for a target that the document, the target itself or its health reports
/// declare draining, and against a target that stays out of rotation after it is back.
#[test]
fn drain_comes_from_the_document_the_target_and_its_reports() {
    let mut document = fixture::document(&fixture::hunarmand());
    let mut group = group_of(document.clone());
    let declare = |document: &mut Document, state| {
        let declared_service = document.services.get_mut(&service("rates"));
        let targets = &mut declared_service.expect("a service").targets;
        let target = targets.get_mut(&"rates-01".parse().expect("a name"));
        target.expect("a target").state = state;
        document.version = Version(document.version.0 + 1);
    };
    declare(&mut document, TargetState::Draining);
    group.publish(&document).expect("packs");
    group.run_for(Millis(100));
    assert!(!accepts_new(&group, "rates-01"));
    observe(&mut group, answered("rates-01"));
    group.report(0, report("rates-01", Some(true)), 5);
    group.run_for(Millis(20_000));
    assert!(
        !accepts_new(&group, "rates-01"),
        "the document takes precedence"
    );
    let is_change = |log: &ControlLogEvent| {
        matches!(
            log,
            ControlLogEvent::TargetStateChanged { name, .. } if name == "rates/rates-01"
        )
    };
    assert_eq!(group.count_log(0, is_change), 2, "to serving, to draining");
    let set = view(&group).target_sets[&service("rates")].clone();
    assert_eq!(set.len(), 2);
    assert!(
        set[1]
            .candidates
            .iter()
            .all(|candidate| candidate.target != id("rates-01"))
    );
    declare(&mut document, TargetState::Serving);
    group.publish(&document).expect("packs");
    group.run_for(Millis(100));
    assert!(accepts_new(&group, "rates-01"));

    observe(&mut group, Observation::Draining(id("rates-02")));
    assert!(!accepts_new(&group, "rates-02"));
    group.report(0, report("rates-02", Some(true)), 5);
    assert!(
        !accepts_new(&group, "rates-02"),
        "its own refusal is recent"
    );
    group.run_for(Millis(11_000));
    group.report(0, report("rates-02", Some(true)), 1);
    assert!(accepts_new(&group, "rates-02"));

    let draining = HealthReport {
        is_draining: true,
        ..report("rates-03", Some(true))
    };
    group.report(0, draining, 2);
    assert!(accepts_new(&group, "rates-03"));
    group.report(0, draining, 1);
    assert!(!accepts_new(&group, "rates-03"));
}

/// Guards against full load on a target that is shedding load, and against one that receives
/// nothing for a long time.
#[test]
fn shedding_target_receives_half_its_share_until_it_stops() {
    let mut group = group();
    observe(&mut group, Observation::Overloaded(id("rates-01")));
    assert_eq!(target(&group, "rates-01").ramp_permille, 500);
    group.run_for(Millis(900));
    observe(&mut group, Observation::Overloaded(id("rates-01")));
    group.run_for(Millis(900));
    assert_eq!(target(&group, "rates-01").ramp_permille, 500);
    group.run_for(Millis(200));
    assert_eq!(target(&group, "rates-01").ramp_permille, 1_000);
}

/// Guards against state that is carried over to another process at a new address.
#[test]
fn target_at_a_new_address_is_a_new_target() {
    let mut document = fixture::document(&fixture::hunarmand());
    let mut group = group_of(document.clone());
    group.report(0, report("rates-01", Some(false)), 3);
    let declared_service = document.services.get_mut(&service("rates"));
    let targets = &mut declared_service.expect("a service").targets;
    let target_01 = targets.get_mut(&"rates-01".parse().expect("a name"));
    target_01.expect("a target").address = fixture::address(77, 1);
    document.version = Version(2);
    group.publish(&document).expect("packs");
    group.run_for(Millis(100));
    assert!(accepts_new(&group, "rates-01"));
    assert_eq!(target(&group, "rates-01").ramp_permille, 100);
}

/// Guards against an unbounded number of target sets, and against a set that is dropped while flows
/// that were opened under it may still exist.
#[test]
fn past_target_sets_are_kept_for_the_idle_time_and_at_most_eight() {
    let mut document = fixture::document(&fixture::hunarmand());
    let mut group = group_of(document.clone());
    let rates = service("rates");
    for change in 2..=12 {
        let declared_service = document.services.get_mut(&rates).expect("a service");
        let target = declared_service
            .targets
            .values_mut()
            .next()
            .expect("a target");
        target.weight.0 += 1;
        document.version = Version(change);
        group.publish(&document).expect("packs");
        group.run_for(Millis(5_000));
    }
    assert_eq!(view(&group).target_sets[&rates].len(), 8);
    assert_eq!(view(&group).target_sets[&service("submissions")].len(), 1);
    group.run_for(Millis(250_000));
    assert_eq!(view(&group).target_sets[&rates].len(), 8);
    group.run_for(Millis(60_000));
    assert_eq!(view(&group).target_sets[&rates].len(), 1);
    // The idle time starts when a set is superseded, not when it becomes active.
    let declared_service = document.services.get_mut(&rates).expect("a service");
    declared_service.targets.pop_first();
    document.version = Version(13);
    group.publish(&document).expect("packs");
    group.run_for(Millis(10_000));
    assert_eq!(view(&group).target_sets[&rates].len(), 2);
}

/// Guards against load vectors that are applied to the targets of another document, and against the
/// load of a dead peer that is counted forever.
#[test]
fn loads_of_peers_count_for_the_same_document_and_while_they_are_reachable() {
    let document = fixture::document(&fixture::hunarmand());
    let mut group = Group::new(3, ControlSettings::default(), Links::default(), 1);
    group.publish(&document).expect("packs");
    group.start_all();
    group.run_for(Millis(4_000));
    for index in [1, 2] {
        let observation = Observation::InFlight {
            target: id("rates-02"),
            count: 2,
        };
        group.deliver(
            index,
            ControlEvent::Observed {
                shard: 0,
                observation,
            },
        );
    }
    group.run_for(Millis(400));
    assert_eq!(target(&group, "rates-02").peers_in_flight, 4);
    assert_eq!(target(&group, "rates-01").peers_in_flight, 0);
    group.kill(2);
    group.run_for(Millis(3_000));
    assert_eq!(target(&group, "rates-02").peers_in_flight, 2);
    // The next document has no target rates-01, so every position moves; instance 0 gets it first.
    let mut next = document.clone();
    next.version = Version(2);
    let declared_service = next.services.get_mut(&service("rates"));
    declared_service.expect("a service").targets.pop_first();
    group.block_links(&[0], &[1]);
    group.publish(&next).expect("packs");
    group.run_for(Millis(50));
    assert_eq!(view(&group).document.version, Version(2));
    assert_eq!(target(&group, "rates-02").peers_in_flight, 0);
    assert_eq!(target(&group, "rates-03").peers_in_flight, 0);
}

fn observe_flows(group: &mut Group, index: usize, shard: u16, name: &str, count: u32) {
    let target = id(name);
    let observation = Observation::Flows { target, count };
    group.deliver(index, ControlEvent::Observed { shard, observation });
}

/// Guards against flow counts that are missing from heartbeats, are applied to the targets of
/// another document or overflow, and against those of a dead peer that are counted forever.
#[test]
fn flows_of_peers_count_for_the_same_document_and_while_they_are_reachable() {
    let document = fixture::document(&fixture::hunarmand());
    let mut group = Group::new(3, ControlSettings::default(), Links::default(), 1);
    group.publish(&document).expect("packs");
    group.start_all();
    group.run_for(Millis(4_000));
    observe_flows(&mut group, 1, 0, "rates-02", 300);
    observe_flows(&mut group, 1, 1, "rates-02", 400);
    observe_flows(&mut group, 2, 0, "rates-02", 70_000);
    group.run_for(Millis(1_600));
    assert_eq!(target(&group, "rates-02").peers_flows, 700 + 65_535);
    assert_eq!(target(&group, "rates-01").peers_flows, 0);
    assert_eq!(target(&group, "rates-02").peers_in_flight, 0);
    group.kill(2);
    group.run_for(Millis(3_000));
    assert_eq!(target(&group, "rates-02").peers_flows, 700);
    // The next document has no target rates-01, so every position moves; instance 0 gets it first.
    let mut next = document.clone();
    next.version = Version(2);
    let declared_service = next.services.get_mut(&service("rates"));
    declared_service.expect("a service").targets.pop_first();
    group.block_links(&[0], &[1]);
    group.publish(&next).expect("packs");
    group.run_for(Millis(50));
    assert_eq!(view(&group).document.version, Version(2));
    assert_eq!(target(&group, "rates-02").peers_flows, 0);
    assert_eq!(target(&group, "rates-03").peers_flows, 0);
}

/// Guards against load-based placement that counts only the flows of its own instance.
#[test]
fn placement_by_load_avoids_a_target_with_many_flows_of_peers() {
    let document = fixture::document(&fixture::hunarmand());
    let mut group = Group::new(2, ControlSettings::default(), Links::default(), 1);
    group.publish(&document).expect("packs");
    group.start_all();
    group.run_for(Millis(4_000));
    let opened_on = |view: Arc<View>| {
        let keys = Keys::new("0123456789abcdef", None);
        let mut shard = Shard::new(ShardSettings::default(), keys);
        let mut out = Vec::new();
        let now = Micros(10_000_000);
        shard.handle(now, ShardEvent::View(view), &mut out);
        for flow in 1..=400 {
            let frame = Frame {
                service: "rates".to_owned(),
                class: "feed".to_owned(),
                flow,
                domain: fixture::DOMAINS[(flow % 4) as usize].to_owned(),
                echo: true,
                ..Frame::new(Kind::Open)
            };
            let from = fixture::address(9, 1);
            shard.handle(now, ShardEvent::CallerFrame { from, frame }, &mut out);
        }
        let is_to_target = |action: &&ShardAction| {
            matches!(
                action,
                ShardAction::SendToTarget { target, .. } if *target == id("rates-02")
            )
        };
        out.iter().filter(is_to_target).count()
    };
    let before = opened_on(view(&group));
    observe_flows(&mut group, 1, 0, "rates-02", 1_000);
    group.run_for(Millis(1_600));
    let after = opened_on(view(&group));
    assert!(before >= 20, "{before} of 400 flows");
    assert_eq!(after, 0);
}

/// Guards against a new view for every heartbeat, as every view costs work in each shard.
#[test]
fn load_changes_publish_at_most_one_view_per_20_ms() {
    let document = fixture::document(&fixture::hunarmand());
    let mut group = Group::new(32, ControlSettings::default(), Links::default(), 1);
    group.publish(&document).expect("packs");
    group.start_all();
    group.run_for(Millis(4_000));
    let views = group.instances[0].view_count;
    for count in 0..200 {
        for index in 1..32 {
            let observation = Observation::InFlight {
                target: id("rates-02"),
                count,
            };
            group.deliver(
                index,
                ControlEvent::Observed {
                    shard: 0,
                    observation,
                },
            );
        }
        group.run_for(Millis(10));
    }
    let views = group.instances[0].view_count - views;
    assert!((10..=101).contains(&views), "{views} views in 2 s");
}

/// Guards against work for a new target that was never seen healthy while healthy ones are
/// available.
#[test]
fn new_target_waits_for_health_reports_while_others_serve() {
    let mut document = fixture::document(&fixture::hunarmand());
    let rates = service("rates");
    for target in document
        .services
        .get_mut(&rates)
        .expect("s")
        .targets
        .values_mut()
    {
        target.health = Some(target.address);
    }
    let (name, declared) = document
        .services
        .get_mut(&rates)
        .and_then(|service| service.targets.pop_last())
        .expect("a target");
    let mut group = group_of(document.clone());
    let declared_service = document.services.get_mut(&rates).expect("a service");
    declared_service.targets.insert(name, declared);
    document.version = Version(2);
    group.publish(&document).expect("packs");
    group.run_for(Millis(100));
    assert!(!accepts_new(&group, "rates-14"));
    group.report(0, report("rates-14", Some(true)), 3);
    assert!(accepts_new(&group, "rates-14"));
}
