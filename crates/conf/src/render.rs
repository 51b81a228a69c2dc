//! Renders the published values of a document as text.
//!
//! Names are written in sorted order, so that a document always has the same bytes and hashes.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use ids::{ContentHash, PresetName, ServiceName, Version};

use crate::model::{Class, Document, Target, TargetState};

// Writing to a string cannot fail, so the results of `writeln!` are ignored.

/// Renders the part of a service: its classes, its targets and its shares under presets.
pub(crate) fn part(document: &Document, name: &ServiceName) -> String {
    let mut text = format!("[service.{name}]\n");
    let Some(service) = document.services.get(name) else {
        return text;
    };
    for (class, value) in &service.classes {
        let _ = writeln!(text, "[class.{name}.{class}]");
        write_class(&mut text, value);
    }
    for (target, value) in &service.targets {
        let _ = writeln!(text, "[target.{name}.{target}]");
        write_target(&mut text, value);
    }
    for (preset, value) in &document.presets {
        let mut is_first = true;
        for class in service.classes.keys() {
            let Some(share) = value.shares.get(&(name.clone(), class.clone())) else {
                continue;
            };
            if std::mem::take(&mut is_first) {
                let _ = writeln!(text, "[preset.{preset}]");
            }
            let _ = writeln!(text, "share.{name}.{class} = {share}");
        }
    }
    text
}

fn write_class(text: &mut String, class: &Class) {
    let _ = writeln!(text, "priority = {}", class.priority);
    let _ = writeln!(text, "share = {}", class.share);
    let _ = writeln!(text, "queue = {}", class.max_queue_len);
    let _ = writeln!(text, "member_queue = {}", class.max_member_queue_len);
    let _ = writeln!(text, "deadline = {}", class.deadline_ms);
}

fn write_target(text: &mut String, target: &Target) {
    let _ = writeln!(text, "domain = {}", target.domain);
    let _ = writeln!(text, "address = {}", target.address);
    if let Some(health) = target.health {
        let _ = writeln!(text, "health = {health}");
    }
    let _ = writeln!(text, "slots = {}", target.slots);
    let _ = writeln!(text, "max_flows = {}", target.max_flows);
    let _ = writeln!(text, "weight = {}", target.weight);
    let state = match target.state {
        TargetState::Serving => "serving",
        TargetState::Draining => "draining",
    };
    let _ = writeln!(text, "state = {state}");
}

/// Renders the common part: presets without shares, and alert rules as written.
///
/// The shares of classes are in the parts of their services, so the size of the common part does
/// not depend on the number of services.
pub(crate) fn common(document: &Document) -> String {
    let mut text = String::new();
    for (name, preset) in &document.presets {
        let _ = writeln!(text, "[preset.{name}]");
        let _ = writeln!(text, "accept_new_flows = {}", preset.accept_new_flows);
        let _ = writeln!(text, "retry_budget = {}", preset.retry_budget);
    }
    text.push_str("[alerts]\n");
    for rule in &document.alerts {
        let _ = writeln!(text, "{}", rule.text);
    }
    text
}

/// Renders a page: its services with the content hashes of their parts.
pub(crate) fn page(parts: &BTreeMap<ServiceName, ContentHash>) -> String {
    let mut text = String::from("[page]\n");
    for (service, hash) in parts {
        let _ = writeln!(text, "{service} = {hash}");
    }
    text
}

/// Renders the root.
pub(crate) fn root(
    version: Version,
    preset: &PresetName,
    common: ContentHash,
    pages: &[ContentHash],
) -> String {
    let mut text = format!("[root]\nversion = {version}\npreset = {preset}\ncommon = {common}\n");
    text.push_str("[pages]\n");
    for (index, hash) in pages.iter().enumerate() {
        let _ = writeln!(text, "{index} = {hash}");
    }
    text
}
