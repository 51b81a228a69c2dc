//! Errors of encoding, decoding and authenticating messages.

use displaydoc::Display;

/// Reason why a message or route token was rejected.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// {message_kind} of {len_bytes} bytes exceeds the limit of {limit_bytes} bytes
    TooLong {
        /// Kind of message.
        message_kind: &'static str,
        /// Size of the message.
        len_bytes: usize,
        /// Maximum size.
        limit_bytes: usize,
    },
    /// malformed {message_kind}: {reason}
    Malformed {
        /// Kind of message.
        message_kind: &'static str,
        /// Error reported by the decoder or the check that failed.
        reason: String,
    },
    /// authentication of {message_kind} failed
    Unauthenticated {
        /// Kind of message.
        message_kind: &'static str,
    },
}

impl std::error::Error for Error {}

/// Result of encoding or decoding a message.
pub type Result<T> = std::result::Result<T, Error>;
