//! Tests of the chart parser.

#![allow(clippy::expect_used)]

use chart::{Chart, Label, labels};

labels! {
    /// States of a door.
    pub enum Door {
        /// Shut.
        Shut = "shut",
        /// Open.
        Open = "open",
        /// Locked for good.
        Sealed = "sealed",
    }
}

labels! {
    /// Events of a door.
    pub enum Input {
        /// It is pushed.
        Push = "push",
        /// It is sealed.
        Seal = "seal",
    }
}

const DOOR: &str =
    "[chart]\nstart = shut\n[shut]\npush = open\nseal = sealed\n[open]\npush = shut\n[sealed]\n";

fn parse_error(text: &str) -> String {
    Chart::<Door, Input>::parse("door.ini", text)
        .expect_err("an invalid chart")
        .to_string()
}

/// Guards against a transition table with swapped rows or columns.
#[test]
fn every_transition_is_found() {
    let door = Chart::<Door, Input>::parse("door.ini", DOOR).expect("a valid chart");
    assert_eq!(door.start(), Door::Shut);
    let table: Vec<_> = Door::all()
        .iter()
        .flat_map(|state| Input::all().iter().map(|event| door.next(*state, *event)))
        .collect();
    let expected = [
        Some(Door::Open),
        Some(Door::Sealed),
        Some(Door::Shut),
        None,
        None,
        None,
    ];
    assert_eq!(table, expected);
}

/// Guards against an invalid chart that is accepted or reported with the wrong line.
#[yare::parameterized(
    unknown_state = { DOOR.replace("= open", "= ajar"), "door.ini:4: unknown state \"ajar\"" },
    unknown_section = { format!("{DOOR}[ajar]\n"), "door.ini:9: unknown state \"ajar\"" },
    unknown_event = { DOOR.replace("seal =", "kick ="), "door.ini:5: unknown event \"kick\"" },
    unknown_key = { DOOR.replace("start =", "begin ="), "door.ini:2: unknown key \"begin\"" },
    duplicate_event = {
        DOOR.replace("seal = sealed", "seal = sealed\npush = shut"),
        "door.ini:6: duplicate event \"push\", first defined on line 4"
    },
    duplicate_section = {
        format!("{DOOR}[shut]"), "door.ini:9: duplicate section \"shut\", first defined on line 3"
    },
    unreachable = {
        DOOR.replace("seal = sealed\n", ""),
        "door.ini:7: state \"sealed\" cannot be reached from the start state"
    },
    missing_state = { DOOR.replace("[sealed]\n", ""), "door.ini: no section for \"sealed\"" },
    no_start = {
        DOOR.replace("start = shut\n", ""),
        "door.ini: section \"chart\" has no key \"start\""
    },
    no_value = { format!("{DOOR}push\n"), "door.ini:9: expected \"event = state\"" },
    malformed_header = { format!("{DOOR}[shut\n"), "door.ini:9: expected a section header" },
)]
fn invalid_chart_is_rejected(text: String, expected: &str) {
    let error = parse_error(&text);
    assert!(error.contains(expected), "{error}");
}

/// Guards against a parser that stops at the first problem.
#[test]
fn all_problems_are_reported() {
    let error = parse_error(&DOOR.replace("= open", "= ajar").replace("seal =", "kick ="));
    assert!(error.contains("ajar") && error.contains("kick"), "{error}");
}
