//! A server: takes datagrams at its address and answers callers directly.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;

const RESEND: Duration = Duration::from_millis(200);
const MAX_RESEND: Duration = Duration::from_millis(1_600);
const MAX_RESENDS: u32 = 8;

type Ends = (SocketAddrV4, SocketAddrV4);

#[derive(Clone)]
pub struct Settings {
    /// Text after the last dash of the name; its hex digits are the identity.
    pub id: u64,
    pub service: String,
    pub zone: String,
    /// Where the server receives datagrams.
    pub address: SocketAddrV4,
    pub max_conns: usize,
    pub work: Duration,
    pub caller_port: u16,
}

/// A request that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub request: String,
    pub route: SocketAddrV4,
    pub service: String,
    pub server: u64,
}

struct Unacked {
    packet: Packet,
    due: Instant,
    pause: Duration,
    resends: u32,
}

struct Flow {
    is_open: bool,
    first_seq: u32,
    seq: u32,
    expected: u32,
    received: Vec<u8>,
    unacked: Vec<Unacked>,
    echo: u32,
}

#[derive(Default)]
pub struct Shared {
    pub is_stopped: bool,
    /// Whether no datagram of a daemon arrives here.
    pub is_cut: bool,
    /// Callers of which the next datagram with data is lost.
    pub loses_next: HashSet<SocketAddrV4>,
    pub runs: Vec<Run>,
    pub open: HashSet<Ends>,
    /// Resets that the server sent.
    pub resets: Vec<(Instant, SocketAddrV4)>,
}

#[derive(Clone)]
pub struct Server {
    pub settings: Settings,
    pub born_ms: u64,
    pub shared: Arc<Mutex<Shared>>,
}

impl Server {
    pub fn start(settings: Settings, record: &Record) -> Self {
        let socket = UdpSocket::bind(settings.address)
            .unwrap_or_else(|error| crate::cannot_run(&format!("server: {error}")));
        socket
            .set_read_timeout(Some(Duration::from_millis(5)))
            .unwrap();
        let born_ms = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let server = Self {
            settings,
            born_ms,
            shared: Arc::default(),
        };
        record.line(&format!(
            "server {:x} ({}) starts at {}",
            server.settings.id, server.settings.service, server.settings.address
        ));
        let worker = Worker {
            server: server.clone(),
            socket,
            flows: HashMap::new(),
            running: Vec::new(),
            record: record.clone(),
            next_seq: 0x0100_0000,
        };
        std::thread::spawn(move || worker.run());
        server
    }

    pub fn key(&self) -> String {
        format!("servers/i-{:08x}", self.settings.id)
    }

    /// The entry that the server writes into the store.
    pub fn entry(&self, state: &str, seq: u64) -> String {
        let Settings {
            service,
            zone,
            address,
            ..
        } = &self.settings;
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"max-concurrent\":2,\"state\":\"{state}\",\"warmup-left-ms\":0,\"seq\":{seq},\"born\":{}}}",
            self.born_ms
        )
    }

    pub fn stop(&self) {
        self.shared.lock().unwrap().is_stopped = true;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().unwrap().runs.clone()
    }

    /// Returns whether a flow from this end is open here.
    pub fn holds(&self, caller: SocketAddrV4) -> bool {
        self.shared
            .lock()
            .unwrap()
            .open
            .iter()
            .any(|(src, _)| *src == caller)
    }
}

struct Worker {
    server: Server,
    socket: UdpSocket,
    flows: HashMap<Ends, Flow>,
    /// Requests that are being worked on.
    running: Vec<(Instant, Ends, String)>,
    record: Record,
    next_seq: u32,
}

impl Worker {
    fn run(mut self) {
        let mut buffer = [0; 2_048];
        loop {
            if self.server.shared.lock().unwrap().is_stopped {
                self.record.line(&format!(
                    "server {:x} ({}) has ended",
                    self.server.settings.id, self.server.settings.service
                ));
                return;
            }
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.receive(&buffer[..length]);
            }
            self.finish_work();
            self.resend();
        }
    }

    fn receive(&mut self, datagram: &[u8]) {
        let Some((prefix, bytes)) = datagram.split_at_checked(8) else {
            return;
        };
        let intended = u64::from_be_bytes(prefix.try_into().unwrap());
        if intended != 0 && intended != self.server.settings.id {
            return;
        }
        let id = self.server.settings.id;
        let Some(packet) = Packet::decode(bytes) else {
            return;
        };
        {
            let mut shared = self.server.shared.lock().unwrap();
            if shared.is_cut || !packet.data.is_empty() && shared.loses_next.remove(&packet.src) {
                self.record.line(&format!(
                    "a datagram of {} to server {id:x} is lost",
                    packet.src
                ));
                return;
            }
        }
        if !packet.has_valid_sum() || packet.flags & (SYN | ACK) == SYN | ACK {
            self.record.line(&format!(
                "UNASKED server {id:x} gets a packet that its sender didn't write so: {packet:?}"
            ));
            return;
        }
        let ends = (packet.src, packet.dst);
        if packet.flags & SYN != 0 {
            self.open(ends, &packet);
            return;
        }
        let Some(flow) = self.flows.get_mut(&ends) else {
            if packet.flags & RST == 0 {
                self.reset(&packet);
            }
            return;
        };
        if !flow.is_open && packet.ack != flow.first_seq.wrapping_add(1) {
            // The caller acknowledges another server.
            self.flows.remove(&ends);
            self.reset(&packet);
            return;
        }
        if !flow.is_open {
            flow.is_open = true;
            self.server.shared.lock().unwrap().open.insert(ends);
            self.record.line(&format!(
                "server {id:x}: flow {}-{} is open",
                ends.0, ends.1
            ));
        }
        flow.echo = packet.echo;
        flow.unacked
            .retain(|unacked| (packet.ack.wrapping_sub(end_of(&unacked.packet)) as i32) < 0);
        if packet.flags & RST != 0 {
            self.close(ends);
            return;
        }
        if packet.data.is_empty() && packet.flags & FIN == 0 {
            return;
        }
        if packet.seq == flow.expected {
            flow.expected = flow
                .expected
                .wrapping_add(packet.data.len() as u32 + u32::from(packet.flags & FIN != 0));
            flow.received.extend(&packet.data);
        }
        let answer = Packet::new(
            packet.dst,
            packet.src,
            ACK,
            flow.echo,
            flow.seq,
            flow.expected,
        );
        if let Some(request) = take_request(&mut flow.received) {
            let now = Instant::now();
            let service = self.server.settings.service.clone();
            self.record.line(&format!(
                "server {id:x} ({service}) runs {request} from {}, sent to {}",
                ends.0, ends.1
            ));
            let run = Run {
                at: now,
                request: request.clone(),
                route: ends.1,
                service,
                server: id,
            };
            self.server.shared.lock().unwrap().runs.push(run);
            self.running
                .push((now + self.server.settings.work, ends, request));
        }
        self.send(&answer);
        if packet.flags & FIN != 0 {
            let mut fin = answer;
            fin.flags = ACK | FIN;
            self.send(&fin);
            self.close(ends);
        }
    }

    fn open(&mut self, ends: Ends, packet: &Packet) {
        let id = self.server.settings.id;
        if !self.flows.contains_key(&ends) {
            if self.flows.len() >= self.server.settings.max_conns {
                self.record.line(&format!(
                    "server {id:x} is full and leaves the SYN of {} (copy {}) unanswered",
                    ends.0, packet.ack
                ));
                return;
            }
            self.next_seq = self.next_seq.wrapping_add(0x0001_0000);
            let first_seq = self.next_seq ^ id as u32;
            let flow = Flow {
                is_open: false,
                first_seq,
                seq: first_seq.wrapping_add(1),
                expected: packet.seq.wrapping_add(1),
                received: Vec::new(),
                unacked: Vec::new(),
                echo: packet.echo,
            };
            self.flows.insert(ends, flow);
            self.record.line(&format!(
                "server {id:x} takes the SYN of {} to {} (copy {})",
                ends.0, ends.1, packet.ack
            ));
        }
        let Some(flow) = self.flows.get_mut(&ends) else {
            return;
        };
        flow.echo = packet.echo;
        let answer = Packet::new(
            packet.dst,
            packet.src,
            SYN | ACK,
            flow.echo,
            flow.first_seq,
            packet.seq.wrapping_add(1),
        );
        self.send(&answer);
    }

    fn close(&mut self, ends: Ends) {
        self.flows.remove(&ends);
        self.server.shared.lock().unwrap().open.remove(&ends);
    }

    fn reset(&mut self, packet: &Packet) {
        let caller = packet.src;
        self.record.line(&format!(
            "server {:x} resets a flow of {caller} that it does not hold",
            self.server.settings.id
        ));
        self.server
            .shared
            .lock()
            .unwrap()
            .resets
            .push((Instant::now(), caller));
        let answer = Packet::new(
            packet.dst,
            packet.src,
            RST,
            packet.echo,
            packet.ack,
            packet.seq,
        );
        self.send(&answer);
    }

    fn finish_work(&mut self) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.running = later;
        for (_, ends, request) in due {
            let Some(flow) = self.flows.get_mut(&ends) else {
                continue;
            };
            let body = format!("{:-<200}", format!("answer to {request} "));
            let mut packet = Packet::new(ends.1, ends.0, ACK, flow.echo, flow.seq, flow.expected);
            packet.data = format!(
                "HTTP/1.1 200 OK\r\nPollenpin-Server-Stamp: {:x}\r\nPollenpin-Request-Id: {request}\r\nContent-Length: {}\r\n\r\n{body}",
                self.server.settings.id,
                body.len()
            )
            .into_bytes();
            flow.seq = flow.seq.wrapping_add(packet.data.len() as u32);
            flow.unacked.push(Unacked {
                packet: packet.clone(),
                due: now + RESEND,
                pause: RESEND,
                resends: 0,
            });
            self.send(&packet);
        }
    }

    fn resend(&mut self) {
        let now = Instant::now();
        let mut due = Vec::new();
        for flow in self.flows.values_mut() {
            for unacked in flow
                .unacked
                .iter_mut()
                .filter(|unacked| unacked.due <= now && unacked.resends < MAX_RESENDS)
            {
                unacked.resends += 1;
                unacked.pause = (unacked.pause * 2).min(MAX_RESEND);
                unacked.due = now + unacked.pause;
                due.push(unacked.packet.clone());
            }
        }
        for packet in due {
            self.send(&packet);
        }
    }

    fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(*packet.dst.ip(), self.server.settings.caller_port);
        let _ = self.socket.send_to(&packet.encode(), to);
    }
}

fn end_of(packet: &Packet) -> u32 {
    packet.seq.wrapping_add(packet.data.len() as u32)
}

/// Takes a complete request out of the received bytes and returns its id.
fn take_request(received: &mut Vec<u8>) -> Option<String> {
    let text = String::from_utf8_lossy(received).into_owned();
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let header = |name: &str| {
        head.lines()
            .find_map(|line| line.strip_prefix(name))
            .map(str::trim)
            .map(str::to_owned)
    };
    let length: usize = header("Content-Length:")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    if rest.len() < length {
        return None;
    }
    received.clear();
    header("Pollenpin-Request-Id:")
}
