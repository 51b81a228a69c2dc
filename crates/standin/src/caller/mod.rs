//! Callers of one failure domain: feeds, lookups, uploads and orders.
//!
//! They keep the contract for callers of [the frame](../../../../docs/frame.md) and check what they
//! get: whole answers by content, flows by the target that serves them.

mod flows;
mod requests;
mod workload;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::DomainName;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::MissedTickBehavior;
use wire::frame::{Frame, MAX_FRAME_BYTES};

pub use workload::{FlowLoad, RequestLoad, User, Workload};

use crate::Result;
use crate::load_result::LoadResult;
use flows::Flows;
use requests::Requests;

const TICK_INTERVAL: Duration = Duration::from_millis(2);

/// Time after the end of the load in which requests in progress may finish; longer than their
/// deadline.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(6);

/// What a caller does, from its command line.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// Where frames are sent: the fabric, or an instance.
    pub destination: SocketAddr,
    /// Failure domain of the callers.
    pub domain: DomainName,
    /// Work to generate.
    pub workload: Workload,
    /// Length of the load.
    pub duration: Duration,
    /// Seed of ids and times.
    pub seed: u64,
}

/// What flows and requests share: where to send, and what to count.
#[derive(Debug)]
struct Context {
    options: CallerOptions,
    rng: SmallRng,
    result: LoadResult,
    outgoing: Vec<Frame>,
}

/// Runs the load and returns what became of it.
pub async fn run(options: CallerOptions) -> Result<LoadResult> {
    let socket = crate::runtime::bind_udp(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let start = Instant::now();
    let load_ends_at = start + options.duration;
    let mut context = Context {
        rng: SmallRng::seed_from_u64(options.seed),
        result: LoadResult::default(),
        outgoing: Vec::new(),
        options,
    };
    let mut flows = Flows::new(&context.options.workload);
    let mut requests = Requests::new(&context.options.workload, start)?;
    let mut buffer = [0; MAX_FRAME_BYTES + 1];
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((len, _)) = received else { continue };
                let Ok(frame) = Frame::from_datagram(&buffer[..len]) else { continue };
                if frame.request == 0 {
                    flows.on_frame(Instant::now(), frame, &mut context);
                } else {
                    flows.update_token(&frame);
                    requests.on_frame(Instant::now(), frame, &mut context);
                }
            }
            _ = tick.tick() => {
                let now = Instant::now();
                let is_load_active = now < load_ends_at;
                flows.on_tick(now, is_load_active, &mut requests, &mut context);
                requests.on_tick(now, is_load_active, &mut context);
                if !is_load_active && (requests.is_idle() || now > load_ends_at + COMPLETION_TIMEOUT) {
                    break;
                }
            }
        }
        for frame in context.outgoing.drain(..) {
            if let Ok(datagram) = frame.to_datagram() {
                // A lost datagram is part of the model; it is sent again.
                let _ = socket.send_to(&datagram, context.options.destination).await;
            }
        }
    }
    flows.close_all(&mut context);
    for frame in context.outgoing.drain(..) {
        if let Ok(datagram) = frame.to_datagram() {
            let _ = socket.send_to(&datagram, context.options.destination).await;
        }
    }
    requests.add_latencies_to(&mut context.result);
    Ok(context.result)
}
