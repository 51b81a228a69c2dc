//! Every wait on the path from the store to a decision, derived from the change limit.
//!
//! A call that the store never answers hides all changes until it is taken for lost and repeated.
//! The waits are chosen together, so that their sums stay within the change limit; see [store
//! timing](../../../docs/design/store-timing.md).

mod worst_case;

use std::time::Duration;

use ids::Millis;
use steer::store_turn;

use crate::relay::HEARTBEAT_INTERVAL;

pub use worst_case::Loss;

/// Number of missed heartbeats after which a peer is considered unresponsive.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// A call without a wait has to be answered within this fraction of the change limit, which allows
/// the store to be 48 times slower than usual. With a quarter, watches would have to wait so much
/// less that calls grow by 16% in a fleet in which three of five failure domains have one instance.
const ANSWER_TIMEOUT_DIVISOR: u32 = 5;

/// A watch has to be answered within this fraction of the change limit after its wait. It is
/// shorter than the time-out of other calls, because a false alarm costs only one call, which then
/// shows that the store is slow.
const WATCH_ANSWER_DIVISOR: u32 = 10;

/// After changes, the next watch is delayed by this fraction of the change limit, so that one call
/// returns several changes.
const BATCH_DELAY_DIVISOR: u32 = 5;

/// Fraction of the change limit that is left for the processor and for the way between peers.
const RESERVE_DIVISOR: u32 = 50;

/// Fraction of the change limit for a first view of a peer after the first failed call to the
/// store. The page is then requested again with twice the time-out.
const FIRST_VIEW_DIVISOR: u32 = 5;

/// Longest wait of a watch. Longer ones would save few calls, and the store keeps history for
/// seconds only.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(4);

/// Shortest wait of a watch. A change limit that asks for less cannot be met, and must not make a
/// reader call without end.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(50);

/// Minimum and maximum pause after a failed call, before jitter. Refused calls are charged as well,
/// and the store usually recovers within seconds.
pub const MIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Bounds of the factor by which a pause is multiplied, so that instances do not call in step.
pub const RETRY_JITTER: std::ops::Range<f64> = 0.75..1.25;

/// Maximum time-out for a page of the store or for the first view from a peer, which may be a
/// megabyte over a slow link.
const MAX_PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a call is kept after its wait, so that an answer after the time-out is taken while
/// the call is repeated.
pub const MAX_LATE_ANSWER: Duration = Duration::from_secs(5);

/// Time after which a first page is no longer awaited if a better peer is known. The store usually
/// answers within milliseconds; it takes longer if all instances of a large fleet read a large view
/// at the same time.
pub const FIRST_PAGE_PATIENCE: Duration = Duration::from_millis(50);

/// Interval at which an instance that still waits for its first page looks for a better peer.
pub const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time for a peer to accept a follower, including the connection.
pub const PEER_OPEN_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of better peers from which on turns no longer grow.
const MANY_PEERS: usize = 1_000;

/// Waits of a reader with a given change limit.
#[derive(Debug, Clone, Copy)]
pub struct StoreTiming {
    change_limit: Duration,
}

/// Waits of one watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimes {
    /// Time for which the store waits for changes.
    pub wait: Duration,
    /// Time after the wait within which the store has to answer.
    pub answer_timeout: Duration,
}

/// What a reader knows about the conditions of its next watch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatchConditions {
    /// Whether peers follow this instance.
    pub has_followers: bool,
    /// Whether the store answered its latest call slowly, see [`StoreTiming::is_slow`].
    pub is_store_slow: bool,
    /// Whether the reader has just paused to gather changes.
    pub has_paused: bool,
}

impl StoreTiming {
    /// Creates the waits for a limit within which a published change must take effect.
    pub fn new(change_limit: Millis) -> Self {
        Self {
            change_limit: Duration::from_millis(change_limit.0),
        }
    }

    /// Returns the waits of a watch.
    ///
    /// A pause that gathers changes is part of the wait, so that the limit holds for a change that
    /// is published during the pause. A slow store gets more time to answer and less to wait.
    pub fn watch(&self, conditions: WatchConditions) -> WatchTimes {
        let answer_timeout = if conditions.is_store_slow {
            self.answer_timeout()
        } else {
            self.watch_answer_timeout()
        };
        // The loss must be known, and the call repeated successfully, before the limit is reached.
        // Followers may be able to reach the store themselves, so they must learn in time that
        // this instance cannot.
        let repetition = if conditions.has_followers {
            self.max_first_turn() + self.answer_timeout()
        } else {
            self.max_first_pause() + self.answer_timeout()
        };
        let mut wait = self
            .change_limit
            .saturating_sub(self.reserve() + answer_timeout + repetition)
            .clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT);
        if conditions.has_paused {
            wait = wait.saturating_sub(self.batch_delay());
        }
        WatchTimes {
            wait,
            answer_timeout,
        }
    }

    /// Returns the waits of a watch whose response shows whether the store answers at all. The
    /// store never answers calls that were sent during an outage, even after it is back, so the
    /// wait is left out.
    pub fn immediate_watch(&self) -> WatchTimes {
        WatchTimes {
            wait: Duration::ZERO,
            answer_timeout: self.answer_timeout(),
        }
    }

    /// Returns the time within which the store has to answer a call without a wait.
    pub fn answer_timeout(&self) -> Duration {
        self.change_limit / ANSWER_TIMEOUT_DIVISOR
    }

    fn watch_answer_timeout(&self) -> Duration {
        self.change_limit / WATCH_ANSWER_DIVISOR
    }

    /// Returns whether a store that takes this time to answer might be taken for lost.
    pub fn is_slow(&self, answer_time: Duration) -> bool {
        answer_time > self.watch_answer_timeout() / 2
    }

    /// Returns the pause after changes that gathers further ones.
    pub fn batch_delay(&self) -> Duration {
        self.change_limit / BATCH_DELAY_DIVISOR
    }

    /// Returns the time-out of a page after one that was too short, for an instance without a view.
    /// Longer time-outs would hide the end of an outage from an instance that has one.
    pub fn next_page_timeout(&self, page_timeout: Duration) -> Duration {
        (page_timeout * 2).min(MAX_PAGE_TIMEOUT)
    }

    /// Returns the pause, before jitter, after one that was not long enough.
    pub fn next_retry_pause(&self, retry_pause: Duration) -> Duration {
        (retry_pause * 2).min(MAX_RETRY_PAUSE)
    }

    /// Returns how long a view may take that is fetched from a peer after a failed call to the
    /// store, or `None` if the store comes first: a single lost call is repeated before any peer
    /// is asked, because a silent peer would take the time of the repetition.
    pub fn peer_view_timeout(&self, has_view: bool, is_first_failure: bool) -> Option<Duration> {
        match (has_view, is_first_failure) {
            (true, true) => None,
            (true, false) => {
                let other_waits = 2 * self.answer_timeout() + max_jitter(MAX_RETRY_PAUSE);
                Some(
                    self.change_limit
                        .saturating_sub(self.reserve() + other_waits),
                )
            }
            (false, true) => Some(self.change_limit / FIRST_VIEW_DIVISOR),
            (false, false) => Some(MAX_PAGE_TIMEOUT),
        }
    }

    /// Returns the silence after which a peer is considered unresponsive. It also covers the time
    /// in which the peer accepts a follower and sends the first part.
    pub fn peer_silence(&self) -> Duration {
        HEARTBEAT_INTERVAL * MAX_MISSED_HEARTBEATS
    }

    /// Returns how long an instance with `better_peers` better peers waits for them before it calls
    /// the store.
    pub fn first_turn(&self, better_peers: usize) -> Duration {
        to_duration(store_turn::first_turn(better_peers, self.limit()))
    }

    /// Returns the minimum pause between the calls of an instance with `better_peers` better peers
    /// while the store does not answer.
    pub fn retry_turn(&self, better_peers: usize) -> Duration {
        to_duration(store_turn::retry_turn(better_peers, self.limit()))
    }

    /// Returns for how long after the start a first view that the store does not return at once is
    /// expected from peers.
    pub fn peers_first(&self, better_peers: usize) -> Duration {
        self.answer_timeout() + self.first_turn(better_peers)
    }

    fn max_first_turn(&self) -> Duration {
        self.first_turn(MANY_PEERS)
    }

    fn max_first_pause(&self) -> Duration {
        max_jitter(MIN_RETRY_PAUSE)
    }

    fn reserve(&self) -> Duration {
        self.change_limit / RESERVE_DIVISOR
    }

    fn limit(&self) -> Millis {
        Millis(self.change_limit.as_millis() as u64)
    }
}

fn max_jitter(pause: Duration) -> Duration {
    pause.mul_f64(RETRY_JITTER.end)
}

fn to_duration(time: Millis) -> Duration {
    Duration::from_millis(time.0)
}
