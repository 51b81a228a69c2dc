//! Parser of the document that operators publish.
//!
//! See [the document reference](../../../docs/document.md).

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::str::FromStr;

use ids::{
    ClassName, DomainName, Millis, Permille, PresetName, ServiceName, Slots, TargetName, Version,
    Weight,
};

use crate::ini::{IniReader, Location, Section};
use crate::model::{AlertRule, Class, Document, Preset, Target, TargetState};
use crate::section_fields::SectionFields;
use crate::{Result, alert};

mod check;

/// Presets that every document must define.
pub const PRESETS: [&str; 3] = ["ordinary", "peak", "maintenance"];

const NAME_FORMAT: &str = "1 to 64 letters, digits, '-', '_' or '.'";
const FULL_PERMILLE: u32 = 1_000;

/// Parses and validates a whole document; `file` is the file name shown in problems.
pub fn parse(file: &str, text: &str) -> Result<Document> {
    let mut draft = DocumentDraft::new(file);
    draft.read(text, &Scope::Whole);
    draft.finish_whole()
}

/// The sections that a text may contain.
#[derive(Debug)]
pub(crate) enum Scope {
    /// All sections.
    Whole,
    /// One service with its classes, targets and shares.
    Part(ServiceName),
    /// Presets without shares, and alert rules.
    Common,
}

/// The share that a preset assigns to a class.
#[derive(Debug)]
struct PresetShare {
    preset: PresetName,
    service: ServiceName,
    class: ClassName,
    share: Permille,
    location: Location,
}

/// A document that is being read from one or more texts.
#[derive(Debug)]
pub(crate) struct DocumentDraft {
    /// Reader of the texts, which collects the problems found.
    pub reader: IniReader,
    /// Version, once it is known.
    pub version: Option<Version>,
    /// Active preset with the location of its key, once it is known.
    pub preset: Option<(PresetName, Location)>,
    services: BTreeMap<ServiceName, Location>,
    classes: BTreeMap<ServiceName, BTreeMap<ClassName, (Class, Location)>>,
    targets: BTreeMap<ServiceName, BTreeMap<TargetName, (Target, Location)>>,
    presets: BTreeMap<PresetName, Preset>,
    shares: Vec<PresetShare>,
    alerts: Vec<AlertRule>,
    addresses: HashMap<SocketAddr, String>,
}

impl DocumentDraft {
    pub fn new(file: &str) -> Self {
        Self {
            reader: IniReader::new(file),
            version: None,
            preset: None,
            services: BTreeMap::new(),
            classes: BTreeMap::new(),
            targets: BTreeMap::new(),
            presets: BTreeMap::new(),
            shares: Vec::new(),
            alerts: Vec::new(),
            addresses: HashMap::new(),
        }
    }

    /// Reads one text into the draft.
    pub fn read(&mut self, text: &str, scope: &Scope) {
        let mut has_document_section = false;
        for section in self.reader.sections(text) {
            has_document_section |= section.name == "document";
            self.read_section(&section, scope);
        }
        match scope {
            Scope::Whole if !has_document_section => {
                let expected = "a section with version and preset";
                self.reader.report_section(1, "document", expected);
            }
            Scope::Part(service) if !self.services.contains_key(service) => {
                let section = format!("service.{service}");
                self.reader
                    .report_section(1, &section, "a section for this service");
            }
            _ => {}
        }
    }

    fn read_section(&mut self, section: &Section, scope: &Scope) {
        let mut words = section.name.splitn(3, '.');
        let words = (words.next().unwrap_or(""), words.next(), words.next());
        match (scope, words) {
            (Scope::Whole, ("document", None, None)) => self.read_document_section(section),
            (Scope::Whole | Scope::Common, ("alerts", None, None)) => {
                self.read_alert_rules(section)
            }
            (_, ("preset", Some(_), _)) => self.read_preset(section, scope),
            (Scope::Whole | Scope::Part(_), ("service", Some(service), None)) => {
                if let Some(service) = self.parse_service_name(section, service, scope) {
                    SectionFields::new(&mut self.reader, section, &[]);
                    let location = self.reader.location(section.line);
                    self.services.insert(service, location);
                }
            }
            (Scope::Whole | Scope::Part(_), ("class", Some(service), Some(class))) => {
                let service = self.parse_service_name(section, service, scope);
                let class = self.parse_name(section, class);
                self.read_class(section, service.zip(class));
            }
            (Scope::Whole | Scope::Part(_), ("target", Some(service), Some(target))) => {
                let service = self.parse_service_name(section, service, scope);
                let target = self.parse_name(section, target);
                self.read_target(section, service.zip(target));
            }
            _ => {
                let expected = match scope {
                    Scope::Whole => {
                        "one of document, service.<name>, class.<service>.<class>, \
                         target.<service>.<name>, preset.<name>, alerts; service names have no dot"
                    }
                    Scope::Part(_) => {
                        "one of service.<name>, class.<service>.<class>, target.<service>.<name>, \
                         preset.<name>"
                    }
                    Scope::Common => "one of preset.<name>, alerts",
                };
                self.reader
                    .report_section(section.line, section.name, expected);
            }
        }
    }

    fn parse_name<T: FromStr>(&mut self, section: &Section, text: &str) -> Option<T> {
        let name = text.parse().ok();
        if name.is_none() {
            let expected = format!("a name of {NAME_FORMAT}");
            self.reader
                .report_section(section.line, section.name, &expected);
        }
        name
    }

    fn parse_service_name(
        &mut self,
        section: &Section,
        text: &str,
        scope: &Scope,
    ) -> Option<ServiceName> {
        let name = self.parse_name(section, text)?;
        match scope {
            Scope::Part(service) if *service != name => {
                let expected = format!("sections of service {service} only");
                self.reader
                    .report_section(section.line, section.name, &expected);
                None
            }
            _ => Some(name),
        }
    }

    fn read_document_section(&mut self, section: &Section) {
        let mut fields = SectionFields::new(&mut self.reader, section, &["version", "preset"]);
        let version: Option<Version> = fields.required("version", "a whole number above 0");
        if version == Some(Version(0)) {
            fields.report("version", "a whole number above 0");
        }
        let preset = fields.required("preset", "the name of one preset");
        let line = fields.raw("preset").map_or(section.line, |(_, line)| line);
        self.version = version;
        self.preset = preset.map(|preset| (preset, self.reader.location(line)));
    }

    fn read_class(&mut self, section: &Section, name: Option<(ServiceName, ClassName)>) {
        let known_keys = ["priority", "share", "queue", "member_queue", "deadline"];
        let mut fields = SectionFields::new(&mut self.reader, section, &known_keys);
        let default = Class::default();
        let max_queue_len = fields.in_range("queue", 1..=1_000_000, default.max_queue_len);
        let class = Class {
            priority: fields.in_range("priority", 0..=u8::MAX, default.priority),
            share: fields.in_range(
                "share",
                Permille(0)..=Permille(FULL_PERMILLE),
                default.share,
            ),
            max_queue_len,
            max_member_queue_len: fields.in_range(
                "member_queue",
                1..=max_queue_len,
                default.max_member_queue_len.min(max_queue_len),
            ),
            deadline_ms: fields.in_range(
                "deadline",
                Millis(1)..=Millis(600_000),
                default.deadline_ms,
            ),
        };
        if let Some((service, name)) = name {
            let location = self.reader.location(section.line);
            let classes = self.classes.entry(service).or_default();
            classes.insert(name, (class, location));
        }
    }

    fn read_target(&mut self, section: &Section, name: Option<(ServiceName, TargetName)>) {
        let known_keys = [
            "domain",
            "address",
            "health",
            "slots",
            "max_flows",
            "weight",
            "state",
        ];
        let mut fields = SectionFields::new(&mut self.reader, section, &known_keys);
        let domain: Option<DomainName> = fields.required("domain", NAME_FORMAT);
        let address = fields.required("address", "ip:port");
        let health = fields.optional("health", "ip:port");
        let slots = fields.in_range("slots", Slots(1)..=Slots(100_000), Slots(2));
        let max_flows = fields.in_range("max_flows", 1..=10_000_000, 2_000);
        let weight = fields.in_range("weight", Weight(0)..=Weight(1_000_000), Weight(100));
        let state = match fields.raw("state") {
            None | Some(("serving", _)) => TargetState::Serving,
            Some(("draining", _)) => TargetState::Draining,
            Some(_) => {
                fields.report("state", "serving or draining");
                TargetState::Serving
            }
        };
        if let Some(address) = address {
            self.check_target_address(section, address);
        }
        let (Some((service, name)), Some(domain), Some(address)) = (name, domain, address) else {
            return;
        };
        let target = Target {
            domain,
            address,
            health,
            slots,
            max_flows,
            weight,
            state,
        };
        let location = self.reader.location(section.line);
        let targets = self.targets.entry(service).or_default();
        targets.insert(name, (target, location));
    }

    /// Reports an address that is not a host address or that another target already has. Frames
    /// from targets are accepted by their source address, so an address in two services would break
    /// the isolation between them.
    fn check_target_address(&mut self, section: &Section, address: SocketAddr) {
        let line = section.entries.iter().find(|entry| entry.key == "address");
        let line = line.map_or(section.line, |entry| entry.line);
        let text = address.to_string();
        let mut report = |expected: &str| {
            self.reader
                .report_value(section.name, "address", &text, line, expected);
        };
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            return report("the address and port of one host");
        }
        let canonical = SocketAddr::new(address.ip().to_canonical(), address.port());
        match self.addresses.get(&canonical) {
            Some(other_section) => report(&format!(
                "an address of its own, not that of [{other_section}]"
            )),
            None => {
                self.addresses.insert(canonical, section.name.to_owned());
            }
        }
    }

    fn read_preset(&mut self, section: &Section, scope: &Scope) {
        let text = section.name.strip_prefix("preset.").unwrap_or_default();
        let name: Option<PresetName> = self.parse_name(section, text);
        let has_shares = !matches!(scope, Scope::Common);
        let own_keys: &[&str] = match scope {
            Scope::Part(_) => &[],
            _ => &["accept_new_flows", "retry_budget"],
        };
        let is_share = |key: &str| has_shares && key.starts_with("share.");
        let expected = match scope {
            Scope::Whole => "accept_new_flows, retry_budget, share.<service>.<class>",
            Scope::Part(_) => "share.<service>.<class>",
            Scope::Common => "accept_new_flows, retry_budget",
        };
        let is_known = |key: &str| own_keys.contains(&key) || is_share(key);
        let keys = self.reader.keys(section, is_known, expected);
        let mut preset = Preset::default();
        for (key, value, line) in keys {
            let is_valid = match key {
                "accept_new_flows" => parse_into(&mut preset.accept_new_flows, value),
                "retry_budget" => parse_permille_into(&mut preset.retry_budget, value),
                _ => self.read_share(name.as_ref(), key, value, line, scope),
            };
            if !is_valid {
                let expected = match key {
                    "accept_new_flows" => "true or false",
                    "retry_budget" => "0 to 1000",
                    _ => "share.<service>.<class> of a service of this text = 0 to 1000",
                };
                self.reader
                    .report_value(section.name, key, value, line, expected);
            }
        }
        if let (Some(name), false) = (name, matches!(scope, Scope::Part(_))) {
            self.presets.insert(name, preset);
        }
    }

    fn read_share(
        &mut self,
        preset: Option<&PresetName>,
        key: &str,
        value: &str,
        line: u32,
        scope: &Scope,
    ) -> bool {
        let path = key
            .strip_prefix("share.")
            .and_then(|path| path.split_once('.'));
        let Some((Ok(service), Ok(class))) = path.map(|(s, c)| (s.parse(), c.parse())) else {
            return false;
        };
        let mut share = Permille(0);
        let is_in_scope = !matches!(scope, Scope::Part(own) if *own != service);
        if !is_in_scope || !parse_permille_into(&mut share, value) {
            return false;
        }
        let location = self.reader.location(line);
        self.shares.extend(preset.map(|preset| PresetShare {
            preset: preset.clone(),
            service,
            class,
            share,
            location,
        }));
        true
    }

    fn read_alert_rules(&mut self, section: &Section) {
        for entry in &section.entries {
            let line = match entry.value {
                None => entry.key.to_owned(),
                Some(value) => format!("{} = {value}", entry.key),
            };
            match alert::parse(&line) {
                Ok(rule) if self.alerts.iter().any(|known| known.name == rule.name) => {
                    let expected = "a name that no other rule has";
                    self.reader
                        .report_value(section.name, "", &line, entry.line, expected);
                }
                Ok(rule) => self.alerts.push(rule),
                Err(expected) => {
                    self.reader
                        .report_value(section.name, "", &line, entry.line, &expected);
                }
            }
        }
    }
}

fn parse_into<T: FromStr>(field: &mut T, text: &str) -> bool {
    let value = text.parse().ok();
    let is_valid = value.is_some();
    if let Some(value) = value {
        *field = value;
    }
    is_valid
}

fn parse_permille_into(field: &mut Permille, text: &str) -> bool {
    parse_into(field, text) && field.0 <= FULL_PERMILLE
}
