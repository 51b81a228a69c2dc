//! Placement: pure functions that map an id to a target of a set.

use ids::{hash_of, hash_pair};

use crate::view::{Candidate, TargetSet};

/// Ratio of the loads of the first and the second choice above which the second gets the flow. It
/// lets a failure domain with few targets pass flows on to others, which keeps the ratio of peak to
/// mean load below the goal of 1.15 where targets are spread unevenly over failure domains.
const REMOTE_LOAD_FACTOR: f64 = 1.02;

/// Scores a candidate for weighted rendezvous hashing; the highest score wins.
///
/// The logarithmic score makes the share of a target proportional to its weight. A change of weight
/// moves only flows to or from that target.
pub fn rendezvous_score(candidate: &Candidate, id: u64) -> f64 {
    // 53 bits fill the mantissa; adding 0.5 keeps the fraction strictly between 0 and 1.
    let fraction = ((hash_pair(candidate.target.0, id) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(candidate.weight) / fraction.ln()
}

/// Returns the candidate with the highest score for an id, preferring those in `domain`.
pub fn place<'a>(set: &'a TargetSet, domain: &str, id: u64) -> Option<&'a Candidate> {
    place_filtered(set, domain, id, |_| true)
}

/// Returns the usable candidate with the highest score for an id, preferring those in `domain`.
pub fn place_filtered<'a>(
    set: &'a TargetSet,
    domain: &str,
    id: u64,
    is_usable: impl Fn(&Candidate) -> bool,
) -> Option<&'a Candidate> {
    let usable = || {
        set.candidates
            .iter()
            .filter(|candidate| candidate.weight > 0 && is_usable(candidate))
    };
    let local = usable().filter(|candidate| candidate.domain.as_str() == domain);
    best_candidate(local, id).or_else(|| best_candidate(usable(), id))
}

/// Chooses the less loaded of two hashed candidates, the first preferably in `domain`, the second
/// from all others. `load` returns `None` for a candidate that accepts no flows.
pub fn place_by_load<'a>(
    set: &'a TargetSet,
    domain: &str,
    id: u64,
    load: impl Fn(&Candidate) -> Option<f64>,
) -> Option<&'a Candidate> {
    let usable = || {
        set.candidates
            .iter()
            .filter(|candidate| candidate.weight > 0 && load(candidate).is_some())
    };
    let local = usable().filter(|candidate| candidate.domain.as_str() == domain);
    let first = best_candidate(local, id).or_else(|| best_candidate(usable(), id))?;
    let others = usable().filter(|candidate| candidate.target != first.target);
    // A second hash makes the two choices independent.
    let Some(second) = best_candidate(others, hash_pair(id, 1)) else {
        return Some(first);
    };
    let is_second_better = match (load(first), load(second)) {
        (Some(first), Some(second)) => first > second * REMOTE_LOAD_FACTOR,
        _ => false,
    };
    Some(if is_second_better { second } else { first })
}

fn best_candidate<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    id: u64,
) -> Option<&'a Candidate> {
    candidates.max_by(|a, b| rendezvous_score(a, id).total_cmp(&rendezvous_score(b, id)))
}

/// Slots of a [`MaglevTable`]. A prime more than 100 times the usual number of targets per service
/// keeps their shares within a few percent of each other.
const MAGLEV_SLOTS: usize = 2_039;

const OFFSET_SEED: u64 = 1;
const SKIP_SEED: u64 = 2;

/// Lookup table of Maglev hashing, used by the baseline affinity method.
#[derive(Debug)]
pub struct MaglevTable {
    slots: Vec<u16>,
    candidates: Vec<Candidate>,
}

impl MaglevTable {
    /// Fills the table from the permutations of the candidates, with turns in proportion to their
    /// weights.
    pub fn new(set: &TargetSet) -> Self {
        let candidates: Vec<_> = set
            .candidates
            .iter()
            .filter(|candidate| candidate.weight > 0)
            .take(usize::from(u16::MAX))
            .cloned()
            .collect();
        let max_weight = candidates.iter().map(|candidate| candidate.weight).max();
        let Some(max_weight) = max_weight else {
            return Self {
                slots: Vec::new(),
                candidates,
            };
        };
        let mut slots = vec![u16::MAX; MAGLEV_SLOTS];
        let mut cursors: Vec<_> = candidates.iter().map(PermutationCursor::new).collect();
        let mut filled_slots = 0;
        while filled_slots < MAGLEV_SLOTS {
            for (index, cursor) in cursors.iter_mut().enumerate() {
                cursor.credit += u64::from(candidates[index].weight);
                if cursor.credit < u64::from(max_weight) || filled_slots == MAGLEV_SLOTS {
                    continue;
                }
                cursor.credit -= u64::from(max_weight);
                let slot = cursor.next_free(&slots);
                slots[slot] = index as u16;
                filled_slots += 1;
            }
        }
        Self { slots, candidates }
    }

    /// Returns the candidate for an id.
    pub fn place(&self, id: u64) -> Option<&Candidate> {
        let slot = hash_pair(id, 0) as usize % self.slots.len().max(1);
        self.candidates.get(usize::from(*self.slots.get(slot)?))
    }
}

/// Position in a candidate's permutation of the slots, and its unused share of turns.
struct PermutationCursor {
    position: usize,
    skip: usize,
    credit: u64,
}

impl PermutationCursor {
    fn new(candidate: &Candidate) -> Self {
        let bytes = candidate.target.0.to_le_bytes();
        Self {
            position: hash_of(OFFSET_SEED, &bytes) as usize % MAGLEV_SLOTS,
            skip: hash_of(SKIP_SEED, &bytes) as usize % (MAGLEV_SLOTS - 1) + 1,
            credit: 0,
        }
    }

    fn next_free(&mut self, slots: &[u16]) -> usize {
        loop {
            let slot = self.position;
            self.position = (slot + self.skip) % MAGLEV_SLOTS;
            if slots[slot] == u16::MAX {
                return slot;
            }
        }
    }
}
