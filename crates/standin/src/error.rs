//! Error type of the stand-ins.

use displaydoc::Display;

/// Error that ends a stand-in.
#[derive(Debug, Display)]
pub enum Error {
    /// {step}: {source}
    Io {
        /// Operation that failed, with the other party if there is one.
        step: String,
        /// Error that the operating system reported.
        source: std::io::Error,
    },
    /// {step}: {reason}
    Failed {
        /// Operation that failed, with the other party if there is one.
        step: String,
        /// Why it failed.
        reason: String,
    },
}

impl std::error::Error for Error {}

/// Result with the error type of the stand-ins.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns a function that adds the failed step to an I/O error.
    pub fn io(step: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let step = step.into();
        move |source| Self::Io { step, source }
    }

    /// Creates an error from the failed step and the reason.
    pub fn failed(step: impl Into<String>, reason: impl ToString) -> Self {
        Self::Failed {
            step: step.into(),
            reason: reason.to_string(),
        }
    }
}
