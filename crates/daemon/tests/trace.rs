//! Spans of sampled requests and the trace file.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::path::PathBuf;

use balance::event::{ShardAction, ShardEvent};
use daemon::clock::Clock;
use daemon::metrics::Metrics;
use daemon::trace::{self, Tracer};
use ids::{Micros, Permille};
use opentelemetry_proto::tonic::trace::v1::{Span, TracesData};
use wire::frame::{Frame, Kind};
use wire::token::TargetId;

fn address() -> SocketAddr {
    "127.0.0.1:9".parse().expect("an address")
}

fn frame(kind: Kind, trace: u64) -> Frame {
    Frame {
        service: "rates".to_owned(),
        request: 5,
        trace,
        span: 11,
        last: true,
        ..Frame::new(kind)
    }
}

/// Traces one request from arrival to reply.
fn trace_request(tracer: &mut Tracer, trace: u64) {
    let from = address();
    let mut arrival = ShardEvent::CallerFrame {
        from,
        frame: frame(Kind::Request, trace),
    };
    tracer.on_event(Micros(100), &mut arrival);
    let mut dispatch = ShardAction::SendToTarget {
        target: TargetId(1),
        to: from,
        frame: frame(Kind::Request, trace),
    };
    tracer.on_action(Micros(200), &mut dispatch);
    let mut answer = ShardEvent::TargetFrame {
        from,
        frame: frame(Kind::Answer, trace),
    };
    tracer.on_event(Micros(900), &mut answer);
    let mut reply = ShardAction::SendToCaller {
        to: from,
        frame: frame(Kind::Answer, trace),
    };
    tracer.on_action(Micros(950), &mut reply);
}

fn tracer(metrics: &Metrics, queue: flume::Sender<Span>) -> Tracer {
    Tracer::new(Clock::start(), metrics.clone(), Permille(0), Some(queue))
}

/// Guards against hops without a span and against spans with a wrong parent or duration.
#[test]
fn each_hop_has_a_span() {
    let metrics = Metrics::new().expect("metrics register once");
    let (queue, spans) = flume::bounded(16);
    trace_request(&mut tracer(&metrics, queue), 77);
    let spans: Vec<_> = spans.try_iter().collect();
    let seen: Vec<_> = spans
        .iter()
        .map(|span| {
            let nanos = span.end_time_unix_nano - span.start_time_unix_nano;
            (span.name.as_str(), nanos / 1_000)
        })
        .collect();
    assert_eq!(seen, [("balancer", 100), ("target", 700), ("caller", 850)]);
    let caller = &spans[2];
    assert_eq!(caller.parent_span_id, 11_u64.to_be_bytes());
    assert!(
        spans[..2]
            .iter()
            .all(|span| span.parent_span_id == caller.span_id)
    );
}

/// Guards against spans of unsampled requests and against blocking on a full queue.
#[test]
fn unsampled_and_surplus_spans_are_dropped() {
    let metrics = Metrics::new().expect("metrics register once");
    let (queue, spans) = flume::bounded(2);
    let mut tracer = tracer(&metrics, queue);
    trace_request(&mut tracer, 0);
    assert!(spans.is_empty());
    trace_request(&mut tracer, 77);
    assert_eq!((spans.len(), metrics.spans_dropped.get()), (2, 1));
}

/// Guards against a trace file that is not valid OpenTelemetry JSON.
#[tokio::test]
async fn file_has_one_batch_per_line() {
    let metrics = Metrics::new().expect("metrics register once");
    let (queue, spans) = flume::bounded(16);
    trace_request(&mut tracer(&metrics, queue), 77);
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("spans.jsonl");
    let _ = std::fs::remove_file(&path);
    trace::write_spans(path.clone(), "a1".to_owned(), spans)
        .await
        .expect("a writable file");
    let text = std::fs::read_to_string(path).expect("a file");
    let mut count = 0;
    for line in text.lines() {
        let traces: TracesData = serde_json::from_str(line).expect("one batch");
        let scopes = traces
            .resource_spans
            .iter()
            .flat_map(|resource| &resource.scope_spans);
        count += scopes.map(|scope| scope.spans.len()).sum::<usize>();
    }
    assert_eq!(count, 3);
}
