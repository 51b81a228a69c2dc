//! Differences between the configuration in force and the one to be published.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::Hash;
use std::net::SocketAddrV4;

use ids::Millis;

use super::{
    ColdRate, Draft, DraftRoute, DraftService, Field, Finding, Place, Problem, Side, route_place,
    service_place,
};
use crate::model::{Repeat, Share};

/// Returns the differences of a new configuration from the one in force.
pub fn compare(old: &Draft, new: &Draft) -> Vec<Finding> {
    let mut findings = vec![compare_versions(old.version, new.version)];
    let idle = change(&old.idle, &new.idle);
    findings.extend(idle.map(|problem| Finding::new(Place::Document(Field::Idle), problem)));
    compare_routes(&old.routes, &new.routes, &mut findings);
    compare_services(&old.services, &new.services, &mut findings);
    findings
}

/// Returns the difference of the versions: an error unless the new one is greater, since instances
/// take no other.
pub fn compare_versions(old: u64, new: u64) -> Finding {
    let place = Place::Document(Field::Version);
    if new <= old {
        return Finding::new(place, Problem::VersionNotGreater { old, new });
    }
    let problem = Problem::Changed {
        old: old.to_string(),
        new: new.to_string(),
    };
    Finding::new(place, problem)
}

/// Pairs routes by name, and the rest by entry, so that a renamed route is not taken for a removed
/// one.
fn compare_routes(old: &[DraftRoute], new: &[DraftRoute], findings: &mut Vec<Finding>) {
    let mut pairs = pair(old, new, |route| route.name.clone());
    let by_entry = pair(old, new, |route| route.route.entry);
    pair_rest(&mut pairs, &by_entry);
    let entries: HashSet<SocketAddrV4> = new.iter().map(|route| route.route.entry).collect();
    let mut is_paired = vec![false; new.len()];
    for (index, (before, partner)) in old.iter().zip(&pairs).enumerate() {
        let mut report_old = |problem| {
            let place = route_place(index, before, None);
            findings.push(Finding {
                side: Side::Old,
                place,
                problem,
            });
        };
        let after = partner.and_then(|partner| Some((partner, new.get(partner)?)));
        if after.is_none() {
            report_old(Problem::Removed);
        }
        if !entries.contains(&before.route.entry) {
            report_old(Problem::EntryRemoved(before.route.entry));
        }
        let Some((partner, after)) = after else {
            continue;
        };
        if let Some(paired) = is_paired.get_mut(partner) {
            *paired = true;
        }
        for (field, problem) in route_changes(before, after) {
            let place = route_place(partner, after, Some(field));
            findings.push(Finding::new(place, problem));
        }
    }
    for (index, route) in added(new, &is_paired) {
        findings.push(Finding::new(
            route_place(index, route, None),
            Problem::Added,
        ));
    }
}

fn compare_services(old: &[DraftService], new: &[DraftService], findings: &mut Vec<Finding>) {
    let pairs = pair(old, new, |service| service.name.clone());
    let mut is_paired = vec![false; new.len()];
    for (index, (before, partner)) in old.iter().zip(&pairs).enumerate() {
        let Some((partner, after)) = partner.and_then(|partner| Some((partner, new.get(partner)?)))
        else {
            findings.push(Finding {
                side: Side::Old,
                place: service_place(index, before, None),
                problem: Problem::Removed,
            });
            continue;
        };
        if let Some(paired) = is_paired.get_mut(partner) {
            *paired = true;
        }
        for (field, problem) in service_changes(before, after) {
            let place = service_place(partner, after, Some(field));
            findings.push(Finding::new(place, problem));
        }
    }
    for (index, service) in added(new, &is_paired) {
        let place = service_place(index, service, None);
        findings.push(Finding::new(place, Problem::Added));
    }
}

fn added<'a, T>(new: &'a [T], is_paired: &'a [bool]) -> impl Iterator<Item = (usize, &'a T)> {
    let items = new.iter().enumerate().zip(is_paired);
    items
        .filter(|(_, is_paired)| !**is_paired)
        .map(|(item, _)| item)
}

/// Returns for each old item the position of the new item with the same key. Each new item is the
/// partner of at most one old item, also when keys occur several times.
fn pair<T, K: Eq + Hash>(old: &[T], new: &[T], key_of: impl Fn(&T) -> K) -> Vec<Option<usize>> {
    let mut positions: HashMap<K, VecDeque<usize>> = HashMap::new();
    for (index, item) in new.iter().enumerate() {
        positions.entry(key_of(item)).or_default().push_back(index);
    }
    let partner = |item| positions.get_mut(&key_of(item))?.pop_front();
    old.iter().map(partner).collect()
}

/// Adds pairs whose items are both without a partner.
fn pair_rest(pairs: &mut [Option<usize>], further: &[Option<usize>]) {
    let mut taken: HashSet<usize> = pairs.iter().flatten().copied().collect();
    for (partner, candidate) in pairs.iter_mut().zip(further) {
        if partner.is_none() {
            *partner = candidate.filter(|candidate| taken.insert(*candidate));
        }
    }
}

fn route_changes(
    old: &DraftRoute,
    new: &DraftRoute,
) -> impl Iterator<Item = (Field, Problem)> + use<> {
    let shares_field = if new.is_split {
        Field::Split
    } else {
        Field::RouteService
    };
    let (before, after) = (&old.route, &new.route);
    let (old_terms, new_terms) = (before.terms, after.terms);
    let changes = [
        (Field::RouteName, change(&old.name, &new.name)),
        (Field::Host, change(before.entry.ip(), after.entry.ip())),
        (
            Field::Port,
            change(&before.entry.port(), &after.entry.port()),
        ),
        (
            shares_field,
            change(&show_shares(&before.shares), &show_shares(&after.shares)),
        ),
        (
            Field::Repeat,
            change(&show_repeat(before.repeat), &show_repeat(after.repeat)),
        ),
        (
            Field::Priority,
            change(&old_terms.priority, &new_terms.priority),
        ),
        (
            Field::Timeout,
            change(
                &show_limit(old_terms.timeout),
                &show_limit(new_terms.timeout),
            ),
        ),
        (
            Field::LatencyGoal,
            change(
                &show_limit(old_terms.latency_goal),
                &show_limit(new_terms.latency_goal),
            ),
        ),
    ];
    changes
        .into_iter()
        .filter_map(|(field, problem)| Some((field, problem?)))
}

fn service_changes(
    old: &DraftService,
    new: &DraftService,
) -> impl Iterator<Item = (Field, Problem)> + use<> {
    let warmup = change(
        &format!("{}ms", old.warmup_ms),
        &format!("{}ms", new.warmup_ms),
    );
    let cold_rate = change(
        &show_cold_rate(old.cold_rate_milli),
        &show_cold_rate(new.cold_rate_milli),
    );
    let changes = [(Field::Warmup, warmup), (Field::ColdRate, cold_rate)];
    changes
        .into_iter()
        .filter_map(|(field, problem)| Some((field, problem?)))
}

fn change<T: PartialEq + ToString>(old: &T, new: &T) -> Option<Problem> {
    if old == new {
        return None;
    }
    Some(Problem::Changed {
        old: old.to_string(),
        new: new.to_string(),
    })
}

fn show_shares(shares: &[Share]) -> String {
    match shares {
        [] => "none".to_owned(),
        [share] => share.service.to_string(),
        _ => {
            let parts = shares.iter();
            let parts: Vec<_> = parts
                .map(|share| format!("{} {}", share.service, share.weight))
                .collect();
            parts.join(", ")
        }
    }
}

fn show_repeat(repeat: Repeat) -> &'static str {
    match repeat {
        Repeat::Idempotent => "idempotent",
        Repeat::Never => "not to be repeated",
    }
}

/// Durations of 0 mean that the configuration gives none.
fn show_limit(limit: Millis) -> String {
    match limit {
        Millis(0) => "none".to_owned(),
        limit => limit.to_string(),
    }
}

fn show_cold_rate(rate: Option<i64>) -> String {
    rate.map_or("none".to_owned(), |rate| ColdRate(rate).to_string())
}
