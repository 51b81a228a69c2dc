//! Changes in the middle of a run.

use super::events::Event;
use super::model::Model;
use super::scenario::Fault;
use crate::Result;

/// Time until the store shows that a target has started, and that one is dead, whose report expires
/// after three missed updates.
const PUBLISH_US: [u64; 2] = [500_000, 3_000_000];

impl Model<'_> {
    pub(super) fn on_fault(&mut self, fault: Fault) -> Result<()> {
        let affected = |share: f64| 0..(self.scenario.targets[0] as f64 * share).round() as usize;
        match fault {
            Fault::Dead { share, is_dead } => {
                for target in affected(share) {
                    self.targets[target].set_dead(is_dead);
                    let delay_us = PUBLISH_US[usize::from(is_dead)];
                    self.events.add_after(delay_us, Event::Publish(target));
                }
            }
            Fault::Speed { share, speed } => {
                for target in affected(share) {
                    self.targets[target].speed = speed;
                }
            }
            Fault::CutExchange { share } => self.fleet.cut_exchange(share),
            Fault::Leave { count } => self.fleet.leave(count),
            Fault::Join { count } => self.fleet.join(&mut self.events, count)?,
        }
        Ok(())
    }

    pub(super) fn on_publish(&mut self, index: usize) {
        let target = &self.targets[index];
        let (now, is_dead) = (self.events.now(), target.is_dead);
        self.fleet.publish(now, index, target.incarnation, is_dead);
    }
}
