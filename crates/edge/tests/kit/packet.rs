//! Encoding and decoding of packets as callers and targets do it.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 128;
pub const ACK: u8 = 2;
pub const RST: u8 = 4;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub to: SocketAddrV4,
    pub from: SocketAddrV4,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0xa1, 0xb2, 0xc3, 0xd5];
        for number in [self.echo, self.seq, self.ack] {
            bytes.extend(number.to_be_bytes());
        }
        for address in [self.to, self.from] {
            bytes.extend(address.ip().octets());
            bytes.extend(address.port().to_be_bytes());
        }
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend([self.flags, 0]);
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Self {
        let read_u32 = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let read_u16 = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().unwrap());
        let address = |at: usize| SocketAddrV4::new(Ipv4Addr::from(read_u32(at)), read_u16(at + 4));
        Self {
            echo: read_u32(4),
            seq: read_u32(8),
            ack: read_u32(12),
            to: address(16),
            from: address(22),
            flags: bytes[30],
            data: bytes[32..].to_vec(),
        }
    }
}
