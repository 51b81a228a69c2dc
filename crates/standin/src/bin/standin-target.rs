//! Runs one target.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Instant;

use clap::Parser;
use standin::runtime;
use standin::target::{self, SharedTarget, Target, TargetOptions};

#[derive(Debug, Parser)]
struct Options {
    /// Service of the target.
    #[arg(long)]
    service: ids::ServiceName,
    /// Name within the service.
    #[arg(long)]
    name: ids::TargetName,
    /// UDP address for frames.
    #[arg(long)]
    listen: SocketAddr,
    /// HTTP address for health, record and control.
    #[arg(long)]
    http: SocketAddr,
    /// Requests run at once.
    #[arg(long, default_value_t = 2)]
    slots: usize,
    /// Requests that wait for a slot.
    #[arg(long, default_value_t = 4)]
    queue: usize,
    /// Flows held at once.
    #[arg(long, default_value_t = 2_000)]
    max_flows: usize,
    /// Time between two pushes of a feed, in milliseconds.
    #[arg(long, default_value_t = 100)]
    push_ms: u64,
    /// Length of the cold start, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let target = TargetOptions {
        service: options.service,
        name: options.name,
        slots: options.slots,
        max_queue_len: options.queue,
        max_flows: options.max_flows,
        push_interval_ms: options.push_ms,
        cold_start_ms: options.cold_ms,
    };
    runtime::run_program(async move {
        let shared = SharedTarget::new(Target::new(target, Instant::now()));
        let router = target::router(shared.clone());
        tokio::select! {
            ended = runtime::serve_http(options.http, router) => ended,
            ended = target::serve(options.listen, shared) => ended,
        }
    })
}
