//! Frames that targets send on flows.

use ids::{Micros, Millis};
use wire::frame::{Frame, Kind, Refusal};
use wire::token::{self, TargetId};

use crate::event::{CounterEvent, DropReason, Observation, ShardAction};
use crate::flow::{AffinityMethod, Flows, wrapping_ms};
use crate::flow_state::{FlowEvent, FlowState};
use crate::shard::send_to_caller;
use crate::table::FlowFlags;

/// How long a target that refuses a flow as draining gets no new flows. By then the document or the
/// control plane has registered the drain.
const DRAINING_BACKOFF_MS: Millis = Millis(3_000);

/// How long a target that refuses a flow as overloaded gets no new flows.
const OVERLOADED_BACKOFF_MS: Millis = Millis(500);

impl Flows {
    /// Handles a frame of a flow from a target whose identity was already checked.
    pub fn on_target_frame(
        &mut self,
        now: Micros,
        target: TargetId,
        mut frame: Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(service) = self.services.get(&frame.service) else {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::WrongService,
            )));
            return;
        };
        let slot = self.table.find(service.index, frame.flow);
        if let Some(slot) = slot
            && !self.apply_target_frame(now, slot, target, &frame, out)
        {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            )));
            return;
        }
        self.report_observation(now, target, &frame, out);
        // After `Close` or `Refuse` the flow has ended and its caller needs no token.
        let needs_token = matches!(frame.kind(), Kind::Opened | Kind::Data);
        let echoes_token =
            frame.echo || slot.is_some_and(|slot| self.table.get(slot).flags.has(FlowFlags::ECHO));
        if needs_token && echoes_token && self.settings.method == AffinityMethod::Token {
            frame.token = token::seal(&self.keys, &frame.service, frame.flow, target);
        }
        send_to_caller(frame, out);
    }

    /// Updates the entry of a flow with a frame from a target. Returns `false` if the frame must
    /// not be forwarded to the caller.
    fn apply_target_frame(
        &mut self,
        now: Micros,
        slot: u32,
        target: TargetId,
        frame: &Frame,
        out: &mut Vec<ShardAction>,
    ) -> bool {
        let entry = self.table.get_mut(slot);
        let is_other_target = entry.target != target;
        match frame.kind() {
            Kind::Opened | Kind::Data => {
                // A frame from a target overrides a guess but not an established target: otherwise
                // a second target with the same flow id would divert the frames of the first.
                let is_certain = !entry.state.is_uncertain();
                if is_other_target && is_certain {
                    return false;
                }
                entry.target = target;
                entry.state = entry.state.after(FlowEvent::Answer);
                entry.unanswered_keep_alives = 0;
                if entry.state == FlowState::Established {
                    entry.last_seen_ms = wrapping_ms(now);
                }
                entry.state != FlowState::Lost
            }
            Kind::Close if !is_other_target => {
                entry.state = entry.state.after(FlowEvent::Close);
                entry.last_seen_ms = wrapping_ms(now);
                self.stop_counting(slot);
                true
            }
            Kind::Refuse if !is_other_target => self.apply_refusal(slot, frame.refusal(), out),
            _ => false,
        }
    }

    fn apply_refusal(&mut self, slot: u32, refusal: Refusal, out: &mut Vec<ShardAction>) -> bool {
        let entry = self.table.get_mut(slot);
        match (entry.state, refusal) {
            // The target refused a frame that overtook `Open`; `Open` is refused with other codes.
            (FlowState::Opening, Refusal::FlowLost) => false,
            (FlowState::Guessed, Refusal::FlowLost) => {
                entry.state = entry.state.after(FlowEvent::Misroute);
                self.maintenance.on_misroute(slot);
                false
            }
            // Late refusals of frames that were already handled.
            (FlowState::Querying | FlowState::Lost, Refusal::FlowLost) => false,
            (_, Refusal::FlowLost) => {
                entry.state = entry.state.after(FlowEvent::Refuse);
                self.stop_counting(slot);
                out.push(ShardAction::Count(CounterEvent::FlowLost));
                true
            }
            (FlowState::Opening, _) => {
                // The caller may reopen the flow with the same id, on another target.
                self.remove_flow(slot);
                true
            }
            _ => true,
        }
    }

    fn report_observation(
        &mut self,
        now: Micros,
        target: TargetId,
        frame: &Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let now_ms = wrapping_ms(now);
        match (frame.kind(), frame.refusal()) {
            (Kind::Opened, _) => out.push(ShardAction::ReportObservation(Observation::Answered {
                target,
                load: frame.load.checked_sub(1),
            })),
            (Kind::Refuse, Refusal::Draining) => {
                self.routes.back_off(now_ms, target, DRAINING_BACKOFF_MS);
                out.push(ShardAction::ReportObservation(Observation::Draining(
                    target,
                )));
            }
            (Kind::Refuse, Refusal::Overloaded) => {
                self.routes.back_off(now_ms, target, OVERLOADED_BACKOFF_MS);
                out.push(ShardAction::ReportObservation(Observation::Overloaded(
                    target,
                )));
            }
            _ => {}
        }
    }
}
