//! Tells callers that open clearly more flows than the others, over all instances of the failure
//! domain, and limits them.
//!
//! The load that this answers: routers spread the flows of one caller over all instances, so each
//! instance sees only a small part of them. Instances therefore report the addresses with the most
//! openings, and get the sums over the failure domain back. Refused openings count as well: a caller
//! that is refused and goes on asking stays over its share, although the sums arrive half a second
//! late. See [fairness between callers](../../../docs/design/caller-shares.md).

use std::net::Ipv4Addr;

use ids::{Micros, Millis};
use smol_str::SmolStr;

use crate::caller_total::{CallerBitmap, CallerTotal, MAX_LISTED, REPORT_INTERVAL};
use crate::fairness::{Fairness, MAX_RATIO, take_halvings};
use crate::model::Priority;
use crate::steer::Steer;

/// Priorities of a service that are counted. Openings of further ones are not reported.
const MAX_PRIORITIES: usize = 8;

/// Addresses whose openings are counted one by one at an instance. An address with more than 1/32 of
/// the openings is always among them. With 64 in two passes, an opening packet of one of 10,000
/// callers took half as many instructions again while room was short.
const MAX_CANDIDATES: usize = 32;

/// Addresses that are kept from the sums of the failure domain, which list 16 at a time.
const MAX_KNOWN: usize = 2 * MAX_LISTED;

/// Age of the last sums after which only the openings at this instance count. Sums come at least
/// twice in this time.
const MAX_SUM_AGE: Millis = Millis(1_000);

/// Count below which an address or a priority is forgotten.
const MIN_COUNT: f32 = 0.25;

/// Openings of a peer's report above which a count is not plausible. A wrong one is forgotten within
/// 22 s.
const MAX_OPENINGS: f32 = 1_048_576.0;

/// Weight of an opening that is admitted, and of one that is refused. Callers may retry a refused
/// opening twice or not at all, so that one request of them has a weight of 1 to 3. With equal weights
/// a refused caller that retries would seem to ask for three times as much as an admitted one.
const ADMITTED_WEIGHT: u32 = 2;
const REFUSED_WEIGHT: u32 = 1;

/// Standard deviations by which an address may be above its share by chance. Of addresses that open
/// 1.5 flows in the mean, one in 6,000 has more.
const CHANCE_DEVIATIONS: f32 = 3.0;

/// Openings of one priority.
#[derive(Debug, Clone)]
struct PriorityCounts {
    priority: Priority,
    /// Weight of the openings, and callers, at this instance since its last report.
    unsent: u32,
    unsent_callers: CallerBitmap,
    /// Recent openings in the failure domain, or at this instance while there are no recent sums.
    openings: f32,
    /// Callers in the present and in the previous period.
    callers: CallerBitmap,
    previous_callers: CallerBitmap,
}

impl PriorityCounts {
    fn new(priority: Priority) -> Self {
        Self {
            priority,
            unsent: 0,
            unsent_callers: CallerBitmap::default(),
            openings: 0.0,
            callers: CallerBitmap::default(),
            previous_callers: CallerBitmap::default(),
        }
    }
}

/// An address with many openings at this instance.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    priority: Priority,
    caller: Ipv4Addr,
    /// Upper bound of its recent openings, and how much of it may belong to other addresses.
    recent: f32,
    error: f32,
    /// Weight of its openings since the last report.
    unsent: u32,
}

/// An address with many openings in the failure domain.
#[derive(Debug, Clone, Copy)]
struct KnownCaller {
    priority: Priority,
    caller: Ipv4Addr,
    openings: f32,
    /// Part of an opening that it may have in advance, so that it gets its part evenly.
    credit: f32,
}

/// Openings of the callers of a service while room is short.
#[derive(Debug, Clone, Default)]
pub struct CallerShares {
    own: Fairness,
    counts: Vec<PriorityCounts>,
    candidates: Vec<Candidate>,
    known: Vec<KnownCaller>,
    summed_at: Option<Micros>,
    period: u64,
}

/// Bound on the memory of a service.
const MAX_BYTES: usize = 16 * 1_024;

// Lists are at most twice as long as their bounds, as they grow by doubling.
const _: () = assert!(
    size_of::<CallerShares>()
        + MAX_PRIORITIES * size_of::<PriorityCounts>()
        + MAX_CANDIDATES * size_of::<Candidate>()
        + 2 * MAX_KNOWN * size_of::<KnownCaller>()
        <= MAX_BYTES
);

/// What an address may have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// No more openings than others.
    Regular,
    /// More than its share of the openings at this instance.
    Excess,
    /// More than its share of the openings in the failure domain, by this factor over the mean of
    /// the others.
    DomainExcess(f32),
}

impl CallerShares {
    /// Halves the counts for the periods that have passed.
    fn advance(&mut self, now: Micros) {
        let halvings = take_halvings(&mut self.period, now);
        if halvings == 0 {
            return;
        }
        let factor = 1.0 / (1_u32 << halvings) as f32;
        for counts in &mut self.counts {
            counts.openings *= factor;
            counts.previous_callers = std::mem::take(&mut counts.callers);
            if halvings > 1 {
                counts.previous_callers = CallerBitmap::default();
            }
        }
        self.counts
            .retain(|counts| counts.unsent > 0 || counts.openings >= MIN_COUNT);
        for candidate in &mut self.candidates {
            candidate.recent *= factor;
            candidate.error *= factor;
        }
        self.candidates
            .retain(|candidate| candidate.unsent > 0 || candidate.recent >= MIN_COUNT);
        for known in &mut self.known {
            known.openings *= factor;
        }
        self.known.retain(|known| known.openings >= MIN_COUNT);
    }

    /// Counts an opening.
    pub fn record_opening(
        &mut self,
        now: Micros,
        priority: Priority,
        caller: Ipv4Addr,
        is_admitted: bool,
    ) {
        self.advance(now);
        let weight = if is_admitted {
            ADMITTED_WEIGHT
        } else {
            REFUSED_WEIGHT
        };
        let Some(counts) = counts_of(&mut self.counts, priority) else {
            return;
        };
        counts.unsent = counts.unsent.saturating_add(weight);
        counts.unsent_callers.insert(caller);
        let mut least = None;
        let mut least_recent = f32::INFINITY;
        for (index, candidate) in self.candidates.iter_mut().enumerate() {
            if candidate.caller == caller && candidate.priority == priority {
                candidate.recent += weight as f32;
                candidate.unsent = candidate.unsent.saturating_add(weight);
                return;
            }
            if candidate.recent < least_recent {
                least_recent = candidate.recent;
                least = Some(index);
            }
        }
        let mut candidate = Candidate {
            priority,
            caller,
            recent: weight as f32,
            error: 0.0,
            unsent: weight,
        };
        if self.candidates.len() < MAX_CANDIDATES {
            self.candidates.push(candidate);
            return;
        }
        if let Some(known) = least.and_then(|index| self.candidates.get_mut(index)) {
            candidate.error = least_recent;
            candidate.recent += least_recent;
            *known = candidate;
        }
    }

    /// Counts an opening of a less urgent priority that is admitted in the sketch of this instance.
    pub fn record_in_sketch(&mut self, now: Micros, priority: Priority, caller: Ipv4Addr) {
        self.own.record(now, priority, caller);
    }

    /// Returns what an address may have.
    ///
    /// Sums list only the largest addresses, so that the sketch of this instance's openings counts as
    /// well, but not in the most urgent priority (`is_first`): it takes some addresses for heavy by
    /// chance, and refusals there cost most.
    pub fn standing(
        &mut self,
        now: Micros,
        priority: Priority,
        caller: Ipv4Addr,
        is_first: bool,
    ) -> Standing {
        self.advance(now);
        self.forget_old_sums(now);
        if let Some(factor) = self.excess_factor(priority, caller) {
            return Standing::DomainExcess(factor);
        }
        if !is_first && self.own.exceeds_share(now, priority, caller) {
            return Standing::Excess;
        }
        Standing::Regular
    }

    /// Forgets the sums of the failure domain if they are old.
    fn forget_old_sums(&mut self, now: Micros) {
        if self
            .summed_at
            .take_if(|at| now.since(*at) > MAX_SUM_AGE)
            .is_some()
        {
            self.forget_openings();
        }
    }

    fn forget_openings(&mut self) {
        self.known.clear();
        for counts in &mut self.counts {
            counts.openings = 0.0;
            counts.callers = CallerBitmap::default();
            counts.previous_callers = CallerBitmap::default();
        }
    }

    /// Returns the openings of an address over the mean of the others in the failure domain, if it
    /// is over its share.
    fn excess_factor(&self, priority: Priority, caller: Ipv4Addr) -> Option<f32> {
        let is_same = |known: &&KnownCaller| known.caller == caller && known.priority == priority;
        let own = self.known.iter().find(is_same)?.openings;
        let of_priority = |counts: &&PriorityCounts| counts.priority == priority;
        let counts = self.counts.iter().find(of_priority)?;
        let callers = counts.callers.count().max(counts.previous_callers.count());
        let others = callers - 1.0;
        if others < 0.5 {
            return None;
        }
        let mean = (counts.openings - own).max(0.0) / others;
        let allowance = MAX_RATIO * mean + CHANCE_DEVIATIONS * mean.sqrt();
        (own > allowance.max(1.0)).then(|| own / mean.max(f32::EPSILON))
    }

    /// Returns whether an opening of an address over its share is admitted, given the part that is.
    /// The part is spread evenly over its openings: if all of them had their turn at once, targets
    /// would be overloaded in that turn.
    pub fn admits_part(&mut self, priority: Priority, caller: Ipv4Addr, part: f32) -> bool {
        let is_same =
            |known: &&mut KnownCaller| known.caller == caller && known.priority == priority;
        let Some(known) = self.known.iter_mut().find(is_same) else {
            return false;
        };
        known.credit += part;
        let is_admitted = known.credit >= 1.0;
        known.credit -= f32::from(u8::from(is_admitted));
        is_admitted
    }

    /// Returns the openings at this instance since the last report. While there are no recent sums of
    /// the failure domain, they count in their place.
    pub fn take_report(&mut self, now: Micros, service: &SmolStr) -> Vec<CallerTotal> {
        self.advance(now);
        self.forget_old_sums(now);
        let totals = self.take_own(service);
        if self.summed_at.is_none() {
            totals.iter().for_each(|total| self.add_openings(total));
        }
        totals
    }

    fn take_own(&mut self, service: &SmolStr) -> Vec<CallerTotal> {
        let mut listed: Vec<(f32, Candidate)> = Vec::with_capacity(MAX_CANDIDATES);
        for candidate in self
            .candidates
            .iter()
            .filter(|item| openings(item.unsent) > 0)
        {
            let is_same = |known: &&KnownCaller| {
                known.caller == candidate.caller && known.priority == candidate.priority
            };
            // Addresses that are large in the failure domain are listed by all instances.
            let known = self.known.iter().find(is_same);
            let rank = candidate.recent - candidate.error + known.map_or(0.0, |item| item.openings);
            listed.push((rank, *candidate));
        }
        listed.sort_by(|left, right| right.0.total_cmp(&left.0));
        listed.truncate(MAX_LISTED);
        let mut totals = Vec::new();
        for counts in &mut self.counts {
            if openings(counts.unsent) == 0 {
                continue;
            }
            let of_priority = listed
                .iter()
                .filter(|(_, candidate)| candidate.priority == counts.priority);
            totals.push(CallerTotal {
                openings: openings(counts.unsent),
                callers: std::mem::take(&mut counts.unsent_callers),
                largest: of_priority
                    .map(|(_, candidate)| (candidate.caller, openings(candidate.unsent)))
                    .collect(),
                ..CallerTotal::none(service.clone(), counts.priority)
            });
            counts.unsent %= ADMITTED_WEIGHT;
        }
        for candidate in &mut self.candidates {
            candidate.unsent %= ADMITTED_WEIGHT;
        }
        totals
    }

    /// Adds openings in the failure domain since the last sums.
    pub fn apply_sums(&mut self, now: Micros, total: &CallerTotal) {
        self.advance(now);
        self.forget_old_sums(now);
        if self.summed_at.replace(now).is_none() {
            self.forget_openings();
        }
        self.add_openings(total);
    }

    fn add_openings(&mut self, total: &CallerTotal) {
        let Some(counts) = counts_of(&mut self.counts, total.priority) else {
            return;
        };
        // Addresses cannot have more openings than there are.
        let listed: u32 = total
            .largest
            .iter()
            .fold(0, |sum, (_, openings)| sum.saturating_add(*openings));
        let openings = total.openings.max(listed) as f32;
        counts.openings = (counts.openings + openings).min(MAX_OPENINGS);
        counts.callers.merge(&total.callers);
        for (caller, openings) in total.largest.iter().take(MAX_LISTED) {
            let is_same = |known: &&mut KnownCaller| {
                known.caller == *caller && known.priority == total.priority
            };
            match self.known.iter_mut().find(is_same) {
                Some(known) => {
                    known.openings = (known.openings + *openings as f32).min(MAX_OPENINGS);
                }
                None => self.known.push(KnownCaller {
                    priority: total.priority,
                    caller: *caller,
                    openings: (*openings as f32).min(MAX_OPENINGS),
                    credit: 0.0,
                }),
            }
        }
        self.known
            .sort_by(|left, right| right.openings.total_cmp(&left.openings));
        self.known.truncate(MAX_KNOWN);
    }

    /// Returns the number of addresses that are over their share in the failure domain.
    pub fn excess_count(&self) -> usize {
        let is_excess =
            |known: &&KnownCaller| self.excess_factor(known.priority, known.caller).is_some();
        self.known.iter().filter(is_excess).count()
    }
}

/// Returns the number of openings of a weight.
fn openings(weight: u32) -> u32 {
    weight / ADMITTED_WEIGHT
}

/// Returns the counts of a priority, or `None` if there are too many priorities.
fn counts_of(list: &mut Vec<PriorityCounts>, priority: Priority) -> Option<&mut PriorityCounts> {
    let index = list.partition_point(|counts| counts.priority < priority);
    let is_known = list
        .get(index)
        .is_some_and(|counts| counts.priority == priority);
    if !is_known {
        if list.len() >= MAX_PRIORITIES {
            return None;
        }
        list.insert(index, PriorityCounts::new(priority));
    }
    list.get_mut(index)
}

impl Steer {
    /// Returns the openings of callers that this instance has seen since its last report, of services
    /// with too little room. Call it with each report of loads; it returns nothing before the time of
    /// the next report of callers.
    pub fn take_own_callers(&mut self, now: Micros) -> Vec<CallerTotal> {
        if now < self.callers_due_at {
            return Vec::new();
        }
        self.callers_due_at = now + REPORT_INTERVAL;
        let admissions = self.admissions.iter_mut();
        let short = admissions.filter_map(|(service, admission)| {
            // The share has grown because there are no reports of loads any more.
            if admission.share(now) >= 1.0 {
                return None;
            }
            let shares = admission.caller_shares_mut()?;
            Some(shares.take_report(now, service))
        });
        short.flatten().collect()
    }

    /// Applies the openings of callers that all instances of the failure domain have seen together
    /// since the last call. Services that have room here are left out.
    pub fn on_domain_callers(&mut self, now: Micros, totals: &[CallerTotal]) {
        for total in totals {
            let admission = self.admissions.get_mut(&total.service);
            if let Some(shares) = admission.and_then(|admission| admission.caller_shares_mut()) {
                shares.apply_sums(now, total);
            }
        }
    }

    /// Returns the number of addresses that are over their share of each service's openings.
    pub fn excess_callers(&self) -> impl Iterator<Item = (&SmolStr, usize)> {
        self.admissions.iter().map(|(service, admission)| {
            let shares = admission.caller_shares();
            (service, shares.map_or(0, CallerShares::excess_count))
        })
    }
}
