//! Exchange of loads with the other instances of the failure domain.

use hashbrown::HashMap;
use ids::{Micros, Millis};
use smol_str::SmolStr;

use crate::admission::ServiceLoad;
use crate::load::TargetLoad;
use crate::steer::Steer;

/// Maximum time between an answer and the arrival of the report that counts it. The instance that
/// saw the answer, one on the way and the root each hold a count for up to an interval, which is 100
/// ms while requests wait and 400 ms otherwise; a fourth interval is for the way. With a lower limit,
/// a count from before a target's death would end its avoidance.
const BUSY_REPORT_DELAY: Millis = Millis(400);
const IDLE_REPORT_DELAY: Millis = Millis(1_600);

/// Time between two reports after which an instance on the way may have been paused. Reports do not
/// show that a target is alive until as much time has passed again.
const MAX_REPORT_GAP: Millis = Millis(1_000);

/// Number of targets that have to turn requests away or answer late in the same report before room
/// counts as short. A single target may be slow, and in a small failure domain one request turned
/// away is a large part of a report.
const MIN_SHORT_TARGETS: u32 = 3;

/// Number of requests turned away that show a shortage if all of at least two targets in a report
/// turned some away or answered late. In small failure domains, there may be no third target.
const MIN_TURNED_AWAY: u32 = 3;

/// Load of a service's targets in one report.
#[derive(Debug, Default)]
struct DomainLoad {
    load: ServiceLoad,
    /// Targets that turned requests away or answered mostly late.
    short_targets: u32,
    /// Targets that answered or turned requests away.
    active_targets: u32,
}

impl DomainLoad {
    fn add(&mut self, target: &TargetLoad) {
        let is_short = target.turned_away > 0 || target.delayed.saturating_mul(2) > target.answered;
        self.short_targets += u32::from(is_short);
        self.active_targets += u32::from(!target.is_unseen());
        self.load.add(target);
    }

    /// Returns the load, without signs of a shortage if too few targets show them.
    fn evidence(&self) -> ServiceLoad {
        let are_all_short = self.short_targets == self.active_targets
            && self.active_targets >= 2
            && self.load.turned_away >= MIN_TURNED_AWAY;
        if self.short_targets >= MIN_SHORT_TARGETS || are_all_short {
            return self.load;
        }
        ServiceLoad {
            answered: self.load.answered,
            ..ServiceLoad::default()
        }
    }
}

impl Steer {
    /// Returns the load that this instance sees, for its peers. Call it once per interval.
    pub fn take_own_loads(&mut self) -> Vec<TargetLoad> {
        let mut ids = std::mem::take(&mut self.loaded_targets);
        // A target that starts again while it is listed is listed a second time.
        ids.sort_unstable();
        ids.dedup();
        let mut loads = Vec::with_capacity(ids.len());
        ids.retain(|id| {
            let token = self.view.token_of(*id);
            let Some(record) = self.view.record_mut(*id) else {
                return false;
            };
            loads.extend(record.load.take_report(token, record.waiting));
            (record.waiting > 0 || record.load.has_own_demand()) && record.load.list()
        });
        self.loaded_targets = ids;
        loads
    }

    /// Returns the share of the less urgent openings of a service that is admitted.
    pub fn admitted_share(&self, service: &str, now: Micros) -> f32 {
        let admission = self.admissions.get(service);
        admission.map_or(1.0, |admission| admission.share(now))
    }

    /// Returns whether requests wait for a slot of a target, as far as this instance knows.
    pub fn has_queued_requests(&self) -> bool {
        self.has_queued_requests
    }

    /// Applies the load that all instances of the failure domain see together.
    pub fn on_domain_loads(&mut self, now: Micros, loads: &[TargetLoad]) {
        let answered_at = self.earliest_answer(now);
        let previous = std::mem::take(&mut self.reported_targets);
        for id in previous {
            if let Some(record) = self.view.record_mut(id) {
                record.load.apply_report(now, None);
            }
        }
        let mut service_loads: HashMap<SmolStr, DomainLoad> = HashMap::new();
        let had_queued_requests = std::mem::take(&mut self.has_queued_requests);
        for report in loads {
            let Some(id) = self.view.target_by_token(now, report.token) else {
                continue;
            };
            let is_assumed = self.view.is_shared_token(report.token);
            let Some(record) = self.view.record_mut(id) else {
                continue;
            };
            self.reported_targets.push(id);
            record.load.apply_report(now, Some(report));
            self.has_queued_requests |= report.pending > record.target.slots;
            if let Some(answered_at) = answered_at
                && report.answered > 0
                && !is_assumed
            {
                record.responsiveness.record_response(now, answered_at);
            }
            if record.target.domain == self.settings.domain {
                self.work.add(now, id, report.work_ms);
                service_loads
                    .entry(record.target.service.clone())
                    .or_default()
                    .add(report);
            }
        }
        if !had_queued_requests {
            self.queued_since = now;
        }
        for (service, admission) in &mut self.admissions {
            let load = service_loads.remove(service).unwrap_or_default();
            admission.observe(now, &load.evidence());
        }
        for (service, load) in service_loads {
            self.admissions
                .entry(service)
                .or_default()
                .observe(now, &load.evidence());
        }
        self.update_spill(now);
    }

    /// Returns the earliest time of the answers that a report counts which arrives now, or `None` if
    /// the report may have been delayed by a pause.
    fn earliest_answer(&mut self, now: Micros) -> Option<Micros> {
        let previous_at = self.domain_loads_at.replace(now);
        if previous_at.is_none_or(|at| now.since(at) > MAX_REPORT_GAP) {
            self.alive_from = now + MAX_REPORT_GAP;
        }
        if now < self.alive_from {
            return None;
        }
        // Intervals that were running when requests began to wait are still long.
        let is_busy = self.has_queued_requests && now.since(self.queued_since) > IDLE_REPORT_DELAY;
        let delay = if is_busy {
            BUSY_REPORT_DELAY
        } else {
            IDLE_REPORT_DELAY
        };
        Some(now - delay)
    }
}
