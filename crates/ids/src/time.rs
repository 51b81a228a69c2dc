//! Points in time and durations.
//!
//! The `balance` crate never reads a clock. Its driver passes the current time with every event, so
//! tests control the time.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

const MICROS_PER_MILLI: u64 = 1_000;

/// Monotonic timestamp in microseconds since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

/// Duration in milliseconds. The text form is a whole number followed by `ms`, `s` or `min`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Micros {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is after `self`.
    pub fn since(self, earlier: Micros) -> Millis {
        Millis(self.0.saturating_sub(earlier.0) / MICROS_PER_MILLI)
    }
}

impl Add<Millis> for Micros {
    type Output = Micros;

    fn add(self, duration: Millis) -> Micros {
        Micros(
            self.0
                .saturating_add(duration.0.saturating_mul(MICROS_PER_MILLI)),
        )
    }
}

impl Sub<Millis> for Micros {
    type Output = Micros;

    fn sub(self, duration: Millis) -> Micros {
        Micros(
            self.0
                .saturating_sub(duration.0.saturating_mul(MICROS_PER_MILLI)),
        )
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("0ms"),
            ms if ms % 60_000 == 0 => write!(f, "{}min", ms / 60_000),
            ms if ms % 1_000 == 0 => write!(f, "{}s", ms / 1_000),
            ms => write!(f, "{ms}ms"),
        }
    }
}

impl FromStr for Millis {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let units = [("ms", 1), ("min", 60_000), ("s", 1_000)];
        units
            .iter()
            .find_map(|(unit, factor)| Some((text.strip_suffix(unit)?, *factor)))
            .and_then(|(digits, factor): (&str, u64)| {
                digits.parse::<u64>().ok()?.checked_mul(factor)
            })
            .map(Self)
            .ok_or_else(|| Error::InvalidNumber {
                kind: "duration",
                expected: "a whole number followed by ms, s or min",
                text: text.to_owned(),
            })
    }
}
