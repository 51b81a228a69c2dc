//! Past target sets and past peers, which shards use to route flows and requests that began under
//! them.

use std::sync::Arc;

use conf::Document;
use conf::model::{Service, TargetState};
use conf::packed::content_hash;
use hashbrown::HashMap;
use ids::{ContentHash, Micros, Millis, ServiceName};
use wire::peer::{PastTarget, PastTargetSet, PastTargetSets};
use wire::token::TargetId;

use crate::view::{Candidate, Epoch, TargetSet};

/// Maximum number of target sets per service; bounds the time to route a frame without a record.
const MAX_SETS_PER_SERVICE: usize = 8;
/// Minimum time for which past epochs are kept; longer than the longest deadline plus the fence.
const MIN_EPOCH_RETENTION_MS: Millis = Millis(60_000);
/// Maximum number of epochs; bounds the cost of a view while peers join and leave continuously.
const MAX_EPOCHS: usize = 64;

/// Target sets per service, oldest first.
#[derive(Debug)]
pub(crate) struct TargetSetHistory {
    idle_timeout_ms: Millis,
    sets: HashMap<ServiceName, Vec<Arc<TargetSet>>>,
    /// The sets encoded for joining peers, with the hash and the time of the encoding.
    encoded: Option<(ContentHash, Micros, Arc<[u8]>)>,
}

impl TargetSetHistory {
    pub(crate) fn new(idle_timeout_ms: Millis) -> Self {
        Self {
            idle_timeout_ms,
            sets: HashMap::new(),
            encoded: None,
        }
    }

    /// Adds the target sets of a new document that differ from the current ones.
    pub(crate) fn on_document(&mut self, now: Micros, document: &Document) {
        self.sets
            .retain(|service, _| document.services.contains_key(service));
        for (name, service) in &document.services {
            let set = target_set(now, name, service);
            let sets = self.sets.entry(name.clone()).or_default();
            if sets
                .last()
                .is_some_and(|last| last.candidates == set.candidates)
            {
                continue;
            }
            sets.push(Arc::new(set));
            if sets.len() > MAX_SETS_PER_SERVICE {
                sets.remove(0);
            }
        }
        self.rebuild_value(now);
    }

    /// Merges the sets of a peer into those of this instance, which may lack some because it joined
    /// late or was paused. `value_age` is the time since the peer encoded the value.
    pub(crate) fn merge(&mut self, now: Micros, value_age: Millis, past: &PastTargetSets) {
        let mut merged_by_service: HashMap<ServiceName, Vec<Arc<TargetSet>>> = HashMap::new();
        for set in &past.sets {
            let Some((service, set)) = decode_set(now, value_age, set) else {
                continue;
            };
            merged_by_service
                .entry(service)
                .or_default()
                .push(Arc::new(set));
        }
        for (service, mut merged) in merged_by_service {
            let Some(own) = self.sets.get_mut(&service) else {
                continue;
            };
            let mut insert_at = merged.len();
            for set in own.iter().rev() {
                let has_same_candidates =
                    |other: &Arc<TargetSet>| other.candidates == set.candidates;
                match merged.iter().position(has_same_candidates) {
                    Some(index) => insert_at = index,
                    None => merged.insert(insert_at, Arc::clone(set)),
                }
            }
            merged.drain(..merged.len().saturating_sub(MAX_SETS_PER_SERVICE));
            *own = merged;
        }
        self.rebuild_value(now);
    }

    fn rebuild_value(&mut self, now: Micros) {
        let has_past_sets = self.sets.values().any(|sets| sets.len() > 1);
        self.encoded = has_past_sets.then(|| {
            let mut services: Vec<_> = self
                .sets
                .iter()
                .filter(|(_, sets)| sets.len() > 1)
                .collect();
            services.sort_by_key(|(service, _)| *service);
            let sets = services
                .into_iter()
                .flat_map(|(service, sets)| sets.iter().map(|set| encode_set(now, service, set)));
            let past = PastTargetSets {
                sets: sets.collect(),
            };
            let bytes = past.to_value();
            (content_hash(&bytes), now, bytes.into())
        });
    }

    /// Returns the hash of the encoded sets and the time of the encoding.
    pub(crate) fn digest(&self) -> Option<(ContentHash, Micros)> {
        self.encoded
            .as_ref()
            .map(|&(hash, encoded_at, _)| (hash, encoded_at))
    }

    /// Returns the encoded sets if they have this hash.
    pub(crate) fn value(&self, hash: &ContentHash) -> Option<&Arc<[u8]>> {
        let (own_hash, _, value) = self.encoded.as_ref()?;
        (own_hash == hash).then_some(value)
    }

    /// Removes sets that were superseded longer ago than the idle timeout of flows. Returns whether
    /// any were removed.
    pub(crate) fn retire(&mut self, now: Micros) -> bool {
        let mut has_changed = false;
        for sets in self.sets.values_mut() {
            let retired = sets
                .windows(2)
                .take_while(|pair| now.since(pair[1].since) >= self.idle_timeout_ms)
                .count();
            sets.drain(..retired);
            has_changed |= retired > 0;
        }
        if has_changed {
            self.rebuild_value(now);
        }
        has_changed
    }

    pub(crate) fn sets(&self) -> HashMap<ServiceName, Vec<Arc<TargetSet>>> {
        self.sets.clone()
    }
}

/// Returns the set of a service's targets that accept new flows according to the document.
///
/// The set depends only on the document, so that all instances compute the same placement.
fn target_set(now: Micros, name: &ServiceName, service: &Service) -> TargetSet {
    let mut candidates: Vec<_> = service
        .targets
        .iter()
        .filter(|(_, target)| target.state == TargetState::Serving && target.weight.0 > 0)
        .map(|(target, declared)| Candidate {
            target: TargetId::new(name, target),
            domain: declared.domain.clone(),
            weight: declared.weight.0,
        })
        .collect();
    candidates.sort_by_key(|candidate| candidate.target);
    TargetSet {
        candidates,
        since: now,
    }
}

fn encode_set(now: Micros, service: &ServiceName, set: &TargetSet) -> PastTargetSet {
    let targets = set.candidates.iter().map(|candidate| PastTarget {
        target: candidate.target.0,
        domain: candidate.domain.to_string(),
        weight: candidate.weight,
    });
    PastTargetSet {
        service: service.to_string(),
        age_ms: now.since(set.since).0,
        targets: targets.collect(),
    }
}

/// Decodes a target set of a peer. A set that is older than this process counts as created at its
/// start, so this instance may keep it longer than the peer does.
fn decode_set(
    now: Micros,
    value_age: Millis,
    set: &PastTargetSet,
) -> Option<(ServiceName, TargetSet)> {
    let candidates: Option<Vec<_>> = set
        .targets
        .iter()
        .map(|target| {
            Some(Candidate {
                target: TargetId(target.target),
                domain: target.domain.parse().ok()?,
                weight: target.weight,
            })
        })
        .collect();
    let set_age = Millis(value_age.0.saturating_add(set.age_ms));
    let decoded = TargetSet {
        candidates: candidates?,
        since: now - set_age,
    };
    Some((set.service.parse().ok()?, decoded))
}

/// Sets of peers over time, newest last.
#[derive(Debug)]
pub(crate) struct EpochHistory {
    list: Vec<Epoch>,
    retention: Millis,
}

impl EpochHistory {
    /// Creates an empty history that keeps epochs for at least the idle timeout of flows, so that a
    /// peer that joined within that time is not queried about older flows.
    pub(crate) fn new(idle_timeout_ms: Millis) -> Self {
        Self {
            list: Vec::new(),
            retention: idle_timeout_ms.max(MIN_EPOCH_RETENTION_MS),
        }
    }

    /// Adds an epoch if it differs from the current one. Returns whether it was added.
    pub(crate) fn push(&mut self, now: Micros, epoch: Epoch) -> bool {
        let is_unchanged = self.list.last().is_some_and(|last| {
            last.peers == epoch.peers
                && last.leaving == epoch.leaving
                && last.is_complete == epoch.is_complete
                && last.listed_domains == epoch.listed_domains
        });
        if is_unchanged {
            return false;
        }
        self.list.push(epoch);
        let expired = self
            .list
            .windows(2)
            .take_while(|pair| now.since(pair[1].since) >= self.retention)
            .count();
        let excess = self.list.len().saturating_sub(MAX_EPOCHS);
        self.list.drain(..expired.max(excess));
        true
    }

    pub(crate) fn list(&self) -> Vec<Epoch> {
        self.list.clone()
    }
}
