//! Names, addresses and configuration files of a demonstration fleet.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;

use conf::{document, packed};

use crate::caller::User;
use crate::{Error, Result, ports};

pub(super) const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
pub(super) const GROUP: &str = "demo";
const FIRST_SERVICE_TARGETS: usize = 14;
const SECOND_SERVICE_TARGETS: usize = 4;
const INSTANCES_PER_DOMAIN: usize = 2;

#[derive(Debug, Clone)]
pub(super) struct TargetPlan {
    pub(super) service: &'static str,
    pub(super) name: String,
    pub(super) domain: &'static str,
    pub(super) frame_address: SocketAddr,
    pub(super) http_address: SocketAddr,
}

#[derive(Debug, Clone)]
pub(super) struct InstancePlan {
    pub(super) name: String,
    pub(super) domain: &'static str,
    pub(super) frame_address: SocketAddr,
    pub(super) peer_address: SocketAddr,
    pub(super) grpc_address: SocketAddr,
    pub(super) http_address: SocketAddr,
}

#[derive(Debug, Clone)]
pub(super) struct Layout {
    pub(super) user: User,
    /// Number of shards of each instance.
    pub(super) shards: u32,
    pub(super) platform_address: SocketAddr,
    pub(super) fabric_address: SocketAddr,
    pub(super) fabric_http_address: SocketAddr,
    pub(super) targets: Vec<TargetPlan>,
    pub(super) instances: Vec<InstancePlan>,
}

fn services(user: User) -> [(&'static str, &'static str, usize); 2] {
    match user {
        User::Hunarmand => [
            ("rates", "r", FIRST_SERVICE_TARGETS),
            ("submissions", "s", SECOND_SERVICE_TARGETS),
        ],
        User::Morava => [
            ("trade", "t", FIRST_SERVICE_TARGETS),
            ("warrants", "w", SECOND_SERVICE_TARGETS),
        ],
    }
}

impl Layout {
    pub(super) fn new(user: User, shards: u32) -> Result<Self> {
        let mut targets = Vec::new();
        for (service, prefix, count) in services(user) {
            for index in 0..count {
                targets.push(TargetPlan {
                    service,
                    name: format!("{prefix}{:02}", index + 1),
                    domain: DOMAINS[index % DOMAINS.len()],
                    frame_address: ports::find_free()?,
                    http_address: ports::find_free()?,
                });
            }
        }
        let mut instances = Vec::new();
        for domain in DOMAINS {
            for number in 1..=INSTANCES_PER_DOMAIN {
                instances.push(InstancePlan {
                    name: format!("{domain}{number}"),
                    domain,
                    frame_address: ports::find_free()?,
                    peer_address: ports::find_free()?,
                    grpc_address: ports::find_free()?,
                    http_address: ports::find_free()?,
                });
            }
        }
        Ok(Self {
            user,
            shards,
            platform_address: ports::find_free()?,
            fabric_address: ports::find_free()?,
            fabric_http_address: ports::find_free()?,
            targets,
            instances,
        })
    }

    /// Formats the operator document.
    fn format_document(&self, version: u64, preset: &str, draining: Option<&str>) -> String {
        let [(first_service, ..), (second_service, ..)] = services(self.user);
        let (request_class, flow_class) = match self.user {
            User::Hunarmand => ("lookup", "upload"),
            User::Morava => ("order", "filing"),
        };
        let mut text = format!(
            "[document]\nversion = {version}\npreset = {preset}\n\
             [preset.ordinary]\n[preset.peak]\n[preset.maintenance]\naccept_new_flows = false\n\
             [service.{first_service}]\n[class.{first_service}.feed]\npriority = 0\nshare = 300\n\
             [class.{first_service}.{request_class}]\npriority = 1\nshare = 500\n\
             [service.{second_service}]\n[class.{second_service}.{flow_class}]\n\
             priority = 0\nshare = 900\n",
        );
        for target in &self.targets {
            let state = match draining == Some(target.name.as_str()) {
                true => "draining",
                false => "serving",
            };
            let _ = write!(
                text,
                "[target.{}.{}]\ndomain = {}\naddress = {}\nhealth = {}\nslots = 2\n\
                 max_flows = 2000\nstate = {state}\n",
                target.service,
                target.name,
                target.domain,
                target.frame_address,
                target.http_address
            );
        }
        text
    }

    /// Publishes a document. The parts are written before the root, so that the root never refers
    /// to a missing value.
    pub(super) fn publish_document(
        &self,
        values: &Path,
        version: u64,
        preset: &str,
        draining: Option<&str>,
    ) -> Result<()> {
        let text = self.format_document(version, preset, draining);
        let document = document::parse("demo.ini", &text)
            .map_err(|error| Error::failed("checking the document", error))?;
        let packed = packed::pack(&document, None)
            .map_err(|error| Error::failed("packing the document", error))?;
        for (hash, value) in &packed.values {
            write_atomically(&values.join("part"), &hash.to_string(), value)?;
        }
        write_atomically(values, "root", &packed.root)
    }

    pub(super) fn write_instance_list(&self, values: &Path) -> Result<()> {
        let mut text = String::new();
        for instance in &self.instances {
            let _ = write!(
                text,
                "[instance.{}]\ndomain = {}\npeer = {}\ngrpc = {}\nstate = live\n",
                instance.name, instance.domain, instance.peer_address, instance.grpc_address
            );
        }
        write_atomically(&values.join("instances"), GROUP, &text)
    }

    pub(super) fn write_settings(&self, instance: &InstancePlan, directory: &Path) -> Result<()> {
        let span_file = directory.join(format!("{}.spans.jsonl", instance.name));
        let text = format!(
            "[instance]\nname = {}\ndomain = {}\ngroup = {GROUP}\n\
             [listen]\ncaller = {}\npeer = {}\ngrpc = {}\nhttp = {}\n\
             [platform]\naddress = {}\n[secret]\nkey = demonstration-key-only\n\
             [limits]\nshards = {}\n[trace]\nsample = 0\nfile = {}\n",
            instance.name,
            instance.domain,
            instance.frame_address,
            instance.peer_address,
            instance.grpc_address,
            instance.http_address,
            self.platform_address,
            self.shards,
            span_file.display(),
        );
        write_atomically(directory, &format!("{}.ini", instance.name), &text)
    }
}

/// Writes a file by renaming a temporary one, so that readers never see partial content.
fn write_atomically(directory: &Path, name: &str, text: &str) -> Result<()> {
    let step = || format!("writing {name}");
    std::fs::create_dir_all(directory).map_err(Error::io(step()))?;
    let temporary = directory.join(format!(".{name}.draft"));
    std::fs::write(&temporary, text).map_err(Error::io(step()))?;
    std::fs::rename(&temporary, directory.join(name)).map_err(Error::io(step()))
}
