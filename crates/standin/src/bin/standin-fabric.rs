//! Runs the fabric.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use standin::fabric::{self, Impairment, InstanceEntry};
use standin::runtime;

#[derive(Debug, Parser)]
struct Options {
    /// UDP address for callers.
    #[arg(long)]
    listen: SocketAddr,
    /// HTTP address for control.
    #[arg(long)]
    http: SocketAddr,
    /// Instances as `udp@http@domain`; only ready ones are used.
    #[arg(long = "instance", required = true)]
    instances: Vec<InstanceEntry>,
    /// Seed of the choice of instances.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Datagrams lost, in thousandths.
    #[arg(long, default_value_t = 0)]
    loss_permille: u32,
    /// Delay of every datagram, in milliseconds.
    #[arg(long, default_value_t = 0)]
    delay_ms: u64,
    /// Datagrams held back longer than later ones, in thousandths.
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
