//! Sums of the loads that an instance and its followers see.

use std::time::{Duration, Instant};

use hashbrown::HashMap;
use steer::{TargetLoad, Token};
use wire::steering::LoadReport;

/// Age after which a follower's pending requests no longer count. Its reports come at least twice in
/// this time. A follower without a report in this time may have been paused, and its next reports
/// count answers from before the pause: these are ignored for the same time again, since they would
/// show a target that has died meanwhile as alive.
const MAX_FOLLOWER_AGE: Duration = Duration::from_millis(1_000);

/// The last report of a follower, which includes its own followers.
#[derive(Debug)]
struct FollowerLoads {
    /// Pending requests and the demand of open flows, in thousandths.
    present: HashMap<Token, (u32, u32)>,
    received_at: Instant,
    /// From when on its answered and turned-away requests count.
    counts_from: Instant,
}

/// Collects the loads of a subtree of instances.
#[derive(Debug, Default)]
pub struct LoadExchange {
    followers: HashMap<u64, FollowerLoads>,
    /// Answered requests since the last sum.
    answered: HashMap<Token, TargetLoad>,
}

impl LoadExchange {
    /// Records the report of a follower.
    pub fn receive(&mut self, follower: u64, received_at: Instant, loads: &[TargetLoad]) {
        let known = self
            .followers
            .get(&follower)
            .filter(|known| received_at.duration_since(known.received_at) <= MAX_FOLLOWER_AGE);
        let counts_from = known.map_or(received_at + MAX_FOLLOWER_AGE, |known| known.counts_from);
        if received_at >= counts_from {
            for load in loads {
                add_answered(&mut self.answered, load);
            }
        }
        let present = loads
            .iter()
            .map(|load| (load.token, (load.pending, load.flow_demand_milli)));
        self.followers.insert(
            follower,
            FollowerLoads {
                present: present.collect(),
                received_at,
                counts_from,
            },
        );
    }

    /// Removes a follower that has disconnected.
    pub fn remove(&mut self, follower: u64) {
        self.followers.remove(&follower);
    }

    /// Returns the sums over this instance, whose loads are `own`, and its followers.
    pub fn take_sums(&mut self, now: Instant, own: &[TargetLoad]) -> Vec<TargetLoad> {
        self.followers
            .retain(|_, follower| now.duration_since(follower.received_at) <= MAX_FOLLOWER_AGE);
        let mut sums = std::mem::take(&mut self.answered);
        for load in own {
            add_answered(&mut sums, load);
            add_present(
                &mut sums,
                load.token,
                (load.pending, load.flow_demand_milli),
            );
        }
        for follower in self.followers.values() {
            for (token, present) in &follower.present {
                add_present(&mut sums, *token, *present);
            }
        }
        sums.into_values().collect()
    }
}

fn add_answered(sums: &mut HashMap<Token, TargetLoad>, load: &TargetLoad) {
    if !load.is_unseen() {
        let sum = sums
            .entry(load.token)
            .or_insert_with(|| TargetLoad::none(load.token));
        sum.add_seen(load);
    }
}

fn add_present(sums: &mut HashMap<Token, TargetLoad>, token: Token, present: (u32, u32)) {
    if present != (0, 0) {
        let sum = sums.entry(token).or_insert_with(|| TargetLoad::none(token));
        sum.add_present(present.0, present.1);
    }
}

/// Encodes loads.
pub fn encode(loads: &[TargetLoad]) -> LoadReport {
    LoadReport {
        tokens: loads.iter().map(|load| load.token.0).collect(),
        pending: loads.iter().map(|load| load.pending).collect(),
        answered: loads.iter().map(|load| load.answered).collect(),
        relative_time_milli: loads.iter().map(|load| load.relative_time_milli).collect(),
        turned_away: loads.iter().map(|load| load.turned_away).collect(),
        delayed: loads.iter().map(|load| load.delayed).collect(),
        relative_response_milli: loads
            .iter()
            .map(|load| load.relative_response_milli)
            .collect(),
        flow_demand_milli: loads.iter().map(|load| load.flow_demand_milli).collect(),
        work_ms: loads.iter().map(|load| load.work_ms).collect(),
    }
}

/// Decodes loads. Values that a list lacks are zero.
pub fn decode(report: &LoadReport) -> Vec<TargetLoad> {
    let value = |list: &[u32], index: usize| list.get(index).copied().unwrap_or_default();
    let tokens = report.tokens.iter().enumerate();
    tokens
        .map(|(index, token)| TargetLoad {
            token: Token(*token),
            pending: value(&report.pending, index),
            answered: value(&report.answered, index),
            relative_time_milli: value(&report.relative_time_milli, index),
            turned_away: value(&report.turned_away, index),
            delayed: value(&report.delayed, index),
            relative_response_milli: value(&report.relative_response_milli, index),
            flow_demand_milli: value(&report.flow_demand_milli, index),
            work_ms: value(&report.work_ms, index),
        })
        .collect()
}
