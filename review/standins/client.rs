//! Clients that open a flow for each request (PROTOCOL.md, section Flows).

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::net::Record;
use crate::packet::{ACK, FIN, Packet, RST, SYN};

/// Times after the first opening packet at which copies are sent.
const COPIES_S: [f64; 2] = [0.2, 0.6];

/// Time after which an attempt without a handshake ends.
const GIVE_UP_S: f64 = 1.4;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    Opening,
    Open,
    Answered,
    Reset,
    GivenUp,
}

#[derive(Clone, Debug)]
pub struct Flow {
    pub entry: SocketAddrV4,
    /// When the first opening packet and its copies were sent.
    pub sent_at: Vec<f64>,
    pub stage: Stage,
    seq: u32,
    echo: u32,
}

/// Client machine behind one instance. Clones share their flows.
#[derive(Clone)]
pub struct Client {
    address: Ipv4Addr,
    via: SocketAddrV4,
    socket: Arc<UdpSocket>,
    pub flows: Arc<Mutex<HashMap<u16, Flow>>>,
    record: Record,
}

impl Client {
    pub fn start(address: Ipv4Addr, via: SocketAddrV4, record: Record) -> Self {
        let socket =
            UdpSocket::bind(SocketAddrV4::new(address, via.port())).unwrap_or_else(|error| {
                eprintln!("client at {address}: {error}");
                std::process::exit(2);
            });
        let client = Self {
            address,
            via,
            socket: Arc::new(socket),
            flows: Arc::default(),
            record,
        };
        let receiving = client.clone();
        thread::spawn(move || receiving.receive());
        let resending = client.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                resending.resend();
            }
        });
        client
    }

    pub fn is_at(&self, address: Ipv4Addr) -> bool {
        self.address == address
    }

    /// Opens a flow from a port that was not used before.
    pub fn open(&self, entry: SocketAddrV4) {
        let mut flows = self.flows.lock().unwrap();
        let port = 1_024 + flows.len() as u16;
        let flow = Flow {
            entry,
            sent_at: Vec::new(),
            stage: Stage::Opening,
            seq: 1_000 + u32::from(port),
            echo: 0,
        };
        flows.insert(port, flow);
        self.send_opening(port, flows.get_mut(&port).unwrap());
    }

    fn send_opening(&self, port: u16, flow: &mut Flow) {
        let mut packet = Packet::new(SocketAddrV4::new(self.address, port), flow.entry, SYN);
        packet.seq = flow.seq;
        packet.ack = flow.sent_at.len() as u32;
        let now = self.record.now();
        self.record.line(format!(
            "client {}:{port}: opens a flow to {}, copy {}",
            self.address, flow.entry, packet.ack
        ));
        flow.sent_at.push(now);
        self.send(&packet);
    }

    fn resend(&self) {
        let now = self.record.now();
        for (port, flow) in self.flows.lock().unwrap().iter_mut() {
            if flow.stage != Stage::Opening {
                continue;
            }
            let age = now - flow.sent_at[0];
            match COPIES_S.get(flow.sent_at.len() - 1) {
                Some(due) if age >= *due => self.send_opening(*port, flow),
                _ if age >= GIVE_UP_S => flow.stage = Stage::GivenUp,
                _ => {}
            }
        }
    }

    fn receive(&self) {
        let mut buffer = [0; 2048];
        while let Ok(length) = self.socket.recv(&mut buffer) {
            let Some(packet) = Packet::decode(&buffer[..length]) else {
                continue;
            };
            let port = packet.dst.port();
            let mut flows = self.flows.lock().unwrap();
            let Some(flow) = flows.get_mut(&port) else {
                continue;
            };
            let mut answer = Packet::new(packet.dst, flow.entry, ACK);
            if packet.flags & RST != 0 {
                self.record.line(format!(
                    "client {}: reset, sum {:x}",
                    packet.dst, packet.sum
                ));
                flow.stage = Stage::Reset;
                continue;
            } else if packet.flags & SYN != 0 && flow.stage == Stage::Opening {
                flow.stage = Stage::Open;
                flow.echo = packet.echo;
                flow.seq = flow.seq.wrapping_add(1);
                answer.ack = packet.seq.wrapping_add(1);
                answer.seq = flow.seq;
                answer.data = b"GET / HTTP/1.1\r\n\r\n".to_vec();
            } else if !packet.data.is_empty() && flow.stage == Stage::Open {
                self.record.line(format!("client {}: answered", packet.dst));
                flow.stage = Stage::Answered;
                flow.echo = packet.echo;
                flow.seq = packet.ack;
                answer.flags |= FIN;
                answer.seq = flow.seq;
                answer.ack = packet.seq.wrapping_add(packet.data.len() as u32);
            } else {
                continue;
            }
            answer.echo = flow.echo;
            self.send(&answer);
        }
    }

    fn send(&self, packet: &Packet) {
        // A packet that cannot be sent counts as lost.
        let _ = self.socket.send_to(&packet.encode(), self.via);
    }
}
