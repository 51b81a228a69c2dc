//! The opening of flows and the placement of new ones.

use wire::frame::{Frame, Refusal};
use wire::token::TargetId;

use crate::event::{CounterEvent, DropReason, ShardAction};
use crate::flow::{Arrival, Flows, Method};
use crate::lifecycle::FlowEvent;
use crate::owners::message;
use crate::place;
use crate::shard::refuse;
use crate::table::Flags;
use crate::view::Owner;

impl Flows {
    pub(crate) fn open(&mut self, at: Arrival<'_>, frame: &mut Frame, out: &mut Vec<ShardAction>) {
        let is_accepting = at
            .view
            .document
            .preset_in_force()
            .is_none_or(|preset| preset.accept_new_flows);
        if !is_accepting {
            refuse(frame, Refusal::NotReady, out);
            return;
        }
        let has_echo = frame.echo && self.settings.method == Method::Token;
        let is_by_history = !has_echo && self.settings.method != Method::Table;
        // A newcomer does not know the older sets, by which its peers would look for the flow.
        if is_by_history && self.is_new(at.now) && self.relay(at, frame, out) {
            return;
        }
        // Peers of the caller's failure domain could not be told the record. Right after a partition
        // ends they are unreachable only for this instance, and the resend finds a better one.
        if is_by_history && is_cut_from(at, &frame.domain, frame.flow) {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unreachable,
            )));
            return;
        }
        let Some(target) = self.place(at, frame) else {
            refuse(frame, self.why_unplaced(frame), out);
            return;
        };
        let slot = self.insert(at, frame, target, FlowEvent::Open, out);
        self.table.at(slot).flags.set(Flags::ECHO, has_echo);
        self.table.at(slot).flags.set(Flags::COUNTED, true);
        self.routes.add_flow(target);
        out.push(ShardAction::Count(CounterEvent::FlowOpened));
        let needs_record = is_by_history
            && self
                .services
                .get(&frame.service)
                .is_some_and(|service| service.needs_record(target, &frame.domain, frame.flow));
        if needs_record {
            // The record leaves at once, so that it is at the owners before the caller, which waits
            // for `Opened`, sends its next frame through another instance.
            let entry = self.table.at(slot);
            entry.flags.set(Flags::RECORDED, true);
            entry.renewed_ms = at.now_ms();
            if let Some(record) = self.record(at.now_ms(), slot) {
                let owners = self.owners_besides_me(at, frame.flow);
                for owner in &owners {
                    out.push(message(owner, vec![record.clone()]));
                }
                // The first owner passes it on, which also makes up for the loss of another copy.
                if let Some(first) = owners.first() {
                    self.outbox.repeat(first, record);
                }
            }
        }
        self.forward(at, slot, frame, out);
    }

    pub(crate) fn place(&self, at: Arrival<'_>, frame: &Frame) -> Option<TargetId> {
        let service = self.services.get(&frame.service)?;
        let set = service.newest()?;
        let now_ms = at.now_ms();
        let is_open = |target| {
            self.routes
                .get(target)
                .is_some_and(|route| route.is_open(now_ms))
        };
        match self.settings.method {
            Method::Table => service.lookup_target(frame.flow),
            Method::Token if frame.echo => {
                place::place_by_load(set, &frame.domain, frame.flow, |candidate| {
                    let route = self.routes.get(candidate.target)?;
                    route.is_open(now_ms).then(|| route.load())
                })
                .map(|candidate| candidate.target)
            }
            _ => place::place_if(set, &frame.domain, frame.flow, |candidate| {
                is_open(candidate.target)
            })
            .map(|candidate| candidate.target),
        }
    }

    pub(crate) fn why_unplaced(&self, frame: &Frame) -> Refusal {
        let takes_new = |target| self.routes.get(target).is_some_and(|route| route.takes_new);
        let is_any_serving = self
            .services
            .get(&frame.service)
            .and_then(|service| service.newest())
            .is_some_and(|set| set.candidates.iter().any(|one| takes_new(one.target)));
        if is_any_serving {
            Refusal::Overloaded
        } else {
            Refusal::NoTarget
        }
    }
}

/// Tells whether this instance, with less than half of its group, is on another side of a partition
/// than a caller. A caller whose failure domain has lost its instances is served by the others.
fn is_cut_from(at: Arrival<'_>, domain: &str, flow: u64) -> bool {
    let Some(epoch) = at.view.current_epoch() else {
        return false;
    };
    let most = at.view.epochs.iter().map(|epoch| epoch.peers.len()).max();
    let is_minority = epoch.peers.len() * 2 < most.unwrap_or_default();
    is_minority && epoch.owner_of(domain, flow) == Owner::Unreachable
}
