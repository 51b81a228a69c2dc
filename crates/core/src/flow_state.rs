//! State machine of a flow, defined by the state chart in `charts/flow.ini`.

use std::sync::LazyLock;

use chart::Chart;

chart::labels! {
    /// State of a flow in the flow table of one instance.
    pub enum FlowState {
        /// The table has no entry.
        Absent = "absent",
        /// Opened by the caller, but not yet answered by the target.
        Opening = "opening",
        /// Routed by the target sets alone; the target is not confirmed.
        Guessed = "guessed",
        /// The guessed target refused the flow; its owners are queried.
        Querying = "asking",
        /// The guessed target is tried a second time.
        Retrying = "confirming",
        /// The target is confirmed.
        Established = "established",
        /// Closed by the caller or the target.
        Closed = "closed",
        /// The target is gone, silent, or refused the flow.
        Lost = "lost",
    }
}

chart::labels! {
    /// Event that may change the state of a flow.
    pub enum FlowEvent {
        /// The caller opens the flow.
        Open = "open",
        /// A frame without a token or record is routed by the target sets.
        Guess = "guess",
        /// A token or a record names the target.
        Learn = "learn",
        /// The target sent a frame of the flow.
        Answer = "answer",
        /// The guessed target does not know the flow.
        Misroute = "misroute",
        /// The target refused a frame of the flow.
        Refuse = "refuse",
        /// The target did not answer keep-alives in time.
        Timeout = "silence",
        /// The caller or the target closes the flow.
        Close = "close",
    }
}

/// Source of the state chart.
pub const FLOW_CHART: &str = include_str!("../charts/flow.ini");

static CHART: LazyLock<Option<Chart<FlowState, FlowEvent>>> =
    LazyLock::new(|| Chart::parse("flow.ini", FLOW_CHART).ok());

impl FlowState {
    /// Returns whether the target of the flow is only guessed.
    pub fn is_uncertain(self) -> bool {
        matches!(self, Self::Guessed | Self::Querying | Self::Retrying)
    }

    /// Returns the state after an event. Events without a transition leave the state unchanged.
    pub fn after(self, event: FlowEvent) -> Self {
        CHART
            .as_ref()
            .and_then(|chart| chart.next(self, event))
            .unwrap_or(self)
    }
}
