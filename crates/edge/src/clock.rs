//! The clock that drives the core.

use std::time::{Duration, Instant};

use ids::Micros;

/// Steady time since the process started.
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

    /// Returns when a time since the start is reached.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.0)
    }
}
