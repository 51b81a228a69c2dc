//! The data that operators and targets publish.

use std::fmt;
use std::net::SocketAddrV4;
use std::num::ParseIntError;
use std::str::FromStr;

use ids::{Millis, hash_of};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::packet::Token;
use crate::revision::Revision;

/// Seed that separates the hash for tokens from other uses of the hash.
const TOKEN_SEED: u64 = 0x706f_6c6c_746f_6b65;

/// Identity of a target, which packets to it carry. Addresses may be reused, identities are not.
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
    /// Returns the token of the target, which is the same on every instance and after every
    /// restart.
    pub fn token(self) -> Token {
        let hash = hash_of(TOKEN_SEED, &self.0.to_be_bytes());
        Token(((hash >> 32) as u32 ^ hash as u32).max(1))
    }
}

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Idempotent: the caller retries after any failure.
    Idempotent,
    /// The caller retries only after proof that the request was not executed.
    Never,
}

/// A service's share of the new flows of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service that gets the flows.
    pub service: SmolStr,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Urgency of a route's requests; 0 is the most urgent.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Priority {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// What callers of a route expect. Zero durations mean that the configuration gives none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTerms {
    /// Urgency of the requests.
    pub priority: Priority,
    /// Time after which a response is of no use to the caller.
    pub timeout: Millis,
    /// Time within which callers want a response.
    pub latency_goal: Millis,
}

/// An address to which callers send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The address.
    pub entry: SocketAddrV4,
    /// Services that get the route's new flows.
    pub shares: Vec<Share>,
    /// Whether its requests may be executed more than once.
    pub repeat: Repeat,
    /// What callers expect. Peers tell it beside the encoded configuration.
    #[serde(skip)]
    pub terms: RouteTerms,
}

/// What the configuration says about a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: SmolStr,
    /// Time for which a target is cold after its start.
    pub warmup: Millis,
    /// Requests per second that a cold target can process, in thousandths.
    pub cold_rate_milli: u64,
}

/// The parts of a configuration that peers tell beside its encoding, so that the encoding stays
/// that of earlier versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentTerms {
    /// Terms of the routes, in their order.
    pub routes: Vec<RouteTerms>,
    /// All services.
    pub services: Vec<Service>,
}

/// The configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version, which only increases.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Time without packets after which a flow may expire.
    pub idle: Millis,
    /// All services. Peers tell them beside the encoded configuration.
    #[serde(skip)]
    pub services: Vec<Service>,
}

/// A target as described by its own report.
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
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target is about to shut down and accepts no new flows.
    pub is_draining: bool,
    /// Remaining time of the slow start.
    pub warmup: Millis,
    /// Start time of the process. A changed value means that all earlier state of the target is
    /// lost.
    pub incarnation: u64,
    /// Number of the report, which the process counts up. Peers tell it beside the encoded report.
    #[serde(skip)]
    pub sequence: u64,
}

/// A change of the published data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A new configuration.
    Document(Document),
    /// A target was added or changed.
    Target(Target),
    /// A target's report was removed.
    TargetGone(TargetId),
    /// A target's report cannot be decoded.
    TargetUnreadable(TargetId),
    /// Operators evacuate a failure domain. Peers tell orders beside the encoded changes.
    #[serde(skip)]
    DomainEvacuated(SmolStr),
    /// Operators return a failure domain to service.
    #[serde(skip)]
    DomainReinstated(SmolStr),
}

/// A change with its position in the order of all changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Store revision of the change.
    pub revision: Revision,
    /// The change.
    pub change: Change,
}
