//! Admission control and fair queueing of requests.
//!
//! Each service has its own queues, so a flood of one service never delays another. Within a
//! service, each class is guaranteed its share of the slots that this instance uses; unused share
//! goes to the other classes by priority. Within a class, members are served by deficit round
//! robin. Requests that cannot start before their deadline are refused on arrival.

use std::collections::{BTreeMap, VecDeque};

use conf::Document;
use conf::model::Class;
use ids::{ClassName, MemberName, Micros, Millis, Permille, ServiceName};
use wire::frame::Refusal;

use crate::request::RequestSettings;

/// Bound of a class's slot credit in both directions, so that old surpluses and debts expire.
const MAX_SLOT_CREDIT_US: i64 = 1_000_000;

/// Assumed mean duration of a run until the first one has ended.
const INITIAL_MEAN_RUN_US: u64 = 20_000;

/// The newest value has a weight of one in this many in exponential moving averages.
const MEAN_DIVISOR: u64 = 8;

/// Number of requests of a member that are checked for an eligible one.
///
/// A request that waits for the target of its flow must not block the requests behind it, and the
/// search must stay short.
const MAX_LOOKAHEAD_REQUESTS: usize = 8;

/// Maximum debt of a member in quanta; it bounds the rounds of a search.
const MAX_DEBT_QUANTA: i64 = 4;

/// Lower bound of the overload wait limit, in mean runs; it applies if the setting is shorter.
const MIN_OVERLOAD_WAIT_RUNS: u64 = 4;

/// Identifies a queue within a service.
#[derive(Debug, Clone)]
pub(crate) struct QueueKey {
    /// Class of the request.
    pub class: ClassName,
    /// Member on whose behalf the request waits.
    pub member: MemberName,
}

/// Result of enqueueing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The request is queued.
    Queued,
    /// The request is queued and displaced this one, which must be refused.
    Displaced(u64),
    /// The request is not queued and must be refused with this code.
    Refused(Refusal),
}

/// Whether a queued request can be dispatched now.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Eligibility<T> {
    /// It can be dispatched.
    Eligible(T),
    /// It cannot be dispatched, but a later request of the same member may be.
    Ineligible,
    /// It cannot be dispatched, nor can any later request of the same member.
    Blocked,
}

/// Queues of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    /// Classes in order of priority.
    classes: Vec<ClassQueue>,
    /// Time up to which the slot credits are accounted.
    credited_until: Micros,
}

#[derive(Debug)]
struct ClassQueue {
    name: ClassName,
    class: Class,
    waiting_count: usize,
    in_flight: u32,
    members: BTreeMap<MemberName, MemberQueue>,
    /// Members with queued requests, in round-robin order.
    turn_order: VecDeque<MemberName>,
    /// Slot time that the class is owed; negative if it used more than its share.
    slot_credit_us: i64,
    /// Moving average of the duration of a run.
    mean_run_us: u64,
    /// Moving average of the time between two dispatches while requests are queued.
    mean_dispatch_interval_us: Option<u64>,
    /// Time of the last dispatch, if it left requests in the queue.
    last_dispatch_at: Option<Micros>,
}

#[derive(Debug)]
struct MemberQueue {
    /// Request ids with the time at which each was queued.
    requests: VecDeque<(u64, Micros)>,
    /// Deficit counter; the member may dispatch while it is positive.
    deficit_us: i64,
    /// Time since which the queue has never been empty.
    backlogged_since: Micros,
}

impl ServiceQueue {
    /// Applies the classes and shares of the active preset.
    pub fn configure(&mut self, document: &Document, name: &ServiceName) {
        let Some(service) = document.services.get(name) else {
            return;
        };
        for (class, declared) in &service.classes {
            let share = document.class_share(name, class).unwrap_or(Permille(0));
            let declared = Class {
                share,
                ..declared.clone()
            };
            match self.classes.iter_mut().find(|queue| queue.name == *class) {
                Some(queue) => queue.class = declared,
                None => self.classes.push(ClassQueue::new(class.clone(), declared)),
            }
        }
        self.classes.sort_by(|a, b| {
            let by_priority = a.class.priority.cmp(&b.class.priority);
            by_priority.then_with(|| a.name.cmp(&b.name))
        });
    }

    /// Returns the configuration of a class.
    pub fn class(&self, name: &ClassName) -> Option<&Class> {
        let queue = self.classes.iter().find(|queue| queue.name == *name)?;
        Some(&queue.class)
    }

    /// Returns the class of requests that name none: the one with the lowest priority.
    pub fn default_class(&self) -> Option<&ClassName> {
        self.classes.last().map(|queue| &queue.name)
    }

    /// Returns the number of queued requests.
    pub fn waiting_count(&self) -> usize {
        self.classes.iter().map(|queue| queue.waiting_count).sum()
    }

    /// Queues a request whose deadline expires after `remaining`.
    pub fn enqueue(
        &mut self,
        now: Micros,
        id: u64,
        key: &QueueKey,
        remaining: Millis,
    ) -> Admission {
        self.update_credits(now);
        match self.class_queue_mut(&key.class) {
            Some(queue) => queue.enqueue(now, id, &key.member, remaining),
            None => Admission::Refused(Refusal::Malformed),
        }
    }

    /// Puts a request that was admitted before back at the head of its member's queue.
    pub fn requeue(&mut self, now: Micros, id: u64, key: &QueueKey) {
        self.update_credits(now);
        if let Some(queue) = self.class_queue_mut(&key.class) {
            queue
                .member_queue_mut(now, &key.member)
                .requests
                .push_front((id, now));
            queue.waiting_count += 1;
        }
    }

    /// Removes a queued request.
    pub fn remove(&mut self, now: Micros, id: u64, key: &QueueKey) {
        self.update_credits(now);
        if let Some(queue) = self.class_queue_mut(&key.class) {
            queue.remove(id, &key.member);
        }
    }

    /// Removes and returns the next request for which `check` finds a target.
    ///
    /// `check` gets the request id and the mean duration of a run of its class.
    pub fn dequeue<T>(
        &mut self,
        now: Micros,
        mut check: impl FnMut(u64, u64) -> Eligibility<T>,
    ) -> Option<(u64, T)> {
        self.update_credits(now);
        // Classes that used less than their share come first, then the others, each by priority.
        for is_credit_pass in [true, false] {
            for queue in &mut self.classes {
                let has_credit = queue.slot_credit_us > 0;
                if queue.waiting_count == 0 || has_credit != is_credit_pass {
                    continue;
                }
                if let Some(found) = queue.dequeue(now, &mut check) {
                    return Some(found);
                }
            }
        }
        None
    }

    /// Records that a run started without passing through the queue.
    pub fn run_started(&mut self, now: Micros, class: &ClassName) {
        self.update_credits(now);
        if let Some(queue) = self.class_queue_mut(class) {
            queue.in_flight += 1;
        }
    }

    /// Records that a run ended after `run_us`.
    pub fn run_finished(&mut self, now: Micros, key: &QueueKey, run_us: u64) {
        self.update_credits(now);
        let Some(queue) = self.class_queue_mut(&key.class) else {
            return;
        };
        queue.in_flight = queue.in_flight.saturating_sub(1);
        let expected_us = queue.mean_run_us as i64;
        if let Some(member) = queue.members.get_mut(&key.member) {
            // Short runs give no refund, because a member whose queue was empty was never charged
            // for them.
            let excess_us = (run_us as i64 - expected_us).max(0);
            let min_deficit_us = -MAX_DEBT_QUANTA * expected_us;
            member.deficit_us = (member.deficit_us - excess_us).max(min_deficit_us);
        }
        queue.mean_run_us = moving_mean(queue.mean_run_us, run_us).max(1);
    }

    /// Returns the requests that exceed the wait limit of a lasting overload.
    ///
    /// A member whose queue has not been empty for some time sends more than its fair rate. Without
    /// this limit, all its requests would wait until just before their deadlines.
    pub fn overdue_requests(&mut self, now: Micros, settings: &RequestSettings) -> Vec<u64> {
        let mut overdue = Vec::new();
        for queue in &self.classes {
            let runs_ms = MIN_OVERLOAD_WAIT_RUNS * queue.mean_run_us / 1_000;
            let limit = Millis(settings.max_overload_wait_ms.0.max(runs_ms));
            for member in queue.members.values() {
                if now.since(member.backlogged_since).0 <= 2 * limit.0 {
                    continue;
                }
                let over_limit = member
                    .requests
                    .iter()
                    .take_while(|(_, at)| now.since(*at) > limit);
                overdue.extend(over_limit.map(|(id, _)| *id));
            }
        }
        overdue
    }

    fn class_queue_mut(&mut self, class: &ClassName) -> Option<&mut ClassQueue> {
        self.classes.iter_mut().find(|queue| queue.name == *class)
    }

    /// Accounts slot time of all classes up to `now`.
    fn update_credits(&mut self, now: Micros) {
        let elapsed_us = now.0.saturating_sub(self.credited_until.0) as i64;
        self.credited_until = now;
        let total_in_flight: i64 = self
            .classes
            .iter()
            .map(|queue| i64::from(queue.in_flight))
            .sum();
        for queue in &mut self.classes {
            if queue.waiting_count == 0 {
                // A class without queued work is owed nothing, and its use delays no other class.
                queue.slot_credit_us = 0;
                continue;
            }
            let entitled_permille = i64::from(queue.class.share.0) * total_in_flight;
            let used_permille = i64::from(queue.in_flight) * 1_000;
            let change = elapsed_us.saturating_mul(entitled_permille - used_permille) / 1_000;
            queue.slot_credit_us =
                (queue.slot_credit_us + change).clamp(-MAX_SLOT_CREDIT_US, MAX_SLOT_CREDIT_US);
        }
    }
}

impl ClassQueue {
    fn new(name: ClassName, class: Class) -> Self {
        Self {
            name,
            class,
            waiting_count: 0,
            in_flight: 0,
            members: BTreeMap::new(),
            turn_order: VecDeque::new(),
            slot_credit_us: 0,
            mean_run_us: INITIAL_MEAN_RUN_US,
            mean_dispatch_interval_us: None,
            last_dispatch_at: None,
        }
    }

    fn member_queue_mut(&mut self, now: Micros, name: &MemberName) -> &mut MemberQueue {
        if !self.members.contains_key(name) {
            self.turn_order.push_back(name.clone());
        }
        self.members
            .entry(name.clone())
            .or_insert_with(|| MemberQueue {
                requests: VecDeque::new(),
                deficit_us: 0,
                backlogged_since: now,
            })
    }

    fn enqueue(
        &mut self,
        now: Micros,
        id: u64,
        member: &MemberName,
        remaining: Millis,
    ) -> Admission {
        let member_len = self
            .members
            .get(member)
            .map_or(0, |queue| queue.requests.len());
        if member_len >= self.class.max_member_queue_len as usize {
            return Admission::Refused(Refusal::Overloaded);
        }
        if self.expected_wait_us(member_len) > remaining.0 * 1_000 {
            return Admission::Refused(Refusal::DeadlinePassed);
        }
        let mut displaced = None;
        if self.waiting_count >= self.class.max_queue_len as usize {
            displaced = self.newest_of_longest_queue(member_len);
            if displaced.is_none() {
                return Admission::Refused(Refusal::Overloaded);
            }
        }
        self.member_queue_mut(now, member)
            .requests
            .push_back((id, now));
        self.waiting_count += 1;
        match displaced {
            Some((id, member)) => {
                self.remove(id, &member);
                Admission::Displaced(id)
            }
            None => Admission::Queued,
        }
    }

    /// Estimates the wait of the next request of a member that has `member_len` queued requests.
    fn expected_wait_us(&self, member_len: usize) -> u64 {
        let Some(interval_us) = self.mean_dispatch_interval_us else {
            return 0;
        };
        let turns = (member_len + 1) * self.turn_order.len().max(1);
        turns.min(self.waiting_count + 1) as u64 * interval_us
    }

    /// Returns the newest request of the longest member queue, if that queue is longer than one of
    /// `member_len` plus one, so that a full class does not shut out members with short queues.
    fn newest_of_longest_queue(&self, member_len: usize) -> Option<(u64, MemberName)> {
        let (member, queue) = self
            .members
            .iter()
            .max_by_key(|(_, queue)| queue.requests.len())?;
        if queue.requests.len() <= member_len + 1 {
            return None;
        }
        let (id, _) = queue.requests.back()?;
        Some((*id, member.clone()))
    }

    fn remove(&mut self, id: u64, member: &MemberName) {
        let Some(queue) = self.members.get_mut(member) else {
            return;
        };
        let len_before = queue.requests.len();
        queue.requests.retain(|(queued, _)| *queued != id);
        self.waiting_count -= len_before - queue.requests.len();
        if queue.requests.is_empty() {
            self.remove_member(member);
        }
    }

    fn remove_member(&mut self, member: &MemberName) {
        self.members.remove(member);
        self.turn_order.retain(|waiting| waiting != member);
    }

    fn dequeue<T>(
        &mut self,
        now: Micros,
        check: &mut impl FnMut(u64, u64) -> Eligibility<T>,
    ) -> Option<(u64, T)> {
        let mean_run_us = self.mean_run_us;
        let quantum_us = mean_run_us as i64;
        let mut blocked_members = 0;
        // Each round adds a quantum, so these rounds are enough to pay off the maximum debt.
        for _ in 0..self.turn_order.len() * (MAX_DEBT_QUANTA as usize + 2) {
            let name = self.turn_order.front()?.clone();
            let queue = self.members.get_mut(&name)?;
            if queue.deficit_us <= 0 {
                queue.deficit_us += quantum_us;
                self.turn_order.rotate_left(1);
                continue;
            }
            let mut found = None;
            for (index, (id, _)) in queue
                .requests
                .iter()
                .take(MAX_LOOKAHEAD_REQUESTS)
                .enumerate()
            {
                match check(*id, mean_run_us) {
                    Eligibility::Eligible(target) => found = Some((index, *id, target)),
                    Eligibility::Ineligible => continue,
                    Eligibility::Blocked => {}
                }
                break;
            }
            let Some((index, id, target)) = found else {
                blocked_members += 1;
                if blocked_members >= self.turn_order.len() {
                    return None;
                }
                self.turn_order.rotate_left(1);
                continue;
            };
            queue.requests.remove(index);
            // A remainder left by a change of the mean run would grant a second dispatch per round.
            queue.deficit_us = (queue.deficit_us - quantum_us).min(0);
            if queue.requests.is_empty() {
                self.remove_member(&name);
            }
            self.record_dispatch(now);
            return Some((id, target));
        }
        None
    }

    fn record_dispatch(&mut self, now: Micros) {
        self.waiting_count -= 1;
        self.in_flight += 1;
        if let Some(last) = self.last_dispatch_at {
            let interval_us = now.0.saturating_sub(last.0);
            let mean = self.mean_dispatch_interval_us.unwrap_or(interval_us);
            self.mean_dispatch_interval_us = Some(moving_mean(mean, interval_us));
        }
        self.last_dispatch_at = (self.waiting_count > 0).then_some(now);
    }
}

fn moving_mean(mean: u64, newest: u64) -> u64 {
    (mean * (MEAN_DIVISOR - 1) + newest) / MEAN_DIVISOR
}
