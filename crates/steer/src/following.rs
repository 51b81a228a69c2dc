//! Packets of open flows: where they go, and what they show of their target.

use ids::{Micros, Millis};

use crate::flow::{Flow, Progress, Stage};
use crate::model::TargetId;
use crate::packet::{Kind, Segment, Token};
use crate::silence::Asked;
use crate::standing::Standing;
use crate::steer::Steer;
use crate::verdict::{Drop, Note, Refusal, Verdict};

/// Weight of one answer in the usual answer time, as a divisor.
const ANSWER_WEIGHT: u64 = 32;

/// Time within which another target has to be heard; otherwise the fault may be on this side.
const OTHERS_HEARD_WITHIN: Millis = Millis(200);

impl Steer {
    pub(crate) fn follow(&mut self, now: Micros, segment: &Segment) -> Verdict {
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
        if member.standing == Standing::Gone && now >= member.flows_end_at {
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
}
