//! Errors of the daemon.

use displaydoc::Display;

/// Why the daemon could not start or continue.
#[derive(Debug, Display)]
pub enum Error {
    /// {step}: {source}
    Io {
        /// What was attempted, with the address if there is one.
        step: String,
        /// Error reported by the operating system.
        source: std::io::Error,
    },
    /// {0}
    Platform(platform::Error),
    /// {step}: {reason}
    Failed {
        /// What was attempted.
        step: &'static str,
        /// Cause of the failure.
        reason: String,
    },
}

impl std::error::Error for Error {}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Self {
        Self::Platform(error)
    }
}

/// Result with an [`Error`] of the daemon.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns a function that adds the attempted step to an I/O error.
    pub fn io(step: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let step = step.into();
        move |source| Self::Io { step, source }
    }
}
