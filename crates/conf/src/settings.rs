//! Settings of the daemon.
//!
//! The table in [`crate::keys`] names every key; see
//! [the settings reference](../../../docs/settings.md).

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;

use ids::{Bytes, DomainName, GroupName, InstanceName, Millis, Permille, Rate, ServiceName};
use smol_str::SmolStr;

use crate::ListedInstance;

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Who this instance is.
    pub instance: InstanceSettings,
    /// Where it listens.
    pub listen: ListenAddresses,
    /// The configuration service.
    pub platform: PlatformSettings,
    /// Shared keys of the group.
    pub secret: SharedKeys,
    /// Bounds and time-outs.
    pub limits: Limits,
    /// Logging.
    pub log: LogSettings,
    /// Tracing.
    pub trace: TraceSettings,
}

/// Identity of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name, unique in the fleet.
    pub name: InstanceName,
    /// Failure domain in which it runs.
    pub domain: DomainName,
    /// Group that it belongs to.
    pub group: GroupName,
    /// Services whose parts of the document it holds; empty means all.
    pub services: Vec<ServiceName>,
    /// Peers to ask before the published list of instances could be read.
    pub seeds: Vec<ListedInstance>,
}

/// Listening addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenAddresses {
    /// UDP address for frames from callers and targets.
    pub caller: SocketAddr,
    /// UDP address for messages of peers.
    pub peer: SocketAddr,
    /// TCP address for gRPC between peers.
    pub grpc: SocketAddr,
    /// TCP address for metrics, health and status.
    pub http: SocketAddr,
}

/// The configuration service and the budget of calls to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// HTTP address.
    pub address: SocketAddr,
    /// Sustained rate of calls.
    pub calls_per_second: Rate,
    /// Calls that may be made at once.
    pub burst: u32,
}

/// Shared keys that authenticate peer messages and route tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedKeys {
    /// Key that signs.
    pub key: SharedKey,
    /// Second key that is accepted during a rotation.
    pub other_key: Option<SharedKey>,
}

/// A shared key; its text stays out of debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct SharedKey(SmolStr);

/// Bounds and time-outs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Shards; zero means one per core.
    pub shards: u32,
    /// Flows held by the instance.
    pub max_flows: u32,
    /// Bytes of answers held for resends.
    pub max_cached_answer_bytes: Bytes,
    /// Time after which an idle flow is forgotten.
    pub idle_timeout_ms: Millis,
    /// Time without a frame from the target after which a flow is silent.
    pub silence_timeout_ms: Millis,
    /// Greatest deadline of a request.
    pub max_deadline_ms: Millis,
    /// Greatest time of a graceful stop.
    pub stop_timeout_ms: Millis,
    /// Greatest gap between ticks over which the instance remains an owner.
    pub lease_ms: Millis,
    /// Wait after a view change before ids that moved are run.
    pub fence_ms: Millis,
    /// Silence after which a peer is suspect.
    pub suspect_after_ms: Millis,
    /// Silence after which a peer is out of the view.
    pub unreachable_after_ms: Millis,
    /// Time between heartbeats.
    pub heartbeat_interval_ms: Millis,
}

/// Logging.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: Level,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// A fault of the instance itself.
    Error,
    /// Something an operator should look at.
    Warning,
    /// Changes of state.
    Info,
    /// Details for a developer.
    Debug,
}

/// Tracing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceSettings {
    /// Share of requests and flows that are traced.
    pub sample: Permille,
    /// File that spans are appended to; none are written without it.
    pub file: Option<SmolStr>,
}

impl Settings {
    /// Reads settings and reports every problem; `file` only names the source in problems.
    pub fn parse(file: &str, text: &str) -> crate::Result<Self> {
        crate::settings_parser::parse(file, text)
    }

    /// Returns settings with the required values given and defaults for all others.
    pub fn new(instance: InstanceSettings, platform: SocketAddr, key: SharedKey) -> Self {
        Self {
            instance,
            listen: ListenAddresses::default(),
            platform: PlatformSettings {
                address: platform,
                ..PlatformSettings::default()
            },
            secret: SharedKeys {
                key,
                other_key: None,
            },
            limits: Limits::default(),
            log: LogSettings::default(),
            trace: TraceSettings::default(),
        }
    }
}

const fn any_address(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), port)
}

impl Default for ListenAddresses {
    fn default() -> Self {
        Self {
            caller: any_address(7400),
            peer: any_address(7401),
            grpc: any_address(7402),
            http: any_address(7403),
        }
    }
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: any_address(0),
            calls_per_second: Rate(2),
            burst: 10,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            shards: 0,
            max_flows: 500_000,
            max_cached_answer_bytes: Bytes(64 * 1024 * 1024),
            idle_timeout_ms: Millis(300_000),
            silence_timeout_ms: Millis(5_000),
            max_deadline_ms: Millis(25_000),
            stop_timeout_ms: Millis(30_000),
            lease_ms: Millis(1_000),
            fence_ms: Millis(1_500),
            suspect_after_ms: Millis(1_000),
            unreachable_after_ms: Millis(2_000),
            heartbeat_interval_ms: Millis(250),
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: Level::Info }
    }
}

impl Default for TraceSettings {
    fn default() -> Self {
        Self {
            sample: Permille(1),
            file: None,
        }
    }
}

impl SharedKey {
    /// Shortest key accepted; 16 bytes are the size of the authentication tag.
    pub const MIN_BYTES: usize = 16;
    /// Longest key accepted.
    pub const MAX_BYTES: usize = 256;

    /// Returns the key's text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(hidden)")
    }
}

impl FromStr for SharedKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let fits = (Self::MIN_BYTES..=Self::MAX_BYTES).contains(&text.len());
        if !fits || text.contains(char::is_whitespace) {
            return Err(Self::expected());
        }
        Ok(Self(SmolStr::new(text)))
    }
}

impl SharedKey {
    /// Describes the text form.
    pub(crate) fn expected() -> String {
        let (min, max) = (Self::MIN_BYTES, Self::MAX_BYTES);
        format!("a key of {min} to {max} bytes without blanks")
    }
}

impl Level {
    const NAMES: [(Level, &'static str); 4] = [
        (Level::Error, "error"),
        (Level::Warning, "warning"),
        (Level::Info, "info"),
        (Level::Debug, "debug"),
    ];
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = Self::NAMES.iter().find(|(level, _)| level == self);
        f.write_str(name.map_or("", |(_, name)| name))
    }
}

impl FromStr for Level {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let level = Self::NAMES.iter().find(|(_, name)| *name == text);
        level
            .map(|(level, _)| *level)
            .ok_or_else(|| "one of error, warning, info, debug".to_owned())
    }
}
