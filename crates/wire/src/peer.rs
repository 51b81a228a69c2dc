//! Datagrams between the instances of a group.
//!
//! Peer datagrams are small and frequent and may be lost; data that has to arrive is sent over
//! gRPC. Each datagram holds the name and the incarnation of its sender and ends with an
//! authentication tag.

use prost::{Message, Oneof};

use crate::frame::Frame;
use crate::seal::{Keys, SEAL_BYTES};
use crate::{Error, Result};

/// Maximum size of a peer datagram; a relayed frame with its envelope has to fit.
pub const MAX_PEER_MESSAGE_BYTES: usize = 2_048;

const TAG_CONTEXT: &[u8] = b"pollenpin peer message 1";

/// Life-cycle state that an instance reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum LifecycleState {
    /// Not ready to own flows or requests.
    Joining = 0,
    /// Serving traffic.
    Live = 1,
    /// Stopping: completes its current work and takes no new ownership.
    Leaving = 2,
}

/// Version and hash of the sender's active document.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentDigest {
    /// Version of the document; zero if there is none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Content hash of the document's root, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub root_hash: Vec<u8>,
}

/// Liveness, document digest and load of the sender.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// State of the sender.
    #[prost(enumeration = "LifecycleState", tag = "1")]
    pub state: i32,
    /// The sender's active document.
    #[prost(message, optional, tag = "2")]
    pub digest: Option<DocumentDigest>,
    /// Requests that the sender has in flight, per target in the order of the document; absent if
    /// unchanged.
    #[prost(bytes = "vec", tag = "3")]
    pub in_flight: Vec<u8>,
    /// Sequence number of this heartbeat.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Highest sequence number received from the recipient. The recipient's lease depends on it.
    #[prost(uint64, tag = "5")]
    pub acknowledged_sequence: u64,
    /// Incarnation of the recipient to which the acknowledgement refers.
    #[prost(uint64, tag = "6")]
    pub acknowledged_incarnation: u64,
    /// Hash over the names and incarnations in the sender's view of the group.
    #[prost(fixed64, tag = "7")]
    pub view_hash: u64,
    /// Group, failure domain and addresses of the sender; sent until the recipient has acknowledged
    /// a heartbeat that held them.
    #[prost(message, optional, tag = "8")]
    pub instance_info: Option<InstanceInfo>,
    /// States of the alert rules at the sender; absent if the document has no rules.
    #[prost(message, optional, tag = "9")]
    pub alerts: Option<AlertStates>,
    /// Digest of the sender's past target sets; sent to joining peers only.
    #[prost(message, optional, tag = "10")]
    pub target_set_history: Option<TargetSetHistoryDigest>,
    /// Flows that the sender opened, per target in the order of the document, as little-endian
    /// `u16`; absent if unchanged. Greater counts are sent as `u16::MAX`.
    #[prost(bytes = "vec", tag = "11")]
    pub flows: Vec<u8>,
}

/// Reference to the encoded [`PastTargetSets`] that a joining peer fetches.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TargetSetHistoryDigest {
    /// Content hash of the value, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub hash: Vec<u8>,
    /// Milliseconds since the value was built; the ages in the value refer to that time.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Past and current target sets, oldest first within each service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PastTargetSets {
    /// The target sets.
    #[prost(message, repeated, tag = "1")]
    pub sets: Vec<PastTargetSet>,
}

/// A set of targets that accepted new flows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PastTargetSet {
    /// Service name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Time since the set became active, in milliseconds, when the value was built.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// The targets, ordered by their id.
    #[prost(message, repeated, tag = "3")]
    pub targets: Vec<PastTarget>,
}

/// The properties of a target on which placement depends.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PastTarget {
    /// Id of the target; see [`crate::token::TargetId`].
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
    /// Encodes the sets as a value that peers fetch by content hash.
    pub fn to_value(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes a value whose content hash has been verified.
    pub fn from_value(value: &[u8]) -> Result<Self> {
        Self::decode(value).map_err(|error| Error::Malformed {
            message_kind: "list of past target sets",
            reason: error.to_string(),
        })
    }
}

/// States of the alert rules: one bit per rule in the order of the document, least significant
/// bit first.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AlertStates {
    /// Hash over the texts of the rules. The bits are valid only for the same rules.
    #[prost(fixed64, tag = "1")]
    pub rules_hash: u64,
    /// Rules whose condition holds at the sender.
    #[prost(bytes = "vec", tag = "2")]
    pub holding: Vec<u8>,
    /// Rules for which a notification was sent and whose alert has not ended since.
    #[prost(bytes = "vec", tag = "3")]
    pub notified: Vec<u8>,
}

/// Group, failure domain and addresses of an instance.
///
/// The published instance list may be out of date, so an instance also announces itself.
#[derive(Clone, PartialEq, Message)]
pub struct InstanceInfo {
    /// Group of the sender; instances of other groups are not accepted as peers.
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

/// A caller's frame, relayed to the owner of its flow or request.
#[derive(Clone, PartialEq, Message)]
pub struct RelayedFrame {
    /// The frame, with `source` set.
    #[prost(message, optional, tag = "1")]
    pub frame: Option<Frame>,
    /// Number of instances passed so far; prevents loops between instances with different views.
    #[prost(uint32, tag = "2")]
    pub hops: u32,
}

/// Target of a flow that cannot be derived from the published document alone.
#[derive(Clone, PartialEq, Message)]
pub struct FlowRecord {
    /// Flow id.
    #[prost(fixed64, tag = "1")]
    pub flow: u64,
    /// Id of the target; see [`crate::token::TargetId`].
    #[prost(fixed64, tag = "2")]
    pub target: u64,
    /// Service name.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Milliseconds since the sender last saw the flow. The value `u32::MAX` marks a query:
    /// `target` refused the flow, and an owner that knows another target sends it to all peers.
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
    /// Liveness, document digest and load.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// A frame, relayed to the owner of its flow or request.
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
    /// Contents of the message.
    #[prost(oneof = "Body", tags = "3, 4, 5")]
    pub body: Option<Body>,
}

impl PeerMessage {
    /// Encodes the message and appends its authentication tag.
    pub fn to_datagram(&self, keys: &Keys) -> Result<Vec<u8>> {
        let mut datagram = self.encode_to_vec();
        let tag = keys.tag(&[TAG_CONTEXT, &datagram]);
        datagram.extend_from_slice(&tag);
        check_size(datagram.len())?;
        Ok(datagram)
    }

    /// Decodes a datagram after its authentication tag was verified.
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
