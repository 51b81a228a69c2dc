//! Calls to peers: peer discovery and streams of their view.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use displaydoc::Display;
use ids::Millis;
use slog::{Logger, debug};
use steer::{Peer, PeerReport, Peers};
use tokio::sync::{Notify, mpsc};
use tokio_stream::Stream;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status, Streaming};
use wire::steering::relay_client::RelayClient;
use wire::steering::{FollowRequest, MeetReply, MeetRequest, Peer as WirePeer, ViewPart};

use crate::clock::Clock;
use crate::relay::lock;
use crate::store_timing::PEER_OPEN_TIMEOUT;
use crate::view_reader::LoopEvent;

/// Timeout for connecting to a peer and for short calls. The round trip to a peer takes a few
/// milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of discovery rounds after the start that use the short interval. All instances of a
/// failure domain often start together, and the seeds learn of them only then.
const STARTUP_ROUNDS: u32 = 4;
const STARTUP_INTERVAL: Duration = Duration::from_millis(500);

/// The same number for an instance that has no view yet. It covers most outages of the store, and
/// bounds the calls to the seeds if a whole fleet starts while the store is down.
const ROUNDS_WITHOUT_VIEW: u32 = 8;

/// Interval of later discovery rounds, and thus the time within which a better peer is found.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum time between two losses of a peer that start short rounds. A peer that accepts followers
/// and fails again and again would otherwise make all of them call the seeds all the time.
const MIN_RESTART_INTERVAL: Duration = Duration::from_secs(10);

/// An instance with an upstream peer calls the seeds in one of this many rounds. Seeds may be far
/// away, and the upstream peer already calls them in every round.
const ROUNDS_PER_SEED_CALL: u32 = 12;

/// Maximum size of a received part of a view. 75,000 targets take about 60 bytes each, 4.5 MB.
const MAX_PART_BYTES: usize = 32 << 20;

/// Encodes what is known of a peer.
pub fn encode(report: &PeerReport) -> WirePeer {
    WirePeer {
        address: report.peer.address.to_string(),
        domain: report.peer.domain.to_string(),
        link_kbps: report.peer.link_kbps,
        heard_ms: report.heard_age.0,
        has_view: report.has_view,
    }
}

/// Decodes what is known of a peer. Returns `None` if its address is invalid.
pub fn decode(peer: &WirePeer) -> Option<PeerReport> {
    Some(PeerReport {
        peer: Peer {
            address: peer.address.parse().ok()?,
            domain: peer.domain.as_str().into(),
            link_kbps: peer.link_kbps,
        },
        heard_age: Millis(peer.heard_ms),
        has_view: peer.has_view,
    })
}

pub(crate) async fn connect(
    address: SocketAddr,
) -> Result<RelayClient<Channel>, tonic::transport::Error> {
    let endpoint =
        Endpoint::from_shared(format!("http://{address}"))?.connect_timeout(CALL_TIMEOUT);
    let channel = endpoint.connect().await?;
    Ok(RelayClient::new(channel).max_decoding_message_size(MAX_PART_BYTES))
}

/// Notifications between peer discovery and the reader of the view.
#[derive(Debug, Clone, Default)]
pub struct DiscoverySignals {
    /// Sent after each round.
    pub round_ended: Arc<Notify>,
    /// Requests rounds at the short interval, since many instances may have been lost.
    pub peer_lost: Arc<Notify>,
}

/// Runs discovery rounds until the process ends: calls the upstream peer and, when due, the seeds.
/// Sends the known members to the packet loop after each round.
///
/// An instance whose upstream peer failed, or that has no view yet, uses the short interval. If the
/// store and most instances fail at once, those that start again learn in this way which of the
/// others have a view.
pub async fn discover_peers(
    peers: Arc<Mutex<Peers>>,
    signals: DiscoverySignals,
    events: flume::Sender<LoopEvent>,
    seeds: Vec<SocketAddr>,
    clock: Clock,
    log: Logger,
) {
    let own = lock(&peers).own().clone();
    let is_alone = seeds.iter().all(|seed| *seed == own.address);
    let mut round = 0_u32;
    let mut restarted_at: Option<Instant> = None;
    loop {
        let upstream = lock(&peers).upstream(clock.now());
        let mut addresses: Vec<SocketAddr> = upstream.into_iter().collect();
        if upstream.is_none()
            || round < STARTUP_ROUNDS
            || round.is_multiple_of(ROUNDS_PER_SEED_CALL)
        {
            addresses.extend(&seeds);
        }
        addresses.retain(|address| *address != own.address);
        addresses.sort_unstable();
        addresses.dedup();
        let calls: Vec<_> = addresses
            .into_iter()
            .map(|address| tokio::spawn(exchange_peers(address, peers.clone(), clock, log.clone())))
            .collect();
        for call in calls {
            // A panic in one call must not stop discovery; the results of the other calls are used.
            let _ = call.await;
        }
        let (members, has_view) = {
            let mut peers = lock(&peers);
            peers.expire(clock.now());
            (peers.members(is_alone), peers.has_view())
        };
        signals.round_ended.notify_waiters();
        // The packet loop has ended if nobody receives them.
        let _ = events.send(LoopEvent::Members(members));
        round += 1;
        let short_rounds = if has_view {
            STARTUP_ROUNDS
        } else {
            ROUNDS_WITHOUT_VIEW
        };
        if round < short_rounds {
            tokio::time::sleep(STARTUP_INTERVAL).await;
            continue;
        }
        let may_restart = restarted_at.is_none_or(|at| at.elapsed() >= MIN_RESTART_INTERVAL);
        tokio::select! {
            () = tokio::time::sleep(DISCOVERY_INTERVAL) => {}
            () = signals.peer_lost.notified(), if may_restart => {
                restarted_at = Some(Instant::now());
                round = 0;
            }
        }
    }
}

/// Announces this instance to a peer and records the peers that it returns.
pub async fn exchange_peers(
    address: SocketAddr,
    peers: Arc<Mutex<Peers>>,
    clock: Clock,
    log: Logger,
) {
    let own = lock(&peers).own_report();
    let reason = match tokio::time::timeout(CALL_TIMEOUT, request_peers(address, &own)).await {
        Ok(Ok(known_peers)) => {
            let mut peers = lock(&peers);
            let now = clock.now();
            peers.record_exchange(now);
            for report in known_peers {
                peers.learn(now, report);
            }
            return;
        }
        Ok(Err(reason)) => reason,
        Err(_) => "no answer within the call timeout".to_owned(),
    };
    debug!(log, "peer not met"; "step" => "meet", "peer" => %address, "reason" => reason);
}

async fn request_peers(address: SocketAddr, own: &PeerReport) -> Result<Vec<PeerReport>, String> {
    let mut client = connect(address).await.map_err(|error| error.to_string())?;
    let request = MeetRequest {
        caller: Some(encode(own)),
    };
    let reply = client
        .meet(request)
        .await
        .map_err(|status| status.to_string())?;
    let MeetReply {
        peers,
        view_holders,
    } = reply.into_inner();
    let known = peers.iter().chain(&view_holders);
    Ok(known.filter_map(decode).collect())
}

/// Why a peer cannot be followed, or can no longer be followed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum FollowError {
    /// the peer accepts no more followers
    Full,
    /// the source of the peer does not answer
    SourceLost,
    /// {0}
    Failed(String),
}

impl From<Status> for FollowError {
    fn from(status: Status) -> Self {
        match status.code() {
            Code::ResourceExhausted => Self::Full,
            _ => Self::Failed(status.to_string()),
        }
    }
}

impl FollowError {
    /// Creates a failure from its reason.
    pub fn failed(reason: impl ToString) -> Self {
        Self::Failed(reason.to_string())
    }
}

async fn request_parts<S>(
    address: SocketAddr,
    requests: S,
) -> Result<Streaming<ViewPart>, FollowError>
where
    S: Stream<Item = FollowRequest> + Send + 'static,
{
    let mut client = connect(address).await.map_err(FollowError::failed)?;
    Ok(client.follow(requests).await?.into_inner())
}

/// Stream of a peer's view.
#[derive(Debug)]
pub struct ViewStream {
    parts: Streaming<ViewPart>,
}

impl ViewStream {
    /// Starts to follow a peer. The first of `requests` holds the revision to start from.
    pub async fn open(
        address: SocketAddr,
        requests: mpsc::Receiver<FollowRequest>,
    ) -> Result<Self, FollowError> {
        Self::open_with(address, ReceiverStream::new(requests)).await
    }

    /// Requests only the first part of a peer's view, without becoming a follower.
    pub async fn fetch_once(
        address: SocketAddr,
        request: FollowRequest,
    ) -> Result<Self, FollowError> {
        let request = FollowRequest {
            is_once: true,
            ..request
        };
        Self::open_with(address, tokio_stream::once(request)).await
    }

    async fn open_with<S>(address: SocketAddr, requests: S) -> Result<Self, FollowError>
    where
        S: Stream<Item = FollowRequest> + Send + 'static,
    {
        let parts = tokio::time::timeout(PEER_OPEN_TIMEOUT, request_parts(address, requests))
            .await
            .map_err(|_| FollowError::failed("no answer within the call timeout"))??;
        Ok(Self { parts })
    }

    /// Waits for the next part, at most for `limit`.
    pub async fn next(&mut self, limit: Duration) -> Result<ViewPart, FollowError> {
        match tokio::time::timeout(limit, self.parts.message()).await {
            Ok(Ok(Some(part))) => Ok(part),
            Ok(Ok(None)) => Err(FollowError::failed("the peer ended the stream")),
            Ok(Err(status)) => Err(status.into()),
            Err(_) => Err(FollowError::failed(
                "no message from the peer within the time limit",
            )),
        }
    }
}
