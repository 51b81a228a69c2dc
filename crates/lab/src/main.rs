//! Runs one experiment and prints its tables.

use std::io;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use lab::opening_cost::{self, OpeningRun};

use lab::{affinity, control, cost, flood, pressure, rollout, spread};

/// Experiments on the decision core of pollenpin.
#[derive(Debug, Parser)]
struct Args {
    /// Seed of all random numbers in the experiment.
    #[arg(long, default_value_t = 1, global = true)]
    seed: u64,
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Debug, Subcommand)]
enum Experiment {
    /// Compare the affinity methods of flows under one script of faults.
    Affinity,
    /// Measure control traffic, CPU time and memory of one instance.
    Control,
    /// Measure the time of one decision and the memory of one flow.
    Cost,
    /// Make a fixed number of decisions for known flows, for an instruction counter.
    Decide {
        /// Flows in the flow table.
        #[arg(long, default_value_t = 10_000)]
        flows: u64,
        /// Number of decisions.
        #[arg(long)]
        decisions: u64,
    },
    /// Measure the service that other work still gets while one class floods.
    Flood,
    /// Place a fixed number of flows, for an instruction counter.
    Openings {
        /// Targets of the service.
        #[arg(long)]
        targets: u64,
        /// Flows that are open at the same time, per target.
        #[arg(long, default_value_t = 1)]
        flows_per_target: u64,
        /// Number of opening packets.
        #[arg(long)]
        decisions: u64,
    },
    /// Measure what callers get when capacity is short.
    Pressure,
    /// Measure the time and traffic of a configuration change.
    Rollout,
    /// Compare the methods of selecting targets for requests.
    Spread,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let mut out = io::stdout().lock();
    let result = match args.experiment {
        Experiment::Affinity => affinity::run(args.seed, &mut out),
        Experiment::Control => control::run(args.seed, &mut out),
        Experiment::Cost => cost::run(args.seed, &mut out),
        Experiment::Decide { flows, decisions } => {
            cost::decide(args.seed, flows, decisions, &mut out)
        }
        Experiment::Flood => flood::run(args.seed, &mut out),
        Experiment::Openings {
            targets,
            flows_per_target,
            decisions,
        } => {
            let run = OpeningRun {
                targets,
                flows_per_target,
                decisions,
            };
            opening_cost::decide(args.seed, run, &mut out)
        }
        Experiment::Pressure => pressure::run(args.seed, &mut out),
        Experiment::Rollout => rollout::run(args.seed, &mut out),
        Experiment::Spread => spread::run(args.seed, &mut out),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lab: {error}");
            ExitCode::FAILURE
        }
    }
}
