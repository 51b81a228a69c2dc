//! When an instance calls the store itself instead of waiting for its better peers.
//!
//! All instances of a failure domain lose their common source at the same time, for example when
//! the store is down. If all of them called the store then, the calls would grow with the failure
//! domain. So better peers come first, and the others follow later, in case those cannot reach the
//! store. See [state and its owners](../../../docs/platform.md).

use ids::Millis;

/// Until a turn comes, an instance may use an outdated view while others already have a newer one.
/// The first turn leaves four fifths of the change limit for the time in which peers notice that
/// their source fails.
const FIRST_TURN_DIVISOR: u64 = 5;
const FIRST_TURN_STEP_DIVISOR: u64 = 100;

/// After a failed call the store is either down for everybody, in which case the best instance
/// notices first that it is back, or this instance is cut off from it.
const RETRY_TURN_DIVISOR: u64 = 2;

/// Returns how long an instance with `better_peers` better peers waits before it calls the store,
/// when its peers have no view or their source fails.
pub fn first_turn(better_peers: usize, change_limit: Millis) -> Millis {
    let steps = (better_peers as u64).min(FIRST_TURN_STEP_DIVISOR);
    Millis(change_limit.0 * steps / FIRST_TURN_STEP_DIVISOR)
        .min(Millis(change_limit.0 / FIRST_TURN_DIVISOR))
}

/// Returns how long an instance with `better_peers` better peers waits at least after a failed call
/// to the store.
pub fn retry_turn(better_peers: usize, change_limit: Millis) -> Millis {
    if better_peers == 0 {
        return Millis(0);
    }
    Millis(change_limit.0 / RETRY_TURN_DIVISOR)
}
