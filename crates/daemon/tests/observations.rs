//! ObservationBuffer are combined on their way to the control part.

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
    let mut passed = Vec::new();
    observations.flush(|observation| {
        passed.push(observation);
        true
    });
    passed
}

/// Guards against a queue that fills with counts that are outdated already.
#[test]
fn only_the_newest_count_passes() {
    let mut observations = ObservationBuffer::default();
    for count in 0..100 {
        assert_eq!(observations.record(in_flight(count)), None);
    }
    assert_eq!(flushed(&mut observations), [in_flight(99)]);
    assert_eq!(flushed(&mut observations), []);
}

/// Guards against a refusal that waits while new work goes to a draining target.
#[test]
fn changes_of_state_pass_at_once() {
    let mut observations = ObservationBuffer::default();
    let draining = Observation::Draining(TARGET);
    assert_eq!(observations.record(draining), Some(draining));
}

/// Guards against an older answer that arrives after a refusal and calls the target well again.
#[test]
fn answer_does_not_overtake_a_refusal() {
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

/// Guards against a count that is lost when the queue is full.
#[test]
fn counts_wait_for_room() {
    let mut observations = ObservationBuffer::default();
    observations.record(in_flight(3));
    observations.flush(|_| false);
    assert_eq!(flushed(&mut observations), [in_flight(3)]);
}
