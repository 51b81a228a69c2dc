//! Limits on control traffic, counted in bytes and messages so that every run gives the same
//! result.

#![allow(clippy::expect_used)]

use balance::control::ControlSettings;
use balance::event::{ControlEvent, Observation};
use ids::Millis;
use lab::fixture;
use lab::group::{Group, Links, Traffic};
use wire::token::TargetId;

const MEASURED_S: u64 = 10;

/// Limit for the size of today's users, which is their "few kilobytes a second" over both
/// directions.
const TODAY_BYTES_PER_S: u64 = 5_000;

/// Runs a group of eight instances whose loads, and flow counts if `has_flows`, keep changing.
/// Returns the traffic of one instance.
fn busy_traffic(services: usize, targets: usize, has_flows: bool) -> Traffic {
    let mut group = Group::new(8, ControlSettings::default(), Links::default(), 1);
    let document = fixture::uniform_document(services, targets);
    group.publish(&document).expect("a document that packs");
    group.start_all();
    group.run_for(Millis(30_000));
    let before = group.instances[0].traffic;
    for step in 0..MEASURED_S * 20 {
        for (service, declared) in &document.services {
            for name in declared.targets.keys() {
                let target = TargetId::new(service, name);
                let count = 1 + (step % 2) as u32;
                for index in 0..8 {
                    let observation = Observation::InFlight { target, count };
                    group.deliver(
                        index,
                        ControlEvent::Observed {
                            shard: 0,
                            observation,
                        },
                    );
                    if has_flows {
                        let count = count + step as u32;
                        let observation = Observation::Flows { target, count };
                        group.deliver(
                            index,
                            ControlEvent::Observed {
                                shard: 0,
                                observation,
                            },
                        );
                    }
                }
            }
        }
        group.run_for(Millis(50));
    }
    let after = group.instances[0].traffic;
    Traffic {
        sent: after.sent - before.sent,
        sent_bytes: after.sent_bytes - before.sent_bytes,
        received: after.received - before.received,
        received_bytes: after.received_bytes - before.received_bytes,
        value_bytes: after.value_bytes - before.value_bytes,
    }
}

/// Guards against control traffic above the design limit of 21 KB/s over both directions, and above
/// the "few KB/s" that today's users accept.
#[yare::parameterized(
    today = { 2, 9, TODAY_BYTES_PER_S },
    design_size = { 4, 11, 11_000 },
    many_targets = { 16, 22, 21_000 },
)]
fn control_traffic_stays_within_its_budget(services: usize, targets: usize, max_bytes_per_s: u64) {
    let traffic = busy_traffic(services, targets, false);
    let bytes_per_s = (traffic.sent_bytes + traffic.received_bytes) / MEASURED_S;
    assert!(bytes_per_s <= max_bytes_per_s, "{bytes_per_s} B/s");
    let heartbeats_per_s = traffic.sent / MEASURED_S;
    assert!(
        heartbeats_per_s <= 7 * 5,
        "{heartbeats_per_s} heartbeats a second"
    );
}

/// Guards against flow counts that raise control traffic above the design limit of 21 KB/s or cause
/// additional heartbeats. Flow counts are reported for at most 341 targets.
#[yare::parameterized(
    today = { 2, 9, TODAY_BYTES_PER_S },
    design_size = { 4, 11, 12_000 },
    most_counts = { 11, 31, 21_000 },
)]
fn flow_counts_stay_within_the_budget(services: usize, targets: usize, max_bytes_per_s: u64) {
    let traffic = busy_traffic(services, targets, true);
    let bytes_per_s = (traffic.sent_bytes + traffic.received_bytes) / MEASURED_S;
    assert!(bytes_per_s <= max_bytes_per_s, "{bytes_per_s} B/s");
    let heartbeats_per_s = traffic.sent / MEASURED_S;
    assert!(
        heartbeats_per_s <= 7 * 5,
        "{heartbeats_per_s} heartbeats a second"
    );
}
