//! Simulated store, targets and callers around real `pollenpin-edge` processes on loopback.
//!
//! Each test has its own loopback network, so that all processes can use the same ports.

#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

pub mod caller;
pub mod instance;
pub mod proxy;
pub mod store;
pub mod target;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use caller::Caller;
use instance::Instance;
use serde_json::json;
use steer::TargetId;
use store::Store;
use target::Target;

/// Port for packets on all instances and callers.
pub const PACKET_PORT: u16 = 21_000;
pub const READY_PORT: u16 = 21_001;
pub const PEER_PORT: u16 = 21_002;
pub const METRICS_PORT: u16 = 21_003;
const STORE_PORT: u16 = 21_009;
pub const PROXY_PORT: u16 = 21_010;
pub const LINK_MBPS: u32 = 1_000;
const TARGET_PORT: u16 = 8_000;

/// Last octet of the address of the first instance.
const INSTANCE_OCTET: u8 = 10;

/// Entry of the default route.
pub const ENTRY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443);

static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

/// Loopback network of one test.
pub struct TestNetwork {
    prefix: [u8; 2],
    pub store: Store,
    pub targets: Vec<Target>,
    pub caller: Caller,
}

impl TestNetwork {
    /// Starts a store with one route and `target_count` targets in failure domain `a`.
    pub async fn new(target_count: u8) -> Self {
        let process_octet = (std::process::id() % 250) as u8 + 2;
        let prefix = [process_octet, NEXT_NETWORK.fetch_add(1, Ordering::Relaxed)];
        for last in INSTANCE_OCTET..=u8::MAX {
            instance::remove_log(loopback_host(prefix, last));
        }
        let store = Store::start(SocketAddr::from((loopback_host(prefix, 1), STORE_PORT))).await;
        let caller = Caller::bind(SocketAddrV4::new(loopback_host(prefix, 100), PACKET_PORT)).await;
        let mut net = Self {
            prefix,
            store,
            targets: Vec::new(),
            caller,
        };
        net.store.put("op/config", &document(1, &[ENTRY]));
        for index in 0..target_count {
            net.add_target(index).await;
        }
        net
    }

    pub async fn add_target(&mut self, index: u8) {
        let target = self.new_target(index, "a").await;
        self.targets.push(target);
    }

    /// Starts a target in a failure domain, which reports to the store.
    pub async fn new_target(&self, index: u8, domain: &'static str) -> Target {
        let mut target = self.start_target(index, 0x10 + u64::from(index)).await;
        target.domain = domain;
        self.report_ready(&target);
        target
    }

    /// Starts a target with a chosen identity, which reports to the store.
    pub async fn new_target_with_id(&self, index: u8, id: u64) -> Target {
        let target = self.start_target(index, id).await;
        self.report_ready(&target);
        target
    }

    /// Starts a target that does not report.
    pub async fn start_target(&self, index: u8, id: u64) -> Target {
        let address = SocketAddrV4::new(loopback_host(self.prefix, 20 + index), TARGET_PORT);
        Target::start(id, address, PACKET_PORT).await
    }

    fn report_ready(&self, target: &Target) {
        self.store
            .put(&target.store_key(), &target.store_record("ready"));
    }

    pub fn instance_host(&self, index: u8) -> Ipv4Addr {
        loopback_host(self.prefix, INSTANCE_OCTET + index)
    }

    /// Returns an address for a further caller.
    pub fn caller_host(&self, index: u8) -> Ipv4Addr {
        loopback_host(self.prefix, 100 + index)
    }

    pub fn packet_address(&self, index: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.instance_host(index), PACKET_PORT)
    }

    /// Starts an instance in failure domain `a` with the first two instances as its seeds.
    pub fn start(&self, index: u8) -> Instance {
        self.start_with(index, self.store.address, LINK_MBPS)
    }

    /// Starts an instance that reaches the store at `store`. The instance with the highest
    /// bandwidth becomes the upstream peer of the others.
    pub fn start_with(&self, index: u8, store: SocketAddr, link_mbps: u32) -> Instance {
        let seeds = [self.instance_host(0), self.instance_host(1)];
        Instance::start(self.instance_host(index), &seeds, store, link_mbps)
    }

    /// Starts an instance with further lines in the section `bounds` of its settings.
    pub fn start_with_bounds(&self, index: u8, store: SocketAddr, bounds: &str) -> Instance {
        let seeds = [self.instance_host(0), self.instance_host(1)];
        let host = self.instance_host(index);
        Instance::start_with_bounds(host, &seeds, store, LINK_MBPS, bounds)
    }

    /// Opens flows until every target of the view must have got some, and returns whether one of
    /// them went to the given target.
    pub async fn uses_target(&mut self, via: SocketAddrV4, target: usize) -> bool {
        let token = TargetId(self.targets[target].id).token().0;
        for _ in 0..6 * self.targets.len() {
            if self.caller.open_flow(via).await.unwrap().token == token {
                return true;
            }
        }
        false
    }

    pub async fn start_ready(&self, index: u8) -> Instance {
        let instance = self.start(index);
        wait_until("the instance is ready", || instance.is_ready()).await;
        instance
    }
}

fn loopback_host(prefix: [u8; 2], last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, prefix[0], prefix[1], last)
}

/// Returns a document with idempotent routes from `entries` to the service `rates`.
pub fn document(version: u64, entries: &[SocketAddrV4]) -> serde_json::Value {
    let routes: Vec<_> = entries
        .iter()
        .map(|entry| {
            json!({
                "name": format!("r-{}", entry.port()),
                "host": entry.ip().to_string(),
                "prefix": format!("/{}/", entry.port()),
                "type": "safe",
                "timeout-ms": 1_200,
                "latency-goal-ms": 150,
                "priority": 2,
                "service": "rates",
            })
        })
        .collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [{"name": "rates", "health-path": "/health", "max-conns": 2_000}],
        "limits": {"idle-timeout-ms": 15_000},
    })
}

/// Polls until the condition holds. Panics after ten seconds, which is longer than every time limit
/// under test.
pub async fn wait_until<F: Future<Output = bool>>(condition: &str, mut check: impl FnMut() -> F) {
    for _ in 0..1_000 {
        if check().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting until {condition}");
}
