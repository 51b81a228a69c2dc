//! Selection of the target of a request, based on counts of requests in flight.

use hashbrown::HashMap;
use ids::{Micros, Millis, ServiceName, hash_pair};
use wire::token::TargetId;

use crate::placement;
use crate::view::{TargetSet, TargetView, View};

/// Time for which the load stated by a target is preferred to the load vectors of the peers, which
/// arrive 5 times a second.
const STATED_LOAD_VALIDITY_MS: Millis = Millis(100);

/// Initial time for which a target that refused as overloaded gets no requests; about one short
/// run.
///
/// It doubles with each consecutive refusal, since a target that refuses everything would otherwise
/// use up the retry budget of the service.
const OVERLOAD_BACKOFF_MS: Millis = Millis(20);

/// Maximum number of doublings of [`OVERLOAD_BACKOFF_MS`], which gives 2,560 ms.
const MAX_OVERLOAD_BACKOFF_DOUBLINGS: u32 = 7;

/// Time for which a target that refused as draining gets no requests.
///
/// By then the control plane has informed all shards; if not, the target is tried again.
const DRAINING_BACKOFF_MS: Millis = Millis(3_000);

/// Utilization above which no slots are borrowed.
///
/// An instance hit by a flood otherwise borrows slots that the others need: in `lab flood`, they
/// kept 78% of their goodput without this limit and 90% with a limit of 0.8.
const MAX_UTILIZATION_TO_BORROW: f64 = 0.65;
/// Wait before a slot is borrowed at full utilization, in mean runs.
///
/// In `lab spread` at 30% to 95% load, targets refused 17% of the requests at 70% load without this
/// wait; with 16 runs and an exponent of 5, the p99 wait was half as long again.
const MAX_BORROW_DELAY_RUNS: f64 = 4.0;

/// Power of the utilization to which the wait of [`MAX_BORROW_DELAY_RUNS`] is proportional.
const BORROW_DELAY_EXPONENT: i32 = 3;

/// Capacity of a target that is not warming up.
const FULL_CAPACITY_PERMILLE: u32 = 1_000;

/// Mean difference between the load stated by a target and the peers' load vectors, in thousandths
/// of a request, above which the statements are ignored.
///
/// Both lag behind, but only a false statement differs on average.
const MAX_STATED_LOAD_BIAS_MILLI: i64 = 1_000;

/// The newest statement has a weight of one in this many in the mean difference.
const BIAS_MEAN_DIVISOR: i64 = 16;

/// How the target of a request is selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionMethod {
    /// By hash of the request id, regardless of load; the baseline for comparisons.
    Hash,
    /// Power of two choices among the targets whose counts show free slots.
    Counts,
    /// Each instance uses its assigned slots first and borrows others that the counts show free.
    Shares,
}

/// Selects targets, based on what a shard knows about their load.
#[derive(Debug)]
pub(crate) struct TargetSelector {
    method: SelectionMethod,
    loads: HashMap<TargetId, TargetLoad>,
}

#[derive(Debug, Clone, Copy, Default)]
struct TargetLoad {
    /// Number of requests in flight from this shard.
    own_in_flight: u32,
    /// Number of requests in flight from others that the target last stated, and when it did.
    stated_by_others: Option<(u32, Micros)>,
    /// Mean difference of the target's statements from the peers' load vectors, in thousandths.
    bias_milli: i64,
    /// Time until which the target gets no requests after a refusal.
    unavailable_until: Micros,
    /// Number of refusals as overloaded since the last answer.
    overload_refusals: u32,
}

/// Criteria for the target of a request.
#[derive(Debug)]
pub(crate) struct SelectionCriteria<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Failure domain of the caller.
    pub domain: &'a str,
    /// Request id, which seeds all pseudo-random choices.
    pub id: u64,
    /// Target of the request's flow, the only one that may run it.
    pub pinned: Option<TargetId>,
    /// Targets that must not get the request.
    pub excluded_targets: &'a [TargetId],
    /// Time that the request has waited, in thousandths of the mean run of its class.
    pub waited_permille: u64,
}

/// A target with a free slot.
#[derive(Debug, Clone, Copy)]
struct TargetOption<'a> {
    target: TargetId,
    domain: &'a str,
    /// Requests in flight relative to the capacity.
    load_permille: u32,
    /// Whether one of the slots assigned to this instance is free.
    has_own_slot: bool,
}

/// Targets of a service that have free slots at one moment, in the order of their ids.
///
/// One search serves all queued requests, so that a long queue is cheap while no slot is free.
#[derive(Debug, Default)]
pub(crate) struct FreeTargets<'a> {
    options: Vec<TargetOption<'a>>,
    /// Wait before a slot may be borrowed, see [`TargetSelector::borrow_delay_permille`].
    borrow_delay_permille: u64,
}

impl FreeTargets<'_> {
    /// Returns whether no target has a free slot.
    pub fn is_empty(&self) -> bool {
        self.options.is_empty()
    }
}

impl TargetSelector {
    /// Creates a selector for a shard without requests in flight.
    pub fn new(method: SelectionMethod) -> Self {
        Self {
            method,
            loads: HashMap::new(),
        }
    }

    /// Records that a request was sent to a target; returns the number in flight.
    pub fn request_started(&mut self, target: TargetId) -> u32 {
        let load = self.loads.entry(target).or_default();
        load.own_in_flight += 1;
        load.own_in_flight
    }

    /// Records that a request on a target has ended; returns the number in flight.
    pub fn request_finished(&mut self, target: TargetId) -> u32 {
        let load = self.loads.entry(target).or_default();
        load.own_in_flight = load.own_in_flight.saturating_sub(1);
        load.own_in_flight
    }

    /// Records the number of requests in flight that a target states, including this shard's.
    pub fn record_stated_load(&mut self, now: Micros, view: &View, target: TargetId, stated: u32) {
        let reported_by_peers = view
            .targets
            .get(&target)
            .map_or(0, |target_view| target_view.peers_in_flight);
        let load = self.loads.entry(target).or_default();
        let others = stated.saturating_sub(load.own_in_flight);
        let difference_milli =
            (i64::from(stated) - i64::from(load.own_in_flight + reported_by_peers)) * 1_000;
        load.bias_milli += (difference_milli - load.bias_milli) / BIAS_MEAN_DIVISOR;
        load.stated_by_others = Some((others, now));
    }

    /// Records that a target refused a request as overloaded.
    pub fn on_overloaded(&mut self, now: Micros, target: TargetId) {
        let load = self.loads.entry(target).or_default();
        let doublings = load.overload_refusals.min(MAX_OVERLOAD_BACKOFF_DOUBLINGS);
        load.overload_refusals += 1;
        load.unavailable_until = now + Millis(OVERLOAD_BACKOFF_MS.0 << doublings);
    }

    /// Records that a target sent a part of an answer.
    pub fn on_answer(&mut self, target: TargetId) {
        self.loads.entry(target).or_default().overload_refusals = 0;
    }

    /// Records that a target refused a request as draining.
    pub fn on_draining(&mut self, now: Micros, target: TargetId) {
        self.loads.entry(target).or_default().unavailable_until = now + DRAINING_BACKOFF_MS;
    }

    /// Returns whether a target that accepts new work is not excluded, regardless of free slots.
    pub fn has_alternative(&self, view: &View, criteria: &SelectionCriteria<'_>) -> bool {
        select_by_hash(view, criteria).is_some()
    }

    /// Selects the target of a request; `None` means that the request has to wait.
    pub fn choose(
        &self,
        now: Micros,
        view: &View,
        criteria: &SelectionCriteria<'_>,
    ) -> Option<TargetId> {
        self.choose_from(
            &self.free_targets(now, view, criteria.service, criteria.pinned),
            criteria,
        )
    }

    /// Selects the target of a request among those with free slots.
    pub fn choose_from(
        &self,
        free_targets: &FreeTargets<'_>,
        criteria: &SelectionCriteria<'_>,
    ) -> Option<TargetId> {
        let is_allowed =
            |option: &&TargetOption<'_>| !criteria.excluded_targets.contains(&option.target);
        let allowed_options = || free_targets.options.iter().filter(is_allowed);
        if self.method == SelectionMethod::Hash {
            let scored = allowed_options()
                .map(|option| (hash_pair(option.target.0, criteria.id), option.target));
            return scored.max().map(|(_, target)| target);
        }
        let own_slot_options: Vec<_> = allowed_options()
            .copied()
            .filter(|option| option.has_own_slot)
            .collect();
        // Own slots are selected regardless of the failure domain. An instance has few of them, and
        // a preference made the local targets busier than the rest (peak 1.20 times the mean).
        let chosen = less_loaded_of_two(&own_slot_options, criteria.id, None).or_else(|| {
            if self.method == SelectionMethod::Shares
                && criteria.waited_permille < free_targets.borrow_delay_permille
            {
                return None;
            }
            less_loaded_of_two(
                &allowed_options().copied().collect::<Vec<_>>(),
                criteria.id,
                Some(criteria.domain),
            )
        });
        chosen.map(|option| option.target)
    }

    /// Returns the targets with free slots; if `pinned` is set, only that one, even if it drains.
    pub fn free_targets<'a>(
        &self,
        now: Micros,
        view: &'a View,
        service: &ServiceName,
        pinned: Option<TargetId>,
    ) -> FreeTargets<'a> {
        let Some(set) = view.target_sets.get(service).and_then(|sets| sets.last()) else {
            return FreeTargets::default();
        };
        let view_of = |target| view.targets.get(target);
        let slots_of = |target_view: &TargetView| target_view.declared.slots.0;
        let assignment = view
            .current_epoch()
            .filter(|_| self.method == SelectionMethod::Shares)
            .and_then(|epoch| {
                let own_index = epoch
                    .peers
                    .iter()
                    .position(|peer| peer.name == view.instance)?;
                let declared = set
                    .candidates
                    .iter()
                    .filter_map(|candidate| view_of(&candidate.target));
                let slots = declared.map(slots_of).sum();
                Some((
                    own_index as u32,
                    SlotAssignment::new(slots, epoch.peers.len() as u32),
                ))
            });
        let mut next_slot = 0;
        let mut options = Vec::new();
        for candidate in &set.candidates {
            let Some(target_view) = view_of(&candidate.target) else {
                continue;
            };
            let slots = next_slot..next_slot + slots_of(target_view);
            next_slot = slots.end;
            let is_usable = match pinned {
                // A draining target still receives the requests of its flows.
                Some(pinned) => pinned == candidate.target,
                None => target_view.accepts_new && candidate.weight > 0,
            };
            if !is_usable || self.is_unavailable(now, candidate.target) {
                continue;
            }
            let own_in_flight = self
                .loads
                .get(&candidate.target)
                .map_or(0, |load| load.own_in_flight);
            let has_own_slot = assignment.as_ref().is_some_and(|(own_index, assignment)| {
                own_in_flight
                    < slots
                        .filter(|slot| assignment.owner_of(*slot) == *own_index)
                        .count() as u32
            });
            let in_flight = self.estimate_in_flight(now, candidate.target, target_view);
            let usable_slots = match pinned {
                Some(_) => slots_of(target_view),
                None => usable_slots(target_view),
            };
            let is_warming_up =
                target_view.ramp_permille < FULL_CAPACITY_PERMILLE && pinned.is_none();
            let is_full = in_flight >= usable_slots && (is_warming_up || !has_own_slot);
            if is_full && self.method != SelectionMethod::Hash {
                continue;
            }
            options.push(TargetOption {
                target: candidate.target,
                domain: target_view.declared.domain.as_str(),
                load_permille: load_permille(in_flight, target_view),
                has_own_slot,
            });
        }
        options.extend(self.pinned_non_candidate(now, view, pinned, set));
        let borrow_delay_permille = match self.method {
            SelectionMethod::Shares => self.borrow_delay_permille(now, view, set),
            _ => 0,
        };
        if borrow_delay_permille == u64::MAX {
            options.retain(|option| option.has_own_slot);
        }
        FreeTargets {
            options,
            borrow_delay_permille,
        }
    }

    /// Returns the pinned target if it is no longer a candidate for new work and has a free slot.
    ///
    /// Its slots are not assigned to instances, so any of them counts as an own slot.
    fn pinned_non_candidate<'a>(
        &self,
        now: Micros,
        view: &'a View,
        pinned: Option<TargetId>,
        set: &TargetSet,
    ) -> Option<TargetOption<'a>> {
        let target = pinned?;
        let target_view = view.targets.get(&target)?;
        let is_candidate = set
            .candidates
            .iter()
            .any(|candidate| candidate.target == target);
        let in_flight = self.estimate_in_flight(now, target, target_view);
        if is_candidate
            || self.is_unavailable(now, target)
            || in_flight >= target_view.declared.slots.0
        {
            return None;
        }
        Some(TargetOption {
            target,
            domain: target_view.declared.domain.as_str(),
            load_permille: load_permille(in_flight, target_view),
            has_own_slot: true,
        })
    }

    /// Returns the wait after which a slot may be borrowed, in thousandths of a mean run.
    ///
    /// The busier the service, the more likely it is that a slot that the lagging counts show free
    /// is in use, and that the instance it is assigned to needs it.
    fn borrow_delay_permille(&self, now: Micros, view: &View, set: &TargetSet) -> u64 {
        let (mut in_flight, mut slots) = (0, 0);
        for candidate in &set.candidates {
            if let Some(target_view) = view.targets.get(&candidate.target) {
                let in_flight_on_target =
                    self.estimate_in_flight(now, candidate.target, target_view);
                in_flight += u64::from(in_flight_on_target.min(target_view.declared.slots.0));
                slots += u64::from(target_view.declared.slots.0);
            }
        }
        let utilization = in_flight as f64 / slots.max(1) as f64;
        if utilization > MAX_UTILIZATION_TO_BORROW {
            return u64::MAX;
        }
        (utilization.powi(BORROW_DELAY_EXPONENT) * MAX_BORROW_DELAY_RUNS * 1_000.0) as u64
    }

    /// Estimates the number of requests in flight on a target from all instances.
    fn estimate_in_flight(&self, now: Micros, target: TargetId, target_view: &TargetView) -> u32 {
        let load = self.loads.get(&target).copied().unwrap_or_default();
        let others = match load.stated_by_others {
            Some((others, at))
                if now.since(at) < STATED_LOAD_VALIDITY_MS
                    && load.bias_milli.abs() <= MAX_STATED_LOAD_BIAS_MILLI =>
            {
                others
            }
            _ => target_view.peers_in_flight,
        };
        load.own_in_flight + others
    }

    fn is_unavailable(&self, now: Micros, target: TargetId) -> bool {
        let load = self.loads.get(&target);
        load.is_some_and(|load| now < load.unavailable_until)
    }
}

/// Returns the usable slots of a target; a target that is warming up has at least one.
fn usable_slots(target_view: &TargetView) -> u32 {
    let ramped_slots = target_view.declared.slots.0 * target_view.ramp_permille / 1_000;
    ramped_slots.clamp(1, target_view.declared.slots.0.max(1))
}

fn load_permille(in_flight: u32, target_view: &TargetView) -> u32 {
    let capacity = (target_view.declared.slots.0 * target_view.ramp_permille).max(1);
    in_flight.saturating_mul(1_000_000) / capacity
}

/// Assigns the slots of a service to the peers, as evenly as whole slots allow.
///
/// Peers with one more slot than the others are interleaved with them. Otherwise targets whose
/// slots all belong to peers with fewer slots would be busier than the rest.
struct SlotAssignment {
    peers: u32,
    /// Number of peers with one more slot; they are the first in the order of names.
    larger_peers: u32,
    /// Number of slots of these peers.
    larger_peer_slots: u32,
    /// Number of all slots.
    slots: u32,
}

impl SlotAssignment {
    fn new(slots: u32, peers: u32) -> Self {
        let peers = peers.max(1);
        let larger_peers = slots % peers;
        Self {
            peers,
            larger_peers,
            larger_peer_slots: larger_peers * (slots / peers + 1),
            slots: slots.max(1),
        }
    }

    /// Returns the index of the peer that a slot is assigned to.
    fn owner_of(&self, slot: u32) -> u32 {
        let larger_slots_before = |slot: u32| slot * self.larger_peer_slots / self.slots;
        let larger_slots = larger_slots_before(slot);
        if larger_slots_before(slot + 1) > larger_slots {
            larger_slots % self.larger_peers
        } else {
            self.larger_peers + (slot - larger_slots) % (self.peers - self.larger_peers)
        }
    }
}

/// Picks two options and returns the less loaded one, or at equal load the one in `domain`.
///
/// If all instances always selected the least loaded target, they would overload it while their
/// counts lag.
fn less_loaded_of_two<'a>(
    options: &[TargetOption<'a>],
    id: u64,
    domain: Option<&str>,
) -> Option<TargetOption<'a>> {
    let len = options.len() as u64;
    if len < 2 {
        return options.first().copied();
    }
    let first = hash_pair(id, 1) % len;
    let step = 1 + hash_pair(id, 2) % (len - 1);
    let first_option = options[first as usize];
    let second_option = options[((first + step) % len) as usize];
    let rank = |option: &TargetOption<'_>| {
        let is_remote = domain.is_some_and(|domain| domain != option.domain);
        (option.load_permille, is_remote)
    };
    Some(if rank(&second_option) < rank(&first_option) {
        second_option
    } else {
        first_option
    })
}

fn select_by_hash(view: &View, criteria: &SelectionCriteria<'_>) -> Option<TargetId> {
    let set = view.target_sets.get(criteria.service)?.last()?;
    let usable = set.candidates.iter().filter(|candidate| {
        candidate.weight > 0
            && !criteria.excluded_targets.contains(&candidate.target)
            && view
                .targets
                .get(&candidate.target)
                .is_some_and(|target_view| target_view.accepts_new)
    });
    usable
        .max_by(|a, b| {
            placement::rendezvous_score(a, criteria.id)
                .total_cmp(&placement::rendezvous_score(b, criteria.id))
        })
        .map(|candidate| candidate.target)
}
