//! Allocates free ports for processes whose addresses must be known before they start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::{Error, Result};

/// First port of the range. The range ends below 32,768, where the ephemeral ports of Linux begin,
/// so that the system does not assign a port to another socket before it is used.
const FIRST_PORT: u32 = 20_000;
const PORT_COUNT: u32 = 12_000;

/// Distance between the first ports of two processes with adjacent ids. It exceeds the number of
/// ports that one run uses.
const PORTS_PER_PROCESS: u32 = 151;

static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port is free for UDP and TCP. Within one process, ports repeat
/// only after the whole range has been tried.
pub fn find_free() -> Result<SocketAddr> {
    let base = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in 0..PORT_COUNT {
        let offset = base.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, (FIRST_PORT + offset) as u16));
        let is_free = UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok();
        if is_free {
            return Ok(address);
        }
    }
    Err(Error::failed(
        "finding a free port",
        "all ports of the range are in use",
    ))
}
