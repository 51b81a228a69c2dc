//! Tests that odd entries of another writer among the reports of targets neither end an instance nor keep
//! it from following the store.

#![allow(clippy::unwrap_used)]

mod kit;

use kit::instance::Instance;
use kit::{ENTRY, TestNetwork, document, wait_until};
use serde_json::{Value, json};
use steer::TargetId;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[tokio::test]
        async fn $name() $body
    )*};
}

/// Levels of a deeply nested entry.
const LEVELS: usize = 200_000;

/// Returns entries under keys that no target has.
fn odd_entries(net: &TestNetwork) -> Vec<(String, Vec<u8>)> {
    let report = net.targets[0].store_record("ready");
    let with = |field: &str, value: Value| {
        let mut entry = report.clone();
        entry[field] = value;
        entry.to_string().into_bytes()
    };
    let nested = format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS));
    let future = report.to_string();
    let future = future.replacen('{', &format!(r#"{{"future":{nested},"#), 1);
    let future = future.replacen("ready", "gone", 1);
    let entries = [
        nested.into_bytes(),
        r#"{"a":"#.repeat(LEVELS).into_bytes(),
        future.into_bytes(),
        with("max-concurrent", json!(u32::MAX)),
        with("max-concurrent", json!(u64::MAX)),
        with("warmup-left-ms", json!(u64::MAX)),
        with("seq", json!(1e300)),
        with("addr", json!("127.0.0.1:65536")),
        with("addr", json!("127.0.0.1:0")),
        with("addr", json!("0.0.0.0:8000")),
        with("service", json!("x".repeat(500_000))),
        vec![0xff; 1_000],
        Vec::new(),
    ];
    let entries = entries.into_iter().enumerate();
    entries
        .map(|(number, entry)| (format!("servers/odd-{}", number + 0xa0), entry))
        .collect()
}

/// Checks that an instance runs, has a version of the configuration in force and sends flows to the
/// targets of the test only.
async fn assert_in_use(net: &mut TestNetwork, instance: &mut Instance, version: u64) {
    wait_until("the configuration is active", || async {
        instance.metric_sum("document_version").await == version as f64
    })
    .await;
    let tokens: Vec<u32> = net
        .targets
        .iter()
        .map(|target| TargetId(target.id).token().0)
        .collect();
    for _ in 0..30 {
        let flow = net
            .caller
            .open_flow(instance.packet_address())
            .await
            .unwrap();
        assert!(tokens.contains(&flow.token));
    }
    assert_eq!(instance.exit_code(), None);
}

cases! {
    instance_starts_among_odd_entries => {
        let mut net = TestNetwork::new(2).await;
        for (key, entry) in odd_entries(&net) {
            net.store.put_bytes(&key, &entry);
        }
        let mut instance = net.start_ready(0).await;
        assert_in_use(&mut net, &mut instance, 1).await;
        net.store.put("op/config", &document(2, &[ENTRY]));
        assert_in_use(&mut net, &mut instance, 2).await;
    }

    instance_follows_the_store_after_odd_entries => {
        let mut net = TestNetwork::new(2).await;
        let mut instance = net.start_ready(0).await;
        let entries = odd_entries(&net);
        for (key, entry) in &entries {
            net.store.put_bytes(key, entry);
        }
        net.store.put("op/config", &document(2, &[ENTRY]));
        assert_in_use(&mut net, &mut instance, 2).await;
        for (key, _) in &entries {
            net.store.delete(key);
        }
        net.store.put("op/config", &document(3, &[ENTRY]));
        assert_in_use(&mut net, &mut instance, 3).await;
    }

    // The follower takes what its peer has read.
    follower_follows_its_peer_after_odd_entries => {
        let mut net = TestNetwork::new(2).await;
        let mut reader = net.start_with(0, net.store.address, 2 * kit::LINK_MBPS);
        wait_until("the reader is ready", || reader.is_ready()).await;
        let mut follower = net.start_ready(1).await;
        wait_until("the peer is followed", || async { follower.log_contains("peer followed") })
            .await;
        for (key, entry) in odd_entries(&net) {
            net.store.put_bytes(&key, &entry);
        }
        net.store.put("op/config", &document(2, &[ENTRY]));
        assert_in_use(&mut net, &mut reader, 2).await;
        assert_in_use(&mut net, &mut follower, 2).await;
    }
}
