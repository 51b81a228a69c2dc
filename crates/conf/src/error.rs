//! Errors of settings, documents and published values.

use std::fmt;

use displaydoc::Display;
use ids::ContentHash;
use serde::Serialize;

/// One problem of an INI file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line, counted from one.
    pub line: u32,
    /// Section, without brackets; empty when the line is in none.
    pub section: String,
    /// Key; empty when the whole section or line is meant.
    pub key: String,
    /// Value found; `None` when it is missing.
    pub value: Option<String>,
    /// What was expected instead.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        let mut parts = Vec::new();
        if !self.section.is_empty() {
            parts.push(format!("[{}]", self.section));
        }
        match (&self.value, self.key.is_empty()) {
            (Some(value), false) => parts.push(format!("{} = {value}", self.key)),
            (Some(value), true) => parts.push(value.clone()),
            (None, false) => parts.push(format!("{} is missing", self.key)),
            (None, true) => {}
        }
        if !parts.is_empty() {
            write!(f, "{}: ", parts.join(" "))?;
        }
        write!(f, "expected {}", self.expected)
    }
}

/// All problems found in one run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

/// Why a file or a published value is refused.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// {0}
    Invalid(Problems),
    /// {kind} is torn: named {expected}, hashes to {actual}
    HashMismatch {
        /// Kind of value.
        kind: &'static str,
        /// Hash that names the value.
        expected: ContentHash,
        /// Hash of the bytes received.
        actual: ContentHash,
    },
    /// {kind} {hash} is missing
    MissingValue {
        /// Kind of value.
        kind: &'static str,
        /// Hash that names the value.
        hash: ContentHash,
    },
    /// {kind} has {size_bytes} bytes, more than the {max_bytes} that a value may have
    TooLarge {
        /// Kind of value, with its name where it has one.
        kind: String,
        /// Size found.
        size_bytes: usize,
        /// Greatest size accepted.
        max_bytes: usize,
    },
    /// {kind} is not valid UTF-8 text
    InvalidUtf8 {
        /// Kind of value.
        kind: &'static str,
    },
}

impl std::error::Error for Error {}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;
