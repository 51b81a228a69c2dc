//! Evidence that a peer tells, seen from what callers get.

#![allow(clippy::unwrap_used)]

mod kit;

use std::time::Duration;

use kit::caller::{Ended, Flow};
use kit::instance::Instance;
use kit::{Net, PEER_PORT};
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

/// An instance, a flow on one target, and what a peer may tell of that target.
struct Setting {
    net: Net,
    instance: Instance,
    flow: Flow,
}

impl Setting {
    async fn new() -> Self {
        let mut net = Net::new(2).await;
        let instance = net.ready(0).await;
        let flow = net.caller.open(instance.packets()).await.unwrap();
        Self {
            net,
            instance,
            flow,
        }
    }

    /// Returns evidence that a request to the flow's target had no answer.
    fn missed(&self, sequence: u64) -> Evidence {
        let target = self.net.targets.iter().map(|target| target.id);
        let id = target
            .into_iter()
            .find(|id| TargetId(*id).token().0 == self.flow.echo);
        Evidence {
            target: id.unwrap(),
            sign: Sign::RequestMissed.into(),
            age_ms: 0,
            origin: 7,
            sequence,
        }
    }

    /// Tells the instance as a follower, one message for each, and asks over the flow.
    async fn ask_after(&mut self, told: Vec<Evidence>) -> Ended {
        let address = format!("http://{}:{PEER_PORT}", self.instance.packets().ip());
        let mut client = RelayClient::connect(address).await.unwrap();
        let first = FollowRequest::default();
        let told = told.into_iter().map(|seen| FollowRequest {
            evidence: vec![seen],
            ..FollowRequest::default()
        });
        let requests = tokio_stream::iter(std::iter::once(first).chain(told));
        let stays = tokio_stream::pending();
        let parts = client.follow(requests.chain(stays)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        // Another target is heard, as in any instance with traffic.
        while self
            .net
            .caller
            .open(self.instance.packets())
            .await
            .unwrap()
            .echo
            == self.flow.echo
        {}
        let ended = self
            .net
            .caller
            .ask(self.instance.packets(), &mut self.flow)
            .await;
        drop(parts);
        ended
    }
}

cases! {
    three_unanswered_requests_end_flows_of_a_target => {
        let mut setting = Setting::new().await;
        let told = (1..=3).map(|sequence| setting.missed(sequence)).collect();
        assert_eq!(setting.ask_after(told).await, Ended::Reset);
    }

    evidence_that_comes_by_several_ways_counts_once => {
        let mut setting = Setting::new().await;
        let told = vec![setting.missed(1); 6];
        assert_eq!(setting.ask_after(told).await, Ended::Answered);
    }
}
