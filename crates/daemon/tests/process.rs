//! The daemon as a process: settings, readiness, endpoints and signals.

#![allow(clippy::expect_used)]

mod kit;

use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use conf::status::{InstanceState, Status};
use kit::instance::Instance;
use kit::{receive, send};
use reqwest::StatusCode;
use wire::frame::{Frame, Kind};

fn run(name: &str, settings: &str) -> Output {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, settings).expect("a writable directory");
    Command::new(env!("CARGO_BIN_EXE_pollenpind"))
        .arg("--settings")
        .arg(&file)
        .output()
        .expect("the program runs")
}

/// Guards against a daemon that starts with invalid settings or reports only the first of several
/// errors.
#[test]
fn all_settings_errors_are_printed() {
    let text = "[instance]\nname = a1\ndomain = a\n[limits]\nshards = many\nidle = 5\n";
    let output = run("bad.ini", text);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{errors}");
    for key in ["group", "shards = many", "idle = 5", "address", "key"] {
        assert!(errors.contains(key), "{key} is not in {errors}");
    }
}

/// Guards against a start without settings that is not reported as an error.
#[test]
fn missing_file_is_an_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_pollenpind"))
        .args(["--settings", "no-such-file.ini"])
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("no-such-file.ini"), "{errors}");
}

/// Starts a daemon with one target, whose socket the test controls.
async fn start_serving(test: &str) -> (Instance, UdpSocket) {
    let instance = Instance::start(test).await;
    let target = kit::socket();
    let address = target.local_addr().expect("a bound socket");
    instance.publish(&kit::one_target(address));
    instance.wait_for("/ready", StatusCode::OK).await;
    (instance, target)
}

/// Sends a request and returns the frame that the target received, with its sender.
fn start_request(
    instance: &Instance,
    caller: &UdpSocket,
    target: &UdpSocket,
) -> (Frame, std::net::SocketAddr) {
    let request = Frame {
        service: "rates".to_owned(),
        class: "lookup".to_owned(),
        request: 5,
        domain: "a".to_owned(),
        deadline_ms: 20_000,
        ..Frame::new(Kind::Request)
    };
    send(caller, instance.frames, &request);
    let (at_target, from) = receive(target);
    assert_eq!(at_target.request, 5);
    (at_target, from)
}

/// Guards against readiness without a document, and against an instance that never becomes ready.
#[tokio::test(flavor = "multi_thread")]
async fn ready_only_with_a_document() {
    let instance = Instance::start("ready").await;
    instance.wait_for("/health", StatusCode::OK).await;
    // Longer than a joining instance waits for peers, so that only the document is missing.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let (status, _) = instance.get("/ready").await.expect("it listens");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let target = kit::socket().local_addr().expect("a bound socket");
    instance.publish(&kit::one_target(target));
    instance.wait_for("/ready", StatusCode::OK).await;
}

/// Guards against a new instance that cannot serve during an outage of the configuration service,
/// although a peer has the document.
#[tokio::test(flavor = "multi_thread")]
async fn new_instance_gets_the_document_from_a_seed() {
    let (first, _target) = start_serving("seed").await;
    let second = first.start_seeded("seeded");
    second.wait_for("/ready", StatusCode::OK).await;
    let (_, text) = second.get("/status").await.expect("it listens");
    let status: Status = serde_json::from_str(&text).expect("a status");
    assert_eq!(status.version.map(|version| version.0), Some(1));
}

/// Guards against metrics or a status that a scraper or the command-line tool cannot parse.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_and_status_are_readable() {
    let (instance, _target) = start_serving("status").await;
    let (_, text) = instance.get("/status").await.expect("it listens");
    let status: Status = serde_json::from_str(&text).expect("a status");
    assert_eq!(
        (status.instance.as_str(), status.state),
        ("a1", InstanceState::Live)
    );
    assert_eq!(status.version.map(|version| version.0), Some(1));
    assert_eq!(status.targets.len(), 1);
    let (_, text) = instance.get("/metrics").await.expect("it listens");
    let lines = [
        "pollenpin_document_version 1",
        "pollenpin_ready 1",
        "pollenpin_targets_serving{service=\"rates\"} 1",
        "pollenpin_peers_in_view 1",
    ];
    for line in lines {
        assert!(
            text.lines().any(|found| found == line),
            "{line} is not in {text}"
        );
    }
}

/// Guards against a graceful stop that aborts a request in progress.
#[tokio::test(flavor = "multi_thread")]
async fn stop_waits_for_a_request() {
    let (mut instance, target) = start_serving("stop").await;
    let caller = kit::socket();
    let (at_target, from) = start_request(&instance, &caller, &target);
    instance.terminate().await;
    instance
        .wait_for("/ready", StatusCode::SERVICE_UNAVAILABLE)
        .await;
    // Longer than an idle instance takes to stop, so that only the request keeps it running.
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let answer = Frame {
        kind: Kind::Answer.into(),
        last: true,
        body: b"done".to_vec(),
        ..at_target
    };
    send(&target, from, &answer);
    assert_eq!(receive(&caller).0.body, b"done");
    let ended = instance.child.wait().await.expect("the daemon ends");
    assert_eq!(ended.code(), Some(0));
}

/// Guards against a second signal that waits for the graceful stop instead of ending the process.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends_immediately() {
    let (mut instance, target) = start_serving("signals").await;
    let caller = kit::socket();
    let _in_progress = start_request(&instance, &caller, &target);
    instance.terminate().await;
    instance
        .wait_for("/ready", StatusCode::SERVICE_UNAVAILABLE)
        .await;
    instance.terminate().await;
    let ended = instance.child.wait().await.expect("the daemon ends");
    assert_eq!(ended.code(), Some(130));
}
