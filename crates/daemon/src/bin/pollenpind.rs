//! Entry point of the daemon `pollenpind`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use conf::Settings;
use daemon::lifecycle::Daemon;
use tokio::signal::unix::{Signal, SignalKind, signal};

const EXIT_CODES: &str = "\
Signals: SIGTERM or SIGINT begins a graceful stop; a second one ends the process at once.

Exit codes:
  0    stopped gracefully
  2    settings refused, or an address could not be bound
  130  ended by a second signal";

/// Exit code when the settings are refused or a socket cannot be bound.
const EXIT_USAGE: u8 = 2;

/// Exit code after a second signal, the usual one for an interrupted process.
const EXIT_INTERRUPTED: i32 = 130;

/// Load balancer for flows and requests.
#[derive(Debug, Parser)]
#[command(version, after_help = EXIT_CODES)]
struct Options {
    /// Settings file, see docs/settings.md.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = Options::parse();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(options: &Options) -> Result<(), String> {
    let file = options.settings.display().to_string();
    let text = std::fs::read_to_string(&options.settings)
        .map_err(|error| format!("reading settings from {file}: {error}"))?;
    let settings = Settings::parse(&file, &text).map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|error| format!("starting the runtime: {error}"))?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), String> {
    let register = |kind| signal(kind).map_err(|error| format!("listening for signals: {error}"));
    let mut terminate = register(SignalKind::terminate())?;
    let mut interrupt = register(SignalKind::interrupt())?;
    let (log, _flush) = daemon::log::logger(&settings);
    let daemon = Daemon::new(settings, log)
        .start()
        .map_err(|error| error.to_string())?;
    wait_for_signal(&mut terminate, &mut interrupt).await;
    let stopping = daemon.stop().await;
    tokio::select! {
        _ = stopping.finish() => Ok(()),
        () = wait_for_signal(&mut terminate, &mut interrupt) => std::process::exit(EXIT_INTERRUPTED),
    }
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
