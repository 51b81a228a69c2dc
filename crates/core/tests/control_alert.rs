//! Alert rules, tested with simulated time, see docs/control.md.

#![allow(clippy::expect_used)]

use balance::control::ControlSettings;
use balance::event::{ControlEvent, ControlLogEvent};
use conf::model::{AlertRule, Comparison};
use ids::{Millis, Version};
use lab::fixture;
use lab::group::{Group, Links};

const METRIC: &str = "flows_lost_per_second";
/// Instances of the failure domain d1 in a group of 16 instances over four failure domains.
const D1: [usize; 4] = [0, 4, 8, 12];

fn rule(comparison: Comparison) -> AlertRule {
    let sign = match comparison {
        Comparison::Above => '>',
        Comparison::Below => '<',
    };
    AlertRule {
        text: format!("lost: {METRIC} {sign} 5 for 10s notify desk, night").into(),
        name: "lost".into(),
        metric: METRIC.into(),
        comparison,
        threshold: 5.0,
        hold_ms: Millis(10_000),
        receivers: vec!["desk".into(), "night".into()],
    }
}

fn group_of(size: usize, comparison: Comparison) -> Group {
    let mut group = Group::new(size, ControlSettings::default(), Links::default(), 1);
    let mut document = fixture::document(&fixture::hunarmand());
    document.alerts = vec![rule(comparison)];
    group.publish(&document).expect("packs");
    group.start_all();
    group.run_for(Millis(4_000));
    group
}

fn group() -> Group {
    group_of(16, Comparison::Above)
}

fn set_metric(group: &mut Group, indices: &[usize], value: f64) {
    for &index in indices {
        if group.instances[index].control.is_some() {
            group.deliver(index, ControlEvent::Metrics(vec![(METRIC.into(), value)]));
        }
    }
}

/// Returns how many notifications the instances sent that the rule fires, or that it is resolved.
fn notification_count(group: &Group, indices: &[usize], is_firing: bool) -> usize {
    let is_counted = |log: &ControlLogEvent| {
        matches!(
            log,
            ControlLogEvent::AlertChanged { is_firing: logged, .. } if *logged == is_firing
        )
    };
    let count = |&index: &usize| group.count_log(index, is_counted);
    indices.iter().map(count).sum()
}

/// Returns the instance of d1 that sent a notification.
fn notifier(group: &Group) -> usize {
    let has_notified = |&&index: &&usize| notification_count(group, &[index], true) > 0;
    *D1.iter().find(has_notified).expect("a notifier")
}

/// Guards against an alert for a condition that did not last long enough, an alert that is late,
/// and one without the recipients of the rule.
#[test]
fn rule_fires_after_its_duration_and_resolves() {
    let mut group = group_of(1, Comparison::Above);
    set_metric(&mut group, &[0], 6.0);
    group.run_for(Millis(9_000));
    set_metric(&mut group, &[0], 5.0);
    group.run_for(Millis(1_000));
    set_metric(&mut group, &[0], 6.0);
    group.run_for(Millis(9_900));
    assert_eq!(notification_count(&group, &[0], true), 0);
    group.run_for(Millis(200));
    let last = group.instances[0]
        .log
        .last()
        .expect("a log entry")
        .1
        .clone();
    let expected = ControlLogEvent::AlertChanged {
        rule: rule(Comparison::Above).text.to_string(),
        is_firing: true,
        notify: vec!["desk".to_owned(), "night".to_owned()],
    };
    assert_eq!(last, expected);
    group.run_for(Millis(30_000));
    assert_eq!(notification_count(&group, &[0], true), 1);
    set_metric(&mut group, &[0], 1.0);
    group.run_for(Millis(100));
    assert_eq!(notification_count(&group, &[0], false), 1);
}

/// Guards against a rule that inverts its comparison, and one that fires on a missing metric.
#[test]
fn rule_below_a_threshold_needs_a_value() {
    let mut group = group_of(1, Comparison::Below);
    group.run_for(Millis(20_000));
    assert_eq!(notification_count(&group, &[0], true), 0);
    set_metric(&mut group, &[0], 4.0);
    group.run_for(Millis(11_000));
    assert_eq!(notification_count(&group, &[0], true), 1);
}

/// Guards against one notification per instance, and against a missing notification when the
/// condition holds only at an instance that is not assigned to notify.
#[yare::parameterized(
    at_all = { &D1 },
    at_one = { &[8] },
    at_another = { &[12] },
)]
fn one_instance_per_failure_domain_notifies(holding: &[usize]) {
    let mut group = group();
    set_metric(&mut group, holding, 6.0);
    group.run_for(Millis(15_000));
    assert_eq!(notification_count(&group, &D1, true), 1);
    let others: Vec<_> = (0..16).filter(|index| !D1.contains(index)).collect();
    assert_eq!(notification_count(&group, &others, true), 0);
    set_metric(&mut group, &others, 6.0);
    group.run_for(Millis(15_000));
    assert_eq!(notification_count(&group, &others, true), 3);
    set_metric(&mut group, holding, 0.0);
    group.run_for(Millis(1_000));
    assert_eq!(notification_count(&group, &D1, false), 1);
    assert_eq!(notification_count(&group, &others, false), 0);
}

/// Guards against a second notification for an uninterrupted condition when the notifying instance
/// stops or restarts, and against a missing notification when the condition ends.
#[yare::parameterized(
    dies = { false },
    leaves = { true },
)]
fn successor_of_the_notifier_notifies_only_of_the_end(leaves: bool) {
    let mut group = group();
    set_metric(&mut group, &D1, 6.0);
    group.run_for(Millis(15_000));
    let first = notifier(&group);
    if leaves {
        group.deliver(first, ControlEvent::Stop);
        group.run_for(Millis(100));
    }
    group.kill(first);
    group.run_for(Millis(15_000));
    assert_eq!(notification_count(&group, &D1, true), 1);
    group.start(first);
    group.run_for(Millis(4_000));
    set_metric(&mut group, &D1, 6.0);
    group.run_for(Millis(15_000));
    assert_eq!(notification_count(&group, &D1, true), 1);
    set_metric(&mut group, &D1, 0.0);
    group.run_for(Millis(1_000));
    assert_eq!(notification_count(&group, &D1, false), 1);
}

/// Guards against a missing notification when the condition begins while the notifying instance is
/// dead but still in the view.
#[test]
fn successor_notifies_of_a_condition_that_begins_while_the_notifier_is_dead() {
    let mut group = group();
    set_metric(&mut group, &D1, 6.0);
    group.run_for(Millis(15_000));
    let first = notifier(&group);
    set_metric(&mut group, &D1, 0.0);
    group.run_for(Millis(1_000));
    set_metric(&mut group, &D1, 6.0);
    group.run_for(Millis(9_000));
    group.kill(first);
    group.run_for(Millis(4_000));
    assert_eq!(notification_count(&group, &D1, true), 2);
}

/// Guards against an alert that is resolved and sent again because another rule was added.
#[test]
fn new_rule_does_not_affect_a_firing_alert() {
    let mut group = group();
    set_metric(&mut group, &[8], 6.0);
    group.run_for(Millis(15_000));
    let mut document = fixture::document(&fixture::hunarmand());
    let mut other = rule(Comparison::Below);
    other.name = "other".into();
    other.text = other.text.replace("lost:", "other:").into();
    document.alerts = vec![other, rule(Comparison::Above)];
    document.version = Version(2);
    group.publish(&document).expect("packs");
    group.run_for(Millis(1_000));
    set_metric(&mut group, &[8], 6.0);
    group.run_for(Millis(15_000));
    assert_eq!(group.version(8), 2);
    assert_eq!(notification_count(&group, &D1, true), 1);
    assert_eq!(notification_count(&group, &D1, false), 0);
}
