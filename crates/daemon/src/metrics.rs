//! Counters and gauges, exported in the Prometheus text format.

use std::collections::BTreeMap;

use balance::event::{ControlLogEvent, CounterEvent, DropReason};
use balance::view::View;
use prometheus::core::Collector;
use prometheus::proto::Metric;
use prometheus::{
    Encoder, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};
use smol_str::SmolStr;
use wire::frame::Refusal;

use crate::{Error, Result};

/// All metrics of a daemon.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Datagrams received, by socket.
    pub datagrams_in: IntCounterVec,
    /// Frames received on the frame socket.
    pub frames_in: IntCounter,
    /// Frames sent to targets.
    pub frames_to_targets: IntCounter,
    /// Frames sent to callers.
    pub frames_to_callers: IntCounter,
    /// Messages sent to peers.
    pub peer_messages_out: IntCounter,
    /// Bytes sent to peers.
    pub peer_bytes_out: IntCounter,
    /// Datagrams and messages dropped, by reason.
    pub dropped: IntCounterVec,
    /// Flows opened.
    pub flows_opened: IntCounter,
    /// Flows lost.
    pub flows_lost: IntCounter,
    /// Flow records evicted.
    pub flows_evicted: IntCounter,
    /// Frames relayed to their owner.
    pub frames_relayed: IntCounter,
    /// Requests forwarded to a target, retries included.
    pub requests_forwarded: IntCounter,
    /// Requests answered in full.
    pub requests_completed: IntCounter,
    /// Requests retried.
    pub requests_retried: IntCounter,
    /// Requests refused, by code.
    pub refusals: IntCounterVec,
    /// Spans dropped because the queue of the trace writer was full.
    pub spans_dropped: IntCounter,
    /// Calls to the configuration service, by outcome.
    pub platform_calls: IntCounterVec,
    /// Logged events of the control plane, by kind.
    pub control_events: IntCounterVec,
    /// Version of the active document.
    pub document_version: IntGauge,
    /// Targets that accept new work, by service.
    pub targets_serving: IntGaugeVec,
    /// Instances in the view, this one included.
    pub peers_in_view: IntGauge,
    /// Flow records held by all shards.
    pub flows: IntGauge,
    /// Requests waiting in queues of all shards.
    pub requests_waiting: IntGauge,
    /// Whether the instance is ready.
    pub ready: IntGauge,
    /// Whether an alert rule is firing, by rule.
    pub alerts_firing: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Result<Self> {
        let registry =
            Registry::new_custom(Some("pollenpin".to_owned()), None).map_err(metrics_error)?;
        let counter = |name, help| register(&registry, IntCounter::new(name, help));
        let gauge = |name, help| register(&registry, IntGauge::new(name, help));
        let counters = |name: &str, help: &str, label: &str| {
            register(
                &registry,
                IntCounterVec::new(Opts::new(name, help), &[label]),
            )
        };
        Ok(Self {
            datagrams_in: counters("datagrams_in_total", "Datagrams received.", "socket")?,
            frames_in: counter("frames_in_total", "Frames received.")?,
            frames_to_targets: counter("frames_to_targets_total", "Frames sent to targets.")?,
            frames_to_callers: counter("frames_to_callers_total", "Frames sent to callers.")?,
            peer_messages_out: counter("peer_messages_out_total", "Messages sent to peers.")?,
            peer_bytes_out: counter("peer_bytes_out_total", "Bytes sent to peers.")?,
            dropped: counters("dropped_total", "Datagrams and messages dropped.", "reason")?,
            flows_opened: counter("flows_opened_total", "Flows opened.")?,
            flows_lost: counter("flows_lost_total", "Flows lost.")?,
            flows_evicted: counter("flows_evicted_total", "Flow records evicted.")?,
            frames_relayed: counter("relayed_total", "Frames relayed to their owner.")?,
            requests_forwarded: counter(
                "forwarded_total",
                "Requests forwarded, retries included.",
            )?,
            requests_completed: counter("completed_total", "Requests answered in full.")?,
            requests_retried: counter("retried_total", "Requests retried.")?,
            refusals: counters("refused_total", "Refusals.", "code")?,
            spans_dropped: counter("spans_dropped_total", "Spans dropped.")?,
            platform_calls: counters("platform_calls_total", "Calls to the platform.", "outcome")?,
            control_events: counters("control_events_total", "Logged control events.", "kind")?,
            document_version: gauge("document_version", "Version of the document in force.")?,
            targets_serving: register(
                &registry,
                IntGaugeVec::new(
                    Opts::new("targets_serving", "Targets that take new work."),
                    &["service"],
                ),
            )?,
            peers_in_view: gauge("peers_in_view", "Instances in the view, this one included.")?,
            flows: gauge("flows", "Flows held.")?,
            requests_waiting: gauge("requests_waiting", "Requests waiting.")?,
            ready: gauge("ready", "Whether the instance is ready.")?,
            alerts_firing: register(
                &registry,
                IntGaugeVec::new(
                    Opts::new("alert_firing", "Alert rules that hold."),
                    &["rule"],
                ),
            )?,
            registry,
        })
    }

    /// Counts an event of a shard.
    pub fn count_event(&self, event: &CounterEvent) {
        match event {
            CounterEvent::Dropped(reason) => self.count_drop(drop_reason_label(*reason)),
            CounterEvent::FlowOpened => self.flows_opened.inc(),
            CounterEvent::FlowLost => self.flows_lost.inc(),
            CounterEvent::FlowEvicted => self.flows_evicted.inc(),
            CounterEvent::Relayed => self.frames_relayed.inc(),
            CounterEvent::Forwarded => self.requests_forwarded.inc(),
            CounterEvent::Completed => self.requests_completed.inc(),
            CounterEvent::Refused(code) => self
                .refusals
                .with_label_values(&[refusal_label(*code)])
                .inc(),
            CounterEvent::Retried => self.requests_retried.inc(),
        }
    }

    /// Updates the gauges that are derived from the view.
    pub fn on_view(&self, view: &View) {
        self.document_version.set(view.document.version.0 as i64);
        let peers = view.current_epoch().map_or(0, |epoch| epoch.peers.len());
        self.peers_in_view.set(peers as i64);
        let mut serving: BTreeMap<&str, i64> = BTreeMap::new();
        for target in view.targets.values() {
            *serving.entry(target.service.as_str()).or_default() += i64::from(target.accepts_new);
        }
        // Without the reset, services removed from the document would keep their last value.
        self.targets_serving.reset();
        for (service, count) in serving {
            let gauge = self.targets_serving.with_label_values(&[service]);
            gauge.set(count);
        }
    }

    /// Counts a logged event of the control plane.
    pub fn on_control_event(&self, kind: &str, event: &ControlLogEvent) {
        self.control_events.with_label_values(&[kind]).inc();
        if let ControlLogEvent::AlertChanged {
            rule, is_firing, ..
        } = event
        {
            let gauge = self.alerts_firing.with_label_values(&[rule]);
            gauge.set(i64::from(*is_firing));
        }
    }

    /// Counts a dropped datagram or message under its reason.
    pub fn count_drop(&self, reason: &str) {
        self.dropped.with_label_values(&[reason]).inc();
    }

    /// Returns the value of each metric, summed over its labels, for the alert rules.
    pub fn values(&self) -> Vec<(SmolStr, f64)> {
        let families = self.registry.gather();
        let value =
            |metric: &Metric| metric.get_counter().get_value() + metric.get_gauge().get_value();
        families
            .iter()
            .map(|family| {
                let sum = family.get_metric().iter().map(value).sum();
                (SmolStr::new(family.name()), sum)
            })
            .collect()
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn to_text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(metrics_error)?;
        Ok(text)
    }
}

fn metrics_error(error: prometheus::Error) -> Error {
    Error::failed("registering or encoding metrics", error)
}

fn register<M: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> Result<M> {
    let metric = metric.map_err(metrics_error)?;
    registry
        .register(Box::new(metric.clone()))
        .map_err(metrics_error)?;
    Ok(metric)
}

fn drop_reason_label(reason: DropReason) -> &'static str {
    match reason {
        DropReason::NotReady => "not-ready",
        DropReason::WrongService => "wrong-service",
        DropReason::Unexpected => "unexpected",
        DropReason::NoSource => "no-source",
        DropReason::NoLease => "no-lease",
        DropReason::TableFull => "table-full",
        DropReason::TooManyHops => "too-many-hops",
        DropReason::Unreachable => "unreachable",
    }
}

fn refusal_label(code: Refusal) -> &'static str {
    match code {
        Refusal::Unspecified => "unspecified",
        Refusal::Overloaded => "overloaded",
        Refusal::DeadlinePassed => "deadline-passed",
        Refusal::NoTarget => "no-target",
        Refusal::Draining => "draining",
        Refusal::Cancelled => "cancelled",
        Refusal::UnknownService => "unknown-service",
        Refusal::OutcomeUnknown => "outcome-unknown",
        Refusal::AnswerGone => "answer-gone",
        Refusal::FlowLost => "flow-lost",
        Refusal::Malformed => "malformed",
        Refusal::NotReady => "not-ready",
    }
}
