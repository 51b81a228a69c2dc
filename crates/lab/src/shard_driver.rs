//! Drives one shard for measurements and tests of the flow table.

use std::sync::Arc;

use balance::event::{CounterEvent, Observation, ShardAction, ShardEvent};
use balance::shard::{Shard, ShardSettings};
use hashbrown::HashMap;
use ids::{Micros, Millis};
use wire::frame::{Frame, Kind};
use wire::seal::Keys;
use wire::token::TargetId;

use crate::fixture;

/// A shard of the only instance of Hunarmand's fleet, whose targets have no flow limit.
#[derive(Debug)]
pub struct ShardDriver {
    /// The shard.
    pub shard: Shard,
    /// Current time.
    pub now: Micros,
    flow_counts: HashMap<TargetId, u32>,
}

/// Result of one frame.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Frames sent to targets.
    pub forwarded: u64,
    /// Flows evicted.
    pub evicted: u64,
}

/// Returns the frame that opens a flow of the service `rates`, without token echo.
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
        // Has room for any target name, so that setting the name does not allocate.
        target: String::with_capacity(64),
        body: b"payload".to_vec(),
        ..open_frame(flow)
    }
}

impl ShardDriver {
    /// Starts a shard that has a view of the fixture's document.
    pub fn new(settings: ShardSettings) -> Self {
        let mut fleet = fixture::hunarmand();
        fleet.instances = 1;
        let mut document = fixture::document(&fleet);
        for service in document.services.values_mut() {
            for target in service.targets.values_mut() {
                target.max_flows = u32::MAX;
            }
        }
        let view = Arc::new(fixture::view(&fleet, &Arc::new(document), 0));
        let mut driver = Self {
            shard: Shard::new(settings, Keys::new("load", None)),
            now: Micros(0),
            flow_counts: HashMap::new(),
        };
        driver.handle_event(ShardEvent::View(view), &mut Vec::new());
        driver
    }

    /// Delivers an event to the shard at the current time.
    pub fn handle_event(&mut self, event: ShardEvent, out: &mut Vec<ShardAction>) {
        self.shard.handle(self.now, event, out);
    }

    /// Delivers a frame from a caller.
    pub fn handle_caller_frame(&mut self, frame: Frame, out: &mut Vec<ShardAction>) {
        let from = fixture::address(0, 1);
        self.handle_event(ShardEvent::CallerFrame { from, frame }, out);
    }

    /// Opens a flow and returns the result.
    pub fn open_flow(&mut self, flow: u64) -> Outcome {
        self.send_frame(open_frame(flow))
    }

    /// Sends data on a flow and returns the result.
    pub fn send_data(&mut self, flow: u64) -> Outcome {
        self.send_frame(data_frame(flow))
    }

    fn send_frame(&mut self, frame: Frame) -> Outcome {
        let mut actions = Vec::new();
        self.handle_caller_frame(frame, &mut actions);
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

    /// Returns whether the flow table contains a flow of `rates`.
    pub fn has_flow(&self, flow: u64) -> bool {
        self.shard.flows().contains("rates", flow)
    }

    /// Advances the time and ticks once.
    pub fn tick(&mut self, after_ms: Millis) {
        self.now = self.now + after_ms;
        let mut actions = Vec::new();
        self.handle_event(ShardEvent::Tick, &mut actions);
        for action in actions {
            if let ShardAction::ReportObservation(Observation::Flows { target, count }) = action {
                self.flow_counts.insert(target, count);
            }
        }
    }

    /// Returns the number of flows that the shard last reported, summed over all targets.
    pub fn reported_flow_count(&self) -> u32 {
        self.flow_counts.values().sum()
    }
}
