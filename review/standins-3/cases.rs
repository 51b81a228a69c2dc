//! The cases. Each returns how the rule was broken, or `None` if it held.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::client::{Flow, Machine, Outcome};
use crate::fleet::{Fleet, Route, SMALL, config, config_with};
use crate::record::Record;
use crate::router::Router;
use crate::server::Server;

const SECOND: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_millis(1_200);

/// Times after which a client sends copies of a SYN (PROTOCOL.md, Flows).
const COPIES: [Duration; 2] = [ms(200), ms(600)];

/// `revert-slack-ms`.
const REVERT_SLACK: Duration = ms(250);

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

fn lookups() -> Route {
    Route::new("r-lookup", 8_443, "safe", "rates")
}

fn uploads() -> Route {
    Route::new("r-upload", 8_080, "upload", "submissions")
}

/// A request on a flow of its own.
struct Attempt {
    id: String,
    started_at: Instant,
    /// When the flow was open at the client.
    opened_at: Option<Instant>,
    outcome: Outcome,
}

impl Attempt {
    /// Returns when the client sent the last copy of the SYN before the flow was open. A server that
    /// was full before took this one.
    fn syn_sent_at(&self) -> Option<Instant> {
        let opened_at = self.opened_at?;
        let copies = COPIES.iter().map(|delay| self.started_at + *delay);
        copies
            .filter(|sent_at| *sent_at <= opened_at)
            .last()
            .or(Some(self.started_at))
    }
}

/// Requests of one route at a steady rate, a flow each, until it is stopped.
struct Load {
    is_stopped: Arc<AtomicBool>,
    attempts: std::sync::mpsc::Receiver<Attempt>,
}

impl Load {
    fn start(
        name: &'static str,
        machine: &Machine,
        router: &Router,
        route: &Route,
        pause: Duration,
    ) -> Self {
        let (sender, attempts) = channel();
        let is_stopped: Arc<AtomicBool> = Arc::default();
        let (machine, router, route) = (machine.clone(), router.clone(), route.clone());
        let stopped = is_stopped.clone();
        spawn(move || {
            for number in 0.. {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (machine, router, route) = (machine.clone(), router.clone(), route.clone());
                let sender: Sender<Attempt> = sender.clone();
                let id = format!("{name}-{number}");
                spawn(move || {
                    let _ = sender.send(attempt(id, &machine, &router, &route));
                });
                sleep(pause);
            }
        });
        Self {
            is_stopped,
            attempts,
        }
    }

    /// Stops the load and returns all attempts.
    fn stop(self, record: &Record, name: &str) -> Vec<Attempt> {
        self.is_stopped.store(true, Ordering::Relaxed);
        // Ends with the last attempt, which drops its sender.
        let attempts: Vec<Attempt> = self.attempts.iter().collect();
        let answered = attempts
            .iter()
            .filter(|attempt| attempt.outcome == Outcome::Answered)
            .count();
        record.line(&format!(
            "load {name}: {answered} of {} answered",
            attempts.len()
        ));
        attempts
    }
}

fn attempt(id: String, machine: &Machine, router: &Router, route: &Route) -> Attempt {
    let method = if route.kind == "safe" { "GET" } else { "POST" };
    let started_at = Instant::now();
    match machine.open(router, route.at) {
        Ok(mut flow) => {
            let opened_at = Some(Instant::now());
            let outcome = flow.request(&id, method, DEADLINE);
            flow.close();
            Attempt {
                id,
                started_at,
                opened_at,
                outcome,
            }
        }
        Err(outcome) => Attempt {
            id,
            started_at,
            opened_at: None,
            outcome,
        },
    }
}

/// Opens flows until enough of them are at a server, and closes the others.
fn open_at(
    machine: &Machine,
    router: &Router,
    server: &Server,
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

/// FLOW: an entry of another writer, with fields missing, comes and goes. The digits at the end of its
/// key are those of a server that lives, and open flows of this server are reset.
pub fn foreign_digits(record: &Record, trouble: bool) -> Option<String> {
    const FLOWS: usize = 6;
    let fleet = Fleet::new(record, SMALL, false);
    fleet
        .store
        .put("op/config", config(1, &[lookups(), uploads()]).as_bytes());
    let server = fleet.start_server(0x7f3a_91c1, 20, "rates", 2_000, None);
    let other = fleet.start_server(0x7f3a_91c2, 21, "rates", 2_000, None);
    let _intake = fleet.start_server(0x51c0_04a1, 22, "submissions", 2_000, None);
    let daemons = vec![
        fleet.start_daemon(10, "a", &["a"]),
        fleet.start_daemon(11, "a", &["a"]),
    ];
    let router = Router::start(daemons, record);
    fleet.wait_ready(&router, 2);
    let client = Machine::start(fleet.network.host(100), fleet.network.data_port(), record);
    let desk = Machine::start(fleet.network.host(101), fleet.network.data_port(), record);
    let load = Load::start("lookup", &client, &router, &lookups(), ms(50));
    // Long flows with pauses between their requests.
    let flows = open_at(&desk, &router, &server, "long", FLOWS);
    let callers: Vec<SocketAddrV4> = flows.iter().map(|flow| flow.caller).collect();
    sleep(5 * SECOND);
    let key = format!("servers/copy-i-{:08x}", server.settings.id);
    let entry = format!(
        "{{\"service\":\"rates\",\"addr\":\"{}\",\"zone\":\"a\",\"state\":\"ready\"}}",
        server.settings.address
    );
    if trouble {
        record.line(&format!("another writer's entry {key}: {entry}"));
        fleet.store.put(&key, entry.as_bytes());
    }
    sleep(2 * SECOND);
    if trouble {
        record.line(&format!("the other writer removes {key}"));
        fleet.store.delete(&key);
    }
    let removed_at = Instant::now();
    sleep(SECOND);
    let asked: Vec<_> = flows
        .into_iter()
        .enumerate()
        .map(|(index, mut flow)| {
            spawn(move || {
                let outcome = flow.request(&format!("long-{index}-later"), "GET", DEADLINE);
                flow.close();
                outcome
            })
        })
        .collect();
    let outcomes: Vec<Outcome> = asked
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    record.line(&format!("the long flows: {outcomes:?}"));
    sleep(5 * SECOND);
    load.stop(record, "lookup");
    let runs_of = |server: &Server| {
        let runs = server.runs();
        runs.iter().filter(|run| run.at > removed_at).count()
    };
    record.line(&format!(
        "requests run since the removal: {} at the server, {} at the other one",
        runs_of(&server),
        runs_of(&other)
    ));
    let server_resets = server.shared.lock().unwrap().resets.clone();
    let resets = desk.resets.lock().unwrap().clone();
    let broken = resets
        .iter()
        .filter(|reset| callers.contains(&reset.caller))
        .filter(|reset| !server_resets.iter().any(|(_, caller)| *caller == reset.caller))
        .count();
    (broken > 0).then(|| {
        format!(
            "FLOW: {broken} of {FLOWS} open flows of server {:x}, which lives, were reset by the system 1 s after the removal of the entry {key}",
            server.settings.id
        )
    })
}

/// CONFIG: a machine shows a new configuration, and after that forwards copies of SYNs for a route that
/// this configuration has dropped, to a server that was full.
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
    record.line("the server of r-old is full");
    let openings = Load::start("old", &client, &router, &old, ms(50));
    sleep(2 * SECOND);
    if trouble {
        fleet.store.put(
            "op/config",
            config(2, &[lookups(), uploads(), new.clone()]).as_bytes(),
        );
    }
    let changed_at = Instant::now();
    // A server sees the effect of the new version when it runs a request of the new route.
    let mut seen_at = None;
    while trouble && seen_at.is_none() {
        if changed_at.elapsed() > 5 * SECOND {
            crate::cannot_run("the effect of the new version is not seen");
        }
        if let Ok(mut flow) = client.open(&router, new.at) {
            if flow.request("effect", "GET", DEADLINE) == Outcome::Answered {
                seen_at = Some(Instant::now());
            }
            flow.close();
        }
        sleep(ms(10));
    }
    let seen_at = seen_at.unwrap_or(changed_at);
    sleep_until(seen_at + ms(200));
    record.line("the server of r-old gets room");
    for flow in held {
        flow.close();
    }
    sleep(2 * SECOND);
    load.stop(record, "lookup");
    let attempts = openings.stop(record, "old");
    if !trouble {
        return None;
    }
    let runs = full.runs();
    let wrong: Vec<(&Attempt, Duration)> = attempts
        .iter()
        .filter(|attempt| runs.iter().any(|run| run.request == attempt.id))
        .filter_map(|attempt| Some((attempt, attempt.syn_sent_at()?)))
        .filter(|(_, sent_at)| *sent_at > seen_at + REVERT_SLACK)
        .map(|(attempt, sent_at)| (attempt, sent_at - seen_at))
        .collect();
    let (first, _) = wrong.first()?;
    let longest = wrong.iter().map(|(_, after)| *after).max()?;
    Some(format!(
        "CONFIG: the only machine regresses: {} requests on the dropped route were run whose opening packets were sent more than 250 ms after a server saw the effect of the version without that route, up to {} ms after it; the first is {}",
        wrong.len(),
        longest.as_millis(),
        first.id
    ))
}
