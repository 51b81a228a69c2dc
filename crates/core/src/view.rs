//! Immutable snapshot of the state that shards base their decisions on.
//!
//! The control plane builds a new view when the document, the peers or the state of a target
//! change. Shards share nothing else.

use std::net::SocketAddr;
use std::sync::Arc;

use conf::Document;
use conf::model::Target;
use hashbrown::HashMap;
use ids::{DomainName, InstanceName, Micros, Millis, ServiceName, TargetName, hash_of, hash_pair};
use wire::token::TargetId;

const PEER_SEED: u64 = 0x7065_6572_0000_0001;

/// State that a shard needs besides its own flows and requests.
#[derive(Debug, Clone)]
pub struct View {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Failure domain of this instance.
    pub domain: DomainName,
    /// Active document.
    pub document: Arc<Document>,
    /// Targets of the document by id.
    pub targets: HashMap<TargetId, TargetView>,
    /// Past and current sets of serving targets per service, oldest first.
    pub target_sets: HashMap<ServiceName, Vec<Arc<TargetSet>>>,
    /// Peers over time, newest last; earlier epochs tell how long an owner has owned an id.
    pub epochs: Vec<Epoch>,
    /// Whether this instance may act as an owner; false after a pause, until it has caught up.
    pub may_own: bool,
}

/// A target and its state as seen by this instance.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// Service of the target.
    pub service: ServiceName,
    /// Name within the service.
    pub name: TargetName,
    /// The target as declared in the document.
    pub declared: Target,
    /// Whether it may receive new flows and requests.
    pub accepts_new: bool,
    /// Share of its capacity to use, in thousandths; below 1,000 while it warms up or sheds load.
    pub ramp_permille: u32,
    /// Requests in flight on it, as reported by peers.
    pub peers_in_flight: u32,
    /// Flows on it, as reported by peers.
    pub peers_flows: u32,
}

/// The targets of a service that one document allows to receive new flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSet {
    /// Candidates, ordered by their id.
    pub candidates: Vec<Candidate>,
    /// When the set became active at this instance.
    pub since: Micros,
}

/// A target that placement can choose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Id.
    pub target: TargetId,
    /// Failure domain.
    pub domain: DomainName,
    /// Relative capacity.
    pub weight: u32,
}

/// The peers, including this instance, during a period without a membership change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Epoch {
    /// Start of the period.
    pub since: Micros,
    /// Peers that can own work, ordered by name.
    pub peers: Vec<PeerView>,
    /// Reachable peers that are stopping: they own no new work, but still know what they owned.
    pub leaving: Vec<PeerView>,
    /// Whether every listed peer was reachable.
    pub is_complete: bool,
    /// Failure domains that contain a listed peer or this instance.
    pub listed_domains: Vec<DomainName>,
}

/// Identity and address of a peer in an epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// Name.
    pub name: InstanceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for peer datagrams.
    pub address: SocketAddr,
    /// Hash of the name, for rendezvous hashing.
    pub hash: u64,
}

impl PeerView {
    /// Creates a peer and hashes its name.
    pub fn new(name: InstanceName, domain: DomainName, address: SocketAddr) -> Self {
        let hash = hash_of(PEER_SEED, name.as_str().as_bytes());
        Self {
            name,
            domain,
            address,
            hash,
        }
    }
}

/// Owner of a request, see section 6 of [the design](../../../docs/design.md).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner<'a> {
    /// A peer, possibly this instance.
    Peer(&'a PeerView),
    /// The caller's failure domain has listed peers, but none is reachable.
    Unreachable,
}

impl Epoch {
    /// Returns the owner of an id for callers in `domain`: a peer in that domain if any is listed,
    /// else any peer.
    pub fn owner_of(&self, domain: &str, id: u64) -> Owner<'_> {
        let local = self
            .peers
            .iter()
            .filter(|peer| peer.domain.as_str() == domain);
        if let Some(peer) = highest_ranked(local, id) {
            return Owner::Peer(peer);
        }
        if self
            .listed_domains
            .iter()
            .any(|listed| listed.as_str() == domain)
        {
            return Owner::Unreachable;
        }
        highest_ranked(self.peers.iter(), id).map_or(Owner::Unreachable, Owner::Peer)
    }

    /// Returns whether a peer is reachable, so that it can be queried about what it owned.
    pub fn can_query(&self, name: &InstanceName) -> bool {
        let mut reachable = self.peers.iter().chain(&self.leaving);
        reachable.any(|peer| peer.name == *name)
    }

    /// Returns the two peers that store the record of a flow.
    pub fn record_owners(&self, flow: u64) -> Vec<&PeerView> {
        let mut ranked: Vec<_> = self.peers.iter().collect();
        ranked.sort_by_key(|peer| std::cmp::Reverse(hash_pair(peer.hash, flow)));
        ranked.truncate(2);
        ranked
    }

    /// Returns whether owners for callers in `domain` are limited to peers in that domain.
    pub fn is_scoped_to(&self, domain: &str) -> bool {
        self.listed_domains
            .iter()
            .any(|listed| listed.as_str() == domain)
    }
}

fn highest_ranked<'a>(peers: impl Iterator<Item = &'a PeerView>, id: u64) -> Option<&'a PeerView> {
    peers.max_by_key(|peer| hash_pair(peer.hash, id))
}

impl View {
    /// Returns the current epoch.
    pub fn current_epoch(&self) -> Option<&Epoch> {
        self.epochs.last()
    }

    /// Returns how long this instance has owned an id without interruption, and whether its view
    /// was complete for all that time. Returns `None` if it does not own the id now.
    pub fn ownership(&self, now: Micros, domain: &str, id: u64) -> Option<Ownership> {
        let mut ownership = None;
        for epoch in self.epochs.iter().rev() {
            match epoch.owner_of(domain, id) {
                Owner::Peer(peer) if peer.name == self.instance => {}
                _ => break,
            }
            let was_complete = ownership.is_none_or(|ownership: Ownership| ownership.is_complete);
            ownership = Some(Ownership {
                duration_ms: now.since(epoch.since),
                is_complete: was_complete && epoch.is_complete,
                is_scoped: epoch.is_scoped_to(domain),
            });
        }
        ownership
    }
}

/// Uninterrupted ownership of an id by this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ownership {
    /// How long this instance has owned the id.
    pub duration_ms: Millis,
    /// Whether every listed peer was reachable for all that time.
    pub is_complete: bool,
    /// Whether owners were limited to peers in the caller's failure domain.
    pub is_scoped: bool,
}
