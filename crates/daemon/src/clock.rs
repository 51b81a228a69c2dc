//! Clock of the daemon, from which the decision core gets its times.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ids::{Incarnation, Micros};

/// Monotonic time since process start, plus the wall-clock time of the start for traces and the
/// incarnation.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    started_at_unix: Duration,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
            // A wall clock before 1970 is clamped to 1970; only traces and the incarnation use it.
            started_at_unix: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Micros {
        Micros(self.started_at.elapsed().as_micros() as u64)
    }

    /// Converts a time since the start to nanoseconds since the Unix epoch.
    pub fn unix_nanos(&self, at: Micros) -> u64 {
        self.started_at_unix.as_nanos() as u64 + at.0 * 1_000
    }

    /// Returns the incarnation of this process: its start in milliseconds since the Unix epoch.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.started_at_unix.as_millis() as u64)
    }
}
