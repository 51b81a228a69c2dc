//! A shard handles the flows and requests of one CPU core.

use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;

use ids::{InstanceName, Micros, Millis};
use wire::frame::{Frame, Kind, Refusal};
use wire::seal::Keys;
use wire::token::TargetId;

use crate::event::{CounterEvent, DropReason, ShardAction, ShardEvent};
use crate::fence::LocalLease;
use crate::flow::{FlowSettings, Flows};
use crate::request::{RequestSettings, Requests};
use crate::view::View;

/// Maximum number of times that a frame is relayed between instances.
pub(crate) const MAX_HOPS: u32 = 2;

/// Time after a pause during which frames from callers are dropped.
///
/// They waited in the socket buffer while peers served the resends, and the view is as old as they
/// are. Within this time the control plane detects the pause and withdraws the lease.
const PAUSE_BACKLOG_MS: Millis = Millis(300);

/// Settings of a shard.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardSettings {
    /// Settings of flows.
    pub flow: FlowSettings,
    /// Settings of requests.
    pub request: RequestSettings,
}

/// Decides on the flows and requests of one CPU core.
#[derive(Debug)]
pub struct Shard {
    view: Option<Arc<View>>,
    flows: Flows,
    requests: Requests,
    lease: LocalLease,
    lease_ms: Millis,
    is_stopping: bool,
}

impl Shard {
    /// Creates a shard, which drops all frames until it has a view.
    pub fn new(settings: ShardSettings, keys: Keys) -> Self {
        Self {
            view: None,
            flows: Flows::new(settings.flow, keys),
            lease: LocalLease::default(),
            lease_ms: settings.request.lease_ms,
            requests: Requests::new(settings.request),
            is_stopping: false,
        }
    }

    /// Returns the flows, for their count and memory use.
    pub fn flows(&self) -> &Flows {
        &self.flows
    }

    /// Returns the requests, for status and metrics.
    pub fn requests(&self) -> &Requests {
        &self.requests
    }

    /// Returns whether the shard has a view, without which it cannot resolve the target of a flow.
    pub fn has_view(&self) -> bool {
        self.view.is_some()
    }

    /// Handles an event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, mut event: ShardEvent, out: &mut Vec<ShardAction>) {
        if let ShardEvent::View(view) = event {
            self.flows.on_view(now, &view);
            self.requests.on_view(now, &view, out);
            self.view = Some(view);
            return;
        }
        let Some(view) = self.view.clone() else {
            self.handle_without_view(event, out);
            return;
        };
        self.lease.detect_gap(now, self.lease_ms, PAUSE_BACKLOG_MS);
        // Frames are passed by reference, because a move copies about 400 bytes.
        match &mut event {
            ShardEvent::CallerFrame { from, frame } => {
                if frame.source.is_empty() {
                    frame.source = from.to_string();
                }
                self.on_caller_frame(now, &view, frame, None, 0, out);
            }
            ShardEvent::RelayedFrame { from, frame, hops } => {
                self.on_caller_frame(now, &view, frame, Some(from), *hops, out);
            }
            ShardEvent::FlowRequest {
                frame,
                target,
                hops,
            } => {
                let (frame, target, hops) = (mem::take(frame), *target, *hops);
                self.on_request(now, &view, frame, target, hops, out);
            }
            ShardEvent::TargetFrame { from, frame } => {
                self.on_target_frame(now, &view, *from, mem::take(frame), out);
            }
            ShardEvent::FlowRecords(records) => {
                let records = mem::take(records);
                self.flows.on_records(now, &view, records, out);
            }
            ShardEvent::Tick => {
                self.lease.on_tick(now);
                self.flows.on_tick(now, &view, out);
                self.requests.on_tick(now, &view, out);
            }
            ShardEvent::Stop => {
                self.is_stopping = true;
                self.requests.on_stop();
                self.flows.on_stop(now, &view, out);
            }
            ShardEvent::View(_) => {}
        }
        if self.is_stopping && self.requests.is_idle() {
            self.is_stopping = false;
            out.push(ShardAction::Drained);
        }
    }

    fn handle_without_view(&self, event: ShardEvent, out: &mut Vec<ShardAction>) {
        match event {
            ShardEvent::CallerFrame { .. }
            | ShardEvent::RelayedFrame { .. }
            | ShardEvent::FlowRequest { .. }
            | ShardEvent::TargetFrame { .. } => {
                out.push(ShardAction::Count(CounterEvent::Dropped(
                    DropReason::NotReady,
                )));
            }
            ShardEvent::Stop => out.push(ShardAction::Drained),
            _ => {}
        }
    }

    fn on_caller_frame(
        &mut self,
        now: Micros,
        view: &View,
        frame: &mut Frame,
        from: Option<&InstanceName>,
        hops: u32,
        out: &mut Vec<ShardAction>,
    ) {
        match frame.kind() {
            Kind::Request | Kind::Cancel => {
                let pinned = match frame.flow {
                    0 => None,
                    _ => self.flows.target_of(frame),
                };
                self.on_request(now, view, mem::take(frame), pinned, hops, out);
            }
            _ if self.is_stale(now, view, frame) => {
                out.push(ShardAction::Count(CounterEvent::Dropped(
                    DropReason::NoLease,
                )));
            }
            Kind::Open | Kind::Data | Kind::Close => {
                self.flows
                    .on_caller_frame(now, view, frame, from, hops, out);
            }
            _ => out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::Unexpected,
            ))),
        }
    }

    fn on_request(
        &mut self,
        now: Micros,
        view: &View,
        frame: Frame,
        pinned: Option<TargetId>,
        hops: u32,
        out: &mut Vec<ShardAction>,
    ) {
        if self.is_stale(now, view, &frame) {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::NoLease,
            )));
            return;
        }
        self.requests
            .on_caller_frame(now, view, frame, pinned, hops, out);
    }

    /// Returns whether a frame must be dropped after a pause.
    ///
    /// The caller resends it, and an instance with a current view handles it.
    fn is_stale(&self, now: Micros, view: &View, frame: &Frame) -> bool {
        // An idempotent request needs no owner, but must not reach a target that was drained during
        // the pause.
        let needs_lease = match frame.kind() {
            Kind::Open => true,
            Kind::Request => frame.idempotent,
            _ => false,
        };
        self.lease.is_blocked(now) || needs_lease && !view.may_own
    }

    fn on_target_frame(
        &mut self,
        now: Micros,
        view: &View,
        from: SocketAddr,
        frame: Frame,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(target) = self.flows.identify_sender(now, from, &frame) else {
            out.push(ShardAction::Count(CounterEvent::Dropped(
                DropReason::WrongService,
            )));
            return;
        };
        if frame.request == 0 {
            self.flows.on_target_frame(now, target, frame, out);
        } else {
            self.requests.on_target_frame(now, view, target, frame, out);
        }
    }
}

/// Refuses a caller's frame with a reason code.
pub(crate) fn send_refusal(frame: &Frame, code: Refusal, out: &mut Vec<ShardAction>) {
    out.push(ShardAction::Count(CounterEvent::Refused(code)));
    send_to_caller(Frame::refusal_for(frame, code), out);
}

/// Sends a frame to the caller named by its `source`.
pub(crate) fn send_to_caller(frame: Frame, out: &mut Vec<ShardAction>) {
    match frame.source.parse() {
        Ok(to) => out.push(ShardAction::SendToCaller { to, frame }),
        Err(_) => out.push(ShardAction::Count(CounterEvent::Dropped(
            DropReason::NoSource,
        ))),
    }
}
