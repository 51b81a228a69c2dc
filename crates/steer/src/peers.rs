//! Selects the peer from which an instance gets its view.
//!
//! Calls to the store are rate-limited and charged, so in each failure domain one instance reads
//! the store and the others follow it. There is no election: each instance follows the best peer
//! that it knows and that has room, and an instance that knows no better peer reads the store. In a
//! large failure domain the followers form a tree. More than one reader is harmless apart from the
//! cost of its calls.

use std::cmp::Reverse;
use std::net::SocketAddr;

use hashbrown::HashMap;
use ids::{Micros, Millis, hash_of, hash_pair};
use smol_str::SmolStr;

/// Seed that separates the hash for peer ranks from other uses of the hash.
const RANK_SEED: u64 = 0x706f_6c6c_7261_6e6b;

/// Time after which a peer that was not heard from is removed; four rounds of peer discovery.
const PEER_EXPIRY: Millis = Millis(20_000);

/// Time for which a failed peer is not followed. Meanwhile this instance reads the store itself.
const SUSPENSION: Millis = Millis(3_000);

/// Time for which a full peer is not asked again, since its followers seldom leave.
const FULL_PEER_BACKOFF: Millis = Millis(300_000);

/// Maximum number of peers returned to a caller of the same failure domain. With as many followers
/// per peer, a tree of two levels serves a thousand instances.
const MAX_ADVERTISED_OWN_DOMAIN: usize = 32;

/// Maximum number of peers returned to a caller of another failure domain, where traffic has a
/// cost. If the first ones are gone, the caller still reaches another, which returns more.
const MAX_ADVERTISED_OTHER_DOMAIN: usize = 4;

/// Maximum number of peers with a view returned to a caller without one.
const MAX_ADVERTISED_VIEW_HOLDERS: usize = 8;
/// Number of peers of each third failure domain returned to a caller, which may ask one of them for
/// the load there. Callers of two domains otherwise know only the seeds of others.
const ADVERTISED_THIRD_DOMAIN: usize = 2;

/// Maximum number of known peers. Every caller is added, and seeds have many callers.
const MAX_PEERS: usize = 4_096;

/// Description of an instance for its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address for calls from other instances.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Bandwidth of the link in kilobits per second. Instances with fast links relay to those with
    /// slow links.
    pub link_kbps: u64,
}

impl Peer {
    fn hash(&self) -> u64 {
        hash_of(RANK_SEED, self.address.to_string().as_bytes())
    }

    fn rank(&self) -> (Reverse<u64>, u64) {
        (Reverse(self.link_kbps), self.hash())
    }
}

/// The members of a failure domain among which the owners of cold targets are chosen.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Members {
    /// Hash of this instance.
    pub own: u64,
    /// Hashes of the best members in the order of their rank, this instance included if it is one of
    /// them. Every instance of the failure domain knows them.
    pub hashes: Vec<u64>,
    /// When peers were last exchanged with another instance.
    pub last_exchange_at: Option<Micros>,
    /// Whether there is no seed but this instance, which then need not exchange peers.
    pub is_alone: bool,
}

/// What one instance tells another of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// The peer.
    pub peer: Peer,
    /// Time since the peer itself was heard from.
    pub heard_age: Millis,
    /// Whether the peer had a view then.
    pub has_view: bool,
}

#[derive(Debug)]
struct KnownPeer {
    peer: Peer,
    /// Hash of the address. Computing it for each comparison took 15 ms with 4,096 peers.
    hash: u64,
    last_heard_at: Micros,
    /// Whether the peer had a view when it was last heard from.
    has_view: bool,
    suspended_until: Micros,
    full_until: Micros,
}

impl KnownPeer {
    fn rank(&self) -> (Reverse<u64>, u64) {
        (Reverse(self.peer.link_kbps), self.hash)
    }

    fn report(&self, now: Micros) -> PeerReport {
        PeerReport {
            peer: self.peer.clone(),
            heard_age: now.since(self.last_heard_at),
            has_view: self.has_view,
        }
    }
}

/// The known peers of an instance.
#[derive(Debug)]
pub struct Peers {
    own: Peer,
    /// Whether this instance has a view.
    has_view: bool,
    known: HashMap<SocketAddr, KnownPeer>,
    last_exchange_at: Option<Micros>,
}

impl Peers {
    /// Creates a table that only knows the instance itself.
    pub fn new(own: Peer) -> Self {
        Self {
            own,
            has_view: false,
            known: HashMap::new(),
            last_exchange_at: None,
        }
    }

    /// Returns this instance.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    /// Returns what this instance tells of itself.
    pub fn own_report(&self) -> PeerReport {
        PeerReport {
            peer: self.own.clone(),
            heard_age: Millis(0),
            has_view: self.has_view,
        }
    }

    /// Returns whether this instance has a view.
    pub fn has_view(&self) -> bool {
        self.has_view
    }

    /// Records that this instance has a view.
    pub fn record_own_view(&mut self) {
        self.has_view = true;
    }

    /// Adds or updates a peer from what this or another instance heard from it.
    pub fn learn(&mut self, now: Micros, report: PeerReport) {
        let PeerReport {
            peer,
            heard_age,
            has_view,
        } = report;
        if peer.address == self.own.address {
            return;
        }
        let last_heard_at = now - heard_age;
        if let Some(known) = self.known.get_mut(&peer.address) {
            if last_heard_at >= known.last_heard_at {
                known.last_heard_at = last_heard_at;
                known.peer = peer;
                // A peer that was suspended while it had no view can be asked once it has one.
                let has_gained_view = has_view && !known.has_view;
                if has_gained_view && last_heard_at + SUSPENSION > known.suspended_until {
                    known.suspended_until = Micros(0);
                }
                known.has_view = has_view;
            }
            return;
        }
        if self.known.len() < MAX_PEERS {
            self.known.insert(
                peer.address,
                KnownPeer {
                    hash: peer.hash(),
                    peer,
                    last_heard_at,
                    has_view,
                    suspended_until: Micros(0),
                    full_until: Micros(0),
                },
            );
        }
    }

    /// Records that a peer returned the peers that it knows.
    pub fn record_exchange(&mut self, now: Micros) {
        self.last_exchange_at = Some(now);
    }

    /// Returns the best members of this failure domain. `is_alone` tells that there is no seed but
    /// this instance.
    pub fn members(&self, is_alone: bool) -> Members {
        let mut ranks: Vec<_> = self
            .known
            .values()
            .filter(|known| known.peer.domain == self.own.domain)
            .map(|known| known.rank())
            .chain(std::iter::once(self.own.rank()))
            .collect();
        ranks.sort_unstable();
        Members {
            own: self.own.hash(),
            hashes: ranks
                .into_iter()
                .take(MAX_ADVERTISED_OWN_DOMAIN)
                .map(|(_, hash)| hash)
                .collect(),
            last_exchange_at: self.last_exchange_at,
            is_alone,
        }
    }

    /// Excludes a peer for a while.
    pub fn suspend(&mut self, now: Micros, address: SocketAddr) {
        if let Some(known) = self.known.get_mut(&address) {
            known.suspended_until = now + SUSPENSION;
        }
    }

    /// Records that a peer accepts no more followers.
    pub fn mark_full(&mut self, now: Micros, address: SocketAddr) {
        if let Some(known) = self.known.get_mut(&address) {
            known.full_until = now + FULL_PEER_BACKOFF;
        }
    }

    /// Removes peers that were not heard from for too long.
    pub fn expire(&mut self, now: Micros) {
        self.known
            .retain(|_, known| now.since(known.last_heard_at) <= PEER_EXPIRY);
    }

    /// Returns the peer to follow, or `None` if this instance has to read the store itself.
    ///
    /// The best peer is preferred. If it is full, followers spread over the other better peers:
    /// those with the fastest links first, and among equal ones by a hash of both instances, so
    /// that the choice does not change as other peers come and go. Only better peers are followed,
    /// which rules out cycles.
    pub fn upstream(&self, now: Micros) -> Option<SocketAddr> {
        let better: Vec<&KnownPeer> = self
            .better_peers()
            .filter(|known| now >= known.suspended_until)
            .collect();
        let best = better.iter().min_by_key(|known| known.rank())?;
        if now >= best.full_until {
            return Some(best.peer.address);
        }
        better
            .iter()
            .filter(|known| now >= known.full_until)
            .map(|known| {
                (
                    Reverse(known.peer.link_kbps),
                    hash_pair(self.own.hash(), known.hash),
                    known,
                )
            })
            .min_by_key(|(link, share, _)| (*link, *share))
            .map(|(.., known)| known.peer.address)
    }

    /// Returns the number of known peers of this failure domain that are better than this instance.
    pub fn better_count(&self) -> usize {
        self.better_peers().count()
    }

    fn better_peers(&self) -> impl Iterator<Item = &KnownPeer> {
        let own_rank = self.own.rank();
        self.known
            .values()
            .filter(|known| known.peer.domain == self.own.domain)
            .filter(move |known| known.rank() < own_rank)
    }

    /// Returns a peer that may have a view, preferably one that is known to have one, and of the same
    /// failure domain. An instance that starts while the store is down asks it. Instances that start
    /// together ask different ones, since a complete view takes long on a slow link.
    pub fn fallback(&self, now: Micros) -> Option<SocketAddr> {
        self.known
            .values()
            .filter(|known| now >= known.suspended_until)
            .min_by_key(|known| {
                let spread = known
                    .has_view
                    .then(|| hash_pair(self.own.hash(), known.hash));
                let is_far = known.peer.domain != self.own.domain;
                (!known.has_view, is_far, spread, known.rank())
            })
            .map(|known| known.peer.address)
    }

    /// Returns whether a peer is known to have a view and can be asked for it.
    pub fn knows_view_holder(&self, now: Micros) -> bool {
        self.known
            .values()
            .any(|known| known.has_view && now >= known.suspended_until)
    }

    /// Returns the peers with a view that were heard from most recently.
    pub fn view_holders(&self, now: Micros) -> Vec<PeerReport> {
        let mut holders: Vec<&KnownPeer> =
            self.known.values().filter(|known| known.has_view).collect();
        holders.sort_by_key(|known| (Reverse(known.last_heard_at), known.rank()));
        let holders = holders.into_iter().take(MAX_ADVERTISED_VIEW_HOLDERS);
        holders.map(|known| known.report(now)).collect()
    }

    /// Returns the known peers of each other failure domain, the best ones first.
    pub fn other_domains(&self) -> Vec<(SmolStr, Vec<SocketAddr>)> {
        let others = self.known.values();
        let others = others.filter(|known| known.peer.domain != self.own.domain);
        let mut ranks: Vec<_> = others
            .map(|known| (known.peer.domain.clone(), known.rank(), known.peer.address))
            .collect();
        ranks.sort_unstable();
        let mut domains: Vec<(SmolStr, Vec<SocketAddr>)> = Vec::new();
        for (domain, _, address) in ranks {
            match domains.last_mut() {
                Some((known, addresses)) if *known == domain => addresses.push(address),
                _ => domains.push((domain, vec![address])),
            }
        }
        domains
    }

    /// Returns the best peers of each failure domain but this one and another one.
    pub fn best_of_third_domains(&self, now: Micros, domain: &str) -> Vec<PeerReport> {
        let domains = self.other_domains().into_iter();
        let addresses = domains
            .filter(|(name, _)| name != domain)
            .flat_map(|(_, addresses)| addresses.into_iter().take(ADVERTISED_THIRD_DOMAIN));
        let known = addresses.filter_map(|address| self.known.get(&address));
        known.map(|known| known.report(now)).collect()
    }

    /// Returns the best peers of a failure domain.
    pub fn best_of_domain(&self, now: Micros, domain: &str) -> Vec<PeerReport> {
        let mut domain_peers: Vec<&KnownPeer> = self
            .known
            .values()
            .filter(|known| known.peer.domain == domain)
            .collect();
        domain_peers.sort_by_key(|known| known.rank());
        let count = if domain == self.own.domain {
            MAX_ADVERTISED_OWN_DOMAIN
        } else {
            MAX_ADVERTISED_OTHER_DOMAIN
        };
        domain_peers
            .into_iter()
            .take(count)
            .map(|known| known.report(now))
            .collect()
    }
}
