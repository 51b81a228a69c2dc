//! Limits the opening packets that this instance sends to further targets while targets turn requests
//! away.
//!
//! The load that this answers: under overload, handshakes are late as well, and each opening packet
//! that goes to a further target adds a flow when capacity is shortest.

use ids::Micros;

/// Opening packets that may go to a further target for each successful handshake.
const RATIO: f32 = 0.2;

/// Opening packets a second that may go to a further target in any case, so that dead targets are
/// abandoned where few flows open.
const FLOOR_PER_S: f32 = 10.0;

/// Maximum number that is saved up: a second of the floor.
const MAX_SAVED: f32 = 10.0;

/// The budget of one instance.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    saved: f32,
    counted_at: Micros,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED,
            counted_at: Micros(0),
        }
    }
}

impl RetryBudget {
    /// Counts a successful handshake.
    pub(crate) fn record_handshake(&mut self) {
        self.saved = (self.saved + RATIO).min(MAX_SAVED);
    }

    /// Takes one opening packet from the budget. Returns whether there was one.
    pub(crate) fn try_take(&mut self, now: Micros) -> bool {
        let elapsed_s = now.since(self.counted_at).0 as f32 / 1_000.0;
        self.counted_at = now;
        self.saved = (self.saved + FLOOR_PER_S * elapsed_s).min(MAX_SAVED);
        let has_one = self.saved >= 1.0;
        if has_one {
            self.saved -= 1.0;
        }
        has_one
    }
}
