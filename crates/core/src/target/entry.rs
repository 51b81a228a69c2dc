//! State machine of one target.

use conf::model::{Target, TargetState};
use ids::{Micros, Millis, ServiceName, TargetName};

use super::Chart;
use crate::event::{ControlAction, ControlLogEvent, HealthReport};

/// Number of consecutive reports of a kind that take effect; a single lost report must not shift
/// traffic.
const REPORT_THRESHOLD: u8 = 3;

chart::labels! {
    /// States of `charts/target.ini`.
    pub(crate) enum State {
        /// Declared in the document, but not seen yet.
        New = "new",
        /// Receives an increasing share of traffic after a cold start.
        Warming = "warming",
        /// Receives its full share of traffic.
        Serving = "serving",
        /// Refused work because it is overloaded, and receives a reduced share.
        Shedding = "shedding",
        /// Receives no new work and finishes what it has.
        Draining = "draining",
        /// Did not answer this instance.
        Silent = "silent",
        /// Reported down by its health checks.
        Gone = "gone",
    }
}

chart::labels! {
    /// Events of `charts/target.ini`.
    pub(crate) enum Input {
        /// This instance has just started and assumes that the target is warm.
        Assumed = "assumed",
        /// The last health reports were good.
        Up = "up",
        /// The last health reports were bad.
        Down = "down",
        /// The target answered this instance.
        Answered = "answered",
        /// The target refused work because it is overloaded.
        Shed = "shed",
        /// Work of this instance on the target timed out.
        Silence = "silence",
        /// The document, the target or its health reports state that it is draining.
        Drain = "drain",
        /// The document returns the target to service.
        Resume = "resume",
        /// The ramp of a warming target is complete.
        Warmed = "warmed",
        /// The timeout of the state expired.
        Waited = "waited",
    }
}

/// How long an answer that this instance saw overrides bad reports, which lag by seconds.
const TRUST_OWN_ANSWER_MS: Millis = Millis(3_000);
/// How long a refusal or timeout that this instance saw overrides good reports.
const TRUST_OWN_REFUSAL_MS: Millis = Millis(10_000);
/// Duration of the ramp of a warming target.
const RAMP_MS: Millis = Millis(10_000);
const RAMP_START_PERMILLE: u64 = 100;
/// Coarse steps limit the views that the ramp of a target causes to nine.
const RAMP_STEP_PERMILLE: u64 = 100;
/// Share of its capacity that is used while a target sheds load.
const SHEDDING_PERMILLE: u32 = 500;
const FULL_PERMILLE: u32 = 1_000;

/// Returns the time after which a state ends without an event, if it does.
fn state_timeout_ms(state: State) -> Option<Millis> {
    match state {
        // Long enough for three reports at one per second; after it, a target whose health endpoint
        // is broken is tried.
        State::New => Some(Millis(5_000)),
        State::Shedding => Some(Millis(1_000)),
        // A refusal by a target that is still draining costs only one retry, so trying it is a
        // cheap way to find that it was restarted.
        State::Draining => Some(Millis(30_000)),
        State::Silent => Some(Millis(10_000)),
        _ => None,
    }
}

/// A target and its state as seen by this instance.
#[derive(Debug)]
pub(super) struct TargetEntry {
    pub(super) service: ServiceName,
    pub(super) name: TargetName,
    pub(super) declared: Target,
    pub(super) state: State,
    state_since: Micros,
    good_reports: u8,
    bad_reports: u8,
    drain_reports: u8,
    last_answered_at: Option<Micros>,
    /// Last refusal as draining, or timeout, that this instance saw itself.
    last_refused_at: Option<Micros>,
    /// Whether the target itself refused work as draining, rather than only its reports saying so.
    is_drain_observed: bool,
    /// Requests in flight, by shard.
    pub(super) in_flight: Vec<u32>,
    /// Open flows, by shard.
    pub(super) flows: Vec<u32>,
}

impl TargetEntry {
    pub(super) fn new(
        now: Micros,
        service: ServiceName,
        name: TargetName,
        declared: Target,
        chart: &Chart,
    ) -> Self {
        Self {
            service,
            name,
            declared,
            state: chart.start(),
            state_since: now,
            good_reports: 0,
            bad_reports: 0,
            drain_reports: 0,
            last_answered_at: None,
            last_refused_at: None,
            is_drain_observed: false,
            in_flight: Vec::new(),
            flows: Vec::new(),
        }
    }

    /// Counts a report and returns the input that results if there were enough of a kind in a row.
    pub(super) fn count_report(&mut self, now: Micros, report: HealthReport) -> Option<Input> {
        let is_good = report.is_healthy == Some(true);
        count_consecutive(&mut self.good_reports, is_good && !report.is_draining);
        count_consecutive(&mut self.bad_reports, !is_good);
        count_consecutive(&mut self.drain_reports, report.is_draining);
        let is_recent = |at: Option<Micros>, limit| at.is_some_and(|at| now.since(at) < limit);
        if self.drain_reports >= REPORT_THRESHOLD {
            if self.state == State::Draining {
                self.state_since = now;
            }
            return Some(Input::Drain);
        }
        if self.bad_reports >= REPORT_THRESHOLD
            && !is_recent(self.last_answered_at, TRUST_OWN_ANSWER_MS)
        {
            return Some(Input::Down);
        }
        if self.good_reports >= REPORT_THRESHOLD
            && !is_recent(self.last_refused_at, TRUST_OWN_REFUSAL_MS)
        {
            return Some(Input::Up);
        }
        None
    }

    /// Records an observation of this instance, which overrides reports for a while.
    pub(super) fn record_observation(&mut self, now: Micros, input: Input) {
        match input {
            Input::Answered => self.last_answered_at = Some(now),
            Input::Drain | Input::Silence => self.last_refused_at = Some(now),
            _ => {}
        }
        self.is_drain_observed |= input == Input::Drain;
        let is_repeated = matches!(
            (self.state, input),
            (State::Shedding, Input::Shed) | (State::Draining, Input::Drain)
        );
        if is_repeated {
            self.state_since = now;
        }
    }

    /// Returns the input that a timeout of the current state causes, if it has expired.
    pub(super) fn timeout_input(&self, now: Micros) -> Option<Input> {
        let age = now.since(self.state_since);
        if self.state == State::Warming {
            return (age >= RAMP_MS).then_some(Input::Warmed);
        }
        let limit = state_timeout_ms(self.state)?;
        (age >= limit).then_some(Input::Waited)
    }

    /// Applies an input to the state machine. Returns whether the state changed.
    pub(super) fn apply_input(
        &mut self,
        chart: &Chart,
        now: Micros,
        input: Input,
        out: &mut Vec<ControlAction>,
    ) -> bool {
        let is_declared_draining = self.declared.state == TargetState::Draining;
        if self.state == State::Draining && is_declared_draining {
            return false;
        }
        let Some(next) = chart
            .next(self.state, input)
            .filter(|&next| next != self.state)
        else {
            return false;
        };
        out.push(ControlAction::Log(ControlLogEvent::TargetStateChanged {
            name: format!("{}/{}", self.service, self.name),
            from: chart::Label::name(self.state).to_owned(),
            to: chart::Label::name(next).to_owned(),
        }));
        self.is_drain_observed &= next == State::Draining;
        self.state = next;
        self.state_since = now;
        true
    }

    /// Returns whether the target looks down on evidence that panic mode overrides.
    pub(super) fn is_considered_down(&self) -> bool {
        match self.state {
            State::Silent | State::Gone => true,
            State::Draining => !self.is_drain_observed,
            _ => false,
        }
    }

    pub(super) fn accepts_new(&self, is_in_panic_mode: bool) -> bool {
        if self.declared.state == TargetState::Draining {
            return false;
        }
        match self.state {
            State::Warming | State::Serving | State::Shedding => true,
            _ => is_in_panic_mode && (self.state == State::New || self.is_considered_down()),
        }
    }

    /// Returns the share of its capacity to use, in thousandths.
    pub(super) fn ramp_permille(&self, now: Micros) -> u32 {
        match self.state {
            State::Warming => {
                let age_ms = now.since(self.state_since).0.min(RAMP_MS.0);
                let full = u64::from(FULL_PERMILLE);
                let ramp_gain = (full - RAMP_START_PERMILLE) * age_ms / RAMP_MS.0;
                let stepped_gain = ramp_gain - ramp_gain % RAMP_STEP_PERMILLE;
                u32::try_from(RAMP_START_PERMILLE + stepped_gain).unwrap_or(FULL_PERMILLE)
            }
            State::New => u32::try_from(RAMP_START_PERMILLE).unwrap_or(FULL_PERMILLE),
            State::Shedding => SHEDDING_PERMILLE,
            _ => FULL_PERMILLE,
        }
    }
}

/// Counts consecutive reports of one kind.
fn count_consecutive(counter: &mut u8, is_matching: bool) {
    *counter = match is_matching {
        true => counter.saturating_add(1),
        false => 0,
    };
}
