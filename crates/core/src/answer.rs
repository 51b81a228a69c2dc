//! Parts of answers, kept in bounded memory to answer resends.

use std::collections::{BTreeMap, VecDeque};

use wire::frame::Frame;

/// Maximum number of parts of an answer; further parts violate the target's contract.
const MAX_ANSWER_PARTS: usize = 65_536;

/// Parts of one answer.
#[derive(Debug, Default)]
pub(crate) struct AnswerParts {
    /// Parts by number; the frame is `None` if it was dropped to bound memory.
    parts: BTreeMap<u32, Option<Frame>>,
    /// Number of the last part, once it has arrived.
    last_number: Option<u32>,
    /// Total size of the kept bodies.
    held_bytes: usize,
    is_evicted: bool,
}

/// Result of adding a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PartResult {
    /// The part is new, and others are still missing.
    Incomplete,
    /// The part completes the answer.
    Complete,
    /// The part is a duplicate or contradicts an earlier one.
    Ignored,
}

impl AnswerParts {
    /// Adds a part; if the bodies exceed `max_bytes`, all of them are dropped.
    pub fn add(&mut self, frame: &Frame, max_bytes: usize) -> PartResult {
        let number = frame.part;
        let is_past_end = self
            .last_number
            .is_some_and(|last| number > last || frame.last);
        let is_last_too_low = frame.last && self.parts.keys().any(|part| *part > number);
        let is_known = self.parts.contains_key(&number);
        if is_known || is_past_end || is_last_too_low || self.parts.len() >= MAX_ANSWER_PARTS {
            return PartResult::Ignored;
        }
        if frame.last {
            self.last_number = Some(number);
        }
        self.is_evicted |= self.held_bytes + frame.body.len() > max_bytes;
        if self.is_evicted {
            self.drop_bodies();
            self.parts.insert(number, None);
        } else {
            self.held_bytes += frame.body.len();
            self.parts.insert(number, Some(frame.clone()));
        }
        match self.last_number {
            Some(last) if self.parts.len() as u64 == u64::from(last) + 1 => PartResult::Complete,
            _ => PartResult::Incomplete,
        }
    }

    /// Returns the kept parts in order.
    pub fn held_parts(&self) -> impl Iterator<Item = &Frame> {
        self.parts.values().flatten()
    }

    /// Returns the total size of the kept bodies.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns whether bodies were dropped to bound memory.
    pub fn is_evicted(&self) -> bool {
        self.is_evicted
    }

    /// Drops the bodies but keeps the numbers, so that duplicate parts are still detected.
    pub fn drop_bodies(&mut self) {
        self.is_evicted = true;
        self.held_bytes = 0;
        self.parts.values_mut().for_each(|part| *part = None);
    }
}

/// Memory of the answers that a shard keeps, and their eviction order.
#[derive(Debug, Default)]
pub(crate) struct AnswerCache {
    /// Total size of the kept bodies.
    pub held_bytes: usize,
    /// Ids of answered requests, oldest first.
    pub eviction_order: VecDeque<u64>,
}
