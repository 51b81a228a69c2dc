//! Owners of flow records, and the outbox of records sent to them.

use std::collections::BTreeMap;

use ids::{InstanceName, Micros, Millis, hash_pair};
use wire::peer::{Body, FlowRecord, FlowRecords};

use crate::event::ShardAction;
use crate::view::{Epoch, PeerView, View};

/// Time after a change of peers during which the previous owners are still queried.
///
/// The handover covers [`crate::flow_maintenance::HANDOVER_SLOTS_PER_TICK`] table slots per tick of
/// 50 ms, so 500,000 slots take 3.1 s; the rest allows for views that change at different times.
pub(crate) const HANDOVER_MS: Millis = Millis(6_000);

/// Maximum number of peers that may hold the record of a flow.
const MAX_OWNERS: usize = MAX_QUERIED + 2;

/// Maximum number of these peers that may be queried.
const MAX_QUERIED: usize = 4;

/// Maximum size of the records in a datagram; the envelope of a peer message adds less than 150
/// bytes.
const MAX_BATCH_BYTES: usize = 1_200;

/// Size of a record without its service name.
const RECORD_BASE_BYTES: usize = 28;

/// Peers that may hold the record of a flow.
///
/// A peer that joined within the idle timeout does not know the target sets under which live flows
/// were opened and, for a while, lacks their records. The two top-ranked established peers are
/// therefore owners in addition to the two top-ranked peers overall, and only the former are
/// queried. An instance that itself joined recently cannot tell which peers are established, and
/// may have to query more than two.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FlowOwners<'a> {
    peers: [Option<&'a PeerView>; MAX_OWNERS],
    queried_len: usize,
    /// Whether the peers have not changed for the duration of a handover.
    pub(crate) is_settled: bool,
}

impl<'a> FlowOwners<'a> {
    pub(crate) fn of(view: &'a View, now: Micros, flow: u64, idle_ms: Millis) -> Self {
        let mut owners = Self {
            peers: [None; MAX_OWNERS],
            queried_len: 0,
            is_settled: true,
        };
        let (Some(newest), Some(settled)) = (view.epochs.last(), settled_epoch(view, now, idle_ms))
        else {
            return owners;
        };
        owners.is_settled = now.since(newest.since) >= HANDOVER_MS;
        let was_present = |peer: &&PeerView| settled.peers.iter().any(|old| old.name == peer.name);
        let has_joined_recently = now.since(settled.since) < idle_ms;
        let queried = top_ranked::<MAX_QUERIED>(newest.peers.iter().filter(was_present), flow);
        for peer in queried
            .into_iter()
            .take(if has_joined_recently { MAX_QUERIED } else { 2 })
            .flatten()
        {
            owners.push(peer);
        }
        owners.queried_len = owners.iter().count();
        for peer in top_ranked::<2>(newest.peers.iter(), flow)
            .into_iter()
            .flatten()
        {
            owners.push(peer);
        }
        owners
    }

    /// Returns the established owners in the order in which to query them.
    pub(crate) fn queried(self) -> impl Iterator<Item = &'a PeerView> {
        self.peers.into_iter().take(self.queried_len).flatten()
    }

    fn push(&mut self, peer: &'a PeerView) {
        if self.iter().any(|known| known.name == peer.name) {
            return;
        }
        if let Some(free) = self.peers.iter_mut().find(|slot| slot.is_none()) {
            *free = Some(peer);
        }
    }

    pub(crate) fn iter(self) -> impl Iterator<Item = &'a PeerView> {
        self.peers.into_iter().flatten()
    }

    pub(crate) fn contains(self, name: &InstanceName) -> bool {
        self.iter().any(|peer| peer.name == *name)
    }
}

/// Time in which a group whose instances start together forms; equal to the time after which a
/// peer that sends nothing is considered unreachable.
const GROUP_FORMATION_MS: Millis = Millis(2_000);

/// Returns the newest epoch that began at least `age_ms` ago, or else the one that was current
/// [`GROUP_FORMATION_MS`] after this instance first saw all its peers.
///
/// Earlier epochs show a group that is still forming, so they do not tell which peers hold the
/// records of flows.
pub(crate) fn settled_epoch(view: &View, now: Micros, age_ms: Millis) -> Option<&Epoch> {
    let is_old = |epoch: &&Epoch| now.since(epoch.since) >= age_ms;
    if let Some(old) = view.epochs.iter().rev().find(is_old) {
        return Some(old);
    }
    let first_complete = view.epochs.iter().find(|epoch| epoch.is_complete);
    let formed_at = first_complete.or(view.epochs.first())?.since + GROUP_FORMATION_MS;
    view.epochs
        .iter()
        .rev()
        .find(|epoch| epoch.since <= formed_at)
}

/// Returns the `N` top-ranked peers of a flow by rendezvous hashing, without allocating.
pub(crate) fn top_ranked<'a, const N: usize>(
    peers: impl Iterator<Item = &'a PeerView>,
    flow: u64,
) -> [Option<&'a PeerView>; N] {
    let mut ranked: [Option<(u64, &PeerView)>; N] = [None; N];
    for peer in peers {
        let mut entry = Some((hash_pair(peer.hash, flow), peer));
        for slot in &mut ranked {
            let is_better = match (&entry, &slot) {
                (Some((score, _)), Some((other, _))) => score > other,
                (entry, _) => entry.is_some(),
            };
            if is_better {
                std::mem::swap(slot, &mut entry);
            }
        }
    }
    ranked.map(|entry| entry.map(|(_, peer)| peer))
}

/// Flow records to be sent at the next tick.
#[derive(Debug, Default)]
pub(crate) struct RecordOutbox {
    queued: BTreeMap<InstanceName, Vec<FlowRecord>>,
    /// Copies for the tick after the next. Datagrams get lost, and the owners have no other way to
    /// learn of a flow that was opened around a change of peers.
    repeats: BTreeMap<InstanceName, Vec<FlowRecord>>,
}

impl RecordOutbox {
    pub(crate) fn push(&mut self, to: &InstanceName, record: FlowRecord) {
        push(&mut self.queued, to, record);
    }

    pub(crate) fn push_repeat(&mut self, to: &InstanceName, record: FlowRecord) {
        push(&mut self.repeats, to, record);
    }

    /// Sends the queued records in batches per peer.
    pub(crate) fn flush(&mut self, out: &mut Vec<ShardAction>) {
        for (to, records) in &mut self.queued {
            send_batches(to, records, out);
        }
        std::mem::swap(&mut self.queued, &mut self.repeats);
    }
}

fn push(
    queue: &mut BTreeMap<InstanceName, Vec<FlowRecord>>,
    to: &InstanceName,
    record: FlowRecord,
) {
    match queue.get_mut(to) {
        Some(records) => records.push(record),
        None => {
            queue.insert(to.clone(), vec![record]);
        }
    }
}

fn send_batches(to: &InstanceName, records: &mut Vec<FlowRecord>, out: &mut Vec<ShardAction>) {
    let mut batch = Vec::new();
    let mut batch_bytes = 0;
    for record in records.drain(..) {
        let record_bytes = RECORD_BASE_BYTES + record.service.len();
        if batch_bytes + record_bytes > MAX_BATCH_BYTES {
            out.push(records_message(to, std::mem::take(&mut batch)));
            batch_bytes = 0;
        }
        batch_bytes += record_bytes;
        batch.push(record);
    }
    if !batch.is_empty() {
        out.push(records_message(to, batch));
    }
}

/// Returns an action that sends records to a peer immediately.
pub(crate) fn records_message(to: &InstanceName, records: Vec<FlowRecord>) -> ShardAction {
    ShardAction::SendToPeer {
        to: to.clone(),
        body: Body::FlowRecords(FlowRecords { records }),
    }
}
