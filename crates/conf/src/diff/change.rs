//! Kinds of differences between two documents.

use std::net::SocketAddr;

use displaydoc::Display;
use ids::{ClassName, PresetName, ServiceName, TargetName, Version};
use serde::Serialize;
use smol_str::SmolStr;

/// A difference between two documents.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// version {from} -> {to}
    Version {
        /// Old version.
        from: Version,
        /// New version.
        to: Version,
    },
    /// version {to} is not above {from}, so instances ignore the new document
    VersionNotAbove {
        /// Old version.
        from: Version,
        /// New version.
        to: Version,
    },
    /// preset in force {from} -> {to}
    #[serde(rename = "preset_in_force")]
    ActivePreset {
        /// Old preset.
        from: PresetName,
        /// New preset.
        to: PresetName,
    },
    /// preset {name} added
    PresetAdded {
        /// The preset.
        name: PresetName,
    },
    /// preset {name} removed
    PresetRemoved {
        /// The preset.
        name: PresetName,
    },
    /// preset {name}: {field} {from} -> {to}
    Preset {
        /// The preset.
        name: PresetName,
        /// Name of the changed field.
        field: String,
        /// Old value.
        from: String,
        /// New value.
        to: String,
    },
    /// service {service} added with {targets} targets
    ServiceAdded {
        /// The service.
        service: ServiceName,
        /// Number of targets of the service.
        targets: usize,
    },
    /// service {service} removed
    ServiceRemoved {
        /// The service.
        service: ServiceName,
    },
    /// service {service} has no target that takes new work
    NoServingTarget {
        /// The service.
        service: ServiceName,
    },
    /// target {service}/{target} added
    TargetAdded {
        /// The service.
        service: ServiceName,
        /// The target.
        target: TargetName,
    },
    /// target {service}/{target} removed after it was drained
    TargetRemoved {
        /// The service.
        service: ServiceName,
        /// The target.
        target: TargetName,
    },
    /// target {service}/{target} removed without having been drained; its flows are lost
    TargetRemovedUndrained {
        /// The service.
        service: ServiceName,
        /// The target.
        target: TargetName,
    },
    /// target {service}/{target} drained
    TargetDrained {
        /// The service.
        service: ServiceName,
        /// The target.
        target: TargetName,
    },
    /// target {service}/{target} takes new work again
    TargetRestored {
        /// The service.
        service: ServiceName,
        /// The target.
        target: TargetName,
    },
    /// target {service}/{target} moved from {from} to {to}
    TargetMoved {
        /// The service.
        service: ServiceName,
        /// The target.
        target: TargetName,
        /// Old address.
        from: SocketAddr,
        /// New address.
        to: SocketAddr,
    },
    /// target {service}/{target}: {field} {from} -> {to}
    Target {
        /// The service.
        service: ServiceName,
        /// The target.
        target: TargetName,
        /// Name of the changed field.
        field: &'static str,
        /// Old value.
        from: String,
        /// New value.
        to: String,
    },
    /// address {address} goes from {from} to {to}; flows of its old owner are lost
    AddressReused {
        /// The address.
        address: SocketAddr,
        /// Old owner as `service/target`.
        from: String,
        /// New owner as `service/target`.
        to: String,
    },
    /// class {service}/{class} added
    ClassAdded {
        /// The service.
        service: ServiceName,
        /// The class.
        class: ClassName,
    },
    /// class {service}/{class} removed
    ClassRemoved {
        /// The service.
        service: ServiceName,
        /// The class.
        class: ClassName,
    },
    /// class {service}/{class}: {field} {from} -> {to}
    Class {
        /// The service.
        service: ServiceName,
        /// The class.
        class: ClassName,
        /// Name of the changed field.
        field: &'static str,
        /// Old value.
        from: String,
        /// New value.
        to: String,
    },
    /// alert rule added: {rule}
    AlertAdded {
        /// Text of the rule.
        rule: SmolStr,
    },
    /// alert rule removed: {rule}
    AlertRemoved {
        /// Text of the rule.
        rule: SmolStr,
    },
}

impl Change {
    /// Returns whether an operator should review the change, because flows are lost, a service has
    /// no target for new work or instances ignore the document.
    pub fn is_warning(&self) -> bool {
        matches!(
            self,
            Self::VersionNotAbove { .. }
                | Self::NoServingTarget { .. }
                | Self::TargetRemovedUndrained { .. }
                | Self::AddressReused { .. }
        )
    }
}
