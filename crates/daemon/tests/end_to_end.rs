//! End-to-end tests with a caller, a fabric, one instance and targets.

#![allow(clippy::expect_used)]

mod kit;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use conf::document;
use kit::instance::Instance;
use reqwest::StatusCode;
use standin::caller::{self, CallerOptions, User, Workload};
use standin::demo::{RunRecords, TargetRecord, check_invariants};
use standin::fabric::{self, Impairment};
use standin::ports;
use standin::target::{self, SharedTarget, Target, TargetOptions};

/// Spawns a stand-in and prints the error if it fails.
fn spawn(program: impl Future<Output = standin::Result<()>> + Send + 'static) {
    tokio::spawn(async move {
        if let Err(error) = program.await {
            eprintln!("a stand-in failed: {error}");
        }
    });
}

/// Starts a target within the test process.
fn start_target(service: &str) -> (SharedTarget, SocketAddr) {
    let options = TargetOptions {
        service: service.parse().expect("a name"),
        name: "t1".parse().expect("a name"),
        slots: 2,
        max_queue_len: 4,
        max_flows: 100,
        push_interval_ms: 100,
        cold_start_ms: 0,
    };
    let shared = SharedTarget::new(Target::new(options, Instant::now()));
    let address = ports::find_free().expect("a free port");
    spawn(target::serve(address, shared.clone()));
    (shared, address)
}

/// Guards against faults in the interaction of the components, also when the network loses, delays
/// and reorders datagrams.
#[yare::parameterized(
    reliable_network = { Impairment::default(), User::Hunarmand },
    lossy_network = {
        Impairment { loss_permille: 50, delay_ms: 2, reorder_permille: 100, ..Impairment::default() },
        User::Morava
    },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn results_match_the_records(impairment: Impairment, user: User) {
    let (first, second) = match user {
        User::Hunarmand => (("rates", "lookup"), ("submissions", "upload")),
        User::Morava => (("trade", "order"), ("warrants", "filing")),
    };
    let instance = Instance::start(&format!("end-to-end-{}", first.0)).await;
    let mut text = "[document]\nversion = 1\npreset = ordinary\n[preset.ordinary]\n\
                    [preset.peak]\n[preset.maintenance]\n"
        .to_owned();
    let mut targets = Vec::new();
    for (service, class) in [first, second] {
        let (shared, address) = start_target(service);
        text.push_str(&format!(
            "[service.{service}]\n[class.{service}.feed]\n[class.{service}.{class}]\nshare = 500\n\
             [target.{service}.t1]\ndomain = a\naddress = {address}\n"
        ));
        targets.push((service, shared));
    }
    instance.publish(&document::parse("test.ini", &text).expect("a valid document"));
    instance.wait_for("/ready", StatusCode::OK).await;
    let (frames, http) = (
        ports::find_free().expect("a free port"),
        ports::find_free().expect("a free port"),
    );
    let entry = format!("{}@{}@a", instance.frames, instance.http);
    let entries = vec![entry.parse().expect("an instance")];
    spawn(fabric::serve(frames, http, entries, 1, impairment));
    let options = CallerOptions {
        destination: frames,
        domain: "a".parse().expect("a name"),
        workload: Workload::new(user, 200),
        duration: Duration::from_secs(2),
        seed: 1,
    };
    let tally = caller::run(options).await.expect("a result");
    let targets = targets.into_iter().map(|(service, shared)| TargetRecord {
        service: service.to_owned(),
        name: "t1".to_owned(),
        record: shared.with(|state| state.record.clone()),
    });
    let records = RunRecords {
        targets: targets.collect(),
        ..RunRecords::default()
    };
    assert_eq!(check_invariants(&tally, &records), []);
    for class in [
        format!("{}/{}", first.0, first.1),
        format!("{}/{}", second.0, second.1),
    ] {
        assert!(tally.classes[&class].served > 0, "{class} in {tally:?}");
    }
}
