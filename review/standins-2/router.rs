//! The platform's routers: probe the daemons and hash flows over those in rotation (`hash = steady`).

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::Record;
use crate::store::get_status;

const PROBE_INTERVAL: Duration = Duration::from_millis(500);

struct Daemon {
    packets: SocketAddrV4,
    ready: SocketAddrV4,
    misses: u32,
    in_rotation: bool,
}

#[derive(Clone, Default)]
pub struct Router {
    daemons: Arc<Mutex<Vec<Daemon>>>,
}

impl Router {
    pub fn start(daemons: Vec<(SocketAddrV4, SocketAddrV4)>, record: &Record) -> Self {
        let daemons = daemons.into_iter().map(|(packets, ready)| Daemon {
            packets,
            ready,
            misses: 0,
            in_rotation: false,
        });
        let router = Self {
            daemons: Arc::new(Mutex::new(daemons.collect())),
        };
        let (probing, record) = (router.clone(), record.clone());
        std::thread::spawn(move || {
            loop {
                probing.probe(&record);
                std::thread::sleep(PROBE_INTERVAL);
            }
        });
        router
    }

    fn probe(&self, record: &Record) {
        let addresses: Vec<_> = self
            .daemons
            .lock()
            .unwrap()
            .iter()
            .map(|daemon| daemon.ready)
            .collect();
        for (index, address) in addresses.into_iter().enumerate() {
            let is_ready = get_status(address, "/v1/ready") == Some(200);
            let mut daemons = self.daemons.lock().unwrap();
            let daemon = &mut daemons[index];
            daemon.misses = if is_ready { 0 } else { daemon.misses + 1 };
            let in_rotation = is_ready || daemon.in_rotation && daemon.misses < 2;
            if in_rotation != daemon.in_rotation {
                daemon.in_rotation = in_rotation;
                record.line(&format!(
                    "router: {} in rotation: {in_rotation}",
                    daemon.packets
                ));
            }
        }
    }

    /// Adds a daemon, which is out of rotation until it is ready.
    pub fn add(&self, packets: SocketAddrV4, ready: SocketAddrV4) {
        let daemon = Daemon {
            packets,
            ready,
            misses: 0,
            in_rotation: false,
        };
        self.daemons.lock().unwrap().push(daemon);
    }

    pub fn in_rotation(&self) -> usize {
        self.daemons
            .lock()
            .unwrap()
            .iter()
            .filter(|daemon| daemon.in_rotation)
            .count()
    }

    /// Returns the daemon for a flow.
    pub fn instance_for(&self, src: SocketAddrV4, dst: SocketAddrV4) -> Option<SocketAddrV4> {
        let daemons = self.daemons.lock().unwrap();
        let all = daemons.iter();
        let half = daemons.len().div_ceil(2);
        let use_all = daemons.iter().filter(|daemon| daemon.in_rotation).count() < half;
        all.filter(|daemon| use_all || daemon.in_rotation)
            .map(|daemon| daemon.packets)
            .max_by_key(|packets| {
                let text = format!("{packets} {src} {dst}");
                text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
                    (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
                }) >> 16
            })
    }
}
