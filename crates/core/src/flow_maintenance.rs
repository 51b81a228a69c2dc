//! Views, ticks, records and the stop of a shard's flows.

use std::net::SocketAddr;

use ids::{InstanceName, Micros, Millis};
use wire::frame::Frame;
use wire::token::TargetId;

use crate::event::ShardAction;
use crate::flow::{AffinityMethod, Flows, wrapping_ms};
use crate::flow_state::FlowState;
use crate::owners::{HANDOVER_MS, Owners, best, settled_epoch};
use crate::table::{FlowFlags, elapsed};
use crate::view::{Epoch, View};

/// Table slots examined for expiry per tick; a pass over 500,000 flows takes 123 ticks of 50 ms.
const EXPIRY_SLOTS_PER_TICK: usize = 4_096;

/// Table slots examined for hand-over per tick.
pub(crate) const HANDOVER_SLOTS_PER_TICK: usize = 8_192;

/// Queries for records sent per tick. The frames of further flows ask on their own.
const MAX_QUERIES_PER_TICK: usize = 1_024;

/// Time for which an entry of a closed or lost flow is kept for late frames.
const CLOSED_RETENTION_MS: Millis = Millis(10_000);

/// Work that is spread over ticks.
#[derive(Debug, Default)]
pub(crate) struct Maintenance {
    first_view_at: Option<Micros>,
    expiry_slot: usize,
    handover: Option<Handover>,
    /// Begin of the newest epoch seen.
    newest_epoch_since: Option<Micros>,
    /// Slots of flows whose guessed target refused them since the last tick.
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

/// A pass over the table that sends records to owners they did not have before.
#[derive(Debug)]
struct Handover {
    previous: Epoch,
    slot: usize,
}

impl Flows {
    /// Tells whether the instance started so recently that it may not know the target sets under
    /// which live flows were opened.
    pub(crate) fn is_recently_started(&self, now: Micros) -> bool {
        self.maintenance
            .first_view_at
            .is_none_or(|first| now.since(first) < self.settings.idle_timeout_ms)
    }

    /// Returns the target that sent a frame, if its address is that of the target and service that
    /// the frame names.
    pub fn identify_sender(
        &mut self,
        now: Micros,
        from: SocketAddr,
        frame: &Frame,
    ) -> Option<TargetId> {
        self.routes
            .identify_sender(wrapping_ms(now), from, &frame.service, &frame.target)
    }

    /// Takes a new view.
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
        // Views also change with the load, five times a second.
        let previous_since = self.maintenance.newest_epoch_since.replace(newest.since);
        if newest.since == settled.since || previous_since == Some(newest.since) {
            return;
        }
        match &mut self.maintenance.handover {
            // Another change during a pass starts it anew, from the peers before the first change.
            Some(handover) => handover.slot = 0,
            None => {
                self.maintenance.handover = Some(Handover {
                    previous: settled.clone(),
                    slot: 0,
                });
            }
        }
    }

    /// Does what is due at time `now`.
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
                best::<2>(handover.previous.peers.iter(), flow)
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

    /// Sends the record of an entry to those of its owners that did not have it before.
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
        // Of all the instances that see the flow, its owners and the one that opened it suffice.
        let flow = entry.flow;
        if !entry.flags.has(FlowFlags::COUNTED) && !had_record(flow, &view.instance) {
            return;
        }
        let Some(record) = self.flow_record(wrapping_ms(now), slot) else {
            return;
        };
        for owner in Owners::of(view, now, flow, self.settings.idle_timeout_ms).iter() {
            if owner.name != view.instance && !had_record(flow, &owner.name) {
                self.outbox.push(&owner.name, record.clone());
            }
        }
    }

    /// Sends every record to the peers that own it once this instance is gone.
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
