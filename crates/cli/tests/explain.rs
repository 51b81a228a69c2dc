//! The history of a flow from the log lines of several daemons.

#![allow(clippy::expect_used, clippy::unwrap_used)]

use std::path::PathBuf;

use clap::Parser;
use cli::args::Args;

/// Log of the first of two instances. The clock of the second is an hour ahead; the flow continues
/// there.
const FIRST: &str = r#"
   0.1 x {"msg":"flow placed","level":"INFO","ts":"2026-01-01T10:00:00.1Z","instance":"a1","revision":7,"target":"2b","flow":"100.64.0.1:9-198.18.0.1:443"}
{"msg":"flow placed","level":"INFO","ts":"2026-01-01T10:00:00.2Z","instance":"a1","revision":7,"target":"3c","flow":"100.64.0.2:9-198.18.0.1:443"}
{"msg":"target changed","level":"INFO","ts":"2026-01-01T10:00:00.9Z","instance":"a1","revision":9,"to":"gone","target":"2b"}
another program's line {
"#;
const SECOND: &str = r#"
{"msg":"no answer from target","level":"WARN","ts":"2026-01-01T11:00:00.5Z","instance":"a2","revision":8,"target":"2b","flow":"100.64.0.1:9-198.18.0.1:443"}
"#;

fn explain(name: &str, flow: &str, logs: &[&str]) -> cli::Report {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let files: Vec<PathBuf> = logs
        .iter()
        .enumerate()
        .map(|(part, text)| {
            let file = folder.join(format!("explain-{name}-{part}.log"));
            std::fs::write(&file, text).expect("a file");
            file
        })
        .collect();
    let arguments = ["pollenpin", "explain", flow]
        .into_iter()
        .map(std::ffi::OsString::from)
        .chain(files.into_iter().map(Into::into));
    cli::run(&Args::parse_from(arguments)).expect("a report")
}

fn messages(report: &cli::Report) -> Vec<&str> {
    let lines = report.json.as_array().unwrap().iter();
    lines.map(|line| line["msg"].as_str().unwrap()).collect()
}

/// Guards against an order that depends on the clocks of the instances.
#[test]
fn lines_are_ordered_by_revision_and_not_by_clock() {
    let report = explain("order", "100.64.0.1:9", &[FIRST, SECOND]);
    assert_eq!(
        messages(&report),
        ["flow placed", "no answer from target", "target changed"]
    );
}

/// Guards against lines from after a restore of the store, which gives out revisions again, among
/// those from before it.
#[test]
fn lines_after_a_restore_of_the_store_come_last() {
    const LOG: &str = r#"
{"msg":"flow placed","ts":"2026-01-01T10:00:02Z","instance":"a1","epoch":2,"revision":7,"target":"2b","flow":"100.64.0.1:9-198.18.0.1:443"}
{"msg":"no answer from target","ts":"2026-01-01T10:00:03Z","instance":"a1","target":"2b","flow":"100.64.0.1:9-198.18.0.1:443"}
{"msg":"flow reset","ts":"2026-01-01T11:00:01Z","instance":"a2","epoch":1,"revision":9,"flow":"100.64.0.1:9-198.18.0.1:443"}
"#;
    let report = explain("restore", "100.64.0.1:9", &[LOG]);
    assert_eq!(
        messages(&report),
        ["flow reset", "flow placed", "no answer from target"]
    );
}

#[test]
fn other_flows_are_left_out() {
    let report = explain("others", "100.64.0.2:9", &[FIRST, SECOND]);
    assert!(!report.text.contains("100.64.0.1:9"), "{}", report.text);
}

#[test]
fn unknown_flow_is_a_finding() {
    let report = explain("unknown", "100.64.0.3:9", &[FIRST, SECOND]);
    assert_eq!(report.exit_status as u8, 1);
    assert!(report.text.contains("no line names"), "{}", report.text);
}
