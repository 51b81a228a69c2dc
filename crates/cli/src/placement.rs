//! Placement of flows under a document, computed in the same way as on instances.

use balance::placement;
use balance::view::{Candidate, TargetSet};
use conf::Document;
use conf::model::{Service, TargetState};
use ids::{DomainName, Micros, ServiceName, hash_of};
use serde::Serialize;
use std::collections::BTreeSet;
use wire::token::TargetId;

/// Number of sampled flow ids per failure domain; keeps the standard error of a share below 1 %.
const SAMPLES_PER_DOMAIN: u64 = 4_096;
const SAMPLE_SEED: u64 = 0x7361_6d70_6c65_0001;

/// Estimated share of the flows of a service that are placed on another target.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct MovedFlows {
    /// The service.
    pub service: ServiceName,
    /// Share in thousandths, rounded up.
    pub permille: u64,
}

/// Returns the targets of a service that accept new flows.
pub fn serving_target_set(name: &ServiceName, service: &Service) -> TargetSet {
    let serving = service
        .targets
        .iter()
        .filter(|(_, target)| target.state == TargetState::Serving);
    let mut candidates: Vec<_> = serving
        .map(|(target, value)| Candidate {
            target: TargetId::new(name, target),
            domain: value.domain.clone(),
            weight: value.weight.0,
        })
        .collect();
    candidates.sort_by_key(|candidate| candidate.target);
    TargetSet {
        candidates,
        since: Micros(0),
    }
}

/// Estimates for each service of both documents how many flows are placed on another target.
/// Assumes that callers are spread evenly over the failure domains of the targets.
pub fn estimate_moved_flows(old: &Document, new: &Document) -> Vec<MovedFlows> {
    let in_both = old
        .services
        .iter()
        .filter_map(|(name, before)| Some((name, before, new.services.get(name)?)));
    in_both
        .map(|(name, before, after)| MovedFlows {
            service: name.clone(),
            permille: moved_permille(name, before, after),
        })
        .filter(|moved| moved.permille > 0)
        .collect()
}

fn moved_permille(name: &ServiceName, old: &Service, new: &Service) -> u64 {
    let (before, after) = (serving_target_set(name, old), serving_target_set(name, new));
    if before.candidates == after.candidates {
        return 0;
    }
    let targets = old.targets.values().chain(new.targets.values());
    let domains: BTreeSet<&DomainName> = targets.map(|target| &target.domain).collect();
    let mut moved = 0;
    for domain in &domains {
        for index in 0..SAMPLES_PER_DOMAIN {
            let id = hash_of(SAMPLE_SEED, &index.to_le_bytes());
            let placed = |set| placement::place(set, domain.as_str(), id).map(|found| found.target);
            moved += u64::from(placed(&before) != placed(&after));
        }
    }
    // Rounding up reports a small share as one in a thousand instead of zero.
    let sample_count = SAMPLES_PER_DOMAIN * domains.len() as u64;
    (moved * 1_000).div_ceil(sample_count.max(1))
}
