//! Limits and times of steering.

use ids::Millis;
use smol_str::SmolStr;

/// Settings of [`crate::Steer`]; the defaults suit links of milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Failure domain of the instance.
    pub domain: SmolStr,
    /// Flows held at most; an entry takes about 150 bytes.
    pub max_flows: usize,
    /// Shortest time without a handshake before an opening packet goes to another target. It has
    /// to exceed a round trip from the caller over the target.
    pub min_handshake_timeout: Millis,
    /// Longest such time; callers resend on their own after it.
    pub max_handshake_timeout: Millis,
    /// Time for which a target with one unanswered packet gets no new flows; one lost packet
    /// looks the same.
    pub brief_avoidance: Millis,
    /// Time for which a target with several unanswered packets gets no new flows. Reports of a
    /// target that died disappear after three missed ones, which takes about as long.
    pub long_avoidance: Millis,
    /// Time for which a target whose report disappeared without a drain stays in use. Reports
    /// that were lost with the store's own failure are back by then.
    pub lapse_grace: Millis,
    /// Requests per slot above which a target counts as busy, so that another failure domain
    /// serves sooner despite the longer way, whose bytes cost.
    pub busy_requests_per_slot: f32,
    /// Time after which an unanswered request no longer counts as load.
    pub request_timeout: Millis,
    /// Longest life of a flow.
    pub max_flow_lifetime: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            domain: SmolStr::default(),
            max_flows: 100_000,
            min_handshake_timeout: Millis(40),
            max_handshake_timeout: Millis(150),
            brief_avoidance: Millis(500),
            long_avoidance: Millis(4_000),
            lapse_grace: Millis(2_000),
            busy_requests_per_slot: 3.0,
            request_timeout: Millis(2_000),
            max_flow_lifetime: Millis(60_000),
        }
    }
}
