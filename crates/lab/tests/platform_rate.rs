//! Tests the rate limit of the simulated platform.

#![allow(clippy::expect_used)]

use balance::control::ControlSettings;
use ids::Millis;
use lab::fixture;
use lab::group::{Group, Links};

/// Guards against measuring a restart without the platform's rate limit: calls above the rate must
/// be refused, and the group must still become ready by retrying.
#[test]
fn calls_above_the_rate_are_refused_and_retried() {
    let mut group = Group::new(4, ControlSettings::default(), Links::default(), 1);
    group
        .publish(&fixture::uniform_document(4, 11))
        .expect("a document that packs");
    group.platform.call_interval_ms = Millis(1_000);
    group.start_all();
    group.run_for(Millis(10_000));
    let served = group.platform.calls - group.platform.refused;
    assert!(group.platform.refused > 0, "no call was refused");
    assert!(served <= 11, "{served} calls served in 10 s");
    let is_ready = |group: &Group| group.instances.iter().all(|instance| instance.is_ready);
    assert!(group.run_until(Millis(300_000), is_ready).is_some());
}
