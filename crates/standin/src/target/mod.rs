//! A target: flows with periodic pushes, requests on a few slots, and health reports that can be
//! made wrong.
//!
//! It follows the rules for targets of [the frame](../../../../docs/frame.md): it does not detect
//! duplicates, and it never runs a request that it has refused or cancelled.

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

/// Interval of the timer that completes requests and sends pushes. Service times are rounded up to
/// a multiple of it.
const TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Settings of a target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Name of the target within the service.
    pub name: TargetName,
    /// Requests that run concurrently.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot.
    pub max_queue_len: usize,
    /// Maximum number of open flows.
    pub max_flows: usize,
    /// Interval between two pushes on a feed flow.
    pub push_interval_ms: u64,
    /// Duration of the cold start, in which requests take four times as long.
    pub cold_start_ms: u64,
}

/// Serves frames on `listen`; returns only if the socket cannot be bound.
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
                    Ok(frame) => shared.with(|target| {
                        target.on_frame(Instant::now(), from, frame, &mut outgoing);
                    }),
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
            // A send error is treated like a lost datagram; the caller resends its frame.
            let _ = socket.send_to(&datagram, to).await;
        }
    }
}
