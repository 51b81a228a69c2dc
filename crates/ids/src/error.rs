//! Errors of parsing an id, size, rate or time.

use displaydoc::Display;

/// Why a text is not a valid value of one of this crate's types.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// {kind} must be 1 to {max_bytes} bytes of letters, digits, '-', '_' or '.', got {text:?}
    InvalidName {
        /// Kind of name, such as "service name".
        kind: &'static str,
        /// Greatest length accepted.
        max_bytes: usize,
        /// The text refused.
        text: String,
    },
    /// {kind} must be {expected}, got {text:?}
    InvalidNumber {
        /// Kind of number, such as "flow id".
        kind: &'static str,
        /// The form expected.
        expected: &'static str,
        /// The text refused.
        text: String,
    },
}

impl std::error::Error for Error {}

/// Result of this crate's parsers.
pub type Result<T> = std::result::Result<T, Error>;
