//! Reading the store: a complete reading, then one watch for everything.

use std::time::{Duration, Instant};

use ids::Millis;
use platform::{Error, Store};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slog::{Logger, info, warn};
use steer::Update;

use crate::metrics::Metrics;

/// Longest wait of one watch. A connection that went silent is noticed when it ends, which has to
/// be sooner than a configuration has to be in force.
const WATCH_WAIT: Millis = Millis(4_000);

/// Share of the shortest bound on changes for which they are gathered before the next watch, since
/// each watch costs a call. The rest is left for a slow store and a second attempt.
const GATHER_SHARE: u64 = 5;

/// First and longest pause after a failed call. Calls are priced also when they are refused, and
/// the store is back within seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

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
}

/// Reads the store for as long as the process runs.
pub struct Reader {
    store: Store,
    feeds: flume::Sender<Feed>,
    metrics: Metrics,
    log: Logger,
    lost_at: Option<Instant>,
    pause: Duration,
    gather: Duration,
    random: SmallRng,
}

impl Reader {
    /// Creates a reader that passes what it learns to `feeds`.
    ///
    /// `change_limit` is the time within which a change has to be in force.
    pub fn new(
        store: Store,
        change_limit: Millis,
        feeds: flume::Sender<Feed>,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        Self {
            gather: Duration::from_millis(change_limit.0 / GATHER_SHARE),
            store,
            feeds,
            metrics,
            log,
            lost_at: None,
            pause: FIRST_PAUSE,
            random: SmallRng::from_os_rng(),
        }
    }

    /// Runs until the packet loop ends.
    pub async fn run(mut self) {
        let mut revision = None;
        while !self.feeds.is_disconnected() {
            let result = match revision {
                None => self.read().await,
                Some(after) => self.watch(after).await,
            };
            match result {
                Ok(next) => {
                    self.regained();
                    revision = Some(next);
                }
                Err(Error::Compacted { peer }) => {
                    self.metrics.store_calls.with_label_values(&["compacted"]).inc();
                    info!(self.log, "history is gone, reading again"; "step" => "store",
                        "peer" => peer, "revision" => revision);
                    revision = None;
                }
                Err(error) => self.failed(&error).await,
            }
        }
    }

    /// Reads every page. Pages are read at different revisions, so the watch that follows starts
    /// from the first one's.
    async fn read(&mut self) -> platform::Result<u64> {
        let mut all = Vec::new();
        let mut revision = None;
        let mut after: Option<String> = None;
        loop {
            let began = Instant::now();
            let page = self.store.page(after.as_deref()).await?;
            self.metrics.store_call.observe(began.elapsed().as_secs_f64());
            self.metrics.store_calls.with_label_values(&["page"]).inc();
            self.tell_refused(&page.refused);
            revision.get_or_insert(page.revision);
            all.extend(page.updates);
            after = page.next;
            if after.is_none() {
                break;
            }
        }
        let revision = revision.unwrap_or_default();
        info!(self.log, "store read"; "step" => "store", "revision" => revision,
            "items" => all.len());
        self.pass(Feed::Reading {
            revision,
            updates: all,
        });
        Ok(revision)
    }

    async fn watch(&mut self, after: u64) -> platform::Result<u64> {
        let changes = self.store.watch(after, WATCH_WAIT).await?;
        self.metrics.store_calls.with_label_values(&["watch"]).inc();
        self.tell_refused(&changes.refused);
        let revision = changes.revision.max(after);
        let is_news = !changes.updates.is_empty();
        self.pass(Feed::Changes {
            revision,
            updates: changes.updates,
        });
        if is_news {
            tokio::time::sleep(self.gather).await;
        }
        Ok(revision)
    }

    fn pass(&self, feed: Feed) {
        // The queue has no bound and closes only when the process ends.
        let _ = self.feeds.send(feed);
    }

    fn tell_refused(&self, refused: &[Error]) {
        for error in refused {
            warn!(self.log, "value refused"; "step" => "store", "reason" => %error);
        }
    }

    fn regained(&mut self) {
        self.pause = FIRST_PAUSE;
        if let Some(since) = self.lost_at.take() {
            info!(self.log, "store regained"; "step" => "store",
                "away_ms" => since.elapsed().as_millis() as u64);
        }
    }

    async fn failed(&mut self, error: &Error) {
        self.metrics.store_calls.with_label_values(&["failed"]).inc();
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            warn!(self.log, "store lost"; "step" => "store", "reason" => %error);
        }
        let jitter = self.random.random_range(0.75..1.25);
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}
