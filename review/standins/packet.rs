//! Packets as clients and servers write them (PROTOCOL.md, section Packets). The key of `sum` is not disclosed, and the system
//! cannot check it, so it is a constant here.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 128;
pub const ACK: u8 = 2;
pub const FIN: u8 = 8;
pub const RST: u8 = 4;

const HEADER: usize = 32;
const SUM: u32 = 0xa1b2_c3d5;

#[derive(Clone, Debug)]
pub struct Packet {
    pub sum: u32,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub dst: SocketAddrV4,
    pub src: SocketAddrV4,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(src: SocketAddrV4, dst: SocketAddrV4, flags: u8) -> Self {
        Self {
            sum: SUM,
            echo: 0,
            seq: 0,
            ack: 0,
            dst,
            src,
            flags,
            data: Vec::new(),
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER + self.data.len());
        for word in [self.sum, self.echo, self.seq, self.ack] {
            bytes.extend(word.to_be_bytes());
        }
        for address in [self.dst, self.src] {
            bytes.extend(address.ip().octets());
            bytes.extend(address.port().to_be_bytes());
        }
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend([self.flags, 0]);
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEADER {
            return None;
        }
        let word = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let half = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let address = |at: usize| SocketAddrV4::new(Ipv4Addr::from(word(at)), half(at + 4));
        if usize::from(half(28)) != bytes.len() - HEADER {
            return None;
        }
        Some(Self {
            sum: word(0),
            echo: word(4),
            seq: word(8),
            ack: word(12),
            dst: address(16),
            src: address(22),
            flags: bytes[30],
            data: bytes[HEADER..].to_vec(),
        })
    }
}
