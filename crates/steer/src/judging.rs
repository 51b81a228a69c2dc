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

/// Multiple of the mean of a service's other targets that a target's stalled requests have to exceed.
/// When routers send flows to another instance, their answers are not seen here, and requests to all
/// targets seem to stall alike.
const STALL_OUTLIER: u32 = 3;

/// A request under way.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    /// When it counts as stalled.
    due: Micros,
    /// When it was sent; tells it from a later one of the same flow.
    asked_at: Micros,
    flow: FlowId,
}

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
                self.note_stalled(now, evidence.target);
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
    fn stall_limit(&self) -> Millis {
        Millis(self.usual_answer_us * STALL_FACTOR / 1_000)
            .max(MIN_STALL)
            .min(MAX_STALL)
    }

    pub(crate) fn watch_request(&mut self, now: Micros, flow: &FlowId) {
        self.requests.push_back(Request {
            due: now + self.stall_limit(),
            asked_at: now,
            flow: *flow,
        });
    }

    /// Finds requests that their targets took and did not answer. Callers have not sent them again,
    /// so they were acknowledged.
    pub(crate) fn find_stalled(&mut self, now: Micros) {
        while let Some(request) = self.requests.front().copied() {
            if request.due > now {
                return;
            }
            self.requests.pop_front();
            let Some(flow) = self.flows.get(&request.flow).copied() else {
                continue;
            };
            if flow.has_asked && !flow.is_missed && flow.asked_at == Some(request.asked_at) {
                let waited = now.since(request.asked_at);
                self.stalled(now, flow.target, &request.flow, waited);
            }
        }
    }

    fn stalled(&mut self, now: Micros, target: TargetId, flow: &FlowId, waited: Millis) {
        let is_avoided = self.note_stalled(now, target);
        self.notes.push(Note::Stalled {
            target,
            flow: *flow,
            waited,
            is_avoided,
        });
    }

    /// Counts a stalled request. Returns whether its target is avoided from now on and was not before.
    fn note_stalled(&mut self, now: Micros, target: TargetId) -> bool {
        let Some(member) = self.view.member_mut(target) else {
            return false;
        };
        let count = member.stalls.note(now);
        let service = member.target.service.clone();
        let (mut others, mut total) = (0, 0);
        for other in self.view.of_service(&service) {
            if other.target.id != target {
                others += 1;
                total += other.stalls.count(now);
            }
        }
        if count * others <= STALL_OUTLIER * total {
            return false;
        }
        self.view
            .member_mut(target)
            .is_some_and(|member| member.stalls.judge(now))
    }
}
