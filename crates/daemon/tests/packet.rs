//! The packet path with real sockets: one or several shards, targets and a caller.

#![allow(clippy::expect_used)]

mod kit;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use balance::event::ShardEvent;
use balance::shard::{Shard, ShardSettings};
use balance::view::{TargetSet, View};
use daemon::clock::Clock;
use daemon::metrics::Metrics;
use daemon::packet::{self, Driver, ShardLinks};
use daemon::peer::PeerLink;
use daemon::sharding;
use daemon::trace::Tracer;
use ids::{Incarnation, Permille};
use kit::{receive, send};
use tokio::sync::watch;
use wire::frame::{Frame, Kind};
use wire::seal::Keys;

struct PacketPath {
    address: SocketAddr,
    target: UdpSocket,
    caller: UdpSocket,
    metrics: Metrics,
    // Dropping it ends the threads of the shards.
    _quit: watch::Sender<bool>,
}

/// Starts shards that share an address, with a view of one target.
fn start_path(shards: usize) -> PacketPath {
    let target = kit::socket();
    let document = kit::one_target(target.local_addr().expect("a bound socket"));
    start_path_with(shards, target, |address| kit::view(document, address))
}

/// Starts shards that share an address, with the view that `view_at` returns for the address.
fn start_path_with(
    shards: usize,
    target: UdpSocket,
    view_at: impl FnOnce(SocketAddr) -> Arc<View>,
) -> PacketPath {
    let keys = Keys::new("0123456789abcdef", None);
    let metrics = Metrics::new().expect("metrics register once");
    let caller = kit::socket();
    let first = packet::bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = first.local_addr().expect("a bound socket");
    let mut sockets = vec![first];
    sockets.extend((1..shards).map(|_| packet::bind(address).expect("the port is shared")));
    let (queues, inboxes): (Vec<_>, Vec<_>) = (0..shards)
        .map(|_| flume::bounded(packet::MAX_QUEUED_EVENTS))
        .unzip();
    let (quit, quit_seen) = watch::channel(false);
    let any = "127.0.0.1:0".parse().expect("an address");
    let name = "a1".parse().expect("a name");
    let peers = PeerLink::bind(any, name, Incarnation(1), keys.clone(), metrics.clone())
        .expect("a free port");
    let links = ShardLinks {
        shards: queues.clone(),
        control: flume::bounded(packet::MAX_QUEUED_EVENTS).0,
        peers,
        metrics: metrics.clone(),
        clock: Clock::start(),
        quit: quit_seen,
    };
    let view = view_at(address);
    for (index, (inbox, socket)) in inboxes.into_iter().zip(sockets).enumerate() {
        let shard = Shard::new(ShardSettings::default(), keys.clone());
        let tracer = Tracer::new(links.clock, metrics.clone(), Permille(0), None);
        // The view is queued before the thread starts, so the shard handles it before any frame.
        let event = ShardEvent::View(view.clone());
        queues[index].send(event).expect("the queue is empty");
        let driver = Driver::new(index, shard, inbox, links.clone(), tracer);
        driver.spawn(socket).expect("a thread");
    }
    PacketPath {
        address,
        target,
        caller,
        metrics,
        _quit: quit,
    }
}

fn request(id: u64) -> Frame {
    Frame {
        service: "rates".to_owned(),
        class: "lookup".to_owned(),
        request: id,
        domain: "a".to_owned(),
        idempotent: true,
        deadline_ms: 10_000,
        ..Frame::new(Kind::Request)
    }
}

fn answer(frame: &Frame) -> Frame {
    Frame {
        kind: Kind::Answer.into(),
        last: true,
        body: b"answer".to_vec(),
        ..frame.clone()
    }
}

/// Guards against a frame that is lost, or loses its ids or return path, between sockets.
#[yare::parameterized(
    one_shard = { 1 },
    several_shards = { 3 },
)]
fn request_and_answer_pass(shards: usize) {
    let path = start_path(shards);
    for id in 1..=20 {
        send(&path.caller, path.address, &request(id));
        let (at_target, from) = receive(&path.target);
        assert_eq!((at_target.request, at_target.target.as_str()), (id, "r1"));
        send(&path.target, from, &answer(&at_target));
        let (at_caller, _) = receive(&path.caller);
        assert_eq!((at_caller.request, at_caller.kind()), (id, Kind::Answer));
        assert_eq!(at_caller.body, b"answer");
    }
}

/// Guards against frames of a flow that are altered on the way to the target or the caller.
#[test]
fn flow_passes_both_ways() {
    let path = start_path(2);
    let open = Frame {
        service: "rates".to_owned(),
        class: "feed".to_owned(),
        flow: 77,
        domain: "a".to_owned(),
        echo: true,
        ..Frame::new(Kind::Open)
    };
    send(&path.caller, path.address, &open);
    let (opened, from) = receive(&path.target);
    send(
        &path.target,
        from,
        &Frame {
            kind: Kind::Opened.into(),
            ..opened
        },
    );
    let (opened, _) = receive(&path.caller);
    assert_eq!((opened.kind(), opened.flow), (Kind::Opened, 77));
    let data = Frame {
        kind: Kind::Data.into(),
        token: opened.token,
        body: b"ping".to_vec(),
        ..open
    };
    send(&path.caller, path.address, &data);
    let (data, from) = receive(&path.target);
    assert_eq!(data.body, b"ping");
    send(
        &path.target,
        from,
        &Frame {
            body: b"pong".to_vec(),
            ..data
        },
    );
    let (data, _) = receive(&path.caller);
    assert_eq!(
        (data.kind(), data.body.as_slice()),
        (Kind::Data, &b"pong"[..])
    );
}

/// Guards against invalid datagrams that stop a shard or are not counted.
#[test]
fn invalid_datagrams_are_counted_and_dropped() {
    let path = start_path(1);
    let long = [7; 3_000];
    let garbage: [&[u8]; 4] = [b"", b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64], &long];
    for bytes in garbage {
        path.caller
            .send_to(bytes, path.address)
            .expect("loopback takes it");
    }
    send(&path.caller, path.address, &request(5));
    let (at_target, _) = receive(&path.target);
    assert_eq!(at_target.request, 5);
    let dropped = path
        .metrics
        .dropped
        .with_label_values(&["not-a-frame"])
        .get();
    assert_eq!(dropped, garbage.len() as u64);
}

/// Guards against accepting an answer from an address that is not a target of the service.
#[test]
fn answer_from_unknown_address_is_dropped() {
    let path = start_path(1);
    send(&path.caller, path.address, &request(6));
    let (at_target, from) = receive(&path.target);
    let unknown_sender = kit::socket();
    let forged = Frame {
        body: b"forged".to_vec(),
        ..answer(&at_target)
    };
    send(&unknown_sender, from, &forged);
    send(&path.target, from, &answer(&at_target));
    let (at_caller, _) = receive(&path.caller);
    assert_eq!(at_caller.body, b"answer");
    let dropped = path
        .metrics
        .dropped
        .with_label_values(&["wrong-service"])
        .get();
    assert_eq!(dropped, 1);
}

/// Starts two shards whose view retains two target sets: flows opened before the change are on
/// `r1`, new ones go to `r2`. The target of the path is `r2`; the socket of `r1` is returned
/// separately.
fn start_path_after_change() -> (PacketPath, UdpSocket) {
    let (old, new) = (kit::socket(), kit::socket());
    let address_of = |socket: &UdpSocket| socket.local_addr().expect("a bound socket");
    let document = kit::two_targets(address_of(&old), address_of(&new));
    let path = start_path_with(2, new, |address| {
        let mut view = (*kit::view(document, address)).clone();
        for sets in view.target_sets.values_mut() {
            let both = sets.pop().expect("the present set");
            sets.extend(both.candidates.iter().map(|candidate| {
                Arc::new(TargetSet {
                    candidates: vec![candidate.clone()],
                    since: both.since,
                })
            }));
            sets.sort_by_key(|set| view.targets[&set.candidates[0].target].name.clone());
        }
        Arc::new(view)
    });
    (path, old)
}

/// Opens a flow whose caller echoes no token and returns the open frame.
fn open_without_token(path: &PacketPath, flow: u64) -> Frame {
    let open = Frame {
        service: "rates".to_owned(),
        class: "lookup".to_owned(),
        flow,
        domain: "a".to_owned(),
        ..Frame::new(Kind::Open)
    };
    send(&path.caller, path.address, &open);
    let (opened, from) = receive(&path.target);
    assert_eq!(opened.target, "r2");
    let opened = Frame {
        kind: Kind::Opened.into(),
        ..opened
    };
    send(&path.target, from, &opened);
    assert_eq!(receive(&path.caller).0.kind(), Kind::Opened);
    open
}

/// Guards against a request that reaches a shard without the record of its flow and is executed on
/// a target other than that of the flow.
#[yare::parameterized(
    no_token = { &[] },
    invalid_token = { &[7; 24] },
)]
fn requests_stay_with_a_flow_of_another_shard(token: &[u8]) {
    let (path, old) = start_path_after_change();
    let flow = 77;
    open_without_token(&path, flow);
    let mut is_shard_seen = [false; 2];
    for id in 1..=20 {
        is_shard_seen[sharding::shard_of_id(id, 2)] = true;
        let request = Frame {
            flow,
            token: token.to_vec(),
            ..request(id)
        };
        send(&path.caller, path.address, &request);
        let (at_target, from) = receive(&path.target);
        assert_eq!((at_target.request, at_target.target.as_str()), (id, "r2"));
        send(&path.target, from, &answer(&at_target));
        assert_eq!(receive(&path.caller).0.request, id);
    }
    assert_eq!(is_shard_seen, [true; 2], "both shards own requests");
    kit::assert_nothing_waits(&old);
}

/// Guards against a retry that names a new flow, reaches a shard without the record of the request
/// and is executed again.
#[test]
fn retry_with_a_new_flow_runs_once() {
    let (path, old) = start_path_after_change();
    let in_shard = |shard| {
        let mut flows = 100..;
        flows.find(move |&flow| sharding::shard_of_id(flow, 2) == shard)
    };
    let flows = [0, 1].map(|shard| in_shard(shard).expect("a flow in each shard"));
    for flow in flows {
        open_without_token(&path, flow);
    }
    for id in 1..=20 {
        let first = Frame {
            flow: flows[0],
            ..request(id)
        };
        send(&path.caller, path.address, &first);
        let (at_target, from) = receive(&path.target);
        send(&path.target, from, &answer(&at_target));
        assert_eq!(receive(&path.caller).0.kind(), Kind::Answer);
        let retry = Frame {
            flow: flows[1],
            attempt: 1,
            ..first
        };
        send(&path.caller, path.address, &retry);
        let (at_caller, _) = receive(&path.caller);
        assert_eq!((at_caller.request, at_caller.kind()), (id, Kind::Answer));
        kit::assert_nothing_waits(&path.target);
    }
    kit::assert_nothing_waits(&old);
}
