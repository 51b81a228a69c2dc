//! Communication between instances: gRPC calls and sealed datagrams.

#![allow(clippy::expect_used)]

mod kit;

use std::net::{SocketAddr, TcpListener};

use balance::event::{ControlEvent, ShardEvent};
use daemon::control::ControlInput;
use daemon::grpc::{Client, Service};
use daemon::metrics::Metrics;
use daemon::peer::PeerLink;
use daemon::sharding;
use ids::{ContentHash, Incarnation};
use wire::frame::{Frame, Kind};
use wire::peer::{Body, FlowRecord, Heartbeat, RelayedFrame};
use wire::seal::Keys;

const STORED_HASH: ContentHash = ContentHash([7; 16]);
const SHARDS: usize = 3;

struct TestPeer {
    grpc: SocketAddr,
    shards: Vec<flume::Receiver<ShardEvent>>,
}

fn keys() -> Keys {
    Keys::new("0123456789abcdef", None)
}

/// Starts the gRPC service of an instance that holds one value.
fn serve() -> TestPeer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let grpc = listener.local_addr().expect("a bound socket");
    let (control, inputs) = flume::bounded(16);
    let (queues, shards) = (0..SHARDS).map(|_| flume::bounded(16)).unzip();
    tokio::spawn(Service::new(keys(), control, queues).serve(listener));
    tokio::spawn(async move {
        while let Ok(input) = inputs.recv_async().await {
            if let ControlInput::ReadValue { hash, reply } = input {
                let _ = reply.send((hash == STORED_HASH).then(|| b"value".to_vec()));
            }
        }
    });
    TestPeer { grpc, shards }
}

/// Guards against a fetch that returns the wrong value or reports an unknown hash as an error.
#[tokio::test]
async fn fetch_by_hash() {
    let peer = serve();
    let client = Client::new("b1".to_owned(), keys());
    let value = client
        .fetch(peer.grpc, STORED_HASH)
        .await
        .expect("an answer");
    assert_eq!(value.as_deref(), Some(&b"value"[..]));
    let other = client.fetch(peer.grpc, ContentHash([8; 16])).await;
    assert_eq!(other.expect("an answer"), None);
}

/// Guards against a client without the key that reads documents or injects flow records.
#[tokio::test]
async fn wrong_key_is_refused() {
    let peer = serve();
    let intruder = Client::new("b1".to_owned(), Keys::new("fedcba9876543210", None));
    assert!(intruder.fetch(peer.grpc, STORED_HASH).await.is_err());
    let injected = intruder
        .hand_over(peer.grpc, &[FlowRecord::default()])
        .await;
    assert!(injected.is_err());
    assert!(peer.shards.iter().all(flume::Receiver::is_empty));
}

/// Guards against flow records that reach a shard other than the owner of their flow.
#[tokio::test]
async fn records_reach_the_shard_of_their_flow() {
    let peer = serve();
    let client = Client::new("b1".to_owned(), keys());
    let records: Vec<_> = (1..=50)
        .map(|flow| FlowRecord {
            flow,
            ..FlowRecord::default()
        })
        .collect();
    let accepted = client.hand_over(peer.grpc, &records).await;
    assert_eq!(accepted.expect("an answer"), 50);
    let mut received = 0;
    for (index, shard) in peer.shards.iter().enumerate() {
        for event in shard.try_iter() {
            let ShardEvent::FlowRecords(records) = event else {
                continue;
            };
            received += records.len();
            assert!(
                records
                    .iter()
                    .all(|r| sharding::shard_of_id(r.flow, SHARDS) == index)
            );
        }
    }
    assert_eq!(received, 50);
}

/// Guards against messages that are dispatched to the wrong receiver, and against datagrams without
/// a valid seal.
#[tokio::test]
async fn datagrams_are_dispatched_by_type() {
    let metrics = Metrics::new().expect("metrics register once");
    let link = |name: &str, keys| {
        let address = "127.0.0.1:0".parse().expect("an address");
        let name = name.parse().expect("a name");
        PeerLink::bind(address, name, Incarnation(1), keys, metrics.clone()).expect("a free port")
    };
    let receiver = link("a1", keys());
    let address = receiver.address().expect("a bound socket");
    let (queue, shard) = flume::bounded(16);
    let (control, inputs) = flume::bounded(16);
    tokio::spawn(receiver.receive(vec![queue], control));
    let relay = RelayedFrame {
        frame: Some(Frame {
            request: 3,
            ..Frame::new(Kind::Request)
        }),
        hops: 1,
    };
    link("x1", Keys::new("fedcba9876543210", None))
        .send(address, Body::RelayedFrame(relay.clone()));
    let peer = link("b1", keys());
    peer.send(address, Body::RelayedFrame(relay));
    peer.send(address, Body::Heartbeat(Heartbeat::default()));
    // Loopback delivers datagrams to one socket in order, so the one with the wrong key came first.
    let input = tokio::time::timeout(kit::TIMEOUT, inputs.recv_async()).await;
    let input = input.expect("a heartbeat in time").expect("an open queue");
    assert!(matches!(
        input,
        ControlInput::Event(ControlEvent::PeerMessage(_))
    ));
    let relayed: Vec<_> = shard.try_iter().collect();
    let is_relay = |event: &ShardEvent| matches!(event, ShardEvent::RelayedFrame { hops: 1, .. });
    assert!(
        relayed.len() == 1 && relayed.iter().all(is_relay),
        "{relayed:?}"
    );
    let refused = metrics.dropped.with_label_values(&["unauthenticated"]);
    assert_eq!(refused.get(), 1);
}
