//! Plays one case of the review: starts the daemons with the command of the deploy file, and stands in
//! for the platform, the servers and the clients.
//!
//! Usage: `standins-2 CASE RECORD`, from the repository's root. `TROUBLE=0` leaves the disruption out.
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod cases;
mod client;
mod fleet;
mod packet;
mod record;
mod router;
mod server;
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
        cannot_run("usage: standins-2 CASE RECORD");
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        cannot_run("it takes too long");
    });
    let record = Record::create(&path);
    record.line(&format!(
        "case {case}, {}",
        if trouble {
            "with the disruption"
        } else {
            "TROUBLE=0"
        }
    ));
    let broken = match case.as_str() {
        "foreign-entry" => cases::foreign_entry(&record, trouble),
        "silent-flows" => cases::silent_flows(&record, trouble),
        "token-handover" => cases::token_handover(&record, trouble),
        "healed-cut" => cases::healed_cut(&record, trouble),
        "large-config" => cases::large_config(&record, trouble),
        "dropped-route" => cases::dropped_route(&record, trouble),
        _ => cannot_run("no such case"),
    };
    fleet::end_daemons();
    let verdict = match &broken {
        Some(reason) => format!("BROKEN: {reason}"),
        None => "HELD".to_owned(),
    };
    record.line(&verdict);
    println!(
        "{case}{}: {verdict}",
        if trouble { "" } else { " (TROUBLE=0)" }
    );
    std::process::exit(i32::from(broken.is_some()));
}
