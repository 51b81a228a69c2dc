//! Measures what callers get when capacity is short.
//!
//! A small model of targets and callers around real [`steer::Steer`] cores that exchange load
//! reports with delay and loss. See
//! [model of targets and callers](../../../../docs/design/hard-load.md).

mod best;
mod caller_side;
mod callers;
pub mod cases;
mod events;
mod exchange;
mod faults;
mod fleet;
mod model;
mod results;
pub mod scenario;
mod store;
mod targets;
mod users;

use std::io::Write;

pub use callers::{Outcome, Request};
pub use model::run as run_scenario;
pub use results::{Calm, Results, Selection};
pub use targets::{Admission, Job, Target};

use crate::Result;
use scenario::{BULK, SAFE, Scenario, URGENT};

/// Runs all cases at full size and prints a table for each way of placing.
///
/// # Errors
/// Fails if a core cannot be created or the output cannot be written.
pub fn run(seed: u64, out: &mut impl Write) -> Result<()> {
    for (way, settings) in cases::ways() {
        writeln!(out, "\n{way}\n")?;
        let mut cases = cases::all(cases::FULL);
        for case in &mut cases {
            case.settings = settings.clone();
        }
        run_cases(seed, &cases, out)?;
    }
    Ok(())
}

/// Runs cases and prints a table. Shares in time are those of the urgent, the safe and the bulk
/// class.
///
/// # Errors
/// Fails if a core cannot be created or the output cannot be written.
pub fn run_cases(seed: u64, cases: &[Scenario], out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "| case | in time: urgent, safe, bulk | late | refused | failed | turned away \
         | p99 of urgent | calm after | openings refused by cores | worst domain | credit | best \
         | credit/best | busiest over mean |"
    )?;
    writeln!(
        out,
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
    )?;
    for case in cases {
        let results = run_scenario(case, seed)?;
        write_row(&results, out)?;
    }
    Ok(())
}

fn write_row(results: &Results, out: &mut impl Write) -> Result<()> {
    let all = results.all();
    let in_time = |class| results.class(class).share(Outcome::InTime);
    let worst = (0..results.scenario.domain_shares.len()).map(|domain| {
        let requests = all.select(|request| request.domain == domain);
        requests.credit() / requests.worth()
    });
    let best = results.best_credit(&all);
    let calm = results.calm();
    let refusals = results.refusals.iter();
    let refusals: Vec<String> = refusals
        .map(|(reason, count)| format!("{count} {reason}"))
        .collect();
    writeln!(
        out,
        "| {} | {:.3}, {:.3}, {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} | {} | {:.3} | {:.0} \
         | {:.0} | {:.3} | {:.2} |",
        results.scenario.name,
        in_time(URGENT),
        in_time(SAFE),
        in_time(BULK),
        all.share(Outcome::Late),
        all.share(Outcome::Refused),
        all.share(Outcome::Failed),
        results.turned_away(),
        results.class(URGENT).quantile(0.99),
        calm.map_or_else(|| "never".to_owned(), |calm| calm.after.to_string()),
        refusals.join(", "),
        worst.fold(1.0, f64::min),
        all.credit(),
        best,
        all.credit() / best,
        results.busiest_over_mean(),
    )?;
    Ok(())
}
