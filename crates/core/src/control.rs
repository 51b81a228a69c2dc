//! Membership, rollout of documents, states of targets and alerts of one daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use conf::instances::{self, ListedInstance};
use ids::{ContentHash, DomainName, GroupName, Incarnation, InstanceName, Micros, Millis};
use wire::peer::MemberState;

use crate::Result;
use crate::alert::Alerts;
use crate::event::{ControlAction, ControlEvent, ControlLogEvent};
use crate::history::{Epochs, History};
use crate::join::Join;
use crate::membership::{Membership, MembershipSettings};
use crate::rollout::{Rollout, RolloutSettings};
use crate::target::Targets;
use crate::view::View;

/// Shortest time between two views that differ only in loads; every shard takes each view.
const LOAD_VIEW_MS: Millis = Millis(20);

/// Who this instance is, from its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name, unique in the fleet.
    pub name: InstanceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Group of instances that share the fabric's addresses.
    pub group: GroupName,
    /// Start time, which tells a restart from a pause.
    pub incarnation: Incarnation,
    /// Address for peer datagrams.
    pub peer_address: SocketAddr,
    /// Address for gRPC.
    pub grpc_address: SocketAddr,
}

/// Limits of the control part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Times of membership.
    pub membership: MembershipSettings,
    /// Limits of the rollout.
    pub rollout: RolloutSettings,
    /// Time after which a superseded set of targets is retired, which is the idle time of flows.
    pub flow_idle_ms: Millis,
    /// Time for which a newcomer waits for the first digest of a peer.
    pub join_wait_ms: Millis,
    /// Peers to try before the published list could be read.
    pub seeds: Vec<ListedInstance>,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            membership: MembershipSettings::default(),
            rollout: RolloutSettings::default(),
            flow_idle_ms: Millis(300_000),
            join_wait_ms: Millis(2_000),
            seeds: Vec::new(),
        }
    }
}

/// Whether the view is due, and how urgently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ViewRequest {
    None,
    LoadOnly,
    Immediate,
}

/// Decides for the daemon as a whole.
#[derive(Debug)]
pub struct Control {
    identity: Identity,
    join_wait_ms: Millis,
    members: Membership,
    rollout: Rollout,
    targets: Targets,
    alerts: Alerts,
    history: History,
    join: Join,
    epochs: Epochs,
    is_ready: bool,
    /// Whether the newest view holds the lease.
    is_ownership_in_view: bool,
    view_request: ViewRequest,
    last_view_at: Micros,
    ramp_sum: u64,
}

impl Control {
    /// Creates the control part of a daemon that has no document and has heard no peer.
    pub fn new(identity: Identity, settings: ControlSettings) -> Result<Self> {
        let ControlSettings {
            membership: member,
            rollout,
            flow_idle_ms: idle_ms,
            join_wait_ms: newcomer_ms,
            seeds,
        } = settings;
        Ok(Self {
            members: Membership::new(identity.clone(), member, seeds),
            rollout: Rollout::new(&identity, rollout),
            targets: Targets::new()?,
            alerts: Alerts::default(),
            history: History::new(idle_ms),
            join: Join::new(&identity),
            epochs: Epochs::new(idle_ms),
            is_ready: false,
            is_ownership_in_view: false,
            view_request: ViewRequest::None,
            last_view_at: Micros(0),
            ramp_sum: 0,
            join_wait_ms: newcomer_ms,
            identity,
        })
    }

    /// Returns who this instance is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns a value by its content hash, for a peer that fetches it.
    pub fn value(&self, hash: &ContentHash) -> Option<Arc<[u8]>> {
        let value = self.rollout.value(hash);
        value.or_else(|| self.history.value(hash)).cloned()
    }

    /// Returns the size of the published values held.
    pub fn held_bytes(&self) -> usize {
        self.rollout.held_bytes()
    }

    /// Returns the life-cycle state of this instance.
    pub fn state(&self) -> MemberState {
        self.members.state()
    }

    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: ControlEvent, out: &mut Vec<ControlAction>) {
        if self.members.detect_pause(now, out) {
            self.request_view(ViewRequest::Immediate);
        }
        match event {
            ControlEvent::PeerMessage(message) => {
                if self.members.on_heartbeat(now, message, out) {
                    self.request_view(ViewRequest::LoadOnly);
                }
            }
            ControlEvent::PlatformResponse { key, outcome } => {
                if let Some(list) = self.rollout.on_platform(now, key, outcome, out) {
                    self.on_list(now, &list, out);
                }
            }
            ControlEvent::Fetched { from, hash, value } => {
                self.on_fetched(now, &from, hash, value);
            }
            ControlEvent::HealthReport(report) => {
                if self.targets.on_report(now, report, out) {
                    self.request_view(ViewRequest::Immediate);
                }
            }
            ControlEvent::Observed { shard, observation } => {
                if self.targets.on_observed(now, shard, observation, out) {
                    self.request_view(ViewRequest::Immediate);
                }
            }
            ControlEvent::Metrics(metrics) => self.alerts.on_metrics(&metrics),
            ControlEvent::Tick => self.on_tick(now, out),
            ControlEvent::Stop => self.members.set_state(now, MemberState::Leaving, out),
        }
        self.advance(now, out);
    }

    fn on_fetched(
        &mut self,
        now: Micros,
        from: &InstanceName,
        hash: ContentHash,
        value: Option<Vec<u8>>,
    ) {
        let past = self
            .join
            .on_fetched(now, &self.members, from, hash, value.as_deref());
        if let Some((age, past)) = past {
            self.history.merge(now, age, &past);
            self.members.set_history(self.history.digest());
            self.request_view(ViewRequest::Immediate);
        }
        self.rollout.on_fetched(now, from, hash, value);
    }

    fn on_list(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<ControlAction>) {
        let list = std::str::from_utf8(bytes)
            .map_err(|error| error.to_string())
            .and_then(|text| instances::parse("instances", text).map_err(|e| e.to_string()));
        match list {
            Ok(list) => self.members.on_list(now, list),
            Err(reason) => {
                self.rollout.reject_list(now);
                out.push(ControlAction::Log(ControlLogEvent::InstanceListRejected {
                    reason,
                }));
            }
        }
    }

    fn on_tick(&mut self, now: Micros, out: &mut Vec<ControlAction>) {
        self.members.set_flows(now, self.targets.flow_vector());
        self.members.set_load(now, self.targets.load_vector());
        self.members.on_tick(now, out);
        if self.targets.on_tick(now, out) {
            self.request_view(ViewRequest::Immediate);
        }
        if self.history.retire(now) {
            self.members.set_history(self.history.digest());
            self.request_view(ViewRequest::Immediate);
        }
        let ramp_sum = self.targets.ramp_sum(now);
        if ramp_sum != self.ramp_sum {
            self.ramp_sum = ramp_sum;
            self.request_view(ViewRequest::Immediate);
        }
        self.alerts.evaluate(now, &self.members, out);
        self.members.set_alerts(now, self.alerts.bits(now), out);
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<ControlAction>) {
        if self.rollout.advance(now, &self.members, out) {
            self.on_document(now, out);
        }
        if self.members.state() == MemberState::Joining && self.rollout.active_document().is_some()
        {
            self.join.advance(now, &self.members, out);
            if self.can_go_live(now) {
                self.members.set_state(now, MemberState::Live, out);
            }
        }
        if self.members.take_changed() {
            let epoch = self.members.current_epoch(now);
            if self.epochs.push(now, epoch) {
                self.request_view(ViewRequest::Immediate);
            }
        }
        if self.may_own_work() != self.is_ownership_in_view {
            self.request_view(ViewRequest::Immediate);
        }
        let is_ready = self.members.state() == MemberState::Live && self.members.is_lease_held();
        // Shards get their view before the fabric is told to send them packets.
        self.emit_view(now, out);
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            out.push(ControlAction::SetReady(is_ready));
        }
    }

    fn on_document(&mut self, now: Micros, out: &mut Vec<ControlAction>) {
        let Some(document) = self.rollout.active_document().cloned() else {
            return;
        };
        self.targets.on_document(now, &document, out);
        self.history.on_document(now, &document);
        self.alerts.on_document(&document.alerts);
        self.members.set_digest(self.rollout.digest());
        self.members.set_history(self.history.digest());
        // Peers learn of the document at once instead of with the next round.
        self.members.send_heartbeats(now, out);
        self.request_view(ViewRequest::Immediate);
    }

    /// Tells whether this instance knows enough to own work: it holds its lease, has a document that
    /// is not older than those of its peers, and knows their past target sets.
    fn can_go_live(&self, now: Micros) -> bool {
        if !self.members.is_lease_held() {
            return false;
        }
        let is_waited = now.since(self.members.joining_since()) >= self.join_wait_ms;
        let digests = self
            .members
            .peers_heard_since_joining()
            .filter_map(|peer| peer.digest);
        let mut digests = digests.peekable();
        if digests.peek().is_none() {
            return is_waited;
        }
        digests.all(|digest| self.rollout.is_up_to_date_with(digest))
            && (is_waited || !self.join.is_pending(&self.members))
    }

    /// Tells whether shards may act as owners and take new work. An instance that joins again after
    /// a pause may not before it has caught up with its peers, or it would use drained targets.
    fn may_own_work(&self) -> bool {
        self.members.is_lease_held() && self.members.state() != MemberState::Joining
    }

    fn request_view(&mut self, request: ViewRequest) {
        self.view_request = self.view_request.max(request);
    }

    fn emit_view(&mut self, now: Micros, out: &mut Vec<ControlAction>) {
        let is_due = match self.view_request {
            ViewRequest::None => false,
            ViewRequest::LoadOnly => now.since(self.last_view_at) >= LOAD_VIEW_MS,
            ViewRequest::Immediate => true,
        };
        let Some(document) = self.rollout.active_document().filter(|_| is_due) else {
            return;
        };
        let peers = self.members.peers().filter(|peer| peer.is_reachable());
        let view = View {
            instance: self.identity.name.clone(),
            domain: self.identity.domain.clone(),
            document: Arc::clone(document),
            targets: self.targets.views(now, document.root_hash, peers),
            target_sets: self.history.sets(),
            epochs: self.epochs.list(),
            may_own: self.may_own_work(),
        };
        self.is_ownership_in_view = view.may_own;
        self.view_request = ViewRequest::None;
        self.last_view_at = now;
        out.push(ControlAction::PublishView(Arc::new(view)));
    }
}
