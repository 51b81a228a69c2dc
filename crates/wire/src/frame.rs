//! The datagram between callers, instances and targets: one protobuf message each.
//!
//! Field numbers are part of the published contract in
//! [the frame reference](../../../docs/frame.md) and are never reused.

use prost::Message;

use crate::{Error, Result};

/// Largest datagram sent or accepted; it fits an Ethernet frame with room for tunnel headers.
pub const MAX_FRAME_BYTES: usize = 1_400;

/// Longest name accepted in a frame; the same limit as in settings and documents.
const MAX_NAME_BYTES: usize = 64;

/// What a frame asks for or reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Not a valid kind; a frame that carries it is refused.
    Unspecified = 0,
    /// Caller opens a flow.
    Open = 1,
    /// Target accepts a flow.
    Opened = 2,
    /// Payload of an established flow, in either direction.
    Data = 3,
    /// Either end closes a flow.
    Close = 4,
    /// Caller submits a request.
    Request = 5,
    /// Target answers with one part of its answer.
    Answer = 6,
    /// Caller or instance cancels a request.
    Cancel = 7,
    /// Instance or target refuses a flow or a request; see [`Refusal`].
    Refuse = 8,
}

/// Why a flow or request was refused. The frame reference says which codes prove "not run".
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Refusal {
    /// No refusal.
    Unspecified = 0,
    /// Not run: queue, slots or share exhausted.
    Overloaded = 1,
    /// Not run: the deadline would pass or has passed before the start.
    DeadlinePassed = 2,
    /// Not run: the service has no usable target.
    NoTarget = 3,
    /// Not run: the target is draining.
    Draining = 4,
    /// Not run: cancelled before the start.
    Cancelled = 5,
    /// Not run: no such service.
    UnknownService = 6,
    /// The request may or may not have run; nobody can know.
    OutcomeUnknown = 7,
    /// The request ran, but its answer is no longer held.
    AnswerGone = 8,
    /// The flow's target is gone or silent; the caller re-opens.
    FlowLost = 9,
    /// Not run: the frame breaks the contract.
    Malformed = 10,
    /// Not run: the instance is stopping or has no document in force.
    NotReady = 11,
}

impl Refusal {
    /// Tells whether the code proves that the request was not run.
    pub fn proves_not_run(self) -> bool {
        !matches!(
            self,
            Self::Unspecified | Self::OutcomeUnknown | Self::AnswerGone | Self::FlowLost
        )
    }
}

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// What the frame asks for or reports.
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Flow id, zero when the request belongs to no flow.
    #[prost(fixed64, tag = "3")]
    pub flow: u64,
    /// Request id, zero when the frame belongs to no request.
    #[prost(fixed64, tag = "4")]
    pub request: u64,
    /// Member on whose behalf the caller acts.
    #[prost(string, tag = "5")]
    pub member: String,
    /// Target that the instance chose, or that sent the frame.
    #[prost(string, tag = "6")]
    pub target: String,
    /// Failure domain of the caller.
    #[prost(string, tag = "7")]
    pub domain: String,
    /// Number of earlier sends of the same request.
    #[prost(uint32, tag = "8")]
    pub attempt: u32,
    /// Time since the first send, in milliseconds.
    #[prost(uint32, tag = "9")]
    pub elapsed_ms: u32,
    /// Time left until the caller gives up, in milliseconds; zero means none stated.
    #[prost(uint32, tag = "10")]
    pub deadline_ms: u32,
    /// Whether running the request twice does no harm.
    #[prost(bool, tag = "11")]
    pub idempotent: bool,
    /// Number of this part of an answer, from zero.
    #[prost(uint32, tag = "12")]
    pub part: u32,
    /// Whether this is the last part of an answer.
    #[prost(bool, tag = "13")]
    pub last: bool,
    /// Route token, see [`crate::token`].
    #[prost(bytes = "vec", tag = "14")]
    pub token: Vec<u8>,
    /// Whether the caller echoes route tokens.
    #[prost(bool, tag = "15")]
    pub echo: bool,
    /// Address of the caller as `ip:port`; set by the fabric or the first instance.
    #[prost(string, tag = "16")]
    pub source: String,
    /// Refusal code of a [`Kind::Refuse`] frame.
    #[prost(enumeration = "Refusal", tag = "17")]
    pub refusal: i32,
    /// Requests in flight at the target when it sent the frame, plus one; zero when not stated.
    #[prost(uint32, tag = "18")]
    pub load: u32,
    /// Trace id, or zero when the request is not sampled.
    #[prost(fixed64, tag = "19")]
    pub trace: u64,
    /// Span id of the hop that sent the frame.
    #[prost(fixed64, tag = "20")]
    pub span: u64,
    /// Class of work within the service, such as `lookup` or `feed`.
    #[prost(string, tag = "21")]
    pub class: String,
    /// Run of the request that an answer's part belongs to, set by the owner; a caller puts an
    /// answer together from parts of one run only.
    #[prost(fixed64, tag = "23")]
    pub run: u64,
    /// Payload.
    #[prost(bytes = "vec", tag = "22")]
    pub body: Vec<u8>,
}

impl Frame {
    /// Returns an empty frame of one kind.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind: kind.into(),
            ..Self::default()
        }
    }

    /// Returns the refusal of `frame` with `code`, addressed to the caller.
    pub fn refusal_for(frame: &Frame, code: Refusal) -> Self {
        Self {
            kind: Kind::Refuse.into(),
            refusal: code.into(),
            body: Vec::new(),
            token: Vec::new(),
            ..frame.clone()
        }
    }

    /// Decodes a datagram and checks the limits that every frame must keep.
    pub fn from_datagram(datagram: &[u8]) -> Result<Self> {
        if datagram.len() > MAX_FRAME_BYTES {
            return Err(Error::TooLong {
                message_kind: "frame",
                len_bytes: datagram.len(),
                limit_bytes: MAX_FRAME_BYTES,
            });
        }
        let frame = Self::decode(datagram).map_err(|error| Error::Malformed {
            message_kind: "frame",
            reason: error.to_string(),
        })?;
        frame.check_limits()?;
        Ok(frame)
    }

    /// Encodes the frame as one datagram, refusing one that no peer would accept.
    pub fn to_datagram(&self) -> Result<Vec<u8>> {
        let mut datagram = Vec::new();
        self.encode_into(&mut datagram)?;
        Ok(datagram)
    }

    /// Replaces the contents of `datagram` by the encoded frame; a sender that keeps the buffer
    /// allocates nothing per frame.
    pub fn encode_into(&self, datagram: &mut Vec<u8>) -> Result<()> {
        let len_bytes = self.encoded_len();
        if len_bytes > MAX_FRAME_BYTES {
            return Err(Error::TooLong {
                message_kind: "frame",
                len_bytes,
                limit_bytes: MAX_FRAME_BYTES,
            });
        }
        datagram.clear();
        datagram.reserve(len_bytes);
        self.encode_raw(datagram);
        Ok(())
    }

    fn check_limits(&self) -> Result<()> {
        let names = [
            &self.service,
            &self.member,
            &self.target,
            &self.domain,
            &self.class,
        ];
        if names.iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return Err(malformed("a name exceeds 64 bytes"));
        }
        match self.kind() {
            Kind::Unspecified => Err(malformed("unknown kind")),
            _ if self.service.is_empty() => Err(malformed("no service")),
            Kind::Open | Kind::Opened | Kind::Data | Kind::Close if self.flow == 0 => {
                Err(malformed("no flow id"))
            }
            Kind::Request | Kind::Answer | Kind::Cancel if self.request == 0 => {
                Err(malformed("no request id"))
            }
            _ => Ok(()),
        }
    }
}

fn malformed(reason: &str) -> Error {
    Error::Malformed {
        message_kind: "frame",
        reason: reason.to_owned(),
    }
}
