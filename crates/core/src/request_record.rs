//! The record that the owner of a request keeps, and its state machine.

use std::sync::LazyLock;

use chart::{Chart, labels};
use ids::{ClassName, MemberName, Micros, ServiceName};
use wire::frame::Frame;
use wire::token::TargetId;

use crate::admission::QueueKey;
use crate::answer::AnswerParts;

labels! {
    /// State of a request at its owner; `charts/request.ini` defines the transitions.
    pub enum RequestState {
        /// Not sent to a target, or proven not run.
        Waiting = "waiting",
        /// Sent to a target that has not answered.
        Running = "running",
        /// A cancel was sent to the target.
        Cancelling = "cancelling",
        /// Some parts of the answer have arrived.
        Answering = "answering",
        /// The complete answer has arrived.
        Answered = "answered",
        /// It ran, but its answer is not available.
        AnswerGone = "gone",
        /// It cannot be determined whether it ran.
        OutcomeUnknown = "unknown",
        /// Refused as not run.
        Refused = "refused",
    }
}

labels! {
    /// Event that changes the state of a request.
    pub enum RequestEvent {
        /// Sent to a target.
        Dispatch = "dispatch",
        /// A target proved that it did not run it.
        NotRun = "not-run",
        /// An idempotent request was sent to an additional target.
        Hedge = "rerun",
        /// Refused to the caller as not run.
        Refuse = "refuse",
        /// A part of the answer arrived.
        Part = "part",
        /// The last missing part of the answer arrived.
        Complete = "whole",
        /// A cancel was sent to the target.
        Cancel = "cancel",
        /// The outcome will not be known in time.
        GiveUp = "lose",
        /// The answer was dropped to bound memory.
        Evict = "evict",
    }
}

/// Transitions of [`RequestState`]. The chart is embedded in the binary and parsed by a test, so
/// `None` never occurs in a release.
static CHART: LazyLock<Option<Chart<RequestState, RequestEvent>>> =
    LazyLock::new(|| Chart::parse("request.ini", include_str!("../charts/request.ini")).ok());

/// Returns the state after an event; an event without a transition leaves the state unchanged.
pub(crate) fn next_state(state: RequestState, event: RequestEvent) -> RequestState {
    let chart = CHART.as_ref();
    chart
        .and_then(|chart| chart.next(state, event))
        .unwrap_or(state)
}

/// One run of a request on a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Run {
    /// Target that got the request.
    pub target: TargetId,
    /// Time at which the request was sent.
    pub started_at: Micros,
    /// Whether it still occupies a slot of the target.
    pub holds_slot: bool,
    /// Attempt of the caller that the run belongs to.
    pub attempt: u32,
    /// Number that is unique among the runs of all instances; it identifies the parts of an answer.
    pub number: u64,
}

/// What the owner knows about one request.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    /// Newest frame of the caller; its body is dropped once no further run can start.
    pub frame: Frame,
    /// Service, parsed from the frame.
    pub service: ServiceName,
    /// Class, parsed from the frame.
    pub class: ClassName,
    /// Member, parsed from the frame.
    pub member: MemberName,
    /// Current state.
    pub state: RequestState,
    /// Time at which the first frame arrived.
    pub received_at: Micros,
    /// Time at which the caller gives up.
    pub deadline: Micros,
    /// Target of the request's flow, the only one that may run it.
    pub pinned: Option<TargetId>,
    /// Runs that may still answer; at most one per target, as targets do not distinguish runs.
    pub runs: Vec<Run>,
    /// Targets that refused it; their contract forbids them to run this id later.
    pub refused_by: Vec<TargetId>,
    /// Target whose answer is passed on, set with the first part.
    pub answering_target: Option<TargetId>,
    /// Parts of the answer that is passed on.
    pub answer: AnswerParts,
    /// Expiry of the request's timer.
    pub due: Micros,
    /// Whether the caller has cancelled it.
    pub is_cancel_requested: bool,
    /// Whether it was sent to a target before, so that another dispatch counts as a retry.
    pub was_dispatched: bool,
    /// Number of hops of the newest frame.
    pub hops: u32,
}

impl RequestRecord {
    /// Returns the key of the queue in which the request waits.
    pub fn queue_key(&self) -> QueueKey {
        QueueKey {
            class: self.class.clone(),
            member: self.member.clone(),
        }
    }

    /// Returns the run on a target.
    pub fn run_on_mut(&mut self, target: TargetId) -> Option<&mut Run> {
        self.runs.iter_mut().find(|run| run.target == target)
    }

    /// Returns the targets that must not get the request again.
    pub fn excluded_targets(&self) -> Vec<TargetId> {
        let runs = self.runs.iter().map(|run| run.target);
        runs.chain(self.refused_by.iter().copied()).collect()
    }

    /// Returns whether a frame comes from the caller of this request.
    ///
    /// The flow may differ, because a caller whose flow was lost resends under a new one.
    pub fn is_of_same_caller(&self, frame: &Frame) -> bool {
        self.frame.service == frame.service && self.frame.member == frame.member
    }

    /// Returns the frame to send to a target at `now`, with the remaining time.
    pub fn frame_at(&self, now: Micros) -> Frame {
        let waited_ms = now.since(self.received_at).0 as u32;
        Frame {
            elapsed_ms: self.frame.elapsed_ms.saturating_add(waited_ms),
            deadline_ms: (self.deadline.since(now).0 as u32).max(1),
            token: Vec::new(),
            ..self.frame.clone()
        }
    }
}
