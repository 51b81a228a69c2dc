//! Rules for one configuration.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;

use ids::Millis;

use super::{
    ColdRate, Draft, DraftRoute, DraftService, Field, Finding, Place, Problem, route_place,
    service_place,
};

/// Number of flows that an instance may open within a second at a cold target that it owns, however
/// low the cold rate is, in thousandths; see `ColdLimit::share_per_window`.
const MIN_SHARE_MILLI: i64 = 1_000;

/// Returns everything that contradicts itself in a configuration.
pub fn check(draft: &Draft) -> Vec<Finding> {
    let mut findings = Vec::new();
    if draft.version == 0 {
        let place = Place::Document(Field::Version);
        findings.push(Finding::new(place, Problem::VersionZero));
    }
    findings.extend(idle_problem(draft).map(|problem| {
        let place = Place::Document(Field::Idle);
        Finding::new(place, problem)
    }));
    check_routes(draft, &mut findings);
    check_services(draft, &mut findings);
    findings
}

/// Reports one finding for all routes, because a single wrong limit would otherwise give as many
/// findings as there are routes.
fn idle_problem(draft: &Draft) -> Option<Problem> {
    if draft.idle == Millis(0) {
        return Some(Problem::IdleZero);
    }
    let longer = || {
        let routes = draft.routes.iter();
        routes.filter(|route| route.route.terms.timeout > draft.idle)
    };
    let longest = longer().max_by_key(|route| route.route.terms.timeout)?;
    Some(Problem::IdleBelowTimeout {
        idle: draft.idle,
        timeout: longest.route.terms.timeout,
        route: longest.name.clone(),
        count: longer().count(),
    })
}

fn check_routes(draft: &Draft, findings: &mut Vec<Finding>) {
    let services: HashSet<&str> = draft
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let mut earlier: HashMap<SocketAddrV4, &DraftRoute> = HashMap::new();
    for (index, route) in draft.routes.iter().enumerate() {
        let mut report = |field, problem| {
            let place = route_place(index, route, Some(field));
            findings.push(Finding::new(place, problem));
        };
        let entry = route.route.entry;
        if entry.port() == 0 {
            report(Field::Port, Problem::PortZero);
        }
        if let Some(other) = earlier.insert(entry, route) {
            report(Field::Port, Problem::DuplicateEntry(other.name.clone()));
        }
        let terms = route.route.terms;
        if route.has_timeout && terms.timeout == Millis(0) {
            report(Field::Timeout, Problem::TimeoutZero);
        }
        if terms.timeout > Millis(0) && terms.latency_goal > terms.timeout {
            let problem = Problem::GoalPastTimeout {
                goal: terms.latency_goal,
                timeout: terms.timeout,
            };
            report(Field::LatencyGoal, problem);
        }
        check_shares(index, route, &services, findings);
    }
}

fn check_shares(
    index: usize,
    route: &DraftRoute,
    services: &HashSet<&str>,
    findings: &mut Vec<Finding>,
) {
    let shares = &route.route.shares;
    if shares.is_empty() {
        let place = route_place(index, route, Some(Field::RouteService));
        findings.push(Finding::new(place, Problem::NoService));
        return;
    }
    let has_weight = shares.iter().any(|share| share.weight > 0);
    if !has_weight {
        let place = route_place(index, route, Some(Field::Split));
        findings.push(Finding::new(place, Problem::AllWeightsZero));
    }
    for (position, share) in shares.iter().enumerate() {
        let place_of = |field| match route.is_split {
            true => Place::Share {
                index,
                name: route.name.clone(),
                share: position,
                field,
            },
            false => route_place(index, route, Some(Field::RouteService)),
        };
        if has_weight && share.weight == 0 {
            let place = place_of(Field::ShareWeight);
            findings.push(Finding::new(place, Problem::WeightZero));
        }
        // Configurations without a list of services are valid; earlier versions had none.
        if !services.is_empty() && !services.contains(share.service.as_str()) {
            let place = place_of(Field::ShareService);
            let problem = Problem::UnknownService(share.service.clone());
            findings.push(Finding::new(place, problem));
        }
    }
}

fn check_services(draft: &Draft, findings: &mut Vec<Finding>) {
    let shares = draft.routes.iter().flat_map(|route| &route.route.shares);
    let used: HashSet<&str> = shares.map(|share| share.service.as_str()).collect();
    let mut names = HashSet::new();
    for (index, service) in draft.services.iter().enumerate() {
        let mut report = |field, problem| {
            let place = service_place(index, service, field);
            findings.push(Finding::new(place, problem));
        };
        if !names.insert(service.name.as_str()) {
            report(Some(Field::ServiceName), Problem::DuplicateService);
        }
        if !used.contains(service.name.as_str()) {
            report(None, Problem::UnusedService);
        }
        if service.warmup_ms < 0 {
            report(Some(Field::Warmup), Problem::Negative);
        }
        if let Some(problem) = cold_rate_problem(service) {
            report(Some(Field::ColdRate), problem);
        }
    }
}

fn cold_rate_problem(service: &DraftService) -> Option<Problem> {
    let is_ever_cold = service.warmup_ms > 0;
    match service.cold_rate_milli {
        Some(rate) if rate < 0 => Some(Problem::Negative),
        Some(rate) if is_ever_cold && rate < MIN_SHARE_MILLI => {
            Some(Problem::ColdRateBelowShare(ColdRate(rate)))
        }
        None if is_ever_cold => Some(Problem::NoColdRate),
        _ => None,
    }
}
