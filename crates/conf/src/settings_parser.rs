//! Parser of settings, driven by the table of keys.

use std::collections::HashMap;
use std::net::SocketAddr;

use ids::{DomainName, GroupName, InstanceName, ServiceName};

use crate::ListedInstance;
use crate::Problem;
use crate::ini::IniReader;
use crate::keys::{KEYS, Key};
use crate::settings::{
    InstanceSettings, Limits, ListenAddresses, LogSettings, PlatformSettings, Settings, SharedKey,
    SharedKeys, TraceSettings,
};

/// Text shown instead of a secret.
const REDACTED: &str = "(hidden)";

/// Settings that are being read; fields without a default are `None` until they are set.
#[derive(Debug, Default)]
pub(crate) struct SettingsDraft {
    pub name: Option<InstanceName>,
    pub domain: Option<DomainName>,
    pub group: Option<GroupName>,
    pub services: Vec<ServiceName>,
    pub seeds: Vec<ListedInstance>,
    pub listen: ListenAddresses,
    pub platform_address: Option<SocketAddr>,
    pub platform: PlatformSettings,
    pub key: Option<SharedKey>,
    pub other_key: Option<SharedKey>,
    pub limits: Limits,
    pub log: LogSettings,
    pub trace: TraceSettings,
}

/// Value and line of each key in the file, by section and name.
type GivenKeys<'t> = HashMap<(&'static str, &'static str), (&'t str, u32)>;

pub(crate) fn parse(file: &str, text: &str) -> crate::Result<Settings> {
    let mut reader = IniReader::new(file);
    let mut draft = SettingsDraft::default();
    let mut given = GivenKeys::new();
    let mut section_lines = HashMap::new();
    for section in reader.sections(text) {
        let known: Vec<_> = keys_in_section(section.name).collect();
        if known.is_empty() {
            reader.report_section(section.line, section.name, &expected_sections());
            continue;
        }
        section_lines.insert(section.name, section.line);
        let names: Vec<_> = known.iter().map(|key| key.name).collect();
        let found = reader.keys(&section, |name| names.contains(&name), &names.join(", "));
        for (name, value, line) in found {
            let Some(key) = known.iter().find(|key| key.name == name) else {
                continue;
            };
            given.insert((key.section, key.name), (value, line));
            if !(key.parse)(&mut draft, value) {
                reader.report_value(key.section, key.name, value, line, &key.expected());
            }
        }
    }
    for key in KEYS.iter().filter(|key| key.is_required) {
        if !given.contains_key(&(key.section, key.name)) {
            let line = section_lines.get(key.section).copied().unwrap_or(1);
            reader.report_missing_key(key.section, key.name, line, &key.expected());
        }
    }
    check_constraints(&mut reader, &draft, &given);
    // Secrets must not appear in messages, even if their line is malformed.
    let secrets = |problem: &&mut Problem| problem.section == "secret" && problem.value.is_some();
    for problem in reader.problems.iter_mut().filter(secrets) {
        problem.value = Some(REDACTED.to_owned());
    }
    reader.finish(build_settings(draft))
}

fn keys_in_section(section: &str) -> impl Iterator<Item = &'static Key> {
    KEYS.iter().filter(move |key| key.section == section)
}

fn expected_sections() -> String {
    let mut names: Vec<_> = KEYS.iter().map(|key| key.section).collect();
    names.dedup();
    format!("one of the sections {}", names.join(", "))
}

fn build_settings(draft: SettingsDraft) -> Option<Settings> {
    Some(Settings {
        instance: InstanceSettings {
            name: draft.name?,
            domain: draft.domain?,
            group: draft.group?,
            services: draft.services,
            seeds: draft.seeds,
        },
        listen: draft.listen,
        platform: PlatformSettings {
            address: draft.platform_address?,
            ..draft.platform
        },
        secret: SharedKeys {
            key: draft.key?,
            other_key: draft.other_key,
        },
        limits: draft.limits,
        log: draft.log,
        trace: draft.trace,
    })
}

/// A relation that must hold between two keys. A violation is reported at the later one in the
/// file.
struct Constraint {
    is_satisfied: bool,
    left: (&'static str, &'static str),
    right: (&'static str, &'static str),
    relation: &'static str,
}

fn check_constraints(reader: &mut IniReader, draft: &SettingsDraft, given: &GivenKeys) {
    let limits = &draft.limits;
    let limit = |left, right, is_satisfied, relation| Constraint {
        is_satisfied,
        left: ("limits", left),
        right: ("limits", right),
        relation,
    };
    let mut constraints = vec![
        limit(
            "suspect",
            "unreachable",
            limits.suspect_after_ms < limits.unreachable_after_ms,
            "less than",
        ),
        // A single heartbeat lost on a lossy link must not make a peer suspect.
        limit(
            "heartbeat",
            "suspect",
            2 * limits.heartbeat_interval_ms.0 <= limits.suspect_after_ms.0,
            "at most half of",
        ),
        // An owner that was paused must stop acting as owner before its peers take over.
        limit(
            "lease",
            "fence",
            limits.lease_ms < limits.fence_ms,
            "less than",
        ),
        limit(
            "lease",
            "unreachable",
            limits.lease_ms < limits.unreachable_after_ms,
            "less than",
        ),
        // A graceful stop must not end before the deadlines of the requests in progress.
        limit(
            "deadline_max",
            "stop_wait",
            limits.max_deadline_ms < limits.stop_timeout_ms,
            "less than",
        ),
        limit(
            "silent",
            "idle",
            limits.silence_timeout_ms < limits.idle_timeout_ms,
            "less than",
        ),
    ];
    let listen = &draft.listen;
    let is_same_socket = |left: SocketAddr, right: SocketAddr| left == right && left.port() != 0;
    for (left, right, is_satisfied) in [
        (
            "caller",
            "peer",
            !is_same_socket(listen.caller, listen.peer),
        ),
        ("grpc", "http", !is_same_socket(listen.grpc, listen.http)),
    ] {
        constraints.push(Constraint {
            is_satisfied,
            left: ("listen", left),
            right: ("listen", right),
            relation: "different from",
        });
    }
    constraints.push(Constraint {
        is_satisfied: draft.key.is_none() || draft.key != draft.other_key,
        left: ("secret", "key"),
        right: ("secret", "other_key"),
        relation: "different from",
    });
    for constraint in constraints
        .iter()
        .filter(|constraint| !constraint.is_satisfied)
    {
        report_violation(reader, draft, given, constraint);
    }
}

fn report_violation(
    reader: &mut IniReader,
    draft: &SettingsDraft,
    given: &GivenKeys,
    constraint: &Constraint,
) {
    let line_of = |key| given.get(key).map_or(0, |(_, line)| *line);
    // The defaults satisfy all constraints, so at least one of the two keys was given.
    let last_given = if line_of(&constraint.left) >= line_of(&constraint.right) {
        constraint.left
    } else {
        constraint.right
    };
    let format_value = |(section, name): (&str, &str)| {
        let key = keys_in_section(section).find(|key| key.name == name);
        key.filter(|key| !key.is_secret)
            .map_or_else(|| REDACTED.to_owned(), |key| (key.format)(draft))
    };
    let (left, right) = (constraint.left.1, constraint.right.1);
    let expected = if format_value(constraint.left) == REDACTED {
        format!("{left} {} {right}", constraint.relation)
    } else {
        format!(
            "{left} ({}) {} {right} ({})",
            format_value(constraint.left),
            constraint.relation,
            format_value(constraint.right)
        )
    };
    reader.report_value(
        last_given.0,
        last_given.1,
        &format_value(last_given),
        line_of(&last_given),
        &expected,
    );
}
