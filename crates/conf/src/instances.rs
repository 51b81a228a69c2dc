//! Parser of the published list of the instances of a group.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::str::FromStr;

use displaydoc::Display;
use ids::{DomainName, Incarnation, InstanceName};

use crate::Result;
use crate::ini::{IniReader, Section};
use crate::section_fields::SectionFields;

const SECTION_PREFIX: &str = "instance.";
const NAME_FORMAT: &str = "1 to 64 letters, digits, '-', '_' or '.'";

/// An instance in the published list or in the seeds of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name, unique in the fleet.
    pub name: InstanceName,
    /// Failure domain.
    pub domain: DomainName,
    /// UDP address for peer datagrams.
    pub peer_address: SocketAddr,
    /// TCP address for gRPC.
    pub grpc_address: SocketAddr,
    /// Whether the list declares the instance as leaving.
    pub is_leaving: bool,
    /// Incarnation, if the list contains it.
    pub incarnation: Option<Incarnation>,
}

/// Parses a seed in the settings: `name/domain/peer address/gRPC address`.
impl FromStr for ListedInstance {
    type Err = InvalidSeed;

    fn from_str(text: &str) -> std::result::Result<Self, InvalidSeed> {
        let parts: Vec<_> = text.split('/').collect();
        let [name, domain, peer, grpc] = parts[..] else {
            return Err(InvalidSeed);
        };
        Ok(Self {
            name: name.parse().map_err(|_| InvalidSeed)?,
            domain: domain.parse().map_err(|_| InvalidSeed)?,
            peer_address: peer.parse().map_err(|_| InvalidSeed)?,
            grpc_address: grpc.parse().map_err(|_| InvalidSeed)?,
            is_leaving: false,
            incarnation: None,
        })
    }
}

/// a peer must be name/domain/ip:port/ip:port
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct InvalidSeed;

impl std::error::Error for InvalidSeed {}

/// Parses an instance list and sorts it by name; `file` is the file name shown in problems.
pub fn parse(file: &str, text: &str) -> Result<Vec<ListedInstance>> {
    let mut reader = IniReader::new(file);
    let mut instances = Vec::new();
    let mut addresses = HashMap::new();
    for section in reader.sections(text) {
        instances.extend(read_instance(&mut reader, &section, &mut addresses));
    }
    instances.sort_by(|a, b| a.name.cmp(&b.name));
    reader.finish(Some(instances))
}

fn read_instance<'t>(
    reader: &mut IniReader,
    section: &Section<'t>,
    addresses: &mut HashMap<(&'static str, SocketAddr), &'t str>,
) -> Option<ListedInstance> {
    let name = section
        .name
        .strip_prefix(SECTION_PREFIX)
        .and_then(|name| name.parse().ok());
    if name.is_none() {
        let expected = format!("[instance.<name>] with a name of {NAME_FORMAT}");
        reader.report_section(section.line, section.name, &expected);
    }
    let known_keys = ["domain", "peer", "grpc", "state", "incarnation"];
    let mut fields = SectionFields::new(reader, section, &known_keys);
    let domain = fields.required("domain", NAME_FORMAT);
    let peer = fields.required("peer", "ip:port");
    let grpc = fields.required("grpc", "ip:port");
    let is_leaving = match fields.raw("state") {
        Some(("live", _)) => false,
        Some(("leaving", _)) => true,
        Some(_) => {
            fields.report("state", "live or leaving");
            false
        }
        None => {
            fields.reader.report_missing_key(
                section.name,
                "state",
                section.line,
                "live or leaving",
            );
            false
        }
    };
    let incarnation = fields.optional("incarnation", "milliseconds since the Unix epoch");
    for (key, address) in [("peer", peer), ("grpc", grpc)] {
        let other_section =
            address.and_then(|address| addresses.insert((key, address), section.name));
        if let Some(other_section) = other_section {
            fields.report(
                key,
                &format!("an address of its own, not that of [{other_section}]"),
            );
        }
    }
    Some(ListedInstance {
        name: name?,
        domain: domain?,
        peer_address: peer?,
        grpc_address: grpc?,
        is_leaving,
        incarnation,
    })
}
