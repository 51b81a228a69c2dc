//! The part of [`Requests`] that deals with targets: dispatch, answers, refusals, retries and
//! time-outs.

use ids::{Micros, Millis, Permille, hash_of, hash_pair};
use wire::frame::{Frame, Kind, Refusal};
use wire::token::TargetId;

use crate::admit::Fit;
use crate::event::{CounterEvent, Observation, ShardAction};
use crate::record::{RequestEvent, RequestState, Run};
use crate::request::Requests;
use crate::shard::refuse;
use crate::spread::Wanted;
use crate::view::View;

/// Time after which a further run of an idempotent request is tried again when no target was free.
const RERUN_AGAIN: Millis = Millis(50);

const RUN_SEED: u64 = 0x7275_6e00_0000_0001;

impl Requests {
    /// Sends waiting requests to targets while there are free slots.
    pub(crate) fn pump(&mut self, now: Micros, view: &View, out: &mut Vec<ShardAction>) {
        // After a pause the view may name targets that drain or are gone.
        if !self.lease.is_held(now, view) {
            return;
        }
        let waiting = self.queues.iter().filter(|(_, queue)| queue.waiting() > 0);
        let services: Vec<_> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            while let Some((id, target)) = self.take(now, view, &service) {
                self.dispatch(now, view, id, target, RequestEvent::Dispatch, out);
            }
        }
    }

    fn take(
        &mut self,
        now: Micros,
        view: &View,
        service: &ids::ServiceName,
    ) -> Option<(u64, TargetId)> {
        let Self {
            queues,
            records,
            spread,
            budgets,
            has_pinned,
            ..
        } = self;
        let budget = retry_budget(view);
        let free = spread.free(now, view, service, None);
        if free.is_empty() && !*has_pinned {
            return None;
        }
        queues.get_mut(service)?.take(now, |id, run_us| {
            let Some(record) = records.get(&id) else {
                return Fit::Not;
            };
            if record.has_been_sent && !budgets.allows(service, budget) {
                return Fit::Not;
            }
            let wanted = Wanted {
                service,
                domain: &record.frame.domain,
                id,
                pinned: record.pinned,
                excluded: &record.excluded(),
                waited_permille: (now.0 - record.received.0) * 1_000 / run_us.max(1),
            };
            if record.pinned.is_some() {
                return spread.choose(now, view, &wanted).map_or(Fit::Not, Fit::Now);
            }
            match spread.choose_from(&free, &wanted) {
                Some(target) => Fit::Now(target),
                None if record.has_been_sent => Fit::Not,
                None => Fit::NotYet,
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
        let Some(known) = view.targets.get(&target) else {
            return;
        };
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if record.has_been_sent {
            self.budgets.spend(&record.service);
            out.push(ShardAction::Count(CounterEvent::Retried));
        }
        record.has_been_sent = true;
        record.runs.push(Run {
            target,
            started: now,
            holds_slot: true,
            attempt: record.frame.attempt,
            number: run_number(now, view, id, target),
        });
        let hop_ms = self.settings.hop_ms.0 as u32;
        let mut frame = record.frame_at(now);
        frame.kind = Kind::Request.into();
        frame.target = known.name.to_string();
        frame.elapsed_ms = frame.elapsed_ms.saturating_add(hop_ms);
        frame.deadline_ms = frame.deadline_ms.saturating_sub(hop_ms).max(1);
        let due = match record.frame.idempotent && record.pinned.is_none() {
            true => now + Millis(record.deadline.since(now).0 / 2 + 1),
            false => record.deadline,
        };
        let due = due.min(record.deadline);
        let count = self.spread.start(target);
        out.push(ShardAction::Count(CounterEvent::Forwarded));
        out.push(ShardAction::ReportObservation(Observation::InFlight {
            target,
            count,
        }));
        out.push(ShardAction::SendToTarget {
            target,
            to: known.declared.address,
            frame,
        });
        self.settle(id, event);
        self.schedule(id, due);
    }

    /// Does what a request's timer stands for.
    pub(crate) fn on_due(&mut self, now: Micros, view: &View, id: u64, out: &mut Vec<ShardAction>) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        match record.state {
            RequestState::Waiting => self.end_not_run(now, id, Refusal::DeadlinePassed, out),
            RequestState::Running if now < record.deadline => self.rerun(now, view, id, out),
            RequestState::Running => self.cancel(now, view, id, out),
            _ => self.lose(now, id, out),
        }
    }

    /// Runs an idempotent request on a further target, because the first has been silent for half
    /// of the time left.
    fn rerun(&mut self, now: Micros, view: &View, id: u64, out: &mut Vec<ShardAction>) {
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
        let wanted = Wanted {
            service: &service,
            domain: &record.frame.domain,
            id,
            pinned: record.pinned,
            excluded: &record.excluded(),
            waited_permille: u64::MAX,
        };
        let chosen = self.spread.choose(now, view, &wanted);
        if let Some(target) = chosen
            && self.budgets.allows(&service, retry_budget(view))
        {
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.start(now, &class);
            }
            self.dispatch(now, view, id, target, RequestEvent::Rerun, out);
            return;
        }
        self.schedule(id, deadline.min(now + RERUN_AGAIN));
    }

    /// Sends a cancel to every target that may run the request, and awaits the outcome.
    pub(crate) fn cancel(&mut self, now: Micros, view: &View, id: u64, out: &mut Vec<ShardAction>) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        for run in record.runs.clone() {
            self.cancel_run(now, view, id, run.target, out);
        }
        self.settle(id, RequestEvent::Cancel);
        self.schedule(id, now + self.settings.cancel_wait_ms);
    }

    pub(crate) fn cancel_run(
        &self,
        now: Micros,
        view: &View,
        id: u64,
        target: TargetId,
        out: &mut Vec<ShardAction>,
    ) {
        let (Some(record), Some(known)) = (self.records.get(&id), view.targets.get(&target)) else {
            return;
        };
        let frame = Frame {
            kind: Kind::Cancel.into(),
            target: known.name.to_string(),
            body: Vec::new(),
            ..record.frame_at(now)
        };
        out.push(ShardAction::SendToTarget {
            target,
            to: known.declared.address,
            frame,
        });
    }

    /// Ends a request of which nothing will be learned in time. A late answer still settles it.
    pub(crate) fn lose(&mut self, now: Micros, id: u64, out: &mut Vec<ShardAction>) {
        self.settle(id, RequestEvent::Lose);
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let code = match record.state {
            RequestState::Gone => Refusal::AnswerGone,
            _ => Refusal::OutcomeUnknown,
        };
        refuse(&record.frame, code, out);
        for run in record.runs.clone() {
            if run.holds_slot {
                out.push(ShardAction::ReportObservation(Observation::TimedOut(
                    run.target,
                )));
            }
            self.release(now, id, run.target, out);
        }
    }

    /// Ends the runs on targets that the document no longer has; their answers cannot be told
    /// from those of another service's target at the same address.
    pub(crate) fn give_up_gone_targets(
        &mut self,
        now: Micros,
        view: &View,
        out: &mut Vec<ShardAction>,
    ) {
        let is_gone = |target: &TargetId| !view.targets.contains_key(target);
        let active: Vec<_> = self.timers.iter().map(|(_, id)| *id).collect();
        for id in active {
            let Some(record) = self.records.get_mut(&id) else {
                continue;
            };
            if record.state == RequestState::Waiting {
                if record.pinned.as_ref().is_some_and(is_gone) {
                    self.end_not_run(now, id, Refusal::NoTarget, out);
                }
                continue;
            }
            let runs = record.runs.clone();
            let gone: Vec<_> = runs.iter().filter(|run| is_gone(&run.target)).collect();
            if gone.is_empty() || gone.len() < runs.len() && record.chosen.is_none() {
                continue;
            }
            if record.chosen.is_some_and(|chosen| !is_gone(&chosen)) {
                continue;
            }
            let may_run_again = record.frame.idempotent && record.state == RequestState::Running;
            if !may_run_again {
                self.lose(now, id, out);
                continue;
            }
            for run in &gone {
                self.release(now, id, run.target, out);
            }
            if let Some(record) = self.records.get_mut(&id) {
                record.runs.retain(|run| !is_gone(&run.target));
                record.refused_by.extend(gone.iter().map(|run| run.target));
            }
            self.settle(id, RequestEvent::NotRun);
            self.retry(now, view, id, Refusal::NoTarget, out);
        }
    }

    /// Frees the slot of a run, once.
    pub(crate) fn release(
        &mut self,
        now: Micros,
        id: u64,
        target: TargetId,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let place = record.place();
        let Some(run) = record.run_on(target).filter(|run| run.holds_slot) else {
            return;
        };
        run.holds_slot = false;
        let run_us = now.0.saturating_sub(run.started.0);
        let count = self.spread.finish(target);
        out.push(ShardAction::ReportObservation(Observation::InFlight {
            target,
            count,
        }));
        if let Some(queue) = self.queues.get_mut(&record.service) {
            queue.finish(now, &place, run_us);
        }
    }
}

fn run_number(now: Micros, view: &View, id: u64, target: TargetId) -> u64 {
    let me = hash_of(RUN_SEED, view.instance.as_str().as_bytes());
    // Zero means that a frame belongs to no run.
    hash_pair(hash_pair(me, now.0), hash_pair(id, target.0)).max(1)
}

pub(crate) fn retry_budget(view: &View) -> Permille {
    let preset = view.document.preset_in_force();
    preset.map_or(Permille(0), |preset| preset.retry_budget)
}
