//! Table of the keys in settings, from which the parser and docs/settings.md are derived.

use std::fmt::{Display, Write as _};
use std::str::FromStr;

use smol_str::SmolStr;

use crate::settings_parser::SettingsDraft;

/// A key of the settings.
#[derive(Debug)]
pub struct Key {
    /// Section of the key.
    pub section: &'static str,
    /// Name of the key.
    pub name: &'static str,
    /// Unit or format of the value.
    pub unit: &'static str,
    /// Minimum and maximum value; empty if the format is the only restriction.
    pub range: &'static str,
    /// Whether the key is required.
    pub is_required: bool,
    /// Description of the key in one sentence.
    pub description: &'static str,
    pub(crate) is_secret: bool,
    pub(crate) parse: fn(&mut SettingsDraft, &str) -> bool,
    pub(crate) format: fn(&SettingsDraft) -> String,
}

impl Key {
    /// Returns the default value as text; empty if there is none.
    pub fn default_text(&self) -> String {
        (self.format)(&SettingsDraft::default())
    }

    pub(crate) fn expected(&self) -> String {
        let separator = if self.range.is_empty() { "" } else { ", " };
        format!("{}{separator}{}", self.unit, self.range)
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

fn parse_into_option<T: FromStr>(field: &mut Option<T>, text: &str) -> bool {
    *field = text.parse().ok();
    field.is_some()
}

/// Parses a value that must be in a range, given as "minimum to maximum" in the format of the
/// value.
fn parse_in_range<T: FromStr + PartialOrd>(field: &mut T, text: &str, range: &str) -> bool {
    let bounds = range.split_once(" to ");
    let parse = |bound: &str| bound.parse::<T>().ok();
    let Some((Some(min), Some(max))) = bounds.map(|(min, max)| (parse(min), parse(max))) else {
        return false;
    };
    match text.parse::<T>() {
        Ok(value) if min <= value && value <= max => {
            *field = value;
            true
        }
        _ => false,
    }
}

fn to_text<T: Display>(value: &T) -> String {
    value.to_string()
}

macro_rules! key {
    ($section:literal, $name:literal, required $($field:ident).+, $unit:literal, $description:literal) => {
        Key {
            section: $section,
            name: $name,
            unit: $unit,
            range: "",
            is_required: true,
            is_secret: false,
            description: $description,
            parse: |draft, value| parse_into_option(&mut draft.$($field).+, value),
            format: |_| String::new(),
        }
    };
    ($section:literal, $name:literal, secret $($field:ident).+, $is_required:literal, $description:literal) => {
        Key {
            section: $section,
            name: $name,
            unit: "a key without blanks",
            range: "16 to 256 bytes",
            is_required: $is_required,
            is_secret: true,
            description: $description,
            parse: |draft, value| parse_into_option(&mut draft.$($field).+, value),
            format: |_| String::new(),
        }
    };
    ($section:literal, $name:literal, $($field:ident).+, $unit:literal, $description:literal) => {
        Key {
            section: $section,
            name: $name,
            unit: $unit,
            range: "",
            is_required: false,
            is_secret: false,
            description: $description,
            parse: |draft, value| parse_into(&mut draft.$($field).+, value),
            format: |draft| to_text(&draft.$($field).+),
        }
    };
    ($section:literal, $name:literal, $($field:ident).+, $unit:literal, $range:literal, $description:literal) => {
        Key {
            section: $section,
            name: $name,
            unit: $unit,
            range: $range,
            is_required: false,
            is_secret: false,
            description: $description,
            parse: |draft, value| parse_in_range(&mut draft.$($field).+, value, $range),
            format: |draft| to_text(&draft.$($field).+),
        }
    };
}

/// All keys, in the order of the reference page.
pub static KEYS: &[Key] = &[
    key!("instance", "name", required name, "name", "Name of the instance, unique in the fleet."),
    key!("instance", "domain", required domain, "name", "Failure domain in which the instance runs."),
    key!("instance", "group", required group, "name", "Group of instances over which the fabric sprays the same addresses."),
    Key {
        section: "instance",
        name: "services",
        unit: "names with commas",
        range: "",
        is_required: false,
        is_secret: false,
        description: "Services whose parts of the document the instance holds; all when it is not given.",
        parse: |draft, value| {
            let names: Result<_, _> = value.split(',').map(|name| name.trim().parse()).collect();
            draft.services = names.unwrap_or_default();
            !draft.services.is_empty()
        },
        format: |_| String::new(),
    },
    Key {
        section: "instance",
        name: "seeds",
        unit: "name/domain/ip:port/ip:port with commas",
        range: "",
        is_required: false,
        is_secret: false,
        description: "Peers to ask (name, failure domain, peer address, gRPC address) before the list of instances can be read.",
        parse: |draft, value| {
            let seeds: Result<_, _> = value.split(',').map(|seed| seed.trim().parse()).collect();
            draft.seeds = seeds.unwrap_or_default();
            !draft.seeds.is_empty()
        },
        format: |_| String::new(),
    },
    key!(
        "listen",
        "caller",
        listen.caller,
        "ip:port",
        "UDP address for frames from callers and targets."
    ),
    key!(
        "listen",
        "peer",
        listen.peer,
        "ip:port",
        "UDP address for messages of peers."
    ),
    key!(
        "listen",
        "grpc",
        listen.grpc,
        "ip:port",
        "TCP address for document fetch and hand-over between peers."
    ),
    key!(
        "listen",
        "http",
        listen.http,
        "ip:port",
        "TCP address for metrics, health and status."
    ),
    key!("platform", "address", required platform_address, "ip:port", "HTTP address of the configuration service."),
    key!(
        "platform",
        "calls_per_second",
        platform.calls_per_second,
        "calls, /s",
        "1/s to 100/s",
        "Sustained rate of calls to the configuration service."
    ),
    key!(
        "platform",
        "burst",
        platform.burst,
        "calls",
        "1 to 1000",
        "Calls to the configuration service that may be made at once."
    ),
    key!("secret", "key", secret key, true, "Shared key that signs peer messages and route tokens; the same on all instances of a group."),
    key!("secret", "other_key", secret other_key, false, "Second shared key that is accepted during a rotation."),
    key!(
        "limits",
        "shards",
        limits.shards,
        "shards",
        "0 to 256",
        "Shards, each with its own socket and flows; 0 means one per core."
    ),
    key!(
        "limits",
        "flows",
        limits.max_flows,
        "flows",
        "1000 to 10000000",
        "Flows that the instance holds; beyond it, flows with one packet are forgotten first."
    ),
    key!(
        "limits",
        "answers",
        limits.max_cached_answer_bytes,
        "bytes, K or M",
        "1M to 1024M",
        "Size of the answers that are held for resends."
    ),
    key!(
        "limits",
        "idle",
        limits.idle_timeout_ms,
        "ms, s or min",
        "10s to 60min",
        "Time without a packet after which a flow is forgotten."
    ),
    key!(
        "limits",
        "silent",
        limits.silence_timeout_ms,
        "ms, s or min",
        "500ms to 5min",
        "Time without a frame from the target after which a flow in use counts as silent."
    ),
    key!(
        "limits",
        "deadline_max",
        limits.max_deadline_ms,
        "ms, s or min",
        "100ms to 10min",
        "Greatest deadline of a request; longer ones are capped."
    ),
    key!(
        "limits",
        "stop_wait",
        limits.stop_timeout_ms,
        "ms, s or min",
        "1s to 15min",
        "Greatest time that a graceful stop waits for requests in progress."
    ),
    key!(
        "limits",
        "lease",
        limits.lease_ms,
        "ms, s or min",
        "200ms to 30s",
        "Greatest gap between ticks over which the instance may act as an owner."
    ),
    key!(
        "limits",
        "fence",
        limits.fence_ms,
        "ms, s or min",
        "200ms to 60s",
        "Wait after a change of the view before ids that changed their owner are run."
    ),
    key!(
        "limits",
        "suspect",
        limits.suspect_after_ms,
        "ms, s or min",
        "100ms to 30s",
        "Silence after which a peer is suspect."
    ),
    key!(
        "limits",
        "unreachable",
        limits.unreachable_after_ms,
        "ms, s or min",
        "200ms to 60s",
        "Silence after which a peer is out of the view."
    ),
    key!(
        "limits",
        "heartbeat",
        limits.heartbeat_interval_ms,
        "ms, s or min",
        "20ms to 10s",
        "Time between two heartbeats to a peer."
    ),
    key!(
        "log",
        "level",
        log.level,
        "one of error, warning, info, debug",
        "Least severe level that is logged."
    ),
    key!(
        "trace",
        "sample",
        trace.sample,
        "permille",
        "0 to 1000",
        "Share of flows and requests that are traced."
    ),
    Key {
        section: "trace",
        name: "file",
        unit: "path",
        range: "",
        is_required: false,
        is_secret: false,
        description: "File that spans are appended to; none are written without it.",
        parse: |draft, value| {
            draft.trace.file = Some(SmolStr::new(value));
            !value.is_empty()
        },
        format: |_| String::new(),
    },
];

/// Renders docs/settings.md from the table of keys.
pub fn reference_page() -> String {
    let mut page = String::from(
        "# Settings of pollenpind\n\n\
         This page is generated from the table of keys in `crates/conf/src/keys.rs`; a test compares \
         the two. Settings\nare read once at start. Every problem is reported in one run with its \
         file, line, section, key, value and what was\nexpected. Unknown sections and keys, \
         duplicates, values out of range and pairs that contradict each other are errors.\n",
    );
    let mut section = "";
    for key in KEYS {
        if key.section != section {
            section = key.section;
            let _ = write!(
                page,
                "\n## [{section}]\n\n| key | unit | default | range | meaning |\n|---|---|---|---|---|\n"
            );
        }
        let default = match key.default_text() {
            _ if key.is_required => "required".to_owned(),
            text if text.is_empty() => "none".to_owned(),
            text => format!("`{text}`"),
        };
        let _ = writeln!(
            page,
            "| `{}` | {} | {default} | {} | {} |",
            key.name, key.unit, key.range, key.description
        );
    }
    page.push_str(
        "\n## Pairs\n\n\
         - `suspect` is less than `unreachable`; `heartbeat` is at most half of `suspect`.\n\
         - `lease` is less than `fence` and than `unreachable`, so that an owner that paused stops \
         before another takes over.\n\
         - `deadline_max` is less than `stop_wait`, so that a graceful stop cuts no request.\n\
         - `silent` is less than `idle`.\n\
         - `caller` and `peer` differ, as do `grpc` and `http`, and the two keys.\n",
    );
    page
}
