//! What the core decides and what it tells of its decisions.

use std::net::SocketAddrV4;

use ids::Millis;

use crate::evidence::{Evidence, Observation, UnansweredPacket};
use crate::flow::OPENING_PACKET_BYTES;
use crate::model::TargetId;
use crate::packet::{FlowId, Token};
use crate::view::ViewChange;

/// Where a packet goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Destination {
    /// The only target that may take it.
    pub id: TargetId,
    /// Address of the target.
    pub address: SocketAddrV4,
}

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// There is no configuration or no target yet.
    NoView,
    /// The packet names no target.
    NoToken,
    /// No target has the packet's token; one that is learned soon may.
    UnknownToken,
    /// The caller ended a flow that no target opened.
    Unopened,
}

/// Why a flow was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// The configuration in force has no such route.
    NoRoute,
    /// No target of the service takes new flows.
    NoTarget,
    /// The flow's target has left.
    TargetGone,
    /// The flow's target does not answer anyone.
    TargetSilent,
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it on, with the token written into it when there is one.
    Forward {
        /// Where it goes.
        to: Destination,
        /// Token to write.
        token: Option<Token>,
    },
    /// Reset the flow.
    Reset(ResetReason),
    /// Do nothing.
    Drop(DropReason),
}

/// An opening packet to be sent to one more target.
#[derive(Debug, Clone, Copy)]
pub struct Resend {
    /// Where it goes.
    pub to: Destination,
    /// Token to write.
    pub token: Token,
    /// The packet.
    pub packet: [u8; OPENING_PACKET_BYTES],
}

/// A decision worth telling, with what decided it.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A flow got a target.
    Placed {
        /// The flow.
        flow: FlowId,
        /// The target.
        target: TargetId,
        /// Whether the target is in another failure domain.
        is_remote: bool,
        /// Requests that this instance's callers wait for there.
        waiting: u32,
        /// Targets that got the opening packet before.
        tried: usize,
    },
    /// A flow was opened by the target named.
    Opened {
        /// The flow.
        flow: FlowId,
        /// The target.
        target: TargetId,
        /// Time from the first opening packet.
        took: Millis,
        /// Targets that got the opening packet.
        tried: usize,
    },
    /// A request got its answer.
    Answered {
        /// Time from the request to the acknowledgement of its answer.
        took: Millis,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: FlowId,
        /// Why.
        reason: ResetReason,
    },
    /// A packet was dropped.
    Dropped {
        /// The flow.
        flow: FlowId,
        /// Why.
        reason: DropReason,
        /// Its token.
        token: Token,
    },
    /// A packet to a target had no answer.
    Unanswered {
        /// The target.
        target: TargetId,
        /// The flow that decided.
        flow: FlowId,
        /// Time since the packet was first sent.
        waited: Millis,
        /// What the packet asked for.
        asked: UnansweredPacket,
        /// Time since a caller last showed that it had heard from the target.
        heard_before: Millis,
        /// Packets without an answer since then.
        signs: u32,
    },
    /// A request was taken and has no answer for long.
    Stalled {
        /// The target.
        target: TargetId,
        /// The flow.
        flow: FlowId,
        /// Time since the request was sent.
        waited: Millis,
        /// Whether the target gets no new flows from now on.
        is_avoided: bool,
    },
    /// A peer missed an answer of a target that this instance has heard since.
    Contradicted {
        /// The target.
        target: TargetId,
        /// Time since this instance heard it.
        heard_before: Millis,
    },
    /// An avoided target answered.
    TargetRecovered {
        /// The target.
        target: TargetId,
    },
    /// The view changed.
    ViewChanged(ViewChange),
}

impl Note {
    /// Returns what peers should know of the decision.
    pub fn evidence(&self) -> Option<Evidence> {
        match self {
            Self::Unanswered {
                target,
                asked,
                waited,
                ..
            } => Some(Evidence {
                target: *target,
                observation: Observation::Unanswered(*asked),
                age: *waited,
            }),
            Self::Stalled { target, waited, .. } => Some(Evidence {
                target: *target,
                observation: Observation::Stalled,
                age: *waited,
            }),
            Self::Contradicted {
                target,
                heard_before,
            } => Some(Evidence {
                target: *target,
                observation: Observation::Responded,
                age: *heard_before,
            }),
            _ => None,
        }
    }
}
