//! Document and instance list that the matrix publishes.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use balance::control::Identity;
use ids::Incarnation;
use lab::fixture::{DOMAINS, address, instance};

use crate::target::Target;

/// Name of the group of all instances.
pub const GROUP: &str = "g1";

#[derive(Debug, Clone)]
struct DeclaredTarget {
    service: &'static str,
    domain: &'static str,
    address: SocketAddr,
    is_draining: bool,
}

/// Content of the published document and instance list.
#[derive(Debug, Clone)]
pub struct Published {
    pub version: u64,
    pub preset: &'static str,
    /// Text added to the document to make two documents of the same version differ.
    pub remark: String,
    targets: BTreeMap<String, DeclaredTarget>,
    listed_instances: Vec<usize>,
    leaving_instances: Vec<usize>,
}

impl Published {
    pub fn new(instances: usize) -> Self {
        let mut published = Self {
            version: 1,
            preset: "ordinary",
            remark: String::new(),
            targets: BTreeMap::new(),
            listed_instances: (0..instances).collect(),
            leaving_instances: Vec::new(),
        };
        for (net, service, count) in [(1, "rates", 14), (2, "submissions", 4)] {
            for index in 0..count {
                published.add_target(net, service, index);
            }
        }
        published
    }

    /// Adds target number `index + 1` of a service.
    pub fn add_target(&mut self, net: u8, service: &'static str, index: usize) {
        let declared = DeclaredTarget {
            service,
            domain: DOMAINS[index % DOMAINS.len()],
            address: address(net, index as u8 + 1),
            is_draining: false,
        };
        self.targets
            .insert(format!("{service}-{:02}", index + 1), declared);
    }

    pub fn drain_target(&mut self, target: &str) {
        self.targets
            .get_mut(target)
            .expect("a declared target")
            .is_draining = true;
    }

    pub fn list_instance(&mut self, instance: usize) {
        self.listed_instances.push(instance);
    }

    pub fn mark_leaving(&mut self, instance: usize) {
        self.leaving_instances.push(instance);
    }

    /// Creates a simulated target for each declared one.
    pub fn targets(&self) -> BTreeMap<SocketAddr, Target> {
        self.targets
            .iter()
            .map(|(name, declared)| {
                (
                    declared.address,
                    Target::new(declared.service, name, declared.domain),
                )
            })
            .collect()
    }

    /// Returns the identity of instance `index`.
    pub fn identity(&self, index: usize) -> Identity {
        Identity {
            name: instance(index),
            domain: domain_of(index).parse().expect("a valid name"),
            group: GROUP.parse().expect("a valid name"),
            incarnation: Incarnation(0),
            peer_address: address(9, index as u8 + 1),
            grpc_address: address(10, index as u8 + 1),
        }
    }

    /// Returns the values to publish. The root comes last, since it refers to the parts.
    pub fn values(&self) -> Vec<(String, Vec<u8>)> {
        let document =
            conf::document::parse("matrix.ini", &self.document_text()).expect("a valid document");
        let packed = conf::packed::pack(&document, None).expect("a small document");
        let parts = packed
            .values
            .iter()
            .map(|(hash, part)| (format!("part/{hash}"), part.clone().into_bytes()));
        let list = (
            format!("instances/{GROUP}"),
            self.instance_list().into_bytes(),
        );
        parts
            .chain([list, ("root".to_owned(), packed.root.clone().into_bytes())])
            .collect()
    }

    fn document_text(&self) -> String {
        let mut text = format!(
            "[document]\nversion = {}\npreset = {}\n\n\
             [service.rates]\n[service.submissions]\n\n\
             [class.rates.order]\npriority = 0\nshare = 400\n\
             [class.rates.lookup]\npriority = 0\nshare = 300\n\
             [class.rates.feed]\npriority = 1\nshare = 300\n\
             [class.submissions.upload]\npriority = 0\nshare = 1000\n\n\
             [preset.ordinary]\n[preset.peak]\nretry_budget = 50\n\
             [preset.maintenance]\naccept_new_flows = true\n\n\
             [alerts]\nlost{}: pollenpin_flows_lost_total > 5 for 30s notify oncall\n\n",
            self.version, self.preset, self.remark,
        );
        for (name, target) in &self.targets {
            let state = if target.is_draining {
                "draining"
            } else {
                "serving"
            };
            write!(
                text,
                "[target.{}.{name}]\ndomain = {}\naddress = {}\nslots = 2\nmax_flows = 2000\n\
                 weight = 100\nstate = {state}\n",
                target.service, target.domain, target.address,
            )
            .expect("writing to a string");
        }
        text
    }

    fn instance_list(&self) -> String {
        let mut text = String::new();
        for &index in &self.listed_instances {
            let identity = self.identity(index);
            let state = if self.leaving_instances.contains(&index) {
                "leaving"
            } else {
                "live"
            };
            write!(
                text,
                "[instance.{}]\ndomain = {}\npeer = {}\ngrpc = {}\nstate = {state}\n",
                identity.name, identity.domain, identity.peer_address, identity.grpc_address,
            )
            .expect("writing to a string");
        }
        text
    }
}

/// Returns the failure domain of an instance.
pub fn domain_of(instance: usize) -> &'static str {
    DOMAINS[instance % DOMAINS.len()]
}
