//! The clock that drives the decision core.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ids::{Incarnation, Micros};

/// Monotonic time since the process started, with the wall time of the start for traces.
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
            // A wall clock before 1970 counts as 1970; only traces and the incarnation use it.
            started_at_unix: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Micros {
        Micros(self.started_at.elapsed().as_micros() as u64)
    }

    /// Returns a time since the start as nanoseconds since the Unix epoch.
    pub fn unix_nanos(&self, at: Micros) -> u64 {
        self.started_at_unix.as_nanos() as u64 + at.0 * 1_000
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.started_at_unix.as_millis() as u64)
    }
}
