//! Plays one case of the third review: starts the daemons with the command of the deploy file, and
//! stands in for the platform, the servers and the clients, with the stand-ins of the second review.
//!
//! Usage: `standins-3 CASE RECORD`, from the repository's root. `TROUBLE=0` leaves the disruption out.
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

#![allow(dead_code, reason = "the cases of the second review use more of the stand-ins")]

mod cases;
#[path = "../standins-2/client.rs"]
mod client;
#[path = "../standins-2/fleet.rs"]
mod fleet;
#[path = "../standins-2/packet.rs"]
mod packet;
#[path = "../standins-2/record.rs"]
mod record;
#[path = "../standins-2/router.rs"]
mod router;
#[path = "../standins-2/server.rs"]
mod server;
#[path = "../standins-2/store.rs"]
mod store;

use std::time::Duration;

use record::Record;

/// A case that takes longer could not run.
const LIMIT: Duration = Duration::from_secs(110);

/// Ends the case as one that could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    fleet::end_daemons();
    std::process::exit(2);
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        cannot_run("usage: standins-3 CASE RECORD");
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        cannot_run("it takes too long");
    });
    let record = Record::create(&path);
    let with = if trouble {
        "with the disruption"
    } else {
        "TROUBLE=0"
    };
    record.line(&format!("case {case}, {with}"));
    let broken = match case.as_str() {
        "foreign-digits" => cases::foreign_digits(&record, trouble),
        "dropped-route" => cases::dropped_route(&record, trouble),
        _ => cannot_run("no such case"),
    };
    fleet::end_daemons();
    let verdict = match &broken {
        Some(reason) => format!("BROKEN: {reason}"),
        None => "HELD".to_owned(),
    };
    record.line(&verdict);
    println!("{case}, {with}: {verdict}");
    std::process::exit(i32::from(broken.is_some()));
}
