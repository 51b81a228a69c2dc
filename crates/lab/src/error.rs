//! Errors of the experiments.

use displaydoc::Display;

/// Why an experiment gave no result.
#[derive(Debug, Display)]
pub enum Error {
    /// the experiment {0} is not available in this version
    Unavailable(&'static str),
    /// cannot create a histogram: {0}
    Histogram(String),
    /// cannot write the results: {0}
    Output(std::io::Error),
    /// cannot pack the document: {0}
    Pack(conf::Error),
    /// cannot create a steering core: {0}
    Core(chart::Error),
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Output(error)
    }
}

impl From<conf::Error> for Error {
    fn from(error: conf::Error) -> Self {
        Self::Pack(error)
    }
}

impl From<chart::Error> for Error {
    fn from(error: chart::Error) -> Self {
        Self::Core(error)
    }
}

/// Result of an experiment.
pub type Result<T> = std::result::Result<T, Error>;
