//! Tells frames of targets from those of callers and chooses the shard of each.

use std::collections::HashSet;
use std::net::SocketAddr;

use balance::event::ShardEvent;
use balance::view::View;
use ids::hash_pair;
use wire::frame::{Frame, Kind};

const SHARD_SEED: u64 = 0x7368_6172_6400_0001;

/// Returns the shard that takes a frame first.
///
/// A request or cancel of a flow goes to the shard of the flow, which alone holds the flow's target
/// when the caller echoes no token, and from there to [`owning_shard`].
pub fn receiving_shard(frame: &Frame, shards: usize) -> usize {
    match belongs_to_flow(frame) {
        true => shard_of_id(frame.flow, shards),
        false => owning_shard(frame, shards),
    }
}

/// Returns the shard that owns a frame's request or, without one, its flow.
///
/// The request comes first: a resend may name a new flow after the old one was lost, and only the
/// shard that holds the record of the request keeps it from running twice.
pub fn owning_shard(frame: &Frame, shards: usize) -> usize {
    let id = match frame.request {
        0 => frame.flow,
        request => request,
    };
    shard_of_id(id, shards)
}

/// Tells whether a frame is a request or cancel that belongs to a flow.
fn belongs_to_flow(frame: &Frame) -> bool {
    matches!(frame.kind(), Kind::Request | Kind::Cancel) && frame.flow != 0
}

/// Returns the shard that owns the request of an event, if the event is a request or cancel of a
/// flow.
pub fn flow_request_owner(event: &ShardEvent, shards: usize) -> Option<usize> {
    match event {
        ShardEvent::CallerFrame { frame, .. } | ShardEvent::RelayedFrame { frame, .. } => {
            belongs_to_flow(frame).then(|| owning_shard(frame, shards))
        }
        _ => None,
    }
}

/// Returns the shard of a flow or request id.
pub fn shard_of_id(id: u64, shards: usize) -> usize {
    // Hashing again keeps a caller's choice of ids from loading one shard.
    (hash_pair(SHARD_SEED, id) % shards.max(1) as u64) as usize
}

/// Addresses from which targets send.
#[derive(Debug, Clone, Default)]
pub struct TargetAddresses {
    addresses: HashSet<SocketAddr>,
}

impl TargetAddresses {
    /// Collects the addresses of a view's targets.
    pub fn from_view(view: &View) -> Self {
        Self {
            addresses: view
                .targets
                .values()
                .map(|target| target.declared.address)
                .collect(),
        }
    }

    /// Returns the event for a frame. Kinds that both ends send are told apart by the sender's
    /// address; the shard checks the identity behind the address.
    pub fn classify(&self, from: SocketAddr, frame: Frame) -> ShardEvent {
        let is_target = match frame.kind() {
            Kind::Opened | Kind::Answer => true,
            Kind::Data | Kind::Close | Kind::Refuse => self.addresses.contains(&from),
            _ => false,
        };
        match is_target {
            true => ShardEvent::TargetFrame { from, frame },
            false => ShardEvent::CallerFrame { from, frame },
        }
    }
}
