//! Flows whose target this instance does not know for certain.

use wire::frame::{Frame, Kind, Refusal};
use wire::peer::{Body, Relay};
use wire::token::{self, TargetId};

use crate::event::{CounterEvent, ShardAction};
use crate::flow::{AffinityMethod, Flows, FrameContext, is_keep_alive};
use crate::flow_state::FlowEvent;
use crate::owners::Owners;
use crate::shard::{MAX_HOPS, refuse};
use crate::table::FlowFlags;

impl Flows {
    /// Finds the target of a flow without an entry.
    pub(crate) fn on_unknown_flow(
        &mut self,
        ctx: FrameContext<'_>,
        frame: &mut Frame,
        out: &mut Vec<ShardAction>,
    ) {
        if self.settings.method == AffinityMethod::LookupTable {
            let target = self
                .services
                .get(&frame.service)
                .and_then(|service| service.lookup_target(frame.flow));
            self.forward_unknown(ctx, frame, target, FlowEvent::Learn, out);
            return;
        }
        if self.settings.method == AffinityMethod::Token
            && let Ok(target) = token::open(&self.keys, &frame.service, frame.flow, &frame.token)
        {
            let slot = self.insert_flow(ctx, frame, target, FlowEvent::Learn, out);
            self.table.get_mut(slot).flags.set(FlowFlags::ECHO, true);
            if !(is_keep_alive(frame)
                && ctx.hops == 0
                && self.relay_unless_authoritative(ctx, frame, out))
            {
                self.forward_to_target(ctx, slot, frame, out);
            }
            return;
        }
        let answer = self
            .services
            .get(&frame.service)
            .and_then(|service| service.oldest_placement(&frame.domain, frame.flow));
        let is_unanimous = answer.is_some_and(|(_, is_unanimous)| is_unanimous);
        let was_skipped = answer
            .and_then(|(target, _)| self.routes.get(target))
            .is_some_and(|route| route.was_skipped(ctx.now_ms(), self.settings.idle_timeout_ms));
        let needs_owner = !is_unanimous
            || was_skipped
            || self.is_recently_started(ctx.now)
            || is_keep_alive(frame);
        if needs_owner && self.relay_unless_authoritative(ctx, frame, out) {
            return;
        }
        let target = answer.map(|(target, _)| target);
        self.forward_unknown(ctx, frame, target, FlowEvent::Guess, out);
    }

    pub(crate) fn forward_unknown(
        &mut self,
        ctx: FrameContext<'_>,
        frame: &mut Frame,
        target: Option<TargetId>,
        event: FlowEvent,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(target) = target else {
            refuse(frame, Refusal::NoTarget, out);
            return;
        };
        let slot = self.insert_flow(ctx, frame, target, event, out);
        if frame.kind() == Kind::Close {
            let entry = self.table.get_mut(slot);
            entry.state = entry.state.after(FlowEvent::Close);
        }
        self.forward_to_target(ctx, slot, frame, out);
    }

    /// Relays a frame to a peer that may know more about its flow. Returns `false` when this
    /// instance has to decide.
    pub(crate) fn relay_unless_authoritative(
        &self,
        ctx: FrameContext<'_>,
        frame: &Frame,
        out: &mut Vec<ShardAction>,
    ) -> bool {
        let owners = Owners::of(ctx.view, ctx.now, frame.flow, self.settings.idle_timeout_ms);
        let is_sure = owners.has(&ctx.view.instance)
            && owners.is_settled
            && ctx.view.may_own
            && !self.is_recently_started(ctx.now);
        if ctx.hops >= MAX_HOPS || is_sure {
            return false;
        }
        self.relay_to_owner(ctx, frame, out)
    }

    pub(crate) fn relay_to_owner(
        &self,
        ctx: FrameContext<'_>,
        frame: &Frame,
        out: &mut Vec<ShardAction>,
    ) -> bool {
        if ctx.hops >= MAX_HOPS {
            return false;
        }
        let owner = Owners::of(ctx.view, ctx.now, frame.flow, self.settings.idle_timeout_ms)
            .asked()
            .find(|peer| peer.name != ctx.view.instance && Some(&peer.name) != ctx.relayed_by);
        let Some(owner) = owner else {
            return false;
        };
        out.push(ShardAction::Count(CounterEvent::Relayed));
        out.push(ShardAction::SendToPeer {
            to: owner.name.clone(),
            body: Body::Relay(Relay {
                frame: Some(frame.clone()),
                hops: ctx.hops + 1,
            }),
        });
        true
    }

    /// Handles a frame of a flow whose guessed target refused it.
    pub(crate) fn relay_or_retry(
        &mut self,
        ctx: FrameContext<'_>,
        slot: u32,
        frame: &mut Frame,
        out: &mut Vec<ShardAction>,
    ) {
        if self.relay_to_owner(ctx, frame, out) {
            return;
        }
        let entry = self.table.get_mut(slot);
        entry.state = entry.state.after(FlowEvent::Guess);
        entry.last_seen_ms = ctx.now_ms();
        self.forward_to_target(ctx, slot, frame, out);
    }

    /// Tells whether a keep-alive goes to the first owner, which sees all of a flow's keep-alives
    /// and so can tell a silent path from an answer that another instance got.
    pub(crate) fn must_relay_keep_alive(
        &self,
        ctx: FrameContext<'_>,
        slot: u32,
        frame: &Frame,
    ) -> bool {
        if !is_keep_alive(frame)
            || ctx.hops > 0
            || self.settings.method == AffinityMethod::LookupTable
        {
            return false;
        }
        // An owner without token and record could only guess.
        let entry = self.table.get(slot);
        let can_owner_route = !frame.token.is_empty() || !entry.flags.has(FlowFlags::ECHO);
        let first = Owners::of(ctx.view, ctx.now, frame.flow, self.settings.idle_timeout_ms)
            .asked()
            .next();
        can_owner_route && first.is_some_and(|owner| owner.name != ctx.view.instance)
    }
}
