//! The packet of the users' pages: a header of 32 bytes, big-endian, and up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 128;
pub const ACK: u8 = 2;
pub const FIN: u8 = 8;
pub const RST: u8 = 4;
pub const BOUNCED: u8 = 16;
pub const HEADER: usize = 32;

/// Key of the sum, which only callers and servers know.
const KEY: u32 = 0x5bd1_e995;

#[derive(Debug, Clone)]
pub struct Packet {
    pub sum: u32,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub dst: SocketAddrV4,
    pub src: SocketAddrV4,
    pub flags: u8,
    pub pad: u8,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(
        src: SocketAddrV4,
        dst: SocketAddrV4,
        flags: u8,
        echo: u32,
        seq: u32,
        ack: u32,
    ) -> Self {
        Self {
            sum: 0,
            echo,
            seq,
            ack,
            dst,
            src,
            flags,
            pad: 0,
            data: Vec::new(),
        }
    }

    /// Keyed sum over all fields except `echo`, `pad` and BOUNCED.
    fn keyed_sum(&self) -> u32 {
        let mut bytes = self.encode_with(0);
        bytes[4..8].fill(0);
        bytes[30] &= !BOUNCED;
        bytes[31] = 0;
        let hash = bytes.iter().fold(KEY, |hash, byte| {
            (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
        });
        hash.max(1)
    }

    pub fn has_valid_sum(&self) -> bool {
        self.sum == self.keyed_sum()
    }

    /// Encodes the packet with the sum of its sender.
    pub fn encode(&self) -> Vec<u8> {
        self.encode_with(self.keyed_sum())
    }

    fn encode_with(&self, sum: u32) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER + self.data.len());
        for number in [sum, self.echo, self.seq, self.ack] {
            bytes.extend(number.to_be_bytes());
        }
        for address in [self.dst, self.src] {
            bytes.extend(address.ip().octets());
            bytes.extend(address.port().to_be_bytes());
        }
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend([self.flags, self.pad]);
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEADER {
            return None;
        }
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let address = |at: usize| SocketAddrV4::new(Ipv4Addr::from(u32_at(at)), u16_at(at + 4));
        if usize::from(u16_at(28)) != bytes.len() - HEADER {
            return None;
        }
        Some(Self {
            sum: u32_at(0),
            echo: u32_at(4),
            seq: u32_at(8),
            ack: u32_at(12),
            dst: address(16),
            src: address(22),
            flags: bytes[30],
            pad: bytes[31],
            data: bytes[HEADER..].to_vec(),
        })
    }
}
