//! The part of [`Requests`] that dispatches to targets: slots, hedging, cancellation and timeouts.

use ids::{Micros, Millis, Permille, hash_of, hash_pair};
use wire::frame::{Frame, Kind, Refusal};
use wire::token::TargetId;

use crate::admission::Eligibility;
use crate::event::{CounterEvent, Observation, ShardAction};
use crate::request::Requests;
use crate::request_record::{RequestEvent, RequestState, Run};
use crate::shard::send_refusal;
use crate::target_selection::SelectionCriteria;
use crate::view::View;

/// Interval at which a hedged request is tried again while no target is free.
const HEDGE_RETRY_MS: Millis = Millis(50);

const RUN_NUMBER_SEED: u64 = 0x7275_6e00_0000_0001;

impl Requests {
    /// Dispatches queued requests to targets while slots are free.
    pub(crate) fn dispatch_waiting(
        &mut self,
        now: Micros,
        view: &View,
        out: &mut Vec<ShardAction>,
    ) {
        // After a pause, the view may contain targets that have since been drained or removed.
        if !self.lease.is_held(now, view) {
            return;
        }
        let waiting = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.waiting_count() > 0);
        let services: Vec<_> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            while let Some((id, target)) = self.next_dispatch(now, view, &service) {
                self.dispatch(now, view, id, target, RequestEvent::Dispatch, out);
            }
        }
    }

    fn next_dispatch(
        &mut self,
        now: Micros,
        view: &View,
        service: &ids::ServiceName,
    ) -> Option<(u64, TargetId)> {
        let Self {
            queues,
            records,
            selector,
            retry_budgets,
            has_seen_pinned,
            ..
        } = self;
        let budget = retry_budget(view);
        let free_targets = selector.free_targets(now, view, service, None);
        if free_targets.is_empty() && !*has_seen_pinned {
            return None;
        }
        queues.get_mut(service)?.dequeue(now, |id, mean_run_us| {
            let Some(record) = records.get(&id) else {
                return Eligibility::Ineligible;
            };
            if record.was_dispatched && !retry_budgets.allows(service, budget) {
                return Eligibility::Ineligible;
            }
            let criteria = SelectionCriteria {
                service,
                domain: &record.frame.domain,
                id,
                pinned: record.pinned,
                excluded_targets: &record.excluded_targets(),
                waited_permille: (now.0 - record.received_at.0) * 1_000 / mean_run_us.max(1),
            };
            if record.pinned.is_some() {
                return selector
                    .choose(now, view, &criteria)
                    .map_or(Eligibility::Ineligible, Eligibility::Eligible);
            }
            match selector.choose_from(&free_targets, &criteria) {
                Some(target) => Eligibility::Eligible(target),
                None if record.was_dispatched => Eligibility::Ineligible,
                None => Eligibility::Blocked,
            }
        })
    }

    fn dispatch(
        &mut self,
        now: Micros,
        view: &View,
        id: u64,
        target: TargetId,
        event: RequestEvent,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(target_view) = view.targets.get(&target) else {
            return;
        };
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if record.was_dispatched {
            self.retry_budgets.withdraw(&record.service);
            out.push(ShardAction::Count(CounterEvent::Retried));
        }
        record.was_dispatched = true;
        record.runs.push(Run {
            target,
            started_at: now,
            holds_slot: true,
            attempt: record.frame.attempt,
            number: run_number(now, view, id, target),
        });
        let hop_latency_ms = self.settings.hop_latency_ms.0 as u32;
        let mut frame = record.frame_at(now);
        frame.kind = Kind::Request.into();
        frame.target = target_view.name.to_string();
        frame.elapsed_ms = frame.elapsed_ms.saturating_add(hop_latency_ms);
        frame.deadline_ms = frame.deadline_ms.saturating_sub(hop_latency_ms).max(1);
        let due = match record.frame.idempotent && record.pinned.is_none() {
            true => now + Millis(record.deadline.since(now).0 / 2 + 1),
            false => record.deadline,
        };
        let due = due.min(record.deadline);
        let count = self.selector.request_started(target);
        out.push(ShardAction::Count(CounterEvent::Forwarded));
        out.push(ShardAction::ReportObservation(Observation::InFlight {
            target,
            count,
        }));
        out.push(ShardAction::SendToTarget {
            target,
            to: target_view.declared.address,
            frame,
        });
        self.apply_event(id, event);
        self.set_timer(id, due);
    }

    /// Handles an expired timer of a request.
    pub(crate) fn on_timer(
        &mut self,
        now: Micros,
        view: &View,
        id: u64,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        match record.state {
            RequestState::Waiting => self.end_not_run(now, id, Refusal::DeadlinePassed, out),
            RequestState::Running if now < record.deadline => self.hedge(now, view, id, out),
            RequestState::Running => self.cancel_runs(now, view, id, out),
            _ => self.give_up(now, id, out),
        }
    }

    /// Hedges an idempotent request: sends it to another target, because the first one has not
    /// answered in half of the remaining time.
    fn hedge(&mut self, now: Micros, view: &View, id: u64, out: &mut Vec<ShardAction>) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let (service, deadline) = (record.service.clone(), record.deadline);
        let class = record.class.clone();
        if let Some(run) = record.runs.last() {
            out.push(ShardAction::ReportObservation(Observation::TimedOut(
                run.target,
            )));
        }
        let criteria = SelectionCriteria {
            service: &service,
            domain: &record.frame.domain,
            id,
            pinned: record.pinned,
            excluded_targets: &record.excluded_targets(),
            waited_permille: u64::MAX,
        };
        let selected = self.selector.choose(now, view, &criteria);
        if let Some(target) = selected
            && self.retry_budgets.allows(&service, retry_budget(view))
        {
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.run_started(now, &class);
            }
            self.dispatch(now, view, id, target, RequestEvent::Hedge, out);
            return;
        }
        self.set_timer(id, deadline.min(now + HEDGE_RETRY_MS));
    }

    /// Sends a cancel to every target that may run the request, and waits for the outcome.
    pub(crate) fn cancel_runs(
        &mut self,
        now: Micros,
        view: &View,
        id: u64,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        for run in record.runs.clone() {
            self.cancel_run(now, view, id, run.target, out);
        }
        self.apply_event(id, RequestEvent::Cancel);
        self.set_timer(id, now + self.settings.cancel_timeout_ms);
    }

    pub(crate) fn cancel_run(
        &self,
        now: Micros,
        view: &View,
        id: u64,
        target: TargetId,
        out: &mut Vec<ShardAction>,
    ) {
        let (Some(record), Some(target_view)) = (self.records.get(&id), view.targets.get(&target))
        else {
            return;
        };
        let frame = Frame {
            kind: Kind::Cancel.into(),
            target: target_view.name.to_string(),
            body: Vec::new(),
            ..record.frame_at(now)
        };
        out.push(ShardAction::SendToTarget {
            target,
            to: target_view.declared.address,
            frame,
        });
    }

    /// Ends a request whose outcome stays unknown; a late answer is still accepted.
    pub(crate) fn give_up(&mut self, now: Micros, id: u64, out: &mut Vec<ShardAction>) {
        self.apply_event(id, RequestEvent::GiveUp);
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let code = match record.state {
            RequestState::AnswerGone => Refusal::AnswerGone,
            _ => Refusal::OutcomeUnknown,
        };
        send_refusal(&record.frame, code, out);
        for run in record.runs.clone() {
            if run.holds_slot {
                out.push(ShardAction::ReportObservation(Observation::TimedOut(
                    run.target,
                )));
            }
            self.release_slot(now, id, run.target, out);
        }
    }

    /// Ends the runs on targets that were removed from the document.
    ///
    /// Their answers cannot be distinguished from those of another service's target at the same
    /// address.
    pub(crate) fn end_runs_on_removed_targets(
        &mut self,
        now: Micros,
        view: &View,
        out: &mut Vec<ShardAction>,
    ) {
        let is_removed = |target: &TargetId| !view.targets.contains_key(target);
        let active_ids: Vec<_> = self.timers.iter().map(|(_, id)| *id).collect();
        for id in active_ids {
            let Some(record) = self.records.get_mut(&id) else {
                continue;
            };
            if record.state == RequestState::Waiting {
                if record.pinned.as_ref().is_some_and(is_removed) {
                    self.end_not_run(now, id, Refusal::NoTarget, out);
                }
                continue;
            }
            let runs = record.runs.clone();
            let removed: Vec<_> = runs.iter().filter(|run| is_removed(&run.target)).collect();
            if removed.is_empty() || removed.len() < runs.len() && record.answering_target.is_none()
            {
                continue;
            }
            if record
                .answering_target
                .is_some_and(|target| !is_removed(&target))
            {
                continue;
            }
            let may_run_again = record.frame.idempotent && record.state == RequestState::Running;
            if !may_run_again {
                self.give_up(now, id, out);
                continue;
            }
            for run in &removed {
                self.release_slot(now, id, run.target, out);
            }
            if let Some(record) = self.records.get_mut(&id) {
                record.runs.retain(|run| !is_removed(&run.target));
                record
                    .refused_by
                    .extend(removed.iter().map(|run| run.target));
            }
            self.apply_event(id, RequestEvent::NotRun);
            self.retry_or_refuse(now, view, id, Refusal::NoTarget, out);
        }
    }

    /// Releases the slot of a run if it still holds one.
    pub(crate) fn release_slot(
        &mut self,
        now: Micros,
        id: u64,
        target: TargetId,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let queue_key = record.queue_key();
        let Some(run) = record.run_on_mut(target).filter(|run| run.holds_slot) else {
            return;
        };
        run.holds_slot = false;
        let run_us = now.0.saturating_sub(run.started_at.0);
        let count = self.selector.request_finished(target);
        out.push(ShardAction::ReportObservation(Observation::InFlight {
            target,
            count,
        }));
        if let Some(queue) = self.queues.get_mut(&record.service) {
            queue.run_finished(now, &queue_key, run_us);
        }
    }
}

fn run_number(now: Micros, view: &View, id: u64, target: TargetId) -> u64 {
    let instance_hash = hash_of(RUN_NUMBER_SEED, view.instance.as_str().as_bytes());
    // Zero is reserved for frames that belong to no run.
    hash_pair(hash_pair(instance_hash, now.0), hash_pair(id, target.0)).max(1)
}

pub(crate) fn retry_budget(view: &View) -> Permille {
    let preset = view.document.active_preset();
    preset.map_or(Permille(0), |preset| preset.retry_budget)
}
