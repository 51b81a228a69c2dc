//! Tests that less urgent flows leave capacity free while a service is short of it.

use std::net::Ipv4Addr;

use ids::{Micros, Millis};
use steer::admission::{Admission, Refusal, Request, ServiceLoad};
use steer::placement::SAMPLE_SIZE;
use steer::{Priority, RouteTerms, TargetId};

const START: Micros = Micros(50_000_000);

const CALM: ServiceLoad = ServiceLoad {
    answered: 100,
    turned_away: 0,
    delayed: 0,
};

fn terms(priority: u8) -> RouteTerms {
    RouteTerms {
        priority: Priority(priority),
        timeout: Millis(1_000),
        latency_goal: Millis(200),
    }
}

/// Returns an admission that has observed calm for 3 s and has this many requests of each priority.
fn calm(requests: &[(u8, u32)]) -> (Admission, Micros) {
    let mut admission = Admission::default();
    admission.observe(START, &CALM);
    let now = START + Millis(3_000);
    admission.observe(now, &CALM);
    for (priority, count) in requests {
        (0..*count).for_each(|_| admission.record_request(Priority(*priority)));
    }
    (admission, now)
}

/// Records requests that are turned away at an interval.
fn turn_away(admission: &mut Admission, now: Micros, count: u64, interval: Millis) {
    (0..count).for_each(|index| {
        admission.record_turned_away(now + Millis(index * interval.0), TargetId(index % 3));
    });
}

/// Guards against a burst that fills all queues before the first total shows it, and against a
/// shortage shown by single requests.
#[test]
fn shortage_is_seen_before_a_report_shows_it() {
    for (count, interval, is_short) in [(3, 10, false), (4, 10, true), (20, 100, false)] {
        let (mut admission, now) = calm(&[(0, 100), (1, 100)]);
        turn_away(&mut admission, now, count, Millis(interval));
        assert_eq!(admission.share(now) < 1.0, is_short, "{count}, {interval}");
    }
    let (mut admission, now) = calm(&[(0, 100)]);
    admission.record_turned_away(now, TargetId(0));
    (0..100).for_each(|_| admission.record_request(Priority(0)));
    turn_away(&mut admission, now, 10, Millis(1));
    assert_eq!(admission.share(now), 1.0);
}

/// Guards against samples that are changed in calm times or where nothing is urgent.
#[test]
fn urgent_flows_compare_more_targets_than_others() {
    let sizes =
        |admission: &Admission, now| [0, 1].map(|it| admission.sample_size(now, Priority(it)));
    let (mut admission, now) = calm(&[(0, 100), (1, 100)]);
    assert_eq!(sizes(&admission, now), [SAMPLE_SIZE; 2]);
    turn_away(&mut admission, now, 60, Millis(0));
    let [urgent, other] = sizes(&admission, now);
    assert!(urgent > SAMPLE_SIZE && other < SAMPLE_SIZE);
    let (mut admission, now) = calm(&[(1, 100)]);
    turn_away(&mut admission, now, 60, Millis(0));
    assert_eq!(sizes(&admission, now), [SAMPLE_SIZE; 2]);
}

/// Guards against a reserve without urgent work, in calm times or without totals, and against one
/// that rests on times learned by an instance that has just started.
#[test]
fn reserve_follows_the_urgent_demand() {
    let is_reserved = |admission: &Admission, now, priority, time| {
        admission.is_reserved(now, &terms(priority), Millis(time), Millis(time))
    };
    for (urgent, limit) in [(0, 100), (50, 70), (100, 40), (900, 40)] {
        let (mut admission, now) = calm(&[(0, urgent), (1, 1_000 - urgent)]);
        assert!(!is_reserved(&admission, now, 1, limit + 1), "calm");
        turn_away(&mut admission, now, 600, Millis(0));
        assert!(!is_reserved(&admission, now, 1, limit - 1), "{urgent}");
        assert!(is_reserved(&admission, now, 1, limit + 1), "{urgent}");
        assert!(!is_reserved(&admission, now - Millis(1_100), 1, limit + 1));
        assert!(!is_reserved(&admission, now + Millis(900), 1, limit + 1));
        let no_goal = RouteTerms {
            latency_goal: Millis(0),
            ..terms(1)
        };
        assert!(!admission.is_reserved(now, &no_goal, Millis(500), Millis(500)));
    }
}

/// Returns how many of 2,000 flows are refused whose best target answers soon.
fn refused(admission: &mut Admission, now: Micros, priority: u8, is_reserved: bool) -> usize {
    let refused = (0..2_000).filter(|index| {
        let request = Request {
            terms: terms(priority),
            caller: Ipv4Addr::from(0x6440_0000 + index),
            expected_time: Millis(45),
            is_target_free: !is_reserved,
            is_reserved,
        };
        admission.decide(now, &request) == Err(Refusal::NoRoom)
    });
    refused.count()
}

/// Guards against less urgent flows on targets that only have the reserve left, and against a
/// priority that starves for it, an urgent flow that is refused, or a reserve that stays.
#[test]
fn reserve_is_left_to_urgent_flows_until_a_second_after_the_shortage() {
    let (mut admission, start) = calm(&[(0, 1_000), (1, 1_000)]);
    turn_away(&mut admission, start, 600, Millis(0));
    for (time, is_kept) in [(450, true), (850, true), (1_000, false)] {
        let now = start + Millis(time);
        admission.observe(now, &CALM);
        assert_eq!(refused(&mut admission, now, 0, true), 0, "{time}");
        assert_eq!(refused(&mut admission, now, 1, false), 0, "{time}");
        let kept = refused(&mut admission, now, 1, true);
        assert_eq!((1_860..1_940).contains(&kept), is_kept, "{time}: {kept}");
        assert!(is_kept || kept == 0, "{kept}");
    }
}

/// Guards against a burst of flows to targets that look free because no total shows the queues yet.
#[test]
fn no_target_counts_as_free_until_totals_show_the_queues() {
    let (mut admission, now) = calm(&[(0, 1_000), (1, 1_000)]);
    turn_away(&mut admission, now, 600, Millis(0));
    let now = now + Millis(399);
    assert_eq!(refused(&mut admission, now, 0, false), 0);
    assert!((1_860..1_940).contains(&refused(&mut admission, now, 1, false)));
    assert_eq!(refused(&mut admission, now + Millis(1), 1, false), 0);
}

/// Guards against one full target that makes its service short of capacity beside idle ones.
#[test]
fn one_full_target_shows_no_shortage() {
    let (mut admission, now) = calm(&[(0, 100), (1, 100)]);
    (0..20).for_each(|_| admission.record_turned_away(now, TargetId(1)));
    assert_eq!(admission.share(now), 1.0);
}

/// Guards against a reserve that is kept again and again by an instance that gets no totals.
#[test]
fn shortage_is_not_seen_without_totals() {
    let (mut admission, now) = calm(&[(0, 100), (1, 100)]);
    turn_away(&mut admission, now + Millis(1_500), 20, Millis(0));
    assert_eq!(admission.share(now + Millis(1_500)), 1.0);
}
