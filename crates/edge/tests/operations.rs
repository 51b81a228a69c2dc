//! The operators' page against the code of the steering daemon.

#![allow(clippy::expect_used)]

use std::collections::BTreeSet;
use std::path::Path;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const METRICS: &str = include_str!("../src/metrics.rs");

/// Returns what stands in backticks in the first column of a table.
fn first_column(heading: &str) -> BTreeSet<String> {
    let (_, table) = PAGE.split_once(heading).expect("the table");
    table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'))
        .filter_map(|line| line.split('|').nth(1))
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .map(str::to_owned)
        .collect()
}

fn sources() -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    std::fs::read_dir(folder)
        .expect("the sources")
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.extension().is_some_and(|ending| ending == "rs"))
        .map(|path| std::fs::read_to_string(path).expect("a source file"))
        .collect()
}

/// Returns the first literal after each occurrence of `before`.
fn literals_after(text: &str, before: &str) -> BTreeSet<String> {
    text.split(before)
        .skip(1)
        .filter_map(|rest| rest.split('"').nth(1))
        .map(str::to_owned)
        .collect()
}

/// Guards against a metric that operators cannot look up, and against a row without a metric.
#[test]
fn every_metric_is_on_the_page() {
    let mut code = BTreeSet::new();
    for form in [": counter(", ": gauge(", ": counter_by(", ": latency("] {
        code.extend(literals_after(METRICS, form));
    }
    let code: BTreeSet<String> = code
        .into_iter()
        .map(|name| format!("pollenpin_edge_{name}"))
        .collect();
    assert_eq!(first_column("| steering metric |"), code);
}

/// Guards against a log line that operators cannot look up, and against a row without a line.
#[test]
fn every_log_line_is_on_the_page() {
    let sources = sources();
    let mut code = BTreeSet::new();
    for form in [" info!(", " warn!(", " debug!("] {
        code.extend(literals_after(&sources, form));
    }
    assert_eq!(first_column("| steering line |"), code);
}

/// Guards against a reason of a reset or a drop that operators cannot look up.
#[test]
fn every_reason_is_on_the_page() {
    let sources = sources();
    let code: BTreeSet<String> = sources
        .lines()
        .filter(|line| line.contains("Drop::") || line.contains("Refusal::"))
        .filter_map(|line| line.split_once("=> \"")?.1.split('"').next())
        .map(str::to_owned)
        .collect();
    let page = first_column("| reason | of |");
    let missing: Vec<_> = code.difference(&page).collect();
    assert!(
        missing.is_empty() && code.len() >= 8,
        "{missing:?} of {code:?}"
    );
}
