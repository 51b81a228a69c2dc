//! Generates the load of the callers of one failure domain and prints the result as JSON.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use standin::caller::{self, CallerOptions, User, Workload};
use standin::{Error, runtime};

#[derive(Debug, Parser)]
struct Options {
    /// UDP address of the fabric or of an instance.
    #[arg(long)]
    fabric: SocketAddr,
    /// User whose workload is generated.
    #[arg(long)]
    user: User,
    /// Failure domain of the callers.
    #[arg(long)]
    domain: ids::DomainName,
    /// Duration of the load.
    #[arg(long, default_value = "20s")]
    duration: ids::Millis,
    /// Seed of the random ids and intervals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Scale of the load, in thousandths.
    #[arg(long, default_value_t = 1_000)]
    scale: u64,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let caller = CallerOptions {
        destination: options.fabric,
        domain: options.domain,
        workload: Workload::new(options.user, options.scale),
        duration: Duration::from_millis(options.duration.0),
        seed: options.seed,
    };
    runtime::run_program(async move {
        let result = caller::run(caller).await?;
        let text = serde_json::to_string(&result)
            .map_err(|error| Error::failed("printing the result", error))?;
        println!("{text}");
        Ok(())
    })
}
