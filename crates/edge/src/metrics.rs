//! Counters, gauges and histograms in the text format of `prometheus`.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::{Error, Result};

/// Upper bounds of latency histograms in seconds, from a round trip inside a failure domain to the
/// longest deadline of a request.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// All metrics of the daemon.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Packets forwarded to targets.
    pub forwarded: IntCounter,
    /// Flows that got a target.
    pub placed: IntCounter,
    /// Flows that got a target in another failure domain.
    pub placed_remote: IntCounter,
    /// Opening packets sent to one more target.
    pub retried: IntCounter,
    /// Flows reset, by reason.
    pub resets: IntCounterVec,
    /// Packets dropped, by reason.
    pub dropped: IntCounterVec,
    /// Packets to targets without an answer.
    pub missed: IntCounter,
    /// Requests that were taken and had no answer for long.
    pub stalled: IntCounter,
    /// Unanswered packets of peers to targets that this instance has heard since.
    pub contradicted: IntCounter,
    /// Time from a caller's first opening packet to the handshake's end.
    pub handshake: Histogram,
    /// Time from a request to the acknowledgement of its answer.
    pub answer: Histogram,
    /// Calls to the store, by outcome.
    pub store_calls: IntCounterVec,
    /// Time of calls to the store that do not wait.
    pub store_call: Histogram,
    /// Log lines left out.
    pub lines_left_out: IntCounter,
    /// Flows in the table.
    pub flows: IntGauge,
    /// Version of the configuration in force.
    pub version: IntGauge,
    /// Revision of the view.
    pub revision: IntGauge,
    /// Age of the view.
    pub view_age_ms: IntGauge,
}

impl Metrics {
    /// Registers every metric.
    pub fn new() -> Result<Self> {
        let registry =
            Registry::new_custom(Some("pollenpin_edge".to_owned()), None).map_err(failed)?;
        let counter = |name, help| register(&registry, IntCounter::new(name, help));
        let gauge = |name, help| register(&registry, IntGauge::new(name, help));
        let by = |name: &str, help: &str, label: &str| {
            register(
                &registry,
                IntCounterVec::new(Opts::new(name, help), &[label]),
            )
        };
        let latency = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            register(&registry, Histogram::with_opts(options))
        };
        Ok(Self {
            forwarded: counter("packets_forwarded_total", "Packets sent to targets")?,
            placed: counter("flows_placed_total", "Flows that got a target")?,
            placed_remote: counter(
                "flows_placed_remote_total",
                "Flows that got a target in another failure domain",
            )?,
            retried: counter(
                "openings_retried_total",
                "Opening packets sent to one more target",
            )?,
            resets: by("flows_reset_total", "Flows reset", "reason")?,
            dropped: by("packets_dropped_total", "Packets dropped", "reason")?,
            missed: counter(
                "answers_missed_total",
                "Packets to targets without an answer",
            )?,
            stalled: counter(
                "requests_stalled_total",
                "Requests that were taken and had no answer for long",
            )?,
            contradicted: counter(
                "evidence_contradicted_total",
                "Unanswered packets of peers to targets that were heard since",
            )?,
            handshake: latency(
                "handshake_seconds",
                "Time from the first opening packet to the handshake's end",
            )?,
            answer: latency(
                "answer_seconds",
                "Time from a request to the acknowledgement of its answer",
            )?,
            store_calls: by("store_calls_total", "Calls to the store", "outcome")?,
            store_call: latency("store_call_seconds", "Time of reading calls to the store")?,
            lines_left_out: counter("log_lines_left_out_total", "Log lines beyond the budget")?,
            flows: gauge("flows", "Flows in the table")?,
            version: gauge("document_version", "Version of the configuration in force")?,
            revision: gauge("view_revision", "Revision of the view")?,
            view_age_ms: gauge("view_age_milliseconds", "Time since the view was confirmed")?,
            registry,
        })
    }

    /// Returns all metrics as text.
    pub fn to_text(&self) -> Result<String> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(failed)?;
        String::from_utf8(text).map_err(|error| Error::Failed {
            step: "encoding metrics",
            reason: error.to_string(),
        })
    }
}

fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<C>,
) -> Result<C> {
    let metric = metric.map_err(failed)?;
    registry
        .register(Box::new(metric.clone()))
        .map_err(failed)?;
    Ok(metric)
}

fn failed(error: prometheus::Error) -> Error {
    Error::Failed {
        step: "registering metrics",
        reason: error.to_string(),
    }
}
