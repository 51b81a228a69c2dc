//! The part of [`Requests`] that takes frames from callers and peers: who decides about a request,
//! and what a resend or cancel is told.

use ids::{ClassName, InstanceName, MemberName, Micros, Millis, ServiceName};
use wire::frame::{Frame, Kind, Refusal};
use wire::peer::{Body, Relay};
use wire::token::TargetId;

use crate::admit::ServiceQueue;
use crate::answer::Parts;
use crate::event::{CounterEvent, DropReason, ShardAction};
use crate::fence::{self, Proof, Refused, Verdict};
use crate::record::{Record, RequestState};
use crate::request::Requests;
use crate::shard::{MAX_HOPS, refuse, to_caller};
use crate::view::{Owner, View};

/// Hops of a frame by which a new owner asks the one before it, while the fence lasts.
const ASKED_HOPS: u32 = MAX_HOPS + 1;

/// Hops of such a frame that the owner before passed back; neither kind is relayed further.
const CONFIRMED_HOPS: u32 = ASKED_HOPS + 1;

/// Time before a deadline in which a caller is told that the outcome is unknown instead of being
/// left to send again.
const FINAL_REPLY_MS: u32 = 1_000;

/// Member of frames that name none.
const NO_MEMBER: &str = "-";

impl Requests {
    /// Takes a request or cancel from a caller, possibly relayed by a peer. `pinned` is the target
    /// of the request's flow, if it belongs to one.
    pub fn on_caller(
        &mut self,
        now: Micros,
        view: &View,
        frame: Frame,
        pinned: Option<TargetId>,
        hops: u32,
        out: &mut Vec<ShardAction>,
    ) {
        self.watch_lease(now);
        let lease_held = self.lease.is_held(now, view);
        if self.records.contains_key(&frame.request) && lease_held {
            self.on_known(now, view, frame, out);
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
                refuse_unreachable(&frame, out);
                return;
            }
            _ => {}
        }
        if !lease_held && (!frame.idempotent || self.records.contains_key(&frame.request)) {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::NoLease,
            )));
            return;
        }
        if !frame.idempotent && self.follow_asked(view, &frame, hops, out) {
            return;
        }
        // A resend may be of a request that the owner before this one still works on.
        let is_resend = frame.attempt > 0 || frame.kind() == Kind::Cancel;
        if is_resend
            && hops < MAX_HOPS
            && self.refusals.get(frame.request).is_none()
            && !fence::is_proven_by_tenure(now, view, &frame, &self.settings.fence())
            && let Some(previous) =
                fence::previous_owner(now, view, &frame, self.settings.retention())
        {
            self.relay(frame, &previous, hops + 1, out);
            return;
        }
        match frame.kind() {
            Kind::Cancel => self.on_cancel_of_unknown(now, view, frame, out),
            _ => self.on_new(now, view, frame, pinned, hops, out),
        }
        self.pump(now, view, out);
    }

    pub(crate) fn relay(
        &self,
        frame: Frame,
        to: &InstanceName,
        hops: u32,
        out: &mut Vec<ShardAction>,
    ) {
        let hop_ms = self.settings.hop_ms.0 as u32;
        let deadline_ms = match frame.deadline_ms {
            0 => 0,
            left => left.saturating_sub(hop_ms).max(1),
        };
        let frame = Frame {
            elapsed_ms: frame.elapsed_ms.saturating_add(hop_ms),
            deadline_ms,
            ..frame
        };
        out.push(ShardAction::Count(CounterEvent::Relayed));
        out.push(ShardAction::SendToPeer {
            to: to.clone(),
            body: Body::Relay(Relay {
                frame: Some(frame),
                hops,
            }),
        });
    }

    /// Relays a frame to the peer that was asked to decide on its request. Returns false when no
    /// peer was.
    fn follow_asked(
        &mut self,
        view: &View,
        frame: &Frame,
        hops: u32,
        out: &mut Vec<ShardAction>,
    ) -> bool {
        let Some(asked) = self.asked.get(frame.request).cloned() else {
            return false;
        };
        if hops >= ASKED_HOPS {
            self.asked.remove(frame.request);
            return false;
        }
        match view
            .current_epoch()
            .is_some_and(|epoch| epoch.can_query(&asked))
        {
            true => self.relay(frame.clone(), &asked, ASKED_HOPS, out),
            false => refuse(frame, Refusal::OutcomeUnknown, out),
        }
        true
    }

    /// Passes a frame back to a new owner that asked this instance in vain; other frames that an
    /// instance does not own end here, since their owner may run them or refuse them.
    fn confirm(&self, view: &View, frame: Frame, hops: u32, out: &mut Vec<ShardAction>) {
        let owner = view
            .current_epoch()
            .map(|epoch| epoch.owner_of(&frame.domain, frame.request));
        match owner {
            Some(Owner::Peer(peer)) if hops == ASKED_HOPS => {
                self.relay(frame, &peer.name, CONFIRMED_HOPS, out);
            }
            _ => out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::TooManyHops,
            ))),
        }
    }

    /// Takes a request without a record.
    fn on_new(
        &mut self,
        now: Micros,
        view: &View,
        frame: Frame,
        pinned: Option<TargetId>,
        hops: u32,
        out: &mut Vec<ShardAction>,
    ) {
        // A refusal is final: a resend that left before its caller got the refusal must not make it
        // untrue.
        if let Some(refused) = self.refusals.get(frame.request) {
            refuse(&frame, refused.code, out);
            return;
        }
        if self.is_stopping && hops == ASKED_HOPS {
            self.confirm(view, frame, hops, out);
            return;
        }
        let proof = match hops {
            CONFIRMED_HOPS => Proof::Confirmed,
            _ => Proof::None,
        };
        let mut starts = now;
        if !frame.idempotent {
            let fence = self.settings.fence();
            let lease_held = self.lease.is_held(now, view);
            match fence::decide(now, view, &frame, &fence, lease_held, proof) {
                Verdict::Run => {}
                Verdict::Wait(_) if hops == ASKED_HOPS => {
                    out.push(ShardAction::Count(CounterEvent::Dropped(
                        DropReason::TooManyHops,
                    )));
                    return;
                }
                Verdict::Wait(until) => {
                    let retention = self.settings.retention();
                    let previous = fence::previous_owner(now, view, &frame, retention);
                    if let Some(previous) = previous {
                        let expires = now + retention;
                        let max = self.settings.capacity_records;
                        if self.asked.insert(frame.request, &previous, expires, max) {
                            self.relay(frame, &previous, ASKED_HOPS, out);
                        } else {
                            out.push(ShardAction::Count(CounterEvent::Dropped(
                                DropReason::TableFull,
                            )));
                        }
                        return;
                    }
                    starts = until;
                }
                Verdict::Unknown => {
                    refuse(&frame, Refusal::OutcomeUnknown, out);
                    return;
                }
                Verdict::NotOwner => {
                    self.confirm(view, frame, hops, out);
                    return;
                }
                Verdict::Silent => return,
            }
        }
        match self.prepare(now, view, frame, pinned, hops) {
            Ok(record) => self.enter(now, record, starts > now, out),
            Err((frame, code)) => self.refuse_not_run(now, frame, code, out),
        }
    }

    /// Makes the record of a request that may run, or tells why it is refused.
    #[allow(clippy::result_large_err, reason = "the frame goes back to its caller")]
    fn prepare(
        &mut self,
        now: Micros,
        view: &View,
        frame: Frame,
        pinned: Option<TargetId>,
        hops: u32,
    ) -> Result<Record, (Frame, Refusal)> {
        let Some(service) = parsed::<ServiceName>(&frame.service)
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
            class => parsed::<ClassName>(class),
        };
        let member = match frame.member.as_str() {
            "" => parsed::<MemberName>(NO_MEMBER),
            member => parsed(member),
        };
        let (Some(class), Some(member)) = (class, member) else {
            return Err((frame, Refusal::Malformed));
        };
        let Some(settings) = queue.class(&class) else {
            return Err((frame, Refusal::Malformed));
        };
        let stated_ms = match frame.deadline_ms {
            0 => settings.deadline_ms.0,
            stated => u64::from(stated),
        };
        let cap_ms = self
            .settings
            .deadline_cap_ms
            .0
            .saturating_sub(frame.elapsed_ms.into());
        let left_ms = stated_ms.min(cap_ms);
        if left_ms <= self.settings.hop_ms.0 {
            return Err((frame, Refusal::DeadlinePassed));
        }
        if self.records.len() >= self.settings.capacity_records {
            return Err((frame, Refusal::Overloaded));
        }
        Ok(Record {
            frame,
            service,
            class,
            member,
            state: RequestState::Waiting,
            received: now,
            deadline: now + Millis(left_ms),
            pinned,
            runs: Vec::new(),
            refused_by: Vec::new(),
            chosen: None,
            answer: Parts::default(),
            due: now + Millis(left_ms),
            is_cancelled: false,
            has_been_sent: false,
            hops,
        })
    }

    /// Takes a resend or cancel of a request that has a record.
    fn on_known(&mut self, now: Micros, view: &View, frame: Frame, out: &mut Vec<ShardAction>) {
        let id = frame.request;
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if !record.is_of_same_caller(&frame) {
            refuse(&frame, Refusal::Malformed, out);
            return;
        }
        record.frame.source.clone_from(&frame.source);
        record.frame.attempt = record.frame.attempt.max(frame.attempt);
        let is_cancel = frame.kind() == Kind::Cancel;
        match record.state {
            RequestState::Waiting if is_cancel => {
                self.end_not_run(now, id, Refusal::Cancelled, out);
                self.pump(now, view, out);
            }
            RequestState::Running | RequestState::Cancelling if is_cancel => {
                record.is_cancelled = true;
                self.cancel(now, view, id, out);
            }
            RequestState::Answering | RequestState::Answered => {
                for part in record.answer.held() {
                    let part = Frame {
                        source: frame.source.clone(),
                        ..part.clone()
                    };
                    to_caller(part, out);
                }
            }
            RequestState::Gone => refuse(&frame, Refusal::AnswerGone, out),
            RequestState::Unknown => refuse(&frame, Refusal::OutcomeUnknown, out),
            _ => {}
        }
    }

    /// Takes a cancel of a request without a record; it may have overtaken the request.
    fn on_cancel_of_unknown(
        &mut self,
        now: Micros,
        view: &View,
        frame: Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let refused = self.refusals.get(frame.request);
        let is_refused = refused.is_some_and(|refused| refused.code.is_proof_of_not_run());
        let is_proven =
            is_refused || fence::is_proven_by_tenure(now, view, &frame, &self.settings.fence());
        let code = match is_proven {
            true => Refusal::Cancelled,
            false => Refusal::OutcomeUnknown,
        };
        let refused = Refused { code };
        let expires = now + self.settings.retention();
        let capacity = self.settings.capacity_refusals;
        if self
            .refusals
            .insert(frame.request, refused, expires, capacity)
        {
            refuse(&frame, code, out);
        } else {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::TableFull,
            )));
        }
    }
}

/// Deals with a non-idempotent request whose owners cannot be reached.
///
/// Only an owner may say that a request was not run, since a resend may reach one. The caller sends
/// again until its deadline; a resend that comes shortly before it is told that nobody can know.
fn refuse_unreachable(frame: &Frame, out: &mut Vec<ShardAction>) {
    let is_near_deadline = frame.attempt > 0 && (1..=FINAL_REPLY_MS).contains(&frame.deadline_ms);
    if is_near_deadline {
        refuse(frame, Refusal::OutcomeUnknown, out);
    } else {
        out.push(ShardAction::Count(CounterEvent::Dropped(
            DropReason::Unreachable,
        )));
    }
}

fn parsed<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}
