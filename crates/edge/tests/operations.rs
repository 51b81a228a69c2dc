//! Compares the tables of the operators' page with the source code of the steering daemon.

#![allow(clippy::expect_used)]

use std::collections::BTreeSet;
use std::path::Path;

const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const METRICS_SOURCE: &str = include_str!("../src/metrics.rs");

/// Returns all text in backticks in the first column of the table with the given heading.
fn first_column_literals(heading: &str) -> BTreeSet<String> {
    let (_, table) = OPERATIONS_PAGE
        .split_once(heading)
        .expect("the table on the page");
    table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'))
        .filter_map(|line| line.split('|').nth(1))
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .map(str::to_owned)
        .collect()
}

fn read_sources() -> String {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    std::fs::read_dir(directory)
        .expect("the source directory")
        .map(|entry| entry.expect("a directory entry").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
        .map(|path| std::fs::read_to_string(path).expect("a source file"))
        .collect()
}

/// Returns the first string literal after each occurrence of `before`.
fn literals_after(text: &str, before: &str) -> BTreeSet<String> {
    text.split(before)
        .skip(1)
        .filter_map(|rest| rest.split('"').nth(1))
        .map(str::to_owned)
        .collect()
}

/// Guards against metrics that are not documented, and against documented metrics that do not
/// exist.
#[test]
fn every_metric_is_on_the_page() {
    let mut in_code = BTreeSet::new();
    for pattern in [
        ": counter(",
        ": gauge(",
        ": gauge_by(",
        ": counter_by(",
        ": latency(",
    ] {
        in_code.extend(literals_after(METRICS_SOURCE, pattern));
    }
    let in_code: BTreeSet<String> = in_code
        .into_iter()
        .map(|name| format!("pollenpin_edge_{name}"))
        .collect();
    assert_eq!(first_column_literals("| steering metric |"), in_code);
}

/// Guards against log messages that are not documented, and against documented messages that do not
/// exist.
#[test]
fn every_log_line_is_on_the_page() {
    let sources = read_sources();
    let mut in_code = BTreeSet::new();
    for pattern in [" info!(", " warn!(", " debug!("] {
        in_code.extend(literals_after(&sources, pattern));
    }
    assert_eq!(first_column_literals("| steering line |"), in_code);
}

/// Guards against undocumented reasons for resets and dropped packets.
#[test]
fn every_reason_is_on_the_page() {
    let sources = read_sources();
    let in_code: BTreeSet<String> = sources
        .lines()
        .filter(|line| line.contains("DropReason::") || line.contains("ResetReason::"))
        .filter_map(|line| line.split_once("=> \"")?.1.split('"').next())
        .map(str::to_owned)
        .collect();
    let page = first_column_literals("| reason | of |");
    let missing: Vec<_> = in_code.difference(&page).collect();
    assert!(
        missing.is_empty() && in_code.len() >= 8,
        "{missing:?} of {in_code:?}"
    );
}
