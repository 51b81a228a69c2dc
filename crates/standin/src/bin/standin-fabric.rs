//! Runs the simulated network between callers and instances.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use standin::fabric::{self, Impairment, InstanceEntry};
use standin::runtime;

#[derive(Debug, Parser)]
struct Options {
    /// UDP address that callers send to.
    #[arg(long)]
    listen: SocketAddr,
    /// Address of the HTTP control endpoint.
    #[arg(long)]
    http: SocketAddr,
    /// Instance as `udp@http@domain`; datagrams go only to instances that report ready.
    #[arg(long = "instance", required = true)]
    instances: Vec<InstanceEntry>,
    /// Seed of the random choice of instances and impairments.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Share of datagrams that are dropped, in thousandths.
    #[arg(long, default_value_t = 0)]
    loss_permille: u32,
    /// Delay added to every datagram, in milliseconds.
    #[arg(long, default_value_t = 0)]
    delay_ms: u64,
    /// Share of datagrams that are delayed further and so reordered, in thousandths.
    #[arg(long, default_value_t = 0)]
    reorder_permille: u32,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let impairment = Impairment {
        loss_permille: options.loss_permille,
        delay_ms: options.delay_ms,
        reorder_permille: options.reorder_permille,
        ..Impairment::default()
    };
    runtime::run_program(fabric::serve(
        options.listen,
        options.http,
        options.instances,
        options.seed,
        impairment,
    ))
}
