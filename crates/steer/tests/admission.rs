//! Tests which new flows are refused when a service has too little room.

#![allow(clippy::unwrap_used)]

mod kit;

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use ids::{Micros, Millis};
use kit::{LOOKUP, ORDER, TestInstance, default_routes, new_document};
use steer::admission::{Admission, Refusal, Request, ServiceLoad};
use steer::fairness::Fairness;
use steer::{
    Change, FlowId, Note, Priority, ResetReason, RouteTerms, TargetId, TargetLoad, Verdict,
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() $body
    )*};
}

const CALM: ServiceLoad = ServiceLoad {
    answered: 100,
    turned_away: 0,
    delayed: 0,
};

const OVERLOAD: ServiceLoad = ServiceLoad {
    answered: 60,
    turned_away: 40,
    delayed: 0,
};

const START: Micros = Micros(50_000_000);

fn caller(index: u32) -> Ipv4Addr {
    Ipv4Addr::from(0x6440_0000 + index)
}

fn request(priority: u8, caller: Ipv4Addr) -> Request {
    Request {
        terms: RouteTerms {
            priority: Priority(priority),
            timeout: Millis(1_000),
            latency_goal: Millis(200),
        },
        caller,
        expected_time: Millis(150),
        is_target_free: false,
        is_reserved: false,
    }
}

/// Observes a load for a time and returns when it ends.
fn observe_for(
    admission: &mut Admission,
    mut now: Micros,
    time: Millis,
    interval: Millis,
    load: &ServiceLoad,
) -> Micros {
    let end = now + time;
    while now + interval <= end {
        now = now + interval;
        admission.observe(now, load);
    }
    now
}

/// Returns an admission at its minimum share, with equal demand of the priorities.
fn short_of_room(priorities: &[u8]) -> (Admission, Micros) {
    let mut admission = Admission::default();
    let now = observe_for(&mut admission, START, Millis(3_000), Millis(100), &OVERLOAD);
    for priority in priorities {
        for _ in 0..50_000 {
            admission.record_request(Priority(*priority));
        }
    }
    (admission, now)
}

/// Returns the admitted part of the openings of a priority, one by each of 2,000 addresses.
fn admitted_part(admission: &Admission, now: Micros, priority: u8) -> f64 {
    let mut admission = admission.clone();
    let admitted = (0..2_000)
        .filter(|index| {
            admission
                .decide(now, &request(priority, caller(*index)))
                .is_ok()
        })
        .count();
    admitted as f64 / 2_000.0
}

/// A load at which the share stays as it is.
const STEADY: ServiceLoad = ServiceLoad {
    answered: 95,
    turned_away: 5,
    delayed: 0,
};

/// Returns an admission with demand of priorities 0 and 1, and about this share of the latter.
fn with_share(share: f32) -> (Admission, Micros) {
    let (mut admission, mut now) = short_of_room(&[]);
    while admission.share(now) < share {
        now = now + Millis(1);
        admission.observe(now, &CALM);
    }
    for priority in [0, 1] {
        for _ in 0..1_000_000 {
            admission.record_request(Priority(priority));
        }
    }
    (admission, now)
}

/// Openings that were admitted and refused of each address. In each of 60 seconds, address 0 opens
/// `heavy` flows between those of `others` addresses with one each.
struct Outcome {
    admitted: Vec<u32>,
    refused: Vec<u32>,
    reasons: Vec<Refusal>,
    longest_without: u32,
}

fn run_beside_heavy_caller(share: f32, heavy: u32, others: u32) -> Outcome {
    let (mut admission, mut now) = with_share(share);
    let size = others as usize + 1;
    let mut outcome = Outcome {
        admitted: vec![0; size],
        refused: vec![0; size],
        reasons: Vec::new(),
        longest_without: 0,
    };
    let mut without = 0;
    for _ in 0..60 {
        let admitted_before = outcome.admitted[0];
        for slot in 0..100 {
            now = now + Millis(10);
            if slot % 10 == 0 {
                admission.observe(now, &STEADY);
                for _ in 0..20 {
                    admission.record_request(Priority(0));
                }
            }
            let own = (0..heavy).filter(|index| index % 100 == slot).map(|_| 0);
            let rest = (1..=others).filter(|index| index % 100 == slot);
            for index in own.chain(rest) {
                match admission.decide(now, &request(1, caller(index))) {
                    Ok(()) => outcome.admitted[index as usize] += 1,
                    Err(refusal) => {
                        outcome.refused[index as usize] += 1;
                        if index == 0 {
                            outcome.reasons.push(refusal);
                        }
                    }
                }
            }
        }
        without = if outcome.admitted[0] == admitted_before {
            without + 1
        } else {
            0
        };
        outcome.longest_without = outcome.longest_without.max(without);
    }
    outcome
}

/// What targets and reports do in a closed loop with an admission.
struct Loop {
    admission: Admission,
    now: Micros,
    interval: Millis,
    /// Requests that the targets process per 10 ms.
    capacity: f64,
    queue: f64,
    load: ServiceLoad,
    /// Reports on their way.
    reports: VecDeque<(Micros, ServiceLoad)>,
    next_report_at: Micros,
    next_caller: u32,
}

/// Time from the end of an interval to the arrival of its report.
const REPORT_DELAY: Millis = Millis(100);

impl Loop {
    fn new(interval: Millis, capacity: f64) -> Self {
        Self {
            admission: Admission::default(),
            now: START,
            interval,
            capacity,
            queue: 0.0,
            load: ServiceLoad::default(),
            reports: VecDeque::new(),
            next_report_at: START + interval,
            next_caller: 0,
        }
    }

    /// Runs for 10 ms with openings of each priority. Returns how many of each are admitted.
    fn step(&mut self, openings: &[(u8, u32)]) -> Vec<u32> {
        self.now = self.now + Millis(10);
        let mut admitted = Vec::new();
        for (priority, count) in openings {
            let mut admitted_count = 0;
            for _ in 0..*count {
                self.next_caller = (self.next_caller + 1) % 50_000;
                let request = request(*priority, caller(self.next_caller));
                admitted_count += u32::from(self.admission.decide(self.now, &request).is_ok());
            }
            for _ in 0..admitted_count {
                self.admission.record_request(Priority(*priority));
            }
            admitted.push(admitted_count);
        }
        let arrivals: u32 = admitted.iter().sum();
        // The queue has room for the requests of 100 ms.
        let waiting = self.queue + f64::from(arrivals);
        let answered = waiting.min(self.capacity);
        self.queue = (waiting - answered).min(self.capacity * 10.0);
        let turned_away = waiting - answered - self.queue;
        self.load.answered += answered.round() as u32;
        self.load.turned_away += turned_away.round() as u32;
        if self.now >= self.next_report_at {
            self.next_report_at = self.now + self.interval;
            let load = std::mem::take(&mut self.load);
            self.reports.push_back((self.now + REPORT_DELAY, load));
        }
        while let Some((at, load)) = self
            .reports
            .front()
            .copied()
            .filter(|(at, _)| *at <= self.now)
        {
            self.reports.pop_front();
            self.admission.observe(at, &load);
        }
        admitted
    }

    /// Runs for a time. Returns the mean arrivals relative to the capacity in each 500 ms.
    fn run(&mut self, time: Millis, openings: &[(u8, u32)]) -> Vec<f64> {
        (0..time.0 / 500)
            .map(|_| {
                let arrivals: u32 = (0..50)
                    .map(|_| self.step(openings).iter().sum::<u32>())
                    .sum();
                f64::from(arrivals) / (50.0 * self.capacity)
            })
            .collect()
    }
}

/// Runs an overload of 1.8 times the capacity and checks that the arrivals settle around it.
fn check_settles(interval: Millis, openings: &[(u8, u32)], band: std::ops::Range<f64>) {
    let mut service = Loop::new(interval, 100.0);
    let start = service.run(Millis(2_500), openings);
    let settled = service.run(Millis(20_000), openings);
    let mean = settled.iter().sum::<f64>() / settled.len() as f64;
    let is_inside = settled.iter().all(|part| band.contains(part));
    assert!(
        is_inside,
        "{interval}, start {start:.2?}, then {settled:.2?}, mean {mean:.3}"
    );
    assert!(
        (0.97..1.08).contains(&mean),
        "{interval}, {settled:.2?}, mean {mean:.3}"
    );
}

cases! {
    /// Guards against a share whose speed depends on the interval of the reports: with one step per
    /// report, the share took 5 s to fall at 400 ms.
    share_falls_and_grows_within_a_second_at_each_interval => {
        for interval in [Millis(100), Millis(400)] {
            let mut admission = Admission::default();
            // The first report covers the time before the shortage.
            admission.observe(START, &CALM);
            let now = observe_for(&mut admission, START, Millis(1_000), interval, &OVERLOAD);
            let fallen = admission.share(now);
            let now = observe_for(&mut admission, now, Millis(2_000), interval, &OVERLOAD);
            assert!(fallen <= 0.2, "{interval}: {fallen}");
            assert!(admission.share(now) >= 0.05);
            let now = observe_for(&mut admission, now, Millis(1_000), interval, &CALM);
            assert!(admission.share(now) >= 0.95, "{interval}: {}", admission.share(now));
        }
    }

    /// Guards against a share that depends on how often the same load is reported.
    share_is_alike_at_each_interval => {
        let fallen = [Millis(50), Millis(100), Millis(200)].map(|interval| {
            let mut admission = Admission::default();
            admission.observe(START, &CALM);
            let load = ServiceLoad { turned_away: 15, answered: 85, delayed: 0 };
            let now = observe_for(&mut admission, START, Millis(600), interval, &load);
            admission.share(now)
        });
        let spread = fallen.iter().copied().fold(0.0, f32::max) - fallen.iter().copied().fold(1.0, f32::min);
        assert!(spread < 0.02, "{fallen:?}");
    }

    /// Guards against oscillation while half of the requests are urgent.
    closed_loop_settles_with_half_urgent => {
        check_settles(Millis(100), &[(0, 90), (1, 90)], 0.95..1.15);
        check_settles(Millis(400), &[(0, 90), (1, 90)], 0.95..1.15);
    }

    /// Guards against oscillation while nearly all requests are deferrable, where each change of
    /// the share changes the load most.
    closed_loop_settles_with_few_urgent => {
        check_settles(Millis(100), &[(0, 20), (3, 160)], 0.95..1.2);
        check_settles(Millis(400), &[(0, 20), (3, 160)], 0.8..1.4);
    }

    /// Guards against a share that stays low after targets that were down have returned.
    closed_loop_follows_more_capacity_within_about_a_second => {
        for interval in [Millis(100), Millis(400)] {
            let mut service = Loop::new(interval, 50.0);
            let openings = [(0, 30), (1, 60)];
            service.run(Millis(10_000), &openings);
            service.capacity = 100.0;
            service.run(Millis(1_500), &openings);
            let admitted: u32 = (0..50).map(|_| service.step(&openings)[1]).sum();
            assert!(admitted > 2_850, "{interval}: {admitted} of 3000");
        }
    }

    /// Guards against a share that stays low for the openings that fit again.
    closed_loop_admits_all_within_a_second_of_the_pressure => {
        for interval in [Millis(100), Millis(400)] {
            let mut service = Loop::new(interval, 100.0);
            service.run(Millis(10_000), &[(0, 90), (1, 90)]);
            service.run(Millis(1_500), &[(0, 30), (1, 30)]);
            let admitted = service.step(&[(0, 30), (1, 30)]);
            assert_eq!(admitted, [30, 30], "{interval}");
        }
    }

    /// Guards against refusing the second priority while some of the third is admitted.
    closed_loop_refuses_the_third_priority_before_the_second => {
        let mut service = Loop::new(Millis(100), 100.0);
        let openings = [(0, 40), (1, 40), (2, 80)];
        service.run(Millis(10_000), &openings);
        let mut admitted = [0; 3];
        for _ in 0..500 {
            let step = service.step(&openings);
            for (sum, (count, _)) in admitted.iter_mut().zip(step.iter().zip(&openings)) {
                *sum += count;
            }
        }
        let shares = [0, 1, 2].map(|index| f64::from(admitted[index]) / f64::from(openings[index].1 * 500));
        assert!(shares[0] == 1.0 && shares[1] > 0.9 && shares[2] < 0.5, "{shares:.2?}");
    }

    /// Guards against refusing requests for the sake of others that are not more urgent.
    most_urgent_priority_in_use_is_only_refused_for_its_deadline => {
        for priorities in [&[0][..], &[0, 1], &[2], &[2, 7], &[255]] {
            let (mut admission, now) = short_of_room(priorities);
            let first = priorities[0];
            assert_eq!(admitted_part(&admission, now, first), 1.0, "{priorities:?}");
            let late = Request { expected_time: Millis(1_001), ..request(first, caller(1)) };
            assert_eq!(admission.decide(now, &late), Err(Refusal::Deadline));
        }
    }

    /// Guards against refusing flows because of pending requests whose callers have given up, when
    /// targets neither turn requests away nor answer late (soak seeds 1 and 14).
    expected_time_alone_refuses_nothing => {
        let mut admission = Admission::default();
        let late = Request { expected_time: Millis(1_001), ..request(0, caller(1)) };
        assert_eq!(admission.decide(Micros(0), &late), Ok(()));
    }

    /// Guards against refusing a priority that had no requests lately and is the most urgent.
    more_urgent_priority_than_those_in_use_is_admitted => {
        for priorities in [&[3][..], &[3, 5]] {
            let (admission, now) = short_of_room(priorities);
            for priority in 0..3 {
                assert_eq!(admitted_part(&admission, now, priority), 1.0, "{priorities:?} {priority}");
            }
        }
    }

    /// Guards against refusing everything for an urgent route that is hardly used.
    occasional_urgent_requests_defer_nothing => {
        let (mut admission, now) = short_of_room(&[4]);
        for _ in 0..500 {
            admission.record_request(Priority(0));
        }
        assert_eq!(admitted_part(&admission, now, 4), 1.0);
    }

    /// Guards against urgent requests that are all late, so that none is processed, and for which
    /// the others then make no room.
    urgent_requests_refused_for_their_deadline_count => {
        let (mut admission, now) = short_of_room(&[1]);
        for index in 0..5_000 {
            let late = Request { expected_time: Millis(1_001), ..request(0, caller(index)) };
            assert_eq!(admission.decide(now, &late), Err(Refusal::Deadline));
        }
        assert!(admitted_part(&admission, now, 1) < 0.1);
    }

    /// Guards against callers that are refused and try again until the urgent requests are so small a
    /// part of all that nothing is refused for them any more.
    refused_openings_do_not_make_the_urgent_ones_negligible => {
        let (mut admission, now) = short_of_room(&[0, 1]);
        for index in 0..5_000_000 {
            let _ = admission.decide(now, &request(1, caller(index % 2_000)));
        }
        assert!(admitted_part(&admission, now, 1) < 0.1);
        assert_eq!(admitted_part(&admission, now, 0), 1.0);
    }

    /// Guards against a wrong order of priorities, also with gaps between them and for priorities
    /// that are not in use.
    priorities_are_admitted_in_their_order => {
        let (mut admission, mut now) = short_of_room(&[]);
        while admission.share(now) < 0.5 {
            now = now + Millis(20);
            admission.observe(now, &CALM);
        }
        for priority in [0, 10, 20, 200] {
            for _ in 0..50_000 {
                admission.record_request(Priority(priority));
            }
        }
        let parts = [0, 5, 10, 15, 20, 100, 200, 255].map(|priority| admitted_part(&admission, now, priority));
        assert!(parts.is_sorted_by(|left, right| left >= right), "{parts:?}");
        assert!(parts[0] == 1.0 && parts[2] == 1.0 && parts[4] > 0.3 && parts[6] < 0.1, "{parts:?}");
    }

    /// Guards against starving the least urgent priority.
    least_urgent_priority_keeps_its_minimum => {
        let (admission, now) = short_of_room(&[0, 1, 2]);
        let parts = [1, 2].map(|priority| admitted_part(&admission, now, priority));
        assert!((0.08..0.12).contains(&parts[0]), "{parts:?}");
        assert!((0.035..0.065).contains(&parts[1]), "{parts:?}");
    }

    /// Guards against refusing flows that a target can start at once or answer soon, also on routes
    /// without a latency goal.
    free_targets_admit_everyone => {
        let (mut admission, now) = short_of_room(&[0, 1]);
        for index in 0..500 {
            let mut free = Request { is_target_free: true, ..request(1, caller(index)) };
            assert_eq!(admission.decide(now, &free), Ok(()));
            free.terms.latency_goal = Millis(0);
            assert_eq!(admission.decide(now, &free), Ok(()));
            let soon = Request { expected_time: Millis(50), ..request(1, caller(index)) };
            assert_eq!(admission.decide(now, &soon), Ok(()));
        }
    }

    /// Guards against refusals by an instance that knows nothing.
    nothing_is_refused_without_reports => {
        let mut admission = Admission::default();
        for priority in [0, 1] {
            for _ in 0..100 {
                admission.record_request(Priority(priority));
            }
        }
        assert_eq!(admitted_part(&admission, START, 1), 1.0);
        assert_eq!(admission.share(START + Millis(100_000)), 1.0);
    }

    /// Guards against an instance that is cut off and refuses flows for ever.
    nothing_is_refused_after_reports_stop => {
        let (admission, now) = short_of_room(&[0, 1]);
        assert!(admission.share(now + Millis(1_000)) < 0.06);
        assert!(admission.share(now + Millis(1_600)) > 0.1);
        assert_eq!(admission.share(now + Millis(2_000)), 1.0);
        assert_eq!(admitted_part(&admission, now + Millis(2_000), 1), 1.0);
    }

    /// Guards against a return to the old share when reports come back calm.
    share_grown_without_reports_is_kept => {
        let (mut admission, now) = short_of_room(&[0, 1]);
        let later = now + Millis(2_000);
        admission.observe(later, &CALM);
        assert_eq!(admission.share(later), 1.0);
    }

    /// Guards against callers that chance refuses much longer than others.
    callers_take_turns => {
        for (share, most_refused) in [(0.5, 3), (0.06, 40)] {
            let (mut admission, mut now) = with_share(share);
            let mut refused = [0; 200];
            let mut longest = 0;
            for _ in 0..200 {
                now = now + Millis(1_000);
                admission.observe(now, &STEADY);
                for priority in [0, 1] {
                    for _ in 0..10_000 {
                        admission.record_request(Priority(priority));
                    }
                }
                assert!((share..share * 1.1).contains(&admission.share(now)));
                for (index, count) in (0..).zip(&mut refused) {
                    let decision = admission.clone().decide(now, &request(1, caller(index)));
                    *count = if decision.is_ok() { 0 } else { *count + 1 };
                    longest = longest.max(*count);
                }
            }
            assert!(longest > 0 && longest <= most_refused, "{share}: {longest} turns");
        }
    }

    /// Guards against an address that gets a hundred times more than others by opening a hundred
    /// flows, and against refusing the others for it.
    address_with_a_hundred_flows_is_refused_first => {
        let outcome = run_beside_heavy_caller(0.5, 100, 99);
        let refused: u32 = outcome.refused[1..].iter().sum();
        let most = outcome.admitted[1..].iter().max().unwrap();
        // The room is that of the others, and the heavy address keeps its share of it. Without
        // regard to addresses, half of the others' openings would be refused.
        assert!(refused < 594, "{refused} of 5940 openings of the others are refused");
        assert!(outcome.admitted[0] <= 5 * most, "{} beside {most}", outcome.admitted[0]);
        let is_reason = |reason: &&Refusal| **reason == Refusal::CallerShare;
        let count = outcome.reasons.iter().filter(is_reason).count();
        assert!(count * 10 > outcome.reasons.len() * 9, "{count} of {}", outcome.reasons.len());
    }

    /// Guards against wasting room: what the others leave goes to the address that asks for more.
    room_that_others_leave_goes_to_the_heavy_address => {
        let outcome = run_beside_heavy_caller(0.9, 100, 99);
        let refused: u32 = outcome.refused[1..].iter().sum();
        assert!(refused < 120, "{refused} of 5940");
        assert!((4_200..5_400).contains(&outcome.admitted[0]), "{} of 6000", outcome.admitted[0]);
    }

    /// Guards against starving the callers behind one address, also when room is shortest.
    callers_behind_one_address_get_the_share_of_one_at_least => {
        for share in [0.05, 0.2, 0.55] {
            let outcome = run_beside_heavy_caller(share, 50, 99);
            let mean = f64::from(outcome.admitted[1..].iter().sum::<u32>()) / 99.0;
            let own = outcome.admitted[0];
            assert!(own > 0 && f64::from(own) >= 0.8 * mean, "{share}: {own}, mean {mean:.1}");
            // Chance decides about one address: at a small share, it waits for its turn.
            let turns = (2.0 / share).ceil() as u32;
            assert!(outcome.longest_without <= turns, "{share}: {}", outcome.longest_without);
        }
    }

    /// Guards against treating a few flows more as too many.
    addresses_with_similar_counts_are_treated_alike => {
        let outcome = run_beside_heavy_caller(0.55, 2, 99);
        assert!(outcome.reasons.iter().all(|reason| *reason == Refusal::NoRoom));
    }

    /// Guards against a sketch that takes ordinary addresses for heavy ones, or does not find the
    /// heavy one, when many addresses share each counter.
    heavy_address_is_found_among_a_hundred_thousand => {
        let mut fairness = Fairness::default();
        let priority = Priority(1);
        for second in 0..5 {
            let now = START + Millis(second * 1_000);
            for index in 1..=100_000 {
                fairness.record(now, priority, caller(index));
            }
            for _ in 0..200 {
                fairness.record(now, priority, caller(0));
            }
        }
        let now = START + Millis(4_999);
        assert!(fairness.exceeds_share(now, priority, caller(0)));
        let wrong = (1..=100_000)
            .filter(|index| fairness.exceeds_share(now, priority, caller(*index)))
            .count();
        assert!(wrong <= 100, "{wrong} of 100000");
    }

    /// Guards against wrong results after a counter has reached its maximum, and against an address
    /// that is never forgiven.
    heavy_address_is_forgotten_within_seconds => {
        let mut fairness = Fairness::default();
        let priority = Priority(1);
        for index in 0..100_000 {
            fairness.record(START, priority, caller(if index % 10 == 0 { index % 500 + 1 } else { 0 }));
        }
        assert!(fairness.exceeds_share(START, priority, caller(0)));
        assert!(!fairness.exceeds_share(START + Millis(20_000), priority, caller(0)));
    }

    /// Guards against counting the flows of one route against a caller on another.
    priorities_are_counted_apart => {
        let mut fairness = Fairness::default();
        for index in 1..100 {
            fairness.record(START, Priority(1), caller(index));
            fairness.record(START, Priority(2), caller(1_000 + index));
        }
        for _ in 0..100 {
            fairness.record(START, Priority(1), caller(0));
        }
        fairness.record(START, Priority(2), caller(0));
        assert!(fairness.exceeds_share(START, Priority(1), caller(0)));
        assert!(!fairness.exceeds_share(START, Priority(2), caller(0)));
    }

    /// Guards against refusing the only caller for the sake of nobody.
    only_address_has_no_limit => {
        let mut fairness = Fairness::default();
        for _ in 0..1_000 {
            fairness.record(START, Priority(1), caller(0));
        }
        assert!(!fairness.exceeds_share(START, Priority(1), caller(0)));
    }

    /// Guards against memory that grows with the number of addresses.
    sketch_is_bounded => {
        assert!(size_of::<Fairness>() <= 16 * 1_024, "{}", size_of::<Fairness>());
    }

    /// Guards against refusals by caller when there is no shortage.
    calm_service_admits_every_flow_of_one_address => {
        let (mut admission, now) = short_of_room(&[0, 1]);
        let now = observe_for(&mut admission, now, Millis(2_000), Millis(100), &CALM);
        for index in 0..1_000 {
            assert_eq!(admission.decide(now, &request(1, caller(index))), Ok(()));
            assert_eq!(admission.decide(now, &request(1, caller(0))), Ok(()));
        }
    }

    /// Guards against a refusal that the core does not pass on with its own reason.
    core_resets_openings_with_the_reason => {
        let mut instance = TestInstance::new();
        let terms = |priority| RouteTerms {
            priority: Priority(priority),
            timeout: Millis(0),
            latency_goal: Millis(100),
        };
        let mut routes = default_routes();
        routes[1].terms = terms(1);
        instance.publish(vec![Change::Document(new_document(2, routes))]);
        let reports = |turned_away| -> Vec<TargetLoad> {
            [1, 2, 3, 4, 5]
                .map(|id| TargetLoad {
                    pending: 20,
                    answered: 60,
                    relative_time_milli: 60_000,
                    turned_away,
                    ..TargetLoad::none(TargetId(id).token())
                })
                .to_vec()
        };
        instance.steer.on_domain_loads(instance.now, &reports(0));
        for entry in [LOOKUP, ORDER].repeat(20) {
            let flow = instance.flow(entry);
            let id = instance.open_established(flow);
            instance.send_data(flow, id, 100, 0);
            instance.advance(Millis(20));
            instance.send_data(flow, id, 0, 500);
        }
        for _ in 0..15 {
            instance.advance(Millis(100));
            instance.steer.on_domain_loads(instance.now, &reports(40));
        }
        let mut verdicts = Vec::new();
        for _ in 0..90 {
            instance.advance(Millis(500));
            instance.steer.on_domain_loads(instance.now, &reports(40));
            instance.sweep();
            for index in 0..100 {
                let caller = SocketAddrV4::new(caller(1_000 + index), 2_000);
                let flow = instance.flow(ORDER);
                verdicts.push(instance.send_opening(FlowId { caller, ..flow }, 0));
            }
            for _ in 0..20 {
                let flow = instance.flow(ORDER);
                verdicts.push(instance.send_opening(flow, 0));
                let urgent = instance.flow(LOOKUP);
                let id = instance.open_established(urgent);
                instance.send_data(urgent, id, 100, 0);
                instance.send_data(urgent, id, 0, 500);
            }
        }
        for reason in [ResetReason::NoRoom, ResetReason::CallerShare] {
            assert!(verdicts.contains(&Verdict::Reset(reason)), "{reason:?}");
        }
        let is_refusal = |note: &Note| matches!(note, Note::Refused { refusal: Refusal::CallerShare, .. });
        assert!(instance.steer.take_notes().iter().any(is_refusal));
    }
}
