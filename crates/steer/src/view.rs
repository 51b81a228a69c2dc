//! The view: the configuration in force and the targets, ordered by the store's revisions.
//!
//! A revision only moves forward, so a late or repeated answer never takes the view back.

use std::net::SocketAddrV4;

use hashbrown::HashMap;
use ids::{Micros, Millis, hash_of};
use smol_str::SmolStr;

use crate::model::{Change, Document, Repeat, Route, Target, TargetId, Update};
use crate::packet::{FlowId, Token};
use crate::silence::{Silence, Stalls};
use crate::standing::{Chart, Input, Standing, chart};

/// Separates the hash that divides a route's flows from other uses of the hash.
const SHARE_SEED: u64 = 0x706f_6c6c_7368_6172;

/// A target with what is known of it.
#[derive(Debug)]
pub struct Member {
    /// The last report.
    pub target: Target,
    /// Revision of the last report.
    pub revision: u64,
    /// Whether it takes new flows.
    pub standing: Standing,
    /// Since when it has this standing.
    pub since: Micros,
    /// From when on its open flows are dead, once it is gone. The report of a live target that lapsed
    /// with the store's own failure may be learned some time after it is back.
    pub flows_end_at: Micros,
    /// Until when it is slow after its start.
    pub warm_at: Micros,
    /// Requests that callers of this instance wait for.
    pub waiting: u32,
    /// Flows of this instance.
    pub flows: u32,
    /// Evidence that it answers.
    pub silence: Silence,
    /// Requests that it took and did not answer.
    pub stalls: Stalls,
}

impl Member {
    /// Takes an event of its standing and returns what changed.
    fn step(&mut self, chart: &Chart, now: Micros, input: Input) -> Option<Effect> {
        let next = chart.next(self.standing, input)?;
        self.standing = next;
        self.since = now;
        Some(self.effect())
    }

    /// Tells whether the target is passed over, since it does not answer or stalls requests.
    pub fn is_avoided(&self, now: Micros) -> bool {
        self.silence.is_avoided(now) || self.stalls.is_avoided(now)
    }

    fn effect(&self) -> Effect {
        Effect::Target {
            id: self.target.id,
            standing: self.standing,
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
    members: HashMap<TargetId, Member>,
    tokens: HashMap<Token, TargetId>,
    services: HashMap<SmolStr, Vec<TargetId>>,
}

/// What an update changed, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A configuration is in force.
    InForce {
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
        standing: Standing,
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
            members: HashMap::new(),
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
        self.version > 0 && !self.members.is_empty()
    }

    /// Returns the time without packets after which a flow is forgotten.
    pub fn idle(&self) -> Millis {
        self.idle
    }

    /// Returns the route of an address.
    pub fn route(&self, entry: SocketAddrV4) -> Option<&Route> {
        self.routes.get(&entry)
    }

    /// Returns the target of a token.
    pub fn by_token(&self, token: Token) -> Option<TargetId> {
        self.tokens.get(&token).copied()
    }

    /// Returns a target.
    pub fn member(&self, id: TargetId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns a target to change what is known of it.
    pub fn member_mut(&mut self, id: TargetId) -> Option<&mut Member> {
        self.members.get_mut(&id)
    }

    /// Returns all targets.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the targets of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Member> {
        let ids = self.services.get(service).map_or(&[][..], Vec::as_slice);
        ids.iter().filter_map(|id| self.members.get(id))
    }

    /// Returns the service of a new flow; every instance and every resend gets the same.
    pub fn service_of<'a>(&self, route: &'a Route, flow: &FlowId) -> Option<&'a SmolStr> {
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
    pub fn replace(
        &mut self,
        now: Micros,
        revision: u64,
        updates: Vec<Update>,
        lapse: Millis,
    ) -> Vec<Effect> {
        let mut missing: Vec<TargetId> = self
            .members
            .values()
            .filter(|member| member.revision <= revision)
            .filter(|member| !matches!(member.standing, Standing::Gone | Standing::Lapsed))
            .map(|member| member.target.id)
            .collect();
        missing.retain(|id| {
            !updates.iter().any(|update| match &update.change {
                Change::Target(target) => target.id == *id,
                Change::TargetUnreadable(read) => read == id,
                _ => false,
            })
        });
        let mut effects = self.update(now, 0, updates, lapse);
        for id in missing {
            effects.extend(self.remove(now, revision, id, lapse));
        }
        self.revision = self.revision.max(revision);
        effects
    }

    /// Takes changes that follow the view's revision.
    pub fn update(
        &mut self,
        now: Micros,
        revision: u64,
        updates: Vec<Update>,
        lapse: Millis,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for update in updates {
            effects.extend(self.apply(now, update, lapse));
        }
        self.revision = self.revision.max(revision);
        effects
    }

    fn apply(&mut self, now: Micros, update: Update, lapse: Millis) -> Option<Effect> {
        match update.change {
            Change::Document(document) => self.enforce(update.revision, document),
            Change::Target(target) => self.insert(now, update.revision, target),
            Change::TargetGone(id) => self.remove(now, update.revision, id, lapse),
            Change::TargetUnreadable(id) => {
                let member = self.members.get_mut(&id)?;
                if update.revision <= member.revision {
                    return None;
                }
                member.revision = update.revision;
                member.step(&self.chart, now, Input::Unreadable)
            }
        }
    }

    fn enforce(&mut self, revision: u64, document: Document) -> Option<Effect> {
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
        Some(Effect::InForce {
            version: self.version,
            routes: self.routes.len(),
        })
    }

    fn insert(&mut self, now: Micros, revision: u64, target: Target) -> Option<Effect> {
        let id = target.id;
        let input = if target.is_draining {
            Input::Drain
        } else {
            Input::Ready
        };
        let warm_at = now + target.warmup;
        if let Some(member) = self.members.get_mut(&id) {
            if revision <= member.revision {
                return None;
            }
            if member.target.service != target.service {
                if let Some(ids) = self.services.get_mut(&member.target.service) {
                    ids.retain(|known| *known != id);
                }
                self.services
                    .entry(target.service.clone())
                    .or_default()
                    .push(id);
            }
            let is_same = member.target.incarnation == target.incarnation
                && member.target.address == target.address;
            if !is_same {
                member.silence = Silence::default();
                member.stalls = Stalls::default();
            }
            member.target = target;
            member.revision = revision;
            member.warm_at = warm_at;
            let stepped = member.step(&self.chart, now, input);
            return stepped.or_else(|| (!is_same).then(|| member.effect()));
        }
        self.services
            .entry(target.service.clone())
            .or_default()
            .push(id);
        // Of two targets with one token the first keeps it, and the other gets no flows.
        self.tokens.entry(id.token()).or_insert(id);
        let mut member = Member {
            target,
            revision,
            standing: self.chart.start(),
            since: now,
            flows_end_at: now,
            warm_at,
            waiting: 0,
            flows: 0,
            silence: Silence::default(),
            stalls: Stalls::default(),
        };
        let effect = member.step(&self.chart, now, input);
        self.members.insert(id, member);
        effect
    }

    fn remove(
        &mut self,
        now: Micros,
        revision: u64,
        id: TargetId,
        lapse: Millis,
    ) -> Option<Effect> {
        let member = self.members.get_mut(&id)?;
        if revision < member.revision {
            return None;
        }
        member.revision = revision;
        let effect = member.step(&self.chart, now, Input::Removed)?;
        member.flows_end_at = match member.standing {
            Standing::Lapsed => now + lapse + lapse,
            _ => now,
        };
        Some(effect)
    }

    /// Ends the grace of lapsed targets and forgets those that are gone for as long as a flow may
    /// live.
    pub fn expire(&mut self, now: Micros, lapse: Millis, flow_life: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut forgotten = Vec::new();
        for (id, member) in &mut self.members {
            let lasted = now.since(member.since);
            match member.standing {
                Standing::Lapsed if lasted >= lapse => {
                    effects.extend(member.step(&self.chart, now, Input::Expired));
                }
                Standing::Gone if lasted > flow_life => forgotten.push(*id),
                _ => {}
            }
        }
        for id in forgotten {
            self.forget(id);
        }
        effects
    }

    fn forget(&mut self, id: TargetId) {
        let Some(member) = self.members.remove(&id) else {
            return;
        };
        if let Some(ids) = self.services.get_mut(&member.target.service) {
            ids.retain(|known| *known != id);
        }
        if self.tokens.get(&id.token()) != Some(&id) {
            return;
        }
        self.tokens.remove(&id.token());
        let heir = self
            .members
            .keys()
            .find(|other| other.token() == id.token());
        if let Some(heir) = heir {
            self.tokens.insert(id.token(), *heir);
        }
    }

    /// Tells whether requests to an entry may run a second time; without a route they may not.
    pub fn is_idempotent(&self, entry: SocketAddrV4) -> bool {
        self.route(entry)
            .is_some_and(|route| route.repeat == Repeat::Idempotent)
    }
}
