//! Coalescing of observations that a shard sends to the control plane.

use balance::event::Observation;
use daemon::observations::ObservationBuffer;
use wire::token::TargetId;

const TARGET: TargetId = TargetId(1);

fn in_flight(count: u32) -> Observation {
    Observation::InFlight {
        target: TARGET,
        count,
    }
}

fn flushed(observations: &mut ObservationBuffer) -> Vec<Observation> {
    let mut sent = Vec::new();
    observations.flush(|observation| {
        sent.push(observation);
        true
    });
    sent
}

/// Guards against a queue that fills up with outdated counts.
#[test]
fn only_the_latest_count_is_sent() {
    let mut observations = ObservationBuffer::default();
    for count in 0..100 {
        assert_eq!(observations.record(in_flight(count)), None);
    }
    assert_eq!(flushed(&mut observations), [in_flight(99)]);
    assert_eq!(flushed(&mut observations), []);
}

/// Guards against a delayed state change, during which new work still goes to a draining target.
#[test]
fn state_changes_are_sent_immediately() {
    let mut observations = ObservationBuffer::default();
    let draining = Observation::Draining(TARGET);
    assert_eq!(observations.record(draining), Some(draining));
}

/// Guards against an earlier answer that is sent after a refusal and marks the target healthy
/// again.
#[test]
fn earlier_answer_is_dropped_after_a_refusal() {
    let mut observations = ObservationBuffer::default();
    let answered = Observation::Answered {
        target: TARGET,
        load: Some(1),
    };
    observations.record(answered);
    observations.record(Observation::Overloaded(TARGET));
    assert_eq!(flushed(&mut observations), []);
    observations.record(answered);
    assert_eq!(flushed(&mut observations), [answered]);
}

/// Guards against the loss of a count when the queue is full.
#[test]
fn counts_stay_buffered_while_the_queue_is_full() {
    let mut observations = ObservationBuffer::default();
    observations.record(in_flight(3));
    observations.flush(|_| false);
    assert_eq!(flushed(&mut observations), [in_flight(3)]);
}
