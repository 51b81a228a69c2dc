//! The demonstration: a fleet of processes on the loopback interface under a bounded load, with an
//! optional fault halfway, followed by a check of the invariants against the records.

mod fault;
mod fleet;
mod invariants;
mod layout;
mod process;
mod report;

use std::path::PathBuf;
use std::time::Duration;

use clap::{Parser, ValueEnum};
use ids::Millis;

pub use fault::Fault;
pub use invariants::{RunRecords, TargetRecord, Violation, check_invariants};

use crate::caller::User;
use crate::{Error, Result};
use fleet::Fleet;
use layout::Layout;

/// Users whose fleets are run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum UserSelection {
    /// Feeds, lookups and uploads.
    Hunarmand,
    /// Price feed, orders and filings.
    Morava,
    /// Both users, one after the other.
    Both,
}

impl UserSelection {
    fn users(self) -> &'static [User] {
        match self {
            Self::Hunarmand => &[User::Hunarmand],
            Self::Morava => &[User::Morava],
            Self::Both => &[User::Hunarmand, User::Morava],
        }
    }
}

/// Runs a fleet of load balancers under load and checks its invariants.
#[derive(Debug, Parser)]
pub struct Options {
    /// User whose fleet is run.
    #[arg(long, default_value = "both")]
    pub user: UserSelection,
    /// Duration of the load for each user.
    #[arg(long, default_value = "20s")]
    pub duration: Millis,
    /// Seed of the callers and the fabric.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Fault to inject halfway through the load.
    #[arg(long, default_value = "none")]
    pub fault: Fault,
    /// Scale of the load, in thousandths.
    #[arg(long, default_value_t = 1_000)]
    pub scale: u64,
    /// Number of shards of each instance.
    #[arg(long, default_value_t = 1)]
    pub shards: u32,
    /// Keep the logs and settings even if all invariants hold.
    #[arg(long)]
    pub keep: bool,
}

/// Runs the demonstration and returns whether all invariants held.
pub async fn run(options: &Options) -> Result<bool> {
    let program_directory = process::build_programs().await?;
    let mut all_passed = true;
    for user in options.user.users() {
        all_passed &= run_user(options, *user, program_directory.clone()).await?;
    }
    Ok(all_passed)
}

async fn run_user(options: &Options, user: User, program_directory: PathBuf) -> Result<bool> {
    let name = format!("{user:?}").to_lowercase();
    let run_directory =
        std::env::temp_dir().join(format!("pollenpin-demo-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&run_directory).map_err(Error::io("creating the run's directory"))?;
    println!("{name}: starting 8 instances and 18 targets in 4 failure domains");
    let layout = Layout::new(user, options.shards)?;
    let mut fleet = Fleet::start(
        layout,
        options.seed,
        program_directory,
        run_directory.clone(),
    )
    .await?;
    println!(
        "{name}: {} of load, fault: {:?}",
        options.duration, options.fault
    );
    let duration = Duration::from_millis(options.duration.0);
    let callers = fleet.start_callers(options.seed, options.scale, duration)?;
    let fault_violations = fault::inject(options.fault, &mut fleet, duration).await;
    let result = process::collect_results(callers).await?;
    let mut violations = fault_violations?;
    let records = fleet.read_records().await?;
    violations.extend(check_invariants(&result, &records));
    report::print_report(&name, &result, &records, &violations)?;
    fleet.kill_all().await?;
    let has_passed = violations.is_empty();
    if has_passed && !options.keep {
        std::fs::remove_dir_all(&run_directory)
            .map_err(Error::io("removing the run's directory"))?;
    } else {
        println!(
            "{name}: logs and settings are in {}",
            run_directory.display()
        );
    }
    Ok(has_passed)
}
