//! Numeric ids, sizes and rates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

macro_rules! hex_ids {
    ($($(#[$doc:meta])* $name:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                u64::from_str_radix(text, 16).map(Self).map_err(|_| Error::InvalidNumber {
                    kind: $kind,
                    expected: "1 to 16 hexadecimal digits",
                    text: text.to_owned(),
                })
            }
        }
    )*};
}

hex_ids! {
    /// Flow id, chosen at random by the caller and never reused.
    FlowId = "flow id";
    /// Request id, chosen at random by the caller and kept when the request is sent again.
    RequestId = "request id";
}

macro_rules! integers {
    ($($(#[$doc:meta])* $name:ident($inner:ty) = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                text.parse().map(Self).map_err(|_| Error::InvalidNumber {
                    kind: $kind,
                    expected: concat!("a whole number that fits in ", stringify!($inner)),
                    text: text.to_owned(),
                })
            }
        }
    )*};
}

integers! {
    /// Version of the published document, which only increases.
    Version(u64) = "document version";
    /// Start time of a process in milliseconds since the Unix epoch. A restarted process has a
    /// greater incarnation, a paused one keeps its own.
    Incarnation(u64) = "incarnation";
    /// Number of requests that a target runs concurrently.
    Slots(u32) = "slots";
    /// Relative capacity of a target; a target of weight zero receives no new work.
    Weight(u32) = "weight";
    /// Share in thousandths.
    Permille(u32) = "permille";
}

/// Size in bytes. The text form accepts the suffixes `K` (1,024) and `M` (1,024 squared).
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Bytes(pub u64);

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("0"),
            size if size % MIB == 0 => write!(f, "{}M", size / MIB),
            size if size % KIB == 0 => write!(f, "{}K", size / KIB),
            size => write!(f, "{size}"),
        }
    }
}

impl FromStr for Bytes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let (digits, factor) = match text.strip_suffix('M') {
            Some(digits) => (digits, MIB),
            None => text
                .strip_suffix('K')
                .map_or((text, 1), |digits| (digits, KIB)),
        };
        digits
            .parse::<u64>()
            .ok()
            .and_then(|count| count.checked_mul(factor))
            .map(Self)
            .ok_or_else(|| Error::InvalidNumber {
                kind: "size",
                expected: "a whole number of bytes, optionally followed by K or M",
                text: text.to_owned(),
            })
    }
}

/// Rate of events per second. The text form is a whole number followed by `/s`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rate(pub u32);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.strip_suffix("/s")
            .and_then(|digits| digits.parse().ok())
            .map(Self)
            .ok_or_else(|| Error::InvalidNumber {
                kind: "rate",
                expected: "a whole number followed by /s",
                text: text.to_owned(),
            })
    }
}
