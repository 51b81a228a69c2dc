//! Requests: ownership, admission, dispatch and answers, see section 6 of
//! [the design](../../../docs/design.md) and [the page for operators](../../../docs/requests.md).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hashbrown::HashMap;
use ids::{Micros, Millis, ServiceName};
use wire::frame::{Frame, Refusal};

use crate::admit::{Offer, ServiceQueue};
use crate::answer::Held;
use crate::event::{CounterEvent, DropReason, ShardAction};
use crate::fence::{self, Asked, FenceSettings, Lease, Proof, Refusals, Refused, Verdict};
pub use crate::record::RequestState;
use crate::record::{Record, RequestEvent, next};
use crate::retry::Budgets;
use crate::shard::{MAX_HOPS, refuse};
pub use crate::spread::Method;
use crate::spread::Spread;
use crate::view::{Owner, View};

/// Limits of request handling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSettings {
    /// Time after a view change during which newly owned non-idempotent requests wait.
    pub fence_ms: Millis,
    /// Gap between ticks after which this instance may have been replaced as an owner.
    pub lease_ms: Millis,
    /// Longest time from the first attempt of a request to its end.
    pub deadline_cap_ms: Millis,
    /// Longest time that a frame is expected to spend in the network; records outlive the last
    /// attempt by it.
    pub linger_ms: Millis,
    /// Time that a hop between processes is taken to last when a deadline is passed on.
    pub hop_ms: Millis,
    /// Time for which the outcome of a cancel is awaited.
    pub cancel_wait_ms: Millis,
    /// Waiting time beyond which requests of a member in lasting overload are refused.
    pub overload_wait_ms: Millis,
    /// Requests of which a shard keeps a record at most.
    pub capacity_records: usize,
    /// Refusals that a shard remembers at most.
    pub capacity_refusals: usize,
    /// Bytes of one answer that are held for resends.
    pub answer_bytes: usize,
    /// Bytes of all answers that are held for resends.
    pub answers_bytes: usize,
    /// How requests are spread over targets.
    pub method: Method,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            fence_ms: Millis(1_500),
            lease_ms: Millis(1_000),
            deadline_cap_ms: Millis(25_000),
            linger_ms: Millis(5_000),
            hop_ms: Millis(5),
            cancel_wait_ms: Millis(1_000),
            overload_wait_ms: Millis(250),
            capacity_records: 65_536,
            capacity_refusals: 262_144,
            answer_bytes: 256 * 1_024,
            answers_bytes: 64 * 1_024 * 1_024,
            method: Method::Shares,
        }
    }
}

impl RequestSettings {
    /// Returns how long after its first frame a request may still be resent or duplicated.
    pub(crate) fn retention(&self) -> Millis {
        Millis(self.deadline_cap_ms.0 + self.linger_ms.0)
    }

    pub(crate) fn fence(&self) -> FenceSettings {
        FenceSettings {
            fence_ms: self.fence_ms,
            deadline_cap_ms: self.deadline_cap_ms,
        }
    }
}

/// The requests of one shard.
#[derive(Debug)]
pub struct Requests {
    pub(crate) settings: RequestSettings,
    pub(crate) records: HashMap<u64, Record>,
    pub(crate) refusals: Refusals,
    /// Whether this instance stops and so takes no new work, also not for a new owner that asks.
    pub(crate) is_stopping: bool,
    pub(crate) queues: BTreeMap<ServiceName, ServiceQueue>,
    pub(crate) spread: Spread,
    pub(crate) budgets: Budgets,
    /// Whether a request of a flow ever came; without one, a full service needs no search.
    pub(crate) has_pinned: bool,
    pub(crate) held: Held,
    /// What is due when, one entry for each request that is not finished.
    pub(crate) timers: BTreeSet<(Micros, u64)>,
    /// Records in the order in which they expire.
    pub(crate) expiry: VecDeque<(Micros, u64)>,
    /// Requests that wait for the fence.
    pub(crate) fenced: BTreeSet<u64>,
    pub(crate) asked: Asked,
    pub(crate) lease: Lease,
}

impl Requests {
    /// Creates an empty table.
    pub fn new(settings: RequestSettings) -> Self {
        Self {
            spread: Spread::new(settings.method),
            settings,
            records: HashMap::new(),
            refusals: Refusals::default(),
            is_stopping: false,
            queues: BTreeMap::new(),
            budgets: Budgets::default(),
            has_pinned: false,
            held: Held::default(),
            timers: BTreeSet::new(),
            expiry: VecDeque::new(),
            fenced: BTreeSet::new(),
            asked: Asked::default(),
            lease: Lease::default(),
        }
    }

    /// Returns the limits in force.
    pub fn settings(&self) -> &RequestSettings {
        &self.settings
    }

    /// Returns the requests that wait for a target.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(ServiceQueue::waiting).sum()
    }

    /// Returns the state of a request that this shard has a record of.
    pub fn state_of(&self, id: u64) -> Option<RequestState> {
        self.records.get(&id).map(|record| record.state)
    }

    /// Tells whether any request is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.timers.is_empty()
    }

    /// Begins a graceful stop.
    pub fn on_stop(&mut self) {
        self.is_stopping = true;
    }

    /// Takes a new view; the shares and budgets of its preset apply at once.
    pub fn on_view(&mut self, now: Micros, view: &View, out: &mut Vec<ShardAction>) {
        self.watch_lease(now);
        for (service, queue) in &mut self.queues {
            queue.configure(&view.document, service);
        }
        if !self.lease.is_held(now, view) {
            self.distrust_waiting(now);
        }
        self.give_up_gone_targets(now, view, out);
        self.release_fenced(now, view, out);
        self.pump(now, view, out);
    }

    /// Does what is due at time `now`.
    pub fn on_tick(&mut self, now: Micros, view: &View, out: &mut Vec<ShardAction>) {
        self.watch_lease(now);
        self.lease.on_tick(now);
        self.expire(now);
        self.release_fenced(now, view, out);
        while let Some(&(due, id)) = self.timers.first()
            && due <= now
        {
            self.on_due(now, view, id, out);
        }
        self.refuse_overdue(now, out);
        self.pump(now, view, out);
    }

    /// Ends what this instance might have lost to another owner while it paused.
    pub(crate) fn watch_lease(&mut self, now: Micros) {
        let settings = &self.settings;
        if self
            .lease
            .on_event(now, settings.lease_ms, settings.fence_ms)
        {
            self.distrust_waiting(now);
        }
    }

    /// Non-idempotent requests that waited when the lease ended are never run: another owner may
    /// have answered a resend since. Resends are told that the outcome is unknown.
    fn distrust_waiting(&mut self, now: Micros) {
        let waiting = self.timers.iter().map(|(_, id)| *id).filter(|id| {
            let record = self.records.get(id);
            record.is_some_and(|record| {
                record.state == RequestState::Waiting && !record.frame.idempotent
            })
        });
        for id in waiting.collect::<Vec<_>>() {
            self.unqueue(now, id);
            self.settle(id, RequestEvent::Lose);
        }
    }

    /// Adds a record and lets it wait for a target, or for the fence before that.
    pub(crate) fn enter(
        &mut self,
        now: Micros,
        record: Record,
        is_fenced: bool,
        out: &mut Vec<ShardAction>,
    ) {
        let id = record.frame.request;
        self.has_pinned |= record.pinned.is_some();
        self.timers.insert((record.due, id));
        self.expiry.push_back((now + self.settings.retention(), id));
        self.records.insert(id, record);
        if is_fenced {
            self.fenced.insert(id);
        } else {
            self.offer(now, id, out);
        }
    }

    /// Offers a waiting request to the queue of its class.
    pub(crate) fn offer(&mut self, now: Micros, id: u64, out: &mut Vec<ShardAction>) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        let Some(queue) = self.queues.get_mut(&record.service) else {
            return;
        };
        match queue.offer(now, id, &record.place(), record.deadline.since(now)) {
            Offer::Waits => {}
            Offer::Displaced(other) => self.end_not_run(now, other, Refusal::Overloaded, out),
            Offer::Refused(code) => self.end_not_run(now, id, code, out),
        }
    }

    /// Takes requests out of the fence once it allows them to run.
    fn release_fenced(&mut self, now: Micros, view: &View, out: &mut Vec<ShardAction>) {
        let lease_held = self.lease.is_held(now, view);
        for id in self.fenced.iter().copied().collect::<Vec<_>>() {
            let Some(record) = self.records.get(&id) else {
                self.fenced.remove(&id);
                continue;
            };
            let fence = self.settings.fence();
            match fence::decide(now, view, &record.frame, &fence, lease_held, Proof::NotRun) {
                Verdict::Run => {
                    self.fenced.remove(&id);
                    self.offer(now, id, out);
                }
                Verdict::NotOwner => self.pass_on_fenced(now, view, id, out),
                _ => {}
            }
        }
    }

    /// Relays a request that was never sent to the owner that a newer view names.
    fn pass_on_fenced(&mut self, now: Micros, view: &View, id: u64, out: &mut Vec<ShardAction>) {
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
                self.forget(id);
                self.relay(frame, &peer.name, hops + 1, out);
            }
            _ => {
                self.forget(id);
                out.push(ShardAction::Count(CounterEvent::Dropped(
                    DropReason::TooManyHops,
                )));
            }
        }
    }

    /// Refuses a request as not run and makes sure that no duplicate of the frame runs later.
    pub(crate) fn refuse_not_run(
        &mut self,
        now: Micros,
        frame: Frame,
        code: Refusal,
        out: &mut Vec<ShardAction>,
    ) {
        let refused = Refused { code };
        let expires = now + self.settings.retention();
        let capacity = self.settings.capacity_refusals;
        if frame.idempotent
            || self
                .refusals
                .insert(frame.request, refused, expires, capacity)
        {
            refuse(&frame, code, out);
        } else {
            // Without a note of it the refusal might not stay true, so nothing is claimed.
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::TableFull,
            )));
        }
    }

    /// Ends a request that has a record and was not run.
    pub(crate) fn end_not_run(
        &mut self,
        now: Micros,
        id: u64,
        code: Refusal,
        out: &mut Vec<ShardAction>,
    ) {
        self.unqueue(now, id);
        self.settle(id, RequestEvent::Refuse);
        if let Some(record) = self.forget(id) {
            self.refuse_not_run(now, record.frame, code, out);
        }
    }

    /// Takes a waiting request out of its queue.
    pub(crate) fn unqueue(&mut self, now: Micros, id: u64) {
        self.fenced.remove(&id);
        if let Some(record) = self.records.get(&id)
            && let Some(queue) = self.queues.get_mut(&record.service)
        {
            queue.remove(now, id, &record.place());
        }
    }

    /// Changes the state of a request, and ends its timer when nothing more is due.
    pub(crate) fn settle(&mut self, id: u64, event: RequestEvent) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        record.state = next(record.state, event);
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

    /// Sets the time at which a request is looked at next.
    pub(crate) fn schedule(&mut self, id: u64, due: Micros) {
        if let Some(record) = self.records.get_mut(&id) {
            self.timers.remove(&(record.due, id));
            record.due = due;
            self.timers.insert((due, id));
        }
    }

    pub(crate) fn forget(&mut self, id: u64) -> Option<Record> {
        let record = self.records.remove(&id)?;
        self.timers.remove(&(record.due, id));
        self.held.bytes -= record.answer.bytes();
        Some(record)
    }

    fn refuse_overdue(&mut self, now: Micros, out: &mut Vec<ShardAction>) {
        let mut overdue = Vec::new();
        for queue in self.queues.values_mut() {
            overdue.extend(queue.overdue(now, &self.settings));
        }
        for id in overdue {
            self.end_not_run(now, id, Refusal::Overloaded, out);
        }
    }

    /// Forgets what no resend can ask for any more.
    fn expire(&mut self, now: Micros) {
        self.refusals.expire(now);
        self.asked.expire(now);
        while let Some(id) = self.held.order.front()
            && !self.records.contains_key(id)
        {
            self.held.order.pop_front();
        }
        while let Some(&(expires, id)) = self.expiry.front()
            && expires <= now
        {
            self.expiry.pop_front();
            // A refused id may have come back with a younger record.
            let is_old = self
                .records
                .get(&id)
                .is_some_and(|record| record.received + self.settings.retention() <= now);
            if is_old && !self.timers.contains(&(self.records[&id].due, id)) {
                self.forget(id);
            } else if is_old {
                self.expiry.push_back((now + self.settings.linger_ms, id));
            }
        }
    }
}
