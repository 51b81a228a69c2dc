//! Tests of the sums of loads over an instance and its followers.

use std::time::{Duration, Instant};

use edge::load_exchange::{LoadExchange, decode, encode};
use steer::{TargetLoad, Token};
use wire::steering::LoadReport;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() $body
    )*};
}

const INTERVAL: Duration = Duration::from_millis(400);

fn load(token: u32, pending: u32, answered: u32) -> TargetLoad {
    TargetLoad {
        pending,
        answered,
        relative_time_milli: 1_000 * answered,
        ..TargetLoad::none(Token(token))
    }
}

/// Followers that have reported for long enough that all their values count.
struct Fixture {
    loads: LoadExchange,
    now: Instant,
}

impl Fixture {
    fn new(followers: u64) -> Self {
        let mut fixture = Self {
            loads: LoadExchange::default(),
            now: Instant::now(),
        };
        for _ in 0..4 {
            for follower in 0..followers {
                fixture.receive(follower, &[]);
            }
            fixture.now += INTERVAL;
        }
        fixture
    }

    fn receive(&mut self, follower: u64, loads: &[TargetLoad]) {
        self.loads.receive(follower, self.now, loads);
    }

    fn sums(&mut self, own: &[TargetLoad]) -> Vec<TargetLoad> {
        let mut sums = self.loads.take_sums(self.now, own);
        sums.sort_unstable_by_key(|load| load.token.0);
        sums
    }
}

cases! {
    /// Guards against loads that are left out of the sums.
    sums_hold_own_and_followers_loads => {
        let mut fixture = Fixture::new(2);
        fixture.receive(0, &[load(1, 2, 3), load(2, 1, 0)]);
        fixture.receive(1, &[load(1, 4, 5)]);
        assert_eq!(fixture.sums(&[load(1, 1, 1)]), [load(1, 7, 9), load(2, 1, 0)]);
    }

    /// Guards against a follower whose pending requests are added up over its reports.
    follower_counts_once => {
        let mut fixture = Fixture::new(1);
        fixture.receive(0, &[load(1, 4, 1)]);
        fixture.receive(0, &[load(1, 3, 1)]);
        assert_eq!(fixture.sums(&[]), [load(1, 3, 2)]);
    }

    /// Guards against answers that are told again in the next sum, and against pending requests that
    /// vanish while a report is late.
    pending_stays_and_answers_are_told_once => {
        let mut fixture = Fixture::new(1);
        fixture.receive(0, &[load(1, 4, 2)]);
        assert_eq!(fixture.sums(&[]), [load(1, 4, 2)]);
        fixture.now += INTERVAL;
        assert_eq!(fixture.sums(&[]), [load(1, 4, 0)]);
    }

    /// Guards against requests of a silent follower that stay in the sums.
    late_follower_no_longer_counts => {
        let mut fixture = Fixture::new(2);
        fixture.receive(0, &[load(1, 4, 0)]);
        fixture.now += Duration::from_millis(600);
        fixture.receive(1, &[load(1, 2, 0)]);
        fixture.now += Duration::from_millis(401);
        assert_eq!(fixture.sums(&[]), [load(1, 2, 0)]);
    }

    /// Guards against requests of a follower that has gone, which another instance counts by then.
    gone_follower_no_longer_counts => {
        let mut fixture = Fixture::new(2);
        fixture.receive(0, &[load(1, 4, 0)]);
        fixture.receive(1, &[load(1, 2, 0)]);
        fixture.loads.remove(0);
        assert_eq!(fixture.sums(&[]), [load(1, 2, 0)]);
    }

    /// Guards against answers from before a pause of a follower, which would show a target that has
    /// died meanwhile as alive. Its buffered reports come after the first one.
    answers_of_a_paused_follower_are_ignored => {
        let mut fixture = Fixture::new(1);
        fixture.now += Duration::from_millis(1_001);
        fixture.receive(0, &[load(1, 4, 9)]);
        fixture.now += INTERVAL;
        fixture.receive(0, &[load(1, 5, 9)]);
        assert_eq!(fixture.sums(&[]), [load(1, 5, 0)]);
        for _ in 0..2 {
            fixture.now += INTERVAL;
            fixture.receive(0, &[load(1, 3, 2)]);
        }
        assert_eq!(fixture.sums(&[]), [load(1, 3, 2)]);
    }

    /// Guards against reports that waited for a connection and then all count at once.
    answers_of_a_new_follower_are_ignored => {
        let mut fixture = Fixture::new(0);
        for _ in 0..60 {
            fixture.receive(0, &[load(1, 4, 9)]);
        }
        assert_eq!(fixture.sums(&[]), [load(1, 4, 0)]);
    }

    /// Guards against overflow by values that a faulty peer tells.
    sums_do_not_overflow => {
        let mut fixture = Fixture::new(2);
        let extreme = TargetLoad {
            relative_time_milli: u32::MAX,
            turned_away: u32::MAX,
            delayed: u32::MAX,
            ..load(1, u32::MAX, 0)
        };
        let extreme = TargetLoad { answered: u32::MAX, ..extreme };
        fixture.receive(0, &[extreme]);
        fixture.receive(1, &[extreme]);
        assert_eq!(fixture.sums(&[extreme]), [extreme]);
    }

    /// Guards against a demand of open flows that is added up over the reports or vanishes while one is
    /// late, and against busy time that counts twice.
    demand_is_replaced_and_work_is_told_once => {
        let mut fixture = Fixture::new(2);
        let held = |flow_demand_milli, work_ms| TargetLoad {
            flow_demand_milli,
            work_ms,
            ..TargetLoad::none(Token(1))
        };
        fixture.receive(0, &[held(900, 30)]);
        fixture.receive(0, &[held(700, 40)]);
        fixture.receive(1, &[held(50, 0)]);
        assert_eq!(fixture.sums(&[held(100, 10)]), [held(850, 80)]);
        fixture.now += INTERVAL;
        assert_eq!(fixture.sums(&[held(100, 0)]), [held(850, 0)]);
    }

    /// Guards against loads that change on the way.
    decoding_returns_what_was_encoded => {
        let loads = [load(7, 2, 3), TargetLoad { turned_away: 4, delayed: 1, flow_demand_milli: 150, work_ms: 80, ..load(9, 0, 2) }];
        assert_eq!(decode(&encode(&loads)), loads);
    }

    /// Guards against reports of other versions, whose lists are shorter, longer or absent.
    lists_of_other_lengths_are_decoded => {
        let report = LoadReport {
            tokens: vec![7, 9],
            pending: vec![2],
            answered: vec![3, 1, 8],
            relative_time_milli: vec![3_000, 1_000],
            turned_away: Vec::new(),
            delayed: Vec::new(),
            relative_response_milli: Vec::new(),
            ..LoadReport::default()
        };
        assert_eq!(decode(&report), [load(7, 2, 3), load(9, 0, 1)]);
        let without_tokens = LoadReport { pending: vec![1], ..LoadReport::default() };
        assert_eq!(decode(&without_tokens), []);
    }
}
