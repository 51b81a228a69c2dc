//! Sums of the load reports in a failure domain. The model has no tree of instances: all of them
//! report to one root, with the delay and loss of the scenario.

use std::collections::BTreeMap;

use ids::{Micros, Millis};
use steer::{TargetLoad, Token};

/// Age after which the pending requests of an instance no longer count.
const MAX_REPORT_AGE: Millis = Millis(1_000);

/// The root of a failure domain.
#[derive(Debug, Default)]
pub struct Root {
    /// The last report of each instance.
    reports: BTreeMap<usize, (Micros, Vec<TargetLoad>)>,
    /// Requests answered since the last sums, by token.
    answered: BTreeMap<u32, TargetLoad>,
}

impl Root {
    /// Records the report of an instance.
    pub fn receive(&mut self, now: Micros, instance: usize, loads: Vec<TargetLoad>) {
        for load in &loads {
            sum_of(&mut self.answered, load.token).add_seen(load);
        }
        self.reports.insert(instance, (now, loads));
    }

    /// Returns the sums over all instances and starts to count answers anew.
    pub fn take_sums(&mut self, now: Micros) -> Vec<TargetLoad> {
        self.reports
            .retain(|_, (at, _)| now.since(*at) <= MAX_REPORT_AGE);
        let mut sums = std::mem::take(&mut self.answered);
        for load in self.reports.values().flat_map(|(_, loads)| loads) {
            sum_of(&mut sums, load.token).add_present(load.pending, load.flow_demand_milli);
        }
        sums.into_values().collect()
    }
}

fn sum_of(sums: &mut BTreeMap<u32, TargetLoad>, token: Token) -> &mut TargetLoad {
    sums.entry(token.0)
        .or_insert_with(|| TargetLoad::none(token))
}
