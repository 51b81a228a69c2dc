//! Case 2: instances that have learned two servers with the same token in different orders send packets of an open flow to the
//! wrong one.
//!
//! Usage: shared_token RECORD. `TROUBLE=0` leaves the planned restarts out. Exit codes: 0 the rule held, 1 it was broken, 2 the
//! case could not run.

// The programs share these modules and use different parts of them.
#![allow(dead_code)]

mod instance;
mod net;
mod packet;
mod server;
mod store;

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::path::Path;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use instance::Instance;
use net::{Net, Record};
use packet::{ACK, Packet, RST, SYN};
use server::{Seen, Server};
use store::Store;

const ZONE: &str = "brno-a";
const ENTRY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Ids of servers that serve from the start, and of servers that join later. Each pair has the same token.
const IDS: [(u64, u64); 3] = [
    (0x25_3f8f_7811, 0x2c_33b3_a52a),
    (0x53_a4a5_4bd6, 0x94_f4dd_b354),
    (0x7f_55fa_2b4e, 0xd5_efc1_ac92),
];

const FLOWS: u16 = 24;

/// Pause between the requests of a flow.
const PAUSE_S: f64 = 0.5;

/// Time after which a packet without an answer is sent again.
const RESEND_S: f64 = 0.2;

fn main() {
    let Some(path) = std::env::args().nth(1) else {
        eprintln!("usage: shared_token RECORD");
        exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&path);
    let folder = std::env::temp_dir().join(format!("shared-token-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        exit(2);
    }
    let verdict = run(&record, &folder, is_troubled);
    let _ = std::fs::remove_dir_all(&folder);
    exit(verdict);
}

fn run(record: &Record, folder: &Path, is_troubled: bool) -> i32 {
    let net = Net::choose();
    let seen = Seen::default();
    let store = Store::start(
        SocketAddrV4::new(net.host(1), net.ports.store),
        record.clone(),
    );
    store.put("op/config", &document());
    let server = |id: u64, last: usize| Server {
        id,
        address: SocketAddrV4::new(net.host(last as u8), net.ports.server),
        service: "quotes",
        zone: ZONE,
    };
    let first: Vec<Server> = IDS
        .iter()
        .enumerate()
        .map(|(at, ids)| server(ids.0, 20 + at))
        .collect();
    let joining: Vec<Server> = IDS
        .iter()
        .enumerate()
        .map(|(at, ids)| server(ids.1, 30 + at))
        .collect();
    for server in first.iter().chain(&joining) {
        server.start(net.ports.data, seen.clone(), record.clone());
    }
    for server in &first {
        store.put(&server.key(), &server.entry("ready", 1));
    }
    let start = |last| Instance::start(net, folder, last, ZONE, &[ZONE], &[10, 11]);
    let mut instances = [start(10), start(11)];
    if !instances.iter().all(is_ready_soon) {
        record.line("the instances are not ready");
        return 2;
    }
    sleep(Duration::from_secs(2));

    // Planned: further servers join.
    for server in &joining {
        store.put(&server.key(), &server.entry("ready", 1));
        sleep(Duration::from_millis(300));
    }
    sleep(Duration::from_secs(2));

    // Planned: the second instance is restarted. No flow passes through it.
    if is_troubled && !restart(&mut instances[1], || start(11), record) {
        return 2;
    }

    let client = Client::start(net.host(100), instances[0].data_address(), record.clone());
    for index in 0..FLOWS {
        client.open(index);
    }
    sleep(Duration::from_secs(3));
    // Planned: the first instance is restarted. Routers send its flows to the second one after two missed checks, and back to
    // it when it is ready.
    if is_troubled {
        let other = instances[1].data_address();
        let own = instances[0].data_address();
        let routing = client.clone();
        let router = thread::spawn(move || {
            sleep(Duration::from_secs(1));
            routing.set_route(other);
        });
        let is_back = restart(&mut instances[0], || start(10), record);
        if router.join().is_err() || !is_back {
            return 2;
        }
        sleep(Duration::from_secs(2));
        client.set_route(own);
    }
    sleep(Duration::from_secs(3));
    client.verdict(&seen)
}

/// Stops an instance as the platform does and starts it again.
fn restart(instance: &mut Instance, start: impl Fn() -> Instance, record: &Record) -> bool {
    record.line(format!("planned restart of {}", instance.host));
    instance.stop();
    sleep(Duration::from_millis(500));
    *instance = start();
    let is_ready = is_ready_soon(instance);
    record.line(format!("{} is ready again: {is_ready}", instance.host));
    sleep(Duration::from_secs(1));
    is_ready
}

fn is_ready_soon(instance: &Instance) -> bool {
    (0..20).any(|_| {
        sleep(Duration::from_millis(500));
        instance.is_ready()
    })
}

fn document() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-1","host":"{}","prefix":"/{}/","service":"quotes","type":"safe","timeout-ms":500,"latency-goal-ms":120,"priority":1}}],"services":[{{"name":"quotes","health-path":"/health","max-conns":2000}}],"limits":{{"idle-timeout-ms":15000}}}}"#,
        ENTRY.ip(),
        ENTRY.port()
    )
}

#[derive(Debug)]
struct Flow {
    seq: u32,
    ack: u32,
    echo: u32,
    is_open: bool,
    /// Whether a request waits for its answer.
    is_waiting: bool,
    /// When the next packet is due.
    due: f64,
    answered: u32,
    /// When a reset ended the flow, and its sum.
    reset: Option<(f64, u32)>,
}

/// Client machine with long flows: requests with pauses between them. Clones share the flows.
#[derive(Clone)]
struct Client {
    address: Ipv4Addr,
    socket: Arc<UdpSocket>,
    via: Arc<Mutex<SocketAddrV4>>,
    flows: Arc<Mutex<HashMap<u16, Flow>>>,
    record: Record,
}

impl Client {
    fn start(address: Ipv4Addr, via: SocketAddrV4, record: Record) -> Self {
        let socket =
            UdpSocket::bind(SocketAddrV4::new(address, via.port())).unwrap_or_else(|error| {
                eprintln!("client at {address}: {error}");
                exit(2);
            });
        let client = Self {
            address,
            socket: Arc::new(socket),
            via: Arc::new(Mutex::new(via)),
            flows: Arc::default(),
            record,
        };
        let receiving = client.clone();
        thread::spawn(move || receiving.receive());
        let sending = client.clone();
        thread::spawn(move || {
            loop {
                sleep(Duration::from_millis(10));
                sending.send_due();
            }
        });
        client
    }

    fn set_route(&self, via: SocketAddrV4) {
        self.record.line(format!("routers send the flows to {via}"));
        *self.via.lock().unwrap() = via;
    }

    fn open(&self, index: u16) {
        let flow = Flow {
            seq: 1_000 + u32::from(index),
            ack: 0,
            echo: 0,
            is_open: false,
            is_waiting: false,
            due: self.record.now() + f64::from(index) * 0.05,
            answered: 0,
            reset: None,
        };
        self.flows.lock().unwrap().insert(2_000 + index, flow);
    }

    fn send_due(&self) {
        let now = self.record.now();
        for (port, flow) in self.flows.lock().unwrap().iter_mut() {
            if now < flow.due || flow.reset.is_some() {
                continue;
            }
            let from = SocketAddrV4::new(self.address, *port);
            let mut packet = Packet::new(from, ENTRY, if flow.is_open { ACK } else { SYN });
            packet.seq = flow.seq;
            packet.ack = flow.ack;
            packet.echo = flow.echo;
            if flow.is_open {
                packet.data = b"GET / HTTP/1.1\r\n\r\n".to_vec();
                flow.is_waiting = true;
            }
            flow.due = now + RESEND_S;
            self.send(&packet);
        }
    }

    fn receive(&self) {
        let mut buffer = [0; 2048];
        while let Ok(length) = self.socket.recv(&mut buffer) {
            let Some(packet) = Packet::decode(&buffer[..length]) else {
                continue;
            };
            let mut flows = self.flows.lock().unwrap();
            let Some(flow) = flows.get_mut(&packet.dst.port()) else {
                continue;
            };
            if flow.reset.is_some() {
                continue;
            }
            let now = self.record.now();
            if packet.flags & RST != 0 {
                self.record.line(format!(
                    "client {}: reset, sum {:x}",
                    packet.dst, packet.sum
                ));
                flow.reset = Some((now, packet.sum));
            } else if packet.flags & SYN != 0 {
                if !flow.is_open {
                    flow.is_open = true;
                    flow.seq = flow.seq.wrapping_add(1);
                    flow.ack = packet.seq.wrapping_add(1);
                    flow.echo = packet.echo;
                    flow.due = now;
                }
            } else if flow.is_waiting && !packet.data.is_empty() && packet.seq == flow.ack {
                flow.is_waiting = false;
                flow.answered += 1;
                flow.seq = packet.ack;
                flow.ack = packet.seq.wrapping_add(packet.data.len() as u32);
                flow.echo = packet.echo;
                flow.due = now + PAUSE_S;
                let mut answer = Packet::new(packet.dst, ENTRY, ACK);
                answer.seq = flow.seq;
                answer.ack = flow.ack;
                answer.echo = flow.echo;
                self.send(&answer);
            }
        }
    }

    fn send(&self, packet: &Packet) {
        // A packet that cannot be sent counts as lost.
        let via = *self.via.lock().unwrap();
        let _ = self.socket.send_to(&packet.encode(), via);
    }

    /// Checks that no open flow got a reset that its server did not send. Servers never reset a flow that they hold.
    fn verdict(&self, seen: &Seen) -> i32 {
        let opened = seen.opened.lock().unwrap();
        let resets = seen.resets.lock().unwrap();
        let mut broken = 0;
        let mut answered = 0;
        for (port, flow) in self.flows.lock().unwrap().iter() {
            answered += flow.answered;
            let from = SocketAddrV4::new(self.address, *port);
            let (Some(server), Some((at, sum))) = (opened.get(&from), flow.reset) else {
                continue;
            };
            let senders: Vec<String> = resets
                .iter()
                .filter(|(_, flow)| *flow == from)
                .map(|(id, _)| format!("{id:x}"))
                .collect();
            self.record.line(format!(
                "flow of {from}: opened at server {server:x}, reset at {at:.3} (sum {sum:x}) by {senders:?}"
            ));
            broken += 1;
        }
        self.record
            .line(format!("{} flows opened, {answered} answers", opened.len()));
        if usize::from(FLOWS) != opened.len() {
            self.record.line("not all flows were opened");
            return 2;
        }
        if broken == 0 {
            self.record.line("FLOW held");
            return 0;
        }
        self.record.line(format!(
            "FLOW broken: {broken} open flows were reset by servers that do not hold them"
        ));
        1
    }
}
