//! Takes the view from peers: follows one, and fetches single views while the store is away.

use std::net::SocketAddr;
use std::time::Duration;

use platform::Error;
use rand::Rng;
use slog::info;
use steer::{Revision, Update};
use tokio::time::Instant;
use wire::steering::ViewPart;

use crate::caller_exchange;
use crate::load_exchange;
use crate::log_fields::AtRevision;
use crate::peer::{self, FollowError, ViewStream};
use crate::relay::lock;
use crate::store_timing::RETRY_JITTER;
use crate::view_part;
use crate::view_reader::{PartialSnapshot, ReaderContext, ViewReader};

impl ViewReader {
    /// Follows a peer until it fails or a better one is known.
    pub(crate) async fn follow(&mut self, upstream: SocketAddr) {
        self.has_followed = true;
        let result = self.follow_while_better(upstream).await;
        self.context.relay.close_upstream();
        let Err(reason) = result else {
            return;
        };
        info!(self.log, "peer lost"; "step" => "follow", "peer" => %upstream, "reason" => %reason);
        let now = self.context.clock.now();
        if reason == FollowError::Full {
            lock(&self.context.peers).mark_full(now, upstream);
            let ReaderContext { peers, clock, .. } = &self.context;
            peer::exchange_peers(upstream, peers.clone(), *clock, self.log.clone()).await;
            return;
        }
        lock(&self.context.peers).suspend(now, upstream);
        if reason != FollowError::SourceLost {
            self.context.discovery.peer_lost.notify_one();
        }
        self.may_be_stale = self.revision.is_some();
    }

    async fn follow_while_better(&mut self, peer: SocketAddr) -> Result<(), FollowError> {
        let opened_at = Instant::now();
        let requests = self.context.relay.open_upstream(self.known_revision());
        let mut stream = ViewStream::open(peer, requests).await?;
        info!(self.log, "peer followed"; "step" => "follow", "peer" => %peer,
            AtRevision(self.known_revision()));
        let mut has_joined = self.revision.is_none();
        let mut store_call_at: Option<Instant> = None;
        let mut silent_since = opened_at;
        loop {
            let part = tokio::select! {
                part = stream.next(self.part_limit(silent_since)) => part?,
                () = sleep_until(store_call_at) => {
                    if self.call_store().await {
                        lock(&self.context.peers).suspend(self.context.clock.now(), peer);
                        return Ok(());
                    }
                    store_call_at = Some(Instant::now() + self.retry_turn());
                    continue;
                }
            };
            silent_since = Instant::now();
            let is_current = part.is_current;
            if is_current {
                // Before the view is passed on, so that followers of this instance do not take it
                // for outdated.
                self.note_source_answered();
                store_call_at = None;
            }
            self.receive_part(part).await?;
            if !is_current && !has_joined && self.source_lost_at.is_none() {
                return Err(FollowError::SourceLost);
            }
            if !is_current && store_call_at.is_none() {
                info!(self.log, "peer lost its source"; "step" => "follow", "peer" => %peer,
                    AtRevision(self.known_revision()));
                self.context.relay.set_current(false);
                store_call_at = Some(Instant::now() + self.timing.first_turn(self.better_peers()));
            }
            has_joined = true;
            if self.upstream_peer() != Some(peer) {
                return Ok(());
            }
        }
    }

    /// Returns how long the next part may take from a peer that has been silent since a moment.
    fn part_limit(&self, silent_since: Instant) -> Duration {
        let until = match self.revision {
            Some(_) => silent_since + self.timing.peer_silence(),
            None => self.peers_first_until(),
        };
        until - Instant::now()
    }

    /// Returns until when a first view that the store does not return at once is expected from
    /// peers.
    pub(crate) fn peers_first_until(&self) -> Instant {
        self.peers_first_from + self.timing.peers_first(self.better_peers())
    }

    fn better_peers(&self) -> usize {
        lock(&self.context.peers).better_count()
    }

    /// Returns the pause until the next call to the store, which has just failed.
    fn retry_turn(&mut self) -> Duration {
        let turn = self.timing.retry_turn(self.better_peers());
        turn.max(self.next_retry_pause())
    }

    /// Returns the pause after a failed call, with jitter, and doubles the next one.
    pub(crate) fn next_retry_pause(&mut self) -> Duration {
        let jitter = self.random.random_range(RETRY_JITTER);
        let pause = self.retry_pause.mul_f64(jitter);
        self.retry_pause = self.timing.next_retry_pause(self.retry_pause);
        pause
    }

    /// Requests the changes from the store itself while the source of the peers fails. Returns
    /// whether the store answered.
    async fn call_store(&mut self) -> bool {
        let after = self.known_revision();
        let times = self.timing.immediate_watch();
        let mut late_watch = std::mem::take(&mut self.late_watch);
        let answer = self.call_store_once(&mut late_watch, after, times).await;
        self.late_watch = late_watch;
        match answer {
            Ok((changes, is_late)) => {
                self.note_source_answered();
                self.may_be_stale = is_late;
                self.count_call("watch");
                self.note_epoch(changes.revision.epoch);
                self.log_value_errors(&changes.value_errors);
                self.apply_changes(changes.revision, changes.updates);
                true
            }
            Err(Error::HistoryGone { peer, epoch }) => {
                self.note_source_answered();
                self.note_history_gone(&peer, epoch);
                true
            }
            Err(error) => {
                self.note_store_failed(&error);
                false
            }
        }
    }

    /// Returns the revision from which a peer has to send changes, or the default to get a complete
    /// view.
    pub(crate) fn known_revision(&self) -> Revision {
        let known = self.revision.filter(|_| !self.needs_snapshot);
        known.unwrap_or_default()
    }

    /// Applies a part of a peer's view.
    async fn receive_part(&mut self, part: ViewPart) -> Result<(), FollowError> {
        let known_epoch = self.revision.map_or(self.epoch, |known| known.epoch);
        let revision = view_part::revision(&part, known_epoch);
        let mut updates = view_part::decode(&part, revision.epoch).map_err(FollowError::failed)?;
        self.context.relay.receive_from_upstream(&part.evidence);
        if let Some(loads) = &part.loads {
            let loads = load_exchange::decode(loads);
            let callers = part.callers.as_ref();
            let callers = callers.map(caller_exchange::decode).unwrap_or_default();
            let relay = &self.context.relay;
            relay.send_loads_down(loads, callers, part.remote_loads.clone());
        }
        if part.is_complete {
            if !view_part::has_orders(&part) {
                updates.extend(self.context.relay.domain_orders());
            }
            return self.receive_snapshot(revision, updates).await;
        }
        // After a restore, changes apply only on top of the peer's complete view.
        if revision.epoch == self.revision.unwrap_or_default().epoch {
            self.apply_changes(revision, updates);
        }
        Ok(())
    }

    /// Applies the complete view of a peer, unless this instance knows a newer revision.
    async fn receive_snapshot(
        &mut self,
        mut revision: Revision,
        mut updates: Vec<Update>,
    ) -> Result<(), FollowError> {
        match self.revision {
            // The peer will either catch up or report that its own source does not answer.
            Some(known) if revision < known && !self.needs_snapshot => {
                info!(self.log, "older view of peer ignored"; "step" => "follow",
                    "peer_epoch" => revision.epoch, "peer_revision" => revision.number,
                    AtRevision(known));
                return Ok(());
            }
            Some(known) if revision < known => {
                return Err(FollowError::failed("the view of the peer is older"));
            }
            // The first page that was read is newer: a target that has left since must not be used
            // again. Without the store, the view of the peer is the best one there is.
            None if Some(revision) < self.partial.revision => {
                let result = self.catch_up(&mut revision, &mut updates).await;
                if let Err(Error::HistoryGone { .. }) = result {
                    return Err(FollowError::failed("the view of the peer is too old"));
                }
            }
            _ => {}
        }
        self.needs_snapshot = false;
        self.partial = PartialSnapshot::default();
        self.note_epoch(revision.epoch);
        self.apply_snapshot(revision, updates);
        Ok(())
    }

    /// Fetches the view of any peer while this instance cannot reach the store, since others may
    /// reach it.
    pub(crate) async fn fetch_view_from_peer(&mut self, limit: Duration) {
        let Some(peer) = lock(&self.context.peers).fallback(self.context.clock.now()) else {
            return;
        };
        let previous_revision = self.revision;
        if let Err(reason) = self.fetch_view_from(peer, limit).await {
            info!(self.log, "no view from peer"; "step" => "follow", "peer" => %peer,
                "reason" => %reason);
            lock(&self.context.peers).suspend(self.context.clock.now(), peer);
        } else if self.revision > previous_revision {
            info!(self.log, "view taken from peer"; "step" => "follow", "peer" => %peer,
                AtRevision(self.known_revision()));
        }
    }

    async fn fetch_view_from(
        &mut self,
        peer: SocketAddr,
        limit: Duration,
    ) -> Result<(), FollowError> {
        let request = self.context.relay.first_request(self.known_revision());
        let fetch = async {
            let mut stream = ViewStream::fetch_once(peer, request).await?;
            stream.next(limit).await
        };
        let part = tokio::time::timeout(limit, fetch)
            .await
            .map_err(|_| FollowError::failed("no view from the peer within the time limit"))??;
        let is_current = part.is_current;
        self.receive_part(part).await?;
        if is_current {
            return Ok(());
        }
        Err(FollowError::SourceLost)
    }
}

/// Sleeps until `deadline`, or forever if there is none.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
