//! Consistency of the operators' page with the code.

#![allow(clippy::expect_used)]

use std::collections::BTreeSet;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const REPORT: &str = include_str!("../src/report.rs");

/// Guards against an undocumented exit code of the command-line tool.
#[test]
fn every_exit_code_is_on_the_page() {
    let (_, codes) = REPORT
        .split_once("pub enum ExitStatus {")
        .expect("the codes");
    let codes = codes.split('}').next().unwrap_or_default();
    let value = |line: &str| Some(line.split_once(" = ")?.1.trim_matches(',').to_owned());
    let code: BTreeSet<String> = codes.lines().filter_map(value).collect();
    let row = |line: &str| {
        let rest = line.strip_prefix("| `pollenpin` | ")?;
        Some(rest.split_once(" |")?.0.to_owned())
    };
    let page: BTreeSet<String> = PAGE.lines().filter_map(row).collect();
    assert!(!code.is_empty());
    assert_eq!(page, code);
}
