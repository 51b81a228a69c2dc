//! Simulated callers: feeds that must stay open and requests that must get correct outcomes.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use ids::{Micros, Millis};
use wire::frame::{Frame, Kind, Refusal};

use crate::target::{ANSWER_PARTS, answer_part};

const KEEP_ALIVE_INTERVAL_MS: Millis = Millis(200);
const RESEND_INTERVAL_MS: Millis = Millis(400);
const DEADLINE_MS: Millis = Millis(4_000);

/// Outcome of a request as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    Refused(Refusal),
}

/// One flow or request of one member.
#[derive(Debug)]
pub struct Caller {
    /// Address of the caller.
    pub address: SocketAddr,
    /// Failure domain of the caller.
    pub domain: String,
    /// Frame that the caller sends next.
    pub frame: Frame,
    /// Whether the caller sends and expects nothing more.
    pub is_done: bool,
    /// Target of an established flow.
    pub target: Option<String>,
    /// Why an established flow is broken, if it is.
    pub broken_reason: Option<String>,
    /// Outcome of a request, once known.
    pub outcome: Option<Outcome>,
    /// Descriptions of frames that belong to another caller or have the wrong content.
    pub unexpected_frames: Vec<String>,
    /// Time at which the caller started.
    pub started_at: Micros,
    /// Time of the last received frame.
    pub last_heard_at: Micros,
    last_sent_at: Option<Micros>,
    cancel_at: Option<Micros>,
    is_cancelled: bool,
    parts: BTreeMap<u32, Vec<u8>>,
    last_part: Option<u32>,
}

impl Caller {
    /// Creates a caller with a long-lived flow.
    pub fn feed(number: u16, now: Micros, domain: &str, service: &str, echo: bool) -> Self {
        let flow = request_id(number);
        let frame = Frame {
            flow,
            echo,
            ..frame(Kind::Open, domain, service, "feed", number)
        };
        Self::new(number, now, domain, frame)
    }

    /// Creates a caller with one request.
    pub fn request(number: u16, now: Micros, domain: &str, service: &str, class: &str) -> Self {
        let frame = Frame {
            request: request_id(number),
            idempotent: class == "lookup",
            deadline_ms: DEADLINE_MS.0 as u32,
            ..frame(Kind::Request, domain, service, class, number)
        };
        Self::new(number, now, domain, frame)
    }

    /// Makes the caller cancel its request after `wait_ms`.
    pub fn cancelled_after(self, wait_ms: Millis) -> Self {
        Self {
            cancel_at: Some(self.started_at + wait_ms),
            ..self
        }
    }

    fn new(number: u16, now: Micros, domain: &str, frame: Frame) -> Self {
        let [high, low] = number.to_be_bytes();
        Self {
            address: (Ipv4Addr::new(127, 2, high, low), 5_000).into(),
            domain: domain.to_owned(),
            frame,
            is_done: false,
            target: None,
            broken_reason: None,
            outcome: None,
            unexpected_frames: Vec::new(),
            started_at: now,
            last_heard_at: now,
            last_sent_at: None,
            cancel_at: None,
            is_cancelled: false,
            parts: BTreeMap::new(),
            last_part: None,
        }
    }

    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled
    }

    pub fn is_feed(&self) -> bool {
        self.frame.request == 0
    }

    /// Returns the frame to send at `now`, if any.
    pub fn next_frame(&mut self, now: Micros) -> Option<Frame> {
        if self.is_done {
            return None;
        }
        let interval = if self.target.is_some() {
            KEEP_ALIVE_INTERVAL_MS
        } else {
            RESEND_INTERVAL_MS
        };
        if self.last_sent_at.is_some() && self.cancel_at.is_some_and(|at| now >= at) {
            self.cancel_at = None;
            self.is_cancelled = true;
            return Some(Frame {
                kind: Kind::Cancel.into(),
                ..self.frame.clone()
            });
        }
        if self.last_sent_at.is_some_and(|sent| now < sent + interval) {
            return None;
        }
        if !self.is_feed() && now >= self.started_at + DEADLINE_MS {
            self.is_done = true;
            return None;
        }
        let mut frame = self.frame.clone();
        if !self.is_feed() {
            let elapsed_ms = now.since(self.started_at).0;
            frame.elapsed_ms = elapsed_ms as u32;
            frame.deadline_ms = (DEADLINE_MS.0 - elapsed_ms) as u32;
            self.frame.attempt += 1;
        }
        self.last_sent_at = Some(now);
        Some(frame)
    }

    /// Handles a frame that arrived at the caller's address.
    pub fn on_frame(&mut self, now: Micros, frame: &Frame) {
        if frame.flow != self.frame.flow || frame.request != self.frame.request {
            self.unexpected_frames
                .push(format!("frame of another flow or request: {frame:?}"));
            return;
        }
        self.last_heard_at = now;
        if !frame.token.is_empty() {
            self.frame.token = frame.token.clone();
        }
        match frame.kind() {
            Kind::Opened => self.on_opened(frame),
            Kind::Answer => self.on_answer(frame),
            Kind::Refuse => self.on_refuse(frame),
            _ => {}
        }
    }

    fn on_opened(&mut self, frame: &Frame) {
        if self
            .target
            .as_ref()
            .is_some_and(|target| *target != frame.target)
        {
            self.broken_reason = Some("opened on two targets".to_owned());
        }
        self.target = Some(frame.target.clone());
        self.frame.kind = Kind::Data.into();
    }

    fn on_answer(&mut self, frame: &Frame) {
        if frame.body != answer_part(frame.request, frame.part) {
            self.unexpected_frames
                .push(format!("part {} has the wrong content", frame.part));
        }
        self.parts.insert(frame.part, frame.body.clone());
        if frame.last {
            self.last_part = Some(frame.part);
        }
        let is_complete =
            self.last_part == Some(ANSWER_PARTS - 1) && self.parts.len() == ANSWER_PARTS as usize;
        if is_complete {
            self.finish(Outcome::Answered);
        }
    }

    fn on_refuse(&mut self, frame: &Frame) {
        if !self.is_feed() {
            self.finish(Outcome::Refused(frame.refusal()));
            return;
        }
        if self.target.is_some() {
            self.broken_reason = Some(format!("refused mid-flow: {:?}", frame.refusal()));
            self.is_done = true;
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        self.outcome.get_or_insert(outcome);
        self.is_done = true;
    }
}

fn frame(kind: Kind, domain: &str, service: &str, class: &str, number: u16) -> Frame {
    Frame {
        service: service.to_owned(),
        class: class.to_owned(),
        domain: domain.to_owned(),
        member: format!("m{}", number % 5),
        ..Frame::new(kind)
    }
}

/// Maps consecutive numbers to ids spread over the id space like random ones.
fn request_id(number: u16) -> u64 {
    ids::hash_pair(0x6361_6c6c_6572, u64::from(number)) | 1
}
