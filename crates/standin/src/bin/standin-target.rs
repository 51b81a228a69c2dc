//! Runs one target.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Instant;

use clap::Parser;
use standin::runtime;
use standin::target::{self, SharedTarget, Target, TargetOptions};

#[derive(Debug, Parser)]
struct Options {
    /// Service that the target belongs to.
    #[arg(long)]
    service: ids::ServiceName,
    /// Name of the target within the service.
    #[arg(long)]
    name: ids::TargetName,
    /// UDP address for frames.
    #[arg(long)]
    listen: SocketAddr,
    /// Address of the HTTP endpoints for health, record and control.
    #[arg(long)]
    http: SocketAddr,
    /// Requests that run concurrently.
    #[arg(long, default_value_t = 2)]
    slots: usize,
    /// Maximum number of requests that wait for a slot.
    #[arg(long, default_value_t = 4)]
    queue: usize,
    /// Maximum number of open flows.
    #[arg(long, default_value_t = 2_000)]
    max_flows: usize,
    /// Interval between two pushes on a feed flow, in milliseconds.
    #[arg(long, default_value_t = 100)]
    push_ms: u64,
    /// Duration of the cold start, in milliseconds.
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
