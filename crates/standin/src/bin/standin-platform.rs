//! Serves the files of a directory as the values of the configuration service.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use standin::platform::Platform;
use standin::runtime;

#[derive(Debug, Parser)]
struct Options {
    /// HTTP address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Directory that holds one file per value; its relative path is the key.
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
