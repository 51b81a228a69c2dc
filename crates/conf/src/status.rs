//! The status of an instance as its HTTP endpoint `GET /status` gives it in JSON.

use ids::{
    ContentHash, DomainName, InstanceName, Millis, PresetName, ServiceName, TargetName, Version,
};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use smol_str::SmolStr;

/// Status of an instance.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name.
    pub instance: InstanceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Life-cycle state.
    pub state: InstanceState,
    /// Whether it takes traffic.
    pub ready: bool,
    /// Version in force; `None` before the first document.
    pub version: Option<Version>,
    /// Preset in force.
    pub preset: Option<PresetName>,
    /// Root hash of the document in force.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub root_hash: Option<ContentHash>,
    /// Time since the document in force was last confirmed by the platform or a peer.
    pub staleness_ms: Millis,
    /// Times that two documents claimed one version.
    pub version_conflicts: u64,
    /// Flows held.
    pub flows: u64,
    /// Requests waiting.
    pub queued: u64,
    /// Requests in flight.
    pub in_flight: u64,
    /// Targets, in the order of service and name.
    pub targets: Vec<TargetStatus>,
    /// Peers, in the order of names.
    pub peers: Vec<PeerStatus>,
}

/// Life-cycle state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It has no complete document or distrusts its view.
    Joining,
    /// It takes part.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// Status of a target as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Service.
    pub service: ServiceName,
    /// Name.
    pub name: TargetName,
    /// State of the target's chart, such as `serving`.
    pub state: SmolStr,
    /// Requests that the instance has in flight on it.
    pub in_flight: u64,
    /// Flows that the instance holds on it.
    pub flows: u64,
}

/// Status of a peer as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name.
    pub name: InstanceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Life-cycle state in its last heartbeat; `None` when it was never heard.
    pub state: Option<InstanceState>,
    /// Whether it can be reached.
    pub reach: Reachability,
    /// Version in force at the peer.
    pub version: Option<Version>,
}

/// Whether a peer can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reachability {
    /// Heartbeats pass in both directions.
    Reachable,
    /// It was silent for the suspicion time.
    Suspect,
    /// It is out of the view.
    Unreachable,
}

macro_rules! lowercase_names {
    ($($kind:ty { $($value:ident = $name:literal),+ })+) => {$(
        impl std::fmt::Display for $kind {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(match self {
                    $(Self::$value => $name,)+
                })
            }
        }
    )+};
}

lowercase_names! {
    InstanceState { Joining = "joining", Live = "live", Leaving = "leaving" }
    Reachability { Reachable = "reachable", Suspect = "suspect", Unreachable = "unreachable" }
}
