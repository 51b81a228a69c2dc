//! The part of [`Requests`] that handles answers and refusals from targets.

use ids::Micros;
use wire::frame::{Frame, Kind, Refusal};
use wire::token::TargetId;

use crate::answer::PartResult;
use crate::dispatch::retry_budget;
use crate::event::{CounterEvent, DropReason, Observation, ShardAction};
use crate::request::Requests;
use crate::request_record::{RequestEvent, RequestState};
use crate::retry::is_retryable;
use crate::shard::send_to_caller;
use crate::target_selection::SelectionCriteria;
use crate::view::View;

impl Requests {
    /// Handles an answer or refusal from a target, whose identity the shard has verified.
    pub fn on_target_frame(
        &mut self,
        now: Micros,
        view: &View,
        target: TargetId,
        frame: Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let id = frame.request;
        let stated_load = frame.load.checked_sub(1);
        let Some(record) = self.records.get_mut(&id) else {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            )));
            return;
        };
        if !record.is_of_same_caller(&frame) || record.run_on_mut(target).is_none() {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            )));
            return;
        }
        let kind = frame.kind();
        // A target sends the frame that ends a request after it has freed the slot, so the stated
        // load excludes this request.
        if kind == Kind::Refuse || (kind == Kind::Answer && frame.last) {
            self.release_slot(now, id, target, out);
        }
        if let Some(stated_load) = stated_load {
            self.selector
                .record_stated_load(now, view, target, stated_load);
        }
        match kind {
            Kind::Answer => {
                self.selector.on_answer(target);
                self.on_answer_part(now, view, target, frame, stated_load, out);
            }
            Kind::Refuse => self.on_refusal(now, view, id, target, frame.refusal(), out),
            _ => out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            ))),
        }
        self.dispatch_waiting(now, view, out);
    }

    fn on_answer_part(
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
        let Some(run) = record.run_on_mut(target).copied() else {
            return;
        };
        // The first part that is passed on selects the run, so parts of two runs never mix.
        if *record.answering_target.get_or_insert(target) != target {
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
        let bytes_before = record.answer.held_bytes();
        let result = record.answer.add(&part, self.settings.max_answer_bytes);
        self.answer_cache.held_bytes =
            self.answer_cache.held_bytes + record.answer.held_bytes() - bytes_before;
        if result == PartResult::Ignored {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            )));
            return;
        }
        let timeout_at = now.max(record.deadline) + self.settings.cancel_timeout_ms;
        out.push(ShardAction::ReportObservation(Observation::Answered {
            target,
            load,
        }));
        send_to_caller(part, out);
        if result == PartResult::Complete {
            self.complete_request(now, view, id, target, out);
            return;
        }
        self.apply_event(id, RequestEvent::Part);
        if self.state_of(id) == Some(RequestState::Answering) {
            self.set_timer(id, timeout_at);
        }
    }

    fn complete_request(
        &mut self,
        now: Micros,
        view: &View,
        id: u64,
        target: TargetId,
        out: &mut Vec<ShardAction>,
    ) {
        self.apply_event(id, RequestEvent::Complete);
        out.push(ShardAction::Count(CounterEvent::Completed));
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let is_evicted = record.answer.is_evicted();
        self.retry_budgets
            .record_success(&record.service, retry_budget(view));
        for run in record.runs.clone() {
            if run.target != target {
                self.cancel_run(now, view, id, run.target, out);
            }
            self.release_slot(now, id, run.target, out);
        }
        if is_evicted {
            self.apply_event(id, RequestEvent::Evict);
            return;
        }
        self.answer_cache.eviction_order.push_back(id);
        while self.answer_cache.held_bytes > self.settings.max_cached_answer_bytes
            && let Some(oldest) = self.answer_cache.eviction_order.pop_front()
        {
            self.evict_answer(oldest);
        }
    }

    fn evict_answer(&mut self, id: u64) {
        if let Some(record) = self.records.get_mut(&id) {
            self.answer_cache.held_bytes -= record.answer.held_bytes();
            record.answer.drop_bodies();
            self.apply_event(id, RequestEvent::Evict);
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
                self.selector.on_draining(now, target);
                out.push(ShardAction::ReportObservation(Observation::Draining(
                    target,
                )));
            }
            Refusal::Overloaded => {
                self.selector.on_overloaded(now, target);
                out.push(ShardAction::ReportObservation(Observation::Overloaded(
                    target,
                )));
            }
            _ => {}
        }
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if record.answering_target == Some(target) {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            )));
            return;
        }
        if !code.proves_not_run() {
            let is_pending = record.runs.iter().any(|run| run.holds_slot);
            if !is_pending && !record.frame.idempotent {
                self.give_up(now, id, out);
            }
            return;
        }
        record.runs.retain(|run| run.target != target);
        record.refused_by.push(target);
        if !record.runs.is_empty() {
            return;
        }
        match record.state {
            RequestState::Cancelling if record.is_cancel_requested => {
                self.end_not_run(now, id, Refusal::Cancelled, out);
            }
            RequestState::Cancelling => {
                self.end_not_run(now, id, Refusal::DeadlinePassed, out);
            }
            RequestState::Running => {
                self.apply_event(id, RequestEvent::NotRun);
                self.retry_or_refuse(now, view, id, code, out);
            }
            _ => {}
        }
    }

    /// Queues a request that no target runs for a retry on another target, or refuses it with
    /// `code` if a retry is not possible.
    pub(crate) fn retry_or_refuse(
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
        let criteria = SelectionCriteria {
            service: &record.service,
            domain: &record.frame.domain,
            id,
            pinned: record.pinned,
            excluded_targets: &record.excluded_targets(),
            waited_permille: u64::MAX,
        };
        let may_retry = is_retryable(code)
            && record.pinned.is_none()
            && now + self.settings.hop_latency_ms < record.deadline
            && self.selector.has_alternative(view, &criteria)
            && retry_budget(view).0 > 0;
        if !may_retry {
            self.end_not_run(now, id, code, out);
            return;
        }
        let (queue_key, deadline) = (record.queue_key(), record.deadline);
        if let Some(queue) = self.queues.get_mut(&record.service) {
            queue.requeue(now, id, &queue_key);
        }
        self.set_timer(id, deadline);
    }
}
