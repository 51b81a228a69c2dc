//! A hash index from flows to slots of the flow table.
//!
//! It probes linearly and closes the gap when a key is removed. A table that marks removed keys
//! instead has to rebuild itself, and grows, after enough evictions at a steady number of flows;
//! `hashbrown` doubled that way and exceeded 64 bytes per flow.

/// Marks an empty cell.
const EMPTY_CELL: u32 = u32::MAX;

/// Cells of a slot number and, in the remaining high bits, of a part of the hash, which spares most
/// looks at entries of other flows.
#[derive(Debug)]
pub(crate) struct SlotIndex {
    cells: Box<[u32]>,
    slot_bits: u32,
    len: usize,
}

impl SlotIndex {
    /// Creates an index whose cells are at most three quarters full.
    pub(crate) fn new(capacity: usize) -> Self {
        let cell_count = (capacity + capacity / 3 + 1).next_power_of_two();
        // One number more than the slots keeps a full cell different from the mark of an empty one.
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

    /// Returns the slot with a hash that passes a comparison.
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

    /// Adds a slot that the index does not have.
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
            // A cell may move into the gap unless its home_position lies behind the gap.
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

    /// Returns the high bits of a hash in the place of the tag; the low bits choose the cell.
    fn tag_of(&self, hash: u64) -> u32 {
        let tag = (hash >> 32) as u32;
        tag & !((1_u64 << self.slot_bits) - 1) as u32
    }
}
