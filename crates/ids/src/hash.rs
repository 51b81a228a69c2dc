//! Hash functions on which all instances must agree.
//!
//! Placement and ownership are pure functions of these hashes, so instances of all builds must
//! compute the same values. The algorithm and its seeds are part of the protocol.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Error, Result};

/// Content hash of a published value. The root and the pages of a document refer to other values
/// by their content hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentHash(pub [u8; 16]);

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for ContentHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::InvalidNumber {
            kind: "content hash",
            expected: "32 hexadecimal digits",
            text: text.to_owned(),
        };
        if text.len() != 32 || !text.is_ascii() {
            return Err(invalid());
        }
        let mut bytes = [0; 16];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte =
                u8::from_str_radix(&text[2 * index..2 * index + 2], 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}

/// Hashes bytes with a seed; each use of the hash has its own seed.
pub fn hash_of(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Combines two hashes; used to score pairs such as (flow, target) in rendezvous hashing.
pub fn hash_pair(left: u64, right: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&left.to_le_bytes());
    bytes[8..].copy_from_slice(&right.to_le_bytes());
    xxh3_64_with_seed(&bytes, 0)
}
