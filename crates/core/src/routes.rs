//! Targets as a shard sees them: addresses, flow counts and unanswered keep-alives.

use std::net::SocketAddr;

use hashbrown::HashMap;
use ids::{Millis, ServiceName, TargetName};
use wire::token::TargetId;

use crate::event::{Observation, ShardAction};
use crate::table::{WrappingMs, elapsed};
use crate::view::{TargetView, View};

/// Consecutive unanswered keep-alives after which a flow or target may count as silent. Callers
/// send one per second, so this many pass in the default silence timeout of 5 s. On a path that
/// loses a tenth of the round trips, five losses in a row have a probability of 1 in 100,000.
pub(crate) const MIN_UNANSWERED_KEEP_ALIVES: u8 = 5;

/// Interval between reports of flow counts to the control plane.
const REPORT_INTERVAL_MS: Millis = Millis(200);

/// State of one target.
#[derive(Debug)]
pub(crate) struct Route {
    pub(crate) service: ServiceName,
    pub(crate) name: TargetName,
    pub(crate) address: SocketAddr,
    pub(crate) accepts_new: bool,
    /// Whether the target is the holder of its address; see [`Routes::update`].
    is_reachable: bool,
    max_flows: u32,
    /// Weight times the ramp in permille.
    capacity: u64,
    peers_flows: u32,
    own_flows: u32,
    reported_flows: u32,
    /// Time until which the target gets no new flows because it refused one.
    refused_until_ms: Option<WrappingMs>,
    /// Last time at which the target accepted no flows, so that placement skipped it.
    last_skipped_ms: Option<WrappingMs>,
    last_heard_ms: Option<WrappingMs>,
    /// Time of the first keep-alive since the last frame from the target; valid if
    /// `unanswered_keep_alives` is positive.
    first_unanswered_ms: WrappingMs,
    unanswered_keep_alives: u8,
    /// Time at which the target left the view. Its flows continue until its address is reused.
    removed_ms: Option<WrappingMs>,
}

impl Route {
    fn new(view: &TargetView) -> Self {
        let mut route = Self {
            service: view.service.clone(),
            name: view.name.clone(),
            address: view.declared.address,
            accepts_new: false,
            is_reachable: false,
            max_flows: 0,
            capacity: 0,
            peers_flows: 0,
            own_flows: 0,
            reported_flows: 0,
            refused_until_ms: None,
            last_skipped_ms: None,
            last_heard_ms: None,
            first_unanswered_ms: 0,
            unanswered_keep_alives: 0,
            removed_ms: None,
        };
        route.update(view);
        route
    }

    fn update(&mut self, view: &TargetView) {
        self.address = view.declared.address;
        self.accepts_new = view.accepts_new;
        self.max_flows = view.declared.max_flows;
        self.capacity = u64::from(view.declared.weight.0) * u64::from(view.ramp_permille);
        self.peers_flows = view.peers_flows;
        self.removed_ms = None;
    }

    fn flows(&self) -> u32 {
        self.own_flows.saturating_add(self.peers_flows)
    }

    fn is_full(&self) -> bool {
        self.flows() >= self.max_flows
    }

    /// Returns whether the target may get a new flow.
    pub(crate) fn can_accept_flow(&self, now: WrappingMs) -> bool {
        // The wrapping difference is small while the end of the refusal is in the future.
        let is_refused = self
            .refused_until_ms
            .is_some_and(|until| until.wrapping_sub(now) < u32::MAX / 2 && until != now);
        self.accepts_new && self.capacity > 0 && !is_refused && !self.is_full()
    }

    /// Returns the flows per unit of capacity, including one more flow.
    pub(crate) fn load(&self) -> f64 {
        (f64::from(self.flows()) + 1.0) / self.capacity.max(1) as f64
    }

    /// Returns whether a frame from the target arrived after `since`.
    pub(crate) fn was_heard_since(&self, now: WrappingMs, since: WrappingMs) -> bool {
        self.last_heard_ms
            .is_some_and(|last_heard_ms| elapsed(now, last_heard_ms) < elapsed(now, since))
    }

    /// Returns whether placement may have skipped the target within `window`, so that flows are on
    /// other targets than the target sets imply.
    pub(crate) fn was_skipped(&self, now: WrappingMs, window: Millis) -> bool {
        self.is_full()
            || self
                .last_skipped_ms
                .is_some_and(|since| elapsed(now, since) < window)
    }

    pub(crate) fn count_keep_alive(&mut self, now: WrappingMs) {
        if self.unanswered_keep_alives == 0 {
            self.first_unanswered_ms = now;
        }
        self.unanswered_keep_alives = self.unanswered_keep_alives.saturating_add(1);
    }
}

/// Targets of the newest view, and removed targets whose address was not reused.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    by_target: HashMap<TargetId, Route>,
    by_address: HashMap<SocketAddr, TargetId>,
    /// Keys of `by_target` in ascending order, so that reports do not depend on the hash order.
    sorted_targets: Vec<TargetId>,
    last_report_ms: WrappingMs,
}

impl Routes {
    pub(crate) fn get(&self, target: TargetId) -> Option<&Route> {
        self.by_target.get(&target)
    }

    pub(crate) fn get_mut(&mut self, target: TargetId) -> Option<&mut Route> {
        self.by_target.get_mut(&target)
    }

    /// Applies the targets of a view. Only one target holds an address: a target in the document
    /// has precedence over a removed one, whose flows are then lost.
    pub(crate) fn update(&mut self, now: WrappingMs, view: &View) {
        for (target, known) in &view.targets {
            match self.by_target.get_mut(target) {
                Some(route) => route.update(known),
                None => {
                    self.by_target.insert(*target, Route::new(known));
                }
            }
        }
        for (target, route) in &mut self.by_target {
            if !view.targets.contains_key(target) {
                route.accepts_new = false;
                route.removed_ms.get_or_insert(now);
            }
        }
        self.by_address.clear();
        self.sorted_targets = self.by_target.keys().copied().collect();
        self.sorted_targets.sort_unstable();
        let by_target = &self.by_target;
        let precedence = |target: &TargetId| {
            by_target.get(target).map(|route| {
                let is_declared = view
                    .document
                    .services
                    .get(&route.service)
                    .is_some_and(|service| service.targets.contains_key(&route.name));
                (!is_declared, route.removed_ms.is_some())
            })
        };
        let mut targets_by_precedence = self.sorted_targets.clone();
        targets_by_precedence.sort_by_key(precedence);
        for target in targets_by_precedence {
            if let Some(route) = self.by_target.get(&target) {
                self.by_address.entry(route.address).or_insert(target);
            }
        }
        let by_address = &self.by_address;
        for (target, route) in &mut self.by_target {
            route.is_reachable = by_address.get(&route.address) == Some(target);
        }
        self.by_target
            .retain(|_, route| route.removed_ms.is_none() || route.is_reachable);
        self.sorted_targets
            .retain(|target| self.by_target.contains_key(target));
    }

    /// Returns the route of a target, unless another target now holds its address.
    pub(crate) fn reachable_route(&self, target: TargetId) -> Option<&Route> {
        let route = self.by_target.get(&target)?;
        route.is_reachable.then_some(route)
    }

    /// Returns the target that sent a frame, provided that its address belongs to the named target
    /// and service. The address alone does not suffice, since it may move to another service.
    pub(crate) fn identify_sender(
        &mut self,
        now: WrappingMs,
        from: SocketAddr,
        service: &str,
        name: &str,
    ) -> Option<TargetId> {
        let target = *self.by_address.get(&from)?;
        let route = self.by_target.get_mut(&target)?;
        if route.service.as_str() != service || route.name.as_str() != name {
            return None;
        }
        route.last_heard_ms = Some(now);
        route.unanswered_keep_alives = 0;
        Some(target)
    }

    pub(crate) fn add_flow(&mut self, target: TargetId) {
        if let Some(route) = self.by_target.get_mut(&target) {
            route.own_flows = route.own_flows.saturating_add(1);
        }
    }

    pub(crate) fn remove_flow(&mut self, target: TargetId) {
        if let Some(route) = self.by_target.get_mut(&target) {
            route.own_flows = route.own_flows.saturating_sub(1);
        }
    }

    /// Places no new flows on a target that refused one for `duration`.
    pub(crate) fn back_off(&mut self, now: WrappingMs, target: TargetId, duration: Millis) {
        if let Some(route) = self.by_target.get_mut(&target) {
            route.refused_until_ms = Some(now.wrapping_add(duration.0 as u32));
            route.last_skipped_ms = Some(now);
        }
    }

    /// Reports flow counts and silent targets, and drops removed targets that are no longer used.
    pub(crate) fn on_tick(
        &mut self,
        now: WrappingMs,
        silence_timeout_ms: Millis,
        idle_timeout_ms: Millis,
        out: &mut Vec<ShardAction>,
    ) {
        if elapsed(now, self.last_report_ms) < REPORT_INTERVAL_MS {
            return;
        }
        self.last_report_ms = now;
        let (by_target, by_address) = (&mut self.by_target, &mut self.by_address);
        self.sorted_targets.retain(|target| {
            let Some(route) = by_target.get_mut(target) else {
                return false;
            };
            report_route(now, *target, route, silence_timeout_ms, out);
            let is_unused = route.removed_ms.is_some_and(|removed_ms| {
                let last_used_ms = route.last_heard_ms.map_or(removed_ms, |last_heard_ms| {
                    if elapsed(now, last_heard_ms) < elapsed(now, removed_ms) {
                        last_heard_ms
                    } else {
                        removed_ms
                    }
                });
                route.own_flows == 0 && elapsed(now, last_used_ms) > idle_timeout_ms
            });
            if is_unused {
                by_address.remove(&route.address);
                by_target.remove(target);
            }
            !is_unused
        });
    }
}

fn report_route(
    now: WrappingMs,
    target: TargetId,
    route: &mut Route,
    silence_timeout_ms: Millis,
    out: &mut Vec<ShardAction>,
) {
    if route.is_full() {
        route.last_skipped_ms = Some(now);
    }
    if route.own_flows != route.reported_flows {
        route.reported_flows = route.own_flows;
        out.push(ShardAction::ReportObservation(Observation::Flows {
            target,
            count: route.own_flows,
        }));
    }
    if route.unanswered_keep_alives >= MIN_UNANSWERED_KEEP_ALIVES
        && elapsed(now, route.first_unanswered_ms) >= silence_timeout_ms
    {
        // Report again only after further unanswered keep-alives.
        route.unanswered_keep_alives = 0;
        out.push(ShardAction::ReportObservation(Observation::TimedOut(
            target,
        )));
    }
}
