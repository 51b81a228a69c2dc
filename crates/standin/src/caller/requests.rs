//! Requests of a caller.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::Rng;
use wire::frame::{Frame, Kind, Refusal};

use super::{Context, RequestLoad, Shape};
use crate::tally::{Tally, histogram};
use crate::{Result, content};

const DEADLINE: Duration = Duration::from_secs(5);
const FIRST_RESEND: Duration = Duration::from_millis(400);

/// One request in this many carries a trace id.
const TRACE_EVERY: u32 = 50;

/// A request to submit; `frame` carries service, class, member, flow and token.
#[derive(Debug)]
pub(super) struct NewRequest {
    pub(super) frame: Frame,
    pub(super) idempotent: bool,
}

#[derive(Debug)]
struct Open {
    frame: Frame,
    first_sent: Instant,
    next_send: Instant,
    /// Parts by the run that they belong to; parts of two runs are never put together.
    runs: HashMap<u64, Parts>,
}

/// Parts of the answer of one run.
#[derive(Debug, Default)]
struct Parts {
    target: String,
    parts: BTreeMap<u32, Vec<u8>>,
    last: Option<u32>,
}

impl Parts {
    /// Takes a part and returns the answer once it is whole.
    fn take(&mut self, frame: Frame) -> Option<Vec<u8>> {
        if frame.last {
            self.last = Some(frame.part);
        }
        self.target = frame.target;
        self.parts.insert(frame.part, frame.body);
        let is_whole = self.parts.len() as u64 > u64::from(self.last?);
        is_whole.then(|| self.parts.values().flatten().copied().collect())
    }
}

#[derive(Debug)]
struct Source {
    load: RequestLoad,
    next: Instant,
}

/// All requests of a caller.
#[derive(Debug)]
pub(super) struct Requests {
    sources: Vec<Source>,
    open: HashMap<u64, Open>,
    per_flow: HashMap<u64, usize>,
    ours: HashSet<u64>,
    latencies: HashMap<String, Histogram<u64>>,
}

impl Requests {
    pub(super) fn new(shape: &Shape, start: Instant) -> Result<Self> {
        let source = |load: &RequestLoad| Source {
            load: load.clone(),
            next: start,
        };
        let mut latencies = HashMap::new();
        let names = shape
            .flows
            .iter()
            .map(|load| (load.service, load.class))
            .chain(shape.requests.iter().map(|load| (load.service, load.class)));
        for (service, class) in names {
            latencies.insert(format!("{service}/{class}"), histogram()?);
        }
        Ok(Self {
            sources: shape.requests.iter().map(source).collect(),
            open: HashMap::new(),
            per_flow: HashMap::new(),
            ours: HashSet::new(),
            latencies,
        })
    }

    /// Returns the requests of a flow that have no answer yet.
    pub(super) fn open_on(&self, flow: u64) -> usize {
        self.per_flow.get(&flow).copied().unwrap_or(0)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    pub(super) fn submit(&mut self, now: Instant, new: NewRequest, context: &mut Context) {
        let id = context.rng.random_range(1..u64::MAX);
        let is_traced = context.rng.random_ratio(1, TRACE_EVERY);
        let frame = Frame {
            kind: Kind::Request.into(),
            request: id,
            idempotent: new.idempotent,
            deadline_ms: DEADLINE.as_millis() as u32,
            trace: if is_traced { id } else { 0 },
            span: if is_traced { id ^ 1 } else { 0 },
            body: id.to_le_bytes().to_vec(),
            ..new.frame
        };
        context.tally.class(&frame.service, &frame.class).sent += 1;
        context.out.push(frame.clone());
        *self.per_flow.entry(frame.flow).or_default() += 1;
        self.ours.insert(id);
        let open = Open {
            frame,
            first_sent: now,
            next_send: now + FIRST_RESEND,
            runs: HashMap::new(),
        };
        self.open.insert(id, open);
    }

    pub(super) fn on_frame(&mut self, now: Instant, frame: Frame, context: &mut Context) {
        if !self.ours.contains(&frame.request) {
            context.tally.wrong_answers += 1;
            return;
        }
        match frame.kind() {
            Kind::Answer => self.on_part(now, frame, context),
            Kind::Refuse => self.on_refused(&frame, context),
            _ => {}
        }
    }

    fn on_part(&mut self, now: Instant, frame: Frame, context: &mut Context) {
        let Some(open) = self.open.get_mut(&frame.request) else {
            return;
        };
        let request = frame.request;
        let parts = open.runs.entry(frame.run).or_default();
        let Some(whole) = parts.take(frame) else {
            return;
        };
        let target = std::mem::take(&mut parts.target);
        let Some(open) = self.remove(request) else {
            return;
        };
        let (service, class) = (&open.frame.service, &open.frame.class);
        let len_bytes = content::answer_bytes(class);
        if whole != content::answer(service, &target, request, len_bytes) {
            context.tally.wrong_answers += 1;
            return;
        }
        context.tally.class(service, class).served += 1;
        if let Some(latencies) = self.latencies.get_mut(&format!("{service}/{class}")) {
            latencies.saturating_record((now - open.first_sent).as_micros() as u64);
        }
    }

    fn on_refused(&mut self, frame: &Frame, context: &mut Context) {
        let Some(open) = self.remove(frame.request) else {
            return;
        };
        let code = frame.refusal();
        let class = context.tally.class(&open.frame.service, &open.frame.class);
        if code == Refusal::OutcomeUnknown {
            class.unknown += 1;
        } else {
            *class.refused.entry(format!("{code:?}")).or_default() += 1;
        }
        if code.proves_not_run() && !open.frame.idempotent {
            context.tally.told_not_run.push(frame.request);
        }
    }

    fn remove(&mut self, id: u64) -> Option<Open> {
        let open = self.open.remove(&id)?;
        if let Some(count) = self.per_flow.get_mut(&open.frame.flow) {
            *count -= 1;
            if *count == 0 {
                self.per_flow.remove(&open.frame.flow);
            }
        }
        Some(open)
    }

    pub(super) fn on_step(&mut self, now: Instant, is_loading: bool, context: &mut Context) {
        if is_loading {
            self.generate(now, context);
        }
        let mut late = Vec::new();
        for (id, open) in &mut self.open {
            if now >= open.first_sent + DEADLINE {
                late.push(*id);
            } else if now >= open.next_send {
                resend(now, open, context);
            }
        }
        for id in late {
            if let Some(open) = self.remove(id) {
                let class = context.tally.class(&open.frame.service, &open.frame.class);
                class.unknown += 1;
                class.unanswered += 1;
            }
        }
    }

    fn generate(&mut self, now: Instant, context: &mut Context) {
        let mut due = Vec::new();
        for source in &mut self.sources {
            while source.next <= now {
                due.push(source.load.clone());
                // Uniform between zero and twice the mean, so that callers do not move in step.
                let mean_micros = 1_000_000 / source.load.per_second;
                let gap = context.rng.random_range(0..=2 * mean_micros);
                source.next += Duration::from_micros(gap);
            }
        }
        for load in due {
            let frame = Frame {
                service: load.service.to_owned(),
                class: load.class.to_owned(),
                member: format!("member-{}", context.rng.random_range(0..10)),
                domain: context.options.domain.to_string(),
                ..Frame::default()
            };
            let idempotent = load.idempotent;
            self.submit(now, NewRequest { frame, idempotent }, context);
        }
    }

    /// Adds the latencies to the result.
    pub(super) fn finish(&self, tally: &mut Tally) {
        for (name, latencies) in &self.latencies {
            let pairs = latencies
                .iter_recorded()
                .map(|value| (value.value_iterated_to(), value.count_at_value()))
                .collect();
            tally.classes.entry(name.clone()).or_default().latencies = pairs;
        }
    }
}

fn resend(now: Instant, open: &mut Open, context: &mut Context) {
    open.frame.attempt += 1;
    let elapsed = now - open.first_sent;
    open.frame.elapsed_ms = elapsed.as_millis() as u32;
    open.frame.deadline_ms = DEADLINE.saturating_sub(elapsed).as_millis().max(1) as u32;
    open.next_send = now + FIRST_RESEND * 2_u32.pow(open.frame.attempt.min(3));
    context.out.push(open.frame.clone());
}
