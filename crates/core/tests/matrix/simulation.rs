//! Simulation of a few instances with targets, callers and messages in flight.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use balance::control::Identity;
use balance::event::{ControlAction, ControlEvent, ShardAction, ShardEvent};
use ids::{Incarnation, Micros, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wire::frame::Frame;
use wire::peer::PeerMessage;

use crate::caller::Caller;
use crate::document::Published;
use crate::instance::{Instance, Output, ProcessState};
use crate::platform::Platform;
use crate::target::Target;

const TICK_MS: Millis = Millis(10);
const CALLER_LINK_MS: Millis = Millis(1);
const LOCAL_LINK_MS: Millis = Millis(1);
const REMOTE_LINK_MS: Millis = Millis(5);
const PUSH_INTERVAL_MS: u64 = 500;
/// Time for which the network fabric still sends packets to an instance that is stopping or
/// has exited.
const FABRIC_DETECTION_MS: Millis = Millis(300);
/// Time for which a stopping instance still handles packets, as in the daemon. Meanwhile the
/// network fabric stops sending to it, and the new owners of its requests can query it during
/// their fence.
pub const LINGER_MS: Millis = Millis(2_000);

/// A message in flight.
#[derive(Debug, Clone)]
pub enum Message {
    FromCaller {
        instance: usize,
        from: SocketAddr,
        frame: Frame,
    },
    FromTarget {
        instance: usize,
        from: SocketAddr,
        frame: Frame,
    },
    FromPeer {
        instance: usize,
        sender: usize,
        message: PeerMessage,
    },
    ToTarget {
        to: SocketAddr,
        from: usize,
        frame: Frame,
    },
    ToCaller {
        to: SocketAddr,
        frame: Frame,
    },
    Control {
        instance: usize,
        event: ControlEvent,
    },
}

/// State of one cell.
#[derive(Debug)]
pub struct Simulation {
    pub now: Micros,
    pub instances: Vec<Instance>,
    pub targets: BTreeMap<SocketAddr, Target>,
    pub callers: Vec<Caller>,
    pub platform: Platform,
    pub published: Published,
    /// Failure domain that is partitioned from the others, if any.
    pub cut_domain: Option<String>,
    /// Failure domain that cannot reach the configuration service, if any.
    pub domain_without_platform: Option<String>,
    /// Flow whose frames from the target are all lost, if any.
    pub silent_flow: Option<u64>,
    /// Extra delay of configuration for instances with an odd index, for uneven arrival.
    pub odd_instance_delay_ms: Millis,
    /// Draining targets and the time since which they drain.
    pub draining_targets: Vec<(String, Micros)>,
    /// Version that every instance must reach.
    pub active_version: u64,
    /// Time at which an instance became unreachable for the network fabric.
    fabric_left_at: BTreeMap<usize, Micros>,
    by_address: HashMap<SocketAddr, usize>,
    /// Id of a flow or request in decimal whose messages are printed, from `MATRIX_TRACE`.
    traced_id: Option<String>,
    in_flight: BTreeMap<(Micros, u64), Message>,
    sequence: u64,
    random: SmallRng,
    delayed_responses: VecDeque<(Micros, usize, ControlEvent)>,
}

impl Simulation {
    pub fn new(instances: usize, seed: u64) -> Self {
        let mut simulation = Self {
            now: Micros(0),
            instances: Vec::new(),
            targets: BTreeMap::new(),
            callers: Vec::new(),
            platform: Platform::new(),
            published: Published::new(instances),
            cut_domain: None,
            domain_without_platform: None,
            silent_flow: None,
            odd_instance_delay_ms: Millis(0),
            draining_targets: Vec::new(),
            active_version: 1,
            fabric_left_at: BTreeMap::new(),
            by_address: HashMap::new(),
            traced_id: std::env::var("MATRIX_TRACE").ok(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
            delayed_responses: VecDeque::new(),
        };
        simulation.targets = simulation.published.targets();
        simulation.publish();
        for index in 0..instances {
            simulation.start_instance(index);
        }
        simulation
    }

    /// Publishes the current document and instance list.
    pub fn publish(&mut self) {
        for (key, value) in self.published.values() {
            self.platform.set(&key, value);
        }
    }

    /// Starts instance `index`, whether or not it is in the instance list already.
    pub fn start_instance(&mut self, index: usize) {
        let identity = Identity {
            incarnation: Incarnation(1_000 + self.now.0 / 1_000),
            ..self.published.identity(index)
        };
        let instance = Instance::start(identity, self.now);
        match self.instances.get_mut(index) {
            Some(old) => *old = instance,
            None => self.instances.push(instance),
        }
        self.fabric_left_at.remove(&index);
    }

    /// Kills instance `index`.
    pub fn kill_instance(&mut self, index: usize) {
        self.instances[index].process_state = ProcessState::Exited;
        self.platform.drop_watches(index);
        // An instance that stopped gracefully left the fabric before it exits.
        self.fabric_left_at.entry(index).or_insert(self.now);
    }

    /// Adds a caller.
    pub fn add_caller(&mut self, caller: Caller) {
        self.by_address.insert(caller.address, self.callers.len());
        self.callers.push(caller);
    }

    /// Starts a graceful stop of instance `index`.
    pub fn stop_instance(&mut self, index: usize) {
        let mut out = Vec::new();
        self.instances[index].stop(self.now, &mut out);
        self.fabric_left_at.insert(index, self.now);
        self.execute_actions(index, out);
    }

    /// Runs until `end`, calling `on_event` before each delivery and after each tick.
    pub fn run_until(
        &mut self,
        end: Micros,
        on_event: &mut dyn FnMut(&mut Simulation, Option<&Message>),
    ) {
        while self.now < end {
            let next_tick = self.now + TICK_MS;
            while let Some((&key, _)) = self.in_flight.first_key_value()
                && key.0 < next_tick
            {
                let message = self.in_flight.remove(&key).expect("the key was just read");
                self.now = self.now.max(key.0);
                on_event(self, Some(&message));
                self.deliver(message);
            }
            self.now = next_tick;
            self.tick();
            on_event(self, None);
        }
    }

    fn tick(&mut self) {
        for index in 0..self.instances.len() {
            if let ProcessState::Paused(until) = self.instances[index].process_state
                && self.now >= until
            {
                self.instances[index].process_state = ProcessState::Running;
            }
            if self.instances[index].can_exit(self.now, LINGER_MS) {
                self.kill_instance(index);
            }
            if self.instances[index].is_scheduled() {
                let mut out = Vec::new();
                self.instances[index].on_control(self.now, ControlEvent::Tick, &mut out);
                self.instances[index].on_shard(self.now, ShardEvent::Tick, &mut out);
                self.execute_actions(index, out);
            }
        }
        self.tick_platform();
        self.tick_targets();
        self.tick_callers();
    }

    fn tick_platform(&mut self) {
        for answer in self.platform.due_responses(self.now) {
            let event = ControlEvent::PlatformResponse {
                key: answer.key,
                outcome: answer.outcome,
            };
            let wait = if answer.instance % 2 == 1 {
                self.odd_instance_delay_ms
            } else {
                Millis(0)
            };
            self.delayed_responses
                .push_back((self.now + Millis(2) + wait, answer.instance, event));
        }
        let (due, later): (VecDeque<_>, _) = std::mem::take(&mut self.delayed_responses)
            .into_iter()
            .partition(|(at, _, _)| *at <= self.now);
        self.delayed_responses = later;
        for (_, instance, event) in due {
            self.send(Millis(0), Message::Control { instance, event });
        }
    }

    fn tick_targets(&mut self) {
        let pushes_due = self.now.0.is_multiple_of(PUSH_INTERVAL_MS * 1_000);
        let mut replies = Vec::new();
        for (&address, target) in &mut self.targets {
            let pushes = if pushes_due {
                target.push_frames()
            } else {
                Vec::new()
            };
            let domain = target.domain.clone();
            let due = target.completed_answers(self.now).into_iter().chain(pushes);
            replies.extend(due.map(|(instance, frame)| (address, domain.clone(), instance, frame)));
        }
        for (from, domain, instance, frame) in replies {
            self.reply(from, &domain, instance, frame);
        }
    }

    fn tick_callers(&mut self) {
        for index in 0..self.callers.len() {
            let Some(frame) = self.callers[index].next_frame(self.now) else {
                continue;
            };
            let (from, domain) = (
                self.callers[index].address,
                self.callers[index].domain.clone(),
            );
            let Some(instance) = self.pick_instance(&domain) else {
                continue;
            };
            self.send(
                CALLER_LINK_MS,
                Message::FromCaller {
                    instance,
                    from,
                    frame,
                },
            );
        }
    }

    // The fabric knows neither flows nor owners, so it picks any instance that it considers live.
    fn pick_instance(&mut self, domain: &str) -> Option<usize> {
        let candidates: Vec<_> = (0..self.instances.len())
            .filter(|&index| {
                let instance = &self.instances[index];
                let left = self.fabric_left_at.get(&index);
                let is_known = match left {
                    Some(&left) => self.now < left + FABRIC_DETECTION_MS,
                    None => {
                        instance.is_ready
                            || matches!(instance.process_state, ProcessState::Paused(_))
                    }
                };
                is_known && self.is_connected(domain, &instance.domain)
            })
            .collect();
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.random.random_range(0..candidates.len())])
    }

    fn is_connected(&self, left: &str, right: &str) -> bool {
        let is_cut = |domain: &str| self.cut_domain.as_deref() == Some(domain);
        left == right || is_cut(left) == is_cut(right) && !is_cut(left)
    }

    fn link_ms(&self, left: &str, right: &str) -> Millis {
        if left == right {
            LOCAL_LINK_MS
        } else {
            REMOTE_LINK_MS
        }
    }

    fn send(&mut self, delay: Millis, message: Message) {
        self.sequence += 1;
        // Jitter of up to 0.5 ms reorders messages between the same two endpoints.
        let jitter = self.random.random_range(0..500);
        let at = Micros((self.now + delay).0 + jitter);
        self.in_flight.insert((at, self.sequence), message);
    }

    fn reply(&mut self, from: SocketAddr, domain: &str, instance: usize, frame: Frame) {
        let instance_domain = self.instances[instance].domain.clone();
        let is_silent = frame.flow != 0 && self.silent_flow == Some(frame.flow);
        if is_silent || !self.is_connected(domain, &instance_domain) {
            return;
        }
        let delay = self.link_ms(domain, &instance_domain);
        self.send(
            delay,
            Message::FromTarget {
                instance,
                from,
                frame,
            },
        );
    }

    fn deliver(&mut self, message: Message) {
        if let Some(id) = &self.traced_id
            && format!("{message:?}").contains(id)
        {
            eprintln!("{}: {message:?}", self.now);
        }
        match message {
            Message::FromCaller {
                instance,
                from,
                frame,
            } => {
                self.drive_shard(instance, ShardEvent::CallerFrame { from, frame });
            }
            Message::FromTarget {
                instance,
                from,
                frame,
            } => {
                self.drive_shard(instance, ShardEvent::TargetFrame { from, frame });
            }
            Message::FromPeer {
                instance,
                sender,
                message,
            } => {
                let deferred = Message::FromPeer {
                    instance,
                    sender,
                    message: message.clone(),
                };
                if self.accepts_or_defers(instance, deferred) {
                    let mut out = Vec::new();
                    self.instances[instance].on_peer(self.now, message, &mut out);
                    self.execute_actions(instance, out);
                }
            }
            Message::Control { instance, event } => {
                let deferred = Message::Control {
                    instance,
                    event: event.clone(),
                };
                if self.accepts_or_defers(instance, deferred) {
                    let mut out = Vec::new();
                    self.instances[instance].on_control(self.now, event, &mut out);
                    self.execute_actions(instance, out);
                }
            }
            Message::ToTarget { to, from, frame } => {
                let Some(target) = self.targets.get_mut(&to) else {
                    return;
                };
                let domain = target.domain.clone();
                for reply in target.on_frame(self.now, from, frame) {
                    self.reply(to, &domain, from, reply);
                }
            }
            Message::ToCaller { to, frame } => {
                let now = self.now;
                if let Some(&index) = self.by_address.get(&to) {
                    self.callers[index].on_frame(now, &frame);
                }
            }
        }
    }

    fn drive_shard(&mut self, instance: usize, event: ShardEvent) {
        let deferred = match event.clone() {
            ShardEvent::CallerFrame { from, frame } => Message::FromCaller {
                instance,
                from,
                frame,
            },
            ShardEvent::TargetFrame { from, frame } => Message::FromTarget {
                instance,
                from,
                frame,
            },
            _ => return,
        };
        if self.accepts_or_defers(instance, deferred) {
            let mut out = Vec::new();
            self.instances[instance].on_shard(self.now, event, &mut out);
            self.execute_actions(instance, out);
        }
    }

    // Returns whether an instance handles a message now. Messages to a paused process are delivered
    // when it resumes; those to an exited process are dropped.
    fn accepts_or_defers(&mut self, instance: usize, message: Message) -> bool {
        match self.instances[instance].process_state {
            ProcessState::Running | ProcessState::Stopping(_) => true,
            ProcessState::Exited => false,
            ProcessState::Paused(until) => {
                self.sequence += 1;
                self.in_flight
                    .insert((until + TICK_MS, self.sequence), message);
                false
            }
        }
    }

    fn execute_actions(&mut self, instance: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Shard(action) => self.execute_shard_action(instance, action),
                Output::Control(action) => self.execute_control_action(instance, action),
            }
        }
    }

    fn execute_shard_action(&mut self, instance: usize, action: ShardAction) {
        let domain = self.instances[instance].domain.clone();
        match action {
            ShardAction::SendToTarget { to, frame, .. } => {
                let Some(target) = self.targets.get(&to) else {
                    return;
                };
                if self.is_connected(&domain, &target.domain) {
                    let delay = self.link_ms(&domain, &target.domain);
                    self.send(
                        delay,
                        Message::ToTarget {
                            to,
                            from: instance,
                            frame,
                        },
                    );
                }
            }
            ShardAction::SendToCaller { to, frame } => {
                let caller = self.by_address.get(&to).map(|&index| &self.callers[index]);
                if caller.is_some_and(|caller| self.is_connected(&domain, &caller.domain)) {
                    self.send(CALLER_LINK_MS, Message::ToCaller { to, frame });
                }
            }
            ShardAction::SendToPeer { to, body } => {
                let message = self.instances[instance].message(body);
                if let Some(peer) = self.instances.iter().position(|other| other.name == to) {
                    self.send_peer(instance, peer, message);
                }
            }
            _ => {}
        }
    }

    fn execute_control_action(&mut self, instance: usize, action: ControlAction) {
        match action {
            ControlAction::SendToPeer { to, body, .. } => {
                let message = self.instances[instance].message(body);
                if let Some(peer) = self.instances.iter().position(|other| other.name == to) {
                    self.send_peer(instance, peer, message);
                }
            }
            ControlAction::ReadPlatform { key, etag, wait_ms } => {
                if self.domain_without_platform.as_ref() == Some(&self.instances[instance].domain) {
                    let outcome =
                        balance::event::PlatformOutcome::Failed("connection timed out".to_owned());
                    let event = ControlEvent::PlatformResponse { key, outcome };
                    self.send(Millis(100), Message::Control { instance, event });
                } else {
                    self.platform.read(self.now, instance, key, etag, wait_ms);
                }
            }
            ControlAction::FetchFromPeer { from, hash, .. } => {
                let peer = self.instances.iter().position(|other| other.name == from);
                let is_reachable = peer.is_some_and(|peer| {
                    self.instances[peer].is_scheduled()
                        && self.is_connected(
                            &self.instances[instance].domain,
                            &self.instances[peer].domain,
                        )
                });
                let value = peer
                    .filter(|_| is_reachable)
                    .and_then(|peer| self.instances[peer].value(&hash));
                let event = ControlEvent::Fetched { from, hash, value };
                self.send(Millis(10), Message::Control { instance, event });
            }
            _ => {}
        }
    }

    fn send_peer(&mut self, sender: usize, instance: usize, message: PeerMessage) {
        let (left, right) = (
            self.instances[sender].domain.clone(),
            self.instances[instance].domain.clone(),
        );
        if self.is_connected(&left, &right) {
            self.send(
                self.link_ms(&left, &right),
                Message::FromPeer {
                    instance,
                    sender,
                    message,
                },
            );
        }
    }
}
