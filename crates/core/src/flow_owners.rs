//! The owners of flow records and the records on their way to them.

use std::collections::BTreeMap;

use ids::{InstanceName, Micros, Millis, hash_pair};
use wire::peer::{Body, FlowRecord, FlowRecords};

use crate::event::ShardAction;
use crate::view::{Epoch, PeerView, View};

/// Time after a change of peers in which the owners of before are still asked. Records are handed
/// over at [`crate::flow_maintenance::HANDOVER_SLOTS_PER_TICK`] table slots a tick of 50 ms, so 500,000 slots take
/// 3.1 s; the rest covers views that change at different times.
pub(crate) const HANDOVER_MS: Millis = Millis(6_000);

/// Most peers that may hold the record of one flow.
const MAX_OWNERS: usize = MAX_QUERIED + 2;

/// Most peers among them that may be asked.
const MAX_QUERIED: usize = 4;

/// Bytes of records per datagram; the envelope of a peer message needs less than 150 bytes.
const MAX_BATCH_BYTES: usize = 1_200;

/// Bytes of a record besides its service name.
const RECORD_BASE_BYTES: usize = 28;

/// The peers that may hold the record of a flow.
///
/// A peer that joined within the idle time-out knows neither the target sets under which live flows
/// were opened nor, for a while, their records. So the best two of the peers of before are owners
/// besides the best two of all, and only the former are asked. An instance that itself is that new
/// cannot tell which peers are, and may have to ask more than two.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FlowOwners<'a> {
    peers: [Option<&'a PeerView>; MAX_OWNERS],
    queried_len: usize,
    /// Whether the peers have not changed for the time of a hand-over.
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
        let is_recent_member = now.since(settled.since) < idle_ms;
        let queried = top_ranked::<MAX_QUERIED>(newest.peers.iter().filter(was_present), flow);
        for peer in queried
            .into_iter()
            .take(if is_recent_member { MAX_QUERIED } else { 2 })
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

    /// Returns the owners that know the flows of before, those to ask first in front.
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

/// Time in which a group that starts as a whole assembles; it is the time after which a peer that
/// was not heard counts as unreachable.
const GROUP_FORMATION_MS: Millis = Millis(2_000);

/// Returns the newest epoch that began at least `age_ms` ago, or else the one that had formed
/// [`FORMING_MS`] after this instance first met its peers.
///
/// The epochs before that show a group that still assembles and tell nothing about who holds the
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

/// Returns the `N` best peers for a flow, without an allocation.
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

/// Records waiting for the next tick.
#[derive(Debug, Default)]
pub(crate) struct RecordOutbox {
    queued: BTreeMap<InstanceName, Vec<FlowRecord>>,
    /// Second copies, for the tick after: datagrams get lost, and a flow opened around a change
    /// has no other trace at its owners.
    repeats: BTreeMap<InstanceName, Vec<FlowRecord>>,
}

impl RecordOutbox {
    pub(crate) fn push(&mut self, to: &InstanceName, record: FlowRecord) {
        push(&mut self.queued, to, record);
    }

    pub(crate) fn push_repeat(&mut self, to: &InstanceName, record: FlowRecord) {
        push(&mut self.repeats, to, record);
    }

    /// Sends all that waits, batched per peer.
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

/// Returns the action that sends records to a peer at once.
pub(crate) fn records_message(to: &InstanceName, records: Vec<FlowRecord>) -> ShardAction {
    ShardAction::SendToPeer {
        to: to.clone(),
        body: Body::Records(FlowRecords { records }),
    }
}
