//! Opening of flows and choice of their targets.

use wire::frame::{Frame, Refusal};
use wire::token::TargetId;

use crate::event::{CounterEvent, DropReason, ShardAction};
use crate::flow::{AffinityMethod, Flows, FrameContext};
use crate::flow_owners::records_message;
use crate::flow_state::FlowEvent;
use crate::placement;
use crate::shard::send_refusal;
use crate::table::FlowFlags;
use crate::view::Owner;

impl Flows {
    pub(crate) fn open_flow(
        &mut self,
        ctx: FrameContext<'_>,
        frame: &mut Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let accepts_new_flows = ctx
            .view
            .document
            .active_preset()
            .is_none_or(|preset| preset.accept_new_flows);
        if !accepts_new_flows {
            send_refusal(frame, Refusal::NotReady, out);
            return;
        }
        let echoes_token = frame.echo && self.settings.method == AffinityMethod::Token;
        let uses_target_sets = !echoes_token && self.settings.method != AffinityMethod::LookupTable;
        // A recently started instance lacks the older target sets, which its peers still use to
        // find the target of a flow.
        if uses_target_sets
            && self.is_recently_started(ctx.now)
            && self.relay_unless_authoritative(ctx, frame, out)
        {
            return;
        }
        // The record would not reach the owners in the caller's failure domain. Right after the end
        // of a partition they are unreachable only from here, so the frame is dropped and the
        // caller's resend may arrive at an instance that reaches them.
        if uses_target_sets && is_partitioned_from(ctx, &frame.domain, frame.flow) {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unreachable,
            )));
            return;
        }
        let Some(target) = self.choose_target(ctx, frame) else {
            send_refusal(frame, self.placement_refusal(frame), out);
            return;
        };
        let slot = self.insert_flow(ctx, frame, target, FlowEvent::Open, out);
        self.table
            .get_mut(slot)
            .flags
            .set(FlowFlags::ECHO, echoes_token);
        self.table.get_mut(slot).flags.set(FlowFlags::COUNTED, true);
        self.routes.add_flow(target);
        out.push(ShardAction::Count(CounterEvent::FlowOpened));
        let needs_record = uses_target_sets
            && self
                .services
                .get(&frame.service)
                .is_some_and(|service| service.needs_record(target, &frame.domain, frame.flow));
        if needs_record {
            // Send the record at once: the caller waits for `Opened`, so the owners have the record
            // before the next frame arrives at another instance.
            let entry = self.table.get_mut(slot);
            entry.flags.set(FlowFlags::RECORDED, true);
            entry.record_sent_ms = ctx.now_ms();
            if let Some(record) = self.flow_record(ctx.now_ms(), slot) {
                let owners = self.other_owners(ctx, frame.flow);
                for owner in &owners {
                    out.push(records_message(owner, vec![record.clone()]));
                }
                // Send it to the first owner again with a later flush. That owner forwards it to
                // the other, so the loss of either first copy is repaired.
                if let Some(first) = owners.first() {
                    self.outbox.push_repeat(first, record);
                }
            }
        }
        self.forward_to_target(ctx, slot, frame, out);
    }

    /// Chooses the target of a new flow, or returns `None` if no target accepts it.
    pub(crate) fn choose_target(&self, ctx: FrameContext<'_>, frame: &Frame) -> Option<TargetId> {
        let service = self.services.get(&frame.service)?;
        let set = service.newest()?;
        let now_ms = ctx.now_ms();
        let can_accept_flow = |target| {
            self.routes
                .get(target)
                .is_some_and(|route| route.can_accept_flow(now_ms))
        };
        match self.settings.method {
            AffinityMethod::LookupTable => service.lookup_target(frame.flow),
            AffinityMethod::Token if frame.echo => {
                placement::place_by_load(set, &frame.domain, frame.flow, |candidate| {
                    let route = self.routes.get(candidate.target)?;
                    route.can_accept_flow(now_ms).then(|| route.load())
                })
                .map(|candidate| candidate.target)
            }
            _ => placement::place_filtered(set, &frame.domain, frame.flow, |candidate| {
                can_accept_flow(candidate.target)
            })
            .map(|candidate| candidate.target),
        }
    }

    /// Returns the refusal for a flow that no target accepts.
    pub(crate) fn placement_refusal(&self, frame: &Frame) -> Refusal {
        let accepts_new = |target| {
            self.routes
                .get(target)
                .is_some_and(|route| route.accepts_new)
        };
        let has_serving_target = self
            .services
            .get(&frame.service)
            .and_then(|service| service.newest())
            .is_some_and(|set| set.candidates.iter().any(|one| accepts_new(one.target)));
        if has_serving_target {
            Refusal::Overloaded
        } else {
            Refusal::NoTarget
        }
    }
}

/// Returns whether this instance is in the minority side of a partition and cannot reach the owner
/// in the caller's failure domain. A caller whose failure domain has no instances left is served by
/// the other domains.
fn is_partitioned_from(ctx: FrameContext<'_>, domain: &str, flow: u64) -> bool {
    let Some(epoch) = ctx.view.current_epoch() else {
        return false;
    };
    let max_peers = ctx.view.epochs.iter().map(|epoch| epoch.peers.len()).max();
    let is_minority = epoch.peers.len() * 2 < max_peers.unwrap_or_default();
    is_minority && epoch.owner_of(domain, flow) == Owner::Unreachable
}
