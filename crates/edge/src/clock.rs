//! Monotonic clock that supplies the time to the steering core.

use std::time::{Duration, Instant};

use ids::Micros;

/// Monotonic time since the process started.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Micros {
        Micros(self.start.elapsed().as_micros() as u64)
    }

    /// Converts a time since the start to an [`Instant`].
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.0)
    }
}
