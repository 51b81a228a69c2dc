//! The target sets of each service, as placement of flows needs them.

use std::sync::Arc;

use hashbrown::{HashMap, HashSet};
use ids::Millis;
use smol_str::SmolStr;
use wire::token::TargetId;

use crate::place::{self, LookupTable};
use crate::table::{ShortMs, elapsed};
use crate::view::{TargetSet, View};

/// Time for which a retired set still decides whether a new flow needs a record. Peers retire a set
/// at different times, and one that still holds it answers by it for flows without a record.
const RETIRED_SET_RETENTION_MS: Millis = Millis(60_000);

/// One service.
#[derive(Debug)]
pub(crate) struct ServiceTargetSets {
    /// Short number of the service in flow entries.
    pub(crate) index: u16,
    /// Changes with the newest set.
    pub(crate) generation: u8,
    /// Retained sets, oldest first.
    sets: Vec<Arc<TargetSet>>,
    retired: Vec<(Arc<TargetSet>, ShortMs)>,
    lookup: Option<LookupTable>,
}

impl ServiceTargetSets {
    pub(crate) fn newest(&self) -> Option<&TargetSet> {
        self.sets.last().map(Arc::as_ref)
    }

    /// Returns the target that holds for a flow without a record, and whether all sets agree on it.
    pub(crate) fn oldest_placement(&self, domain: &str, flow: u64) -> Option<(TargetId, bool)> {
        let mut answers = self
            .sets
            .iter()
            .filter_map(|set| place::place(set, domain, flow))
            .map(|candidate| candidate.target);
        let oldest = answers.next()?;
        Some((oldest, answers.all(|answer| answer == oldest)))
    }

    /// Tells whether a flow on `target` needs a record, because a peer without one could send its
    /// frames elsewhere, now or after the older sets are retired.
    pub(crate) fn needs_record(&self, target: TargetId, domain: &str, flow: u64) -> bool {
        let is_placed_elsewhere = |set: &TargetSet| {
            place::place(set, domain, flow).is_none_or(|answer| answer.target != target)
        };
        self.sets.first().is_none_or(|set| is_placed_elsewhere(set))
            || self.sets.last().is_none_or(|set| is_placed_elsewhere(set))
            || self.retired.iter().any(|(set, _)| is_placed_elsewhere(set))
    }

    /// Returns the answer of the lookup table.
    pub(crate) fn lookup_target(&self, flow: u64) -> Option<TargetId> {
        self.lookup
            .as_ref()?
            .place(flow)
            .map(|candidate| candidate.target)
    }

    fn update(&mut self, now: ShortMs, sets: &[Arc<TargetSet>], uses_lookup: bool) {
        self.retired
            .retain(|(_, since)| elapsed(now, *since) < RETIRED_SET_RETENTION_MS);
        let is_superseded = |set: &Arc<TargetSet>| !sets.iter().any(|other| other == set);
        let superseded = self.sets.iter().filter(|set| is_superseded(set)).cloned();
        self.retired.extend(superseded.map(|set| (set, now)));
        let has_changed =
            self.newest().map(|set| &set.candidates) != sets.last().map(|set| &set.candidates);
        if has_changed {
            self.generation = self.generation.wrapping_add(1);
        }
        if uses_lookup && (has_changed || self.lookup.is_none()) {
            self.lookup = sets.last().map(|set| LookupTable::new(set));
        }
        self.sets.clear();
        self.sets.extend_from_slice(sets);
    }
}

/// All services that the shard has seen in a view.
#[derive(Debug, Default)]
pub(crate) struct Services {
    by_name: HashMap<SmolStr, ServiceTargetSets>,
    names: Vec<SmolStr>,
}

impl Services {
    pub(crate) fn get(&self, name: &str) -> Option<&ServiceTargetSets> {
        self.by_name.get(name)
    }

    pub(crate) fn name(&self, index: u16) -> Option<&SmolStr> {
        self.names.get(usize::from(index))
    }

    /// Takes the sets of a view. A service that left the document keeps its number, so that its
    /// flows stay apart from those of other services.
    pub(crate) fn update(&mut self, now: ShortMs, view: &View, uses_lookup: bool) {
        for (service, sets) in &view.target_sets {
            if let Some(known) = self.by_name.get_mut(service.as_str()) {
                known.update(now, sets, uses_lookup);
                continue;
            }
            // Section 2 of the design has 6,800 services; beyond 65,536 they are refused as unknown.
            let Ok(index) = u16::try_from(self.names.len()) else {
                continue;
            };
            let name = SmolStr::new(service.as_str());
            let mut added = ServiceTargetSets {
                index,
                generation: 0,
                sets: Vec::new(),
                retired: Vec::new(),
                lookup: None,
            };
            added.update(now, sets, uses_lookup);
            self.names.push(name.clone());
            self.by_name.insert(name, added);
        }
        if self.by_name.len() == view.target_sets.len() {
            return;
        }
        let listed: HashSet<&str> = view.target_sets.keys().map(|name| name.as_str()).collect();
        for (name, known) in &mut self.by_name {
            if !listed.contains(name.as_str()) {
                known.update(now, &[], uses_lookup);
            }
        }
    }
}
