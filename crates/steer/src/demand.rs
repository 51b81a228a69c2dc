//! What the callers of a service ask for, by priority.

use ids::Millis;

use crate::model::Priority;

/// Part of a service's requests that more urgent priorities need to have so that less urgent ones
/// are refused for them. Occasional requests fit in without that.
const MIN_URGENT_PART: f32 = 0.05;

/// Share of the less urgent openings that is admitted in any case, so that no route starves.
pub const MIN_SHARE: f32 = 0.05;

/// Time in which the demand decays to a third. It follows a change of traffic within a few seconds
/// and does not follow single bursts.
const DECAY: Millis = Millis(2_000);

/// Number of requests and openings below which a priority is no longer in use.
const MIN_REQUESTS: f32 = 0.01;

/// Number of priorities for which memory is reserved, as packets of known flows allocate nothing.
const USUAL_PRIORITIES: usize = 8;

/// Recent openings and requests of one priority.
#[derive(Debug, Clone, Copy)]
struct Demand {
    priority: Priority,
    /// Requests that were processed, and openings that were refused for their deadline.
    requests: f32,
    /// Openings while room was short.
    openings: f32,
    /// Those of them whose caller had exceeded its share.
    excess: f32,
}

/// Recent demand of all priorities, the most urgent first.
#[derive(Debug, Clone)]
pub struct Demands {
    demands: Vec<Demand>,
}

impl Default for Demands {
    fn default() -> Self {
        Self {
            demands: Vec::with_capacity(USUAL_PRIORITIES),
        }
    }
}

impl Demands {
    /// Counts a request that was processed, or an opening that was refused for its deadline.
    pub fn record_request(&mut self, priority: Priority) {
        self.update(priority, |demand| demand.requests += 1.0);
    }

    /// Counts an opening while room is short, and whether its caller has exceeded its share.
    pub fn record_opening(&mut self, priority: Priority, is_excess: bool) {
        self.update(priority, |demand| {
            demand.openings += 1.0;
            demand.excess += f32::from(u8::from(is_excess));
        });
    }

    fn update(&mut self, priority: Priority, change: impl FnOnce(&mut Demand)) {
        let position = self
            .demands
            .partition_point(|demand| demand.priority < priority);
        let known = self.demands.get_mut(position);
        if let Some(demand) = known.filter(|demand| demand.priority == priority) {
            change(demand);
            return;
        }
        let mut demand = Demand {
            priority,
            requests: 0.0,
            openings: 0.0,
            excess: 0.0,
        };
        change(&mut demand);
        self.demands.insert(position, demand);
    }

    /// Lets old demand count less, and forgets priorities that are no longer in use.
    pub fn decay(&mut self, elapsed: Millis) {
        let keep = (-(elapsed.0 as f32) / DECAY.0 as f32).exp();
        for demand in &mut self.demands {
            demand.requests *= keep;
            demand.openings *= keep;
            demand.excess *= keep;
        }
        self.demands
            .retain(|demand| demand.requests.max(demand.openings) > MIN_REQUESTS);
    }

    /// Returns the part of the requests that are more urgent than a priority.
    pub fn more_urgent_part(&self, priority: Priority) -> f32 {
        let total: f32 = self.demands.iter().map(|demand| demand.requests).sum();
        let more_urgent = self.demands.iter();
        let more_urgent = more_urgent.take_while(|demand| demand.priority < priority);
        let sum: f32 = more_urgent.map(|demand| demand.requests).sum();
        if total > 0.0 { sum / total } else { 0.0 }
    }

    /// Returns whether no priority of some weight is more urgent.
    pub fn is_most_urgent(&self, priority: Priority) -> bool {
        self.more_urgent_part(priority) <= MIN_URGENT_PART
    }

    /// Returns whether some requests are less urgent than the most urgent ones of some weight.
    pub fn has_less_urgent(&self) -> bool {
        let least_urgent = self.demands.last();
        least_urgent.is_some_and(|demand| !self.is_most_urgent(demand.priority))
    }

    /// Returns the share of a priority's openings that is admitted if `share` of all deferrable
    /// ones is.
    ///
    /// The most urgent priority of some weight is admitted whole, and so is any more urgent one,
    /// whether or not it was in use before. Of the others, the more urgent ones come first.
    pub fn priority_share(&self, share: f32, priority: Priority) -> f32 {
        if self.is_most_urgent(priority) {
            return 1.0;
        }
        let total: f32 = self.demands.iter().map(|demand| demand.requests).sum();
        let mut deferrable = 0.0;
        let mut deferrable_before = 0.0;
        let mut own = 0.0;
        let mut sum = 0.0;
        for demand in &self.demands {
            let is_deferrable = sum > MIN_URGENT_PART * total;
            sum += demand.requests;
            if !is_deferrable {
                continue;
            }
            deferrable += demand.requests;
            if demand.priority < priority {
                deferrable_before += demand.requests;
            }
            if demand.priority == priority {
                own = demand.requests;
            }
        }
        // A priority that was not in use gets a share like one with a single request.
        let (own, deferrable) = if own > 0.0 {
            (own, deferrable)
        } else {
            (1.0, deferrable + 1.0)
        };
        ((share * deferrable - deferrable_before) / own).clamp(MIN_SHARE, 1.0)
    }

    /// Returns the share that is admitted of a priority's openings whose callers have or have not
    /// exceeded their share, if `share` of all its openings is. Those that have are refused first.
    pub fn caller_share(&self, share: f32, priority: Priority, is_excess: bool) -> f32 {
        let position = self
            .demands
            .partition_point(|demand| demand.priority < priority);
        let demand = self.demands.get(position);
        let Some(demand) = demand.filter(|demand| demand.priority == priority) else {
            return share;
        };
        let excess_part = demand.excess / demand.openings.max(1.0);
        let regular_part = 1.0 - excess_part;
        if !is_excess {
            return share / regular_part.max(share);
        }
        ((share - regular_part) / excess_part.max(f32::EPSILON)).clamp(0.0, 1.0)
    }
}
