//! A target: flows with periodic pushes, requests on a few slots, and reports that may mislead.
//!
//! It keeps the contract for targets of [the frame](../../../../docs/frame.md): it detects no
//! duplicates, and it never runs a request that it refused or cancelled.

mod http;
mod state;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::{ServiceName, TargetName};
use tokio::net::UdpSocket;
use wire::frame::{Frame, MAX_FRAME_BYTES};

pub use http::router;
pub use state::{Behaviour, Record, RequestRun, SharedTarget, Target};

use crate::Result;

/// Time between two looks at what is due; service times are rounded up to it.
const TICK_INTERVAL: Duration = Duration::from_millis(1);

/// What a target is, from its command line.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Service.
    pub service: ServiceName,
    /// Name within the service.
    pub name: TargetName,
    /// Requests run at once.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub max_queue_len: usize,
    /// Flows held at once.
    pub max_flows: usize,
    /// Time between two pushes of a feed.
    pub push_interval_ms: u64,
    /// Length of the cold start, during which requests take four times as long.
    pub cold_start_ms: u64,
}

/// Serves frames on `listen` until the process ends.
pub async fn serve(listen: SocketAddr, shared: SharedTarget) -> Result<()> {
    let socket = crate::runtime::bind_udp(listen)?;
    let mut buffer = [0; MAX_FRAME_BYTES + 1];
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut outgoing = Vec::new();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((len, from)) = received else { continue };
                match Frame::from_datagram(&buffer[..len]) {
                    Ok(frame) => shared.with(|target| target.on_frame(Instant::now(), from, frame, &mut outgoing)),
                    Err(_) => shared.with(|target| target.record.malformed += 1),
                }
            }
            _ = tick.tick() => shared.with(|target| target.on_tick(Instant::now(), &mut outgoing)),
        }
        send_frames(&socket, &mut outgoing).await;
    }
}

async fn send_frames(socket: &UdpSocket, outgoing: &mut Vec<(SocketAddr, Frame)>) {
    for (to, frame) in outgoing.drain(..) {
        if let Ok(datagram) = frame.to_datagram() {
            // A lost datagram is part of the model; the caller sends again.
            let _ = socket.send_to(&datagram, to).await;
        }
    }
}
