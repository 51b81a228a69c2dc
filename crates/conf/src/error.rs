//! Errors in settings, documents and published values.

use std::fmt;

use displaydoc::Display;
use ids::ContentHash;
use serde::Serialize;

/// A problem in an INI file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line number, starting at one.
    pub line: u32,
    /// Section without brackets; empty if the line is outside of sections.
    pub section: String,
    /// Key; empty if the problem concerns a whole section or line.
    pub key: String,
    /// Value found; `None` if it is missing.
    pub value: Option<String>,
    /// Description of what was expected.
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

/// All problems found while reading a file or value.
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

/// Reason why a file or a published value was rejected.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// {0}
    Invalid(Problems),
    /// {kind} does not match its content hash: expected {expected}, got {actual}
    HashMismatch {
        /// Kind of value.
        kind: &'static str,
        /// Hash by which the value is referenced.
        expected: ContentHash,
        /// Hash of the bytes received.
        actual: ContentHash,
    },
    /// {kind} {hash} is missing
    MissingValue {
        /// Kind of value.
        kind: &'static str,
        /// Hash by which the value is referenced.
        hash: ContentHash,
    },
    /// {kind} of {size_bytes} bytes exceeds the limit of {max_bytes} bytes
    TooLarge {
        /// Kind of value, with its name if it has one.
        kind: String,
        /// Size of the value.
        size_bytes: usize,
        /// Maximum size.
        max_bytes: usize,
    },
    /// {kind} is not valid UTF-8 text
    InvalidUtf8 {
        /// Kind of value.
        kind: &'static str,
    },
}

impl std::error::Error for Error {}

/// Result of reading settings, documents and published values.
pub type Result<T> = std::result::Result<T, Error>;
