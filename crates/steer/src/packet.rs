//! What the core knows of a caller's packet.

use std::fmt;
use std::net::SocketAddrV4;

/// Both ends of a flow as the caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowId {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address of the route to which the caller sends.
    pub entry: SocketAddrV4,
}

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.caller, self.entry)
    }
}

/// Value that both ends of a flow repeat; names the target. Zero stands for none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Token(pub u32);

/// What a packet does to its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketKind {
    /// Asks to open the flow.
    Open {
        /// How often the caller has sent it before.
        resend: u32,
    },
    /// Carries data or an acknowledgement.
    Data,
    /// Ends the caller's half.
    Finish,
    /// Ends the flow at once.
    Abort,
}

/// The header of a caller's packet.
#[derive(Debug, Clone, Copy)]
pub struct Segment {
    /// The flow.
    pub flow: FlowId,
    /// What the packet does.
    pub kind: PacketKind,
    /// Token that the caller repeats.
    pub token: Token,
    /// Position of the first byte of data.
    pub seq: u32,
    /// Position up to which the caller has received the answer.
    pub ack: u32,
    /// Bytes of data.
    pub data_bytes: u16,
}

impl Segment {
    /// Returns the position after the packet's data.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.data_bytes))
    }
}

/// Tells whether a position lies after another, in sequence numbers that wrap.
pub fn is_after(left: u32, right: u32) -> bool {
    let distance = left.wrapping_sub(right);
    distance != 0 && distance < 1 << 31
}
