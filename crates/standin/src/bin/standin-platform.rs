//! Serves a directory of values as the configuration service.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use standin::platform::Platform;
use standin::runtime;

#[derive(Debug, Parser)]
struct Options {
    /// HTTP address.
    #[arg(long)]
    listen: SocketAddr,
    /// Directory whose files are the values.
    #[arg(long)]
    values: PathBuf,
}

fn main() -> ExitCode {
    let options = Options::parse();
    runtime::run_program(runtime::serve_http(
        options.listen,
        Platform::new(options.values).router(),
    ))
}
