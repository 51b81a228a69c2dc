//! The configuration service that [`crate::group`] simulates.

use std::collections::BTreeMap;

use balance::event::PlatformKey;
use ids::{ContentHash, Micros, Millis};

/// Simulated configuration service.
#[derive(Debug, Default)]
pub struct Platform {
    /// Published root.
    pub root: Option<Vec<u8>>,
    /// Published values by content hash.
    pub parts: BTreeMap<ContentHash, Vec<u8>>,
    /// Whether all calls fail.
    pub is_down: bool,
    /// Roots served to certain instances instead of `root`, as a stale replica would.
    pub stale_roots: BTreeMap<usize, Vec<u8>>,
    /// Calls received, including refused ones.
    pub calls: u64,
    /// Calls refused because they exceeded the rate.
    pub refused: u64,
    /// Minimum interval between two accepted calls, which represents the group's share of the
    /// platform's rate limit. Zero means no limit.
    pub call_interval_ms: Millis,
    next_call_at: Micros,
    pub(crate) instance_list: Vec<u8>,
    pub(crate) watches: Vec<Watch>,
}

/// A read that waits until its value changes.
#[derive(Debug)]
pub(crate) struct Watch {
    pub(crate) instance: usize,
    pub(crate) key: PlatformKey,
    pub(crate) etag: Option<String>,
    pub(crate) ends_at: Micros,
}

impl Platform {
    /// Counts a call and returns whether it is within the rate limit.
    pub(crate) fn admit_call(&mut self, now: Micros) -> bool {
        self.calls += 1;
        if now < self.next_call_at {
            self.refused += 1;
            return false;
        }
        self.next_call_at = now + self.call_interval_ms;
        true
    }

    /// Drops all pending watches without an answer.
    pub fn drop_watches(&mut self) {
        self.watches.clear();
    }

    pub(crate) fn value(&self, instance: usize, key: &PlatformKey) -> Option<Vec<u8>> {
        match key {
            PlatformKey::Root => self
                .stale_roots
                .get(&instance)
                .or(self.root.as_ref())
                .cloned(),
            PlatformKey::Part(hash) => self.parts.get(hash).cloned(),
            PlatformKey::Instances(_) => Some(self.instance_list.clone()),
        }
    }
}

/// Returns the entity tag (ETag) of a value.
pub fn etag_of(value: &[u8]) -> String {
    format!("{:016x}", ids::hash_of(0, value))
}
