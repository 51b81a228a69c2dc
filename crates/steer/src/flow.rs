//! The table of flows that this instance has seen.
//!
//! Forwarding needs none of it; the token names the target. The table tells what callers wait
//! for, which is the only sign of a target's load and health.

use hashbrown::HashMap;
use ids::{Micros, Millis};

use crate::model::TargetId;
use crate::packet::{FlowId, Segment, is_after};

/// Shortest pause before a packet counts as sent again. Callers wait 200 ms before they resend; a
/// packet that comes sooner was overtaken on its way.
const RESEND_PAUSE: Millis = Millis(100);

/// Targets that get the opening packet of one flow. When three of them do not answer, the fault is
/// more likely on the caller's side.
pub const MAX_TRIED: usize = 3;

/// Longest opening packet that is kept to be sent again; it carries no data.
pub const OPENING_BYTES: usize = 32;

/// Targets to which an opening packet went.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tried {
    ids: [TargetId; MAX_TRIED],
    count: usize,
}

impl Tried {
    /// Returns the targets, the first one first.
    pub fn as_slice(&self) -> &[TargetId] {
        &self.ids[..self.count]
    }

    /// Adds a target; returns false when there is no room.
    pub fn push(&mut self, id: TargetId) -> bool {
        let Some(place) = self.ids.get_mut(self.count) else {
            return false;
        };
        *place = id;
        self.count += 1;
        true
    }

    /// Returns the last target.
    pub fn last(&self) -> Option<TargetId> {
        self.as_slice().last().copied()
    }
}

/// How far a flow is.
#[derive(Debug, Clone, Copy)]
pub enum Stage {
    /// The caller has not shown yet that a target answered.
    Opening {
        /// Targets that got the opening packet.
        tried: Tried,
        /// When the last of them got it.
        sent_at: Micros,
        /// The packet, to be sent to another target.
        packet: [u8; OPENING_BYTES],
    },
    /// A target answered.
    Open,
}

/// One flow.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    /// How far it is.
    pub stage: Stage,
    /// The target on whose account it is.
    pub target: TargetId,
    /// When its last packet came.
    pub seen_at: Micros,
    /// When its first packet came.
    pub since: Micros,
    /// End of the data that the caller has sent.
    pub sent_end: u32,
    /// When new data last came.
    pub data_at: Micros,
    /// Position up to which the caller has received.
    pub received: u32,
    /// When the oldest request without an answer was sent, or when the flow was opened for one.
    pub asked_at: Option<Micros>,
    /// Whether that request was sent.
    pub has_asked: bool,
    /// Whether the target was held silent for this request already.
    pub is_missed: bool,
}

/// What a packet showed about a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Nothing new.
    None,
    /// The caller sends a request.
    Asked,
    /// The caller has heard from the target; the request that it waited for, if any, is answered.
    Heard {
        /// Time that the answer took, when a request was waited for.
        waited: Option<Millis>,
    },
    /// The caller sends again what it sent at the time given.
    Resent {
        /// When the request was first sent.
        asked_at: Micros,
    },
}

impl Flow {
    /// Creates an open flow from a packet of it.
    pub fn open(now: Micros, target: TargetId, segment: &Segment) -> Self {
        Self {
            stage: Stage::Open,
            target,
            seen_at: now,
            since: now,
            sent_end: segment.seq,
            data_at: now,
            received: segment.ack,
            asked_at: None,
            has_asked: false,
            is_missed: false,
        }
    }

    /// Takes a packet of an open flow.
    pub fn follow(&mut self, now: Micros, segment: &Segment) -> Progress {
        self.seen_at = now;
        let mut progress = Progress::None;
        if is_after(segment.ack, self.received) {
            self.received = segment.ack;
            self.is_missed = false;
            self.has_asked = false;
            progress = Progress::Heard {
                waited: self.asked_at.take().map(|asked_at| now.since(asked_at)),
            };
        }
        if segment.data_bytes == 0 {
            return progress;
        }
        if is_after(segment.end(), self.sent_end) {
            self.sent_end = segment.end();
            self.data_at = now;
            if self.asked_at.is_none() && progress == Progress::None {
                progress = Progress::Asked;
            }
            if !std::mem::replace(&mut self.has_asked, true) {
                self.asked_at = Some(now);
            }
            return progress;
        }
        let is_resent = now.since(self.data_at) >= RESEND_PAUSE;
        if let (Some(asked_at), Progress::None, true) = (self.asked_at, progress, is_resent) {
            progress = Progress::Resent { asked_at };
        }
        progress
    }
}

/// All flows of an instance, at most a fixed number.
#[derive(Debug)]
pub struct Flows {
    flows: HashMap<FlowId, Flow>,
    max: usize,
}

impl Flows {
    /// Creates an empty table.
    pub fn new(max: usize) -> Self {
        Self {
            flows: HashMap::new(),
            max,
        }
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Tells whether there is no flow.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns a flow.
    pub fn get(&self, id: &FlowId) -> Option<&Flow> {
        self.flows.get(id)
    }

    /// Returns a flow to change it.
    pub fn get_mut(&mut self, id: &FlowId) -> Option<&mut Flow> {
        self.flows.get_mut(id)
    }

    /// Adds a flow unless the table is full; forwarding goes on without the entry.
    pub fn insert(&mut self, id: FlowId, flow: Flow) -> bool {
        if self.flows.len() >= self.max {
            return false;
        }
        self.flows.insert(id, flow);
        true
    }

    /// Removes a flow.
    pub fn remove(&mut self, id: &FlowId) -> Option<Flow> {
        self.flows.remove(id)
    }

    /// Removes the flows for which `is_over` holds.
    pub fn sweep(&mut self, mut is_over: impl FnMut(&mut Flow) -> bool) {
        self.flows.retain(|_, flow| !is_over(flow));
    }
}
