//! Instances that place flows on cold targets as fast as they can, with simulated peer discovery.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use ids::{Micros, Millis};
use steer::{
    Change, ColdLimit, FlowId, PacketKind, Peer, PeerReport, Peers, ResetReason, Revision, Segment,
    Service, Settings, Steer, Target, TargetId, Token, Update, Verdict,
};

use super::{ORDER, new_document, new_route, new_target};

pub const LIMIT: ColdLimit = ColdLimit {
    over: 1.5,
    slack: 5,
};

/// Interval of the steps. It does not divide a second, so that the steps of different seconds differ.
const STEP: Millis = Millis(7);

const DISCOVERY_INTERVAL: Millis = Millis(5_000);

/// Maximum number of flows that an instance opens in a step.
const MAX_BURST: usize = 12;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

pub struct Core {
    pub steer: Steer,
    pub peers: Peers,
    own: Peer,
    /// Time of the process, which stands still while it is paused.
    now: Micros,
    pub is_paused: bool,
    pub is_cut_off: bool,
    /// Peers that this instance never learns.
    pub unknown: Vec<usize>,
    /// When the instance was last reachable, in real time.
    reachable_at: Micros,
    next_discovery_at: Micros,
    next_port: u16,
}

pub struct Fleet {
    pub cores: Vec<Core>,
    pub now: Micros,
    pub placed: HashMap<TargetId, Vec<Micros>>,
    pub refused_cold: usize,
    targets: Vec<Target>,
    cold_rate_milli: u64,
    cold_limit: Option<ColdLimit>,
}

impl Fleet {
    /// Creates instances that are spread evenly over the first `domains` failure domains.
    pub fn new(count: usize, domains: usize, targets: Vec<Target>) -> Self {
        Self::with_limit(count, domains, targets, Some(LIMIT))
    }

    pub fn with_limit(
        count: usize,
        domains: usize,
        targets: Vec<Target>,
        cold_limit: Option<ColdLimit>,
    ) -> Self {
        let mut fleet = Self {
            cores: Vec::new(),
            now: Micros(1_000_000),
            placed: HashMap::new(),
            refused_cold: 0,
            targets,
            cold_rate_milli: 2_000,
            cold_limit,
        };
        for index in 0..count {
            fleet.join(DOMAINS[index % domains]);
        }
        fleet
    }

    pub fn join(&mut self, domain: &str) {
        let index = self.cores.len();
        let own = Peer {
            address: SocketAddr::from(([10, 1, index as u8, 1], 8_166)),
            domain: domain.into(),
            link_kbps: 10_000,
        };
        let settings = Settings {
            domain: domain.into(),
            cold_limit: self.cold_limit,
            ..Settings::default()
        };
        let mut steer = Steer::new(settings, index as u64).unwrap();
        let route = new_route(ORDER, "rates", steer::Repeat::Never);
        let mut document = new_document(1, vec![route]);
        document.services.push(Service {
            name: "rates".into(),
            warmup: Millis(10_000),
            cold_rate_milli: self.cold_rate_milli,
        });
        let revision = Revision {
            number: 1,
            ..Revision::default()
        };
        let targets = self.targets.iter().cloned().map(Change::Target);
        let updates = std::iter::once(Change::Document(document)).chain(targets);
        let updates = updates.map(|change| Update { revision, change }).collect();
        steer.apply_changes(self.now, revision, updates);
        self.cores.push(Core {
            steer,
            peers: Peers::new(own.clone()),
            own,
            now: self.now,
            is_paused: false,
            is_cut_off: false,
            unknown: Vec::new(),
            reachable_at: self.now,
            next_discovery_at: self.now,
            next_port: 0,
        });
    }

    /// Lets all instances open flows for a time.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for index in 0..self.cores.len() {
                self.step(index);
            }
        }
    }

    fn step(&mut self, index: usize) {
        if self.cores[index].is_paused {
            return;
        }
        self.cores[index].now = self.cores[index].now + STEP;
        if self.now >= self.cores[index].next_discovery_at {
            self.discover(index);
        }
        if !self.cores[index].is_cut_off {
            self.cores[index].reachable_at = self.now;
        }
        for _ in 0..MAX_BURST {
            match self.cores[index].open(index) {
                Verdict::Forward { to, .. } => {
                    self.placed.entry(to.id).or_default().push(self.now);
                }
                Verdict::Reset(ResetReason::TargetsCold) => {
                    self.refused_cold += 1;
                    return;
                }
                other => unreachable!("{other:?}"),
            }
        }
    }

    /// Runs a round of peer discovery: the instance learns all others that were reachable lately.
    fn discover(&mut self, index: usize) {
        let now = self.now;
        let known: Vec<(usize, Peer, Millis)> = self
            .cores
            .iter()
            .enumerate()
            .filter(|(other, core)| {
                *other != index && now.since(core.reachable_at) < Millis(20_000)
            })
            .map(|(other, core)| (other, core.own.clone(), now.since(core.reachable_at)))
            .collect();
        let has_answer = self
            .cores
            .iter()
            .enumerate()
            .any(|(other, core)| other != index && !core.is_paused && !core.is_cut_off);
        let core = &mut self.cores[index];
        core.next_discovery_at = now + DISCOVERY_INTERVAL;
        if !core.is_cut_off && has_answer {
            core.peers.record_exchange(core.now);
            for (other, peer, age) in known {
                if !core.unknown.contains(&other) {
                    let report = PeerReport {
                        peer,
                        heard_age: age,
                        has_view: true,
                    };
                    core.peers.learn(core.now, report);
                }
            }
        }
        core.peers.expire(core.now);
        let is_alone = self.cores.len() == 1;
        let core = &mut self.cores[index];
        let members = core.peers.members(is_alone);
        core.steer.set_members(core.now, members);
        core.steer.sweep(core.now);
    }

    /// Returns how many flows a target got in the worst window of one second.
    pub fn worst_window(&self, id: TargetId) -> usize {
        let times = self.placed.get(&id).map_or(&[][..], Vec::as_slice);
        times
            .iter()
            .enumerate()
            .map(|(first, start)| {
                let end = times.partition_point(|at| *at <= *start + Millis(1_000));
                end - first
            })
            .max()
            .unwrap_or(0)
    }

    /// Checks the limit in every window of one second, for the given targets. Returns the number of
    /// their flows.
    pub fn check_limit(&self, targets: impl IntoIterator<Item = u64>) -> usize {
        let limit = 2 * 3 / 2 + 5;
        let ids = targets.into_iter().map(TargetId);
        ids.map(|id| {
            let worst = self.worst_window(id);
            assert!(worst <= limit, "{id}: {worst} of {limit}");
            self.placed.get(&id).map_or(0, Vec::len)
        })
        .sum()
    }

    /// Returns the instances that place flows on a target, by their own view of the membership.
    pub fn owners(&self, id: TargetId, is_alone: bool) -> Vec<usize> {
        (0..self.cores.len())
            .filter(|index| self.cores[*index].peers.members(is_alone).owns(id))
            .collect()
    }
}

impl Core {
    fn open(&mut self, index: usize) -> Verdict {
        self.next_port = self.next_port.wrapping_add(1);
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 1, index as u8), self.next_port);
        let segment = Segment {
            flow: FlowId {
                caller,
                entry: ORDER,
            },
            kind: PacketKind::Open { retransmissions: 0 },
            token: Token(0),
            seq: self.next_port.into(),
            ack: 0,
            data_bytes: 0,
        };
        let verdict = self.steer.on_segment(self.now, &segment, &[7; 32]);
        self.steer.take_notes();
        verdict
    }
}

/// Targets with the given ids that stay cold during a test.
pub fn cold_targets(ids: std::ops::Range<u64>, domain: &str) -> Vec<Target> {
    ids.map(|id| Target {
        warmup: Millis(600_000),
        ..new_target(id, "rates", domain)
    })
    .collect()
}
