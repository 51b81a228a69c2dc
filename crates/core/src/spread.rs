//! Spreading of requests over targets: counts of requests in flight and the choice among targets.

use hashbrown::HashMap;
use ids::{Micros, Millis, ServiceName, hash_pair};
use wire::token::TargetId;

use crate::placement;
use crate::view::{TargetSet, TargetView, View};

/// Time for which a target's own statement is newer than the peers' load vectors, which come 5
/// times a second.
const CLAIM_FRESH: Millis = Millis(100);

/// Time for which a target that refused as overloaded counts as full; about one short run. It
/// doubles with every refusal in a row, since a target that sheds all its load would otherwise use
/// up the retry budget of the service.
const SHED_FOR: Millis = Millis(20);

/// Doublings of [`SHED_FOR`] at most, which gives 2,560 ms.
const MAX_SHED_DOUBLINGS: u32 = 7;

/// Time for which a target that refused as draining gets nothing; by then control has told all
/// shards, or the target is asked again.
const DRAIN_FOR: Millis = Millis(3_000);

/// Share of the slots in use above which none is borrowed. `lab flood`: an instance that a flood
/// reaches borrowed what others needed; without this limit they kept 78% of their goodput, with
/// 0.8 they kept 90%.
const MAX_USED_TO_BORROW: f64 = 0.65;
/// Wait before a slot is borrowed, in average runs, when all slots are used; and the power of the
/// used share that it falls with. `lab spread` at 30% to 95% load: without this wait, targets
/// refused 17% at 70% load; with 16 runs and a power of 5 the wait at p99 was half as long again.
const BORROW_DELAY_RUNS: f64 = 4.0;

/// See [`BORROW_DELAY_RUNS`].
const BORROW_DELAY_POWER: i32 = 3;

/// Capacity of a target that is not warming up, in thousandths.
const FULL_PERMILLE: u32 = 1_000;

/// Thousandths of a request by which a target's statements may differ from the peers' vectors on
/// average before they are ignored. Both lag, but only a false statement differs on average.
const MAX_DRIFT_MILLI: i64 = 1_000;

/// Weight of the newest statement in the average difference is one in this many.
const DRIFT_OVER: i64 = 16;

/// How requests are spread over targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// By hash of the request id, without counts; the baseline.
    Hash,
    /// Two choices among the targets that have free slots as far as the counts tell.
    Counts,
    /// A fixed share of the slots per instance, and borrowing of slots that the counts show free.
    Shares,
}

/// What a shard knows of the load of targets.
#[derive(Debug)]
pub(crate) struct Spread {
    method: Method,
    loads: HashMap<TargetId, Load>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    /// Requests of this shard in flight.
    own: u32,
    /// Requests of others, as the target's newest frame told.
    claim: Option<(u32, Micros)>,
    /// Average difference of the target's statements from the peers' vectors, in thousandths.
    drift_milli: i64,
    /// Until when the target counts as full because it said so.
    full_until: Micros,
    /// Refusals as overloaded since its last answer.
    refusals: u32,
}

/// A request that looks for a target.
#[derive(Debug)]
pub(crate) struct Wanted<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Failure domain of the caller.
    pub domain: &'a str,
    /// Request id, the source of all choices that look random.
    pub id: u64,
    /// Target of the request's flow, the only one that may get it.
    pub pinned: Option<TargetId>,
    /// Targets that must not get it.
    pub excluded: &'a [TargetId],
    /// Time that it has waited, in thousandths of the average run of its class.
    pub waited_permille: u64,
}

/// A target that may take a request.
#[derive(Debug, Clone, Copy)]
struct Choice<'a> {
    target: TargetId,
    domain: &'a str,
    /// Load over capacity in thousandths.
    load_permille: u32,
    /// Whether one of this instance's own slots on it is free.
    is_home: bool,
}

/// The targets of a service that have free slots at one moment, in the order of their identity.
///
/// One search serves all requests that wait, so that a long queue costs little while all is full.
#[derive(Debug, Default)]
pub(crate) struct Free<'a> {
    choices: Vec<Choice<'a>>,
    /// See [`Spread::borrow_delay_permille`].
    borrow_delay_permille: u64,
}

impl Free<'_> {
    /// Tells whether no request can go now.
    pub fn is_empty(&self) -> bool {
        self.choices.is_empty()
    }
}

impl Spread {
    /// Creates the counts of a shard that has nothing in flight.
    pub fn new(method: Method) -> Self {
        Self {
            method,
            loads: HashMap::new(),
        }
    }

    /// Notes that a request was sent to a target; returns the number in flight.
    pub fn start(&mut self, target: TargetId) -> u32 {
        let load = self.loads.entry(target).or_default();
        load.own += 1;
        load.own
    }

    /// Notes that a request on a target has ended; returns the number in flight.
    pub fn finish(&mut self, target: TargetId) -> u32 {
        let load = self.loads.entry(target).or_default();
        load.own = load.own.saturating_sub(1);
        load.own
    }

    /// Notes the requests in flight that a target stated, those of this shard included.
    pub fn claim(&mut self, now: Micros, view: &View, target: TargetId, stated: u32) {
        let reported = view
            .targets
            .get(&target)
            .map_or(0, |known| known.peers_in_flight);
        let load = self.loads.entry(target).or_default();
        let others = stated.saturating_sub(load.own);
        let difference_milli = (i64::from(stated) - i64::from(load.own + reported)) * 1_000;
        load.drift_milli += (difference_milli - load.drift_milli) / DRIFT_OVER;
        load.claim = Some((others, now));
    }

    /// Notes that a target refused a request as overloaded.
    pub fn shed(&mut self, now: Micros, target: TargetId) {
        let load = self.loads.entry(target).or_default();
        let doublings = load.refusals.min(MAX_SHED_DOUBLINGS);
        load.refusals += 1;
        load.full_until = now + Millis(SHED_FOR.0 << doublings);
    }

    /// Notes that a target sent a part of an answer.
    pub fn answered(&mut self, target: TargetId) {
        self.loads.entry(target).or_default().refusals = 0;
    }

    /// Notes that a target refused a request as draining.
    pub fn drain(&mut self, now: Micros, target: TargetId) {
        self.loads.entry(target).or_default().full_until = now + DRAIN_FOR;
    }

    /// Tells whether any target that takes new work is not excluded.
    pub fn has_other(&self, view: &View, wanted: &Wanted<'_>) -> bool {
        hashed(view, wanted).is_some()
    }

    /// Chooses the target of a request, or none while it has to wait.
    pub fn choose(&self, now: Micros, view: &View, wanted: &Wanted<'_>) -> Option<TargetId> {
        self.choose_from(&self.free(now, view, wanted.service, wanted.pinned), wanted)
    }

    /// Chooses the target of a request among those that are free.
    pub fn choose_from(&self, free: &Free<'_>, wanted: &Wanted<'_>) -> Option<TargetId> {
        let is_open = |choice: &&Choice<'_>| !wanted.excluded.contains(&choice.target);
        let open = || free.choices.iter().filter(is_open);
        if self.method == Method::Hash {
            let scored =
                open().map(|choice| (hash_pair(choice.target.0, wanted.id), choice.target));
            return scored.max().map(|(_, target)| target);
        }
        let home: Vec<_> = open().copied().filter(|choice| choice.is_home).collect();
        // Home slots are chosen without regard to the failure domain: an instance has few of them,
        // and with a preference the near ones were busier than the rest (1.20 over the mean).
        let chosen = two_choices(&home, wanted.id, None).or_else(|| {
            if self.method == Method::Shares && wanted.waited_permille < free.borrow_delay_permille
            {
                return None;
            }
            two_choices(
                &open().copied().collect::<Vec<_>>(),
                wanted.id,
                Some(wanted.domain),
            )
        });
        chosen.map(|choice| choice.target)
    }

    /// Returns the targets with free slots; with `pinned`, only that one and even if it drains.
    pub fn free<'a>(
        &self,
        now: Micros,
        view: &'a View,
        service: &ServiceName,
        pinned: Option<TargetId>,
    ) -> Free<'a> {
        let Some(set) = view.target_sets.get(service).and_then(|sets| sets.last()) else {
            return Free::default();
        };
        let known = |target| view.targets.get(target);
        let slots_of = |known: &TargetView| known.declared.slots.0;
        let deal = view
            .current_epoch()
            .filter(|_| self.method == Method::Shares)
            .and_then(|epoch| {
                let me = epoch
                    .peers
                    .iter()
                    .position(|peer| peer.name == view.instance)?;
                let declared = set
                    .candidates
                    .iter()
                    .filter_map(|candidate| known(&candidate.target));
                let slots = declared.map(slots_of).sum();
                Some((me as u32, Deal::new(slots, epoch.peers.len() as u32)))
            });
        let mut next_slot = 0;
        let mut choices = Vec::new();
        for candidate in &set.candidates {
            let Some(known) = known(&candidate.target) else {
                continue;
            };
            let slots = next_slot..next_slot + slots_of(known);
            next_slot = slots.end;
            let is_usable = match pinned {
                // A draining target still gets the requests of its flows.
                Some(pinned) => pinned == candidate.target,
                None => known.accepts_new && candidate.weight > 0,
            };
            if !is_usable || self.is_shedding(now, candidate.target) {
                continue;
            }
            let own = self.loads.get(&candidate.target).map_or(0, |load| load.own);
            let is_home = deal.as_ref().is_some_and(|(me, deal)| {
                own < slots.filter(|slot| deal.owner(*slot) == *me).count() as u32
            });
            let in_flight = self.estimate(now, candidate.target, known);
            let allowed = match pinned {
                Some(_) => slots_of(known),
                None => allowed(known),
            };
            let is_cold = known.ramp_permille < FULL_PERMILLE && pinned.is_none();
            let is_full = in_flight >= allowed && (is_cold || !is_home);
            if is_full && self.method != Method::Hash {
                continue;
            }
            choices.push(Choice {
                target: candidate.target,
                domain: known.declared.domain.as_str(),
                load_permille: load_permille(in_flight, known),
                is_home,
            });
        }
        choices.extend(self.pinned_outside(now, view, pinned, set));
        let borrow_delay_permille = match self.method {
            Method::Shares => self.borrow_delay_permille(now, view, set),
            _ => 0,
        };
        if borrow_delay_permille == u64::MAX {
            choices.retain(|choice| choice.is_home);
        }
        Free {
            choices,
            borrow_delay_permille,
        }
    }

    /// Returns the target of a request's flow when it is no longer among those that take new work;
    /// what its flows still send is not dealt over the instances.
    fn pinned_outside<'a>(
        &self,
        now: Micros,
        view: &'a View,
        pinned: Option<TargetId>,
        set: &TargetSet,
    ) -> Option<Choice<'a>> {
        let target = pinned?;
        let known = view.targets.get(&target)?;
        let is_inside = set
            .candidates
            .iter()
            .any(|candidate| candidate.target == target);
        let in_flight = self.estimate(now, target, known);
        if is_inside || self.is_shedding(now, target) || in_flight >= known.declared.slots.0 {
            return None;
        }
        Some(Choice {
            target,
            domain: known.declared.domain.as_str(),
            load_permille: load_permille(in_flight, known),
            is_home: true,
        })
    }

    /// Returns the wait after which a slot may be borrowed, in thousandths of an average run.
    ///
    /// The busier the service, the likelier it is that a slot is not free although the lagging
    /// counts say so, and that its own instance misses it.
    fn borrow_delay_permille(&self, now: Micros, view: &View, set: &TargetSet) -> u64 {
        let (mut in_flight, mut slots) = (0, 0);
        for candidate in &set.candidates {
            if let Some(known) = view.targets.get(&candidate.target) {
                let counted = self.estimate(now, candidate.target, known);
                in_flight += u64::from(counted.min(known.declared.slots.0));
                slots += u64::from(known.declared.slots.0);
            }
        }
        let used = in_flight as f64 / slots.max(1) as f64;
        if used > MAX_USED_TO_BORROW {
            return u64::MAX;
        }
        (used.powi(BORROW_DELAY_POWER) * BORROW_DELAY_RUNS * 1_000.0) as u64
    }

    /// Estimates the requests in flight on a target from all instances.
    fn estimate(&self, now: Micros, target: TargetId, known: &TargetView) -> u32 {
        let load = self.loads.get(&target).copied().unwrap_or_default();
        let others = match load.claim {
            Some((others, at))
                if now.since(at) < CLAIM_FRESH && load.drift_milli.abs() <= MAX_DRIFT_MILLI =>
            {
                others
            }
            _ => known.peers_in_flight,
        };
        load.own + others
    }

    fn is_shedding(&self, now: Micros, target: TargetId) -> bool {
        let load = self.loads.get(&target);
        load.is_some_and(|load| now < load.full_until)
    }
}

/// Returns the slots that a target may use now; one that warms up gets at least one.
fn allowed(known: &TargetView) -> u32 {
    let ramped = known.declared.slots.0 * known.ramp_permille / 1_000;
    ramped.clamp(1, known.declared.slots.0.max(1))
}

fn load_permille(in_flight: u32, known: &TargetView) -> u32 {
    let capacity = (known.declared.slots.0 * known.ramp_permille).max(1);
    in_flight.saturating_mul(1_000_000) / capacity
}

/// Deals the slots of a service over the peers, as evenly as whole slots allow.
///
/// Peers with one slot more than others alternate with them. Without that, targets whose slots all
/// belong to peers with fewer slots would be busier than the rest.
struct Deal {
    peers: u32,
    /// Peers with one slot more, the first in the order of names.
    rich: u32,
    /// Slots of all rich peers, and all slots.
    rich_slots: u32,
    slots: u32,
}

impl Deal {
    fn new(slots: u32, peers: u32) -> Self {
        let peers = peers.max(1);
        let rich = slots % peers;
        Self {
            peers,
            rich,
            rich_slots: rich * (slots / peers + 1),
            slots: slots.max(1),
        }
    }

    /// Returns the index of the peer that a slot belongs to.
    fn owner(&self, slot: u32) -> u32 {
        let rich_before = |slot: u32| slot * self.rich_slots / self.slots;
        let before = rich_before(slot);
        if rich_before(slot + 1) > before {
            before % self.rich
        } else {
            self.rich + (slot - before) % (self.peers - self.rich)
        }
    }
}

/// Chooses the less loaded of two options, at equal load the one in `domain`.
///
/// Always taking the least loaded would send all instances to one target while their counts lag.
fn two_choices<'a>(choices: &[Choice<'a>], id: u64, domain: Option<&str>) -> Option<Choice<'a>> {
    let len = choices.len() as u64;
    if len < 2 {
        return choices.first().copied();
    }
    let first = hash_pair(id, 1) % len;
    let step = 1 + hash_pair(id, 2) % (len - 1);
    let a = choices[first as usize];
    let b = choices[((first + step) % len) as usize];
    let rank = |choice: &Choice<'_>| {
        let is_remote = domain.is_some_and(|domain| domain != choice.domain);
        (choice.load_permille, is_remote)
    };
    Some(if rank(&b) < rank(&a) { b } else { a })
}

fn hashed(view: &View, wanted: &Wanted<'_>) -> Option<TargetId> {
    let set = view.target_sets.get(wanted.service)?.last()?;
    let usable = set.candidates.iter().filter(|candidate| {
        candidate.weight > 0
            && !wanted.excluded.contains(&candidate.target)
            && view
                .targets
                .get(&candidate.target)
                .is_some_and(|known| known.accepts_new)
    });
    usable
        .max_by(|a, b| {
            placement::rendezvous_score(a, wanted.id)
                .total_cmp(&placement::rendezvous_score(b, wanted.id))
        })
        .map(|candidate| candidate.target)
}
