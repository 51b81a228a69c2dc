//! The part of [`Requests`] that handles frames from callers and peers: which instance decides on a
//! request, and the reply to a resend or cancel.

use ids::{ClassName, InstanceName, MemberName, Micros, Millis, ServiceName};
use wire::frame::{Frame, Kind, Refusal};
use wire::peer::{Body, RelayedFrame};
use wire::token::TargetId;

use crate::admission::ServiceQueue;
use crate::answer::AnswerParts;
use crate::event::{CounterEvent, DropReason, ShardAction};
use crate::fence::{self, FenceDecision, NotRunProof, SentRefusal};
use crate::request::Requests;
use crate::request_record::{RequestRecord, RequestState};
use crate::shard::{MAX_HOPS, send_refusal, send_to_caller};
use crate::view::{Owner, View};

/// Hop count that marks a query: a new owner relays the frame to the previous one during the fence.
const QUERY_HOPS: u32 = MAX_HOPS + 1;

/// Hop count that marks a query returned by the previous owner. Neither is relayed any further.
const RETURNED_HOPS: u32 = QUERY_HOPS + 1;

/// Time before a deadline within which an unreachable owner is reported to the caller as an unknown
/// outcome; before that, the caller is left to resend.
const UNKNOWN_REPLY_WINDOW_MS: u32 = 1_000;

/// Member assigned to frames that name none.
const UNNAMED_MEMBER: &str = "-";

impl Requests {
    /// Handles a request or cancel from a caller, possibly relayed by a peer.
    ///
    /// `pinned` is the target of the request's flow, if it belongs to one.
    pub fn on_caller_frame(
        &mut self,
        now: Micros,
        view: &View,
        frame: Frame,
        pinned: Option<TargetId>,
        hops: u32,
        out: &mut Vec<ShardAction>,
    ) {
        self.check_lease(now);
        let is_lease_held = self.lease.is_held(now, view);
        if self.records.contains_key(&frame.request) && is_lease_held {
            self.on_recorded_request(now, view, frame, out);
            return;
        }
        let owner = view
            .current_epoch()
            .map(|epoch| epoch.owner_of(&frame.domain, frame.request));
        match owner {
            Some(Owner::Peer(peer)) if peer.name != view.instance && hops < MAX_HOPS => {
                self.relay(frame, &peer.name, hops + 1, out);
                return;
            }
            Some(Owner::Peer(_)) => {}
            _ if !frame.idempotent => {
                handle_unreachable(&frame, out);
                return;
            }
            _ => {}
        }
        if !is_lease_held && (!frame.idempotent || self.records.contains_key(&frame.request)) {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::NoLease,
            )));
            return;
        }
        if !frame.idempotent && self.relay_to_queried_owner(view, &frame, hops, out) {
            return;
        }
        // The previous owner may still be processing the request of a resend.
        let is_resend = frame.attempt > 0 || frame.kind() == Kind::Cancel;
        if is_resend
            && hops < MAX_HOPS
            && self.sent_refusals.get(frame.request).is_none()
            && !fence::is_proven_by_ownership(now, view, &frame, &self.settings.fence())
            && let Some(previous) =
                fence::previous_owner(now, view, &frame, self.settings.retention())
        {
            self.relay(frame, &previous, hops + 1, out);
            return;
        }
        match frame.kind() {
            Kind::Cancel => self.on_unrecorded_cancel(now, view, frame, out),
            _ => self.on_new_request(now, view, frame, pinned, hops, out),
        }
        self.dispatch_waiting(now, view, out);
    }

    pub(crate) fn relay(
        &self,
        frame: Frame,
        to: &InstanceName,
        hops: u32,
        out: &mut Vec<ShardAction>,
    ) {
        let hop_latency_ms = self.settings.hop_latency_ms.0 as u32;
        let deadline_ms = match frame.deadline_ms {
            0 => 0,
            remaining_ms => remaining_ms.saturating_sub(hop_latency_ms).max(1),
        };
        let frame = Frame {
            elapsed_ms: frame.elapsed_ms.saturating_add(hop_latency_ms),
            deadline_ms,
            ..frame
        };
        out.push(ShardAction::Count(CounterEvent::Relayed));
        out.push(ShardAction::SendToPeer {
            to: to.clone(),
            body: Body::RelayedFrame(RelayedFrame {
                frame: Some(frame),
                hops,
            }),
        });
    }

    /// Relays a frame to the peer that was queried about its request; returns false if none was.
    fn relay_to_queried_owner(
        &mut self,
        view: &View,
        frame: &Frame,
        hops: u32,
        out: &mut Vec<ShardAction>,
    ) -> bool {
        let Some(queried) = self.owner_queries.get(frame.request).cloned() else {
            return false;
        };
        if hops >= QUERY_HOPS {
            self.owner_queries.remove(frame.request);
            return false;
        }
        match view
            .current_epoch()
            .is_some_and(|epoch| epoch.can_query(&queried))
        {
            true => self.relay(frame.clone(), &queried, QUERY_HOPS, out),
            false => send_refusal(frame, Refusal::OutcomeUnknown, out),
        }
        true
    }

    /// Returns a frame to the new owner that queried this instance, which cannot decide on it.
    ///
    /// Other frames that this instance does not own are dropped, since only their owner may run or
    /// refuse them.
    fn return_to_owner(&self, view: &View, frame: Frame, hops: u32, out: &mut Vec<ShardAction>) {
        let owner = view
            .current_epoch()
            .map(|epoch| epoch.owner_of(&frame.domain, frame.request));
        match owner {
            Some(Owner::Peer(peer)) if hops == QUERY_HOPS => {
                self.relay(frame, &peer.name, RETURNED_HOPS, out);
            }
            _ => out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::TooManyHops,
            ))),
        }
    }

    /// Handles a request without a record.
    fn on_new_request(
        &mut self,
        now: Micros,
        view: &View,
        frame: Frame,
        pinned: Option<TargetId>,
        hops: u32,
        out: &mut Vec<ShardAction>,
    ) {
        // A refusal is final, also for a resend that left before the refusal reached its caller.
        if let Some(refusal) = self.sent_refusals.get(frame.request) {
            send_refusal(&frame, refusal.code, out);
            return;
        }
        if self.is_stopping && hops == QUERY_HOPS {
            self.return_to_owner(view, frame, hops, out);
            return;
        }
        let proof = match hops {
            RETURNED_HOPS => NotRunProof::PreviousOwner,
            _ => NotRunProof::None,
        };
        let mut runs_at = now;
        if !frame.idempotent {
            let fence = self.settings.fence();
            let is_lease_held = self.lease.is_held(now, view);
            match fence::decide(now, view, &frame, &fence, is_lease_held, proof) {
                FenceDecision::Run => {}
                FenceDecision::WaitUntil(_) if hops == QUERY_HOPS => {
                    out.push(ShardAction::Count(CounterEvent::Dropped(
                        DropReason::TooManyHops,
                    )));
                    return;
                }
                FenceDecision::WaitUntil(until) => {
                    let retention = self.settings.retention();
                    let previous = fence::previous_owner(now, view, &frame, retention);
                    if let Some(previous) = previous {
                        let expires = now + retention;
                        let capacity = self.settings.max_records;
                        if self
                            .owner_queries
                            .insert(frame.request, &previous, expires, capacity)
                        {
                            self.relay(frame, &previous, QUERY_HOPS, out);
                        } else {
                            out.push(ShardAction::Count(CounterEvent::Dropped(
                                DropReason::TableFull,
                            )));
                        }
                        return;
                    }
                    runs_at = until;
                }
                FenceDecision::OutcomeUnknown => {
                    send_refusal(&frame, Refusal::OutcomeUnknown, out);
                    return;
                }
                FenceDecision::NotOwner => {
                    self.return_to_owner(view, frame, hops, out);
                    return;
                }
                FenceDecision::NoLease => return,
            }
        }
        match self.create_record(now, view, frame, pinned, hops) {
            Ok(record) => self.insert_record(now, record, runs_at > now, out),
            Err((frame, code)) => self.refuse_not_run(now, frame, code, out),
        }
    }

    /// Creates the record of a request that may run, or returns the reason code of its refusal.
    #[allow(
        clippy::result_large_err,
        reason = "the error returns the frame to the calling function"
    )]
    fn create_record(
        &mut self,
        now: Micros,
        view: &View,
        frame: Frame,
        pinned: Option<TargetId>,
        hops: u32,
    ) -> Result<RequestRecord, (Frame, Refusal)> {
        let Some(service) = parse::<ServiceName>(&frame.service)
            .filter(|service| view.document.services.contains_key(service))
        else {
            return Err((frame, Refusal::UnknownService));
        };
        let queue = self.queues.entry(service.clone()).or_insert_with(|| {
            let mut queue = ServiceQueue::default();
            queue.configure(&view.document, &service);
            queue
        });
        let class = match frame.class.as_str() {
            "" => queue.default_class().cloned(),
            class => parse::<ClassName>(class),
        };
        let member = match frame.member.as_str() {
            "" => parse::<MemberName>(UNNAMED_MEMBER),
            member => parse(member),
        };
        let (Some(class), Some(member)) = (class, member) else {
            return Err((frame, Refusal::Malformed));
        };
        let Some(settings) = queue.class(&class) else {
            return Err((frame, Refusal::Malformed));
        };
        let requested_ms = match frame.deadline_ms {
            0 => settings.deadline_ms.0,
            requested => u64::from(requested),
        };
        let max_ms = self
            .settings
            .max_deadline_ms
            .0
            .saturating_sub(frame.elapsed_ms.into());
        let remaining_ms = requested_ms.min(max_ms);
        if remaining_ms <= self.settings.hop_latency_ms.0 {
            return Err((frame, Refusal::DeadlinePassed));
        }
        if self.records.len() >= self.settings.max_records {
            return Err((frame, Refusal::Overloaded));
        }
        Ok(RequestRecord {
            frame,
            service,
            class,
            member,
            state: RequestState::Waiting,
            received_at: now,
            deadline: now + Millis(remaining_ms),
            pinned,
            runs: Vec::new(),
            refused_by: Vec::new(),
            answering_target: None,
            answer: AnswerParts::default(),
            due: now + Millis(remaining_ms),
            is_cancel_requested: false,
            was_dispatched: false,
            hops,
        })
    }

    /// Handles a resend or cancel of a request that has a record.
    fn on_recorded_request(
        &mut self,
        now: Micros,
        view: &View,
        frame: Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let id = frame.request;
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if !record.is_of_same_caller(&frame) {
            send_refusal(&frame, Refusal::Malformed, out);
            return;
        }
        record.frame.source.clone_from(&frame.source);
        record.frame.attempt = record.frame.attempt.max(frame.attempt);
        let is_cancel = frame.kind() == Kind::Cancel;
        match record.state {
            RequestState::Waiting if is_cancel => {
                self.end_not_run(now, id, Refusal::Cancelled, out);
                self.dispatch_waiting(now, view, out);
            }
            RequestState::Running | RequestState::Cancelling if is_cancel => {
                record.is_cancel_requested = true;
                self.cancel_runs(now, view, id, out);
            }
            RequestState::Answering | RequestState::Answered => {
                for part in record.answer.held_parts() {
                    let part = Frame {
                        source: frame.source.clone(),
                        ..part.clone()
                    };
                    send_to_caller(part, out);
                }
            }
            RequestState::AnswerGone => send_refusal(&frame, Refusal::AnswerGone, out),
            RequestState::OutcomeUnknown => send_refusal(&frame, Refusal::OutcomeUnknown, out),
            _ => {}
        }
    }

    /// Handles a cancel of a request without a record; the cancel may have overtaken the request.
    fn on_unrecorded_cancel(
        &mut self,
        now: Micros,
        view: &View,
        frame: Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let refusal = self.sent_refusals.get(frame.request);
        let was_refused = refusal.is_some_and(|refusal| refusal.code.proves_not_run());
        let is_proven =
            was_refused || fence::is_proven_by_ownership(now, view, &frame, &self.settings.fence());
        let code = match is_proven {
            true => Refusal::Cancelled,
            false => Refusal::OutcomeUnknown,
        };
        let refusal = SentRefusal { code };
        let expires = now + self.settings.retention();
        let capacity = self.settings.max_refusals;
        if self
            .sent_refusals
            .insert(frame.request, refusal, expires, capacity)
        {
            send_refusal(&frame, code, out);
        } else {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::TableFull,
            )));
        }
    }
}

/// Handles a non-idempotent request whose owners are unreachable.
///
/// Only an owner may report a request as not run, since a resend may still reach an owner. The
/// frame is dropped, so the caller resends until its deadline; a resend shortly before the deadline
/// is refused with an unknown outcome.
fn handle_unreachable(frame: &Frame, out: &mut Vec<ShardAction>) {
    let is_near_deadline =
        frame.attempt > 0 && (1..=UNKNOWN_REPLY_WINDOW_MS).contains(&frame.deadline_ms);
    if is_near_deadline {
        send_refusal(frame, Refusal::OutcomeUnknown, out);
    } else {
        out.push(ShardAction::Count(CounterEvent::Dropped(
            DropReason::Unreachable,
        )));
    }
}

fn parse<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}
