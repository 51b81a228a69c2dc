//! Tests that the sum of a service's stalled requests leads to the same decisions as counting those
//! of each target.

#![allow(clippy::unwrap_used)]

mod kit;

use std::collections::BTreeMap;

use ids::{Micros, Millis};
use kit::{TestInstance, new_target};
use proptest::prelude::*;
use steer::evidence::StalledRequests;
use steer::{Change, Evidence, Observation, Target, TargetId};

const IDS: std::ops::RangeInclusive<u64> = 1..=6;

/// A target as the model knows it.
#[derive(Debug, Default)]
struct Model {
    service: String,
    incarnation: u64,
    stalled: StalledRequests,
}

#[derive(Debug, Clone)]
enum Step {
    Stall(u64),
    Report {
        id: u64,
        service: &'static str,
        domain: &'static str,
        incarnation: u64,
    },
    /// The report disappears, and the target is forgotten.
    Forget(u64),
}

fn steps() -> impl Strategy<Value = Vec<(Millis, Step)>> {
    let service = prop::sample::select(vec!["rates", "rates", "uploads"]);
    let domain = prop::sample::select(vec!["a", "b"]);
    let report = (IDS, service, domain, 1..3_u64).prop_map(|(id, service, domain, incarnation)| {
        Step::Report {
            id,
            service,
            domain,
            incarnation,
        }
    });
    let step = prop_oneof![
        12 => (1..=2_u64).prop_map(Step::Stall),
        4 => IDS.prop_map(Step::Stall),
        2 => report,
        1 => IDS.prop_map(Step::Forget),
    ];
    let time = prop::sample::select(vec![0, 1, 50, 200, 999, 1_000, 2_000, 2_001]);
    prop::collection::vec((time.prop_map(Millis), step), 1..80)
}

/// Counts a stalled request by looking at all targets of the service.
fn count_stalled(now: Micros, models: &mut BTreeMap<u64, Model>, id: u64) {
    let Some(model) = models.get_mut(&id) else {
        return;
    };
    let count = model.stalled.add(now);
    let service = model.service.clone();
    let others = models.iter().filter(|(other, _)| **other != id);
    let others = others.filter(|(_, other)| other.service == service);
    let counts: Vec<u32> = others.map(|(_, other)| other.stalled.count(now)).collect();
    if count * counts.len() as u32 > 3 * counts.iter().sum::<u32>() {
        models.get_mut(&id).unwrap().stalled.avoid_if_excessive(now);
    }
}

fn report(instance: &mut TestInstance, models: &mut BTreeMap<u64, Model>, target: Target) {
    let model = models.entry(target.id.0).or_default();
    if model.incarnation != target.incarnation {
        model.stalled = StalledRequests::default();
    }
    model.incarnation = target.incarnation;
    model.service = target.service.to_string();
    instance.publish(vec![Change::Target(target)]);
}

proptest! {
    /// Guards against a sum that drifts from the counts of the targets when their windows end, when
    /// they restart, change their service or leave: healthy targets would be avoided, or those that
    /// stall requests would not.
    #[test]
    fn sum_decides_like_counting_each_target(steps in steps()) {
        let mut instance = TestInstance::empty();
        let mut models = BTreeMap::new();
        for id in IDS {
            report(&mut instance, &mut models, new_target(id, "rates", "a"));
        }
        for (time, step) in steps {
            instance.advance(time);
            match step {
                Step::Stall(id) => {
                    let evidence = Evidence {
                        target: TargetId(id),
                        observation: Observation::Stalled,
                        age: Millis(0),
                        caller: None,
                    };
                    instance.steer.on_evidence(instance.now, &evidence);
                    count_stalled(instance.now, &mut models, id);
                }
                Step::Report { id, service, domain, incarnation } => {
                    let target = Target { incarnation, ..new_target(id, service, domain) };
                    report(&mut instance, &mut models, target);
                }
                Step::Forget(id) => {
                    instance.publish(vec![Change::TargetGone(TargetId(id))]);
                    instance.sweep();
                    instance.advance(Millis(2_001));
                    instance.sweep();
                    instance.advance(Millis(61_000));
                    instance.sweep();
                    models.retain(|id, _| instance.steer.view().record(TargetId(*id)).is_some());
                }
            }
            for (id, model) in &models {
                let record = instance.steer.view().record(TargetId(*id)).unwrap();
                prop_assert_eq!(
                    record.stalled_requests.is_avoided(instance.now),
                    model.stalled.is_avoided(instance.now),
                    "target {}", id
                );
            }
        }
    }
}
