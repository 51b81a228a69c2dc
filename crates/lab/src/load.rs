//! One shard under load, for costs and limits of the flow table.

use std::sync::Arc;

use balance::event::{CounterEvent, Observation, ShardAction, ShardEvent};
use balance::shard::{Shard, ShardSettings};
use hashbrown::HashMap;
use ids::{Micros, Millis};
use wire::frame::{Frame, Kind};
use wire::seal::Keys;
use wire::token::TargetId;

use crate::fixture;

/// A shard of the only instance of Hunarmand's fleet, with targets that hold any number of flows.
#[derive(Debug)]
pub struct Driver {
    /// The shard.
    pub shard: Shard,
    /// Present time.
    pub now: Micros,
    counts: HashMap<TargetId, u32>,
}

/// What came of a frame.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Frames sent to targets.
    pub forwarded: u64,
    /// Flows evicted.
    pub evicted: u64,
}

/// Returns the frame that opens a flow on the service `rates`, without echo.
pub fn open_frame(flow: u64) -> Frame {
    Frame {
        service: "rates".to_owned(),
        domain: fixture::DOMAINS[(flow % 4) as usize].to_owned(),
        source: "127.2.0.1:9".to_owned(),
        flow,
        ..Frame::new(Kind::Open)
    }
}

/// Returns a data frame of a flow.
pub fn data_frame(flow: u64) -> Frame {
    Frame {
        kind: Kind::Data.into(),
        // Names of targets fit, so that writing one does not allocate.
        target: String::with_capacity(64),
        body: b"payload".to_vec(),
        ..open_frame(flow)
    }
}

impl Driver {
    /// Starts a shard.
    pub fn new(settings: ShardSettings) -> Self {
        let mut shape = fixture::hunarmand();
        shape.instances = 1;
        let mut document = fixture::document(&shape);
        for service in document.services.values_mut() {
            for target in service.targets.values_mut() {
                target.max_flows = u32::MAX;
            }
        }
        let view = Arc::new(fixture::view(&shape, &Arc::new(document), 0));
        let mut driver = Self {
            shard: Shard::new(settings, Keys::new("load", None)),
            now: Micros(0),
            counts: HashMap::new(),
        };
        driver.handle(ShardEvent::View(view), &mut Vec::new());
        driver
    }

    /// Gives an event to the shard.
    pub fn handle(&mut self, event: ShardEvent, out: &mut Vec<ShardAction>) {
        self.shard.handle(self.now, event, out);
    }

    /// Takes a frame from a caller.
    pub fn take(&mut self, frame: Frame, out: &mut Vec<ShardAction>) {
        let from = fixture::address(0, 1);
        self.handle(ShardEvent::CallerFrame { from, frame }, out);
    }

    /// Opens a flow.
    pub fn open(&mut self, flow: u64) -> Outcome {
        self.outcome(open_frame(flow))
    }

    /// Sends data on a flow.
    pub fn data(&mut self, flow: u64) -> Outcome {
        self.outcome(data_frame(flow))
    }

    fn outcome(&mut self, frame: Frame) -> Outcome {
        let mut actions = Vec::new();
        self.take(frame, &mut actions);
        let mut outcome = Outcome::default();
        for action in actions {
            match action {
                ShardAction::SendToTarget { .. } => outcome.forwarded += 1,
                ShardAction::Count(CounterEvent::FlowEvicted) => outcome.evicted += 1,
                _ => {}
            }
        }
        outcome
    }

    /// Tells whether the table has a flow of `rates`.
    pub fn is_known(&self, flow: u64) -> bool {
        self.shard.flows().contains("rates", flow)
    }

    /// Lets time pass and ticks once.
    pub fn tick(&mut self, after_ms: Millis) {
        self.now = self.now + after_ms;
        let mut actions = Vec::new();
        self.handle(ShardEvent::Tick, &mut actions);
        for action in actions {
            if let ShardAction::ReportObservation(Observation::Flows { target, count }) = action {
                self.counts.insert(target, count);
            }
        }
    }

    /// Returns the flows that the shard reported over all targets.
    pub fn counted_flows(&self) -> u32 {
        self.counts.values().sum()
    }
}
