//! Packet headers, independent of their encoding.

use std::fmt;
use std::net::SocketAddrV4;

/// Both endpoints of a flow as the caller sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowId {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Entry address of the route, to which the caller sends.
    pub entry: SocketAddrV4,
}

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.caller, self.entry)
    }
}

/// Value in every packet of a flow that identifies its target. Zero means none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Token(pub u32);

/// Effect of a packet on its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketKind {
    /// Opens the flow.
    Open {
        /// Number of earlier transmissions of this packet.
        retransmissions: u32,
    },
    /// Carries data or an acknowledgement.
    Data,
    /// Closes the caller's direction of the flow.
    Finish,
    /// Aborts the flow.
    Abort,
}

/// Header of a caller's packet.
#[derive(Debug, Clone, Copy)]
pub struct Segment {
    /// The flow.
    pub flow: FlowId,
    /// Effect of the packet on its flow.
    pub kind: PacketKind,
    /// Token that the caller echoes.
    pub token: Token,
    /// Sequence number of the first data byte.
    pub seq: u32,
    /// Sequence number up to which the caller has received data.
    pub ack: u32,
    /// Number of data bytes.
    pub data_bytes: u16,
}

impl Segment {
    /// Returns the sequence number after the packet's data.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.data_bytes))
    }
}

/// Returns whether `left` follows `right` in wrapping sequence numbers.
pub fn is_after(left: u32, right: u32) -> bool {
    let distance = left.wrapping_sub(right);
    distance != 0 && distance < 1 << 31
}
