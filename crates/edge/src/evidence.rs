//! Evidence of targets as peers exchange it.

use ids::Millis;
use steer::{Asked, Evidence, Sign, TargetId};
use wire::steering::Evidence as WireEvidence;
use wire::steering::evidence::Sign as WireSign;

/// Encodes what the instance with the number `origin` saw.
pub fn encode(seen: &Evidence, origin: u64) -> WireEvidence {
    let sign = match seen.sign {
        Sign::Heard => WireSign::Heard,
        Sign::Missed(Asked::Opening) => WireSign::OpeningMissed,
        Sign::Missed(Asked::Request) => WireSign::RequestMissed,
        Sign::Stalled => WireSign::RequestStalled,
    };
    WireEvidence {
        target: seen.target.0,
        sign: sign.into(),
        age_ms: seen.age.0,
        origin,
    }
}

/// Decodes what a peer saw, or nothing when it is a sign of a later version.
pub fn decode(seen: &WireEvidence) -> Option<Evidence> {
    let sign = match seen.sign() {
        WireSign::Unspecified => return None,
        WireSign::Heard => Sign::Heard,
        WireSign::OpeningMissed => Sign::Missed(Asked::Opening),
        WireSign::RequestMissed => Sign::Missed(Asked::Request),
        WireSign::RequestStalled => Sign::Stalled,
    };
    Some(Evidence {
        target: TargetId(seen.target),
        sign,
        age: Millis(seen.age_ms),
    })
}
