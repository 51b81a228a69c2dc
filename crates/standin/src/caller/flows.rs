//! Flows of a caller.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::Rng;
use wire::frame::{Frame, Kind};

use super::requests::{NewRequest, Requests};
use super::{Context, FlowLoad, Shape};

const OPEN_RESEND: Duration = Duration::from_millis(400);
const OPEN_GIVE_UP: Duration = Duration::from_secs(6);
const KEEP_ALIVE: Duration = Duration::from_millis(500);
const REOPEN_PAUSE: Duration = Duration::from_millis(300);

/// A flow without a frame for this long is broken; longer than the balancer's own time-out of 5 s,
/// so that its `FlowLost` is seen first.
const SILENT: Duration = Duration::from_secs(8);

/// Requests of one flow that may be open at once.
const OPEN_REQUESTS: usize = 1;

/// One of the places of a load in which a flow is held; a broken flow is replaced.
#[derive(Debug)]
struct Place {
    load: FlowLoad,
    flow: Option<u64>,
    reopen_at: Option<Instant>,
}

#[derive(Debug)]
struct Flow {
    place: usize,
    frame: Frame,
    target: Option<String>,
    first_sent: Instant,
    last_sent: Instant,
    last_heard: Instant,
    next_request: Instant,
}

/// All flows of a caller.
#[derive(Debug)]
pub(super) struct Flows {
    places: Vec<Place>,
    flows: HashMap<u64, Flow>,
}

impl Flows {
    pub(super) fn new(shape: &Shape) -> Self {
        let places = shape.flows.iter().flat_map(|load| {
            std::iter::repeat_with(|| Place {
                load: load.clone(),
                flow: None,
                reopen_at: None,
            })
            .take(load.count)
        });
        Self {
            places: places.collect(),
            flows: HashMap::new(),
        }
    }

    /// Keeps the newest token of a flow, which any frame of it may carry.
    pub(super) fn keep_token(&mut self, frame: &Frame) {
        if let Some(flow) = self.flows.get_mut(&frame.flow)
            && !frame.token.is_empty()
        {
            flow.frame.token.clone_from(&frame.token);
        }
    }

    pub(super) fn on_frame(&mut self, now: Instant, frame: Frame, context: &mut Context) {
        self.keep_token(&frame);
        let Some(flow) = self.flows.get_mut(&frame.flow) else {
            return;
        };
        flow.last_heard = now;
        match frame.kind() {
            Kind::Refuse => self.on_refused(now, &frame, context),
            Kind::Opened | Kind::Data => {
                let is_strayed = frame.service != flow.frame.service
                    || flow
                        .target
                        .as_ref()
                        .is_some_and(|target| *target != frame.target);
                if is_strayed {
                    context.tally.strayed += 1;
                }
                if flow.target.is_none() {
                    flow.target = Some(frame.target);
                    let (service, class) = (&flow.frame.service, &flow.frame.class);
                    context.tally.class(service, class).flows_opened += 1;
                }
            }
            Kind::Close => self.lose(now, frame.flow, "Closed", context),
            _ => {}
        }
    }

    fn on_refused(&mut self, now: Instant, frame: &Frame, context: &mut Context) {
        let reason = format!("{:?}", frame.refusal());
        self.lose(now, frame.flow, &reason, context);
    }

    fn lose(&mut self, now: Instant, id: u64, reason: &str, context: &mut Context) {
        let Some(flow) = self.flows.remove(&id) else {
            return;
        };
        let class = context.tally.class(&flow.frame.service, &flow.frame.class);
        match flow.target {
            Some(_) => *class.flows_broken.entry(reason.to_owned()).or_default() += 1,
            None => class.flows_refused += 1,
        }
        if let Some(place) = self.places.get_mut(flow.place) {
            place.flow = None;
            place.reopen_at = Some(now + REOPEN_PAUSE);
        }
    }

    pub(super) fn on_step(
        &mut self,
        now: Instant,
        is_loading: bool,
        requests: &mut Requests,
        context: &mut Context,
    ) {
        if is_loading {
            self.open_missing(now, context);
        }
        let mut lost = Vec::new();
        for (id, flow) in &mut self.flows {
            let reason = step_flow(now, flow, context);
            lost.extend(reason.map(|reason| (*id, reason)));
            let Some(every_ms) = self.places[flow.place].load.request_every_ms else {
                continue;
            };
            let is_due = is_loading && flow.target.is_some() && now >= flow.next_request;
            if is_due && requests.open_on(*id) < OPEN_REQUESTS {
                flow.next_request = now + Duration::from_millis(every_ms);
                let request = NewRequest {
                    frame: flow.frame.clone(),
                    idempotent: false,
                };
                requests.submit(now, request, context);
            }
        }
        for (id, reason) in lost {
            self.lose(now, id, reason, context);
        }
    }

    fn open_missing(&mut self, now: Instant, context: &mut Context) {
        for (index, place) in self.places.iter_mut().enumerate() {
            if place.flow.is_some() || place.reopen_at.is_some_and(|at| now < at) {
                continue;
            }
            let id = context.rng.random_range(1..u64::MAX);
            let frame = Frame {
                service: place.load.service.to_owned(),
                class: place.load.class.to_owned(),
                flow: id,
                member: format!("member-{}", index % 10),
                domain: context.options.domain.to_string(),
                // Every fourth flow goes without a token, so that history is exercised as well.
                echo: index % 4 != 3,
                ..Frame::new(Kind::Open)
            };
            place.flow = Some(id);
            context.out.push(frame.clone());
            let flow = Flow {
                place: index,
                frame,
                target: None,
                first_sent: now,
                last_sent: now,
                last_heard: now,
                next_request: now + Duration::from_millis(context.rng.random_range(0..200)),
            };
            self.flows.insert(id, flow);
        }
    }

    /// Closes every flow.
    pub(super) fn close(&mut self, context: &mut Context) {
        for flow in self.flows.values() {
            context.out.push(Frame {
                kind: Kind::Close.into(),
                ..flow.frame.clone()
            });
        }
    }
}

/// Sends what is due on a flow and returns why it is lost, if it is.
fn step_flow(now: Instant, flow: &mut Flow, context: &mut Context) -> Option<&'static str> {
    let is_open = flow.target.is_some();
    if !is_open && now > flow.first_sent + OPEN_GIVE_UP {
        return Some("NotOpened");
    }
    if is_open && now > flow.last_heard + SILENT {
        return Some("Silent");
    }
    let (kind, period) = match is_open {
        true => (Kind::Data, KEEP_ALIVE),
        false => (Kind::Open, OPEN_RESEND),
    };
    if now < flow.last_sent + period {
        return None;
    }
    flow.last_sent = now;
    context.out.push(Frame {
        kind: kind.into(),
        ..flow.frame.clone()
    });
    None
}
