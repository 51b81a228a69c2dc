//! Tasks that one or two instances of a failure domain do for the others.

use ids::hash_pair;
use wire::peer::MemberState;

use super::Membership;
use crate::peer::Peer;

/// Who does a task of this failure domain.
#[derive(Debug)]
pub(crate) enum Assignee<'a> {
    /// This instance.
    ThisInstance,
    /// A peer.
    Peer(&'a Peer),
    /// Nobody, as no instance of the failure domain is live.
    Unassigned,
}

impl Membership {
    /// Tells whether this instance is among the best `count` reachable instances of its failure
    /// domain for a task.
    pub(crate) fn is_assigned(&self, task: u64, count: usize) -> bool {
        if self.state == MemberState::Leaving {
            return false;
        }
        let mine = hash_pair(self.own_view.hash, task);
        let better = self
            .peers
            .values()
            .filter(|peer| peer.is_reachable() && peer.state != MemberState::Leaving)
            .filter(|peer| peer.view.domain == self.identity.domain)
            .filter(|peer| hash_pair(peer.view.hash, task) > mine)
            .count();
        better < count
    }

    /// Returns the live instances of the own failure domain, without this one.
    pub(crate) fn live_domain_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(|peer| peer.may_own() && peer.view.domain == self.identity.domain)
    }

    /// Returns which live instance of the own failure domain does a task.
    pub(crate) fn assignee_of(&self, task: u64) -> Assignee<'_> {
        let best = self
            .live_domain_peers()
            .max_by_key(|peer| hash_pair(peer.view.hash, task));
        let is_live = self.state == MemberState::Live && self.is_lease_held;
        let mine = hash_pair(self.own_view.hash, task);
        match best {
            Some(peer) if !is_live || hash_pair(peer.view.hash, task) > mine => {
                Assignee::Peer(peer)
            }
            _ if is_live => Assignee::ThisInstance,
            _ => Assignee::Unassigned,
        }
    }
}
