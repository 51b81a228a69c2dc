//! The cases. Each returns how the rule was broken, or `None` if it held.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use crate::client::{Flow, Machine, Outcome};
use crate::fleet::{Fleet, GROWN, Route, SERVER, SMALL, config, config_with};
use crate::record::Record;
use crate::router::Router;

const SECOND: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_millis(1_200);

fn lookups() -> Route {
    Route::new("r-lookup", 8_443, "safe", "rates")
}

fn uploads() -> Route {
    Route::new("r-upload", 8_080, "upload", "submissions")
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

/// Requests of one route at a steady rate, a flow each, until it is stopped.
struct Load {
    is_stopped: Arc<AtomicBool>,
    pub answered: Arc<AtomicUsize>,
    pub failed: Arc<AtomicUsize>,
}

impl Load {
    fn start(
        name: &'static str,
        machine: &Machine,
        router: &Router,
        route: &Route,
        pause: Duration,
    ) -> Self {
        let load = Self {
            is_stopped: Arc::default(),
            answered: Arc::default(),
            failed: Arc::default(),
        };
        let (machine, router, route) = (machine.clone(), router.clone(), route.clone());
        let (stopped, answered, failed) = (
            load.is_stopped.clone(),
            load.answered.clone(),
            load.failed.clone(),
        );
        spawn(move || {
            let method = if route.kind == "safe" { "GET" } else { "POST" };
            for number in 0.. {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (machine, router, route) = (machine.clone(), router.clone(), route.clone());
                let (answered, failed) = (answered.clone(), failed.clone());
                spawn(move || {
                    let outcome = match machine.open(&router, route.at) {
                        Ok(mut flow) => {
                            let outcome =
                                flow.request(&format!("{name}-{number}"), method, DEADLINE);
                            flow.close();
                            outcome
                        }
                        Err(outcome) => outcome,
                    };
                    let counter = if outcome == Outcome::Answered {
                        answered
                    } else {
                        failed
                    };
                    counter.fetch_add(1, Ordering::Relaxed);
                });
                sleep(pause);
            }
        });
        load
    }

    fn stop(&self, record: &Record) {
        self.is_stopped.store(true, Ordering::Relaxed);
        sleep(ms(300));
        record.line(&format!(
            "load: {} answered, {} not",
            self.answered.load(Ordering::Relaxed),
            self.failed.load(Ordering::Relaxed)
        ));
    }
}

/// Two daemons of one zone behind the routers.
fn two_daemons(fleet: &Fleet) -> Router {
    let daemons = vec![
        fleet.start_daemon(10, "a", &["a"]),
        fleet.start_daemon(11, "a", &["a"]),
    ];
    let router = Router::start(daemons, &fleet.record);
    fleet.wait_ready(&router, 2);
    router
}

/// ROUTE: an entry of another writer, with fields missing, names an address that a server of another
/// service has now.
pub fn foreign_entry(record: &Record, trouble: bool) -> Option<String> {
    let fleet = Fleet::new(record, SMALL, false);
    fleet
        .store
        .put("op/config", config(1, &[lookups(), uploads()]).as_bytes());
    let reused = fleet.network.at(23, SERVER);
    let _rates = [
        fleet.start_server(0x7f3a_91c1, 20, "rates", 2_000, None),
        fleet.start_server(0x7f3a_91c2, 21, "rates", 2_000, None),
    ];
    let leaving = fleet.start_server(0x7f3a_91c3, 23, "rates", 2_000, Some(reused));
    let intake = fleet.start_server(0x51c0_04a1, 22, "submissions", 2_000, None);
    if trouble {
        let entry = format!(
            "{{\"service\":\"rates\",\"addr\":\"{reused}\",\"zone\":\"a\",\"max-concurrent\":2,\"state\":\"ready\",\"warmup-left-ms\":0}}"
        );
        record.line(&format!(
            "another writer's entry servers/rates-0, without version, seq and born: {entry}"
        ));
        fleet.store.put("servers/rates-0", entry.as_bytes());
    }
    let router = two_daemons(&fleet);
    let client = Machine::start(fleet.network.host(100), fleet.network.data_port(), record);
    let load = Load::start("lookup", &client, &router, &lookups(), ms(50));
    sleep(3 * SECOND);
    fleet.report(&leaving, "draining");
    sleep(ms(4_500));
    leaving.stop();
    fleet.store.delete(&leaving.key());
    // `addr-reuse-s` is 2.
    sleep(3 * SECOND);
    let reusing = fleet.start_server(0x51c0_04a2, 23, "submissions", 2_000, Some(reused));
    sleep(6 * SECOND);
    load.stop(record);
    let wrong: Vec<_> = [&intake, &reusing]
        .iter()
        .flat_map(|server| server.runs())
        .filter(|run| run.route == lookups().at)
        .collect();
    let first = wrong.first()?;
    Some(format!(
        "ROUTE: {} requests of r-lookup, which every configuration sends to rates only, were run by a server of {}; the first: {} by {:x}",
        wrong.len(),
        first.service,
        first.request,
        first.server
    ))
}

/// FLOW: open flows of one client machine have gone silent for good at its end. Flows of other clients
/// at the same server, which work, are reset by the system.
pub fn silent_flows(record: &Record, trouble: bool) -> Option<String> {
    let fleet = Fleet::new(record, SMALL, false);
    fleet
        .store
        .put("op/config", config(1, &[lookups(), uploads()]).as_bytes());
    let server = fleet.start_server(0x7f3a_91c1, 20, "rates", 2_000, None);
    let _other = fleet.start_server(0x7f3a_91c2, 21, "rates", 2_000, None);
    let _intake = fleet.start_server(0x51c0_04a1, 22, "submissions", 2_000, None);
    let router = two_daemons(&fleet);
    let uploader = Machine::start(fleet.network.host(100), fleet.network.data_port(), record);
    let silent_desk = Machine::start(fleet.network.host(101), fleet.network.data_port(), record);
    let working_desk = Machine::start(fleet.network.host(102), fleet.network.data_port(), record);
    let load = Load::start("upload", &uploader, &router, &uploads(), ms(25));

    // Long flows with pauses between their requests.
    let silent = open_at(&silent_desk, &router, &server, "silent", 5);
    let working = open_at(&working_desk, &router, &server, "working", 4);
    let callers: Vec<SocketAddrV4> = working.iter().map(|flow| flow.caller).collect();
    sleep(SECOND);
    record.line("the event: the way to client machine .101 loses track of its open flows");
    if trouble {
        silent_desk.lose_track(&silent);
    }
    let event_at = Instant::now();

    // 4 s after the event, all machines are in touch again.
    sleep_until(event_at + ms(5_500));
    let silent: Vec<_> = ask_all(silent, "silent");
    sleep(ms(500));
    let working: Vec<_> = ask_all(working, "working");
    let outcomes: Vec<Outcome> = working
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    for thread in silent {
        let _ = thread.join();
    }
    sleep(SECOND);
    load.stop(record);
    let server_resets: Vec<SocketAddrV4> = server
        .shared
        .lock()
        .unwrap()
        .resets
        .iter()
        .map(|(_, caller)| *caller)
        .collect();
    let resets = working_desk.resets.lock().unwrap().clone();
    let broken: Vec<_> = resets
        .iter()
        .filter(|reset| callers.contains(&reset.caller) && !server_resets.contains(&reset.caller))
        .filter(|reset| reset.at > event_at + ms(u64::from(fleet.bounds.stable_window_ms)))
        .collect();
    let lost = outcomes
        .iter()
        .filter(|outcome| **outcome == Outcome::Reset)
        .count();
    let ran = server.runs().iter().filter(|run| run.at > event_at).count();
    let first = broken.first()?;
    Some(format!(
        "FLOW: {} of {} working flows of other clients were reset by the system ({lost} with a request), the first that of {}, {:.1} s after the event; their server had run {ran} requests since the event",
        broken.len(),
        callers.len(),
        first.caller,
        (first.at - event_at).as_secs_f64()
    ))
}

/// FLOW: a zone was cut off for some seconds. Later a single datagram of a flow of one of its servers is
/// lost, and the flow is reset by the system. The lost datagram also comes with `TROUBLE=0`.
pub fn healed_cut(record: &Record, trouble: bool) -> Option<String> {
    let fleet = Fleet::new(record, SMALL, false);
    fleet
        .store
        .put("op/config", config(1, &[lookups(), uploads()]).as_bytes());
    let server = fleet.start_server_in("b", 0x7f3a_91c1, 20, "rates", 2_000, None);
    let other = fleet.start_server_in("b", 0x7f3a_91c2, 21, "rates", 2_000, None);
    let _intake = fleet.start_server(0x51c0_04a1, 22, "submissions", 2_000, None);
    let router = two_daemons(&fleet);
    let uploader = Machine::start(fleet.network.host(100), fleet.network.data_port(), record);
    let desk = Machine::start(fleet.network.host(101), fleet.network.data_port(), record);
    let load = Load::start("upload", &uploader, &router, &uploads(), ms(25));
    let asking = open_at(&desk, &router, &server, "asking", 3);
    let idle = open_at(&desk, &router, &server, "idle", 1);
    let callers: Vec<SocketAddrV4> = idle.iter().map(|flow| flow.caller).collect();
    sleep(SECOND);
    let set_cut = |is_cut: bool| {
        record.line(&format!(
            "zone b is {}",
            if is_cut { "cut off" } else { "connected again" }
        ));
        for server in [&server, &other] {
            server.shared.lock().unwrap().is_cut = is_cut;
        }
    };
    if trouble {
        set_cut(true);
    }
    sleep(ms(500));
    let asking = ask_all(asking, "asking");
    sleep(ms(2_500));
    if trouble {
        set_cut(false);
    }
    let healed_at = Instant::now();
    for thread in asking {
        let _ = thread.join();
    }
    // 4 s after the cut, all machines are in touch again.
    sleep_until(healed_at + ms(5_000));
    server.shared.lock().unwrap().loses_next.insert(callers[0]);
    let outcomes: Vec<Outcome> = ask_all(idle, "idle")
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    sleep(SECOND);
    load.stop(record);
    record.line(&format!("the flows that were idle: {outcomes:?}"));
    let server_resets: Vec<SocketAddrV4> = server
        .shared
        .lock()
        .unwrap()
        .resets
        .iter()
        .map(|(_, caller)| *caller)
        .collect();
    let resets = desk.resets.lock().unwrap().clone();
    let broken = resets
        .iter()
        .filter(|reset| callers.contains(&reset.caller) && !server_resets.contains(&reset.caller))
        .find(|reset| reset.at > healed_at + ms(u64::from(fleet.bounds.stable_window_ms)))?;
    Some(format!(
        "FLOW: the flow of {} was reset by the system {:.1} s after the end of the cut, since one datagram was lost; its server lives",
        broken.caller,
        (broken.at - healed_at).as_secs_f64()
    ))
}

/// Sends one more request over each flow at the same time.
fn ask_all(flows: Vec<Flow>, name: &'static str) -> Vec<JoinHandle<Outcome>> {
    let flows = flows.into_iter().enumerate();
    flows
        .map(|(index, mut flow)| {
            spawn(move || {
                let outcome = flow.request(&format!("{name}-{index}-later"), "GET", DEADLINE);
                flow.close();
                outcome
            })
        })
        .collect()
}

/// FLOW: two servers have the same token. One of them is replaced, a machine is added just after that
/// and stopped again. Flows that it has opened at the server that stays are reset by the other machine.
/// Planned work only.
pub fn token_handover(record: &Record, trouble: bool) -> Option<String> {
    // `TargetId::token` is the same for both.
    const LEAVING: u64 = 0x7f00_8c3b;
    const STAYING: u64 = 0x7f01_2941;
    let fleet = Fleet::new(record, SMALL, false);
    fleet
        .store
        .put("op/config", config(1, &[lookups(), uploads()]).as_bytes());
    let leaving = fleet.start_server(LEAVING, 20, "rates", 2_000, None);
    let staying = fleet.start_server(STAYING, 21, "rates", 2_000, None);
    let _intake = fleet.start_server(0x51c0_04a1, 22, "submissions", 2_000, None);
    let router = Router::start(vec![fleet.start_daemon(10, "a", &["a"])], record);
    fleet.wait_ready(&router, 1);
    let uploader = Machine::start(fleet.network.host(100), fleet.network.data_port(), record);
    let desk = Machine::start(fleet.network.host(101), fleet.network.data_port(), record);
    let load = Load::start("upload", &uploader, &router, &uploads(), ms(50));
    let lookup_load = Load::start("lookup", &uploader, &router, &lookups(), ms(50));
    sleep(6 * SECOND);
    if trouble {
        fleet.report(&leaving, "draining");
        // `drain-ms` is 3,000.
        sleep(ms(4_000));
        leaving.stop();
        fleet.store.delete(&leaving.key());
    }
    let (packets, ready) = fleet.start_daemon(11, "a", &["a"]);
    router.add(packets, ready);
    fleet.wait_ready(&router, 2);
    let mut flows = Vec::new();
    for number in 0..60 {
        if flows.len() == 6 {
            break;
        }
        let Ok(mut flow) = desk.open(&router, lookups().at) else {
            continue;
        };
        let is_answered =
            flow.request(&format!("long-{number}"), "GET", DEADLINE) == Outcome::Answered;
        let is_there = staying.holds(flow.caller) || !trouble;
        if is_answered && is_there && router.instance_for(flow.caller, flow.route) == Some(packets)
        {
            flows.push(flow);
        } else {
            flow.close();
        }
    }
    let callers: Vec<SocketAddrV4> = flows.iter().map(|flow| flow.caller).collect();
    record.line(&format!(
        "{} flows are open through the added machine",
        callers.len()
    ));
    fleet.send_term(11);
    let stopped_at = Instant::now();
    while router.in_rotation() > 1 && stopped_at.elapsed() < 2 * SECOND {
        sleep(ms(10));
    }
    let outcomes: Vec<Outcome> = ask_all(flows, "long")
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    sleep(SECOND);
    lookup_load.stop(record);
    load.stop(record);
    record.line(&format!("the flows of the added machine: {outcomes:?}"));
    let server_resets: Vec<SocketAddrV4> = staying
        .shared
        .lock()
        .unwrap()
        .resets
        .iter()
        .map(|(_, caller)| *caller)
        .collect();
    let resets = desk.resets.lock().unwrap().clone();
    let broken = resets
        .iter()
        .filter(|reset| callers.contains(&reset.caller) && !server_resets.contains(&reset.caller))
        .count();
    (broken > 0).then(|| {
        format!("FLOW: {broken} of {} open flows of a server that stays were reset by the system, under planned work only", callers.len())
    })
}

/// Opens flows until enough of them are at a server, and closes the others.
fn open_at(
    machine: &Machine,
    router: &Router,
    server: &crate::server::Server,
    name: &str,
    count: usize,
) -> Vec<Flow> {
    let mut flows = Vec::new();
    for number in 0..400 {
        if flows.len() == count {
            return flows;
        }
        let Ok(mut flow) = machine.open(router, lookups().at) else {
            sleep(ms(20));
            continue;
        };
        let outcome = flow.request(&format!("{name}-{number}"), "GET", DEADLINE);
        if outcome == Outcome::Answered && server.holds(flow.caller) {
            flows.push(flow);
        } else {
            flow.close();
        }
        sleep(ms(10));
    }
    crate::cannot_run("no flow is placed at the server");
}

/// CONFIG: the configuration has grown by many routes, and daemons with narrow links do not take the
/// next one.
pub fn large_config(record: &Record, trouble: bool) -> Option<String> {
    const BASE_ROUTES: usize = 240;
    /// Routes of one `big_config`, and how many of them come.
    const GROWTH: usize = 1_480;
    const GROWTHS: u64 = 4;
    let fleet = Fleet::new(record, GROWN, true);
    let old = Route::new("r-old", 9_001, "safe", "rates");
    let new = Route::new("r-new", 9_002, "safe", "rates");
    let with = |version: u64, first: &Route, idle: usize| {
        let mut routes = vec![lookups(), uploads(), first.clone()];
        routes.extend((0..idle).map(|index| Route {
            name: format!("r-idle{index:06}"),
            ..Route::new("", 10_000 + index as u16, "unsafe", "submissions")
        }));
        config(version, &routes)
    };
    fleet
        .store
        .put("op/config", with(1, &old, BASE_ROUTES).as_bytes());
    let _rates = [
        fleet.start_server(0x7f3a_91c1, 20, "rates", 2_000, None),
        fleet.start_server(0x7f3a_91c2, 21, "rates", 2_000, None),
    ];
    let _intake = fleet.start_server(0x51c0_04a1, 22, "submissions", 2_000, None);
    let router = two_daemons(&fleet);
    let client = Machine::start(fleet.network.host(100), fleet.network.data_port(), record);
    let load = Load::start("lookup", &client, &router, &lookups(), ms(100));
    sleep(4 * SECOND);
    let mut idle = BASE_ROUTES;
    for growth in 0..if trouble { GROWTHS } else { 0 } {
        idle += GROWTH;
        if growth + 1 < GROWTHS {
            fleet
                .store
                .put("op/config", with(3 + growth, &old, idle).as_bytes());
            sleep(6 * SECOND);
        }
    }
    wait_for_end_of_watch(&fleet);
    // The last growth also drops a route and adds another one.
    fleet.store.put("op/config", with(9, &new, idle).as_bytes());
    let acknowledged_at = Instant::now();
    let limit = ms(u64::from(fleet.bounds.config_deadline_ms));
    let mut wrong = Vec::new();
    let mut asked = 0;
    while acknowledged_at.elapsed() < 25 * SECOND {
        for (route, is_there) in [(&old, false), (&new, true)] {
            let at = acknowledged_at.elapsed();
            let outcome = match client.open(&router, route.at) {
                Ok(mut flow) => {
                    let outcome = flow.request(
                        &format!("test-{}-{}", route.name, at.as_millis()),
                        "GET",
                        DEADLINE,
                    );
                    flow.close();
                    outcome
                }
                Err(outcome) => outcome,
            };
            asked += usize::from(at > limit);
            if at > limit && (outcome == Outcome::Answered) != is_there {
                wrong.push(format!(
                    "{}: {outcome:?}, sent {:.1} s after the acknowledgement",
                    route.name,
                    at.as_secs_f64()
                ));
            }
        }
        sleep(ms(250));
    }
    load.stop(record);
    let (first, last) = (wrong.first()?, wrong.last()?);
    Some(format!(
        "CONFIG: {} of {asked} requests sent later than {} ms after the acknowledgement were handled as only an older version allows; the first {first}; the last {last}",
        wrong.len(),
        limit.as_millis()
    ))
}

/// Waits until a watch has waited for most of its time. A change in the last second of a watch is one
/// of about three.
fn wait_for_end_of_watch(fleet: &Fleet) {
    let limit = Instant::now() + 20 * SECOND;
    loop {
        if let Some((since, wait)) = fleet.store.last_watch()
            && wait > 2 * SECOND
            && since.elapsed() > wait - ms(400)
            && since.elapsed() < wait - ms(200)
        {
            return;
        }
        if Instant::now() > limit {
            crate::cannot_run("no watch that waits");
        }
        sleep(ms(5));
    }
}

/// CONFIG: a machine shows a new configuration, and after that takes an opening packet for a route
/// that this configuration has dropped.
pub fn dropped_route(record: &Record, trouble: bool) -> Option<String> {
    /// Flows that the only server of the service holds.
    const MAX_CONNS: usize = 3;
    let fleet = Fleet::new(record, SMALL, false);
    let old = Route::new("r-old", 9_001, "safe", "submissions");
    let new = Route::new("r-new", 9_002, "safe", "rates");
    let config = |version, routes: &[Route]| config_with(version, routes, MAX_CONNS);
    fleet.store.put(
        "op/config",
        config(1, &[lookups(), uploads(), old.clone()]).as_bytes(),
    );
    let _rates = fleet.start_server(0x7f3a_91c1, 20, "rates", 2_000, None);
    let full = fleet.start_server(0x51c0_04a1, 22, "submissions", MAX_CONNS, None);
    let daemons = vec![fleet.start_daemon(10, "a", &["a"])];
    let router = Router::start(daemons, record);
    fleet.wait_ready(&router, 1);
    let client = Machine::start(fleet.network.host(100), fleet.network.data_port(), record);
    let load = Load::start("lookup", &client, &router, &lookups(), ms(50));
    sleep(6 * SECOND);
    let mut held: Vec<Flow> = (0..MAX_CONNS)
        .filter_map(|_| client.open(&router, old.at).ok())
        .collect();
    for (index, flow) in held.iter_mut().enumerate() {
        flow.request(&format!("held-{index}"), "GET", DEADLINE);
    }
    if held.len() != MAX_CONNS {
        crate::cannot_run("the server is not full");
    }
    // No change for a while, so that the next one is read at once.
    sleep(3 * SECOND);
    let started_at = Instant::now();
    let (opening_client, opening_router, opening_route) = (client.clone(), router.clone(), old.at);
    let opening = spawn(move || {
        let outcome = match opening_client.open(&opening_router, opening_route) {
            Ok(mut flow) => {
                let outcome = flow.request("late", "GET", DEADLINE);
                flow.close();
                outcome
            }
            Err(outcome) => outcome,
        };
        outcome
    });
    sleep_until(started_at + ms(40));
    if trouble {
        fleet.store.put(
            "op/config",
            config(2, &[lookups(), uploads(), new.clone()]).as_bytes(),
        );
    }
    // A server sees the effect of the new version when it runs a request of the new route.
    let mut seen_at = None;
    let probe_until = started_at + ms(350);
    while trouble && seen_at.is_none() && Instant::now() < probe_until {
        if let Ok(mut flow) = client.open(&router, new.at) {
            if flow.request("effect", "GET", DEADLINE) == Outcome::Answered {
                seen_at = Some(Instant::now());
            }
            flow.close();
        }
        sleep(ms(5));
    }
    sleep_until(started_at + ms(450));
    if let Some(flow) = held.pop() {
        flow.close();
    }
    let outcome = opening.join().unwrap_or(Outcome::Unanswered);
    load.stop(record);
    record.line(&format!("the request \"late\" on r-old: {outcome:?}"));
    if !trouble {
        return None;
    }
    let Some(seen_at) = seen_at else {
        crate::cannot_run("the effect of the new version is not seen in time")
    };
    let run = full.runs().into_iter().find(|run| run.request == "late")?;
    // The server took the copy of the SYN that was sent after 600 ms.
    let sent_at = started_at + ms(600);
    let after = sent_at.saturating_duration_since(seen_at);
    (after > ms(250) && run.at > sent_at).then(|| {
        format!(
            "CONFIG: the only machine regresses: a request on a dropped route, whose opening packet was sent {} ms after a server saw the effect of the version without that route, was run",
            after.as_millis()
        )
    })
}
