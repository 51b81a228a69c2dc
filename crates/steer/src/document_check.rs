//! Examines a configuration before it is published.
//!
//! An instance takes every configuration that it can decode, so contradictions in one become
//! visible only through refused flows. The rules here find them beforehand. They have no I/O and do
//! not know how the configuration is written: [`Place`] says where a finding is in terms of this
//! project, and the decoder of the platform names the place for display.

use std::fmt;

use displaydoc::Display;
use ids::Millis;
use smol_str::SmolStr;

use crate::model::Route;

mod difference;
mod rules;

pub use difference::{compare, compare_versions};
pub use rules::check;

/// A configuration with the names and the distinctions that instances do not need.
#[derive(Debug, Clone, PartialEq)]
pub struct Draft {
    /// Version, which only increases.
    pub version: u64,
    /// Time without packets after which a flow may expire.
    pub idle: Millis,
    /// All routes in their order.
    pub routes: Vec<DraftRoute>,
    /// All services in their order.
    pub services: Vec<DraftService>,
}

/// A route of a [`Draft`].
#[derive(Debug, Clone, PartialEq)]
pub struct DraftRoute {
    /// Name of the route, which instances do not use.
    pub name: SmolStr,
    /// The route as instances use it.
    pub route: Route,
    /// Whether the shares are written as a list, rather than as one service.
    pub is_split: bool,
    /// Whether the time-out is written. An unwritten one is 0 in `route` and means none.
    pub has_timeout: bool,
}

/// A service of a [`Draft`]. Negative values, which instances count as zero, are kept.
#[derive(Debug, Clone, PartialEq)]
pub struct DraftService {
    /// Name of the service.
    pub name: SmolStr,
    /// Time for which a target is cold after its start; 0 if it is not written.
    pub warmup_ms: i64,
    /// Requests per second that a cold target can process, in thousandths.
    pub cold_rate_milli: Option<i64>,
}

/// A field of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// Version of the configuration.
    Version,
    /// Time without packets after which a flow may expire.
    Idle,
    /// Name of a route.
    RouteName,
    /// Address to which callers of a route send.
    Host,
    /// Port to which callers of a route send.
    Port,
    /// The only service of a route.
    RouteService,
    /// The shares of a route.
    Split,
    /// Whether requests of a route may be repeated.
    Repeat,
    /// Urgency of a route.
    Priority,
    /// Time after which callers of a route give up.
    Timeout,
    /// Time within which callers of a route want a response.
    LatencyGoal,
    /// Service of a share.
    ShareService,
    /// Weight of a share.
    ShareWeight,
    /// Name of a service.
    ServiceName,
    /// Time for which a target of a service is cold.
    Warmup,
    /// Requests per second that a cold target of a service can process.
    ColdRate,
}

/// Where in a configuration a finding is. Positions count from 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// A field of the whole configuration.
    Document(Field),
    /// A route, or a field of it.
    Route {
        /// Position of the route.
        index: usize,
        /// Name of the route.
        name: SmolStr,
        /// The field, if the finding is about one.
        field: Option<Field>,
    },
    /// A field of a share of a route.
    Share {
        /// Position of the route.
        index: usize,
        /// Name of the route.
        name: SmolStr,
        /// Position of the share in the route.
        share: usize,
        /// The field.
        field: Field,
    },
    /// A service, or a field of it.
    Service {
        /// Position of the service.
        index: usize,
        /// Name of the service.
        name: SmolStr,
        /// The field, if the finding is about one.
        field: Option<Field>,
    },
}

/// How much a finding matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Severity {
    /// error
    Error,
    /// warning
    Warning,
    /// change
    Change,
}

/// A cold rate for display, in thousandths of requests per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdRate(pub i64);

impl fmt::Display for ColdRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} a second", self.0 as f64 / 1_000.0)
    }
}

/// What is found.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// a version of 0 is not greater than any other
    VersionZero,
    /// the idle time-out is 0
    IdleZero,
    /// the idle time-out {idle} is shorter than the time-out {timeout} of route {route}; routes with a longer time-out: {count}
    IdleBelowTimeout {
        /// Idle time-out.
        idle: Millis,
        /// Longest time-out of a route.
        timeout: Millis,
        /// Name of the route with this time-out.
        route: SmolStr,
        /// Number of routes whose time-out is longer than the idle time-out.
        count: usize,
    },
    /// route {0} has the same host and port; only the last of them matches
    DuplicateEntry(SmolStr),
    /// port 0 cannot be called
    PortZero,
    /// the route has no service
    NoService,
    /// all weights are 0
    AllWeightsZero,
    /// the weight is 0, so the service gets no flows
    WeightZero,
    /// there is no service {0}
    UnknownService(SmolStr),
    /// the time-out is 0
    TimeoutZero,
    /// the latency goal {goal} is longer than the time-out {timeout}
    GoalPastTimeout {
        /// Latency goal of the route.
        goal: Millis,
        /// Time-out of the route.
        timeout: Millis,
    },
    /// an earlier service has the same name
    DuplicateService,
    /// no route uses the service
    UnusedService,
    /// the value is negative
    Negative,
    /// there is a warm-up but no cold rate
    NoColdRate,
    /// one instance may open 1 flow a second at a cold target, more than the cold rate of {0}
    ColdRateBelowShare(ColdRate),
    /// version {new} is not greater than {old}, so instances ignore the configuration
    VersionNotGreater {
        /// Version in force.
        old: u64,
        /// Version of the new configuration.
        new: u64,
    },
    /// added
    Added,
    /// removed
    Removed,
    /// {0} is no longer served: new flows are refused, open ones keep their target
    EntryRemoved(std::net::SocketAddrV4),
    /// was {old}, is {new}
    Changed {
        /// Value in force.
        old: String,
        /// Value of the new configuration.
        new: String,
    },
}

impl Problem {
    /// Returns how much the problem matters.
    pub fn severity(&self) -> Severity {
        match self {
            Self::WeightZero
            | Self::UnusedService
            | Self::ColdRateBelowShare(_)
            | Self::EntryRemoved(_) => Severity::Warning,
            Self::Added | Self::Removed | Self::Changed { .. } => Severity::Change,
            _ => Severity::Error,
        }
    }
}

/// Which of two compared configurations has the place of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The configuration in force.
    Old,
    /// The configuration to be published.
    New,
}

/// A problem and its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The configuration that has the place.
    pub side: Side,
    /// Where it is.
    pub place: Place,
    /// What it is.
    pub problem: Problem,
}

impl Finding {
    fn new(place: Place, problem: Problem) -> Self {
        Self {
            side: Side::New,
            place,
            problem,
        }
    }
}

/// Returns the place of a route, or of a field of it.
fn route_place(index: usize, route: &DraftRoute, field: Option<Field>) -> Place {
    Place::Route {
        index,
        name: route.name.clone(),
        field,
    }
}

/// Returns the place of a service, or of a field of it.
fn service_place(index: usize, service: &DraftService, field: Option<Field>) -> Place {
    Place::Service {
        index,
        name: service.name.clone(),
        field,
    }
}
