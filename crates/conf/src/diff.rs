//! Differences between two documents.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Display;
use std::net::SocketAddr;

use ids::{ClassName, PresetName, ServiceName, TargetName};
use smol_str::SmolStr;

use crate::model::{Class, Document, Preset, Service, Target, TargetState};

mod change;

pub use change::Change;

/// Returns the changes from `old` to `new`.
pub fn changes(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    diff_active_preset(old, new, &mut changes);
    diff_services(old, new, &mut changes);
    find_reused_addresses(old, new, &mut changes);
    diff_presets(old, new, &mut changes);
    diff_alerts(old, new, &mut changes);
    let (from, to) = (old.version, new.version);
    if !changes.is_empty() && to <= from {
        changes.insert(0, Change::VersionNotAbove { from, to });
    } else if to != from {
        changes.insert(0, Change::Version { from, to });
    }
    changes
}

fn diff_active_preset(old: &Document, new: &Document, changes: &mut Vec<Change>) {
    if old.preset != new.preset {
        changes.push(Change::ActivePreset {
            from: old.preset.clone(),
            to: new.preset.clone(),
        });
    }
}

/// Calls `visit` with each key of either map and its values in both maps.
fn for_each_pair<'m, K: Ord, V>(
    old: &'m BTreeMap<K, V>,
    new: &'m BTreeMap<K, V>,
    mut visit: impl FnMut(&'m K, Option<&'m V>, Option<&'m V>),
) {
    let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    for name in names {
        visit(name, old.get(name), new.get(name));
    }
}

fn diff_services(old: &Document, new: &Document, changes: &mut Vec<Change>) {
    let none = Service {
        classes: BTreeMap::new(),
        targets: BTreeMap::new(),
    };
    for_each_pair(&old.services, &new.services, |name, before, after| {
        let service = || name.clone();
        match (before, after) {
            (None, Some(after)) => changes.push(Change::ServiceAdded {
                service: service(),
                targets: after.targets.len(),
            }),
            (Some(before), None) => {
                changes.push(Change::ServiceRemoved { service: service() });
                diff_targets(name, before, &none, changes);
            }
            (Some(before), Some(after)) => {
                diff_classes(name, before, after, changes);
                diff_targets(name, before, after, changes);
            }
            (None, None) => {}
        }
        if after.is_some_and(|after| !after.targets.values().any(accepts_new_work)) {
            changes.push(Change::NoServingTarget { service: service() });
        }
    });
}

fn accepts_new_work(target: &Target) -> bool {
    target.state == TargetState::Serving && target.weight.0 > 0
}

fn diff_targets(service: &ServiceName, old: &Service, new: &Service, changes: &mut Vec<Change>) {
    for_each_pair(&old.targets, &new.targets, |name, before, after| {
        let (service, target) = (service.clone(), name.clone());
        match (before, after) {
            (None, Some(_)) => changes.push(Change::TargetAdded { service, target }),
            (Some(before), None) if before.state == TargetState::Draining => {
                changes.push(Change::TargetRemoved { service, target });
            }
            (Some(_), None) => changes.push(Change::TargetRemovedUndrained { service, target }),
            (Some(before), Some(after)) => {
                diff_target_fields(&service, &target, before, after, changes)
            }
            (None, None) => {}
        }
    });
}

fn diff_target_fields(
    service: &ServiceName,
    target: &TargetName,
    old: &Target,
    new: &Target,
    changes: &mut Vec<Change>,
) {
    let name = || (service.clone(), target.clone());
    if old.state != new.state {
        let (service, target) = name();
        changes.push(match new.state {
            TargetState::Draining => Change::TargetDrained { service, target },
            TargetState::Serving => Change::TargetRestored { service, target },
        });
    }
    if old.address != new.address {
        let (service, target) = name();
        changes.push(Change::TargetMoved {
            service,
            target,
            from: old.address,
            to: new.address,
        });
    }
    let mut compare = |field, from: &dyn Display, to: &dyn Display| {
        let (from, to) = (from.to_string(), to.to_string());
        if from != to {
            let (service, target) = name();
            changes.push(Change::Target {
                service,
                target,
                field,
                from,
                to,
            });
        }
    };
    let health = |address: Option<SocketAddr>| {
        address.map_or_else(|| "none".to_owned(), |address| address.to_string())
    };
    compare("domain", &old.domain, &new.domain);
    compare("health", &health(old.health), &health(new.health));
    compare("slots", &old.slots, &new.slots);
    compare("max_flows", &old.max_flows, &new.max_flows);
    compare("weight", &old.weight, &new.weight);
}

fn diff_classes(service: &ServiceName, old: &Service, new: &Service, changes: &mut Vec<Change>) {
    for_each_pair(&old.classes, &new.classes, |name, before, after| {
        let (service, class) = (service.clone(), name.clone());
        match (before, after) {
            (None, Some(_)) => changes.push(Change::ClassAdded { service, class }),
            (Some(_), None) => changes.push(Change::ClassRemoved { service, class }),
            (Some(before), Some(after)) => {
                diff_class_fields(&service, &class, before, after, changes)
            }
            (None, None) => {}
        }
    });
}

fn diff_class_fields(
    service: &ServiceName,
    class: &ClassName,
    old: &Class,
    new: &Class,
    changes: &mut Vec<Change>,
) {
    let mut compare = |field, from: &dyn Display, to: &dyn Display| {
        let (from, to) = (from.to_string(), to.to_string());
        if from != to {
            changes.push(Change::Class {
                service: service.clone(),
                class: class.clone(),
                field,
                from,
                to,
            });
        }
    };
    compare("priority", &old.priority, &new.priority);
    compare("share", &old.share, &new.share);
    compare("queue", &old.max_queue_len, &new.max_queue_len);
    compare(
        "member_queue",
        &old.max_member_queue_len,
        &new.max_member_queue_len,
    );
    compare("deadline", &old.deadline_ms, &new.deadline_ms);
}

/// Finds addresses that were reassigned to another target. Flows are bound to the identity of
/// their target, so the flows of the old owner are refused.
fn find_reused_addresses(old: &Document, new: &Document, changes: &mut Vec<Change>) {
    let owners: HashMap<_, _> = address_owners(old).into_iter().collect();
    for (address, to) in address_owners(new) {
        if let Some(from) = owners.get(&address).filter(|from| **from != to) {
            changes.push(Change::AddressReused {
                address,
                from: from.clone(),
                to,
            });
        }
    }
}

fn address_owners(document: &Document) -> Vec<(SocketAddr, String)> {
    let mut owners = Vec::new();
    for (service, value) in &document.services {
        for (name, target) in &value.targets {
            owners.push((target.address, format!("{service}/{name}")));
        }
    }
    owners
}

fn diff_presets(old: &Document, new: &Document, changes: &mut Vec<Change>) {
    for_each_pair(&old.presets, &new.presets, |name, before, after| {
        match (before, after) {
            (None, Some(_)) => changes.push(Change::PresetAdded { name: name.clone() }),
            (Some(_), None) => changes.push(Change::PresetRemoved { name: name.clone() }),
            (Some(before), Some(after)) => diff_preset_fields(name, before, after, changes),
            (None, None) => {}
        }
    });
}

fn diff_preset_fields(name: &PresetName, old: &Preset, new: &Preset, changes: &mut Vec<Change>) {
    let mut compare = |field: &str, from: &dyn Display, to: &dyn Display| {
        let (from, to) = (from.to_string(), to.to_string());
        if from != to {
            changes.push(Change::Preset {
                name: name.clone(),
                field: field.to_owned(),
                from,
                to,
            });
        }
    };
    compare(
        "accept_new_flows",
        &old.accept_new_flows,
        &new.accept_new_flows,
    );
    compare("retry_budget", &old.retry_budget, &new.retry_budget);
    for_each_pair(
        &old.shares,
        &new.shares,
        |(service, class), before, after| {
            let format_share = |share: Option<&ids::Permille>| {
                share.map_or_else(|| "the class's own".to_owned(), ToString::to_string)
            };
            let key = format!("share.{service}.{class}");
            compare(&key, &format_share(before), &format_share(after));
        },
    );
}

fn diff_alerts(old: &Document, new: &Document, changes: &mut Vec<Change>) {
    let texts = |document: &Document| -> BTreeSet<SmolStr> {
        let rules = document.alerts.iter();
        rules.map(|rule| rule.text.clone()).collect()
    };
    let (before, after) = (texts(old), texts(new));
    let removed = before.difference(&after).cloned();
    changes.extend(removed.map(|rule| Change::AlertRemoved { rule }));
    let added = after.difference(&before).cloned();
    changes.extend(added.map(|rule| Change::AlertAdded { rule }));
}
