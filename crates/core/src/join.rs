//! State that an instance fetches from its peers before it becomes live.

use conf::packed::content_hash;
use ids::{ContentHash, InstanceName, Micros, Millis};
use wire::peer::PastTargetSets;

use crate::control::Identity;
use crate::event::ControlAction;
use crate::fetch::Fetcher;
use crate::membership::Membership;
use crate::peer::Peer;

const FETCH_SEED: u64 = 0x6a6f_696e_0000_0001;

/// Fetches past target sets from peers, as the published document contains only the current ones.
#[derive(Debug)]
pub(crate) struct JoinTransfer {
    fetcher: Fetcher,
    /// Start of the join for which the last fetch succeeded.
    completed_for: Option<Micros>,
    /// Hash of the value being fetched, its age when a peer announced it, and the time of the
    /// announcement.
    pending: Option<(ContentHash, Millis, Micros)>,
}

impl JoinTransfer {
    pub(crate) fn new(identity: &Identity) -> Self {
        Self {
            fetcher: Fetcher::new(FETCH_SEED, identity.domain.clone()),
            completed_for: None,
            pending: None,
        }
    }

    /// Returns whether live peers have past target sets that this instance has not fetched yet.
    pub(crate) fn is_pending(&self, membership: &Membership) -> bool {
        self.completed_for != Some(membership.joining_since())
            && membership
                .peers_heard_since_joining()
                .any(|peer| peer.history.is_some())
    }

    /// Starts or continues the fetch of past target sets from a peer.
    pub(crate) fn advance(
        &mut self,
        now: Micros,
        membership: &Membership,
        out: &mut Vec<ControlAction>,
    ) {
        if !self.is_pending(membership) {
            return;
        }
        let announced = |hash: ContentHash| {
            move |peer: &&Peer| peer.history.is_some_and(|(announced, _)| announced == hash)
        };
        // The value of a peer changes with its sets, so the fetch of a value that no peer announces
        // any more is abandoned.
        let still_announced = self.pending.filter(|&(hash, ..)| {
            membership
                .peers_heard_since_joining()
                .any(|peer| announced(hash)(&peer))
        });
        let newest = || {
            membership.peers_heard_since_joining().find_map(|peer| {
                let (hash, age) = peer.history?;
                Some((hash, age, peer.last_heard_at?))
            })
        };
        self.pending = still_announced.or_else(newest);
        if let Some((hash, ..)) = self.pending {
            self.fetcher.retain(|wanted| *wanted == hash);
            let peers = membership
                .peers_heard_since_joining()
                .filter(announced(hash));
            self.fetcher.request(now, hash, peers, None, out);
        }
    }

    /// Handles the response of a peer. If it is the value being fetched, returns the past target
    /// sets and the time since they were encoded.
    pub(crate) fn on_fetched(
        &mut self,
        now: Micros,
        membership: &Membership,
        from: &InstanceName,
        hash: ContentHash,
        value: Option<&[u8]>,
    ) -> Option<(Millis, PastTargetSets)> {
        let (_, age, announced_at) = self.pending.filter(|&(wanted, ..)| wanted == hash)?;
        let past = value
            .filter(|value| content_hash(value) == hash)
            .and_then(|value| PastTargetSets::from_value(value).ok());
        let Some(past) = past else {
            self.fetcher.record_failure(now, &hash, Some(from));
            return None;
        };
        self.fetcher.complete(&hash);
        self.pending = None;
        self.completed_for = Some(membership.joining_since());
        Some((
            Millis(age.0.saturating_add(now.since(announced_at).0)),
            past,
        ))
    }
}
