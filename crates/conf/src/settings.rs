//! Settings of the daemon.
//!
//! All keys are listed in the table in [`crate::keys`]; see
//! [the settings reference](../../../docs/settings.md).

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;

use ids::{Bytes, DomainName, GroupName, InstanceName, Millis, Permille, Rate, ServiceName};
use smol_str::SmolStr;

use crate::ListedInstance;

/// Settings of a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Identity of the instance.
    pub instance: InstanceSettings,
    /// Listening addresses.
    pub listen: ListenAddresses,
    /// Access to the configuration service.
    pub platform: PlatformSettings,
    /// Shared keys of the group.
    pub secret: SharedKeys,
    /// Limits and timeouts.
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
    /// Failure domain in which the instance runs.
    pub domain: DomainName,
    /// Group to which the instance belongs.
    pub group: GroupName,
    /// Services whose parts of the document the instance holds; empty means all.
    pub services: Vec<ServiceName>,
    /// Peers to contact until the published list of instances has been read.
    pub seeds: Vec<ListedInstance>,
}

/// Listening addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenAddresses {
    /// UDP address for frames from callers and targets.
    pub caller: SocketAddr,
    /// UDP address for messages from peers.
    pub peer: SocketAddr,
    /// TCP address for gRPC between peers.
    pub grpc: SocketAddr,
    /// TCP address for metrics, health and status.
    pub http: SocketAddr,
}

/// Address of the configuration service and rate limit of calls to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// HTTP address.
    pub address: SocketAddr,
    /// Sustained rate of calls.
    pub calls_per_second: Rate,
    /// Maximum burst of calls.
    pub burst: u32,
}

/// Shared keys that authenticate peer messages and route tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedKeys {
    /// Key for signing, which is also accepted.
    pub key: SharedKey,
    /// Second key that is accepted during a key rotation.
    pub other_key: Option<SharedKey>,
}

/// A shared key, which is hidden in debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct SharedKey(SmolStr);

/// Limits and timeouts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Number of shards; zero means one per core.
    pub shards: u32,
    /// Maximum number of flows that the instance holds.
    pub max_flows: u32,
    /// Maximum size of the answers that are stored for retransmission.
    pub max_cached_answer_bytes: Bytes,
    /// Time without a packet after which a flow is removed.
    pub idle_timeout_ms: Millis,
    /// Time without a frame from the target after which a flow in use counts as silent.
    pub silence_timeout_ms: Millis,
    /// Maximum deadline of a request.
    pub max_deadline_ms: Millis,
    /// Maximum duration of a graceful stop.
    pub stop_timeout_ms: Millis,
    /// Maximum interval between ticks after which the instance still acts as an owner.
    pub lease_ms: Millis,
    /// Wait after a view change before ids that moved to this instance are processed.
    pub fence_ms: Millis,
    /// Time without contact after which a peer is suspect.
    pub suspect_after_ms: Millis,
    /// Time without contact after which a peer is removed from the view.
    pub unreachable_after_ms: Millis,
    /// Interval between heartbeats.
    pub heartbeat_interval_ms: Millis,
}

/// Logging.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Minimum severity of log messages.
    pub level: Level,
}

/// Severity of a log message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// A failure of the instance itself.
    Error,
    /// A condition that needs the attention of an operator.
    Warning,
    /// Changes of state.
    Info,
    /// Details for debugging.
    Debug,
}

/// Tracing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceSettings {
    /// Share of requests and flows that are traced.
    pub sample: Permille,
    /// File to which spans are appended; without it, no spans are written.
    pub file: Option<SmolStr>,
}

impl Settings {
    /// Parses settings and reports all problems; `file` is the file name shown in them.
    pub fn parse(file: &str, text: &str) -> crate::Result<Self> {
        crate::settings_parser::parse(file, text)
    }

    /// Creates settings with the given required values and defaults for all others.
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
    /// Minimum length of a key, equal to the size of the authentication tag.
    pub const MIN_BYTES: usize = 16;
    /// Maximum length of a key.
    pub const MAX_BYTES: usize = 256;

    /// Returns the text of the key.
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
    /// Describes the expected format of a key.
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
