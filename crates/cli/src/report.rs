//! What a command prints and how it ends.

use displaydoc::Display;
use serde::Serialize;

/// Exit codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitStatus {
    /// Everything is as it should be.
    Success = 0,
    /// Something was found that an operator should look at.
    Findings = 1,
    /// The arguments are wrong, or a file cannot be read or written.
    UsageError = 2,
    /// An instance cannot be reached.
    Unreachable = 3,
}

/// What a command prints.
#[derive(Debug)]
pub struct Report {
    /// Text for people.
    pub text: String,
    /// The same for machines.
    pub json: serde_json::Value,
    /// How the command ends.
    pub exit_status: ExitStatus,
}

impl Report {
    /// Makes a report of the text for people and the value for machines.
    pub fn new(text: String, value: &impl Serialize, exit_status: ExitStatus) -> Result<Self> {
        let json = serde_json::to_value(value)?;
        Ok(Self {
            text,
            json,
            exit_status,
        })
    }
}

/// Why a command cannot do its work.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot read {file}: {source}
    Read {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// cannot write {file}: {source}
    Write {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// {0}
    Refused(conf::Error),
    /// no service {service} in {file}, which has {known}
    UnknownService {
        /// The service asked for.
        service: ids::ServiceName,
        /// The document.
        file: String,
        /// Its services.
        known: String,
    },
    /// cannot start the HTTP client: {0}
    Client(String),
    /// cannot print JSON: {0}
    Json(serde_json::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit code of the error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Refused(_) => ExitStatus::Findings,
            _ => ExitStatus::UsageError,
        }
    }

    /// Returns the error for machines, with each problem of a refused file apart.
    pub fn to_json(&self) -> serde_json::Value {
        let problems = match self {
            Self::Refused(conf::Error::Invalid(problems)) => Some(problems),
            _ => None,
        };
        serde_json::json!({ "error": self.to_string(), "problems": problems })
    }
}

impl From<conf::Error> for Error {
    fn from(error: conf::Error) -> Self {
        Self::Refused(error)
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::Json(error)
    }
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;
