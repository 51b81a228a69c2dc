//! Keeps the view up to date, from the store itself or from a peer that reads it; [`crate::follower`]
//! has the part about peers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ids::Millis;
use platform::{Changes, Error, Incoming, Page, Store};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{Logger, info, warn};
use steer::status::CoreStatus;
use steer::{
    CallerTotal, Change, Evidence, Members, Peers, RemoteLoad, Revision, TargetLoad, Update,
};
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::late_call::{Answer, CallFailure, LateCall};
use crate::log_fields::AtRevision;
use crate::metrics::Metrics;
use crate::peer::DiscoverySignals;
use crate::relay::{RelayService, lock};
use crate::store_timing::{
    FIRST_PAGE_PATIENCE, MAX_LATE_ANSWER, MIN_RETRY_PAUSE, PEER_CHECK_INTERVAL, StoreTiming,
    WatchConditions, WatchTimes,
};

/// Events that other tasks send to the packet loop.
#[derive(Debug)]
pub enum LoopEvent {
    /// Everything published at a revision.
    Snapshot {
        /// The revision.
        revision: Revision,
        /// All items.
        updates: Vec<Update>,
    },
    /// Changes up to a revision.
    Changes {
        /// The revision.
        revision: Revision,
        /// The changes.
        updates: Vec<Update>,
    },
    /// Evidence about targets from peers.
    PeerEvidence(Vec<Evidence>),
    /// Known members of the failure domain after a round of peer discovery.
    Members(Members),
    /// Loads that all instances of the failure domain see together.
    DomainLoads(Vec<TargetLoad>),
    /// Openings of callers that all instances of the failure domain have seen together.
    DomainCallers(Vec<CallerTotal>),
    /// Loads of other failure domains.
    RemoteLoads(Vec<RemoteLoad>),
    /// A request for the load of the failure domain, with the channel for the response.
    SummaryQuery(oneshot::Sender<Vec<RemoteLoad>>),
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
    /// Notifications from and to peer discovery.
    pub discovery: DiscoverySignals,
    /// Relay that publishes the view to peers.
    pub relay: RelayService,
    /// Maximum time until a published change must take effect.
    pub change_limit: Millis,
    /// Clock of the times in `peers`.
    pub clock: Clock,
}

/// Pages of a snapshot that is not complete yet.
#[derive(Debug, Default)]
pub(crate) struct PartialSnapshot {
    /// Revision up to which the pages are complete: the revision of the first page.
    pub(crate) revision: Option<Revision>,
    page_count: u32,
    updates: Vec<Update>,
    /// Key after which the next page starts, or `None` before the first and after the last one.
    next_after: Option<String>,
}

/// How a watch ended.
#[derive(Debug)]
enum WatchOutcome {
    Begun(platform::Result<Answer<Incoming<Changes>>>),
    FollowerJoined,
    UpstreamFound,
}

/// Keeps the view up to date until the process ends.
#[derive(Debug)]
pub struct ViewReader {
    pub(crate) context: ReaderContext,
    pub(crate) timing: StoreTiming,
    events: flume::Sender<LoopEvent>,
    metrics: Metrics,
    pub(crate) log: Logger,
    /// Revision of the view, or `None` before the first view.
    pub(crate) revision: Option<Revision>,
    /// Latest known epoch of the store, or 0 before its first response.
    pub(crate) epoch: u64,
    /// Whether the next read must be a complete snapshot.
    pub(crate) needs_snapshot: bool,
    /// Pages read so far; they are kept when a call fails.
    pub(crate) partial: PartialSnapshot,
    /// Whether the store did not return the first page at once, so that the first view should come
    /// from a peer.
    prefers_peer: bool,
    /// When this instance began to look for its first view.
    pub(crate) peers_first_from: tokio::time::Instant,
    /// Whether the upstream peer failed, so that the view may be outdated.
    pub(crate) may_be_stale: bool,
    pub(crate) source_lost_at: Option<Instant>,
    pub(crate) retry_pause: Duration,
    page_timeout: Duration,
    late_page: LateCall<Incoming<Page>, Error>,
    pub(crate) late_watch: LateCall<Incoming<Changes>, Error>,
    /// Whether the store answered its latest call slowly.
    is_store_slow: bool,
    /// Whether the reader has just paused to gather changes.
    has_paused: bool,
    /// Whether this instance has followed a peer, or tried to.
    pub(crate) has_followed: bool,
    pub(crate) random: SmallRng,
}

impl ViewReader {
    /// Creates a reader that sends updates to `events`.
    pub fn new(
        context: ReaderContext,
        events: flume::Sender<LoopEvent>,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        let timing = StoreTiming::new(context.change_limit);
        Self {
            page_timeout: timing.answer_timeout(),
            timing,
            context,
            events,
            metrics,
            log,
            revision: None,
            epoch: 0,
            needs_snapshot: true,
            partial: PartialSnapshot::default(),
            prefers_peer: false,
            peers_first_from: tokio::time::Instant::now(),
            may_be_stale: false,
            source_lost_at: None,
            retry_pause: MIN_RETRY_PAUSE,
            is_store_slow: false,
            has_paused: false,
            has_followed: false,
            random: SmallRng::from_os_rng(),
            late_page: LateCall::default(),
            late_watch: LateCall::default(),
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
                Err(Error::HistoryGone { peer, epoch }) => self.note_history_gone(&peer, epoch),
                Err(error) => {
                    let is_first_failure = self.source_lost_at.is_none();
                    self.note_store_failed(&error);
                    self.wait_after_failure(is_first_failure).await;
                }
            }
        }
    }

    /// Returns the peer to follow, or `None` to read from the store.
    ///
    /// A first view that fits into one page comes from the store if it answers at once, which is
    /// sooner than peers that start at the same time. Otherwise it comes from a peer, because all
    /// instances together would saturate the store's link, until the peers had enough time. After
    /// the upstream peer has failed, the store is asked once first, so that the timeouts of several
    /// failed peers do not add up.
    pub(crate) fn upstream_peer(&self) -> Option<SocketAddr> {
        if self.may_be_stale {
            return None;
        }
        if self.revision.is_none() {
            let is_for_peer = self.prefers_peer || self.partial.next_after.is_some();
            if !is_for_peer || !self.is_turn_of_peers() {
                return None;
            }
        }
        lock(&self.context.peers).upstream(self.context.clock.now())
    }

    /// Returns whether a first view may still come from peers.
    fn is_turn_of_peers(&self) -> bool {
        tokio::time::Instant::now() < self.peers_first_until()
    }

    /// Completes once a round of peer discovery has found a peer to follow.
    async fn upstream_found(&self) {
        loop {
            self.context.discovery.round_ended.notified().await;
            if self.upstream_peer().is_some() {
                return;
            }
        }
    }

    /// Completes once a better peer is known from which the first view may come. The store gets a
    /// little time to answer before.
    async fn better_peer_known(&self) {
        tokio::time::sleep(FIRST_PAGE_PATIENCE).await;
        loop {
            let upstream = lock(&self.context.peers).upstream(self.context.clock.now());
            if upstream.is_some() && self.is_turn_of_peers() {
                return;
            }
            tokio::time::sleep(PEER_CHECK_INTERVAL).await;
        }
    }

    /// Reads the next page and applies the snapshot after the last one.
    ///
    /// Pages may be read at different revisions, so changes are requested from the revision of the
    /// first page. After a failed call, reading continues at the same page: when many instances
    /// start together and the store limits calls, none of them would ever finish otherwise.
    async fn read_page(&mut self) -> platform::Result<()> {
        let started_at = Instant::now();
        let mut late_page = std::mem::take(&mut self.late_page);
        let answer = tokio::select! {
            answer = self.call_page(&mut late_page) => Some(answer),
            () = self.better_peer_known(), if self.revision.is_none() => None,
        };
        self.late_page = late_page;
        let Some(answer) = answer else {
            self.count_call("abandoned");
            self.prefers_peer = true;
            return Ok(());
        };
        let page = answer?;
        self.metrics
            .store_call_seconds
            .observe(started_at.elapsed().as_secs_f64());
        self.count_call("page");
        self.note_epoch(page.revision.epoch);
        self.log_value_errors(&page.value_errors);
        let first_revision = *self.partial.revision.get_or_insert(page.revision);
        if page.revision.epoch != first_revision.epoch {
            // Changes since the first page can no longer be requested.
            self.partial = PartialSnapshot::default();
            self.late_page.abandon();
            return Ok(());
        }
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
        let mut is_caught_up = true;
        if page_count > 1 {
            is_caught_up = self.catch_up(&mut revision, &mut updates).await.is_ok();
        }
        info!(self.log, "store read"; "step" => "store", AtRevision(revision),
            "items" => updates.len());
        self.needs_snapshot = false;
        self.note_source_answered();
        // The next watch then answers at once, and if it fails as well, `run` handles the error.
        self.may_be_stale = !is_caught_up;
        self.apply_snapshot(revision, updates);
        Ok(())
    }

    /// Calls the store for the next page.
    async fn call_page(
        &self,
        late: &mut LateCall<Incoming<Page>, Error>,
    ) -> platform::Result<Page> {
        let due = tokio::time::Instant::now() + self.page_timeout;
        let store = self.context.store.clone();
        let after = self.partial.next_after.clone();
        let call = async move { store.request_page(after.as_deref(), MAX_LATE_ANSWER).await };
        let answer = late.run(call, self.page_timeout).await;
        let answer = answer.map_err(|failure| self.call_error("reading", failure))?;
        self.receive(answer.into_parts().0, due).await
    }

    /// Receives a response that has begun. If it is not complete when it is due, followers may call
    /// the store themselves.
    pub(crate) async fn receive<T: platform::ResponseBody>(
        &self,
        incoming: Incoming<T>,
        due: tokio::time::Instant,
    ) -> platform::Result<T> {
        let answer = incoming.receive(self.timing.answer_timeout());
        tokio::pin!(answer);
        tokio::select! {
            answer = &mut answer => return answer,
            () = tokio::time::sleep_until(due) => {}
        }
        info!(self.log, "answer of the store is slow to arrive"; "step" => "store",
            AtRevision(self.revision.unwrap_or_default()));
        self.context.relay.set_current(false);
        answer.await
    }

    fn call_error(&self, step: &'static str, failure: CallFailure<Error>) -> Error {
        match failure {
            CallFailure::Failed(error) => error,
            CallFailure::TimedOut => self.context.store.timeout_error(step),
        }
    }

    /// Adds the changes since the revision of a snapshot, so that after a long read, or with the
    /// view of a peer that is behind, no flow is steered by an outdated configuration.
    pub(crate) async fn catch_up(
        &self,
        revision: &mut Revision,
        updates: &mut Vec<Update>,
    ) -> platform::Result<()> {
        // An answer to an earlier call would have changes from another revision on.
        let mut late = LateCall::default();
        let times = self.timing.immediate_watch();
        match self.call_store_once(&mut late, *revision, times).await {
            Ok((changes, _)) => {
                self.count_call("watch");
                self.log_value_errors(&changes.value_errors);
                updates.extend(changes.updates);
                *revision = changes.revision;
                Ok(())
            }
            Err(error) => {
                self.count_call("failed");
                info!(self.log, "reading not caught up"; "step" => "store",
                    AtRevision(*revision), "reason" => %error);
                Err(error)
            }
        }
    }

    async fn watch(&mut self, after: Revision) -> platform::Result<()> {
        let times = self.watch_times();
        self.has_paused = false;
        let sent_at = Instant::now();
        let due = tokio::time::Instant::now() + times.wait + times.answer_timeout;
        let mut late_watch = std::mem::take(&mut self.late_watch);
        let outcome = tokio::select! {
            answer = self.call_watch(&mut late_watch, after, times) => WatchOutcome::Begun(answer),
            // From now on the new follower depends on this instance, so do not wait for a response
            // that may never arrive; the next watch returns immediately.
            () = self.context.relay.follower_joined() => WatchOutcome::FollowerJoined,
            // Only before the first follow: a starting instance should not keep reading the store
            // beside its peers. Later, ending the watch would cost one more call each time.
            () = self.upstream_found(), if !self.has_followed => WatchOutcome::UpstreamFound,
        };
        self.late_watch = late_watch;
        let answer = match outcome {
            WatchOutcome::Begun(answer) => answer?,
            WatchOutcome::FollowerJoined => {
                self.may_be_stale = true;
                return Ok(());
            }
            WatchOutcome::UpstreamFound => {
                self.count_call("abandoned");
                return Ok(());
            }
        };
        let answer_time = sent_at.elapsed().saturating_sub(times.wait);
        let (incoming, is_late) = answer.into_parts();
        let changes = self.receive(incoming, due).await?;
        let has_changes = !changes.updates.is_empty();
        if is_late {
            info!(self.log, "answer of the store came late"; "step" => "store",
                AtRevision(changes.revision));
            self.is_store_slow = true;
        } else if !has_changes || times.wait.is_zero() {
            self.is_store_slow = self.timing.is_slow(answer_time);
        }
        self.note_source_answered();
        // A late answer may lack the changes since it was sent.
        self.may_be_stale = is_late;
        self.count_call(if is_late { "late" } else { "watch" });
        self.note_epoch(changes.revision.epoch);
        self.log_value_errors(&changes.value_errors);
        self.apply_changes(changes.revision, changes.updates);
        if has_changes {
            tokio::time::sleep(self.timing.batch_delay()).await;
            self.has_paused = true;
        }
        Ok(())
    }

    /// Calls the store for changes after a revision, and returns the response once it has begun.
    async fn call_watch(
        &self,
        late: &mut LateCall<Incoming<Changes>, Error>,
        after: Revision,
        times: WatchTimes,
    ) -> platform::Result<Answer<Incoming<Changes>>> {
        let wait = Millis(times.wait.as_millis() as u64);
        let store = self.context.store.clone();
        let call = async move { store.request_changes(after, wait, MAX_LATE_ANSWER).await };
        let answer = late.run(call, times.wait + times.answer_timeout).await;
        answer.map_err(|failure| self.call_error("watching", failure))
    }

    /// Calls the store for changes after a revision. Returns whether the answer came late, too.
    pub(crate) async fn call_store_once(
        &self,
        late: &mut LateCall<Incoming<Changes>, Error>,
        after: Revision,
        times: WatchTimes,
    ) -> platform::Result<(Changes, bool)> {
        let due = tokio::time::Instant::now() + times.wait + times.answer_timeout;
        let answer = self.call_watch(late, after, times).await?;
        let (incoming, is_late) = answer.into_parts();
        let changes = self.receive(incoming, due).await?;
        Ok((changes, is_late))
    }

    fn watch_times(&self) -> WatchTimes {
        if self.may_be_stale || self.source_lost_at.is_some() {
            return self.timing.immediate_watch();
        }
        self.timing.watch(WatchConditions {
            has_followers: self.context.relay.has_followers(),
            is_store_slow: self.is_store_slow,
            has_paused: self.has_paused,
        })
    }

    pub(crate) fn apply_snapshot(&mut self, revision: Revision, updates: Vec<Update>) {
        self.revision = Some(revision);
        self.late_page.abandon();
        self.late_watch.abandon();
        lock(&self.context.peers).record_own_view();
        let applied = self.context.relay.publish_snapshot(revision, updates);
        self.log_outdated(revision, &applied.outdated);
        let updates = applied.updates;
        self.send(LoopEvent::Snapshot { revision, updates });
    }

    /// Applies changes up to a revision.
    pub(crate) fn apply_changes(&mut self, revision: Revision, changes: Vec<Update>) {
        let known_revision = self.revision.unwrap_or_default();
        let revision = revision.max(known_revision);
        self.revision = Some(revision);
        let applied = self.context.relay.publish_changes(revision, changes);
        self.log_outdated(known_revision, &applied.outdated);
        let updates = applied.updates;
        self.send(LoopEvent::Changes { revision, updates });
    }

    fn log_outdated(&self, known_revision: Revision, outdated: &[Update]) {
        for update in outdated {
            let (item, version) = match &update.change {
                Change::Document(document) => ("configuration".to_owned(), Some(document.version)),
                Change::Target(target) => (target.id.to_string(), None),
                Change::TargetGone(id) | Change::TargetUnreadable(id) => (id.to_string(), None),
                Change::DomainEvacuated(domain) | Change::DomainReinstated(domain) => {
                    (domain.to_string(), None)
                }
            };
            info!(self.log, "outdated item ignored"; "step" => "store", "item" => item,
                "version" => version, "item_revision" => %update.revision,
                AtRevision(known_revision));
        }
    }

    fn send(&self, event: LoopEvent) {
        // The queue is unbounded and closes only when the process ends.
        let _ = self.events.send(event);
    }

    pub(crate) fn count_call(&self, outcome: &str) {
        self.metrics.store_calls.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn log_value_errors(&self, value_errors: &[Error]) {
        for error in value_errors {
            warn!(self.log, "value refused"; "step" => "store", "reason" => %error);
        }
    }

    pub(crate) fn note_source_answered(&mut self) {
        self.retry_pause = MIN_RETRY_PAUSE;
        self.page_timeout = self.timing.answer_timeout();
        self.may_be_stale = false;
        self.context.relay.set_current(true);
        if let Some(since) = self.source_lost_at.take() {
            info!(self.log, "source regained"; "step" => "store",
                "away_ms" => since.elapsed().as_millis() as u64);
        }
    }

    pub(crate) fn note_history_gone(&mut self, peer: &str, epoch: u64) {
        self.count_call("compacted");
        info!(self.log, "history is gone, reading again"; "step" => "store",
            "peer" => peer, "store_epoch" => epoch, AtRevision(self.known_revision()));
        self.note_epoch(epoch);
        self.needs_snapshot = true;
    }

    /// Records the epoch of the store as a response or a peer shows it.
    pub(crate) fn note_epoch(&mut self, epoch: u64) {
        if epoch <= self.epoch {
            return;
        }
        let previous_epoch = std::mem::replace(&mut self.epoch, epoch);
        self.metrics.store_epoch.set(epoch as i64);
        if previous_epoch != 0 {
            warn!(self.log, "store restored"; "step" => "store", "from_epoch" => previous_epoch,
                "store_epoch" => epoch);
        }
    }

    pub(crate) fn note_store_failed(&mut self, error: &Error) {
        self.count_call("failed");
        self.context.relay.set_current(false);
        self.may_be_stale = false;
        if self.revision.is_none() {
            self.page_timeout = self.timing.next_page_timeout(self.page_timeout);
        }
        if self.source_lost_at.is_none() {
            self.source_lost_at = Some(Instant::now());
            warn!(self.log, "store lost"; "step" => "store", "reason" => %error);
        }
    }

    async fn wait_after_failure(&mut self, is_first_failure: bool) {
        let has_view = self.revision.is_some();
        if let Some(limit) = self.timing.peer_view_timeout(has_view, is_first_failure) {
            self.fetch_view_from_peer(limit).await;
        }
        let pause = self.next_retry_pause();
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.view_holder_found(), if !has_view => {
                if let Some(limit) = self.timing.peer_view_timeout(has_view, false) {
                    self.fetch_view_from_peer(limit).await;
                }
            }
        }
    }

    /// Completes once a round of peer discovery has found a peer with a view.
    async fn view_holder_found(&self) {
        loop {
            self.context.discovery.round_ended.notified().await;
            if lock(&self.context.peers).knows_view_holder(self.context.clock.now()) {
                return;
            }
        }
    }
}
