//! Clients: machines with one address each, whose flows differ in their ports.

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;
use crate::router::Router;

const RESEND: Duration = Duration::from_millis(200);
const MAX_RESEND: Duration = Duration::from_millis(1_600);
/// Times after which a client sends copies of a SYN, and gives up.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_LIMIT: Duration = Duration::from_millis(1_400);

/// A reset of the system's own that a client got.
#[derive(Debug, Clone, Copy)]
pub struct SystemReset {
    pub at: Instant,
    pub caller: SocketAddrV4,
}

#[derive(Clone)]
pub struct Machine {
    pub ip: Ipv4Addr,
    socket: Arc<UdpSocket>,
    flows: Arc<Mutex<HashMap<u16, Sender<Packet>>>>,
    next_port: Arc<Mutex<u16>>,
    /// Ports of flows that something before this machine has lost track of. Their packets do not arrive.
    lost: Arc<Mutex<HashSet<u16>>>,
    pub resets: Arc<Mutex<Vec<SystemReset>>>,
    record: Record,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    Reset,
    Unanswered,
}

impl Machine {
    pub fn start(ip: Ipv4Addr, port: u16, record: &Record) -> Self {
        let socket = UdpSocket::bind((ip, port))
            .unwrap_or_else(|error| crate::cannot_run(&format!("client: {error}")));
        let machine = Self {
            ip,
            socket: Arc::new(socket),
            flows: Arc::default(),
            next_port: Arc::new(Mutex::new(1_024)),
            lost: Arc::default(),
            resets: Arc::default(),
            record: record.clone(),
        };
        let receiving = machine.clone();
        std::thread::spawn(move || receiving.receive());
        machine
    }

    fn receive(&self) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(packet) = Packet::decode(&buffer[..length]) else {
                continue;
            };
            if self.lost.lock().unwrap().contains(&packet.dst.port()) {
                continue;
            }
            if packet.flags & RST != 0 && packet.sum == 0 {
                self.record.line(&format!(
                    "client {}: reset of the system's own from {from} for its flow to {}",
                    packet.dst, packet.src
                ));
                let reset = SystemReset {
                    at: Instant::now(),
                    caller: packet.dst,
                };
                self.resets.lock().unwrap().push(reset);
            } else if !packet.has_valid_sum() {
                self.record.line(&format!(
                    "MIXED client gets a packet that its sender didn't write so: {packet:?}"
                ));
                continue;
            }
            if let Some(flow) = self.flows.lock().unwrap().get(&packet.dst.port()) {
                let _ = flow.send(packet);
            }
        }
    }

    /// From now on, no packet of these flows arrives here.
    pub fn lose_track(&self, flows: &[Flow]) {
        self.lost
            .lock()
            .unwrap()
            .extend(flows.iter().map(|flow| flow.caller.port()));
    }

    /// Opens a flow. Sends copies of the SYN as the pages say.
    pub fn open(&self, router: &Router, route: SocketAddrV4) -> Result<Flow, Outcome> {
        let port = {
            let mut next = self.next_port.lock().unwrap();
            *next += 1;
            *next
        };
        let (sender, packets) = channel();
        self.flows.lock().unwrap().insert(port, sender);
        let mut flow = Flow {
            machine: self.clone(),
            router: router.clone(),
            caller: SocketAddrV4::new(self.ip, port),
            route,
            packets,
            echo: 0,
            seq: u32::from(port) << 12,
            ack: 0,
            is_open: false,
        };
        let started_at = Instant::now();
        let mut copies = 0;
        flow.send_syn(copies);
        loop {
            let due = COPIES.get(copies as usize).copied().unwrap_or(OPEN_LIMIT);
            match flow.next_packet(started_at + due) {
                Some(packet) if packet.flags & RST != 0 => return Err(Outcome::Reset),
                Some(packet) if packet.flags & (SYN | ACK) == SYN | ACK => {
                    flow.echo = packet.echo;
                    flow.seq = flow.seq.wrapping_add(1);
                    flow.ack = packet.seq.wrapping_add(1);
                    flow.is_open = true;
                    flow.send(ACK, &[]);
                    return Ok(flow);
                }
                Some(_) => {}
                None if due == OPEN_LIMIT => return Err(Outcome::Unanswered),
                None => {
                    copies += 1;
                    flow.send_syn(copies);
                }
            }
        }
    }
}

pub struct Flow {
    machine: Machine,
    router: Router,
    pub caller: SocketAddrV4,
    pub route: SocketAddrV4,
    packets: Receiver<Packet>,
    echo: u32,
    seq: u32,
    ack: u32,
    is_open: bool,
}

impl Flow {
    fn send_syn(&self, copies: u32) {
        self.machine.record.line(&format!(
            "client {}: SYN to {} (copy {copies})",
            self.caller, self.route
        ));
        let packet = Packet::new(self.caller, self.route, SYN, 0, self.seq, copies);
        self.forward(&packet);
    }

    fn send(&self, flags: u8, data: &[u8]) {
        let mut packet = Packet::new(
            self.caller,
            self.route,
            flags,
            self.echo,
            self.seq,
            self.ack,
        );
        packet.data = data.to_vec();
        self.forward(&packet);
    }

    fn forward(&self, packet: &Packet) {
        if let Some(to) = self.router.instance_for(self.caller, self.route) {
            let _ = self.machine.socket.send_to(&packet.encode(), to);
        }
    }

    fn next_packet(&self, until: Instant) -> Option<Packet> {
        match self
            .packets
            .recv_timeout(until.saturating_duration_since(Instant::now()))
        {
            Ok(packet) => Some(packet),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => crate::cannot_run("a client's socket has ended"),
        }
    }

    /// Sends a request of one packet and waits for the whole answer.
    pub fn request(&mut self, id: &str, method: &str, deadline: Duration) -> Outcome {
        let started_at = Instant::now();
        let body = if method == "POST" {
            "x".repeat(600)
        } else {
            String::new()
        };
        let data = format!(
            "{method} /x HTTP/1.1\r\nHost: {}\r\nPollenpin-Request-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
            self.route,
            body.len()
        );
        self.machine.record.line(&format!(
            "client {}: request {id} to {}",
            self.caller, self.route
        ));
        self.send(ACK, data.as_bytes());
        let end = self.seq.wrapping_add(data.len() as u32);
        let mut pause = RESEND;
        let mut resend_at = started_at + pause;
        let mut is_taken = false;
        let outcome = loop {
            let until = (started_at + deadline).min(if is_taken {
                started_at + deadline
            } else {
                resend_at
            });
            let Some(packet) = self.next_packet(until) else {
                if Instant::now() >= started_at + deadline {
                    break Outcome::Unanswered;
                }
                self.machine
                    .record
                    .line(&format!("client {}: request {id} sent again", self.caller));
                self.send(ACK, data.as_bytes());
                pause = (pause * 2).min(MAX_RESEND);
                resend_at = Instant::now() + pause;
                continue;
            };
            if packet.flags & RST != 0 {
                break Outcome::Reset;
            }
            if packet.flags & SYN != 0 {
                continue;
            }
            self.echo = packet.echo;
            if packet.ack == end {
                is_taken = true;
            }
            if packet.data.is_empty() || packet.seq != self.ack {
                continue;
            }
            self.ack = self.ack.wrapping_add(packet.data.len() as u32);
            self.seq = end;
            self.send(ACK, &[]);
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            if !text.contains(&format!("Pollenpin-Request-Id: {id}\r\n")) {
                self.machine.record.line(&format!(
                    "MIXED client {}: {id} got another request's answer",
                    self.caller
                ));
            }
            break Outcome::Answered;
        };
        self.machine.record.line(&format!(
            "client {}: request {id}: {outcome:?} after {} ms",
            self.caller,
            started_at.elapsed().as_millis()
        ));
        outcome
    }

    pub fn close(mut self) {
        if self.is_open {
            self.send(ACK | FIN, &[]);
            self.seq = self.seq.wrapping_add(1);
        }
        let _ = self
            .machine
            .flows
            .lock()
            .unwrap()
            .remove(&self.caller.port());
    }
}
