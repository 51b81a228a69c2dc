//! Flows whose target this instance does not know for certain.

use wire::frame::{Frame, Kind, Refusal};
use wire::peer::{Body, Relay};
use wire::token::{self, TargetId};

use crate::event::{CounterEvent, ShardAction};
use crate::flow::{Arrival, Flows, Method, is_keep_alive};
use crate::lifecycle::FlowEvent;
use crate::owners::Owners;
use crate::shard::{MAX_HOPS, refuse};
use crate::table::Flags;

impl Flows {
    /// Finds the target of a flow without an entry.
    pub(crate) fn on_unknown(
        &mut self,
        at: Arrival<'_>,
        frame: &mut Frame,
        out: &mut Vec<ShardAction>,
    ) {
        if self.settings.method == Method::Table {
            let target = self
                .services
                .get(&frame.service)
                .and_then(|service| service.lookup_target(frame.flow));
            self.forward_unknown(at, frame, target, FlowEvent::Learn, out);
            return;
        }
        if self.settings.method == Method::Token
            && let Ok(target) = token::open(&self.keys, &frame.service, frame.flow, &frame.token)
        {
            let slot = self.insert(at, frame, target, FlowEvent::Learn, out);
            self.table.at(slot).flags.set(Flags::ECHO, true);
            if !(is_keep_alive(frame) && at.hops == 0 && self.relay(at, frame, out)) {
                self.forward(at, slot, frame, out);
            }
            return;
        }
        let answer = self
            .services
            .get(&frame.service)
            .and_then(|service| service.oldest_placement(&frame.domain, frame.flow));
        let is_agreed = answer.is_some_and(|(_, is_agreed)| is_agreed);
        let was_passed_over = answer
            .and_then(|(target, _)| self.routes.get(target))
            .is_some_and(|route| route.was_passed_over(at.now_ms(), self.settings.idle_ms));
        let needs_owner =
            !is_agreed || was_passed_over || self.is_new(at.now) || is_keep_alive(frame);
        if needs_owner && self.relay(at, frame, out) {
            return;
        }
        let target = answer.map(|(target, _)| target);
        self.forward_unknown(at, frame, target, FlowEvent::Guess, out);
    }

    pub(crate) fn forward_unknown(
        &mut self,
        at: Arrival<'_>,
        frame: &mut Frame,
        target: Option<TargetId>,
        event: FlowEvent,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(target) = target else {
            refuse(frame, Refusal::NoTarget, out);
            return;
        };
        let slot = self.insert(at, frame, target, event, out);
        if frame.kind() == Kind::Close {
            let entry = self.table.at(slot);
            entry.state = entry.state.after(FlowEvent::Close);
        }
        self.forward(at, slot, frame, out);
    }

    /// Relays a frame to a peer that may know more about its flow. Returns `false` when this
    /// instance has to decide.
    pub(crate) fn relay(&self, at: Arrival<'_>, frame: &Frame, out: &mut Vec<ShardAction>) -> bool {
        let owners = Owners::of(at.view, at.now, frame.flow, self.settings.idle_ms);
        let is_sure = owners.has(&at.view.instance)
            && owners.is_settled
            && at.view.may_own
            && !self.is_new(at.now);
        if at.hops >= MAX_HOPS || is_sure {
            return false;
        }
        self.relay_to_owner(at, frame, out)
    }

    pub(crate) fn relay_to_owner(
        &self,
        at: Arrival<'_>,
        frame: &Frame,
        out: &mut Vec<ShardAction>,
    ) -> bool {
        if at.hops >= MAX_HOPS {
            return false;
        }
        let owner = Owners::of(at.view, at.now, frame.flow, self.settings.idle_ms)
            .asked()
            .find(|peer| peer.name != at.view.instance && Some(&peer.name) != at.from);
        let Some(owner) = owner else {
            return false;
        };
        out.push(ShardAction::Count(CounterEvent::Relayed));
        out.push(ShardAction::SendToPeer {
            to: owner.name.clone(),
            body: Body::Relay(Relay {
                frame: Some(frame.clone()),
                hops: at.hops + 1,
            }),
        });
        true
    }

    /// Handles a frame of a flow whose guessed target refused it.
    pub(crate) fn ask(
        &mut self,
        at: Arrival<'_>,
        slot: u32,
        frame: &mut Frame,
        out: &mut Vec<ShardAction>,
    ) {
        if self.relay_to_owner(at, frame, out) {
            return;
        }
        let entry = self.table.at(slot);
        entry.state = entry.state.after(FlowEvent::Guess);
        entry.seen_ms = at.now_ms();
        self.forward(at, slot, frame, out);
    }

    /// Tells whether a keep-alive goes to the first owner, which sees all of a flow's keep-alives
    /// and so can tell a silent path from an answer that another instance got.
    pub(crate) fn is_for_owner(&self, at: Arrival<'_>, slot: u32, frame: &Frame) -> bool {
        if !is_keep_alive(frame) || at.hops > 0 || self.settings.method == Method::Table {
            return false;
        }
        // An owner without token and record could only guess.
        let entry = self.table.get(slot);
        let can_owner_route = !frame.token.is_empty() || !entry.flags.has(Flags::ECHO);
        let first = Owners::of(at.view, at.now, frame.flow, self.settings.idle_ms)
            .asked()
            .next();
        can_owner_route && first.is_some_and(|owner| owner.name != at.view.instance)
    }
}
