//! Datagrams between callers, instances and targets. Each holds one protobuf message.
//!
//! Field numbers are part of the protocol that [the frame reference](../../../docs/frame.md)
//! describes and are never reused.

use prost::Message;

use crate::{Error, Result};

/// Maximum size of a datagram. It fits into an Ethernet frame and leaves room for tunnel headers.
pub const MAX_FRAME_BYTES: usize = 1_400;

/// Maximum length of a name, the same as in settings and documents.
const MAX_NAME_BYTES: usize = 64;

/// Kind of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Not a valid kind; frames without a valid kind are rejected.
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
    /// Target sends one part of an answer.
    Answer = 6,
    /// Caller or instance cancels a request.
    Cancel = 7,
    /// Instance or target refuses a flow or a request; see [`Refusal`].
    Refuse = 8,
}

/// Reason why a flow or request was refused.
///
/// Codes marked "not run" prove that the request was not run, see [`Refusal::proves_not_run`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Refusal {
    /// No refusal.
    Unspecified = 0,
    /// Not run: queue, slots or share exhausted.
    Overloaded = 1,
    /// Not run: the deadline has passed or would pass before the request is started.
    DeadlinePassed = 2,
    /// Not run: the service has no usable target.
    NoTarget = 3,
    /// Not run: the target is draining.
    Draining = 4,
    /// Not run: cancelled before the start.
    Cancelled = 5,
    /// Not run: no such service.
    UnknownService = 6,
    /// Whether the request was run cannot be determined.
    OutcomeUnknown = 7,
    /// The request was run, but its answer is no longer stored.
    AnswerGone = 8,
    /// The flow's target was removed or does not respond; the caller has to open the flow again.
    FlowLost = 9,
    /// Not run: the frame violates the protocol.
    Malformed = 10,
    /// Not run: the instance is stopping or has no active document.
    NotReady = 11,
}

impl Refusal {
    /// Returns whether the code proves that the request was not run.
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
    /// Kind of the frame.
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Flow id; zero if the request belongs to no flow.
    #[prost(fixed64, tag = "3")]
    pub flow: u64,
    /// Request id; zero if the frame belongs to no request.
    #[prost(fixed64, tag = "4")]
    pub request: u64,
    /// Member on whose behalf the caller acts.
    #[prost(string, tag = "5")]
    pub member: String,
    /// Target that the instance selected or that sent the frame.
    #[prost(string, tag = "6")]
    pub target: String,
    /// Failure domain of the caller.
    #[prost(string, tag = "7")]
    pub domain: String,
    /// Number of earlier transmissions of the same request.
    #[prost(uint32, tag = "8")]
    pub attempt: u32,
    /// Time since the first transmission, in milliseconds.
    #[prost(uint32, tag = "9")]
    pub elapsed_ms: u32,
    /// Time left until the caller gives up, in milliseconds; zero if not specified.
    #[prost(uint32, tag = "10")]
    pub deadline_ms: u32,
    /// Whether the request may safely be run more than once.
    #[prost(bool, tag = "11")]
    pub idempotent: bool,
    /// Index of this part of the answer, starting at zero.
    #[prost(uint32, tag = "12")]
    pub part: u32,
    /// Whether this is the last part of an answer.
    #[prost(bool, tag = "13")]
    pub last: bool,
    /// Route token; see [`crate::token`].
    #[prost(bytes = "vec", tag = "14")]
    pub token: Vec<u8>,
    /// Whether the caller echoes the route token in its frames.
    #[prost(bool, tag = "15")]
    pub echo: bool,
    /// Address of the caller as `ip:port`; set by the fabric or the first instance.
    #[prost(string, tag = "16")]
    pub source: String,
    /// Refusal code of a [`Kind::Refuse`] frame.
    #[prost(enumeration = "Refusal", tag = "17")]
    pub refusal: i32,
    /// Requests in flight at the target when it sent the frame, plus one; zero if not reported.
    #[prost(uint32, tag = "18")]
    pub load: u32,
    /// Trace id; zero if the request is not sampled.
    #[prost(fixed64, tag = "19")]
    pub trace: u64,
    /// Span id of the hop that sent the frame.
    #[prost(fixed64, tag = "20")]
    pub span: u64,
    /// Class of work within the service, such as `lookup` or `feed`.
    #[prost(string, tag = "21")]
    pub class: String,
    /// Run of the request to which this part of an answer belongs, set by the owner. A caller
    /// assembles an answer from parts of a single run only.
    #[prost(fixed64, tag = "23")]
    pub run: u64,
    /// Payload.
    #[prost(bytes = "vec", tag = "22")]
    pub body: Vec<u8>,
}

impl Frame {
    /// Creates a frame of the given kind with all other fields empty.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind: kind.into(),
            ..Self::default()
        }
    }

    /// Creates the frame that tells the caller that `frame` was refused with `code`.
    pub fn refusal_for(frame: &Frame, code: Refusal) -> Self {
        Self {
            kind: Kind::Refuse.into(),
            refusal: code.into(),
            body: Vec::new(),
            token: Vec::new(),
            ..frame.clone()
        }
    }

    /// Decodes a datagram and checks its size, the length of its names and its mandatory fields.
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

    /// Encodes the frame as a datagram; fails if it exceeds [`MAX_FRAME_BYTES`].
    pub fn to_datagram(&self) -> Result<Vec<u8>> {
        let mut datagram = Vec::new();
        self.encode_into(&mut datagram)?;
        Ok(datagram)
    }

    /// Replaces the contents of `datagram` with the encoded frame. A sender that reuses the buffer
    /// avoids an allocation per frame.
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
            return Err(malformed("a name is longer than 64 bytes"));
        }
        match self.kind() {
            Kind::Unspecified => Err(malformed("unknown kind")),
            _ if self.service.is_empty() => Err(malformed("the service name is empty")),
            Kind::Open | Kind::Opened | Kind::Data | Kind::Close if self.flow == 0 => {
                Err(malformed("the flow id is zero"))
            }
            Kind::Request | Kind::Answer | Kind::Cancel if self.request == 0 => {
                Err(malformed("the request id is zero"))
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
