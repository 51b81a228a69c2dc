//! Lists the targets of each service by failure domain, and counts their stalled requests.
//!
//! An opening packet draws a few random targets from a list, so that its cost does not grow with the
//! number of targets.

use hashbrown::HashMap;
use ids::Micros;
use smol_str::SmolStr;

use crate::evidence::StalledRequests;
use crate::model::{Target, TargetId};
use crate::stall_sum::StallSum;
use crate::target_state::TargetState;

/// The targets of a service in one failure domain.
#[derive(Debug)]
pub struct DomainTargets {
    /// Name of the failure domain.
    pub domain: SmolStr,
    /// The targets, in any order.
    pub ids: Vec<TargetId>,
    /// Number of them that accept new flows by their reports.
    serving: usize,
    /// Number of those whose reports have disappeared without a drain.
    lapsed: usize,
}

/// Part of a failure domain's targets whose reports may disappear together. If more do, the store
/// has probably lost them, and the targets are alive.
const MAX_LOST_PART: f32 = 0.25;

impl DomainTargets {
    fn adjust(&mut self, state: TargetState, change: isize) {
        let count = match state {
            TargetState::Serving => &mut self.serving,
            TargetState::Lapsed => &mut self.lapsed,
            _ => return,
        };
        *count = count.saturating_add_signed(change);
    }

    /// Returns whether so many reports have disappeared that the store has probably lost them.
    pub(crate) fn are_reports_lost(&self) -> bool {
        self.lapsed as f32 > MAX_LOST_PART * (self.serving + self.lapsed) as f32
    }
}

/// The targets of a service.
#[derive(Debug, Default)]
pub struct ServiceTargets {
    /// The failure domains that have targets of the service. They are few, so a list is faster than
    /// a lookup by hash.
    domains: Vec<DomainTargets>,
    pub(crate) stalls: StallSum,
}

impl ServiceTargets {
    /// Returns the targets by failure domain. None of the lists is empty.
    pub fn domains(&self) -> &[DomainTargets] {
        &self.domains
    }

    /// Returns all targets.
    pub fn ids(&self) -> impl Iterator<Item = TargetId> {
        self.domains
            .iter()
            .flat_map(|list| list.ids.iter().copied())
    }

    /// Returns the number of targets.
    pub fn count(&self) -> usize {
        self.domains.iter().map(|list| list.ids.len()).sum()
    }

    /// Returns the targets of a failure domain, if there are any.
    pub(crate) fn own_list(&self, domain: &str) -> Option<&DomainTargets> {
        self.domains.iter().find(|list| list.domain == domain)
    }

    /// Returns the targets of all other failure domains.
    pub(crate) fn other_lists(&self, domain: &str) -> impl Iterator<Item = &DomainTargets> + Clone {
        self.domains
            .iter()
            .filter(move |list| list.domain != domain)
    }

    fn insert(&mut self, domain: &SmolStr, id: TargetId) {
        if let Some(list) = self.domains.iter_mut().find(|list| list.domain == *domain) {
            list.ids.push(id);
            return;
        }
        self.domains.push(DomainTargets {
            domain: domain.clone(),
            ids: vec![id],
            serving: 0,
            lapsed: 0,
        });
    }

    fn remove(&mut self, domain: &SmolStr, id: TargetId) {
        let Some(index) = self.domains.iter().position(|list| list.domain == *domain) else {
            return;
        };
        let Some(list) = self.domains.get_mut(index) else {
            return;
        };
        list.ids.retain(|known| *known != id);
        if list.ids.is_empty() {
            self.domains.swap_remove(index);
        }
    }
}

/// The targets of all services.
#[derive(Debug, Default)]
pub(crate) struct ServiceIndex {
    services: HashMap<SmolStr, ServiceTargets>,
}

impl ServiceIndex {
    /// Returns the names of the services that have targets.
    pub(crate) fn names(&self) -> impl Iterator<Item = &SmolStr> {
        self.services.keys()
    }

    /// Returns the targets of a service, unless it has none.
    pub(crate) fn service(&self, name: &str) -> Option<&ServiceTargets> {
        self.services.get(name)
    }

    pub(crate) fn service_mut(&mut self, name: &str) -> Option<&mut ServiceTargets> {
        self.services.get_mut(name)
    }

    /// Counts a target whose state changes.
    pub(crate) fn count_state(&mut self, target: &Target, from: TargetState, to: TargetState) {
        let service = self.services.get_mut(&target.service);
        let lists = service.into_iter().flat_map(|service| &mut service.domains);
        for list in lists.filter(|list| list.domain == target.domain) {
            list.adjust(to, 1);
            list.adjust(from, -1);
        }
    }

    /// Adds a target with the stalled requests that are known of it.
    pub(crate) fn insert(&mut self, now: Micros, target: &Target, stalled: &StalledRequests) {
        let service = self.services.entry(target.service.clone()).or_default();
        service.insert(&target.domain, target.id);
        service.stalls.insert(now, target.id, stalled);
    }

    /// Excludes the stalled requests of a target that has started again. Its place in the lists stays,
    /// since finding it takes time in proportion to their length.
    pub(crate) fn discard_stalled(&mut self, target: &Target, stalled: &StalledRequests) {
        if let Some(service) = self.services.get_mut(&target.service) {
            service.stalls.remove(target.id, stalled);
        }
    }

    /// Removes a target that was added with this service and failure domain.
    pub(crate) fn remove(&mut self, target: &Target, stalled: &StalledRequests) {
        let Some(service) = self.services.get_mut(&target.service) else {
            return;
        };
        service.remove(&target.domain, target.id);
        service.stalls.remove(target.id, stalled);
        if service.domains.is_empty() {
            self.services.remove(&target.service);
        }
    }
}

/// Returns the target at a position in the concatenation of some lists.
pub(crate) fn nth_target<'l>(
    lists: impl Iterator<Item = &'l DomainTargets>,
    position: usize,
) -> Option<TargetId> {
    let mut rest = position;
    for list in lists {
        if let Some(id) = list.ids.get(rest) {
            return Some(*id);
        }
        rest -= list.ids.len();
    }
    None
}
