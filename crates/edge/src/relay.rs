//! gRPC service through which peers discover each other, follow this instance's view and exchange
//! evidence.

use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ids::Millis;
use slog::{Logger, info, warn};
use steer::{
    Applied, CallerTotal, Catalog, Evidence, PeerReport, Peers, Revision, TargetLoad, Update,
};
use tokio::sync::{Notify, Semaphore, broadcast, mpsc};
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Response, Status, Streaming};
use wire::steering::relay_server::Relay;
use wire::steering::{
    DomainLoad, Evidence as WireEvidence, FollowRequest, MeetReply, MeetRequest, ReadLoadsReply,
    ReadLoadsRequest, ViewPart,
};

use crate::caller_exchange::{self, CallerExchange};
use crate::clock::Clock;
use crate::evidence::EvidenceDeduplicator;
use crate::load_exchange::{self, LoadExchange};
use crate::remote_loads::{self, RemoteLoads};
use crate::view_reader::LoopEvent;
use crate::{evidence, peer, view_part};

/// Interval of parts that carry no changes. A follower gives up after three missing parts.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of parts queued for a slow follower. When the queue overflows, the stream ends and the
/// follower starts again, if necessary with a complete part.
const MAX_QUEUED_PARTS: usize = 64;

/// Maximum number of followers of one instance. A complete view of 10,000 targets for all of them
/// is about 20 MB, one second on a link of 200 Mbit/s. Further instances follow the followers.
const MAX_FOLLOWERS: usize = 32;

/// The published view as it was last sent to followers.
#[derive(Debug, Default)]
struct PublishedState {
    catalog: Catalog,
    is_current: bool,
}

/// Service that peers call. Clones share their state.
#[derive(Debug, Clone)]
pub struct RelayService {
    published: Arc<Mutex<PublishedState>>,
    parts: broadcast::Sender<ViewPart>,
    /// Semaphore with one permit per possible follower.
    follower_slots: Arc<Semaphore>,
    /// Request stream to the upstream peer, while there is one.
    upstream: Arc<Mutex<Option<mpsc::Sender<FollowRequest>>>>,
    /// Notified when a peer starts to follow.
    follower_joined: Arc<Notify>,
    /// Event queue of the packet loop, which receives the evidence of peers.
    events: flume::Sender<LoopEvent>,
    peers: Arc<Mutex<Peers>>,
    /// Random number that identifies evidence of this process, so that copies that come back are
    /// ignored.
    origin: u64,
    /// Sequence number of the last evidence of this process.
    sequence: Arc<AtomicU64>,
    /// Number of followers so far, which numbers them.
    follower_count: Arc<AtomicU64>,
    deduplicator: Arc<Mutex<EvidenceDeduplicator>>,
    loads: Arc<Mutex<LoadExchange>>,
    callers: Arc<Mutex<CallerExchange>>,
    remote_loads: RemoteLoads,
    clock: Clock,
    log: Logger,
}

/// Locks a mutex, also after a panic in another holder: every change is a single insert, so the
/// data stays consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RelayService {
    /// Creates a service without a view.
    pub fn new(
        peers: Arc<Mutex<Peers>>,
        events: flume::Sender<LoopEvent>,
        origin: u64,
        clock: Clock,
        log: Logger,
    ) -> Self {
        Self {
            published: Arc::default(),
            parts: broadcast::Sender::new(MAX_QUEUED_PARTS),
            follower_slots: Arc::new(Semaphore::new(MAX_FOLLOWERS)),
            upstream: Arc::default(),
            follower_joined: Arc::default(),
            events,
            peers,
            origin,
            sequence: Arc::default(),
            follower_count: Arc::default(),
            deduplicator: Arc::default(),
            loads: Arc::default(),
            callers: Arc::default(),
            remote_loads: RemoteLoads::new(log.clone()),
            clock,
            log,
        }
    }

    /// Sends evidence collected by this instance to all peers of the failure domain.
    pub fn publish_evidence(&self, evidence: &[Evidence]) {
        let evidence: Vec<WireEvidence> = evidence
            .iter()
            .map(|item| {
                let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
                evidence::encode(item, self.origin, sequence)
            })
            .collect();
        self.send_to_followers(&evidence);
        self.send_upstream(evidence);
    }

    fn send_to_followers(&self, evidence: &[WireEvidence]) {
        if !self.has_followers() {
            return;
        }
        let mut part = lock(&self.published).heartbeat_part();
        part.evidence = evidence.to_vec();
        self.send(part);
    }

    fn send_upstream(&self, evidence: Vec<WireEvidence>) {
        if let Some(upstream) = lock(&self.upstream).as_ref() {
            // A full queue means that the upstream peer is too slow; outdated evidence would not
            // help it.
            let _ = upstream.try_send(FollowRequest {
                evidence,
                ..FollowRequest::default()
            });
        }
    }

    /// Sends the loads and the openings that this instance sees on their way to all peers of the
    /// failure domain.
    pub fn publish_loads(&self, own: &[TargetLoad], own_callers: &[CallerTotal]) {
        let sums = lock(&self.loads).take_sums(Instant::now(), own);
        let callers = lock(&self.callers).take_sums(self.clock.now(), own_callers);
        let upstream = lock(&self.upstream).clone();
        let Some(upstream) = upstream else {
            let remote_loads = self.remote_loads.take(Instant::now());
            self.send_loads_down(sums, callers, remote_loads);
            return;
        };
        // A full queue means that the upstream peer is too slow; the next report replaces this one.
        let _ = upstream.try_send(FollowRequest {
            loads: Some(load_exchange::encode(&sums)),
            callers: caller_exchange::encode(&callers),
            ..FollowRequest::default()
        });
    }

    /// Asks the other failure domains for their load, unless this instance follows another one, which
    /// then does so.
    pub fn ask_remote_loads(&self) {
        let now = Instant::now();
        if lock(&self.upstream).is_some() || !self.remote_loads.is_due(now) {
            return;
        }
        let known = lock(&self.peers).other_domains();
        self.remote_loads.ask(now, known);
    }

    /// Passes the loads and the openings of the failure domain, and the loads of other ones that are
    /// new, to the packet loop and to followers.
    pub fn send_loads_down(
        &self,
        loads: Vec<TargetLoad>,
        callers: Vec<CallerTotal>,
        remote_loads: Vec<DomainLoad>,
    ) {
        // The queue is unbounded and closes only when the process ends.
        if !remote_loads.is_empty() {
            let decoded = remote_loads.iter().map(remote_loads::decode).collect();
            let _ = self.events.send(LoopEvent::RemoteLoads(decoded));
        }
        if self.has_followers() {
            let mut part = lock(&self.published).heartbeat_part();
            part.loads = Some(load_exchange::encode(&loads));
            part.callers = caller_exchange::encode(&callers);
            part.remote_loads = remote_loads;
            self.send(part);
        }
        let _ = self.events.send(LoopEvent::DomainLoads(loads));
        if !callers.is_empty() {
            let _ = self.events.send(LoopEvent::DomainCallers(callers));
        }
    }

    /// Handles evidence that the upstream peer sent.
    pub fn receive_from_upstream(&self, evidence: &[WireEvidence]) {
        let evidence = self.accept_new(evidence);
        if !evidence.is_empty() {
            self.send_to_followers(&evidence);
        }
    }

    fn receive_from_follower(&self, evidence: &[WireEvidence]) {
        let evidence = self.accept_new(evidence);
        if !evidence.is_empty() {
            self.send_to_followers(&evidence);
            self.send_upstream(evidence);
        }
    }

    /// Drops evidence of this process and duplicates, passes the rest to the packet loop and
    /// returns it.
    fn accept_new(&self, evidence: &[WireEvidence]) -> Vec<WireEvidence> {
        let mut deduplicator = lock(&self.deduplicator);
        let new: Vec<WireEvidence> = evidence
            .iter()
            .filter(|item| item.origin != self.origin && deduplicator.is_new(item))
            .copied()
            .collect();
        drop(deduplicator);
        let decoded: Vec<Evidence> = new.iter().filter_map(evidence::decode).collect();
        if !decoded.is_empty() {
            // The queue is unbounded and closes only when the process ends.
            let _ = self.events.send(LoopEvent::PeerEvidence(decoded));
        }
        new
    }

    /// Returns the first request to a peer, with the view to start from.
    pub fn first_request(&self, revision: Revision) -> FollowRequest {
        FollowRequest {
            epoch: revision.epoch,
            revision: revision.number,
            digest: lock(&self.published).catalog.digest(),
            ..FollowRequest::default()
        }
    }

    /// Opens the request stream to an upstream peer. The first request holds the revision of this
    /// instance's view.
    pub fn open_upstream(&self, revision: Revision) -> mpsc::Receiver<FollowRequest> {
        // A Tokio channel, because the stream of a `flume` receiver has a lifetime that the gRPC
        // client does not accept.
        let (queue, requests) = mpsc::channel(MAX_QUEUED_PARTS);
        // The queue is empty, so it has room for the request.
        let _ = queue.try_send(self.first_request(revision));
        *lock(&self.upstream) = Some(queue);
        requests
    }

    /// Closes the request stream to the upstream peer.
    pub fn close_upstream(&self) {
        *lock(&self.upstream) = None;
    }

    /// Publishes everything that the store holds at a revision. Returns what applies to the view of
    /// this instance as well.
    pub fn publish_snapshot(&self, revision: Revision, updates: Vec<Update>) -> Applied {
        let mut published = lock(&self.published);
        let now = self.clock.now();
        let applied = published.catalog.apply_snapshot(now, revision, updates);
        let part = published.part(true, applied.updates.iter());
        drop(published);
        self.send_encoded(part);
        applied
    }

    /// Publishes changes up to a revision. Returns what applies to the view of this instance as
    /// well.
    pub fn publish_changes(&self, revision: Revision, changes: Vec<Update>) -> Applied {
        let mut published = lock(&self.published);
        let now = self.clock.now();
        let applied = published.catalog.apply_changes(now, revision, changes);
        let part = published.part(false, applied.updates.iter());
        drop(published);
        if !applied.updates.is_empty() {
            self.send_encoded(part);
        }
        applied
    }

    /// Returns the orders in force to evacuate failure domains.
    pub fn domain_orders(&self) -> Vec<Update> {
        lock(&self.published).catalog.orders().cloned().collect()
    }

    /// Sets whether the source of this instance answers. If not, followers switch to another peer.
    pub fn set_current(&self, is_current: bool) {
        let mut published = lock(&self.published);
        if published.is_current == is_current {
            return;
        }
        published.is_current = is_current;
        let part = published.heartbeat_part();
        drop(published);
        self.send(part);
    }

    /// Waits until a peer starts to follow this instance.
    pub async fn follower_joined(&self) {
        self.follower_joined.notified().await;
    }

    /// Returns whether at least one peer follows this instance.
    pub fn has_followers(&self) -> bool {
        self.parts.receiver_count() > 0
    }

    /// Sends a part if it could be encoded. Otherwise followers keep their view until they
    /// reconnect and receive a complete part.
    fn send_encoded(&self, part: postcard::Result<ViewPart>) {
        match part {
            Ok(part) => self.send(part),
            Err(error) => warn!(self.log, "view not encoded"; "step" => "relay",
                "reason" => %error),
        }
    }

    fn send(&self, part: ViewPart) {
        // Sending fails only when there are no followers.
        let _ = self.parts.send(part);
    }

    /// Returns the first part for a follower, which is complete unless the follower has the same
    /// view, or `None` if this instance has no view yet.
    fn first_part(&self, request: &FollowRequest) -> Result<Option<ViewPart>, Status> {
        let published = lock(&self.published);
        if published.catalog.is_empty() {
            return Ok(None);
        }
        if published.is_view_of(request) {
            return Ok(Some(published.heartbeat_part()));
        }
        published
            .complete_part()
            .map(Some)
            .map_err(|error| Status::internal(error.to_string()))
    }
}

impl PublishedState {
    fn heartbeat_part(&self) -> ViewPart {
        let revision = self.catalog.revision();
        ViewPart {
            epoch: revision.epoch,
            revision: revision.number,
            is_complete: false,
            is_current: self.is_current,
            ..ViewPart::default()
        }
    }

    fn complete_part(&self) -> postcard::Result<ViewPart> {
        self.part(true, self.catalog.items())
    }

    fn part<'a>(
        &self,
        is_complete: bool,
        updates: impl Iterator<Item = &'a Update>,
    ) -> postcard::Result<ViewPart> {
        let updates: Vec<&Update> = updates.collect();
        let part = ViewPart {
            is_complete,
            ..self.heartbeat_part()
        };
        view_part::encode(part, &updates)
    }

    /// Returns whether a follower has the view of this instance.
    fn is_view_of(&self, request: &FollowRequest) -> bool {
        let revision = self.catalog.revision();
        // Earlier versions tell neither epoch nor digest.
        let has_same_items = request.epoch == 0
            || request.epoch == revision.epoch && request.digest == self.catalog.digest();
        request.revision == revision.number && has_same_items
    }
}

#[tonic::async_trait]
impl Relay for RelayService {
    async fn meet(&self, request: Request<MeetRequest>) -> Result<Response<MeetReply>, Status> {
        let caller = request
            .into_inner()
            .caller
            .as_ref()
            .and_then(peer::decode)
            .ok_or_else(|| Status::invalid_argument("no caller with a valid address"))?;
        let now = self.clock.now();
        let mut peers = lock(&self.peers);
        let mut known = vec![peers.own_report()];
        known.extend(peers.best_of_domain(now, &caller.peer.domain));
        known.extend(peers.best_of_third_domains(now, &caller.peer.domain));
        let view_holders = match caller.has_view {
            true => Vec::new(),
            false => peers.view_holders(now),
        };
        let caller = PeerReport {
            heard_age: Millis(0),
            ..caller
        };
        peers.learn(now, caller);
        drop(peers);
        Ok(Response::new(MeetReply {
            peers: known.iter().map(peer::encode).collect(),
            view_holders: view_holders.iter().map(peer::encode).collect(),
        }))
    }

    async fn read_loads(
        &self,
        _: Request<ReadLoadsRequest>,
    ) -> Result<Response<ReadLoadsReply>, Status> {
        let reply = remote_loads::query_summary(&self.events).await?;
        Ok(Response::new(reply))
    }

    type FollowStream = Pin<Box<dyn Stream<Item = Result<ViewPart, Status>> + Send>>;

    async fn follow(
        &self,
        request: Request<Streaming<FollowRequest>>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let follower = request
            .remote_addr()
            .map(|address| address.ip().to_string());
        // Subscribe before creating the first part, so that no change in between is lost.
        let live_parts = self.parts.subscribe();
        let mut requests = request.into_inner();
        let start = requests.message().await?.unwrap_or_default();
        let first = self.first_part(&start)?;
        if start.is_once {
            let part = first.ok_or_else(|| Status::failed_precondition("no view yet"))?;
            return Ok(Response::new(Box::pin(tokio_stream::once(Ok(part)))));
        }
        let Ok(slot) = self.follower_slots.clone().try_acquire_owned() else {
            return Err(Status::resource_exhausted("enough followers"));
        };
        info!(self.log, "follower joined"; "step" => "relay", "peer" => follower,
            "epoch" => first.as_ref().map(|part| part.epoch),
            "revision" => first.as_ref().map(|part| part.revision),
            "complete" => first.as_ref().is_some_and(|part| part.is_complete));
        self.follower_joined.notify_one();
        let (queue, parts) = flume::bounded(MAX_QUEUED_PARTS);
        tokio::spawn(stream_parts(self.clone(), first, live_parts, queue));
        let number = self.follower_count.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(read_follower_requests(self.clone(), number, requests));
        // The permit is released when the stream is dropped.
        let parts = parts.into_stream().map(move |part| {
            let _held_slot = &slot;
            part
        });
        Ok(Response::new(Box::pin(parts)))
    }
}

/// Handles evidence from one follower until it disconnects.
async fn read_follower_requests(
    relay: RelayService,
    follower: u64,
    mut requests: Streaming<FollowRequest>,
) {
    // A closed stream and a failed one both mean that the follower has disconnected.
    while let Ok(Some(request)) = requests.message().await {
        if !request.evidence.is_empty() {
            relay.receive_from_follower(&request.evidence);
        }
        if let Some(loads) = &request.loads {
            let loads = load_exchange::decode(loads);
            lock(&relay.loads).receive(follower, Instant::now(), &loads);
        }
        lock(&relay.callers).receive(request.callers.as_ref());
    }
    lock(&relay.loads).remove(follower);
}

/// Sends parts to one follower until it disconnects or falls behind. Without a first part, waits
/// until this instance has a view: when many instances start at once, they all get it with the
/// first message that can contain it.
async fn stream_parts(
    relay: RelayService,
    first: Option<ViewPart>,
    mut live_parts: broadcast::Receiver<ViewPart>,
    queue: flume::Sender<Result<ViewPart, Status>>,
) {
    let mut part = match first {
        Some(part) => part,
        None => match first_view(&mut live_parts).await {
            Some(part) => part,
            None => return,
        },
    };
    loop {
        if queue.send_async(Ok(part)).await.is_err() {
            return;
        }
        part = match tokio::time::timeout(HEARTBEAT_INTERVAL, live_parts.recv()).await {
            Ok(Ok(part)) => part,
            Ok(Err(_)) => return,
            Err(_) => lock(&relay.published).heartbeat_part(),
        };
    }
}

/// Waits for the first complete part. Returns `None` if too many parts were missed.
async fn first_view(live_parts: &mut broadcast::Receiver<ViewPart>) -> Option<ViewPart> {
    loop {
        let part = live_parts.recv().await.ok()?;
        if part.is_complete {
            return Some(part);
        }
    }
}
