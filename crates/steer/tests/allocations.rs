//! Checks that packets of known flows are processed without memory allocations.

#![allow(unsafe_code)]

mod kit;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use ids::Millis;
use kit::{LOOKUP, TestInstance, expect_forwarded};

struct Counting;

static ALLOCATIONS: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Sends requests on known flows and takes the notes, as the daemon does.
fn exchange(instance: &mut TestInstance, flows: &[(steer::FlowId, steer::TargetId)], round: u32) {
    for (flow, target) in flows {
        expect_forwarded(instance.send_data(*flow, *target, 100 * round, 500 * (round - 1)));
        instance.advance(Millis(1));
        expect_forwarded(instance.send_data(*flow, *target, 0, 500 * round));
        let mut notes = instance.steer.take_notes();
        notes.clear();
        instance.steer.return_notes(notes);
    }
}

#[test]
fn known_flow_allocates_nothing() {
    let mut instance = TestInstance::new();
    let flows: Vec<_> = (0..100)
        .map(|_| {
            let flow = instance.flow(LOOKUP);
            let target = instance.open_established(flow);
            (flow, target)
        })
        .collect();
    // Warm up: the queue of pending requests grows to the requests of at most one second.
    for round in 1..10 {
        exchange(&mut instance, &flows, round);
    }
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    for round in 10..30 {
        exchange(&mut instance, &flows, round);
    }
    assert_eq!(ALLOCATIONS.load(Ordering::Relaxed) - before, 0);
}
