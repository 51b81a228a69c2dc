//! Opening packets: the choice of a target, and of another one when it does not answer.

use ids::{Micros, Millis};

use crate::flow::{Flow, OPENING_BYTES, Stage, Tried};
use crate::model::TargetId;
use crate::packet::{FlowId, Segment};
use crate::place::place;
use crate::silence::Asked;
use crate::steer::Steer;
use crate::verdict::{Drop, Note, Refusal, Resend, Verdict};

/// Multiple of the slowest recent handshake after which an opening packet counts as unanswered.
const HANDSHAKE_FACTOR: u64 = 3;

/// Share of the slowest handshake that is kept at each new one, in 1/64. The memory is then about
/// a hundred handshakes long.
const HANDSHAKE_DECAY: u64 = 63;

impl Steer {
    pub(crate) fn open(&mut self, now: Micros, segment: &Segment, packet: &[u8]) -> Verdict {
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

    pub(crate) fn note_handshake(&mut self, took: Millis) {
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
}
