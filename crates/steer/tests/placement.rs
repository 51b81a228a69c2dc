//! Tests that new flows go to the least loaded targets, preferably in the same failure domain.

mod kit;

use ids::Millis;
use kit::{LOOKUP, ORDER, TestInstance, expect_forwarded, new_target};
use steer::{Change, TargetId};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

fn count_by_target(instance: &mut TestInstance, flows: usize) -> [usize; 8] {
    let mut counts = [0; 8];
    for _ in 0..flows {
        let flow = instance.flow(ORDER);
        counts[expect_forwarded(instance.send_opening(flow, 0)).id.0 as usize] += 1;
    }
    counts
}

cases! {
    flows_spread_evenly_inside_the_failure_domain => {
        let counts = count_by_target(&mut TestInstance::new(), 15);
        assert_eq!(counts[1..=5], [5, 5, 5, 0, 0]);
    }

    flows_go_to_other_domains_when_targets_are_busy => {
        let counts = count_by_target(&mut TestInstance::new(), 40);
        assert!(counts[4] > 0 && counts[5] > 0, "{counts:?}");
    }

    idle_open_flows_do_not_make_a_target_busy => {
        let mut instance = TestInstance::new();
        for _ in 0..100 {
            let flow = instance.flow(LOOKUP);
            let id = instance.open_established(flow);
            instance.send_data(flow, id, 100, 0);
            instance.advance(Millis(20));
            instance.send_data(flow, id, 0, 500);
        }
        let counts = count_by_target(&mut instance, 6);
        assert_eq!(counts[4] + counts[5], 0, "{counts:?}");
    }

    target_in_slow_start_gets_fewer_flows => {
        let mut instance = TestInstance::new();
        let mut cold = new_target(1, "rates", "a");
        cold.warmup = Millis(2_000);
        instance.publish(vec![Change::Target(cold)]);
        let counts = count_by_target(&mut instance, 14);
        assert!(counts[1] < counts[2] && counts[1] < counts[3], "{counts:?}");
    }

    answered_requests_are_no_longer_pending => {
        let mut instance = TestInstance::new();
        for _ in 0..200 {
            let flow = instance.flow(ORDER);
            let id = instance.open_established(flow);
            instance.send_data(flow, id, 100, 0);
            instance.advance(Millis(20));
            instance.send_data(flow, id, 0, 500);
        }
        let records = instance.steer.view().records();
        let ids: Vec<TargetId> = records.map(|record| record.target.id).collect();
        for id in ids {
            let waiting = instance.steer.view().record(id).map(|record| record.waiting);
            assert_eq!(waiting, Some(0), "{id}");
        }
    }

    requests_without_answer_expire => {
        let mut instance = TestInstance::new();
        count_by_target(&mut instance, 30);
        instance.advance(Millis(2_001));
        instance.sweep();
        assert!(instance.steer.view().records().all(|record| record.waiting == 0));
        assert_eq!(instance.steer.flow_count(), 0);
    }
}
