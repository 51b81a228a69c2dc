//! The published document as checked values.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ids::{
    ClassName, ContentHash, DomainName, Millis, Permille, PresetName, ServiceName, Slots,
    TargetName, Version, Weight,
};
use smol_str::SmolStr;

/// A document that passed every check.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// Version, which only ever grows.
    pub version: Version,
    /// Content hash of the root; orders two documents of one version.
    pub root_hash: ContentHash,
    /// Name of the preset in force.
    pub preset: PresetName,
    /// All presets by name.
    pub presets: BTreeMap<PresetName, Preset>,
    /// All services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Alert rules in the order of the document.
    pub alerts: Vec<AlertRule>,
}

/// An operating mode.
#[derive(Debug, Clone, PartialEq)]
pub struct Preset {
    /// Whether new flows are accepted.
    pub accept_new_flows: bool,
    /// Retries as a share of successful requests.
    pub retry_budget: Permille,
    /// Shares of classes that differ from the class's own, by service and class.
    pub shares: BTreeMap<(ServiceName, ClassName), Permille>,
}

/// A set of targets behind one name.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Classes of work by name.
    pub classes: BTreeMap<ClassName, Class>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, Target>,
}

/// A kind of work within a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Order in which classes are served; zero comes first.
    pub priority: u8,
    /// Share of the service's slots that the class is sure of when it has work.
    pub share: Permille,
    /// Requests that may wait at one instance.
    pub max_queue_len: u32,
    /// Requests of one member that may wait at one instance.
    pub max_member_queue_len: u32,
    /// Deadline of a request that states none.
    pub deadline_ms: Millis,
}

/// A server that runs requests and serves flows.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Failure domain in which the target stands.
    pub domain: DomainName,
    /// UDP address for frames.
    pub address: SocketAddr,
    /// HTTP address of health and load reports, if it has any.
    pub health: Option<SocketAddr>,
    /// Requests it runs at once.
    pub slots: Slots,
    /// Flows it holds at once.
    pub max_flows: u32,
    /// Relative capacity for new flows.
    pub weight: Weight,
    /// Whether it is to take new work.
    pub state: TargetState,
}

/// State of a target as the document declares it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// Takes new work.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
}

/// An alert rule, kept as written.
#[derive(Debug, Clone, PartialEq)]
pub struct AlertRule {
    /// The rule's line, unchanged.
    pub text: SmolStr,
    /// Name of the alert.
    pub name: SmolStr,
    /// Metric that is watched.
    pub metric: SmolStr,
    /// How the metric is compared.
    pub comparison: Comparison,
    /// Value it is compared with.
    pub threshold: f64,
    /// Time for which the comparison must hold.
    pub hold_ms: Millis,
    /// Whom to notify.
    pub receivers: Vec<SmolStr>,
}

/// Comparison of a metric with a threshold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// Greater than.
    Above,
    /// Less than.
    Below,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            priority: 1,
            share: Permille(0),
            max_queue_len: 256,
            max_member_queue_len: 64,
            deadline_ms: Millis(5_000),
        }
    }
}

impl Default for Preset {
    fn default() -> Self {
        Self {
            accept_new_flows: true,
            retry_budget: Permille(100),
            shares: BTreeMap::new(),
        }
    }
}

impl Document {
    /// Returns the preset in force; a checked document always has it.
    pub fn active_preset(&self) -> Option<&Preset> {
        self.presets.get(&self.preset)
    }

    /// Returns the share of a class under the preset in force.
    pub fn class_share(&self, service: &ServiceName, class: &ClassName) -> Option<Permille> {
        let class_share = self.services.get(service)?.classes.get(class)?.share;
        let key = (service.clone(), class.clone());
        let preset_share = self
            .active_preset()
            .and_then(|preset| preset.shares.get(&key));
        Some(preset_share.copied().unwrap_or(class_share))
    }
}
