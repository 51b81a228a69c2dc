//! Simulated target that answers callers directly, with one answer per packet that has data.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

#[path = "packet.rs"]
pub mod packet;

use packet::{ACK, Packet, RST, SYN};

#[derive(Debug, Default)]
struct TargetState {
    flows: Vec<SocketAddrV4>,
    request_count: usize,
    unknown_flow_packets: usize,
    openings: Vec<Opening>,
}

/// An opening packet that a target accepted.
#[derive(Debug, Clone, Copy)]
pub struct Opening {
    pub at: Instant,
    pub sender: SocketAddr,
    /// Whether the target had accepted one of the same flow before.
    pub is_copy: bool,
}

pub struct Target {
    pub id: u64,
    /// Failure domain.
    pub domain: &'static str,
    pub address: SocketAddrV4,
    state: Arc<Mutex<TargetState>>,
    task: JoinHandle<()>,
}

impl Target {
    pub async fn start(id: u64, address: SocketAddrV4, caller_port: u16) -> Self {
        let socket = UdpSocket::bind(address).await.unwrap();
        let state = Arc::new(Mutex::new(TargetState::default()));
        let task = tokio::spawn(serve(socket, id, caller_port, state.clone()));
        Self {
            id,
            domain: "a",
            address,
            state,
            task,
        }
    }

    pub fn store_key(&self) -> String {
        format!("servers/i-{:08x}", self.id)
    }

    pub fn store_record(&self, state: &str) -> Value {
        self.numbered_store_record(state, 1)
    }

    /// Returns the report with a number that the target raises with each report.
    pub fn numbered_store_record(&self, state: &str, number: u64) -> Value {
        json!({
            "service": "rates",
            "addr": self.address.to_string(),
            "zone": self.domain,
            "version": "v1",
            "max-concurrent": 2,
            "state": state,
            "warmup-left-ms": 0,
            "seq": number,
            "born": 1_700_000_000_000_u64,
        })
    }

    /// Returns and clears the accepted opening packets.
    pub fn take_openings(&self) -> Vec<Opening> {
        std::mem::take(&mut self.state.lock().unwrap().openings)
    }

    /// Stops answering without notice.
    pub fn kill(&self) {
        self.task.abort();
    }

    pub fn request_count(&self) -> usize {
        self.state.lock().unwrap().request_count
    }

    /// Returns how many packets belonged to flows that were not opened at this target.
    pub fn unknown_flow_packets(&self) -> usize {
        self.state.lock().unwrap().unknown_flow_packets
    }
}

async fn serve(socket: UdpSocket, id: u64, caller_port: u16, state: Arc<Mutex<TargetState>>) {
    let mut buffer = [0; 2_048];
    loop {
        let (length, from) = socket.recv_from(&mut buffer).await.unwrap();
        let intended_id = u64::from_be_bytes(buffer[..8].try_into().unwrap());
        // Zero is for whichever target has the address.
        if intended_id != id && intended_id != 0 {
            continue;
        }
        let packet = Packet::decode(&buffer[8..length]);
        let answer = answer(&packet, from, &mut state.lock().unwrap());
        if let Some(answer) = answer {
            let to = SocketAddrV4::new(*packet.from.ip(), caller_port);
            socket.send_to(&answer.encode(), to).await.unwrap();
        }
    }
}

fn answer(packet: &Packet, from: SocketAddr, state: &mut TargetState) -> Option<Packet> {
    let mut answer = Packet {
        echo: packet.echo,
        seq: packet.ack,
        ack: packet.seq.wrapping_add(packet.data.len() as u32),
        to: packet.from,
        from: packet.to,
        flags: ACK,
        data: Vec::new(),
    };
    if packet.flags & SYN != 0 {
        state.openings.push(Opening {
            at: Instant::now(),
            sender: from,
            is_copy: state.flows.contains(&packet.from),
        });
        state.flows.push(packet.from);
        answer.flags = SYN | ACK;
        answer.seq = 5_000;
        answer.ack = packet.seq.wrapping_add(1);
        return Some(answer);
    }
    if !state.flows.contains(&packet.from) {
        state.unknown_flow_packets += 1;
        answer.flags = RST;
        return Some(answer);
    }
    if packet.data.is_empty() {
        return None;
    }
    state.request_count += 1;
    answer.data = b"answer".to_vec();
    Some(answer)
}
