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
const MIN_RETRANSMIT_DELAY: Millis = Millis(100);

/// Targets that get the opening packet of one flow. When three of them do not answer, the fault is
/// more likely on the caller's side.
pub const MAX_TRIED_TARGETS: usize = 3;

/// Longest opening packet that is kept to be sent again; it carries no data.
pub const OPENING_PACKET_BYTES: usize = 32;

/// Targets to which an opening packet went.
#[derive(Debug, Clone, Copy, Default)]
pub struct TriedTargets {
    ids: [TargetId; MAX_TRIED_TARGETS],
    count: usize,
}

impl TriedTargets {
    /// Returns the targets, the first one first.
    pub fn as_slice(&self) -> &[TargetId] {
        &self.ids[..self.count]
    }

    /// Adds a target; returns false when there is no room.
    pub fn push(&mut self, id: TargetId) -> bool {
        let Some(slot) = self.ids.get_mut(self.count) else {
            return false;
        };
        *slot = id;
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
        tried: TriedTargets,
        /// When the last of them got it.
        sent_at: Micros,
        /// The packet, to be sent to another target.
        packet: [u8; OPENING_PACKET_BYTES],
    },
    /// A target answered.
    Established,
}

/// One flow.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    /// How far it is.
    pub stage: Stage,
    /// The target on whose account it is.
    pub target: TargetId,
    /// When its last packet came.
    pub last_packet_at: Micros,
    /// When its first packet came.
    pub created_at: Micros,
    /// End of the data that the caller has sent.
    pub sent_until: u32,
    /// When new data last came.
    pub last_data_at: Micros,
    /// Position up to which the caller has received_until.
    pub received_until: u32,
    /// When the oldest request without an answer was sent, or when the flow was opened for one.
    pub request_sent_at: Option<Micros>,
    /// Whether that request was sent.
    pub has_sent_request: bool,
    /// Whether the target was held silent for this request already.
    pub is_reported_unanswered: bool,
}

/// What a packet showed about a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Nothing new.
    None,
    /// The caller sends a request.
    RequestSent,
    /// The caller has heard from the target; the request that it waited for, if any, is answered.
    Responded {
        /// Time that the answer took, when a request was waited for.
        waited: Option<Millis>,
    },
    /// The caller sends again what it sent at the time given.
    Resent {
        /// When the request was first sent.
        request_sent_at: Micros,
    },
}

impl Flow {
    /// Creates an open flow from a packet of it.
    pub fn established(now: Micros, target: TargetId, segment: &Segment) -> Self {
        Self {
            stage: Stage::Established,
            target,
            last_packet_at: now,
            created_at: now,
            sent_until: segment.seq,
            last_data_at: now,
            received_until: segment.ack,
            request_sent_at: None,
            has_sent_request: false,
            is_reported_unanswered: false,
        }
    }

    /// Takes a packet of an open flow.
    pub fn on_packet(&mut self, now: Micros, segment: &Segment) -> Progress {
        self.last_packet_at = now;
        let mut progress = Progress::None;
        if is_after(segment.ack, self.received_until) {
            self.received_until = segment.ack;
            self.is_reported_unanswered = false;
            self.has_sent_request = false;
            progress = Progress::Responded {
                waited: self
                    .request_sent_at
                    .take()
                    .map(|request_sent_at| now.since(request_sent_at)),
            };
        }
        if segment.data_bytes == 0 {
            return progress;
        }
        if is_after(segment.end(), self.sent_until) {
            self.sent_until = segment.end();
            self.last_data_at = now;
            if self.request_sent_at.is_none() && progress == Progress::None {
                progress = Progress::RequestSent;
            }
            if !std::mem::replace(&mut self.has_sent_request, true) {
                self.request_sent_at = Some(now);
            }
            return progress;
        }
        let is_resent = now.since(self.last_data_at) >= MIN_RETRANSMIT_DELAY;
        if let (Some(request_sent_at), Progress::None, true) =
            (self.request_sent_at, progress, is_resent)
        {
            progress = Progress::Resent { request_sent_at };
        }
        progress
    }
}

/// All flows of an instance, at most a fixed number.
#[derive(Debug)]
pub struct FlowTable {
    flows: HashMap<FlowId, Flow>,
    max: usize,
}

impl FlowTable {
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
