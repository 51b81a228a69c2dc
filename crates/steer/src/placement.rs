//! Chooses the target of a new flow.
//!
//! Load: the requests of all instances of the failure domain, as [`crate::load`] knows them. See
//! [placement by expected wait](../../../docs/design/hard-load.md).

use ids::Micros;
use rand::Rng;

use crate::cold_start::{ColdCounts, ColdStart};
use crate::model::TargetId;
use crate::reserve::URGENT_SAMPLE_SIZE;
use crate::service_index::{DomainTargets, nth_target};
use crate::settings::Settings;
use crate::spill::ServiceSpill;
use crate::target_state::TargetState;
use crate::view::{TargetRecord, View};

/// Factor on the load of a target during its slow start, for deployments without a limit on cold
/// targets. Reports say how long a target stays slow but not how slow it is; at twice the load it
/// still gets its first flows.
const COLD_FACTOR: f32 = 2.0;

/// Number of targets that are compared in calm times. Instances whose reports of the load are equally
/// old would all choose the same target if they compared all.
pub const SAMPLE_SIZE: usize = 3;

/// Number of targets up to which all are looked at, which costs no more than random draws.
const WALK_LEN: usize = 16;

/// Maximum number of random draws for a sample. If a quarter of many targets can be used, 97 of 100
/// samples are complete by then; otherwise all targets are looked at.
const MAX_DRAWS: usize = 32;

/// Rounds that are added for a target that has just turned a request away, whatever its reported
/// number of pending requests. Excluding it instead would send the flows of all instances to the few
/// others.
const FULL_ROUNDS: f32 = 3.0;

/// The target chosen for a flow.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// Expected time for the flow's request in units of the route's mean time.
    pub rounds: f32,
    /// Rounds of the target's queue, however long a round takes.
    pub queue_rounds: f32,
}

/// A target that is compared with others.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    choice: Choice,
    /// Expected time, including the requests that open flows will bring.
    load: f32,
}

/// A random sample of the targets of one failure domain, or of all others. Unresponsive targets are
/// only in it if there are no others, so that a fault of this instance's own link does not leave it
/// without any target.
#[derive(Debug, Default)]
struct Sample {
    candidates: [Option<Candidate>; URGENT_SAMPLE_SIZE],
    seen: usize,
    is_avoided: bool,
}

impl Sample {
    /// Adds a target, unless a better group of targets is being sampled.
    fn add(&mut self, record: &TargetRecord, choice: &Placement<'_>, random: &mut impl Rng) {
        let is_avoided = record.is_avoided(choice.now);
        if self.seen > 0 && is_avoided && !self.is_avoided {
            return;
        }
        if self.seen == 0 || self.is_avoided != is_avoided {
            *self = Self {
                is_avoided,
                ..Self::default()
            };
        }
        self.seen += 1;
        // Reservoir sampling.
        let place = if self.seen <= choice.sample_size {
            self.seen - 1
        } else {
            random.random_range(0..self.seen)
        };
        let compared = self.candidates.get_mut(..choice.sample_size);
        if let Some(slot) = compared.and_then(|compared| compared.get_mut(place)) {
            *slot = Some(choice.candidate(record));
        }
    }

    fn contains(&self, id: TargetId) -> bool {
        let mut candidates = self.candidates.iter().flatten();
        candidates.any(|candidate| candidate.choice.target == id)
    }

    /// Returns the candidate with the least load, one of them at random if there are several.
    fn best(&self, random: &mut impl Rng) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        let mut ties = 0;
        for candidate in self.candidates.into_iter().flatten() {
            match best {
                Some(known) if candidate.load > known.load => {}
                Some(known) if candidate.load == known.load => {
                    ties += 1;
                    if random.random_ratio(1, ties) {
                        best = Some(candidate);
                    }
                }
                _ => {
                    ties = 1;
                    best = Some(candidate);
                }
            }
        }
        best
    }
}

/// What a choice among the targets of a service depends on.
#[derive(Debug, Clone, Copy)]
pub struct Placement<'a> {
    /// The targets.
    pub view: &'a View,
    /// Limits of the instance.
    pub settings: &'a Settings,
    /// Flows of cold targets.
    pub cold_start: &'a ColdStart,
    /// Share of the flows that goes to other failure domains, if their load is known.
    pub spill: Option<&'a ServiceSpill>,
    /// The present time.
    pub now: Micros,
    /// The service.
    pub service: &'a str,
    /// Number of targets that are compared.
    pub sample_size: usize,
}

impl Placement<'_> {
    /// Chooses a target, except those already tried.
    ///
    /// Of a few random targets, the one with the shortest expected time for a request wins. A target
    /// of another failure domain is chosen if those of this domain do not respond. If those of this
    /// domain are busy, a share of the flows goes to domains whose load is known. If none is known,
    /// the counts of the own domain decide.
    pub fn choose(&self, tried: &[TargetId], random: &mut impl Rng) -> Option<Choice> {
        let targets = self.view.service_targets(self.service)?;
        let own_lists = targets.own_list(&self.settings.domain);
        let own_lists = own_lists.filter(|list| !self.view.is_evacuated(&list.domain));
        let own = self.sample(own_lists.into_iter(), tried, random);
        let own_best = own.best(random);
        if let (Some(best), Some(spill)) = (own_best, self.spill)
            && !own.is_avoided
            && spill.has_open_domain(self.now)
        {
            let spilled = self.spill(spill, &best.choice, tried, random);
            return Some(spilled.unwrap_or(best.choice));
        }
        let is_own_busy =
            own_best.is_some_and(|best| best.choice.rounds > self.settings.busy_requests_per_slot);
        if own_best.is_some() && !own.is_avoided && !is_own_busy {
            return own_best.map(|best| best.choice);
        }
        let other_lists = targets
            .other_lists(&self.settings.domain)
            .filter(|list| !self.view.is_evacuated(&list.domain));
        let other = self.sample(other_lists, tried, random);
        let other_best = other.best(random);
        let (Some(own_best), Some(other_best)) = (own_best, other_best) else {
            return own_best.or(other_best).map(|best| best.choice);
        };
        let is_other_better = own.is_avoided && !other.is_avoided
            || own.is_avoided == other.is_avoided
                && is_own_busy
                && other_best.choice.rounds < own_best.choice.rounds;
        Some(if is_other_better {
            other_best.choice
        } else {
            own_best.choice
        })
    }

    /// Returns a target of another failure domain if the flow belongs to the share that goes there and
    /// gains enough.
    fn spill(
        &self,
        spill: &ServiceSpill,
        own: &Choice,
        tried: &[TargetId],
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let is_own_busy = own.rounds > self.settings.busy_requests_per_slot;
        let domain = spill.draw(self.now, is_own_busy, random)?;
        if domain.rounds + domain.cost >= own.rounds || self.view.is_evacuated(domain.name) {
            return None;
        }
        let targets = self.view.service_targets(self.service)?;
        let list = targets.own_list(domain.name);
        let sample = self.sample(list.into_iter(), tried, random);
        let best = sample.best(random).filter(|_| !sample.is_avoided)?.choice;
        // Counts of the own domain lack the requests of others.
        let rounds = best.rounds.max(domain.rounds);
        (rounds + domain.cost < own.rounds).then_some(Choice { rounds, ..best })
    }

    /// Returns a random sample of the targets in some lists that may get a flow.
    fn sample<'l>(
        &self,
        lists: impl Iterator<Item = &'l DomainTargets> + Clone,
        tried: &[TargetId],
        random: &mut impl Rng,
    ) -> Sample {
        let len = lists.clone().map(|list| list.ids.len()).sum();
        if len > WALK_LEN
            && let Some(sample) = self.draw(lists.clone(), len, tried, random)
        {
            return sample;
        }
        let mut sample = Sample::default();
        for id in lists.flat_map(|list| &list.ids) {
            if let Some(record) = self.usable_record(*id, tried) {
                sample.add(record, self, random);
            }
        }
        sample
    }

    /// Draws targets until the sample is complete. Returns `None` if too many of them cannot be used
    /// or are avoided. The sample that was begun is then discarded, since targets in it would be more
    /// probable than others if it was continued in another way.
    fn draw<'l>(
        &self,
        lists: impl Iterator<Item = &'l DomainTargets> + Clone,
        len: usize,
        tried: &[TargetId],
        random: &mut impl Rng,
    ) -> Option<Sample> {
        let mut sample = Sample::default();
        for _ in 0..MAX_DRAWS {
            let id = nth_target(lists.clone(), random.random_range(0..len))?;
            if sample.contains(id) {
                continue;
            }
            let Some(record) = self.usable_record(id, tried) else {
                continue;
            };
            if record.is_avoided(self.now) {
                continue;
            }
            sample.add(record, self, random);
            if sample.seen == self.sample_size {
                return Some(sample);
            }
        }
        None
    }

    /// Returns the record of a target that may get a flow.
    fn usable_record(&self, id: TargetId, tried: &[TargetId]) -> Option<&TargetRecord> {
        let record = self.view.record(id)?;
        let is_usable =
            self.accepts_flows(record) && self.has_cold_room(record) && !tried.contains(&id);
        is_usable.then_some(record)
    }

    fn accepts_flows(&self, record: &TargetRecord) -> bool {
        record.accepts_flows()
            && !self.may_have_restarted(record)
            && !self.view.is_evacuated(&record.target.domain)
            && self.view.has_token(self.now, record.target.id)
    }

    /// Returns whether a target whose report has disappeared may have started again, so that it could
    /// be cold although this instance has not read its new report yet. If many reports disappear at
    /// once, the store has lost them.
    fn may_have_restarted(&self, record: &TargetRecord) -> bool {
        if self.settings.cold_limit.is_none() || record.state != TargetState::Lapsed {
            return false;
        }
        let targets = self.view.service_targets(&record.target.service);
        let list = targets.and_then(|targets| targets.own_list(&record.target.domain));
        list.is_some_and(|list| !list.are_reports_lost())
    }

    /// Returns whether a target may get another flow in spite of being cold, if it is.
    fn has_cold_room(&self, record: &TargetRecord) -> bool {
        let Some(limit) = &self.settings.cold_limit else {
            return true;
        };
        if !record.is_cold(self.now) {
            return true;
        }
        let id = record.target.id;
        if record.target.domain != self.settings.domain || !self.cold_start.is_owned(id) {
            return false;
        }
        let share = limit.share_per_window(self.view.service(&record.target.service));
        self.cold_start.accepts(self.now, id, share)
    }

    /// Returns why no target was chosen, if cold targets would have accepted the flow.
    pub(crate) fn count_cold(&self) -> Option<ColdCounts> {
        self.settings.cold_limit?;
        let mut counts = ColdCounts {
            may_place: self.cold_start.may_place(self.now),
            ..ColdCounts::default()
        };
        for record in self.view.targets_of_service(self.service) {
            if record.is_cold(self.now) && self.accepts_flows(record) {
                counts.cold += 1;
                counts.owned += u32::from(self.cold_start.is_owned(record.target.id));
            }
        }
        (counts.cold > 0).then_some(counts)
    }

    fn candidate(&self, record: &TargetRecord) -> Candidate {
        let slots = record.target.slots as f32;
        let pending = record.load.pending(self.now, record.waiting) as f32;
        let is_slow_start = self.settings.cold_limit.is_none() && self.now < record.warm_from;
        let cold_factor = if is_slow_start { COLD_FACTOR } else { 1.0 };
        let full_rounds = if record.load.is_full(self.now) {
            FULL_ROUNDS
        } else {
            0.0
        };
        let round_time = record.load.slowness() * cold_factor;
        let queue_rounds = (pending + 1.0) / slots + full_rounds;
        // A slow target with a long queue shows in its response times before its slowness is known.
        let rounds = (queue_rounds * round_time).max(record.load.response_rounds(self.now));
        let flow_rounds = record.load.flow_demand(self.now) / slots * round_time;
        Candidate {
            choice: Choice {
                target: record.target.id,
                rounds,
                queue_rounds,
            },
            load: rounds + flow_rounds,
        }
    }
}
