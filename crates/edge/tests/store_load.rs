//! Tests that a failure domain puts little load on the store: when all instances start at once, and
//! while the store is down.

#![allow(clippy::unwrap_used)]

mod kit;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kit::instance::Instance;
use kit::proxy::{Impairment, Proxy};
use kit::store::Mode;
use kit::{ENTRY, LINK_MBPS, PROXY_PORT, TestNetwork, document, wait_until};

const INSTANCE_COUNT: u8 = 12;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[tokio::test]
        async fn $name() $body
    )*};
}

async fn wait_until_all_ready(instances: &[Instance]) {
    for instance in instances {
        wait_until("the instance is ready", || instance.is_ready()).await;
    }
}

/// Starts instances that reach the store at `store` and follow the first of them.
fn start_all(net: &TestNetwork, store: SocketAddr) -> Vec<Instance> {
    (0..INSTANCE_COUNT)
        .map(|index| {
            let link_mbps = if index == 0 { 2 * LINK_MBPS } else { LINK_MBPS };
            net.start_with(index, store, link_mbps)
        })
        .collect()
}

cases! {
    // After a failure of all instances they read at the same time what the store holds. In a large
    // fleet the store's link was saturated for more than a second, in which no instance served.
    simultaneous_starts_take_their_first_view_from_peers => {
        let net = TestNetwork::new(2).await;
        let address = SocketAddr::from((net.instance_host(0), PROXY_PORT));
        let proxy = Proxy::start(address, net.store.address).await;
        proxy.set_impairment(Impairment::Delayed);
        let instances = start_all(&net, proxy.address);
        wait_until_all_ready(&instances).await;
        let mut readings = 0;
        for instance in &instances {
            readings += usize::from(instance.log_contains("store read"));
        }
        assert!(readings <= 4, "{readings} instances read everything from the store");
    }

    // The best peer of a failure domain may accept followers but never get a view.
    instance_whose_peers_have_no_view_reads_the_store => {
        let net = TestNetwork::new(8).await;
        let unreachable = SocketAddr::from((net.caller_host(2), 9));
        let first = net.start_with(0, unreachable, 2 * LINK_MBPS);
        wait_until("the endpoint answers", || async { first.readiness_status().await.is_some() })
            .await;
        let started_at = Instant::now();
        let second = net.start(1);
        wait_until("the instance is ready", || second.is_ready()).await;
        assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
    }

    // Every call to the store is charged, also a refused one. The best instance calls often enough
    // to notice within a second that the store is back.
    followers_call_an_unavailable_store_rarely => {
        let net = TestNetwork::new(1).await;
        let instances = start_all(&net, net.store.address);
        wait_until_all_ready(&instances).await;
        tokio::time::sleep(Duration::from_secs(6)).await;
        let calls_before = net.store.call_count();
        net.store.set_mode(Mode::Unavailable);
        tokio::time::sleep(Duration::from_secs(6)).await;
        let calls = net.store.call_count() - calls_before;
        // The reader calls after 50 ms, 100 ms, 200 ms, 400 ms and then every 800 ms; each of the
        // others at most once in half the change limit of 3 s, and once when the outage begins.
        let budget = 14 + 5 * (usize::from(INSTANCE_COUNT) - 1);
        assert!(calls <= budget, "{calls} calls");
        net.store.set_mode(Mode::Up);
        let started_at = Instant::now();
        net.store.put("op/config", &document(2, &[ENTRY]));
        for instance in &instances {
            wait_until("the change is in force", || async {
                instance.metric_sum("document_version").await == 2.0
            })
            .await;
        }
        assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
    }
}
