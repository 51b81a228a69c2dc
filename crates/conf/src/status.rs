//! Status of an instance, as returned in JSON by its HTTP endpoint `GET /status`.

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
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Life-cycle state.
    pub state: InstanceState,
    /// Whether the instance accepts traffic.
    pub ready: bool,
    /// Version of the active document; `None` before the first document.
    pub version: Option<Version>,
    /// Active preset.
    pub preset: Option<PresetName>,
    /// Root hash of the active document.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub root_hash: Option<ContentHash>,
    /// Time since the active document was last confirmed by the configuration service or a peer.
    pub staleness_ms: Millis,
    /// Number of times that two documents had the same version.
    pub version_conflicts: u64,
    /// Number of flows.
    pub flows: u64,
    /// Number of waiting requests.
    pub queued: u64,
    /// Number of requests in flight.
    pub in_flight: u64,
    /// Targets, ordered by service and name.
    pub targets: Vec<TargetStatus>,
    /// Peers, ordered by name.
    pub peers: Vec<PeerStatus>,
}

/// Life-cycle state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance has no complete document yet, or does not trust its view of the group.
    Joining,
    /// The instance serves traffic.
    Live,
    /// The instance completes its current work and stops.
    Leaving,
}

/// Status of a target as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Service.
    pub service: ServiceName,
    /// Name.
    pub name: TargetName,
    /// State in the chart of targets, such as `serving`.
    pub state: SmolStr,
    /// Number of requests that the instance has in flight at the target.
    pub in_flight: u64,
    /// Number of flows of the instance on the target.
    pub flows: u64,
}

/// Status of a peer as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name.
    pub name: InstanceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Life-cycle state in the latest heartbeat; `None` if none was received.
    pub state: Option<InstanceState>,
    /// Whether the peer can be reached.
    pub reach: Reachability,
    /// Version of the peer's active document.
    pub version: Option<Version>,
}

/// Whether a peer can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reachability {
    /// Heartbeats are exchanged in both directions.
    Reachable,
    /// No contact for the time after which a peer is suspect.
    Suspect,
    /// The peer was removed from the view.
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
