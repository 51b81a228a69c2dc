//! The state of failure domains: whether their targets accept new flows.
//!
//! Operators order the evacuation of a failure domain by its name. The name need not belong to any
//! known target, since targets may appear after the order. See [the design
//! note](../../../docs/design/evacuation.md).

use hashbrown::HashMap;
use smol_str::SmolStr;

use crate::model::{Change, Update};
use crate::revision::Revision;
use crate::view::ViewChange;

const CHART: &str = include_str!("../charts/domain.ini");

/// Number of the revision of an order that a restored store lacks. It precedes all changes of its
/// epoch, so that each of them decides over it. The store counts from 1.
pub(crate) const LOST_NUMBER: u64 = 0;

/// State chart from `charts/domain.ini`.
type Chart = chart::Chart<DomainState, DomainEvent>;

chart::labels! {
    /// States of `charts/domain.ini`.
    pub enum DomainState {
        /// Targets of the failure domain accept new flows.
        Serving = "serving",
        /// Targets of the failure domain keep their flows but accept no new ones.
        Evacuated = "evacuated",
    }
}

chart::labels! {
    /// Events of `charts/domain.ini`.
    pub(crate) enum DomainEvent {
        /// Operators evacuate the failure domain.
        Evacuate = "evacuate",
        /// Operators return the failure domain to service.
        Reinstate = "reinstate",
    }
}

#[derive(Debug)]
struct DomainRecord {
    state: DomainState,
    /// Revision of the latest event.
    revision: Revision,
}

/// The failure domains about which there was an order.
#[derive(Debug)]
pub(crate) struct Domains {
    chart: Chart,
    records: HashMap<SmolStr, DomainRecord>,
    /// Names of the evacuated ones, sorted. They are few, and each placement compares them with
    /// the failure domains of all targets, so a list is faster than a lookup by hash.
    evacuated: Vec<SmolStr>,
}

impl Domains {
    /// Creates the state in which all failure domains serve.
    ///
    /// # Errors
    /// Fails if the state chart is invalid.
    pub fn new() -> chart::Result<Self> {
        Ok(Self {
            chart: Chart::parse("charts/domain.ini", CHART)?,
            records: HashMap::new(),
            evacuated: Vec::new(),
        })
    }

    /// Returns whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.iter().any(|evacuated| evacuated == domain)
    }

    /// Returns the names of the evacuated failure domains, sorted.
    pub fn evacuated(&self) -> &[SmolStr] {
        &self.evacuated
    }

    /// Applies an event, unless a later one is known, and returns the change, if any.
    pub fn apply(
        &mut self,
        revision: Revision,
        domain: SmolStr,
        event: DomainEvent,
    ) -> Option<ViewChange> {
        let start = self.chart.start();
        let record = self
            .records
            .entry(domain.clone())
            .or_insert_with(|| DomainRecord {
                state: start,
                revision,
            });
        if revision < record.revision {
            return None;
        }
        let previous = std::mem::replace(&mut record.revision, revision);
        let Some(next) = self.chart.next(record.state, event) else {
            let is_lost = revision.number == LOST_NUMBER && previous < revision;
            return is_lost.then_some(ViewChange::DomainOrderLost { domain, previous });
        };
        record.state = next;
        let state = record.state;
        match (self.evacuated.binary_search(&domain), state) {
            (Err(index), DomainState::Evacuated) => self.evacuated.insert(index, domain.clone()),
            (Ok(index), DomainState::Serving) => {
                self.evacuated.remove(index);
            }
            _ => {}
        }
        Some(ViewChange::Domain {
            domain,
            state,
            order: revision,
        })
    }

    /// Returns the evacuated failure domains that a complete snapshot does not name.
    pub fn missing(&self, snapshot: &[Update]) -> Vec<SmolStr> {
        let is_named = |domain: &SmolStr| {
            snapshot
                .iter()
                .any(|update| domain_of(&update.change) == Some(domain))
        };
        let evacuated = self.evacuated.iter();
        evacuated
            .filter(|domain| !is_named(domain))
            .cloned()
            .collect()
    }
}

/// Returns the failure domain that a change is about, if it is an order.
pub(crate) fn domain_of(change: &Change) -> Option<&SmolStr> {
    match change {
        Change::DomainEvacuated(domain) | Change::DomainReinstated(domain) => Some(domain),
        _ => None,
    }
}
