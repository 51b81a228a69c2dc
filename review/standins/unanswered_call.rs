//! Case 1: one call to the store that is never answered hides a change of the configuration for longer than allowed.
//!
//! Usage: unanswered_call RECORD. `TROUBLE=0` leaves the outage of the store out. Exit codes: 0 the rule held, 1 it was broken,
//! 2 the case could not run.

// The programs share these modules and use different parts of them.
#![allow(dead_code)]

mod client;
mod instance;
mod net;
mod packet;
mod server;
mod store;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::process::exit;
use std::thread::{self, sleep};
use std::time::Duration;

use client::Client;
use instance::Instance;
use net::{Net, Record};
use server::{Seen, Server};
use store::Store;

const ZONES: [&str; 2] = ["olomouc-a", "ostrava-a"];

const KEPT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const DROPPED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

/// Bounds of the settings.
const CONFIG_DEADLINE_S: f64 = 3.0;
const STABLE_WINDOW_S: f64 = 4.0;

/// The outage begins this long after the planned change that the instances read before.
const OUTAGE_AFTER_S: f64 = 0.58;
const OUTAGE_S: f64 = 0.2;

/// Allowance for the time between a step of this program and its effect.
const SLACK_S: f64 = 0.02;

fn main() {
    let Some(path) = std::env::args().nth(1) else {
        eprintln!("usage: unanswered_call RECORD");
        exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&path);
    let folder = std::env::temp_dir().join(format!("unanswered-call-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        exit(2);
    }
    let verdict = run(&record, &folder, is_troubled);
    let _ = std::fs::remove_dir_all(&folder);
    exit(verdict);
}

fn run(record: &Record, folder: &std::path::Path, is_troubled: bool) -> i32 {
    let net = Net::choose();
    let seen = Seen::default();
    let store = Store::start(
        SocketAddrV4::new(net.host(1), net.ports.store),
        record.clone(),
    );
    store.put("op/config", &document(1, &[KEPT, DROPPED]));
    let server = |id: u64, last: u8, zone| Server {
        id,
        address: SocketAddrV4::new(net.host(last), net.ports.server),
        service: "quotes",
        zone,
    };
    let servers = [
        server(0xa1, 20, ZONES[0]),
        server(0xa2, 21, ZONES[1]),
        server(0xa3, 22, ZONES[0]),
    ];
    for server in &servers {
        server.start(net.ports.data, seen.clone(), record.clone());
    }
    for server in &servers[..2] {
        store.put(&server.key(), &server.entry("ready", 1));
    }

    // Each zone has one instance, as two zones of the deployment.
    let mut instances: Vec<Instance> = (0..2)
        .map(|index| {
            Instance::start(
                net,
                folder,
                10 + index as u8,
                ZONES[index],
                &ZONES,
                &[10, 11],
            )
        })
        .collect();
    let is_ready = (0..20).any(|_| {
        sleep(Duration::from_millis(500));
        instances.iter().all(Instance::is_ready)
    });
    if !is_ready {
        record.line("the instances are not ready");
        return 2;
    }
    let clients: Vec<Client> = instances
        .iter()
        .zip([100, 101])
        .map(|(instance, last)| {
            Client::start(net.host(last), instance.data_address(), record.clone())
        })
        .collect();
    for client in clients.clone() {
        thread::spawn(move || {
            loop {
                client.open(KEPT);
                client.open(DROPPED);
                sleep(Duration::from_millis(25));
            }
        });
    }
    // Longer than `stable-window-ms` since the start of the instances.
    sleep(Duration::from_secs_f64(STABLE_WINDOW_S + 1.0));

    // Planned: a server joins, and 0.4 s later a version drops a route.
    let planned_at = record.now();
    store.put(&servers[2].key(), &servers[2].entry("ready", 1));
    sleep(Duration::from_secs_f64(0.4));
    store.put("op/config", &document(2, &[KEPT]));
    let acknowledged_at = record.now();
    sleep_until(record, planned_at + OUTAGE_AFTER_S);
    if is_troubled {
        store.set_silent(true);
    }
    sleep_until(record, planned_at + OUTAGE_AFTER_S + OUTAGE_S);
    if is_troubled {
        store.set_silent(false);
    }
    let outage_end = record.now();
    sleep_until(record, acknowledged_at + 8.0);

    if !instances.iter_mut().all(Instance::is_running) {
        record.line("an instance has ended");
        return 2;
    }
    let judged_from = if is_troubled {
        (acknowledged_at + CONFIG_DEADLINE_S).max(outage_end + STABLE_WINDOW_S)
    } else {
        acknowledged_at + CONFIG_DEADLINE_S
    };
    verdict(
        record,
        &seen,
        &clients,
        acknowledged_at,
        judged_from + SLACK_S,
    )
}

/// Counts opening packets of the dropped route that servers took and that were sent after the bound, by instances in touch.
fn verdict(
    record: &Record,
    seen: &Seen,
    clients: &[Client],
    acknowledged_at: f64,
    judged_from: f64,
) -> i32 {
    let mut late = Vec::new();
    let mut kept = 0;
    for taken in seen.taken.lock().unwrap().iter() {
        let sent_at = clients.iter().find_map(|client| {
            let flows = client.flows.lock().unwrap();
            let flow = flows
                .get(&taken.from.port())
                .filter(|_| client.is_at(*taken.from.ip()))?;
            flow.sent_at.get(taken.copy as usize).copied()
        });
        match sent_at {
            Some(sent_at) if taken.to == DROPPED && sent_at > judged_from => {
                late.push(sent_at - acknowledged_at)
            }
            Some(sent_at) if taken.to == KEPT && sent_at > judged_from => kept += 1,
            _ => {}
        }
    }
    let run = seen.run.lock().unwrap().len();
    record.line(format!("judged from {judged_from:.3}: {kept} flows of the kept route were taken, {run} requests run in all"));
    if kept == 0 {
        record.line("nothing was served after the outage");
        return 2;
    }
    let Some((first, last)) = late.first().zip(late.last()) else {
        record.line("CONFIG held");
        return 0;
    };
    record.line(format!(
        "CONFIG broken: {} flows of the dropped route, sent {first:.3} s to {last:.3} s after the acknowledgement, were taken",
        late.len()
    ));
    1
}

fn sleep_until(record: &Record, at: f64) {
    let left = at - record.now();
    if left > 0.0 {
        sleep(Duration::from_secs_f64(left));
    }
}

fn document(version: u64, entries: &[SocketAddrV4]) -> String {
    let routes: Vec<String> = entries
        .iter()
        .map(|entry| {
            format!(
                r#"{{"name":"r-{}","host":"{}","prefix":"/{}/","service":"quotes","type":"safe","timeout-ms":500,"latency-goal-ms":120,"priority":1}}"#,
                entry.ip().octets()[3],
                entry.ip(),
                entry.port()
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"quotes","health-path":"/health","max-conns":2000}}],"limits":{{"idle-timeout-ms":15000}}}}"#,
        routes.join(",")
    )
}
