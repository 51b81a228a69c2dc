//! The view: the active configuration and the targets, ordered by store revision.
//!
//! Revisions only increase, so a late or repeated response never reverts the view. A configuration
//! is ordered by its version instead, which keeps its order when the store is restored.

use std::net::SocketAddrV4;

use hashbrown::HashMap;
use ids::{Micros, Millis, hash_of};
use smol_str::SmolStr;

use crate::domains::{DomainEvent, DomainState, Domains};
use crate::evidence::{Responsiveness, StalledRequests};
use crate::load::Load;
use crate::model::{Change, Document, Repeat, Route, Service, Target, TargetId, Update};
use crate::packet::{FlowId, Token};
use crate::revision::Revision;
use crate::service_index::{ServiceIndex, ServiceTargets};
use crate::stall_sum::StallCounts;
use crate::target_state::{Chart, TargetEvent, TargetState, chart};
use crate::tokens::{Seniority, TokenTable};

/// Seed that separates the hash for traffic splitting from other uses of the hash.
const SHARE_SEED: u64 = 0x706f_6c6c_7368_6172;

/// Time for which a response shows that a target without a report lives, if others have its token.
const LIVENESS_WINDOW: Millis = Millis(4_000);

/// A target with its state on this instance.
#[derive(Debug)]
pub struct TargetRecord {
    /// Last report of the target.
    pub target: Target,
    /// Store revision of the last report.
    pub revision: Revision,
    /// Whether the target accepts new flows.
    pub state: TargetState,
    /// When the target entered this state.
    pub state_since: Micros,
    /// When the report disappeared.
    removed_at: Micros,
    /// Once the target is gone, the time from which its open flows count as dead. After a failure
    /// or a restore of the store, the report of a live target may be read some time after the store
    /// has recovered.
    flows_end_at: Micros,
    /// End of the slow start after which the target is warm.
    pub warm_from: Micros,
    /// Whether the target was silent to requests of open flows and has not responded since.
    pub(crate) may_have_restarted: bool,
    /// Until when the target counts as cold because it may have started again.
    pub(crate) assumed_cold_until: Micros,
    /// Number of pending requests on flows of this instance.
    pub waiting: u32,
    /// Number of flows of this instance.
    pub flows: u32,
    /// Evidence of whether the target responds.
    pub responsiveness: Responsiveness,
    /// Requests that the target acknowledged but did not answer.
    pub stalled_requests: StalledRequests,
    /// Load as the failure domain knows it.
    pub load: Load,
}

impl TargetRecord {
    /// Applies a state event and returns the change, if any.
    fn apply_event(
        &mut self,
        chart: &Chart,
        services: &mut ServiceIndex,
        now: Micros,
        input: TargetEvent,
    ) -> Option<ViewChange> {
        let next = chart.next(self.state, input)?;
        services.count_state(&self.target, self.state, next);
        self.state = next;
        self.state_since = now;
        Some(self.state_change())
    }

    /// Returns whether the target accepts new flows, by its reports.
    pub fn accepts_flows(&self) -> bool {
        matches!(self.state, TargetState::Serving | TargetState::Lapsed)
    }

    /// Returns whether new flows avoid the target because it is unresponsive or stalls requests.
    pub fn is_avoided(&self, now: Micros) -> bool {
        self.responsiveness.is_avoided(now) || self.stalled_requests.is_avoided(now)
    }

    /// Returns whether the target is in its slow start, or may be.
    pub fn is_cold(&self, now: Micros) -> bool {
        now < self.warm_from.max(self.assumed_cold_until)
    }

    /// Returns whether open flows of the target count as dead. A target that has responded since its
    /// report disappeared only fails to report.
    pub fn are_flows_over(&self, now: Micros) -> bool {
        self.state == TargetState::Gone
            && now >= self.flows_end_at
            && self.responsiveness.last_response_at() <= self.removed_at
    }

    /// Returns whether packets whose token other targets have as well are not for this target. A
    /// response that arrives just after the departure of a target does not show that it lives.
    fn has_left(&self, now: Micros) -> bool {
        self.are_flows_over(now)
            || self.state == TargetState::Gone
                && now >= self.flows_end_at
                && now.since(self.responsiveness.last_response_at()) >= LIVENESS_WINDOW
    }

    fn state_change(&self) -> ViewChange {
        ViewChange::Target {
            id: self.target.id,
            state: self.state,
        }
    }
}

/// The view of one instance.
#[derive(Debug)]
pub struct View {
    chart: Chart,
    revision: Revision,
    document_revision: Revision,
    version: u64,
    idle_timeout: Millis,
    routes: HashMap<SocketAddrV4, Route>,
    records: HashMap<TargetId, TargetRecord>,
    tokens: TokenTable,
    services: ServiceIndex,
    domains: Domains,
    /// What the active configuration says about services.
    service_terms: HashMap<SmolStr, Service>,
}

/// A change of the view, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewChange {
    /// A configuration became active.
    DocumentActivated {
        /// Version of the configuration.
        version: u64,
        /// Number of routes.
        routes: usize,
    },
    /// A target was added, changed or removed.
    Target {
        /// The target.
        id: TargetId,
        /// New state of the target.
        state: TargetState,
    },
    /// A failure domain was evacuated or reinstated.
    Domain {
        /// Name of the failure domain.
        domain: SmolStr,
        /// New state of the failure domain.
        state: DomainState,
        /// Revision of the order.
        order: Revision,
    },
    /// A restored store lacks the order about an evacuated failure domain.
    DomainOrderLost {
        /// Name of the failure domain.
        domain: SmolStr,
        /// Revision of the order before the restore.
        previous: Revision,
    },
}

impl View {
    /// Creates an empty view.
    ///
    /// # Errors
    /// Fails if the state chart of targets is invalid.
    pub fn new() -> chart::Result<Self> {
        Ok(Self {
            chart: chart()?,
            revision: Revision::default(),
            document_revision: Revision::default(),
            version: 0,
            idle_timeout: Millis(0),
            routes: HashMap::new(),
            records: HashMap::new(),
            tokens: TokenTable::default(),
            services: ServiceIndex::default(),
            domains: Domains::new()?,
            service_terms: HashMap::new(),
        })
    }

    /// Returns the revision up to which the view is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the version of the active configuration, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether the view has a configuration and at least one target.
    pub fn is_usable(&self) -> bool {
        self.version > 0 && !self.records.is_empty()
    }

    /// Returns the time without packets after which a flow expires.
    pub fn idle_timeout(&self) -> Millis {
        self.idle_timeout
    }

    /// Returns the route of an entry address.
    pub fn route(&self, entry: SocketAddrV4) -> Option<&Route> {
        self.routes.get(&entry)
    }

    /// Returns the target that a token identifies.
    pub fn target_by_token(&self, now: Micros, token: Token) -> Option<TargetId> {
        self.tokens.target(token, |id| self.has_left(now, id))
    }

    fn has_left(&self, now: Micros, id: TargetId) -> bool {
        self.record(id).is_none_or(|record| record.has_left(now))
    }

    /// Returns the token to write into packets that open a flow at a target. It identifies the target
    /// on every instance that knows the target.
    pub fn token_of(&self, id: TargetId) -> Token {
        self.tokens.token_of(id)
    }

    /// Returns whether a known target has a token that identifies it. It has none in the unlikely
    /// case that all its tokens belong to other targets as well.
    pub fn has_token(&self, now: Micros, id: TargetId) -> bool {
        self.tokens.is_usable(id, |other| self.has_left(now, other))
    }

    /// Returns whether several known targets may have open flows under a token.
    pub fn is_shared_token(&self, token: Token) -> bool {
        self.tokens.is_shared(token)
    }

    /// Returns the record of a target.
    pub fn record(&self, id: TargetId) -> Option<&TargetRecord> {
        self.records.get(&id)
    }

    /// Returns the mutable record of a target.
    pub fn record_mut(&mut self, id: TargetId) -> Option<&mut TargetRecord> {
        self.records.get_mut(&id)
    }

    /// Returns the records of all targets.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Returns the records of a service's targets.
    pub fn targets_of_service(&self, service: &str) -> impl Iterator<Item = &TargetRecord> {
        let targets = self.services.service(service).into_iter();
        targets
            .flat_map(ServiceTargets::ids)
            .filter_map(|id| self.records.get(&id))
    }

    /// Returns the names of the services that have targets.
    pub(crate) fn service_names(&self) -> impl Iterator<Item = &SmolStr> {
        self.services.names()
    }

    /// Returns the targets of a service by failure domain, unless it has none.
    pub fn service_targets(&self, service: &str) -> Option<&ServiceTargets> {
        self.services.service(service)
    }

    /// Counts a stalled request of a target. Returns the counts of the target's service, unless the
    /// target is unknown.
    pub(crate) fn count_stalled(&mut self, now: Micros, id: TargetId) -> Option<StallCounts> {
        let record = self.records.get(&id)?;
        let service = self.services.service_mut(&record.target.service)?;
        let records = &self.records;
        let count_of = |id| {
            records
                .get(&id)
                .map_or(0, |record| record.stalled_requests.last_count())
        };
        service.stalls.expire(now, count_of);
        let record = self.records.get_mut(&id)?;
        let count = u64::from(record.stalled_requests.add(now));
        service.stalls.add(id, &record.stalled_requests);
        Some(StallCounts {
            count,
            others: service.count().saturating_sub(1) as u64,
            others_total: service.stalls.total().saturating_sub(count),
        })
    }

    /// Returns whether a failure domain is evacuated, so that its targets accept no new flows.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.domains.is_evacuated(domain)
    }

    /// Returns the names of the evacuated failure domains, sorted.
    pub fn evacuated_domains(&self) -> &[SmolStr] {
        self.domains.evacuated()
    }

    /// Returns whether a service has a target that accepts no new flows only because its failure
    /// domain is evacuated.
    pub fn has_evacuated_target(&self, service: &str) -> bool {
        self.targets_of_service(service)
            .any(|record| record.accepts_flows() && self.is_evacuated(&record.target.domain))
    }

    /// Returns what the active configuration says about a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.service_terms.get(name)
    }

    /// Returns the service for a new flow. The choice depends only on the route and the caller, so
    /// all instances and all retransmissions get the same service.
    pub fn service_for_flow<'a>(&self, route: &'a Route, flow: &FlowId) -> Option<&'a SmolStr> {
        if let [only] = route.shares.as_slice() {
            return Some(&only.service);
        }
        let total: u64 = route
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut bytes = [0; 6];
        bytes[..4].copy_from_slice(&flow.caller.ip().octets());
        bytes[4..].copy_from_slice(&flow.caller.port().to_be_bytes());
        let mut point = hash_of(SHARE_SEED, &bytes).checked_rem(total)?;
        route.shares.iter().find_map(|share| {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
            None
        })
    }

    /// Applies a complete snapshot. Targets that it lacks are removed unless their record is newer.
    pub fn apply_snapshot(
        &mut self,
        now: Micros,
        revision: Revision,
        updates: Vec<Update>,
        lapse_grace: Millis,
    ) -> Vec<ViewChange> {
        let mut missing: Vec<TargetId> = self
            .records
            .values()
            .filter(|record| record.revision <= revision)
            .filter(|record| !matches!(record.state, TargetState::Gone | TargetState::Lapsed))
            .map(|record| record.target.id)
            .collect();
        missing.retain(|id| {
            !updates.iter().any(|update| match &update.change {
                Change::Target(target) => target.id == *id,
                Change::TargetUnreadable(read) => read == id,
                _ => false,
            })
        });
        let missing_domains = self.domains.missing(&updates);
        let mut changes = self.apply_changes(now, Revision::default(), updates, lapse_grace);
        for domain in missing_domains {
            changes.extend(self.domains.apply(revision, domain, DomainEvent::Reinstate));
        }
        for id in missing {
            changes.extend(self.remove(now, revision, id, lapse_grace));
        }
        self.refresh_tokens();
        self.revision = self.revision.max(revision);
        changes
    }

    /// Applies changes up to a revision.
    pub fn apply_changes(
        &mut self,
        now: Micros,
        revision: Revision,
        updates: Vec<Update>,
        lapse_grace: Millis,
    ) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        for update in updates {
            changes.extend(self.apply(now, update, lapse_grace));
        }
        self.refresh_tokens();
        self.revision = self.revision.max(revision);
        changes
    }

    fn refresh_tokens(&mut self) {
        let records = &self.records;
        self.tokens
            .refresh(|id| records.get(&id).map(Seniority::of));
    }

    fn apply(&mut self, now: Micros, update: Update, lapse_grace: Millis) -> Option<ViewChange> {
        match update.change {
            Change::Document(document) => self.activate_document(update.revision, document),
            Change::Target(target) => self.insert(now, update.revision, target),
            Change::TargetGone(id) => self.remove(now, update.revision, id, lapse_grace),
            Change::DomainEvacuated(domain) => {
                let event = DomainEvent::Evacuate;
                self.domains.apply(update.revision, domain, event)
            }
            Change::DomainReinstated(domain) => {
                let event = DomainEvent::Reinstate;
                self.domains.apply(update.revision, domain, event)
            }
            Change::TargetUnreadable(id) => {
                let record = self.records.get_mut(&id)?;
                if update.revision <= record.revision {
                    return None;
                }
                record.revision = update.revision;
                record.apply_event(
                    &self.chart,
                    &mut self.services,
                    now,
                    TargetEvent::Unreadable,
                )
            }
        }
    }

    fn activate_document(&mut self, revision: Revision, document: Document) -> Option<ViewChange> {
        if (document.version, revision) <= (self.version, self.document_revision) {
            return None;
        }
        self.document_revision = revision;
        self.version = document.version;
        self.idle_timeout = document.idle;
        self.routes.clear();
        self.routes.extend(
            document
                .routes
                .into_iter()
                .map(|route| (route.entry, route)),
        );
        self.service_terms.clear();
        self.service_terms.extend(
            document
                .services
                .into_iter()
                .map(|service| (service.name.clone(), service)),
        );
        Some(ViewChange::DocumentActivated {
            version: self.version,
            routes: self.routes.len(),
        })
    }

    fn insert(&mut self, now: Micros, revision: Revision, target: Target) -> Option<ViewChange> {
        let id = target.id;
        let input = if target.is_draining {
            TargetEvent::Drain
        } else {
            TargetEvent::Ready
        };
        let warm_from = now + target.warmup;
        if let Some(record) = self.records.get_mut(&id) {
            if report_order(revision, &target) <= report_order(record.revision, &record.target) {
                return None;
            }
            let is_same = record.target.incarnation == target.incarnation
                && record.target.address == target.address;
            let change = record.apply_event(&self.chart, &mut self.services, now, input);
            let is_moved =
                record.target.service != target.service || record.target.domain != target.domain;
            if is_moved {
                self.services
                    .count_state(&record.target, record.state, TargetState::New);
                self.services
                    .remove(&record.target, &record.stalled_requests);
            } else if !is_same {
                self.services
                    .discard_stalled(&record.target, &record.stalled_requests);
            }
            if !is_same {
                record.responsiveness = Responsiveness::default();
                record.stalled_requests = StalledRequests::default();
                record.may_have_restarted = false;
                record.assumed_cold_until = Micros(0);
                record.load = record.load.restarted();
            }
            if is_moved {
                self.services.insert(now, &target, &record.stalled_requests);
                self.services
                    .count_state(&target, TargetState::New, record.state);
            }
            record.target = target;
            record.revision = revision;
            record.warm_from = warm_from;
            self.tokens.update(id);
            return change.or_else(|| (!is_same).then(|| record.state_change()));
        }
        let stalled_requests = StalledRequests::default();
        self.services.insert(now, &target, &stalled_requests);
        self.tokens.insert(id);
        let mut record = TargetRecord {
            target,
            revision,
            state: self.chart.start(),
            state_since: now,
            removed_at: now,
            flows_end_at: now,
            warm_from,
            may_have_restarted: false,
            assumed_cold_until: Micros(0),
            waiting: 0,
            flows: 0,
            responsiveness: Responsiveness::default(),
            stalled_requests,
            load: Load::default(),
        };
        let change = record.apply_event(&self.chart, &mut self.services, now, input);
        self.records.insert(id, record);
        change
    }

    fn remove(
        &mut self,
        now: Micros,
        revision: Revision,
        id: TargetId,
        lapse_grace: Millis,
    ) -> Option<ViewChange> {
        let record = self.records.get_mut(&id)?;
        if revision < record.revision {
            return None;
        }
        let is_restored = revision.epoch > record.revision.epoch;
        record.revision = revision;
        let change =
            record.apply_event(&self.chart, &mut self.services, now, TargetEvent::Removed)?;
        record.removed_at = now;
        let may_return = is_restored || record.state == TargetState::Lapsed;
        record.flows_end_at = if may_return {
            now + lapse_grace + lapse_grace
        } else {
            now
        };
        Some(change)
    }

    /// Expires lapsed targets after their grace period, and removes gone targets once none of their
    /// flows can still be alive.
    pub fn expire(
        &mut self,
        now: Micros,
        lapse_grace: Millis,
        max_flow_lifetime: Millis,
    ) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        let mut forgotten = Vec::new();
        for (id, record) in &mut self.records {
            let time_in_state = now.since(record.state_since);
            match record.state {
                TargetState::Lapsed if time_in_state >= lapse_grace => {
                    changes.extend(record.apply_event(
                        &self.chart,
                        &mut self.services,
                        now,
                        TargetEvent::Expired,
                    ));
                }
                TargetState::Gone if time_in_state > max_flow_lifetime => forgotten.push(*id),
                _ => {}
            }
        }
        for id in forgotten {
            self.forget(id);
        }
        self.refresh_tokens();
        changes
    }

    fn forget(&mut self, id: TargetId) {
        let Some(record) = self.records.remove(&id) else {
            return;
        };
        self.services
            .remove(&record.target, &record.stalled_requests);
        self.tokens.remove(id);
    }

    /// Returns whether requests to an entry address may be executed more than once. Returns `false`
    /// if there is no such route.
    pub fn is_idempotent(&self, entry: SocketAddrV4) -> bool {
        self.route(entry)
            .is_some_and(|route| route.repeat == Repeat::Idempotent)
    }
}

/// Returns the position of a report. A peer that remembers a newer one than the copy of a restored
/// store holds tells it under the same revision.
fn report_order(revision: Revision, target: &Target) -> (Revision, u64, u64) {
    (revision, target.incarnation, target.sequence)
}
