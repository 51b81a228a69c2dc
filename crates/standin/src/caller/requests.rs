//! Request handling of the load generator.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::Rng;
use wire::frame::{Frame, Kind, Refusal};

use super::{Context, RequestLoad, Workload};
use crate::load_result::{LoadResult, latency_histogram};
use crate::{Result, content};

const REQUEST_DEADLINE: Duration = Duration::from_secs(5);
const FIRST_RESEND_DELAY: Duration = Duration::from_millis(400);

/// On average, one request in this many carries a trace id.
const REQUESTS_PER_TRACE: u32 = 50;

/// A request to submit; `frame` holds its service, class, member, flow and token.
#[derive(Debug)]
pub(super) struct NewRequest {
    pub(super) frame: Frame,
    pub(super) is_idempotent: bool,
}

#[derive(Debug)]
struct PendingRequest {
    frame: Frame,
    first_sent_at: Instant,
    next_send_at: Instant,
    /// Received parts by run. An answer is never assembled from the parts of two runs.
    parts_by_run: HashMap<u64, PartialAnswer>,
}

/// Parts received so far of the answer of one run.
#[derive(Debug, Default)]
struct PartialAnswer {
    target: String,
    parts: BTreeMap<u32, Vec<u8>>,
    last_part: Option<u32>,
}

impl PartialAnswer {
    /// Adds a part and returns the answer once all its parts have arrived.
    fn add_part(&mut self, frame: Frame) -> Option<Vec<u8>> {
        if frame.last {
            self.last_part = Some(frame.part);
        }
        self.target = frame.target;
        self.parts.insert(frame.part, frame.body);
        let is_complete = self.parts.len() as u64 > u64::from(self.last_part?);
        is_complete.then(|| self.parts.values().flatten().copied().collect())
    }
}

#[derive(Debug)]
struct RequestSource {
    load: RequestLoad,
    next_at: Instant,
}

/// All requests of the load generator.
#[derive(Debug)]
pub(super) struct Requests {
    sources: Vec<RequestSource>,
    pending: HashMap<u64, PendingRequest>,
    pending_per_flow: HashMap<u64, usize>,
    sent_ids: HashSet<u64>,
    latencies: HashMap<String, Histogram<u64>>,
}

impl Requests {
    pub(super) fn new(workload: &Workload, start: Instant) -> Result<Self> {
        let source = |load: &RequestLoad| RequestSource {
            load: load.clone(),
            next_at: start,
        };
        let mut latencies = HashMap::new();
        let names = workload
            .flows
            .iter()
            .map(|load| (load.service, load.class))
            .chain(
                workload
                    .requests
                    .iter()
                    .map(|load| (load.service, load.class)),
            );
        for (service, class) in names {
            latencies.insert(format!("{service}/{class}"), latency_histogram()?);
        }
        Ok(Self {
            sources: workload.requests.iter().map(source).collect(),
            pending: HashMap::new(),
            pending_per_flow: HashMap::new(),
            sent_ids: HashSet::new(),
            latencies,
        })
    }

    /// Returns the number of requests of a flow that have no final answer yet.
    pub(super) fn pending_on_flow(&self, flow: u64) -> usize {
        self.pending_per_flow.get(&flow).copied().unwrap_or(0)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    pub(super) fn submit(&mut self, now: Instant, new: NewRequest, context: &mut Context) {
        let id = context.rng.random_range(1..u64::MAX);
        let is_traced = context.rng.random_ratio(1, REQUESTS_PER_TRACE);
        let frame = Frame {
            kind: Kind::Request.into(),
            request: id,
            idempotent: new.is_idempotent,
            deadline_ms: REQUEST_DEADLINE.as_millis() as u32,
            trace: if is_traced { id } else { 0 },
            span: if is_traced { id ^ 1 } else { 0 },
            body: id.to_le_bytes().to_vec(),
            ..new.frame
        };
        context.result.class_mut(&frame.service, &frame.class).sent += 1;
        context.outgoing.push(frame.clone());
        *self.pending_per_flow.entry(frame.flow).or_default() += 1;
        self.sent_ids.insert(id);
        let pending = PendingRequest {
            frame,
            first_sent_at: now,
            next_send_at: now + FIRST_RESEND_DELAY,
            parts_by_run: HashMap::new(),
        };
        self.pending.insert(id, pending);
    }

    pub(super) fn on_frame(&mut self, now: Instant, frame: Frame, context: &mut Context) {
        if !self.sent_ids.contains(&frame.request) {
            context.result.wrong_answers += 1;
            return;
        }
        match frame.kind() {
            Kind::Answer => self.on_answer_part(now, frame, context),
            Kind::Refuse => self.on_refusal(&frame, context),
            _ => {}
        }
    }

    fn on_answer_part(&mut self, now: Instant, frame: Frame, context: &mut Context) {
        let Some(pending) = self.pending.get_mut(&frame.request) else {
            return;
        };
        let request = frame.request;
        let partial = pending.parts_by_run.entry(frame.run).or_default();
        let Some(answer) = partial.add_part(frame) else {
            return;
        };
        let target = std::mem::take(&mut partial.target);
        let Some(pending) = self.remove_pending(request) else {
            return;
        };
        let (service, class) = (&pending.frame.service, &pending.frame.class);
        let size_bytes = content::answer_size_bytes(class);
        if answer != content::generate_answer(service, &target, request, size_bytes) {
            context.result.wrong_answers += 1;
            return;
        }
        context.result.class_mut(service, class).served += 1;
        if let Some(latencies) = self.latencies.get_mut(&format!("{service}/{class}")) {
            latencies.saturating_record((now - pending.first_sent_at).as_micros() as u64);
        }
    }

    fn on_refusal(&mut self, frame: &Frame, context: &mut Context) {
        let Some(pending) = self.remove_pending(frame.request) else {
            return;
        };
        let code = frame.refusal();
        let class = context
            .result
            .class_mut(&pending.frame.service, &pending.frame.class);
        if code == Refusal::OutcomeUnknown {
            class.unknown += 1;
        } else {
            *class.refused.entry(format!("{code:?}")).or_default() += 1;
        }
        if code.proves_not_run() && !pending.frame.idempotent {
            context.result.told_not_run.push(frame.request);
        }
    }

    fn remove_pending(&mut self, id: u64) -> Option<PendingRequest> {
        let pending = self.pending.remove(&id)?;
        if let Some(count) = self.pending_per_flow.get_mut(&pending.frame.flow) {
            *count -= 1;
            if *count == 0 {
                self.pending_per_flow.remove(&pending.frame.flow);
            }
        }
        Some(pending)
    }

    pub(super) fn on_tick(&mut self, now: Instant, is_load_active: bool, context: &mut Context) {
        if is_load_active {
            self.submit_due(now, context);
        }
        let mut expired = Vec::new();
        for (id, pending) in &mut self.pending {
            if now >= pending.first_sent_at + REQUEST_DEADLINE {
                expired.push(*id);
            } else if now >= pending.next_send_at {
                resend_request(now, pending, context);
            }
        }
        for id in expired {
            if let Some(pending) = self.remove_pending(id) {
                let class = context
                    .result
                    .class_mut(&pending.frame.service, &pending.frame.class);
                class.unknown += 1;
                class.unanswered += 1;
            }
        }
    }

    fn submit_due(&mut self, now: Instant, context: &mut Context) {
        let mut due_loads = Vec::new();
        for source in &mut self.sources {
            while source.next_at <= now {
                due_loads.push(source.load.clone());
                // The interval is uniform between zero and twice the mean, so that callers do not
                // send in lockstep.
                let mean_micros = 1_000_000 / source.load.requests_per_second;
                let gap = context.rng.random_range(0..=2 * mean_micros);
                source.next_at += Duration::from_micros(gap);
            }
        }
        for load in due_loads {
            let frame = Frame {
                service: load.service.to_owned(),
                class: load.class.to_owned(),
                member: format!("member-{}", context.rng.random_range(0..10)),
                domain: context.options.domain.to_string(),
                ..Frame::default()
            };
            let is_idempotent = load.is_idempotent;
            self.submit(
                now,
                NewRequest {
                    frame,
                    is_idempotent,
                },
                context,
            );
        }
    }

    /// Writes the latency histograms into the result.
    pub(super) fn add_latencies_to(&self, result: &mut LoadResult) {
        for (name, latencies) in &self.latencies {
            let pairs = latencies
                .iter_recorded()
                .map(|value| (value.value_iterated_to(), value.count_at_value()))
                .collect();
            result.classes.entry(name.clone()).or_default().latencies = pairs;
        }
    }
}

fn resend_request(now: Instant, pending: &mut PendingRequest, context: &mut Context) {
    pending.frame.attempt += 1;
    let elapsed = now - pending.first_sent_at;
    pending.frame.elapsed_ms = elapsed.as_millis() as u32;
    pending.frame.deadline_ms = REQUEST_DEADLINE.saturating_sub(elapsed).as_millis().max(1) as u32;
    pending.next_send_at = now + FIRST_RESEND_DELAY * 2_u32.pow(pending.frame.attempt.min(3));
    context.outgoing.push(pending.frame.clone());
}
