//! Datagrams between instances of a group.
//!
//! They are small, frequent and may be lost; what must arrive goes over gRPC instead. Each carries
//! its sender's name and incarnation and ends in an authentication tag.

use prost::{Message, Oneof};

use crate::frame::Frame;
use crate::seal::{Keys, SEAL_BYTES};
use crate::{Error, Result};

/// Largest peer datagram accepted; a relayed frame plus its envelope must fit.
pub const MAX_PEER_MESSAGE_BYTES: usize = 2_048;

const TAG_CONTEXT: &[u8] = b"pollenpin peer message 1";

/// Life-cycle state that an instance reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum LifecycleState {
    /// Not ready to own flows or requests.
    Joining = 0,
    /// Serving.
    Live = 1,
    /// Stopping: takes no new ownership, finishes what it has.
    Leaving = 2,
}

/// Digest of the document in force at the sender.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentDigest {
    /// Version of the document; zero when there is none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Content hash of its root, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub root_hash: Vec<u8>,
}

/// Liveness, document digest and load of the sender.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// State of the sender.
    #[prost(enumeration = "LifecycleState", tag = "1")]
    pub state: i32,
    /// Document in force at the sender.
    #[prost(message, optional, tag = "2")]
    pub digest: Option<DocumentDigest>,
    /// Sender's requests in flight per target, in the order of the document; absent when unchanged.
    #[prost(bytes = "vec", tag = "3")]
    pub in_flight: Vec<u8>,
    /// Sequence number of this heartbeat.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Highest sequence number received from the addressee, for its lease.
    #[prost(uint64, tag = "5")]
    pub acknowledged_sequence: u64,
    /// Incarnation of the addressee that the acknowledgement belongs to.
    #[prost(uint64, tag = "6")]
    pub acknowledged_incarnation: u64,
    /// Hash over names and incarnations of the sender's view of the group.
    #[prost(fixed64, tag = "7")]
    pub view_hash: u64,
    /// Who the sender is; sent until the addressee has acknowledged a heartbeat that held it.
    #[prost(message, optional, tag = "8")]
    pub instance_info: Option<InstanceInfo>,
    /// Alert rules at the sender; absent when the document has none.
    #[prost(message, optional, tag = "9")]
    pub alerts: Option<AlertStates>,
    /// Past target sets of the sender; only told to a peer that joins.
    #[prost(message, optional, tag = "10")]
    pub target_set_history: Option<TargetSetHistoryDigest>,
    /// Flows that the sender opened per target, as little-endian `u16` in the order of the document;
    /// absent when unchanged. Greater counts are told as the greatest `u16`.
    #[prost(bytes = "vec", tag = "11")]
    pub flows: Vec<u8>,
}

/// Names the value, an encoded [`PastTargetSets`], from which a joining peer learns past target sets.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TargetSetHistoryDigest {
    /// Content hash of the value, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub hash: Vec<u8>,
    /// Milliseconds since the value was built, to which the ages in it refer.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Past and present target sets, oldest first within a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PastTargetSets {
    /// The sets.
    #[prost(message, repeated, tag = "1")]
    pub sets: Vec<PastTargetSet>,
}

/// A set of targets that took new flows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PastTargetSet {
    /// Service name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Milliseconds since the set came into force, when the value was built.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// The targets in the order of their identity.
    #[prost(message, repeated, tag = "3")]
    pub targets: Vec<PastTarget>,
}

/// A target as placement sees it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PastTarget {
    /// Identity of the target, see [`crate::token::TargetId`].
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Relative capacity.
    #[prost(uint32, tag = "3")]
    pub weight: u32,
}

impl PastTargetSets {
    /// Encodes the sets as a value that peers fetch by its content hash.
    pub fn to_value(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes a value whose content hash was verified.
    pub fn from_value(value: &[u8]) -> Result<Self> {
        Self::decode(value).map_err(|error| Error::Malformed {
            message_kind: "list of past target sets",
            reason: error.to_string(),
        })
    }
}

/// State of alert rules, one bit per rule in the order of the document, least significant first.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AlertStates {
    /// Hash over the texts of the rules; bits of other rules mean nothing.
    #[prost(fixed64, tag = "1")]
    pub rules_hash: u64,
    /// Rules whose condition holds at the sender.
    #[prost(bytes = "vec", tag = "2")]
    pub holding: Vec<u8>,
    /// Rules of which somebody was notified and that have not ended since.
    #[prost(bytes = "vec", tag = "3")]
    pub notified: Vec<u8>,
}

/// Where an instance stands and how it is reached.
///
/// The published list lags, so an instance also introduces itself.
#[derive(Clone, PartialEq, Message)]
pub struct InstanceInfo {
    /// Group of the sender; instances of other groups are no peers.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Failure domain of the sender.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Address of the sender's peer socket.
    #[prost(string, tag = "3")]
    pub peer_address: String,
    /// Address of the sender's gRPC socket.
    #[prost(string, tag = "4")]
    pub grpc_address: String,
}

/// A caller's frame passed to the owner of its flow or request.
#[derive(Clone, PartialEq, Message)]
pub struct RelayedFrame {
    /// The frame, with `source` set.
    #[prost(message, optional, tag = "1")]
    pub frame: Option<Frame>,
    /// Number of instances passed so far; stops a loop between instances whose views differ.
    #[prost(uint32, tag = "2")]
    pub hops: u32,
}

/// The target of a flow that the published document alone does not tell.
#[derive(Clone, PartialEq, Message)]
pub struct FlowRecord {
    /// Flow id.
    #[prost(fixed64, tag = "1")]
    pub flow: u64,
    /// Identity of the target, see [`crate::token::TargetId`].
    #[prost(fixed64, tag = "2")]
    pub target: u64,
    /// Service name.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Milliseconds since the flow was last seen by the sender. The greatest value marks a query:
    /// `target` refused the flow, and an owner that knows another tells all peers.
    #[prost(uint32, tag = "4")]
    pub idle_ms: u32,
}

/// Flow records for their owners.
#[derive(Clone, PartialEq, Message)]
pub struct FlowRecords {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<FlowRecord>,
}

/// Body of a peer message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Liveness, digest and load.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// A frame for its owner.
    #[prost(message, tag = "4")]
    RelayedFrame(RelayedFrame),
    /// Flow records for their owners.
    #[prost(message, tag = "5")]
    FlowRecords(FlowRecords),
}

/// One datagram between instances.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// Name of the sending instance.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Incarnation of the sending instance.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// What the message says.
    #[prost(oneof = "Body", tags = "3, 4, 5")]
    pub body: Option<Body>,
}

impl PeerMessage {
    /// Encodes and seals the message.
    pub fn to_datagram(&self, keys: &Keys) -> Result<Vec<u8>> {
        let mut datagram = self.encode_to_vec();
        let tag = keys.tag(&[TAG_CONTEXT, &datagram]);
        datagram.extend_from_slice(&tag);
        check_size(datagram.len())?;
        Ok(datagram)
    }

    /// Checks and decodes a datagram; nothing is decoded before the tag is verified.
    pub fn from_datagram(keys: &Keys, datagram: &[u8]) -> Result<Self> {
        check_size(datagram.len())?;
        let Some(tag_start) = datagram.len().checked_sub(SEAL_BYTES) else {
            return Err(Error::Unauthenticated {
                message_kind: "peer message",
            });
        };
        let (body, tag) = datagram.split_at(tag_start);
        if !keys.verify(&[TAG_CONTEXT, body], tag) {
            return Err(Error::Unauthenticated {
                message_kind: "peer message",
            });
        }
        Self::decode(body).map_err(|error| Error::Malformed {
            message_kind: "peer message",
            reason: error.to_string(),
        })
    }
}

fn check_size(len_bytes: usize) -> Result<()> {
    if len_bytes > MAX_PEER_MESSAGE_BYTES {
        return Err(Error::TooLong {
            message_kind: "peer message",
            len_bytes,
            limit_bytes: MAX_PEER_MESSAGE_BYTES,
        });
    }
    Ok(())
}
