//! Summaries of the load of whole failure domains, which their instances tell to other domains.
//!
//! The root of a domain asks for them while requests wait, and passes them down with its totals. See
//! [spill-over](../../../docs/design/spill-over.md).

use ids::{Micros, Millis};
use smol_str::SmolStr;

use crate::steer::Steer;
use crate::view::TargetRecord;

/// Age after which a summary is no longer used: five were lost by then.
pub const MAX_SUMMARY_AGE: Millis = Millis(2_000);

/// Time for which a domain counts as short of capacity after its admitted share has recovered.
const SHORT_PERIOD: Millis = Millis(1_000);

/// Bounds of the slowness in a summary, which are those of a target. A peer's values may be wrong.
const SLOWNESS_MILLI: std::ops::RangeInclusive<u32> = 250..=16_000;

/// Load of a service's targets in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemoteLoad {
    /// The failure domain.
    pub domain: SmolStr,
    /// The service.
    pub service: SmolStr,
    /// Slots of the targets that can get new flows.
    pub slots: u32,
    /// Requests of the domain's instances that were sent to these targets and not answered yet.
    pub pending: u32,
    /// Mean time for a request relative to the mean of its route, in thousandths.
    pub slowness_milli: u32,
    /// Whether the service was short of capacity within the last second.
    pub is_short: bool,
    /// Time since the domain's loads were added up.
    pub age: Millis,
}

/// Sum over the targets of a service in the own failure domain that can get new flows.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OwnLoad {
    pub(crate) slots: u32,
    pub(crate) pending: u32,
    pub(crate) slowness: f32,
    pub(crate) targets: u32,
}

impl Steer {
    /// Returns the load of each service that has targets in the own failure domain, or nothing if no
    /// total has arrived yet.
    pub fn domain_summary(&self, now: Micros) -> Vec<RemoteLoad> {
        let Some(totals_at) = self.domain_loads_at else {
            return Vec::new();
        };
        let summary = |service: &SmolStr| {
            let load = self.own_load(now, service);
            RemoteLoad {
                domain: self.settings.domain.clone(),
                service: service.clone(),
                slots: load.slots,
                pending: load.pending,
                slowness_milli: (load.slowness * 1_000.0) as u32,
                is_short: self.spill.was_short(now, service, SHORT_PERIOD),
                age: now.since(totals_at),
            }
        };
        let names = self.view.service_names();
        let own = names.filter(|service| self.has_own_targets(service));
        own.map(summary).collect()
    }

    /// Applies summaries of other failure domains. Those of unknown services or domains are ignored,
    /// so that peers cannot fill the memory.
    pub fn on_remote_loads(&mut self, now: Micros, loads: &[RemoteLoad]) {
        for load in loads {
            let domain = load.domain.as_str();
            let targets = self.view.service_targets(&load.service);
            let mut domains = targets.into_iter().flat_map(|targets| targets.domains());
            if domain == self.settings.domain || !domains.any(|list| list.domain == domain) {
                continue;
            }
            let load = RemoteLoad {
                slowness_milli: load
                    .slowness_milli
                    .clamp(*SLOWNESS_MILLI.start(), *SLOWNESS_MILLI.end()),
                ..load.clone()
            };
            let spill = self.spill.services.entry(load.service.clone());
            spill.or_default().insert(now - load.age, load);
        }
    }

    /// Returns whether summaries of other failure domains are of use: requests wait for a slot in the
    /// own one, or flows are spilled.
    pub fn needs_remote_loads(&self, now: Micros) -> bool {
        let is_waiting = |record: &TargetRecord| {
            record.target.domain == self.settings.domain
                && record.load.pending(now, record.waiting) > record.target.slots
        };
        let mut reported = self.reported_targets.iter();
        self.spill.has_share() || reported.any(|id| self.view.record(*id).is_some_and(is_waiting))
    }

    /// Adds up the load of a service's targets in the own failure domain that can get new flows.
    pub(crate) fn own_load(&self, now: Micros, service: &str) -> OwnLoad {
        let mut sum = OwnLoad::default();
        if self.view.is_evacuated(&self.settings.domain) {
            return sum;
        }
        let list = self
            .view
            .service_targets(service)
            .and_then(|targets| targets.own_list(&self.settings.domain));
        let records = list.into_iter().flat_map(|list| &list.ids);
        let mut slowness = 0.0;
        for record in records.filter_map(|id| self.view.record(*id)) {
            let is_limited = self.settings.cold_limit.is_some() && record.is_cold(now);
            if !record.accepts_flows() || record.is_avoided(now) || is_limited {
                continue;
            }
            sum.targets += 1;
            sum.slots = sum.slots.saturating_add(record.target.slots);
            let pending = record.load.pending(now, record.waiting);
            sum.pending = sum.pending.saturating_add(pending);
            slowness += record.load.slowness() * record.target.slots as f32;
        }
        if sum.slots > 0 {
            sum.slowness = slowness / sum.slots as f32;
        }
        sum
    }

    fn has_own_targets(&self, service: &str) -> bool {
        let targets = self.view.service_targets(service);
        targets.is_some_and(|targets| targets.own_list(&self.settings.domain).is_some())
    }
}
