//! Servers in mode `echo` (PROTOCOL.md, sections Packets, Flows and Servers).

use std::collections::HashMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::net::Record;
use crate::packet::{ACK, FIN, Packet, RST, SYN};

/// An opening packet that a server took.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    /// The client's end of the flow.
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    /// Number of the copy: 0 for the first packet.
    pub copy: u32,
}

/// What all servers of a run have seen.
#[derive(Clone, Default)]
pub struct Seen {
    pub taken: Arc<Mutex<Vec<Taken>>>,
    /// Server at which each flow was opened.
    pub opened: Arc<Mutex<HashMap<SocketAddrV4, u64>>>,
    /// Servers that reset a flow which they did not hold, and the flow.
    pub resets: Arc<Mutex<Vec<(u64, SocketAddrV4)>>>,
    /// Flows whose request was run.
    pub run: Arc<Mutex<Vec<SocketAddrV4>>>,
}

struct ServerFlow {
    /// Sequence number of the next byte from the client.
    expected: u32,
    /// Whether the end of the handshake has arrived.
    is_open: bool,
}

#[derive(Clone)]
pub struct Server {
    pub id: u64,
    pub address: SocketAddrV4,
    pub service: &'static str,
    pub zone: &'static str,
}

impl Server {
    /// Starts a server that answers until the process ends. Clients receive at `client_port`.
    pub fn start(&self, client_port: u16, seen: Seen, record: Record) {
        let socket = UdpSocket::bind(self.address).unwrap_or_else(|error| {
            eprintln!("server at {}: {error}", self.address);
            std::process::exit(2);
        });
        let id = self.id;
        thread::spawn(move || {
            let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), ServerFlow> = HashMap::new();
            // Differs by server, so that a client can tell whose handshake it has received.
            let first_seq = 1_000_000 + (id as u32 & 0xff_ffff);
            let mut buffer = [0; 2048];
            while let Ok(length) = socket.recv(&mut buffer) {
                let Some((prefix, bytes)) = buffer[..length].split_first_chunk::<8>() else {
                    continue;
                };
                let intended = u64::from_be_bytes(*prefix);
                let Some(packet) =
                    Packet::decode(bytes).filter(|_| intended == 0 || intended == id)
                else {
                    continue;
                };
                let key = (packet.src, packet.dst);
                let mut answer = Packet::new(packet.dst, packet.src, ACK);
                answer.echo = packet.echo;
                let is_handshake_end = packet.ack == first_seq.wrapping_add(1);
                if packet.flags & SYN != 0 {
                    let taken = Taken {
                        from: packet.src,
                        to: packet.dst,
                        copy: packet.ack,
                    };
                    seen.taken.lock().unwrap().push(taken);
                    record.line(format!(
                        "server {id:x}: takes {} to {}, copy {}",
                        packet.src, packet.dst, packet.ack
                    ));
                    let expected = packet.seq.wrapping_add(1);
                    flows.entry(key).or_insert(ServerFlow {
                        expected,
                        is_open: false,
                    });
                    answer.flags = SYN | ACK;
                    answer.seq = first_seq;
                    answer.ack = expected;
                } else if let Some(flow) = flows
                    .get_mut(&key)
                    .filter(|flow| flow.is_open || is_handshake_end)
                {
                    if !std::mem::replace(&mut flow.is_open, true) {
                        seen.opened.lock().unwrap().insert(packet.src, id);
                    }
                    if packet.data.is_empty() && packet.flags & FIN == 0 {
                        continue;
                    }
                    answer.seq = packet.ack;
                    if packet.seq == flow.expected && !packet.data.is_empty() {
                        flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                        seen.run.lock().unwrap().push(packet.src);
                        record.line(format!(
                            "server {id:x}: runs a request of {} to {}",
                            packet.src, packet.dst
                        ));
                        answer.data = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
                    }
                    answer.ack = flow.expected;
                    if packet.flags & FIN != 0 {
                        answer.flags |= FIN;
                        flows.remove(&key);
                    }
                } else if packet.flags & RST != 0 {
                    continue;
                } else {
                    record.line(format!(
                        "server {id:x}: resets {} to {}, which it does not hold",
                        packet.src, packet.dst
                    ));
                    seen.resets.lock().unwrap().push((id, packet.src));
                    answer.flags = RST;
                }
                // A client that has left does not matter.
                let to = SocketAddrV4::new(*packet.src.ip(), client_port);
                let _ = socket.send_to(&answer.encode(), to);
            }
        });
    }

    pub fn key(&self) -> String {
        format!("servers/{}-{:x}", self.service, self.id)
    }

    pub fn entry(&self, state: &str, seq: u64) -> String {
        format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"1.0","max-concurrent":2,"state":"{state}","warmup-left-ms":0,"seq":{seq},"born":1764000000000}}"#,
            self.service, self.address, self.zone
        )
    }
}
