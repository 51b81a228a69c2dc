//! What an instance learns from its peers before it is live.

use conf::packed::content_hash;
use ids::{ContentHash, InstanceName, Micros, Millis};
use wire::peer::PastSets;

use crate::control::Identity;
use crate::event::ControlAction;
use crate::fetch::Fetches;
use crate::membership::Membership;
use crate::peer::Peer;

const FETCH_SEED: u64 = 0x6a6f_696e_0000_0001;

/// The fetch of past target sets, which the published document does not hold.
#[derive(Debug)]
pub(crate) struct JoinTransfer {
    fetches: Fetches,
    /// Since when the instance has been joining, as of the last fetch that ended well.
    completed_for: Option<Micros>,
    /// The value that is fetched, its age when it was heard of, and when that was.
    pending: Option<(ContentHash, Millis, Micros)>,
}

impl JoinTransfer {
    pub(crate) fn new(me: &Identity) -> Self {
        Self {
            fetches: Fetches::new(FETCH_SEED, me.domain.clone()),
            completed_for: None,
            pending: None,
        }
    }

    /// Tells whether live peers keep past target sets that this instance has not read yet.
    pub(crate) fn is_pending(&self, members: &Membership) -> bool {
        self.completed_for != Some(members.joining_since())
            && members
                .peers_heard_since_joining()
                .any(|peer| peer.history.is_some())
    }

    /// Asks a peer for its past target sets.
    pub(crate) fn advance(
        &mut self,
        now: Micros,
        members: &Membership,
        out: &mut Vec<ControlAction>,
    ) {
        if !self.is_pending(members) {
            return;
        }
        let announced = |hash: ContentHash| {
            move |peer: &&Peer| peer.history.is_some_and(|(announced, _)| announced == hash)
        };
        // The value at a peer changes with its sets, so one that nobody announces is given up.
        let kept = self.pending.filter(|&(hash, ..)| {
            members
                .peers_heard_since_joining()
                .any(|p| announced(hash)(&p))
        });
        let newest = || {
            members.peers_heard_since_joining().find_map(|peer| {
                let (hash, age) = peer.history?;
                Some((hash, age, peer.last_heard_at?))
            })
        };
        self.pending = kept.or_else(newest);
        if let Some((hash, ..)) = self.pending {
            self.fetches.retain(|wanted| *wanted == hash);
            let peers = members.peers_heard_since_joining().filter(announced(hash));
            self.fetches.want(now, hash, peers, None, out);
        }
    }

    /// Takes a peer's answer if it is to this fetch, and returns the past target sets with the
    /// time since they were built.
    pub(crate) fn on_fetched(
        &mut self,
        now: Micros,
        members: &Membership,
        from: &InstanceName,
        hash: ContentHash,
        value: Option<&[u8]>,
    ) -> Option<(Millis, PastSets)> {
        let (_, age, heard) = self.pending.filter(|&(wanted, ..)| wanted == hash)?;
        let past = value
            .filter(|value| content_hash(value) == hash)
            .and_then(|value| PastSets::from_value(value).ok());
        let Some(past) = past else {
            self.fetches.failed(now, &hash, Some(from));
            return None;
        };
        self.fetches.arrived(&hash);
        self.pending = None;
        self.completed_for = Some(members.joining_since());
        Some((Millis(age.0.saturating_add(now.since(heard).0)), past))
    }
}
