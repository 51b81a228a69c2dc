//! Keeps the view up to date, from the store itself or from a peer that reads it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ids::Millis;
use platform::{Error, Store};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slog::{Logger, info, warn};
use steer::status::CoreStatus;
use steer::{Evidence, Peers, Update};
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peer::{self, FollowError, ViewStream};
use crate::relay::{self, HEARTBEAT_INTERVAL, RelayService, lock};

/// Wait time of a watch without followers. A connection that hangs is detected when the wait ends;
/// until then this instance gets no changes from the store in any case.
const IDLE_WATCH_WAIT: Millis = Millis(4_000);

/// With followers, a watch waits for this fraction of the change limit. Followers may be able to
/// reach the store themselves, so they must learn in time that this instance cannot.
const FOLLOWED_WAIT_DIVISOR: u64 = 3;

/// The store has to answer within this fraction of the change limit, which allows it to be 60 times
/// slower than usual.
const ANSWER_TIMEOUT_DIVISOR: u64 = 4;

/// Maximum timeout for a page of the store or for the first view from a peer, which may be a
/// megabyte over a slow link.
const MAX_PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// After changes, the next watch is delayed by this fraction of the change limit, so that one call
/// returns several changes. The rest of the limit is left for a slow store and one retry.
const BATCH_DELAY_DIVISOR: u64 = 5;

/// Minimum and maximum pause after a failed call. Refused calls are charged as well, and the store
/// usually recovers within seconds.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Number of missed heartbeats after which a peer is considered unresponsive.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Events that other tasks send to the packet loop.
#[derive(Debug)]
pub enum LoopEvent {
    /// Everything published at a revision.
    Snapshot {
        /// The revision.
        revision: u64,
        /// All items.
        updates: Vec<Update>,
    },
    /// Changes up to a revision.
    Changes {
        /// The revision.
        revision: u64,
        /// The changes.
        updates: Vec<Update>,
    },
    /// Evidence about targets from peers.
    PeerEvidence(Vec<Evidence>),
    /// A request for the status, with the channel for the response.
    StatusQuery(oneshot::Sender<(CoreStatus, Millis)>),
}

/// Clients, shared state and limits that a reader needs.
#[derive(Debug)]
pub struct ReaderContext {
    /// Client of the store.
    pub store: Store,
    /// Known peers.
    pub peers: Arc<Mutex<Peers>>,
    /// Relay that publishes the view to peers.
    pub relay: RelayService,
    /// Maximum time until a published change must take effect.
    pub change_limit: Millis,
    /// Clock of the times in `peers`.
    pub clock: Clock,
}

/// Pages of a snapshot that is not complete yet.
#[derive(Debug, Default)]
struct PartialSnapshot {
    /// Revision up to which the pages are complete: the revision of the first page.
    revision: Option<u64>,
    page_count: u32,
    updates: Vec<Update>,
    /// Key after which the next page starts, or `None` before the first and after the last one.
    next_after: Option<String>,
}

/// Keeps the view up to date until the process ends.
#[derive(Debug)]
pub struct ViewReader {
    context: ReaderContext,
    events: flume::Sender<LoopEvent>,
    metrics: Metrics,
    log: Logger,
    /// Revision of the view, or `None` before the first view.
    revision: Option<u64>,
    /// Whether the next read must be a complete snapshot.
    needs_snapshot: bool,
    /// Pages read so far; they are kept when a call fails.
    partial: PartialSnapshot,
    /// Whether the upstream peer had no view yet, so that one more page is read from the store
    /// before the peer is asked again.
    must_read_store: bool,
    /// Whether the upstream peer failed, so that the view may be outdated.
    may_be_stale: bool,
    source_lost_at: Option<Instant>,
    retry_pause: Duration,
    page_timeout: Duration,
    random: SmallRng,
}

impl ViewReader {
    /// Creates a reader that sends updates to `events`.
    pub fn new(
        context: ReaderContext,
        events: flume::Sender<LoopEvent>,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        Self {
            page_timeout: answer_timeout(&context),
            context,
            events,
            metrics,
            log,
            revision: None,
            needs_snapshot: true,
            partial: PartialSnapshot::default(),
            must_read_store: false,
            may_be_stale: false,
            source_lost_at: None,
            retry_pause: MIN_RETRY_PAUSE,
            random: SmallRng::from_os_rng(),
        }
    }

    /// Runs until the packet loop ends.
    pub async fn run(mut self) {
        while !self.events.is_disconnected() {
            if let Some(upstream) = self.upstream_peer() {
                self.follow(upstream).await;
                continue;
            }
            let result = match self.revision {
                Some(after) if !self.needs_snapshot => self.watch(after).await,
                _ => self.read_page().await,
            };
            match result {
                Ok(()) => {}
                Err(Error::Compacted { peer }) => {
                    self.count_call("compacted");
                    info!(self.log, "history is gone, reading again"; "step" => "store",
                        "peer" => peer, "revision" => self.revision);
                    self.needs_snapshot = true;
                }
                Err(error) => {
                    self.note_store_failed(&error);
                    self.wait_after_failure().await;
                }
            }
        }
    }

    /// Returns the peer to follow, or `None` to read from the store.
    ///
    /// A first view that fits into one page comes from the store, which answers sooner than peers
    /// that start at the same time. A larger one comes from a peer after the first page, because
    /// all instances together would saturate the store's link. After the upstream peer has failed,
    /// the store is asked once first, so that the timeouts of several failed peers do not add up.
    fn upstream_peer(&self) -> Option<SocketAddr> {
        let has_more = self.partial.next_after.is_some() && !self.must_read_store;
        if self.may_be_stale || self.revision.is_none() && !has_more {
            return None;
        }
        lock(&self.context.peers).upstream(self.context.clock.now())
    }

    /// Reads the next page and applies the snapshot after the last one.
    ///
    /// Pages may be read at different revisions, so changes are requested from the revision of the
    /// first page. After a failed call, reading continues at the same page: when many instances
    /// start together and the store limits calls, none of them would ever finish otherwise.
    async fn read_page(&mut self) -> platform::Result<()> {
        let started_at = Instant::now();
        let after = self.partial.next_after.as_deref();
        let page = self.context.store.page(after, self.page_timeout).await?;
        self.metrics
            .store_call_seconds
            .observe(started_at.elapsed().as_secs_f64());
        self.count_call("page");
        self.log_value_errors(&page.value_errors);
        self.must_read_store = false;
        self.partial.revision.get_or_insert(page.revision);
        self.partial.page_count += 1;
        self.partial.updates.extend(page.updates);
        self.partial.next_after = page.next_key;
        if self.partial.next_after.is_some() {
            return Ok(());
        }
        let PartialSnapshot {
            revision,
            page_count,
            mut updates,
            ..
        } = std::mem::take(&mut self.partial);
        let mut revision = revision.unwrap_or_default();
        if page_count > 1 {
            // The next watch hits the same failure, and its result is handled in `run`.
            let _ = self.catch_up(&mut revision, &mut updates).await;
        }
        info!(self.log, "store read"; "step" => "store", "revision" => revision,
            "items" => updates.len());
        self.needs_snapshot = false;
        self.note_source_answered();
        self.apply_snapshot(revision, updates);
        Ok(())
    }

    /// Adds the changes since the revision of a snapshot, so that after a long read, or with the
    /// view of a peer that is behind, no flow is steered by an outdated configuration.
    async fn catch_up(
        &self,
        revision: &mut u64,
        updates: &mut Vec<Update>,
    ) -> platform::Result<()> {
        let timeout = answer_timeout(&self.context);
        match self
            .context
            .store
            .watch(*revision, Millis(0), timeout)
            .await
        {
            Ok(changes) => {
                self.count_call("watch");
                self.log_value_errors(&changes.value_errors);
                updates.extend(changes.updates);
                *revision = changes.revision;
                Ok(())
            }
            Err(error) => {
                self.count_call("failed");
                info!(self.log, "reading not caught up"; "step" => "store",
                    "revision" => *revision, "reason" => %error);
                Err(error)
            }
        }
    }

    async fn watch(&mut self, after: u64) -> platform::Result<()> {
        let timeout = answer_timeout(&self.context);
        let call = self.context.store.watch(after, self.watch_wait(), timeout);
        let changes = tokio::select! {
            changes = call => changes?,
            // From now on the new follower depends on this instance, so do not wait for a response
            // that may never arrive; the next watch returns immediately.
            () = self.context.relay.follower_joined() => {
                self.may_be_stale = true;
                return Ok(());
            }
        };
        self.note_source_answered();
        self.count_call("watch");
        self.log_value_errors(&changes.value_errors);
        let has_changes = !changes.updates.is_empty();
        self.apply_changes(changes.revision, changes.updates);
        if has_changes {
            let batch_delay_ms = self.context.change_limit.0 / BATCH_DELAY_DIVISOR;
            tokio::time::sleep(Duration::from_millis(batch_delay_ms)).await;
        }
        Ok(())
    }

    fn watch_wait(&self) -> Millis {
        // The store never answers calls that were sent during an outage, even after it is back. A
        // watch without a wait fails after the short answer timeout instead.
        if self.may_be_stale || self.source_lost_at.is_some() {
            return Millis(0);
        }
        if self.context.relay.has_followers() {
            return Millis(self.context.change_limit.0 / FOLLOWED_WAIT_DIVISOR);
        }
        IDLE_WATCH_WAIT
    }

    /// Follows a peer until it fails or a better one is known.
    async fn follow(&mut self, upstream: SocketAddr) {
        let result = self.follow_while_current(upstream).await;
        self.context.relay.close_upstream();
        let Err(reason) = result else {
            return;
        };
        info!(self.log, "peer lost"; "step" => "follow", "peer" => %upstream, "reason" => %reason);
        let now = self.context.clock.now();
        match reason {
            FollowError::Full => {
                lock(&self.context.peers).mark_full(now, upstream);
                let ReaderContext { peers, clock, .. } = &self.context;
                peer::exchange_peers(upstream, peers.clone(), *clock, self.log.clone()).await;
            }
            FollowError::NoView if self.revision.is_none() => {
                self.must_read_store = true;
                tokio::time::sleep(MIN_RETRY_PAUSE).await;
            }
            FollowError::NoView | FollowError::Failed(_) => {
                lock(&self.context.peers).suspend(now, upstream);
                self.may_be_stale = self.revision.is_some();
            }
        }
    }

    async fn follow_while_current(&mut self, peer: SocketAddr) -> Result<(), FollowError> {
        let requests = self.context.relay.open_upstream(self.known_revision());
        let mut stream = ViewStream::open(peer, requests).await?;
        info!(self.log, "peer followed"; "step" => "follow", "peer" => %peer,
            "revision" => self.known_revision());
        loop {
            self.receive_part(&mut stream).await?;
            self.note_source_answered();
            if self.upstream_peer() != Some(peer) {
                return Ok(());
            }
        }
    }

    /// Returns the revision from which a peer has to send changes, or 0 to get a complete view.
    fn known_revision(&self) -> u64 {
        self.revision.filter(|_| !self.needs_snapshot).unwrap_or(0)
    }

    /// Receives and applies the next part of a peer's view.
    async fn receive_part(&mut self, stream: &mut ViewStream) -> Result<(), FollowError> {
        let silence_limit = HEARTBEAT_INTERVAL * MAX_MISSED_HEARTBEATS;
        let limit = self.revision.map_or(MAX_PAGE_TIMEOUT, |_| silence_limit);
        let part = stream.next(limit).await?;
        let updates = relay::decode(&part).map_err(FollowError::failed)?;
        self.context.relay.receive_from_upstream(&part.evidence);
        if part.is_complete {
            self.receive_snapshot(part.revision, updates).await?;
        } else {
            self.apply_changes(part.revision, updates);
        }
        if part.is_current {
            Ok(())
        } else {
            Err(FollowError::failed(
                "the source of the peer does not answer",
            ))
        }
    }

    /// Applies the complete view of a peer, unless this instance knows a newer revision.
    async fn receive_snapshot(
        &mut self,
        mut revision: u64,
        mut updates: Vec<Update>,
    ) -> Result<(), FollowError> {
        match self.revision {
            // The peer will either catch up or report that its own source does not answer.
            Some(known) if revision < known && !self.needs_snapshot => return Ok(()),
            Some(known) if revision < known => {
                return Err(FollowError::failed("the view of the peer is older"));
            }
            // The first page that was read is newer: a target that has left since must not be used
            // again. Without the store, the view of the peer is the best one there is.
            None if Some(revision) < self.partial.revision => {
                let result = self.catch_up(&mut revision, &mut updates).await;
                if let Err(Error::Compacted { .. }) = result {
                    return Err(FollowError::NoView);
                }
            }
            _ => {}
        }
        self.needs_snapshot = false;
        self.partial = PartialSnapshot::default();
        self.apply_snapshot(revision, updates);
        Ok(())
    }

    fn apply_snapshot(&mut self, revision: u64, updates: Vec<Update>) {
        self.revision = Some(revision);
        self.context.relay.publish_snapshot(revision, &updates);
        self.send(LoopEvent::Snapshot { revision, updates });
    }

    /// Applies changes up to a revision. A peer that is behind repeats changes that are included in
    /// this view already; a target that was removed since must not come back.
    fn apply_changes(&mut self, revision: u64, mut updates: Vec<Update>) {
        let known_revision = self.revision.unwrap_or(0);
        updates.retain(|update| update.revision > known_revision);
        let revision = revision.max(known_revision);
        self.revision = Some(revision);
        self.context.relay.publish_changes(revision, &updates);
        self.send(LoopEvent::Changes { revision, updates });
    }

    fn send(&self, event: LoopEvent) {
        // The queue is unbounded and closes only when the process ends.
        let _ = self.events.send(event);
    }

    fn count_call(&self, outcome: &str) {
        self.metrics.store_calls.with_label_values(&[outcome]).inc();
    }

    fn log_value_errors(&self, value_errors: &[Error]) {
        for error in value_errors {
            warn!(self.log, "value refused"; "step" => "store", "reason" => %error);
        }
    }

    fn note_source_answered(&mut self) {
        self.retry_pause = MIN_RETRY_PAUSE;
        self.page_timeout = answer_timeout(&self.context);
        self.may_be_stale = false;
        self.context.relay.set_current(true);
        if let Some(since) = self.source_lost_at.take() {
            info!(self.log, "source regained"; "step" => "store",
                "away_ms" => since.elapsed().as_millis() as u64);
        }
    }

    fn note_store_failed(&mut self, error: &Error) {
        self.count_call("failed");
        self.context.relay.set_current(false);
        self.may_be_stale = false;
        self.page_timeout = (self.page_timeout * 2).min(MAX_PAGE_TIMEOUT);
        if self.source_lost_at.is_none() {
            self.source_lost_at = Some(Instant::now());
            warn!(self.log, "store lost"; "step" => "store", "reason" => %error);
        }
    }

    async fn wait_after_failure(&mut self) {
        self.fetch_view_from_peer().await;
        let jitter = self.random.random_range(0.75..1.25);
        tokio::time::sleep(self.retry_pause.mul_f64(jitter)).await;
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
    }

    /// Fetches the view of any peer while this instance cannot reach the store, since others may
    /// reach it.
    async fn fetch_view_from_peer(&mut self) {
        let Some(peer) = lock(&self.context.peers).fallback(self.context.clock.now()) else {
            return;
        };
        let previous_revision = self.revision;
        let result = match ViewStream::fetch_once(peer, self.known_revision()).await {
            Ok(mut stream) => self.receive_part(&mut stream).await,
            Err(reason) => Err(reason),
        };
        if let Err(reason) = result {
            info!(self.log, "no view from peer"; "step" => "follow", "peer" => %peer,
                "reason" => %reason);
            lock(&self.context.peers).suspend(self.context.clock.now(), peer);
        } else if self.revision > previous_revision {
            info!(self.log, "view taken from peer"; "step" => "follow", "peer" => %peer,
                "revision" => self.revision);
        }
    }
}

/// Returns the time within which the store has to answer.
fn answer_timeout(context: &ReaderContext) -> Duration {
    Duration::from_millis(context.change_limit.0 / ANSWER_TIMEOUT_DIVISOR)
}
