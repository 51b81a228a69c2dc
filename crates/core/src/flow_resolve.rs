//! Routing of flows whose target this instance does not know for certain.

use wire::frame::{Frame, Kind, Refusal};
use wire::peer::{Body, RelayedFrame};
use wire::token::{self, TargetId};

use crate::event::{CounterEvent, ShardAction};
use crate::flow::{AffinityMethod, Flows, FrameContext, is_keep_alive};
use crate::flow_owners::FlowOwners;
use crate::flow_state::FlowEvent;
use crate::shard::{MAX_HOPS, send_refusal};
use crate::table::FlowFlags;

impl Flows {
    /// Routes a frame of a flow that has no entry, or relays it to an owner of the flow.
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
        let placement = self
            .services
            .get(&frame.service)
            .and_then(|service| service.oldest_placement(&frame.domain, frame.flow));
        let is_unanimous = placement.is_some_and(|(_, is_unanimous)| is_unanimous);
        let was_skipped = placement
            .and_then(|(target, _)| self.routes.get(target))
            .is_some_and(|route| route.was_skipped(ctx.now_ms(), self.settings.idle_timeout_ms));
        let needs_owner = !is_unanimous
            || was_skipped
            || self.is_recently_started(ctx.now)
            || is_keep_alive(frame);
        if needs_owner && self.relay_unless_authoritative(ctx, frame, out) {
            return;
        }
        let target = placement.map(|(target, _)| target);
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
            send_refusal(frame, Refusal::NoTarget, out);
            return;
        };
        let slot = self.insert_flow(ctx, frame, target, event, out);
        if frame.kind() == Kind::Close {
            let entry = self.table.get_mut(slot);
            entry.state = entry.state.after(FlowEvent::Close);
        }
        self.forward_to_target(ctx, slot, frame, out);
    }

    /// Relays a frame to an owner of its flow unless this instance is a settled owner itself.
    /// Returns `false` if this instance has to route the frame.
    pub(crate) fn relay_unless_authoritative(
        &self,
        ctx: FrameContext<'_>,
        frame: &Frame,
        out: &mut Vec<ShardAction>,
    ) -> bool {
        let owners = FlowOwners::of(ctx.view, ctx.now, frame.flow, self.settings.idle_timeout_ms);
        let is_authoritative = owners.contains(&ctx.view.instance)
            && owners.is_settled
            && ctx.view.may_own
            && !self.is_recently_started(ctx.now);
        if ctx.hops >= MAX_HOPS || is_authoritative {
            return false;
        }
        self.relay_to_owner(ctx, frame, out)
    }

    /// Relays a frame to the first owner of its flow that is neither this instance nor the peer
    /// that relayed it. Returns `false` if there is none or the hop limit is reached.
    pub(crate) fn relay_to_owner(
        &self,
        ctx: FrameContext<'_>,
        frame: &Frame,
        out: &mut Vec<ShardAction>,
    ) -> bool {
        if ctx.hops >= MAX_HOPS {
            return false;
        }
        let owner = FlowOwners::of(ctx.view, ctx.now, frame.flow, self.settings.idle_timeout_ms)
            .queried()
            .find(|peer| peer.name != ctx.view.instance && Some(&peer.name) != ctx.relayed_by);
        let Some(owner) = owner else {
            return false;
        };
        out.push(ShardAction::Count(CounterEvent::Relayed));
        out.push(ShardAction::SendToPeer {
            to: owner.name.clone(),
            body: Body::RelayedFrame(RelayedFrame {
                frame: Some(frame.clone()),
                hops: ctx.hops + 1,
            }),
        });
        true
    }

    /// Relays a frame of a flow whose guessed target refused it, or tries that target once more if
    /// there is no peer to relay to.
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

    /// Returns whether a keep-alive must be relayed to the first owner. The first owner sees all
    /// keep-alives of a flow and so can tell a silent path from a reply that reached another
    /// instance.
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
        // Without a token or a record the owner could only guess the target.
        let entry = self.table.get(slot);
        let can_owner_route = !frame.token.is_empty() || !entry.flags.has(FlowFlags::ECHO);
        let first = FlowOwners::of(ctx.view, ctx.now, frame.flow, self.settings.idle_timeout_ms)
            .queried()
            .next();
        can_owner_route && first.is_some_and(|owner| owner.name != ctx.view.instance)
    }
}
