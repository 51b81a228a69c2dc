//! Tests that resent opening packets do not add to the load of targets that turn requests away.

mod kit;

use ids::Millis;
use kit::{LOOKUP, TestInstance};
use steer::{Note, TargetId, TargetLoad};

/// Opens flows that no target answers, while totals show this number of requests turned away by each
/// target. Returns how many opening packets go to a further target, and how many are withheld.
fn resend(turned_away: u32, flows: usize, handshakes: usize) -> (usize, usize) {
    let mut instance = TestInstance::new();
    let loads: Vec<TargetLoad> = (1..=5)
        .map(|id| TargetLoad {
            answered: 10,
            turned_away,
            ..TargetLoad::none(TargetId(id).token())
        })
        .collect();
    instance.steer.on_domain_loads(instance.now, &loads);
    for _ in 0..flows {
        let flow = instance.flow(LOOKUP);
        instance.send_opening(flow, 0);
    }
    instance.advance(Millis(150));
    let first = instance.run_timers().len();
    for _ in 0..handshakes {
        let flow = instance.flow(LOOKUP);
        instance.open_established(flow);
    }
    for _ in 0..flows {
        let flow = instance.flow(LOOKUP);
        instance.send_opening(flow, 0);
    }
    instance.advance(Millis(150));
    let resends = first + instance.run_timers().len();
    let notes = instance.steer.take_notes();
    let withheld = notes
        .iter()
        .filter(|note| matches!(note, Note::ResendWithheld { .. }));
    (resends, withheld.count())
}

/// Guards against a storm of resent opening packets under overload.
#[test]
fn resends_follow_the_handshakes_while_targets_turn_requests_away() {
    let (few, withheld) = resend(10, 100, 0);
    assert!((10..=15).contains(&few), "{few}");
    assert!(withheld >= 180, "{withheld}");
    let (more, _) = resend(10, 100, 25);
    assert!((few + 4..=few + 6).contains(&more), "{more} after {few}");
}

/// Guards against flows that wait for their callers' copies where targets are only down.
#[test]
fn resends_are_not_limited_while_no_total_shows_requests_turned_away() {
    let (resends, withheld) = resend(0, 100, 0);
    assert!(resends >= 200, "{resends}");
    assert_eq!(withheld, 0);
}
