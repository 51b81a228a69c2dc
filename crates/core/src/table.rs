//! Flow table: a slab of fixed-size entries with a hash index.
//!
//! New entries enter a probation segment and move to the protected segment with their second frame.
//! A full table evicts the oldest entry in probation first, so that a flood of one-frame flows
//! cannot evict established ones. The table allocates memory only when it is created.

use std::mem;

use ids::{Millis, hash_pair};
use wire::token::TargetId;

use crate::flow_state::FlowState;
use crate::index::SlotIndex;

/// Marks the end of a list of slots.
const NO_SLOT: u32 = u32::MAX;

/// Maximum number of flows of one table. The rest of a 32-bit index cell holds hash bits.
const MAX_FLOWS: usize = 1 << 26;

/// Entries compared to choose a victim when no entry is in probation.
const EVICTION_SAMPLE_LEN: usize = 16;

/// Time in milliseconds that wraps after 49 days. Differences remain correct, because entries
/// expire long before that.
pub(crate) type WrappingMs = u32;

/// Returns the milliseconds from `earlier` to `now`.
pub(crate) fn elapsed(now: WrappingMs, earlier: WrappingMs) -> Millis {
    Millis(u64::from(now.wrapping_sub(earlier)))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Segment {
    Vacant,
    Probation,
    Protected,
}

/// Set of flags of a flow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct FlowFlags(u8);

impl FlowFlags {
    /// The caller echoes tokens.
    pub(crate) const ECHO: Self = Self(1);
    /// The two owners of the flow have a record, which this instance renews and hands over.
    pub(crate) const RECORDED: Self = Self(2);
    /// This instance counts the flow among the flows of its target.
    pub(crate) const COUNTED: Self = Self(4);

    pub(crate) fn has(self, flag: Self) -> bool {
        self.0 & flag.0 != 0
    }

    pub(crate) fn set(&mut self, flag: Self, value: bool) {
        if value {
            self.0 |= flag.0;
        } else {
            self.0 &= !flag.0;
        }
    }
}

/// Entry of one flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FlowEntry {
    pub(crate) flow: u64,
    pub(crate) target: TargetId,
    /// Time of the last frame of the flow.
    pub(crate) last_seen_ms: WrappingMs,
    /// Time at which the record of the flow was last sent to its owners.
    pub(crate) record_sent_ms: WrappingMs,
    /// Time of the oldest unanswered keep-alive; valid if `unanswered_keep_alives` is positive.
    pub(crate) first_unanswered_ms: WrappingMs,
    /// Slot of the next older entry in probation.
    older: u32,
    /// Slot of the next newer entry in probation, or of the next vacant slot.
    newer: u32,
    pub(crate) service: u16,
    /// Generation of the service's target sets for which the need for a record was last checked.
    pub(crate) generation: u8,
    pub(crate) state: FlowState,
    segment: Segment,
    pub(crate) flags: FlowFlags,
    /// Keep-alives forwarded since the last frame from the target.
    pub(crate) unanswered_keep_alives: u8,
}

impl FlowEntry {
    pub(crate) fn new(service: u16, flow: u64, target: TargetId, state: FlowState) -> Self {
        Self {
            flow,
            target,
            last_seen_ms: 0,
            record_sent_ms: 0,
            first_unanswered_ms: 0,
            older: NO_SLOT,
            newer: NO_SLOT,
            service,
            generation: 0,
            state,
            segment: Segment::Vacant,
            flags: FlowFlags::default(),
            unanswered_keep_alives: 0,
        }
    }
}

/// Table of flows, keyed by service and flow id.
#[derive(Debug)]
pub(crate) struct FlowTable {
    index: SlotIndex,
    entries: Vec<FlowEntry>,
    capacity: usize,
    seed: u64,
    first_vacant: u32,
    oldest_probation: u32,
    newest_probation: u32,
    next_sample: usize,
}

impl FlowTable {
    /// Creates a table. `seed` must be secret, so that callers cannot choose colliding flow ids.
    pub(crate) fn new(capacity: usize, seed: u64) -> Self {
        let capacity = capacity.clamp(1, MAX_FLOWS);
        Self {
            index: SlotIndex::new(capacity),
            entries: Vec::with_capacity(capacity),
            capacity,
            seed,
            first_vacant: NO_SLOT,
            oldest_probation: NO_SLOT,
            newest_probation: NO_SLOT,
            next_sample: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns the number of bytes allocated for the entries and the index.
    pub(crate) fn allocated_bytes(&self) -> usize {
        self.entries.capacity() * mem::size_of::<FlowEntry>() + self.index.allocated_bytes()
    }

    pub(crate) fn find(&self, service: u16, flow: u64) -> Option<u32> {
        self.index.find(self.hash(service, flow), |slot| {
            let entry = self.get(slot);
            entry.flow == flow && entry.service == service
        })
    }

    /// Returns the entry in a slot that [`Self::find`] or [`Self::insert`] returned, or that is
    /// below [`Self::slot_count`].
    pub(crate) fn get_mut(&mut self, slot: u32) -> &mut FlowEntry {
        &mut self.entries[slot as usize]
    }

    pub(crate) fn get(&self, slot: u32) -> &FlowEntry {
        &self.entries[slot as usize]
    }

    /// Inserts a flow that is not yet in the table. Returns its slot and the evicted entry, if any.
    pub(crate) fn insert(&mut self, mut entry: FlowEntry) -> (u32, Option<FlowEntry>) {
        let evicted = (self.len() >= self.capacity)
            .then(|| self.choose_victim(entry.last_seen_ms))
            .flatten()
            .map(|slot| self.remove(slot));
        entry.segment = Segment::Probation;
        entry.older = NO_SLOT;
        entry.newer = NO_SLOT;
        let slot = self.allocate_slot(entry);
        self.append_probation(slot);
        let hash = self.hash(entry.service, entry.flow);
        self.index.insert(hash, slot);
        (slot, evicted)
    }

    /// Moves an entry from probation to the protected segment.
    pub(crate) fn promote(&mut self, slot: u32) {
        if self.get(slot).segment == Segment::Probation {
            self.unlink_probation(slot);
            self.get_mut(slot).segment = Segment::Protected;
        }
    }

    pub(crate) fn remove(&mut self, slot: u32) -> FlowEntry {
        let entry = *self.get(slot);
        let hash = self.hash(entry.service, entry.flow);
        let (entries, seed) = (&self.entries, self.seed);
        self.index.remove(hash, slot, |slot| {
            let entry = &entries[slot as usize];
            flow_hash(seed, entry.service, entry.flow)
        });
        if entry.segment == Segment::Probation {
            self.unlink_probation(slot);
        }
        let next_vacant = mem::replace(&mut self.first_vacant, slot);
        let freed_entry = self.get_mut(slot);
        freed_entry.segment = Segment::Vacant;
        freed_entry.newer = next_vacant;
        entry
    }

    /// Returns the number of slots, occupied or vacant.
    pub(crate) fn slot_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether a slot below [`Self::slot_count`] holds a flow.
    pub(crate) fn is_occupied(&self, slot: u32) -> bool {
        self.get(slot).segment != Segment::Vacant
    }

    fn hash(&self, service: u16, flow: u64) -> u64 {
        flow_hash(self.seed, service, flow)
    }

    fn allocate_slot(&mut self, entry: FlowEntry) -> u32 {
        if self.first_vacant == NO_SLOT {
            self.entries.push(entry);
            return (self.entries.len() - 1) as u32;
        }
        let slot = self.first_vacant;
        self.first_vacant = self.get(slot).newer;
        *self.get_mut(slot) = entry;
        slot
    }

    /// Returns the oldest entry in probation, or else the longest idle one of a sample.
    fn choose_victim(&mut self, now_ms: WrappingMs) -> Option<u32> {
        if self.oldest_probation != NO_SLOT {
            return Some(self.oldest_probation);
        }
        // The table is full here, so every slot is occupied.
        let len = self.entries.len();
        let sample =
            (self.next_sample..self.next_sample + EVICTION_SAMPLE_LEN).map(|at| (at % len) as u32);
        self.next_sample = (self.next_sample + EVICTION_SAMPLE_LEN) % len;
        sample.max_by_key(|&slot| elapsed(now_ms, self.get(slot).last_seen_ms))
    }

    fn append_probation(&mut self, slot: u32) {
        let previous = mem::replace(&mut self.newest_probation, slot);
        self.get_mut(slot).older = previous;
        if previous == NO_SLOT {
            self.oldest_probation = slot;
        } else {
            self.get_mut(previous).newer = slot;
        }
    }

    fn unlink_probation(&mut self, slot: u32) {
        let FlowEntry { older, newer, .. } = *self.get(slot);
        match older {
            NO_SLOT => self.oldest_probation = newer,
            _ => self.get_mut(older).newer = newer,
        }
        match newer {
            NO_SLOT => self.newest_probation = older,
            _ => self.get_mut(newer).older = older,
        }
    }
}

fn flow_hash(seed: u64, service: u16, flow: u64) -> u64 {
    hash_pair(flow, seed ^ u64::from(service))
}
