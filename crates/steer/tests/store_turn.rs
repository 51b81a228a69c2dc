//! Tests that better peers call the store first, and that every instance calls it in time.

use ids::Millis;
use steer::store_turn::{first_turn, retry_turn};
use yare::parameterized;

#[parameterized(
    best = { 0, 0, 0 },
    second = { 1, 60, 3_000 },
    sixth = { 5, 300, 3_000 },
    last_of_fifty = { 49, 1_200, 3_000 },
    last_of_thousands = { 4_000, 1_200, 3_000 },
)]
fn turns_grow_with_the_number_of_better_peers_up_to_a_limit(
    better_peers: usize,
    first_ms: u64,
    retry_ms: u64,
) {
    let change_limit = Millis(6_000);
    assert_eq!(first_turn(better_peers, change_limit), Millis(first_ms));
    assert_eq!(retry_turn(better_peers, change_limit), Millis(retry_ms));
}

/// The calls of a failure domain must not grow with the number of its instances while all of them
/// wait for the same source.
#[test]
fn first_calls_of_a_failure_domain_are_spread() {
    let change_limit = Millis(6_000);
    let turns: Vec<u64> = (0..20)
        .map(|better_peers| first_turn(better_peers, change_limit).0)
        .collect();
    assert!(
        turns.windows(2).all(|pair| pair[1] >= pair[0] + 60),
        "{turns:?}"
    );
}
