//! Busy time of the targets of the failure domain, and how evenly it is spread.
//!
//! A fast target rightly gets more requests than a slow one, so balance is judged by the time for
//! which requests kept a slot busy. See
//! [long flows and busy time](../../../docs/design/flow-balance.md).

use std::collections::BTreeSet;

use hashbrown::HashMap;
use ids::Micros;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::model::TargetId;
use crate::steer::Steer;

/// Number of seconds over which busy time is added up.
const WINDOW_S: usize = 10;

/// Busy time of targets in each of the last seconds.
#[derive(Debug, Default)]
pub struct Work {
    /// The second that is being added up.
    second: u64,
    /// Milliseconds of each second, at its remainder by the length of the window.
    targets: HashMap<TargetId, [u32; WINDOW_S]>,
}

impl Work {
    /// Adds busy time of a target.
    pub fn add(&mut self, now: Micros, target: TargetId, work_ms: u32) {
        self.advance(now);
        if work_ms == 0 {
            return;
        }
        let seconds = self.targets.entry(target).or_default();
        if let Some(current) = seconds.get_mut((self.second % WINDOW_S as u64) as usize) {
            *current = current.saturating_add(work_ms);
        }
    }

    /// Returns the busy time of a target in the window.
    pub fn sum_ms(&self, now: Micros, target: TargetId) -> u64 {
        let elapsed = second_of(now).saturating_sub(self.second);
        let Some(seconds) = self.targets.get(&target) else {
            return 0;
        };
        // The oldest second follows the current one in the ring.
        let from_oldest = (1..=WINDOW_S as u64).map(|step| (self.second + step) % WINDOW_S as u64);
        let kept = from_oldest.skip(elapsed as usize);
        kept.filter_map(|index| seconds.get(index as usize))
            .map(|work_ms| u64::from(*work_ms))
            .sum()
    }

    /// Starts the present second and forgets those before the window.
    fn advance(&mut self, now: Micros) {
        let second = second_of(now);
        let first = (self.second + 1).max(second.saturating_sub(WINDOW_S as u64 - 1));
        if second <= self.second {
            return;
        }
        self.targets.retain(|_, seconds| {
            for passed in first..=second {
                if let Some(work_ms) = seconds.get_mut((passed % WINDOW_S as u64) as usize) {
                    *work_ms = 0;
                }
            }
            seconds.iter().any(|work_ms| *work_ms > 0)
        });
        self.second = second;
    }
}

fn second_of(now: Micros) -> u64 {
    now.0 / 1_000_000
}

/// Balance of the targets of a service in the failure domain of the instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBalance {
    /// The service.
    pub service: SmolStr,
    /// Busy time of a slot of the busiest target in the last 10 s relative to the mean, in
    /// thousandths.
    pub busiest_over_mean_milli: u32,
}

impl Steer {
    /// Returns the balance of each service whose targets in the own failure domain were busy in the
    /// last 10 s. Targets that accept no flows, are cold or are avoided do not count.
    pub fn work_balance(&self, now: Micros) -> Vec<ServiceBalance> {
        let records = self.work.targets.keys();
        let services: BTreeSet<&SmolStr> = records
            .filter_map(|id| self.view.record(*id))
            .map(|record| &record.target.service)
            .collect();
        let balances = services.into_iter().filter_map(|service| {
            let ratio = self.busiest_over_mean(now, service)?;
            Some(ServiceBalance {
                service: service.clone(),
                busiest_over_mean_milli: (ratio * 1_000.0).round() as u32,
            })
        });
        balances.collect()
    }

    fn busiest_over_mean(&self, now: Micros, service: &str) -> Option<f64> {
        let domain = &self.settings.domain;
        if self.view.is_evacuated(domain) {
            return None;
        }
        let list = self.view.service_targets(service)?.own_list(domain)?;
        let (mut busiest, mut sum, mut count) = (0.0, 0.0, 0_u32);
        for record in list.ids.iter().filter_map(|id| self.view.record(*id)) {
            if !record.accepts_flows() || record.is_cold(now) || record.is_avoided(now) {
                continue;
            }
            let slots = f64::from(record.target.slots.max(1));
            let busy_ms = self.work.sum_ms(now, record.target.id) as f64 / slots;
            busiest = f64::max(busiest, busy_ms);
            sum += busy_ms;
            count += 1;
        }
        (sum > 0.0).then(|| busiest * f64::from(count) / sum)
    }
}
