//! Log lines and metrics of the decisions.

use ids::Micros;
use slog::{Logger, info, warn};
use steer::silence::Asked;
use steer::view::Effect;
use steer::{Drop, FlowId, Note, Refusal, View};

use crate::budget::Budget;
use crate::metrics::Metrics;

/// Lines a second of flows that went well. At 300 bytes a line they take 15 KB/s.
const ROUTINE_LINES_PER_S: u32 = 50;

/// Lines a second of everything else.
const UNUSUAL_LINES_PER_S: u32 = 100;

/// Writes down what was decided.
#[derive(Debug)]
pub struct Teller {
    log: Logger,
    metrics: Metrics,
    routine: Budget,
    unusual: Budget,
}

impl Teller {
    /// Creates a teller.
    pub fn new(log: Logger, metrics: Metrics) -> Self {
        Self {
            log,
            metrics,
            routine: Budget::new(ROUTINE_LINES_PER_S),
            unusual: Budget::new(UNUSUAL_LINES_PER_S),
        }
    }

    /// Writes down one note.
    pub fn tell(&mut self, now: Micros, view: &View, note: Note) {
        match note {
            Note::Placed {
                flow,
                target,
                is_remote,
                waiting,
                tried,
            } => {
                self.metrics.placed.inc();
                if is_remote {
                    self.metrics.placed_remote.inc();
                }
                if tried > 0 {
                    self.metrics.retried.inc();
                }
                let may = if tried > 0 || is_remote {
                    self.unusual.take(now)
                } else {
                    self.routine.take(now)
                };
                if may {
                    info!(self.log, "flow placed"; "flow" => %flow, "target" => %target,
                        "remote" => is_remote, "waiting" => waiting, "tried" => tried,
                        "document" => view.version(), "revision" => view.revision());
                }
            }
            Note::Opened {
                flow,
                target,
                took,
                tried,
            } => {
                self.metrics.handshake.observe(seconds(took));
                if tried > 1 && self.unusual.take(now) {
                    info!(self.log, "flow opened after a retry"; "flow" => %flow,
                        "target" => %target, "took_ms" => took.0, "tried" => tried);
                }
            }
            Note::Answered { took } => self.metrics.answer.observe(seconds(took)),
            Note::Reset { flow, reason } => self.reset(now, view, flow, reason),
            Note::Dropped {
                flow,
                reason,
                token,
            } => {
                let name = drop_name(reason);
                self.metrics.dropped.with_label_values(&[name]).inc();
                if self.unusual.take(now) {
                    info!(self.log, "packet dropped"; "flow" => %flow, "reason" => name,
                        "token" => token.0, "revision" => view.revision());
                }
            }
            Note::Missed {
                target,
                flow,
                waited,
                asked,
                heard_before,
                signs,
            } => {
                self.metrics.missed.inc();
                if self.unusual.take(now) {
                    warn!(self.log, "no answer from target"; "flow" => %flow, "target" => %target,
                        "waited_ms" => waited.0, "opening" => asked == Asked::Opening,
                        "heard_before_ms" => heard_before.0, "signs" => signs);
                }
            }
            Note::Stalled {
                target,
                flow,
                waited,
                is_avoided,
            } => {
                self.metrics.stalled.inc();
                if self.unusual.take(now) {
                    info!(self.log, "request stalled"; "flow" => %flow, "target" => %target,
                        "waited_ms" => waited.0, "avoided_now" => is_avoided);
                }
            }
            Note::Contradicted {
                target,
                heard_before,
            } => {
                self.metrics.contradicted.inc();
                if self.unusual.take(now) {
                    info!(self.log, "peer's evidence contradicted"; "target" => %target,
                        "heard_before_ms" => heard_before.0);
                }
            }
            Note::HeardAgain { target } => {
                info!(self.log, "target heard again"; "target" => %target);
            }
            Note::View(effect) => self.effect(view, effect),
        }
    }

    fn reset(&mut self, now: Micros, view: &View, flow: FlowId, reason: Refusal) {
        let name = refusal_name(reason);
        self.metrics.resets.with_label_values(&[name]).inc();
        if self.unusual.take(now) {
            info!(self.log, "flow reset"; "flow" => %flow, "reason" => name,
                "document" => view.version(), "revision" => view.revision());
        }
    }

    fn effect(&self, view: &View, effect: Effect) {
        match effect {
            Effect::InForce { version, routes } => {
                self.metrics.version.set(version as i64);
                info!(self.log, "configuration in force"; "version" => version,
                    "routes" => routes, "revision" => view.revision());
            }
            Effect::Target { id, standing } => {
                info!(self.log, "target changed"; "target" => %id,
                    "to" => chart::Label::name(standing), "revision" => view.revision());
            }
        }
    }

    /// Writes down how many lines were left out. To be called about once a second.
    pub fn tell_left_out(&mut self) {
        let count = self.routine.take_left_out() + self.unusual.take_left_out();
        if count > 0 {
            self.metrics.lines_left_out.inc_by(count);
            info!(self.log, "log lines left out"; "count" => count);
        }
    }
}

fn seconds(time: ids::Millis) -> f64 {
    time.0 as f64 / 1_000.0
}

fn drop_name(reason: Drop) -> &'static str {
    match reason {
        Drop::NoView => "no-view",
        Drop::NoToken => "no-token",
        Drop::UnknownToken => "unknown-token",
        Drop::Unopened => "unopened",
    }
}

fn refusal_name(reason: Refusal) -> &'static str {
    match reason {
        Refusal::NoRoute => "no-route",
        Refusal::NoTarget => "no-target",
        Refusal::TargetGone => "target-gone",
        Refusal::TargetSilent => "target-silent",
    }
}
