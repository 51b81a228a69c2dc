//! Load generator: the callers of one failure domain with their feeds, lookups, uploads and orders.
//!
//! It follows the rules for callers of [the frame](../../../../docs/frame.md) and validates what it
//! receives: the content of complete answers, and that a flow stays on its target.

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

/// Time that pending requests have to finish after the end of the load. It exceeds their deadline.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(6);

/// Settings of the load generator.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// Address that frames are sent to: the fabric or an instance.
    pub destination: SocketAddr,
    /// Failure domain of the callers.
    pub domain: DomainName,
    /// Flows and requests to generate.
    pub workload: Workload,
    /// Duration of the load.
    pub duration: Duration,
    /// Seed of the random ids and intervals.
    pub seed: u64,
}

/// State that flows and requests share: settings, random numbers, result and outgoing frames.
#[derive(Debug)]
struct Context {
    options: CallerOptions,
    rng: SmallRng,
    result: LoadResult,
    outgoing: Vec<Frame>,
}

/// Generates the load and returns the outcome of its flows and requests.
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
                if !is_load_active
                    && (requests.is_idle() || now > load_ends_at + COMPLETION_TIMEOUT)
                {
                    break;
                }
            }
        }
        for frame in context.outgoing.drain(..) {
            if let Ok(datagram) = frame.to_datagram() {
                // A send error is treated like a lost datagram: the frame is resent later.
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
