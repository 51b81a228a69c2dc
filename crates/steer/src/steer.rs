//! The state of one instance, and the way of one packet from the caller's segment to a verdict.

use std::collections::VecDeque;

use ids::Micros;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::flow::{Flows, Stage};
use crate::judging::Request;
use crate::model::{TargetId, Update};
use crate::packet::{FlowId, Kind, Segment};
use crate::settings::Settings;
use crate::verdict::{Destination, Note, Verdict};
use crate::view::View;

/// The steering of one instance.
#[derive(Debug)]
pub struct Steer {
    pub(crate) settings: Settings,
    pub(crate) view: View,
    pub(crate) flows: Flows,
    /// Opening packets that wait for a handshake, the earliest due time first.
    pub(crate) openings: VecDeque<(Micros, FlowId)>,
    pub(crate) slowest_handshake_us: u64,
    /// Requests under way, the one first that is the first to count as stalled.
    pub(crate) requests: VecDeque<Request>,
    pub(crate) usual_answer_us: u64,
    pub(crate) heard_at: Micros,
    pub(crate) random: SmallRng,
    pub(crate) notes: Vec<Note>,
}

impl Steer {
    /// Creates a steering without a view; `seed` decides between equal targets.
    ///
    /// # Errors
    /// Fails when the chart of a target's standing is not valid.
    pub fn new(settings: Settings, seed: u64) -> chart::Result<Self> {
        Ok(Self {
            flows: Flows::new(settings.max_flows),
            settings,
            view: View::new()?,
            openings: VecDeque::new(),
            slowest_handshake_us: 0,
            requests: VecDeque::new(),
            usual_answer_us: 0,
            heard_at: Micros(0),
            random: SmallRng::seed_from_u64(seed),
            notes: Vec::new(),
        })
    }

    /// Returns the view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the number of flows in the table.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Takes the notes made since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Gives back the emptied list of notes, so that its memory is used again.
    pub fn return_notes(&mut self, emptied: Vec<Note>) {
        if self.notes.is_empty() {
            self.notes = emptied;
        }
    }

    /// Takes a complete reading of what is published at a revision.
    pub fn replace_view(&mut self, now: Micros, revision: u64, updates: Vec<Update>) {
        let lapse = self.settings.lapse;
        let effects = self.view.replace(now, revision, updates, lapse);
        self.notes.extend(effects.into_iter().map(Note::View));
    }

    /// Takes changes up to a revision.
    pub fn update_view(&mut self, now: Micros, revision: u64, updates: Vec<Update>) {
        let lapse = self.settings.lapse;
        let effects = self.view.update(now, revision, updates, lapse);
        self.notes.extend(effects.into_iter().map(Note::View));
    }

    /// Decides what to do with a packet; `packet` is the whole of it.
    pub fn on_segment(&mut self, now: Micros, segment: &Segment, packet: &[u8]) -> Verdict {
        self.find_stalled(now);
        let verdict = match segment.kind {
            Kind::Open { .. } => self.open(now, segment, packet),
            Kind::Data | Kind::Finish | Kind::Abort => self.follow(now, segment),
        };
        match verdict {
            Verdict::Forward { .. } => {}
            Verdict::Reset(reason) => self.notes.push(Note::Reset {
                flow: segment.flow,
                reason,
            }),
            Verdict::Drop(reason) => self.notes.push(Note::Dropped {
                flow: segment.flow,
                reason,
                token: segment.token,
            }),
        }
        verdict
    }

    pub(crate) fn end(&mut self, id: &FlowId) {
        if let Some(flow) = self.flows.remove(id) {
            self.count(flow.target, -i32::from(flow.asked_at.is_some()), -1);
        }
    }

    pub(crate) fn count(&mut self, id: TargetId, waiting: i32, flows: i32) {
        if let Some(member) = self.view.member_mut(id) {
            member.waiting = member.waiting.saturating_add_signed(waiting);
            member.flows = member.flows.saturating_add_signed(flows);
        }
    }

    pub(crate) fn destination(&self, id: TargetId) -> Option<Destination> {
        self.view.member(id).map(|member| Destination {
            id,
            address: member.target.address,
        })
    }

    /// Forgets flows and targets that are over. To be called about once a second.
    pub fn sweep(&mut self, now: Micros) {
        let idle = self.view.idle();
        let (max_request, life) = (self.settings.max_request, self.settings.flow_life);
        let mut changes = Vec::new();
        self.flows.sweep(|flow| {
            let is_stuck = flow.asked_at.is_some_and(|at| now.since(at) > max_request);
            let is_unopened = matches!(flow.stage, Stage::Opening { .. });
            let quiet = now.since(flow.seen_at);
            let is_over =
                quiet > idle || now.since(flow.since) > life || is_unopened && quiet > max_request;
            let counted = flow.asked_at.is_some() && (is_stuck || is_over);
            if counted {
                flow.asked_at = None;
            }
            if counted || is_over {
                changes.push((flow.target, -i32::from(counted), -i32::from(is_over)));
            }
            is_over
        });
        for (id, waiting, flows) in changes {
            self.count(id, waiting, flows);
        }
        let effects = self.view.expire(now, self.settings.lapse, life);
        self.notes.extend(effects.into_iter().map(Note::View));
    }
}
