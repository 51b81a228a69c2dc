//! Flow handling of the load generator.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::Rng;
use wire::frame::{Frame, Kind};

use super::requests::{NewRequest, Requests};
use super::{Context, FlowLoad, Workload};

const OPEN_RESEND_INTERVAL: Duration = Duration::from_millis(400);
const OPEN_TIMEOUT: Duration = Duration::from_secs(6);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
const REOPEN_DELAY: Duration = Duration::from_millis(300);

/// Time without a received frame after which a flow counts as broken. It exceeds the load
/// balancer's own timeout of 5 s, so that the `FlowLost` refusal arrives first.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum number of unanswered requests of one flow.
const MAX_PENDING_REQUESTS_PER_FLOW: usize = 1;

/// Position in a workload that is kept filled with an open flow; a failed flow is replaced.
#[derive(Debug)]
struct FlowSlot {
    load: FlowLoad,
    flow: Option<u64>,
    reopen_at: Option<Instant>,
}

#[derive(Debug)]
struct Flow {
    slot: usize,
    frame: Frame,
    target: Option<String>,
    first_sent_at: Instant,
    last_sent_at: Instant,
    last_received_at: Instant,
    next_request_at: Instant,
}

/// All flows of the load generator, and the slots that they fill.
#[derive(Debug)]
pub(super) struct Flows {
    slots: Vec<FlowSlot>,
    flows: HashMap<u64, Flow>,
}

impl Flows {
    pub(super) fn new(workload: &Workload) -> Self {
        let slots = workload.flows.iter().flat_map(|load| {
            std::iter::repeat_with(|| FlowSlot {
                load: load.clone(),
                flow: None,
                reopen_at: None,
            })
            .take(load.count)
        });
        Self {
            slots: slots.collect(),
            flows: HashMap::new(),
        }
    }

    /// Stores the newest token of a flow; any of its frames may carry one.
    pub(super) fn update_token(&mut self, frame: &Frame) {
        if let Some(flow) = self.flows.get_mut(&frame.flow)
            && !frame.token.is_empty()
        {
            flow.frame.token.clone_from(&frame.token);
        }
    }

    pub(super) fn on_frame(&mut self, now: Instant, frame: Frame, context: &mut Context) {
        self.update_token(&frame);
        let Some(flow) = self.flows.get_mut(&frame.flow) else {
            return;
        };
        flow.last_received_at = now;
        match frame.kind() {
            Kind::Refuse => self.on_refusal(now, &frame, context),
            Kind::Opened | Kind::Data => {
                let is_misrouted = frame.service != flow.frame.service
                    || flow
                        .target
                        .as_ref()
                        .is_some_and(|target| *target != frame.target);
                if is_misrouted {
                    context.result.misrouted_frames += 1;
                }
                if flow.target.is_none() {
                    flow.target = Some(frame.target);
                    let (service, class) = (&flow.frame.service, &flow.frame.class);
                    context.result.class_mut(service, class).flows_opened += 1;
                }
            }
            Kind::Close => self.remove_failed(now, frame.flow, "Closed", context),
            _ => {}
        }
    }

    fn on_refusal(&mut self, now: Instant, frame: &Frame, context: &mut Context) {
        let reason = format!("{:?}", frame.refusal());
        self.remove_failed(now, frame.flow, &reason, context);
    }

    fn remove_failed(&mut self, now: Instant, id: u64, reason: &str, context: &mut Context) {
        let Some(flow) = self.flows.remove(&id) else {
            return;
        };
        let class = context
            .result
            .class_mut(&flow.frame.service, &flow.frame.class);
        match flow.target {
            Some(_) => *class.flows_broken.entry(reason.to_owned()).or_default() += 1,
            None => class.flows_refused += 1,
        }
        if let Some(slot) = self.slots.get_mut(flow.slot) {
            slot.flow = None;
            slot.reopen_at = Some(now + REOPEN_DELAY);
        }
    }

    pub(super) fn on_tick(
        &mut self,
        now: Instant,
        is_load_active: bool,
        requests: &mut Requests,
        context: &mut Context,
    ) {
        if is_load_active {
            self.open_missing_flows(now, context);
        }
        let mut failed = Vec::new();
        for (id, flow) in &mut self.flows {
            let reason = update_flow(now, flow, context);
            failed.extend(reason.map(|reason| (*id, reason)));
            let Some(interval_ms) = self.slots[flow.slot].load.request_interval_ms else {
                continue;
            };
            let is_due = is_load_active && flow.target.is_some() && now >= flow.next_request_at;
            if is_due && requests.pending_on_flow(*id) < MAX_PENDING_REQUESTS_PER_FLOW {
                flow.next_request_at = now + Duration::from_millis(interval_ms);
                let request = NewRequest {
                    frame: flow.frame.clone(),
                    is_idempotent: false,
                };
                requests.submit(now, request, context);
            }
        }
        for (id, reason) in failed {
            self.remove_failed(now, id, reason, context);
        }
    }

    fn open_missing_flows(&mut self, now: Instant, context: &mut Context) {
        for (index, slot) in self.slots.iter_mut().enumerate() {
            if slot.flow.is_some() || slot.reopen_at.is_some_and(|at| now < at) {
                continue;
            }
            let id = context.rng.random_range(1..u64::MAX);
            let frame = Frame {
                service: slot.load.service.to_owned(),
                class: slot.load.class.to_owned(),
                flow: id,
                member: format!("member-{}", index % 10),
                domain: context.options.domain.to_string(),
                // Every fourth flow echoes no token, so that the instances must look up its target
                // in the target set history.
                echo: index % 4 != 3,
                ..Frame::new(Kind::Open)
            };
            slot.flow = Some(id);
            context.outgoing.push(frame.clone());
            let flow = Flow {
                slot: index,
                frame,
                target: None,
                first_sent_at: now,
                last_sent_at: now,
                last_received_at: now,
                next_request_at: now + Duration::from_millis(context.rng.random_range(0..200)),
            };
            self.flows.insert(id, flow);
        }
    }

    /// Sends a close frame on every flow.
    pub(super) fn close_all(&mut self, context: &mut Context) {
        for flow in self.flows.values() {
            context.outgoing.push(Frame {
                kind: Kind::Close.into(),
                ..flow.frame.clone()
            });
        }
    }
}

/// Sends the keep-alive or the repeated open frame that is due on a flow. Returns the reason if the
/// flow has timed out.
fn update_flow(now: Instant, flow: &mut Flow, context: &mut Context) -> Option<&'static str> {
    let is_established = flow.target.is_some();
    if !is_established && now > flow.first_sent_at + OPEN_TIMEOUT {
        return Some("NotOpened");
    }
    if is_established && now > flow.last_received_at + SILENCE_TIMEOUT {
        return Some("Silent");
    }
    let (kind, period) = match is_established {
        true => (Kind::Data, KEEP_ALIVE_INTERVAL),
        false => (Kind::Open, OPEN_RESEND_INTERVAL),
    };
    if now < flow.last_sent_at + period {
        return None;
    }
    flow.last_sent_at = now;
    context.outgoing.push(Frame {
        kind: kind.into(),
        ..flow.frame.clone()
    });
    None
}
