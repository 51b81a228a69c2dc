//! Flow affinity: every frame of a flow goes to the target that the flow was opened on.
//!
//! See section 5 of [the design](../../../docs/design.md) and
//! [the page about flows](../../../docs/flows.md).

use std::mem;

use ids::{InstanceName, Micros, Millis};
use wire::frame::{Frame, Kind, Refusal};
use wire::seal::Keys;
use wire::token::{self, TargetId};

use crate::event::{CounterEvent, ShardAction};
use crate::flow_maintenance::Maintenance;
use crate::flow_owners::RecordOutbox;
use crate::flow_state::{FlowEvent, FlowState};
use crate::routes::{MIN_UNANSWERED_KEEP_ALIVES, Routes};
use crate::services::Services;
use crate::shard::send_refusal;
use crate::table::{FlowEntry, FlowFlags, FlowTable, WrappingMs, elapsed};
use crate::view::View;

/// How the target of an open flow is found, see section 5 of
/// [the design](../../../docs/design.md).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AffinityMethod {
    /// A Maglev lookup table over the current targets and a local flow table. Serves as the
    /// baseline for comparisons.
    LookupTable,
    /// Placement by the current and past target sets. Flows that these would route to a wrong
    /// target have a record at two owners.
    TargetSets,
    /// A sealed token that the caller echoes. Flows of callers that do not echo use `TargetSets`.
    Token,
}

/// Settings of flow handling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowSettings {
    /// How the target of an open flow is found.
    pub method: AffinityMethod,
    /// Time without frames after which a flow is removed.
    pub idle_timeout_ms: Millis,
    /// Time without a reply to keep-alives after which a flow counts as silent.
    pub silence_timeout_ms: Millis,
    /// Maximum number of flow table entries per shard.
    pub capacity_flows: usize,
}

impl Default for FlowSettings {
    fn default() -> Self {
        Self {
            method: AffinityMethod::Token,
            idle_timeout_ms: Millis(300_000),
            silence_timeout_ms: Millis(5_000),
            capacity_flows: 500_000,
        }
    }
}

/// Flows of one shard.
#[derive(Debug)]
pub struct Flows {
    pub(crate) settings: FlowSettings,
    pub(crate) keys: Keys,
    pub(crate) table: FlowTable,
    pub(crate) routes: Routes,
    pub(crate) services: Services,
    pub(crate) outbox: RecordOutbox,
    pub(crate) maintenance: Maintenance,
}

/// When and how a caller's frame arrived, and the view that applies to it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FrameContext<'a> {
    pub(crate) now: Micros,
    pub(crate) view: &'a View,
    /// Peer that relayed the frame, if it did not come from the caller directly.
    pub(crate) relayed_by: Option<&'a InstanceName>,
    pub(crate) hops: u32,
}

impl FrameContext<'_> {
    pub(crate) fn now_ms(self) -> WrappingMs {
        wrapping_ms(self.now)
    }
}

/// Converts a time to the 32-bit milliseconds of flow table entries.
pub(crate) fn wrapping_ms(now: Micros) -> WrappingMs {
    (now.0 / 1_000) as WrappingMs
}

impl Flows {
    /// Creates an empty flow table with the given settings and keys.
    pub fn new(settings: FlowSettings, keys: Keys) -> Self {
        let tag = keys.tag(&[b"pollenpin flow table 1"]);
        let seed = tag
            .iter()
            .fold(0_u64, |seed, byte| seed.rotate_left(8) ^ u64::from(*byte));
        Self {
            table: FlowTable::new(settings.capacity_flows, seed),
            settings,
            keys,
            routes: Routes::default(),
            services: Services::default(),
            outbox: RecordOutbox::default(),
            maintenance: Maintenance::default(),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &FlowSettings {
        &self.settings
    }

    /// Returns the number of flows in the table.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether the table has no flows.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether the table contains a flow.
    pub fn contains(&self, service: &str, flow: u64) -> bool {
        self.services
            .get(service)
            .is_some_and(|service| self.table.find(service.index, flow).is_some())
    }

    /// Returns the number of bytes allocated by the flow table.
    pub fn allocated_bytes(&self) -> usize {
        self.table.allocated_bytes()
    }

    /// Handles a frame from a caller; `from` is the peer that relayed it, if any.
    pub fn on_caller_frame(
        &mut self,
        now: Micros,
        view: &View,
        frame: &mut Frame,
        from: Option<&InstanceName>,
        hops: u32,
        out: &mut Vec<ShardAction>,
    ) {
        let ctx = FrameContext {
            now,
            view,
            relayed_by: from,
            hops,
        };
        let Some(service) = self.services.get(&frame.service) else {
            send_refusal(frame, Refusal::UnknownService, out);
            return;
        };
        let (index, generation) = (service.index, service.generation);
        match self.table.find(index, frame.flow) {
            Some(slot) => self.on_known_flow(ctx, slot, generation, frame, out),
            None if frame.kind() == Kind::Open => self.open_flow(ctx, frame, out),
            None => self.on_unknown_flow(ctx, frame, out),
        }
    }

    fn on_known_flow(
        &mut self,
        ctx: FrameContext<'_>,
        slot: u32,
        generation: u8,
        frame: &mut Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let entry = *self.table.get(slot);
        match entry.state {
            FlowState::Lost => {
                send_refusal(frame, Refusal::FlowLost, out);
                return;
            }
            FlowState::Querying if frame.kind() == Kind::Open => {
                self.remove_flow(slot);
                self.open_flow(ctx, frame, out);
                return;
            }
            _ => {}
        }
        self.apply_token(slot, frame);
        if self.table.get(slot).state == FlowState::Querying {
            self.relay_or_retry(ctx, slot, frame, out);
            return;
        }
        if self.must_relay_keep_alive(ctx, slot, frame) && self.relay_to_owner(ctx, frame, out) {
            self.table.get_mut(slot).last_seen_ms = ctx.now_ms();
            return;
        }
        if self.settings.method != AffinityMethod::LookupTable {
            self.maintain_record(ctx, slot, frame, generation);
        }
        let event = match frame.kind() {
            Kind::Open => Some(FlowEvent::Open),
            Kind::Close => Some(FlowEvent::Close),
            _ => None,
        };
        let entry = self.table.get_mut(slot);
        if let Some(event) = event {
            entry.state = entry.state.after(event);
        }
        let is_finished = entry.state == FlowState::Closed;
        if !is_finished || event.is_some() {
            entry.last_seen_ms = ctx.now_ms();
        }
        self.table.promote(slot);
        if is_finished {
            self.stop_counting(slot);
        }
        self.forward_to_target(ctx, slot, frame, out);
    }

    /// Sets the target of an entry to the one that the frame's token names, if the token is valid.
    fn apply_token(&mut self, slot: u32, frame: &Frame) {
        if self.settings.method != AffinityMethod::Token || frame.token.is_empty() {
            return;
        }
        let entry = self.table.get(slot);
        let is_certain = matches!(entry.state, FlowState::Established | FlowState::Closed);
        if is_certain && token::unverified_target(&frame.token) == Some(entry.target) {
            return;
        }
        let Ok(target) = token::open(&self.keys, &frame.service, frame.flow, &frame.token) else {
            return;
        };
        if entry.target != target {
            self.stop_counting(slot);
        }
        let entry = self.table.get_mut(slot);
        entry.target = target;
        entry.state = entry.state.after(FlowEvent::Learn);
        entry.flags.set(FlowFlags::ECHO, true);
    }

    /// Forwards a frame to the target of its flow, or refuses it if the flow is silent or the
    /// target has no address any more.
    pub(crate) fn forward_to_target(
        &mut self,
        ctx: FrameContext<'_>,
        slot: u32,
        frame: &mut Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let target = self.table.get(slot).target;
        if is_keep_alive(frame) && self.count_keep_alive(ctx.now_ms(), slot) {
            let entry = self.table.get_mut(slot);
            entry.state = entry.state.after(FlowEvent::Timeout);
            self.stop_counting(slot);
            out.push(ShardAction::Count(CounterEvent::FlowLost));
            send_refusal(frame, Refusal::FlowLost, out);
            return;
        }
        let Some(route) = self.routes.reachable_route(target) else {
            // A peer that started before the target was removed may still know its address.
            if self.routes.get(target).is_none() && self.relay_to_owner(ctx, frame, out) {
                return;
            }
            let entry = self.table.get_mut(slot);
            entry.state = FlowState::Lost;
            self.stop_counting(slot);
            out.push(ShardAction::Count(CounterEvent::FlowLost));
            send_refusal(frame, Refusal::FlowLost, out);
            return;
        };
        frame.target.clear();
        frame.target.push_str(route.name.as_str());
        let address = route.address;
        if let Some(peer) = ctx.relayed_by
            && !is_keep_alive(frame)
            && self.table.get(slot).state == FlowState::Established
            && frame.token.is_empty()
            && let Some(record) = self.flow_record(ctx.now_ms(), slot)
        {
            // The peer relayed the frame because it has no entry. The record lets it route the next
            // frame itself.
            self.outbox.push(peer, record);
        }
        out.push(ShardAction::SendToTarget {
            target,
            to: address,
            frame: mem::take(frame),
        });
    }

    /// Counts a keep-alive and returns whether too many are unanswered, so that the flow is silent.
    fn count_keep_alive(&mut self, now_ms: WrappingMs, slot: u32) -> bool {
        let entry = self.table.get_mut(slot);
        if entry.unanswered_keep_alives == 0 {
            entry.first_unanswered_ms = now_ms;
        }
        let unanswered_ms = elapsed(now_ms, entry.first_unanswered_ms);
        let is_overdue = entry.unanswered_keep_alives >= MIN_UNANSWERED_KEEP_ALIVES
            && unanswered_ms >= self.settings.silence_timeout_ms;
        entry.unanswered_keep_alives = entry.unanswered_keep_alives.saturating_add(1);
        let first_unanswered_ms = entry.first_unanswered_ms;
        let Some(route) = self.routes.get_mut(entry.target) else {
            return false;
        };
        route.count_keep_alive(now_ms);
        // If the whole target is silent, its flows get twice the timeout, so that the control plane
        // can tell a short outage from a dead target.
        let is_target_silent = !route.was_heard_since(now_ms, first_unanswered_ms);
        let periods = if is_target_silent { 2 } else { 1 };
        is_overdue && unanswered_ms.0 >= periods * self.settings.silence_timeout_ms.0
    }

    /// Returns the target of a frame's flow. Requests on a flow go to the target of the flow.
    pub fn target_of(&self, frame: &Frame) -> Option<TargetId> {
        let service = self.services.get(&frame.service)?;
        if self.settings.method == AffinityMethod::Token
            && let Ok(target) = token::open(&self.keys, &frame.service, frame.flow, &frame.token)
        {
            return Some(target);
        }
        if let Some(slot) = self.table.find(service.index, frame.flow) {
            return Some(self.table.get(slot).target);
        }
        if self.settings.method == AffinityMethod::LookupTable {
            return service.lookup_target(frame.flow);
        }
        let placement = service.oldest_placement(&frame.domain, frame.flow);
        placement.map(|(target, _)| target)
    }

    /// Inserts a flow in the state that follows `event` and returns its slot.
    pub(crate) fn insert_flow(
        &mut self,
        ctx: FrameContext<'_>,
        frame: &Frame,
        target: TargetId,
        event: FlowEvent,
        out: &mut Vec<ShardAction>,
    ) -> u32 {
        let (index, generation) = self
            .services
            .get(&frame.service)
            .map_or((0, 0), |service| (service.index, service.generation));
        let state = FlowState::Absent.after(event);
        let mut entry = FlowEntry::new(index, frame.flow, target, state);
        entry.last_seen_ms = ctx.now_ms();
        // The opening instance checks whether a flow needs a record. For a flow learned in another
        // way, an outdated generation makes its next frame trigger that check.
        entry.generation = match event {
            FlowEvent::Open => generation,
            _ => generation.wrapping_sub(1),
        };
        let (slot, evicted) = self.table.insert(entry);
        self.on_evicted(evicted, out);
        slot
    }

    /// Updates the flow counts after the table evicted an entry.
    pub(crate) fn on_evicted(&mut self, evicted: Option<FlowEntry>, out: &mut Vec<ShardAction>) {
        let Some(evicted) = evicted else {
            return;
        };
        if evicted.flags.has(FlowFlags::COUNTED) {
            self.routes.remove_flow(evicted.target);
        }
        out.push(ShardAction::Count(CounterEvent::FlowEvicted));
    }

    /// Stops counting a flow towards the flows of its target.
    pub(crate) fn stop_counting(&mut self, slot: u32) {
        let entry = self.table.get_mut(slot);
        if entry.flags.has(FlowFlags::COUNTED) {
            entry.flags.set(FlowFlags::COUNTED, false);
            let target = entry.target;
            self.routes.remove_flow(target);
        }
    }

    /// Removes a flow from the table.
    pub(crate) fn remove_flow(&mut self, slot: u32) {
        self.stop_counting(slot);
        self.table.remove(slot);
    }
}

/// Returns whether a frame from a caller is a keep-alive, which its target must answer.
pub(crate) fn is_keep_alive(frame: &Frame) -> bool {
    frame.kind() == Kind::Data && frame.request == 0 && frame.body.is_empty()
}
