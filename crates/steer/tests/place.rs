//! New flows go where they are served soonest, and into their own failure domain first.

mod kit;

use ids::Millis;
use kit::{LOOKUP, ORDER, World, forwarded, target};
use steer::{Change, TargetId};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

fn counts(world: &mut World, flows: usize) -> [usize; 8] {
    let mut counts = [0; 8];
    for _ in 0..flows {
        let flow = world.flow(ORDER);
        counts[forwarded(world.open(flow, 0)).id.0 as usize] += 1;
    }
    counts
}

cases! {
    flows_spread_evenly_inside_the_failure_domain => {
        let counts = counts(&mut World::new(), 15);
        assert_eq!(counts[1..=5], [5, 5, 5, 0, 0]);
    }

    busy_domain_spills_over => {
        let counts = counts(&mut World::new(), 40);
        assert!(counts[4] > 0 && counts[5] > 0, "{counts:?}");
    }

    idle_open_flows_do_not_make_a_target_busy => {
        let mut world = World::new();
        for _ in 0..100 {
            let flow = world.flow(LOOKUP);
            let id = world.opened(flow);
            world.data(flow, id, 100, 0);
            world.pass(Millis(20));
            world.data(flow, id, 0, 500);
        }
        let counts = counts(&mut world, 6);
        assert_eq!(counts[4] + counts[5], 0, "{counts:?}");
    }

    cold_target_gets_less => {
        let mut world = World::new();
        let mut cold = target(1, "rates", "a");
        cold.warmup = Millis(2_000);
        world.publish(vec![Change::Target(cold)]);
        let counts = counts(&mut world, 14);
        assert!(counts[1] < counts[2] && counts[1] < counts[3], "{counts:?}");
    }

    ended_flows_free_their_target => {
        let mut world = World::new();
        for _ in 0..200 {
            let flow = world.flow(ORDER);
            let id = world.opened(flow);
            world.data(flow, id, 100, 0);
            world.pass(Millis(20));
            world.data(flow, id, 0, 500);
        }
        let ids: Vec<TargetId> = world.steer.view().records().map(|record| record.target.id).collect();
        for id in ids {
            let waiting = world.steer.view().record(id).map(|record| record.waiting);
            assert_eq!(waiting, Some(0), "{id}");
        }
    }

    forgotten_requests_do_not_count_for_ever => {
        let mut world = World::new();
        counts(&mut world, 30);
        world.pass(Millis(2_001));
        world.sweep();
        assert!(world.steer.view().records().all(|record| record.waiting == 0));
        assert_eq!(world.steer.flows(), 0);
    }
}
