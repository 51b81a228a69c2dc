//! Message authentication with shared keys.
//!
//! Two keys can be valid at the same time, so that instances accept each other's messages while a
//! key is rotated. Messages are authenticated, not encrypted.

use std::fmt;

const TAG_BYTES: usize = 16;
const KEY_DERIVATION_CONTEXT: &str = "pollenpin 2026 shared key 1";

/// Size of the authentication tag at the end of a sealed message.
pub const SEAL_BYTES: usize = TAG_BYTES;

/// The keys that an instance accepts, and the one with which it signs.
#[derive(Clone)]
pub struct Keys {
    signing: [u8; 32],
    accepted: Vec<[u8; 32]>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Key material must not appear in logs.
        f.debug_struct("Keys")
            .field("accepted", &self.accepted.len())
            .finish_non_exhaustive()
    }
}

impl Keys {
    /// Derives the keys from the shared secrets in the settings: the current one, and during a
    /// rotation a second one.
    pub fn new(current: &str, other: Option<&str>) -> Self {
        let derive = |secret: &str| blake3::derive_key(KEY_DERIVATION_CONTEXT, secret.as_bytes());
        let signing = derive(current);
        let accepted = std::iter::once(signing).chain(other.map(derive)).collect();
        Self { signing, accepted }
    }

    /// Computes the authentication tag of the parts. Each part is preceded by its length, so that
    /// two different lists never have the same hash input.
    pub fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        compute_tag(&self.signing, parts)
    }

    /// Checks a tag against the accepted keys; the comparison takes constant time per key.
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        let Ok(tag) = <[u8; TAG_BYTES]>::try_from(tag) else {
            return false;
        };
        self.accepted
            .iter()
            .any(|key| is_equal_constant_time(&compute_tag(key, parts), &tag))
    }
}

fn compute_tag(key: &[u8; 32], parts: &[&[u8]]) -> [u8; TAG_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
    tag
}

fn is_equal_constant_time(left: &[u8; TAG_BYTES], right: &[u8; TAG_BYTES]) -> bool {
    left.iter()
        .zip(right)
        .fold(0, |difference, (a, b)| difference | (a ^ b))
        == 0
}
