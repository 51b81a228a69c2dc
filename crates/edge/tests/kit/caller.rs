//! Simulated caller that opens flows and sends each request in one packet.

use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::ENTRY;
use super::target::packet::{ACK, Packet, RST, SYN};

/// Retransmission interval of callers on the platform.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

pub struct Caller {
    socket: UdpSocket,
    address: SocketAddrV4,
    next_port: u16,
}

/// Caller's side of a flow.
#[derive(Debug, Clone)]
pub struct Flow {
    pub from: SocketAddrV4,
    pub entry: SocketAddrV4,
    pub token: u32,
    seq: u32,
    ack: u32,
}

/// Result of a request or of opening a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    Reset,
    Unanswered,
}

impl Caller {
    pub async fn bind(address: SocketAddrV4) -> Self {
        Self {
            socket: UdpSocket::bind(address).await.unwrap(),
            address,
            next_port: 1_024,
        }
    }

    /// Sends bytes that need not form a valid packet.
    pub async fn send_bytes(&self, via: SocketAddrV4, bytes: &[u8]) {
        self.socket.send_to(bytes, via).await.unwrap();
    }

    /// Opens a flow to the default entry and retransmits the opening packet up to two times.
    pub async fn open_flow(&mut self, via: SocketAddrV4) -> Result<Flow, Outcome> {
        self.open_flow_to(via, ENTRY).await
    }

    pub async fn open_flow_to(
        &mut self,
        via: SocketAddrV4,
        entry: SocketAddrV4,
    ) -> Result<Flow, Outcome> {
        self.next_port += 1;
        let mut flow = Flow {
            from: SocketAddrV4::new(*self.address.ip(), self.next_port),
            entry,
            token: 0,
            seq: 100,
            ack: 0,
        };
        for attempt in 0..3 {
            flow.ack = attempt;
            self.send_packet(via, &flow, SYN, &[]).await;
            let Some(answer) = self.receive(&flow).await else {
                continue;
            };
            if answer.flags & RST != 0 {
                return Err(Outcome::Reset);
            }
            assert_eq!(answer.flags, SYN | ACK);
            flow.token = answer.echo;
            flow.seq = 101;
            flow.ack = answer.seq + 1;
            self.send_packet(via, &flow, ACK, &[]).await;
            return Ok(flow);
        }
        Err(Outcome::Unanswered)
    }

    /// Sends a request over an open flow, at most three times.
    pub async fn send_request(&mut self, via: SocketAddrV4, flow: &mut Flow) -> Outcome {
        for _ in 0..3 {
            self.send_packet(via, flow, ACK, b"request").await;
            let Some(answer) = self.receive(flow).await else {
                continue;
            };
            if answer.flags & RST != 0 {
                return Outcome::Reset;
            }
            flow.seq = answer.ack;
            flow.ack = answer.seq + answer.data.len() as u32;
            self.send_packet(via, flow, ACK, &[]).await;
            return Outcome::Answered;
        }
        Outcome::Unanswered
    }

    async fn send_packet(&self, via: SocketAddrV4, flow: &Flow, flags: u8, data: &[u8]) {
        let packet = Packet {
            echo: flow.token,
            seq: flow.seq,
            ack: flow.ack,
            to: flow.entry,
            from: flow.from,
            flags,
            data: data.to_vec(),
        };
        self.send_bytes(via, &packet.encode()).await;
    }

    async fn receive(&self, flow: &Flow) -> Option<Packet> {
        let mut buffer = [0; 2_048];
        let deadline = tokio::time::Instant::now() + RESEND_INTERVAL;
        loop {
            let received = self.socket.recv(&mut buffer);
            let length = tokio::time::timeout_at(deadline, received)
                .await
                .ok()?
                .unwrap();
            let packet = Packet::decode(&buffer[..length]);
            if packet.to == flow.from {
                return Some(packet);
            }
        }
    }
}
