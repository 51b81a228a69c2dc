//! Counters, gauges and histograms in the Prometheus text format.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use crate::{Error, Result};

/// Upper bounds of the latency histograms in seconds, from a round trip inside a failure domain to
/// the longest request deadline.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// All metrics of the daemon.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Packets forwarded to targets.
    pub packets_forwarded: IntCounter,
    /// Flows that were assigned to a target.
    pub flows_placed: IntCounter,
    /// Flows that were assigned to a target in another failure domain.
    pub flows_placed_remote: IntCounter,
    /// Opening packets sent to a further target because the earlier ones did not answer.
    pub openings_retried: IntCounter,
    /// Opening packets not sent to a further target, because the budget for it was used up.
    pub resends_withheld: IntCounter,
    /// Flows reset, by reason.
    pub flows_reset: IntCounterVec,
    /// Flows reset because only cold targets were left.
    pub flows_refused_cold: IntCounter,
    /// New flows refused for lack of room, by service, priority and reason.
    pub flows_refused: IntCounterVec,
    /// Packets dropped, by reason.
    pub packets_dropped: IntCounterVec,
    /// Packets to targets that remained unanswered.
    pub answers_missed: IntCounter,
    /// Requests that a target accepted but did not answer for a long time.
    pub requests_stalled: IntCounter,
    /// Reports by peers of unanswered packets to targets that this instance has heard from since.
    pub evidence_contradicted: IntCounter,
    /// Time from a caller's first opening packet to the end of the handshake.
    pub handshake_seconds: Histogram,
    /// Time from a request to the acknowledgement of its answer.
    pub answer_seconds: Histogram,
    /// Calls to the store, by outcome.
    pub store_calls: IntCounterVec,
    /// Duration of store calls that return immediately, unlike watches.
    pub store_call_seconds: Histogram,
    /// Log lines suppressed by the rate limit.
    pub log_lines_suppressed: IntCounter,
    /// Flows in the table.
    pub flows: IntGauge,
    /// Targets whose new flows are limited because they are cold.
    pub targets_cold: IntGauge,
    /// Addresses over their share of the openings in the failure domain, by service.
    pub callers_over_share: IntGaugeVec,
    /// Share of new flows that goes to other failure domains, in thousandths, by service.
    pub spill_share: IntGaugeVec,
    /// Busy time of the busiest target over the mean, in thousandths, by service.
    pub work_busiest_over_mean: IntGaugeVec,
    /// Version of the active configuration document.
    pub document_version: IntGauge,
    /// Evacuated failure domains.
    pub domains_evacuated: IntGauge,
    /// Epoch of the store.
    pub store_epoch: IntGauge,
    /// Revision of the view.
    pub view_revision: IntGauge,
    /// Time since the view was last confirmed by its source.
    pub view_age_ms: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Result<Self> {
        let registry = Registry::new_custom(Some("pollenpin_edge".to_owned()), None)
            .map_err(registration_error)?;
        let counter = |name, help| register(&registry, IntCounter::new(name, help));
        let gauge = |name, help| register(&registry, IntGauge::new(name, help));
        let counter_by = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let gauge_by = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntGaugeVec::new(Opts::new(name, help), labels))
        };
        let latency = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            register(&registry, Histogram::with_opts(options))
        };
        Ok(Self {
            packets_forwarded: counter("packets_forwarded_total", "Packets sent to targets")?,
            flows_placed: counter("flows_placed_total", "Flows that got a target")?,
            flows_placed_remote: counter(
                "flows_placed_remote_total",
                "Flows that got a target in another failure domain",
            )?,
            openings_retried: counter(
                "openings_retried_total",
                "Opening packets sent to one more target",
            )?,
            resends_withheld: counter(
                "resends_withheld_total",
                "Opening packets not sent to one more target, because targets turn requests away",
            )?,
            flows_reset: counter_by("flows_reset_total", "Flows reset", &["reason"])?,
            flows_refused_cold: counter(
                "flows_refused_cold_total",
                "Flows reset because only cold targets were left",
            )?,
            flows_refused: counter_by(
                "flows_refused_total",
                "New flows refused for lack of room",
                &["service", "priority", "reason"],
            )?,
            packets_dropped: counter_by("packets_dropped_total", "Packets dropped", &["reason"])?,
            answers_missed: counter(
                "answers_missed_total",
                "Packets to targets without an answer",
            )?,
            requests_stalled: counter(
                "requests_stalled_total",
                "Requests that were taken and had no answer for long",
            )?,
            evidence_contradicted: counter(
                "evidence_contradicted_total",
                "Unanswered packets of peers to targets that were heard since",
            )?,
            handshake_seconds: latency(
                "handshake_seconds",
                "Time from the first opening packet to the handshake's end",
            )?,
            answer_seconds: latency(
                "answer_seconds",
                "Time from a request to the acknowledgement of its answer",
            )?,
            store_calls: counter_by("store_calls_total", "Calls to the store", &["outcome"])?,
            store_call_seconds: latency(
                "store_call_seconds",
                "Time of reading calls to the store",
            )?,
            log_lines_suppressed: counter(
                "log_lines_left_out_total",
                "Log lines beyond the budget",
            )?,
            flows: gauge("flows", "Flows in the table")?,
            targets_cold: gauge("targets_cold", "Cold targets with a limit on new flows")?,
            callers_over_share: gauge_by(
                "callers_over_share",
                "Addresses over their share of the openings in the failure domain",
                &["service"],
            )?,
            spill_share: gauge_by(
                "spill_share",
                "Thousandths of new flows that go to other failure domains",
                &["service"],
            )?,
            work_busiest_over_mean: gauge_by(
                "work_busiest_over_mean",
                "Busy time of the busiest target over the mean, in thousandths",
                &["service"],
            )?,
            document_version: gauge("document_version", "Version of the configuration in force")?,
            domains_evacuated: gauge("domains_evacuated", "Evacuated failure domains")?,
            store_epoch: gauge("store_epoch", "Epoch of the store, raised by each restore")?,
            view_revision: gauge("view_revision", "Revision of the view")?,
            view_age_ms: gauge("view_age_milliseconds", "Time since the view was confirmed")?,
            registry,
        })
    }

    /// Returns all metrics in the text format.
    pub fn to_text(&self) -> Result<String> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(registration_error)?;
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
    let metric = metric.map_err(registration_error)?;
    registry
        .register(Box::new(metric.clone()))
        .map_err(registration_error)?;
    Ok(metric)
}

fn registration_error(error: prometheus::Error) -> Error {
    Error::Failed {
        step: "registering metrics",
        reason: error.to_string(),
    }
}
