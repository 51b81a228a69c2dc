//! What is believed of targets: heard, silent or stalling.

use ids::{Micros, Millis};

use crate::model::TargetId;
use crate::packet::FlowId;
use crate::silence::{Asked, Evidence, Sign};
use crate::steer::Steer;
use crate::verdict::Note;

/// Multiple of the usual answer time after which a request counts as stalled.
const STALL_FACTOR: u64 = 8;

/// Bounds on that time. Below the first a lost answer, which is resent after 200 ms, looks the same;
/// after the second most callers have given up.
const MIN_STALL: Millis = Millis(250);

const MAX_STALL: Millis = Millis(1_000);

impl Steer {
    pub(crate) fn hear(&mut self, now: Micros, id: TargetId) {
        self.heard_at = now;
        let Some(member) = self.view.member_mut(id) else {
            return;
        };
        if member.silence.hear(now, now) {
            self.notes.push(Note::HeardAgain { target: id });
        }
    }

    pub(crate) fn miss(
        &mut self,
        now: Micros,
        id: TargetId,
        asked_at: Micros,
        flow: &FlowId,
        asked: Asked,
    ) {
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

    /// Returns the time after which a request counts as stalled.
    pub(crate) fn stall_limit(&self) -> Millis {
        Millis(self.usual_answer_us * STALL_FACTOR / 1_000)
            .max(MIN_STALL)
            .min(MAX_STALL)
    }

    /// Finds requests that their targets took and did not answer. Callers have not sent them again,
    /// so they were acknowledged.
    pub(crate) fn find_stalled(&mut self, now: Micros) {
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
}
