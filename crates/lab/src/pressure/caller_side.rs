//! What callers do: ask, open flows, send copies, try again and give up.

use rand::Rng;
use steer::{PacketKind, Repeat};

use super::callers::{Answer, Flow, Outcome, Request, Stage};
use super::events::Event;
use super::model::Model;

/// Times after the first packet at which an unanswered packet is sent again; at the last one the
/// caller gives up.
const SILENCE_US: [u64; 3] = [200_000, 600_000, 1_400_000];
/// Attempts of a request, including two retries.
const ATTEMPTS: u32 = 3;
/// Bytes of a target's refusal.
const REFUSAL_BYTES: u32 = 150;
/// Data in a packet of a response.
const RESPONSE_PACKET_BYTES: u32 = 1_200;
/// Times of work are spread evenly over this range around the mean.
const WORK_SPREAD: std::ops::RangeInclusive<f64> = 0.5..=1.5;
const RESPONSE_BYTES: std::ops::RangeInclusive<u32> = 600..=4_000;
/// Pause before a retry.
const PAUSE_US: std::ops::RangeInclusive<u64> = 10_000..=100_000;

impl Model<'_> {
    /// Asks the next request of a stream.
    pub(super) fn ask(&mut self, index: usize) {
        let stream = &self.scenario.streams[index];
        let now = self.events.now();
        if now >= stream.until {
            return;
        }
        let point: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let pause_us = -point.ln() / stream.rate_per_s * 1e6;
        self.events.add_after(pause_us as u64, Event::Ask(index));
        let class = &self.scenario.classes[stream.class];
        let user = class.keeps_flows.then(|| self.idle_user(index));
        let asker = match user {
            Some(user) => self.users[index][user].clone(),
            None => self.new_user(stream),
        };
        let work_us = class.work_us as f64 * self.random.random_range(WORK_SPREAD);
        let request = self.requests.len();
        self.requests.push(Request {
            class: stream.class,
            domain: asker.domain,
            caller: asker.caller,
            stream: index,
            user,
            asked_at: now,
            work_us: work_us as u64,
            response_bytes: self.random.random_range(RESPONSE_BYTES),
            attempts: 0,
            is_refused: false,
            flow: None,
            outcome: None,
            ends: 0,
            took: ids::Millis(0),
        });
        let deadline = now + class.deadline;
        self.events.add(deadline, Event::Deadline(request));
        self.attempt(request);
    }

    /// Starts an attempt, on the user's open flow or on a new one.
    pub(super) fn attempt(&mut self, request: usize) {
        if self.requests[request].outcome.is_some() {
            return;
        }
        self.requests[request].attempts += 1;
        self.requests[request].is_refused = false;
        let open_flow = self.user_of(request).and_then(|user| user.flow);
        if let Some(flow) = open_flow {
            self.requests[request].flow = Some(flow);
            self.flows[flow].request = Some(request);
            self.send_request(flow);
            return;
        }
        let Request {
            domain,
            caller,
            class,
            ..
        } = self.requests[request];
        let port = &mut self.ports[domain][caller];
        *port = port.checked_add(1).unwrap_or(1_024);
        let mut new_flow = Flow::new(domain, caller, *port, class, self.random.random());
        new_flow.request = Some(request);
        let flow = self.flows.len();
        let opening = new_flow.opening(0);
        self.flows.push(new_flow);
        self.requests[request].flow = Some(flow);
        self.send(flow, opening);
        self.await_answer(flow);
    }

    fn send_request(&mut self, flow: usize) {
        let segment = self.flows[flow].next_request();
        self.send(flow, segment);
        self.await_answer(flow);
    }

    fn await_answer(&mut self, flow: usize) {
        let event = Event::Silence(flow, self.flows[flow].number, 0);
        self.events.add_after(SILENCE_US[0], event);
    }

    /// Sends a copy of an unanswered packet, or gives up after the last one.
    pub(super) fn on_silence(&mut self, index: usize, number: u32, copies: usize) {
        let flow = &self.flows[index];
        if flow.number != number || flow.is_acknowledged || flow.stage == Stage::Closed {
            return;
        }
        let is_opening = flow.stage == Stage::Opening;
        let Some(next_us) = SILENCE_US.get(copies + 1) else {
            self.close(index, PacketKind::Abort);
            self.fail_attempt(index, is_opening, false);
            return;
        };
        let segment = if is_opening {
            flow.opening(copies as u32 + 1)
        } else {
            flow.request_copy()
        };
        self.send(index, segment);
        let event = Event::Silence(index, number, copies + 1);
        let pause_us = next_us - SILENCE_US[copies];
        self.events.add_after(pause_us, event);
    }

    fn close(&mut self, index: usize, kind: PacketKind) {
        let flow = &mut self.flows[index];
        let segment = flow.bare(kind);
        flow.stage = Stage::Closed;
        self.send(index, segment);
    }

    pub(super) fn at_caller(&mut self, index: usize, answer: Answer) {
        let flow = &mut self.flows[index];
        if flow.stage == Stage::Closed {
            return;
        }
        match answer {
            Answer::Opened(target, incarnation, token) => {
                // Another target answered a copy of the opening packet before.
                if flow.stage != Stage::Opening {
                    return;
                }
                flow.stage = Stage::Open;
                flow.token = token;
                flow.target = Some((target, incarnation));
                self.send_request(index);
            }
            Answer::Acknowledged(number) => {
                flow.is_acknowledged |= number == flow.number;
            }
            Answer::Response(number) => {
                if number == flow.number {
                    self.on_response(index);
                }
            }
            Answer::Refusal => {
                let segment = flow.acknowledgement(REFUSAL_BYTES);
                self.send(index, segment);
                self.close(index, PacketKind::Finish);
                self.fail_attempt(index, true, true);
            }
            Answer::Reset { is_opening } => {
                flow.stage = Stage::Closed;
                self.fail_attempt(index, is_opening, is_opening);
            }
        }
    }

    fn on_response(&mut self, index: usize) {
        let flow = &mut self.flows[index];
        flow.is_acknowledged = true;
        let Some(request) = flow.request.take() else {
            return;
        };
        let mut left_bytes = self.requests[request].response_bytes;
        while left_bytes > 0 {
            let packet_bytes = left_bytes.min(RESPONSE_PACKET_BYTES);
            left_bytes -= packet_bytes;
            let segment = self.flows[index].acknowledgement(packet_bytes);
            self.send(index, segment);
        }
        match self.user_of(request) {
            Some(user) => user.flow = Some(index),
            None => self.close(index, PacketKind::Finish),
        }
        let Request {
            class, asked_at, ..
        } = self.requests[request];
        let goal = self.scenario.classes[class].goal;
        let outcome = if self.events.now() <= asked_at + goal {
            Outcome::InTime
        } else {
            Outcome::Late
        };
        self.end(request, outcome);
    }

    /// Tries a request again if it may be, or ends it.
    fn fail_attempt(&mut self, flow: usize, nothing_ran: bool, is_refused: bool) {
        let Some(index) = self.flows[flow].request.take() else {
            return;
        };
        if let Some(user) = self.user_of(index) {
            user.flow = None;
        }
        let request = &mut self.requests[index];
        request.flow = None;
        request.is_refused = is_refused;
        let may_repeat = self.scenario.classes[request.class].repeat == Repeat::Idempotent;
        if request.attempts < ATTEMPTS && (nothing_ran || may_repeat) {
            let pause_us = self.random.random_range(PAUSE_US);
            self.events.add_after(pause_us, Event::Retry(index));
            return;
        }
        self.end(index, failure(is_refused));
    }

    pub(super) fn on_deadline(&mut self, index: usize) {
        let request = &self.requests[index];
        if request.outcome.is_some() {
            return;
        }
        let outcome = failure(request.is_refused);
        if let Some(flow) = request.flow {
            self.flows[flow].request = None;
            self.close(flow, PacketKind::Abort);
        }
        if let Some(user) = self.user_of(index) {
            user.flow = None;
        }
        self.end(index, outcome);
    }

    fn end(&mut self, index: usize, outcome: Outcome) {
        if let Some(user) = self.user_of(index) {
            user.is_busy = false;
        }
        let now = self.events.now();
        let request = &mut self.requests[index];
        request.outcome = Some(outcome);
        request.ends += 1;
        request.took = now.since(request.asked_at);
    }
}

fn failure(is_refused: bool) -> Outcome {
    if is_refused {
        Outcome::Refused
    } else {
        Outcome::Failed
    }
}
