//! Periodic work on flows: new views, expiry, hand-over of records and graceful stop.

use std::net::SocketAddr;

use ids::{InstanceName, Micros, Millis};
use wire::frame::Frame;
use wire::token::TargetId;

use crate::event::ShardAction;
use crate::flow::{AffinityMethod, Flows, wrapping_ms};
use crate::flow_owners::{FlowOwners, HANDOVER_MS, settled_epoch, top_ranked};
use crate::flow_state::FlowState;
use crate::table::{FlowFlags, elapsed};
use crate::view::{Epoch, View};

/// Table slots examined for expiry per tick; a pass over 500,000 flows takes 123 ticks of 50 ms.
const EXPIRY_SLOTS_PER_TICK: usize = 4_096;

/// Table slots examined for hand-over per tick.
pub(crate) const HANDOVER_SLOTS_PER_TICK: usize = 8_192;

/// Maximum number of record queries sent per tick. Frames of the other misrouted flows are relayed
/// to their owners.
const MAX_QUERIES_PER_TICK: usize = 1_024;

/// How long the entry of a closed or lost flow is kept for late frames.
const CLOSED_RETENTION_MS: Millis = Millis(10_000);

/// State of the work that is spread over several ticks.
#[derive(Debug, Default)]
pub(crate) struct Maintenance {
    first_view_at: Option<Micros>,
    expiry_slot: usize,
    handover: Option<Handover>,
    /// Start of the newest epoch seen so far.
    newest_epoch_since: Option<Micros>,
    /// Slots of the flows that a guessed target refused since the last tick.
    misrouted_slots: Vec<u32>,
}

impl Maintenance {
    pub(crate) fn on_misroute(&mut self, slot: u32) {
        if self.misrouted_slots.len() < MAX_QUERIES_PER_TICK {
            self.misrouted_slots.push(slot);
        }
    }

    pub(crate) fn take_misrouted(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.misrouted_slots)
    }
}

/// A pass over the table that sends records to their new owners.
#[derive(Debug)]
struct Handover {
    previous: Epoch,
    slot: usize,
}

impl Flows {
    /// Returns whether the instance started less than the idle timeout ago, so that it may lack the
    /// target sets under which open flows were placed.
    pub(crate) fn is_recently_started(&self, now: Micros) -> bool {
        self.maintenance
            .first_view_at
            .is_none_or(|first| now.since(first) < self.settings.idle_timeout_ms)
    }

    /// Returns the target that sent a frame, provided that the frame's address, target and service
    /// match.
    pub fn identify_sender(
        &mut self,
        now: Micros,
        from: SocketAddr,
        frame: &Frame,
    ) -> Option<TargetId> {
        self.routes
            .identify_sender(wrapping_ms(now), from, &frame.service, &frame.target)
    }

    /// Applies a new view.
    pub fn on_view(&mut self, now: Micros, view: &View) {
        let now_ms = wrapping_ms(now);
        self.maintenance.first_view_at.get_or_insert(now);
        self.routes.update(now_ms, view);
        let uses_lookup = self.settings.method == AffinityMethod::LookupTable;
        self.services.update(now_ms, view, uses_lookup);
        self.start_handover(now, view);
    }

    fn start_handover(&mut self, now: Micros, view: &View) {
        let (Some(newest), Some(settled)) =
            (view.epochs.last(), settled_epoch(view, now, HANDOVER_MS))
        else {
            return;
        };
        // Load reports renew the view five times a second without a new epoch.
        let previous_since = self.maintenance.newest_epoch_since.replace(newest.since);
        if newest.since == settled.since || previous_since == Some(newest.since) {
            return;
        }
        match &mut self.maintenance.handover {
            // A change of peers during a pass restarts it, still compared to the peers before the
            // first change.
            Some(handover) => handover.slot = 0,
            None => {
                self.maintenance.handover = Some(Handover {
                    previous: settled.clone(),
                    slot: 0,
                });
            }
        }
    }

    /// Runs the periodic work that is due at `now`.
    pub fn on_tick(&mut self, now: Micros, view: &View, out: &mut Vec<ShardAction>) {
        let (silence_timeout_ms, idle_timeout_ms) = (
            self.settings.silence_timeout_ms,
            self.settings.idle_timeout_ms,
        );
        self.expire(now);
        self.continue_handover(now, view);
        self.queue_record_queries(now, view);
        self.routes
            .on_tick(wrapping_ms(now), silence_timeout_ms, idle_timeout_ms, out);
        self.outbox.flush(out);
    }

    fn expire(&mut self, now: Micros) {
        let now_ms = wrapping_ms(now);
        let slot_count = self.table.slot_count();
        for _ in 0..EXPIRY_SLOTS_PER_TICK.min(slot_count) {
            let slot = self.maintenance.expiry_slot % slot_count;
            self.maintenance.expiry_slot = slot + 1;
            let slot = slot as u32;
            if !self.table.is_occupied(slot) {
                continue;
            }
            let entry = self.table.get(slot);
            let is_finished = matches!(entry.state, FlowState::Closed | FlowState::Lost);
            let retention = if is_finished {
                CLOSED_RETENTION_MS
            } else {
                self.settings.idle_timeout_ms
            };
            if elapsed(now_ms, entry.last_seen_ms) > retention {
                self.remove_flow(slot);
            }
        }
    }

    fn continue_handover(&mut self, now: Micros, view: &View) {
        let Some(mut handover) = self.maintenance.handover.take() else {
            return;
        };
        let end = (handover.slot + HANDOVER_SLOTS_PER_TICK).min(self.table.slot_count());
        for slot in handover.slot..end {
            self.hand_over(now, view, slot as u32, |flow, owner| {
                top_ranked::<2>(handover.previous.peers.iter(), flow)
                    .iter()
                    .flatten()
                    .any(|peer| peer.name == *owner)
            });
        }
        handover.slot = end;
        if end < self.table.slot_count() {
            self.maintenance.handover = Some(handover);
        }
    }

    /// Queues the record of an entry for the owners that did not have it before.
    fn hand_over(
        &mut self,
        now: Micros,
        view: &View,
        slot: u32,
        had_record: impl Fn(u64, &InstanceName) -> bool,
    ) {
        let entry = self.table.get(slot);
        let is_live = matches!(entry.state, FlowState::Established | FlowState::Opening);
        if !self.table.is_occupied(slot) || !is_live || !entry.flags.has(FlowFlags::RECORDED) {
            return;
        }
        // Many instances may have an entry; only the previous owners and the instance that counts
        // the flow hand it over.
        let flow = entry.flow;
        if !entry.flags.has(FlowFlags::COUNTED) && !had_record(flow, &view.instance) {
            return;
        }
        let Some(record) = self.flow_record(wrapping_ms(now), slot) else {
            return;
        };
        for owner in FlowOwners::of(view, now, flow, self.settings.idle_timeout_ms).iter() {
            if owner.name != view.instance && !had_record(flow, &owner.name) {
                self.outbox.push(&owner.name, record.clone());
            }
        }
    }

    /// Sends every record to the peers that will own it once this instance has stopped.
    pub fn on_stop(&mut self, now: Micros, view: &View, out: &mut Vec<ShardAction>) {
        let mut remaining = view.clone();
        for epoch in &mut remaining.epochs {
            epoch.peers.retain(|peer| peer.name != view.instance);
        }
        for slot in 0..self.table.slot_count() {
            self.hand_over(now, &remaining, slot as u32, |_, name| {
                *name == view.instance
            });
        }
        self.outbox.flush(out);
    }
}
