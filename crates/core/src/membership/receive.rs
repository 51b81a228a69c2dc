//! Incoming heartbeats.

use std::net::SocketAddr;

use ids::{InstanceName, Micros, Millis};
use wire::peer::{Body, Heartbeat, InstanceInfo, LifecycleState, PeerMessage};

use super::{Membership, log_peer};
use crate::event::{ControlAction, PeerChange};
use crate::peer::Peer;

/// Minimum interval between immediate answers to one peer; limits the traffic that a flood of
/// heartbeats from a joining peer can cause.
const MIN_ANSWER_INTERVAL_MS: Millis = Millis(100);
/// Maximum number of peers; limits the state that heartbeats of unlisted instances can create.
const MAX_PEERS: usize = 64;

impl Membership {
    /// Handles a heartbeat. Returns whether the load vector or flow counts of the peer changed.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Micros,
        message: PeerMessage,
        out: &mut Vec<ControlAction>,
    ) -> bool {
        let Some(Body::Heartbeat(mut heartbeat)) = message.body else {
            return false;
        };
        let Ok(name) = message.from.parse::<InstanceName>() else {
            return false;
        };
        if name == self.identity.name {
            return false;
        }
        if !self.admit_sender(now, &name, message.incarnation, &heartbeat, out) {
            return false;
        }
        let acknowledged = self.acknowledged_heartbeat(&heartbeat);
        let Some(peer) = self.peers.get_mut(&name) else {
            return false;
        };
        if heartbeat.sequence <= peer.received_sequence {
            return false;
        }
        let old_state = peer.state;
        let is_load_changed = peer.apply_heartbeat(now, &mut heartbeat);
        if let Some((sequence, sent)) = acknowledged {
            peer.acknowledged_sequence = peer.acknowledged_sequence.max(sequence);
            peer.confirmed_sent_at = peer.confirmed_sent_at.max(Some(sent));
        }
        if peer.state != old_state {
            self.is_epoch_changed = true;
            let change = PeerChange::State(peer.state);
            out.push(log_peer(&name, change));
        }
        // A joining peer needs its first exchange to go on, so it is answered immediately.
        let needs_answer =
            peer.state == LifecycleState::Joining || peer.confirmed_sent_at.is_none();
        let may_answer = peer
            .last_answered_at
            .is_none_or(|answered| now.since(answered) >= MIN_ANSWER_INTERVAL_MS);
        if needs_answer && may_answer && self.last_tick_at.is_some() {
            peer.last_answered_at = Some(now);
            let sequence = self.next_sequence(now);
            self.send_heartbeat(&name, sequence, out);
        }
        self.update_reachability(now, out);
        is_load_changed
    }

    /// Adds or updates the sender of a heartbeat and its incarnation. Returns `false` if the
    /// heartbeat must be ignored.
    fn admit_sender(
        &mut self,
        now: Micros,
        name: &InstanceName,
        incarnation: u64,
        heartbeat: &Heartbeat,
        out: &mut Vec<ControlAction>,
    ) -> bool {
        let introduced = heartbeat
            .instance_info
            .as_ref()
            .map(|info| self.peer_from_info(now, name, info));
        if matches!(introduced, Some(None)) {
            return false;
        }
        if !self.peers.contains_key(name) {
            let Some(Some(peer)) = introduced else {
                return false;
            };
            if self.peers.len() >= MAX_PEERS {
                return false;
            }
            self.peers.insert(name.clone(), peer);
            self.is_epoch_changed = true;
        } else if let Some(Some(new)) = introduced
            && let Some(peer) = self.peers.get_mut(name)
            && incarnation >= peer.incarnation.0
            && (&new.view, new.grpc_address) != (&peer.view, peer.grpc_address)
        {
            self.is_epoch_changed = true;
            peer.view = new.view;
            peer.grpc_address = new.grpc_address;
        }
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        if incarnation < peer.incarnation.0 {
            return false;
        }
        if incarnation > peer.incarnation.0 {
            let is_restart = peer.received_sequence > 0;
            peer.reset_for_incarnation(ids::Incarnation(incarnation));
            self.is_epoch_changed = true;
            if is_restart {
                out.push(log_peer(name, PeerChange::Restarted));
            }
        }
        true
    }

    /// Returns the peer that an `InstanceInfo` describes, or `None` if it belongs to another group or
    /// is malformed.
    fn peer_from_info(
        &self,
        now: Micros,
        name: &InstanceName,
        instance_info: &InstanceInfo,
    ) -> Option<Peer> {
        if instance_info.group != self.identity.group.as_str() {
            return None;
        }
        let domain = instance_info.domain.parse().ok()?;
        let peer: SocketAddr = instance_info.peer_address.parse().ok()?;
        let grpc = instance_info.grpc_address.parse().ok()?;
        if peer.ip().is_unspecified() {
            return None;
        }
        Some(Peer::new(now, name.clone(), domain, peer, grpc))
    }

    /// Returns the sequence number and send time of the own heartbeat that `heartbeat`
    /// acknowledges, if it was sent by this process.
    fn acknowledged_heartbeat(&self, heartbeat: &Heartbeat) -> Option<(u64, Micros)> {
        if heartbeat.acknowledged_incarnation != self.identity.incarnation.0 {
            return None;
        }
        self.sent_heartbeats
            .iter()
            .rev()
            .find(|(sequence, _)| *sequence == heartbeat.acknowledged_sequence)
            .copied()
    }
}
