//! Evidence from callers' packets that a target answers or is silent.
//!
//! Answers bypass the balancer, but a caller that acknowledges new bytes has just heard from its
//! target, and a caller that sends the same packet again has not. Reports of a target lag by
//! seconds and may be wrong, so this evidence is weighed first.

use ids::{Micros, Millis};

/// Unanswered packets of different flows from which silence is taken as certain. A single one is
/// as likely to be a lost datagram.
const CERTAIN_SIGNS: u32 = 2;

/// What callers' packets say of one target.
#[derive(Debug, Default, Clone, Copy)]
pub struct Silence {
    /// Last time a caller showed that it had heard from the target.
    heard_at: Micros,
    /// Unanswered packets since then.
    signs: u32,
    /// Time before which the target gets no new flows.
    avoid_until: Micros,
}

impl Silence {
    /// A caller has heard from the target. Returns whether the target was avoided until now.
    pub fn hear(&mut self, now: Micros) -> bool {
        let was_avoided = now < self.avoid_until;
        self.heard_at = now;
        self.signs = 0;
        self.avoid_until = Micros(0);
        was_avoided
    }

    /// A packet sent at `asked_at` has no answer. Returns whether silence is certain now, or
    /// nothing when the target was heard since.
    pub fn miss(
        &mut self,
        now: Micros,
        asked_at: Micros,
        doubt: Millis,
        avoid: Millis,
    ) -> Option<bool> {
        if asked_at < self.heard_at {
            return None;
        }
        self.signs = self.signs.saturating_add(1);
        let span = if self.signs >= CERTAIN_SIGNS { avoid } else { doubt };
        self.avoid_until = self.avoid_until.max(now + span);
        Some(self.is_certain())
    }

    /// Tells whether the target gets no new flows.
    pub fn is_avoided(&self, now: Micros) -> bool {
        now < self.avoid_until
    }

    /// Returns the last time a caller showed that it had heard from the target.
    pub fn heard_at(&self) -> Micros {
        self.heard_at
    }

    /// Tells whether several packets in a row had no answer.
    pub fn is_certain(&self) -> bool {
        self.signs >= CERTAIN_SIGNS
    }
}
