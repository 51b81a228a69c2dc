//! Openings of one priority of a service, as instances tell each other.

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use ids::{Micros, Millis, hash_of};
use smol_str::SmolStr;

use crate::model::Priority;

/// Seed that separates the hash for the bitmap from other uses of the hash. All instances use the
/// same one, so that an address has the same bit everywhere.
const BITMAP_SEED: u64 = 0x6361_6c6c_6572_6269;

/// Bits of a bitmap. Up to 2,000 addresses are counted within a few percent, and at most 7,100.
const BITS: usize = 1_024;
const WORDS: usize = BITS / u64::BITS as usize;

/// Most addresses of a service in a report, so that its size does not depend on the number of
/// instances.
pub const MAX_LISTED: usize = 16;

/// Most totals in a report: pairs of a service and a priority.
pub const MAX_TOTALS: usize = 64;

/// Addresses of a total that are held until the sums are taken. Reports of 32 followers fit in.
const MAX_HELD: usize = 1_024;

/// Shortest time between two reports. Reports of loads are sent four times as often while requests
/// wait, but reports of callers are longer, and in the model more frequent ones gained nothing.
pub const REPORT_INTERVAL: Millis = Millis(350);

/// Set of addresses that counts them without holding them (linear counting).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallerBitmap([u64; WORDS]);

impl CallerBitmap {
    /// Adds an address.
    pub fn insert(&mut self, caller: Ipv4Addr) {
        let bit = hash_of(BITMAP_SEED, &caller.octets()) as usize % BITS;
        if let Some(word) = self.0.get_mut(bit / u64::BITS as usize) {
            *word |= 1 << (bit % u64::BITS as usize);
        }
    }

    /// Adds the addresses of another set. An address in both counts once.
    pub fn merge(&mut self, other: &Self) {
        for (word, other) in self.0.iter_mut().zip(other.0) {
            *word |= other;
        }
    }

    /// Returns the estimated number of addresses, corrected for those that share a bit.
    pub fn count(&self) -> f32 {
        let used: u32 = self.0.iter().map(|word| word.count_ones()).sum();
        let bits = BITS as f32;
        let unused = (bits - used as f32).max(1.0);
        -bits * (unused / bits).ln()
    }

    /// Returns the bitmap as bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.0.iter().flat_map(|word| word.to_le_bytes()).collect()
    }

    /// Returns the bitmap of these bytes. Bytes of another length hold no addresses.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        let mut bitmap = Self::default();
        if bytes.len() == BITS / 8 {
            let words = bytes.as_chunks::<8>().0;
            for (word, bytes) in bitmap.0.iter_mut().zip(words) {
                *word = u64::from_le_bytes(*bytes);
            }
        }
        bitmap
    }
}

/// Openings of one priority of a service in a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerTotal {
    /// Name of the service.
    pub service: SmolStr,
    /// The priority.
    pub priority: Priority,
    /// Openings of all callers.
    pub openings: u32,
    /// The callers.
    pub callers: CallerBitmap,
    /// Addresses with the most openings.
    pub largest: Vec<(Ipv4Addr, u32)>,
}

impl CallerTotal {
    /// Returns a total without openings.
    pub fn none(service: SmolStr, priority: Priority) -> Self {
        Self {
            service,
            priority,
            openings: 0,
            callers: CallerBitmap::default(),
            largest: Vec::new(),
        }
    }
}

/// Sums of totals since the last time they were taken.
#[derive(Debug, Default)]
pub struct CallerSums {
    /// Ordered by service and priority. An address may be listed more than once.
    totals: Vec<CallerTotal>,
    due_at: Micros,
}

impl CallerSums {
    /// Adds the totals of an instance or of a subtree of instances. Those beyond [`MAX_TOTALS`] are
    /// left out, as are addresses beyond [`MAX_LISTED`] of a total.
    pub fn add(&mut self, totals: &[CallerTotal]) {
        for total in totals.iter().take(MAX_TOTALS) {
            let key = (&total.service, total.priority);
            let found = self
                .totals
                .binary_search_by(|known| (&known.service, known.priority).cmp(&key));
            let index = match found {
                Ok(index) => index,
                Err(_) if self.totals.len() >= MAX_TOTALS => continue,
                Err(index) => {
                    let none = CallerTotal::none(total.service.clone(), total.priority);
                    self.totals.insert(index, none);
                    index
                }
            };
            if let Some(sum) = self.totals.get_mut(index) {
                sum.openings = sum.openings.saturating_add(total.openings);
                sum.callers.merge(&total.callers);
                sum.largest.extend(total.largest.iter().take(MAX_LISTED));
                if sum.largest.len() > MAX_HELD {
                    join_addresses(&mut sum.largest);
                    sum.largest.truncate(MAX_HELD / 2);
                }
            }
        }
    }

    /// Takes the sums, with the largest addresses of each service. Returns nothing before
    /// [`REPORT_INTERVAL`] has passed since the last time there were sums.
    pub fn take(&mut self, now: Micros) -> Vec<CallerTotal> {
        if self.totals.is_empty() || now < self.due_at {
            return Vec::new();
        }
        self.due_at = now + REPORT_INTERVAL;
        let mut totals = std::mem::take(&mut self.totals);
        for of_service in totals.chunk_by_mut(|left, right| left.service == right.service) {
            let mut counts = Vec::new();
            for total in of_service.iter_mut() {
                join_addresses(&mut total.largest);
                counts.extend(total.largest.iter().map(|(_, openings)| *openings));
            }
            counts.sort_unstable_by_key(|openings| Reverse(*openings));
            let least = counts.get(MAX_LISTED - 1).copied().unwrap_or_default();
            let larger = counts.iter().take_while(|openings| **openings > least);
            let mut room = MAX_LISTED - larger.count();
            for total in of_service {
                total.largest.retain(|(_, openings)| {
                    let is_equal = *openings == least && room > 0;
                    room -= usize::from(is_equal);
                    *openings > least || is_equal
                });
            }
        }
        totals
    }
}

/// Adds up the openings of each address, and puts those with the most first.
fn join_addresses(largest: &mut Vec<(Ipv4Addr, u32)>) {
    largest.sort_unstable();
    largest.dedup_by(|next, kept| {
        let is_same = next.0 == kept.0;
        if is_same {
            kept.1 = kept.1.saturating_add(next.1);
        }
        is_same
    });
    largest.sort_by_key(|(_, openings)| Reverse(*openings));
}
