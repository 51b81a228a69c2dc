//! The part of [`Requests`] that takes answers and refusals from targets.

use ids::Micros;
use wire::frame::{Frame, Kind, Refusal};
use wire::token::TargetId;

use crate::answer::Added;
use crate::dispatch::retry_budget;
use crate::event::{CounterEvent, DropReason, Observation, ShardAction};
use crate::record::{RequestEvent, RequestState};
use crate::request::Requests;
use crate::retry::is_worth_another_target;
use crate::shard::to_caller;
use crate::spread::Wanted;
use crate::view::View;

impl Requests {
    /// Takes an answer or refusal from a target; the sender's identity is already checked.
    pub fn on_target(
        &mut self,
        now: Micros,
        view: &View,
        target: TargetId,
        frame: Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let id = frame.request;
        let stated = frame.load.checked_sub(1);
        let Some(record) = self.records.get_mut(&id) else {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            )));
            return;
        };
        if !record.is_of_same_caller(&frame) || record.run_on(target).is_none() {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            )));
            return;
        }
        let kind = frame.kind();
        // The frame that ends a request is sent after its slot is free, so its load excludes it.
        if kind == Kind::Refuse || (kind == Kind::Answer && frame.last) {
            self.release(now, id, target, out);
        }
        if let Some(stated) = stated {
            self.spread.claim(now, view, target, stated);
        }
        match kind {
            Kind::Answer => {
                self.spread.answered(target);
                self.on_part(now, view, target, frame, stated, out);
            }
            Kind::Refuse => self.on_refusal(now, view, id, target, frame.refusal(), out),
            _ => out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            ))),
        }
        self.pump(now, view, out);
    }

    fn on_part(
        &mut self,
        now: Micros,
        view: &View,
        target: TargetId,
        frame: Frame,
        load: Option<u32>,
        out: &mut Vec<ShardAction>,
    ) {
        let id = frame.request;
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let Some(run) = record.run_on(target).copied() else {
            return;
        };
        // The first part that is passed on chooses the run: parts of two runs never mix.
        if *record.chosen.get_or_insert(target) != target {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            )));
            return;
        }
        let part = Frame {
            attempt: run.attempt,
            run: run.number,
            source: record.frame.source.clone(),
            load: 0,
            ..frame
        };
        let held_before = record.answer.bytes();
        let added = record.answer.add(&part, self.settings.answer_bytes);
        self.held.bytes = self.held.bytes + record.answer.bytes() - held_before;
        if added == Added::Ignored {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            )));
            return;
        }
        let due = now.max(record.deadline) + self.settings.cancel_wait_ms;
        out.push(ShardAction::ReportObservation(Observation::Answered {
            target,
            load,
        }));
        to_caller(part, out);
        if added == Added::Whole {
            self.complete(now, view, id, target, out);
            return;
        }
        self.settle(id, RequestEvent::Part);
        if self.state_of(id) == Some(RequestState::Answering) {
            self.schedule(id, due);
        }
    }

    fn complete(
        &mut self,
        now: Micros,
        view: &View,
        id: u64,
        target: TargetId,
        out: &mut Vec<ShardAction>,
    ) {
        self.settle(id, RequestEvent::Whole);
        out.push(ShardAction::Count(CounterEvent::Completed));
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let is_evicted = record.answer.is_evicted();
        self.budgets.succeed(&record.service, retry_budget(view));
        for run in record.runs.clone() {
            if run.target != target {
                self.cancel_run(now, view, id, run.target, out);
            }
            self.release(now, id, run.target, out);
        }
        if is_evicted {
            self.settle(id, RequestEvent::Evict);
            return;
        }
        self.held.order.push_back(id);
        while self.held.bytes > self.settings.answers_bytes
            && let Some(oldest) = self.held.order.pop_front()
        {
            self.evict(oldest);
        }
    }

    fn evict(&mut self, id: u64) {
        if let Some(record) = self.records.get_mut(&id) {
            self.held.bytes -= record.answer.bytes();
            record.answer.drop_bodies();
            self.settle(id, RequestEvent::Evict);
        }
    }

    fn on_refusal(
        &mut self,
        now: Micros,
        view: &View,
        id: u64,
        target: TargetId,
        code: Refusal,
        out: &mut Vec<ShardAction>,
    ) {
        match code {
            Refusal::Draining => {
                self.spread.drain(now, target);
                out.push(ShardAction::ReportObservation(Observation::Draining(
                    target,
                )));
            }
            Refusal::Overloaded => {
                self.spread.shed(now, target);
                out.push(ShardAction::ReportObservation(Observation::Overloaded(
                    target,
                )));
            }
            _ => {}
        }
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if record.chosen == Some(target) {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            )));
            return;
        }
        if !code.is_proof_of_not_run() {
            let is_pending = record.runs.iter().any(|run| run.holds_slot);
            if !is_pending && !record.frame.idempotent {
                self.lose(now, id, out);
            }
            return;
        }
        record.runs.retain(|run| run.target != target);
        record.refused_by.push(target);
        if !record.runs.is_empty() {
            return;
        }
        match record.state {
            RequestState::Cancelling if record.is_cancelled => {
                self.end_not_run(now, id, Refusal::Cancelled, out);
            }
            RequestState::Cancelling => {
                self.end_not_run(now, id, Refusal::DeadlinePassed, out);
            }
            RequestState::Running => {
                self.settle(id, RequestEvent::NotRun);
                self.retry(now, view, id, code, out);
            }
            _ => {}
        }
    }

    /// Lets a request that no target runs wait for another one and for the retry budget, or refuses
    /// it with `code`.
    pub(crate) fn retry(
        &mut self,
        now: Micros,
        view: &View,
        id: u64,
        code: Refusal,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let wanted = Wanted {
            service: &record.service,
            domain: &record.frame.domain,
            id,
            pinned: record.pinned,
            excluded: &record.excluded(),
            waited_permille: u64::MAX,
        };
        let may_retry = is_worth_another_target(code)
            && record.pinned.is_none()
            && now + self.settings.hop_ms < record.deadline
            && self.spread.has_other(view, &wanted)
            && retry_budget(view).0 > 0;
        if !may_retry {
            self.end_not_run(now, id, code, out);
            return;
        }
        let (place, deadline) = (record.place(), record.deadline);
        if let Some(queue) = self.queues.get_mut(&record.service) {
            queue.put_back(now, id, &place);
        }
        self.schedule(id, deadline);
    }
}
