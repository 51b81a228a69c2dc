//! A simulated network of shards, targets and callers in simulated time.
//!
//! Tests and experiments control it step by step: a filter drops, delays or duplicates messages,
//! and the caller decides when views change. By itself the network only delivers messages and ticks
//! every 50 ms.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use balance::event::{CounterEvent, Observation, ShardAction, ShardEvent};
use balance::shard::{Shard, ShardSettings};
use balance::view::View;
use conf::Document;
use ids::{InstanceName, Micros, Millis};
use prost::Message as _;
use wire::frame::Frame;
use wire::peer::{Body, PeerMessage};
use wire::seal::{Keys, SEAL_BYTES};
use wire::token::TargetId;

pub use crate::endpoints::{Caller, SimulatedTarget};
use crate::fixture::{self, Fleet};

const TICK_MS: Millis = Millis(50);
const CALLER_LATENCY_MS: Millis = Millis(1);
const DOMAIN_LATENCY_MS: Millis = Millis(5);

/// IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Sender or receiver of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// Instance by index.
    Instance(usize),
    /// Target by address.
    Target(SocketAddr),
    /// Any caller; the flow id tells which.
    Caller,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq)]
pub enum Payload {
    /// A frame between caller, instance and target.
    Frame(Frame),
    /// A message between instances.
    Peer(Body),
}

/// A message in flight.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Sender.
    pub from: Endpoint,
    /// Receiver.
    pub to: Endpoint,
    /// Content.
    pub payload: Payload,
}

/// Decision of a filter about a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver it after the usual latency.
    Deliver,
    /// Drop it.
    Drop,
    /// Deliver it after the usual latency and this delay.
    Delay(Millis),
    /// Deliver it twice.
    Copy,
}

/// Process state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The instance runs.
    Running,
    /// The instance is not scheduled, and messages to it wait.
    Paused,
    /// The instance has ended, and messages to it are lost.
    Dead,
}

/// One instance with a single shard.
#[derive(Debug)]
pub struct Instance {
    /// The shard under test.
    pub shard: Shard,
    /// View published last.
    pub view: View,
    /// Process state.
    pub condition: Condition,
    /// Flow counts that the shard reported, by target.
    pub flows: BTreeMap<TargetId, u32>,
    /// Observations that the shard reported, except flow counts.
    pub observations: Vec<Observation>,
    /// Whether the shard reported that its work ended after a stop.
    pub is_drained: bool,
    pub(crate) backlog: Vec<Message>,
}

/// Counters since the simulation started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Frames sent by callers.
    pub caller_frames: u64,
    /// Frames relayed between instances.
    pub relayed_frames: u64,
    /// Bytes of flow record datagrams between instances, with headers.
    pub record_bytes: u64,
    /// Data frames that reached a target that does not have the flow.
    pub misrouted_frames: u64,
    /// Frames that reached a target of another service.
    pub wrong_service_frames: u64,
}

/// Function that decides about each message when it is sent.
pub type Filter = Box<dyn FnMut(&Message) -> Verdict>;

/// A simulated network of instances, targets and callers.
pub struct ShardNetwork {
    /// Current time.
    pub now: Micros,
    /// Instances in the order in which they started.
    pub instances: Vec<Instance>,
    /// Targets by address.
    pub targets: BTreeMap<SocketAddr, SimulatedTarget>,
    /// Callers by flow id.
    pub callers: BTreeMap<u64, Caller>,
    /// Counters since the start.
    pub counts: Counts,
    /// Filter for all messages; delivers everything by default.
    pub filter: Filter,
    /// Whether callers store the frames that they receive, for tests that inspect them.
    pub keeps_received_frames: bool,
    pub(crate) fleet: Fleet,
    pub(crate) document: Arc<Document>,
    pub(crate) settings: ShardSettings,
    pub(crate) keys: Keys,
    in_flight: BTreeMap<(Micros, u64), Message>,
    sequence: u64,
    next_tick_at: Micros,
}

impl fmt::Debug for ShardNetwork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ShardNetwork")
            .field("now", &self.now)
            .field("counts", &self.counts)
            .finish_non_exhaustive()
    }
}

impl ShardNetwork {
    /// Starts all instances and targets of a fleet.
    pub fn new(fleet: &Fleet, settings: ShardSettings) -> Self {
        let document = Arc::new(fixture::document(fleet));
        let mut net = Self {
            now: Micros(0),
            instances: Vec::new(),
            targets: BTreeMap::new(),
            callers: BTreeMap::new(),
            counts: Counts::default(),
            filter: Box::new(|_| Verdict::Deliver),
            keeps_received_frames: true,
            fleet: fleet.clone(),
            document: Arc::clone(&document),
            settings,
            keys: Keys::new("wiring", None),
            in_flight: BTreeMap::new(),
            sequence: 0,
            next_tick_at: Micros(0) + TICK_MS,
        };
        net.start_targets();
        for index in 0..fleet.instances {
            let view = fixture::view(fleet, &document, index);
            net.start(view);
        }
        net
    }

    /// Returns the newest document, which instances may not have activated yet.
    pub fn document(&self) -> &Document {
        &self.document
    }

    pub(crate) fn start(&mut self, view: View) {
        self.instances.push(Instance {
            shard: Shard::new(self.settings.clone(), self.keys.clone()),
            view,
            condition: Condition::Running,
            flows: BTreeMap::new(),
            observations: Vec::new(),
            is_drained: false,
            backlog: Vec::new(),
        });
        let index = self.instances.len() - 1;
        self.publish_view(index);
    }

    /// Publishes an instance's view to its shard, as is needed after editing the view.
    pub fn publish_view(&mut self, index: usize) {
        let view = Arc::new(self.instances[index].view.clone());
        self.handle_event(index, ShardEvent::View(view));
    }

    /// Returns the indices of the running instances.
    pub fn running(&self) -> Vec<usize> {
        let is_running = |index: &usize| self.instances[*index].condition == Condition::Running;
        (0..self.instances.len()).filter(is_running).collect()
    }

    /// Sends a message through the filter.
    pub fn send(&mut self, from: Endpoint, to: Endpoint, payload: Payload) {
        let message = Message { from, to, payload };
        let latency_ms = if from == Endpoint::Caller || to == Endpoint::Caller {
            CALLER_LATENCY_MS
        } else {
            DOMAIN_LATENCY_MS
        };
        let (copies, extra_ms) = match (self.filter)(&message) {
            Verdict::Deliver => (1, Millis(0)),
            Verdict::Drop => (0, Millis(0)),
            Verdict::Delay(extra_ms) => (1, extra_ms),
            Verdict::Copy => (2, Millis(0)),
        };
        for _ in 0..copies {
            self.sequence += 1;
            let key = (self.now + latency_ms + extra_ms, self.sequence);
            self.in_flight.insert(key, message.clone());
        }
    }

    /// Advances the time, delivering due messages and ticking.
    pub fn run_for(&mut self, duration: Millis) {
        let end = self.now + duration;
        loop {
            let due = self.in_flight.first_key_value().map(|(key, _)| key.0);
            let next = due.map_or(self.next_tick_at, |due| due.min(self.next_tick_at));
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            if next == self.next_tick_at {
                self.next_tick_at = next + TICK_MS;
                for index in self.running() {
                    self.handle_event(index, ShardEvent::Tick);
                }
            } else if let Some((_, message)) = self.in_flight.pop_first() {
                self.deliver(message);
            }
        }
    }

    pub(crate) fn deliver(&mut self, message: Message) {
        match message.to {
            Endpoint::Instance(index) => match self.instances[index].condition {
                Condition::Dead => {}
                Condition::Paused => self.instances[index].backlog.push(message),
                Condition::Running => self.deliver_to_instance(index, message),
            },
            Endpoint::Target(address) => self.deliver_to_target(address, message),
            Endpoint::Caller => self.deliver_to_caller(message),
        }
    }

    fn deliver_to_instance(&mut self, index: usize, message: Message) {
        let event = match (message.from, message.payload) {
            (Endpoint::Target(from), Payload::Frame(frame)) => {
                ShardEvent::TargetFrame { from, frame }
            }
            (_, Payload::Frame(frame)) => ShardEvent::CallerFrame {
                from: fixture::address(0, 1),
                frame,
            },
            (Endpoint::Instance(from), Payload::Peer(Body::RelayedFrame(relay))) => {
                let Some(frame) = relay.frame else {
                    return;
                };
                ShardEvent::RelayedFrame {
                    from: fixture::instance(from),
                    frame,
                    hops: relay.hops,
                }
            }
            (_, Payload::Peer(Body::FlowRecords(records))) => {
                ShardEvent::FlowRecords(records.records)
            }
            _ => return,
        };
        self.handle_event(index, event);
    }

    /// Delivers an event to an instance and executes the resulting actions.
    pub fn handle_event(&mut self, index: usize, event: ShardEvent) {
        let mut actions = Vec::new();
        self.instances[index]
            .shard
            .handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(index, action);
        }
    }

    fn execute(&mut self, index: usize, action: ShardAction) {
        let sender = Endpoint::Instance(index);
        match action {
            ShardAction::SendToTarget { to, frame, .. } => {
                self.send(sender, Endpoint::Target(to), Payload::Frame(frame));
            }
            ShardAction::SendToCaller { frame, .. } => {
                self.send(sender, Endpoint::Caller, Payload::Frame(frame));
            }
            ShardAction::SendToPeer { to, body } => {
                self.count_record_bytes(&fixture::instance(index), &body);
                let names = (0..self.instances.len()).map(fixture::instance);
                if let Some(peer) = names.into_iter().position(|name| name == to) {
                    self.send(sender, Endpoint::Instance(peer), Payload::Peer(body));
                }
            }
            ShardAction::ReportObservation(Observation::Flows { target, count }) => {
                self.instances[index].flows.insert(target, count);
            }
            ShardAction::ReportObservation(observation) => {
                self.instances[index].observations.push(observation);
            }
            ShardAction::Count(CounterEvent::Relayed) => self.counts.relayed_frames += 1,
            ShardAction::Count(_) => {}
            ShardAction::Drained => self.instances[index].is_drained = true,
        }
    }

    fn count_record_bytes(&mut self, from: &InstanceName, body: &Body) {
        if matches!(body, Body::FlowRecords(_)) {
            let message = PeerMessage {
                from: from.to_string(),
                incarnation: 1_700_000_000_000,
                body: Some(body.clone()),
            };
            let datagram_bytes = message.encoded_len() + SEAL_BYTES + HEADER_BYTES;
            self.counts.record_bytes += datagram_bytes as u64;
        }
    }
}
