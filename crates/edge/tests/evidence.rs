//! Effect of evidence from peers on the flows of callers.

#![allow(clippy::unwrap_used)]

mod kit;

use std::time::Duration;

use kit::caller::{Flow, Outcome};
use kit::instance::Instance;
use kit::{PEER_PORT, TestNetwork};
use steer::TargetId;
use tokio_stream::StreamExt;
use wire::steering::evidence::Sign;
use wire::steering::relay_client::RelayClient;
use wire::steering::{Evidence, FollowRequest};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() $body
    )*};
}

/// An instance with one open flow, and evidence against the target of that flow.
struct Fixture {
    net: TestNetwork,
    instance: Instance,
    flow: Flow,
}

impl Fixture {
    async fn new() -> Self {
        let mut net = TestNetwork::new(2).await;
        let instance = net.start_ready(0).await;
        let flow = net
            .caller
            .open_flow(instance.packet_address())
            .await
            .unwrap();
        Self {
            net,
            instance,
            flow,
        }
    }

    /// Returns evidence that the flow's target did not answer a request.
    fn missed_request(&self, sequence: u64) -> Evidence {
        let target = self.net.targets.iter().map(|target| target.id);
        let id = target
            .into_iter()
            .find(|id| TargetId(*id).token().0 == self.flow.token);
        Evidence {
            target: id.unwrap(),
            sign: Sign::RequestMissed.into(),
            age_ms: 0,
            origin: 7,
            sequence,
            caller: 0,
        }
    }

    /// Sends the evidence to the instance as a follower, one message for each item, and then sends
    /// a request over the flow.
    async fn request_after(&mut self, evidence: Vec<Evidence>) -> Outcome {
        let address = format!("http://{}:{PEER_PORT}", self.instance.packet_address().ip());
        let mut client = RelayClient::connect(address).await.unwrap();
        let first = FollowRequest::default();
        let evidence = evidence.into_iter().map(|item| FollowRequest {
            evidence: vec![item],
            ..FollowRequest::default()
        });
        let requests = tokio_stream::iter(std::iter::once(first).chain(evidence));
        let open_end = tokio_stream::pending();
        let parts = client.follow(requests.chain(open_end)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        // As in any instance with traffic, a different target answers in the meantime.
        while self
            .net
            .caller
            .open_flow(self.instance.packet_address())
            .await
            .unwrap()
            .token
            == self.flow.token
        {}
        let outcome = self
            .net
            .caller
            .send_request(self.instance.packet_address(), &mut self.flow)
            .await;
        drop(parts);
        outcome
    }
}

cases! {
    three_unanswered_requests_reset_flows_of_a_target => {
        let mut fixture = Fixture::new().await;
        let evidence = (1..=3).map(|sequence| fixture.missed_request(sequence)).collect();
        assert_eq!(fixture.request_after(evidence).await, Outcome::Reset);
    }

    // Guards against flows that are reset because those of another caller get no responses.
    unanswered_requests_of_another_caller_count_once => {
        let mut fixture = Fixture::new().await;
        let evidence = (1..=6).map(|sequence| Evidence {
            caller: 0x6440_0107,
            ..fixture.missed_request(sequence)
        });
        let evidence = evidence.collect();
        assert_eq!(fixture.request_after(evidence).await, Outcome::Answered);
    }

    duplicate_evidence_counts_once => {
        let mut fixture = Fixture::new().await;
        let evidence = vec![fixture.missed_request(1); 6];
        assert_eq!(fixture.request_after(evidence).await, Outcome::Answered);
    }
}
