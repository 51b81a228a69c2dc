//! The daemon that steers flows on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use edge::daemon::{Daemon, Signals};
use platform::Settings;
use slog::{Level, o};

const AFTER_HELP: &str = "\
Signals: SIGTERM or SIGINT begins a graceful stop; SIGHUP reads the settings again.

Exit codes:
  0    stopped gracefully
  2    settings refused, or an address could not be bound";

/// Exit code for refused settings and for addresses that cannot be bound.
const EXIT_CANNOT_START: u8 = 2;

/// Steers flows whose answers bypass the balancer.
#[derive(Debug, Parser)]
#[command(name = "pollenpin-edge", version, after_help = AFTER_HELP)]
struct Options {
    /// Settings file; by default the one that the platform names in the environment.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_CANNOT_START)
        }
    }
}

fn run(options: Options) -> edge::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(edge::Error::io("starting the async runtime"))?;
    runtime.block_on(run_daemon(options))
}

async fn run_daemon(options: Options) -> edge::Result<()> {
    let signals = Signals::listen()?;
    let file = options.settings.unwrap_or_else(platform::settings_file);
    let settings = Settings::read(&file)?;
    let context = o!(
        "instance" => settings.instance.clone(),
        "domain" => settings.domain.clone(),
    );
    let (log, _flush) = logs::logger(Level::Info, context);
    let daemon = Daemon::bind(settings, signals, log)?;
    daemon.start()?.serve().await.finish().await;
    Ok(())
}
