//! Measures the time of one decision and the memory of one flow.

use std::io::Write;
use std::time::Instant;

use balance::event::{ShardAction, ShardEvent};
use balance::flow::{AffinityMethod, FlowSettings};
use balance::placement::MaglevTable;
use balance::shard::ShardSettings;
use ids::{Micros, hash_pair};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use wire::frame::Frame;

use crate::shard_driver::{ShardDriver, data_frame, open_frame};
use crate::{Result, fixture};

const FLOW_COUNTS: [u64; 4] = [10_000, 50_000, 100_000, 500_000];

/// Decisions per timed batch, as many as a driver reads from its socket at once. A batch takes long
/// compared with the resolution of the clock and is short compared with a scheduler time slice, so
/// that the median excludes interruptions.
const BATCH_LEN: usize = 64;

const BATCH_COUNT: usize = 5_001;

/// How the shard finds the target for the frames of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LookupPath {
    /// By the entry in the flow table, without a token.
    TableEntry,
    /// By the entry in the flow table, with a token that names the same target.
    TableEntryAndToken,
    /// By the token alone; the flow has no entry.
    TokenOnly,
    /// New flows without token echo.
    NewFlow,
    /// New flows with token echo, placed by load.
    NewFlowWithEcho,
}

/// Runs the experiment and writes its tables.
pub fn run(seed: u64, out: &mut impl Write) -> Result<()> {
    writeln!(
        out,
        "| flows | known flow, ns | with token | token without entry | open by history | open by load | bytes per flow |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|")?;
    for size in FLOW_COUNTS {
        let mut bench = DecisionBench::new(seed, size);
        let [history, echo, token, open, open_echo] = [
            LookupPath::TableEntry,
            LookupPath::TableEntryAndToken,
            LookupPath::TokenOnly,
            LookupPath::NewFlow,
            LookupPath::NewFlowWithEcho,
        ]
        .map(|path| bench.median_ns(path));
        let flow_bytes = bench.driver.shard.flows().allocated_bytes() as f64 / size as f64;
        writeln!(
            out,
            "| {size} | {history:.0} | {echo:.0} | {token:.0} | {open:.0} | {open_echo:.0} | {flow_bytes:.1} |"
        )?;
    }
    writeln!(out)?;
    measure_table_rebuild(out)
}

/// Makes a fixed number of decisions for known flows, to be run under an instruction counter.
///
/// The frame is taken back from the action and reused. The difference between two runs therefore
/// contains only decisions, not the setup of the flow table or the creation of frames.
pub fn decide(seed: u64, flows: u64, decisions: u64, out: &mut impl Write) -> Result<()> {
    let mut bench = DecisionBench::new(seed, flows);
    let mut frame = data_frame(0);
    let from = fixture::address(0, 1);
    let mut forwarded = 0_u64;
    for &flow in bench.flows.iter().cycle().take(decisions as usize) {
        frame.flow = flow;
        let event = ShardEvent::CallerFrame { from, frame };
        let shard = &mut bench.driver.shard;
        shard.handle(bench.driver.now, event, &mut bench.actions);
        frame = match bench.actions.pop() {
            Some(ShardAction::SendToTarget { frame, .. }) => frame,
            _ => data_frame(0),
        };
        forwarded += u64::from(!frame.target.is_empty());
    }
    writeln!(out, "{forwarded} of {decisions} frames forwarded")?;
    Ok(())
}

struct DecisionBench {
    driver: ShardDriver,
    random: StdRng,
    flows: Vec<u64>,
    tokens: Vec<Vec<u8>>,
    opened_count: u64,
    actions: Vec<ShardAction>,
}

impl DecisionBench {
    fn new(seed: u64, size: u64) -> Self {
        let flow = FlowSettings {
            method: AffinityMethod::Token,
            capacity_flows: size as usize,
            ..FlowSettings::default()
        };
        let mut driver = ShardDriver::new(ShardSettings {
            flow,
            ..ShardSettings::default()
        });
        let mut random = StdRng::seed_from_u64(seed);
        let mut flows: Vec<_> = (0..size).map(|number| hash_pair(number, seed)).collect();
        let mut tokens = Vec::new();
        let mut actions = Vec::new();
        for &flow in &flows {
            actions.clear();
            driver.handle_caller_frame(open_frame(flow), &mut actions);
            tokens.push(open_reply_token(&mut driver, &mut actions));
            driver.send_data(flow);
        }
        let mut order: Vec<_> = (0..flows.len()).collect();
        order.shuffle(&mut random);
        flows = order.iter().map(|&index| flows[index]).collect();
        tokens = order.iter().map(|&index| tokens[index].clone()).collect();
        Self {
            driver,
            random,
            flows,
            tokens,
            opened_count: size,
            actions: Vec::with_capacity(4 * BATCH_LEN),
        }
    }

    fn median_ns(&mut self, path: LookupPath) -> f64 {
        let mut times: Vec<_> = (0..BATCH_COUNT)
            .map(|_| {
                let frames = self.make_batch(path);
                self.actions.clear();
                let start = Instant::now();
                self.handle_batch(frames);
                start.elapsed().as_nanos() as f64 / BATCH_LEN as f64
            })
            .collect();
        times.sort_by(f64::total_cmp);
        times[BATCH_COUNT / 2]
    }

    fn make_batch(&mut self, path: LookupPath) -> Vec<Frame> {
        (0..BATCH_LEN).map(|_| self.make_frame(path)).collect()
    }

    fn make_frame(&mut self, path: LookupPath) -> Frame {
        let index = self.random.random_range(0..self.flows.len());
        self.opened_count += 1;
        let new_flow = hash_pair(self.opened_count, 1);
        match path {
            LookupPath::TableEntry => data_frame(self.flows[index]),
            LookupPath::TableEntryAndToken => Frame {
                echo: true,
                token: self.tokens[index].clone(),
                ..data_frame(self.flows[index])
            },
            LookupPath::TokenOnly => {
                let target = wire::token::unverified_target(&self.tokens[index]);
                Frame {
                    echo: true,
                    token: target
                        .map(|target| wire::token::seal(&driver_keys(), "rates", new_flow, target))
                        .unwrap_or_default(),
                    ..data_frame(new_flow)
                }
            }
            LookupPath::NewFlow => open_frame(new_flow),
            LookupPath::NewFlowWithEcho => Frame {
                echo: true,
                ..open_frame(new_flow)
            },
        }
    }

    /// Handles a batch and returns the number of frames sent to targets. The actions are kept,
    /// because sending and dropping them is not part of a decision.
    fn handle_batch(&mut self, frames: Vec<Frame>) -> usize {
        for frame in frames {
            self.driver.handle_caller_frame(frame, &mut self.actions);
        }
        self.actions
            .iter()
            .filter(|action| matches!(action, ShardAction::SendToTarget { .. }))
            .count()
    }
}

fn driver_keys() -> wire::seal::Keys {
    wire::seal::Keys::new("load", None)
}

/// Simulates the target's reply to an `Open` frame and returns the token that the caller receives.
fn open_reply_token(driver: &mut ShardDriver, actions: &mut Vec<ShardAction>) -> Vec<u8> {
    let forwarded = actions.drain(..).find_map(|action| match action {
        ShardAction::SendToTarget { to, frame, .. } => Some((to, frame)),
        _ => None,
    });
    let Some((from, frame)) = forwarded else {
        return Vec::new();
    };
    let frame = Frame {
        kind: wire::frame::Kind::Opened.into(),
        echo: true,
        ..frame
    };
    driver.handle_event(ShardEvent::TargetFrame { from, frame }, actions);
    let token = actions.drain(..).find_map(|action| match action {
        ShardAction::SendToCaller { frame, .. } => Some(frame.token),
        _ => None,
    });
    token.unwrap_or_default()
}

fn measure_table_rebuild(out: &mut impl Write) -> Result<()> {
    let document = fixture::document(&fixture::hunarmand());
    writeln!(out, "| targets | rebuild of the lookup table, us |")?;
    writeln!(out, "|---|---|")?;
    for (name, service) in document.services.iter().rev() {
        let set = fixture::target_set(name, service, Micros(0));
        let mut times: Vec<_> = (0..BATCH_COUNT)
            .map(|_| {
                let start = Instant::now();
                std::hint::black_box(MaglevTable::new(&set));
                start.elapsed().as_nanos() as f64 / 1_000.0
            })
            .collect();
        times.sort_by(f64::total_cmp);
        writeln!(
            out,
            "| {} | {:.0} |",
            set.candidates.len(),
            times[BATCH_COUNT / 2]
        )?;
    }
    Ok(())
}
