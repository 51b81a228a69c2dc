//! Control plane of one daemon: membership, rollout of documents, target states and alerts.

use std::net::SocketAddr;
use std::sync::Arc;

use conf::instances::{self, ListedInstance};
use ids::{ContentHash, DomainName, GroupName, Incarnation, InstanceName, Micros, Millis};
use wire::peer::LifecycleState;

use crate::Result;
use crate::alert::Alerts;
use crate::event::{ControlAction, ControlEvent, ControlLogEvent};
use crate::history::{EpochHistory, TargetSetHistory};
use crate::join::JoinTransfer;
use crate::membership::{Membership, MembershipSettings};
use crate::rollout::{Rollout, RolloutSettings};
use crate::target::Targets;
use crate::view::View;

/// Minimum time between two views that differ only in loads, as every view costs work in each
/// shard.
const MIN_LOAD_VIEW_INTERVAL_MS: Millis = Millis(20);

/// Identity of this instance, from its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name, unique in the fleet.
    pub name: InstanceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Group of instances that share the fabric's addresses.
    pub group: GroupName,
    /// Start time of the process, which distinguishes a restart from a pause.
    pub incarnation: Incarnation,
    /// Address that receives datagrams from peers.
    pub peer_address: SocketAddr,
    /// Address of the gRPC server.
    pub grpc_address: SocketAddr,
}

/// Settings of the control plane.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Intervals and timeouts of membership.
    pub membership: MembershipSettings,
    /// Settings of the document rollout.
    pub rollout: RolloutSettings,
    /// Idle timeout of flows, after which a superseded target set is retired.
    pub flow_idle_ms: Millis,
    /// How long a joining instance waits for the first document digest of a peer.
    pub join_wait_ms: Millis,
    /// Peers to contact until the published list has been read.
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

/// Pending request for a new view, in order of urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ViewRequest {
    /// Nothing changed.
    None,
    /// Only loads changed, so the view may wait for [`MIN_LOAD_VIEW_INTERVAL_MS`].
    LoadOnly,
    /// Other state changed, so the view is published at once.
    Immediate,
}

/// State machine of the control plane.
#[derive(Debug)]
pub struct Control {
    identity: Identity,
    join_wait_ms: Millis,
    membership: Membership,
    rollout: Rollout,
    targets: Targets,
    alerts: Alerts,
    history: TargetSetHistory,
    join: JoinTransfer,
    epochs: EpochHistory,
    is_ready: bool,
    /// Whether the latest view lets shards act as owners.
    is_ownership_in_view: bool,
    view_request: ViewRequest,
    last_view_at: Micros,
    ramp_sum: u64,
}

impl Control {
    /// Creates a control plane without a document and without contact to peers.
    pub fn new(identity: Identity, settings: ControlSettings) -> Result<Self> {
        let ControlSettings {
            membership,
            rollout,
            flow_idle_ms,
            join_wait_ms,
            seeds,
        } = settings;
        Ok(Self {
            membership: Membership::new(identity.clone(), membership, seeds),
            rollout: Rollout::new(&identity, rollout),
            targets: Targets::new()?,
            alerts: Alerts::default(),
            history: TargetSetHistory::new(flow_idle_ms),
            join: JoinTransfer::new(&identity),
            epochs: EpochHistory::new(flow_idle_ms),
            is_ready: false,
            is_ownership_in_view: false,
            view_request: ViewRequest::None,
            last_view_at: Micros(0),
            ramp_sum: 0,
            join_wait_ms,
            identity,
        })
    }

    /// Returns the identity of this instance.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the value with a content hash, for a peer that fetches it.
    pub fn value(&self, hash: &ContentHash) -> Option<Arc<[u8]>> {
        let value = self.rollout.value(hash);
        value.or_else(|| self.history.value(hash)).cloned()
    }

    /// Returns the total size of the published values held.
    pub fn held_bytes(&self) -> usize {
        self.rollout.held_bytes()
    }

    /// Returns the lifecycle state of this instance.
    pub fn state(&self) -> LifecycleState {
        self.membership.state()
    }

    /// Handles one event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: ControlEvent, out: &mut Vec<ControlAction>) {
        if self.membership.detect_pause(now, out) {
            self.request_view(ViewRequest::Immediate);
        }
        match event {
            ControlEvent::PeerMessage(message) => {
                if self.membership.on_heartbeat(now, message, out) {
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
            ControlEvent::Stop => self.membership.set_state(now, LifecycleState::Leaving, out),
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
        let past_sets = self
            .join
            .on_fetched(now, &self.membership, from, hash, value.as_deref());
        if let Some((age, past_sets)) = past_sets {
            self.history.merge(now, age, &past_sets);
            self.membership.set_history(self.history.digest());
            self.request_view(ViewRequest::Immediate);
        }
        self.rollout.on_fetched(now, from, hash, value);
    }

    fn on_list(&mut self, now: Micros, bytes: &[u8], out: &mut Vec<ControlAction>) {
        let list = std::str::from_utf8(bytes)
            .map_err(|error| error.to_string())
            .and_then(|text| {
                instances::parse("instances", text).map_err(|error| error.to_string())
            });
        match list {
            Ok(list) => self.membership.on_list(now, list),
            Err(reason) => {
                self.rollout.reject_list(now);
                out.push(ControlAction::Log(ControlLogEvent::InstanceListRejected {
                    reason,
                }));
            }
        }
    }

    fn on_tick(&mut self, now: Micros, out: &mut Vec<ControlAction>) {
        self.membership.set_flows(now, self.targets.flow_vector());
        self.membership.set_load(now, self.targets.load_vector());
        self.membership.on_tick(now, out);
        if self.targets.on_tick(now, out) {
            self.request_view(ViewRequest::Immediate);
        }
        if self.history.retire(now) {
            self.membership.set_history(self.history.digest());
            self.request_view(ViewRequest::Immediate);
        }
        let ramp_sum = self.targets.ramp_sum(now);
        if ramp_sum != self.ramp_sum {
            self.ramp_sum = ramp_sum;
            self.request_view(ViewRequest::Immediate);
        }
        self.alerts.evaluate(now, &self.membership, out);
        self.membership.set_alerts(now, self.alerts.bits(now), out);
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<ControlAction>) {
        if self.rollout.advance(now, &self.membership, out) {
            self.on_document(now, out);
        }
        if self.membership.state() == LifecycleState::Joining
            && self.rollout.active_document().is_some()
        {
            self.join.advance(now, &self.membership, out);
            if self.can_go_live(now) {
                self.membership.set_state(now, LifecycleState::Live, out);
            }
        }
        if self.membership.take_epoch_changed() {
            let epoch = self.membership.current_epoch(now);
            if self.epochs.push(now, epoch) {
                self.request_view(ViewRequest::Immediate);
            }
        }
        if self.may_own_work() != self.is_ownership_in_view {
            self.request_view(ViewRequest::Immediate);
        }
        let is_ready =
            self.membership.state() == LifecycleState::Live && self.membership.is_lease_held();
        // The view goes out before readiness, so that shards have it before the fabric sends them
        // packets.
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
        self.membership.set_digest(self.rollout.digest());
        self.membership.set_history(self.history.digest());
        // Announces the document to peers at once instead of with the next heartbeats.
        self.membership.send_heartbeats(now, out);
        self.request_view(ViewRequest::Immediate);
    }

    /// Returns whether this instance can go live: it holds its lease, its document is not older
    /// than those of its peers, and it has fetched their past target sets.
    fn can_go_live(&self, now: Micros) -> bool {
        if !self.membership.is_lease_held() {
            return false;
        }
        let is_wait_over = now.since(self.membership.joining_since()) >= self.join_wait_ms;
        let digests = self
            .membership
            .peers_heard_since_joining()
            .filter_map(|peer| peer.digest);
        let mut digests = digests.peekable();
        if digests.peek().is_none() {
            return is_wait_over;
        }
        digests.all(|digest| self.rollout.is_up_to_date_with(digest))
            && (is_wait_over || !self.join.is_pending(&self.membership))
    }

    /// Returns whether shards may act as owners and accept new work. An instance that rejoins after
    /// a pause must first catch up with its peers, or it would use drained targets.
    fn may_own_work(&self) -> bool {
        self.membership.is_lease_held() && self.membership.state() != LifecycleState::Joining
    }

    fn request_view(&mut self, request: ViewRequest) {
        self.view_request = self.view_request.max(request);
    }

    fn emit_view(&mut self, now: Micros, out: &mut Vec<ControlAction>) {
        let is_due = match self.view_request {
            ViewRequest::None => false,
            ViewRequest::LoadOnly => now.since(self.last_view_at) >= MIN_LOAD_VIEW_INTERVAL_MS,
            ViewRequest::Immediate => true,
        };
        let Some(document) = self.rollout.active_document().filter(|_| is_due) else {
            return;
        };
        let peers = self.membership.peers().filter(|peer| peer.is_reachable());
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
