//! Hash index from flows to slots of the flow table.
//!
//! Uses linear probing with backward-shift deletion. A table with tombstones has to be rebuilt, and
//! grows, after many evictions at a constant number of flows: `hashbrown` doubled its size that way
//! and exceeded 64 bytes per flow.

/// Value of an empty cell.
const EMPTY_CELL: u32 = u32::MAX;

/// Open-addressing hash index with a fixed number of cells.
///
/// A cell holds a slot number and, in the remaining high bits, a tag of hash bits. Comparing tags
/// avoids most accesses to entries of other flows.
#[derive(Debug)]
pub(crate) struct SlotIndex {
    cells: Box<[u32]>,
    slot_bits: u32,
    len: usize,
}

impl SlotIndex {
    /// Creates an index for `capacity` flows with a load factor of at most 3/4.
    pub(crate) fn new(capacity: usize) -> Self {
        let cell_count = (capacity + capacity / 3 + 1).next_power_of_two();
        // The slot bits can hold one number more than there are slots, so that no used cell equals
        // `EMPTY_CELL`.
        let slot_bits = usize::BITS - capacity.leading_zeros();
        Self {
            cells: vec![EMPTY_CELL; cell_count].into_boxed_slice(),
            slot_bits,
            len: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn allocated_bytes(&self) -> usize {
        size_of_val(&*self.cells)
    }

    /// Returns the slot with this hash for which `matches` returns `true`.
    pub(crate) fn find(&self, hash: u64, matches: impl Fn(u32) -> bool) -> Option<u32> {
        let mask = self.cells.len() - 1;
        let tag = self.tag_of(hash);
        let mut position = hash as usize & mask;
        loop {
            let cell = self.cells[position];
            if cell == EMPTY_CELL {
                return None;
            }
            let slot = self.slot_of(cell);
            if cell ^ slot == tag && matches(slot) {
                return Some(slot);
            }
            position = (position + 1) & mask;
        }
    }

    /// Adds a slot that is not yet in the index.
    pub(crate) fn insert(&mut self, hash: u64, slot: u32) {
        let mask = self.cells.len() - 1;
        let mut position = hash as usize & mask;
        while self.cells[position] != EMPTY_CELL {
            position = (position + 1) & mask;
        }
        self.cells[position] = self.tag_of(hash) | slot;
        self.len += 1;
    }

    /// Removes a slot; `hash_of` returns the hash of any slot in the index.
    pub(crate) fn remove(&mut self, hash: u64, slot: u32, hash_of: impl Fn(u32) -> u64) {
        let mask = self.cells.len() - 1;
        let mut gap = hash as usize & mask;
        while self.cells[gap] == EMPTY_CELL || self.slot_of(self.cells[gap]) != slot {
            if self.cells[gap] == EMPTY_CELL {
                return;
            }
            gap = (gap + 1) & mask;
        }
        self.len -= 1;
        let mut position = gap;
        loop {
            position = (position + 1) & mask;
            let cell = self.cells[position];
            if cell == EMPTY_CELL {
                break;
            }
            let home_position = hash_of(self.slot_of(cell)) as usize & mask;
            // A cell may move into the gap unless its home position lies behind the gap.
            if (position.wrapping_sub(home_position) & mask) >= (position.wrapping_sub(gap) & mask)
            {
                self.cells[gap] = cell;
                gap = position;
            }
        }
        self.cells[gap] = EMPTY_CELL;
    }

    fn slot_of(&self, cell: u32) -> u32 {
        cell & ((1_u64 << self.slot_bits) - 1) as u32
    }

    /// Returns the tag of a hash, taken from its upper half. The low bits select the cell.
    fn tag_of(&self, hash: u64) -> u32 {
        let tag = (hash >> 32) as u32;
        tag & !((1_u64 << self.slot_bits) - 1) as u32
    }
}
