//! Peers, and which of them reads the store for its failure domain.
//!
//! The store's calls are limited and priced, so in each failure domain one instance reads it and
//! the others follow. There is no election: each instance follows the best peer that it knows and
//! that has room, and an instance that knows no better one reads. In a large failure domain the
//! followers form a tree. Several readers do no harm beyond their calls.

use std::cmp::Reverse;
use std::net::SocketAddr;

use hashbrown::HashMap;
use ids::{Micros, Millis, hash_of, hash_pair};
use smol_str::SmolStr;

/// Separates the hash that ranks peers from other uses of the hash.
const RANK_SEED: u64 = 0x706f_6c6c_7261_6e6b;

/// Time after which a peer that was not heard is forgotten; four rounds of meeting.
const PEER_EXPIRY: Millis = Millis(20_000);

/// Time for which a peer that failed is not followed. Meanwhile this instance reads by itself.
const SUSPENSION: Millis = Millis(3_000);

/// Time for which a peer that has enough followers is not asked again; its followers seldom leave.
const FULL_PEER_BACKOFF: Millis = Millis(300_000);

/// Peers named to a caller of the same failure domain. With as many followers each, they serve a
/// thousand instances in two steps.
const MAX_ADVERTISED_OWN_DOMAIN: usize = 32;

/// Peers named to a caller of another one, since bytes between failure domains cost. With the first
/// ones gone it still finds one, which names more.
const MAX_ADVERTISED_OTHER_DOMAIN: usize = 4;

/// Peers remembered. An instance remembers what it is asked by, and seeds are asked by many.
const MAX_PEERS: usize = 4_096;

/// What one instance knows of another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address for other instances.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Bandwidth of its link in kilobits a second. Wide links relay for narrow ones.
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

#[derive(Debug)]
struct KnownPeer {
    peer: Peer,
    heard_at: Micros,
    suspended_until: Micros,
    full_until: Micros,
}

/// All peers that an instance knows.
#[derive(Debug)]
pub struct Peers {
    own: Peer,
    known: HashMap<SocketAddr, KnownPeer>,
}

impl Peers {
    /// Creates a table that knows the instance itself only.
    pub fn new(own: Peer) -> Self {
        Self {
            own,
            known: HashMap::new(),
        }
    }

    /// Returns the instance itself.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    /// Takes news of a peer that was heard at a time, by this instance or by another.
    pub fn learn(&mut self, peer: Peer, heard_at: Micros) {
        if peer.address == self.own.address {
            return;
        }
        if let Some(known) = self.known.get_mut(&peer.address) {
            known.heard_at = known.heard_at.max(heard_at);
            known.peer = peer;
            return;
        }
        if self.known.len() < MAX_PEERS {
            self.known.insert(
                peer.address,
                KnownPeer {
                    peer,
                    heard_at,
                    suspended_until: Micros(0),
                    full_until: Micros(0),
                },
            );
        }
    }

    /// Stops following a peer for a while.
    pub fn suspend(&mut self, now: Micros, address: SocketAddr) {
        if let Some(known) = self.known.get_mut(&address) {
            known.suspended_until = now + SUSPENSION;
        }
    }

    /// Notes that a peer has enough followers.
    pub fn mark_full(&mut self, now: Micros, address: SocketAddr) {
        if let Some(known) = self.known.get_mut(&address) {
            known.full_until = now + FULL_PEER_BACKOFF;
        }
    }

    /// Forgets peers that were not heard for long.
    pub fn expire(&mut self, now: Micros) {
        self.known
            .retain(|_, known| now.since(known.heard_at) <= PEER_EXPIRY);
    }

    /// Returns the peer to follow, or nothing when this instance reads the store itself.
    ///
    /// That is the best peer. When it has enough followers, the others share those that are left: the
    /// widest links first, and each instance one by its own hash, which stays the same when others
    /// come and go. Only better peers are followed, so that nobody follows itself over others.
    pub fn upstream(&self, now: Micros) -> Option<SocketAddr> {
        let own_rank = self.own.rank();
        let better: Vec<&KnownPeer> = self
            .known
            .values()
            .filter(|known| known.peer.domain == self.own.domain && now >= known.suspended_until)
            .filter(|known| known.peer.rank() < own_rank)
            .collect();
        let best = better.iter().min_by_key(|known| known.peer.rank())?;
        if now >= best.full_until {
            return Some(best.peer.address);
        }
        better
            .iter()
            .filter(|known| now >= known.full_until)
            .map(|known| {
                (
                    Reverse(known.peer.link_kbps),
                    self.pair_hash(&known.peer),
                    known,
                )
            })
            .min_by_key(|(link, share, _)| (*link, *share))
            .map(|(.., known)| known.peer.address)
    }

    fn pair_hash(&self, peer: &Peer) -> u64 {
        hash_pair(self.own.hash(), peer.hash())
    }

    /// Returns any peer that may have a view, the own failure domain's first. To be asked by an
    /// instance that starts while the store is away.
    pub fn fallback(&self, now: Micros) -> Option<SocketAddr> {
        self.known
            .values()
            .filter(|known| now >= known.suspended_until)
            .min_by_key(|known| (known.peer.domain != self.own.domain, known.peer.rank()))
            .map(|known| known.peer.address)
    }

    /// Returns the best peers of a failure domain with the time since each was heard.
    pub fn best_of_domain(&self, now: Micros, domain: &str) -> Vec<(Peer, Millis)> {
        let mut found: Vec<&KnownPeer> = self
            .known
            .values()
            .filter(|known| known.peer.domain == domain)
            .collect();
        found.sort_by_key(|known| known.peer.rank());
        let count = if domain == self.own.domain {
            MAX_ADVERTISED_OWN_DOMAIN
        } else {
            MAX_ADVERTISED_OTHER_DOMAIN
        };
        found
            .into_iter()
            .take(count)
            .map(|known| (known.peer.clone(), now.since(known.heard_at)))
            .collect()
    }
}
