//! Output, exit status and errors of commands.

use displaydoc::Display;
use serde::Serialize;

/// Exit status of the program; the value is the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitStatus {
    /// The command succeeded without findings.
    Success = 0,
    /// The command found something that needs the attention of an operator.
    Findings = 1,
    /// The arguments are invalid, or a file cannot be read or written.
    UsageError = 2,
    /// An instance cannot be reached.
    Unreachable = 3,
}

/// Output of a command.
#[derive(Debug)]
pub struct Report {
    /// Human-readable output.
    pub text: String,
    /// Machine-readable output with the same content.
    pub json: serde_json::Value,
    /// Exit status of the program.
    pub exit_status: ExitStatus,
}

impl Report {
    /// Creates a report from human-readable text and a value to serialize as JSON.
    pub fn new(text: String, value: &impl Serialize, exit_status: ExitStatus) -> Result<Self> {
        let json = serde_json::to_value(value)?;
        Ok(Self {
            text,
            json,
            exit_status,
        })
    }
}

/// Errors that prevent a command from completing.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot read {file}: {source}
    Read {
        /// Path of the file.
        file: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// cannot write {file}: {source}
    Write {
        /// Path of the file.
        file: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// {0}
    Refused(conf::Error),
    /// no service {service} in {file}, which has {known}
    UnknownService {
        /// Requested service.
        service: ids::ServiceName,
        /// Path of the document.
        file: String,
        /// Names of the services in the document.
        known: String,
    },
    /// {0} is no configuration of steering daemons, and only such a one is compared with an instance
    NoConfiguration(String),
    /// cannot start the HTTP client: {0}
    Client(String),
    /// cannot print JSON: {0}
    Json(serde_json::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit status for the error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Refused(_) => ExitStatus::Findings,
            _ => ExitStatus::UsageError,
        }
    }

    /// Returns the error as JSON, with each problem of a rejected file as a separate item.
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

/// Result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
