//! Limits the new flows of cold targets over all instances, without messages between them.
//!
//! For each cold target one instance of the target's failure domain, its owner, places flows on it.
//! Every instance computes the owner from the members that it knows. Their views of the membership
//! differ for seconds, so that a target can have several owners; each uses a third of the limit.

use std::collections::VecDeque;

use hashbrown::HashMap;
use ids::{Micros, Millis, hash_of, hash_pair};

use crate::model::{Service, TargetId};
use crate::peers::Members;
use crate::settings::ColdLimit;

/// Seed that separates the hash for owners of cold targets from other uses of the hash.
const OWNER_SEED: u64 = 0x706f_6c6c_636f_6c64;

/// Length of the sliding window of the limit.
const WINDOW: Millis = Millis(1_000);

/// Number of instances that may own a target at the same time: the owner of a view that does not have
/// a newcomer yet, one of a view that lacks a member which is paused or cut off, and that member.
const MAX_OWNERS: u32 = 3;

/// Time after the start in which an instance places no flows on cold targets, because the others do
/// not know it yet. Two rounds of peer discovery.
const MIN_RUNNING_TIME: Millis = Millis(10_000);

/// Time after the last exchange with a peer in which the known members count as current.
const MEMBERS_LIFETIME: Millis = Millis(10_000);

/// Warm-up time of a target whose service is not known.
const DEFAULT_WARMUP: Millis = Millis(2_000);

/// Returns the time for which a target of a service is cold after its start.
pub(crate) fn warmup(service: Option<&Service>) -> Millis {
    service.map_or(DEFAULT_WARMUP, |service| service.warmup)
}

impl ColdLimit {
    /// Returns the number of flows that may open at a cold target within a second, over all
    /// instances. The cold rate of an unknown service is 0.
    pub fn flows_per_window(&self, service: Option<&Service>) -> u32 {
        let cold_rate = service.map_or(0.0, |service| service.cold_rate_milli as f64 / 1_000.0);
        let scaled = (cold_rate * f64::from(self.over)).floor() as u32;
        scaled.saturating_add(self.slack)
    }

    /// Returns the number of flows that one instance may open at a cold target within a second.
    pub fn share_per_window(&self, service: Option<&Service>) -> u32 {
        let limit = self.flows_per_window(service);
        (limit / MAX_OWNERS).max(1).min(limit)
    }
}

/// A cold target.
#[derive(Debug, Default)]
struct ColdTarget {
    is_owned: bool,
    /// When flows were placed on the target, within the last window.
    placed_at: VecDeque<Micros>,
}

impl ColdTarget {
    fn has_room(&self, now: Micros, share: u32) -> bool {
        let Some(index) = self.placed_at.len().checked_sub(share as usize) else {
            return true;
        };
        self.placed_at
            .get(index)
            .is_some_and(|at| !is_in_window(now, *at))
    }

    fn record(&mut self, now: Micros) {
        while self
            .placed_at
            .front()
            .is_some_and(|at| !is_in_window(now, *at))
        {
            self.placed_at.pop_front();
        }
        self.placed_at.push_back(now);
    }

    fn is_in_use(&self, now: Micros) -> bool {
        self.placed_at
            .back()
            .is_some_and(|at| is_in_window(now, *at))
    }
}

/// Returns whether a window that ends now holds the earlier time. Both ends belong to the window.
fn is_in_window(now: Micros, earlier: Micros) -> bool {
    now <= earlier + WINDOW
}

/// Inputs of a decision about cold targets, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdCounts {
    /// Number of cold targets that could take the flow without the limit.
    pub cold: u32,
    /// Number of these that this instance owns.
    pub owned: u32,
    /// Whether this instance may place flows on cold targets.
    pub may_place: bool,
}

/// Decides whether this instance may place a flow on a cold target.
#[derive(Debug, Default)]
pub struct ColdStart {
    members: Members,
    /// When the members were first known.
    running_since: Option<Micros>,
    targets: HashMap<TargetId, ColdTarget>,
}

impl ColdStart {
    /// Replaces the known members.
    pub fn set_members(&mut self, now: Micros, members: Members) {
        self.running_since.get_or_insert(now);
        let has_changed = members.hashes != self.members.hashes;
        self.members = members;
        if !has_changed {
            return;
        }
        for (id, target) in &mut self.targets {
            target.is_owned = self.members.owns(*id);
        }
    }

    /// Adds a cold target, so that its owner need not be computed for each flow.
    pub fn insert(&mut self, id: TargetId) {
        let is_owned = self.members.owns(id);
        self.targets.entry(id).or_default().is_owned = is_owned;
    }

    /// Returns whether a cold target of the own failure domain may get another flow.
    pub fn accepts(&self, now: Micros, id: TargetId, share: u32) -> bool {
        self.may_place(now)
            && self
                .targets
                .get(&id)
                .is_some_and(|target| target.is_owned && target.has_room(now, share))
    }

    /// Counts a flow that was placed on a cold target.
    pub fn record_placed(&mut self, now: Micros, id: TargetId) {
        self.targets.entry(id).or_default().record(now);
    }

    /// Returns whether this instance owns a cold target.
    pub fn is_owned(&self, id: TargetId) -> bool {
        self.targets.get(&id).is_some_and(|target| target.is_owned)
    }

    /// Returns whether this instance and its peers know each other well enough to agree on owners.
    pub fn may_place(&self, now: Micros) -> bool {
        let has_run = self
            .running_since
            .is_some_and(|since| now.since(since) >= MIN_RUNNING_TIME);
        let is_current = self.members.is_alone
            || self
                .members
                .last_exchange_at
                .is_some_and(|at| now.since(at) < MEMBERS_LIFETIME);
        has_run && is_current
    }

    /// Removes targets that are no longer cold.
    pub fn sweep(&mut self, now: Micros, is_cold: impl Fn(TargetId) -> bool) {
        self.targets
            .retain(|id, target| target.is_in_use(now) || is_cold(*id));
    }

    /// Returns the number of cold targets.
    pub fn count(&self, is_cold: impl Fn(TargetId) -> bool) -> usize {
        self.targets.keys().filter(|id| is_cold(**id)).count()
    }
}

impl Members {
    /// Returns whether this instance is the owner of a cold target.
    pub fn owns(&self, id: TargetId) -> bool {
        let target = hash_of(OWNER_SEED, &id.0.to_be_bytes());
        let owner = self
            .hashes
            .iter()
            .max_by_key(|member| (hash_pair(**member, target), **member));
        owner == Some(&self.own)
    }
}
