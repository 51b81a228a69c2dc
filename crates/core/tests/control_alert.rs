//! Alert rules under explicit time, see docs/control.md.

#![allow(clippy::expect_used)]

use balance::control::ControlSettings;
use balance::event::{ControlEvent, ControlLogEvent};
use conf::model::{AlertRule, Comparison};
use ids::{Millis, Version};
use lab::fixture;
use lab::group::{Group, Links};

const METRIC: &str = "flows_lost_per_second";
/// Instances of the failure domain d1 in a group of 16 over four of them.
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
        for_ms: Millis(10_000),
        notify: vec!["desk".into(), "night".into()],
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

fn set(group: &mut Group, indices: &[usize], value: f64) {
    for &index in indices {
        if group.nodes[index].control.is_some() {
            group.give(index, ControlEvent::Metrics(vec![(METRIC.into(), value)]));
        }
    }
}

/// Returns how often instances notified that the rule holds, or that it has ended.
fn notified(group: &Group, indices: &[usize], is_firing: bool) -> usize {
    let is_counted = |log: &ControlLogEvent| matches!(log, ControlLogEvent::AlertChanged { is_firing: logged, .. } if *logged == is_firing);
    let count = |&index: &usize| group.count_log(index, is_counted);
    indices.iter().map(count).sum()
}

fn notifier(group: &Group) -> usize {
    let has_notified = |&&index: &&usize| notified(group, &[index], true) > 0;
    *D1.iter().find(has_notified).expect("a notifier")
}

/// Guards against an alert on a condition that did not last, one that comes late, and one that
/// does not name the people of the rule.
#[test]
fn rule_fires_after_its_time_and_resolves() {
    let mut group = group_of(1, Comparison::Above);
    set(&mut group, &[0], 6.0);
    group.run_for(Millis(9_000));
    set(&mut group, &[0], 5.0);
    group.run_for(Millis(1_000));
    set(&mut group, &[0], 6.0);
    group.run_for(Millis(9_900));
    assert_eq!(notified(&group, &[0], true), 0);
    group.run_for(Millis(200));
    let last = group.nodes[0].log.last().expect("a log entry").1.clone();
    let expected = ControlLogEvent::AlertChanged {
        rule: rule(Comparison::Above).text.to_string(),
        is_firing: true,
        notify: vec!["desk".to_owned(), "night".to_owned()],
    };
    assert_eq!(last, expected);
    group.run_for(Millis(30_000));
    assert_eq!(notified(&group, &[0], true), 1);
    set(&mut group, &[0], 1.0);
    group.run_for(Millis(100));
    assert_eq!(notified(&group, &[0], false), 1);
}

/// Guards against a rule that compares the wrong way round, and one that fires on no data.
#[test]
fn rule_below_a_threshold_needs_a_value() {
    let mut group = group_of(1, Comparison::Below);
    group.run_for(Millis(20_000));
    assert_eq!(notified(&group, &[0], true), 0);
    set(&mut group, &[0], 4.0);
    group.run_for(Millis(11_000));
    assert_eq!(notified(&group, &[0], true), 1);
}

/// Guards against as many notifications as there are instances, and against a condition that goes
/// unnoticed because it holds at an instance that does not notify.
#[yare::parameterized(
    at_all = { &D1 },
    at_one = { &[8] },
    at_another = { &[12] },
)]
fn one_instance_per_failure_domain_notifies(holding: &[usize]) {
    let mut group = group();
    set(&mut group, holding, 6.0);
    group.run_for(Millis(15_000));
    assert_eq!(notified(&group, &D1, true), 1);
    let others: Vec<_> = (0..16).filter(|index| !D1.contains(index)).collect();
    assert_eq!(notified(&group, &others, true), 0);
    set(&mut group, &others, 6.0);
    group.run_for(Millis(15_000));
    assert_eq!(notified(&group, &others, true), 3);
    set(&mut group, holding, 0.0);
    group.run_for(Millis(1_000));
    assert_eq!(notified(&group, &D1, false), 1);
    assert_eq!(notified(&group, &others, false), 0);
}

/// Guards against a second notification for an unbroken condition when the notifier goes or comes
/// back, and against nobody telling that it has ended.
#[yare::parameterized(
    dies = { false },
    leaves = { true },
)]
fn successor_of_the_notifier_keeps_quiet_until_the_end(leaves: bool) {
    let mut group = group();
    set(&mut group, &D1, 6.0);
    group.run_for(Millis(15_000));
    let first = notifier(&group);
    if leaves {
        group.give(first, ControlEvent::Stop);
        group.run_for(Millis(100));
    }
    group.kill(first);
    group.run_for(Millis(15_000));
    assert_eq!(notified(&group, &D1, true), 1);
    group.start(first);
    group.run_for(Millis(4_000));
    set(&mut group, &D1, 6.0);
    group.run_for(Millis(15_000));
    assert_eq!(notified(&group, &D1, true), 1);
    set(&mut group, &D1, 0.0);
    group.run_for(Millis(1_000));
    assert_eq!(notified(&group, &D1, false), 1);
}

/// Guards against a condition that begins while the notifier is dead but not yet out of the view.
#[test]
fn condition_that_begins_without_its_notifier_is_notified_by_the_successor() {
    let mut group = group();
    set(&mut group, &D1, 6.0);
    group.run_for(Millis(15_000));
    let first = notifier(&group);
    set(&mut group, &D1, 0.0);
    group.run_for(Millis(1_000));
    set(&mut group, &D1, 6.0);
    group.run_for(Millis(9_000));
    group.kill(first);
    group.run_for(Millis(4_000));
    assert_eq!(notified(&group, &D1, true), 2);
}

/// Guards against a change of another rule that resolves and repeats an alert.
#[test]
fn new_rules_leave_an_unbroken_alert_alone() {
    let mut group = group();
    set(&mut group, &[8], 6.0);
    group.run_for(Millis(15_000));
    let mut document = fixture::document(&fixture::hunarmand());
    let mut other = rule(Comparison::Below);
    other.name = "other".into();
    other.text = other.text.replace("lost:", "other:").into();
    document.alerts = vec![other, rule(Comparison::Above)];
    document.version = Version(2);
    group.publish(&document).expect("packs");
    group.run_for(Millis(1_000));
    set(&mut group, &[8], 6.0);
    group.run_for(Millis(15_000));
    assert_eq!(group.version(8), 2);
    assert_eq!(notified(&group, &D1, true), 1);
    assert_eq!(notified(&group, &D1, false), 0);
}
