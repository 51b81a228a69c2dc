//! Consistency of the operators' page with the code.

#![allow(clippy::expect_used)]

use std::collections::BTreeSet;
use std::path::Path;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const METRICS: &str = include_str!("../src/metrics.rs");
const LOG: &str = include_str!("../src/log.rs");
const PLATFORM: &str = include_str!("../src/platform.rs");
const DAEMON: &str = include_str!("../src/bin/pollenpind.rs");

type Set = BTreeSet<String>;

/// Returns the text of every source file of the daemon.
fn sources(directory: &Path) -> Vec<String> {
    let mut texts = Vec::new();
    for entry in std::fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            texts.extend(sources(&path));
        } else {
            texts.push(std::fs::read_to_string(&path).expect("a source file"));
        }
    }
    texts
}

fn all_sources() -> Vec<String> {
    sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"))
}

/// Returns each string literal that follows an occurrence of `before`, ignoring white space
/// between.
fn literals_after(text: &str, before: &str) -> Vec<String> {
    let rests = text.split(before).skip(1).map(str::trim_start);
    rests
        .filter_map(|rest| Some(rest.strip_prefix('"')?.split('"').next()?.to_owned()))
        .collect()
}

/// Returns the cells of all rows of the table whose header row begins with `first`.
fn rows(first: &str) -> Vec<Vec<String>> {
    let (_, table) = PAGE.split_once(first).expect("the table");
    let lines = table.lines().skip(2).take_while(|line| !line.is_empty());
    lines
        .map(|line| line.trim_matches('|').split('|'))
        .map(|cells| cells.map(|cell| cell.trim().to_owned()).collect())
        .collect()
}

/// Returns all strings in backticks.
fn in_backticks(text: &str) -> Set {
    text.split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Guards against an undocumented metric, and against a row without a metric or with the wrong
/// type.
#[test]
fn every_metric_is_on_the_page() {
    let declared = |kind: &str| METRICS.matches(kind).count();
    let names = |forms: &[&str]| -> Vec<String> {
        let found = forms.iter().flat_map(|form| literals_after(METRICS, form));
        found.map(|name| format!("pollenpin_{name}")).collect()
    };
    let counters = names(&[" counter(", " counters("]);
    let gauges = names(&[" gauge(", "Opts::new("]);
    // Fails if a metric is registered in a form that this test does not recognize.
    assert_eq!(
        counters.len(),
        declared(": IntCounter,\n") + declared(": IntCounterVec,\n")
    );
    assert_eq!(
        gauges.len(),
        declared(": IntGauge,\n") + declared(": IntGaugeVec,\n")
    );
    let typed = |names: Vec<String>, kind: &'static str| {
        names
            .into_iter()
            .map(move |name| format!("`{name}` {kind}"))
    };
    let code: Set = typed(counters, "counter")
        .chain(typed(gauges, "gauge"))
        .collect();
    let page = rows("| metric | type |");
    let page: Set = page
        .iter()
        .map(|row| format!("{} {}", row[0], row[1]))
        .collect();
    assert_eq!(page, code);
}

/// Guards against an undocumented label value.
#[test]
fn every_label_value_is_on_the_page() {
    let mut values = literals_after(METRICS, "=>");
    let (outcomes, _) = PLATFORM.split_once("fn key_path(").expect("the outcomes");
    values.extend(literals_after(outcomes, "=>"));
    for source in all_sources() {
        values.extend(literals_after(&source, "metrics.count_drop("));
    }
    // The kind of a control event is the last expression of its match arm.
    let last = |line: &str| Some(line.trim().strip_prefix('"')?.strip_suffix('"')?.to_owned());
    let kinds: Vec<String> = LOG.lines().filter_map(last).collect();
    assert_eq!(
        kinds.len(),
        LOG.matches("ControlLogEvent::").count(),
        "{kinds:?}"
    );
    values.extend(kinds);
    let page = in_backticks(PAGE);
    let missing: Vec<_> = values
        .iter()
        .filter(|value| !page.contains(*value))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}

/// Returns the arguments of each call of a macro.
fn macro_calls<'a>(text: &'a str, name: &str) -> Vec<&'a str> {
    let rests = text
        .split(&format!(" {name}!("))
        .skip(1)
        .collect::<Vec<_>>();
    rests
        .into_iter()
        .map(|rest| rest.split(");").next().unwrap_or(rest))
        .collect()
}

/// Parses a log call into level, message, possible steps and fields.
fn parse_log_call(level: &str, call: &str, tasks: &Set) -> (String, String, Set, Set) {
    let literals: Vec<&str> = call.split('"').skip(1).step_by(2).collect();
    let between: Vec<&str> = call.split('"').skip(2).step_by(2).collect();
    let is_key = |after: &&str| after.trim_start().starts_with("=>");
    let pairs = literals.iter().zip(&between);
    let fields = pairs
        .filter(|(_, after)| is_key(after))
        .map(|(key, _)| *key);
    let fields = fields.filter(|key| *key != "step").map(str::to_owned);
    let step = literals_after(call, "\"step\" =>").pop();
    let steps = step.map_or_else(|| tasks.clone(), |step| Set::from([step]));
    (
        level.to_owned(),
        literals[0].to_owned(),
        steps,
        fields.collect(),
    )
}

/// Guards against an undocumented log event or field, and against a row without an event.
#[test]
fn every_log_event_is_on_the_page() {
    let sources = all_sources();
    let tasks = sources
        .iter()
        .flat_map(|text| literals_after(text, "spawn("));
    let tasks: Set = tasks.collect();
    let mut code = BTreeSet::new();
    for level in ["crit", "error", "warn", "info", "debug", "trace"] {
        for source in &sources {
            let found = macro_calls(source, level);
            code.extend(found.iter().map(|call| parse_log_call(level, call, &tasks)));
        }
    }
    let page = rows("| level | message |").into_iter().map(|row| {
        let one = |cell: &str| in_backticks(cell).pop_first().expect("a quoted cell");
        (
            one(&row[0]),
            one(&row[1]),
            in_backticks(&row[2]),
            in_backticks(&row[3]),
        )
    });
    assert_eq!(page.collect::<BTreeSet<_>>(), code);
}

/// Guards against an undocumented exit code of the daemon.
#[test]
fn every_exit_code_is_on_the_page() {
    let (_, help) = DAEMON.split_once("Exit codes:\n").expect("the help");
    let help = help.split('"').next().unwrap_or_default();
    let in_help: Set = help
        .lines()
        .filter_map(|line| Some(line.split_whitespace().next()?.to_owned()))
        .collect();
    let constants = DAEMON.lines().filter(|line| {
        line.starts_with("const EXIT_") && (line.contains(": u8 =") || line.contains(": i32 ="))
    });
    let value = |line: &str| {
        line.split("= ")
            .nth(1)
            .map(|rest| rest.trim_matches(';').to_owned())
    };
    let mut code: Set = constants.filter_map(value).collect();
    code.insert("0".to_owned());
    for call in ["process::exit(", "ExitCode::from("] {
        for source in all_sources() {
            let is_named = |rest: &str| rest.starts_with("EXIT_");
            assert!(
                source.split(call).skip(1).all(is_named),
                "{call} must be called with a named constant"
            );
        }
    }
    assert_eq!(in_help, code);
    let page = rows("| program | code |");
    let page = page.iter().filter(|row| row[0] == "`pollenpind`");
    assert_eq!(page.map(|row| row[1].clone()).collect::<Set>(), code);
}
