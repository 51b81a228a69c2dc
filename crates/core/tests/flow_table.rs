//! Size, eviction and expiry of the flow table, and the state chart.

#![allow(clippy::expect_used)]

mod kit;

use balance::event::{CounterEvent, ShardAction, ShardEvent};
use balance::flow::{AffinityMethod, FlowSettings};
use balance::flow_state::{FLOW_CHART, FlowEvent, FlowState};
use balance::shard::{Shard, ShardSettings};
use ids::{Micros, Millis};
use kit::{fleet_with, flow_id, open_flows, seeded_rng, send_data};
use lab::shard_driver::{ShardDriver, open_frame};

const MAX_BYTES_PER_FLOW: f64 = 64.0;

fn driver(capacity_flows: usize) -> ShardDriver {
    let flow = FlowSettings {
        capacity_flows,
        ..FlowSettings::default()
    };
    ShardDriver::new(ShardSettings {
        flow,
        ..ShardSettings::default()
    })
}

/// Guards against a chart that does not parse, which would leave every flow in its first state.
#[test]
fn chart_is_complete() {
    chart::Chart::<FlowState, FlowEvent>::parse("flow.ini", FLOW_CHART).expect("a valid chart");
    assert_eq!(FlowState::Absent.after(FlowEvent::Open), FlowState::Opening);
    assert_eq!(
        FlowState::Closed.after(FlowEvent::Answer),
        FlowState::Closed
    );
    assert_eq!(FlowState::Lost.after(FlowEvent::Answer), FlowState::Lost);
}

/// Guards against entries and an index that exceed 64 bytes per flow at the default capacity.
#[test]
fn flow_takes_64_bytes_or_less() {
    let capacity = 500_000;
    let driver = driver(capacity);
    let flow_bytes = driver.shard.flows().allocated_bytes() as f64 / capacity as f64;
    assert!(
        flow_bytes <= MAX_BYTES_PER_FLOW,
        "{flow_bytes} bytes per flow"
    );
}

/// Guards against a table that allocates memory as it fills.
#[test]
fn full_table_has_the_memory_of_an_empty_one() {
    let mut driver = driver(1_000);
    let before = driver.shard.flows().allocated_bytes();
    for flow in 0..3_000 {
        driver.open_flow(flow_id(flow));
    }
    assert_eq!(driver.shard.flows().len(), 1_000);
    assert_eq!(driver.shard.flows().allocated_bytes(), before);
}

/// Guards against a flood of one-frame flows that evicts established flows.
#[test]
fn flood_of_opens_evicts_no_promoted_flow() {
    let mut driver = driver(1_000);
    let established: Vec<_> = (0..900).map(flow_id).collect();
    for &flow in &established {
        driver.open_flow(flow);
        driver.send_data(flow);
    }
    let mut evicted = 0;
    for flow in 1_000..21_000 {
        evicted += driver.open_flow(flow_id(flow)).evicted;
    }
    assert_eq!(evicted, 20_000 - 100);
    let evicted_established = established
        .iter()
        .filter(|flow| !driver.has_flow(**flow))
        .count();
    assert_eq!(evicted_established, 0, "established flows evicted");
}

/// Guards against a table that rejects new flows when all entries are protected.
#[test]
fn table_of_promoted_flows_still_takes_new_ones() {
    let mut driver = driver(100);
    for flow in 0..150 {
        driver.open_flow(flow_id(flow));
        driver.send_data(flow_id(flow));
    }
    assert_eq!(driver.shard.flows().len(), 100);
    assert!(driver.has_flow(flow_id(149)));
}

/// Guards against evicted flows that still count towards their target, which would seem full.
#[test]
fn evicted_flows_are_not_counted() {
    let mut driver = driver(100);
    for flow in 0..5_000 {
        driver.open_flow(flow_id(flow));
    }
    driver.tick(Millis(1_000));
    assert_eq!(driver.reported_flow_count(), 100);
}

/// Guards against idle flows that never expire, live ones that do, and a tick that scans the whole
/// table.
#[test]
fn idle_flows_expire_over_several_ticks() {
    let mut driver = driver(50_000);
    for flow in 0..50_000 {
        driver.open_flow(flow_id(flow));
    }
    driver.tick(Millis(200_000));
    // After a gap between ticks the shard drops frames of flows for 300 ms.
    driver.tick(Millis(300));
    for flow in 0..1_000 {
        driver.send_data(flow_id(flow));
    }
    driver.tick(Millis(101_000));
    let remaining = driver.shard.flows().len();
    assert!(
        remaining > 40_000,
        "one tick expired {} flows",
        50_000 - remaining
    );
    for _ in 0..20 {
        driver.tick(Millis(50));
    }
    assert_eq!(driver.shard.flows().len(), 1_000);
}

/// Guards against live flows that expire when the 32-bit times wrap after 49 days.
#[test]
fn times_may_wrap() {
    let mut driver = driver(100);
    driver.now = Micros(u64::from(u32::MAX) * 1_000) - Millis(1_000);
    driver.open_flow(flow_id(1));
    driver.send_data(flow_id(1));
    driver.tick(Millis(60_000));
    assert!(driver.has_flow(flow_id(1)));
    driver.tick(Millis(300_000));
    assert!(!driver.has_flow(flow_id(1)));
}

/// Guards against frames that reach the target of another service because two flows share an id.
#[test]
fn services_with_one_flow_id_stay_apart() {
    let mut driver = driver(100);
    let mut actions = Vec::new();
    for service in ["rates", "submissions"] {
        let mut frame = open_frame(flow_id(7));
        frame.service = service.to_owned();
        driver.handle_caller_frame(frame, &mut actions);
    }
    let services: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            ShardAction::SendToTarget { frame, .. } => {
                Some(frame.target.starts_with(&frame.service))
            }
            _ => None,
        })
        .collect();
    assert_eq!(services, [true, true]);
}

/// Guards against a shard that forwards or answers frames before it has a view.
#[test]
fn shard_without_view_drops_frames() {
    let mut shard = Shard::new(ShardSettings::default(), wire::seal::Keys::new("k", None));
    let mut out = Vec::new();
    let event = ShardEvent::CallerFrame {
        from: lab::fixture::address(0, 1),
        frame: open_frame(1),
    };
    shard.handle(Micros(0), event, &mut out);
    assert!(matches!(
        out.as_slice(),
        [ShardAction::Count(CounterEvent::Dropped(_))]
    ));
}

/// Guards against flows with tokens that break when evicted; they need no table entry.
#[test]
fn evicted_token_flows_survive() {
    let mut net = fleet_with(FlowSettings {
        method: AffinityMethod::Token,
        capacity_flows: 16,
        ..FlowSettings::default()
    });
    let mut random = seeded_rng(1);
    let flows = open_flows(&mut net, &mut random, 0, 500, true);
    send_data(&mut net, &mut random, &flows);
    kit::check_invariants(&mut net, &mut random, &flows);
}
