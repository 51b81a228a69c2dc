//! Simulated target that follows the contract in docs/frame.md and records what it ran.

use std::collections::BTreeMap;

use ids::{Micros, Millis};
use wire::frame::{Frame, Kind, Refusal};

/// Parts of every answer; more than one, so that reordering and loss are detected.
pub const ANSWER_PARTS: u32 = 3;

/// Behaviour of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetMode {
    Serving,
    /// Refuses new work as draining and finishes work in progress.
    Draining,
    /// Refuses every request as overloaded.
    Overloaded,
    /// Takes ten times as long per request.
    Slow,
    /// Does not respond.
    Dead,
}

#[derive(Debug)]
struct RunningRequest {
    done_at: Micros,
    to: usize,
    frame: Frame,
}

/// A simulated target.
#[derive(Debug)]
pub struct Target {
    pub service: String,
    pub name: String,
    pub domain: String,
    pub mode: TargetMode,
    /// Number of runs per request.
    pub runs: BTreeMap<u64, u32>,
    /// Time and id of each accepted flow and request, for the drain invariant.
    pub accepted_work: Vec<(Micros, u64)>,
    /// Number of frames that belong to another service.
    pub misdirected_frames: u32,
    /// Flows with a data frame here that were not opened here.
    pub unknown_flows: Vec<u64>,
    /// Requests refused as not run; according to the contract they must not run later.
    refused: BTreeMap<u64, Refusal>,
    running: Vec<RunningRequest>,
    flows: BTreeMap<u64, (usize, Frame)>,
    slots: usize,
    processing_time_ms: Millis,
}

impl Target {
    pub fn new(service: &str, name: &str, domain: &str) -> Self {
        Self {
            service: service.to_owned(),
            name: name.to_owned(),
            domain: domain.to_owned(),
            mode: TargetMode::Serving,
            runs: BTreeMap::new(),
            accepted_work: Vec::new(),
            misdirected_frames: 0,
            unknown_flows: Vec::new(),
            refused: BTreeMap::new(),
            running: Vec::new(),
            flows: BTreeMap::new(),
            slots: 2,
            processing_time_ms: Millis(30),
        }
    }

    /// Handles a frame that instance `from` forwarded and returns the replies to it.
    pub fn on_frame(&mut self, now: Micros, from: usize, frame: Frame) -> Vec<Frame> {
        if self.mode == TargetMode::Dead {
            return Vec::new();
        }
        if frame.service != self.service {
            self.misdirected_frames += 1;
            return Vec::new();
        }
        match frame.kind() {
            Kind::Open => self.on_open(now, from, frame),
            Kind::Data => self.on_data(from, frame),
            Kind::Close => {
                self.flows.remove(&frame.flow);
                Vec::new()
            }
            Kind::Request => self.on_request(now, from, frame),
            Kind::Cancel => self.on_cancel(frame),
            _ => Vec::new(),
        }
    }

    fn on_open(&mut self, now: Micros, from: usize, frame: Frame) -> Vec<Frame> {
        if self.mode == TargetMode::Draining && !self.flows.contains_key(&frame.flow) {
            return vec![self.reply(Frame::refusal_for(&frame, Refusal::Draining))];
        }
        let flow = frame.flow;
        if self.flows.insert(flow, (from, frame.clone())).is_none() {
            self.accepted_work.push((now, flow));
        }
        vec![self.reply(Frame {
            kind: Kind::Opened.into(),
            ..frame
        })]
    }

    fn on_data(&mut self, from: usize, frame: Frame) -> Vec<Frame> {
        let Some(flow) = self.flows.get_mut(&frame.flow) else {
            self.unknown_flows.push(frame.flow);
            return vec![self.reply(Frame::refusal_for(&frame, Refusal::FlowLost))];
        };
        flow.0 = from;
        vec![self.reply(frame)]
    }

    fn on_request(&mut self, now: Micros, from: usize, frame: Frame) -> Vec<Frame> {
        let refusal = match self.refused.get(&frame.request) {
            Some(code) => Some(*code),
            None if self.mode == TargetMode::Draining => Some(Refusal::Draining),
            None if self.mode == TargetMode::Overloaded || self.running.len() >= self.slots => {
                Some(Refusal::Overloaded)
            }
            None => None,
        };
        if let Some(code) = refusal {
            return vec![self.refuse(&frame, code)];
        }
        self.accepted_work.push((now, frame.request));
        *self.runs.entry(frame.request).or_default() += 1;
        let factor = if self.mode == TargetMode::Slow { 10 } else { 1 };
        let done_at = now + Millis(self.processing_time_ms.0 * factor);
        self.running.push(RunningRequest {
            done_at,
            to: from,
            frame,
        });
        Vec::new()
    }

    // A request that is running or has run cannot be cancelled; its answer follows.
    fn on_cancel(&mut self, frame: Frame) -> Vec<Frame> {
        if self.runs.contains_key(&frame.request) {
            return Vec::new();
        }
        vec![self.refuse(&frame, Refusal::Cancelled)]
    }

    fn refuse(&mut self, frame: &Frame, code: Refusal) -> Frame {
        self.refused.insert(frame.request, code);
        self.reply(Frame::refusal_for(frame, code))
    }

    /// Returns the answers that are complete at `now`, with the instance to send each to.
    pub fn completed_answers(&mut self, now: Micros) -> Vec<(usize, Frame)> {
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running| running.done_at <= now);
        self.running = running;
        if self.mode == TargetMode::Dead {
            return Vec::new();
        }
        done.into_iter()
            .flat_map(|running: RunningRequest| self.answer(running))
            .collect()
    }

    /// Returns an unsolicited data frame for every open flow, as a feed sends quotes.
    pub fn push_frames(&self) -> Vec<(usize, Frame)> {
        if self.mode == TargetMode::Dead {
            return Vec::new();
        }
        let push = |(to, frame): &(usize, Frame)| {
            (
                *to,
                self.reply(Frame {
                    kind: Kind::Data.into(),
                    token: Vec::new(),
                    ..frame.clone()
                }),
            )
        };
        self.flows.values().map(push).collect()
    }

    fn answer(&self, running: RunningRequest) -> Vec<(usize, Frame)> {
        let part = |part: u32| Frame {
            kind: Kind::Answer.into(),
            part,
            last: part + 1 == ANSWER_PARTS,
            body: answer_part(running.frame.request, part),
            ..running.frame.clone()
        };
        (0..ANSWER_PARTS)
            .map(|number| (running.to, self.reply(part(number))))
            .collect()
    }

    fn reply(&self, frame: Frame) -> Frame {
        Frame {
            target: self.name.clone(),
            load: self.running.len() as u32 + 1,
            ..frame
        }
    }
}

/// Returns the content of one part of the answer to a request.
pub fn answer_part(request: u64, part: u32) -> Vec<u8> {
    format!("{request:x}/{part};").into_bytes()
}
