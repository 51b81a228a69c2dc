//! The way of one packet: from the caller's segment to a verdict.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use ids::{Micros, Millis};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::flow::{Flow, Flows, OPENING_BYTES, Progress, Stage, Tried};
use crate::model::{TargetId, Update};
use crate::packet::{FlowId, Kind, Segment, Token};
use crate::place::place;
use crate::settings::Settings;
use crate::silence::{Asked, Evidence, Sign};
use crate::view::{Effect, Standing, View};

/// Multiple of the slowest recent handshake after which an opening packet counts as unanswered.
const HANDSHAKE_FACTOR: u64 = 3;

/// Share of the slowest handshake that is kept at each new one, in 1/64. The memory is then about
/// a hundred handshakes long.
const HANDSHAKE_DECAY: u64 = 63;

/// Multiple of the usual answer time after which a request counts as stalled.
const STALL_FACTOR: u64 = 8;

/// Bounds on that time. Below the first a lost answer, which is resent after 200 ms, looks the same;
/// after the second most callers have given up.
const MIN_STALL: Millis = Millis(250);
const MAX_STALL: Millis = Millis(1_000);

/// Weight of one answer in the usual answer time, as a divisor.
const ANSWER_WEIGHT: u64 = 32;

/// Time within which another target has to be heard; otherwise the fault may be on this side.
const OTHERS_HEARD_WITHIN: Millis = Millis(200);

/// Where a packet goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Destination {
    /// The only target that may take it.
    pub id: TargetId,
    /// Address of the target.
    pub address: SocketAddrV4,
}

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Drop {
    /// There is no configuration or no target yet.
    NoView,
    /// The packet names no target.
    NoToken,
    /// No target has the packet's token; one that is learned soon may.
    UnknownToken,
    /// The caller ended a flow that no target opened.
    Unopened,
}

/// Why a flow was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The configuration in force has no such route.
    NoRoute,
    /// No target of the service takes new flows.
    NoTarget,
    /// The flow's target has left.
    TargetGone,
    /// The flow's target does not answer anyone.
    TargetSilent,
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it on, with the token written into it when there is one.
    Forward {
        /// Where it goes.
        to: Destination,
        /// Token to write.
        token: Option<Token>,
    },
    /// Reset the flow.
    Reset(Refusal),
    /// Do nothing.
    Drop(Drop),
}

/// An opening packet to be sent to one more target.
#[derive(Debug, Clone, Copy)]
pub struct Resend {
    /// Where it goes.
    pub to: Destination,
    /// Token to write.
    pub token: Token,
    /// The packet.
    pub packet: [u8; OPENING_BYTES],
}

/// A decision worth telling, with what decided it.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A flow got a target.
    Placed {
        /// The flow.
        flow: FlowId,
        /// The target.
        target: TargetId,
        /// Whether the target is in another failure domain.
        is_remote: bool,
        /// Requests that this instance's callers wait for there.
        waiting: u32,
        /// Targets that got the opening packet before.
        tried: usize,
    },
    /// A flow was opened by the target named.
    Opened {
        /// The flow.
        flow: FlowId,
        /// The target.
        target: TargetId,
        /// Time from the first opening packet.
        took: Millis,
        /// Targets that got the opening packet.
        tried: usize,
    },
    /// A request got its answer.
    Answered {
        /// Time from the request to the acknowledgement of its answer.
        took: Millis,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: FlowId,
        /// Why.
        reason: Refusal,
    },
    /// A packet was dropped.
    Dropped {
        /// The flow.
        flow: FlowId,
        /// Why.
        reason: Drop,
        /// Its token.
        token: Token,
    },
    /// A packet to a target had no answer.
    Missed {
        /// The target.
        target: TargetId,
        /// The flow that decided.
        flow: FlowId,
        /// Time since the packet was first sent.
        waited: Millis,
        /// What the packet asked for.
        asked: Asked,
        /// Time since a caller last showed that it had heard from the target.
        heard_before: Millis,
        /// Packets without an answer since then.
        signs: u32,
    },
    /// A request was taken and has no answer for long.
    Stalled {
        /// The target.
        target: TargetId,
        /// The flow.
        flow: FlowId,
        /// Time since the request was sent.
        waited: Millis,
        /// Whether the target gets no new flows from now on.
        is_avoided: bool,
    },
    /// A peer missed an answer of a target that this instance has heard since.
    Contradicted {
        /// The target.
        target: TargetId,
        /// Time since this instance heard it.
        heard_before: Millis,
    },
    /// An avoided target answered.
    HeardAgain {
        /// The target.
        target: TargetId,
    },
    /// The view changed.
    View(Effect),
}

impl Note {
    /// Returns what peers should know of the decision.
    pub fn evidence(&self) -> Option<Evidence> {
        match self {
            Self::Missed {
                target,
                asked,
                waited,
                ..
            } => Some(Evidence {
                target: *target,
                sign: Sign::Missed(*asked),
                age: *waited,
            }),
            Self::Stalled { target, waited, .. } => Some(Evidence {
                target: *target,
                sign: Sign::Stalled,
                age: *waited,
            }),
            Self::Contradicted {
                target,
                heard_before,
            } => Some(Evidence {
                target: *target,
                sign: Sign::Heard,
                age: *heard_before,
            }),
            _ => None,
        }
    }
}

/// The steering of one instance.
#[derive(Debug)]
pub struct Steer {
    settings: Settings,
    view: View,
    flows: Flows,
    /// Opening packets that wait for a handshake, the earliest due time first.
    openings: VecDeque<(Micros, FlowId)>,
    slowest_handshake_us: u64,
    /// Requests under way with the time after which they count as stalled, the earliest first.
    requests: VecDeque<(Micros, FlowId)>,
    usual_answer_us: u64,
    heard_at: Micros,
    random: SmallRng,
    notes: Vec<Note>,
}

impl Steer {
    /// Creates a steering without a view; `seed` decides between equal targets.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            flows: Flows::new(settings.max_flows),
            settings,
            view: View::default(),
            openings: VecDeque::new(),
            slowest_handshake_us: 0,
            requests: VecDeque::new(),
            usual_answer_us: 0,
            heard_at: Micros(0),
            random: SmallRng::seed_from_u64(seed),
            notes: Vec::new(),
        }
    }

    /// Returns the view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the number of flows in the table.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Takes the notes made since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Gives back the emptied list of notes, so that its memory is used again.
    pub fn return_notes(&mut self, emptied: Vec<Note>) {
        if self.notes.is_empty() {
            self.notes = emptied;
        }
    }

    /// Takes a complete reading of what is published at a revision.
    pub fn replace_view(&mut self, now: Micros, revision: u64, updates: Vec<Update>) {
        let lapse = self.settings.lapse;
        let effects = self.view.replace(now, revision, updates, lapse);
        self.notes.extend(effects.into_iter().map(Note::View));
    }

    /// Takes changes up to a revision.
    pub fn update_view(&mut self, now: Micros, revision: u64, updates: Vec<Update>) {
        let lapse = self.settings.lapse;
        let effects = self.view.update(now, revision, updates, lapse);
        self.notes.extend(effects.into_iter().map(Note::View));
    }

    /// Decides what to do with a packet; `packet` is the whole of it.
    pub fn on_segment(&mut self, now: Micros, segment: &Segment, packet: &[u8]) -> Verdict {
        self.find_stalled(now);
        let verdict = match segment.kind {
            Kind::Open { .. } => self.open(now, segment, packet),
            Kind::Data | Kind::Finish | Kind::Abort => self.follow(now, segment),
        };
        match verdict {
            Verdict::Forward { .. } => {}
            Verdict::Reset(reason) => self.notes.push(Note::Reset {
                flow: segment.flow,
                reason,
            }),
            Verdict::Drop(reason) => self.notes.push(Note::Dropped {
                flow: segment.flow,
                reason,
                token: segment.token,
            }),
        }
        verdict
    }

    fn open(&mut self, now: Micros, segment: &Segment, packet: &[u8]) -> Verdict {
        if !self.view.is_usable() {
            return Verdict::Drop(Drop::NoView);
        }
        let id = segment.flow;
        if let Some(flow) = self.flows.get(&id) {
            match flow.stage {
                Stage::Open => return self.forward_open(Some(flow.target)),
                Stage::Opening { tried, sent_at, .. } => {
                    let waits = now.since(sent_at) < self.settings.min_handshake;
                    return self.open_again(now, &id, tried, waits);
                }
            }
        }
        let Some(route) = self.view.route(id.entry) else {
            return Verdict::Reset(Refusal::NoRoute);
        };
        let chosen = self.view.service_of(route, &id).and_then(|service| {
            place(
                &self.view,
                &self.settings,
                now,
                service,
                &[],
                &mut self.random,
            )
        });
        let Some(target) = chosen else {
            return Verdict::Reset(Refusal::NoTarget);
        };
        self.begin(now, segment, packet, target);
        self.forward_open(Some(target))
    }

    /// Enters a new flow into the table and waits for its handshake.
    fn begin(&mut self, now: Micros, segment: &Segment, packet: &[u8], target: TargetId) {
        let mut tried = Tried::default();
        tried.push(target);
        let mut kept = [0; OPENING_BYTES];
        let length = packet.len().min(OPENING_BYTES);
        kept[..length].copy_from_slice(&packet[..length]);
        let mut flow = Flow::open(now, target, segment);
        flow.stage = Stage::Opening {
            tried,
            sent_at: now,
            packet: kept,
        };
        flow.asked_at = Some(now);
        if self.flows.insert(segment.flow, flow) {
            self.count(target, 1, 1);
            self.openings
                .push_back((now + self.handshake_limit(), segment.flow));
        }
        self.note_placed(segment.flow, target, 0);
    }

    /// Sends the opening packet of a flow to one more target, or again to the last one.
    fn open_again(&mut self, now: Micros, id: &FlowId, tried: Tried, waits: bool) -> Verdict {
        let next = if waits {
            tried.last()
        } else {
            self.try_next(now, id, tried).or(tried.last())
        };
        self.forward_open(next)
    }

    /// Holds the last target silent for this flow and chooses another one.
    fn try_next(&mut self, now: Micros, id: &FlowId, mut tried: Tried) -> Option<TargetId> {
        let flow = self.flows.get_mut(id)?;
        let Stage::Opening { sent_at, .. } = flow.stage else {
            return None;
        };
        let before = flow.target;
        self.miss(now, before, sent_at, id, Asked::Opening);
        let route = self.view.route(id.entry)?;
        let service = self.view.service_of(route, id)?;
        let next = place(
            &self.view,
            &self.settings,
            now,
            service,
            tried.as_slice(),
            &mut self.random,
        )?;
        if !tried.push(next) {
            return None;
        }
        let flow = self.flows.get_mut(id)?;
        if let Stage::Opening {
            tried: kept,
            sent_at,
            ..
        } = &mut flow.stage
        {
            *kept = tried;
            *sent_at = now;
        }
        flow.target = next;
        self.count(before, -1, -1);
        self.count(next, 1, 1);
        self.openings.push_back((now + self.handshake_limit(), *id));
        self.note_placed(*id, next, tried.as_slice().len() - 1);
        Some(next)
    }

    fn forward_open(&self, target: Option<TargetId>) -> Verdict {
        match target.and_then(|id| self.destination(id)) {
            Some(to) => Verdict::Forward {
                to,
                token: Some(to.id.token()),
            },
            None => Verdict::Reset(Refusal::NoTarget),
        }
    }

    fn follow(&mut self, now: Micros, segment: &Segment) -> Verdict {
        if segment.token == Token(0) {
            self.end(&segment.flow);
            return Verdict::Drop(match segment.kind {
                Kind::Abort | Kind::Finish => Drop::Unopened,
                _ => Drop::NoToken,
            });
        }
        let Some(id) = self.view.by_token(segment.token) else {
            return Verdict::Drop(Drop::UnknownToken);
        };
        let Some(to) = self.destination(id) else {
            return Verdict::Drop(Drop::UnknownToken);
        };
        self.observe(now, id, segment);
        if let Some(reason) = self.reason_to_reset(now, id, segment) {
            self.end(&segment.flow);
            return Verdict::Reset(reason);
        }
        if matches!(segment.kind, Kind::Finish | Kind::Abort) {
            self.end(&segment.flow);
        }
        Verdict::Forward { to, token: None }
    }

    /// Tells whether the caller is better served by a new flow: its target cannot answer, and its
    /// request may run again.
    fn reason_to_reset(&self, now: Micros, id: TargetId, segment: &Segment) -> Option<Refusal> {
        if segment.data_bytes == 0 || !self.view.is_idempotent(segment.flow.entry) {
            return None;
        }
        let member = self.view.member(id)?;
        if matches!(member.standing, Standing::Gone(_)) {
            return Some(Refusal::TargetGone);
        }
        let is_dead = member.silence.is_dead(now) && now.since(self.heard_at) < OTHERS_HEARD_WITHIN;
        is_dead.then_some(Refusal::TargetSilent)
    }

    /// Learns from a packet of an open flow.
    fn observe(&mut self, now: Micros, id: TargetId, segment: &Segment) {
        let Some(flow) = self.flows.get_mut(&segment.flow) else {
            if segment.kind != Kind::Data {
                return;
            }
            let mut flow = Flow::open(now, id, segment);
            let progress = flow.follow(now, segment);
            if self.flows.insert(segment.flow, flow) {
                self.count(id, i32::from(progress == Progress::Asked), 1);
                self.watch_request(now, &segment.flow);
            }
            return;
        };
        if let Stage::Opening { tried, .. } = flow.stage {
            let before = flow.target;
            let took = now.since(flow.since);
            *flow = Flow::open(now, id, segment);
            flow.asked_at = Some(now);
            if tried.as_slice().len() == 1 {
                self.note_handshake(took);
            }
            if before != id {
                self.count(before, -1, -1);
                self.count(id, 1, 1);
            }
            self.hear(now, id);
            self.notes.push(Note::Opened {
                flow: segment.flow,
                target: id,
                took,
                tried: tried.as_slice().len(),
            });
        }
        let Some(flow) = self.flows.get_mut(&segment.flow) else {
            return;
        };
        let had_asked = flow.has_asked;
        let progress = flow.follow(now, segment);
        let asks = flow.has_asked && (!had_asked || matches!(progress, Progress::Heard { .. }));
        match progress {
            Progress::None => {}
            Progress::Asked => self.count(id, 1, 0),
            Progress::Heard { waited } => {
                let asks_again = flow.asked_at.is_some();
                let change = i32::from(asks_again) - i32::from(waited.is_some());
                self.count(id, change, 0);
                self.hear(now, id);
                if let Some(took) = waited {
                    self.note_answer(took);
                }
            }
            Progress::Resent { asked_at } => {
                if !std::mem::replace(&mut flow.is_missed, true) {
                    self.miss(now, id, asked_at, &segment.flow, Asked::Request);
                }
            }
        }
        if asks {
            self.watch_request(now, &segment.flow);
        }
    }

    fn note_answer(&mut self, took: Millis) {
        let kept = self.usual_answer_us - self.usual_answer_us / ANSWER_WEIGHT;
        self.usual_answer_us = kept + took.0 * 1_000 / ANSWER_WEIGHT;
        self.notes.push(Note::Answered { took });
    }

    /// Returns the time after which a request counts as stalled.
    fn stall_limit(&self) -> Millis {
        Millis(self.usual_answer_us * STALL_FACTOR / 1_000)
            .max(MIN_STALL)
            .min(MAX_STALL)
    }

    fn watch_request(&mut self, now: Micros, id: &FlowId) {
        self.requests.push_back((now + self.stall_limit(), *id));
    }

    /// Finds requests that their targets took and did not answer. Callers have not sent them again,
    /// so they were acknowledged.
    fn find_stalled(&mut self, now: Micros) {
        while let Some((due, id)) = self.requests.front().copied() {
            if due > now {
                return;
            }
            self.requests.pop_front();
            let Some(flow) = self.flows.get(&id).copied() else {
                continue;
            };
            let Some(asked_at) = flow.asked_at.filter(|_| flow.has_asked && !flow.is_missed) else {
                continue;
            };
            let waited = now.since(asked_at);
            if waited >= MIN_STALL {
                self.stalled(now, flow.target, &id, waited);
            }
        }
    }

    fn stalled(&mut self, now: Micros, target: TargetId, flow: &FlowId, waited: Millis) {
        let is_avoided = self
            .view
            .member_mut(target)
            .is_some_and(|member| member.stalls.note(now));
        self.notes.push(Note::Stalled {
            target,
            flow: *flow,
            waited,
            is_avoided,
        });
    }

    fn hear(&mut self, now: Micros, id: TargetId) {
        self.heard_at = now;
        let Some(member) = self.view.member_mut(id) else {
            return;
        };
        if member.silence.hear(now, now) {
            self.notes.push(Note::HeardAgain { target: id });
        }
    }

    fn miss(&mut self, now: Micros, id: TargetId, asked_at: Micros, flow: &FlowId, asked: Asked) {
        let (doubt, avoid) = (self.settings.doubt, self.settings.avoid);
        let Some(member) = self.view.member_mut(id) else {
            return;
        };
        let heard_before = now.since(member.silence.heard_at());
        if let Some(signs) = member.silence.miss(now, asked, asked_at, doubt, avoid) {
            self.notes.push(Note::Missed {
                target: id,
                flow: *flow,
                waited: now.since(asked_at),
                asked,
                heard_before,
                signs,
            });
        }
    }

    /// Takes what a peer saw of a target.
    pub fn on_evidence(&mut self, now: Micros, evidence: &Evidence) {
        let (doubt, avoid) = (self.settings.doubt, self.settings.avoid);
        let Some(member) = self.view.member_mut(evidence.target) else {
            return;
        };
        let seen_at = now - evidence.age;
        let asked = match evidence.sign {
            Sign::Heard => {
                member.silence.hear(now, seen_at);
                return;
            }
            Sign::Stalled => {
                member.stalls.note(now);
                return;
            }
            Sign::Missed(asked) => asked,
        };
        let heard_before = now.since(member.silence.heard_at());
        if member
            .silence
            .miss(now, asked, seen_at, doubt, avoid)
            .is_none()
        {
            self.notes.push(Note::Contradicted {
                target: evidence.target,
                heard_before,
            });
        }
    }

    fn end(&mut self, id: &FlowId) {
        if let Some(flow) = self.flows.remove(id) {
            self.count(flow.target, -i32::from(flow.asked_at.is_some()), -1);
        }
    }

    fn count(&mut self, id: TargetId, waiting: i32, flows: i32) {
        if let Some(member) = self.view.member_mut(id) {
            member.waiting = member.waiting.saturating_add_signed(waiting);
            member.flows = member.flows.saturating_add_signed(flows);
        }
    }

    fn destination(&self, id: TargetId) -> Option<Destination> {
        self.view.member(id).map(|member| Destination {
            id,
            address: member.target.address,
        })
    }

    fn note_placed(&mut self, flow: FlowId, target: TargetId, tried: usize) {
        let Some(member) = self.view.member(target) else {
            return;
        };
        self.notes.push(Note::Placed {
            flow,
            target,
            is_remote: member.target.domain != self.settings.domain,
            waiting: member.waiting,
            tried,
        });
    }

    fn note_handshake(&mut self, took: Millis) {
        let kept = self.slowest_handshake_us * HANDSHAKE_DECAY / (HANDSHAKE_DECAY + 1);
        self.slowest_handshake_us = kept.max(took.0 * 1_000);
    }

    /// Returns the time after which an opening packet counts as unanswered.
    fn handshake_limit(&self) -> Millis {
        let limit = Millis(self.slowest_handshake_us * HANDSHAKE_FACTOR / 1_000);
        limit
            .max(self.settings.min_handshake)
            .min(self.settings.max_handshake)
    }

    /// Returns when [`Steer::on_timer`] has something to do next.
    pub fn next_due(&self) -> Option<Micros> {
        self.openings.front().map(|(due, _)| *due)
    }

    /// Sends opening packets without a handshake to other targets.
    pub fn on_timer(&mut self, now: Micros, mut resend: impl FnMut(Resend)) {
        while let Some((due, id)) = self.openings.front().copied() {
            if due > now {
                return;
            }
            self.openings.pop_front();
            let Some(Flow {
                stage: Stage::Opening { tried, packet, .. },
                ..
            }) = self.flows.get(&id).copied()
            else {
                continue;
            };
            let next = self.try_next(now, &id, tried);
            if let Some(to) = next.and_then(|next| self.destination(next)) {
                resend(Resend {
                    to,
                    token: to.id.token(),
                    packet,
                });
            }
        }
    }

    /// Forgets flows and targets that are over. To be called about once a second.
    pub fn sweep(&mut self, now: Micros) {
        let idle = self.view.idle();
        let (max_request, life) = (self.settings.max_request, self.settings.flow_life);
        let mut changes = Vec::new();
        self.flows.sweep(|flow| {
            let is_stuck = flow.asked_at.is_some_and(|at| now.since(at) > max_request);
            let is_unopened = matches!(flow.stage, Stage::Opening { .. });
            let quiet = now.since(flow.seen_at);
            let is_over =
                quiet > idle || now.since(flow.since) > life || is_unopened && quiet > max_request;
            let counted = flow.asked_at.is_some() && (is_stuck || is_over);
            if counted {
                flow.asked_at = None;
            }
            if counted || is_over {
                changes.push((flow.target, -i32::from(counted), -i32::from(is_over)));
            }
            is_over
        });
        for (id, waiting, flows) in changes {
            self.count(id, waiting, flows);
        }
        let effects = self.view.expire(now, life);
        self.notes.extend(effects.into_iter().map(Note::View));
    }
}
