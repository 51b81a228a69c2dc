//! Observations on their way from a shard to the control part.
//!
//! A busy shard observes something with every answer. Only the newest count per target matters, so
//! counts are held until the next tick; a change of a target's state passes at once.

use balance::event::Observation;
use hashbrown::HashMap;
use wire::token::TargetId;

/// Newest counts of one target.
#[derive(Debug, Clone, Copy, Default)]
struct PendingCounts {
    answered: Option<Option<u32>>,
    in_flight: Option<u32>,
    flows: Option<u32>,
}

/// Counts that wait for the next tick.
#[derive(Debug, Default)]
pub struct ObservationBuffer {
    pending: HashMap<TargetId, PendingCounts>,
}

impl ObservationBuffer {
    /// Takes an observation and returns it if it must pass at once.
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
                // An answer from before must not follow and undo the change.
                if let Some(counts) = self.pending.get_mut(&target) {
                    counts.answered = None;
                }
                return Some(observation);
            }
        }
        None
    }

    /// Passes on and forgets what is held; `send` returns false when there is no room, and the
    /// rest stays for the next tick.
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
