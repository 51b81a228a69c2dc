//! Keeps capacity free for urgent work while a service is short of it.
//!
//! The load that this answers: requests on open flows of less urgent routes cannot be refused, so
//! the queues of targets fill, and an urgent opening finds no place whatever is refused beside it.
//! Less urgent flows therefore stay away from targets with work waiting, while a shortage lasts.
//! See [reserved capacity for urgent work](../../../docs/design/reserve.md).

use ids::{Micros, Millis};

use crate::model::TargetId;

/// Number of targets that are compared for a flow of the most urgent priority. Instances with
/// reports of the same age all choose the same targets if they compare more: with 6 instead of 4,
/// targets turned away 0.090 instead of 0.083 of the arrivals of large fleets in the model.
pub(crate) const URGENT_SAMPLE_SIZE: usize = 4;

/// Number of targets that are compared for other flows. With 3, targets turned away 0.087 instead of
/// 0.076 of the arrivals of large fleets, for the same reason.
pub(crate) const DEFERRABLE_SAMPLE_SIZE: usize = 2;

/// Parts of the latency goal that a target may need for a less urgent flow: without urgent work,
/// and while the reserve is complete.
const EMPTY_RESERVE_LIMIT: f32 = 0.5;
const FULL_RESERVE_LIMIT: f32 = 0.2;

/// Part of a service's requests that are more urgent from which the reserve is complete.
const FULL_RESERVE_PART: f32 = 0.1;

/// Time after the first total in which no reserve is kept. Route times learned while all callers
/// return to an instance that knows nothing include the queues, and targets look busy for too long.
const LEARNING_TIME: Millis = Millis(2_000);

/// Window in which this instance counts the requests that targets answer and turn away. A total
/// takes up to two intervals of 400 ms at the start of a burst.
const WINDOW: Millis = Millis(200);

/// Time after the end of a shortage in which the reserve is still kept. It ends within a second.
/// Without it, the reserve came and went once a second while the load stayed the same.
const KEEP_TIME: Millis = Millis(900);

/// Time after the start of a shortage that this instance sees itself, in which it takes no target for
/// free: until totals at the short interval show the queues. With 150 ms, targets turned away 0.058
/// instead of 0.038 of the arrivals of a burst of 1 s.
const BLIND_TIME: Millis = Millis(400);

/// Requests turned away in a window that show a shortage, and their ratio to the answered ones.
/// With 2 or 3, single flows were refused at 70% load.
const MIN_TURNED_AWAY: u32 = 4;
const MIN_RATIO: f32 = 0.25;

/// Number of targets that have to turn them away, as in totals. One full target would otherwise make
/// its service short of capacity beside idle targets.
const MIN_SHORT_TARGETS: usize = 3;

/// Age of the last total up to which this instance judges by what it sees itself. Without totals,
/// the reserve would be kept again and again.
const MAX_TOTAL_AGE: Millis = Millis(1_000);

/// Requests that this instance saw answered and turned away.
#[derive(Debug, Clone, Default)]
struct RecentAnswers {
    /// Start of the window: when the first of its requests was turned away.
    from: Option<Micros>,
    answered: u32,
    turned_away: u32,
    /// The first targets that turned requests away.
    targets: [Option<TargetId>; MIN_SHORT_TARGETS],
}

impl RecentAnswers {
    /// Counts a request that a target turned away. Returns whether a shortage shows.
    fn record_turned_away(&mut self, now: Micros, target: TargetId) -> bool {
        if self.from.is_none_or(|from| now.since(from) >= WINDOW) {
            *self = Self {
                from: Some(now),
                ..Self::default()
            };
        }
        self.turned_away = self.turned_away.saturating_add(1);
        if !self.targets.contains(&Some(target))
            && let Some(free) = self.targets.iter_mut().find(|known| known.is_none())
        {
            *free = Some(target);
        }
        self.turned_away >= MIN_TURNED_AWAY
            && self.targets.iter().all(Option::is_some)
            && self.turned_away as f32 >= MIN_RATIO * self.answered as f32
    }
}

/// The reserve of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reserve {
    recent_answers: RecentAnswers,
    first_observed_at: Option<Micros>,
    last_observed_at: Option<Micros>,
    kept_until: Micros,
    blind_until: Micros,
}

impl Reserve {
    /// Counts a request that was answered.
    pub(crate) fn record_answered(&mut self) {
        let answered = &mut self.recent_answers.answered;
        *answered = answered.saturating_add(1);
    }

    /// Counts a request that was turned away. Returns whether this instance sees the start of a
    /// shortage that no total shows yet.
    pub(crate) fn record_turned_away(
        &mut self,
        now: Micros,
        target: TargetId,
        is_short: bool,
    ) -> bool {
        let has_total = self
            .last_observed_at
            .is_some_and(|at| now.since(at) <= MAX_TOTAL_AGE);
        let shows_shortage = self.recent_answers.record_turned_away(now, target);
        let starts = shows_shortage && !is_short && has_total && self.has_learned(now);
        if starts {
            self.kept_until = now + KEEP_TIME;
            self.blind_until = now + BLIND_TIME;
        }
        starts
    }

    /// Records whether the service is short of capacity as of a total.
    pub(crate) fn observe(&mut self, now: Micros, is_short: bool) {
        self.first_observed_at.get_or_insert(now);
        self.last_observed_at = Some(now);
        if is_short {
            self.kept_until = now + KEEP_TIME;
        } else {
            self.blind_until = now;
        }
    }

    fn has_learned(&self, now: Micros) -> bool {
        self.first_observed_at
            .is_some_and(|at| now >= at + LEARNING_TIME)
    }

    /// Returns whether a total or this instance has shown a shortage lately.
    pub(crate) fn is_kept(&self, now: Micros) -> bool {
        now < self.kept_until
    }

    /// Returns whether totals do not show the queues of a shortage yet.
    pub(crate) fn is_blind(&self, now: Micros) -> bool {
        now < self.blind_until
    }

    /// Returns whether a target has only the reserve left, if it needs `expected_time` for a flow, a
    /// target of usual speed with the same queue `queue_time`, and `more_urgent_part` of the requests
    /// are more urgent than the flow. Routes without a latency goal leave no reserve.
    pub(crate) fn is_reserved(
        &self,
        now: Micros,
        latency_goal: Millis,
        expected_time: Millis,
        queue_time: Millis,
        more_urgent_part: f32,
    ) -> bool {
        let has_goal = latency_goal > Millis(0);
        if !has_goal || !self.is_kept(now) || !self.has_learned(now) {
            return false;
        }
        let reserve = (more_urgent_part / FULL_RESERVE_PART).min(1.0);
        let limit = EMPTY_RESERVE_LIMIT + reserve * (FULL_RESERVE_LIMIT - EMPTY_RESERVE_LIMIT);
        let goal = latency_goal.0 as f32;
        // Urgent flows avoid slow targets, so that these may be filled as far as others.
        expected_time.0 as f32 > EMPTY_RESERVE_LIMIT * goal || queue_time.0 as f32 > limit * goal
    }
}
