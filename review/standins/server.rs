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
    /// Flows whose request was run.
    pub run: Arc<Mutex<Vec<SocketAddrV4>>>,
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
            let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), u32> = HashMap::new();
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
                if packet.flags & SYN != 0 {
                    seen.taken.lock().unwrap().push(Taken {
                        from: packet.src,
                        to: packet.dst,
                        copy: packet.ack,
                    });
                    record.line(format!(
                        "server {id:x}: takes {} to {}, copy {}",
                        packet.src, packet.dst, packet.ack
                    ));
                    flows.insert(key, packet.seq.wrapping_add(1));
                    answer.flags = SYN | ACK;
                    answer.seq = 5_000;
                    answer.ack = packet.seq.wrapping_add(1);
                } else if let Some(expected) = flows.get_mut(&key) {
                    if packet.data.is_empty() && packet.flags & FIN == 0 {
                        continue;
                    }
                    answer.seq = packet.ack;
                    if packet.seq == *expected && !packet.data.is_empty() {
                        *expected = expected.wrapping_add(packet.data.len() as u32);
                        seen.run.lock().unwrap().push(packet.src);
                        record.line(format!(
                            "server {id:x}: runs a request of {} to {}",
                            packet.src, packet.dst
                        ));
                        answer.data = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
                    }
                    answer.ack = *expected;
                    if packet.flags & FIN != 0 {
                        answer.flags |= FIN;
                        flows.remove(&key);
                    }
                } else {
                    answer.flags = RST;
                }
                // A client that has left does not matter.
                let _ = socket.send_to(
                    &answer.encode(),
                    SocketAddrV4::new(*packet.src.ip(), client_port),
                );
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
