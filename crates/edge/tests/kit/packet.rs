//! The packet as callers and targets write it.

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
        for end in [self.to, self.from] {
            bytes.extend(end.ip().octets());
            bytes.extend(end.port().to_be_bytes());
        }
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend([self.flags, 0]);
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Self {
        let number = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let port = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().unwrap());
        let end = |at: usize| SocketAddrV4::new(Ipv4Addr::from(number(at)), port(at + 4));
        Self {
            echo: number(4),
            seq: number(8),
            ack: number(12),
            to: end(16),
            from: end(22),
            flags: bytes[30],
            data: bytes[32..].to_vec(),
        }
    }
}
