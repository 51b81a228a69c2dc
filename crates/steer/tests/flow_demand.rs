//! Tests of the demand of open flows and of the balance by busy time.

#![allow(clippy::unwrap_used)]

mod kit;

use ids::Millis;
use kit::{LOOKUP, TestInstance, expect_forwarded, new_target};
use steer::flow_demand::FlowDemand;
use steer::{
    Change, Evidence, FlowId, Observation, PacketKind, Segment, TargetId, TargetLoad,
    UnansweredPacket,
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() $body
    )*};
}

impl TestInstance {
    fn flow_demand(&self, id: u64) -> f32 {
        let record = self.steer.view().record(TargetId(id)).unwrap();
        record.load.flow_demand(self.now)
    }

    /// Opens flows that send three requests with pauses, so that their demand is learned and reported.
    fn open_long_flows(&mut self, count: u32) -> Vec<(FlowId, TargetId)> {
        let mut flows = Vec::new();
        for _ in 0..count {
            let flow = self.flow(LOOKUP);
            let target = self.open_established(flow);
            self.exchange(flow, target, 1);
            flows.push((flow, target));
        }
        for round in 2..=3 {
            self.advance(Millis(100));
            for (flow, target) in &flows {
                self.exchange(*flow, *target, round);
            }
        }
        flows
    }

    fn exchange(&mut self, flow: FlowId, target: TargetId, round: u32) {
        self.send_data(flow, target, 100 * round, 500 * (round - 1));
        self.advance(Millis(5));
        self.send_data(flow, target, 0, 500 * round);
    }

    fn end(&mut self, flows: &[(FlowId, TargetId)]) {
        for (flow, target) in flows {
            self.send(Segment {
                flow: *flow,
                kind: PacketKind::Finish,
                token: target.token(),
                seq: 401,
                ack: 2_500,
                data_bytes: 0,
            });
        }
    }

    fn receive_work(&mut self, work_ms: &[u32]) {
        let loads: Vec<TargetLoad> = (1..)
            .zip(work_ms)
            .map(|(id, work_ms)| TargetLoad {
                work_ms: *work_ms,
                ..TargetLoad::none(TargetId(id).token())
            })
            .collect();
        self.steer.on_domain_loads(self.now, &loads);
    }

    fn balance(&self) -> Vec<u32> {
        let balances = self.steer.work_balance(self.now);
        balances
            .iter()
            .map(|balance| balance.busiest_over_mean_milli)
            .collect()
    }
}

/// Returns the sums over two instances.
fn joined(instances: [&mut TestInstance; 2]) -> Vec<TargetLoad> {
    let ids = (1..=8).map(TargetId);
    let mut sums: Vec<TargetLoad> = ids.map(|id| TargetLoad::none(id.token())).collect();
    for load in instances
        .map(|instance| instance.steer.take_own_loads())
        .concat()
    {
        let sum = sums.iter_mut().find(|sum| sum.token == load.token).unwrap();
        sum.add_present(load.pending, load.flow_demand_milli);
    }
    sums
}

cases! {
    /// Guards against a constant for all routes, and against a demand taken from a few requests.
    demand_is_learned_from_32_requests => {
        let mut demand = FlowDemand::default();
        for _ in 0..31 {
            demand.record_request(Millis(60), Millis(1_000));
            assert_eq!((demand.share(), demand.weight_milli()), (None, None));
        }
        demand.record_request(Millis(60), Millis(1_000));
        assert!((demand.share().unwrap() - 0.06).abs() < 1e-3);
        assert_eq!(demand.weight_milli(), Some(56));
    }

    /// Guards against flows without requests, which no answer ever measures.
    demand_is_learned_from_ended_flows => {
        let mut demand = FlowDemand::default();
        for _ in 0..32 {
            demand.record_end(Millis(0), Millis(10_000));
        }
        assert_eq!(demand.weight_milli(), Some(0));
    }

    /// Guards against a demand that stays at what it was before callers changed.
    demand_follows_recent_flows => {
        let mut demand = FlowDemand::default();
        for open_ms in [1_000, 10_000] {
            for _ in 0..300 {
                demand.record_request(Millis(100), Millis(open_ms));
            }
        }
        assert!(demand.share().unwrap() < 0.02, "{demand:?}");
    }

    /// Guards against a request that counts twice, as pending and by the demand of its flow, and
    /// against long queues that make open flows outweigh them.
    weight_is_bounded => {
        let mut demand = FlowDemand::default();
        for (pending_ms, weight_milli) in [(1_000, 0), (500, 100)] {
            for _ in 0..1_000 {
                demand.record_request(Millis(pending_ms), Millis(1_000));
            }
            assert_eq!(demand.weight_milli(), Some(weight_milli));
        }
    }

    /// Guards against a new target that gets only as many long flows as the others, since an instance
    /// does not know those that other instances opened.
    new_target_gets_its_share_of_long_flows => {
        let mut one = TestInstance::new();
        let mut other = TestInstance::new();
        one.open_long_flows(60);
        let ended = other.open_long_flows(60);
        other.end(&ended);
        let added = vec![Change::Target(new_target(8, "rates", "a"))];
        one.publish(added.clone());
        other.publish(added);
        let loads = joined([&mut one, &mut other]);
        other.steer.on_domain_loads(other.now, &loads);
        // Without the flows of the first instance, 5 of 20 are expected. An even spread of all 80 flows
        // takes 20, and the target is in three of four samples.
        let flows = other.open_long_flows(20);
        let placed = flows.iter().filter(|(_, target)| target.0 == 8).count();
        assert!((11..=18).contains(&placed), "{placed} of 20");
    }

    /// Guards against guesses that are joined: after a start of all instances, they would outweigh the
    /// pending requests.
    unknown_demand_is_not_reported => {
        let mut instance = TestInstance::new();
        let flow = instance.flow(LOOKUP);
        let id = instance.open_established(flow);
        assert_eq!(instance.flow_demand(id.0), 0.05);
        let loads = instance.steer.take_own_loads();
        assert_eq!(loads[0].flow_demand_milli, 0);
    }

    /// Guards against own flows that count twice, and against a report that is used for too long.
    demand_is_joined_and_ends_with_the_reports => {
        let mut one = TestInstance::new();
        let mut other = TestInstance::new();
        one.open_long_flows(60);
        other.open_long_flows(40);
        let own = one.flow_demand(1);
        let both = own + other.flow_demand(1);
        assert!(own > 0.0 && both > own);
        let loads = joined([&mut one, &mut other]);
        one.steer.on_domain_loads(one.now, &loads);
        assert!((one.flow_demand(1) - both).abs() < 1e-3);
        one.advance(Millis(1_001));
        assert_eq!(one.flow_demand(1), own, "reports were lost");
    }

    /// Guards against a root of an earlier version whose totals hide the own flows.
    totals_without_demand_leave_the_own_flows => {
        let mut instance = TestInstance::new();
        instance.open_long_flows(60);
        let own = instance.flow_demand(1);
        let mut loads = instance.steer.take_own_loads();
        loads.iter_mut().for_each(|load| load.flow_demand_milli = 0);
        instance.steer.on_domain_loads(instance.now, &loads);
        assert!(own > 0.0);
        assert_eq!(instance.flow_demand(1), own);
    }

    /// Guards against a new process that gets no flows because of those that its predecessor held, or
    /// too many because those end later.
    restarted_target_has_no_flows => {
        let mut instance = TestInstance::new();
        let flow = instance.flow(LOOKUP);
        let id = instance.open_established(flow);
        let mut again = new_target(id.0, "rates", "a");
        again.incarnation = 2;
        instance.publish(vec![Change::Target(again)]);
        assert_eq!(instance.flow_demand(id.0), 0.0);
        let next = instance.flow(LOOKUP);
        expect_forwarded(instance.send_data(next, id, 100, 0));
        let own = instance.flow_demand(id.0);
        assert!(own > 0.0);
        expect_forwarded(instance.send_opening_from(flow, 9_000, 0));
        assert_eq!(instance.flow_demand(id.0), own);
    }

    /// Guards against a balance by the number of requests, and against one that keeps old times.
    balance_is_that_of_the_last_ten_seconds => {
        let mut instance = TestInstance::new();
        assert!(instance.balance().is_empty());
        for _ in 0..20 {
            instance.advance(Millis(500));
            instance.receive_work(&[300, 100, 200]);
        }
        assert_eq!(instance.balance(), [1_500]);
        for _ in 0..20 {
            instance.advance(Millis(500));
            instance.receive_work(&[100, 100, 100]);
        }
        assert_eq!(instance.balance(), [1_000]);
        instance.advance(Millis(10_000));
        assert!(instance.balance().is_empty());
    }

    /// Guards against targets that get no flows on purpose and make the others look too busy.
    avoided_targets_do_not_count => {
        let mut instance = TestInstance::new();
        instance.receive_work(&[200, 200, 0]);
        assert_eq!(instance.balance(), [1_500]);
        let evidence = Evidence {
            target: TargetId(3),
            observation: Observation::Unanswered(UnansweredPacket::Opening),
            age: Millis(0),
            caller: None,
        };
        instance.steer.on_evidence(instance.now, &evidence);
        assert_eq!(instance.balance(), [1_000]);
        assert_eq!(instance.steer.core_status(instance.now).balance.len(), 1);
    }
}
