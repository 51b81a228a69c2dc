//! A bound on log lines.

use ids::{Micros, Millis};

/// Span over which lines are counted.
const WINDOW: Millis = Millis(1_000);

/// Counts lines and lets at most a fixed number through in each second.
#[derive(Debug)]
pub struct LineLimiter {
    max_per_window: u32,
    window_start: Micros,
    used: u32,
    suppressed: u64,
}

impl LineLimiter {
    /// Creates a budget of lines a second.
    pub fn new(per_second: u32) -> Self {
        Self {
            max_per_window: per_second,
            window_start: Micros(0),
            used: 0,
            suppressed: 0,
        }
    }

    /// Takes one line, or counts it as left out.
    pub fn try_take(&mut self, now: Micros) -> bool {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.used = 0;
        }
        if self.used >= self.max_per_window {
            self.suppressed += 1;
            return false;
        }
        self.used += 1;
        true
    }

    /// Returns the lines left out since the last call.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}
