//! Evidence from callers' packets that a target answers or is silent.
//!
//! Answers bypass the balancer, but a caller that acknowledges new bytes has just heard from its
//! target, and a caller that sends the same packet again has not. Reports of a target lag by
//! seconds and may be wrong, so this evidence is weighed first.

use ids::{Micros, Millis};

use crate::model::TargetId;

/// Unanswered packets of different flows from which a target is avoided for long. A single one is
/// as likely to be a lost datagram.
const LONG_AVOIDANCE_COUNT: u32 = 2;

/// Unanswered requests of different open flows from which the target's flows count as dead. Two
/// losses may coincide on a live target between two answers; three do not.
const DEAD_COUNT: u32 = 3;

/// Stalled requests within [`STALL_WINDOW`] from which a target gets no new flows. A healthy target
/// stalls one now and then.
const STALLED_COUNT: u32 = 3;

/// Time over which stalled requests are counted.
const STALL_WINDOW: Millis = Millis(2_000);

/// Time for which a target that stalls requests gets no new flows. Some have to follow then, since
/// only they show whether it has recovered.
const STALL_AVOIDANCE: Millis = Millis(3_000);

/// Time for which unanswered requests count. A target that comes back is found by the first
/// request after it.
const DEAD_WINDOW: Millis = Millis(1_000);

/// What had no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnansweredPacket {
    /// An opening packet. A live target that is full does not answer it either.
    Opening,
    /// A request of an open flow, which every live target acknowledges.
    Request,
}

/// What one instance tells another of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// The target.
    pub target: TargetId,
    /// What was seen.
    pub observation: Observation,
    /// Time since the target was heard, or since the unanswered packet was first sent.
    pub age: Millis,
}

/// What was seen of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// A caller has heard from it.
    Responded,
    /// A packet had no answer.
    Unanswered(UnansweredPacket),
    /// A request was taken and has no answer for long.
    Stalled,
}

/// What callers' packets say of one target.
#[derive(Debug, Default, Clone, Copy)]
pub struct Responsiveness {
    /// Last time a caller showed that it had heard from the target.
    last_response_at: Micros,
    /// When the last unanswered packet was first sent.
    unanswered_at: Micros,
    /// Unanswered packets since it was heard.
    signs: u32,
    /// Unanswered requests of open flows since it was heard.
    requests: u32,
    /// Last unanswered request.
    request_at: Micros,
    /// Time before which the target gets no new flows.
    avoid_until: Micros,
}

impl Responsiveness {
    /// A caller heard from the target at a time. Returns whether the target was avoided until now.
    pub fn record_response(&mut self, now: Micros, last_response_at: Micros) -> bool {
        if last_response_at < self.last_response_at || last_response_at < self.unanswered_at {
            return false;
        }
        let was_avoided = now < self.avoid_until;
        *self = Self {
            last_response_at,
            ..Self::default()
        };
        was_avoided
    }

    /// A packet sent at `request_sent_at` has no answer. Returns the number of such packets, or nothing
    /// when the target was heard since.
    pub fn record_unanswered(
        &mut self,
        now: Micros,
        asked: UnansweredPacket,
        request_sent_at: Micros,
        brief_avoidance: Millis,
        long_avoidance: Millis,
    ) -> Option<u32> {
        if request_sent_at < self.last_response_at {
            return None;
        }
        self.unanswered_at = self.unanswered_at.max(request_sent_at);
        self.signs = self.signs.saturating_add(1);
        if asked == UnansweredPacket::Request {
            self.requests = self.requests.saturating_add(1);
            self.request_at = now;
        }
        let span = if self.signs >= LONG_AVOIDANCE_COUNT {
            long_avoidance
        } else {
            brief_avoidance
        };
        self.avoid_until = self.avoid_until.max(now + span);
        Some(self.signs)
    }

    /// Returns the last time a caller showed that it had heard from the target.
    pub fn last_response_at(&self) -> Micros {
        self.last_response_at
    }

    /// Tells whether the target gets no new flows.
    pub fn is_avoided(&self, now: Micros) -> bool {
        now < self.avoid_until
    }

    /// Tells whether the target's open flows count as dead.
    pub fn is_dead(&self, now: Micros) -> bool {
        self.requests >= DEAD_COUNT && now.since(self.request_at) <= DEAD_WINDOW
    }
}

/// Requests that a target took and did not answer. It may answer others, and report itself healthy.
#[derive(Debug, Default, Clone, Copy)]
pub struct StalledRequests {
    began_at: Micros,
    count: u32,
    avoid_until: Micros,
}

impl StalledRequests {
    /// Counts a request that has had no answer for long, and returns how many there were lately.
    pub fn add(&mut self, now: Micros) -> u32 {
        if now.since(self.began_at) > STALL_WINDOW {
            self.began_at = now;
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.count
    }

    /// Returns how many requests stalled lately.
    pub fn count(&self, now: Micros) -> u32 {
        if now.since(self.began_at) > STALL_WINDOW {
            return 0;
        }
        self.count
    }

    /// Avoids the target when enough requests stalled lately. Returns whether it was not avoided
    /// before.
    pub fn avoid_if_excessive(&mut self, now: Micros) -> bool {
        if self.count(now) < STALLED_COUNT {
            return false;
        }
        let was_avoided = self.is_avoided(now);
        self.avoid_until = now + STALL_AVOIDANCE;
        !was_avoided
    }

    /// Tells whether the target gets no new flows.
    pub fn is_avoided(&self, now: Micros) -> bool {
        now < self.avoid_until
    }
}
