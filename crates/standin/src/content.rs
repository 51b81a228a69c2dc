//! Answers whose content is derived from target and request id, so that a caller can verify them.

use ids::hash_of;

const ANSWER_SEED: u64 = 0x616e_7377_6572_0001;

/// Maximum size of an answer part in one frame. Names and token still fit into the datagram.
pub const MAX_PART_BYTES: usize = 900;

/// Returns the answer of a target to a request. Every target gives a different answer, so that an
/// answer assembled from the parts of two targets is detected.
pub fn generate_answer(service: &str, target: &str, request: u64, size_bytes: usize) -> Vec<u8> {
    let name = format!("{service}/{target}");
    let mut block = hash_of(ANSWER_SEED ^ request, name.as_bytes());
    let mut bytes = Vec::with_capacity(size_bytes + 8);
    while bytes.len() < size_bytes {
        bytes.extend_from_slice(&block.to_le_bytes());
        block = hash_of(ANSWER_SEED, &block.to_le_bytes());
    }
    bytes.truncate(size_bytes);
    bytes
}

/// Returns the answer size of a class.
pub fn answer_size_bytes(class: &str) -> usize {
    match class {
        "lookup" => 2_400,
        "filing" => 5_000,
        _ => 200,
    }
}
