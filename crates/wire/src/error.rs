//! Errors of decoding and authenticating network input.

use displaydoc::Display;

/// Why received bytes were refused.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// decoding a {message_kind}: {len_bytes} bytes exceed the limit of {limit_bytes}
    TooLong {
        /// Kind of message.
        message_kind: &'static str,
        /// Size received.
        len_bytes: usize,
        /// Largest size accepted.
        limit_bytes: usize,
    },
    /// decoding a {message_kind}: {reason}
    Malformed {
        /// Kind of message.
        message_kind: &'static str,
        /// What the codec reported.
        reason: String,
    },
    /// checking a {message_kind}: authentication failed
    Unauthenticated {
        /// Kind of message.
        message_kind: &'static str,
    },
}

impl std::error::Error for Error {}

/// Result of decoding network input.
pub type Result<T> = std::result::Result<T, Error>;
