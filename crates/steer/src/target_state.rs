//! The state of a target: whether it accepts new flows.

const CHART: &str = include_str!("../charts/standing.ini");

/// State chart from `charts/standing.ini`.
pub(crate) type Chart = chart::Chart<TargetState, TargetEvent>;

/// Parses the state chart.
pub(crate) fn chart() -> chart::Result<Chart> {
    Chart::parse("charts/standing.ini", CHART)
}

chart::labels! {
    /// States of `charts/standing.ini`.
    pub enum TargetState {
        /// No report was read yet.
        New = "new",
        /// Accepts new flows.
        Serving = "serving",
        /// Keeps its flows but accepts no new ones.
        Draining = "draining",
        /// The report disappeared without a drain; the target stays in use for a grace period.
        Lapsed = "lapsed",
        /// Gone; kept so that packets of its flows can be told from forged ones.
        Gone = "gone",
    }
}

chart::labels! {
    /// Events of `charts/standing.ini`.
    pub(crate) enum TargetEvent {
        /// The target reports that it is ready.
        Ready = "ready",
        /// The target reports that it is draining.
        Drain = "drain",
        /// The report cannot be decoded and has no usable address.
        Unreadable = "unreadable",
        /// The report was removed.
        Removed = "removed",
        /// The report did not return within the grace period.
        Expired = "expired",
    }
}
