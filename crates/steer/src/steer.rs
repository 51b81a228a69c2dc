//! The state of one instance, and the entry points for packets, timers and view changes.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use hashbrown::HashMap;
use ids::{Micros, Millis};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::admission::Admission;
use crate::cold_start::ColdStart;
use crate::flow::{FlowTable, Stage};
use crate::flow_demand::FlowDemand;
use crate::load::RouteLoad;
use crate::model::{Change, TargetId, Update};
use crate::packet::{FlowId, PacketKind, Segment};
use crate::passive_health::Request;
use crate::peers::Members;
use crate::retry_budget::RetryBudget;
use crate::revision::Revision;
use crate::settings::Settings;
use crate::spill::SpillState;
use crate::verdict::{Destination, Note, Verdict};
use crate::view::View;
use crate::work::Work;

/// The steering core of one instance.
#[derive(Debug)]
pub struct Steer {
    pub(crate) settings: Settings,
    pub(crate) view: View,
    pub(crate) flows: FlowTable,
    /// Handshake timeouts of opening packets, the earliest first.
    pub(crate) openings: VecDeque<(Micros, FlowId)>,
    pub(crate) slowest_handshake_us: u64,
    pub(crate) retry_budget: RetryBudget,
    /// Requests to check for stalls, the earliest timeout first.
    pub(crate) requests: VecDeque<Request>,
    pub(crate) mean_response_us: u64,
    /// Admission to each service whose load was reported.
    pub(crate) admissions: HashMap<SmolStr, Admission>,
    /// What is usual for the responses of each route.
    pub(crate) route_loads: HashMap<SocketAddrV4, RouteLoad>,
    /// Demand of the open flows of each route.
    pub(crate) flow_demands: HashMap<SocketAddrV4, FlowDemand>,
    /// Busy time of the targets of the failure domain.
    pub(crate) work: Work,
    /// Mean time of handshakes.
    pub(crate) mean_handshake_us: u64,
    pub(crate) last_response_at: Micros,
    pub(crate) cold_start: ColdStart,
    pub(crate) spill: SpillState,
    pub(crate) has_queued_requests: bool,
    /// Since when requests have been waiting in all reports.
    pub(crate) queued_since: Micros,
    /// Time from which on the next report of callers may be sent.
    pub(crate) callers_due_at: Micros,
    pub(crate) domain_loads_at: Option<Micros>,
    /// From when on reports show that a target is alive.
    pub(crate) alive_from: Micros,
    /// Targets with something to report. Walking all targets takes too long in large fleets.
    pub(crate) loaded_targets: Vec<TargetId>,
    /// Targets in the last report of the failure domain.
    pub(crate) reported_targets: Vec<TargetId>,
    pub(crate) random: SmallRng,
    pub(crate) notes: Vec<Note>,
}

impl Steer {
    /// Creates a core without a view. The random generator that breaks ties between targets starts
    /// from `seed`.
    ///
    /// # Errors
    /// Fails if the state chart of targets is invalid.
    pub fn new(settings: Settings, seed: u64) -> chart::Result<Self> {
        Ok(Self {
            flows: FlowTable::new(settings.max_flows),
            settings,
            view: View::new()?,
            openings: VecDeque::new(),
            slowest_handshake_us: 0,
            retry_budget: RetryBudget::default(),
            requests: VecDeque::new(),
            mean_response_us: 0,
            admissions: HashMap::new(),
            route_loads: HashMap::new(),
            flow_demands: HashMap::new(),
            work: Work::default(),
            mean_handshake_us: 0,
            last_response_at: Micros(0),
            cold_start: ColdStart::default(),
            spill: SpillState::default(),
            has_queued_requests: false,
            queued_since: Micros(0),
            callers_due_at: Micros(0),
            domain_loads_at: None,
            alive_from: Micros(0),
            loaded_targets: Vec::new(),
            reported_targets: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            notes: Vec::new(),
        })
    }

    /// Returns the view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Takes the notes added since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Returns an emptied list of notes for reuse of its memory.
    pub fn return_notes(&mut self, emptied: Vec<Note>) {
        if self.notes.is_empty() {
            self.notes = emptied;
        }
    }

    /// Applies a complete snapshot of the published data.
    pub fn apply_snapshot(&mut self, now: Micros, revision: Revision, updates: Vec<Update>) {
        let lapse_grace = self.settings.lapse_grace;
        let reported = self.reported_targets(&updates);
        let view_changes = self
            .view
            .apply_snapshot(now, revision, updates, lapse_grace);
        self.insert_cold(now, reported);
        self.notes
            .extend(view_changes.into_iter().map(Note::ViewChanged));
    }

    /// Applies changes up to a revision.
    pub fn apply_changes(&mut self, now: Micros, revision: Revision, updates: Vec<Update>) {
        let lapse_grace = self.settings.lapse_grace;
        let reported = self.reported_targets(&updates);
        let view_changes = self.view.apply_changes(now, revision, updates, lapse_grace);
        self.insert_cold(now, reported);
        self.notes
            .extend(view_changes.into_iter().map(Note::ViewChanged));
    }

    /// Returns the targets that the updates report, if cold targets are limited.
    fn reported_targets(&self, updates: &[Update]) -> Vec<TargetId> {
        if self.settings.cold_limit.is_none() {
            return Vec::new();
        }
        updates
            .iter()
            .filter_map(|update| match &update.change {
                Change::Target(target) if target.warmup > Millis(0) => Some(target.id),
                _ => None,
            })
            .collect()
    }

    fn insert_cold(&mut self, now: Micros, reported: Vec<TargetId>) {
        for id in reported {
            if self
                .view
                .record(id)
                .is_some_and(|record| record.is_cold(now))
            {
                self.cold_start.insert(id);
            }
        }
    }

    /// Replaces the known members of the failure domain. Call it after each round of peer discovery.
    pub fn set_members(&mut self, now: Micros, members: Members) {
        self.cold_start.set_members(now, members);
    }

    /// Returns the number of cold targets, if they are limited.
    pub fn cold_count(&self, now: Micros) -> usize {
        self.cold_start.count(|id| {
            self.view
                .record(id)
                .is_some_and(|record| record.is_cold(now))
        })
    }

    /// Decides what to do with a packet, given as its decoded header and all its bytes.
    pub fn on_segment(&mut self, now: Micros, segment: &Segment, packet: &[u8]) -> Verdict {
        self.detect_stalled_requests(now);
        let (verdict, attribution) = match segment.kind {
            PacketKind::Open { .. } => (self.on_opening_packet(now, segment, packet), None),
            PacketKind::Data | PacketKind::Finish | PacketKind::Abort => {
                let target = self.target_of_segment(now, segment);
                let verdict = self.on_established_packet(now, segment, target);
                (verdict, target.map(|id| (segment.token, id)))
            }
        };
        match verdict {
            Verdict::Forward { .. } => {}
            Verdict::Reset(reason) => self.notes.push(Note::Reset {
                flow: segment.flow,
                reason,
                attribution,
            }),
            Verdict::Drop(reason) => self.notes.push(Note::Dropped {
                flow: segment.flow,
                reason,
                token: segment.token,
            }),
        }
        verdict
    }

    pub(crate) fn remove_flow(&mut self, now: Micros, id: &FlowId) {
        if let Some(flow) = self.flows.remove(id) {
            self.record_flow_end(now, id, &flow);
            self.adjust_counts(flow.target, -i32::from(flow.request_sent_at.is_some()), -1);
        }
    }

    pub(crate) fn adjust_counts(&mut self, id: TargetId, waiting: i32, flows: i32) {
        let Some(record) = self.view.record_mut(id) else {
            return;
        };
        record.waiting = record.waiting.saturating_add_signed(waiting);
        record.flows = record.flows.saturating_add_signed(flows);
        if record.waiting > 0 && record.load.list() {
            self.loaded_targets.push(id);
        }
    }

    pub(crate) fn destination(&self, id: TargetId) -> Option<Destination> {
        self.view.record(id).map(|record| Destination {
            id,
            address: record.target.address,
        })
    }

    /// Removes expired flows and targets. Call it about once per second.
    pub fn sweep(&mut self, now: Micros) {
        let idle_timeout = self.view.idle_timeout();
        let (request_timeout, max_lifetime) = (
            self.settings.request_timeout,
            self.settings.max_flow_lifetime,
        );
        let mut count_changes = Vec::new();
        let mut ended_flows = Vec::new();
        self.flows.sweep(|id, flow| {
            let is_stuck = flow
                .request_sent_at
                .is_some_and(|at| now.since(at) > request_timeout);
            let is_unopened = matches!(flow.stage, Stage::Opening { .. });
            let idle_time = now.since(flow.last_packet_at);
            let is_over = idle_time > idle_timeout
                || now.since(flow.created_at) > max_lifetime
                || is_unopened && idle_time > request_timeout;
            if is_over {
                ended_flows.push((*id, *flow));
            }
            let ends_request = flow.request_sent_at.is_some() && (is_stuck || is_over);
            if ends_request {
                flow.request_sent_at = None;
            }
            if ends_request || is_over {
                count_changes.push((flow.target, -i32::from(ends_request), -i32::from(is_over)));
            }
            is_over
        });
        for (id, waiting, flows) in count_changes {
            self.adjust_counts(id, waiting, flows);
        }
        for (id, flow) in ended_flows {
            self.record_flow_end(now, &id, &flow);
        }
        let view_changes = self
            .view
            .expire(now, self.settings.lapse_grace, max_lifetime);
        let view = &self.view;
        self.cold_start.sweep(now, |id| {
            view.record(id).is_some_and(|record| record.is_cold(now))
        });
        self.notes
            .extend(view_changes.into_iter().map(Note::ViewChanged));
    }
}
