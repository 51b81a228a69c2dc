//! One target and its state.

use conf::model::{Target, TargetState};
use ids::{Micros, Millis, ServiceName, TargetName};

use super::Chart;
use crate::event::{ControlAction, ControlLogEvent, HealthReport};

/// Reports of one kind in a row that count; a single lost report must not move work.
const REPORT_THRESHOLD: u8 = 3;

chart::labels! {
    /// States of `charts/target.ini`.
    pub(crate) enum State {
        /// In the document, but not seen yet.
        New = "new",
        /// Takes a growing share of its work.
        Warming = "warming",
        /// Takes its full share.
        Serving = "serving",
        /// Refuses work as overloaded.
        Shedding = "shedding",
        /// Finishes what it has.
        Draining = "draining",
        /// Does not answer this instance.
        Silent = "silent",
        /// Reported dead.
        Gone = "gone",
    }
}

chart::labels! {
    /// Events of `charts/target.ini`.
    pub(crate) enum Input {
        /// The instance has just started and takes the target for warm.
        Assumed = "assumed",
        /// The last reports were good.
        Up = "up",
        /// The last reports were bad.
        Down = "down",
        /// The target answered this instance.
        Answered = "answered",
        /// The target refused work as overloaded.
        Shed = "shed",
        /// The target left work of this instance unanswered.
        Silence = "silence",
        /// The document, the target or its reports say that it drains.
        Drain = "drain",
        /// The document takes the target back into service.
        Resume = "resume",
        /// The ramp of a warming target has ended.
        Warmed = "warmed",
        /// Nothing has happened for the waiting time of the state.
        Waited = "waited",
    }
}

/// Time after an answer for which bad reports are not believed, and after a refusal or silence for
/// which good ones are not; reports lag by seconds.
const TRUST_OWN_ANSWER_MS: Millis = Millis(3_000);
const TRUST_OWN_REFUSAL_MS: Millis = Millis(10_000);
/// Duration of the ramp of a warming target.
const RAMP_MS: Millis = Millis(10_000);
const RAMP_START_PERMILLE: u64 = 100;
/// Coarse steps of the ramp limit the views that a warming target causes to nine.
const RAMP_STEP_PERMILLE: u64 = 100;
/// Share of its capacity that is used of a target that sheds.
const SHEDDING_PERMILLE: u32 = 500;
const FULL_PERMILLE: u32 = 1_000;

/// Returns how long a state lasts without an event, if it ends by itself.
fn state_timeout_ms(state: State) -> Option<Millis> {
    match state {
        // Three reports at one a second fit, and a target whose endpoint is broken is tried.
        State::New => Some(Millis(5_000)),
        State::Shedding => Some(Millis(1_000)),
        // A refusal as draining costs one retry, so a restarted target is found by trying.
        State::Draining => Some(Millis(30_000)),
        State::Silent => Some(Millis(10_000)),
        _ => None,
    }
}

/// A target as this instance sees it.
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
    /// Last refusal or silence that this instance saw itself.
    last_refused_at: Option<Micros>,
    /// Whether the target itself refused work as draining, and not only its reports say so.
    is_drain_observed: bool,
    /// Requests in flight per shard.
    pub(super) in_flight: Vec<u32>,
    /// Flows opened per shard and not yet over.
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

    /// Counts a report and returns the input that enough of a kind make.
    pub(super) fn count_report(&mut self, now: Micros, report: HealthReport) -> Option<Input> {
        let is_good = report.is_healthy == Some(true);
        count_consecutive(&mut self.good_reports, is_good && !report.is_draining);
        count_consecutive(&mut self.bad_reports, !is_good);
        count_consecutive(&mut self.drain_reports, report.is_draining);
        let is_fresh = |at: Option<Micros>, limit| at.is_some_and(|at| now.since(at) < limit);
        if self.drain_reports >= REPORT_THRESHOLD {
            if self.state == State::Draining {
                self.state_since = now;
            }
            return Some(Input::Drain);
        }
        if self.bad_reports >= REPORT_THRESHOLD
            && !is_fresh(self.last_answered_at, TRUST_OWN_ANSWER_MS)
        {
            return Some(Input::Down);
        }
        if self.good_reports >= REPORT_THRESHOLD
            && !is_fresh(self.last_refused_at, TRUST_OWN_REFUSAL_MS)
        {
            return Some(Input::Up);
        }
        None
    }

    /// Notes an own observation, which outweighs reports for a while.
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

    /// Returns the input that passing time makes.
    pub(super) fn timeout_input(&self, now: Micros) -> Option<Input> {
        let age = now.since(self.state_since);
        if self.state == State::Warming {
            return (age >= RAMP_MS).then_some(Input::Warmed);
        }
        let limit = state_timeout_ms(self.state)?;
        (age >= limit).then_some(Input::Waited)
    }

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

    /// Tells whether the target looks dead, so that the panic rule may overrule it.
    pub(super) fn is_considered_down(&self) -> bool {
        match self.state {
            State::Silent | State::Gone => true,
            State::Draining => !self.is_drain_observed,
            _ => false,
        }
    }

    pub(super) fn accepts_new(&self, is_panicking: bool) -> bool {
        if self.declared.state == TargetState::Draining {
            return false;
        }
        match self.state {
            State::Warming | State::Serving | State::Shedding => true,
            _ => is_panicking && (self.state == State::New || self.is_considered_down()),
        }
    }

    pub(super) fn ramp_permille(&self, now: Micros) -> u32 {
        match self.state {
            State::Warming => {
                let age_ms = now.since(self.state_since).0.min(RAMP_MS.0);
                let full = u64::from(FULL_PERMILLE);
                let grown = (full - RAMP_START_PERMILLE) * age_ms / RAMP_MS.0;
                let stepped = grown - grown % RAMP_STEP_PERMILLE;
                u32::try_from(RAMP_START_PERMILLE + stepped).unwrap_or(FULL_PERMILLE)
            }
            State::New => u32::try_from(RAMP_START_PERMILLE).unwrap_or(FULL_PERMILLE),
            State::Shedding => SHEDDING_PERMILLE,
            _ => FULL_PERMILLE,
        }
    }
}

/// Counts reports of one kind in a row.
fn count_consecutive(counter: &mut u8, is_matching: bool) {
    *counter = match is_matching {
        true => counter.saturating_add(1),
        false => 0,
    };
}
