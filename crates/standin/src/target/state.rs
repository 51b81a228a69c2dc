//! State of a target: flows, requests and the record of what it received.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use wire::frame::{Frame, Kind, Refusal};

use super::TargetOptions;
use crate::content;

/// Factor by which service times grow during a cold start.
const COLD_START_FACTOR: u32 = 4;

/// Maximum number of past load samples, from which a delayed load is reported.
const MAX_LOAD_SAMPLES: usize = 4_096;

/// Behaviour set by the query of `POST /control`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Behaviour {
    /// Refuses new flows, and requests that do not belong to an open flow.
    #[serde(rename = "drain")]
    pub is_draining: bool,
    /// Refuses requests with `Overloaded`.
    #[serde(rename = "shed")]
    pub is_overloaded: bool,
    /// Ignores received frames and sends no answers or pushes.
    #[serde(rename = "mute")]
    pub is_unresponsive: bool,
    /// Health to report regardless of the actual one; `None` for the actual one.
    #[serde(rename = "lie")]
    pub reported_health: Option<bool>,
    /// Age of the number of requests in flight that the health endpoint reports.
    #[serde(rename = "lag_ms")]
    pub load_lag_ms: u64,
}

/// One run of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestRun {
    /// Request id.
    pub request: u64,
    /// Class of work.
    pub class: String,
    /// Member on whose behalf the caller acts.
    pub member: String,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
}

/// Counts and runs that a target records for later checks.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Record {
    /// All runs in the order of their start.
    pub runs: Vec<RequestRun>,
    /// Frames addressed to another service or target.
    pub wrong_service: u64,
    /// Datagrams that are not frames, and frames of an unexpected kind.
    pub malformed: u64,
    /// Flows accepted.
    pub flows_opened: u64,
    /// Data frames of flows that are not open.
    pub unknown_flow: u64,
    /// New flows and requests that arrived while draining.
    pub after_drain: u64,
    /// Refusals sent, by code.
    pub refused: HashMap<String, u64>,
    /// Maximum number of requests that ran concurrently.
    pub peak_in_flight: usize,
}

#[derive(Debug)]
struct Flow {
    frame: Frame,
    address: SocketAddr,
    next_push_at: Instant,
    push_count: u64,
}

#[derive(Debug)]
struct Job {
    frame: Frame,
    address: SocketAddr,
    deadline: Option<Instant>,
    completes_at: Instant,
}

/// Target without its sockets; time is passed in by the caller.
#[derive(Debug)]
pub struct Target {
    options: TargetOptions,
    started_at: Instant,
    flows: HashMap<u64, Flow>,
    queue: VecDeque<Job>,
    running: Vec<Job>,
    started_ids: HashSet<u64>,
    refused_requests: HashMap<u64, Refusal>,
    load_samples: VecDeque<(Instant, usize)>,
    /// Behaviour set through the control endpoint.
    pub behaviour: Behaviour,
    /// Record of received frames and runs.
    pub record: Record,
}

/// Target shared by its UDP and HTTP tasks.
#[derive(Debug, Clone)]
pub struct SharedTarget(Arc<Mutex<Target>>);

impl SharedTarget {
    /// Wraps a target for shared access.
    pub fn new(target: Target) -> Self {
        Self(Arc::new(Mutex::new(target)))
    }

    /// Runs `access` with exclusive access to the target.
    pub fn with<T>(&self, access: impl FnOnce(&mut Target) -> T) -> T {
        access(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn service_time(class: &str) -> Duration {
    Duration::from_millis(match class {
        "lookup" => 2,
        "order" => 3,
        "upload" => 20,
        "filing" => 30,
        _ => 5,
    })
}

type OutgoingFrames = Vec<(SocketAddr, Frame)>;

impl Target {
    /// Creates a target that starts at `now`.
    pub fn new(options: TargetOptions, now: Instant) -> Self {
        Self {
            options,
            started_at: now,
            flows: HashMap::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            started_ids: HashSet::new(),
            refused_requests: HashMap::new(),
            load_samples: VecDeque::new(),
            behaviour: Behaviour::default(),
            record: Record::default(),
        }
    }

    /// Handles a frame from an instance.
    pub fn on_frame(
        &mut self,
        now: Instant,
        from: SocketAddr,
        frame: Frame,
        outgoing: &mut OutgoingFrames,
    ) {
        let is_addressed_here = frame.service == self.options.service.as_str()
            && frame.target == self.options.name.as_str();
        if !is_addressed_here {
            self.record.wrong_service += 1;
            return;
        }
        if self.behaviour.is_unresponsive {
            return;
        }
        match frame.kind() {
            Kind::Open => self.on_open(now, from, frame, outgoing),
            Kind::Data => self.on_data(from, frame, outgoing),
            Kind::Close => drop(self.flows.remove(&frame.flow)),
            Kind::Request => self.on_request(now, from, frame, outgoing),
            Kind::Cancel => self.on_cancel(from, &frame, outgoing),
            _ => self.record.malformed += 1,
        }
    }

    fn on_open(
        &mut self,
        now: Instant,
        from: SocketAddr,
        frame: Frame,
        outgoing: &mut OutgoingFrames,
    ) {
        if let Some(flow) = self.flows.get_mut(&frame.flow) {
            flow.address = from;
            return self.send_reply(Kind::Opened, from, &frame, outgoing);
        }
        if self.behaviour.is_draining {
            self.record.after_drain += 1;
            return self.send_refusal(Refusal::Draining, from, &frame, outgoing);
        }
        if self.flows.len() >= self.options.max_flows {
            return self.send_refusal(Refusal::Overloaded, from, &frame, outgoing);
        }
        self.record.flows_opened += 1;
        self.send_reply(Kind::Opened, from, &frame, outgoing);
        let flow = Flow {
            address: from,
            next_push_at: now + Duration::from_millis(self.options.push_interval_ms),
            push_count: 0,
            frame: Frame {
                body: Vec::new(),
                token: Vec::new(),
                ..frame.clone()
            },
        };
        self.flows.insert(frame.flow, flow);
    }

    fn on_data(&mut self, from: SocketAddr, frame: Frame, outgoing: &mut OutgoingFrames) {
        let Some(flow) = self.flows.get_mut(&frame.flow) else {
            self.record.unknown_flow += 1;
            return self.send_refusal(Refusal::FlowLost, from, &frame, outgoing);
        };
        flow.address = from;
        self.send_reply(Kind::Data, from, &frame, outgoing);
    }

    fn on_request(
        &mut self,
        now: Instant,
        from: SocketAddr,
        frame: Frame,
        outgoing: &mut OutgoingFrames,
    ) {
        if let Some(code) = self.refused_requests.get(&frame.request).copied() {
            return self.send_refusal(code, from, &frame, outgoing);
        }
        if self.behaviour.is_draining && !self.flows.contains_key(&frame.flow) {
            self.record.after_drain += 1;
            return self.refuse_permanently(Refusal::Draining, from, &frame, outgoing);
        }
        if self.behaviour.is_overloaded || self.queue.len() >= self.options.max_queue_len {
            return self.refuse_permanently(Refusal::Overloaded, from, &frame, outgoing);
        }
        let deadline = (frame.deadline_ms > 0)
            .then(|| now + Duration::from_millis(u64::from(frame.deadline_ms)));
        self.queue.push_back(Job {
            frame,
            address: from,
            deadline,
            completes_at: now,
        });
        self.start_queued(now, outgoing);
    }

    fn on_cancel(&mut self, from: SocketAddr, frame: &Frame, outgoing: &mut OutgoingFrames) {
        if let Some(index) = self
            .queue
            .iter()
            .position(|job| job.frame.request == frame.request)
        {
            self.queue.remove(index);
        } else if self.started_ids.contains(&frame.request) {
            return;
        }
        self.refuse_permanently(Refusal::Cancelled, from, frame, outgoing);
    }

    /// Completes requests, starts queued ones and sends pushes that are due at `now`.
    pub fn on_tick(&mut self, now: Instant, outgoing: &mut OutgoingFrames) {
        self.load_samples
            .push_back((now, self.running.len() + self.queue.len()));
        if self.load_samples.len() > MAX_LOAD_SAMPLES {
            self.load_samples.pop_front();
        }
        let (completed, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|job| job.completes_at <= now);
        self.running = running;
        for job in Vec::from_iter::<Vec<Job>>(completed) {
            self.send_answer(&job, outgoing);
        }
        self.start_queued(now, outgoing);
        if !self.behaviour.is_unresponsive {
            self.push_feeds(now, outgoing);
        }
    }

    fn start_queued(&mut self, now: Instant, outgoing: &mut OutgoingFrames) {
        while self.running.len() < self.options.slots {
            let Some(mut job) = self.queue.pop_front() else {
                break;
            };
            if job.deadline.is_some_and(|deadline| deadline <= now) {
                self.refuse_permanently(Refusal::DeadlinePassed, job.address, &job.frame, outgoing);
                continue;
            }
            let is_cold = now < self.started_at + Duration::from_millis(self.options.cold_start_ms);
            let factor = if is_cold { COLD_START_FACTOR } else { 1 };
            job.completes_at = now + service_time(&job.frame.class) * factor;
            self.started_ids.insert(job.frame.request);
            self.record.runs.push(RequestRun {
                request: job.frame.request,
                class: job.frame.class.clone(),
                member: job.frame.member.clone(),
                idempotent: job.frame.idempotent,
            });
            self.running.push(job);
            self.record.peak_in_flight = self.record.peak_in_flight.max(self.running.len());
        }
    }

    fn send_answer(&self, job: &Job, outgoing: &mut OutgoingFrames) {
        if self.behaviour.is_unresponsive {
            return;
        }
        let size_bytes = content::answer_size_bytes(&job.frame.class);
        let (service, name) = (&job.frame.service, self.options.name.as_str());
        let answer = content::generate_answer(service, name, job.frame.request, size_bytes);
        let count = answer.chunks(content::MAX_PART_BYTES).len();
        for (part, body) in answer.chunks(content::MAX_PART_BYTES).enumerate() {
            let mut frame = self.reply_frame(Kind::Answer, &job.frame);
            frame.part = part as u32;
            frame.last = part + 1 == count;
            frame.body = body.to_vec();
            outgoing.push((job.address, frame));
        }
    }

    fn push_feeds(&mut self, now: Instant, outgoing: &mut OutgoingFrames) {
        let period = Duration::from_millis(self.options.push_interval_ms);
        let load = self.current_load();
        for flow in self.flows.values_mut() {
            if flow.frame.class != "feed" || flow.next_push_at > now {
                continue;
            }
            flow.next_push_at = now + period;
            flow.push_count += 1;
            let frame = Frame {
                kind: Kind::Data.into(),
                body: flow.push_count.to_le_bytes().to_vec(),
                load,
                ..flow.frame.clone()
            };
            outgoing.push((flow.address, frame));
        }
    }

    fn current_load(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32 + 1
    }

    fn reply_frame(&self, kind: Kind, frame: &Frame) -> Frame {
        Frame {
            kind: kind.into(),
            target: self.options.name.to_string(),
            load: self.current_load(),
            token: Vec::new(),
            body: Vec::new(),
            ..frame.clone()
        }
    }

    fn send_reply(&self, kind: Kind, to: SocketAddr, frame: &Frame, outgoing: &mut OutgoingFrames) {
        outgoing.push((to, self.reply_frame(kind, frame)));
    }

    fn send_refusal(
        &mut self,
        code: Refusal,
        to: SocketAddr,
        frame: &Frame,
        outgoing: &mut OutgoingFrames,
    ) {
        *self.record.refused.entry(format!("{code:?}")).or_default() += 1;
        let mut refusal = self.reply_frame(Kind::Refuse, frame);
        refusal.refusal = code.into();
        outgoing.push((to, refusal));
    }

    fn refuse_permanently(
        &mut self,
        code: Refusal,
        to: SocketAddr,
        frame: &Frame,
        outgoing: &mut OutgoingFrames,
    ) {
        self.refused_requests.insert(frame.request, code);
        self.send_refusal(code, to, frame, outgoing);
    }

    /// Returns the number of requests in flight to report, as of `load_lag_ms` ago.
    pub fn reported_in_flight(&self, now: Instant) -> usize {
        let lag = Duration::from_millis(self.behaviour.load_lag_ms);
        let sample = self
            .load_samples
            .iter()
            .rev()
            .find(|(at, _)| *at + lag <= now);
        sample.map_or(0, |(_, count)| *count)
    }
}
