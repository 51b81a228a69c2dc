//! Log lines and metrics for the notes of the steering core.

use ids::Micros;
use slog::{Logger, info, warn};
use steer::admission::Refusal;
use steer::evidence::UnansweredPacket;
use steer::view::{TargetRecord, ViewChange};
use steer::{DomainState, DropReason, FlowId, Note, ResetReason, Revision, TargetId, Token, View};

use crate::line_limiter::LineLimiter;
use crate::log_fields::AtRevision;
use crate::metrics::Metrics;

/// Maximum number of log lines per second for flows without incidents. At 300 bytes per line they
/// take 15 KB/s.
const MAX_ROUTINE_LINES_PER_S: u32 = 50;

/// Maximum number of log lines per second for everything else.
const MAX_UNUSUAL_LINES_PER_S: u32 = 100;

/// Writes notes to the log and the metrics, within the limits on log lines.
#[derive(Debug)]
pub struct NoteRecorder {
    log: Logger,
    metrics: Metrics,
    routine_limiter: LineLimiter,
    unusual_limiter: LineLimiter,
}

impl NoteRecorder {
    /// Creates a recorder with its own limits.
    pub fn new(log: Logger, metrics: Metrics) -> Self {
        Self {
            log,
            metrics,
            routine_limiter: LineLimiter::new(MAX_ROUTINE_LINES_PER_S),
            unusual_limiter: LineLimiter::new(MAX_UNUSUAL_LINES_PER_S),
        }
    }

    /// Records one note.
    pub fn record(&mut self, now: Micros, view: &View, note: Note) {
        match note {
            Note::Placed {
                flow,
                target,
                is_remote,
                pending_requests,
                tried,
            } => {
                self.metrics.flows_placed.inc();
                if is_remote {
                    self.metrics.flows_placed_remote.inc();
                }
                if tried > 0 {
                    self.metrics.openings_retried.inc();
                }
                let should_log = if tried > 0 || is_remote {
                    self.unusual_limiter.try_take(now)
                } else {
                    self.routine_limiter.try_take(now)
                };
                if should_log {
                    info!(self.log, "flow placed"; "flow" => %flow, "target" => %target,
                        "remote" => is_remote, "waiting" => pending_requests, "tried" => tried,
                        "document" => view.version(), AtRevision(view.revision()));
                }
            }
            Note::Opened {
                flow,
                target,
                handshake_time,
                tried,
            } => {
                self.metrics
                    .handshake_seconds
                    .observe(to_seconds(handshake_time));
                if tried > 1 && self.unusual_limiter.try_take(now) {
                    info!(self.log, "flow opened after a retry"; "flow" => %flow,
                        "target" => %target, "took_ms" => handshake_time.0, "tried" => tried);
                }
            }
            Note::Answered { response_time } => self
                .metrics
                .answer_seconds
                .observe(to_seconds(response_time)),
            Note::ResendWithheld { flow, target } => {
                self.metrics.resends_withheld.inc();
                if self.unusual_limiter.try_take(now) {
                    info!(self.log, "resend withheld"; "flow" => %flow, "target" => %target);
                }
            }
            Note::RefusedCold { flow, counts } => {
                self.metrics.flows_refused_cold.inc();
                if self.unusual_limiter.try_take(now) {
                    info!(self.log, "cold targets take no flow"; "flow" => %flow,
                        "cold" => counts.cold, "owned" => counts.owned,
                        "may_place" => counts.may_place);
                }
            }
            Note::AssumedCold { target, warmup } => {
                info!(self.log, "target assumed cold"; "target" => %target,
                    "warmup_ms" => warmup.0);
            }
            Note::Reset {
                flow,
                reason,
                attribution,
            } => self.record_reset(now, view, flow, reason, attribution),
            Note::Refused {
                flow,
                service,
                refusal,
                terms,
                expected_time,
                admitted_share,
            } => {
                let reason = refusal_label(refusal);
                let priority = terms.priority.to_string();
                self.metrics
                    .flows_refused
                    .with_label_values(&[service.as_str(), &priority, reason])
                    .inc();
                if self.unusual_limiter.try_take(now) {
                    info!(self.log, "flow refused"; "flow" => %flow, "reason" => reason,
                        "service" => %service, "priority" => priority,
                        "expected_ms" => expected_time.0, "timeout_ms" => terms.timeout.0,
                        "goal_ms" => terms.latency_goal.0, "admitted_share" => admitted_share);
                }
            }
            Note::Dropped {
                flow,
                reason,
                token,
            } => {
                let label = drop_label(reason);
                self.metrics
                    .packets_dropped
                    .with_label_values(&[label])
                    .inc();
                if self.unusual_limiter.try_take(now) {
                    info!(self.log, "packet dropped"; "flow" => %flow, "reason" => label,
                        "token" => token.0, AtRevision(view.revision()));
                }
            }
            Note::Unanswered {
                target,
                flow,
                waited,
                packet,
                last_response_age,
                unanswered_count,
            } => {
                self.metrics.answers_missed.inc();
                if self.unusual_limiter.try_take(now) {
                    warn!(self.log, "no answer from target"; "flow" => %flow, "target" => %target,
                        "waited_ms" => waited.0, "opening" => packet == UnansweredPacket::Opening,
                        "heard_before_ms" => last_response_age.0, "signs" => unanswered_count);
                }
            }
            Note::Stalled {
                target,
                flow,
                waited,
                is_avoided,
            } => {
                self.metrics.requests_stalled.inc();
                if self.unusual_limiter.try_take(now) {
                    info!(self.log, "request stalled"; "flow" => %flow, "target" => %target,
                        "waited_ms" => waited.0, "avoided_now" => is_avoided);
                }
            }
            Note::Contradicted {
                target,
                last_response_age,
            } => {
                self.metrics.evidence_contradicted.inc();
                if self.unusual_limiter.try_take(now) {
                    info!(self.log, "peer's evidence contradicted"; "target" => %target,
                        "heard_before_ms" => last_response_age.0);
                }
            }
            Note::TargetRecovered { target } => {
                info!(self.log, "target heard again"; "target" => %target);
            }
            Note::SpillChanged {
                service,
                previous,
                share,
                own_pending,
                spilled_pending,
            } => {
                info!(self.log, "spill changed"; "service" => %service,
                    "before_milli" => to_milli(previous), "share_milli" => to_milli(share),
                    "own_pending" => own_pending, "spilled_pending" => spilled_pending);
            }
            Note::ViewChanged(change) => self.record_view_change(view, change),
        }
    }

    fn record_reset(
        &mut self,
        now: Micros,
        view: &View,
        flow: FlowId,
        reason: ResetReason,
        attribution: Option<(Token, TargetId)>,
    ) {
        let label = reset_label(reason);
        self.metrics.flows_reset.with_label_values(&[label]).inc();
        if !self.unusual_limiter.try_take(now) {
            return;
        }
        let record = attribution.and_then(|(_, id)| view.record(id));
        let Some((record, (token, id))) = record.zip(attribution) else {
            info!(self.log, "flow reset"; "flow" => %flow, "reason" => label,
                "document" => view.version(), AtRevision(view.revision()));
            return;
        };
        let responsiveness = &record.responsiveness;
        info!(self.log, "flow reset"; "flow" => %flow, "reason" => label, "target" => %id,
            "token" => token.0, "token_shared" => view.is_shared_token(token),
            "target_state" => chart::Label::name(record.state),
            "state_ms" => now.since(record.state_since).0,
            "heard_before_ms" => now.since(responsiveness.last_response_at()).0,
            "requests_unanswered" => responsiveness.unanswered_requests(now),
            "requests_counted" => responsiveness.unanswered_requests_for(now, *flow.caller.ip()),
            "document" => view.version(), AtRevision(view.revision()));
    }

    fn record_view_change(&self, view: &View, change: ViewChange) {
        match change {
            ViewChange::DocumentActivated { version, routes } => {
                self.metrics.document_version.set(version as i64);
                info!(self.log, "configuration in force"; "version" => version,
                    "routes" => routes, AtRevision(view.revision()));
            }
            ViewChange::Target { id, state } => {
                info!(self.log, "target changed"; "target" => %id,
                    "to" => chart::Label::name(state), AtRevision(view.revision()));
            }
            ViewChange::Domain {
                domain,
                state,
                order,
            } => self.record_domain_change(view, &domain, state, order),
            ViewChange::DomainOrderLost { domain, previous } => {
                warn!(self.log, "evacuation order missing in the store";
                    "failure_domain" => domain.as_str(), "order_revision" => %previous,
                    AtRevision(view.revision()));
            }
        }
    }

    fn record_domain_change(&self, view: &View, domain: &str, state: DomainState, order: Revision) {
        let evacuated_count = view.evacuated_domains().len();
        self.metrics.domains_evacuated.set(evacuated_count as i64);
        let is_inside = |record: &&TargetRecord| record.target.domain == domain;
        let target_count = view.records().filter(is_inside).count();
        match state {
            DomainState::Evacuated => {
                info!(self.log, "failure domain evacuated"; "failure_domain" => domain,
                    "order_revision" => %order, "targets" => target_count,
                    AtRevision(view.revision()));
            }
            DomainState::Serving => {
                info!(self.log, "failure domain reinstated"; "failure_domain" => domain,
                    "order_revision" => %order, "targets" => target_count,
                    AtRevision(view.revision()));
            }
        }
    }

    /// Logs and counts the suppressed lines. Call it about once per second.
    pub fn record_suppressed(&mut self) {
        let count = self.routine_limiter.take_suppressed() + self.unusual_limiter.take_suppressed();
        if count > 0 {
            self.metrics.log_lines_suppressed.inc_by(count);
            info!(self.log, "log lines left out"; "count" => count);
        }
    }
}

/// Returns a share in thousandths.
pub(crate) fn to_milli(share: f32) -> i64 {
    (share * 1_000.0) as i64
}

fn to_seconds(duration: ids::Millis) -> f64 {
    duration.0 as f64 / 1_000.0
}

fn drop_label(reason: DropReason) -> &'static str {
    match reason {
        DropReason::NoView => "no-view",
        DropReason::NoToken => "no-token",
        DropReason::UnknownToken => "unknown-token",
        DropReason::Unopened => "unopened",
    }
}

fn refusal_label(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Deadline => "deadline",
        Refusal::NoRoom => "no-room",
        Refusal::CallerShare => "caller-share",
    }
}

fn reset_label(reason: ResetReason) -> &'static str {
    match reason {
        ResetReason::NoRoute => "no-route",
        ResetReason::NoTarget => "no-target",
        ResetReason::DomainEvacuated => "domain-evacuated",
        ResetReason::TargetsCold => "targets-cold",
        ResetReason::Deadline => refusal_label(Refusal::Deadline),
        ResetReason::NoRoom => refusal_label(Refusal::NoRoom),
        ResetReason::CallerShare => refusal_label(Refusal::CallerShare),
        ResetReason::TargetGone => "target-gone",
        ResetReason::TargetSilent => "target-silent",
    }
}
