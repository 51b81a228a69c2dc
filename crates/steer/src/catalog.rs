//! What the store publishes, as far as an instance knows: the source of its view and of the views
//! of its followers.
//!
//! After a restore the store holds items that had been replaced or removed, until operators and
//! targets write them again. The order of such items comes from the items themselves: from the
//! version of a configuration, and from the number that a target gives to each of its reports.

use std::cmp::Ordering;

use hashbrown::HashMap;
use ids::{Micros, Millis, hash_of, hash_pair};
use smol_str::SmolStr;

use crate::domain_orders::DomainOrders;
use crate::domains::domain_of;
use crate::model::{Change, Target, TargetId, Update};
use crate::revision::Revision;

/// Seed that separates the hash for digests from other uses of the hash.
const DIGEST_SEED: u64 = 0x706f_6c6c_6469_6765;

/// Time for which a removed report is remembered, and an order that a restored store lacks stays in
/// force. A copy of the store is some seconds old, and the reports in it expire within seconds if
/// their targets have left.
const DEPARTURE_RETENTION: Millis = Millis(60_000);

/// Position of a report among all reports of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReportNumber {
    incarnation: u64,
    sequence: u64,
}

/// The last report of a target that was removed.
#[derive(Debug, Clone, Copy)]
struct Departure {
    revision: Revision,
    number: ReportNumber,
    removed_at: Micros,
}

/// The published items.
#[derive(Debug, Default)]
pub struct Catalog {
    revision: Revision,
    document: Option<Update>,
    reports: HashMap<TargetId, Update>,
    departures: HashMap<TargetId, Departure>,
    orders: DomainOrders,
}

/// The result of applying items to a catalog.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Items to apply to the view.
    pub updates: Vec<Update>,
    /// Items that are older than what is known.
    pub outdated: Vec<Update>,
}

impl Catalog {
    /// Returns the revision up to which the catalog is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether no configuration is known.
    pub fn is_empty(&self) -> bool {
        self.document.is_none()
    }

    /// Returns a digest of the items. After a restore, instances at the same revision may know
    /// different items, since some of them remember newer ones than the copy holds.
    pub fn digest(&self) -> u64 {
        self.items()
            .map(item_hash)
            .fold(0, |digest, hash| digest ^ hash)
    }

    /// Returns all items, the configuration first.
    pub fn items(&self) -> impl Iterator<Item = &Update> {
        let reports = self.reports.values();
        self.document
            .iter()
            .chain(reports)
            .chain(self.orders.items())
    }

    /// Returns the orders in force to evacuate failure domains.
    pub fn orders(&self) -> impl Iterator<Item = &Update> {
        self.orders.items()
    }

    /// Replaces the contents by everything that the store holds at a revision. Items that are older
    /// than the known ones are replaced by those.
    pub fn apply_snapshot(
        &mut self,
        now: Micros,
        revision: Revision,
        updates: Vec<Update>,
    ) -> Applied {
        self.forget_departures(now);
        self.orders
            .end_lost(now, self.revision, DEPARTURE_RETENTION);
        let ordered_domains: Vec<SmolStr> = updates
            .iter()
            .filter_map(|update| domain_of(&update.change).cloned())
            .collect();
        let mut previous = std::mem::take(&mut self.reports);
        let mut outdated = Vec::new();
        for update in updates {
            let id = target_id(&update.change);
            if id.is_some_and(|id| self.has_departed_since(id, &update)) {
                outdated.push(update);
                continue;
            }
            match id.and_then(|id| previous.get(&id)) {
                Some(known) if is_outdated(&update, known.revision, report_number(known)) => {
                    let known = Update {
                        revision,
                        change: known.change.clone(),
                    };
                    self.apply(now, known);
                    outdated.push(update);
                }
                _ => outdated.extend(self.apply(now, update)),
            }
        }
        previous.retain(|id, _| !self.reports.contains_key(id));
        for (id, report) in previous {
            self.record_departure(now, revision, id, &report);
        }
        self.orders.end_missing(now, revision, &ordered_domains);
        self.revision = revision;
        Applied {
            updates: self.items().cloned().collect(),
            outdated,
        }
    }

    /// Applies changes up to a revision. A peer that is behind repeats changes that are known
    /// already; a target that was removed since must not come back.
    pub fn apply_changes(
        &mut self,
        now: Micros,
        revision: Revision,
        changes: Vec<Update>,
    ) -> Applied {
        self.forget_departures(now);
        let ended = self
            .orders
            .end_lost(now, self.revision, DEPARTURE_RETENTION);
        let mut applied = Applied {
            updates: ended,
            outdated: Vec::new(),
        };
        for update in changes {
            if update.revision <= self.revision && self.is_ordered_by_revision(&update.change) {
                applied.outdated.push(update);
                continue;
            }
            match self.apply(now, update.clone()) {
                Some(outdated) => applied.outdated.push(outdated),
                None => applied.updates.push(update),
            }
        }
        self.revision = self.revision.max(revision);
        applied
    }

    /// Returns whether a change up to the known revision is only a repetition. A configuration is
    /// ordered by its version. The end of an order that the store has lost is no change of the
    /// store, so it has no revision of its own.
    fn is_ordered_by_revision(&self, change: &Change) -> bool {
        match change {
            Change::Document(_) => false,
            Change::DomainReinstated(domain) => !self.orders.is_lost(domain),
            _ => true,
        }
    }

    /// Applies an item, or returns it if it is older than the known one.
    fn apply(&mut self, now: Micros, update: Update) -> Option<Update> {
        if domain_of(&update.change).is_some() {
            return self.orders.apply(now, update);
        }
        let Some(id) = target_id(&update.change) else {
            return self.apply_document(update);
        };
        if let Some(known) = self.reports.get(&id)
            && update.revision < known.revision
        {
            return Some(update);
        }
        if let Change::TargetGone(_) = update.change {
            if let Some(report) = self.reports.remove(&id) {
                self.record_departure(now, update.revision, id, &report);
            }
            return None;
        }
        self.departures.remove(&id);
        self.reports.insert(id, update);
        None
    }

    /// Applies a configuration. Its version decides, since a restored store holds an older one
    /// under a newer revision.
    fn apply_document(&mut self, update: Update) -> Option<Update> {
        let version = document_version(&update);
        if version < self.document.as_ref().and_then(document_version) {
            return Some(update);
        }
        self.document = Some(update);
        None
    }

    /// Returns whether a target was removed after the given report.
    fn has_departed_since(&self, id: TargetId, report: &Update) -> bool {
        self.departures.get(&id).is_some_and(|departure| {
            is_outdated(report, departure.revision, Some(departure.number))
        })
    }

    fn record_departure(&mut self, now: Micros, revision: Revision, id: TargetId, report: &Update) {
        let Some(number) = report_number(report) else {
            return;
        };
        let departure = Departure {
            revision,
            number,
            removed_at: now,
        };
        self.departures.insert(id, departure);
    }

    fn forget_departures(&mut self, now: Micros) {
        self.departures
            .retain(|_, departure| now.since(departure.removed_at) <= DEPARTURE_RETENTION);
    }
}

/// Returns whether a report is older than the one that is known by its revision and number. A known
/// report that is newer than that of a copy has the revision at which it was kept.
fn is_outdated(update: &Update, revision: Revision, number: Option<ReportNumber>) -> bool {
    let new_number = report_number(update);
    match update.revision.epoch.cmp(&revision.epoch) {
        Ordering::Less => true,
        Ordering::Equal => (update.revision, new_number) < (revision, number),
        Ordering::Greater => new_number.is_some() && new_number < number,
    }
}

/// Returns a hash of what decides about flows. The revision is left out, since it differs for items
/// that were kept across a restore.
fn item_hash(item: &Update) -> u64 {
    let (kind, id, state) = match &item.change {
        Change::Document(document) => (0, document.version, 0),
        Change::Target(target) => (1, target.id.0, report_hash(target)),
        Change::TargetUnreadable(id) => (2, id.0, 0),
        Change::TargetGone(id) => (3, id.0, 0),
        Change::DomainEvacuated(domain) => (4, hash_of(DIGEST_SEED, domain.as_bytes()), 0),
        Change::DomainReinstated(domain) => (5, hash_of(DIGEST_SEED, domain.as_bytes()), 0),
    };
    hash_pair(hash_of(DIGEST_SEED, &[kind]), hash_pair(id, state))
}

fn report_hash(target: &Target) -> u64 {
    hash_pair(target.incarnation, u64::from(target.is_draining))
}

fn target_id(change: &Change) -> Option<TargetId> {
    match change {
        Change::Document(_) | Change::DomainEvacuated(_) | Change::DomainReinstated(_) => None,
        Change::Target(Target { id, .. })
        | Change::TargetGone(id)
        | Change::TargetUnreadable(id) => Some(*id),
    }
}

fn document_version(update: &Update) -> Option<u64> {
    match &update.change {
        Change::Document(document) => Some(document.version),
        _ => None,
    }
}

fn report_number(update: &Update) -> Option<ReportNumber> {
    match &update.change {
        Change::Target(target) => Some(ReportNumber {
            incarnation: target.incarnation,
            sequence: target.sequence,
        }),
        _ => None,
    }
}
