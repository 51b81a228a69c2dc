//! The record that the owner of a request keeps, and the chart of its states.

use std::sync::LazyLock;

use chart::{Chart, labels};
use ids::{ClassName, MemberName, Micros, ServiceName};
use wire::frame::Frame;
use wire::token::TargetId;

use crate::admission::QueueKey;
use crate::answer::AnswerParts;

labels! {
    /// State of a request at its owner; `charts/request.ini` says which changes exist.
    pub enum RequestState {
        /// Not sent, or proven not run.
        Waiting = "waiting",
        /// Sent to a target that has not answered.
        Running = "running",
        /// A cancel was sent to the target.
        Cancelling = "cancelling",
        /// Parts of the answer have come.
        Answering = "answering",
        /// The whole answer has come.
        Answered = "answered",
        /// It ran, but its answer is not held.
        AnswerGone = "gone",
        /// Nobody can know whether it ran.
        OutcomeUnknown = "unknown",
        /// Refused as not run.
        Refused = "refused",
    }
}

labels! {
    /// What changes the state of a request.
    pub enum RequestEvent {
        /// Sent to a target.
        Dispatch = "dispatch",
        /// A target proved that it did not run it.
        NotRun = "not-run",
        /// An idempotent request is sent to a further target.
        Hedge = "rerun",
        /// Refused to the caller as not run.
        Refuse = "refuse",
        /// A part of the answer came.
        Part = "part",
        /// The last missing part of the answer came.
        Complete = "whole",
        /// A cancel was sent to the target.
        Cancel = "cancel",
        /// Nothing will be learned of the outcome in time.
        GiveUp = "lose",
        /// The answer was dropped to bound memory.
        Evict = "evict",
    }
}

/// The chart is part of the build, and a test reads it, so `None` never occurs in a release.
static CHART: LazyLock<Option<Chart<RequestState, RequestEvent>>> =
    LazyLock::new(|| Chart::parse("request.ini", include_str!("../charts/request.ini")).ok());

/// Returns the state after an event; a state that does not react to it stays.
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
    /// When it was sent.
    pub started_at: Micros,
    /// Whether it still counts as in flight on the target.
    pub holds_slot: bool,
    /// Attempt of the caller that the run answers.
    pub attempt: u32,
    /// Number that no other run of any instance has, for the parts of its answer.
    pub number: u64,
}

/// What the owner knows of one request.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    /// Newest frame of the caller; its body is dropped when no run can start any more.
    pub frame: Frame,
    /// Service, parsed from the frame.
    pub service: ServiceName,
    /// Class, parsed from the frame.
    pub class: ClassName,
    /// Member, parsed from the frame.
    pub member: MemberName,
    /// State.
    pub state: RequestState,
    /// When the first frame came.
    pub received_at: Micros,
    /// When the caller gives up.
    pub deadline: Micros,
    /// Target of the request's flow.
    pub pinned: Option<TargetId>,
    /// Runs that may still answer; at most one per target, since a target does not tell runs apart.
    pub runs: Vec<Run>,
    /// Targets that refused it; by contract they never run this id.
    pub refused_by: Vec<TargetId>,
    /// Run whose answer was chosen with the first part that was passed on.
    pub answering_target: Option<TargetId>,
    /// Parts of the chosen answer.
    pub answer: AnswerParts,
    /// Next time at which something is due.
    pub due: Micros,
    /// Whether the caller asked to cancel.
    pub is_cancel_requested: bool,
    /// Whether it was sent to a target before, so that the next dispatch is a retry.
    pub was_dispatched: bool,
    /// Hops that the newest frame had made.
    pub hops: u32,
}

impl RequestRecord {
    /// Returns where the request waits.
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

    /// Tells whether the frame comes from the caller of this request. The flow may differ: a caller whose
    /// flow was lost sends again under a new one.
    pub fn is_of_same_caller(&self, frame: &Frame) -> bool {
        self.frame.service == frame.service && self.frame.member == frame.member
    }

    /// Returns the frame to send to a target at `now`, with the time left.
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
