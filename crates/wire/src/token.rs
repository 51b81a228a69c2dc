//! Route tokens. A token holds the target of a flow and is sealed, so that a caller cannot change
//! the target.
//!
//! A flow whose caller echoes the token needs no state on any instance; see section 5 of
//! [the design](../../../docs/design.md).

use ids::{ServiceName, TargetName, hash_of};

use crate::seal::Keys;
use crate::{Error, Result};

const TAG_BYTES: usize = 16;
const TARGET_ID_BYTES: usize = 8;
const TOKEN_BYTES: usize = TARGET_ID_BYTES + TAG_BYTES;
const TARGET_ID_SEED: u64 = 0x7461_7267_6574_0001;
const TAG_CONTEXT: &[u8] = b"pollenpin route token 1";

/// Id of a target within the fleet: a hash over the names of the service and the target.
///
/// An address does not identify a target, because it may be reassigned to another service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetId(pub u64);

impl TargetId {
    /// Returns the id of a target of a service.
    pub fn new(service: &ServiceName, target: &TargetName) -> Self {
        let text = format!("{service}/{target}");
        Self(hash_of(TARGET_ID_SEED, text.as_bytes()))
    }
}

/// Creates the route token of a flow.
pub fn seal(keys: &Keys, service: &str, flow: u64, target: TargetId) -> Vec<u8> {
    let mut token = target.0.to_le_bytes().to_vec();
    let tag = keys.tag(&[TAG_CONTEXT, service.as_bytes(), &flow.to_le_bytes(), &token]);
    token.extend_from_slice(&tag);
    token
}

/// Returns the target in a token without checking the authentication tag.
///
/// A caller can forge the target, so it may only be compared with a target known from elsewhere.
pub fn unverified_target(token: &[u8]) -> Option<TargetId> {
    if token.len() != TOKEN_BYTES {
        return None;
    }
    let bytes = token.first_chunk::<TARGET_ID_BYTES>()?;
    Some(TargetId(u64::from_le_bytes(*bytes)))
}

/// Verifies a token and returns its target; a token of another flow or service is rejected.
pub fn open(keys: &Keys, service: &str, flow: u64, token: &[u8]) -> Result<TargetId> {
    let invalid = Error::Unauthenticated {
        message_kind: "route token",
    };
    if token.len() != TOKEN_BYTES {
        return Err(invalid);
    }
    let (target, tag) = token.split_at(TARGET_ID_BYTES);
    if !keys.verify(
        &[TAG_CONTEXT, service.as_bytes(), &flow.to_le_bytes(), target],
        tag,
    ) {
        return Err(invalid);
    }
    let mut bytes = [0; TARGET_ID_BYTES];
    bytes.copy_from_slice(target);
    Ok(TargetId(u64::from_le_bytes(bytes)))
}
