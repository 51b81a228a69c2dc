//! Input events and output actions of the shards and the control plane.

use std::net::SocketAddr;
use std::sync::Arc;

use ids::{ContentHash, GroupName, InstanceName, Millis};
use smol_str::SmolStr;
use wire::frame::Frame;
use wire::peer::{Body, FlowRecord, LifecycleState, PeerMessage};
use wire::token::TargetId;

use crate::view::View;

/// Input of a [`crate::shard::Shard`].
#[derive(Debug, Clone)]
pub enum ShardEvent {
    /// A frame arrived from a caller or from the fabric.
    CallerFrame {
        /// Source address of the datagram.
        from: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// A frame arrived from the address of a target.
    TargetFrame {
        /// Source address of the datagram.
        from: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// A peer relayed a caller's frame, because it considers this instance the owner.
    RelayedFrame {
        /// The peer.
        from: InstanceName,
        /// The frame, with `source` set.
        frame: Frame,
        /// Number of instances that the frame passed through before this one.
        hops: u32,
    },
    /// A request or a cancellation on a flow that another shard holds, from a caller or a peer.
    FlowRequest {
        /// The frame, with `source` set.
        frame: Frame,
        /// Target that the other shard holds for the flow, if any.
        target: Option<TargetId>,
        /// Number of instances that the frame passed through before this one.
        hops: u32,
    },
    /// A peer handed over flow records.
    FlowRecords(Vec<FlowRecord>),
    /// The control plane published a new view.
    View(Arc<View>),
    /// Advances the time; sent at least every 50 ms.
    Tick,
    /// The instance begins a graceful stop.
    Stop,
}

/// Output of a [`crate::shard::Shard`], carried out by its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardAction {
    /// Send a frame to a target.
    SendToTarget {
        /// Target, by which the driver counts frames.
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
        /// Body of the message.
        body: Body,
    },
    /// Report an observation to the control plane.
    ReportObservation(Observation),
    /// Update the counter of an event.
    Count(CounterEvent),
    /// All work in progress has finished after [`ShardEvent::Stop`].
    Drained,
}

/// Passive health observation that a shard made of a target in its own traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The target answered.
    Answered {
        /// The target.
        target: TargetId,
        /// Number of requests in flight that the answer states, if any.
        load: Option<u32>,
    },
    /// The target refused work because it is draining.
    Draining(TargetId),
    /// The target refused work because it is overloaded.
    Overloaded(TargetId),
    /// A request or flow on the target timed out without an answer.
    TimedOut(TargetId),
    /// The number of requests that the shard has in flight on the target changed.
    InFlight {
        /// The target.
        target: TargetId,
        /// Number of requests in flight from this shard.
        count: u32,
    },
    /// The number of flows that the shard has open on the target changed; reported at most 5 times
    /// a second.
    Flows {
        /// The target.
        target: TargetId,
        /// Number of flows that this shard opened and that have not ended.
        count: u32,
    },
}

/// Event that the driver counts in its metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CounterEvent {
    /// A frame was dropped.
    Dropped(DropReason),
    /// A flow was opened on a target.
    FlowOpened,
    /// A flow was lost.
    FlowLost,
    /// A flow record was evicted because the table was full.
    FlowEvicted,
    /// A frame was relayed to the owner of its flow or request.
    Relayed,
    /// A request was forwarded to a target; a retry counts again.
    Forwarded,
    /// A request was answered completely.
    Completed,
    /// A request was refused with the reason code of the refusal frame.
    Refused(wire::frame::Refusal),
    /// A request was retried on another target.
    Retried,
}

/// Reason for dropping a frame without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// No document is active yet.
    NotReady,
    /// The source address belongs to no target of the frame's service.
    WrongService,
    /// The frame is not valid in the current state of its flow or request.
    Unexpected,
    /// The caller's address is missing or malformed.
    NoSource,
    /// The frame was relayed through too many instances.
    TooManyHops,
    /// No listed peer in the caller's failure domain is reachable.
    Unreachable,
    /// This instance does not hold its lease, so it cannot tell what became of the request.
    NoLease,
    /// The table had no room to record a refusal, so the refusal was not sent.
    TableFull,
}

/// Input of a [`crate::control::Control`].
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// An authenticated message arrived from a peer.
    PeerMessage(PeerMessage),
    /// The platform answered a read.
    PlatformResponse {
        /// Key that was read.
        key: PlatformKey,
        /// Value with its entity tag, or the reason why there is none.
        outcome: PlatformOutcome,
    },
    /// A fetch of a value from a peer finished.
    Fetched {
        /// The peer.
        from: InstanceName,
        /// Requested hash.
        hash: ContentHash,
        /// The value; `None` if the peer does not have it or did not answer.
        value: Option<Vec<u8>>,
    },
    /// An active health check of a target finished.
    HealthReport(HealthReport),
    /// A shard reported an observation of a target.
    Observed {
        /// Index of the shard; the counts of all shards are added up.
        shard: u16,
        /// The observation.
        observation: Observation,
    },
    /// Current values of the metrics that alert rules can refer to.
    Metrics(Vec<(SmolStr, f64)>),
    /// Advances the time; sent at least every 50 ms.
    Tick,
    /// The instance begins a graceful stop.
    Stop,
}

/// Key in the configuration service of the platform.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlatformKey {
    /// The root document.
    Root,
    /// A page or part of a document, addressed by its content hash.
    Part(ContentHash),
    /// The list of instances of one group.
    Instances(GroupName),
}

/// Outcome of a read from the configuration service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformOutcome {
    /// The value and its entity tag.
    Value {
        /// The value.
        bytes: Vec<u8>,
        /// Entity tag for the next watch.
        etag: String,
    },
    /// The watch ended without a change.
    Unchanged,
    /// The key does not exist.
    Missing,
    /// The service did not answer, or answered with an error.
    Failed(String),
}

/// Result of an active health check, from the target's health endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthReport {
    /// The target.
    pub target: TargetId,
    /// Whether the target reports itself healthy; `None` if it did not answer.
    pub is_healthy: Option<bool>,
    /// Whether the target reports that it is draining.
    pub is_draining: bool,
    /// Number of requests in flight that the target reports.
    pub in_flight: u32,
}

/// Output of a [`crate::control::Control`], carried out by its driver.
#[derive(Debug, Clone)]
pub enum ControlAction {
    /// Pass the new view to every shard.
    PublishView(Arc<View>),
    /// Send a message to a peer.
    SendToPeer {
        /// The peer.
        to: InstanceName,
        /// Address of its peer socket.
        address: SocketAddr,
        /// Body of the message.
        body: Body,
    },
    /// Read a key from the platform; a long poll waits up to `wait_ms` for a change from `etag`.
    ReadPlatform {
        /// The key.
        key: PlatformKey,
        /// Entity tag of the last value read, if any.
        etag: Option<String>,
        /// How long the service may hold the call; with zero it answers at once.
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
    /// Log an event of the control plane.
    Log(ControlLogEvent),
    /// Publish the changed readiness of this instance.
    SetReady(bool),
}

/// Event that the control plane logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlLogEvent {
    /// A document became active.
    DocumentActivated {
        /// Its version.
        version: u64,
        /// Its root hash.
        root_hash: ContentHash,
        /// Where it came from.
        source: DocumentSource,
    },
    /// A document was rejected; the active one stays.
    DocumentRejected {
        /// Where it came from.
        source: DocumentSource,
        /// All errors, one per line.
        reason: String,
    },
    /// The published list of instances could not be parsed; the previous one stays.
    InstanceListRejected {
        /// All errors, one per line.
        reason: String,
    },
    /// Two different documents have the same version.
    VersionConflict {
        /// Their version.
        version: u64,
    },
    /// An older document was ignored.
    StaleDocumentIgnored {
        /// Where it came from.
        source: DocumentSource,
        /// Its version.
        version: u64,
    },
    /// A peer changed its state.
    PeerChanged {
        /// The peer.
        name: InstanceName,
        /// The change.
        change: PeerChange,
    },
    /// This process was not scheduled for longer than its lease lasts.
    ProcessPaused {
        /// Time between two events.
        gap_ms: Millis,
    },
    /// A target changed its state.
    TargetStateChanged {
        /// Service and target as `service/target`.
        name: String,
        /// Previous state.
        from: String,
        /// Current state.
        to: String,
    },
    /// Health reports are ignored because they mark most targets of a service as down.
    PanicModeEntered {
        /// The service.
        service: String,
    },
    /// An alert rule started or stopped firing.
    AlertChanged {
        /// Text of the rule.
        rule: String,
        /// Whether it fires now.
        is_firing: bool,
        /// Recipients of the notification.
        notify: Vec<String>,
    },
}

/// Origin of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DocumentSource {
    /// The platform.
    Platform,
    /// A peer.
    Peer(InstanceName),
}

/// Change of the state of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerChange {
    /// Heartbeats are exchanged for the first time, or again.
    Reachable,
    /// No heartbeat was acknowledged for the suspicion timeout.
    Suspect,
    /// No heartbeat was acknowledged for the unreachable timeout, so the peer left the view.
    Unreachable,
    /// A new process runs under the name of the peer.
    Restarted,
    /// The peer reported a new lifecycle state.
    State(LifecycleState),
}
