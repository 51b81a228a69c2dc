//! The published data: the configuration and the reports of targets.

use std::net::{Ipv4Addr, SocketAddrV4};

use ids::Millis;
use smol_str::{SmolStr, format_smolstr};
use steer::{Change, Document, Revision, Route, RouteTerms, Share, TargetId, Update};

use super::scenario::{Class, SERVICES};
use super::targets::{SLOTS, Target};

/// The published data.
#[derive(Debug)]
pub struct Store {
    document: Document,
    /// Targets, and whether their reports have expired.
    targets: Vec<(steer::Target, bool)>,
    revision: Revision,
}

impl Store {
    pub fn new(classes: &[Class], targets: &[Target]) -> Self {
        let targets = (1..).zip(targets).map(|(number, target)| steer::Target {
            id: TargetId(number),
            service: SERVICES[target.service].into(),
            address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number as u32), 8000),
            domain: domain_name(target.domain),
            slots: SLOTS as u32,
            is_draining: false,
            warmup: Millis(0),
            incarnation: target.incarnation,
            sequence: 1,
        });
        Self {
            document: document(classes),
            targets: targets.map(|target| (target, false)).collect(),
            revision: Revision {
                number: 1,
                ..Revision::default()
            },
        }
    }

    /// Returns everything that is published.
    pub fn all(&self) -> (Revision, Vec<Update>) {
        let revision = self.revision;
        let present = self.targets.iter().filter(|(_, is_gone)| !is_gone);
        let targets = present.map(|(target, _)| Change::Target(target.clone()));
        let changes = targets.chain([Change::Document(self.document.clone())]);
        let updates = changes.map(|change| Update { revision, change });
        (revision, updates.collect())
    }

    /// Publishes that a target has started again, or that its report has expired.
    pub fn publish(&mut self, index: usize, incarnation: u64, is_gone: bool) -> Update {
        let (target, was_gone) = &mut self.targets[index];
        *was_gone = is_gone;
        target.incarnation = incarnation;
        target.sequence += 1;
        let change = if is_gone {
            Change::TargetGone(target.id)
        } else {
            Change::Target(target.clone())
        };
        self.revision.number += 1;
        Update {
            revision: self.revision,
            change,
        }
    }
}

/// Returns the name of a failure domain.
pub fn domain_name(domain: usize) -> SmolStr {
    format_smolstr!("domain-{domain}")
}

fn document(classes: &[Class]) -> Document {
    let routes = classes.iter().enumerate().map(|(index, class)| Route {
        entry: Class::entry(index),
        shares: vec![Share {
            service: SERVICES[class.service].into(),
            weight: 1,
        }],
        repeat: class.repeat,
        terms: RouteTerms {
            priority: class.priority,
            timeout: class.deadline,
            latency_goal: class.goal,
        },
    });
    Document {
        version: 1,
        routes: routes.collect(),
        idle: Millis(15_000),
        services: Vec::new(),
    }
}
