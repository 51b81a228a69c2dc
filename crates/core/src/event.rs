//! Events that the core takes and actions that it asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use ids::{ContentHash, GroupName, InstanceName, Millis};
use smol_str::SmolStr;
use wire::frame::Frame;
use wire::peer::{Body, FlowRecord, MemberState, PeerMessage};
use wire::token::TargetId;

use crate::view::View;

/// What happened, for a [`crate::shard::Shard`].
#[derive(Debug, Clone)]
pub enum ShardEvent {
    /// A frame came from a caller or the fabric.
    CallerFrame {
        /// Address that the datagram came from.
        from: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// A frame came from the address of a target.
    TargetFrame {
        /// Address that the datagram came from.
        from: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// A peer relayed a caller's frame to this instance as the owner.
    RelayedFrame {
        /// The peer.
        from: InstanceName,
        /// The frame, with `source` set.
        frame: Frame,
        /// Instances that the frame has passed, this one not counted.
        hops: u32,
    },
    /// A request or cancel of a flow that another shard holds, from a caller or a peer.
    FlowRequest {
        /// The frame, with `source` set.
        frame: Frame,
        /// Target of the flow at that shard, if it has one.
        target: Option<TargetId>,
        /// Instances that the frame has passed, this one not counted.
        hops: u32,
    },
    /// A peer handed over flow records.
    FlowRecords(Vec<FlowRecord>),
    /// The view changed.
    View(Arc<View>),
    /// Time passed; sent at least every 50 ms.
    Tick,
    /// The instance begins a graceful stop.
    Stop,
}

/// What a [`crate::shard::Shard`] asks its driver to do.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardAction {
    /// Send a frame to a target.
    SendToTarget {
        /// Identity of the target; the driver counts by it.
        target: TargetId,
        /// Address of the target.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Send a frame to a caller.
    SendToCaller {
        /// Address of the caller.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Send a message to a peer.
    SendToPeer {
        /// The peer.
        to: InstanceName,
        /// What to send.
        body: Body,
    },
    /// Report an observation to the control part.
    ReportObservation(Observation),
    /// Count or log something.
    Count(CounterEvent),
    /// All work in progress is finished after [`ShardEvent::Stop`].
    Drained,
}

/// What a shard saw of a target in its own traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The target answered.
    Answered {
        /// The target.
        target: TargetId,
        /// Requests in flight that it stated, if any.
        load: Option<u32>,
    },
    /// The target refused work as draining.
    Draining(TargetId),
    /// The target refused work as overloaded.
    Overloaded(TargetId),
    /// A request or flow on the target went without an answer for its time-out.
    TimedOut(TargetId),
    /// Requests that the shard has in flight on the target changed.
    InFlight {
        /// The target.
        target: TargetId,
        /// Requests in flight from this shard.
        count: u32,
    },
    /// Flows that the shard has opened on the target changed; reported at most 5 times a second.
    Flows {
        /// The target.
        target: TargetId,
        /// Flows opened by this shard and not yet over.
        count: u32,
    },
}

/// Events worth a counter, a log line or a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CounterEvent {
    /// A frame was dropped.
    Dropped(DropReason),
    /// A flow was opened on a target.
    FlowOpened,
    /// A flow was lost.
    FlowLost,
    /// A flow record was evicted to make room.
    FlowEvicted,
    /// A frame was relayed to its owner.
    Relayed,
    /// A request was forwarded to a target; more than once per request for a retry.
    Forwarded,
    /// A request was answered in full.
    Completed,
    /// A request was refused; the code is the frame's.
    Refused(wire::frame::Refusal),
    /// A request was retried on another target.
    Retried,
}

/// Why a frame was dropped without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// No document is in force yet.
    NotReady,
    /// The sender's address belongs to no target of the frame's service.
    WrongService,
    /// The frame makes no sense in the state of its flow or request.
    Unexpected,
    /// The caller's address is missing or malformed.
    NoSource,
    /// The frame was relayed too often.
    TooManyHops,
    /// No listed peer of the caller's failure domain can be reached.
    Unreachable,
    /// The lease is over, so nothing can be said about the request.
    NoLease,
    /// A refusal could not be remembered, so it was not sent.
    TableFull,
}

/// What happened, for a [`crate::control::Control`].
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// An authenticated message came from a peer.
    PeerMessage(PeerMessage),
    /// The platform answered a read.
    PlatformResponse {
        /// Key that was read.
        key: PlatformKey,
        /// Value with its entity tag, or why there is none.
        outcome: PlatformOutcome,
    },
    /// A peer answered a fetch by content hash.
    Fetched {
        /// The peer.
        from: InstanceName,
        /// Hash that was asked for.
        hash: ContentHash,
        /// The value; `None` when the peer does not hold it or did not answer.
        value: Option<Vec<u8>>,
    },
    /// A target's health or load endpoint answered.
    HealthReport(HealthReport),
    /// A shard observed something.
    Observed {
        /// Index of the shard; requests in flight are summed over shards.
        shard: u16,
        /// What it observed.
        observation: Observation,
    },
    /// Present values of the metrics that alert rules may name.
    Metrics(Vec<(SmolStr, f64)>),
    /// Time passed; sent at least every 50 ms.
    Tick,
    /// The instance begins a graceful stop.
    Stop,
}

/// A key of the configuration service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlatformKey {
    /// The root document.
    Root,
    /// A value named by its content hash.
    Part(ContentHash),
    /// The list of instances of one group.
    Instances(GroupName),
}

/// Answer of the configuration service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformOutcome {
    /// The value and its entity tag.
    Value {
        /// The bytes.
        bytes: Vec<u8>,
        /// Entity tag for the next watch.
        etag: String,
    },
    /// The watch ended without a change.
    Unchanged,
    /// The key does not exist.
    Missing,
    /// The service did not answer or answered with an error.
    Failed(String),
}

/// What a target's own endpoint said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthReport {
    /// The target.
    pub target: TargetId,
    /// Whether it calls itself healthy; `None` when it did not answer.
    pub is_healthy: Option<bool>,
    /// Whether it calls itself draining.
    pub is_draining: bool,
    /// Requests in flight that it reports.
    pub in_flight: u32,
}

/// What a [`crate::control::Control`] asks its driver to do.
#[derive(Debug, Clone)]
pub enum ControlAction {
    /// Give the new view to every shard.
    PublishView(Arc<View>),
    /// Send a message to a peer.
    SendToPeer {
        /// The peer.
        to: InstanceName,
        /// Address of its peer socket.
        address: SocketAddr,
        /// What to send.
        body: Body,
    },
    /// Read a key of the platform, waiting for a change from `etag` for at most `wait_ms`.
    ReadPlatform {
        /// The key.
        key: PlatformKey,
        /// Entity tag of the value held, if any.
        etag: Option<String>,
        /// How long the service may hold the call; zero answers at once.
        wait_ms: Millis,
    },
    /// Fetch a value by hash from a peer over gRPC.
    FetchFromPeer {
        /// The peer.
        from: InstanceName,
        /// Address of its gRPC socket.
        address: SocketAddr,
        /// Hash of the value.
        hash: ContentHash,
    },
    /// Log an event of the control part.
    Log(ControlLogEvent),
    /// Readiness changed.
    SetReady(bool),
}

/// Events of the control part worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlLogEvent {
    /// A document came into force.
    DocumentActivated {
        /// Its version.
        version: u64,
        /// Its root hash.
        root_hash: ContentHash,
        /// Who supplied it.
        source: DocumentSource,
    },
    /// A document was refused; the one in force stays.
    DocumentRejected {
        /// Who supplied it.
        source: DocumentSource,
        /// Every error, one a line.
        reason: String,
    },
    /// The published list of instances cannot be understood; the one held stays.
    InstanceListRejected {
        /// Every error, one a line.
        reason: String,
    },
    /// Two documents claim one version.
    VersionConflict {
        /// The version.
        version: u64,
    },
    /// An older document was ignored.
    StaleDocumentIgnored {
        /// Who supplied it.
        source: DocumentSource,
        /// Version offered.
        version: u64,
    },
    /// A peer changed its state in the view.
    PeerChanged {
        /// The peer.
        name: InstanceName,
        /// What became of it.
        change: PeerChange,
    },
    /// This process was not scheduled for longer than its lease.
    ProcessPaused {
        /// Length of the gap.
        gap_ms: Millis,
    },
    /// A target changed its state.
    TargetStateChanged {
        /// Service and target as `service/target`.
        name: String,
        /// Old state.
        from: String,
        /// New state.
        to: String,
    },
    /// Health reports are distrusted because they condemn most targets of a service.
    PanicModeEntered {
        /// The service.
        service: String,
    },
    /// An alert rule began or ceased to hold.
    AlertChanged {
        /// The rule as written.
        rule: String,
        /// Whether it holds.
        is_firing: bool,
        /// Whom to notify.
        notify: Vec<String>,
    },
}

/// Where a document came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DocumentSource {
    /// The platform.
    Platform,
    /// A peer.
    Peer(InstanceName),
}

/// Change of a peer in the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerChange {
    /// First seen, or seen again after it was out.
    Reachable,
    /// Silent for the suspicion time.
    Suspect,
    /// Out of the view.
    Unreachable,
    /// Started again.
    Restarted,
    /// Reported a new life-cycle state.
    State(MemberState),
}
