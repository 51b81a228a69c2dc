//! Learns how many requests the open flows of a route bring.
//!
//! An open flow counts in the load of its target although no request is pending, since long flows
//! bring further ones. See [long flows and busy time](../../../docs/design/flow-balance.md).

use std::net::SocketAddrV4;

use ids::{Micros, Millis};

use crate::flow::{Flow, Stage};
use crate::packet::FlowId;
use crate::steer::Steer;

/// Weight of an open flow relative to a pending request while the demand of its route is unknown, in
/// thousandths.
pub(crate) const UNKNOWN_WEIGHT_MILLI: u32 = 50;

/// Maximum weight of an open flow, in thousandths. Long queues raise the share of the time in which
/// requests are pending. Without a bound, many open flows would then outweigh the present queues: in
/// the pressure model with reports 1 s old, 27.3% instead of 26.8% of arrivals were turned away.
const MAX_WEIGHT_MILLI: u8 = 100;

/// Number of requests, or of ended flows, from which the demand of a route counts as known.
const MIN_SAMPLES: u8 = 32;

/// Number of periods after which the sums become moving ones.
const WINDOW: u8 = 64;

/// Demand of the flows of a route: the share of their time in which a request is pending.
#[derive(Debug, Clone, Copy, Default)]
pub struct FlowDemand {
    requests: u8,
    ended_flows: u8,
    pending_ms: f32,
    open_ms: f32,
}

impl FlowDemand {
    /// Records a period from one request to the next one of a flow, and the part of it in which the
    /// first one was pending. Periods up to the answer would show new flows as always pending.
    pub fn record_request(&mut self, pending: Millis, open: Millis) {
        self.requests = self.requests.saturating_add(1);
        self.record_period(pending, open);
    }

    /// Records the period from the last request of a flow to its end.
    pub fn record_end(&mut self, pending: Millis, open: Millis) {
        self.ended_flows = self.ended_flows.saturating_add(1);
        self.record_period(pending, open);
    }

    fn record_period(&mut self, pending: Millis, open: Millis) {
        let samples = self.requests.saturating_add(self.ended_flows);
        if samples > WINDOW {
            let keep = 1.0 - 1.0 / f32::from(WINDOW);
            self.pending_ms *= keep;
            self.open_ms *= keep;
        }
        self.pending_ms += pending.min(open).0 as f32;
        self.open_ms += open.0 as f32;
    }

    /// Returns the share of their time in which the flows have a request pending, if it is known.
    pub fn share(&self) -> Option<f32> {
        let is_known = self.requests >= MIN_SAMPLES || self.ended_flows >= MIN_SAMPLES;
        (is_known && self.open_ms > 0.0).then(|| self.pending_ms / self.open_ms)
    }

    /// Returns the number of requests that an open flow is expected to bring in addition to a pending
    /// one, in thousandths, if it is known. During its share of the time, the flow already counts as a
    /// pending request, so that flows with a single request add nothing.
    pub fn weight_milli(&self) -> Option<u8> {
        let share = self.share()?;
        let weight_milli = (share * (1.0 - share) * 1_000.0).round() as u8;
        Some(weight_milli.min(MAX_WEIGHT_MILLI))
    }
}

impl Steer {
    /// Adds an open flow to the demand on its target.
    pub(crate) fn count_open_flow(&mut self, id: &FlowId) {
        let Some(weight) = self.demand_of(id.entry).map(|demand| demand.weight_milli()) else {
            return;
        };
        let Some(flow) = self.flows.get_mut(id) else {
            return;
        };
        flow.weight_milli = weight;
        if let Some(record) = self.view.record_mut(flow.target) {
            flow.target_start = record.load.start();
            record.load.add_flow(flow.target_start, weight);
            if record.load.list() {
                self.loaded_targets.push(flow.target);
            }
        }
    }

    /// Learns from the time between two requests of an open flow, and counts the flow with the present
    /// demand of its route. Call it when a request starts.
    pub(crate) fn record_flow_request(&mut self, now: Micros, id: &FlowId) {
        let Some(flow) = self.flows.get(id).copied() else {
            return;
        };
        if flow.pending_ms == 0 {
            return;
        }
        let Some(demand) = self.demand_of(id.entry) else {
            return;
        };
        demand.record_request(Millis(u64::from(flow.pending_ms)), flow.unmeasured(now));
        let weight = demand.weight_milli();
        if let Some(flow) = self.flows.get_mut(id) {
            flow.measured_ms = now.since(flow.created_at).0 as u32;
            flow.pending_ms = 0;
            flow.weight_milli = weight;
        }
        if let Some(record) = self.view.record_mut(flow.target) {
            record
                .load
                .remove_flow(flow.target_start, flow.weight_milli);
            record.load.add_flow(flow.target_start, weight);
        }
    }

    /// Learns from the end of a flow, and removes it from the demand on its target.
    pub(crate) fn record_flow_end(&mut self, now: Micros, id: &FlowId, flow: &Flow) {
        if !matches!(flow.stage, Stage::Established) {
            return;
        }
        if let Some(record) = self.view.record_mut(flow.target) {
            record
                .load
                .remove_flow(flow.target_start, flow.weight_milli);
        }
        let max_pending = self.settings.request_timeout;
        let unanswered = flow.request_sent_at.map(|sent_at| now.since(sent_at));
        let unanswered = unanswered.unwrap_or_default().min(max_pending);
        let pending = Millis(u64::from(flow.pending_ms) + unanswered.0);
        if let Some(demand) = self.demand_of(id.entry) {
            demand.record_end(pending, flow.unmeasured(now));
        }
    }

    /// Returns the demand of a route. Callers choose the address in their packets, so that only entries
    /// of routes are kept.
    fn demand_of(&mut self, entry: SocketAddrV4) -> Option<&mut FlowDemand> {
        self.view.route(entry)?;
        Some(self.flow_demands.entry(entry).or_default())
    }
}
