//! Test harness for requests: one shard per instance, their targets and one caller, connected by a
//! queue of messages in simulated time.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use balance::event::{ShardAction, ShardEvent};
use balance::request::{RequestSettings, RequestState};
use balance::shard::{Shard, ShardSettings};
use balance::view::{Epoch, View};
use conf::Document;
use ids::{Micros, Millis};
use lab::fixture;
use wire::frame::{Frame, Kind, Refusal};
use wire::peer::{Body, RelayedFrame};
use wire::seal::Keys;
use wire::token::TargetId;

const HOP_MS: Millis = Millis(5);
const TICK_MS: Millis = Millis(50);

/// How the network treats a message.
#[derive(Debug, Clone, Copy)]
pub enum Delivery {
    Normal,
    Drop,
    /// Delivers it late by this many milliseconds.
    Delay(u64),
    /// Delivers it normally and again late by this many milliseconds.
    Duplicate(u64),
}

/// How a target handles requests.
#[derive(Debug, Clone, Copy)]
pub enum TargetBehavior {
    /// Runs the request and sends a part of the answer every `after_ms`.
    Answer { parts: u32, after_ms: u64 },
    /// Refuses the request with a reason code.
    Refuse(Refusal),
    /// Runs the request and never answers.
    Silent,
}

#[derive(Debug, Clone)]
enum Message {
    Shard(usize, ShardEvent),
    Target(TargetId, usize, Frame),
    Caller(Frame),
    Tick,
}

pub struct Harness {
    pub now: Micros,
    pub views: Vec<View>,
    pub document: Document,
    shards: Vec<Option<Shard>>,
    paused_until: Vec<Micros>,
    pending: BTreeMap<(Micros, u64), Message>,
    last_sequence: u64,
    /// Runs as (request id, target, number of the run).
    pub runs: Vec<(u64, TargetId, u64)>,
    pub behavior: TargetBehavior,
    pub behavior_by_target: BTreeMap<TargetId, TargetBehavior>,
    refused: BTreeSet<(TargetId, u64)>,
    /// Frames that the caller received, with the time.
    pub inbox: Vec<(Micros, Frame)>,
    /// Treatment of the next messages, in order; later ones are delivered normally.
    pub deliveries: VecDeque<Delivery>,
    /// Size of the body of each part of an answer.
    pub answer_bytes: usize,
}

pub fn caller_address() -> SocketAddr {
    fixture::address(8, 1)
}

/// Returns the first attempt of a request for the service `rates`.
pub fn request(id: u64, domain: &str) -> Frame {
    Frame {
        service: "rates".to_owned(),
        class: "lookup".to_owned(),
        member: "m1".to_owned(),
        request: id,
        domain: domain.to_owned(),
        deadline_ms: 5_000,
        ..Frame::new(Kind::Request)
    }
}

impl Harness {
    pub fn new(settings: RequestSettings) -> Self {
        let shape = fixture::hunarmand();
        let document = fixture::document(&shape);
        let shared = Arc::new(document.clone());
        let mut harness = Self {
            now: Micros(10_000_000),
            views: (0..shape.instances)
                .map(|instance| fixture::view(&shape, &shared, instance))
                .collect(),
            document,
            shards: Vec::new(),
            paused_until: vec![Micros(0); shape.instances],
            pending: BTreeMap::new(),
            last_sequence: 0,
            runs: Vec::new(),
            behavior: TargetBehavior::Answer {
                parts: 1,
                after_ms: 20,
            },
            behavior_by_target: BTreeMap::new(),
            refused: BTreeSet::new(),
            inbox: Vec::new(),
            deliveries: VecDeque::new(),
            answer_bytes: 8,
        };
        for instance in 0..shape.instances {
            let request = settings.clone();
            let settings = ShardSettings {
                request,
                ..ShardSettings::default()
            };
            harness
                .shards
                .push(Some(Shard::new(settings, Keys::new("k", None))));
            harness.publish_view(instance);
        }
        harness.schedule(TICK_MS, Message::Tick);
        harness
    }

    /// Sends an instance its view, as changed by the test.
    pub fn publish_view(&mut self, instance: usize) {
        let view = ShardEvent::View(Arc::new(self.views[instance].clone()));
        self.deliver(Message::Shard(instance, view));
    }

    /// Sends an instance a view with a new epoch of these peers.
    pub fn set_peers(&mut self, instance: usize, peers: &[usize], may_own: bool) {
        let all = fixture::peers(&fixture::hunarmand());
        let last = self.views[instance].epochs.last().cloned();
        let chosen = peers.iter().map(|peer| all[*peer].clone()).collect();
        let epoch = Epoch {
            since: self.now,
            peers: chosen,
            leaving: Vec::new(),
            is_complete: peers.len() == all.len(),
            listed_domains: last.map_or(Vec::new(), |epoch| epoch.listed_domains),
        };
        self.views[instance].may_own = may_own;
        self.views[instance].epochs.push(epoch);
        self.publish_view(instance);
    }

    /// Sends an instance a view in which a peer is reachable but stopping.
    pub fn set_leaving(&mut self, instance: usize, leaving: usize) {
        let peer = fixture::peers(&fixture::hunarmand()).swap_remove(leaving);
        if let Some(epoch) = self.views[instance].epochs.last_mut() {
            epoch.leaving = vec![peer];
        }
        self.publish_view(instance);
    }

    pub fn kill(&mut self, instance: usize) {
        self.shards[instance] = None;
    }

    /// Pauses an instance for a time; messages that arrive meanwhile are buffered.
    pub fn pause(&mut self, instance: usize, pause: Millis) {
        self.paused_until[instance] = self.now + pause;
    }

    pub fn is_up(&self, instance: usize) -> bool {
        self.shards[instance].is_some() && self.paused_until[instance] <= self.now
    }

    /// Sends a caller's frame to an instance, subject to `deliveries`.
    pub fn send(&mut self, to: usize, frame: Frame) {
        let from = caller_address();
        self.transmit(
            Millis(1),
            Message::Shard(to, ShardEvent::CallerFrame { from, frame }),
        );
    }

    /// Advances the time and delivers the messages due by then.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while let Some(entry) = self.pending.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _), message) = entry.remove_entry();
            self.now = at;
            self.deliver(message);
        }
        self.now = end;
    }

    /// Returns the refusals and answer parts that the caller received for a request.
    pub fn replies(&self, id: u64) -> Vec<&Frame> {
        let frames = self.inbox.iter().map(|(_, frame)| frame);
        frames.filter(|frame| frame.request == id).collect()
    }

    pub fn run_count(&self, id: u64) -> usize {
        self.runs.iter().filter(|(run, _, _)| *run == id).count()
    }

    /// Returns the number of refusals by targets, counting each target and request once.
    pub fn refusals(&self) -> usize {
        self.refused.len()
    }

    /// Returns the state of a request at an instance.
    pub fn state_of(&self, instance: usize, id: u64) -> Option<RequestState> {
        self.shards[instance].as_ref()?.requests().state_of(id)
    }

    /// Returns the instance that owns an id in the initial view, which all instances share.
    pub fn owner_of(&self, domain: &str, id: u64) -> usize {
        match self.views[0].epochs[0].owner_of(domain, id) {
            balance::view::Owner::Peer(peer) => (0..8)
                .find(|instance| fixture::instance(*instance) == peer.name)
                .expect("a peer"),
            balance::view::Owner::Unreachable => unreachable!("all peers are in the view"),
        }
    }

    fn schedule(&mut self, after: Millis, message: Message) {
        self.last_sequence += 1;
        self.pending
            .insert((self.now + after, self.last_sequence), message);
    }

    fn transmit(&mut self, after: Millis, message: Message) {
        match self.deliveries.pop_front().unwrap_or(Delivery::Normal) {
            // Targets do not detect duplicates, and no instance can prevent one on this link.
            Delivery::Duplicate(_) if matches!(message, Message::Target(..)) => {
                self.schedule(after, message)
            }
            Delivery::Normal => self.schedule(after, message),
            Delivery::Drop => {}
            Delivery::Delay(ms) => self.schedule(Millis(after.0 + ms), message),
            Delivery::Duplicate(ms) => {
                self.schedule(after, message.clone());
                self.schedule(Millis(after.0 + ms), message);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Tick => {
                for instance in 0..self.shards.len() {
                    if self.paused_until[instance] <= self.now {
                        self.handle(instance, ShardEvent::Tick);
                    }
                }
                self.schedule(TICK_MS, Message::Tick);
            }
            Message::Shard(instance, event) if self.paused_until[instance] > self.now => {
                // The socket buffer is read before the first tick after the pause.
                let wait = Millis(self.paused_until[instance].since(self.now).0);
                self.schedule(wait, Message::Shard(instance, event));
            }
            Message::Shard(instance, event) => self.handle(instance, event),
            Message::Caller(frame) => self.inbox.push((self.now, frame)),
            Message::Target(target, from, frame) => self.on_target_frame(target, from, frame),
        }
    }

    fn handle(&mut self, instance: usize, event: ShardEvent) {
        let Some(shard) = &mut self.shards[instance] else {
            return;
        };
        let mut out = Vec::new();
        shard.handle(self.now, event, &mut out);
        for action in out {
            match action {
                ShardAction::SendToTarget { target, frame, .. } => {
                    self.transmit(HOP_MS, Message::Target(target, instance, frame));
                }
                ShardAction::SendToCaller { frame, .. } => {
                    self.transmit(Millis(1), Message::Caller(frame));
                }
                ShardAction::SendToPeer {
                    to,
                    body: Body::RelayedFrame(RelayedFrame { frame, hops }),
                } => {
                    let peer = (0..8)
                        .find(|peer| fixture::instance(*peer) == to)
                        .expect("peer");
                    let (from, frame) = (fixture::instance(instance), frame.expect("a frame"));
                    let event = ShardEvent::RelayedFrame { from, frame, hops };
                    self.transmit(HOP_MS, Message::Shard(peer, event));
                }
                _ => {}
            }
        }
    }

    fn on_target_frame(&mut self, target: TargetId, from: usize, frame: Frame) {
        let id = frame.request;
        let has_run = self
            .runs
            .iter()
            .any(|(run, at, _)| *run == id && *at == target);
        let refusal = match self
            .behavior_by_target
            .get(&target)
            .unwrap_or(&self.behavior)
        {
            _ if frame.kind() == Kind::Cancel && has_run => return,
            _ if frame.kind() == Kind::Cancel => Some(Refusal::Cancelled),
            _ if self.refused.contains(&(target, id)) => Some(Refusal::Cancelled),
            TargetBehavior::Refuse(code) => Some(*code),
            _ => None,
        };
        if let Some(code) = refusal {
            self.refused.insert((target, id));
            self.reply(HOP_MS, target, from, Frame::refusal_for(&frame, code));
            return;
        }
        let number = self.runs.len() as u64;
        self.runs.push((id, target, number));
        if let TargetBehavior::Answer { parts, after_ms } = *self
            .behavior_by_target
            .get(&target)
            .unwrap_or(&self.behavior)
        {
            for part in 0..parts {
                let mut answer = Frame {
                    part,
                    last: part + 1 == parts,
                    ..frame.clone()
                };
                answer.kind = Kind::Answer.into();
                answer.attempt = 0;
                answer.body = number.to_le_bytes().to_vec();
                answer.body.resize(self.answer_bytes, 0);
                let wait = Millis(HOP_MS.0 + after_ms * u64::from(part + 1));
                self.reply(wait, target, from, answer);
            }
        }
    }

    fn reply(&mut self, after: Millis, target: TargetId, to: usize, frame: Frame) {
        let from = self.views[0].targets[&target].declared.address;
        self.transmit(
            after,
            Message::Shard(to, ShardEvent::TargetFrame { from, frame }),
        );
    }
}
