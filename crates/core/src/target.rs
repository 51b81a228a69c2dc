//! State machines of all targets, see section 9 of [the design](../../../docs/design.md).

mod entry;

use std::collections::BTreeMap;

use conf::Document;
use conf::model::TargetState;
use hashbrown::HashMap;
use ids::{ContentHash, Micros, ServiceName};
use wire::token::TargetId;

use crate::Result;
use crate::event::{ControlAction, ControlLogEvent, HealthReport, Observation};
use crate::peer::Peer;
use crate::view::TargetView;
use entry::{Input, State, TargetEntry};

type Chart = chart::Chart<State, Input>;

const CHART: &str = include_str!("../charts/target.ini");

/// Maximum number of targets whose load vector fits a heartbeat. A fragmented datagram is lost if
/// one of its fragments is, and one beyond the size limit of peer messages is not sent at all.
const MAX_LOAD_TARGETS: usize = 1_024;

/// Maximum number of targets whose flow counts fit a heartbeat together with the load vector, at
/// three bytes per target.
const MAX_FLOW_TARGETS: usize = MAX_LOAD_TARGETS / 3;

/// All targets of the active document.
#[derive(Debug)]
pub(crate) struct Targets {
    chart: Chart,
    /// Targets in the order of the document, which load vectors and flow counts use too.
    entries: Vec<TargetEntry>,
    index: HashMap<TargetId, usize>,
    panic_mode: BTreeMap<ServiceName, bool>,
}

impl Targets {
    pub(crate) fn new() -> Result<Self> {
        Ok(Self {
            chart: Chart::parse("charts/target.ini", CHART)?,
            entries: Vec::new(),
            index: HashMap::new(),
            panic_mode: BTreeMap::new(),
        })
    }

    /// Applies the targets of a new document and keeps the state of those that remain.
    pub(crate) fn on_document(
        &mut self,
        now: Micros,
        document: &Document,
        out: &mut Vec<ControlAction>,
    ) {
        let is_first = self.entries.is_empty();
        let mut old_entries: HashMap<TargetId, TargetEntry> = std::mem::take(&mut self.entries)
            .into_iter()
            .map(|entry| (TargetId::new(&entry.service, &entry.name), entry))
            .collect();
        self.index.clear();
        for (service, declared) in &document.services {
            for (name, target) in &declared.targets {
                let id = TargetId::new(service, name);
                // A target with a new address is another process, whose state is unknown.
                let kept_entry = old_entries
                    .remove(&id)
                    .filter(|entry| entry.declared.address == target.address);
                let mut entry = kept_entry.unwrap_or_else(|| {
                    TargetEntry::new(
                        now,
                        service.clone(),
                        name.clone(),
                        target.clone(),
                        &self.chart,
                    )
                });
                let previous = entry.declared.state;
                entry.declared = target.clone();
                if target.state == TargetState::Draining {
                    entry.apply_input(&self.chart, now, Input::Drain, out);
                } else if previous == TargetState::Draining {
                    entry.apply_input(&self.chart, now, Input::Resume, out);
                } else if is_first {
                    entry.apply_input(&self.chart, now, Input::Assumed, out);
                } else if target.health.is_none() && entry.state == State::New {
                    entry.apply_input(&self.chart, now, Input::Waited, out);
                }
                self.index.insert(id, self.entries.len());
                self.entries.push(entry);
            }
        }
        self.panic_mode
            .retain(|service, _| document.services.contains_key(service));
        self.update_panic_mode(out);
    }

    /// Handles the result of an active health check. Returns whether a state changed.
    pub(crate) fn on_report(
        &mut self,
        now: Micros,
        report: HealthReport,
        out: &mut Vec<ControlAction>,
    ) -> bool {
        let input = self
            .entry(report.target)
            .and_then(|entry| entry.count_report(now, report));
        let Some(input) = input else {
            return false;
        };
        self.apply_input(now, report.target, input, out)
    }

    /// Handles an observation of a shard. Returns whether a state changed.
    pub(crate) fn on_observed(
        &mut self,
        now: Micros,
        shard: u16,
        observation: Observation,
        out: &mut Vec<ControlAction>,
    ) -> bool {
        let (target, input) = match observation {
            Observation::Answered { target, .. } => (target, Input::Answered),
            Observation::Draining(target) => (target, Input::Drain),
            Observation::Overloaded(target) => (target, Input::Shed),
            Observation::TimedOut(target) => (target, Input::Silence),
            Observation::InFlight { target, count } => {
                self.set_count(shard, target, count, |entry| &mut entry.in_flight);
                return false;
            }
            Observation::Flows { target, count } => {
                self.set_count(shard, target, count, |entry| &mut entry.flows);
                return false;
            }
        };
        let Some(entry) = self.entry(target) else {
            return false;
        };
        entry.record_observation(now, input);
        self.apply_input(now, target, input, out)
    }

    /// Applies the timeouts of states. Returns whether a state changed.
    pub(crate) fn on_tick(&mut self, now: Micros, out: &mut Vec<ControlAction>) -> bool {
        let mut is_changed = false;
        for entry in &mut self.entries {
            if let Some(input) = entry.timeout_input(now) {
                is_changed |= entry.apply_input(&self.chart, now, input, out);
            }
        }
        if is_changed {
            self.update_panic_mode(out);
        }
        is_changed
    }

    /// Returns the sum of the ramps of all warming targets, used to detect changes.
    pub(crate) fn ramp_sum(&self, now: Micros) -> u64 {
        self.entries
            .iter()
            .filter(|entry| entry.state == State::Warming)
            .map(|entry| u64::from(entry.ramp_permille(now)))
            .sum()
    }

    /// Returns this instance's requests in flight per target, encoded for heartbeats. It is empty
    /// if the document has more targets than fit a datagram.
    pub(crate) fn load_vector(&self) -> Vec<u8> {
        if self.entries.len() > MAX_LOAD_TARGETS {
            return Vec::new();
        }
        self.entries
            .iter()
            .map(|entry| {
                let count: u32 = entry.in_flight.iter().sum();
                u8::try_from(count).unwrap_or(u8::MAX)
            })
            .collect()
    }

    /// Returns this instance's flows per target, encoded for heartbeats. It is empty if the
    /// document has more targets than fit a datagram besides the load vector.
    pub(crate) fn flow_vector(&self) -> Vec<u8> {
        if self.entries.len() > MAX_FLOW_TARGETS {
            return Vec::new();
        }
        self.entries
            .iter()
            .flat_map(|entry| {
                let count: u64 = entry.flows.iter().copied().map(u64::from).sum();
                u16::try_from(count).unwrap_or(u16::MAX).to_le_bytes()
            })
            .collect()
    }

    /// Returns the targets for a view, with the loads and flow counts that `peers` reported.
    pub(crate) fn views<'a>(
        &self,
        now: Micros,
        root_hash: ContentHash,
        peers: impl Iterator<Item = &'a Peer>,
    ) -> HashMap<TargetId, TargetView> {
        let mut reported = vec![(0_u32, 0_u32); self.entries.len()];
        // Vectors that refer to another document are skipped, since their positions stand for other
        // targets.
        for peer in peers {
            let load = peer.load.as_ref();
            if let Some(load) = load.filter(|load| load.root_hash == root_hash) {
                for ((sum, _), &count) in reported.iter_mut().zip(&load.in_flight) {
                    *sum += u32::from(count);
                }
            }
            let counts = peer.flows.as_ref();
            if let Some(counts) = counts.filter(|counts| counts.root_hash == root_hash) {
                for ((_, sum), &count) in reported.iter_mut().zip(&counts.flows) {
                    *sum += u32::from(count);
                }
            }
        }
        self.index
            .iter()
            .filter_map(|(&id, &index)| Some((id, self.entries.get(index)?, reported.get(index)?)))
            .map(|(id, entry, &(peers_in_flight, peers_flows))| {
                let is_in_panic_mode = self.panic_mode.get(&entry.service) == Some(&true);
                let view = TargetView {
                    service: entry.service.clone(),
                    name: entry.name.clone(),
                    declared: entry.declared.clone(),
                    accepts_new: entry.accepts_new(is_in_panic_mode),
                    ramp_permille: entry.ramp_permille(now),
                    peers_in_flight,
                    peers_flows,
                };
                (id, view)
            })
            .collect()
    }

    fn entry(&mut self, target: TargetId) -> Option<&mut TargetEntry> {
        let index = *self.index.get(&target)?;
        self.entries.get_mut(index)
    }

    fn set_count(
        &mut self,
        shard: u16,
        target: TargetId,
        count: u32,
        counts_of: fn(&mut TargetEntry) -> &mut Vec<u32>,
    ) {
        let Some(entry) = self.entry(target) else {
            return;
        };
        let counts = counts_of(entry);
        let shard = usize::from(shard);
        if counts.len() <= shard {
            counts.resize(shard + 1, 0);
        }
        counts[shard] = count;
    }

    fn apply_input(
        &mut self,
        now: Micros,
        target: TargetId,
        input: Input,
        out: &mut Vec<ControlAction>,
    ) -> bool {
        let index = self.index.get(&target).copied();
        let Some(entry) = index.and_then(|index| self.entries.get_mut(index)) else {
            return false;
        };
        let is_changed = entry.apply_input(&self.chart, now, input, out);
        if is_changed {
            self.update_panic_mode(out);
        }
        is_changed
    }

    /// Enters or leaves panic mode per service. If more than half of a service's targets look down,
    /// it is more likely that the health information is wrong. Targets that were not seen yet count
    /// too, so that a new service has targets at once.
    fn update_panic_mode(&mut self, out: &mut Vec<ControlAction>) {
        let mut counts: BTreeMap<&ServiceName, (usize, usize, usize)> = BTreeMap::new();
        for entry in &self.entries {
            if entry.declared.state == TargetState::Serving {
                let (all, down, new) = counts.entry(&entry.service).or_default();
                *all += 1;
                *down += usize::from(entry.is_considered_down());
                *new += usize::from(entry.state == State::New);
            }
        }
        for (service, (all, down, new)) in counts {
            let is_in_panic_mode = 2 * (down + new) > all;
            let was_in_panic_mode = self
                .panic_mode
                .insert(service.clone(), is_in_panic_mode)
                .unwrap_or(false);
            if is_in_panic_mode && !was_in_panic_mode && 2 * down > all {
                out.push(ControlAction::Log(ControlLogEvent::PanicModeEntered {
                    service: service.to_string(),
                }));
            }
        }
    }
}
