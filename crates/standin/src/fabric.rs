//! The fabric: forwards each datagram of a caller to a random ready instance.
//!
//! Instances reply to callers directly, so impairments apply only to traffic towards the instances.

use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::Router;
use axum::extract::{Query, State};
use axum::routing::{get, post};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use tokio::net::UdpSocket;
use wire::frame::{Frame, MAX_FRAME_BYTES};

use crate::{Error, Result};

/// Interval between readiness checks. A failed instance receives datagrams until the next check.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(200);
const READY_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Frame address, HTTP address and failure domain of an instance, written `udp@http@domain`.
#[derive(Debug, Clone)]
pub struct InstanceEntry {
    frame_address: SocketAddr,
    http_address: SocketAddr,
    domain: String,
}

impl std::str::FromStr for InstanceEntry {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || {
            Error::failed(
                "reading an instance",
                format!("expected udp@http@domain, got {text:?}"),
            )
        };
        let mut fields = text.split('@');
        let mut field = || fields.next().ok_or_else(invalid);
        let (frames, http, domain) = (field()?, field()?, field()?);
        Ok(Self {
            frame_address: frames.parse().map_err(|_| invalid())?,
            http_address: http.parse().map_err(|_| invalid())?,
            domain: domain.to_owned(),
        })
    }
}

/// Impairments of the traffic towards the instances, set by the query of `POST /control`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Impairment {
    /// Share of datagrams that are dropped, in thousandths.
    pub loss_permille: u32,
    /// Delay added to every datagram.
    pub delay_ms: u64,
    /// Share of datagrams delayed by a further `delay_ms` plus 5 ms, in thousandths.
    pub reorder_permille: u32,
    /// Failure domain whose callers and instances are cut off from all others; empty for none.
    #[serde(rename = "cut")]
    pub cut_domain: String,
}

/// State shared by the tasks of the fabric.
#[derive(Debug, Clone)]
struct Shared {
    impairment: Arc<Mutex<Impairment>>,
    ready_instances: Arc<Mutex<Vec<InstanceEntry>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn set_impairment(State(shared): State<Shared>, Query(impairment): Query<Impairment>) {
    *lock(&shared.impairment) = impairment;
}

/// Returns the number of instances that receive datagrams.
async fn count_ready(State(shared): State<Shared>) -> String {
    lock(&shared.ready_instances).len().to_string()
}

#[derive(Debug, PartialEq, Eq)]
struct DelayedDatagram {
    due_at: Instant,
    to: SocketAddr,
    datagram: Vec<u8>,
}

impl Ord for DelayedDatagram {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // `BinaryHeap` pops the greatest item first, so the order is reversed.
        other
            .due_at
            .cmp(&self.due_at)
            .then_with(|| other.datagram.cmp(&self.datagram))
    }
}

impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Runs the fabric until one of its tasks fails.
pub async fn serve(
    listen: SocketAddr,
    http: SocketAddr,
    entries: Vec<InstanceEntry>,
    seed: u64,
    impairment: Impairment,
) -> Result<()> {
    let shared = Shared {
        impairment: Arc::new(Mutex::new(impairment)),
        ready_instances: Arc::default(),
    };
    let router = Router::new()
        .route("/control", post(set_impairment))
        .route("/live", get(count_ready))
        .with_state(shared.clone());
    tokio::select! {
        ended = crate::runtime::serve_http(http, router) => ended,
        ended = watch_readiness(entries, shared.clone()) => ended,
        ended = forward_datagrams(listen, seed, shared.clone()) => ended,
    }
}

async fn watch_readiness(entries: Vec<InstanceEntry>, shared: Shared) -> Result<()> {
    let client = reqwest::Client::builder()
        .timeout(READY_CHECK_TIMEOUT)
        .build()
        .map_err(|error| Error::failed("creating the HTTP client", error))?;
    loop {
        let mut checks = tokio::task::JoinSet::new();
        for entry in entries.clone() {
            let client = client.clone();
            checks.spawn(async move {
                let response = client
                    .get(format!("http://{}/ready", entry.http_address))
                    .send()
                    .await;
                response
                    .is_ok_and(|response| response.status().is_success())
                    .then_some(entry)
            });
        }
        let mut ready: Vec<_> = checks.join_all().await.into_iter().flatten().collect();
        ready.sort_by_key(|entry| entry.frame_address);
        *lock(&shared.ready_instances) = ready;
        tokio::time::sleep(READY_CHECK_INTERVAL).await;
    }
}

async fn forward_datagrams(listen: SocketAddr, seed: u64, shared: Shared) -> Result<()> {
    let socket = crate::runtime::bind_udp(listen)?;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut delayed = BinaryHeap::<DelayedDatagram>::new();
    let mut buffer = [0; MAX_FRAME_BYTES + 1];
    let mut tick = tokio::time::interval(Duration::from_millis(1));
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((len, from)) = received else { continue };
                let impairment = lock(&shared.impairment).clone();
                let choice = choose_instance(
                    &shared.ready_instances,
                    &impairment,
                    &buffer[..len],
                    from,
                    &mut rng,
                );
                let Some((to, datagram)) = choice else { continue };
                if rng.random_range(0..1_000) < impairment.loss_permille {
                    continue;
                }
                let mut delay_ms = impairment.delay_ms;
                if rng.random_range(0..1_000) < impairment.reorder_permille {
                    delay_ms += impairment.delay_ms + 5;
                }
                if delay_ms == 0 {
                    // A send error is treated like a lost datagram.
                    let _ = socket.send_to(&datagram, to).await;
                } else {
                    let due_at = Instant::now() + Duration::from_millis(delay_ms);
                    delayed.push(DelayedDatagram { due_at, to, datagram });
                }
            }
            _ = tick.tick() => send_due_datagrams(&socket, &mut delayed).await,
        }
    }
}

/// Chooses an instance for a datagram, and sets the source field of its frame. Returns `None` if no
/// instance is reachable. Bytes that are not a frame are forwarded unchanged, as in a real network.
fn choose_instance(
    ready_instances: &Mutex<Vec<InstanceEntry>>,
    impairment: &Impairment,
    datagram: &[u8],
    from: SocketAddr,
    rng: &mut SmallRng,
) -> Option<(SocketAddr, Vec<u8>)> {
    let mut frame = Frame::from_datagram(datagram).ok();
    let domain = frame.as_ref().map_or("", |frame| frame.domain.as_str());
    let ready_instances = lock(ready_instances);
    let is_cut = |entry: &InstanceEntry| {
        !impairment.cut_domain.is_empty()
            && (entry.domain == impairment.cut_domain) != (domain == impairment.cut_domain)
    };
    let reachable: Vec<_> = ready_instances
        .iter()
        .filter(|entry| !is_cut(entry))
        .collect();
    if reachable.is_empty() {
        return None;
    }
    let to = reachable[rng.random_range(0..reachable.len())].frame_address;
    let datagram = match &mut frame {
        Some(frame) => {
            frame.source = from.to_string();
            frame.to_datagram().ok()?
        }
        None => datagram.to_vec(),
    };
    Some((to, datagram))
}

async fn send_due_datagrams(socket: &UdpSocket, delayed: &mut BinaryHeap<DelayedDatagram>) {
    let now = Instant::now();
    while delayed.peek().is_some_and(|next| next.due_at <= now) {
        let Some(next) = delayed.pop() else { return };
        // A send error is treated like a lost datagram.
        let _ = socket.send_to(&next.datagram, next.to).await;
    }
}
