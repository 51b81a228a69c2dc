//! Tests how openings of callers are added up over a failure domain, and who is limited for them.

#![allow(clippy::unwrap_used)]

use std::net::Ipv4Addr;

use ids::{Micros, Millis};
use steer::admission::{Admission, Refusal, Request, ServiceLoad};
use steer::caller_shares::{CallerShares, Standing};
use steer::caller_total::MAX_LISTED;
use steer::{CallerBitmap, CallerSums, CallerTotal, Priority, RouteTerms};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() $body
    )*};
}

const START: Micros = Micros(50_000_000);
const FIRST: Priority = Priority(0);
const SECOND: Priority = Priority(1);
const HEAVY: Ipv4Addr = Ipv4Addr::new(100, 64, 0, 0);

const OVERLOAD: ServiceLoad = ServiceLoad {
    answered: 60,
    turned_away: 40,
    delayed: 0,
};

fn caller(index: u32) -> Ipv4Addr {
    Ipv4Addr::from(HEAVY.to_bits() + 1 + index)
}

/// Returns a total in which the heavy address has this many openings, beside 100 others with one.
fn total(priority: Priority, heavy: u32) -> CallerTotal {
    let mut total = CallerTotal::none("rates".into(), priority);
    total.openings = heavy.saturating_add(100);
    total.callers.insert(HEAVY);
    (0..100).for_each(|index| total.callers.insert(caller(index)));
    total.largest = vec![(HEAVY, heavy), (caller(0), 1)];
    total
}

/// Returns the shares at instances of which each sees `heavy` openings of the heavy address, beside
/// one each of 20 other callers.
fn instances(count: u32, heavy: u32) -> Vec<CallerShares> {
    let instances = (0..count).map(|instance| {
        let mut shares = CallerShares::default();
        for index in 0..20 {
            shares.record_opening(START, SECOND, caller(20 * instance + index), true);
        }
        (0..heavy).for_each(|_| shares.record_opening(START, SECOND, HEAVY, true));
        shares
    });
    instances.collect()
}

/// Passes the reports of all instances up and the sums down.
fn exchange(instances: &mut [CallerShares], now: Micros) -> Vec<CallerTotal> {
    let mut sums = CallerSums::default();
    for shares in instances.iter_mut() {
        sums.add(&shares.take_report(now, &"rates".into()));
    }
    let sums = sums.take(now);
    for shares in instances {
        sums.iter().for_each(|total| shares.apply_sums(now, total));
    }
    sums
}

fn request(priority: Priority, caller: Ipv4Addr) -> Request {
    Request {
        terms: RouteTerms {
            priority,
            timeout: Millis(0),
            latency_goal: Millis(200),
        },
        caller,
        expected_time: Millis(150),
        is_target_free: false,
        is_reserved: false,
    }
}

/// Returns an admission after an overload of this time, with equal demand of two priorities.
fn overloaded(time: Millis) -> (Admission, Micros) {
    let mut admission = Admission::default();
    let mut now = START;
    while now < START + time {
        now = now + Millis(100);
        admission.observe(now, &OVERLOAD);
    }
    for _ in 0..100_000 {
        admission.record_request(FIRST);
        admission.record_request(SECOND);
    }
    (admission, now)
}

/// Returns the admitted openings of the heavy address and of the others. Both open 1,000 flows.
fn admitted(admission: &mut Admission, now: Micros, priority: Priority) -> (u32, u32) {
    let mut counts = (0, 0);
    for index in 0..1_000 {
        let mut is_admitted = |caller| admission.decide(now, &request(priority, caller)).is_ok();
        counts.0 += u32::from(is_admitted(HEAVY));
        counts.1 += u32::from(is_admitted(caller(index % 100)));
    }
    counts
}

cases! {
    /// Guards against a caller with as many allowances as there are instances.
    caller_spread_over_all_instances_is_over_its_share_at_each => {
        let mut instances = instances(26, 4);
        // The last one saw none of its flows, and this one no flow at all.
        instances.push(CallerShares::default());
        let sums = exchange(&mut instances, START);
        assert_eq!((sums[0].openings, sums[0].largest[0]), (26 * 24, (HEAVY, 26 * 4)));
        for shares in &mut instances {
            let standing = shares.standing(START, SECOND, HEAVY, false);
            assert!(matches!(standing, Standing::DomainExcess(factor) if factor > 80.0), "{standing:?}");
            assert_eq!(shares.standing(START, SECOND, caller(3), false), Standing::Regular);
        }
    }

    /// Guards against limits on callers that open 1.5 flows in the mean, by chance a few more.
    callers_with_a_few_flows_more_are_regular => {
        for (heavy, is_regular) in [(2, true), (5, true), (12, false)] {
            let mut shares = CallerShares::default();
            shares.apply_sums(START, &total(SECOND, heavy));
            let standing = shares.standing(START, SECOND, HEAVY, true);
            assert_eq!(standing == Standing::Regular, is_regular, "{heavy}");
        }
    }

    /// Guards against counting a caller once for each instance that saw it.
    merged_bitmaps_count_a_caller_once => {
        let mut sum = CallerBitmap::default();
        for instance in 0..26 {
            let mut own = CallerBitmap::default();
            (0..100).for_each(|index| own.insert(caller(50 * instance + index)));
            sum.merge(&CallerBitmap::from_bytes(&own.to_bytes()));
        }
        let count = sum.count();
        assert!((1_250.0..1_450.0).contains(&count), "{count} of 1350");
    }

    /// Guards against a lost report that stops the limit, and against one that counts twice.
    lost_report_loses_its_counts_only => {
        let mut instances = instances(4, 20);
        let lost = instances[0].take_report(START, &"rates".into());
        assert_eq!(lost[0].largest[0], (HEAVY, 20));
        let later = START + Millis(400);
        let sums = exchange(&mut instances, later);
        assert_eq!((sums[0].openings, sums[0].largest[0]), (120, (HEAVY, 60)));
        assert_eq!(exchange(&mut instances, later), []);
        assert!(matches!(instances[0].standing(later, SECOND, HEAVY, false), Standing::DomainExcess(_)));
    }

    /// Guards against limits by sums that are no longer true, and against an instance that counts
    /// nothing without sums, as beside peers of an earlier version.
    own_counts_are_used_without_recent_sums => {
        let mut shares = CallerShares::default();
        shares.apply_sums(START, &total(SECOND, 100));
        let later = START + Millis(1_001);
        assert_eq!(shares.standing(later, SECOND, HEAVY, true), Standing::Regular);
        for index in 0..100 {
            shares.record_opening(later, SECOND, caller(index), true);
            shares.record_opening(later, SECOND, HEAVY, true);
        }
        shares.take_report(later, &"rates".into());
        assert!(matches!(shares.standing(later, SECOND, HEAVY, true), Standing::DomainExcess(_)));
        shares.apply_sums(later, &total(SECOND, 1));
        assert_eq!(shares.standing(later, SECOND, HEAVY, true), Standing::Regular);
    }

    /// Guards against values of a faulty peer that overflow, or that limit an address for long.
    wrong_values_saturate_and_are_forgotten => {
        let wrong = total(SECOND, u32::MAX);
        let mut sums = CallerSums::default();
        (0..3).for_each(|_| sums.add(std::slice::from_ref(&wrong)));
        let sums = sums.take(START);
        assert_eq!((sums[0].openings, sums[0].largest[0]), (u32::MAX, (HEAVY, u32::MAX)));
        let mut shares = CallerShares::default();
        (0..9).for_each(|_| shares.apply_sums(START, &sums[0]));
        let mut later = START;
        for _ in 0..55 {
            later = later + Millis(400);
            shares.apply_sums(later, &total(SECOND, 1));
        }
        assert_eq!(shares.standing(later, SECOND, HEAVY, true), Standing::Regular);
    }

    /// Guards against refusals because of a report alone: the address asks for less than there is
    /// room for, and a peer reports it as heavy.
    reported_address_is_admitted_while_there_is_room => {
        let (mut admission, now) = overloaded(Millis(3_000));
        admission.caller_shares_mut().unwrap().apply_sums(now, &total(SECOND, u32::MAX));
        let free = Request { is_target_free: true, ..request(SECOND, HEAVY) };
        assert_eq!(admission.decide(now, &free), Ok(()));
        // A service without a shortage keeps no sums.
        let (mut admission, now) = overloaded(Millis(0));
        assert!(admission.caller_shares_mut().is_none());
        assert_eq!(admitted(&mut admission, now, SECOND), (1_000, 1_000));
    }

    /// Guards against services and priorities that share their limits.
    services_and_priorities_are_counted_apart => {
        let mut sums = CallerSums::default();
        for service in ["rates", "orders"] {
            for (priority, openings) in [(FIRST, 1), (SECOND, 9)] {
                let largest = (0..20).map(|index| (caller(index), openings));
                let total = CallerTotal::none(service.into(), priority);
                sums.add(&[CallerTotal { largest: largest.collect(), ..total }]);
            }
        }
        // The 16 largest addresses of each service are those of the second priority.
        let counts: Vec<_> = sums.take(START).iter().map(|total| total.largest.len()).collect();
        assert_eq!(counts, [0, MAX_LISTED, 0, MAX_LISTED]);
        let mut shares = CallerShares::default();
        shares.apply_sums(START, &total(SECOND, 100));
        assert_eq!(shares.standing(START, FIRST, HEAVY, true), Standing::Regular);
    }

    /// Guards against a caller that takes the share of the others of a lower priority, and against
    /// one that gets nothing: it gets what one other caller gets.
    heavy_caller_gets_the_share_of_another => {
        let (mut admission, now) = overloaded(Millis(3_000));
        admission.caller_shares_mut().unwrap().apply_sums(now, &total(SECOND, 100));
        let (heavy, others) = admitted(&mut admission, now, SECOND);
        assert!((1..=10).contains(&heavy) && others > 50, "{heavy}, {others}");
    }

    /// Guards against one caller that takes the share of all others of the most urgent priority, and
    /// against refusing those others.
    most_urgent_callers_over_their_share_are_limited_if_it_does_not_fit => {
        let (mut admission, now) = overloaded(Millis(3_000));
        assert_eq!(admitted(&mut admission, now, FIRST), (1_000, 1_000));
        admission.caller_shares_mut().unwrap().apply_sums(now, &total(FIRST, 100));
        let (heavy, others) = admitted(&mut admission, now, FIRST);
        assert!((1..=100).contains(&heavy) && others == 1_000, "{heavy}, {others}");
        let refusal = admission.decide(now, &request(FIRST, HEAVY));
        assert_eq!(refusal, Err(Refusal::CallerShare));
    }

    /// Guards against refusing urgent flows while the refusal of others may make enough room.
    most_urgent_priority_is_whole_until_the_others_are_at_their_minimum => {
        let (mut admission, now) = overloaded(Millis(600));
        assert!((0.06..0.5).contains(&admission.share(now)), "{}", admission.share(now));
        admission.caller_shares_mut().unwrap().apply_sums(now, &total(FIRST, 100));
        assert_eq!(admitted(&mut admission, now, FIRST), (1_000, 1_000));
    }

    /// Guards against limits on callers that are refused by turns and try again twice, beside others
    /// that are admitted.
    refused_callers_that_retry_are_regular => {
        let mut shares = CallerShares::default();
        for _ in 0..200 {
            (0..20).for_each(|index| shares.record_opening(START, SECOND, caller(index), true));
            (0..3).for_each(|_| shares.record_opening(START, SECOND, HEAVY, false));
        }
        let report = shares.take_report(START, &"rates".into());
        assert_eq!((report[0].openings, report[0].largest[0]), (4_300, (HEAVY, 300)));
        assert_eq!(shares.standing(START, SECOND, HEAVY, true), Standing::Regular);
    }

    /// Guards against bursts of a limited caller, which overload targets while it has its turn.
    admitted_part_is_spread_evenly => {
        let mut shares = CallerShares::default();
        shares.apply_sums(START, &total(SECOND, 100));
        let admitted = (0..100).filter(|_| shares.admits_part(SECOND, HEAVY, 0.125));
        let admitted: Vec<u32> = admitted.collect();
        assert_eq!(admitted.len(), 12);
        assert!(admitted.windows(2).all(|pair| pair[1] - pair[0] == 8), "{admitted:?}");
    }
}
