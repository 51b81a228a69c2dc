//! Compares the affinity methods of flows under one script of faults.

use std::io::Write;

use balance::flow::{AffinityMethod, FlowSettings};
use balance::shard::ShardSettings;
use conf::Document;
use conf::model::{Target, TargetState};
use ids::{Micros, Millis, hash_pair};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::linear_fit::LinearFit;
use crate::shard_network::{Caller, Condition, ShardNetwork};
use crate::{Result, fixture};

/// Flows opened in the first round. Each of the four later phases opens a quarter as many.
const INITIAL_FLOWS: u64 = 10_000;
/// Flows of the first round for the table by flow count. With more, the targets reach `max_flows`
/// and refuse flows.
const INITIAL_FLOWS_BY_SIZE: [u64; 4] = [3_000, 6_000, 10_000, 12_000];

/// Interval between two frames of a flow, and the duration of one round of the script.
const ROUND_MS: Millis = Millis(10_000);

/// Steps of a round. Instances exchange flow counts after each step.
const STEPS_PER_ROUND: u64 = 50;

/// Runs the experiment and writes its tables.
pub fn run(seed: u64, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "| method | flows with echo | broken on planned changes | broken on the kill | misrouted frames | \
         relays per caller frame | record bytes per second and instance, mean | in the worst 10 s | \
         peak over mean |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|")?;
    let cases = [
        ("table", AffinityMethod::LookupTable, 0),
        ("history", AffinityMethod::TargetSets, 0),
        ("token", AffinityMethod::Token, 0),
        ("token", AffinityMethod::Token, 500),
        ("token", AffinityMethod::Token, 1_000),
    ];
    for (name, method, echo_permille) in cases {
        let mut script = FaultScript::new(seed, method, echo_permille, INITIAL_FLOWS);
        script.run();
        script.write_row(name, out)?;
    }
    measure_by_flow_count(seed, out)
}

/// Measures the bytes of flow records for several numbers of flows.
fn measure_by_flow_count(seed: u64, out: &mut impl Write) -> Result<()> {
    for echo_permille in [0, 500] {
        writeln!(out)?;
        writeln!(
            out,
            "| flows, {}% with echo | broken | record bytes per second and instance, mean | in the worst 10 s |",
            echo_permille / 10
        )?;
        writeln!(out, "|---|---|---|---|")?;
        let mut means = Vec::new();
        let mut worsts = Vec::new();
        for initial_flows in INITIAL_FLOWS_BY_SIZE {
            let mut script =
                FaultScript::new(seed, AffinityMethod::Token, echo_permille, initial_flows);
            script.run();
            let (mean, worst) = script.record_rates();
            let flows = script.flows.len();
            let broken = script.broken_planned + script.broken_on_kill;
            writeln!(out, "| {flows} | {broken} | {mean:.0} | {worst:.0} |")?;
            means.push((flows as f64, mean));
            worsts.push((flows as f64, worst));
        }
        writeln!(out)?;
        writeln!(out, "- mean B/s = {} x flows", LinearFit::through(&means))?;
        writeln!(out, "- worst B/s = {} x flows", LinearFit::through(&worsts))?;
    }
    Ok(())
}

struct FaultScript {
    net: ShardNetwork,
    random: StdRng,
    echo_permille: u64,
    initial_flows: u64,
    flows: Vec<u64>,
    opened_count: u64,
    start: Micros,
    counted_record_bytes: u64,
    worst_round_bytes: u64,
    peak_over_mean: f64,
    broken_planned: usize,
    broken_on_kill: usize,
}

impl FaultScript {
    fn new(seed: u64, method: AffinityMethod, echo_permille: u64, initial_flows: u64) -> Self {
        let settings = ShardSettings {
            flow: FlowSettings {
                method,
                capacity_flows: 5 * initial_flows as usize,
                ..FlowSettings::default()
            },
            ..ShardSettings::default()
        };
        let mut net = ShardNetwork::new(&fixture::hunarmand(), settings);
        net.keeps_received_frames = false;
        // Instances query the previous owner of every unknown flow until they have run for the idle
        // timeout, so wait it out before measuring.
        net.run_for(Millis(301_000));
        Self {
            start: net.now,
            net,
            random: StdRng::seed_from_u64(seed),
            echo_permille,
            initial_flows,
            flows: Vec::new(),
            opened_count: 0,
            counted_record_bytes: 0,
            worst_round_bytes: 0,
            peak_over_mean: 0.0,
            broken_planned: 0,
            broken_on_kill: 0,
        }
    }

    fn run(&mut self) {
        let phase_flows = self.initial_flows / 4;
        self.run_round(self.initial_flows);
        self.peak_over_mean = self.peak_over_mean_flows();
        self.run_round(0);

        self.net
            .publish(|document| drain_target(document, "rates-03"));
        self.run_round(phase_flows);
        self.net
            .publish(|document| add_target(document, "rates-98", 98));
        self.run_round(phase_flows);
        self.net
            .publish(|document| drain_target(document, "rates-05"));
        self.open_flows(50);
        self.net
            .publish(|document| add_target(document, "rates-99", 99));
        self.run_round(phase_flows - 50);

        self.net.add_instance();
        self.net.refresh_peers();
        self.run_round(phase_flows);
        self.stop_instance(1);
        self.run_rounds(2);
        self.pause_and_resume(4);
        // Old target sets retire within these rounds.
        self.run_rounds(32);
        self.net.publish(|_| {});
        self.run_rounds(2);
        self.broken_planned = self.count_broken_flows();

        self.net.kill(2);
        self.advance(2_000);
        self.net.refresh_peers();
        self.run_rounds(3);
        self.broken_on_kill = self.count_broken_flows() - self.broken_planned;
    }

    fn stop_instance(&mut self, index: usize) {
        self.net.stop(index);
        let running = self.net.running();
        let others: Vec<_> = running.into_iter().filter(|&peer| peer != index).collect();
        for &peer in &others {
            self.net.set_peers(peer, &others);
        }
        self.advance(1_000);
        self.net.instances[index].condition = Condition::Dead;
    }

    fn pause_and_resume(&mut self, index: usize) {
        self.net.pause(index);
        self.advance(2_000);
        self.net.refresh_peers();
        self.run_round(0);
        self.net.resume(index);
        self.advance(1_000);
        self.net.activate_document(index);
        self.net.instances[index].view.may_own = true;
        self.net.refresh_peers();
    }

    fn run_rounds(&mut self, count: u64) {
        for _ in 0..count {
            self.run_round(0);
        }
    }

    /// Opens `open_count` flows and sends one frame on each older flow, spread evenly over a round.
    fn run_round(&mut self, open_count: u64) {
        let old = self.flows.clone();
        let step_ms = Millis(ROUND_MS.0 / STEPS_PER_ROUND);
        for step in 0..STEPS_PER_ROUND {
            self.open_flows(open_count / STEPS_PER_ROUND);
            for &flow in old
                .iter()
                .skip(step as usize)
                .step_by(STEPS_PER_ROUND as usize)
            {
                let via = self.random_running_instance();
                self.net.send_data(flow, via);
            }
            self.net.run_for(step_ms);
            self.net.exchange_flow_counts();
        }
        let bytes = self.net.counts.record_bytes - self.counted_record_bytes;
        self.counted_record_bytes = self.net.counts.record_bytes;
        self.worst_round_bytes = self.worst_round_bytes.max(bytes);
    }

    fn advance(&mut self, ms: u64) {
        self.net.run_for(Millis(ms));
    }

    fn random_running_instance(&mut self) -> usize {
        let running = self.net.running();
        running[self.random.random_range(0..running.len())]
    }

    fn open_flows(&mut self, count: u64) {
        for number in self.opened_count..self.opened_count + count {
            let flow = hash_pair(number, 0x6c61_6221);
            let is_bulk = number % 10 == 0;
            let caller = Caller {
                service: if is_bulk { "submissions" } else { "rates" }.to_owned(),
                domain: fixture::DOMAINS[(flow % 4) as usize].to_owned(),
                echo: number % 1_000 < self.echo_permille,
                ..Caller::default()
            };
            let via = self.random_running_instance();
            self.net.open_flow(flow, caller, via);
            self.flows.push(flow);
        }
        self.opened_count += count;
    }

    /// Returns the number of flows that were refused or got no reply to three more rounds of
    /// frames.
    fn count_broken_flows(&mut self) -> usize {
        let received = |net: &ShardNetwork, flow: &u64| net.callers[flow].data_frames_received;
        let before: Vec<_> = self
            .flows
            .iter()
            .map(|flow| received(&self.net, flow))
            .collect();
        self.run_rounds(3);
        let is_broken = |(flow, before): &(&u64, u64)| {
            self.net.callers[*flow].refusal.is_some() || received(&self.net, flow) <= *before
        };
        self.flows.iter().zip(before).filter(is_broken).count()
    }

    fn peak_over_mean_flows(&self) -> f64 {
        let counts: Vec<_> = self
            .net
            .targets
            .values()
            .filter(|target| target.service == "rates")
            .map(|target| target.flows.len())
            .collect();
        let peak = counts.iter().max().copied().unwrap_or_default();
        let total: usize = counts.iter().sum();
        peak as f64 * counts.len() as f64 / total.max(1) as f64
    }

    /// Returns the bytes of flow records per second and instance: the mean and that of the worst
    /// round.
    fn record_rates(&self) -> (f64, f64) {
        let seconds = self.net.now.since(self.start).0 as f64 / 1_000.0;
        // Eight instances run, except during the pause and after the kill.
        let mean = self.net.counts.record_bytes as f64 / seconds / 8.0;
        let worst = self.worst_round_bytes as f64 * 1_000.0 / ROUND_MS.0 as f64 / 8.0;
        (mean, worst)
    }

    fn write_row(&self, name: &str, out: &mut impl Write) -> Result<()> {
        let counts = &self.net.counts;
        let (mean, worst) = self.record_rates();
        writeln!(
            out,
            "| {name} | {}% | {} of {} | {} | {} | {:.4} | {mean:.0} | {worst:.0} | {:.3} |",
            self.echo_permille / 10,
            self.broken_planned,
            self.flows.len(),
            self.broken_on_kill,
            counts.misrouted_frames,
            counts.relayed_frames as f64 / counts.caller_frames as f64,
            self.peak_over_mean,
        )?;
        Ok(())
    }
}

fn target_mut<'a>(document: &'a mut Document, name: &str) -> Option<&'a mut Target> {
    let is_named = |(known, _): &(&ids::TargetName, &mut Target)| known.as_str() == name;
    document
        .services
        .values_mut()
        .flat_map(|service| service.targets.iter_mut())
        .find(is_named)
        .map(|(_, target)| target)
}

fn drain_target(document: &mut Document, name: &str) {
    if let Some(target) = target_mut(document, name) {
        target.state = TargetState::Draining;
    }
}

fn add_target(document: &mut Document, name: &str, host: u8) {
    let Some(mut added) = target_mut(document, "rates-01").cloned() else {
        return;
    };
    added.address = fixture::address(1, host);
    let rates = document
        .services
        .iter_mut()
        .find(|(service, _)| service.as_str() == "rates");
    if let (Some((_, service)), Ok(name)) = (rates, name.parse()) {
        service.targets.insert(name, added);
    }
}
