//! The states of a flow, interpreted from `charts/flow.ini`.

use std::sync::LazyLock;

use chart::Chart;

chart::labels! {
    /// State of a flow in the table of one instance.
    pub enum FlowState {
        /// The table has no entry.
        Absent = "absent",
        /// Opened by the caller, not yet answered.
        Opening = "opening",
        /// Routed by the target sets alone.
        Guessed = "guessed",
        /// The guess was wrong; the owners know.
        Querying = "asking",
        /// The guess is tried a second time.
        Retrying = "confirming",
        /// The target is certain.
        Established = "established",
        /// Closed by either end.
        Closed = "closed",
        /// Its target is gone or silent.
        Lost = "lost",
    }
}

chart::labels! {
    /// What happens to a flow.
    pub enum FlowEvent {
        /// The caller opens it.
        Open = "open",
        /// A frame without token or record is routed by the target sets.
        Guess = "guess",
        /// A token or a record names the target.
        Learn = "learn",
        /// The target sent a frame of it.
        Answer = "answer",
        /// A target refused a frame that was routed by a guess.
        Misroute = "misroute",
        /// The target refused the flow.
        Refuse = "refuse",
        /// The target is silent.
        Timeout = "silence",
        /// Either end closes it.
        Close = "close",
    }
}

/// Text of the chart.
pub const FLOW_CHART: &str = include_str!("../charts/flow.ini");

static CHART: LazyLock<Option<Chart<FlowState, FlowEvent>>> =
    LazyLock::new(|| Chart::parse("flow.ini", FLOW_CHART).ok());

impl FlowState {
    /// Tells whether the target of the flow is not certain.
    pub fn is_uncertain(self) -> bool {
        matches!(self, Self::Guessed | Self::Querying | Self::Retrying)
    }

    /// Returns the state after an event; an event that the chart does not list changes nothing.
    pub fn after(self, event: FlowEvent) -> Self {
        CHART
            .as_ref()
            .and_then(|chart| chart.next(self, event))
            .unwrap_or(self)
    }
}
