//! Tests of `pollenpin steering`.

#![allow(clippy::expect_used)]

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};

use clap::Parser;
use cli::args::Args;

const STATUS: &str = r#"{"instance":"a1","domain":"a","is_ready":false,"view_age_ms":20000,
"beliefs":{"version":3,"revision":9,"flows":1,"targets":[{"service":"rates","id":"2b","domain":"a",
"address":"10.0.0.1:80","standing":"serving","is_avoided":true,"waiting":1,"flows":1},
{"service":"rates","id":"2c","domain":"a","address":"10.0.0.2:80","standing":"cold",
"is_avoided":false,"waiting":0,"flows":0}]}}"#;

const EVACUATING: &str = r#"{"instance":"a2","domain":"a","is_ready":true,"view_age_ms":20,
"beliefs":{"version":3,"revision":9,"flows":0,"evacuated_domains":["b","c"],"targets":[]}}"#;

const SERVING: &str = r#"{"instance":"a3","domain":"a","is_ready":true,"view_age_ms":20,
"beliefs":{"version":3,"revision":9,"flows":0,"evacuated_domains":["b"],
"balance":[{"service":"rates","busiest_over_mean_milli":1230}],"targets":[]}}"#;

/// Serves one HTTP response and returns the address.
fn serve_once(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).expect("a request");
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n";
        let _ = write!(stream, "{head}content-length: {}\r\n\r\n{body}", body.len());
    });
    address
}

fn run(address: &str) -> cli::Report {
    run_all(&[address])
}

fn run_all(addresses: &[&str]) -> cli::Report {
    let arguments = ["pollenpin", "steering", "--wait-ms", "2000"];
    cli::run(&Args::parse_from(arguments.iter().chain(addresses))).expect("a report")
}

#[test]
fn findings_and_targets_are_shown() {
    let report = run(&serve_once(STATUS).to_string());
    assert_eq!(report.exit_status as u8, 1, "{}", report.text);
    for part in [
        "a1 is not ready",
        "a view of 20s",
        "avoids 2b",
        "rates",
        "cold",
    ] {
        assert!(report.text.contains(part), "{part}: {}", report.text);
    }
}

/// Guards against an uneven load that operators cannot see.
#[test]
fn balance_is_shown() {
    let report = run(&serve_once(SERVING).to_string());
    let line = "a3: busiest target of rates in a has 1.23 of the mean busy time";
    assert!(report.text.contains(line), "{}", report.text);
}

/// Guards against an evacuation that is not shown, or counts as a fault of the instance.
#[test]
fn evacuated_domains_are_shown() {
    let report = run(&serve_once(EVACUATING).to_string());
    assert_eq!(report.exit_status as u8, 0, "{}", report.text);
    assert!(report.text.contains("a2 evacuates b, c"), "{}", report.text);
    assert!(
        report
            .json
            .to_string()
            .contains("\"evacuated_domains\":[\"b\",\"c\"]")
    );
}

/// Guards against an order that has not reached all instances and stays unnoticed.
#[test]
fn instance_without_an_order_is_a_finding() {
    let addresses = [EVACUATING, SERVING].map(|status| serve_once(status).to_string());
    let report = run_all(&addresses.each_ref().map(String::as_str));
    assert_eq!(report.exit_status as u8, 1, "{}", report.text);
    let finding = "a3 does not evacuate c, another does";
    assert!(report.text.contains(finding), "{}", report.text);
}

#[test]
fn unreachable_daemon_has_its_own_code() {
    // No process of a test run listens on this address and port.
    let report = run("127.255.255.1:1");
    assert_eq!(report.exit_status as u8, 3, "{}", report.text);
}
