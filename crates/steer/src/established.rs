//! Handles packets of established flows: forwards them and updates the health of their target.

use std::net::SocketAddrV4;

use ids::{Micros, Millis};

use crate::evidence::UnansweredPacket;
use crate::flow::{Flow, Progress, Stage};
use crate::load::{Response, RouteLoad};
use crate::model::TargetId;
use crate::packet::{FlowId, PacketKind, Segment, Token};
use crate::steer::Steer;
use crate::verdict::{DropReason, Note, ResetReason, Verdict};

/// The mean response time is an exponential moving average in which a new response has the weight
/// 1/32.
const RESPONSE_WEIGHT: u64 = 32;

/// Part of a route's timeout up to which a response counts in the time for a request. If the mean
/// reached the timeout, all new flows would be refused, and no response would correct the mean.
const MAX_TIMEOUT_SHARE: f32 = 0.5;

/// A target that answered callers of any instance of the failure domain within this time is not
/// dead, whatever this instance sees: under load, requests are lost on the way to a live target. It
/// covers the interval of reports without load.
const PEER_ANSWER_WINDOW: Millis = Millis(500);

/// An answered request.
struct Answer {
    /// Pending requests of the target when the request was sent, including it.
    queue_length: u32,
    /// Part of the response time that was spent on the way.
    way_time: Millis,
    response_time: Millis,
    response_bytes: u32,
}

impl Answer {
    /// Returns the time for the request with its way, without the time in the queue.
    fn service_time_ms(&self, slots: f32) -> f32 {
        let rounds = (self.queue_length as f32 / slots).max(1.0);
        (self.response_time.0 as f32 / rounds).max(1.0)
    }

    /// Returns the time for which the request kept a slot busy. Of the requests that were pending
    /// before it, some were on the way: by Little's law, the part of their time that they are.
    fn work_ms(&self, slots: f32) -> f32 {
        let response_ms = self.response_time.0.max(1) as f32;
        let time_at_target_ms = response_ms - self.way_time.0 as f32;
        let pending_before = self.queue_length.saturating_sub(1) as f32;
        let queued = pending_before * time_at_target_ms / response_ms;
        let rounds = ((queued + 1.0) / slots).max(1.0);
        (time_at_target_ms / rounds).max(1.0)
    }
}

impl Steer {
    /// Handles a packet of an established flow, given the target that its token identifies.
    pub(crate) fn on_established_packet(
        &mut self,
        now: Micros,
        segment: &Segment,
        target: Option<TargetId>,
    ) -> Verdict {
        if segment.token == Token(0) {
            self.remove_flow(now, &segment.flow);
            return Verdict::Drop(match segment.kind {
                PacketKind::Abort | PacketKind::Finish => DropReason::Unopened,
                _ => DropReason::NoToken,
            });
        }
        let Some(id) = target else {
            return Verdict::Drop(DropReason::UnknownToken);
        };
        let Some(to) = self.destination(id) else {
            return Verdict::Drop(DropReason::UnknownToken);
        };
        self.remove_wrongly_attributed(now, id, segment);
        self.update_flow(now, id, segment);
        if let Some(reason) = self.reset_reason(now, id, segment) {
            self.remove_flow(now, &segment.flow);
            return Verdict::Reset(reason);
        }
        if matches!(segment.kind, PacketKind::Finish | PacketKind::Abort) {
            self.remove_flow(now, &segment.flow);
        }
        Verdict::Forward { to, token: None }
    }

    /// Returns the target of an established flow. If its token belongs to several targets, the flow
    /// table decides: the flow may have been opened before the first of them was known.
    pub(crate) fn target_of_segment(&self, now: Micros, segment: &Segment) -> Option<TargetId> {
        if segment.token == Token(0) {
            return None;
        }
        if self.view.is_shared_token(segment.token)
            && let Some(flow) = self.flows.get(&segment.flow)
            && !flow.is_target_assumed
        {
            let tried = match &flow.stage {
                Stage::Opening { tried, .. } => tried.as_slice(),
                Stage::Established => std::slice::from_ref(&flow.target),
            };
            let known = tried.iter().find(|id| id.token() == segment.token);
            if known.is_some() {
                return known.copied();
            }
        }
        self.view.target_by_token(now, segment.token)
    }

    /// Returns why the flow should be reset, if it should: its target cannot respond, and its
    /// request may be executed again on another target.
    fn reset_reason(&self, now: Micros, id: TargetId, segment: &Segment) -> Option<ResetReason> {
        if segment.data_bytes == 0 || !self.view.is_idempotent(segment.flow.entry) {
            return None;
        }
        let record = self.view.record(id)?;
        if record.are_flows_over(now) {
            return Some(ResetReason::TargetGone);
        }
        let caller = *segment.flow.caller.ip();
        let is_silent = self.is_only_target_silent(now, id)
            && record.responsiveness.is_dead_for(now, caller)
            && !record.load.has_answered_within(now, PEER_ANSWER_WINDOW)
            && !self.is_target_assumed(segment);
        is_silent.then_some(ResetReason::TargetSilent)
    }

    /// Removes the entry of a flow that was attributed to another target with the same token, which
    /// has left since.
    fn remove_wrongly_attributed(&mut self, now: Micros, id: TargetId, segment: &Segment) {
        if !self.view.is_shared_token(segment.token) {
            return;
        }
        let flow = self.flows.get(&segment.flow);
        if flow.is_some_and(|flow| flow.is_target_assumed && flow.target != id) {
            self.remove_flow(now, &segment.flow);
        }
    }

    /// Returns whether a packet may belong to a flow of another target with the same token.
    fn is_target_assumed(&self, segment: &Segment) -> bool {
        match self.flows.get(&segment.flow) {
            Some(flow) => flow.is_target_assumed,
            None => self.view.is_shared_token(segment.token),
        }
    }

    /// Updates the flow and the health of its target from a packet.
    fn update_flow(&mut self, now: Micros, id: TargetId, segment: &Segment) {
        let Some(flow) = self.flows.get_mut(&segment.flow) else {
            if segment.kind != PacketKind::Data {
                return;
            }
            let mut flow = Flow {
                is_target_assumed: self.view.is_shared_token(segment.token),
                ..Flow::established(now, id, segment)
            };
            let progress = flow.on_packet(now, segment);
            if self.flows.insert(segment.flow, flow) {
                self.adjust_counts(id, i32::from(progress == Progress::RequestSent), 1);
                self.count_open_flow(&segment.flow);
                self.watch_request(now, &segment.flow);
                self.record_queue_length(now, id, &segment.flow);
            }
            return;
        };
        if let Stage::Opening { tried, .. } = flow.stage {
            let previous_target = flow.target;
            let handshake_time = now.since(flow.created_at);
            *flow = Flow {
                initial_seq: flow.initial_seq,
                request_sent_at: Some(now),
                ..Flow::established(now, id, segment)
            };
            if tried.as_slice().len() == 1 {
                flow.handshake_ms = u8::try_from(handshake_time.0).unwrap_or(u8::MAX);
                self.record_handshake(handshake_time);
                self.record_way(id, handshake_time);
                let handshake_us = handshake_time.0 * 1_000;
                self.mean_handshake_us = match self.mean_handshake_us {
                    0 => handshake_us,
                    mean => mean - mean / RESPONSE_WEIGHT + handshake_us / RESPONSE_WEIGHT,
                };
            }
            if previous_target != id {
                self.adjust_counts(previous_target, -1, -1);
                self.adjust_counts(id, 1, 1);
            }
            self.count_open_flow(&segment.flow);
            self.record_response(now, id);
            self.notes.push(Note::Opened {
                flow: segment.flow,
                target: id,
                handshake_time,
                tried: tried.as_slice().len(),
            });
        }
        let Some(flow) = self.flows.get_mut(&segment.flow) else {
            return;
        };
        let had_sent_request = flow.has_sent_request;
        let (queue_length, handshake_ms) = (flow.queue_length, flow.handshake_ms);
        let is_target_assumed = flow.is_target_assumed;
        let received_before = flow.received_until;
        let progress = flow.on_packet(now, segment);
        if let Progress::Responded {
            response_time: Some(response_time),
        } = progress
        {
            flow.pending_ms = u16::try_from(response_time.0).unwrap_or(u16::MAX);
        }
        let starts_request = flow.has_sent_request
            && (!had_sent_request || matches!(progress, Progress::Responded { .. }));
        match progress {
            Progress::None => {}
            Progress::RequestSent => self.adjust_counts(id, 1, 0),
            Progress::Responded { response_time } => {
                let has_next_request = flow.request_sent_at.is_some();
                let change = i32::from(has_next_request) - i32::from(response_time.is_some());
                self.adjust_counts(id, change, 0);
                if !is_target_assumed {
                    self.record_response(now, id);
                }
                if let Some(response_time) = response_time.filter(|_| !is_target_assumed) {
                    self.record_response_time(response_time);
                    let answer = Answer {
                        queue_length,
                        way_time: self.way_time(handshake_ms, response_time),
                        response_time,
                        response_bytes: segment.ack.wrapping_sub(received_before),
                    };
                    self.record_load(now, id, segment.flow.entry, &answer);
                }
            }
            Progress::Retransmitted { request_sent_at } => {
                if !std::mem::replace(&mut flow.is_reported_unanswered, true) && !is_target_assumed
                {
                    self.record_unanswered(
                        now,
                        id,
                        request_sent_at,
                        &segment.flow,
                        UnansweredPacket::Request,
                    );
                }
            }
        }
        if starts_request {
            self.record_flow_request(now, &segment.flow);
            self.watch_request(now, &segment.flow);
            self.record_queue_length(now, id, &segment.flow);
        }
    }

    /// Records how many requests the target has when a request is sent, so that its time can be
    /// told from the time in the queue.
    fn record_queue_length(&mut self, now: Micros, id: TargetId, flow: &FlowId) {
        let pending = self
            .view
            .record(id)
            .map_or(0, |record| record.load.pending(now, record.waiting));
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.queue_length = pending.max(1);
        }
    }

    /// Learns from a response how long a request takes at its target, or that the target is full.
    fn record_load(&mut self, now: Micros, id: TargetId, entry: SocketAddrV4, answer: &Answer) {
        // Callers choose the address in their packets, so that only entries of routes are kept.
        let Some(terms) = self.view.route(entry).map(|route| route.terms) else {
            return;
        };
        let Some(record) = self.view.record_mut(id) else {
            return;
        };
        let max_time_ms = match terms.timeout {
            Millis(0) => f32::INFINITY,
            timeout => timeout.0 as f32 * MAX_TIMEOUT_SHARE,
        };
        let slots = record.target.slots as f32;
        let service_time_ms = answer.service_time_ms(slots).min(max_time_ms);
        let work_ms = answer.work_ms(slots).min(max_time_ms);
        let route = self
            .route_loads
            .entry(entry)
            .or_insert_with(|| RouteLoad::new(service_time_ms, answer.response_bytes));
        match route.record(service_time_ms, answer.response_bytes) {
            Response::Processed => {
                let relative_work = route.relative_work(work_ms);
                let response_rounds = answer.response_time.0 as f32 / route.service_time_ms();
                let goal = terms.latency_goal;
                let is_delayed = goal > Millis(0) && answer.response_time.0 * 2 > goal.0;
                let load = &mut record.load;
                load.record_answer(relative_work, response_rounds, is_delayed);
                load.record_work(work_ms as u16);
                if let Some(admission) = self.admissions.get_mut(&record.target.service) {
                    admission.record_request(terms.priority);
                }
            }
            Response::TurnedAway => {
                record.load.record_turned_away(now);
                if record.target.domain == self.settings.domain
                    && let Some(admission) = self.admissions.get_mut(&record.target.service)
                {
                    admission.record_turned_away(now, id);
                }
            }
        }
        if record.load.list() {
            self.loaded_targets.push(id);
        }
    }

    /// Returns the part of a response time that was spent on the way. The handshake of a flow takes
    /// the same way as its requests. It counts for at most half of the response time, since a lost
    /// opening packet makes it long.
    fn way_time(&self, handshake_ms: u8, response_time: Millis) -> Millis {
        let known = match handshake_ms {
            0 => self.mean_handshake_us / 1_000,
            handshake_ms => u64::from(handshake_ms),
        };
        Millis(known.min(response_time.0 / 2))
    }

    fn record_response_time(&mut self, response_time: Millis) {
        let decayed = self.mean_response_us - self.mean_response_us / RESPONSE_WEIGHT;
        self.mean_response_us = decayed + response_time.0 * 1_000 / RESPONSE_WEIGHT;
        self.notes.push(Note::Answered { response_time });
    }
}
