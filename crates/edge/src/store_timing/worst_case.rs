//! Sums of the waits of [`StoreTiming`] for each call or peer that never answers.

use std::time::Duration;

use super::{
    MANY_PEERS, MAX_RETRY_PAUSE, PEER_OPEN_TIMEOUT, StoreTiming, WatchConditions, max_jitter,
};

/// A call or a peer that never answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// A watch of a reader with followers is lost, and the reader repeats it.
    WatchWithFollowers,
    /// A watch of a reader without followers is lost, and the reader repeats it.
    WatchWithoutFollowers,
    /// A page is lost, and the reader repeats it.
    Page,
    /// The call that catches up a reading of several pages is lost, and the reader watches at once.
    CatchUp,
    /// The upstream peer loses a watch and everything after it, and its follower calls the store.
    SourceOfPeer,
    /// The upstream peer falls silent, and its follower calls the store.
    SilentPeer,
    /// The first page of a starting instance is lost and the peer that it asks is silent.
    FirstView,
    /// A better peer accepts a starting instance and has no view, or falls silent.
    FirstViewFromPeer,
    /// The store or the link to it is back just after a call or a page was lost, the last of several.
    EndOfOutage,
    /// The same for a follower, which calls the store in turn.
    EndOfOutageForFollower,
}

impl Loss {
    /// All losses.
    pub const ALL: [Self; 10] = [
        Self::WatchWithFollowers,
        Self::WatchWithoutFollowers,
        Self::Page,
        Self::CatchUp,
        Self::SourceOfPeer,
        Self::SilentPeer,
        Self::FirstView,
        Self::FirstViewFromPeer,
        Self::EndOfOutage,
        Self::EndOfOutageForFollower,
    ];
}

impl StoreTiming {
    /// Returns the time from the latest moment at which a change may be hidden by a loss until the
    /// reader has read it. For a lost call it begins when the call is sent, or with the pause
    /// before it.
    pub fn worst_case(&self, loss: Loss) -> Duration {
        let answer = self.answer_timeout();
        let repetition = self.max_first_pause() + answer;
        match loss {
            Loss::WatchWithFollowers => self.longest_watch(true) + repetition,
            Loss::WatchWithoutFollowers => self.longest_watch(false) + repetition,
            Loss::Page => answer + repetition,
            Loss::CatchUp => answer + answer,
            Loss::SourceOfPeer => self.longest_watch(true) + self.max_first_turn() + answer,
            Loss::SilentPeer => self.peer_silence() + answer,
            Loss::FirstView => {
                let peer_view = self.peer_view_timeout(false, true).unwrap_or_default();
                let page = self.next_page_timeout(answer);
                answer + peer_view + self.max_first_pause() + page
            }
            Loss::FirstViewFromPeer => self.peers_first(MANY_PEERS) + PEER_OPEN_TIMEOUT + answer,
            Loss::EndOfOutage => {
                let peer_view = self.peer_view_timeout(true, false).unwrap_or_default();
                answer + peer_view + max_jitter(MAX_RETRY_PAUSE) + answer
            }
            Loss::EndOfOutageForFollower => {
                let turn = self.retry_turn(MANY_PEERS);
                answer + turn.max(max_jitter(MAX_RETRY_PAUSE)) + answer
            }
        }
    }

    /// Returns the longest time from the start of a watch, or of the pause before it, until the
    /// reader knows that it is lost.
    fn longest_watch(&self, has_followers: bool) -> Duration {
        let duration = |is_store_slow, has_paused| {
            let times = self.watch(WatchConditions {
                has_followers,
                is_store_slow,
                has_paused,
            });
            let pause = if has_paused {
                self.batch_delay()
            } else {
                Duration::ZERO
            };
            pause + times.wait + times.answer_timeout
        };
        let normal = duration(false, false).max(duration(false, true));
        normal.max(duration(true, false)).max(duration(true, true))
    }
}
