//! Workloads of the two first users, see section 1 of [the design](../../../../docs/design.md).

use clap::ValueEnum;

/// User whose workload can be generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum User {
    /// Feeds, lookups and uploads.
    Hunarmand,
    /// Price feed, orders and filings.
    Morava,
}

/// Flows that are kept open for the duration of the load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowLoad {
    /// Service.
    pub service: &'static str,
    /// Class of work.
    pub class: &'static str,
    /// Number of concurrent flows.
    pub count: usize,
    /// Interval between two non-idempotent requests on a flow; `None` for a feed.
    pub request_interval_ms: Option<u64>,
}

/// Requests that do not belong to a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestLoad {
    /// Service.
    pub service: &'static str,
    /// Class of work.
    pub class: &'static str,
    /// Mean number of requests per second.
    pub requests_per_second: u64,
    /// Whether a request may safely run more than once.
    pub is_idempotent: bool,
}

/// Load of the callers of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workload {
    /// Long-lived flows.
    pub flows: Vec<FlowLoad>,
    /// Requests without a flow.
    pub requests: Vec<RequestLoad>,
}

impl Workload {
    /// Returns the workload of a user in one failure domain, scaled by `scale_permille`.
    pub fn new(user: User, scale_permille: u64) -> Self {
        let scaled = |count: u64| (count * scale_permille / 1_000).max(1);
        let (first_service, second_service) = match user {
            User::Hunarmand => ("rates", "submissions"),
            User::Morava => ("trade", "warrants"),
        };
        let (request_class, flow_class, is_idempotent) = match user {
            User::Hunarmand => ("lookup", "upload", true),
            User::Morava => ("order", "filing", false),
        };
        Self {
            flows: vec![
                FlowLoad {
                    service: first_service,
                    class: "feed",
                    count: scaled(60) as usize,
                    request_interval_ms: None,
                },
                FlowLoad {
                    service: second_service,
                    class: flow_class,
                    count: scaled(4) as usize,
                    request_interval_ms: Some(150),
                },
            ],
            requests: vec![RequestLoad {
                service: first_service,
                class: request_class,
                requests_per_second: scaled(250),
                is_idempotent,
            }],
        }
    }
}
