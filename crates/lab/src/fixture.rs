//! Documents and views like those of the first users, for tests and experiments.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use balance::view::{Candidate, Epoch, PeerView, TargetSet, TargetView, View};
use conf::Document;
use conf::model::{Class, Preset, Service, Target, TargetState};
use ids::{ContentHash, Micros, Permille, Slots, Version, Weight};
use wire::token::TargetId;

/// Failure domains of both users.
pub const DOMAINS: [&str; 4] = ["d1", "d2", "d3", "d4"];

/// Sizes and names of one user's services and instances.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Service with the most targets.
    pub main: FleetService,
    /// Service with few targets, for bulk work.
    pub bulk: FleetService,
    /// Number of instances, assigned to the failure domains round-robin.
    pub instances: usize,
}

/// One service of a [`Fleet`].
#[derive(Debug, Clone)]
pub struct FleetService {
    /// Name of the service.
    pub name: &'static str,
    /// Number of targets, assigned to the failure domains round-robin.
    pub targets: usize,
    /// Classes as (name, priority, share in permille).
    pub classes: &'static [(&'static str, u8, u32)],
}

/// Returns the fleet of Hunarmand: service `rates` with 14 targets, `submissions` with 4.
pub fn hunarmand() -> Fleet {
    Fleet {
        main: FleetService {
            name: "rates",
            targets: 14,
            classes: &[("lookup", 0, 700), ("feed", 1, 300)],
        },
        bulk: FleetService {
            name: "submissions",
            targets: 4,
            classes: &[("upload", 0, 1_000)],
        },
        instances: 8,
    }
}

/// Returns the fleet of Morava: service `trade` with 14 targets, `warrants` with 4.
pub fn morava() -> Fleet {
    Fleet {
        main: FleetService {
            name: "trade",
            targets: 14,
            classes: &[("order", 0, 700), ("feed", 1, 300)],
        },
        bulk: FleetService {
            name: "warrants",
            targets: 4,
            classes: &[("filing", 0, 1_000)],
        },
        instances: 8,
    }
}

/// Returns the document of a fleet, at version 1 in the preset `ordinary`.
pub fn document(fleet: &Fleet) -> Document {
    let services = [&fleet.main, &fleet.bulk]
        .into_iter()
        .enumerate()
        .map(|(number, service)| {
            (
                parse_name(service.name),
                service_from(service, number as u8),
            )
        })
        .collect();
    Document {
        version: Version(1),
        root_hash: ContentHash([1; 16]),
        preset: parse_name("ordinary"),
        presets: ["ordinary", "peak", "maintenance"]
            .into_iter()
            .map(|preset| (parse_name(preset), Preset::default()))
            .collect(),
        services,
        alerts: Vec::new(),
    }
}

/// Returns a document of many services that have the same number of targets each.
pub fn uniform_document(services: usize, targets: usize) -> Document {
    let mut document = document(&hunarmand());
    let class = document
        .services
        .values()
        .next()
        .map(|service| service.classes.clone())
        .unwrap_or_default();
    document.services = (0..services)
        .map(|index| {
            let targets = (0..targets).map(|target| {
                let number = (index * targets + target) as u32;
                let host = Ipv4Addr::from(u32::from(Ipv4Addr::new(127, 16, 0, 1)) + number);
                let declared = Target {
                    domain: parse_name(DOMAINS[target % DOMAINS.len()]),
                    address: (host, 4_000).into(),
                    health: None,
                    slots: Slots(2),
                    max_flows: 2_000,
                    weight: Weight(100),
                    state: TargetState::Serving,
                };
                (parse_name(&format!("t{target:02}")), declared)
            });
            let service = Service {
                classes: class.clone(),
                targets: targets.collect(),
            };
            (parse_name(&format!("service-{index:04}")), service)
        })
        .collect();
    document
}

fn service_from(service: &FleetService, number: u8) -> Service {
    let classes = service
        .classes
        .iter()
        .map(|&(class, priority, share)| {
            (
                parse_name(class),
                Class {
                    priority,
                    share: Permille(share),
                    ..Class::default()
                },
            )
        })
        .collect();
    let targets: BTreeMap<_, _> = (0..service.targets)
        .map(|index| {
            let target = Target {
                domain: parse_name(DOMAINS[index % DOMAINS.len()]),
                address: address(number + 1, index as u8 + 1),
                health: None,
                slots: Slots(2),
                max_flows: 2_000,
                weight: Weight(100),
                state: TargetState::Serving,
            };
            (
                parse_name(&format!("{}-{:02}", service.name, index + 1)),
                target,
            )
        })
        .collect();
    Service { classes, targets }
}

/// Returns the name of the instance with a zero-based index.
pub fn instance(index: usize) -> ids::InstanceName {
    parse_name(&format!("i{}", index + 1))
}

/// Returns the failure domain of the instance with a zero-based index.
pub fn domain(index: usize) -> ids::DomainName {
    parse_name(DOMAINS[index % DOMAINS.len()])
}

/// Returns the name of the group that contains all instances.
pub fn group() -> ids::GroupName {
    parse_name("g1")
}

/// Returns a loopback address. Each kind of process uses its own value of `net`.
pub fn address(net: u8, host: u8) -> SocketAddr {
    (Ipv4Addr::new(127, 1, net, host), 4_000).into()
}

/// Returns all instances of a fleet as peers.
pub fn peers(fleet: &Fleet) -> Vec<PeerView> {
    (0..fleet.instances).map(peer).collect()
}

/// Returns instance `index` as a peer.
pub fn peer(index: usize) -> PeerView {
    let domain = parse_name(DOMAINS[index % DOMAINS.len()]);
    PeerView::new(instance(index), domain, address(9, index as u8 + 1))
}

/// Returns the view of instance `index` of a document, with all instances of the fleet as peers.
pub fn view(fleet: &Fleet, document: &Arc<Document>, index: usize) -> View {
    let mut listed_domains: Vec<_> = peers(fleet).into_iter().map(|peer| peer.domain).collect();
    listed_domains.sort();
    listed_domains.dedup();
    View {
        instance: instance(index),
        domain: parse_name(DOMAINS[index % DOMAINS.len()]),
        document: Arc::clone(document),
        targets: target_views(document),
        target_sets: document
            .services
            .iter()
            .map(|(service, declared)| {
                let set = target_set(service, declared, Micros(0));
                (service.clone(), vec![Arc::new(set)])
            })
            .collect(),
        epochs: vec![Epoch {
            since: Micros(0),
            peers: peers(fleet),
            leaving: Vec::new(),
            is_complete: true,
            listed_domains,
        }],
        may_own: true,
    }
}

/// Returns the target views of a document with all targets healthy and without load.
pub fn target_views(document: &Document) -> hashbrown::HashMap<TargetId, TargetView> {
    let mut views = hashbrown::HashMap::new();
    for (service, declared) in &document.services {
        for (target, settings) in &declared.targets {
            let view = TargetView {
                service: service.clone(),
                name: target.clone(),
                declared: settings.clone(),
                accepts_new: settings.state == TargetState::Serving,
                ramp_permille: 1_000,
                peers_in_flight: 0,
                peers_flows: 0,
            };
            views.insert(TargetId::new(service, target), view);
        }
    }
    views
}

/// Returns the set of a service's targets that accept new flows.
pub fn target_set(name: &ids::ServiceName, service: &Service, since: Micros) -> TargetSet {
    let mut candidates: Vec<_> = service
        .targets
        .iter()
        .filter(|(_, target)| target.state == TargetState::Serving)
        .map(|(target, declared)| Candidate {
            target: TargetId::new(name, target),
            domain: declared.domain.clone(),
            weight: declared.weight.0,
        })
        .collect();
    candidates.sort_by_key(|candidate| candidate.target);
    TargetSet { candidates, since }
}

#[allow(
    clippy::expect_used,
    reason = "fixture names are literals of this workspace"
)]
fn parse_name<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = ids::Error>,
{
    text.parse().expect("a valid literal name")
}
