//! Evidence from callers' packets that a target answers or is silent.
//!
//! Answers bypass the balancer, but a caller that acknowledges new bytes has just heard from its
//! target, and a caller that sends the same packet again has not. Reports of a target lag by
//! seconds and may be wrong, so this evidence is weighed first.

use ids::{Micros, Millis};

use crate::model::TargetId;

/// Unanswered packets of different flows from which a target is avoided for long. A single one is
/// as likely to be a lost datagram.
const CERTAIN_SIGNS: u32 = 2;

/// Unanswered requests of different open flows from which the target's flows count as dead. Two
/// losses may coincide on a live target between two answers; three do not.
const DEAD_SIGNS: u32 = 3;

/// Stalled requests within [`STALL_WINDOW`] from which a target gets no new flows. A healthy target
/// stalls one now and then.
const STALLED_SIGNS: u32 = 3;

/// Time over which stalled requests are counted.
const STALL_WINDOW: Millis = Millis(2_000);

/// Time for which a target that stalls requests gets no new flows. Some have to follow then, since
/// only they show whether it has recovered.
const STALL_AVOID: Millis = Millis(3_000);

/// Time for which unanswered requests count. A target that comes back is found by the first
/// request after it.
const DEAD_MEMORY: Millis = Millis(1_000);

/// What had no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
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
    pub sign: Sign,
    /// Time since the target was heard, or since the unanswered packet was first sent.
    pub age: Millis,
}

/// What was seen of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// A caller has heard from it.
    Heard,
    /// A packet had no answer.
    Missed(Asked),
    /// A request was taken and has no answer for long.
    Stalled,
}

/// What callers' packets say of one target.
#[derive(Debug, Default, Clone, Copy)]
pub struct Silence {
    /// Last time a caller showed that it had heard from the target.
    heard_at: Micros,
    /// When the last unanswered packet was first sent.
    missed_at: Micros,
    /// Unanswered packets since it was heard.
    signs: u32,
    /// Unanswered requests of open flows since it was heard.
    requests: u32,
    /// Last unanswered request.
    request_at: Micros,
    /// Time before which the target gets no new flows.
    avoid_until: Micros,
}

impl Silence {
    /// A caller heard from the target at a time. Returns whether the target was avoided until now.
    pub fn hear(&mut self, now: Micros, heard_at: Micros) -> bool {
        if heard_at < self.heard_at || heard_at < self.missed_at {
            return false;
        }
        let was_avoided = now < self.avoid_until;
        *self = Self {
            heard_at,
            ..Self::default()
        };
        was_avoided
    }

    /// A packet sent at `asked_at` has no answer. Returns the number of such packets, or nothing
    /// when the target was heard since.
    pub fn miss(
        &mut self,
        now: Micros,
        asked: Asked,
        asked_at: Micros,
        doubt: Millis,
        avoid: Millis,
    ) -> Option<u32> {
        if asked_at < self.heard_at {
            return None;
        }
        self.missed_at = self.missed_at.max(asked_at);
        self.signs = self.signs.saturating_add(1);
        if asked == Asked::Request {
            self.requests = self.requests.saturating_add(1);
            self.request_at = now;
        }
        let span = if self.signs >= CERTAIN_SIGNS {
            avoid
        } else {
            doubt
        };
        self.avoid_until = self.avoid_until.max(now + span);
        Some(self.signs)
    }

    /// Returns the last time a caller showed that it had heard from the target.
    pub fn heard_at(&self) -> Micros {
        self.heard_at
    }

    /// Tells whether the target gets no new flows.
    pub fn is_avoided(&self, now: Micros) -> bool {
        now < self.avoid_until
    }

    /// Tells whether the target's open flows count as dead.
    pub fn is_dead(&self, now: Micros) -> bool {
        self.requests >= DEAD_SIGNS && now.since(self.request_at) <= DEAD_MEMORY
    }
}

/// Requests that a target took and did not answer. It may answer others, and report itself healthy.
#[derive(Debug, Default, Clone, Copy)]
pub struct Stalls {
    began_at: Micros,
    count: u32,
    avoid_until: Micros,
}

impl Stalls {
    /// Counts a request that has had no answer for long, and returns how many there were lately.
    pub fn note(&mut self, now: Micros) -> u32 {
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
    pub fn judge(&mut self, now: Micros) -> bool {
        if self.count(now) < STALLED_SIGNS {
            return false;
        }
        let was_avoided = self.is_avoided(now);
        self.avoid_until = now + STALL_AVOID;
        !was_avoided
    }

    /// Tells whether the target gets no new flows.
    pub fn is_avoided(&self, now: Micros) -> bool {
        now < self.avoid_until
    }
}
