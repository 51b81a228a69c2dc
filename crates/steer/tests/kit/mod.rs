//! Test kit for the steering core: one instance with two services and targets in two failure
//! domains.

#![allow(dead_code, clippy::panic, clippy::unwrap_used)]

pub mod fleet;

use std::net::{Ipv4Addr, SocketAddrV4};

use ids::{Micros, Millis};
use steer::{
    Change, Destination, Document, FlowId, PacketKind, Repeat, Resend, Revision, Route, RouteTerms,
    Segment, Settings, Share, Steer, Target, TargetId, Token, Update, Verdict,
};

/// Entry of the idempotent route of `rates`.
pub const LOOKUP: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
/// Entry of the route of `rates` whose requests must not run twice.
pub const ORDER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);
/// Entry of the route of `uploads`.
pub const UPLOAD: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 8443);

pub fn new_route(entry: SocketAddrV4, service: &str, repeat: Repeat) -> Route {
    Route {
        entry,
        shares: vec![Share {
            service: service.into(),
            weight: 1,
        }],
        repeat,
        terms: RouteTerms::default(),
    }
}

pub fn new_document(version: u64, routes: Vec<Route>) -> Document {
    Document {
        version,
        routes,
        idle: Millis(15_000),
        services: Vec::new(),
    }
}

pub fn default_routes() -> Vec<Route> {
    vec![
        new_route(LOOKUP, "rates", Repeat::Idempotent),
        new_route(ORDER, "rates", Repeat::Never),
        new_route(UPLOAD, "uploads", Repeat::Never),
    ]
}

pub fn new_target(id: u64, service: &str, domain: &str) -> Target {
    Target {
        id: TargetId(id),
        service: service.into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 64, id as u8), 8000),
        domain: domain.into(),
        slots: 2,
        is_draining: false,
        warmup: Millis(0),
        incarnation: 1,
        sequence: 1,
    }
}

/// An instance in failure domain `a` with a simulated clock.
pub struct TestInstance {
    pub steer: Steer,
    pub now: Micros,
    revision: Revision,
    next_port: u16,
}

impl TestInstance {
    /// Creates three targets of `rates` in `a` and two in `b`, and one target of `uploads` in each.
    pub fn new() -> Self {
        let mut instance = Self::empty();
        instance.publish(vec![
            Change::Document(new_document(1, default_routes())),
            Change::Target(new_target(1, "rates", "a")),
            Change::Target(new_target(2, "rates", "a")),
            Change::Target(new_target(3, "rates", "a")),
            Change::Target(new_target(4, "rates", "b")),
            Change::Target(new_target(5, "rates", "b")),
            Change::Target(new_target(6, "uploads", "a")),
            Change::Target(new_target(7, "uploads", "b")),
        ]);
        instance
    }

    pub fn empty() -> Self {
        Self::with_settings(Settings {
            domain: "a".into(),
            ..Settings::default()
        })
    }

    pub fn with_settings(settings: Settings) -> Self {
        Self {
            steer: Steer::new(settings, 1).unwrap(),
            now: Micros(1_000_000),
            revision: Revision::default(),
            next_port: 1_024,
        }
    }

    pub fn publish(&mut self, changes: Vec<Change>) {
        let updates: Vec<Update> = changes
            .into_iter()
            .map(|change| {
                self.revision.number += 1;
                Update {
                    revision: self.revision,
                    change,
                }
            })
            .collect();
        self.steer.apply_changes(self.now, self.revision, updates);
    }

    pub fn advance(&mut self, time: Millis) {
        self.now = self.now + time;
    }

    /// Returns a new flow.
    pub fn flow(&mut self, entry: SocketAddrV4) -> FlowId {
        self.flow_of(Ipv4Addr::new(100, 64, 0, 7), entry)
    }

    /// Returns a new flow of a caller.
    pub fn flow_of(&mut self, caller: Ipv4Addr, entry: SocketAddrV4) -> FlowId {
        self.next_port += 1;
        FlowId {
            caller: SocketAddrV4::new(caller, self.next_port),
            entry,
        }
    }

    pub fn send(&mut self, segment: Segment) -> Verdict {
        self.steer.on_segment(self.now, &segment, &[7; 32])
    }

    pub fn send_opening(&mut self, flow: FlowId, resend: u32) -> Verdict {
        self.send_opening_from(flow, 100, resend)
    }

    /// Sends an opening packet with the initial sequence number `seq`.
    pub fn send_opening_from(&mut self, flow: FlowId, seq: u32, resend: u32) -> Verdict {
        self.send(Segment {
            flow,
            kind: PacketKind::Open {
                retransmissions: resend,
            },
            token: Token(0),
            seq,
            ack: resend,
            data_bytes: 0,
        })
    }

    /// Opens a flow, completes its handshake and returns its target.
    pub fn open_established(&mut self, flow: FlowId) -> TargetId {
        let target = expect_forwarded(self.send_opening(flow, 0)).id;
        self.advance(Millis(5));
        self.send_data(flow, target, 0, 0);
        target
    }

    /// Sends a packet of an established flow. `sent` bytes of data have been sent with it, and
    /// `received` bytes have been received.
    pub fn send_data(
        &mut self,
        flow: FlowId,
        target: TargetId,
        sent: u32,
        received: u32,
    ) -> Verdict {
        let data_bytes = if sent == 0 { 0 } else { 100 };
        self.send(Segment {
            flow,
            kind: PacketKind::Data,
            token: target.token(),
            seq: 101 + sent.saturating_sub(u32::from(data_bytes)),
            ack: 1_000 + received,
            data_bytes,
        })
    }

    pub fn run_timers(&mut self) -> Vec<Resend> {
        let mut resends = Vec::new();
        self.steer.on_timer(self.now, |resend| resends.push(resend));
        resends
    }

    pub fn sweep(&mut self) {
        self.steer.sweep(self.now);
    }
}

pub fn expect_forwarded(verdict: Verdict) -> Destination {
    match verdict {
        Verdict::Forward { to, .. } => to,
        other => panic!("not forwarded: {other:?}"),
    }
}
