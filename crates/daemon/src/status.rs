//! Tracks the status of this instance from the events and actions of the control plane.

use std::collections::BTreeMap;
use std::sync::Arc;

use balance::event::{ControlEvent, ControlLogEvent, Observation, PeerChange, PlatformKey};
use balance::event::{DocumentSource, PlatformOutcome};
use balance::view::View;
use conf::Settings;
use conf::instances::ListedInstance;
use conf::status::{InstanceState, PeerStatus, Reachability, Status, TargetStatus};
use hashbrown::{HashMap, HashSet};
use ids::{DomainName, InstanceName, Micros, Millis, Version};
use smol_str::SmolStr;
use wire::peer::{Body, Heartbeat, LifecycleState, PeerMessage};
use wire::token::TargetId;

/// Latest known state of a peer.
#[derive(Debug, Clone)]
struct PeerEntry {
    domain: Option<DomainName>,
    state: Option<InstanceState>,
    reach: Reachability,
    version: Option<Version>,
}

impl Default for PeerEntry {
    fn default() -> Self {
        Self {
            domain: None,
            state: None,
            reach: Reachability::Unreachable,
            version: None,
        }
    }
}

/// Collects the state that [`Status`] reports.
#[derive(Debug)]
pub struct StatusTracker {
    instance: conf::settings::InstanceSettings,
    view: Option<Arc<View>>,
    is_ready: bool,
    is_stopping: bool,
    confirmed_at: Micros,
    version_conflicts: u64,
    peers: BTreeMap<InstanceName, PeerEntry>,
    target_states: HashMap<String, SmolStr>,
    in_flight: HashMap<(u16, TargetId), u32>,
    flows: HashMap<(u16, TargetId), u32>,
}

fn instance_state(state: LifecycleState) -> InstanceState {
    match state {
        LifecycleState::Joining => InstanceState::Joining,
        LifecycleState::Live => InstanceState::Live,
        LifecycleState::Leaving => InstanceState::Leaving,
    }
}

/// Sums the counts of all shards over the targets that match.
fn sum_matching(counts: &HashMap<(u16, TargetId), u32>, matches: impl Fn(TargetId) -> bool) -> u64 {
    let counts = counts.iter();
    let matching = counts.filter(|((_, target), _)| matches(*target));
    matching.map(|(_, count)| u64::from(*count)).sum()
}

impl StatusTracker {
    /// Creates a tracker for an instance without a view.
    pub fn new(settings: &Settings) -> Self {
        Self {
            instance: settings.instance.clone(),
            view: None,
            is_ready: false,
            is_stopping: false,
            confirmed_at: Micros(0),
            version_conflicts: 0,
            peers: BTreeMap::new(),
            target_states: HashMap::new(),
            in_flight: HashMap::new(),
            flows: HashMap::new(),
        }
    }

    /// Updates the status from an event before the control plane handles it.
    pub fn on_event(&mut self, now: Micros, event: &ControlEvent) {
        match event {
            ControlEvent::PlatformResponse {
                key: PlatformKey::Root,
                outcome: PlatformOutcome::Value { .. } | PlatformOutcome::Unchanged,
            } => self.confirmed_at = now,
            ControlEvent::PeerMessage(PeerMessage {
                from,
                body: Some(Body::Heartbeat(heartbeat)),
                ..
            }) => self.on_heartbeat(now, from, heartbeat),
            ControlEvent::Observed { shard, observation } => {
                self.on_observation(*shard, *observation)
            }
            ControlEvent::Stop => self.is_stopping = true,
            _ => {}
        }
    }

    fn on_observation(&mut self, shard: u16, observation: Observation) {
        let (counts, target, count) = match observation {
            Observation::InFlight { target, count } => (&mut self.in_flight, target, count),
            Observation::Flows { target, count } => (&mut self.flows, target, count),
            _ => return,
        };
        match count {
            0 => counts.remove(&(shard, target)),
            count => counts.insert((shard, target), count),
        };
    }

    fn on_heartbeat(&mut self, now: Micros, from: &str, heartbeat: &Heartbeat) {
        let Ok(name) = from.parse::<InstanceName>() else {
            return;
        };
        let digest = heartbeat.digest.as_ref();
        let version = digest.map(|digest| Version(digest.version));
        let own_version = self.view.as_ref().map(|view| view.document.version);
        if version.is_some() && version == own_version {
            self.confirmed_at = now;
        }
        let entry = self.peers.entry(name).or_default();
        let instance_info = heartbeat.instance_info.as_ref();
        if let Some(domain) = instance_info.and_then(|info| info.domain.parse().ok()) {
            entry.domain = Some(domain);
        }
        entry.state = Some(instance_state(heartbeat.state()));
        entry.version = version;
    }

    /// Updates the peers from the published instance list. Unlisted peers are kept while reachable.
    pub fn on_instance_list(&mut self, list: &[ListedInstance]) {
        for listed in list {
            let entry = self.peers.entry(listed.name.clone()).or_default();
            entry.domain = Some(listed.domain.clone());
        }
        let is_listed = |name: &InstanceName| list.iter().any(|listed| listed.name == *name);
        self.peers
            .retain(|name, entry| entry.reach == Reachability::Reachable || is_listed(name));
    }

    /// Updates the status from a logged event of the control plane.
    pub fn on_log(&mut self, now: Micros, event: &ControlLogEvent) {
        match event {
            ControlLogEvent::VersionConflict { .. } => self.version_conflicts += 1,
            ControlLogEvent::DocumentActivated {
                source: DocumentSource::Platform | DocumentSource::Peer(_),
                ..
            } => self.confirmed_at = now,
            ControlLogEvent::PeerChanged { name, change } => self.on_peer_change(name, *change),
            ControlLogEvent::TargetStateChanged { name, to, .. } => {
                self.target_states.insert(name.clone(), to.into());
            }
            _ => {}
        }
    }

    fn on_peer_change(&mut self, name: &InstanceName, change: PeerChange) {
        let entry = self.peers.entry(name.clone()).or_default();
        match change {
            PeerChange::Reachable => entry.reach = Reachability::Reachable,
            PeerChange::Suspect => entry.reach = Reachability::Suspect,
            PeerChange::Unreachable => entry.reach = Reachability::Unreachable,
            PeerChange::Restarted => entry.state = None,
            PeerChange::State(state) => entry.state = Some(instance_state(state)),
        }
    }

    /// Replaces the view.
    pub fn on_view(&mut self, view: Arc<View>) {
        // Drops the states of targets that were removed from the document.
        if self
            .view
            .as_ref()
            .is_some_and(|current| current.document.root_hash != view.document.root_hash)
        {
            let targets = view.targets.values();
            let names: HashSet<_> = targets
                .map(|t| format!("{}/{}", t.service, t.name))
                .collect();
            self.target_states.retain(|name, _| names.contains(name));
        }
        self.view = Some(view);
    }

    /// Updates the readiness.
    pub fn on_readiness(&mut self, is_ready: bool) {
        self.is_ready = is_ready;
    }

    /// Returns the status at time `now`. The caller fills in the totals of flows and queued
    /// requests.
    pub fn status(&self, now: Micros) -> Status {
        let document = self.view.as_ref().map(|view| &view.document);
        let state = match (self.is_stopping, self.is_ready) {
            (true, _) => InstanceState::Leaving,
            (false, true) => InstanceState::Live,
            (false, false) => InstanceState::Joining,
        };
        Status {
            instance: self.instance.name.clone(),
            domain: self.instance.domain.clone(),
            state,
            ready: self.is_ready && !self.is_stopping,
            version: document.map(|document| document.version),
            preset: document.map(|document| document.preset.clone()),
            root_hash: document.map(|document| document.root_hash),
            staleness_ms: match document {
                Some(_) => now.since(self.confirmed_at),
                None => Millis(0),
            },
            version_conflicts: self.version_conflicts,
            flows: 0,
            queued: 0,
            in_flight: sum_matching(&self.in_flight, |_| true),
            targets: self.targets(),
            peers: self.peers(),
        }
    }

    fn targets(&self) -> Vec<TargetStatus> {
        let Some(view) = &self.view else {
            return Vec::new();
        };
        let mut targets: Vec<_> = view
            .targets
            .iter()
            .map(|(id, target)| {
                let name = format!("{}/{}", target.service, target.name);
                TargetStatus {
                    service: target.service.clone(),
                    name: target.name.clone(),
                    state: self
                        .target_states
                        .get(&name)
                        .cloned()
                        .unwrap_or_else(|| "new".into()),
                    in_flight: sum_matching(&self.in_flight, |key| key == *id),
                    flows: sum_matching(&self.flows, |key| key == *id),
                }
            })
            .collect();
        targets.sort_by(|a, b| (&a.service, &a.name).cmp(&(&b.service, &b.name)));
        targets
    }

    fn peers(&self) -> Vec<PeerStatus> {
        let peers = self
            .peers
            .iter()
            .filter(|(name, _)| **name != self.instance.name);
        peers
            .filter_map(|(name, entry)| {
                Some(PeerStatus {
                    name: name.clone(),
                    domain: entry.domain.clone()?,
                    state: entry.state,
                    reach: entry.reach,
                    version: entry.version,
                })
            })
            .collect()
    }
}
