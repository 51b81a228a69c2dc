//! Events in the order of their time.

use std::collections::BTreeMap;

use ids::Micros;
use steer::{Evidence, RemoteLoad};

use super::callers::{Answer, CallerPacket};
use super::exchange::Report;
use super::targets::Job;

/// Something that happens at a time. The first index is that of the stream, request, flow,
/// instance, target, domain or fault that it concerns.
#[derive(Debug)]
pub enum Event {
    Ask(usize),
    Retry(usize),
    Deadline(usize),
    /// The packet of this number on a flow was not answered when this many copies had been sent.
    Silence(usize, u32, usize),
    AtInstance(usize, CallerPacket),
    AtTarget(usize, CallerPacket),
    AtCaller(usize, Answer),
    WorkDone(usize, Job),
    CoreTimer(usize),
    Sweep(usize),
    /// An instance reports its load, the report reaches the root of its domain, the root sends the
    /// sums of the domain, and they reach an instance.
    Report(usize),
    AtRoot(usize, Report),
    Sum(usize),
    Sums(usize, Report, Vec<RemoteLoad>),
    /// The root of the first domain asked an instance of the second one for a summary at a time, and
    /// the answer reaches the root.
    AskLoads(usize, usize, Micros),
    Summary(usize, Micros, Vec<RemoteLoad>),
    Evidence(usize, Evidence),
    Fault(usize),
    /// The store shows whether a target is there.
    Publish(usize),
    /// A bin of the capacity starts.
    Bin,
}

/// Events to come. Those of the same time happen in the order in which they were added.
#[derive(Debug, Default)]
pub struct Events {
    queue: BTreeMap<(Micros, u64), Event>,
    added: u64,
    now: Micros,
}

impl Events {
    pub fn now(&self) -> Micros {
        self.now
    }

    pub fn add(&mut self, at: Micros, event: Event) {
        self.added += 1;
        self.queue.insert((at.max(self.now), self.added), event);
    }

    pub fn add_after(&mut self, delay_us: u64, event: Event) {
        self.add(Micros(self.now.0 + delay_us), event);
    }

    /// Takes the next event until a time.
    pub fn next_until(&mut self, end: Micros) -> Option<Event> {
        let ((at, _), event) = self.queue.pop_first()?;
        self.now = at;
        (at <= end).then_some(event)
    }
}
