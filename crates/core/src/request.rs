//! Request handling: ownership, admission, dispatch and answers.
//!
//! See section 6 of [the design](../../../docs/design.md) and
//! [the page for operators](../../../docs/requests.md).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hashbrown::HashMap;
use ids::{Micros, Millis, ServiceName};
use wire::frame::{Frame, Refusal};

use crate::admission::{Admission, ServiceQueue};
use crate::answer::AnswerCache;
use crate::event::{CounterEvent, DropReason, ShardAction};
use crate::fence::{
    self, FenceDecision, FenceSettings, LocalLease, NotRunProof, OwnerQueries, SentRefusal,
    SentRefusals,
};
pub use crate::request_record::RequestState;
use crate::request_record::{RequestEvent, RequestRecord, next_state};
use crate::retry::RetryBudgets;
use crate::shard::{MAX_HOPS, send_refusal};
pub use crate::target_selection::SelectionMethod;
use crate::target_selection::TargetSelector;
use crate::view::{Owner, View};

/// Settings of request handling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSettings {
    /// Time after a change of owner during which the new owner holds back non-idempotent requests.
    pub fence_ms: Millis,
    /// Gap between ticks after which another instance may have taken over ownership.
    pub lease_ms: Millis,
    /// Maximum time from the first attempt of a request to its end.
    pub max_deadline_ms: Millis,
    /// Maximum time that a frame is expected to spend in the network; records are kept this much
    /// longer than [`Self::max_deadline_ms`].
    pub max_network_delay_ms: Millis,
    /// Assumed latency of a hop between processes, deducted from a deadline that is passed on.
    pub hop_latency_ms: Millis,
    /// Time to wait for the outcome of a cancel.
    pub cancel_timeout_ms: Millis,
    /// Waiting time beyond which requests of a member in lasting overload are refused.
    pub max_overload_wait_ms: Millis,
    /// Maximum number of request records per shard.
    pub max_records: usize,
    /// Maximum number of sent refusals that a shard remembers.
    pub max_refusals: usize,
    /// Maximum size of an answer that is kept for resends, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum size of all answers that a shard keeps for resends, in bytes.
    pub max_cached_answer_bytes: usize,
    /// How the target of a request is selected.
    pub method: SelectionMethod,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            fence_ms: Millis(1_500),
            lease_ms: Millis(1_000),
            max_deadline_ms: Millis(25_000),
            max_network_delay_ms: Millis(5_000),
            hop_latency_ms: Millis(5),
            cancel_timeout_ms: Millis(1_000),
            max_overload_wait_ms: Millis(250),
            max_records: 65_536,
            max_refusals: 262_144,
            max_answer_bytes: 256 * 1_024,
            max_cached_answer_bytes: 64 * 1_024 * 1_024,
            method: SelectionMethod::Shares,
        }
    }
}

impl RequestSettings {
    /// Returns the time after its first frame during which a request may be resent or duplicated.
    pub(crate) fn retention(&self) -> Millis {
        Millis(self.max_deadline_ms.0 + self.max_network_delay_ms.0)
    }

    pub(crate) fn fence(&self) -> FenceSettings {
        FenceSettings {
            fence_ms: self.fence_ms,
            max_deadline_ms: self.max_deadline_ms,
        }
    }
}

/// Requests of one shard.
#[derive(Debug)]
pub struct Requests {
    pub(crate) settings: RequestSettings,
    pub(crate) records: HashMap<u64, RequestRecord>,
    pub(crate) sent_refusals: SentRefusals,
    /// Whether this instance is stopping; it then accepts no new work, not even from a new owner
    /// that queries it.
    pub(crate) is_stopping: bool,
    pub(crate) queues: BTreeMap<ServiceName, ServiceQueue>,
    pub(crate) selector: TargetSelector,
    pub(crate) retry_budgets: RetryBudgets,
    /// Whether any request of a flow has arrived; without one, the queues of a service without free
    /// slots need not be searched.
    pub(crate) has_seen_pinned: bool,
    pub(crate) answer_cache: AnswerCache,
    /// Timers by expiry, one for each unfinished request.
    pub(crate) timers: BTreeSet<(Micros, u64)>,
    /// Expiry times of the records, in order.
    pub(crate) expiry_queue: VecDeque<(Micros, u64)>,
    /// Requests that wait for the end of the fence.
    pub(crate) fenced: BTreeSet<u64>,
    pub(crate) owner_queries: OwnerQueries,
    pub(crate) lease: LocalLease,
}

impl Requests {
    /// Creates an empty set of requests.
    pub fn new(settings: RequestSettings) -> Self {
        Self {
            selector: TargetSelector::new(settings.method),
            settings,
            records: HashMap::new(),
            sent_refusals: SentRefusals::default(),
            is_stopping: false,
            queues: BTreeMap::new(),
            retry_budgets: RetryBudgets::default(),
            has_seen_pinned: false,
            answer_cache: AnswerCache::default(),
            timers: BTreeSet::new(),
            expiry_queue: VecDeque::new(),
            fenced: BTreeSet::new(),
            owner_queries: OwnerQueries::default(),
            lease: LocalLease::default(),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &RequestSettings {
        &self.settings
    }

    /// Returns the number of queued requests.
    pub fn waiting_count(&self) -> usize {
        self.queues.values().map(ServiceQueue::waiting_count).sum()
    }

    /// Returns the state of a request that this shard has a record of.
    pub fn state_of(&self, id: u64) -> Option<RequestState> {
        self.records.get(&id).map(|record| record.state)
    }

    /// Returns whether no request is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.timers.is_empty()
    }

    /// Begins a graceful stop.
    pub fn on_stop(&mut self) {
        self.is_stopping = true;
    }

    /// Applies a new view; the shares and budgets of its preset take effect immediately.
    pub fn on_view(&mut self, now: Micros, view: &View, out: &mut Vec<ShardAction>) {
        self.check_lease(now);
        for (service, queue) in &mut self.queues {
            queue.configure(&view.document, service);
        }
        if !self.lease.is_held(now, view) {
            self.give_up_waiting(now);
        }
        self.end_runs_on_removed_targets(now, view, out);
        self.release_fenced(now, view, out);
        self.dispatch_waiting(now, view, out);
    }

    /// Handles timers and expiry at time `now`.
    pub fn on_tick(&mut self, now: Micros, view: &View, out: &mut Vec<ShardAction>) {
        self.check_lease(now);
        self.lease.on_tick(now);
        self.expire_records(now);
        self.release_fenced(now, view, out);
        while let Some(&(due, id)) = self.timers.first()
            && due <= now
        {
            self.on_timer(now, view, id, out);
        }
        self.refuse_overdue(now, out);
        self.dispatch_waiting(now, view, out);
    }

    /// Gives up waiting requests if this instance paused for longer than its lease.
    pub(crate) fn check_lease(&mut self, now: Micros) {
        let settings = &self.settings;
        if self
            .lease
            .detect_gap(now, settings.lease_ms, settings.fence_ms)
        {
            self.give_up_waiting(now);
        }
    }

    /// Gives up the non-idempotent requests that are waiting.
    ///
    /// They must not run after the loss of the lease, since another owner may have answered a
    /// resend in the meantime. Resends are refused with an unknown outcome.
    fn give_up_waiting(&mut self, now: Micros) {
        let waiting = self.timers.iter().map(|(_, id)| *id).filter(|id| {
            let record = self.records.get(id);
            record.is_some_and(|record| {
                record.state == RequestState::Waiting && !record.frame.idempotent
            })
        });
        for id in waiting.collect::<Vec<_>>() {
            self.dequeue(now, id);
            self.apply_event(id, RequestEvent::GiveUp);
        }
    }

    /// Adds a record and queues its request, after the fence if `is_fenced`.
    pub(crate) fn insert_record(
        &mut self,
        now: Micros,
        record: RequestRecord,
        is_fenced: bool,
        out: &mut Vec<ShardAction>,
    ) {
        let id = record.frame.request;
        self.has_seen_pinned |= record.pinned.is_some();
        self.timers.insert((record.due, id));
        self.expiry_queue
            .push_back((now + self.settings.retention(), id));
        self.records.insert(id, record);
        if is_fenced {
            self.fenced.insert(id);
        } else {
            self.enqueue(now, id, out);
        }
    }

    /// Adds a waiting request to the queue of its class.
    pub(crate) fn enqueue(&mut self, now: Micros, id: u64, out: &mut Vec<ShardAction>) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let Some(queue) = self.queues.get_mut(&record.service) else {
            return;
        };
        match queue.enqueue(now, id, &record.queue_key(), record.deadline.since(now)) {
            Admission::Queued => {}
            Admission::Displaced(other) => self.end_not_run(now, other, Refusal::Overloaded, out),
            Admission::Refused(code) => self.end_not_run(now, id, code, out),
        }
    }

    /// Queues or relays the fenced requests that no longer have to wait.
    fn release_fenced(&mut self, now: Micros, view: &View, out: &mut Vec<ShardAction>) {
        let is_lease_held = self.lease.is_held(now, view);
        for id in self.fenced.iter().copied().collect::<Vec<_>>() {
            let Some(record) = self.records.get(&id) else {
                self.fenced.remove(&id);
                continue;
            };
            let fence = self.settings.fence();
            match fence::decide(
                now,
                view,
                &record.frame,
                &fence,
                is_lease_held,
                NotRunProof::OwnRecord,
            ) {
                FenceDecision::Run => {
                    self.fenced.remove(&id);
                    self.enqueue(now, id, out);
                }
                FenceDecision::NotOwner => self.relay_fenced(now, view, id, out),
                _ => {}
            }
        }
    }

    /// Relays a fenced request, which was never sent to a target, to its owner in the newest view.
    fn relay_fenced(&mut self, now: Micros, view: &View, id: u64, out: &mut Vec<ShardAction>) {
        self.fenced.remove(&id);
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let (frame, hops) = (record.frame_at(now), record.hops);
        let owner = view
            .current_epoch()
            .map(|epoch| epoch.owner_of(&frame.domain, id));
        match owner {
            Some(Owner::Peer(peer)) if hops < MAX_HOPS && peer.name != view.instance => {
                self.remove_record(id);
                self.relay(frame, &peer.name, hops + 1, out);
            }
            _ => {
                self.remove_record(id);
                out.push(ShardAction::Count(CounterEvent::Dropped(
                    DropReason::TooManyHops,
                )));
            }
        }
    }

    /// Refuses a request as not run, and records the refusal so that no duplicate of it runs later.
    pub(crate) fn refuse_not_run(
        &mut self,
        now: Micros,
        frame: Frame,
        code: Refusal,
        out: &mut Vec<ShardAction>,
    ) {
        let refusal = SentRefusal { code };
        let expires = now + self.settings.retention();
        let capacity = self.settings.max_refusals;
        if frame.idempotent
            || self
                .sent_refusals
                .insert(frame.request, refusal, expires, capacity)
        {
            send_refusal(&frame, code, out);
        } else {
            // Without a record of the refusal a duplicate might still run, so none is sent.
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::TableFull,
            )));
        }
    }

    /// Removes the record of a request that was not run, and refuses the request.
    pub(crate) fn end_not_run(
        &mut self,
        now: Micros,
        id: u64,
        code: Refusal,
        out: &mut Vec<ShardAction>,
    ) {
        self.dequeue(now, id);
        self.apply_event(id, RequestEvent::Refuse);
        if let Some(record) = self.remove_record(id) {
            self.refuse_not_run(now, record.frame, code, out);
        }
    }

    /// Removes a waiting request from the fence and from its queue.
    pub(crate) fn dequeue(&mut self, now: Micros, id: u64) {
        self.fenced.remove(&id);
        if let Some(record) = self.records.get(&id)
            && let Some(queue) = self.queues.get_mut(&record.service)
        {
            queue.remove(now, id, &record.queue_key());
        }
    }

    /// Changes the state of a request, and removes its timer if the new state needs none.
    pub(crate) fn apply_event(&mut self, id: u64, event: RequestEvent) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        record.state = next_state(record.state, event);
        let is_active = matches!(
            record.state,
            RequestState::Waiting
                | RequestState::Running
                | RequestState::Cancelling
                | RequestState::Answering
        );
        if !is_active {
            self.timers.remove(&(record.due, id));
            record.frame.body = Vec::new();
        }
    }

    /// Sets the timer of a request.
    pub(crate) fn set_timer(&mut self, id: u64, due: Micros) {
        if let Some(record) = self.records.get_mut(&id) {
            self.timers.remove(&(record.due, id));
            record.due = due;
            self.timers.insert((due, id));
        }
    }

    pub(crate) fn remove_record(&mut self, id: u64) -> Option<RequestRecord> {
        let record = self.records.remove(&id)?;
        self.timers.remove(&(record.due, id));
        self.answer_cache.held_bytes -= record.answer.held_bytes();
        Some(record)
    }

    fn refuse_overdue(&mut self, now: Micros, out: &mut Vec<ShardAction>) {
        let mut overdue = Vec::new();
        for queue in self.queues.values_mut() {
            overdue.extend(queue.overdue_requests(now, &self.settings));
        }
        for id in overdue {
            self.end_not_run(now, id, Refusal::Overloaded, out);
        }
    }

    /// Removes everything that no resend can refer to any more.
    fn expire_records(&mut self, now: Micros) {
        self.sent_refusals.expire(now);
        self.owner_queries.expire(now);
        while let Some(id) = self.answer_cache.eviction_order.front()
            && !self.records.contains_key(id)
        {
            self.answer_cache.eviction_order.pop_front();
        }
        while let Some(&(expires, id)) = self.expiry_queue.front()
            && expires <= now
        {
            self.expiry_queue.pop_front();
            // A refused request may have been resent and have a newer record.
            let is_expired = self
                .records
                .get(&id)
                .is_some_and(|record| record.received_at + self.settings.retention() <= now);
            if is_expired && !self.timers.contains(&(self.records[&id].due, id)) {
                self.remove_record(id);
            } else if is_expired {
                self.expiry_queue
                    .push_back((now + self.settings.max_network_delay_ms, id));
            }
        }
    }
}
