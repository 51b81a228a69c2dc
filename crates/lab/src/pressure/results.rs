//! What callers got in a run, and what the best way of steering could have given them.

use std::collections::{BTreeMap, BTreeSet};

use ids::{Micros, Millis};
use smol_str::SmolStr;

use super::best::{Capacity, best_credit};
use super::callers::{Outcome, Request};
use super::scenario::{Class, Scenario};
use super::targets::Target;

/// Length of a window of [`Results::relapse`]. At the small size of tests, about 40 requests are
/// asked in it.
const WINDOW: Millis = Millis(250);

/// Share in time from which a window counts as calm.
const CALM_SHARE: f64 = 0.95;

/// Result of a run.
#[derive(Debug)]
pub struct Results {
    /// The scenario.
    pub scenario: Scenario,
    /// All requests, in the order in which they were asked.
    pub requests: Vec<Request>,
    /// All targets.
    pub targets: Vec<Target>,
    /// Resets of opening packets by reason.
    pub refusals: BTreeMap<SmolStr, u64>,
    /// Time, domain and share of the first service's flows that the first instance of the domain
    /// spilled, at each of its totals.
    pub spill_shares: Vec<(Micros, usize, f32)>,
    pub(super) capacity: Vec<Capacity>,
    /// Slowness of each target as the instances of its domain learned it, mean of a run's samples.
    pub(super) slowness: Vec<f64>,
    /// Busy time of the first service's busiest target over the mean, as the instances computed it in
    /// the last seconds of the load. The most of all domains.
    pub seen_busiest_over_mean: f64,
}

/// Some of the requests of a run.
#[derive(Debug, Clone)]
pub struct Selection<'a> {
    classes: &'a [Class],
    requests: Vec<&'a Request>,
}

/// The calm after the end of pressure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Calm {
    /// Time from the end of pressure to the first calm window.
    pub after: Millis,
    /// Windows after the first calm one that were not calm.
    pub relapses: usize,
}

impl Results {
    /// Returns the requests that a condition selects.
    pub fn select(&self, condition: impl Fn(&Request) -> bool) -> Selection<'_> {
        self.all().select(condition)
    }

    /// Returns all requests.
    pub fn all(&self) -> Selection<'_> {
        Selection {
            classes: &self.scenario.classes,
            requests: self.requests.iter().collect(),
        }
    }

    /// Returns the requests of a class.
    pub fn class(&self, class: usize) -> Selection<'_> {
        self.select(|request| request.class == class)
    }

    /// Returns an upper bound of the credit that requests could get if there were no others, see
    /// the module `best`.
    pub fn best_credit(&self, selection: &Selection) -> f64 {
        best_credit(&self.scenario, &selection.requests, &self.capacity)
    }

    /// Returns the share of the requests arriving at targets that were turned away.
    pub fn turned_away(&self) -> f64 {
        let arrivals: u64 = self.targets.iter().map(|target| target.arrivals).sum();
        let turned_away: u64 = self.targets.iter().map(|target| target.turned_away).sum();
        turned_away as f64 / arrivals.max(1) as f64
    }

    /// Returns the time of work of the first service's busiest target over the mean of its failure
    /// domain, in the domain where this is most.
    pub fn busiest_over_mean(&self) -> f64 {
        let domains = 0..self.scenario.domain_shares.len();
        let ratios = domains.map(|domain| {
            let targets = self.domain_targets(domain);
            let times: Vec<f64> = targets.map(|(_, target)| target.busy_us as f64).collect();
            times.iter().copied().fold(0.0, f64::max) / mean(&times)
        });
        ratios.fold(0.0, f64::max)
    }

    /// Returns the same over the targets of all failure domains.
    pub fn busiest_over_mean_of_all(&self) -> f64 {
        let targets = self.targets.iter().filter(|target| target.service == 0);
        let times: Vec<f64> = targets.map(|target| target.busy_us as f64).collect();
        times.iter().copied().fold(0.0, f64::max) / mean(&times)
    }

    /// Returns the largest relative error of the slowness that instances learned of the first
    /// service's targets. Both the learned and the true values are taken relative to their mean in
    /// the failure domain.
    pub fn slowness_error(&self) -> f64 {
        let domains = 0..self.scenario.domain_shares.len();
        let errors = domains.map(|domain| {
            let targets = self.domain_targets(domain);
            let (learned, known): (Vec<f64>, Vec<f64>) = targets
                .map(|(index, target)| (self.slowness[index], 1.0 / target.speed))
                .unzip();
            let scale = mean(&known) / mean(&learned);
            let pairs = learned.iter().zip(&known);
            pairs
                .map(|(learned, known)| (learned * scale / known - 1.0).abs())
                .fold(0.0, f64::max)
        });
        errors.fold(0.0, f64::max)
    }

    /// Returns the first service's targets in a failure domain with their indexes.
    fn domain_targets(&self, domain: usize) -> impl Iterator<Item = (usize, &Target)> {
        let targets = self.targets.iter().enumerate();
        targets.filter(move |(_, target)| target.service == 0 && target.domain == domain)
    }

    /// Returns when callers were served as in calm times again after pressure had ended.
    pub fn calm(&self) -> Option<Calm> {
        let mut calm: Option<Calm> = None;
        let end = self.scenario.pressure_end();
        let mut from = end;
        while from + WINDOW <= self.scenario.duration {
            let until = from + WINDOW;
            let window =
                self.select(|request| from <= request.asked_at && request.asked_at < until);
            let is_calm = window.share(Outcome::InTime) >= CALM_SHARE;
            match &mut calm {
                Some(calm) => calm.relapses += usize::from(!is_calm),
                None if is_calm => {
                    calm = Some(Calm {
                        after: from.since(end),
                        relapses: 0,
                    });
                }
                None => {}
            }
            from = until;
        }
        calm
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

impl<'a> Selection<'a> {
    /// Returns the requests that a condition selects.
    pub fn select(&self, condition: impl Fn(&Request) -> bool) -> Selection<'a> {
        let requests = self.requests.iter().copied();
        Selection {
            classes: self.classes,
            requests: requests.filter(|request| condition(request)).collect(),
        }
    }

    /// Returns the domains and numbers of the callers' addresses.
    pub fn callers(&self) -> BTreeSet<(usize, usize)> {
        let requests = self.requests.iter();
        requests
            .map(|request| (request.domain, request.caller))
            .collect()
    }

    /// Returns the number of requests.
    pub fn count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the share of the requests that ended in a way, or 1 if there are none.
    pub fn share(&self, outcome: Outcome) -> f64 {
        let ended = self
            .requests
            .iter()
            .filter(|request| request.outcome == Some(outcome));
        let ended = ended.count() as f64;
        if self.requests.is_empty() {
            return 1.0;
        }
        ended / self.requests.len() as f64
    }

    /// Returns the credit if every request were answered in time.
    pub fn worth(&self) -> f64 {
        self.requests
            .iter()
            .map(|request| self.classes[request.class].worth)
            .sum()
    }

    /// Returns the credit that was earned.
    pub fn credit(&self) -> f64 {
        let credit = self.requests.iter().map(|request| {
            let worth = self.classes[request.class].worth;
            match request.outcome {
                Some(Outcome::InTime) => worth,
                Some(Outcome::Late) => worth / 2.0,
                _ => 0.0,
            }
        });
        credit.sum()
    }

    /// Returns a quantile of the response times of the answered requests.
    pub fn quantile(&self, quantile: f64) -> Millis {
        let answered = self
            .requests
            .iter()
            .filter(|request| matches!(request.outcome, Some(Outcome::InTime | Outcome::Late)));
        let mut times: Vec<Millis> = answered.map(|request| request.took).collect();
        times.sort_unstable();
        let index = (times.len() as f64 * quantile) as usize;
        let last = times.len().saturating_sub(1);
        times.get(index.min(last)).copied().unwrap_or_default()
    }
}
