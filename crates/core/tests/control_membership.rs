//! Membership, tested with simulated time, see docs/design.md, section 7.

#![allow(clippy::expect_used)]

use balance::control::ControlSettings;
use balance::event::{ControlEvent, ControlLogEvent, Observation, PeerChange};
use balance::view::Epoch;
use ids::{Millis, ServiceName, TargetName};
use lab::fixture;
use lab::group::{Group, Links};
use wire::peer::{Body, Heartbeat, InstanceInfo, LifecycleState, PeerMessage};
use wire::token::TargetId;

/// Time in which a started group becomes ready.
const SETTLE_MS: Millis = Millis(4_000);

fn stopped_group(size: usize, links: Links) -> Group {
    let mut group = Group::new(size, ControlSettings::default(), links, 1);
    let document = fixture::document(&fixture::hunarmand());
    group.publish(&document).expect("a document that packs");
    group
}

fn group(size: usize) -> Group {
    let mut group = stopped_group(size, Links::default());
    group.start_all();
    group.run_for(SETTLE_MS);
    assert!((0..size).all(|index| group.instances[index].is_ready));
    group
}

fn all_indices(size: usize) -> Vec<usize> {
    (0..size).collect()
}

fn is_complete(group: &Group, index: usize) -> bool {
    let view = group.instances[index].view.as_ref().expect("a view");
    view.current_epoch().expect("an epoch").is_complete
}

fn may_own(group: &Group, index: usize) -> bool {
    group.instances[index]
        .view
        .as_ref()
        .expect("a view")
        .may_own
}

/// Guards against a group that never becomes ready after a cold start.
#[test]
fn cold_start_makes_every_instance_live() {
    let group = group(8);
    for index in 0..8 {
        assert_eq!(group.epoch(index), all_indices(8));
        assert!(is_complete(&group, index));
    }
}

/// Guards against a single instance that waits forever for peers that do not exist.
#[test]
fn instance_alone_in_the_list_serves_after_the_join_wait() {
    let mut group = stopped_group(1, Links::default());
    group.start(0);
    let ready = group.run_until(SETTLE_MS, |group| group.instances[0].is_ready);
    assert!(ready.expect("ready") <= Millis(2_200));
    assert_eq!(group.epoch(0), [0]);
}

/// Guards against queries to a new instance for flows that were opened before it joined. This
/// happens if epochs are dropped after 60 s while flows stay open for 300 s without a packet.
#[test]
fn epoch_before_a_join_is_kept_for_the_idle_time_of_flows() {
    let mut group = stopped_group(4, Links::default());
    for index in 0..3 {
        group.start(index);
    }
    group.run_for(SETTLE_MS);
    group.start(3);
    group.run_for(Millis(200_000));
    group.kill(2);
    group.run_for(SETTLE_MS);
    let view = group.instances[0].view.as_ref().expect("a view");
    let joined = fixture::instance(3);
    let is_before_join = |epoch: &Epoch| {
        epoch.peers.len() == 3 && epoch.peers.iter().all(|peer| peer.name != joined)
    };
    assert!(view.epochs.iter().any(is_before_join));
}

/// Guards against a dead owner that stays in the view, and against a live one that is removed too
/// early. The fence and the lease assume that a peer leaves the view about 2 s after its last
/// heartbeat.
#[test]
fn killed_peer_leaves_the_view_after_the_unreachable_time() {
    let mut group = group(8);
    group.kill(3);
    group.run_for(Millis(1_300));
    assert_eq!(group.epoch(0), all_indices(8));
    group.run_for(Millis(1_000));
    for index in [0, 1, 2, 4, 5, 6, 7] {
        assert_eq!(group.epoch(index), [0, 1, 2, 4, 5, 6, 7]);
        assert!(!is_complete(&group, index));
        let is_suspect = |log: &ControlLogEvent| {
            matches!(
                log,
                ControlLogEvent::PeerChanged {
                    change: PeerChange::Suspect,
                    ..
                }
            )
        };
        assert_eq!(group.count_log(index, is_suspect), 1);
    }
}

/// Guards against two owners of the same work after a one-way network failure: a peer that receives
/// heartbeats but whose own are lost must not continue to act as an owner.
#[test]
fn one_way_cut_removes_each_from_the_view_of_the_other() {
    let mut group = group(2);
    group.block_link(0, 1);
    group.run_for(Millis(2_500));
    assert_eq!(group.epoch(0), [0]);
    assert_eq!(group.epoch(1), [1]);
    group.restore_links();
    group.run_for(Millis(1_000));
    assert_eq!(group.epoch(0), [0, 1]);
    assert_eq!(group.epoch(1), [0, 1]);
}

/// Guards against sides of a partition that keep each other as owners, or that do not rejoin after
/// it ends.
#[test]
fn partition_is_detected_on_both_sides_and_heals() {
    let mut group = group(8);
    // Instances are assigned to the four failure domains round-robin.
    let (left, right) = ([0, 1, 4, 5], [2, 3, 6, 7]);
    group.block_links(&left, &right);
    group.run_for(Millis(2_500));
    assert_eq!(group.epoch(0), left);
    assert_eq!(group.epoch(2), right);
    assert!(may_own(&group, 0) && may_own(&group, 2));
    assert!(!is_complete(&group, 0));
    let view = group.instances[0].view.as_ref().expect("a view");
    assert_eq!(
        view.current_epoch().expect("an epoch").listed_domains.len(),
        4
    );
    group.restore_links();
    group.run_for(Millis(1_000));
    for index in 0..8 {
        assert_eq!(group.epoch(index), all_indices(8));
    }
}

/// Guards against an instance that resumes after a pause, when others have taken over, and still
/// acts as an owner because of heartbeats that waited in its socket buffer.
#[yare::parameterized(
    between_lease_and_unreachable = { 1_500 },
    long = { 30_000 },
)]
fn paused_instance_loses_its_lease_until_it_has_exchanged_heartbeats(pause_ms: u64) {
    let mut group = group(4);
    group.pause(1, Millis(pause_ms));
    group.run_for(Millis(pause_ms - 1));
    let is_removed = pause_ms > 2_000;
    assert_eq!(group.epoch(0).contains(&1), !is_removed);
    let resumed = group.run_until(Millis(100), |group| !may_own(group, 1));
    assert!(
        resumed.is_some(),
        "the instance may still own work after the pause"
    );
    assert!(!group.instances[1].is_ready);
    assert!(!group.epoch(1).contains(&1));
    // Heartbeats in the socket buffer are old; new ones arrive only after one link delay.
    group.run_for(Millis(4));
    assert!(!may_own(&group, 1));
    group.run_for(Millis(1_000));
    assert!(may_own(&group, 1) && group.instances[1].is_ready);
    for index in 0..4 {
        assert_eq!(group.epoch(index), all_indices(4));
    }
}

/// Guards against a lease that is renewed by old heartbeats alone when an instance resumes after a
/// pause and is cut off from its peers.
#[test]
fn instance_that_resumes_cut_off_waits_until_peers_count_as_unreachable() {
    let mut group = group(4);
    group.pause(1, Millis(10_000));
    group.run_for(Millis(9_990));
    group.block_links(&[1], &[0, 2, 3]);
    group.run_for(Millis(1_900));
    assert!(!may_own(&group, 1));
    group.run_for(Millis(300));
    assert!(may_own(&group, 1));
    assert_eq!(group.epoch(1), [1]);
}

/// Guards against a restarted process that inherits the ownership of the previous process, whose
/// records are lost.
#[test]
fn restart_under_the_same_address_interrupts_the_ownership_of_the_peer() {
    let mut group = group(4);
    let epochs = |group: &Group| {
        group.instances[0]
            .view
            .as_ref()
            .expect("a view")
            .epochs
            .clone()
    };
    let before = epochs(&group).len();
    group.kill(2);
    group.start(2);
    group.run_for(Millis(3_000));
    assert_eq!(group.epoch(0), all_indices(4));
    let new = epochs(&group).split_off(before);
    assert!(new.iter().any(|epoch| epoch.peers.len() == 3));
    let is_restart = |log: &ControlLogEvent| {
        matches!(
            log,
            ControlLogEvent::PeerChanged {
                change: PeerChange::Restarted,
                ..
            }
        )
    };
    assert_eq!(group.count_log(0, is_restart), 1);
}

fn heartbeat(from: &str, incarnation: u64, heartbeat: Heartbeat) -> ControlEvent {
    ControlEvent::PeerMessage(PeerMessage {
        from: from.to_owned(),
        incarnation,
        body: Some(Body::Heartbeat(heartbeat)),
    })
}

/// Guards against delayed messages of an old incarnation, and duplicate or reordered messages of
/// the current one, that overwrite newer state.
#[yare::parameterized(
    old_incarnation = { 999_999, 1_000 },
    old_sequence = { 1_000_000, 1 },
)]
fn outdated_heartbeat_is_ignored(incarnation: u64, sequence: u64) {
    let mut group = group(2);
    let outdated = Heartbeat {
        state: LifecycleState::Leaving.into(),
        sequence,
        ..Heartbeat::default()
    };
    group.deliver(0, heartbeat("i2", incarnation, outdated));
    assert_eq!(group.epoch(0), [0, 1]);
}

/// Guards against a new instance that cannot join its group while the published list is outdated.
#[test]
fn unlisted_instance_is_accepted_as_a_peer() {
    let mut group = stopped_group(4, Links::default());
    group.publish_instances(0..3);
    group.start_all();
    group.run_for(SETTLE_MS);
    for index in 0..4 {
        assert_eq!(group.epoch(index), all_indices(4));
    }
    // Like a listed peer, it is expected to be reachable until it has been silent for a long time.
    group.kill(3);
    group.run_for(Millis(3_000));
    assert!(!is_complete(&group, 0));
    group.run_for(Millis(60_000));
    assert!(is_complete(&group, 0));
}

/// Guards against instances of another group with the same key that become owners in this group.
#[test]
fn instance_of_another_group_is_not_accepted_as_a_peer() {
    let mut group = group(2);
    let instance_info = InstanceInfo {
        group: "g2".to_owned(),
        domain: "d1".to_owned(),
        peer_address: "127.0.0.1:1".to_owned(),
        grpc_address: "127.0.0.1:2".to_owned(),
    };
    let foreign = Heartbeat {
        sequence: 1,
        instance_info: Some(instance_info),
        ..Heartbeat::default()
    };
    let sent = group.instances[0].traffic.sent;
    group.deliver(0, heartbeat("x1", 1, foreign));
    assert_eq!(group.instances[0].traffic.sent, sent);
}

/// Guards against a view that counts as complete although a listed peer is unreachable, and against
/// one that stays incomplete after that peer was removed from the list.
#[test]
fn listed_but_unreachable_peer_makes_the_epoch_incomplete() {
    let mut group = stopped_group(3, Links::default());
    group.start(0);
    group.start(1);
    group.run_for(SETTLE_MS);
    assert_eq!(group.epoch(0), [0, 1]);
    assert!(!is_complete(&group, 0));
    group.publish_instances(0..2);
    group.run_for(Millis(60_500));
    assert!(is_complete(&group, 0));
}

/// Guards against new work for an instance that is stopping.
#[test]
fn leaving_instance_owns_nothing_new_within_a_round_trip() {
    let mut group = group(8);
    group.deliver(5, ControlEvent::Stop);
    group.run_for(Millis(20));
    assert!(!group.instances[5].is_ready);
    for index in [0, 1, 2, 3, 4, 6, 7] {
        assert_eq!(group.epoch(index), [0, 1, 2, 3, 4, 6, 7]);
    }
    group.kill(5);
    group.run_for(Millis(3_000));
    assert!(
        is_complete(&group, 0),
        "a leaving peer may stop at any time"
    );
}

/// Guards against peers that leave the view because of packet loss and reordering alone.
#[test]
fn loss_and_reordering_remove_no_peer() {
    let links = Links {
        delay_ms: Millis(5),
        jitter_ms: Millis(40),
        loss_permille: 50,
        ..Links::default()
    };
    let mut group = stopped_group(8, links);
    group.start_all();
    group.run_for(Millis(60_000));
    let is_unreachable = |log: &ControlLogEvent| {
        matches!(
            log,
            ControlLogEvent::PeerChanged {
                change: PeerChange::Unreachable,
                ..
            }
        )
    };
    for index in 0..8 {
        assert_eq!(group.epoch(index), all_indices(8));
        assert_eq!(group.count_log(index, is_unreachable), 0);
    }
}

/// Guards against load vectors that are sent with every change of a load, and against a vector that
/// is never sent again after its datagram was lost.
#[test]
fn load_vectors_are_sent_five_times_a_second_and_survive_loss() {
    let links = Links {
        loss_permille: 200,
        ..Links::default()
    };
    let mut group = stopped_group(2, links);
    group.start_all();
    group.run_for(SETTLE_MS);
    let service: ServiceName = "rates".parse().expect("a name");
    let name: TargetName = "rates-01".parse().expect("a name");
    let target = TargetId::new(&service, &name);
    let before = group.instances[0].traffic;
    for count in 1..=250 {
        let observation = Observation::InFlight { target, count };
        group.deliver(
            0,
            ControlEvent::Observed {
                shard: 0,
                observation,
            },
        );
        group.deliver(
            0,
            ControlEvent::Observed {
                shard: 1,
                observation,
            },
        );
        group.run_for(Millis(20));
    }
    let sent = group.instances[0].traffic.sent - before.sent;
    assert!((20..=27).contains(&sent), "{sent} heartbeats in 5 s");
    let last = Observation::InFlight { target, count: 3 };
    group.deliver(
        0,
        ControlEvent::Observed {
            shard: 0,
            observation: last,
        },
    );
    group.deliver(
        0,
        ControlEvent::Observed {
            shard: 1,
            observation: last,
        },
    );
    group.run_for(Millis(2_000));
    let view = group.instances[1].view.as_ref().expect("a view");
    assert_eq!(view.targets[&target].peers_in_flight, 6);
}

/// Guards against heartbeats that exceed the size of a datagram if there are many targets, and are
/// then not sent at all, which would split the group.
#[yare::parameterized(
    largest_vector_with_flows = { 341 },
    largest_vector = { 1_024 },
    no_vector = { 3_000 },
)]
fn heartbeats_fit_a_datagram_with_any_number_of_targets(targets: usize) {
    let mut group = Group::new(2, ControlSettings::default(), Links::default(), 1);
    group
        .publish(&fixture::uniform_document(1, targets))
        .expect("a document that packs");
    group.start_all();
    group.run_for(SETTLE_MS);
    assert_eq!(group.epoch(0), [0, 1]);
    let before = group.instances[0].traffic;
    group.run_for(Millis(10_000));
    assert_eq!(group.epoch(0), [0, 1]);
    let sent = group.instances[0].traffic;
    let mean_bytes = (sent.sent_bytes - before.sent_bytes) / (sent.sent - before.sent);
    assert!(
        mean_bytes < 200,
        "an unchanged vector must not be sent: {mean_bytes} B"
    );
}
