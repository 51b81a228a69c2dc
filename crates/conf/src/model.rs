//! Typed representation of a validated document.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ids::{
    ClassName, ContentHash, DomainName, Millis, Permille, PresetName, ServiceName, Slots,
    TargetName, Version, Weight,
};
use smol_str::SmolStr;

/// A validated document.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// Version, which only increases.
    pub version: Version,
    /// Content hash of the root; orders documents that have the same version.
    pub root_hash: ContentHash,
    /// Name of the active preset.
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
    /// Maximum ratio of retries to successful requests.
    pub retry_budget: Permille,
    /// Shares that replace the classes' own shares, by service and class.
    pub shares: BTreeMap<(ServiceName, ClassName), Permille>,
}

/// A set of targets under a common name.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Classes of work by name.
    pub classes: BTreeMap<ClassName, Class>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, Target>,
}

/// A class of requests and flows within a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Priority of the class; zero is the highest.
    pub priority: u8,
    /// Share of the service's slots that is guaranteed to the class while it has work.
    pub share: Permille,
    /// Maximum number of requests that wait at an instance.
    pub max_queue_len: u32,
    /// Maximum number of requests of one member that wait at an instance.
    pub max_member_queue_len: u32,
    /// Deadline of requests that do not specify one.
    pub deadline_ms: Millis,
}

/// A target, which runs requests and serves flows.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Failure domain of the target.
    pub domain: DomainName,
    /// UDP address for frames.
    pub address: SocketAddr,
    /// HTTP address of health and load reports, if the target provides them.
    pub health: Option<SocketAddr>,
    /// Maximum number of concurrent requests.
    pub slots: Slots,
    /// Maximum number of concurrent flows.
    pub max_flows: u32,
    /// Relative capacity for new flows.
    pub weight: Weight,
    /// Whether the target receives new work.
    pub state: TargetState,
}

/// State of a target as the document declares it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// Receives new work.
    Serving,
    /// Completes its current work and receives no new work.
    Draining,
}

/// An alert rule.
#[derive(Debug, Clone, PartialEq)]
pub struct AlertRule {
    /// The line of the rule, unchanged.
    pub text: SmolStr,
    /// Name of the alert.
    pub name: SmolStr,
    /// Name of the metric.
    pub metric: SmolStr,
    /// Comparison of the metric with the threshold.
    pub comparison: Comparison,
    /// Threshold.
    pub threshold: f64,
    /// Time for which the condition must hold before the alert fires.
    pub hold_ms: Millis,
    /// Receivers of the notification.
    pub receivers: Vec<SmolStr>,
}

/// Comparison of a metric with a threshold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// The metric is greater than the threshold.
    Above,
    /// The metric is less than the threshold.
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
    /// Returns the active preset, which every validated document has.
    pub fn active_preset(&self) -> Option<&Preset> {
        self.presets.get(&self.preset)
    }

    /// Returns the share of a class under the active preset.
    pub fn class_share(&self, service: &ServiceName, class: &ClassName) -> Option<Permille> {
        let class_share = self.services.get(service)?.classes.get(class)?.share;
        let key = (service.clone(), class.clone());
        let preset_share = self
            .active_preset()
            .and_then(|preset| preset.shares.get(&key));
        Some(preset_share.copied().unwrap_or(class_share))
    }
}
