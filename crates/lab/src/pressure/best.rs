//! An upper bound of the credit that any way of steering could get in a run.
//!
//! Work is taken as a fluid: each request is its class's mean work, which any slot may do at any
//! speed and in any pieces, without time on the way. Time is cut into bins, and a request may be
//! done from the bin in which it was asked to the one in which its latency goal or deadline ends.
//!
//! A unit of work yields credit by its class and by whether it is in time; the levels are these
//! yields in falling order. For each level, serving the earliest end first gives the most work
//! `W` of this and all higher levels that fits, regardless of yields. No schedule does more, so its
//! credit is at most the sum over the levels of `W` times the step to the next lower yield.

use ids::{Micros, Millis};

use super::callers::Request;
use super::scenario::{Class, SERVICES, Scenario};
use super::targets::Target;

/// Length of a bin.
pub const BIN: Millis = Millis(100);

/// Slots times speed of the live targets, by service and domain.
#[derive(Debug, Clone)]
pub struct Capacity(Vec<(usize, usize, f64)>);

impl Capacity {
    /// Adds up the targets.
    pub fn of(targets: &[Target]) -> Self {
        let entries = targets
            .iter()
            .map(|target| (target.service, target.domain, target.capacity()));
        Self(entries.collect())
    }

    /// Returns the work in a bin of the targets of a service in some domains.
    fn work_us(&self, service: usize, is_in: impl Fn(usize) -> bool) -> f64 {
        let entries = self
            .0
            .iter()
            .filter(|entry| entry.0 == service && is_in(entry.1));
        entries.map(|entry| entry.2).sum::<f64>() * BIN.0 as f64 * 1_000.0
    }
}

/// Work that may be done from one bin to another.
#[derive(Debug)]
struct Job {
    from: usize,
    until: usize,
    work_us: f64,
}

/// Returns the most work that fits, by serving the earliest end first.
fn most_work_us(mut jobs: Vec<Job>, capacity_us: &[f64]) -> f64 {
    jobs.sort_by_key(|job| job.until);
    let mut done_us = 0.0;
    for (bin, capacity_us) in capacity_us.iter().enumerate() {
        let mut left_us = *capacity_us;
        for job in jobs
            .iter_mut()
            .filter(|job| job.from <= bin && bin <= job.until)
        {
            let part_us = job.work_us.min(left_us);
            job.work_us -= part_us;
            left_us -= part_us;
            done_us += part_us;
        }
    }
    done_us
}

fn bin_of(at: Micros) -> usize {
    (at.0 / (BIN.0 * 1_000)) as usize
}

/// Returns the best possible credit of requests. Callers of a domain that is cut off from the others
/// get its targets only.
pub fn best_credit(scenario: &Scenario, requests: &[&Request], capacity: &[Capacity]) -> f64 {
    let mut credit = 0.0;
    for service in 0..SERVICES.len() {
        for is_cut in [true, false] {
            let is_in = |domain| (scenario.cut_domain == Some(domain)) == is_cut;
            let capacity = capacity.iter().map(|bin| bin.work_us(service, is_in));
            let capacity: Vec<f64> = capacity.collect();
            let requests = requests.iter().filter(|request| {
                scenario.classes[request.class].service == service && is_in(request.domain)
            });
            credit += best_of_group(&scenario.classes, requests.copied(), &capacity);
        }
    }
    credit
}

fn best_of_group<'a>(
    classes: &[Class],
    requests: impl Iterator<Item = &'a Request>,
    capacity_us: &[f64],
) -> f64 {
    let mut asked = vec![vec![0.0; capacity_us.len()]; classes.len()];
    for request in requests {
        asked[request.class][bin_of(request.asked_at)] += classes[request.class].work_us as f64;
    }
    // Yield per microsecond, class, and time within which it is earned.
    let mut levels = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        let yield_per_us = class.worth / class.work_us as f64;
        levels.push((yield_per_us, index, class.goal));
        levels.push((yield_per_us / 2.0, index, class.deadline));
    }
    levels.sort_by(|left, right| right.0.total_cmp(&left.0));
    let mut windows = vec![None; classes.len()];
    let mut credit = 0.0;
    for (number, (yield_per_us, class, window)) in levels.iter().enumerate() {
        windows[*class] = Some(*window);
        let next = levels.get(number + 1).map_or(0.0, |level| level.0);
        let mut jobs = Vec::new();
        for (asked, window) in asked.iter().zip(&windows) {
            let Some(window) = window else {
                continue;
            };
            let bins = asked
                .iter()
                .enumerate()
                .filter(|(_, work_us)| **work_us > 0.0);
            jobs.extend(bins.map(|(from, work_us)| Job {
                from,
                until: from + window.0.div_ceil(BIN.0) as usize,
                work_us: *work_us,
            }));
        }
        credit += most_work_us(jobs, capacity_us) * (yield_per_us - next);
    }
    credit
}
