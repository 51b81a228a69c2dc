//! Affinity of flows, see section 5 of [the design](../../../docs/design.md) and
//! [the page about flows](../../../docs/flows.md).

use std::mem;

use ids::{InstanceName, Micros, Millis};
use wire::frame::{Frame, Kind, Refusal};
use wire::seal::Keys;
use wire::token::{self, TargetId};

use crate::event::{CounterEvent, ShardAction};
use crate::flow_upkeep::Upkeep;
use crate::lifecycle::{FlowEvent, FlowState};
use crate::owners::Outbox;
use crate::routes::{Routes, SILENT_PROBES};
use crate::services::Services;
use crate::shard::refuse;
use crate::table::{Entry, Flags, FlowTable, ShortMs, elapsed};
use crate::view::View;

/// How the target of a flow is found again, see section 5 of
/// [the design](../../../docs/design.md).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Method {
    /// A lookup table over the current targets and a local flow table; the baseline.
    Table,
    /// Past target sets, and records at two owners for the flows that those do not tell.
    History,
    /// A sealed token that the caller echoes; `History` for callers that do not.
    Token,
}

/// Limits of flow handling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowSettings {
    /// How the target of a flow is found again.
    pub method: Method,
    /// Time after which a flow without packets is forgotten.
    pub idle_ms: Millis,
    /// Time without a frame from the target after which a flow counts as silent.
    pub silent_ms: Millis,
    /// Flow records that a shard holds at most.
    pub capacity_flows: usize,
}

impl Default for FlowSettings {
    fn default() -> Self {
        Self {
            method: Method::Token,
            idle_ms: Millis(300_000),
            silent_ms: Millis(5_000),
            capacity_flows: 500_000,
        }
    }
}

/// The flows of one shard.
#[derive(Debug)]
pub struct Flows {
    pub(crate) settings: FlowSettings,
    pub(crate) keys: Keys,
    pub(crate) table: FlowTable,
    pub(crate) routes: Routes,
    pub(crate) services: Services,
    pub(crate) outbox: Outbox,
    pub(crate) upkeep: Upkeep,
}

/// Where and when a caller's frame came in.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival<'a> {
    pub(crate) now: Micros,
    pub(crate) view: &'a View,
    /// Peer that relayed the frame.
    pub(crate) from: Option<&'a InstanceName>,
    pub(crate) hops: u32,
}

impl Arrival<'_> {
    pub(crate) fn now_ms(self) -> ShortMs {
        short_ms(self.now)
    }
}

/// Returns a time as entries of the flow table hold it.
pub(crate) fn short_ms(now: Micros) -> ShortMs {
    (now.0 / 1_000) as ShortMs
}

impl Flows {
    /// Creates an empty table.
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
            outbox: Outbox::default(),
            upkeep: Upkeep::default(),
        }
    }

    /// Returns the limits in force.
    pub fn settings(&self) -> &FlowSettings {
        &self.settings
    }

    /// Returns the number of flows in the table.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Tells whether the table has no flow.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Tells whether the table has a flow.
    pub fn has(&self, service: &str, flow: u64) -> bool {
        self.services
            .get(service)
            .is_some_and(|service| self.table.find(service.index, flow).is_some())
    }

    /// Returns the bytes that the flow table has allocated.
    pub fn allocated_bytes(&self) -> usize {
        self.table.allocated_bytes()
    }

    /// Takes a frame of a flow from a caller; `from` is the peer that relayed it, if any.
    pub fn on_caller(
        &mut self,
        now: Micros,
        view: &View,
        frame: &mut Frame,
        from: Option<&InstanceName>,
        hops: u32,
        out: &mut Vec<ShardAction>,
    ) {
        let at = Arrival {
            now,
            view,
            from,
            hops,
        };
        let Some(service) = self.services.get(&frame.service) else {
            refuse(frame, Refusal::UnknownService, out);
            return;
        };
        let (index, generation) = (service.index, service.generation);
        match self.table.find(index, frame.flow) {
            Some(slot) => self.on_known(at, slot, generation, frame, out),
            None if frame.kind() == Kind::Open => self.open(at, frame, out),
            None => self.on_unknown(at, frame, out),
        }
    }

    fn on_known(
        &mut self,
        at: Arrival<'_>,
        slot: u32,
        generation: u8,
        frame: &mut Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let entry = *self.table.get(slot);
        match entry.state {
            FlowState::Lost => {
                refuse(frame, Refusal::FlowLost, out);
                return;
            }
            FlowState::Asking if frame.kind() == Kind::Open => {
                self.forget(slot);
                self.open(at, frame, out);
                return;
            }
            _ => {}
        }
        self.adopt_token(slot, frame);
        if self.table.get(slot).state == FlowState::Asking {
            self.ask(at, slot, frame, out);
            return;
        }
        if self.is_for_owner(at, slot, frame) && self.relay_to_owner(at, frame, out) {
            self.table.at(slot).seen_ms = at.now_ms();
            return;
        }
        if self.settings.method != Method::Table {
            self.keep_record(at, slot, frame, generation);
        }
        let event = match frame.kind() {
            Kind::Open => Some(FlowEvent::Open),
            Kind::Close => Some(FlowEvent::Close),
            _ => None,
        };
        let entry = self.table.at(slot);
        if let Some(event) = event {
            entry.state = entry.state.after(event);
        }
        let is_over = entry.state == FlowState::Closed;
        if !is_over || event.is_some() {
            entry.seen_ms = at.now_ms();
        }
        self.table.promote(slot);
        if is_over {
            self.uncount(slot);
        }
        self.forward(at, slot, frame, out);
    }

    /// Follows a valid token that names another target than the entry.
    fn adopt_token(&mut self, slot: u32, frame: &Frame) {
        if self.settings.method != Method::Token || frame.token.is_empty() {
            return;
        }
        let entry = self.table.get(slot);
        let is_certain = matches!(entry.state, FlowState::Established | FlowState::Closed);
        if is_certain && token::claimed(&frame.token) == Some(entry.target) {
            return;
        }
        let Ok(target) = token::open(&self.keys, &frame.service, frame.flow, &frame.token) else {
            return;
        };
        if entry.target != target {
            self.uncount(slot);
        }
        let entry = self.table.at(slot);
        entry.target = target;
        entry.state = entry.state.after(FlowEvent::Learn);
        entry.flags.set(Flags::ECHO, true);
    }

    /// Sends a frame to the target of its flow.
    pub(crate) fn forward(
        &mut self,
        at: Arrival<'_>,
        slot: u32,
        frame: &mut Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let target = self.table.get(slot).target;
        if is_keep_alive(frame) && self.is_silent(at.now_ms(), slot) {
            let entry = self.table.at(slot);
            entry.state = entry.state.after(FlowEvent::Silence);
            self.uncount(slot);
            out.push(ShardAction::Count(CounterEvent::FlowLost));
            refuse(frame, Refusal::FlowLost, out);
            return;
        }
        let Some(route) = self.routes.reachable(target) else {
            // A peer that was here before the target was removed may still know its address.
            if self.routes.get(target).is_none() && self.relay_to_owner(at, frame, out) {
                return;
            }
            let entry = self.table.at(slot);
            entry.state = FlowState::Lost;
            self.uncount(slot);
            out.push(ShardAction::Count(CounterEvent::FlowLost));
            refuse(frame, Refusal::FlowLost, out);
            return;
        };
        frame.target.clear();
        frame.target.push_str(route.name.as_str());
        let to = route.address;
        if let Some(peer) = at.from
            && !is_keep_alive(frame)
            && self.table.get(slot).state == FlowState::Established
            && frame.token.is_empty()
            && let Some(record) = self.record(at.now_ms(), slot)
        {
            // The peer relayed the frame because it has no entry; with one it need not ask again.
            self.outbox.push(peer, record);
        }
        out.push(ShardAction::SendToTarget {
            target,
            to,
            frame: mem::take(frame),
        });
    }

    /// Counts a keep-alive and tells whether too many went unanswered.
    fn is_silent(&mut self, now_ms: ShortMs, slot: u32) -> bool {
        let entry = self.table.at(slot);
        if entry.probes == 0 {
            entry.probed_ms = now_ms;
        }
        let unanswered_ms = elapsed(now_ms, entry.probed_ms);
        let is_overdue = entry.probes >= SILENT_PROBES && unanswered_ms >= self.settings.silent_ms;
        entry.probes = entry.probes.saturating_add(1);
        let probed_ms = entry.probed_ms;
        let Some(route) = self.routes.get_mut(entry.target) else {
            return false;
        };
        route.probe(now_ms);
        // The flows of a target that is silent as a whole get twice the time, in which the control
        // part can tell a short outage from a dead target.
        let is_target_silent = !route.was_heard_since(now_ms, probed_ms);
        let limit = if is_target_silent { 2 } else { 1 };
        is_overdue && unanswered_ms.0 >= limit * self.settings.silent_ms.0
    }

    /// Returns the target of a frame's flow; requests that belong to a flow stay with it.
    pub fn target_of(&self, frame: &Frame) -> Option<TargetId> {
        let service = self.services.get(&frame.service)?;
        if self.settings.method == Method::Token
            && let Ok(target) = token::open(&self.keys, &frame.service, frame.flow, &frame.token)
        {
            return Some(target);
        }
        if let Some(slot) = self.table.find(service.index, frame.flow) {
            return Some(self.table.get(slot).target);
        }
        if self.settings.method == Method::Table {
            return service.lookup_target(frame.flow);
        }
        let answer = service.oldest_placement(&frame.domain, frame.flow);
        answer.map(|(target, _)| target)
    }

    pub(crate) fn insert(
        &mut self,
        at: Arrival<'_>,
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
        let mut entry = Entry::new(index, frame.flow, target, state);
        entry.seen_ms = at.now_ms();
        // A flow found by other means than its opening may need a record, which its next frame
        // decides.
        entry.generation = match event {
            FlowEvent::Open => generation,
            _ => generation.wrapping_sub(1),
        };
        let (slot, evicted) = self.table.insert(entry);
        self.on_evicted(evicted, out);
        slot
    }

    pub(crate) fn on_evicted(&mut self, evicted: Option<Entry>, out: &mut Vec<ShardAction>) {
        let Some(evicted) = evicted else {
            return;
        };
        if evicted.flags.has(Flags::COUNTED) {
            self.routes.remove_flow(evicted.target);
        }
        out.push(ShardAction::Count(CounterEvent::FlowEvicted));
    }

    /// Stops counting a flow towards its target.
    pub(crate) fn uncount(&mut self, slot: u32) {
        let entry = self.table.at(slot);
        if entry.flags.has(Flags::COUNTED) {
            entry.flags.set(Flags::COUNTED, false);
            let target = entry.target;
            self.routes.remove_flow(target);
        }
    }

    /// Removes a flow from the table.
    pub(crate) fn forget(&mut self, slot: u32) {
        self.uncount(slot);
        self.table.remove(slot);
    }
}

/// Tells whether a frame from a caller is a keep-alive, which its target must answer.
pub(crate) fn is_keep_alive(frame: &Frame) -> bool {
    frame.kind() == Kind::Data && frame.request == 0 && frame.body.is_empty()
}
