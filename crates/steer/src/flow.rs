//! The table of flows that pass through this instance.
//!
//! Forwarding does not need the table, since the token identifies the target. The table tracks
//! pending requests, the only source of a target's load and health on this instance.

use hashbrown::HashMap;
use ids::{Micros, Millis};

use crate::model::TargetId;
use crate::packet::{FlowId, Segment, is_after};

/// Minimum time after which a repeated packet counts as a retransmission. Callers wait 200 ms
/// before they retransmit; a packet that comes sooner was reordered.
const MIN_RETRANSMIT_DELAY: Millis = Millis(100);

/// Time after its first packet in which a caller may send copies of an opening packet. Callers give
/// up on a handshake after 1.4 s.
const OPENING_COPY_WINDOW: Millis = Millis(1_500);

/// Maximum number of targets that get the opening packet of one flow. If three targets do not
/// respond, the fault is probably on the caller's side.
pub const MAX_TRIED_TARGETS: usize = 3;

/// Size of the part of an opening packet that is kept for resending; opening packets carry no data.
pub const OPENING_PACKET_BYTES: usize = 32;

/// Targets that got the opening packet of a flow.
#[derive(Debug, Clone, Copy, Default)]
pub struct TriedTargets {
    ids: [TargetId; MAX_TRIED_TARGETS],
    count: usize,
}

impl TriedTargets {
    /// Returns the targets in the order in which they were tried.
    pub fn as_slice(&self) -> &[TargetId] {
        &self.ids[..self.count]
    }

    /// Adds a target. Returns `false` if the list is full.
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

/// Stage of a flow.
#[derive(Debug, Clone, Copy)]
pub enum Stage {
    /// No packet of the caller has shown yet that a target accepted the flow.
    Opening {
        /// Targets that got the opening packet.
        tried: TriedTargets,
        /// When the opening packet was sent to the last of them.
        sent_at: Micros,
        /// The packet, for resending.
        packet: [u8; OPENING_PACKET_BYTES],
    },
    /// A target accepted the flow.
    Established,
}

/// A flow.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    /// Stage of the flow.
    pub stage: Stage,
    /// The target to which the flow is attributed.
    pub target: TargetId,
    /// Whether the flow may be that of another target with the same token. It then says nothing about
    /// either of them.
    pub is_target_assumed: bool,
    /// When the last packet was received.
    pub last_packet_at: Micros,
    /// When the first packet was received.
    pub created_at: Micros,
    /// Initial sequence number of the caller, if this instance received the opening packet.
    pub initial_seq: Option<u32>,
    /// Sequence number after the last data byte that the caller has sent.
    pub sent_until: u32,
    /// When new data was last received.
    pub last_data_at: Micros,
    /// Sequence number up to which the caller has received data.
    pub received_until: u32,
    /// When the oldest unanswered request was sent, or when the flow was opened to send one.
    pub request_sent_at: Option<Micros>,
    /// Whether that request was actually sent.
    pub has_sent_request: bool,
    /// Whether this request was already reported as unanswered.
    pub is_reported_unanswered: bool,
    /// Pending requests of the target when this request was sent, including this one.
    pub queue_length: u32,
    /// Time from `created_at` to the end of the last period that was added to the demand of the route.
    pub measured_ms: u32,
    /// Time for which requests were pending since then.
    pub pending_ms: u16,
    /// Time of the handshake, which is that of the way alone, or 0 if it is not known.
    pub handshake_ms: u8,
    /// Weight with which the flow counts in the demand on its target, in thousandths, or `None` if the
    /// demand of its route was unknown.
    pub weight_milli: Option<u8>,
    /// Start of the target in whose demand the flow counts.
    pub target_start: u8,
}

/// What a packet showed about its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Nothing new.
    None,
    /// The caller sent a request.
    RequestSent,
    /// The caller received a response, which answers the pending request, if any.
    Responded {
        /// Response time, if a request was pending.
        response_time: Option<Millis>,
    },
    /// The caller retransmitted its request.
    Retransmitted {
        /// When the request was first sent.
        request_sent_at: Micros,
    },
}

impl Flow {
    /// Creates a flow whose opening packet was sent to a target.
    pub fn opening(now: Micros, target: TargetId, segment: &Segment, packet: &[u8]) -> Self {
        let mut tried = TriedTargets::default();
        tried.push(target);
        let mut saved_packet = [0; OPENING_PACKET_BYTES];
        let length = packet.len().min(OPENING_PACKET_BYTES);
        saved_packet[..length].copy_from_slice(&packet[..length]);
        Self {
            stage: Stage::Opening {
                tried,
                sent_at: now,
                packet: saved_packet,
            },
            initial_seq: Some(segment.seq),
            request_sent_at: Some(now),
            ..Self::established(now, target, segment)
        }
    }

    /// Creates an established flow from one of its packets.
    pub fn established(now: Micros, target: TargetId, segment: &Segment) -> Self {
        Self {
            stage: Stage::Established,
            target,
            is_target_assumed: false,
            last_packet_at: now,
            created_at: now,
            initial_seq: None,
            sent_until: segment.seq,
            last_data_at: now,
            received_until: segment.ack,
            request_sent_at: None,
            has_sent_request: false,
            is_reported_unanswered: false,
            queue_length: 1,
            measured_ms: 0,
            pending_ms: 0,
            handshake_ms: 0,
            weight_milli: Some(0),
            target_start: 0,
        }
    }

    /// Returns whether an opening packet is a copy of the one that opened this flow. Otherwise the
    /// caller has closed the flow and uses its port for a new one.
    pub fn is_opened_by(&self, now: Micros, segment: &Segment) -> bool {
        match self.initial_seq {
            Some(initial_seq) => initial_seq == segment.seq,
            None => now.since(self.created_at) <= OPENING_COPY_WINDOW,
        }
    }

    /// Returns the time that was not added to the demand of the route yet.
    pub(crate) fn unmeasured(&self, now: Micros) -> Millis {
        let age = now.since(self.created_at);
        Millis(age.0.saturating_sub(u64::from(self.measured_ms)))
    }

    /// Processes a packet of an established flow.
    pub fn on_packet(&mut self, now: Micros, segment: &Segment) -> Progress {
        self.last_packet_at = now;
        let mut progress = Progress::None;
        if is_after(segment.ack, self.received_until) {
            self.received_until = segment.ack;
            self.is_reported_unanswered = false;
            self.has_sent_request = false;
            progress = Progress::Responded {
                response_time: self
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
        let is_retransmission = now.since(self.last_data_at) >= MIN_RETRANSMIT_DELAY;
        if let (Some(request_sent_at), Progress::None, true) =
            (self.request_sent_at, progress, is_retransmission)
        {
            progress = Progress::Retransmitted { request_sent_at };
        }
        progress
    }
}

/// The flows of an instance, up to a maximum number.
#[derive(Debug)]
pub struct FlowTable {
    flows: HashMap<FlowId, Flow>,
    max_flows: usize,
}

impl FlowTable {
    /// Creates an empty table.
    pub fn new(max_flows: usize) -> Self {
        Self {
            flows: HashMap::new(),
            max_flows,
        }
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns a flow.
    pub fn get(&self, id: &FlowId) -> Option<&Flow> {
        self.flows.get(id)
    }

    /// Returns a mutable flow.
    pub fn get_mut(&mut self, id: &FlowId) -> Option<&mut Flow> {
        self.flows.get_mut(id)
    }

    /// Adds a flow unless the table is full. Returns whether it was added; packets are forwarded
    /// even without an entry.
    pub fn insert(&mut self, id: FlowId, flow: Flow) -> bool {
        if self.flows.len() >= self.max_flows {
            return false;
        }
        self.flows.insert(id, flow);
        true
    }

    /// Removes a flow.
    pub fn remove(&mut self, id: &FlowId) -> Option<Flow> {
        self.flows.remove(id)
    }

    /// Removes all flows for which `is_over` returns `true`.
    pub fn sweep(&mut self, mut is_over: impl FnMut(&FlowId, &mut Flow) -> bool) {
        self.flows.retain(|id, flow| !is_over(id, flow));
    }
}
