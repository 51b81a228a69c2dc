//! Load of the targets, as the instances of a failure domain know it together.
//!
//! An instance sees only the requests on its own flows, a small part of a target's load. Instances
//! therefore report their counts up the tree of peers, and the root reports the sums down again. See
//! [load shared within a failure domain](../../../docs/design/hard-load.md).

use ids::{Micros, Millis};

use crate::flow_demand::UNKNOWN_WEIGHT_MILLI;
use crate::packet::Token;

/// Age after which the sums of the failure domain are no longer used: the reports of ten intervals
/// under load were lost by then.
const MAX_REPORT_AGE: Millis = Millis(1_000);

/// Weight of a new measurement in a target's slowness. About 16 requests of all instances then
/// decide, which a target processes within a second under load.
const SLOWNESS_WEIGHT: f32 = 1.0 / 16.0;

/// Bounds of a target's slowness. Responses of callers with slow links take long on fast targets
/// as well, and a target that is slower than the upper bound gets no flows in any case.
const MIN_SLOWNESS: f32 = 0.25;
const MAX_SLOWNESS: f32 = 16.0;

/// Maximum response time of a request in a report, relative to the mean time of its route. It bounds
/// what one lost packet of a caller adds to the mean.
const MAX_RESPONSE_ROUNDS: f32 = 64.0;

/// Time for which a target that turned a request away counts as full: until a report that shows
/// its load has come around the failure domain.
const FULL_PERIOD: Millis = Millis(150);

/// Load of one target in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target.
    pub token: Token,
    /// Requests that were sent to the target and not answered yet.
    pub pending: u32,
    /// Requests answered since the last report.
    pub answered: u32,
    /// Sum of the times of these requests relative to the mean time of their route, in thousandths.
    pub relative_time_milli: u32,
    /// Requests that the target turned away since the last report.
    pub turned_away: u32,
    /// Answered requests that took more than half of their route's latency goal.
    pub delayed: u32,
    /// Sum of the response times of the answered requests relative to the mean time of their route,
    /// in thousandths.
    pub relative_response_milli: u32,
    /// Requests that the open flows of the target are expected to bring in addition to the pending
    /// ones, in thousandths.
    pub flow_demand_milli: u32,
    /// Milliseconds for which requests kept a slot busy since the last report.
    pub work_ms: u32,
}

impl TargetLoad {
    /// Returns the load of a target about which nothing was seen.
    pub fn none(token: Token) -> Self {
        Self {
            token,
            pending: 0,
            answered: 0,
            relative_time_milli: 0,
            turned_away: 0,
            delayed: 0,
            relative_response_milli: 0,
            flow_demand_milli: 0,
            work_ms: 0,
        }
    }

    /// Adds what was seen since the last report, but not the pending requests and the demand of open
    /// flows, of which each report replaces those of the report before.
    pub fn add_seen(&mut self, other: &Self) {
        self.answered = self.answered.saturating_add(other.answered);
        self.relative_time_milli = self
            .relative_time_milli
            .saturating_add(other.relative_time_milli);
        self.turned_away = self.turned_away.saturating_add(other.turned_away);
        self.delayed = self.delayed.saturating_add(other.delayed);
        self.relative_response_milli = self
            .relative_response_milli
            .saturating_add(other.relative_response_milli);
        self.work_ms = self.work_ms.saturating_add(other.work_ms);
    }

    /// Adds the pending requests and the demand of open flows, which are absolute.
    pub fn add_present(&mut self, pending: u32, flow_demand_milli: u32) {
        self.pending = self.pending.saturating_add(pending);
        self.flow_demand_milli = self.flow_demand_milli.saturating_add(flow_demand_milli);
    }

    /// Returns whether nothing was seen since the last report.
    pub fn is_unseen(&self) -> bool {
        self.answered == 0 && self.turned_away == 0 && self.work_ms == 0
    }
}

/// Knowledge of one target's load.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Pending requests of all instances of the failure domain at the last report.
    domain_pending: u32,
    /// Pending requests of this instance in that number.
    reported_pending: u32,
    /// Demand of the open flows of all instances at the last report, in thousandths.
    domain_demand_milli: u32,
    /// Demand of this instance's flows in that number, and now.
    reported_demand_milli: u32,
    own_demand_milli: u32,
    /// Open flows of this instance whose demand is not known. They are not reported.
    unknown_flows: u32,
    /// When sums of the failure domain last came, or 0.
    reported_at: Micros,
    /// What was seen since the last report of this instance.
    answered: u32,
    relative_time_milli: u32,
    turned_away: u32,
    delayed: u32,
    relative_response_milli: u32,
    work_ms: u16,
    /// Response time in the last report relative to the mean time of the route.
    response_rounds: f32,
    response_at: Micros,
    /// Time for a request relative to the mean of its route.
    slowness: f32,
    full_until: Micros,
    /// Whether the target is in the list of targets with something to report.
    is_listed: bool,
    /// Number of the target's start, which tells flows from before it apart.
    start: u8,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            domain_pending: 0,
            reported_pending: 0,
            domain_demand_milli: 0,
            reported_demand_milli: 0,
            own_demand_milli: 0,
            unknown_flows: 0,
            reported_at: Micros(0),
            answered: 0,
            relative_time_milli: 0,
            turned_away: 0,
            delayed: 0,
            relative_response_milli: 0,
            work_ms: 0,
            response_rounds: 0.0,
            response_at: Micros(0),
            slowness: 1.0,
            full_until: Micros(0),
            is_listed: false,
            start: 0,
        }
    }
}

impl Load {
    /// Returns the load of the target after it has started again. Flows from before no longer count.
    pub(crate) fn restarted(&self) -> Self {
        Self {
            start: self.start.wrapping_add(1),
            ..Self::default()
        }
    }

    /// Returns the number of the target's start.
    pub(crate) fn start(&self) -> u8 {
        self.start
    }

    /// Returns the estimated number of pending requests of all instances of the failure domain,
    /// given the present number of this instance.
    pub fn pending(&self, now: Micros, own_pending: u32) -> u32 {
        if !self.has_recent_report(now) {
            return own_pending;
        }
        self.domain_pending
            .saturating_sub(self.reported_pending)
            .saturating_add(own_pending)
    }

    /// Returns the number of requests that the open flows of all instances of the failure domain are
    /// expected to bring in addition to the pending ones.
    pub fn flow_demand(&self, now: Micros) -> f32 {
        let unknown = self.unknown_flows.saturating_mul(UNKNOWN_WEIGHT_MILLI);
        let own = self.own_demand_milli.saturating_add(unknown);
        let of_others = if self.has_recent_report(now) {
            self.domain_demand_milli
                .saturating_sub(self.reported_demand_milli)
        } else {
            0
        };
        of_others.saturating_add(own) as f32 / 1_000.0
    }

    fn has_recent_report(&self, now: Micros) -> bool {
        now.since(self.reported_at) <= MAX_REPORT_AGE
    }

    /// Returns whether this instance has open flows that are known to bring requests.
    pub(crate) fn has_own_demand(&self) -> bool {
        self.own_demand_milli > 0
    }

    /// Adds an open flow of this instance that was opened at this start of the target. A flow from an
    /// earlier start has ended there.
    pub(crate) fn add_flow(&mut self, start: u8, weight_milli: Option<u8>) {
        if start != self.start {
            return;
        }
        match weight_milli {
            Some(milli) => self.own_demand_milli += u32::from(milli),
            None => self.unknown_flows += 1,
        }
    }

    /// Removes a flow that was added.
    pub(crate) fn remove_flow(&mut self, start: u8, weight_milli: Option<u8>) {
        if start != self.start {
            return;
        }
        match weight_milli {
            Some(milli) => {
                self.own_demand_milli = self.own_demand_milli.saturating_sub(u32::from(milli));
            }
            None => self.unknown_flows = self.unknown_flows.saturating_sub(1),
        }
    }

    /// Returns the time for a request relative to the mean of its route.
    pub fn slowness(&self) -> f32 {
        self.slowness
    }

    /// Returns the recent response time relative to the mean time of the route. It falls to nothing
    /// until the report is no longer used, so that a target without answers is tried again.
    pub fn response_rounds(&self, now: Micros) -> f32 {
        let age = now.since(self.response_at).0 as f32 / MAX_REPORT_AGE.0 as f32;
        self.response_rounds * (1.0 - age).max(0.0)
    }

    /// Returns whether a report within `time` shows that the target answered some caller.
    pub fn has_answered_within(&self, now: Micros, time: Millis) -> bool {
        self.response_at > Micros(0) && now.since(self.response_at) <= time
    }

    /// Returns whether the target has just turned a request away.
    pub fn is_full(&self, now: Micros) -> bool {
        now < self.full_until
    }

    /// Records the time for which an answered request kept a slot busy and its response time, both
    /// relative to the mean of its route, and whether it took more than half of the route's latency
    /// goal.
    pub fn record_answer(&mut self, relative_work: f32, response_rounds: f32, is_delayed: bool) {
        let bounded = relative_work.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        self.answered += 1;
        self.delayed += u32::from(is_delayed);
        let response_rounds = response_rounds.min(MAX_RESPONSE_ROUNDS);
        self.relative_response_milli += (response_rounds * 1_000.0) as u32;
        self.relative_time_milli += (bounded * 1_000.0) as u32;
    }

    /// Records the time for which an answered request kept a slot busy.
    pub(crate) fn record_work(&mut self, work_ms: u16) {
        self.work_ms = self.work_ms.saturating_add(work_ms);
    }

    /// Records that the target turned a request away.
    pub fn record_turned_away(&mut self, now: Micros) {
        self.turned_away += 1;
        self.full_until = now + FULL_PERIOD;
    }

    /// Marks the target as listed. Returns whether it was not listed before.
    pub(crate) fn list(&mut self) -> bool {
        !std::mem::replace(&mut self.is_listed, true)
    }

    /// Returns the load to report, if there is any, and starts the next interval.
    pub(crate) fn take_report(&mut self, token: Token, own_pending: u32) -> Option<TargetLoad> {
        self.reported_pending = own_pending;
        self.reported_demand_milli = self.own_demand_milli;
        self.is_listed = false;
        let report = TargetLoad {
            token,
            pending: own_pending,
            answered: std::mem::take(&mut self.answered),
            relative_time_milli: std::mem::take(&mut self.relative_time_milli),
            turned_away: std::mem::take(&mut self.turned_away),
            delayed: std::mem::take(&mut self.delayed),
            relative_response_milli: std::mem::take(&mut self.relative_response_milli),
            flow_demand_milli: self.own_demand_milli,
            work_ms: u32::from(std::mem::take(&mut self.work_ms)),
        };
        let has_load = report.pending > 0 || report.flow_demand_milli > 0 || !report.is_unseen();
        has_load.then_some(report)
    }

    /// Applies the sums of the failure domain, which include this instance's last report.
    pub(crate) fn apply_report(&mut self, now: Micros, report: Option<&TargetLoad>) {
        self.reported_at = now;
        self.domain_pending = report.map_or(0, |report| report.pending);
        self.domain_demand_milli = report.map_or(0, |report| report.flow_demand_milli);
        let Some(report) = report else {
            return;
        };
        if report.turned_away > 0 {
            self.full_until = now + FULL_PERIOD;
        }
        if report.answered == 0 {
            return;
        }
        self.response_rounds =
            report.relative_response_milli as f32 / report.answered as f32 / 1_000.0;
        self.response_at = now;
        let mean = report.relative_time_milli as f32 / report.answered as f32 / 1_000.0;
        let mean = mean.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        let keep = (1.0 - SLOWNESS_WEIGHT).powi(report.answered.min(64) as i32);
        self.slowness = self.slowness * keep + mean * (1.0 - keep);
    }
}

/// Number of responses after which the means of a route are moving ones. Until then all count alike,
/// since the first response may be one of those that take far longer than usual.
const ROUTE_RESPONSES: u16 = 64;

/// Maximum size of a response that turns a request away, which has no body.
const MAX_REFUSAL_BYTES: u32 = 200;

/// A response only turns a request away if it has less than this part of the route's mean size.
const REFUSAL_DIVISOR: f32 = 3.0;

/// What is usual for the responses of a route.
#[derive(Debug, Clone, Copy)]
pub struct RouteLoad {
    responses: u16,
    service_time_ms: f32,
    work_ms: f32,
    response_bytes: f32,
}

/// What a response shows of its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Response {
    /// The request was processed.
    Processed,
    /// The request was turned away.
    TurnedAway,
}

impl RouteLoad {
    /// Creates the means from the first response.
    pub fn new(service_time_ms: f32, response_bytes: u32) -> Self {
        Self {
            responses: 0,
            service_time_ms,
            work_ms: 0.0,
            response_bytes: response_bytes as f32,
        }
    }

    /// Returns the mean time for a request with its way, without the time in the queue.
    pub fn service_time_ms(&self) -> f32 {
        self.service_time_ms
    }

    /// Classifies a response and updates the means. A full target answers soon, so that its
    /// responses would make it look fast.
    pub fn record(&mut self, service_time_ms: f32, response_bytes: u32) -> Response {
        let size = response_bytes as f32;
        if response_bytes <= MAX_REFUSAL_BYTES && size * REFUSAL_DIVISOR < self.response_bytes {
            return Response::TurnedAway;
        }
        self.responses = (self.responses + 1).min(ROUTE_RESPONSES);
        let weight = 1.0 / f32::from(self.responses);
        self.response_bytes += (size - self.response_bytes) * weight;
        self.service_time_ms += (service_time_ms - self.service_time_ms) * weight;
        Response::Processed
    }

    /// Updates the mean time for which processed requests keep a slot busy. Returns the time of this
    /// one relative to the mean. Call it once after each [`Response::Processed`].
    pub fn relative_work(&mut self, work_ms: f32) -> f32 {
        self.work_ms += (work_ms - self.work_ms) / f32::from(self.responses.max(1));
        work_ms / self.work_ms.max(1.0)
    }
}
