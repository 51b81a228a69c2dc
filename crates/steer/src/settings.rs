//! Limits and timeouts of the steering core.

use ids::Millis;
use smol_str::SmolStr;

/// Settings of [`crate::Steer`]. The defaults suit networks with latencies of a few milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Failure domain of the instance.
    pub domain: SmolStr,
    /// Maximum number of flows in the table; an entry takes about 150 bytes.
    pub max_flows: usize,
    /// Minimum handshake timeout, after which an opening packet goes to another target. It has to
    /// exceed the round trip from the caller through the balancer and the target.
    pub min_handshake_timeout: Millis,
    /// Maximum handshake timeout; callers retransmit by themselves after it.
    pub max_handshake_timeout: Millis,
    /// Time for which a target with one unanswered packet gets no new flows. A single lost packet
    /// has the same effect.
    pub brief_avoidance: Millis,
    /// Time for which a target with several unanswered packets gets no new flows. The report of a
    /// dead target expires after three missed updates, which takes about as long.
    pub long_avoidance: Millis,
    /// Grace period for a target whose report disappeared without a drain. Reports that were lost
    /// in a failure of the store are back by then.
    pub lapse_grace: Millis,
    /// Number of requests per slot above which a target counts as busy. Another failure domain then
    /// responds sooner in spite of the longer path and the cost of its traffic.
    pub busy_requests_per_slot: f32,
    /// Time after which an unanswered request no longer counts as load.
    pub request_timeout: Millis,
    /// Maximum lifetime of a flow.
    pub max_flow_lifetime: Millis,
    /// Limit on the flows that open at a cold target, if there is one.
    pub cold_limit: Option<ColdLimit>,
}

/// Limit on the flows that open at a cold target within one second, over all instances: the cold rate
/// of its service times `over`, plus `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Factor on the cold rate.
    pub over: f32,
    /// Number of flows beyond it.
    pub slack: u32,
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
            cold_limit: None,
        }
    }
}
