//! Tells callers that open clearly more flows than the others of their priority.
//!
//! The load that this answers: one address opens a hundred flows while the others open one each.
//! Refusing a share of all openings would then leave that address a hundred times more than the
//! others. The admitted openings of each address are therefore counted in a sketch of constant size
//! while room is short. A counter is shared by several addresses, so what the others add to it on
//! average is allowed for.

use std::net::Ipv4Addr;

use ids::{Micros, Millis, hash_of};

use crate::model::Priority;

/// Seed that separates the hash for the counters from other uses of the hash.
const COUNTER_SEED: u64 = 0x6661_6972_6e65_7373;

/// Counters in a row. With 100,000 addresses, each counter is shared by about 50.
const COUNTERS: usize = 2_048;
const COUNTERS_SHIFT: u32 = COUNTERS.trailing_zeros();

/// Bits in a word of the set of used counters.
const WORD_BITS: usize = 64;

/// Value of one opening in a counter. An address is forgotten after four halvings.
const UNIT: u16 = 16;

/// Time after which all counters are halved, so that about the last two seconds count.
const PERIOD: Millis = Millis(1_000);

/// Number of halvings after which every counter is zero.
const MAX_HALVINGS: u64 = 16;

/// Multiple of the mean of the other addresses that an address may open. The counts of addresses
/// that open at equal rates differ by up to a factor of two, because of the halving.
pub(crate) const MAX_RATIO: f32 = 2.5;

/// Number of openings that no address exceeds its share with. Less than that is within the
/// variation of callers that open few flows.
const MIN_ALLOWANCE: f32 = 2.0;

/// Standard deviations of what other addresses add to a counter that are allowed for. Of 100,000
/// addresses with one flow each, about one in a million then counts as exceeding its share.
const NOISE_DEVIATIONS: f32 = 3.0;

/// Openings of one priority.
#[derive(Debug, Clone)]
struct Tally {
    priority: Priority,
    /// Admitted openings, which decay like the counters.
    openings: f32,
    /// Counters used in the present and in the previous period.
    used: u32,
    previous_used: u32,
}

impl Tally {
    fn new(priority: Priority) -> Self {
        Self {
            priority,
            openings: 0.0,
            used: 0,
            previous_used: 0,
        }
    }

    /// Returns the estimated number of addresses with openings in a period, corrected for those
    /// that share a counter. The estimate is at most 15,600.
    fn callers(&self) -> f32 {
        let used = self.used.max(self.previous_used).min(COUNTERS as u32 - 1) as f32;
        let counters = COUNTERS as f32;
        -counters * (1.0 - used / counters).ln()
    }
}

/// Recently admitted openings by address and priority.
#[derive(Debug, Clone)]
pub struct Fairness {
    rows: [[u16; COUNTERS]; 2],
    /// Counters of the first row that were used in the present period.
    used: [u64; COUNTERS / WORD_BITS],
    tallies: Vec<Tally>,
    period: u64,
}

impl Default for Fairness {
    fn default() -> Self {
        Self {
            rows: [[0; COUNTERS]; 2],
            used: [0; COUNTERS / WORD_BITS],
            tallies: Vec::with_capacity(8),
            period: 0,
        }
    }
}

impl Fairness {
    /// Halves the counters for the periods that have passed.
    fn advance(&mut self, now: Micros) {
        let halvings = take_halvings(&mut self.period, now);
        if halvings == 0 {
            return;
        }
        for counter in self.rows.iter_mut().flatten() {
            *counter = counter.checked_shr(halvings as u32).unwrap_or(0);
        }
        self.used.fill(0);
        for tally in &mut self.tallies {
            tally.openings /= (1_u32 << halvings) as f32;
            tally.previous_used = if halvings == 1 { tally.used } else { 0 };
            tally.used = 0;
        }
    }

    /// Records an admitted opening.
    pub fn record(&mut self, now: Micros, priority: Priority, caller: Ipv4Addr) {
        self.advance(now);
        let positions = positions(priority, caller);
        let mut is_full = false;
        for (row, position) in self.rows.iter_mut().zip(positions) {
            if let Some(counter) = row.get_mut(position) {
                is_full |= *counter > u16::MAX - UNIT;
                *counter = counter.saturating_add(UNIT);
            }
        }
        // Openings that a full counter does not hold would only raise the mean of the others.
        let openings = if is_full { 0.0 } else { 1.0 };
        let bit = 1_u64 << (positions[0] % WORD_BITS);
        let mut is_new = false;
        if let Some(word) = self.used.get_mut(positions[0] / WORD_BITS) {
            is_new = *word & bit == 0;
            *word |= bit;
        }
        let index = self
            .tallies
            .partition_point(|tally| tally.priority < priority);
        let is_known = self
            .tallies
            .get(index)
            .is_some_and(|tally| tally.priority == priority);
        if !is_known {
            self.tallies.insert(index, Tally::new(priority));
        }
        if let Some(tally) = self.tallies.get_mut(index) {
            tally.openings += openings;
            tally.used += u32::from(is_new);
        }
    }

    /// Returns whether an address has had clearly more openings of a priority than the mean of the
    /// others. An address without others is never above its share.
    pub fn exceeds_share(&mut self, now: Micros, priority: Priority, caller: Ipv4Addr) -> bool {
        self.advance(now);
        let Some(tally) = self.tallies.iter().find(|tally| tally.priority == priority) else {
            return false;
        };
        let others = tally.callers() - 1.0;
        if others < 0.5 {
            return false;
        }
        let all: f32 = self.tallies.iter().map(|tally| tally.openings).sum();
        let noise = all / COUNTERS as f32;
        let own = (self.count(priority, caller) - noise).max(0.0);
        let mean = (tally.openings - own).max(0.0) / others;
        let allowance = (MAX_RATIO * mean).max(MIN_ALLOWANCE);
        own > allowance + NOISE_DEVIATIONS * noise.sqrt()
    }

    /// Returns the count of an address, including what others add to its counters.
    fn count(&self, priority: Priority, caller: Ipv4Addr) -> f32 {
        let positions = positions(priority, caller);
        let counters = self.rows.iter().zip(positions);
        let least = counters
            .filter_map(|(row, position)| row.get(position).copied())
            .min();
        f32::from(least.unwrap_or(0)) / f32::from(UNIT)
    }
}

/// Returns how often counts have to be halved since a period, and sets it to the present one.
pub(crate) fn take_halvings(period: &mut u64, now: Micros) -> u64 {
    let present = now.0 / (PERIOD.0 * 1_000);
    let halvings = present.saturating_sub(*period).min(MAX_HALVINGS);
    if halvings > 0 {
        *period = present;
    }
    halvings
}

/// Returns the counter of an address in each row.
fn positions(priority: Priority, caller: Ipv4Addr) -> [usize; 2] {
    let hash = hash_of(COUNTER_SEED ^ u64::from(priority.0), &caller.octets());
    let mask = COUNTERS as u64 - 1;
    [
        (hash & mask) as usize,
        ((hash >> COUNTERS_SHIFT) & mask) as usize,
    ]
}
