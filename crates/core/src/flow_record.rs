//! Records of flows that placement by the target sets would route to a wrong target.

use ids::{InstanceName, Micros, Millis};
use wire::frame::Frame;
use wire::peer::FlowRecord;
use wire::token::TargetId;

use crate::event::ShardAction;
use crate::flow::{Flows, FrameContext, wrapping_ms};
use crate::flow_owners::FlowOwners;
use crate::flow_state::{FlowEvent, FlowState};
use crate::table::{FlowEntry, FlowFlags, WrappingMs, elapsed};
use crate::view::View;

/// Idle time that marks a record as a query. A query names a target that refused the flow and asks
/// the owner to send the correct record to all peers. Without it, the first frame of the flow at
/// each instance would be lost.
const QUERY_MARKER_IDLE_MS: u32 = u32::MAX;

impl Flows {
    /// Sends a record of a flow that placement by the target sets would route to a wrong target,
    /// and renews the record when that is due.
    pub(crate) fn maintain_record(
        &mut self,
        ctx: FrameContext<'_>,
        slot: u32,
        frame: &Frame,
        generation: u8,
    ) {
        let (now_ms, renewal_ms) = (ctx.now_ms(), self.record_renewal_ms());
        let entry = self.table.get_mut(slot);
        if entry.state != FlowState::Established {
            return;
        }
        let is_echoed = entry.flags.has(FlowFlags::ECHO) && !frame.token.is_empty();
        if is_echoed {
            return;
        }
        if entry.flags.has(FlowFlags::RECORDED) {
            let is_due = elapsed(now_ms, entry.record_sent_ms) >= renewal_ms;
            if is_due {
                entry.record_sent_ms = now_ms;
                self.queue_record(ctx.now, ctx.view, slot);
            }
            return;
        }
        // A flow with the echo flag gets here only after its caller stopped echoing.
        let is_current_generation =
            entry.generation == generation && !entry.flags.has(FlowFlags::ECHO);
        if is_current_generation {
            return;
        }
        entry.generation = generation;
        let Some(service) = self.services.get(&frame.service) else {
            return;
        };
        if service.needs_record(entry.target, &frame.domain, frame.flow) {
            entry.flags.set(FlowFlags::RECORDED, true);
            entry.record_sent_ms = now_ms;
            self.queue_record(ctx.now, ctx.view, slot);
        } else {
            entry.flags.set(FlowFlags::ECHO, false);
        }
    }

    /// Returns the owners of a flow other than this instance.
    pub(crate) fn other_owners(&self, ctx: FrameContext<'_>, flow: u64) -> Vec<InstanceName> {
        FlowOwners::of(ctx.view, ctx.now, flow, self.settings.idle_timeout_ms)
            .iter()
            .filter(|owner| owner.name != ctx.view.instance)
            .map(|owner| owner.name.clone())
            .collect()
    }

    /// Builds the record of an entry, or returns `None` if its service is unknown.
    pub(crate) fn flow_record(&self, now_ms: WrappingMs, slot: u32) -> Option<FlowRecord> {
        let entry = self.table.get(slot);
        Some(FlowRecord {
            flow: entry.flow,
            target: entry.target.0,
            service: self.services.name(entry.service)?.to_string(),
            idle_ms: elapsed(now_ms, entry.last_seen_ms).0 as u32,
        })
    }

    /// Queues the record of an entry for the owners of its flow. An instance that is no owner sends
    /// only to the first owner, which forwards the record: otherwise each instance that sees the
    /// flow would send it to every owner.
    pub(crate) fn queue_record(&mut self, now: Micros, view: &View, slot: u32) {
        let Some(record) = self.flow_record(wrapping_ms(now), slot) else {
            return;
        };
        let owners = FlowOwners::of(view, now, record.flow, self.settings.idle_timeout_ms);
        let max_receivers = if owners.contains(&view.instance) {
            usize::MAX
        } else {
            1
        };
        for owner in owners
            .iter()
            .filter(|owner| owner.name != view.instance)
            .take(max_receivers)
        {
            self.outbox.push(&owner.name, record.clone());
        }
    }

    /// Handles flow records and queries from a peer.
    pub fn on_records(
        &mut self,
        now: Micros,
        view: &View,
        records: Vec<FlowRecord>,
        out: &mut Vec<ShardAction>,
    ) {
        for record in records {
            self.on_record(now, view, &record, out);
        }
    }

    fn on_record(
        &mut self,
        now: Micros,
        view: &View,
        record: &FlowRecord,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(service) = self.services.get(&record.service) else {
            return;
        };
        let (index, generation) = (service.index, service.generation);
        if record.idle_ms == QUERY_MARKER_IDLE_MS {
            self.answer_query(now, view, index, record);
            return;
        }
        let owners = FlowOwners::of(view, now, record.flow, self.settings.idle_timeout_ms);
        let is_owner = owners.contains(&view.instance);
        let slot = match self.table.find(index, record.flow) {
            Some(slot) => slot,
            None => self.insert_from_record(now, index, generation, record, out),
        };
        let now_ms = wrapping_ms(now);
        let last_seen_ms = now_ms.wrapping_sub(record.idle_ms);
        let renewal_ms = self.record_renewal_ms();
        let entry = self.table.get_mut(slot);
        if entry.state.is_uncertain() {
            entry.target = TargetId(record.target);
            entry.state = entry.state.after(FlowEvent::Learn);
        }
        if entry.target != TargetId(record.target) {
            return;
        }
        if elapsed(now_ms, entry.last_seen_ms) > elapsed(now_ms, last_seen_ms) {
            entry.last_seen_ms = last_seen_ms;
        }
        let must_update = !entry.flags.has(FlowFlags::RECORDED)
            || elapsed(now_ms, entry.record_sent_ms) >= renewal_ms;
        if !is_owner || !must_update {
            return;
        }
        entry.flags.set(FlowFlags::RECORDED, true);
        entry.record_sent_ms = now_ms;
        let is_first = owners
            .iter()
            .next()
            .is_some_and(|first| first.name == view.instance);
        if is_first {
            self.queue_record(now, view, slot);
        }
    }

    /// Queues queries to the owners of flows that were routed to a wrong target.
    pub(crate) fn queue_record_queries(&mut self, now: Micros, view: &View) {
        for slot in self.maintenance.take_misrouted() {
            if !self.table.is_occupied(slot) || self.table.get(slot).state != FlowState::Querying {
                continue;
            }
            let Some(mut record) = self.flow_record(wrapping_ms(now), slot) else {
                continue;
            };
            record.idle_ms = QUERY_MARKER_IDLE_MS;
            let owners = FlowOwners::of(view, now, record.flow, self.settings.idle_timeout_ms);
            if let Some(owner) = owners.queried().find(|owner| owner.name != view.instance) {
                self.outbox.push(&owner.name, record);
            }
        }
    }

    fn answer_query(&mut self, now: Micros, view: &View, index: u16, query: &FlowRecord) {
        let Some(slot) = self.table.find(index, query.flow) else {
            return;
        };
        let entry = self.table.get(slot);
        let is_known = entry.state == FlowState::Established && entry.target.0 != query.target;
        let (Some(epoch), Some(record)) = (
            view.current_epoch(),
            self.flow_record(wrapping_ms(now), slot),
        ) else {
            return;
        };
        for peer in epoch
            .peers
            .iter()
            .filter(|peer| is_known && peer.name != view.instance)
        {
            self.outbox.push(&peer.name, record.clone());
        }
    }

    fn insert_from_record(
        &mut self,
        now: Micros,
        index: u16,
        generation: u8,
        record: &FlowRecord,
        out: &mut Vec<ShardAction>,
    ) -> u32 {
        let state = FlowState::Absent.after(FlowEvent::Learn);
        let mut entry = FlowEntry::new(index, record.flow, TargetId(record.target), state);
        entry.last_seen_ms = wrapping_ms(now).wrapping_sub(record.idle_ms);
        entry.record_sent_ms = wrapping_ms(now);
        entry.generation = generation;
        let (slot, evicted) = self.table.insert(entry);
        self.on_evicted(evicted, out);
        slot
    }

    /// Returns the interval at which records are renewed. At a quarter of the idle timeout, two
    /// lost renewals in a row do not let a record expire.
    fn record_renewal_ms(&self) -> Millis {
        Millis(self.settings.idle_timeout_ms.0 / 4)
    }
}
