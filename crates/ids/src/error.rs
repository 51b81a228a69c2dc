//! Errors returned when parsing ids, sizes, rates and times.

use displaydoc::Display;

/// Reason why a text could not be parsed.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// {kind} must be 1 to {max_bytes} bytes of letters, digits, '-', '_' or '.', got {text:?}
    InvalidName {
        /// Kind of name, such as "service name".
        kind: &'static str,
        /// Maximum length in bytes.
        max_bytes: usize,
        /// The rejected text.
        text: String,
    },
    /// {kind} must be {expected}, got {text:?}
    InvalidNumber {
        /// Kind of number, such as "flow id".
        kind: &'static str,
        /// Description of the expected form.
        expected: &'static str,
        /// The rejected text.
        text: String,
    },
}

impl std::error::Error for Error {}

/// Result of parsing one of the types of this crate.
pub type Result<T> = std::result::Result<T, Error>;
