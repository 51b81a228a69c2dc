//! Errors of the daemon.

use displaydoc::Display;

/// Errors that prevent the daemon or one of its tasks from starting or continuing.
#[derive(Debug, Display)]
pub enum Error {
    /// {step}: {source}
    Io {
        /// The operation that failed, including the peer or address.
        step: String,
        /// The error reported by the operating system.
        source: std::io::Error,
    },
    /// {step}: {reason}
    Failed {
        /// The operation that failed, including the peer or address.
        step: String,
        /// Why the operation failed.
        reason: String,
    },
}

impl std::error::Error for Error {}

/// Result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns a function that adds the failed step to an I/O error.
    pub fn io(step: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let step = step.into();
        move |source| Self::Io { step, source }
    }

    /// Creates an error for a failed step.
    pub fn failed(step: impl Into<String>, reason: impl ToString) -> Self {
        Self::Failed {
            step: step.into(),
            reason: reason.to_string(),
        }
    }
}
