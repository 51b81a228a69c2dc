//! Conversion and deduplication of the evidence about targets that peers exchange.

use std::net::Ipv4Addr;

use hashbrown::HashMap;
use ids::Millis;
use steer::{Evidence, Observation, TargetId, UnansweredPacket};
use wire::steering::Evidence as WireEvidence;
use wire::steering::evidence::Sign as WireSign;

/// Maximum number of remembered origins. Each process start creates a new origin; this leaves room
/// for nine restarts of a failure domain of 870 instances.
const MAX_ORIGINS: usize = 8_192;

/// Filters out evidence that was received before. While instances switch their upstream peer, the
/// same evidence may arrive over two paths, and a single lost packet must not count as several.
#[derive(Debug, Default)]
pub struct EvidenceDeduplicator {
    /// Highest sequence number received from each origin.
    last_sequences: HashMap<u64, u64>,
}

impl EvidenceDeduplicator {
    /// Returns whether evidence is new, and records its sequence number.
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

/// Encodes evidence that the instance with the number `origin` collected.
pub fn encode(evidence: &Evidence, origin: u64, sequence: u64) -> WireEvidence {
    let sign = match evidence.observation {
        Observation::Responded => WireSign::Heard,
        Observation::Unanswered(UnansweredPacket::Opening) => WireSign::OpeningMissed,
        Observation::Unanswered(UnansweredPacket::Request) => WireSign::RequestMissed,
        Observation::Stalled => WireSign::RequestStalled,
    };
    WireEvidence {
        target: evidence.target.0,
        sign: sign.into(),
        age_ms: evidence.age.0,
        origin,
        sequence,
        caller: evidence.caller.map_or(0, Ipv4Addr::to_bits),
    }
}

/// Decodes evidence from a peer. Returns `None` if this version does not know its kind of
/// observation.
pub fn decode(evidence: &WireEvidence) -> Option<Evidence> {
    let observation = match evidence.sign() {
        WireSign::Unspecified => return None,
        WireSign::Heard => Observation::Responded,
        WireSign::OpeningMissed => Observation::Unanswered(UnansweredPacket::Opening),
        WireSign::RequestMissed => Observation::Unanswered(UnansweredPacket::Request),
        WireSign::RequestStalled => Observation::Stalled,
    };
    Some(Evidence {
        target: TargetId(evidence.target),
        observation,
        age: Millis(evidence.age_ms),
        caller: (evidence.caller != 0).then(|| Ipv4Addr::from_bits(evidence.caller)),
    })
}
