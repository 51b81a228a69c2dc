//! The command-line tool `pollenpin`; see [its reference](../../../docs/cli.md).

pub mod args;
mod check;
mod configuration;
mod diff;
mod explain;
mod pack;
mod placement;
mod report;
mod route;
mod status;
mod status_client;
mod steering;
mod table;

use std::path::Path;

use clap::CommandFactory;
use conf::Document;

use args::{Args, Command};
pub use report::{Error, ExitStatus, Report, Result};

/// Runs the command given by the arguments.
pub fn run(args: &Args) -> Result<Report> {
    match &args.command {
        Command::Check { files, kind } => check::run(files, *kind),
        Command::Diff { old, new, wait_ms } => diff::run(old, new, *wait_ms),
        Command::Pack { file, out, pages } => pack::run(file, out, *pages),
        Command::Status {
            addresses,
            details,
            wait_ms,
        } => status::run(addresses, *details, *wait_ms),
        Command::Route {
            document,
            service,
            flow,
            domain,
        } => route::run(document, service, *flow, domain.as_ref()),
        Command::Steering { addresses, wait_ms } => steering::run(addresses, *wait_ms),
        Command::Explain { flow, files } => explain::run(flow, files),
        Command::Completion { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(*shell, &mut Args::command(), "pollenpin", &mut script);
            let text = String::from_utf8_lossy(&script).into_owned();
            Report::new(text.clone(), &text, ExitStatus::Success)
        }
    }
}

fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::Read {
        file: path.display().to_string(),
        source,
    })
}

fn read_document(path: &Path) -> Result<Document> {
    let text = read_file(path)?;
    Ok(conf::document::parse(&path.display().to_string(), &text)?)
}
