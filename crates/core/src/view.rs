//! The immutable snapshot under which a shard decides.
//!
//! Control builds a new view when the document, the peers or a target's state change; shards never
//! share anything else.

use std::net::SocketAddr;
use std::sync::Arc;

use conf::Document;
use conf::model::Target;
use hashbrown::HashMap;
use ids::{DomainName, InstanceName, Micros, Millis, ServiceName, TargetName, hash_of, hash_pair};
use wire::token::TargetId;

const PEER_SEED: u64 = 0x7065_6572_0000_0001;

/// Everything a shard needs to know beyond its own flows and requests.
#[derive(Debug, Clone)]
pub struct View {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Failure domain of this instance.
    pub domain: DomainName,
    /// Document in force.
    pub document: Arc<Document>,
    /// Targets of the document by identity.
    pub targets: HashMap<TargetId, TargetView>,
    /// Past and present sets of serving targets per service, oldest first.
    pub target_sets: HashMap<ServiceName, Vec<Arc<TargetSet>>>,
    /// Peers over time, newest last; earlier epochs tell how long an id has had its owner.
    pub epochs: Vec<Epoch>,
    /// Whether this instance may act as an owner; false after a pause.
    pub may_own: bool,
}

/// A target with all that is known of it.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// Service of the target.
    pub service: ServiceName,
    /// Name within the service.
    pub name: TargetName,
    /// The target as declared.
    pub declared: Target,
    /// Whether it may take new flows and requests.
    pub accepts_new: bool,
    /// Share of its capacity to use, in thousandths; below 1,000 while it warms up.
    pub ramp_permille: u32,
    /// Requests that peers reported in flight on it.
    pub peers_in_flight: u32,
    /// Flows that peers reported on it.
    pub peers_flows: u32,
}

/// The targets of a service that took new flows under one document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSet {
    /// Candidates in the order of their identity.
    pub candidates: Vec<Candidate>,
    /// When the set came into force at this instance.
    pub since: Micros,
}

/// A target as placement sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Identity.
    pub target: TargetId,
    /// Failure domain.
    pub domain: DomainName,
    /// Relative capacity.
    pub weight: u32,
}

/// The peers, this instance included, during one span of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Epoch {
    /// When it began.
    pub since: Micros,
    /// Peers that could own work, in the order of their names.
    pub peers: Vec<PeerView>,
    /// Reachable peers that stop: they own nothing new, but still know what they owned.
    pub leaving: Vec<PeerView>,
    /// Whether every listed peer was reachable.
    pub is_complete: bool,
    /// Failure domains that have a listed peer.
    pub listed_domains: Vec<DomainName>,
}

/// A peer as ownership sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// Name.
    pub name: InstanceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for peer datagrams.
    pub address: SocketAddr,
    /// Hash of the name, computed once.
    pub hash: u64,
}

impl PeerView {
    /// Describes a peer.
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

/// Who owns a request, see section 6 of [the design](../../../docs/design.md).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner<'a> {
    /// A peer, possibly this instance.
    Peer(&'a PeerView),
    /// The caller's failure domain has listed peers, but none can be reached.
    Unreachable,
}

impl Epoch {
    /// Returns the owner of an id for callers of `domain`.
    pub fn owner_of(&self, domain: &str, id: u64) -> Owner<'_> {
        let local = self
            .peers
            .iter()
            .filter(|peer| peer.domain.as_str() == domain);
        if let Some(peer) = best(local, id) {
            return Owner::Peer(peer);
        }
        if self
            .listed_domains
            .iter()
            .any(|listed| listed.as_str() == domain)
        {
            return Owner::Unreachable;
        }
        best(self.peers.iter(), id).map_or(Owner::Unreachable, Owner::Peer)
    }

    /// Tells whether a peer can be asked about what it owned.
    pub fn can_query(&self, name: &InstanceName) -> bool {
        let mut present = self.peers.iter().chain(&self.leaving);
        present.any(|peer| peer.name == *name)
    }

    /// Returns the two peers that keep the record of a flow.
    pub fn record_owners(&self, flow: u64) -> Vec<&PeerView> {
        let mut ranked: Vec<_> = self.peers.iter().collect();
        ranked.sort_by_key(|peer| std::cmp::Reverse(hash_pair(peer.hash, flow)));
        ranked.truncate(2);
        ranked
    }

    /// Tells whether owners for callers of `domain` are chosen among its own peers.
    pub fn is_scoped_to(&self, domain: &str) -> bool {
        self.listed_domains
            .iter()
            .any(|listed| listed.as_str() == domain)
    }
}

fn best<'a>(peers: impl Iterator<Item = &'a PeerView>, id: u64) -> Option<&'a PeerView> {
    peers.max_by_key(|peer| hash_pair(peer.hash, id))
}

impl View {
    /// Returns the peers of the present.
    pub fn current_epoch(&self) -> Option<&Epoch> {
        self.epochs.last()
    }

    /// Returns how long this instance has owned an id without a break, and whether its view was
    /// complete for all that time. Returns `None` when it does not own the id now.
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

/// How long and under what view an instance has owned an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ownership {
    /// Time of unbroken ownership.
    pub duration_ms: Millis,
    /// Whether every listed peer was reachable for all of it.
    pub is_complete: bool,
    /// Whether the candidates were the peers of the caller's failure domain.
    pub is_scoped: bool,
}
