//! State of one peer as seen by this instance.

use std::net::SocketAddr;

use ids::{ContentHash, DomainName, Incarnation, InstanceName, Micros, Millis, Version};
use wire::peer::{AlertStates, Heartbeat, LifecycleState};

use crate::view::PeerView;

/// Version and root hash of a document; instances prefer the greater one.
pub(crate) type DocumentDigest = (Version, ContentHash);

/// Whether heartbeats are exchanged with a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// Heartbeats pass in both directions.
    Reachable,
    /// No recent heartbeat is known to have passed in both directions.
    Suspect,
    /// Heartbeats do not pass in both directions.
    Unreachable,
}

/// Requests in flight per target, as a peer last reported them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LoadVector {
    /// Root hash of the document that defines the order of targets.
    pub(crate) root_hash: ContentHash,
    /// Requests in flight per target.
    pub(crate) in_flight: Vec<u8>,
}

/// Flows per target, as a peer last reported them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FlowCounts {
    /// Root hash of the document that defines the order of targets.
    pub(crate) root_hash: ContentHash,
    /// Flows per target.
    pub(crate) flows: Vec<u16>,
}

/// A peer and the state of the heartbeat exchange with it.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) view: PeerView,
    pub(crate) grpc_address: SocketAddr,
    /// Whether the published list contains the peer.
    pub(crate) is_listed: bool,
    /// Whether the published list marks the peer as leaving.
    pub(crate) is_listed_leaving: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) state: LifecycleState,
    pub(crate) reachability: Reachability,
    /// Highest sequence number received from the current incarnation.
    pub(crate) received_sequence: u64,
    /// When the latest heartbeat arrived.
    pub(crate) last_heard_at: Option<Micros>,
    /// Send time of the latest own heartbeat that the peer acknowledged.
    pub(crate) confirmed_sent_at: Option<Micros>,
    /// Highest own sequence number that the peer acknowledged.
    pub(crate) acknowledged_sequence: u64,
    /// Sequence number of the first heartbeat that carried the introduction of this instance.
    pub(crate) introduction_sequence: Option<u64>,
    /// Sequence number of the first heartbeat that carried the current load vector.
    pub(crate) load_sequence: Option<u64>,
    /// Sequence number of the first heartbeat that carried the current flow counts.
    pub(crate) flows_sequence: Option<u64>,
    /// When the peer was last answered immediately, outside the heartbeat interval.
    pub(crate) last_answered_at: Option<Micros>,
    pub(crate) digest: Option<DocumentDigest>,
    pub(crate) load: Option<LoadVector>,
    pub(crate) flows: Option<FlowCounts>,
    pub(crate) alerts: Option<AlertStates>,
    /// Hash of the past target sets that the peer announced, and their age at that time.
    pub(crate) history: Option<(ContentHash, Millis)>,
    /// When this instance learned of the peer.
    pub(crate) known_since: Micros,
}

impl Peer {
    pub(crate) fn new(
        now: Micros,
        name: InstanceName,
        domain: DomainName,
        peer: SocketAddr,
        grpc: SocketAddr,
    ) -> Self {
        Self {
            view: PeerView::new(name, domain, peer),
            grpc_address: grpc,
            is_listed: false,
            is_listed_leaving: false,
            incarnation: Incarnation(0),
            state: LifecycleState::Joining,
            reachability: Reachability::Unreachable,
            received_sequence: 0,
            last_heard_at: None,
            confirmed_sent_at: None,
            acknowledged_sequence: 0,
            introduction_sequence: None,
            load_sequence: None,
            flows_sequence: None,
            last_answered_at: None,
            digest: None,
            load: None,
            flows: None,
            alerts: None,
            history: None,
            known_since: now,
        }
    }

    /// Resets all state that a previous process under this name reported.
    pub(crate) fn reset_for_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.state = LifecycleState::Joining;
        self.reachability = Reachability::Unreachable;
        self.received_sequence = 0;
        self.confirmed_sent_at = None;
        self.acknowledged_sequence = 0;
        self.introduction_sequence = None;
        self.load_sequence = None;
        self.flows_sequence = None;
        self.digest = None;
        self.load = None;
        self.flows = None;
        self.alerts = None;
        self.history = None;
    }

    pub(crate) fn is_reachable(&self) -> bool {
        self.reachability != Reachability::Unreachable
    }

    /// Returns whether the peer should be reachable; a leaving peer may stop at any time.
    pub(crate) fn is_expected(&self) -> bool {
        !self.is_listed_leaving && self.state != LifecycleState::Leaving
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_reachable() && self.state == LifecycleState::Leaving
    }

    pub(crate) fn may_own(&self) -> bool {
        self.is_reachable() && self.state == LifecycleState::Live
    }

    /// Returns the reachability of the peer at time `now`.
    ///
    /// It depends only on the send time of acknowledged heartbeats: an acknowledgement proves that
    /// both directions work, while a received heartbeat may have waited in a socket buffer during a
    /// pause.
    pub(crate) fn reachability_at(
        &self,
        now: Micros,
        suspect_after: Millis,
        unreachable_after: Millis,
    ) -> Reachability {
        let Some(confirmed) = self.confirmed_sent_at else {
            return Reachability::Unreachable;
        };
        match now.since(confirmed) {
            silence if silence >= unreachable_after => Reachability::Unreachable,
            silence if silence >= suspect_after => Reachability::Suspect,
            _ => Reachability::Reachable,
        }
    }

    /// Applies a heartbeat with a higher sequence number than all before it. Returns whether the
    /// load vector or the flow counts changed.
    pub(crate) fn apply_heartbeat(&mut self, now: Micros, heartbeat: &mut Heartbeat) -> bool {
        self.received_sequence = heartbeat.sequence;
        self.last_heard_at = Some(now);
        self.state = heartbeat.state();
        self.digest = heartbeat.digest.as_ref().and_then(|digest| {
            let hash = <[u8; 16]>::try_from(digest.root_hash.as_slice()).ok()?;
            (digest.version > 0).then_some((Version(digest.version), ContentHash(hash)))
        });
        self.alerts = heartbeat.alerts.take();
        self.history = heartbeat.target_set_history.as_ref().and_then(|history| {
            let hash = <[u8; 16]>::try_from(history.hash.as_slice()).ok()?;
            Some((ContentHash(hash), Millis(history.age_ms)))
        });
        let Some((_, root_hash)) = self.digest else {
            return false;
        };
        let in_flight = std::mem::take(&mut heartbeat.in_flight);
        let load = (!in_flight.is_empty()).then_some(LoadVector {
            root_hash,
            in_flight,
        });
        let (pairs, _) = heartbeat.flows.as_chunks::<2>();
        let flows: Vec<_> = pairs.iter().copied().map(u16::from_le_bytes).collect();
        let flows = (!flows.is_empty()).then_some(FlowCounts { root_hash, flows });
        let is_load_changed = replace_if_present(&mut self.load, load);
        let are_flows_changed = replace_if_present(&mut self.flows, flows);
        is_load_changed || are_flows_changed
    }
}

/// Stores a received value if there is one. Returns whether it differs from the stored one.
fn replace_if_present<T: PartialEq>(stored: &mut Option<T>, received: Option<T>) -> bool {
    if received.is_none() || *stored == received {
        return false;
    }
    *stored = received;
    true
}
