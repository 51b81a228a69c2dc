//! Errors from creating the decision core.

use displaydoc::Display;

/// Error from creating a shard or the control plane.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// invalid embedded state chart: {0}
    Chart(chart::Error),
}

impl std::error::Error for Error {}

impl From<chart::Error> for Error {
    fn from(error: chart::Error) -> Self {
        Self::Chart(error)
    }
}

/// Result of creating a part of the core.
pub type Result<T> = std::result::Result<T, Error>;
