//! Rollout of documents, tested with simulated time, see docs/design.md, section 8.

#![allow(clippy::expect_used)]

use balance::control::ControlSettings;
use balance::event::{ControlEvent, ControlLogEvent, PlatformKey, PlatformOutcome};
use conf::{Document, packed};
use ids::{ContentHash, Millis, Version};
use lab::fixture;
use lab::group::{Group, Links};
use lab::platform::etag_of;

/// Time in which a started group becomes ready.
const SETTLE_MS: Millis = Millis(4_000);

/// Returns the document with a version; versions differ in the weight of one target.
fn document(version: u64) -> Document {
    variant(version, version as u32)
}

fn variant(version: u64, weight: u32) -> Document {
    let mut document = fixture::document(&fixture::hunarmand());
    document.version = Version(version);
    let service = document.services.values_mut().next().expect("a service");
    let target = service.targets.values_mut().next().expect("a target");
    target.weight.0 = 100 + weight;
    document
}

fn group(size: usize) -> Group {
    let mut group = Group::new(size, ControlSettings::default(), Links::default(), 1);
    publish(&mut group, 1);
    group.start_all();
    group.run_for(SETTLE_MS);
    assert!((0..size).all(|index| group.version(index) == 1));
    group
}

fn publish(group: &mut Group, version: u64) -> ContentHash {
    group
        .publish(&document(version))
        .expect("a document that packs")
}

fn all_at(group: &Group, version: u64) -> bool {
    (0..group.instances.len()).all(|index| group.version(index) == version)
}

/// Asserts that no instance ever replaced its document by a smaller one.
fn assert_never_reverted(group: &Group) {
    for instance in &group.instances {
        let digests: Vec<_> = instance
            .log
            .iter()
            .filter_map(|(_, log)| match log {
                ControlLogEvent::DocumentActivated {
                    version, root_hash, ..
                } => Some((*version, *root_hash)),
                _ => None,
            })
            .collect();
        assert!(digests.is_sorted(), "{digests:?}");
    }
}

fn rejection_count(group: &Group, index: usize) -> usize {
    group.count_log(index, |log| {
        matches!(log, ControlLogEvent::DocumentRejected { .. })
    })
}

/// Publishes a version whose root only some instances can read from the platform.
fn publish_to(group: &mut Group, version: u64, readers: &[usize]) {
    let old = group.platform.root.clone().expect("a root");
    group.platform.stale_roots = (0..group.instances.len())
        .filter(|index| !readers.contains(index))
        .map(|index| (index, old.clone()))
        .collect();
    publish(group, version);
}

/// Guards against a change that is announced with the next periodic heartbeats instead of at once.
#[test]
fn change_is_active_everywhere_within_a_few_round_trips() {
    let mut group = group(16);
    publish_to(&mut group, 2, &[0]);
    let time = group.run_until(Millis(2_000), |group| all_at(group, 2));
    // Instance 0 reads root, page and part from the platform, sends a heartbeat, and the others
    // fetch the same three values from it. Each step takes one or two link delays of 5 to 6 ms.
    assert!(time.expect("active") <= Millis(75), "{time:?}");
    assert_never_reverted(&group);
}

/// Guards against instances that end up with different documents, or return to an older one, when
/// two updates follow each other and reach instances at different times.
#[test]
fn two_versions_within_one_round_trip_end_at_the_greater() {
    let mut group = group(8);
    publish(&mut group, 2);
    group.run_for(Millis(3));
    publish(&mut group, 3);
    group.run_for(Millis(2_000));
    assert!(all_at(&group, 3));
    assert_never_reverted(&group);
}

/// Guards against a fleet that keeps two different documents when two operators publish the same
/// version.
#[test]
fn operator_race_ends_with_one_document_and_a_conflict_in_the_log() {
    let mut group = group(8);
    let (a, b) = (variant(2, 50), variant(2, 60));
    let first = group.publish(&a).expect("packs");
    // One replica of the platform keeps serving the first root.
    let root = group.platform.root.clone().expect("a root");
    group.platform.stale_roots = [0, 2, 4].map(|index| (index, root.clone())).into();
    let second = group.publish(&b).expect("packs");
    group.run_for(Millis(3_000));
    for instance in &group.instances {
        let view = instance.view.as_ref().expect("a view");
        assert_eq!(view.document.root_hash, first.max(second));
    }
    assert_never_reverted(&group);
    let is_conflict =
        |log: &ControlLogEvent| matches!(log, ControlLogEvent::VersionConflict { version: 2 });
    assert!((0..8).any(|index| group.count_log(index, is_conflict) == 1));
}

/// Guards against instances that return to an older document because a replica of the platform is
/// behind.
#[test]
fn stale_replica_changes_nothing_and_is_logged_once() {
    let mut group = group(4);
    let old = group.platform.root.clone().expect("a root");
    publish(&mut group, 2);
    group.run_for(Millis(1_000));
    // The watches of instance 0 alternate between a stale and a current replica.
    let new = group.platform.root.clone().expect("a root");
    for _ in 0..5 {
        group.platform.stale_roots.insert(0, old.clone());
        group.set_root(new.clone());
        group.run_for(Millis(5_000));
        group.platform.stale_roots.clear();
        group.set_root(new.clone());
        group.run_for(Millis(5_000));
    }
    assert_eq!(group.version(0), 2);
    assert_never_reverted(&group);
    let is_stale =
        |log: &ControlLogEvent| matches!(log, ControlLogEvent::StaleDocumentIgnored { .. });
    assert_eq!(group.count_log(0, is_stale), 1);
}

/// Guards against a burst of calls to the platform when all watchers of the root renew their
/// watches at the time of a change; the platform counts each renewal as a call.
#[test]
fn root_watchers_renew_their_watches_at_different_times() {
    let mut group = group(8);
    let watching = |group: &Group| {
        (0..8)
            .filter(|&index| group.is_watching_root(index))
            .count()
    };
    assert_eq!(watching(&group), 8);
    publish(&mut group, 2);
    let mut counts = Vec::new();
    for _ in 0..4 {
        group.run_for(Millis(800));
        counts.push(watching(&group));
    }
    assert!((0..8).all(|index| group.version(index) == 2));
    assert!(counts[0] <= 5, "renewed within 0.8 s: {}", counts[0]);
    assert_eq!(counts[3], 8);
}

/// Guards against a new instance that serves with an older document than its peers.
#[test]
fn new_instance_on_a_stale_replica_is_ready_only_with_the_version_of_its_peers() {
    let mut group = Group::new(5, ControlSettings::default(), Links::default(), 1);
    publish(&mut group, 1);
    let old = group.platform.root.clone().expect("a root");
    publish(&mut group, 2);
    group.links.value_delay_ms = Millis(500);
    (0..4).for_each(|index| group.start(index));
    group.run_for(SETTLE_MS);
    group.platform.stale_roots.insert(4, old);
    group.start(4);
    let old_active = group.run_until(SETTLE_MS, |group| group.version(4) == 1);
    assert!(old_active.is_some());
    let ready = group.run_until(SETTLE_MS, |group| group.instances[4].is_ready);
    assert!(ready.is_some());
    assert_eq!(group.version(4), 2);
}

/// Guards against an instance that starts, or resumes after a pause, without the target sets under
/// which older flows were opened, and routes their packets to other targets.
#[yare::parameterized(
    starts = { true },
    resumes = { false },
)]
fn joining_instance_learns_the_past_target_sets_of_its_peers(is_new: bool) {
    let mut group = Group::new(5, ControlSettings::default(), Links::default(), 1);
    publish(&mut group, 1);
    (0..4).for_each(|index| group.start(index));
    group.run_for(SETTLE_MS);
    publish(&mut group, 2);
    group.run_for(SETTLE_MS);
    if !is_new {
        group.start(4);
        group.run_for(SETTLE_MS);
    }
    group.pause(4, Millis(30_000));
    for version in 3..=4 {
        publish(&mut group, version);
        group.run_for(Millis(5_000));
    }
    // The joining instance reads the last change from the platform, before its peers have it.
    publish_to(&mut group, 5, &[4]);
    group.run_for(Millis(19_900));
    group.links.value_delay_ms = Millis(500);
    group.instances[4].is_ready = false;
    if is_new {
        group.start(4);
    }
    group
        .run_until(SETTLE_MS, |group| {
            group.instances[4].is_ready && group.version(4) == 5
        })
        .expect("ready with the last version");
    let candidates = |group: &Group, index: usize| {
        let view = group.instances[index].view.clone().expect("a view");
        let mut sets: Vec<_> = view.target_sets.clone().into_iter().collect();
        sets.sort_by(|a, b| a.0.cmp(&b.0));
        let sets = sets.into_iter().flat_map(|(_, sets)| sets);
        sets.map(|set| set.candidates.clone()).collect::<Vec<_>>()
    };
    assert_eq!(
        candidates(&group, 4).len(),
        6,
        "five sets of one service, one of the other"
    );
    group.run_for(SETTLE_MS);
    assert_eq!(candidates(&group, 4), candidates(&group, 0));
}

/// Guards against new instances that cannot join during an outage of the platform.
#[test]
fn new_instance_gets_the_document_from_peers_when_the_platform_is_down() {
    // The published list is unavailable too, so the new instance knows a peer from its settings.
    let seed =
        "[instance.i1]\ndomain = d1\npeer = 127.1.9.1:4000\ngrpc = 127.1.10.1:4000\nstate = live\n";
    let settings = ControlSettings {
        seeds: conf::instances::parse("seeds", seed).expect("a list"),
        ..ControlSettings::default()
    };
    let mut group = Group::new(5, settings, Links::default(), 1);
    publish(&mut group, 1);
    (0..4).for_each(|index| group.start(index));
    group.run_for(SETTLE_MS);
    group.set_platform_down(true);
    group.start(4);
    let ready = group.run_until(SETTLE_MS, |group| group.instances[4].is_ready);
    assert!(ready.is_some());
    assert_eq!(group.version(4), 1);
}

/// Guards against an instance that becomes ready without a document, and against one that does not
/// recover on its own when the platform is available again.
#[test]
fn without_peers_and_platform_an_instance_waits_for_the_platform() {
    let mut group = Group::new(2, ControlSettings::default(), Links::default(), 1);
    publish(&mut group, 1);
    group.set_platform_down(true);
    group.start_all();
    group.run_for(Millis(120_000));
    assert!(!group.instances[0].is_ready && !group.instances[1].is_ready);
    // The rate limit allows 2 calls a second; during an outage, back-off reduces calls much
    // further.
    assert!(
        group.platform.calls <= 2 * 2 * 20,
        "{} calls",
        group.platform.calls
    );
    group.set_platform_down(false);
    let ready = group.run_until(Millis(35_000), |group| group.instances[0].is_ready);
    assert!(ready.is_some());
}

/// Guards against a flood of calls to a platform that fails fast or ends every watch immediately.
#[test]
fn platform_calls_stay_within_the_rate_limit() {
    let mut group = group(1);
    let before = group.platform.calls;
    for version in 2..=202 {
        publish(&mut group, version);
        group.run_for(Millis(100));
    }
    let calls = group.platform.calls - before;
    assert!(calls <= 10 + 2 * 20 + 1, "{calls} calls in 20 s");
}

enum Fault {
    TruncatedRoot,
    TruncatedPart,
    OversizedPart,
    UnparseablePart,
}

/// Guards against an invalid value that becomes active in part, is fetched endlessly, or prevents
/// the next valid document from becoming active.
#[yare::parameterized(
    truncated_root = { Fault::TruncatedRoot },
    truncated_part = { Fault::TruncatedPart },
    oversized_part = { Fault::OversizedPart },
    unparseable_part = { Fault::UnparseablePart },
)]
fn invalid_value_leaves_the_active_document_unchanged(fault: Fault) {
    let mut group = group(4);
    let packed = packed::pack(&document(2), None).expect("packs");
    let (part, text) = packed
        .values
        .iter()
        .find(|(hash, _)| !group.platform.parts.contains_key(*hash))
        .expect("a new value");
    let mut root = packed.root.clone();
    let mut values = packed.values.clone();
    let mut bytes = text.clone();
    match fault {
        Fault::TruncatedRoot => root.truncate(root.len() - 20),
        Fault::TruncatedPart => bytes.truncate(bytes.len() / 2),
        // A page or part with a correct hash that is too large or cannot be parsed.
        Fault::OversizedPart => bytes = format!("; {}\n{text}", "x".repeat(1 << 20)),
        Fault::UnparseablePart => bytes = "nonsense".to_owned(),
    }
    match fault {
        Fault::TruncatedRoot => {}
        Fault::TruncatedPart => {
            values.insert(*part, bytes);
        }
        Fault::OversizedPart | Fault::UnparseablePart => {
            let hash = packed::content_hash(bytes.as_bytes());
            let rename = |text: &String| text.replace(&part.to_string(), &hash.to_string());
            values = values
                .values()
                .map(rename)
                .map(|text| (packed::content_hash(text.as_bytes()), text))
                .collect();
            let page = packed
                .values
                .iter()
                .find(|(_, text)| text.contains(&part.to_string()));
            root = match page {
                Some((old, text)) => {
                    let new = packed::content_hash(rename(text).as_bytes());
                    root.replace(&old.to_string(), &new.to_string())
                }
                None => rename(&root),
            };
            values.insert(hash, bytes);
        }
    }
    let values = values.into_iter();
    let values = values.map(|(hash, text)| (hash, text.into_bytes()));
    group.platform.parts.extend(values);
    group.set_root(root.into_bytes());
    group.run_for(Millis(5_000));
    let calls = group.platform.calls;
    group.run_for(Millis(120_000));
    assert!(all_at(&group, 1));
    let calls = group.platform.calls - calls;
    // A truncated part does not get its document rejected, since another source may have the
    // complete one; it is fetched again with back-off. Apart from that, each instance renews
    // watches of 30 and 60 s.
    let is_truncated_part = matches!(fault, Fault::TruncatedPart);
    assert!((0..4).all(|index| rejection_count(&group, index) == usize::from(!is_truncated_part)));
    assert!(
        calls <= 4 * if is_truncated_part { 20 } else { 8 },
        "{calls} calls"
    );
    publish(&mut group, 3);
    let time = group.run_until(Millis(2_000), |group| all_at(group, 3));
    assert!(time.is_some());
    assert_never_reverted(&group);
}

/// Guards against a root that is truncated in transit and then rejected permanently.
#[test]
fn root_truncated_in_transit_is_read_again() {
    let mut group = group(1);
    let packed = packed::pack(&document(2), None).expect("packs");
    for (hash, text) in packed.values {
        group.platform.parts.insert(hash, text.into_bytes());
    }
    let mut bytes = packed.root.clone().into_bytes();
    group.platform.root = Some(bytes.clone());
    bytes.truncate(bytes.len() - 20);
    let event = ControlEvent::PlatformResponse {
        key: PlatformKey::Root,
        outcome: PlatformOutcome::Value {
            bytes,
            etag: etag_of(packed.root.as_bytes()),
        },
    };
    group.deliver(0, event);
    group.run_for(Millis(1_000));
    assert_eq!(group.version(0), 2);
}

/// Guards against memory use that grows with the number of changes, and against a call budget that
/// is used up for roots that are superseded before their values are read.
#[test]
fn frequent_changes_neither_accumulate_values_nor_delay_activation() {
    let mut group = group(2);
    let held_bytes = |group: &Group| {
        let control = group.instances[0].control.as_ref();
        control.expect("a running instance").held_bytes()
    };
    let before = held_bytes(&group);
    for version in 2..=50 {
        publish(&mut group, version);
        group.run_for(Millis(1_000));
    }
    // A change takes three calls, so at 2 calls a second the active document is at most two
    // versions behind.
    assert!(group.version(0) >= 48, "{}", group.version(0));
    group.run_for(Millis(3_000));
    assert_eq!(group.version(0), 50);
    assert!(held_bytes(&group) <= before + 64);
}

/// Guards against documents that no longer reach a failure domain after its root watchers stopped.
#[test]
fn root_watchers_are_replaced_when_they_die_or_leave() {
    let mut group = group(16);
    for _ in 0..2 {
        let watchers: Vec<_> = (0..16)
            .filter(|&index| group.is_watching_root(index))
            .collect();
        group.kill(watchers[0]);
        group.deliver(watchers[1], ControlEvent::Stop);
    }
    group.run_for(Millis(3_000));
    let watchers = (0..16)
        .filter(|&index| group.is_watching_root(index))
        .count();
    assert!(watchers >= 8, "{watchers} watches");
    publish(&mut group, 2);
    group.run_for(Millis(1_000));
    let alive = |index: &usize| group.instances[*index].control.is_some();
    assert!((0..16).filter(alive).all(|index| group.version(index) == 2));
}

/// Guards against a group in which every instance watches the root, which the platform could not
/// serve at the fleet size of the design.
#[test]
fn two_instances_per_failure_domain_watch_the_root() {
    let mut group = group(32);
    // The first watches were started before the peers were known.
    publish(&mut group, 2);
    group.run_for(Millis(31_000));
    let watchers: Vec<_> = (0..32)
        .filter(|&index| group.is_watching_root(index))
        .collect();
    assert_eq!(watchers.len(), 8, "{watchers:?}");
}

/// Guards against a fetch that depends on the first peer that announced the document.
#[test]
fn failed_fetch_is_retried_from_another_peer() {
    let mut group = group(8);
    publish_to(&mut group, 2, &[0, 4]);
    let is_read = |group: &Group| group.version(0) == 2 && group.version(4) == 2;
    group.run_until(Millis(1_000), is_read).expect("read");
    group.kill(0);
    let is_spread = |group: &Group| (1..8).all(|index| group.version(index) == 2);
    group
        .run_until(Millis(2_000), is_spread)
        .expect("fetched from another peer");
}

/// Guards against a document that never becomes active because the peer that announced it serves
/// none of its values.
#[test]
fn values_that_no_peer_serves_come_from_the_platform() {
    let mut group = group(2);
    group.instances[0].refuses_fetches = true;
    publish_to(&mut group, 2, &[0]);
    group.run_for(Millis(1_000));
    assert_eq!((group.version(0), group.version(1)), (2, 1));
    group.platform.stale_roots.clear();
    group.set_root(group.platform.root.clone().expect("a root"));
    group.run_for(Millis(4_000));
    assert_eq!(group.version(1), 2);
}

/// Guards against instances that fetch and hold values that only other groups need.
#[test]
fn only_the_services_of_the_group_are_fetched() {
    let mut settings = ControlSettings::default();
    settings.rollout.services = vec!["service-0007".parse().expect("a name")];
    let mut group = Group::new(2, settings, Links::default(), 1);
    let mut document = fixture::uniform_document(64, 4);
    group.publish(&document).expect("packs");
    group.start_all();
    group.run_for(SETTLE_MS);
    let view = group.instances[0].view.as_ref().expect("a view");
    assert_eq!(view.document.services.len(), 1);
    let before = group.instances[0].traffic.value_bytes;
    let root_bytes = group.platform.root.as_ref().expect("a root").len() as u64;
    document.version = Version(2);
    let other = document
        .services
        .get_mut(&"service-0008".parse().expect("a name"));
    other.expect("a service").targets.pop_first();
    group.publish(&document).expect("packs");
    group.run_for(Millis(2_000));
    assert_eq!(group.version(0), 2);
    // The root may come from the platform and from the peer; no other value of this group changed.
    assert!(group.instances[0].traffic.value_bytes - before <= 2 * root_bytes);
}

/// Guards against parts that are fetched again although they are held.
#[test]
fn change_of_one_service_transfers_only_its_part() {
    let mut group = group(8);
    let before: Vec<_> = group
        .instances
        .iter()
        .map(|instance| instance.traffic.value_bytes)
        .collect();
    let packed = packed::pack(&document(2), None).expect("packs");
    let changed: usize = packed
        .values
        .iter()
        .filter(|(hash, _)| !group.platform.parts.contains_key(*hash))
        .map(|(_, text)| text.len())
        .sum();
    publish(&mut group, 2);
    group.run_for(Millis(2_000));
    for (instance, before) in group.instances.iter().zip(before) {
        let bytes = instance.traffic.value_bytes - before;
        // The root may come from the platform and from a peer.
        assert!(bytes <= (changed + 2 * packed.root.len()) as u64, "{bytes}");
    }
}

/// Guards against the rejection of a document whose root the platform serves before its parts.
#[test]
fn document_with_a_missing_part_becomes_active_once_the_part_is_available() {
    let mut group = group(4);
    let packed = packed::pack(&document(2), None).expect("packs");
    group.set_root(packed.root.into_bytes());
    group.run_for(Millis(2_000));
    assert!(all_at(&group, 1));
    assert_eq!(rejection_count(&group, 0), 0);
    for (hash, text) in packed.values {
        group.platform.parts.insert(hash, text.into_bytes());
    }
    let time = group.run_until(Millis(31_000), |group| all_at(group, 2));
    assert!(time.is_some());
}

/// Guards against a watch that ends permanently because the driver never answers a call.
#[test]
fn lost_call_is_repeated() {
    let mut group = group(1);
    group.platform.drop_watches();
    publish(&mut group, 2);
    group.run_for(Millis(45_000));
    assert_eq!(group.version(0), 2);
}
