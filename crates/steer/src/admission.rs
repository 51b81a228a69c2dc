//! Decides whether a new flow is admitted when a service has too little room.
//!
//! The load that this answers: requests of several routes share the targets of a service and
//! together need more than the targets can do, so that targets turn requests away whatever their
//! priority. Openings of less urgent routes are then refused before a target sees them, in a share
//! that follows the load that all instances of the failure domain report. All instances see the
//! same reports and admit about the same share, so the sum over instances follows the capacity
//! without agreement. Their clocks differ, so at one time they may refuse different callers. See
//! [admission control](../../../docs/design/admission.md).

use std::net::Ipv4Addr;

use ids::{Micros, Millis, hash_of};

use crate::caller_shares::{CallerShares, Standing};
use crate::demand::{Demands, MIN_SHARE};
use crate::load::TargetLoad;
use crate::model::{Priority, RouteTerms, TargetId};
use crate::placement::SAMPLE_SIZE;
use crate::reserve::{DEFERRABLE_SAMPLE_SIZE, Reserve, URGENT_SAMPLE_SIZE};

/// Seed that separates the hash for admission from other uses of the hash.
const ADMISSION_SEED: u64 = 0x706f_6c6c_6164_6d69;

/// Part of requests that targets may turn away before openings are refused. Less is noise: a target
/// turns a request away now and then because instances choose it at the same time.
const MAX_TURNED_AWAY: f32 = 0.05;

/// Part of the answered requests that may take more than half of their latency goal before openings
/// are refused.
const MAX_DELAYED: f32 = 0.5;

/// Decrease of the logarithm of the admitted share per second and per part of the requests that is
/// turned away or delayed beyond the limit. A response to a decrease shows in the reports after
/// about 200 ms, and a greater factor overshoots in that time.
const DECREASE_RATE: f32 = 6.0;

/// Maximum of that decrease per second: from all to [`MIN_SHARE`] within 0.75 s.
const MAX_DECREASE_RATE: f32 = 4.0;

/// Smallest factor on the admitted share at one report, per part of the requests beyond the limit.
/// A report covers a time in which the share was the same, so it justifies no greater decrease,
/// however long the interval.
const MAX_DECREASE: f32 = 2.0;

/// Increase of the logarithm of the admitted share in the first second with room, if it lasted that
/// long. The increase grows with the fourth power of the time: the share grows from [`MIN_SHARE`]
/// to all within 0.8 s, but by no more than a fifth in the 400 ms until reports show the effect.
const INCREASE: f32 = 7.4;

/// Time after which the increase per second no longer grows, and the increase per second then. The
/// share may stay between nothing and all for long, and must then not leap when there is a little
/// more room.
const ACCELERATION_S: f32 = 0.8;
const STEADY_INCREASE: f32 = 4.0;

/// Admitted share when this instance sees a shortage before a report shows it. Less urgent flows then
/// leave the reserve; how many more have to be refused, only reports can tell.
const START_SHARE: f32 = 0.95;

/// Smallest limit on the factor by which the share grows at one report. The limit is the increase
/// after which targets answer as many requests per second as when room was last short, so that one
/// report at a long interval does not make it short again.
const MIN_INCREASE_LIMIT: f32 = 1.15;

/// Requests per second, relative to when room was last short, above which targets can evidently do
/// more than then, so that the limit no longer applies.
const MORE_CAPACITY: f32 = 1.1;

/// Age of the last report after which the share grows again. An instance that gets no reports does
/// not know whether the shortage lasts.
const MAX_REPORT_AGE: Millis = Millis(1_000);

/// Time that the first report covers.
const FIRST_INTERVAL: Millis = Millis(100);

/// Shortest interval for which a rate is computed, as two reports may arrive together.
const MIN_INTERVAL_S: f32 = 0.02;

/// Part of a route's latency goal that the best target may need so that a deferrable flow is
/// admitted in any case.
const DEFER_SHARE: f32 = 0.25;

/// Time for which the same callers are refused. Other callers have their turn after it, and a
/// caller that tries again within it at the same instance is not admitted by chance.
const TURN: Millis = Millis(1_000);

/// Distance by which callers move at each turn, as a part of the range of the hash: the golden
/// ratio. Every caller is then admitted about once in `1 / share` turns. Independent random
/// positions would refuse some callers many times in a row.
const TURN_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Load of a service's targets in the failure domain, from one round of reports.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests answered since the last report.
    pub answered: u32,
    /// Requests turned away since the last report.
    pub turned_away: u32,
    /// Answered requests that took more than half of their route's latency goal.
    pub delayed: u32,
}

impl ServiceLoad {
    /// Adds the load of one target.
    pub fn add(&mut self, target: &TargetLoad) {
        self.answered += target.answered;
        self.turned_away += target.turned_away;
        self.delayed += target.delayed;
    }
}

/// A flow to decide about.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// What the caller expects.
    pub terms: RouteTerms,
    /// Address of the caller.
    pub caller: Ipv4Addr,
    /// Expected time until the best target has answered.
    pub expected_time: Millis,
    /// Whether the best target needs no longer than a request of the route takes without a queue.
    pub is_target_free: bool,
    /// Whether the best target has only the reserve for more urgent flows left.
    pub is_reserved: bool,
}

/// Why a flow is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No target can answer within the route's timeout.
    Deadline,
    /// More urgent requests need the room.
    NoRoom,
    /// Room is short and the caller's address has had more of it than others.
    CallerShare,
}

/// What limits the openings of one priority.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// Share of them that is admitted.
    share: f32,
    /// Whether the priority is admitted whole as long as it fits.
    is_first: bool,
    /// Whether the target has only the reserve for more urgent flows left.
    is_reserved: bool,
    /// Whether totals do not show the queues of the targets yet.
    is_blind: bool,
}

/// Admission to the targets of one service.
#[derive(Debug, Clone)]
pub struct Admission {
    /// Share of the deferrable openings that is admitted, as of the last report.
    share: f32,
    /// When a report, or this instance itself, last showed how much room there is.
    observed_at: Option<Micros>,
    /// When the last report was observed.
    totalled_at: Option<Micros>,
    /// Time for which the reports have shown room again. Times with little room count less.
    room_s: f32,
    /// Requests per second that targets answered when a report last showed too little room.
    short_rate: f32,
    demands: Demands,
    reserve: Reserve,
    /// When a report last showed that targets turn requests away.
    turned_away_at: Option<Micros>,
    /// Openings of each caller. Present while room is short.
    callers: Option<Box<CallerShares>>,
    /// Share of the most urgent openings that fits. Only callers over their share are refused for it.
    urgent_share: f32,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            share: 1.0,
            observed_at: None,
            totalled_at: None,
            room_s: 0.0,
            short_rate: 0.0,
            demands: Demands::default(),
            reserve: Reserve::default(),
            turned_away_at: None,
            callers: None,
            urgent_share: 1.0,
        }
    }
}

impl Admission {
    /// Returns the share of less urgent openings that is admitted. It grows again when reports stop.
    pub fn share(&self, now: Micros) -> f32 {
        let Some(observed_at) = self.observed_at else {
            return self.share;
        };
        let grow_from = observed_at + MAX_REPORT_AGE;
        if now <= grow_from {
            return self.share;
        }
        let time = seconds(now.since(grow_from));
        (self.share * growth(0.0, time).exp()).min(1.0)
    }

    /// Counts a request that a target has processed.
    pub fn record_request(&mut self, priority: Priority) {
        self.demands.record_request(priority);
        self.reserve.record_answered();
    }

    /// Records that a target of the own failure domain turned a request of this instance away.
    pub fn record_turned_away(&mut self, now: Micros, target: TargetId) {
        let is_short = self.share(now) < 1.0;
        if self.reserve.record_turned_away(now, target, is_short) {
            self.share = START_SHARE;
            self.urgent_share = 1.0;
            self.observed_at = Some(now);
            self.room_s = 0.0;
        }
    }

    /// Returns whether a recent report shows that targets turn requests away.
    pub fn shows_turned_away(&self, now: Micros) -> bool {
        self.turned_away_at
            .is_some_and(|at| now.since(at) <= MAX_REPORT_AGE)
    }

    /// Returns the number of targets to compare for a flow.
    pub fn sample_size(&self, now: Micros, priority: Priority) -> usize {
        if !self.reserve.is_kept(now) || !self.demands.has_less_urgent() {
            return SAMPLE_SIZE;
        }
        if self.demands.is_most_urgent(priority) {
            URGENT_SAMPLE_SIZE
        } else {
            DEFERRABLE_SAMPLE_SIZE
        }
    }

    /// Returns whether a target that needs this time, and with its queue at the usual speed that time,
    /// has only the reserve for more urgent flows left.
    pub fn is_reserved(
        &self,
        now: Micros,
        terms: &RouteTerms,
        expected_time: Millis,
        queue_time: Millis,
    ) -> bool {
        let more_urgent_part = self.demands.more_urgent_part(terms.priority);
        self.reserve.is_reserved(
            now,
            terms.latency_goal,
            expected_time,
            queue_time,
            more_urgent_part,
        )
    }

    /// Adapts the admitted share to a round of reports. The change depends on the time since the
    /// last round, so that it is equally fast at each interval.
    pub fn observe(&mut self, now: Micros, load: &ServiceLoad) {
        let previous = self.totalled_at.unwrap_or(now - FIRST_INTERVAL);
        let elapsed = seconds(now.since(previous).min(MAX_REPORT_AGE));
        let share = self.share(now);
        self.observed_at = Some(now);
        self.totalled_at = Some(now);
        if share >= 1.0 {
            self.urgent_share = 1.0;
        }
        self.demands.decay(now.since(previous));
        let arrivals = (load.answered + load.turned_away).max(1) as f32;
        let turned_away = load.turned_away as f32 / arrivals;
        if turned_away > MAX_TURNED_AWAY {
            self.turned_away_at = Some(now);
        }
        let delayed = load.delayed as f32 / load.answered.max(1) as f32;
        let excess = (turned_away - MAX_TURNED_AWAY).max(delayed - MAX_DELAYED);
        let answer_rate = load.answered as f32 / elapsed.max(MIN_INTERVAL_S);
        self.share = if excess > 0.0 {
            self.room_s = 0.0;
            self.short_rate = answer_rate;
            let rate = (DECREASE_RATE * excess).min(MAX_DECREASE_RATE);
            let factor = (-rate * elapsed).exp().max(1.0 - MAX_DECREASE * excess);
            if share <= MIN_SHARE {
                self.urgent_share = (self.urgent_share * factor).max(MIN_SHARE);
            }
            (share * factor).max(MIN_SHARE)
        } else {
            let room =
                part_below(turned_away, MAX_TURNED_AWAY).min(part_below(delayed, MAX_DELAYED));
            let previous_room_s = self.room_s;
            self.room_s += elapsed * room;
            let factor = growth(previous_room_s, self.room_s).exp();
            let factor = factor.min(self.increase_limit(answer_rate));
            self.urgent_share = (self.urgent_share * factor).min(1.0);
            (share * factor).min(1.0)
        };
        self.reserve.observe(now, self.share < 1.0);
        if self.share >= 1.0 {
            self.callers = None;
            self.urgent_share = 1.0;
        } else if self.callers.is_none() {
            self.callers = Some(Box::default());
        }
    }

    /// Returns the limit on the factor by which the share grows at a report with this rate of
    /// answers.
    fn increase_limit(&self, answer_rate: f32) -> f32 {
        if answer_rate > self.short_rate * MORE_CAPACITY {
            return f32::INFINITY;
        }
        (self.short_rate / answer_rate.max(1.0)).max(MIN_INCREASE_LIMIT)
    }

    /// Decides about a flow.
    ///
    /// # Errors
    /// Returns the reason if the flow is refused.
    pub fn decide(&mut self, now: Micros, request: &Request) -> Result<(), Refusal> {
        if self.share(now) >= 1.0 {
            self.callers = None;
        } else if self.callers.is_none() {
            self.callers = Some(Box::default());
        }
        let decision = self.judge(now, request);
        if let Some(callers) = &mut self.callers {
            let priority = request.terms.priority;
            callers.record_opening(now, priority, request.caller, decision.is_ok());
        }
        if decision == Err(Refusal::Deadline) {
            // Urgent requests that would all be late are demand for which others have to make room.
            // Deferred openings do not count: callers try again, and urgent requests would soon be
            // too small a part of all.
            self.demands.record_request(request.terms.priority);
        }
        decision
    }

    fn judge(&mut self, now: Micros, request: &Request) -> Result<(), Refusal> {
        let timeout = request.terms.timeout;
        let share = self.share(now);
        if share >= 1.0 && !self.reserve.is_kept(now) {
            // Pending requests of callers that have given up look like a queue. Only answers and
            // requests turned away are evidence of one.
            return Ok(());
        }
        if share < 1.0 && timeout > Millis(0) && request.expected_time > timeout {
            return Err(Refusal::Deadline);
        }
        let limits = self.limits(now, request, share);
        if limits.share >= 1.0 && !limits.is_reserved {
            return Ok(());
        }
        self.judge_caller(now, request, limits)
    }

    /// Returns what limits the openings of a request's priority if `share` of the less urgent ones is
    /// admitted.
    fn limits(&self, now: Micros, request: &Request, share: f32) -> Limits {
        let priority = request.terms.priority;
        let has_goal = request.terms.latency_goal > Millis(0);
        let is_blind = has_goal && self.reserve.is_blind(now);
        let is_reserved =
            (request.is_reserved || is_blind) && !self.demands.is_most_urgent(priority);
        let priority_share = self.demands.priority_share(share, priority);
        let is_first = priority_share >= 1.0 && !is_reserved;
        // Urgent openings are only limited while the others are at their minimum.
        let urgent_share = if share > MIN_SHARE {
            1.0
        } else {
            self.urgent_share
        };
        Limits {
            share: match (is_first, is_reserved) {
                (true, _) => urgent_share,
                (_, true) => priority_share.min(MIN_SHARE),
                _ => priority_share,
            },
            is_first,
            is_reserved,
            is_blind,
        }
    }

    /// Decides by the target's room and by what the caller has had already.
    fn judge_caller(
        &mut self,
        now: Micros,
        request: &Request,
        limits: Limits,
    ) -> Result<(), Refusal> {
        let Limits {
            share, is_first, ..
        } = limits;
        let priority = request.terms.priority;
        let caller = request.caller;
        let standing = match &mut self.callers {
            Some(callers) => callers.standing(now, priority, caller, is_first),
            None => Standing::Regular,
        };
        let is_excess = standing != Standing::Regular;
        self.demands.record_opening(priority, is_excess);
        // Callers that are not over their share are never refused in the most urgent priority.
        let regular_share = if is_first {
            1.0
        } else {
            self.demands.caller_share(share, priority, false)
        };
        let share = if is_excess {
            self.demands.caller_share(share, priority, true)
        } else {
            regular_share
        };
        let queue_limit = request.terms.latency_goal.0 as f32 * DEFER_SHARE;
        let is_domain_excess = matches!(standing, Standing::DomainExcess(_));
        let is_soon = request.expected_time.0 as f32 <= queue_limit && !limits.is_reserved;
        let is_free = request.is_target_free && (is_first || !limits.is_blind);
        let has_room = is_free || is_soon && !is_domain_excess;
        let is_admitted = has_room
            || match (standing, &mut self.callers) {
                (Standing::DomainExcess(factor), Some(callers)) => {
                    callers.admits_part(priority, caller, share.max(regular_share / factor))
                }
                _ => turn_position(now, caller) < f64::from(share),
            };
        if !is_admitted {
            return Err(if is_excess {
                Refusal::CallerShare
            } else {
                Refusal::NoRoom
            });
        }
        if !is_first && let Some(callers) = &mut self.callers {
            callers.record_in_sketch(now, priority, caller);
        }
        Ok(())
    }

    /// Returns what is known of the callers while room is short.
    pub fn caller_shares(&self) -> Option<&CallerShares> {
        self.callers.as_deref()
    }

    /// Returns what is known of the callers while room is short, to be changed.
    pub fn caller_shares_mut(&mut self) -> Option<&mut CallerShares> {
        self.callers.as_deref_mut()
    }
}

fn seconds(time: Millis) -> f32 {
    time.0 as f32 / 1_000.0
}

/// Returns how far a part is below its limit: 1 from half of the limit downwards, 0 at the limit.
fn part_below(part: f32, limit: f32) -> f32 {
    (2.0 * (limit - part) / limit).clamp(0.0, 1.0)
}

/// Returns the increase of the logarithm of the share between two times since the last shortage.
fn growth(from_s: f32, until_s: f32) -> f32 {
    let increase = |time: f32| {
        INCREASE * time.min(ACCELERATION_S).powi(4)
            + STEADY_INCREASE * (time - ACCELERATION_S).max(0.0)
    };
    increase(until_s) - increase(from_s)
}

/// Returns the position of a caller in the present turn, from 0 to 1. Callers below the admitted
/// share are admitted.
fn turn_position(now: Micros, caller: Ipv4Addr) -> f64 {
    let turn = now.0 / (TURN.0 * 1_000);
    let start = hash_of(ADMISSION_SEED, &caller.octets());
    let position = start.wrapping_add(turn.wrapping_mul(TURN_STEP));
    position as f64 / u64::MAX as f64
}
