//! Runs a fleet of load balancers under load; exits with 1 when an invariant is violated.

use std::process::ExitCode;

use clap::Parser;
use standin::demo;

fn main() -> ExitCode {
    let options = demo::Options::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(demo::run(&options)),
        Err(error) => Err(standin::Error::io("starting the runtime")(error)),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
