//! The standing of a target: whether it takes new flows.

const CHART: &str = include_str!("../charts/standing.ini");

/// The chart `charts/standing.ini`.
pub(crate) type Chart = chart::Chart<TargetState, TargetEvent>;

/// Reads the chart.
pub(crate) fn chart() -> chart::Result<Chart> {
    Chart::parse("charts/standing.ini", CHART)
}

chart::labels! {
    /// States of `charts/standing.ini`.
    pub enum TargetState {
        /// Not known yet.
        New = "new",
        /// Takes new flows.
        Serving = "serving",
        /// Keeps its flows and takes no new ones.
        Draining = "draining",
        /// Its report disappeared without a drain; counts as serving for a while.
        Lapsed = "lapsed",
        /// Gone; kept so that packets of its flows can be told from forged ones.
        Gone = "gone",
    }
}

chart::labels! {
    /// Events of `charts/standing.ini`.
    pub(crate) enum TargetEvent {
        /// It reports that it serves.
        Ready = "ready",
        /// It reports that it is about to leave.
        Drain = "drain",
        /// Its report cannot be read, and names no target to use.
        Unreadable = "unreadable",
        /// Its report is gone.
        Removed = "removed",
        /// Its report did not return in time.
        Expired = "expired",
    }
}
