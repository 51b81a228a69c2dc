//! Loopback addresses, time and the record of a run.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Ports that every machine of the run uses, each on its own loopback address.
#[derive(Clone, Copy)]
pub struct Ports {
    pub data: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
    pub server: u16,
    pub store: u16,
}

/// Loopback network of this run: `127.x.y.0/24`, derived from the process id.
#[derive(Clone, Copy)]
pub struct Net {
    prefix: [u8; 2],
    pub ports: Ports,
}

impl Net {
    /// Chooses a network whose ports are free on the addresses that the run uses.
    pub fn choose() -> Self {
        let id = std::process::id();
        for attempt in 0..50u32 {
            let number = id.wrapping_add(attempt * 7919);
            let prefix = [(number % 200) as u8 + 20, (number / 200 % 250) as u8 + 1];
            let base = 21_000 + (number % 900) as u16 * 10;
            let ports = Ports {
                data: base,
                ready: base + 1,
                control: base + 2,
                internal: base + 3,
                server: base + 5,
                store: base + 6,
            };
            let net = Self { prefix, ports };
            if net.is_free() {
                return net;
            }
        }
        eprintln!("no free loopback network");
        std::process::exit(2);
    }

    pub fn host(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], last)
    }

    /// Checks all addresses beforehand, so that no program fails to bind one once processes run.
    fn is_free(&self) -> bool {
        let Ports {
            data,
            ready,
            control,
            internal,
            server,
            store,
        } = self.ports;
        let is_tcp_free = [1, 10, 11].iter().all(|last| {
            let host = self.host(*last);
            [ready, control, internal, store]
                .iter()
                .all(|port| TcpListener::bind((host, *port)).is_ok())
        });
        is_tcp_free
            && (10..=101).all(|last| {
                let host = self.host(last);
                [data, server]
                    .iter()
                    .all(|port| UdpSocket::bind(SocketAddrV4::new(host, *port)).is_ok())
            })
    }
}

/// Writes what was sent, answered and run, with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            std::process::exit(2);
        });
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        // The record is for people; the verdict does not depend on it.
        let _ = writeln!(file, "{now:9.3} {}", text.as_ref());
    }
}
