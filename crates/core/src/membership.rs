//! Membership of the instances of a group, see section 7 of [the design](../../../docs/design.md).
//!
//! Every instance exchanges heartbeats with every peer of its group and relies only on its own
//! observations. The published list only names the instances that may exist.

mod assignment;
mod heartbeat;
mod receive;

use std::collections::{BTreeMap, VecDeque};

use conf::instances::ListedInstance;
use ids::{ContentHash, InstanceName, Micros, Millis};
use wire::peer::{AlertStates, LifecycleState};

use crate::control::Identity;
use crate::event::{ControlAction, ControlLogEvent, PeerChange};
use crate::peer::{DocumentDigest, Peer, Reachability};
use crate::view::{Epoch, PeerView};

pub(crate) use assignment::Assignee;

/// Number of sent heartbeats whose send time is kept. At five heartbeats a second, plus immediate
/// answers and pushes, they span several times the unreachable timeout.
const MAX_SENT_HEARTBEATS: usize = 256;

/// Intervals and timeouts of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Mean interval between heartbeats to a peer.
    pub heartbeat_interval_ms: Millis,
    /// Minimum interval between heartbeats while the load vector keeps changing.
    pub load_interval_ms: Millis,
    /// Time without an acknowledged heartbeat after which a peer is suspect.
    pub suspect_after_ms: Millis,
    /// Time without an acknowledged heartbeat after which a peer leaves the view.
    pub unreachable_after_ms: Millis,
    /// Longest gap between two ticks after which the lease is still held.
    pub lease_ms: Millis,
    /// Silence after which an unlisted peer and the incarnation of a listed peer are forgotten.
    pub forget_after_ms: Millis,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: Millis(250),
            load_interval_ms: Millis(200),
            suspect_after_ms: Millis(1_000),
            unreachable_after_ms: Millis(2_000),
            lease_ms: Millis(1_000),
            forget_after_ms: Millis(60_000),
        }
    }
}

/// Content of outgoing heartbeats, apart from the lifecycle state.
#[derive(Debug, Clone, Default)]
pub(crate) struct Advertisement {
    pub(crate) digest: Option<DocumentDigest>,
    pub(crate) in_flight: Vec<u8>,
    /// Encoded flow counts.
    pub(crate) flows: Vec<u8>,
    pub(crate) alerts: Option<AlertStates>,
    /// Hash of the value that holds the past target sets, and when that value was built.
    pub(crate) history: Option<(ContentHash, Micros)>,
}

/// The peers of this instance and its own lifecycle state.
#[derive(Debug)]
pub(crate) struct Membership {
    settings: MembershipSettings,
    identity: Identity,
    own_view: PeerView,
    state: LifecycleState,
    peers: BTreeMap<InstanceName, Peer>,
    is_list_known: bool,
    advertisement: Advertisement,
    /// Whether the load vector changed since the last heartbeats.
    is_load_due: bool,
    /// When the byte budget of load vectors and flow counts allows the next vector.
    next_vector_at: Micros,
    /// When the flow counts may change again.
    next_flows_at: Micros,
    sequence: u64,
    sent_heartbeats: VecDeque<(u64, Micros)>,
    last_round_at: Option<Micros>,
    next_round_at: Micros,
    round_count: u64,
    last_tick_at: Option<Micros>,
    joining_since: Micros,
    is_lease_held: bool,
    /// Whether the current epoch may have changed.
    is_epoch_changed: bool,
}

impl Membership {
    pub(crate) fn new(
        identity: Identity,
        settings: MembershipSettings,
        seeds: Vec<ListedInstance>,
    ) -> Self {
        let own_view = PeerView::new(
            identity.name.clone(),
            identity.domain.clone(),
            identity.peer_address,
        );
        let mut membership = Self {
            settings,
            identity,
            own_view,
            state: LifecycleState::Joining,
            peers: BTreeMap::new(),
            is_list_known: false,
            advertisement: Advertisement::default(),
            is_load_due: false,
            next_vector_at: Micros(0),
            next_flows_at: Micros(0),
            sequence: 0,
            sent_heartbeats: VecDeque::new(),
            last_round_at: None,
            next_round_at: Micros(0),
            round_count: 0,
            last_tick_at: None,
            joining_since: Micros(0),
            is_lease_held: false,
            is_epoch_changed: true,
        };
        membership.add_listed(Micros(0), seeds);
        membership
    }

    pub(crate) fn state(&self) -> LifecycleState {
        self.state
    }

    pub(crate) fn is_lease_held(&self) -> bool {
        self.is_lease_held
    }

    /// Returns whether the current epoch may have changed since the last call.
    pub(crate) fn take_epoch_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_epoch_changed)
    }

    /// Returns when this instance last started to join.
    pub(crate) fn joining_since(&self) -> Micros {
        self.joining_since
    }

    pub(crate) fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the reachable peers that sent a heartbeat since this instance started to join.
    pub(crate) fn peers_heard_since_joining(&self) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(|peer| peer.is_reachable())
            .filter(|peer| {
                peer.last_heard_at
                    .is_some_and(|last_heard_at| last_heard_at >= self.joining_since)
            })
    }

    /// Detects a pause of the process since the last tick, which ends the lease. Returns whether
    /// there was one.
    pub(crate) fn detect_pause(&mut self, now: Micros, out: &mut Vec<ControlAction>) -> bool {
        let Some(last_tick) = self.last_tick_at else {
            self.last_tick_at = Some(now);
            self.joining_since = now;
            self.next_round_at = now;
            return false;
        };
        let gap_ms = now.since(last_tick);
        if gap_ms <= self.settings.lease_ms {
            return false;
        }
        self.last_tick_at = Some(now);
        self.is_lease_held = false;
        self.is_epoch_changed = true;
        self.joining_since = now;
        self.next_round_at = now;
        if self.state == LifecycleState::Live {
            self.state = LifecycleState::Joining;
        }
        self.update_reachability(now, out);
        out.push(ControlAction::Log(ControlLogEvent::ProcessPaused {
            gap_ms,
        }));
        true
    }

    /// Applies the published list of instances.
    pub(crate) fn on_list(&mut self, now: Micros, list: Vec<ListedInstance>) {
        self.is_list_known = true;
        self.is_epoch_changed = true;
        for peer in self.peers.values_mut() {
            peer.is_listed = false;
            peer.is_listed_leaving = false;
        }
        self.add_listed(now, list);
    }

    fn add_listed(&mut self, now: Micros, list: Vec<ListedInstance>) {
        for listed in list {
            if listed.name == self.identity.name {
                // The settings may hold a wildcard address, which peers cannot send to.
                self.identity.peer_address = listed.peer_address;
                self.identity.grpc_address = listed.grpc_address;
                self.own_view.address = listed.peer_address;
                continue;
            }
            let peer = self.peers.entry(listed.name.clone()).or_insert_with(|| {
                let ListedInstance { name, domain, .. } = listed.clone();
                Peer::new(now, name, domain, listed.peer_address, listed.grpc_address)
            });
            if peer.incarnation.0 == 0 {
                peer.view = PeerView::new(listed.name, listed.domain, listed.peer_address);
                peer.grpc_address = listed.grpc_address;
                // The list sets the incarnation only while none is known, since a stale one must
                // not lock out the running process.
                peer.incarnation = listed.incarnation.unwrap_or(peer.incarnation);
            }
            peer.is_listed = true;
            peer.is_listed_leaving = listed.is_leaving;
        }
    }

    /// Updates the reachability of peers, renews the lease and sends heartbeats that are due.
    pub(crate) fn on_tick(&mut self, now: Micros, out: &mut Vec<ControlAction>) {
        self.last_tick_at = Some(now);
        self.update_reachability(now, out);
        self.forget_silent_peers(now);
        if !self.is_lease_held && self.has_exchanged_heartbeats(now) {
            self.is_lease_held = true;
            self.is_epoch_changed = true;
        }
        let is_load_round = self.is_load_due
            && self
                .last_round_at
                .is_none_or(|last| now.since(last) >= self.settings.load_interval_ms);
        if now >= self.next_round_at || is_load_round {
            self.send_heartbeats(now, out);
        }
    }

    fn update_reachability(&mut self, now: Micros, out: &mut Vec<ControlAction>) {
        let MembershipSettings {
            suspect_after_ms,
            unreachable_after_ms,
            ..
        } = self.settings;
        for (name, peer) in &mut self.peers {
            let reachability = peer.reachability_at(now, suspect_after_ms, unreachable_after_ms);
            if reachability == peer.reachability {
                continue;
            }
            if reachability == Reachability::Unreachable {
                // The peer may have forgotten this instance when it becomes reachable again.
                peer.introduction_sequence = None;
                peer.load_sequence = None;
                peer.flows_sequence = None;
            }
            peer.reachability = reachability;
            self.is_epoch_changed = true;
            out.push(log_peer(
                name,
                match reachability {
                    Reachability::Reachable => PeerChange::Reachable,
                    Reachability::Suspect => PeerChange::Suspect,
                    Reachability::Unreachable => PeerChange::Unreachable,
                },
            ));
        }
    }

    fn forget_silent_peers(&mut self, now: Micros) {
        let forget_after_ms = self.settings.forget_after_ms;
        let known_count = self.peers.len();
        self.peers.retain(|_, peer| {
            let is_silent =
                now.since(peer.last_heard_at.unwrap_or(peer.known_since)) >= forget_after_ms;
            if is_silent && peer.received_sequence > 0 {
                // A clock that was set back gives a restarted process a smaller incarnation. After
                // this time, no message of the previous process can still be in transit.
                peer.reset_for_incarnation(ids::Incarnation(0));
            }
            peer.is_listed || !is_silent || (!self.is_list_known && peer.last_heard_at.is_none())
        });
        self.is_epoch_changed |= self.peers.len() != known_count;
    }

    /// Returns whether heartbeats were exchanged with all expected peers since this instance
    /// started to join, or the remaining ones have had the time to count as unreachable.
    fn has_exchanged_heartbeats(&self, now: Micros) -> bool {
        let elapsed = now.since(self.joining_since);
        if elapsed >= self.settings.unreachable_after_ms {
            return true;
        }
        let is_exchanged = |peer: &Peer| {
            peer.confirmed_sent_at
                .is_some_and(|confirmed_at| confirmed_at >= self.joining_since)
        };
        self.is_list_known
            && elapsed >= self.settings.heartbeat_interval_ms
            && self
                .peers
                .values()
                .filter(|peer| peer.is_expected())
                .all(is_exchanged)
    }

    /// Returns the current set of peers as an epoch that began at `since`.
    pub(crate) fn current_epoch(&self, since: Micros) -> Epoch {
        let is_live = self.state == LifecycleState::Live && self.is_lease_held;
        let mut peers: Vec<_> = self
            .peers
            .values()
            .filter(|peer| peer.may_own())
            .map(|peer| peer.view.clone())
            .chain(is_live.then(|| self.own_view.clone()))
            .collect();
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        let mut leaving: Vec<_> = self
            .peers
            .values()
            .filter(|peer| peer.is_leaving())
            .map(|peer| peer.view.clone())
            .collect();
        leaving.sort_by(|a, b| a.name.cmp(&b.name));
        let expected = || self.peers.values().filter(|peer| peer.is_expected());
        let mut listed_domains: Vec<_> = expected()
            .map(|peer| peer.view.domain.clone())
            .chain([self.identity.domain.clone()])
            .collect();
        listed_domains.sort();
        listed_domains.dedup();
        Epoch {
            since,
            peers,
            leaving,
            is_complete: self.is_list_known && expected().all(Peer::is_reachable),
            listed_domains,
        }
    }
}

fn log_peer(name: &InstanceName, change: PeerChange) -> ControlAction {
    ControlAction::Log(ControlLogEvent::PeerChanged {
        name: name.clone(),
        change,
    })
}
