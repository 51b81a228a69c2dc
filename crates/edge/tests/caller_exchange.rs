//! Tests of the sums of callers' openings over an instance and its followers.

#![allow(clippy::unwrap_used)]

mod kit;

use std::net::Ipv4Addr;
use std::time::Duration;

use edge::caller_exchange::{CallerExchange, decode, encode};
use ids::{Micros, Millis};
use kit::{LINK_MBPS, PEER_PORT, TestNetwork, wait_until};
use prost::Message;
use steer::{CallerTotal, Priority};
use tokio_stream::StreamExt;
use wire::steering::relay_client::RelayClient;
use wire::steering::{CallerReport, CallerTotal as WireTotal, FollowRequest};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() $body
    )*};
}

const NOW: Micros = Micros(1_000_000);

/// Returns the openings of the addresses of these indices, with one more for each next one.
fn total(service: &str, indices: std::ops::Range<u32>) -> CallerTotal {
    let mut total = CallerTotal::none(service.into(), Priority(1));
    for (index, openings) in indices.zip(1..) {
        let caller = Ipv4Addr::from(0x6440_0000 + index);
        total.openings += openings;
        total.callers.insert(caller);
        total.largest.insert(0, (caller, openings));
    }
    total
}

/// Returns the sums after the reports of followers, each of which sees other callers.
fn sums_of(followers: u32) -> CallerReport {
    let mut exchange = CallerExchange::default();
    for follower in 0..followers {
        let indices = follower * 16..follower * 16 + 16;
        let totals = ["rates", "orders"].map(|service| total(service, indices.clone()));
        exchange.receive(encode(&totals).as_ref());
    }
    encode(&exchange.take_sums(NOW, &[])).unwrap_or_default()
}

cases! {
    /// Guards against counts that are lost or counted twice on the way through a level of the tree.
    sums_hold_own_and_followers_openings => {
        let mut middle = CallerExchange::default();
        middle.receive(encode(&[total("rates", 0..2)]).as_ref());
        let report = encode(&middle.take_sums(NOW, &[total("rates", 1..3)]));
        let mut root = CallerExchange::default();
        root.receive(report.as_ref());
        let sums = root.take_sums(NOW, &[total("orders", 0..1)]);
        let callers = total("rates", 0..3).callers;
        let largest = [(1, 3), (2, 2), (0, 1)].map(|(index, openings)| (Ipv4Addr::from(0x6440_0000 + index), openings));
        let rates = CallerTotal { openings: 6, callers, largest: largest.to_vec(), ..total("rates", 0..0) };
        assert_eq!(sums, [total("orders", 0..1), rates]);
        assert_eq!(decode(&encode(&sums).unwrap_or_default()), sums);
        assert_eq!(root.take_sums(NOW + Millis(400), &[]), []);
    }

    /// Guards against reports whose size grows with the number of instances.
    bytes_do_not_grow_with_the_fleet => {
        let [one, thirty, three_hundred] = [1, 30, 300].map(|followers| sums_of(followers).encoded_len());
        assert!(one <= 600, "{one}");
        assert!(thirty <= one + 32 && three_hundred <= one + 64, "{one}, {thirty}, {three_hundred}");
    }

    /// Guards against reports at each report of loads, which come four times as often under load.
    sums_are_sent_at_most_each_350_ms => {
        let mut exchange = CallerExchange::default();
        let sent = (0..40).filter(|tick| {
            let sums = exchange.take_sums(NOW + Millis(tick * 100), &[total("rates", 0..4)]);
            !sums.is_empty()
        });
        assert_eq!(sent.count(), 10);
    }

    /// Guards against control traffic while no service is short of capacity, and against a follower of
    /// an earlier version whose requests have no such field.
    nothing_is_sent_without_openings => {
        let mut exchange = CallerExchange::default();
        let earlier = FollowRequest::decode(&[0x08, 0x05][..]).unwrap_or_default();
        exchange.receive(earlier.callers.as_ref());
        let request = FollowRequest { revision: 5, callers: encode(&exchange.take_sums(NOW, &[])), ..FollowRequest::default() };
        assert_eq!(request, earlier);
        assert_eq!(exchange.take_sums(NOW, &[total("rates", 0..1)]), [total("rates", 0..1)]);
    }

    /// Guards against reports of a faulty peer: lists of other lengths, totals that do not exist,
    /// other sizes of a bitmap, and more of everything than a report holds.
    wrong_reports_are_bounded => {
        let wire = |priority, service: &str| WireTotal {
            priority,
            openings: u32::MAX,
            caller_bitmap: vec![0xff; 5],
            service: service.into(),
        };
        let report = CallerReport {
            addresses: (0..1_000).collect(),
            total_indexes: [0, 1, 2, 3, 900].repeat(150),
            openings: vec![u32::MAX; 700],
            totals: vec![wire(1, "rates"), wire(300, "rates"), wire(2, &"x".repeat(300))],
        };
        let totals = decode(&report);
        assert_eq!(totals.len(), 1);
        assert_eq!((totals[0].largest.len(), totals[0].callers.count()), (16, 0.0));
        let many = CallerReport { totals: (0..9_000).map(|index| wire(index % 200, &index.to_string())).collect(), ..report };
        let mut exchange = CallerExchange::default();
        (0..3).for_each(|_| exchange.receive(Some(&many)));
        assert_eq!(exchange.take_sums(NOW, &[]).len(), 64);
    }
}

/// Guards against reports that an instance does not pass up to its upstream peer, or down from it. Of
/// three levels, the lowest one is played by the test.
#[tokio::test]
async fn report_of_a_follower_goes_up_to_the_root_and_down_again() {
    let net = TestNetwork::new(1).await;
    let root = net.start_with(0, net.store.address, 2 * LINK_MBPS);
    wait_until("the root is ready", || root.is_ready()).await;
    let middle = net.start_ready(1).await;
    wait_until("the middle follows", || async {
        middle.log_contains("peer followed")
    })
    .await;
    let address = format!("http://{}:{PEER_PORT}", middle.packet_address().ip());
    let mut client = RelayClient::connect(address).await.unwrap();
    let reports = tokio_stream::iter(0..100).then(|number| async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        FollowRequest {
            callers: (number > 0)
                .then(|| encode(&[total("rates", 0..3)]))
                .flatten(),
            ..FollowRequest::default()
        }
    });
    let mut parts = client.follow(reports).await.unwrap().into_inner();
    let first_sums = async {
        loop {
            let part = parts.next().await.unwrap().unwrap();
            if let Some(callers) = part.callers {
                return decode(&callers);
            }
        }
    };
    let limit = Duration::from_secs(8);
    let sums = tokio::time::timeout(limit, first_sums).await.unwrap();
    let one = total("rates", 0..3);
    assert_eq!(sums.len(), 1);
    assert_eq!(sums[0].callers, one.callers);
    assert!(
        sums[0].openings > 0 && sums[0].openings % one.openings == 0,
        "{sums:?}"
    );
    assert_eq!(sums[0].largest.len(), 3);
}
