//! Spans of sampled requests in the JSON encoding of OpenTelemetry, one batch per line.
//!
//! A shard tracks a sampled request from its arrival to its last answer and emits one span per hop.
//! A separate task with a bounded queue writes the spans, so that a slow disk or pipe never delays
//! packets.

use std::collections::HashMap;
use std::path::PathBuf;

use balance::event::{ShardAction, ShardEvent};
use ids::{Micros, Permille};
use opentelemetry_proto::tonic::common::v1::any_value::Value;
use opentelemetry_proto::tonic::common::v1::{AnyValue, InstrumentationScope, KeyValue};
use opentelemetry_proto::tonic::resource::v1::Resource;
use opentelemetry_proto::tonic::trace::v1::span::SpanKind;
use opentelemetry_proto::tonic::trace::v1::{ResourceSpans, ScopeSpans, Span, TracesData};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use wire::frame::{Frame, Kind};
use wire::peer::Body;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::{Error, Result};

/// Maximum number of requests that one shard traces at a time; further ones are not traced.
const MAX_TRACED_REQUESTS: usize = 4_096;

/// Capacity of the queue of the trace writer.
pub const MAX_QUEUED_SPANS: usize = 1_024;

/// Maximum number of spans in one line of the file.
const MAX_BATCH_SPANS: usize = 128;

/// A sampled request without a final answer.
#[derive(Debug)]
struct TracedRequest {
    parent_span_id: u64,
    span_id: u64,
    received_at: Micros,
    target_span_id: u64,
    sent_at: Option<Micros>,
}

/// Emits the spans of one shard.
#[derive(Debug)]
pub struct Tracer {
    traced: HashMap<u64, TracedRequest>,
    rng: SmallRng,
    clock: Clock,
    metrics: Metrics,
    sample_rate: Permille,
    queue: Option<flume::Sender<Span>>,
}

impl Tracer {
    /// Creates a tracer. Without a queue, it traces nothing.
    pub fn new(
        clock: Clock,
        metrics: Metrics,
        sample_rate: Permille,
        queue: Option<flume::Sender<Span>>,
    ) -> Self {
        Self {
            traced: HashMap::new(),
            rng: SmallRng::from_os_rng(),
            clock,
            metrics,
            sample_rate,
            queue,
        }
    }

    /// Processes an event before the shard handles it; may assign a trace id to its frame.
    pub fn on_event(&mut self, now: Micros, event: &mut ShardEvent) {
        match event {
            ShardEvent::CallerFrame { frame, .. } => {
                self.maybe_sample(frame);
                self.on_arrival(now, frame);
            }
            ShardEvent::RelayedFrame { frame, .. } => self.on_arrival(now, frame),
            ShardEvent::FlowRequest { frame, hops, .. } => {
                // The relaying peer has already made the sampling decision.
                if *hops == 0 {
                    self.maybe_sample(frame);
                }
                self.on_arrival(now, frame);
            }
            ShardEvent::TargetFrame { frame, .. } => self.on_answer(now, frame),
            _ => {}
        }
    }

    /// Assigns a trace id to a random share of the new requests without one.
    fn maybe_sample(&mut self, frame: &mut Frame) {
        let is_new = frame.kind() == Kind::Request && frame.trace == 0 && frame.attempt == 0;
        if self.queue.is_some() && is_new && self.rng.random_range(0..1_000) < self.sample_rate.0 {
            frame.trace = self.rng.random();
        }
    }

    fn is_sampled(&self, frame: &Frame) -> bool {
        frame.trace != 0 && frame.request != 0 && self.queue.is_some()
    }

    fn on_arrival(&mut self, now: Micros, frame: &Frame) {
        if !self.is_sampled(frame)
            || self.traced.len() >= MAX_TRACED_REQUESTS
            || self.traced.contains_key(&frame.request)
        {
            return;
        }
        let traced = TracedRequest {
            parent_span_id: frame.span,
            span_id: self.rng.random(),
            received_at: now,
            target_span_id: 0,
            sent_at: None,
        };
        self.traced.insert(frame.request, traced);
    }

    fn on_answer(&mut self, now: Micros, frame: &Frame) {
        if !self.is_sampled(frame) {
            return;
        }
        let Some(traced) = self.traced.get_mut(&frame.request) else {
            return;
        };
        let Some(sent) = traced.sent_at.take() else {
            return;
        };
        let (id, parent) = (traced.target_span_id, traced.span_id);
        self.emit_span("target", SpanKind::Client, frame, (id, parent), (sent, now));
    }

    /// Processes an action of the shard before it is performed, and sets the span id of its frame.
    pub fn on_action(&mut self, now: Micros, action: &mut ShardAction) {
        match action {
            ShardAction::SendToTarget { frame, .. } => self.on_dispatch(now, frame),
            ShardAction::SendToPeer {
                body: Body::RelayedFrame(relay),
                ..
            } => {
                if let Some(frame) = &mut relay.frame {
                    self.on_relay(now, frame);
                }
            }
            ShardAction::SendToCaller { frame, .. } => self.on_reply(now, frame),
            _ => {}
        }
    }

    fn on_dispatch(&mut self, now: Micros, frame: &mut Frame) {
        if !self.is_sampled(frame) || frame.kind() != Kind::Request {
            return;
        }
        let (id, target_span_id) = (self.rng.random(), self.rng.random());
        let Some(traced) = self.traced.get_mut(&frame.request) else {
            return;
        };
        traced.sent_at = Some(now);
        traced.target_span_id = target_span_id;
        let (parent, received) = (traced.span_id, traced.received_at);
        frame.span = target_span_id;
        self.emit_span(
            "balancer",
            SpanKind::Internal,
            frame,
            (id, parent),
            (received, now),
        );
    }

    fn on_relay(&mut self, now: Micros, frame: &mut Frame) {
        if !self.is_sampled(frame) {
            return;
        }
        let Some(traced) = self.traced.remove(&frame.request) else {
            return;
        };
        frame.span = traced.span_id;
        self.emit_span(
            "peer",
            SpanKind::Client,
            frame,
            (traced.span_id, traced.parent_span_id),
            (traced.received_at, now),
        );
    }

    fn on_reply(&mut self, now: Micros, frame: &Frame) {
        let is_end = frame.last || frame.kind() == Kind::Refuse;
        if !is_end || !self.is_sampled(frame) {
            return;
        }
        let Some(traced) = self.traced.remove(&frame.request) else {
            return;
        };
        self.emit_span(
            "caller",
            SpanKind::Server,
            frame,
            (traced.span_id, traced.parent_span_id),
            (traced.received_at, now),
        );
    }

    fn emit_span(
        &self,
        hop: &str,
        kind: SpanKind,
        frame: &Frame,
        (id, parent): (u64, u64),
        (start, end): (Micros, Micros),
    ) {
        let Some(queue) = &self.queue else { return };
        let span = Span {
            trace_id: u128::from(frame.trace).to_be_bytes().to_vec(),
            span_id: id.to_be_bytes().to_vec(),
            parent_span_id: parent.to_be_bytes().to_vec(),
            name: hop.to_owned(),
            kind: kind.into(),
            start_time_unix_nano: self.clock.unix_nanos(start),
            end_time_unix_nano: self.clock.unix_nanos(end),
            attributes: vec![
                attribute("service", &frame.service),
                attribute("class", &frame.class),
                attribute("target", &frame.target),
            ],
            ..Span::default()
        };
        if queue.try_send(span).is_err() {
            self.metrics.spans_dropped.inc();
        }
    }
}

fn attribute(key: &str, value: &str) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: Some(AnyValue {
            value: Some(Value::StringValue(value.to_owned())),
        }),
        ..KeyValue::default()
    }
}

/// Appends spans to a file until all senders are dropped.
pub async fn write_spans(
    path: PathBuf,
    instance: String,
    spans: flume::Receiver<Span>,
) -> Result<()> {
    let step = format!("writing traces to {}", path.display());
    let mut file = tokio::fs::OpenOptions::new()
        .append(true)
        .create(true)
        .open(&path)
        .await
        .map_err(Error::io(step.clone()))?;
    while let Ok(first) = spans.recv_async().await {
        let batch = std::iter::once(first)
            .chain(spans.try_iter().take(MAX_BATCH_SPANS - 1))
            .collect();
        let mut line = serde_json::to_vec(&to_traces_data(&instance, batch))
            .map_err(|error| Error::failed(step.clone(), error))?;
        line.push(b'\n');
        file.write_all(&line)
            .await
            .map_err(Error::io(step.clone()))?;
        file.flush().await.map_err(Error::io(step.clone()))?;
    }
    Ok(())
}

fn to_traces_data(instance: &str, spans: Vec<Span>) -> TracesData {
    TracesData {
        resource_spans: vec![ResourceSpans {
            resource: Some(Resource {
                attributes: vec![
                    attribute("service.name", "pollenpin"),
                    attribute("service.instance.id", instance),
                ],
                ..Resource::default()
            }),
            scope_spans: vec![ScopeSpans {
                scope: Some(InstrumentationScope {
                    name: "pollenpind".to_owned(),
                    ..InstrumentationScope::default()
                }),
                spans,
                ..ScopeSpans::default()
            }],
            ..ResourceSpans::default()
        }],
    }
}
