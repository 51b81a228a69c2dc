//! A bound on log lines.

use ids::{Micros, Millis};

/// Span over which lines are counted.
const WINDOW: Millis = Millis(1_000);

/// Counts lines and lets at most a fixed number through in each second.
#[derive(Debug)]
pub struct Budget {
    per_window: u32,
    began_at: Micros,
    used: u32,
    left_out: u64,
}

impl Budget {
    /// Creates a budget of lines a second.
    pub fn new(per_second: u32) -> Self {
        Self {
            per_window: per_second,
            began_at: Micros(0),
            used: 0,
            left_out: 0,
        }
    }

    /// Takes one line, or counts it as left out.
    pub fn take(&mut self, now: Micros) -> bool {
        if now.since(self.began_at) >= WINDOW {
            self.began_at = now;
            self.used = 0;
        }
        if self.used >= self.per_window {
            self.left_out += 1;
            return false;
        }
        self.used += 1;
        true
    }

    /// Returns the lines left out since the last call.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
