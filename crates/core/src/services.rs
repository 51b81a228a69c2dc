//! Target sets of each service, for the placement of flows.

use std::sync::Arc;

use hashbrown::{HashMap, HashSet};
use ids::Millis;
use smol_str::SmolStr;
use wire::token::TargetId;

use crate::placement::{self, MaglevTable};
use crate::table::{WrappingMs, elapsed};
use crate::view::{TargetSet, View};

/// How long a retired set still decides whether a new flow needs a record. Peers retire a set at
/// different times, and one that still holds it uses it to place flows without a record.
const RETIRED_SET_RETENTION_MS: Millis = Millis(60_000);

/// Target sets of one service.
#[derive(Debug)]
pub(crate) struct ServiceTargetSets {
    /// Short identifier of the service in flow entries.
    pub(crate) index: u16,
    /// Incremented when the candidates of the newest set change.
    pub(crate) generation: u8,
    /// Sets of the current view, oldest first.
    sets: Vec<Arc<TargetSet>>,
    /// Sets that left the view, with the time when they did.
    retired: Vec<(Arc<TargetSet>, WrappingMs)>,
    lookup: Option<MaglevTable>,
}

impl ServiceTargetSets {
    pub(crate) fn newest(&self) -> Option<&TargetSet> {
        self.sets.last().map(Arc::as_ref)
    }

    /// Returns where the oldest set places a flow without a record, and whether all sets agree.
    pub(crate) fn oldest_placement(&self, domain: &str, flow: u64) -> Option<(TargetId, bool)> {
        let mut placements = self
            .sets
            .iter()
            .filter_map(|set| placement::place(set, domain, flow))
            .map(|candidate| candidate.target);
        let oldest = placements.next()?;
        Some((oldest, placements.all(|target| target == oldest)))
    }

    /// Returns whether a flow on `target` needs a record, because a peer without one could send its
    /// frames to another target, now or after the older sets are retired.
    pub(crate) fn needs_record(&self, target: TargetId, domain: &str, flow: u64) -> bool {
        let is_placed_elsewhere = |set: &TargetSet| {
            placement::place(set, domain, flow).is_none_or(|candidate| candidate.target != target)
        };
        self.sets.first().is_none_or(|set| is_placed_elsewhere(set))
            || self.sets.last().is_none_or(|set| is_placed_elsewhere(set))
            || self.retired.iter().any(|(set, _)| is_placed_elsewhere(set))
    }

    /// Returns the target of a flow in the lookup table.
    pub(crate) fn lookup_target(&self, flow: u64) -> Option<TargetId> {
        self.lookup
            .as_ref()?
            .place(flow)
            .map(|candidate| candidate.target)
    }

    fn update(&mut self, now: WrappingMs, sets: &[Arc<TargetSet>], uses_lookup: bool) {
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
            self.lookup = sets.last().map(|set| MaglevTable::new(set));
        }
        self.sets.clear();
        self.sets.extend_from_slice(sets);
    }
}

/// All services that a shard has seen in a view.
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

    /// Applies the target sets of a view. A service that left the document keeps its index, so that
    /// its flows are not mixed up with those of other services.
    pub(crate) fn update(&mut self, now: WrappingMs, view: &View, uses_lookup: bool) {
        for (service, sets) in &view.target_sets {
            if let Some(known) = self.by_name.get_mut(service.as_str()) {
                known.update(now, sets, uses_lookup);
                continue;
            }
            // Section 2 of the design has 6,800 services. Services beyond 65,536 are ignored, so
            // their flows are refused as unknown.
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
