//! Simulated configuration service that can be down or stale.

use std::collections::BTreeMap;

use balance::event::{PlatformKey, PlatformOutcome};
use ids::{Micros, Millis};

/// Behaviour of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformMode {
    /// Responds with the newest values.
    Up,
    /// Responds with the values from when it became stale.
    Stale,
    /// Fails every call.
    Down,
}

/// Response to one instance.
#[derive(Debug)]
pub struct Response {
    /// Index of the instance.
    pub instance: usize,
    /// Key that was read.
    pub key: PlatformKey,
    /// Outcome of the read.
    pub outcome: PlatformOutcome,
}

#[derive(Debug)]
struct Watch {
    instance: usize,
    key: PlatformKey,
    etag: Option<String>,
    expires_at: Micros,
}

/// Published values, and watches that wait for a change.
#[derive(Debug)]
pub struct Platform {
    /// Current behaviour.
    pub mode: PlatformMode,
    /// Number of calls so far; a waiting watch counts as one.
    pub calls: u64,
    values: BTreeMap<String, Vec<u8>>,
    stale_values: BTreeMap<String, Vec<u8>>,
    watches: Vec<Watch>,
}

impl Platform {
    pub fn new() -> Self {
        Self {
            mode: PlatformMode::Up,
            calls: 0,
            values: BTreeMap::new(),
            stale_values: BTreeMap::new(),
            watches: Vec::new(),
        }
    }

    /// Sets a value; watches get it from the next [`Platform::due_responses`].
    pub fn set(&mut self, key: &str, value: Vec<u8>) {
        self.values.insert(key.to_owned(), value);
    }

    /// Makes the service respond with the current values, whatever is set later.
    pub fn become_stale(&mut self) {
        self.stale_values = self.values.clone();
        self.mode = PlatformMode::Stale;
    }

    /// Registers a read; [`Platform::due_responses`] returns its response.
    pub fn read(
        &mut self,
        now: Micros,
        instance: usize,
        key: PlatformKey,
        etag: Option<String>,
        wait_ms: Millis,
    ) {
        self.calls += 1;
        self.watches.push(Watch {
            instance,
            key,
            etag,
            expires_at: now + wait_ms,
        });
    }

    /// Drops the watches of an instance that has exited.
    pub fn drop_watches(&mut self, instance: usize) {
        self.watches.retain(|watch| watch.instance != instance);
    }

    /// Returns the responses that are due at `now`.
    pub fn due_responses(&mut self, now: Micros) -> Vec<Response> {
        let watches = std::mem::take(&mut self.watches);
        let mut responses = Vec::new();
        for watch in watches {
            match self.outcome(&watch, now) {
                Some(outcome) => responses.push(Response {
                    instance: watch.instance,
                    key: watch.key,
                    outcome,
                }),
                None => self.watches.push(watch),
            }
        }
        responses
    }

    fn outcome(&self, watch: &Watch, now: Micros) -> Option<PlatformOutcome> {
        let values = match self.mode {
            PlatformMode::Down => {
                return Some(PlatformOutcome::Failed("connection refused".to_owned()));
            }
            PlatformMode::Stale => &self.stale_values,
            PlatformMode::Up => &self.values,
        };
        let Some(bytes) = values.get(&storage_key(&watch.key)) else {
            return Some(PlatformOutcome::Missing);
        };
        let etag = conf::packed::content_hash(bytes).to_string();
        if watch.etag.as_ref() != Some(&etag) {
            return Some(PlatformOutcome::Value {
                bytes: bytes.clone(),
                etag,
            });
        }
        (now >= watch.expires_at).then_some(PlatformOutcome::Unchanged)
    }
}

fn storage_key(key: &PlatformKey) -> String {
    match key {
        PlatformKey::Root => "root".to_owned(),
        PlatformKey::Part(hash) => format!("part/{hash}"),
        PlatformKey::Instances(group) => format!("instances/{group}"),
    }
}
