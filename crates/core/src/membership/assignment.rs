//! Assignment of tasks that one or two instances of a failure domain do for all of them.
//!
//! Instances are ranked by rendezvous hashing, so they agree on the assignment if their views do.

use ids::hash_pair;
use wire::peer::LifecycleState;

use super::Membership;
use crate::peer::Peer;

/// Instance that a task of this failure domain is assigned to.
#[derive(Debug)]
pub(crate) enum Assignee<'a> {
    /// This instance.
    ThisInstance,
    /// A peer.
    Peer(&'a Peer),
    /// None, because no instance of the failure domain is live.
    Unassigned,
}

impl Membership {
    /// Returns whether this instance ranks among the first `count` reachable instances of its
    /// failure domain for a task.
    pub(crate) fn is_assigned(&self, task: u64, count: usize) -> bool {
        if self.state == LifecycleState::Leaving {
            return false;
        }
        let own_rank = hash_pair(self.own_view.hash, task);
        let higher_ranked = self
            .peers
            .values()
            .filter(|peer| peer.is_reachable() && peer.state != LifecycleState::Leaving)
            .filter(|peer| peer.view.domain == self.identity.domain)
            .filter(|peer| hash_pair(peer.view.hash, task) > own_rank)
            .count();
        higher_ranked < count
    }

    /// Returns the live peers in the failure domain of this instance.
    pub(crate) fn live_domain_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(|peer| peer.may_own() && peer.view.domain == self.identity.domain)
    }

    /// Returns the live instance of this failure domain that a task is assigned to.
    pub(crate) fn assignee_of(&self, task: u64) -> Assignee<'_> {
        let best = self
            .live_domain_peers()
            .max_by_key(|peer| hash_pair(peer.view.hash, task));
        let is_live = self.state == LifecycleState::Live && self.is_lease_held;
        let own_rank = hash_pair(self.own_view.hash, task);
        match best {
            Some(peer) if !is_live || hash_pair(peer.view.hash, task) > own_rank => {
                Assignee::Peer(peer)
            }
            _ if is_live => Assignee::ThisInstance,
            _ => Assignee::Unassigned,
        }
    }
}
