//! The fence: conditions under which an owner may run a request that must not run twice.
//!
//! See section 6 of [the design](../../../docs/design.md); the letters are those of its list.

use hashbrown::HashMap;
use ids::{InstanceName, Micros, Millis};
use std::collections::VecDeque;
use wire::frame::{Frame, Refusal};

use crate::view::{Owner, View};

/// Margin over `elapsed_ms` in condition (a): the time after which a silent peer is out of the view.
const OWNERSHIP_MARGIN_MS: Millis = Millis(2_000);

/// What the fence says of a request without a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FenceDecision {
    /// It may run now.
    Run,
    /// It may run at this time, if it is still owned then.
    WaitUntil(Micros),
    /// It may have run elsewhere.
    OutcomeUnknown,
    /// Another instance owns it, so only that one may run or refuse it.
    NotOwner,
    /// The lease is over: nothing can be claimed, not even "not run".
    NoLease,
}

/// What is known of a request without a record, beyond the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRunProof {
    /// Nothing.
    None,
    /// A record shows that no earlier attempt was run.
    OwnRecord,
    /// The owner before this instance passed the frame back: it has no record of the id and knows
    /// no time at which it owned it.
    PreviousOwner,
}

/// Decides on a non-idempotent request.
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

/// Tells whether this instance owned the id until a moment ago, for long enough to run it.
///
/// While its own fence lasts, a new owner asks the owner before it to decide on first attempts. So
/// one instance decides about a request and its duplicates all through a change. Waiting alone
/// would not do: a duplicate that waits at the new owner still runs after the original.
fn was_recent_owner(now: Micros, view: &View, frame: &Frame, fence: &FenceSettings) -> bool {
    let Some((current, earlier)) = view.epochs.split_last() else {
        return false;
    };
    // Views change within about one fence time of each other; twice that covers both ends.
    if now.since(current.since).0 > 2 * fence.fence_ms.0 {
        return false;
    }
    let owned = earlier.iter().rev().take_while(|epoch| {
        let owner = epoch.owner_of(&frame.domain, frame.request);
        matches!(owner, Owner::Peer(peer) if peer.name == view.instance)
    });
    let since = owned.last().map(|epoch| epoch.since);
    since.is_some_and(|since| current.since.since(since) >= fence.fence_ms)
}

/// Times of the fence.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FenceSettings {
    /// See [`crate::request::RequestSettings::fence_ms`].
    pub fence_ms: Millis,
    /// See [`crate::request::RequestSettings::deadline_cap_ms`].
    pub max_deadline_ms: Millis,
}

/// Tells whether ownership alone proves that a request without a record was never run: this
/// instance owned the id since before the first attempt, and would still have the record.
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
    // Records are kept for the deadline cap only, so beyond it a missing record proves nothing.
    elapsed_ms < fence.max_deadline_ms.0
        && ownership.duration_ms.0 > elapsed_ms + OWNERSHIP_MARGIN_MS.0
        && (ownership.is_scoped || ownership.is_complete)
}

/// Returns the peer that owned an id before this instance did, if it is still in the view and the
/// change was recent enough for it to hold a record.
pub(crate) fn previous_owner(
    now: Micros,
    view: &View,
    frame: &Frame,
    retention: Millis,
) -> Option<InstanceName> {
    let current_epoch = view.current_epoch()?;
    let mut began = now;
    for epoch in view.epochs.iter().rev() {
        if now.since(began) > retention {
            return None;
        }
        began = epoch.since;
        if let Owner::Peer(peer) = epoch.owner_of(&frame.domain, frame.request)
            && peer.name != view.instance
        {
            return current_epoch
                .can_query(&peer.name)
                .then(|| peer.name.clone());
        }
    }
    if now.since(began) > retention {
        return None;
    }
    // An instance that has owned the id for all its short life took it from the second best.
    let mut before = view.epochs.first()?.clone();
    before.peers.retain(|peer| peer.name != view.instance);
    match before.owner_of(&frame.domain, frame.request) {
        Owner::Peer(peer) => Some(peer.name.clone()),
        Owner::Unreachable => None,
    }
}

/// The lease as the shard itself sees it.
///
/// After a pause, frames from the socket's buffer may be handled before control reports the loss
/// of the lease, so the shard also watches the gaps between its own ticks.
#[derive(Debug, Default)]
pub(crate) struct LocalLease {
    last_tick_at: Option<Micros>,
    blocked_until: Micros,
}

impl LocalLease {
    /// Notes that an event is handled at `now`; returns whether a gap ended the lease.
    pub fn detect_gap(&mut self, now: Micros, lease_ms: Millis, fence_ms: Millis) -> bool {
        let last_tick_at = *self.last_tick_at.get_or_insert(now);
        let is_gap = now.since(last_tick_at) > lease_ms;
        if is_gap {
            // Within the fence time control has noticed the pause too and sent a view without a
            // lease; if only this thread was late, peers never missed the instance.
            self.blocked_until = now + fence_ms;
            self.last_tick_at = Some(now);
        }
        is_gap
    }

    /// Notes a tick.
    pub fn on_tick(&mut self, now: Micros) {
        self.last_tick_at = Some(now);
    }

    /// Tells whether the instance may act as an owner.
    pub fn is_held(&self, now: Micros, view: &View) -> bool {
        view.may_own && !self.is_blocked(now)
    }

    /// Tells whether a gap between ticks still bars the instance from acting on what it held.
    pub fn is_blocked(&self, now: Micros) -> bool {
        now < self.blocked_until
    }
}

/// Ids that this instance asked the owner before it to decide on.
///
/// Duplicates and resends that come after the fence go to the same peer, which has the record.
#[derive(Debug, Default)]
pub(crate) struct OwnerQueries {
    peers: HashMap<u64, InstanceName>,
    order: VecDeque<(Micros, u64)>,
}

impl OwnerQueries {
    /// Returns the peer that was asked about an id.
    pub fn get(&self, id: u64) -> Option<&InstanceName> {
        self.peers.get(&id)
    }

    /// Notes until `expires` that a peer was asked; returns false when there is no room.
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

    /// Notes that the peer passed the frame back.
    pub fn remove(&mut self, id: u64) {
        self.peers.remove(&id);
    }

    /// Forgets ids that no frame can name any more.
    pub fn expire(&mut self, now: Micros) {
        while let Some(&(expires, id)) = self.order.front()
            && expires <= now
        {
            self.order.pop_front();
            self.peers.remove(&id);
        }
    }
}

/// Refusals of requests that must not run afterwards.
///
/// A delayed duplicate of a refused frame would otherwise run after the member was told that it
/// was not run.
#[derive(Debug, Default)]
pub(crate) struct SentRefusals {
    entries: HashMap<u64, (SentRefusal, Micros)>,
    order: VecDeque<(Micros, u64)>,
}

/// A refusal that was sent.
#[derive(Debug, Clone)]
pub(crate) struct SentRefusal {
    /// Code that was sent.
    pub code: Refusal,
}

impl SentRefusals {
    /// Returns the refusal of an id.
    pub fn get(&self, id: u64) -> Option<&SentRefusal> {
        self.entries.get(&id).map(|(refusal, _)| refusal)
    }

    /// Notes a refusal until `expires`; returns false when there is no room for it.
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

    /// Forgets refusals that no duplicate can meet any more.
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
