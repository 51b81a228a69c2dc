//! The view: the configuration in force and the targets, ordered by the store's revisions.
//!
//! A revision only moves forward, so a late or repeated answer never takes the view back.

use std::net::SocketAddrV4;

use hashbrown::HashMap;
use ids::{Micros, Millis, hash_of};
use smol_str::SmolStr;

use crate::evidence::{Responsiveness, StalledRequests};
use crate::model::{Change, Document, Repeat, Route, Target, TargetId, Update};
use crate::packet::{FlowId, Token};
use crate::target_state::{Chart, TargetEvent, TargetState, chart};

/// Separates the hash that divides a route's flows from other uses of the hash.
const SHARE_SEED: u64 = 0x706f_6c6c_7368_6172;

/// A target with what is known of it.
#[derive(Debug)]
pub struct TargetRecord {
    /// The last report.
    pub target: Target,
    /// Revision of the last report.
    pub revision: u64,
    /// Whether it takes new flows.
    pub state: TargetState,
    /// Since when it has this standing.
    pub state_since: Micros,
    /// From when on its open flows are dead, once it is gone. The report of a live target that lapsed
    /// with the store's own failure may be learned some time after it is back.
    pub flows_end_at: Micros,
    /// Until when it is slow after its start.
    pub warm_from: Micros,
    /// Requests that callers of this instance wait for.
    pub waiting: u32,
    /// Flows of this instance.
    pub flows: u32,
    /// Evidence that it answers.
    pub responsiveness: Responsiveness,
    /// Requests that it took and did not answer.
    pub stalled_requests: StalledRequests,
}

impl TargetRecord {
    /// Takes an event of its standing and returns what changed.
    fn apply_event(
        &mut self,
        chart: &Chart,
        now: Micros,
        input: TargetEvent,
    ) -> Option<ViewChange> {
        let next = chart.next(self.state, input)?;
        self.state = next;
        self.state_since = now;
        Some(self.effect())
    }

    /// Tells whether the target is passed over, since it does not answer or stalls requests.
    pub fn is_avoided(&self, now: Micros) -> bool {
        self.responsiveness.is_avoided(now) || self.stalled_requests.is_avoided(now)
    }

    fn effect(&self) -> ViewChange {
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
    revision: u64,
    document_revision: u64,
    version: u64,
    idle: Millis,
    routes: HashMap<SocketAddrV4, Route>,
    records: HashMap<TargetId, TargetRecord>,
    tokens: HashMap<Token, TargetId>,
    services: HashMap<SmolStr, Vec<TargetId>>,
}

/// What an update changed, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewChange {
    /// A configuration is in force.
    DocumentActivated {
        /// Its version.
        version: u64,
        /// Number of its routes.
        routes: usize,
    },
    /// A target came, changed or left.
    Target {
        /// The target.
        id: TargetId,
        /// Its standing now.
        state: TargetState,
    },
}

impl View {
    /// Creates an empty view.
    ///
    /// # Errors
    /// Fails when the chart of a target's standing is not valid.
    pub fn new() -> chart::Result<Self> {
        Ok(Self {
            chart: chart()?,
            revision: 0,
            document_revision: 0,
            version: 0,
            idle: Millis(0),
            routes: HashMap::new(),
            records: HashMap::new(),
            tokens: HashMap::new(),
            services: HashMap::new(),
        })
    }

    /// Returns the revision up to which the view is complete.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the version of the configuration in force; zero stands for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Tells whether there is a configuration and a target.
    pub fn is_usable(&self) -> bool {
        self.version > 0 && !self.records.is_empty()
    }

    /// Returns the time without packets after which a flow is forgotten.
    pub fn idle_timeout(&self) -> Millis {
        self.idle
    }

    /// Returns the route of an address.
    pub fn route(&self, entry: SocketAddrV4) -> Option<&Route> {
        self.routes.get(&entry)
    }

    /// Returns the target of a token.
    pub fn target_by_token(&self, token: Token) -> Option<TargetId> {
        self.tokens.get(&token).copied()
    }

    /// Returns a target.
    pub fn record(&self, id: TargetId) -> Option<&TargetRecord> {
        self.records.get(&id)
    }

    /// Returns a target to change what is known of it.
    pub fn record_mut(&mut self, id: TargetId) -> Option<&mut TargetRecord> {
        self.records.get_mut(&id)
    }

    /// Returns all targets.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Returns the targets of a service.
    pub fn targets_of_service(&self, service: &str) -> impl Iterator<Item = &TargetRecord> {
        let ids = self.services.get(service).map_or(&[][..], Vec::as_slice);
        ids.iter().filter_map(|id| self.records.get(id))
    }

    /// Returns the service of a new flow; every instance and every resend gets the same.
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

    /// Takes a complete reading: what it lacks is gone unless it is newer than the reading.
    pub fn apply_snapshot(
        &mut self,
        now: Micros,
        revision: u64,
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
        let mut effects = self.apply_changes(now, 0, updates, lapse_grace);
        for id in missing {
            effects.extend(self.remove(now, revision, id, lapse_grace));
        }
        self.revision = self.revision.max(revision);
        effects
    }

    /// Takes changes that follow the view's revision.
    pub fn apply_changes(
        &mut self,
        now: Micros,
        revision: u64,
        updates: Vec<Update>,
        lapse_grace: Millis,
    ) -> Vec<ViewChange> {
        let mut effects = Vec::new();
        for update in updates {
            effects.extend(self.apply(now, update, lapse_grace));
        }
        self.revision = self.revision.max(revision);
        effects
    }

    fn apply(&mut self, now: Micros, update: Update, lapse_grace: Millis) -> Option<ViewChange> {
        match update.change {
            Change::Document(document) => self.activate_document(update.revision, document),
            Change::Target(target) => self.insert(now, update.revision, target),
            Change::TargetGone(id) => self.remove(now, update.revision, id, lapse_grace),
            Change::TargetUnreadable(id) => {
                let record = self.records.get_mut(&id)?;
                if update.revision <= record.revision {
                    return None;
                }
                record.revision = update.revision;
                record.apply_event(&self.chart, now, TargetEvent::Unreadable)
            }
        }
    }

    fn activate_document(&mut self, revision: u64, document: Document) -> Option<ViewChange> {
        if revision <= self.document_revision || document.version < self.version {
            return None;
        }
        self.document_revision = revision;
        self.version = document.version;
        self.idle = document.idle;
        self.routes.clear();
        self.routes.extend(
            document
                .routes
                .into_iter()
                .map(|route| (route.entry, route)),
        );
        Some(ViewChange::DocumentActivated {
            version: self.version,
            routes: self.routes.len(),
        })
    }

    fn insert(&mut self, now: Micros, revision: u64, target: Target) -> Option<ViewChange> {
        let id = target.id;
        let input = if target.is_draining {
            TargetEvent::Drain
        } else {
            TargetEvent::Ready
        };
        let warm_from = now + target.warmup;
        if let Some(record) = self.records.get_mut(&id) {
            if revision <= record.revision {
                return None;
            }
            if record.target.service != target.service {
                if let Some(ids) = self.services.get_mut(&record.target.service) {
                    ids.retain(|known| *known != id);
                }
                self.services
                    .entry(target.service.clone())
                    .or_default()
                    .push(id);
            }
            let is_same = record.target.incarnation == target.incarnation
                && record.target.address == target.address;
            if !is_same {
                record.responsiveness = Responsiveness::default();
                record.stalled_requests = StalledRequests::default();
            }
            record.target = target;
            record.revision = revision;
            record.warm_from = warm_from;
            let stepped = record.apply_event(&self.chart, now, input);
            return stepped.or_else(|| (!is_same).then(|| record.effect()));
        }
        self.services
            .entry(target.service.clone())
            .or_default()
            .push(id);
        // Of two targets with one token the first keeps it, and the other gets no flows.
        self.tokens.entry(id.token()).or_insert(id);
        let mut record = TargetRecord {
            target,
            revision,
            state: self.chart.start(),
            state_since: now,
            flows_end_at: now,
            warm_from,
            waiting: 0,
            flows: 0,
            responsiveness: Responsiveness::default(),
            stalled_requests: StalledRequests::default(),
        };
        let effect = record.apply_event(&self.chart, now, input);
        self.records.insert(id, record);
        effect
    }

    fn remove(
        &mut self,
        now: Micros,
        revision: u64,
        id: TargetId,
        lapse_grace: Millis,
    ) -> Option<ViewChange> {
        let record = self.records.get_mut(&id)?;
        if revision < record.revision {
            return None;
        }
        record.revision = revision;
        let effect = record.apply_event(&self.chart, now, TargetEvent::Removed)?;
        record.flows_end_at = match record.state {
            TargetState::Lapsed => now + lapse_grace + lapse_grace,
            _ => now,
        };
        Some(effect)
    }

    /// Ends the grace of lapsed targets and forgets those that are gone for as long as a flow may
    /// live.
    pub fn expire(
        &mut self,
        now: Micros,
        lapse_grace: Millis,
        max_flow_lifetime: Millis,
    ) -> Vec<ViewChange> {
        let mut effects = Vec::new();
        let mut forgotten = Vec::new();
        for (id, record) in &mut self.records {
            let lasted = now.since(record.state_since);
            match record.state {
                TargetState::Lapsed if lasted >= lapse_grace => {
                    effects.extend(record.apply_event(&self.chart, now, TargetEvent::Expired));
                }
                TargetState::Gone if lasted > max_flow_lifetime => forgotten.push(*id),
                _ => {}
            }
        }
        for id in forgotten {
            self.forget(id);
        }
        effects
    }

    fn forget(&mut self, id: TargetId) {
        let Some(record) = self.records.remove(&id) else {
            return;
        };
        if let Some(ids) = self.services.get_mut(&record.target.service) {
            ids.retain(|known| *known != id);
        }
        if self.tokens.get(&id.token()) != Some(&id) {
            return;
        }
        self.tokens.remove(&id.token());
        let successor = self
            .records
            .keys()
            .find(|other| other.token() == id.token());
        if let Some(successor) = successor {
            self.tokens.insert(id.token(), *successor);
        }
    }

    /// Tells whether requests to an entry may run a second time; without a route they may not.
    pub fn is_idempotent(&self, entry: SocketAddrV4) -> bool {
        self.route(entry)
            .is_some_and(|route| route.repeat == Repeat::Idempotent)
    }
}
