//! Rate limit for log lines.

use ids::{Micros, Millis};

/// Length of the window in which lines are counted.
const WINDOW: Millis = Millis(1_000);

/// Allows a fixed number of log lines per second and counts the suppressed ones.
#[derive(Debug)]
pub struct LineLimiter {
    max_per_window: u32,
    window_start: Micros,
    used: u32,
    suppressed: u64,
}

impl LineLimiter {
    /// Creates a limiter that allows `per_second` lines per second.
    pub fn new(per_second: u32) -> Self {
        Self {
            max_per_window: per_second,
            window_start: Micros(0),
            used: 0,
            suppressed: 0,
        }
    }

    /// Returns whether a line may be written now; a refused line is counted as suppressed.
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

    /// Returns the number of lines suppressed since the last call.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}
