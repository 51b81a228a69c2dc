//! Passive health checks: detects targets that do not respond or that stall requests.

use ids::{Micros, Millis};

use crate::cold_start;
use crate::evidence::{Evidence, Observation, UnansweredPacket};
use crate::model::TargetId;
use crate::packet::FlowId;
use crate::steer::Steer;
use crate::verdict::Note;

/// A request counts as stalled after this multiple of the mean response time.
const STALL_FACTOR: u64 = 8;

/// Bounds of the stall timeout. Below the minimum, a lost response that is retransmitted after 200
/// ms looks like a stall; above the maximum, most callers have given up.
const MIN_STALL: Millis = Millis(250);

const MAX_STALL: Millis = Millis(1_000);

/// A target is only avoided if it has more than this multiple of the mean number of stalled
/// requests of the service's other targets. If routers move flows to another instance, their
/// responses are acknowledged there, and requests to all targets seem to stall here.
const STALL_OUTLIER: u64 = 3;

/// A target only counts as dead if another target responded within this time. Otherwise the fault
/// may be on the side of this instance.
const RECENT_RESPONSE_WINDOW: Millis = Millis(200);

/// A request that is checked when its stall timeout ends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    /// End of the stall timeout.
    due: Micros,
    /// When the request was sent; distinguishes it from later requests of the same flow.
    request_sent_at: Micros,
    flow: FlowId,
}

impl Steer {
    pub(crate) fn record_response(&mut self, now: Micros, id: TargetId) {
        self.last_response_at = now;
        let Some(record) = self.view.record_mut(id) else {
            return;
        };
        let may_have_restarted = record.may_have_restarted;
        if record.responsiveness.record_response(now, now) {
            self.notes.push(Note::TargetRecovered { target: id });
        }
        if may_have_restarted {
            self.assume_cold(now, id);
        }
    }

    pub(crate) fn record_unanswered(
        &mut self,
        now: Micros,
        id: TargetId,
        sent_at: Micros,
        flow: &FlowId,
        packet: UnansweredPacket,
    ) {
        let (brief_avoidance, long_avoidance) =
            (self.settings.brief_avoidance, self.settings.long_avoidance);
        let Some(record) = self.view.record_mut(id) else {
            return;
        };
        let last_response_age = now.since(record.responsiveness.last_response_at());
        if let Some(unanswered_count) = record.responsiveness.record_unanswered(
            now,
            packet,
            Some(*flow.caller.ip()),
            sent_at,
            brief_avoidance,
            long_avoidance,
        ) {
            self.notes.push(Note::Unanswered {
                target: id,
                flow: *flow,
                waited: now.since(sent_at),
                packet,
                last_response_age,
                unanswered_count,
            });
            self.detect_restart(now, id);
        }
    }

    /// Applies a peer's observation of a target.
    pub fn on_evidence(&mut self, now: Micros, evidence: &Evidence) {
        let (brief_avoidance, long_avoidance) =
            (self.settings.brief_avoidance, self.settings.long_avoidance);
        let Some(record) = self.view.record_mut(evidence.target) else {
            return;
        };
        let observed_at = now - evidence.age;
        let packet = match evidence.observation {
            Observation::Responded => {
                let may_have_restarted = record.may_have_restarted;
                record.responsiveness.record_response(now, observed_at);
                if may_have_restarted && record.responsiveness.last_response_at() == observed_at {
                    self.assume_cold(now, evidence.target);
                }
                return;
            }
            Observation::Stalled => {
                self.count_stalled(now, evidence.target);
                return;
            }
            Observation::Unanswered(packet) => packet,
        };
        let last_response_age = now.since(record.responsiveness.last_response_at());
        if record
            .responsiveness
            .record_unanswered(
                now,
                packet,
                evidence.caller,
                observed_at,
                brief_avoidance,
                long_avoidance,
            )
            .is_none()
        {
            self.notes.push(Note::Contradicted {
                target: evidence.target,
                last_response_age,
            });
            return;
        }
        self.detect_restart(now, evidence.target);
    }

    /// Notes that a target may have started again since it was silent. Until its report tells, flows
    /// would be placed on it as on a warm target. Called for each unanswered packet.
    fn detect_restart(&mut self, now: Micros, id: TargetId) {
        if self.settings.cold_limit.is_none() || !self.is_only_target_silent(now, id) {
            return;
        }
        let warmup = self.warmup_of(id);
        if warmup == Millis(0) {
            return;
        }
        let Some(record) = self.view.record_mut(id) else {
            return;
        };
        record.may_have_restarted = true;
        record.assumed_cold_until = now + self.settings.long_avoidance + warmup;
        self.cold_start.insert(id);
    }

    /// Counts a target as cold from its first response after it may have started again.
    fn assume_cold(&mut self, now: Micros, id: TargetId) {
        let warmup = self.warmup_of(id);
        let Some(record) = self.view.record_mut(id) else {
            return;
        };
        record.may_have_restarted = false;
        record.assumed_cold_until = now + warmup;
        self.notes.push(Note::AssumedCold { target: id, warmup });
    }

    /// Returns the time for which a target is cold after its start.
    fn warmup_of(&self, id: TargetId) -> Millis {
        let record = self.view.record(id);
        let service = record.and_then(|record| self.view.service(&record.target.service));
        cold_start::warmup(service)
    }

    /// Returns whether requests of a target's open flows are not answered although other targets
    /// answer, so that the fault is not on the side of this instance. It may be on that of a caller.
    pub(crate) fn is_only_target_silent(&self, now: Micros, id: TargetId) -> bool {
        now.since(self.last_response_at) < RECENT_RESPONSE_WINDOW
            && self
                .view
                .record(id)
                .is_some_and(|record| record.responsiveness.is_silent(now))
    }

    /// Returns the time after which a request counts as stalled.
    fn stall_timeout(&self) -> Millis {
        Millis(self.mean_response_us * STALL_FACTOR / 1_000)
            .max(MIN_STALL)
            .min(MAX_STALL)
    }

    pub(crate) fn watch_request(&mut self, now: Micros, flow: &FlowId) {
        self.requests.push_back(Request {
            due: now + self.stall_timeout(),
            request_sent_at: now,
            flow: *flow,
        });
    }

    /// Reports requests that were acknowledged but not answered in time. Unacknowledged requests
    /// would have been retransmitted.
    pub(crate) fn detect_stalled_requests(&mut self, now: Micros) {
        while let Some(request) = self.requests.front().copied() {
            if request.due > now {
                return;
            }
            self.requests.pop_front();
            let Some(flow) = self.flows.get(&request.flow).copied() else {
                continue;
            };
            if flow.has_sent_request
                && !flow.is_target_assumed
                && !flow.is_reported_unanswered
                && flow.request_sent_at == Some(request.request_sent_at)
            {
                let waited = now.since(request.request_sent_at);
                self.report_stalled(now, flow.target, &request.flow, waited);
            }
        }
    }

    fn report_stalled(&mut self, now: Micros, target: TargetId, flow: &FlowId, waited: Millis) {
        let is_avoided = self.count_stalled(now, target);
        self.notes.push(Note::Stalled {
            target,
            flow: *flow,
            waited,
            is_avoided,
        });
    }

    /// Counts a stalled request. Returns whether its target is avoided from now on and was not
    /// before.
    fn count_stalled(&mut self, now: Micros, target: TargetId) -> bool {
        let Some(counts) = self.view.count_stalled(now, target) else {
            return false;
        };
        if counts.count * counts.others <= STALL_OUTLIER * counts.others_total {
            return false;
        }
        self.view
            .record_mut(target)
            .is_some_and(|record| record.stalled_requests.avoid_if_excessive(now))
    }
}
