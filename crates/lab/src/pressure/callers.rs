//! What callers know: their requests, users and flows.

use std::net::{Ipv4Addr, SocketAddrV4};

use ids::{Micros, Millis};
use steer::{FlowId, PacketKind, Segment, Token};

use super::scenario::Class;

const REQUEST_BYTES: u16 = 200;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered within the latency goal.
    InTime,
    /// Answered within the deadline.
    Late,
    /// The last attempt was refused, which proves that it did not run.
    Refused,
    /// The deadline ended, or an attempt broke off and there was none left.
    Failed,
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Index of its class.
    pub class: usize,
    /// Index of the caller's failure domain.
    pub domain: usize,
    /// Number of the caller's address in its domain.
    pub caller: usize,
    /// When it was asked.
    pub asked_at: Micros,
    /// How it ended.
    pub outcome: Option<Outcome>,
    /// How often it ended; any number but 1 is a fault of the model.
    pub ends: u32,
    /// Time from asking to the end.
    pub took: Millis,
    pub(super) stream: usize,
    /// Index of the user in the stream, if users keep flows open.
    pub(super) user: Option<usize>,
    /// Time of work at speed 1.
    pub(super) work_us: u64,
    pub(super) response_bytes: u32,
    pub(super) attempts: u32,
    /// Whether the last attempt was refused.
    pub(super) is_refused: bool,
    /// Flow of the present attempt.
    pub(super) flow: Option<usize>,
}

/// Stage of a flow at its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Opening,
    Open,
    /// The caller has closed the flow or given it up.
    Closed,
}

/// A flow of a caller.
#[derive(Debug)]
pub struct Flow {
    pub id: FlowId,
    pub domain: usize,
    /// The pending request.
    pub request: Option<usize>,
    pub stage: Stage,
    /// Token that the target last received.
    pub token: Token,
    /// The target and the number of its start.
    pub target: Option<(usize, u64)>,
    /// Number of the last packet that needs an answer: 0 for the opening packet, then the requests.
    pub number: u32,
    /// Whether a target has shown that it received this packet.
    pub is_acknowledged: bool,
    /// Number of the last request that the target has accepted or refused.
    pub accepted: u32,
    /// Instance that gets the packets, with the generation of the fleet in which it was chosen.
    pub instance: (u32, usize),
    sent_bytes: u32,
    received_bytes: u32,
    initial_seq: u32,
}

/// A packet of a caller, with the index of its flow and its number if it needs an answer.
#[derive(Debug)]
pub struct CallerPacket {
    pub flow: usize,
    pub number: u32,
    pub segment: Segment,
}

impl CallerPacket {
    pub fn is_opening(&self) -> bool {
        matches!(self.segment.kind, PacketKind::Open { .. })
    }
}

/// What reaches a caller. Numbers are those of requests.
#[derive(Debug, Clone, Copy)]
pub enum Answer {
    /// The target of this index and start accepted the flow and received this token.
    Opened(usize, u64, Token),
    Acknowledged(u32),
    Response(u32),
    /// The target's refusal to run a request.
    Refusal,
    /// A reset, which may have come before any target saw the flow.
    Reset {
        is_opening: bool,
    },
}

impl Flow {
    /// Creates a flow from a port that was not used before.
    pub fn new(domain: usize, caller: usize, port: u16, class: usize, initial_seq: u32) -> Self {
        let address = Ipv4Addr::new(100, 64 + domain as u8, (caller >> 8) as u8, caller as u8);
        Self {
            id: FlowId {
                caller: SocketAddrV4::new(address, port),
                entry: Class::entry(class),
            },
            domain,
            request: None,
            stage: Stage::Opening,
            token: Token(0),
            target: None,
            number: 0,
            is_acknowledged: false,
            accepted: 0,
            instance: (0, 0),
            sent_bytes: 0,
            received_bytes: 0,
            initial_seq,
        }
    }

    /// Returns the opening packet or a copy of it.
    pub fn opening(&self, retransmissions: u32) -> Segment {
        Segment {
            seq: self.initial_seq,
            ack: retransmissions,
            ..self.bare(PacketKind::Open { retransmissions })
        }
    }

    /// Returns the first packet of the next request.
    pub fn next_request(&mut self) -> Segment {
        self.number += 1;
        self.is_acknowledged = false;
        self.sent_bytes += u32::from(REQUEST_BYTES);
        self.request_copy()
    }

    /// Returns a copy of the last request.
    pub fn request_copy(&self) -> Segment {
        let bare = self.bare(PacketKind::Data);
        Segment {
            seq: bare.seq.wrapping_sub(u32::from(REQUEST_BYTES)),
            data_bytes: REQUEST_BYTES,
            ..bare
        }
    }

    /// Returns the acknowledgement of further bytes.
    pub fn acknowledgement(&mut self, received_bytes: u32) -> Segment {
        self.received_bytes += received_bytes;
        self.bare(PacketKind::Data)
    }

    /// Returns a packet without data.
    pub fn bare(&self, kind: PacketKind) -> Segment {
        Segment {
            flow: self.id,
            kind,
            token: self.token,
            seq: self.initial_seq.wrapping_add(1 + self.sent_bytes),
            ack: 1_000 + self.received_bytes,
            data_bytes: 0,
        }
    }
}
