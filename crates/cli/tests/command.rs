//! Tests of the program `pollenpin` as a process.

#![allow(clippy::expect_used)]

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
const DOCUMENT: &str = include_str!("../../../examples/hunarmand/document.ini");

struct CommandOutput {
    code: Option<i32>,
    out: String,
    err: String,
}

impl CommandOutput {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect("JSON output")
    }
}

fn pollenpin(args: &[&str]) -> CommandOutput {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_pollenpin"))
        .args(args)
        .current_dir(ROOT)
        .output()
        .expect("the program starts");
    CommandOutput {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).expect("UTF-8"),
        err: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

/// Creates an empty directory for one test.
fn create_directory(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a directory");
    path
}

fn write_file(directory: &Path, name: &str, text: &str) -> String {
    let path = directory.join(name);
    std::fs::write(&path, text).expect("a file");
    path.display().to_string()
}

/// Guards against examples that the current code rejects.
#[yare::parameterized(
    hunarmand_settings = { "examples/hunarmand/pollenpind.ini", "settings" },
    hunarmand_document = { "examples/hunarmand/document.ini", "document" },
    morava_settings = { "examples/morava/pollenpind.ini", "settings" },
    morava_document = { "examples/morava/document.ini", "document" },
)]
fn example_is_fine(path: &str, kind: &str) {
    let run = pollenpin(&["check", path]);
    assert_eq!(run.out, format!("{path}: {kind}, fine\n"), "{}", run.err);
    assert_eq!(run.code, Some(0));
}

/// Guards against an example whose size no longer matches that of its user.
#[yare::parameterized(
    hunarmand = { "hunarmand", "rates", "submissions" },
    morava = { "morava", "trade", "warrants" },
)]
fn example_has_the_users_size(user: &str, many: &str, few: &str) {
    let path = format!("examples/{user}/document.ini");
    let text = std::fs::read_to_string(Path::new(ROOT).join(path)).expect("an example");
    let document = conf::document::parse("d.ini", &text).expect("a valid example");
    let targets = |service: &str| {
        let service = &document.services[&service.parse().expect("a name")];
        service.targets.len()
    };
    assert_eq!((targets(many), targets(few)), (14, 4));
    let services = document.services.values();
    let targets = services.flat_map(|service| service.targets.values());
    let domains: std::collections::BTreeSet<_> = targets.map(|target| &target.domain).collect();
    assert_eq!(domains.len(), 4);
}

/// Guards against problems that are missing from the text or JSON output.
#[test]
fn check_lists_problems_of_all_files() {
    let directory = create_directory("check");
    let document = write_file(
        &directory,
        "d.ini",
        &DOCUMENT.replace("slots = 2", "slots = 0"),
    );
    let list = write_file(&directory, "i.ini", "[instance.a1]\ndomain = a\n");
    let unknown = write_file(&directory, "u.ini", "[other]\n");
    let run = pollenpin(&["check", &document, &list, &unknown]);
    assert_eq!(run.code, Some(1));
    assert!(
        run.out.contains("slots = 0: expected 1 to 100000"),
        "{}",
        run.out
    );
    assert!(
        run.out
            .contains(&format!("{list}: instance list, 3 problems")),
        "{}",
        run.out
    );
    let expected = format!("{unknown}:1: expected a section instance, document");
    assert!(run.out.contains(&expected), "{}", run.out);
    assert!(run.out.contains("unknown kind, 1 problem"), "{}", run.out);
    let json = pollenpin(&["--json", "check", &document]).json();
    assert_eq!(json[0]["problems"].as_array().map(Vec::len), Some(18));
    assert_eq!(json[0]["problems"][0]["key"], "slots");
}

/// Guards against wrong exit codes; scripts rely on them.
#[yare::parameterized(
    no_command = { &[], 2 },
    unknown_option = { &["check", "--loud"], 2 },
    no_file = { &["check", "examples/none.ini"], 2 },
    unknown_service = { &["route", "--document", "examples/morava/document.ini", "--service", "x", "--flow", "1"], 2 },
    bad_flow = { &["route", "--document", "examples/morava/document.ini", "--service", "trade", "--flow", "xyz"], 2 },
    refused_document = { &["diff", "examples/morava/pollenpind.ini", "examples/morava/document.ini"], 1 },
    help = { &["--help"], 0 },
)]
fn exit_code_matches_the_outcome(args: &[&str], expected: i32) {
    let run = pollenpin(args);
    assert_eq!(run.code, Some(expected), "{}{}", run.out, run.err);
}

/// Guards against a loss of flows without a warning, and against an estimate that does not match
/// the placement: of 14 equal targets, four are in d1, so removing one of these moves a quarter of
/// the flows of d1.
#[test]
fn diff_warns_and_estimates() {
    let directory = create_directory("diff");
    let old = write_file(&directory, "old.ini", DOCUMENT);
    let draining = DOCUMENT
        .replacen("state = serving", "state = draining", 1)
        .replace("version = 1", "version = 2");
    let new = write_file(&directory, "new.ini", &draining);
    let run = pollenpin(&["diff", &old, &new]);
    assert!(
        run.out.contains("target rates/rates-01 drained"),
        "{}",
        run.out
    );
    assert_eq!(run.code, Some(0));
    let json = pollenpin(&["--json", "diff", &old, &new]).json();
    let moved = json["moved"][0]["permille"].as_u64().expect("a share");
    assert!((55..=70).contains(&moved), "{moved}");
    let renamed = write_file(
        &directory,
        "renamed.ini",
        &draining.replace("rates-02", "rates-99"),
    );
    let run = pollenpin(&["diff", &old, &renamed]);
    assert!(
        run.out.contains("warning  target rates/rates-02 removed"),
        "{}",
        run.out
    );
    assert_eq!(run.code, Some(1));
    assert_eq!(pollenpin(&["diff", &old, &old]).out, "no changes\n");
    let refused = write_file(
        &directory,
        "refused.ini",
        &DOCUMENT.replace("version = 1\n", ""),
    );
    let json = pollenpin(&["--json", "diff", &old, &refused]).json();
    assert_eq!(json["problems"][0]["key"], "version");
}

/// Guards against published values from which the document cannot be assembled.
#[test]
fn packed_values_assemble() {
    let directory = create_directory("pack");
    let out = directory.join("publish");
    let out = out.to_str().expect("UTF-8");
    let run = pollenpin(&["pack", "examples/hunarmand/document.ini", "--out", out]);
    assert_eq!(run.code, Some(0), "{}", run.err);
    let root = std::fs::read(Path::new(out).join("root")).expect("a root");
    let root = conf::packed::Root::parse(&root).expect("a sound root");
    let parts = std::fs::read_dir(Path::new(out).join("part")).expect("parts");
    let values: std::collections::HashMap<_, _> = parts
        .map(|entry| entry.expect("an entry"))
        .map(|entry| {
            let name = entry.file_name().into_string().expect("UTF-8");
            let hash: ids::ContentHash = name.parse().expect("a hash");
            (hash, std::fs::read(entry.path()).expect("a value"))
        })
        .collect();
    let document = root
        .assemble(|hash| values.get(&hash).map(Vec::as_slice), |_| true)
        .expect("a whole document");
    assert_eq!(Ok(document), conf::document::parse("d.ini", DOCUMENT));
    let again = pollenpin(&[
        "--json",
        "pack",
        "examples/hunarmand/document.ini",
        "--out",
        out,
    ]);
    assert_eq!(again.json()["new_values"], 0);
}

/// Guards against an explanation that names a target other than the one that instances choose.
#[yare::parameterized(
    with_domain = { &["--domain", "d3"], "targets in failure domain d3, which come first" },
    other_domain = { &["--domain", "d9"], "none in failure domain d9 takes new flows" },
    no_domain = { &[], "no failure domain of the caller was given" },
)]
fn route_explains_the_choice(domain: &[&str], why: &str) {
    let base = [
        "--json",
        "route",
        "--document",
        "examples/morava/document.ini",
    ];
    let flow = ["--service", "trade", "--flow", "1f3a"];
    let run = pollenpin(&[&base[..], &flow, domain].concat());
    let json = run.json();
    assert!(
        json["why"].as_str().is_some_and(|text| text.contains(why)),
        "{json:#}"
    );
    assert_eq!(json["candidates"].as_array().map(Vec::len), Some(14));
    let chosen = |candidate: &&Value| candidate["note"] == "choice";
    let candidates = json["candidates"].as_array().expect("candidates");
    let choice = candidates.iter().find(chosen).expect("a choice");
    assert_eq!(choice["target"], json["choice"]);
    if domain.contains(&"d3") {
        assert_eq!(choice["domain"], "d3");
    }
}

/// Serves the given bytes as the response to every connection, in place of an instance's HTTP
/// endpoint.
fn serve(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 1024];
            let _ = stream.read(&mut request);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

fn status_of(name: &str, version: u64, ready: bool) -> String {
    let body = serde_json::json!({
        "instance": name, "domain": "d1", "state": "live", "ready": ready,
        "version": version, "preset": "ordinary",
        "root_hash": "000102030405060708090a0b0c0d0e0f", "staleness_ms": 120,
        "version_conflicts": 0, "flows": 10, "queued": 2, "in_flight": 3,
        "targets": [
            {"service": "rates", "name": "rates-01", "state": "serving", "in_flight": 1, "flows": 4},
            {"service": "rates", "name": "rates-02", "state": "silent", "in_flight": 0, "flows": 0},
        ],
        "peers": [{"name": "b1", "domain": "d2", "state": "live", "reach": "reachable", "version": version}],
    });
    let body = body.to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}

/// Guards against an overview that omits the fault of one of several instances.
#[test]
fn status_lists_instances_and_findings() {
    let a = serve(status_of("a1", 8, true)).to_string();
    let b = serve(status_of("b1", 7, false)).to_string();
    let run = pollenpin(&["status", &a]);
    assert_eq!(run.code, Some(0), "{}", run.out);
    assert!(run.out.contains("1/2 serving"), "{}", run.out);
    let run = pollenpin(&["status", "--details", &a, &b]);
    assert_eq!(run.code, Some(1));
    assert!(run.out.contains("b1 is not ready (live)"), "{}", run.out);
    assert!(
        run.out.contains("b1 has version 7, a1 has 8"),
        "{}",
        run.out
    );
    assert!(run.out.contains("peers of b1:"), "{}", run.out);
    let json = pollenpin(&["--json", "status", &a, &b]).json();
    assert_eq!(json["findings"].as_array().map(Vec::len), Some(2));
}

/// Guards against reporting an unresponsive instance as healthy.
#[yare::parameterized(
    closed = { "" },
    refused = { "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n" },
    other_body = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}" },
)]
fn unreachable_instance_has_its_own_exit_code(answer: &str) {
    let good = serve(status_of("a1", 8, true)).to_string();
    let bad = serve(answer.to_owned()).to_string();
    let run = pollenpin(&["status", &good, &bad]);
    assert_eq!(run.code, Some(3), "{}", run.out);
    assert!(
        run.out.contains(&format!("{bad} cannot be reached")),
        "{}",
        run.out
    );
    assert!(run.out.contains("a1"), "{}", run.out);
}

/// Guards against help without examples and against an empty completion script.
#[test]
fn help_and_completion_are_printed() {
    for command in ["check", "diff", "pack", "status", "route", "completion"] {
        let help = pollenpin(&[command, "--help"]).out;
        assert!(help.contains(&format!("pollenpin {command}")), "{help}");
        assert!(help.contains("Example"), "{help}");
        assert!(pollenpin(&[command, "-h"]).out.len() < help.len());
    }
    assert!(
        pollenpin(&["completion", "bash"])
            .out
            .contains("_pollenpin")
    );
}
