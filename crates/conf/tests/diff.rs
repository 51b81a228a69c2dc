//! Tests of the differences between two documents.

#![allow(clippy::expect_used)]

use conf::diff::changes;
use conf::document;

const OLD: &str = include_str!("document.ini");

fn changes_to(new: &str) -> Vec<String> {
    let parse = |text| document::parse("d.ini", text).expect("a valid document");
    let found = changes(&parse(OLD), &parse(new));
    let shown = found.iter().map(|change| {
        let mark = if change.is_warning() { "! " } else { "" };
        format!("{mark}{change}")
    });
    shown.collect()
}

/// Guards against a change that is not reported and against a loss of flows without a warning.
#[yare::parameterized(
    drained = { "[target.rates.r2]", "[target.rates.r2]\nstate = draining", "target rates/r2 drained" },
    no_serving_target = { "[target.rates.r2]", "[target.rates.r2]\nstate = draining", "! service rates has no target that takes new work" },
    restored = { "state = draining\n", "", "target rates/r1 takes new work again" },
    removed = {
        "[target.rates.r1]\ndomain = a\naddress = 127.0.0.1:7501\nhealth = 127.0.0.1:8501\nslots = 4\nmax_flows = 500\nweight = 50\nstate = draining\n",
        "", "target rates/r1 removed after it was drained"
    },
    removed_undrained = { "[target.rates.r2]", "[target.rates.r3]", "! target rates/r2 removed without having been drained; its flows are lost" },
    added = { "[target.rates.r2]", "[target.rates.r3]", "target rates/r3 added" },
    address_reused = { "[target.rates.r2]", "[target.rates.r3]", "! address 127.0.0.1:7502 goes from rates/r2 to rates/r3; flows of its old owner are lost" },
    moved = { "127.0.0.1:7502", "127.0.0.1:7599", "target rates/r2 moved from 127.0.0.1:7502 to 127.0.0.1:7599" },
    weight = { "weight = 50", "weight = 60", "target rates/r1: weight 50 -> 60" },
    no_health = { "health = 127.0.0.1:8501\n", "", "target rates/r1: health 127.0.0.1:8501 -> none" },
    share = { "share = 300", "share = 200", "class rates/lookup: share 300 -> 200" },
    class = { "[class.rates.lookup]", "[class.rates.order]", "class rates/order added" },
    preset_share = { "share.rates.feed = 600\n", "", "preset peak: share.rates.feed 600 -> the class's own" },
    preset_budget = { "retry_budget = 50", "retry_budget = 40", "preset peak: retry_budget 50 -> 40" },
    alert_rule = { "> 5 for", "> 6 for", "alert rule added: broken_flows: pollenpin_flows_lost_total  > 6 for 30s notify oncall-rates, desk@a" },
    active_preset = { "preset = peak", "preset = ordinary", "preset in force peak -> ordinary" },
)]
fn change_is_reported(from: &str, to: &str, expected: &str) {
    assert!(OLD.contains(from), "the sample lacks {from:?}");
    let found = changes_to(
        &OLD.replacen(from, to, 1)
            .replace("version = 7", "version = 8"),
    );
    assert_eq!(found[0], "version 7 -> 8");
    assert!(found.iter().any(|line| line == expected), "{found:#?}");
}

/// Guards against flows that reach a target of another service without a warning.
#[test]
fn swapped_addresses_of_two_services_cause_warnings() {
    let swapped = OLD
        .replace("127.0.0.1:7502", "first")
        .replace("127.0.0.1:7601", "127.0.0.1:7502")
        .replace("first", "127.0.0.1:7601");
    let found = changes_to(&swapped.replace("version = 7", "version = 8"));
    let warnings: Vec<_> = found.iter().filter(|line| line.starts_with("! ")).collect();
    assert_eq!(warnings.len(), 2, "{found:#?}");
    assert!(
        warnings[0].contains("from submissions/s1 to rates/r2"),
        "{found:#?}"
    );
}

/// Guards against publishing a document that all instances ignore.
#[test]
fn change_without_a_greater_version_causes_a_warning() {
    let found = changes_to(&OLD.replace("weight = 50", "weight = 60"));
    assert!(
        found[0].starts_with("! version 7 is not above 7"),
        "{found:#?}"
    );
}

/// Guards against reporting a changed comment as a difference.
#[test]
fn equal_documents_have_no_changes() {
    assert!(changes_to(&OLD.replace("; Copied", "; Taken")).is_empty());
}
