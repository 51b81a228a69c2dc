//! The work of the two first users, see section 1 of [the design](../../../../docs/design.md).

use clap::ValueEnum;

/// A first user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum User {
    /// Feeds, lookups and uploads.
    Hunarmand,
    /// Price feed, orders and filings.
    Morava,
}

/// Flows that are held open for the whole run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowLoad {
    /// Service.
    pub service: &'static str,
    /// Class of work.
    pub class: &'static str,
    /// Flows held at once.
    pub count: usize,
    /// Time between two non-idempotent requests on a flow; `None` for a feed.
    pub request_interval_ms: Option<u64>,
}

/// Requests that belong to no flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestLoad {
    /// Service.
    pub service: &'static str,
    /// Class of work.
    pub class: &'static str,
    /// Requests a second.
    pub requests_per_second: u64,
    /// Whether running one twice does no harm.
    pub is_idempotent: bool,
}

/// The work of the callers of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workload {
    /// Flows.
    pub flows: Vec<FlowLoad>,
    /// Requests.
    pub requests: Vec<RequestLoad>,
}

impl Workload {
    /// Returns a user's work in one failure domain, scaled by `scale` thousandths.
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
