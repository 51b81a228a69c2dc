//! Fencing: the conditions under which an owner may run a request at most once.
//!
//! The letters of the conditions are those of section 6 of
//! [the design](../../../docs/design.md).

use hashbrown::HashMap;
use ids::{InstanceName, Micros, Millis};
use std::collections::VecDeque;
use wire::frame::{Frame, Refusal};

use crate::view::{Owner, View};

/// Margin over `elapsed_ms` in condition (a): the time until an unresponsive peer leaves the view.
const OWNERSHIP_MARGIN_MS: Millis = Millis(2_000);

/// Decision on a request without a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FenceDecision {
    /// The request may run now.
    Run,
    /// The request may run at this time if this instance still owns it.
    WaitUntil(Micros),
    /// The request may have run on another instance.
    OutcomeUnknown,
    /// Another instance owns the request, and only the owner may run or refuse it.
    NotOwner,
    /// The lease has expired, so this instance must not answer, not even with "not run".
    NoLease,
}

/// Proof, beyond the view, that a request without a record was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRunProof {
    /// No proof.
    None,
    /// A record of this instance shows that no earlier attempt was run.
    OwnRecord,
    /// The previous owner returned the frame: it has no record of the id, and none of its epochs
    /// shows it as the owner.
    PreviousOwner,
}

/// Decides on a non-idempotent request without a record.
pub(crate) fn decide(
    now: Micros,
    view: &View,
    frame: &Frame,
    fence: &FenceSettings,
    is_lease_held: bool,
    proof: NotRunProof,
) -> FenceDecision {
    if !is_lease_held {
        return FenceDecision::NoLease;
    }
    let is_proven = frame.attempt == 0
        || proof == NotRunProof::OwnRecord
        || is_proven_by_ownership(now, view, frame, fence);
    if !is_proven {
        return FenceDecision::OutcomeUnknown;
    }
    let Some(ownership) = view.ownership(now, &frame.domain, frame.request) else {
        return match was_recent_owner(now, view, frame, fence) {
            true => FenceDecision::Run,
            false => FenceDecision::NotOwner,
        };
    };
    if ownership.duration_ms >= fence.fence_ms || proof == NotRunProof::PreviousOwner {
        return FenceDecision::Run;
    }
    FenceDecision::WaitUntil(now + Millis(fence.fence_ms.0 - ownership.duration_ms.0))
}

/// Returns whether this instance owned the id until recently, and for long enough to run it.
///
/// While its own fence lasts, a new owner queries the previous owner about first attempts. One
/// instance thus decides on a request and its duplicates throughout a change of ownership. A wait
/// alone is not enough, because a duplicate that waits at the new owner would run after the
/// original.
fn was_recent_owner(now: Micros, view: &View, frame: &Frame, fence: &FenceSettings) -> bool {
    let Some((current, earlier)) = view.epochs.split_last() else {
        return false;
    };
    // Views of different instances change within about one fence time of each other; twice that
    // covers both the start and the end of the fence.
    if now.since(current.since).0 > 2 * fence.fence_ms.0 {
        return false;
    }
    let owned_epochs = earlier.iter().rev().take_while(|epoch| {
        let owner = epoch.owner_of(&frame.domain, frame.request);
        matches!(owner, Owner::Peer(peer) if peer.name == view.instance)
    });
    let owned_since = owned_epochs.last().map(|epoch| epoch.since);
    owned_since.is_some_and(|since| current.since.since(since) >= fence.fence_ms)
}

/// Timing of the fence.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FenceSettings {
    /// See [`crate::request::RequestSettings::fence_ms`].
    pub fence_ms: Millis,
    /// See [`crate::request::RequestSettings::max_deadline_ms`].
    pub max_deadline_ms: Millis,
}

/// Returns whether ownership alone proves that a request without a record was never run.
///
/// This holds if this instance has owned the id since before the first attempt and would still
/// have the record.
pub(crate) fn is_proven_by_ownership(
    now: Micros,
    view: &View,
    frame: &Frame,
    fence: &FenceSettings,
) -> bool {
    let elapsed_ms = u64::from(frame.elapsed_ms);
    let Some(ownership) = view.ownership(now, &frame.domain, frame.request) else {
        return false;
    };
    // Records may have expired after the maximum deadline, so a missing one then proves nothing.
    elapsed_ms < fence.max_deadline_ms.0
        && ownership.duration_ms.0 > elapsed_ms + OWNERSHIP_MARGIN_MS.0
        && (ownership.is_scoped || ownership.is_complete)
}

/// Returns the previous owner of an id, if it is still in the view and the change of ownership is
/// recent enough for it to have a record.
pub(crate) fn previous_owner(
    now: Micros,
    view: &View,
    frame: &Frame,
    retention: Millis,
) -> Option<InstanceName> {
    let current_epoch = view.current_epoch()?;
    let mut owned_since = now;
    for epoch in view.epochs.iter().rev() {
        if now.since(owned_since) > retention {
            return None;
        }
        owned_since = epoch.since;
        if let Owner::Peer(peer) = epoch.owner_of(&frame.domain, frame.request)
            && peer.name != view.instance
        {
            return current_epoch
                .can_query(&peer.name)
                .then(|| peer.name.clone());
        }
    }
    if now.since(owned_since) > retention {
        return None;
    }
    // An instance that has owned the id since it joined took it over from the peer that ranks
    // second.
    let mut epoch_before_join = view.epochs.first()?.clone();
    epoch_before_join
        .peers
        .retain(|peer| peer.name != view.instance);
    match epoch_before_join.owner_of(&frame.domain, frame.request) {
        Owner::Peer(peer) => Some(peer.name.clone()),
        Owner::Unreachable => None,
    }
}

/// Detects the loss of the lease within a shard.
///
/// After a pause, frames from the socket buffer may be handled before the control plane reports the
/// loss of the lease, so the shard also watches for gaps between its own ticks.
#[derive(Debug, Default)]
pub(crate) struct LocalLease {
    last_tick_at: Option<Micros>,
    blocked_until: Micros,
}

impl LocalLease {
    /// Checks for a gap before an event at `now`; returns whether it ended the lease.
    pub fn detect_gap(&mut self, now: Micros, lease_ms: Millis, fence_ms: Millis) -> bool {
        let last_tick_at = *self.last_tick_at.get_or_insert(now);
        let is_gap = now.since(last_tick_at) > lease_ms;
        if is_gap {
            // Within the fence time, the control plane detects the pause too and publishes a view
            // without a lease. If only this thread was late, the peers never missed the instance.
            self.blocked_until = now + fence_ms;
            self.last_tick_at = Some(now);
        }
        is_gap
    }

    /// Records a tick.
    pub fn on_tick(&mut self, now: Micros) {
        self.last_tick_at = Some(now);
    }

    /// Returns whether the instance may act as an owner.
    pub fn is_held(&self, now: Micros, view: &View) -> bool {
        view.may_own && !self.is_blocked(now)
    }

    /// Returns whether the instance must not act on its records yet after a gap between ticks.
    pub fn is_blocked(&self, now: Micros) -> bool {
        now < self.blocked_until
    }
}

/// Ids of requests on which this instance let the previous owner decide.
///
/// Duplicates and resends that arrive after the fence are relayed to the same peer, which has the
/// record.
#[derive(Debug, Default)]
pub(crate) struct OwnerQueries {
    peers: HashMap<u64, InstanceName>,
    order: VecDeque<(Micros, u64)>,
}

impl OwnerQueries {
    /// Returns the peer that was queried about an id.
    pub fn get(&self, id: u64) -> Option<&InstanceName> {
        self.peers.get(&id)
    }

    /// Records until `expires` that a peer was queried; returns false if there is no room.
    pub fn insert(
        &mut self,
        id: u64,
        peer: &InstanceName,
        expires: Micros,
        capacity: usize,
    ) -> bool {
        if self.peers.len() >= capacity {
            return false;
        }
        self.peers.insert(id, peer.clone());
        self.order.push_back((expires, id));
        true
    }

    /// Records that the peer returned the frame.
    pub fn remove(&mut self, id: u64) {
        self.peers.remove(&id);
    }

    /// Removes expired ids, which no frame can name any more.
    pub fn expire(&mut self, now: Micros) {
        while let Some(&(expires, id)) = self.order.front()
            && expires <= now
        {
            self.order.pop_front();
            self.peers.remove(&id);
        }
    }
}

/// Refusals that were sent for requests, which must not run afterwards.
///
/// Otherwise a delayed duplicate of a refused frame would run after the caller was told that the
/// request was not run.
#[derive(Debug, Default)]
pub(crate) struct SentRefusals {
    entries: HashMap<u64, (SentRefusal, Micros)>,
    order: VecDeque<(Micros, u64)>,
}

/// A refusal that was sent.
#[derive(Debug, Clone)]
pub(crate) struct SentRefusal {
    /// Reason code.
    pub code: Refusal,
}

impl SentRefusals {
    /// Returns the refusal that was sent for an id.
    pub fn get(&self, id: u64) -> Option<&SentRefusal> {
        self.entries.get(&id).map(|(refusal, _)| refusal)
    }

    /// Records a refusal until `expires`; returns false if there is no room for it.
    pub fn insert(
        &mut self,
        id: u64,
        refusal: SentRefusal,
        expires: Micros,
        capacity: usize,
    ) -> bool {
        if let Some((known, known_expires)) = self.entries.get_mut(&id) {
            known.code = refusal.code;
            *known_expires = expires;
            return true;
        }
        if self.entries.len() >= capacity {
            return false;
        }
        self.entries.insert(id, (refusal, expires));
        self.order.push_back((expires, id));
        true
    }

    /// Removes expired refusals, for which no duplicate can arrive any more.
    pub fn expire(&mut self, now: Micros) {
        while let Some(&(expires, id)) = self.order.front()
            && expires <= now
        {
            self.order.pop_front();
            match self.entries.get(&id) {
                Some(&(_, renewed)) if renewed > now => self.order.push_back((renewed, id)),
                _ => drop(self.entries.remove(&id)),
            }
        }
    }
}
