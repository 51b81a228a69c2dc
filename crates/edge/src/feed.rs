//! Where the view comes from: the store itself, or a peer that reads it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ids::Millis;
use platform::{Error, Store};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slog::{Logger, info, warn};
use steer::status::Beliefs;
use steer::{Evidence, Peers, Update};
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peer::{self, Followed, NotFollowed};
use crate::relay::{self, HEARTBEAT, Relayed, locked};

/// Longest wait of one watch while nobody follows. A connection that went silent is noticed when it
/// ends, and until then this instance is cut off from the store anyway.
const WATCH_WAIT: Millis = Millis(4_000);

/// Share of the shortest bound on changes for which a watch waits while others follow. They may
/// reach the store themselves, so they have to learn in time that this instance does not.
const FOLLOWED_WAIT_SHARE: u64 = 3;

/// Share of the shortest bound on changes within which the store has to answer. A store 60 times
/// slower than usual still does.
const ANSWER_SHARE: u64 = 4;

/// Longest time for a page of a reading, or for the first view from a peer, which may hold a megabyte
/// behind a narrow link.
const LONGEST_PAGE: Duration = Duration::from_secs(5);

/// Share of the shortest bound on changes for which they are gathered before the next watch, since
/// each watch costs a call. The rest is left for a slow store and a second attempt.
const GATHER_SHARE: u64 = 5;

/// First and longest pause after a failed call. Calls are priced also when they are refused, and
/// the store is back within seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Missing heartbeats after which a peer counts as silent.
const MISSED_HEARTBEATS: u32 = 3;

/// What the packet loop learns of the store.
#[derive(Debug)]
pub enum Feed {
    /// Everything published at a revision.
    Reading {
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
    /// What peers saw of targets.
    Evidence(Vec<Evidence>),
    /// An operator asks for the status.
    Status(oneshot::Sender<(Beliefs, Millis)>),
}

/// What a reader works with.
#[derive(Debug)]
pub struct Sources {
    /// Client of the store.
    pub store: Store,
    /// Known peers.
    pub peers: Arc<Mutex<Peers>>,
    /// What is told to peers.
    pub relay: Relayed,
    /// Time within which a change has to be in force.
    pub change_limit: Millis,
    /// Clock of the peers' table.
    pub clock: Clock,
}

/// Pages of a reading that is not complete yet.
#[derive(Debug, Default)]
struct Partial {
    /// Revision up to which the pages are complete; that of the first one.
    revision: Option<u64>,
    pages: u32,
    updates: Vec<Update>,
    /// Key after which the next page begins.
    after: Option<String>,
}

/// Keeps the view up to date for as long as the process runs.
#[derive(Debug)]
pub struct Reader {
    sources: Sources,
    feeds: flume::Sender<Feed>,
    metrics: Metrics,
    log: Logger,
    /// Revision of the view, once there is one.
    revision: Option<u64>,
    /// Whether everything has to be read again.
    is_behind: bool,
    /// Pages read so far, kept over a failed call.
    partial: Partial,
    /// Whether the peer to follow had no first view, so that the next page is read before it is asked
    /// again.
    reads_on: bool,
    /// Whether a followed peer was lost, so that the view may be old.
    is_doubtful: bool,
    lost_at: Option<Instant>,
    pause: Duration,
    page_limit: Duration,
    random: SmallRng,
}

impl Reader {
    /// Creates a reader that passes what it learns to `feeds`.
    pub fn new(
        sources: Sources,
        feeds: flume::Sender<Feed>,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        Self {
            page_limit: answer_limit(&sources),
            sources,
            feeds,
            metrics,
            log,
            revision: None,
            is_behind: true,
            partial: Partial::default(),
            reads_on: false,
            is_doubtful: false,
            lost_at: None,
            pause: FIRST_PAUSE,
            random: SmallRng::from_os_rng(),
        }
    }

    /// Runs until the packet loop ends.
    pub async fn run(mut self) {
        while !self.feeds.is_disconnected() {
            if let Some(leader) = self.leader() {
                self.follow(leader).await;
                continue;
            }
            let result = match self.revision {
                Some(after) if !self.is_behind => self.watch(after).await,
                _ => self.read().await,
            };
            match result {
                Ok(()) => {}
                Err(Error::Compacted { peer }) => {
                    self.count("compacted");
                    info!(self.log, "history is gone, reading again"; "step" => "store",
                        "peer" => peer, "revision" => self.revision);
                    self.is_behind = true;
                }
                Err(error) => {
                    self.note_failed(&error);
                    self.wait_after_failure().await;
                }
            }
        }
    }

    /// Returns the peer to follow. A first view of one page comes from the store, which answers sooner
    /// than peers that start at the same time. A longer one comes from a peer, since all instances
    /// together would fill the store's link for long. After the loss of a peer the store is asked once,
    /// so that delays of several peers do not add up.
    fn leader(&self) -> Option<SocketAddr> {
        let has_more = self.partial.after.is_some() && !self.reads_on;
        if self.is_doubtful || self.revision.is_none() && !has_more {
            return None;
        }
        locked(&self.sources.peers).leader(self.sources.clock.now())
    }

    /// Reads the next page, and takes the reading when it is the last one. Pages are read at different
    /// revisions, so the watch that follows starts from the first one's. After a failed call the
    /// reading goes on where it was: when many instances start together, the limit on calls would
    /// otherwise let none of them finish.
    async fn read(&mut self) -> platform::Result<()> {
        let began = Instant::now();
        let after = self.partial.after.as_deref();
        let page = self.sources.store.page(after, self.page_limit).await?;
        self.metrics
            .store_call
            .observe(began.elapsed().as_secs_f64());
        self.count("page");
        self.tell_refused(&page.refused);
        self.reads_on = false;
        self.partial.revision.get_or_insert(page.revision);
        self.partial.pages += 1;
        self.partial.updates.extend(page.updates);
        self.partial.after = page.next;
        if self.partial.after.is_some() {
            return Ok(());
        }
        let mut partial = std::mem::take(&mut self.partial);
        if partial.pages > 1 {
            self.catch_up(&mut partial).await;
        }
        let revision = partial.revision.unwrap_or_default();
        info!(self.log, "store read"; "step" => "store", "revision" => revision,
            "items" => partial.updates.len());
        self.is_behind = false;
        self.regained();
        self.replace(revision, partial.updates);
        Ok(())
    }

    /// Adds what changed since the first page, so that a reading that took long decides nothing by an
    /// old configuration.
    async fn catch_up(&self, partial: &mut Partial) {
        let after = partial.revision.unwrap_or_default();
        let limit = answer_limit(&self.sources);
        match self.sources.store.watch(after, Millis(0), limit).await {
            Ok(changes) => {
                self.count("watch");
                self.tell_refused(&changes.refused);
                partial.updates.extend(changes.updates);
                partial.revision = Some(changes.revision);
            }
            // The watch that follows meets the same failure and deals with it.
            Err(error) => info!(self.log, "reading not caught up"; "step" => "store",
                "revision" => after, "reason" => %error),
        }
    }

    async fn watch(&mut self, after: u64) -> platform::Result<()> {
        let limit = answer_limit(&self.sources);
        let watched = self.sources.store.watch(after, self.watch_wait(), limit);
        let changes = tokio::select! {
            changes = watched => changes?,
            // A follower relies on this instance from now on, so it must not wait for an answer that
            // may never come.
            () = self.sources.relay.joined() => {
                self.is_doubtful = true;
                return Ok(());
            }
        };
        self.regained();
        self.count("watch");
        self.tell_refused(&changes.refused);
        let is_news = !changes.updates.is_empty();
        self.update(changes.revision, changes.updates);
        if is_news {
            let gather = self.sources.change_limit.0 / GATHER_SHARE;
            tokio::time::sleep(Duration::from_millis(gather)).await;
        }
        Ok(())
    }

    fn watch_wait(&self) -> Millis {
        // Calls that were sent while the store was away are not answered after its return either, so
        // none of them may wait.
        if self.is_doubtful || self.lost_at.is_some() {
            return Millis(0);
        }
        if self.sources.relay.has_followers() {
            return Millis(self.sources.change_limit.0 / FOLLOWED_WAIT_SHARE);
        }
        WATCH_WAIT
    }

    /// Follows a peer until it fails or a better one is known.
    async fn follow(&mut self, leader: SocketAddr) {
        let followed = self.follow_while_current(leader).await;
        self.sources.relay.end_upstream();
        let Err(reason) = followed else {
            return;
        };
        info!(self.log, "peer lost"; "step" => "follow", "peer" => %leader, "reason" => %reason);
        let now = self.sources.clock.now();
        match reason {
            NotFollowed::Full => {
                locked(&self.sources.peers).note_full(now, leader);
                let Sources { peers, clock, .. } = &self.sources;
                peer::meet(leader, peers.clone(), *clock, self.log.clone()).await;
            }
            NotFollowed::NoView if self.revision.is_none() => {
                self.reads_on = true;
                tokio::time::sleep(FIRST_PAUSE).await;
            }
            NotFollowed::NoView | NotFollowed::Failed(_) => {
                locked(&self.sources.peers).shun(now, leader);
                self.is_doubtful = self.revision.is_some();
            }
        }
    }

    async fn follow_while_current(&mut self, peer: SocketAddr) -> Result<(), NotFollowed> {
        let requests = self.sources.relay.upstream(self.known_revision());
        let mut followed = Followed::start(peer, requests).await?;
        info!(self.log, "peer followed"; "step" => "follow", "peer" => %peer,
            "revision" => self.known_revision());
        loop {
            self.take_part(&mut followed).await?;
            self.regained();
            if self.leader() != Some(peer) {
                return Ok(());
            }
        }
    }

    /// Returns the revision that peers need not tell again; 0 stands for none.
    fn known_revision(&self) -> u64 {
        self.revision.filter(|_| !self.is_behind).unwrap_or(0)
    }

    /// Takes the next part of a peer's view.
    async fn take_part(&mut self, followed: &mut Followed) -> Result<(), NotFollowed> {
        let silence = HEARTBEAT * MISSED_HEARTBEATS;
        let limit = self.revision.map_or(LONGEST_PAGE, |_| silence);
        let part = followed.next(limit).await?;
        let updates = relay::decode(&part).map_err(NotFollowed::failed)?;
        self.sources.relay.take_from_upstream(&part.evidence);
        // A peer that is behind catches up or says that its source does not answer.
        let is_behind_us = !self.is_behind && Some(part.revision) < self.revision;
        if part.is_complete && !is_behind_us {
            self.is_behind = false;
            self.partial = Partial::default();
            self.replace(part.revision, updates);
        } else if !part.is_complete {
            self.update(part.revision, updates);
        }
        if part.is_current {
            Ok(())
        } else {
            Err(NotFollowed::failed("its own source does not answer"))
        }
    }

    fn replace(&mut self, revision: u64, updates: Vec<Update>) {
        self.revision = Some(revision);
        self.sources.relay.replace(revision, &updates);
        self.pass(Feed::Reading { revision, updates });
    }

    fn update(&mut self, revision: u64, updates: Vec<Update>) {
        let revision = revision.max(self.revision.unwrap_or(0));
        self.revision = Some(revision);
        self.sources.relay.update(revision, &updates);
        self.pass(Feed::Changes { revision, updates });
    }

    fn pass(&self, feed: Feed) {
        // The queue has no bound and closes only when the process ends.
        let _ = self.feeds.send(feed);
    }

    fn count(&self, outcome: &str) {
        self.metrics.store_calls.with_label_values(&[outcome]).inc();
    }

    fn tell_refused(&self, refused: &[Error]) {
        for error in refused {
            warn!(self.log, "value refused"; "step" => "store", "reason" => %error);
        }
    }

    fn regained(&mut self) {
        self.pause = FIRST_PAUSE;
        self.page_limit = answer_limit(&self.sources);
        self.is_doubtful = false;
        self.sources.relay.set_current(true);
        if let Some(since) = self.lost_at.take() {
            info!(self.log, "source regained"; "step" => "store",
                "away_ms" => since.elapsed().as_millis() as u64);
        }
    }

    fn note_failed(&mut self, error: &Error) {
        self.count("failed");
        self.sources.relay.set_current(false);
        self.is_doubtful = false;
        self.page_limit = (self.page_limit * 2).min(LONGEST_PAGE);
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            warn!(self.log, "store lost"; "step" => "store", "reason" => %error);
        }
    }

    async fn wait_after_failure(&mut self) {
        self.borrow_view().await;
        let jitter = self.random.random_range(0.75..1.25);
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Takes the view of any peer, since the store does not answer this instance. It may answer others.
    async fn borrow_view(&mut self) {
        let Some(peer) = locked(&self.sources.peers).any(self.sources.clock.now()) else {
            return;
        };
        let before = self.revision;
        let followed = match Followed::once(peer, self.known_revision()).await {
            Ok(mut followed) => self.take_part(&mut followed).await,
            Err(reason) => Err(reason),
        };
        if let Err(reason) = followed {
            info!(self.log, "no view from peer"; "step" => "follow", "peer" => %peer,
                "reason" => %reason);
            locked(&self.sources.peers).shun(self.sources.clock.now(), peer);
        } else if self.revision > before {
            info!(self.log, "view taken from peer"; "step" => "follow", "peer" => %peer,
                "revision" => self.revision);
        }
    }
}

/// Returns the time within which the store has to answer.
fn answer_limit(sources: &Sources) -> Duration {
    Duration::from_millis(sources.change_limit.0 / ANSWER_SHARE)
}
