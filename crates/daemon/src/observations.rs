//! Coalescing of observations that a shard sends to the control plane.
//!
//! A busy shard produces an observation with every answer. Only the latest count per target
//! matters, so counts are buffered until the next tick. A change of a target's state is sent
//! immediately.

use balance::event::Observation;
use hashbrown::HashMap;
use wire::token::TargetId;

/// Latest unsent counts of one target.
#[derive(Debug, Clone, Copy, Default)]
struct PendingCounts {
    answered: Option<Option<u32>>,
    in_flight: Option<u32>,
    flows: Option<u32>,
}

/// Buffer of the counts to send at the next tick.
#[derive(Debug, Default)]
pub struct ObservationBuffer {
    pending: HashMap<TargetId, PendingCounts>,
}

impl ObservationBuffer {
    /// Buffers an observation, or returns it if it must be sent immediately.
    pub fn record(&mut self, observation: Observation) -> Option<Observation> {
        match observation {
            Observation::Answered { target, load } => {
                self.pending.entry(target).or_default().answered = Some(load);
            }
            Observation::InFlight { target, count } => {
                self.pending.entry(target).or_default().in_flight = Some(count);
            }
            Observation::Flows { target, count } => {
                self.pending.entry(target).or_default().flows = Some(count);
            }
            Observation::Draining(target)
            | Observation::Overloaded(target)
            | Observation::TimedOut(target) => {
                // An earlier answer that is sent later would undo this change.
                if let Some(counts) = self.pending.get_mut(&target) {
                    counts.answered = None;
                }
                return Some(observation);
            }
        }
        None
    }

    /// Sends and removes buffered observations. When `send` returns false because the queue is
    /// full, the counts of that target stay buffered until the next tick.
    pub fn flush(&mut self, mut send: impl FnMut(Observation) -> bool) {
        self.pending.retain(|target, counts| {
            let target = *target;
            let answered = counts
                .answered
                .map(|load| Observation::Answered { target, load });
            let in_flight = counts
                .in_flight
                .map(|count| Observation::InFlight { target, count });
            let flows = counts
                .flows
                .map(|count| Observation::Flows { target, count });
            let mut all = [answered, in_flight, flows].into_iter().flatten();
            let is_sent = all.all(&mut send);
            !is_sent
        });
    }
}
