//! Evidence of targets as peers exchange it.

use ids::Millis;
use steer::{Asked, Evidence, Sign, TargetId};
use wire::steering::Evidence as WireEvidence;

/// Encodes what the instance with the number `origin` saw.
pub fn encode(seen: &Evidence, origin: u64) -> WireEvidence {
    WireEvidence {
        target: seen.target.0,
        is_heard: seen.sign == Sign::Heard,
        is_opening: seen.sign == Sign::Missed(Asked::Opening),
        age_ms: seen.age.0,
        origin,
    }
}

/// Decodes what a peer saw.
pub fn decode(seen: &WireEvidence) -> Evidence {
    let sign = match (seen.is_heard, seen.is_opening) {
        (true, _) => Sign::Heard,
        (false, true) => Sign::Missed(Asked::Opening),
        (false, false) => Sign::Missed(Asked::Request),
    };
    Evidence {
        target: TargetId(seen.target),
        sign,
        age: Millis(seen.age_ms),
    }
}
