//! Evidence of targets as peers exchange it.

use hashbrown::HashMap;
use ids::Millis;
use steer::{Asked, Evidence, Sign, TargetId};
use wire::steering::Evidence as WireEvidence;
use wire::steering::evidence::Sign as WireSign;

/// Origins remembered. Each start of a process is a new one; a failure domain of 870 instances may
/// restart nine times.
const MAX_ORIGINS: usize = 8_192;

/// Evidence that was taken already. While instances change the peer that they follow, the same may
/// come by two ways, and a single lost packet must not count as several.
#[derive(Debug, Default)]
pub struct EvidenceDeduplicator {
    /// Last sequence number of each origin.
    last_sequences: HashMap<u64, u64>,
}

impl EvidenceDeduplicator {
    /// Tells whether evidence is new, and remembers it.
    pub fn is_new(&mut self, evidence: &WireEvidence) -> bool {
        if self.last_sequences.len() >= MAX_ORIGINS {
            self.last_sequences.clear();
        }
        let last = self.last_sequences.entry(evidence.origin).or_insert(0);
        let is_new = evidence.sequence > *last;
        *last = evidence.sequence.max(*last);
        is_new
    }
}

/// Encodes what the instance with the number `origin` saw.
pub fn encode(evidence: &Evidence, origin: u64, sequence: u64) -> WireEvidence {
    let sign = match evidence.sign {
        Sign::Heard => WireSign::Heard,
        Sign::Missed(Asked::Opening) => WireSign::OpeningMissed,
        Sign::Missed(Asked::Request) => WireSign::RequestMissed,
        Sign::Stalled => WireSign::RequestStalled,
    };
    WireEvidence {
        target: evidence.target.0,
        sign: sign.into(),
        age_ms: evidence.age.0,
        origin,
        sequence,
    }
}

/// Decodes what a peer saw, or nothing when it is a sign of a later version.
pub fn decode(evidence: &WireEvidence) -> Option<Evidence> {
    let sign = match evidence.sign() {
        WireSign::Unspecified => return None,
        WireSign::Heard => Sign::Heard,
        WireSign::OpeningMissed => Sign::Missed(Asked::Opening),
        WireSign::RequestMissed => Sign::Missed(Asked::Request),
        WireSign::RequestStalled => Sign::Stalled,
    };
    Some(Evidence {
        target: TargetId(evidence.target),
        sign,
        age: Millis(evidence.age_ms),
    })
}
