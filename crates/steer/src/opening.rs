//! Handles opening packets: chooses a target, and another one if there is no handshake.

use ids::{Micros, Millis};
use smol_str::SmolStr;

use crate::admission::{Refusal, Request};
use crate::evidence::UnansweredPacket;
use crate::flow::{Flow, Stage, TriedTargets};
use crate::load::RouteLoad;
use crate::model::{Priority, RouteTerms, TargetId};
use crate::packet::{FlowId, PacketKind, Segment};
use crate::placement::{Choice, Placement, SAMPLE_SIZE};
use crate::steer::Steer;
use crate::verdict::{DropReason, Note, Resend, ResetReason, Verdict};

/// An opening packet counts as unanswered after this multiple of the slowest recent handshake.
const HANDSHAKE_FACTOR: u64 = 3;

/// The slowest handshake decays to this many 64ths with each new handshake, so it covers about the
/// last hundred handshakes.
const HANDSHAKE_DECAY: u64 = 63;

impl Steer {
    pub(crate) fn on_opening_packet(
        &mut self,
        now: Micros,
        segment: &Segment,
        packet: &[u8],
    ) -> Verdict {
        if !self.view.is_usable() {
            return Verdict::Drop(DropReason::NoView);
        }
        let id = segment.flow;
        match self.flows.get(&id).copied() {
            Some(flow) if flow.is_opened_by(now, segment) && !self.is_misplaced(&flow) => {
                return self.on_opening_copy(now, &id, &flow);
            }
            Some(_) => self.remove_flow(now, &id),
            None => {}
        }
        let Some(route) = self.view.route(id.entry) else {
            return Verdict::Reset(ResetReason::NoRoute);
        };
        let terms = route.terms;
        let Some(service) = self.view.service_for_flow(route, &id).cloned() else {
            return Verdict::Reset(ResetReason::NoTarget);
        };
        let Some(choice) = self.choose_target(now, &service, terms.priority, &[]) else {
            return self.refuse_opening(now, id, &service);
        };
        // Another instance may have got an earlier copy, and its target may have accepted the flow.
        let is_first = matches!(segment.kind, PacketKind::Open { retransmissions: 0 });
        if is_first && let Err(reason) = self.admit(now, id, &service, terms, choice) {
            return Verdict::Reset(reason);
        }
        self.insert_opening(now, segment, packet, choice.target);
        self.forward_opening(Some(choice.target))
    }

    fn choose_target(
        &mut self,
        now: Micros,
        service: &str,
        priority: Priority,
        tried: &[TargetId],
    ) -> Option<Choice> {
        let admission = self.admissions.get(service);
        let sample_size = admission.map_or(SAMPLE_SIZE, |admission| {
            admission.sample_size(now, priority)
        });
        let placement = Placement {
            view: &self.view,
            settings: &self.settings,
            cold_start: &self.cold_start,
            spill: self.spill.service(service),
            now,
            service,
            sample_size,
        };
        placement.choose(tried, &mut self.random)
    }

    /// Decides whether a new flow is admitted, given the target that would get it.
    fn admit(
        &mut self,
        now: Micros,
        flow: FlowId,
        service: &SmolStr,
        terms: RouteTerms,
        choice: Choice,
    ) -> Result<(), ResetReason> {
        let Some(admission) = self.admissions.get_mut(service) else {
            return Ok(());
        };
        let route_load = self.route_loads.get(&flow.entry);
        let service_time_ms = route_load.map_or(0.0, RouteLoad::service_time_ms);
        let expected_time = Millis((choice.rounds.max(1.0) * service_time_ms) as u64);
        let request = Request {
            terms,
            caller: *flow.caller.ip(),
            expected_time,
            is_target_free: choice.rounds <= 1.0,
            is_reserved: admission.is_reserved(
                now,
                &terms,
                expected_time,
                Millis((choice.queue_rounds * service_time_ms) as u64),
            ),
        };
        let Err(refusal) = admission.decide(now, &request) else {
            return Ok(());
        };
        self.notes.push(Note::Refused {
            flow,
            service: service.clone(),
            refusal,
            terms,
            expected_time: request.expected_time,
            admitted_share: admission.share(now),
        });
        Err(match refusal {
            Refusal::Deadline => ResetReason::Deadline,
            Refusal::NoRoom => ResetReason::NoRoom,
            Refusal::CallerShare => ResetReason::CallerShare,
        })
    }

    /// Returns whether the failure domain of a flow's target was evacuated before the flow was open.
    /// A copy of its opening packet is then placed like a first one.
    fn is_misplaced(&self, flow: &Flow) -> bool {
        let is_opening = matches!(flow.stage, Stage::Opening { .. });
        let record = self.view.record(flow.target);
        is_opening && record.is_some_and(|record| self.view.is_evacuated(&record.target.domain))
    }

    /// Resets a new flow of a service none of whose targets accepts it.
    fn refuse_opening(&mut self, now: Micros, flow: FlowId, service: &str) -> Verdict {
        let placement = Placement {
            view: &self.view,
            settings: &self.settings,
            cold_start: &self.cold_start,
            spill: self.spill.service(service),
            now,
            service,
            sample_size: SAMPLE_SIZE,
        };
        if let Some(counts) = placement.count_cold() {
            self.notes.push(Note::RefusedCold { flow, counts });
            return Verdict::Reset(ResetReason::TargetsCold);
        }
        if self.view.has_evacuated_target(service) {
            return Verdict::Reset(ResetReason::DomainEvacuated);
        }
        Verdict::Reset(ResetReason::NoTarget)
    }

    /// Counts a flow that was placed on a target, if the target is cold and such flows are limited.
    fn record_cold_flow(&mut self, now: Micros, target: TargetId) {
        if self.settings.cold_limit.is_none() {
            return;
        }
        if self
            .view
            .record(target)
            .is_some_and(|record| record.is_cold(now))
        {
            self.cold_start.record_placed(now, target);
        }
    }

    /// Adds a new flow to the table and schedules its handshake timeout.
    fn insert_opening(&mut self, now: Micros, segment: &Segment, packet: &[u8], target: TargetId) {
        let flow = Flow::opening(now, target, segment, packet);
        if self.flows.insert(segment.flow, flow) {
            self.adjust_counts(target, 1, 1);
            self.openings
                .push_back((now + self.handshake_timeout(), segment.flow));
        }
        self.record_cold_flow(now, target);
        self.note_placed(segment.flow, target, 0);
    }

    /// Forwards a copy of an opening packet: to the target that accepted the flow, to the target
    /// whose answer may still be on its way, or to another target.
    fn on_opening_copy(&mut self, now: Micros, id: &FlowId, flow: &Flow) -> Verdict {
        let Stage::Opening { tried, sent_at, .. } = flow.stage else {
            return self.forward_opening(Some(flow.target));
        };
        let is_waiting = now.since(sent_at) < self.settings.min_handshake_timeout;
        let next = if is_waiting {
            tried.last()
        } else {
            self.try_next_target(now, id, tried).or(tried.last())
        };
        self.forward_opening(next)
    }

    /// Records that the last target did not answer this flow's opening packet and chooses another
    /// target.
    fn try_next_target(
        &mut self,
        now: Micros,
        id: &FlowId,
        mut tried: TriedTargets,
    ) -> Option<TargetId> {
        let flow = self.flows.get_mut(id)?;
        let Stage::Opening { sent_at, .. } = flow.stage else {
            return None;
        };
        let previous = flow.target;
        self.record_unanswered(now, previous, sent_at, id, UnansweredPacket::Opening);
        let route = self.view.route(id.entry)?;
        let priority = route.terms.priority;
        let service = self.view.service_for_flow(route, id)?.clone();
        let next = self
            .choose_target(now, &service, priority, tried.as_slice())?
            .target;
        if !tried.push(next) {
            return None;
        }
        let flow = self.flows.get_mut(id)?;
        if let Stage::Opening {
            tried: flow_tried,
            sent_at,
            ..
        } = &mut flow.stage
        {
            *flow_tried = tried;
            *sent_at = now;
        }
        flow.target = next;
        self.adjust_counts(previous, -1, -1);
        self.adjust_counts(next, 1, 1);
        self.openings
            .push_back((now + self.handshake_timeout(), *id));
        self.record_cold_flow(now, next);
        self.note_placed(*id, next, tried.as_slice().len() - 1);
        Some(next)
    }

    fn forward_opening(&self, target: Option<TargetId>) -> Verdict {
        match target.and_then(|id| self.destination(id)) {
            Some(to) => Verdict::Forward {
                to,
                token: Some(self.view.token_of(to.id)),
            },
            None => Verdict::Reset(ResetReason::NoTarget),
        }
    }

    fn note_placed(&mut self, flow: FlowId, target: TargetId, tried: usize) {
        let Some(record) = self.view.record(target) else {
            return;
        };
        self.notes.push(Note::Placed {
            flow,
            target,
            is_remote: record.target.domain != self.settings.domain,
            pending_requests: record.waiting,
            tried,
        });
    }

    pub(crate) fn record_handshake(&mut self, handshake_time: Millis) {
        let decayed = self.slowest_handshake_us * HANDSHAKE_DECAY / (HANDSHAKE_DECAY + 1);
        self.slowest_handshake_us = decayed.max(handshake_time.0 * 1_000);
        self.retry_budget.record_handshake();
    }

    /// Returns the time after which an opening packet counts as unanswered.
    fn handshake_timeout(&self) -> Millis {
        let limit = Millis(self.slowest_handshake_us * HANDSHAKE_FACTOR / 1_000);
        limit
            .max(self.settings.min_handshake_timeout)
            .min(self.settings.max_handshake_timeout)
    }

    /// Returns whether the opening packet of a flow may be sent to a further target. If targets turn
    /// requests away and the budget is used up, the flow waits for its caller's copy.
    fn may_resend(&mut self, now: Micros, id: &FlowId, sent_at: Micros) -> bool {
        let service = self.view.route(id.entry);
        let service = service.and_then(|route| self.view.service_for_flow(route, id));
        let admission = service.and_then(|service| self.admissions.get(service));
        let is_limited = admission.is_some_and(|admission| admission.shows_turned_away(now));
        if !is_limited || self.retry_budget.try_take(now) {
            return true;
        }
        let Some(target) = self.flows.get(id).map(|flow| flow.target) else {
            return false;
        };
        // The target counts as silent as if the packet had been sent to another one.
        self.record_unanswered(now, target, sent_at, id, UnansweredPacket::Opening);
        self.notes.push(Note::ResendWithheld { flow: *id, target });
        false
    }

    /// Returns when [`Steer::on_timer`] has to be called next.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.openings.front().map(|(due, _)| *due)
    }

    /// Resends opening packets whose handshake timed out to other targets.
    pub fn on_timer(&mut self, now: Micros, mut resend: impl FnMut(Resend)) {
        while let Some((due, id)) = self.openings.front().copied() {
            if due > now {
                return;
            }
            self.openings.pop_front();
            let Some(Flow {
                stage:
                    Stage::Opening {
                        tried,
                        sent_at,
                        packet,
                    },
                ..
            }) = self.flows.get(&id).copied()
            else {
                continue;
            };
            // The timeout belongs to an earlier flow from the same port.
            if now.since(sent_at) < self.settings.min_handshake_timeout {
                continue;
            }
            if !self.may_resend(now, &id, sent_at) {
                continue;
            }
            let next = self.try_next_target(now, &id, tried);
            if let Some(to) = next.and_then(|next| self.destination(next)) {
                resend(Resend {
                    to,
                    token: self.view.token_of(to.id),
                    packet,
                });
            }
        }
    }
}
