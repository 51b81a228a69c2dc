//! Describes a run of the model: classes of requests, load, targets, instances and faults.

use std::net::{Ipv4Addr, SocketAddrV4};

use ids::{Micros, Millis};
use smol_str::SmolStr;
use steer::{Priority, Repeat, Settings};

/// Names of the two services.
pub const SERVICES: [&str; 2] = ["main", "bulk"];

/// Indices of the classes.
pub const SAFE: usize = 0;
/// The most urgent class, whose requests must not run twice.
pub const URGENT: usize = 1;
/// The class of the second service.
pub const BULK: usize = 2;

/// Mean time between two requests of a user who keeps a flow open.
const THINK_TIME_S: f64 = 2.0;

/// A class of requests, which has a route of its own.
#[derive(Debug, Clone)]
pub struct Class {
    /// Name in the results.
    pub name: SmolStr,
    /// Index of its service in [`SERVICES`].
    pub service: usize,
    /// Urgency in the configuration.
    pub priority: Priority,
    /// Whether a request may run twice.
    pub repeat: Repeat,
    /// Whether users send many requests on one flow.
    pub keeps_flows: bool,
    /// Time within which callers want a response.
    pub goal: Millis,
    /// Time after which a response is of no use.
    pub deadline: Millis,
    /// Credit of a response in time. A late one gets half of it.
    pub worth: f64,
    /// Mean time of work in a slot at speed 1.
    pub work_us: u64,
}

impl Class {
    /// Returns the address to which callers of the class of this index send.
    pub fn entry(index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1 + index as u8), 8443)
    }
}

/// Requests of one class that arrive independently of the responses.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Index of the class.
    pub class: usize,
    /// Mean number of requests a second.
    pub rate_per_s: f64,
    /// Time of the first request.
    pub from: Micros,
    /// Time of the last request.
    pub until: Micros,
    /// Only callers of this domain send.
    pub domain: Option<usize>,
    /// All requests come from one address.
    pub is_one_caller: bool,
    /// Number of users who keep a flow open.
    pub users: usize,
}

impl Stream {
    /// Creates a stream of the callers of all domains, with users who pause between requests.
    pub fn new(class: usize, rate_per_s: f64, from: Micros, until: Micros) -> Self {
        Self {
            class,
            rate_per_s,
            from,
            until,
            domain: None,
            is_one_caller: false,
            users: (rate_per_s * THINK_TIME_S).ceil() as usize,
        }
    }
}

/// A change in the middle of a run. Shares of targets are those of the first service.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// This share of the targets stops or starts to answer.
    Dead {
        /// Share of the targets.
        share: f64,
        /// Whether they stop.
        is_dead: bool,
    },
    /// This share of the targets works at another speed.
    Speed {
        /// Share of the targets.
        share: f64,
        /// Speed relative to the usual one.
        speed: f64,
    },
    /// This share of the instances is cut off from the exchange of loads.
    CutExchange {
        /// Share of the instances.
        share: f64,
    },
    /// This many instances stop, and their flows go to others.
    Leave {
        /// Number of instances.
        count: usize,
    },
    /// This many instances start.
    Join {
        /// Number of instances.
        count: usize,
    },
}

/// The exchange of load reports in a failure domain.
#[derive(Debug, Clone, Copy)]
pub struct Exchange {
    /// Time of a report to the root, and of the sums to an instance.
    pub delay: Millis,
    /// Share of the messages that are lost.
    pub loss: f64,
}

/// A run of the model.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name in the results.
    pub name: SmolStr,
    /// Time in which callers send new requests.
    pub duration: Micros,
    /// Share of the callers in each failure domain.
    pub domain_shares: Vec<f64>,
    /// Number of instances at the start.
    pub instances: usize,
    /// Relative shares of traffic inside a domain, repeated for all instances.
    pub instance_weights: Vec<f64>,
    /// Number of targets of each service.
    pub targets: [usize; 2],
    /// Speeds of the targets of each service, repeated inside each domain.
    pub speeds: [Vec<f64>; 2],
    /// Number of caller addresses in each domain.
    pub callers: usize,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Load.
    pub streams: Vec<Stream>,
    /// Changes, in any order. The model takes the capacity of a bin at its start, so they should
    /// happen at multiples of `best::BIN`.
    pub faults: Vec<(Micros, Fault)>,
    /// The exchange of loads.
    pub exchange: Exchange,
    /// A domain that is cut off from the others during the whole run.
    pub cut_domain: Option<usize>,
    /// Settings of the cores.
    pub settings: Settings,
}

/// Returns a time in seconds since the start of the run.
pub fn seconds(time_s: f64) -> Micros {
    Micros((time_s * 1e6) as u64)
}

impl Scenario {
    /// Creates a calm run at a fraction of the full size of 120 and 30 targets.
    pub fn calm(instances: usize, size: f64, duration: Micros) -> Self {
        let class = |name: &str, service, priority, work_us| Class {
            name: name.into(),
            service,
            priority: Priority(priority),
            repeat: Repeat::Idempotent,
            keeps_flows: false,
            goal: Millis(500),
            deadline: Millis(4_000),
            worth: 1.0,
            work_us,
        };
        let classes = vec![
            Class {
                keeps_flows: true,
                ..class("safe", 0, 2, 40_000)
            },
            Class {
                repeat: Repeat::Never,
                deadline: Millis(5_000),
                worth: 2.0,
                ..class("urgent", 0, 1, 52_000)
            },
            Class {
                goal: Millis(1_200),
                deadline: Millis(10_000),
                ..class("bulk", 1, 3, 5_000)
            },
        ];
        let stream = |class, rate_per_s| Stream::new(class, rate_per_s * size, Micros(0), duration);
        Self {
            name: "calm".into(),
            duration,
            domain_shares: vec![1.0; instances.min(3)],
            instances,
            instance_weights: vec![1.0],
            targets: [(120.0 * size) as usize, (30.0 * size) as usize],
            speeds: [vec![1.0], vec![1.0]],
            callers: ((100.0 * size) as usize).max(4),
            classes,
            streams: vec![
                stream(SAFE, 1_138.0),
                stream(URGENT, 325.0),
                stream(BULK, 97.0),
            ],
            faults: Vec::new(),
            exchange: Exchange {
                delay: Millis(2),
                loss: 0.0,
            },
            cut_domain: None,
            settings: Settings::default(),
        }
    }

    /// Returns when the last change and the last additional load ended.
    pub fn pressure_end(&self) -> Micros {
        let streams = self.streams.iter().map(|stream| stream.until);
        let times = streams.chain(self.faults.iter().map(|(at, _)| *at));
        let before_end = times.filter(|at| *at < self.duration);
        before_end.max().unwrap_or_default()
    }

    /// Multiplies the load of some classes during a time, by further users.
    pub fn multiply(&mut self, classes: &[usize], factor: f64, from_s: f64, until_s: f64) {
        let streams = self.streams.iter().filter(|stream| {
            stream.from == Micros(0) && stream.domain.is_none() && classes.contains(&stream.class)
        });
        let further: Vec<Stream> = streams
            .map(|stream| {
                let rate_per_s = stream.rate_per_s * (factor - 1.0);
                Stream::new(stream.class, rate_per_s, seconds(from_s), seconds(until_s))
            })
            .collect();
        self.streams.extend(further);
    }
}
