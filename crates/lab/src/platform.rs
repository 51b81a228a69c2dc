//! The configuration service as experiments with [`crate::group`] see it.

use std::collections::BTreeMap;

use balance::event::PlatformKey;
use ids::{ContentHash, Micros, Millis};

/// The configuration service.
#[derive(Debug, Default)]
pub struct Platform {
    /// The root that readers see.
    pub root: Option<Vec<u8>>,
    /// Values by content hash.
    pub parts: BTreeMap<ContentHash, Vec<u8>>,
    /// Whether it answers no call.
    pub is_down: bool,
    /// Instances that see another root, as a stale replica serves it.
    pub stale_roots: BTreeMap<usize, Vec<u8>>,
    /// Calls made, with those refused.
    pub calls: u64,
    /// Calls refused above the rate.
    pub refused: u64,
    /// Least time between two calls that are served, which is the group's share of the platform's
    /// rate; zero for no limit.
    pub call_interval_ms: Millis,
    next_call_at: Micros,
    pub(crate) instance_list: Vec<u8>,
    pub(crate) watches: Vec<Watch>,
}

/// A call that waits for a change.
#[derive(Debug)]
pub(crate) struct Watch {
    pub(crate) instance: usize,
    pub(crate) key: PlatformKey,
    pub(crate) etag: Option<String>,
    pub(crate) ends_at: Micros,
}

impl Platform {
    /// Counts a call and tells whether it is within the rate.
    pub(crate) fn admit_call(&mut self, now: Micros) -> bool {
        self.calls += 1;
        if now < self.next_call_at {
            self.refused += 1;
            return false;
        }
        self.next_call_at = now + self.call_interval_ms;
        true
    }

    /// Forgets all watches without an answer.
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

/// Returns the entity tag of a value.
pub fn etag_of(value: &[u8]) -> String {
    format!("{:016x}", ids::hash_of(0, value))
}
