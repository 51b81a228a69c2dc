//! Outgoing heartbeats.

use ids::{ContentHash, InstanceName, Micros, Millis, hash_of, hash_pair};
use wire::peer::{
    AlertStates, Body, Heartbeat, InstanceInfo, LifecycleState, TargetSetHistoryDigest,
};

use super::{MAX_SENT_HEARTBEATS, Membership};
use crate::event::ControlAction;
use crate::peer::DocumentDigest;

const JITTER_SEED: u64 = 0x6a69_7474_6572_0001;
/// Minimum interval between changes of the advertised flow counts. Flows last for minutes, so their
/// counts change slowly compared with those of requests.
const MIN_FLOWS_INTERVAL_MS: Millis = Millis(1_000);
/// Budget for load vectors and flow counts that are sent. With as many bytes received, and
/// heartbeats of about 100 bytes five times a second to seven peers, control traffic stays below
/// the 21 KB/s of the design.
const VECTOR_BYTES_PER_S: u64 = 4_096;
const VIEW_SEED: u64 = 0x7669_6577_0000_0001;

impl Membership {
    /// Sends a heartbeat to every peer now and schedules the next ones.
    pub(crate) fn send_heartbeats(&mut self, now: Micros, out: &mut Vec<ControlAction>) {
        self.last_round_at = Some(now);
        self.is_load_due = false;
        self.round_count += 1;
        // Jitter of 10% in both directions keeps the instances of a group from synchronizing.
        let jitter_range_ms = self.settings.heartbeat_interval_ms.0 / 5;
        let jitter_ms =
            hash_pair(self.own_view.hash ^ JITTER_SEED, self.round_count) % (jitter_range_ms + 1);
        self.next_round_at =
            now + Millis(self.settings.heartbeat_interval_ms.0 - jitter_range_ms / 2 + jitter_ms);
        let sequence = self.next_sequence(now);
        let names: Vec<_> = self.peers.keys().cloned().collect();
        for name in names {
            self.send_heartbeat(&name, sequence, out);
        }
    }

    /// Sets the document digest of the next heartbeats. Load vectors and flow counts are cleared,
    /// since they refer to the targets of a document.
    pub(crate) fn set_digest(&mut self, digest: Option<DocumentDigest>) {
        self.advertisement.digest = digest;
        self.reset_load(Vec::new());
        self.reset_flows(Vec::new());
    }

    /// Sets the past target sets that heartbeats to joining peers announce.
    pub(crate) fn set_history(&mut self, history: Option<(ContentHash, Micros)>) {
        self.advertisement.history = history;
    }

    /// Sets the advertised state of alert rules and sends a change at once.
    pub(crate) fn set_alerts(
        &mut self,
        now: Micros,
        alerts: Option<AlertStates>,
        out: &mut Vec<ControlAction>,
    ) {
        if self.advertisement.alerts != alerts {
            self.advertisement.alerts = alerts;
            self.send_heartbeats(now, out);
        }
    }

    /// Sets the load vector of the next heartbeats. Larger vectors change less often, so that they
    /// stay within the byte budget.
    pub(crate) fn set_load(&mut self, now: Micros, in_flight: Vec<u8>) {
        if self.advertisement.in_flight == in_flight {
            return;
        }
        if now < self.next_vector_at {
            return;
        }
        self.next_vector_at = now + self.vector_interval(&in_flight);
        self.reset_load(in_flight);
        self.is_load_due = true;
    }

    /// Sets the flow counts of the next heartbeats. They share the byte budget with load vectors
    /// and use at most half of it, so that neither starves the other.
    pub(crate) fn set_flows(&mut self, now: Micros, flows: Vec<u8>) {
        if self.advertisement.flows == flows
            || now < self.next_flows_at
            || now < self.next_vector_at
        {
            return;
        }
        let interval = self.vector_interval(&flows);
        self.next_vector_at = now + interval;
        self.next_flows_at = now + Millis(MIN_FLOWS_INTERVAL_MS.0.max(2 * interval.0));
        self.reset_flows(flows);
    }

    /// Returns how long a vector that is sent to all peers uses up the byte budget.
    fn vector_interval(&self, vector: &[u8]) -> Millis {
        let bytes = vector.len() * self.peers.len();
        Millis(1_000 * bytes as u64 / VECTOR_BYTES_PER_S)
    }

    fn reset_load(&mut self, in_flight: Vec<u8>) {
        self.advertisement.in_flight = in_flight;
        for peer in self.peers.values_mut() {
            peer.load_sequence = None;
        }
    }

    fn reset_flows(&mut self, flows: Vec<u8>) {
        self.advertisement.flows = flows;
        for peer in self.peers.values_mut() {
            peer.flows_sequence = None;
        }
    }

    /// Changes the lifecycle state and sends it to the peers at once.
    pub(crate) fn set_state(
        &mut self,
        now: Micros,
        state: LifecycleState,
        out: &mut Vec<ControlAction>,
    ) {
        self.state = state;
        self.is_epoch_changed = true;
        self.send_heartbeats(now, out);
    }

    pub(super) fn next_sequence(&mut self, now: Micros) -> u64 {
        self.sequence += 1;
        self.sent_heartbeats.push_back((self.sequence, now));
        if self.sent_heartbeats.len() > MAX_SENT_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        self.sequence
    }

    pub(super) fn send_heartbeat(
        &mut self,
        name: &InstanceName,
        sequence: u64,
        out: &mut Vec<ControlAction>,
    ) {
        let view_hash = self.view_hash();
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let is_acknowledged = |first: &mut Option<u64>, acknowledged: u64| {
            let first_sequence = *first.get_or_insert(sequence);
            acknowledged >= first_sequence
        };
        let has_address = !self.identity.peer_address.ip().is_unspecified();
        let instance_info = (has_address
            && !is_acknowledged(&mut peer.introduction_sequence, peer.acknowledged_sequence))
        .then(|| InstanceInfo {
            group: self.identity.group.to_string(),
            domain: self.identity.domain.to_string(),
            peer_address: self.identity.peer_address.to_string(),
            grpc_address: self.identity.grpc_address.to_string(),
        });
        // Heartbeats repeat a vector until the peer acknowledges one that holds it, so a lost
        // datagram delays the vector by one heartbeat only.
        let in_flight = match is_acknowledged(&mut peer.load_sequence, peer.acknowledged_sequence) {
            true => Vec::new(),
            false => self.advertisement.in_flight.clone(),
        };
        let flows = match is_acknowledged(&mut peer.flows_sequence, peer.acknowledged_sequence) {
            true => Vec::new(),
            false => self.advertisement.flows.clone(),
        };
        let digest =
            self.advertisement
                .digest
                .map(|(version, root_hash)| wire::peer::DocumentDigest {
                    version: version.0,
                    root_hash: root_hash.0.to_vec(),
                });
        let now = self
            .sent_heartbeats
            .back()
            .map_or(Micros(0), |&(_, sent)| sent);
        let is_history_wanted =
            peer.state == LifecycleState::Joining && self.state == LifecycleState::Live;
        let history = self.advertisement.history.filter(|_| is_history_wanted);
        let history = history.map(|(hash, built)| TargetSetHistoryDigest {
            hash: hash.0.to_vec(),
            age_ms: now.since(built).0,
        });
        out.push(ControlAction::SendToPeer {
            to: name.clone(),
            address: peer.view.address,
            body: Body::Heartbeat(Heartbeat {
                state: self.state.into(),
                digest,
                in_flight,
                sequence,
                acknowledged_sequence: peer.received_sequence,
                acknowledged_incarnation: peer.incarnation.0,
                view_hash,
                instance_info,
                alerts: self.advertisement.alerts.clone(),
                target_set_history: history,
                flows,
            }),
        });
    }

    fn view_hash(&self) -> u64 {
        self.peers
            .values()
            .filter(|peer| peer.may_own())
            .map(|peer| hash_pair(peer.view.hash, peer.incarnation.0))
            .chain(
                (self.state == LifecycleState::Live)
                    .then(|| hash_pair(self.own_view.hash, self.identity.incarnation.0)),
            )
            .fold(hash_of(VIEW_SEED, &[]), |sum, hash| sum.wrapping_add(hash))
    }
}
