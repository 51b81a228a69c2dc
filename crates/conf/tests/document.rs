//! Tests of the parsers of documents and instance lists.

#![allow(clippy::expect_used)]

use conf::document::parse;
use conf::model::{Comparison, TargetState};
use conf::{Document, Error, instances};
use ids::{Millis, Permille};

const DOCUMENT: &str = include_str!("document.ini");

fn valid() -> Document {
    parse("d.ini", DOCUMENT).expect("a valid document")
}

fn problems(text: &str) -> Vec<String> {
    match parse("d.ini", text).expect_err("an invalid document") {
        Error::Invalid(problems) => problems.0.iter().map(ToString::to_string).collect(),
        other => vec![other.to_string()],
    }
}

/// Guards against values that are stored in the wrong field or ignored.
#[test]
fn values_are_stored() {
    let document = valid();
    let service = &document.services[&"rates".parse().expect("a name")];
    let target = &service.targets[&"r1".parse().expect("a name")];
    assert_eq!(target.domain.as_str(), "a");
    assert_eq!(target.address.to_string(), "127.0.0.1:7501");
    assert_eq!(
        (target.slots.0, target.max_flows, target.weight.0),
        (4, 500, 50)
    );
    assert_eq!(target.state, TargetState::Draining);
    let class = &service.classes[&"feed".parse().expect("a name")];
    assert_eq!((class.priority, class.share), (0, Permille(400)));
    assert_eq!((class.max_queue_len, class.max_member_queue_len), (100, 10));
    assert_eq!(class.deadline_ms, Millis(2_000));
    let (rates, feed) = (
        "rates".parse().expect("a name"),
        "feed".parse().expect("a name"),
    );
    assert_eq!(document.class_share(&rates, &feed), Some(Permille(600)));
    assert_eq!(
        document
            .active_preset()
            .map(|preset| preset.accept_new_flows),
        Some(true)
    );
}

/// Guards against a rule whose text or condition is changed by the parser.
#[test]
fn alert_rule_is_kept_as_written() {
    let rule = &valid().alerts[0];
    let text = "broken_flows: pollenpin_flows_lost_total  > 5 for 30s notify oncall-rates, desk@a";
    assert_eq!(rule.text, text);
    assert_eq!((rule.comparison, rule.threshold), (Comparison::Above, 5.0));
    assert_eq!(rule.hold_ms, Millis(30_000));
    assert_eq!(rule.receivers, ["oncall-rates", "desk@a"]);
    let minutes = &valid().alerts[1];
    assert_eq!(
        (minutes.comparison, minutes.hold_ms),
        (Comparison::Below, Millis(300_000))
    );
}

/// Guards against an invalid document that is accepted or reported without the location of the
/// problem.
#[yare::parameterized(
    no_version = { "version = 7\n", "", "d.ini:1: [document] version is missing" },
    zero_version = { "version = 7", "version = 0", "d.ini:2: [document] version = 0: expected a whole number above 0" },
    no_preset = { "preset = peak\n", "", "[document] preset is missing: expected the name of one preset" },
    two_presets = { "preset = peak", "preset = peak, ordinary", "d.ini:3: [document] preset = peak, ordinary" },
    preset_twice = { "preset = peak", "preset = peak\npreset = ordinary", "d.ini:4: [document] preset = ordinary: expected a key once" },
    unknown_preset = { "preset = peak", "preset = calm", "expected one of the presets maintenance, ordinary, peak" },
    no_maintenance = { "[preset.maintenance]", "[preset.other]", "d.ini:1: [preset.maintenance]: expected a section" },
    unknown_key = { "slots = 4", "slotz = 4", "d.ini:17: [target.rates.r1] slotz = 4: expected one of the keys domain" },
    unknown_section = { "[service.rates]", "[servce.rates]", "d.ini:4: [servce.rates]: expected one of document" },
    dotted_service = { "[service.rates]", "[service.ra.tes]", "service names have no dot" },
    duplicate_target = { "[target.rates.r2]", "[target.rates.r1]", "expected a section once, first given on line 13" },
    address_twice = { "127.0.0.1:7502", "127.0.0.1:7501", "d.ini:23: [target.rates.r2] address = 127.0.0.1:7501: expected an address of its own, not that of [target.rates.r1]" },
    address_mapped = { "127.0.0.1:7502", "[::ffff:127.0.0.1]:7501", "not that of [target.rates.r1]" },
    address_in_two_services = { "127.0.0.1:7601", "127.0.0.1:7501", "[target.submissions.s1] address = 127.0.0.1:7501" },
    no_port = { "127.0.0.1:7601", "127.0.0.1:0", "expected the address and port of one host" },
    no_targets = { "[target.submissions.s1]", "[target.rates.s1]", "[service.submissions]: expected at least one section target.submissions.<target>" },
    no_classes = { "[class.submissions.upload]", "[class.rates.upload]", "expected at least one section class.submissions.<class>" },
    no_service = { "[service.submissions]\n", "", "[target.submissions.s1]: expected a section service.submissions" },
    own_shares = { "share = 300", "share = 700", "d.ini:4: [service.rates]: expected shares of its classes of at most 1000, got 1100" },
    preset_shares = { "share.rates.feed = 600", "share.rates.feed = 800", "expected shares under preset peak of at most 1000, got 1100" },
    share_range = { "share = 300", "share = 1001", "share = 1001: expected 0 to 1000" },
    share_of_unknown_class = { "share.rates.feed", "share.rates.food", "[preset.peak] share.rates.food = 600: expected a class of the document" },
    member_queue = { "member_queue = 10", "member_queue = 101", "member_queue = 101: expected 1 to 100" },
    invalid_state = { "state = draining", "state = gone", "[target.rates.r1] state = gone: expected serving or draining" },
    no_domain = { "domain = a\n", "", "d.ini:13: [target.rates.r1] domain is missing" },
    rule_operator = { "total  > 5", "total >= 5", "d.ini:40: [alerts] broken_flows: pollenpin_flows_lost_total > = 5" },
    rule_notify = { " notify oncall-rates, desk@a", "", "expected notify in \"name: metric" },
    rule_number = { "> 5 for", "> many for", "expected a number in \"name: metric" },
    rule_infinite = { "> 5 for", "> inf for", "expected a number in \"name: metric" },
    rule_metric = { "pollenpin_flows_lost_total  >", "7lost >", "expected a metric name in" },
    rule_duration = { "for 30s", "for 30", "expected a duration in" },
    rule_twice = { "few_targets", "broken_flows", "expected a name that no other rule has" },
)]
fn invalid_document_is_rejected(from: &str, to: &str, expected: &str) {
    assert!(DOCUMENT.contains(from), "the sample lacks {from:?}");
    let found = problems(&DOCUMENT.replacen(from, to, 1));
    assert!(
        found.iter().any(|problem| problem.contains(expected)),
        "{found:#?}"
    );
}

/// Guards against a parser that stops at the first problem.
#[test]
fn all_problems_are_reported() {
    let text = DOCUMENT
        .replace("slots = 4", "slots = 0")
        .replace("priority = 0", "priority = x");
    let found = problems(&text);
    assert_eq!(found.len(), 2, "{found:?}");
}

/// Guards against an invalid example in the reference page.
#[test]
fn example_of_the_reference_is_valid() {
    let page = include_str!("../../../docs/document.md");
    let example = page
        .split("```ini\n")
        .nth(1)
        .and_then(|rest| rest.split("```").next());
    let parsed = parse("docs/document.md", example.expect("an example"));
    assert!(parsed.is_ok(), "{parsed:?}");
}

/// Guards against a part that exceeds the size limit of the configuration service.
#[test]
fn oversized_part_is_reported_at_its_service() {
    let mut text = DOCUMENT.to_owned();
    for index in 0..12_000 {
        let (low, high) = (index % 250, index / 250);
        text.push_str(&format!(
            "[target.rates.x{index}]\ndomain = a\naddress = 127.1.{high}.{low}:7500\n"
        ));
    }
    let found = problems(&text);
    assert_eq!(found.len(), 1, "{found:?}");
    let expected = "d.ini:4: [service.rates]: expected a part of at most 1048576 bytes";
    assert!(found[0].starts_with(expected), "{found:?}");
}

const LIST: &str = "\
[instance.b1]
domain = b
peer = 127.0.0.1:7411
grpc = 127.0.0.1:7412
state = leaving
[instance.a1]
domain = a
peer = 127.0.0.1:7401
grpc = 127.0.0.1:7402
state = live
incarnation = 1700000000000
";

/// Guards against a parsed list whose order depends on the order in the file.
#[test]
fn instance_list_is_sorted_by_name() {
    let list = instances::parse("i.ini", LIST).expect("a valid list");
    let names: Vec<_> = list.iter().map(|instance| instance.name.as_str()).collect();
    assert_eq!(names, ["a1", "b1"]);
    assert_eq!((list[0].is_leaving, list[1].is_leaving), (false, true));
    let incarnations: Vec<_> = list.iter().map(|instance| instance.incarnation).collect();
    assert_eq!(
        incarnations,
        [Some(ids::Incarnation(1_700_000_000_000)), None]
    );
}

/// Guards against an invalid list that is accepted.
#[yare::parameterized(
    unknown_state = { "state = live", "state = here", "i.ini:10: [instance.a1] state = here" },
    no_state = { "state = leaving\n", "", "i.ini:1: [instance.b1] state is missing" },
    no_peer = { "peer = 127.0.0.1:7401\n", "", "[instance.a1] peer is missing" },
    unknown_section = { "[instance.b1]", "[member.b1]", "i.ini:1: [member.b1]" },
    same_address = { "127.0.0.1:7401", "127.0.0.1:7411", "not that of [instance.b1]" },
)]
fn invalid_list_is_rejected(from: &str, to: &str, expected: &str) {
    let error = instances::parse("i.ini", &LIST.replace(from, to)).expect_err("an invalid list");
    assert!(error.to_string().contains(expected), "{error}");
}
