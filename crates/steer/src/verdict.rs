//! Decisions of the core, and notes about them for logs and metrics.

use std::net::SocketAddrV4;

use ids::Millis;
use smol_str::SmolStr;

use crate::admission::Refusal;
use crate::cold_start::ColdCounts;
use crate::evidence::{Evidence, Observation, UnansweredPacket};
use crate::flow::OPENING_PACKET_BYTES;
use crate::model::{RouteTerms, TargetId};
use crate::packet::{FlowId, Token};
use crate::view::ViewChange;

/// Destination of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Destination {
    /// The only target that may accept the packet.
    pub id: TargetId,
    /// Address of the target.
    pub address: SocketAddrV4,
}

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// There is no configuration or no target yet.
    NoView,
    /// The packet has no token.
    NoToken,
    /// No known target has the packet's token. It may belong to a target that is not in the view
    /// yet.
    UnknownToken,
    /// The caller closed a flow that no target had accepted.
    Unopened,
}

/// Why a flow was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// The active configuration has no such route.
    NoRoute,
    /// No target of the service accepts new flows.
    NoTarget,
    /// Every target that could take the flow is in an evacuated failure domain.
    DomainEvacuated,
    /// Only cold targets are left, and they get no more flows now.
    TargetsCold,
    /// No target can answer within the route's timeout.
    Deadline,
    /// More urgent requests need the room that the service has.
    NoRoom,
    /// Room is short and the caller's address has had more of it than others.
    CallerShare,
    /// The flow's target is gone.
    TargetGone,
    /// The flow's target does not respond to any caller.
    TargetSilent,
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward the packet, after writing the token into it if there is one.
    Forward {
        /// Destination of the packet.
        to: Destination,
        /// Token to write.
        token: Option<Token>,
    },
    /// Reset the flow.
    Reset(ResetReason),
    /// Drop the packet.
    Drop(DropReason),
}

/// An opening packet to be sent to another target.
#[derive(Debug, Clone, Copy)]
pub struct Resend {
    /// Destination of the packet.
    pub to: Destination,
    /// Token to write.
    pub token: Token,
    /// The packet.
    pub packet: [u8; OPENING_PACKET_BYTES],
}

/// A decision or observation to be logged and counted, with its reasons.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A target was chosen for a flow.
    Placed {
        /// The flow.
        flow: FlowId,
        /// The target.
        target: TargetId,
        /// Whether the target is in another failure domain.
        is_remote: bool,
        /// Number of requests on this instance's flows that are pending at the target.
        pending_requests: u32,
        /// Number of targets that got the opening packet before.
        tried: usize,
    },
    /// The target accepted the flow.
    Opened {
        /// The flow.
        flow: FlowId,
        /// The target.
        target: TargetId,
        /// Time since the first opening packet.
        handshake_time: Millis,
        /// Number of targets that got the opening packet.
        tried: usize,
    },
    /// A request was answered.
    Answered {
        /// Time from the request to the acknowledgement of its response.
        response_time: Millis,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: FlowId,
        /// The reason.
        reason: ResetReason,
        /// The token of the packet and the target to which it led, if the flow was open.
        attribution: Option<(Token, TargetId)>,
    },
    /// An unanswered opening packet was not sent to a further target, because targets turn requests
    /// away and the budget for it is used up.
    ResendWithheld {
        /// The flow.
        flow: FlowId,
        /// The target that did not answer.
        target: TargetId,
    },
    /// A new flow was reset because only cold targets are left.
    RefusedCold {
        /// The flow.
        flow: FlowId,
        /// Inputs of the decision.
        counts: ColdCounts,
    },
    /// A target that was silent responded. It may have started again, and counts as cold.
    AssumedCold {
        /// The target.
        target: TargetId,
        /// Time for which it counts as cold.
        warmup: Millis,
    },
    /// A new flow was refused for lack of room.
    Refused {
        /// The flow.
        flow: FlowId,
        /// Service of the flow.
        service: SmolStr,
        /// The reason.
        refusal: Refusal,
        /// What the caller expects.
        terms: RouteTerms,
        /// Expected time until the best target had answered.
        expected_time: Millis,
        /// Share of the less urgent openings of the service that is admitted.
        admitted_share: f32,
    },
    /// A packet was dropped.
    Dropped {
        /// The flow.
        flow: FlowId,
        /// The reason.
        reason: DropReason,
        /// Token of the packet.
        token: Token,
    },
    /// A packet to a target was not answered.
    Unanswered {
        /// The target.
        target: TargetId,
        /// Flow of the packet.
        flow: FlowId,
        /// Time since the packet was first sent.
        waited: Millis,
        /// Kind of the packet.
        packet: UnansweredPacket,
        /// Time since a caller last showed that it had received a response from the target.
        last_response_age: Millis,
        /// Number of unanswered packets since then.
        unanswered_count: u32,
    },
    /// A request was acknowledged but not answered for a long time.
    Stalled {
        /// The target.
        target: TargetId,
        /// The flow.
        flow: FlowId,
        /// Time since the request was sent.
        waited: Millis,
        /// Whether the target is avoided from now on and was not before.
        is_avoided: bool,
    },
    /// A peer reported an unanswered packet, but this instance has received a response from the
    /// target since.
    Contradicted {
        /// The target.
        target: TargetId,
        /// Time since that response.
        last_response_age: Millis,
    },
    /// An avoided target responded.
    TargetRecovered {
        /// The target.
        target: TargetId,
    },
    /// The share of a service's new flows that goes to other failure domains changed.
    SpillChanged {
        /// The service.
        service: SmolStr,
        /// The share in the last note.
        previous: f32,
        /// The share.
        share: f32,
        /// Requests pending in the own failure domain.
        own_pending: f32,
        /// Requests of the own domain's callers pending in other domains.
        spilled_pending: f32,
    },
    /// The view changed.
    ViewChanged(ViewChange),
}

impl Note {
    /// Returns the evidence to send to peers, if any.
    pub fn evidence(&self) -> Option<Evidence> {
        match self {
            Self::Unanswered {
                target,
                flow,
                packet,
                waited,
                ..
            } => Some(Evidence {
                target: *target,
                observation: Observation::Unanswered(*packet),
                age: *waited,
                caller: Some(*flow.caller.ip()),
            }),
            Self::Stalled {
                target,
                flow,
                waited,
                ..
            } => Some(Evidence {
                target: *target,
                observation: Observation::Stalled,
                age: *waited,
                caller: Some(*flow.caller.ip()),
            }),
            Self::Contradicted {
                target,
                last_response_age,
            } => Some(Evidence {
                target: *target,
                observation: Observation::Responded,
                age: *last_response_age,
                caller: None,
            }),
            _ => None,
        }
    }
}
