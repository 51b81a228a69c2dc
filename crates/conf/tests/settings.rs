//! Tests of the parser of daemon settings.

#![allow(clippy::expect_used)]

use conf::keys::{KEYS, reference_page};
use conf::settings::{InstanceSettings, Limits, Settings};
use ids::Millis;

const MINIMAL_SETTINGS: &str = "\
[instance]
name = a1
domain = a
group = g
[platform]
address = 127.0.0.1:7300
[secret]
key = 0123456789abcdef
";

fn problems(text: &str) -> Vec<String> {
    match Settings::parse("p.ini", text).expect_err("invalid settings") {
        conf::Error::Invalid(problems) => problems.0.iter().map(ToString::to_string).collect(),
        other => vec![other.to_string()],
    }
}

/// Guards against a default in the parser that differs from the default in `Settings`.
#[test]
fn required_keys_suffice() {
    let expected = Settings::new(
        InstanceSettings {
            name: "a1".parse().expect("a name"),
            domain: "a".parse().expect("a name"),
            group: "g".parse().expect("a name"),
            services: Vec::new(),
            seeds: Vec::new(),
        },
        "127.0.0.1:7300".parse().expect("an address"),
        "0123456789abcdef".parse().expect("a key"),
    );
    assert_eq!(Settings::parse("p.ini", MINIMAL_SETTINGS), Ok(expected));
}

/// Guards against a key whose default is outside of its range and against one that sets another
/// field.
#[test]
fn every_default_is_accepted_and_equal() {
    let mut text = MINIMAL_SETTINGS.to_owned();
    for section in ["listen", "limits", "log", "trace"] {
        text.push_str(&format!("[{section}]\n"));
        let keys = KEYS.iter().filter(|key| key.section == section);
        for key in keys.filter(|key| !key.default_text().is_empty()) {
            text.push_str(&format!("{} = {}\n", key.name, key.default_text()));
        }
    }
    let platform = "address = 127.0.0.1:7300\ncalls_per_second = 2/s\nburst = 10";
    let text = text.replace("address = 127.0.0.1:7300", platform);
    assert_eq!(
        Settings::parse("p.ini", &text),
        Settings::parse("p.ini", MINIMAL_SETTINGS)
    );
}

/// Guards against a key that is read but not stored.
#[test]
fn values_are_stored() {
    let text = format!("{MINIMAL_SETTINGS}[limits]\nidle = 1min\nfence = 1800ms\n");
    let settings = Settings::parse("p.ini", &text).expect("valid settings");
    let expected = Limits {
        idle_timeout_ms: Millis(60_000),
        fence_ms: Millis(1_800),
        ..Limits::default()
    };
    assert_eq!(settings.limits, expected);
    let text = MINIMAL_SETTINGS.replace("group = g", "group = g\nservices = rates, trade");
    let settings = Settings::parse("p.ini", &text).expect("valid settings");
    let services: Vec<_> = settings
        .instance
        .services
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(services, ["rates", "trade"]);
}

/// Guards against an invalid setting that is accepted or reported without the location of the
/// problem.
#[yare::parameterized(
    unknown_section = { "[limts]\n", "p.ini:9: [limts]: expected one of the sections instance," },
    unknown_key = { "[limits]\nflws = 5\n", "p.ini:10: [limits] flws = 5: expected one of the keys shards," },
    duplicate_key = {
        "[limits]\nflows = 5000\nflows = 6000\n",
        "p.ini:11: [limits] flows = 6000: expected a key once, first given on line 10"
    },
    duplicate_section = { "[instance]\n", "p.ini:9: [instance]: expected a section once, first given on line 1" },
    below_range = { "[limits]\nflows = 5\n", "p.ini:10: [limits] flows = 5: expected flows, 1000 to 10000000" },
    above_range = { "[limits]\nlease = 31s\n", "lease = 31s: expected ms, s or min, 200ms to 30s" },
    no_unit = { "[limits]\nidle = 300\n", "p.ini:10: [limits] idle = 300: expected ms, s or min" },
    invalid_address = { "[listen]\npeer = localhost\n", "p.ini:10: [listen] peer = localhost: expected ip:port" },
    invalid_sample = { "[trace]\nsample = 1001\n", "p.ini:10: [trace] sample = 1001: expected permille, 0 to 1000" },
    invalid_level = { "[log]\nlevel = loud\n", "p.ini:10: [log] level = loud: expected one of error," },
    suspect_pair = {
        "[limits]\nunreachable = 800ms\n",
        "p.ini:10: [limits] unreachable = 800ms: expected suspect (1s) less than unreachable (800ms)"
    },
    heartbeat_pair = { "[limits]\nheartbeat = 600ms\n", "heartbeat (600ms) at most half of suspect (1s)" },
    lease_pair = { "[limits]\nlease = 1500ms\n", "lease (1500ms) less than fence (1500ms)" },
    stop_pair = { "[limits]\ndeadline_max = 30s\n", "deadline_max (30s) less than stop_wait (30s)" },
    listen_pair = {
        "[listen]\npeer = 0.0.0.0:7400\n",
        "p.ini:10: [listen] peer = 0.0.0.0:7400: expected caller (0.0.0.0:7400) different from peer"
    },
    no_equals = { "[log]\nlevel info\n", "p.ini:10: [log] level info: expected key = value" },
)]
fn invalid_setting_is_reported(extra: &str, expected: &str) {
    let found = problems(&format!("{MINIMAL_SETTINGS}{extra}"));
    assert!(
        found.iter().any(|problem| problem.contains(expected)),
        "{found:?}"
    );
}

/// Guards against an empty or malformed list of services that is read as all services.
#[yare::parameterized(
    empty = { "" },
    blank_name = { "rates,,trade" },
    invalid_name = { "rates, b/c" },
)]
fn invalid_service_list_is_rejected(list: &str) {
    let found =
        problems(&MINIMAL_SETTINGS.replace("group = g", &format!("group = g\nservices = {list}")));
    assert!(
        found[0].starts_with("p.ini:5: [instance] services ="),
        "{found:?}"
    );
}

/// Guards against an instance that finds no peer during an outage of the configuration service,
/// although its settings list some.
#[test]
fn seeds_are_parsed_as_peers() {
    let seeds = "a2/d1/127.0.0.1:7501/127.0.0.1:7502, b1/d2/127.0.0.2:7501/127.0.0.2:7502";
    let text = MINIMAL_SETTINGS.replace("group = g", &format!("group = g\nseeds = {seeds}"));
    let settings = Settings::parse("p.ini", &text).expect("valid settings");
    let seeds = settings.instance.seeds;
    assert_eq!(seeds.len(), 2);
    assert_eq!(seeds[0].name.as_str(), "a2");
    assert_eq!(seeds[1].domain.as_str(), "d2");
    assert_eq!(seeds[1].peer_address.to_string(), "127.0.0.2:7501");
    assert_eq!(seeds[1].grpc_address.to_string(), "127.0.0.2:7502");
}

/// Guards against a list of seeds of which only the valid ones are used.
#[yare::parameterized(
    empty = { "" },
    no_domain = { "a2/127.0.0.1:7501/127.0.0.1:7502" },
    no_port = { "a2/d1/127.0.0.1/127.0.0.1:7502" },
    one_of_two = { "a2/d1/127.0.0.1:7501/127.0.0.1:7502, b1" },
)]
fn invalid_seeds_are_rejected(list: &str) {
    let found =
        problems(&MINIMAL_SETTINGS.replace("group = g", &format!("group = g\nseeds = {list}")));
    assert!(
        found[0].starts_with("p.ini:5: [instance] seeds ="),
        "{found:?}"
    );
}

/// Guards against a parser that stops at the first problem.
#[test]
fn all_problems_are_reported_in_line_order() {
    let found = problems("[limits]\nflows = 1\nidle = 2\n[secret]\nkey = short\n");
    let starts: Vec<_> = found
        .iter()
        .filter_map(|problem| problem.split(": expected").next())
        .collect();
    let expected = [
        "p.ini:1: [instance] name is missing",
        "p.ini:1: [instance] domain is missing",
        "p.ini:1: [instance] group is missing",
        "p.ini:1: [platform] address is missing",
        "p.ini:2: [limits] flows = 1",
        "p.ini:3: [limits] idle = 2",
        "p.ini:5: [secret] key = (hidden)",
    ];
    assert_eq!(starts, expected);
}

/// Guards against a shared key in a log message or an error message.
#[yare::parameterized(
    duplicate = { format!("{MINIMAL_SETTINGS}key = fedcba9876543210\n") },
    same_twice = { format!("{MINIMAL_SETTINGS}other_key = 0123456789abcdef\n") },
    no_equals = { format!("{MINIMAL_SETTINGS}other_key fedcba9876543210\n") },
)]
fn secrets_are_hidden(text: String) {
    let found = format!("{:?}", problems(&text));
    assert!(!found.contains("0123456789abcdef") && !found.contains("fedcba9876543210"));
    let settings = Settings::parse("p.ini", MINIMAL_SETTINGS).expect("valid settings");
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

/// Guards against a reference page that differs from the code.
#[test]
fn reference_page_is_current() {
    assert_eq!(include_str!("../../../docs/settings.md"), reference_page());
}
