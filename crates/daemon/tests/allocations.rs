//! Limit on the allocations of the packet path in the steady state.

#![allow(clippy::expect_used, unsafe_code)]

mod kit;

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::net::SocketAddr;

use balance::event::{ShardAction, ShardEvent};
use balance::shard::{Shard, ShardSettings};
use daemon::sharding::TargetAddresses;
use ids::Micros;
use wire::frame::{Frame, Kind};
use wire::seal::Keys;

thread_local! {
    static ALLOCATION_COUNT: Cell<u64> = const { Cell::new(0) };
}

/// Counts allocations per thread, so that other tests do not affect the count.
struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATION_COUNT.with(|count| count.set(count.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Maximum number of allocations per frame of a known flow.
const MAX_ALLOCATIONS_PER_FRAME: f64 = 0.0;

const TARGET: &str = "127.0.0.1:7501";
const CALLER: &str = "127.0.0.1:7601";

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// The packet path of one shard without sockets.
struct PacketPath {
    shard: Shard,
    target_addresses: TargetAddresses,
    actions: Vec<ShardAction>,
    datagram: Vec<u8>,
    now: Micros,
}

impl PacketPath {
    fn new() -> Self {
        let view = kit::view(kit::one_target(address(TARGET)), address("127.0.0.1:7401"));
        let mut path = Self {
            shard: Shard::new(
                ShardSettings::default(),
                Keys::new("0123456789abcdef", None),
            ),
            target_addresses: TargetAddresses::from_view(&view),
            actions: Vec::new(),
            datagram: Vec::new(),
            now: Micros(1_000_000),
        };
        let event = ShardEvent::View(view);
        path.shard.handle(path.now, event, &mut path.actions);
        path.actions.clear();
        path
    }

    /// Processes a datagram in the same way as the packet path and stores the last sent frame in
    /// `self.datagram`.
    fn process(&mut self, from: SocketAddr, datagram: &[u8]) {
        self.now = Micros(self.now.0 + 1_000);
        let frame = Frame::from_datagram(datagram).expect("a frame");
        let event = self.target_addresses.classify(from, frame);
        self.shard.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let ShardAction::SendToTarget { frame, .. }
            | ShardAction::SendToCaller { frame, .. } = action
            {
                frame
                    .encode_into(&mut self.datagram)
                    .expect("a short frame");
            }
        }
    }
}

fn frame(kind: Kind) -> Frame {
    Frame {
        service: "rates".to_owned(),
        class: "feed".to_owned(),
        member: "member-1".to_owned(),
        domain: "a".to_owned(),
        source: CALLER.to_owned(),
        echo: true,
        flow: 77,
        ..Frame::new(kind)
    }
}

/// Encodes a frame as a datagram.
fn datagram(frame: &Frame) -> Vec<u8> {
    frame.to_datagram().expect("a short frame")
}

/// Guards against allocations for frames of a known flow, which slow down every packet.
#[test]
fn known_flow_allocates_nothing() {
    let mut path = PacketPath::new();
    path.process(address(CALLER), &datagram(&frame(Kind::Open)));
    let opened = Frame {
        kind: Kind::Opened.into(),
        target: "r1".to_owned(),
        ..frame(Kind::Opened)
    };
    path.process(address(TARGET), &datagram(&opened));
    let token = Frame::from_datagram(&path.datagram).expect("a frame").token;
    assert!(!token.is_empty());
    let from_caller = datagram(&Frame {
        token,
        body: b"ping".to_vec(),
        ..frame(Kind::Data)
    });
    let from_target = datagram(&Frame {
        target: "r1".to_owned(),
        body: b"pong".to_vec(),
        ..frame(Kind::Data)
    });
    // Warm-up: tables and buffers grow to their final size.
    for _ in 0..100 {
        path.process(address(CALLER), &from_caller);
        path.process(address(TARGET), &from_target);
    }
    let mut count = |from: &str, datagram: &[u8]| {
        let from = address(from);
        let before = ALLOCATION_COUNT.get();
        for _ in 0..1_000 {
            path.process(from, datagram);
        }
        (ALLOCATION_COUNT.get() - before) as f64 / 1_000.0
    };
    let (to_target, to_caller) = (count(CALLER, &from_caller), count(TARGET, &from_target));
    assert!(
        to_target <= MAX_ALLOCATIONS_PER_FRAME,
        "{to_target} allocations per frame to the target"
    );
    assert!(
        to_caller <= MAX_ALLOCATIONS_PER_FRAME,
        "{to_caller} allocations per frame to the caller"
    );
}
