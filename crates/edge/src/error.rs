//! Errors of the daemon.

use displaydoc::Display;

/// Why the daemon could not start or go on.
#[derive(Debug, Display)]
pub enum Error {
    /// {step}: {source}
    Io {
        /// What was attempted, with the address.
        step: String,
        /// What the system reported.
        source: std::io::Error,
    },
    /// {0}
    Platform(platform::Error),
    /// {step}: {reason}
    Failed {
        /// What was attempted.
        step: &'static str,
        /// What went wrong.
        reason: String,
    },
}

impl std::error::Error for Error {}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Self {
        Self::Platform(error)
    }
}

/// Result of the daemon's work.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns a function that wraps a system error with its step.
    pub fn io(step: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let step = step.into();
        move |source| Self::Io { step, source }
    }
}
