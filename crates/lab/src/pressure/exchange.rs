//! Sums of the load reports in a failure domain. The model has no tree of instances: all of them
//! report to one root, with the delay and loss of the scenario.

use std::collections::BTreeMap;

use ids::{Micros, Millis};
use steer::{CallerSums, CallerTotal, RemoteLoad, TargetLoad, Token};

/// Age after which the pending requests of an instance no longer count.
const MAX_REPORT_AGE: Millis = Millis(1_000);

/// What an instance or a domain reports.
#[derive(Debug, Clone, Default)]
pub struct Report {
    pub loads: Vec<TargetLoad>,
    pub callers: Vec<CallerTotal>,
}
/// Interval at which a root asks other domains for summaries while it needs them.
const ASK_INTERVAL: Millis = Millis(400);

/// The root of a failure domain.
#[derive(Debug, Default)]
pub struct Root {
    /// The last report of each instance.
    reports: BTreeMap<usize, (Micros, Vec<TargetLoad>)>,
    /// Requests answered since the last sums, by token.
    answered: BTreeMap<u32, TargetLoad>,
    callers: CallerSums,
    asked_at: Option<Micros>,
    /// Summaries of other domains since the last sums, and when they arrived.
    summaries: Vec<(Micros, RemoteLoad)>,
}

impl Root {
    /// Records the report of an instance.
    pub fn receive(&mut self, now: Micros, instance: usize, report: Report) {
        let Report { loads, callers } = report;
        self.callers.add(&callers);
        for load in &loads {
            sum_of(&mut self.answered, load.token).add_seen(load);
        }
        self.reports.insert(instance, (now, loads));
    }

    /// Returns the sums over all instances and starts to count answers anew.
    pub fn take_sums(&mut self, now: Micros) -> Report {
        self.reports
            .retain(|_, (at, _)| now.since(*at) <= MAX_REPORT_AGE);
        let mut sums = std::mem::take(&mut self.answered);
        for load in self.reports.values().flat_map(|(_, loads)| loads) {
            sum_of(&mut sums, load.token).add_present(load.pending, load.flow_demand_milli);
        }
        Report {
            loads: sums.into_values().collect(),
            callers: self.callers.take(now),
        }
    }

    /// Returns whether other domains are to be asked for summaries now.
    pub fn is_time_to_ask(&mut self, now: Micros) -> bool {
        let is_due = self.asked_at.is_none_or(|at| now.since(at) >= ASK_INTERVAL);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }

    /// Records a summary of another domain.
    pub fn receive_summary(&mut self, now: Micros, loads: &[RemoteLoad]) {
        let loads = loads.iter().map(|load| (now, load.clone()));
        self.summaries.extend(loads);
    }

    /// Returns the summaries that arrived since the last call.
    pub fn take_summaries(&mut self, now: Micros) -> Vec<RemoteLoad> {
        let summaries = self.summaries.drain(..);
        let aged = summaries.map(|(at, load)| RemoteLoad {
            age: Millis(load.age.0 + now.since(at).0),
            ..load
        });
        aged.collect()
    }
}

fn sum_of(sums: &mut BTreeMap<u32, TargetLoad>, token: Token) -> &mut TargetLoad {
    sums.entry(token.0)
        .or_insert_with(|| TargetLoad::none(token))
}
