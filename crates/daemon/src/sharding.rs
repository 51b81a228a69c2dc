//! Classification of frames by sender and selection of the shard that handles them.

use std::collections::HashSet;
use std::net::SocketAddr;

use balance::event::ShardEvent;
use balance::view::View;
use ids::hash_pair;
use wire::frame::{Frame, Kind};

const SHARD_SEED: u64 = 0x7368_6172_6400_0001;

/// Returns the shard that handles a frame first.
///
/// A request or cancel that belongs to a flow goes to the shard of the flow and from there to
/// [`owning_shard`]: if the caller echoes no token, only the shard of the flow knows the target.
pub fn receiving_shard(frame: &Frame, shards: usize) -> usize {
    match belongs_to_flow(frame) {
        true => shard_of_id(frame.flow, shards),
        false => owning_shard(frame, shards),
    }
}

/// Returns the shard that owns the request of a frame or, without a request, its flow.
///
/// The request takes precedence: a retry may name a new flow after the old one was lost, and only
/// the shard with the record of the request can prevent a second execution.
pub fn owning_shard(frame: &Frame, shards: usize) -> usize {
    let id = match frame.request {
        0 => frame.flow,
        request => request,
    };
    shard_of_id(id, shards)
}

/// Returns whether a frame is a request or cancel that belongs to a flow.
fn belongs_to_flow(frame: &Frame) -> bool {
    matches!(frame.kind(), Kind::Request | Kind::Cancel) && frame.flow != 0
}

/// Returns the shard that owns the request of an event, if the event is a request or cancel that
/// belongs to a flow.
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
    // Callers choose the ids; hashing prevents a skewed choice from overloading one shard.
    (hash_pair(SHARD_SEED, id) % shards.max(1) as u64) as usize
}

/// Addresses of all targets, to tell their frames from those of callers.
#[derive(Debug, Clone, Default)]
pub struct TargetAddresses {
    addresses: HashSet<SocketAddr>,
}

impl TargetAddresses {
    /// Collects the addresses of the targets in a view.
    pub fn from_view(view: &View) -> Self {
        Self {
            addresses: view
                .targets
                .values()
                .map(|target| target.declared.address)
                .collect(),
        }
    }

    /// Wraps a frame in the event for its sender. Kinds that both callers and targets send are
    /// distinguished by the source address; the shard verifies the identity of
    /// the sender.
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
