//! Results of the load generators, which can be merged across processes.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Maximum latency that is recorded, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Outcome of the requests and flows of one class of a service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassResult {
    /// Requests sent, without resends.
    pub sent: u64,
    /// Requests with a complete and correct answer.
    pub served: u64,
    /// Refused requests by refusal code.
    pub refused: BTreeMap<String, u64>,
    /// Requests whose outcome is unknown: refused as such, or unanswered at their deadline.
    pub unknown: u64,
    /// Requests with an unknown outcome that were not answered before their deadline.
    pub unanswered: u64,
    /// Flows established.
    pub flows_opened: u64,
    /// Attempts to open a flow that were refused or not answered in time.
    pub flows_refused: u64,
    /// Established flows that broke, by reason.
    pub flows_broken: BTreeMap<String, u64>,
    /// Latency histogram as pairs of microseconds and count.
    pub latencies: Vec<(u64, u64)>,
}

/// Result of one or more load generators.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadResult {
    /// Results by `service/class`.
    pub classes: BTreeMap<String, ClassResult>,
    /// Ids of non-idempotent requests refused with a code that proves that they did not run.
    pub told_not_run: Vec<u64>,
    /// Answers with wrong content or to requests of other callers.
    pub wrong_answers: u64,
    /// Frames of a flow that came from another target or service than the one that accepted it.
    #[serde(rename = "strayed")]
    pub misrouted_frames: u64,
}

/// Latency percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
}

/// Returns an empty latency histogram in microseconds.
pub fn latency_histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)
        .map_err(|error| Error::failed("creating a histogram", error))
}

impl ClassResult {
    /// Returns the number of refused requests over all codes.
    pub fn total_refused(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Returns the number of broken flows over all reasons.
    pub fn total_flows_broken(&self) -> u64 {
        self.flows_broken.values().sum()
    }

    /// Returns the latency percentiles of the served requests.
    pub fn latency_percentiles(&self) -> Result<Percentiles> {
        let mut latencies = latency_histogram()?;
        for (micros, count) in &self.latencies {
            latencies.saturating_record_n(*micros, *count);
        }
        let quantile_ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        Ok(Percentiles {
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
        })
    }

    fn merge(&mut self, other: ClassResult) {
        self.sent += other.sent;
        self.served += other.served;
        self.unknown += other.unknown;
        self.unanswered += other.unanswered;
        self.flows_opened += other.flows_opened;
        self.flows_refused += other.flows_refused;
        self.latencies.extend(other.latencies);
        for (code, count) in other.refused {
            *self.refused.entry(code).or_default() += count;
        }
        for (reason, count) in other.flows_broken {
            *self.flows_broken.entry(reason).or_default() += count;
        }
    }
}

impl LoadResult {
    /// Returns the result of a class, created if missing.
    pub fn class_mut(&mut self, service: &str, class: &str) -> &mut ClassResult {
        self.classes
            .entry(format!("{service}/{class}"))
            .or_default()
    }

    /// Adds the result of another load generator.
    pub fn merge(&mut self, other: LoadResult) {
        for (name, class) in other.classes {
            self.classes.entry(name).or_default().merge(class);
        }
        self.told_not_run.extend(other.told_not_run);
        self.wrong_answers += other.wrong_answers;
        self.misrouted_frames += other.misrouted_frames;
    }
}
