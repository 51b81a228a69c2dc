//! What operators and targets publish.

use std::fmt;
use std::net::SocketAddrV4;

use ids::{Millis, hash_of};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::packet::Token;

/// Separates the hash of tokens from other uses of the hash.
const TOKEN_SEED: u64 = 0x706f_6c6c_746f_6b65;

/// Identity of one target, which its packets carry. An address may change hands, an identity not.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TargetId(pub u64);

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl TargetId {
    /// Returns the token of the target, the same on every instance and after every restart.
    pub fn token(self) -> Token {
        let hash = hash_of(TOKEN_SEED, &self.0.to_be_bytes());
        Token(((hash >> 32) as u32 ^ hash as u32).max(1))
    }
}

/// Whether a request may run a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Idempotent: the caller sends it again after any failure.
    Idempotent,
    /// The caller sends it again only after proof that it has not run.
    Never,
}

/// Share of the new flows of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service that takes them.
    pub service: SmolStr,
    /// Share relative to the others of the route.
    pub weight: u32,
}

/// An address that callers send to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The address.
    pub entry: SocketAddrV4,
    /// Services that take its new flows.
    pub shares: Vec<Share>,
    /// Whether its requests may run a second time.
    pub repeat: Repeat,
}

/// The configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version; only ever grows.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Time without packets after which a flow may be forgotten.
    pub idle: Millis,
}

/// A target as it reports itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Identity.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Address for packets.
    pub address: SocketAddrV4,
    /// Failure domain.
    pub domain: SmolStr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no new flows.
    pub is_draining: bool,
    /// Time for which it stays slow after its start.
    pub warmup: Millis,
    /// Start of its process; another value means that it holds nothing of before.
    pub incarnation: u64,
}

/// A change of what is published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A new configuration.
    Document(Document),
    /// A target came or changed.
    Target(Target),
    /// A target's report is gone.
    TargetGone(TargetId),
    /// A target's report cannot be read.
    TargetUnreadable(TargetId),
}

/// A change with its place in the order of all changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Revision at which it was made.
    pub revision: u64,
    /// The change.
    pub change: Change,
}
