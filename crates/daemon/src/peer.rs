//! Authenticated datagrams between instances.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use balance::event::{ControlEvent, ShardEvent};
use ids::{Incarnation, InstanceName};
use wire::peer::{Body, FlowRecord, MAX_PEER_MESSAGE_BYTES, PeerMessage};
use wire::seal::Keys;

use crate::control::ControlInput;
use crate::metrics::Metrics;
use crate::sharding;
use crate::{Error, Result};

/// Sends and receives sealed messages on the peer socket.
#[derive(Debug, Clone)]
pub struct PeerLink {
    socket: Arc<UdpSocket>,
    name: InstanceName,
    incarnation: Incarnation,
    keys: Keys,
    metrics: Metrics,
}

impl PeerLink {
    /// Binds the peer socket.
    pub fn bind(
        address: SocketAddr,
        name: InstanceName,
        incarnation: Incarnation,
        keys: Keys,
        metrics: Metrics,
    ) -> Result<Self> {
        let step = || format!("binding the peer socket to {address}");
        let socket = UdpSocket::bind(address).map_err(Error::io(step()))?;
        socket.set_nonblocking(true).map_err(Error::io(step()))?;
        Ok(Self {
            socket: Arc::new(socket),
            name,
            incarnation,
            keys,
            metrics,
        })
    }

    /// Returns the address that the socket is bound to.
    pub fn address(&self) -> Result<SocketAddr> {
        let address = self.socket.local_addr();
        address.map_err(Error::io("reading the address of the peer socket"))
    }

    /// Sends a message. If it does not fit the socket buffer, it is dropped and counted.
    pub fn send(&self, to: SocketAddr, body: Body) {
        let message = PeerMessage {
            from: self.name.to_string(),
            incarnation: self.incarnation.0,
            body: Some(body),
        };
        let Ok(datagram) = message.to_datagram(&self.keys) else {
            self.metrics.count_drop("peer-message-too-long");
            return;
        };
        if self.socket.send_to(&datagram, to).is_err() {
            self.metrics.count_drop("peer-send");
            return;
        }
        self.metrics.peer_messages_out.inc();
        self.metrics.peer_bytes_out.inc_by(datagram.len() as u64);
    }

    /// Receives messages until the task is aborted. Relayed frames and flow records go to the
    /// shards, heartbeats to the control plane.
    pub async fn receive(
        self,
        shards: Vec<flume::Sender<ShardEvent>>,
        control: flume::Sender<ControlInput>,
    ) -> Result<()> {
        let step = "receiving from peers";
        let socket = self.socket.try_clone().map_err(Error::io(step))?;
        let socket = tokio::net::UdpSocket::from_std(socket).map_err(Error::io(step))?;
        let received = self.metrics.datagrams_in.with_label_values(&["peer"]);
        let mut buffer = [0; MAX_PEER_MESSAGE_BYTES + 1];
        loop {
            let Ok((len, _)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            received.inc();
            match PeerMessage::from_datagram(&self.keys, &buffer[..len]) {
                Ok(message) => self.dispatch(message, &shards, &control),
                Err(wire::Error::Unauthenticated { .. }) => {
                    self.metrics.count_drop("unauthenticated")
                }
                Err(_) => self.metrics.count_drop("not-a-peer-message"),
            }
        }
    }

    fn dispatch(
        &self,
        message: PeerMessage,
        shards: &[flume::Sender<ShardEvent>],
        control: &flume::Sender<ControlInput>,
    ) {
        let Ok(from) = message.from.parse::<InstanceName>() else {
            return self.metrics.count_drop("not-a-peer-message");
        };
        match message.body {
            Some(Body::RelayedFrame(relay)) => {
                let Some(frame) = relay.frame else {
                    return self.metrics.count_drop("not-a-peer-message");
                };
                let shard = sharding::receiving_shard(&frame, shards.len());
                let hops = relay.hops;
                self.send_to_shard(
                    &shards[shard],
                    ShardEvent::RelayedFrame { from, frame, hops },
                );
            }
            Some(Body::FlowRecords(records)) => {
                for (shard, records) in group_by_shard(records.records, shards.len()) {
                    self.send_to_shard(&shards[shard], ShardEvent::FlowRecords(records));
                }
            }
            Some(Body::Heartbeat(_)) => {
                let event = ControlInput::Event(ControlEvent::PeerMessage(message));
                if control.try_send(event).is_err() {
                    self.metrics.count_drop("control-queue-full");
                }
            }
            None => self.metrics.count_drop("not-a-peer-message"),
        }
    }

    fn send_to_shard(&self, shard: &flume::Sender<ShardEvent>, event: ShardEvent) {
        if shard.try_send(event).is_err() {
            self.metrics.count_drop("shard-queue-full");
        }
    }
}

/// Groups flow records by the shard that owns their flow.
pub fn group_by_shard(records: Vec<FlowRecord>, shards: usize) -> Vec<(usize, Vec<FlowRecord>)> {
    let mut groups = vec![Vec::new(); shards];
    for record in records {
        let shard = sharding::shard_of_id(record.flow, shards);
        groups[shard].push(record);
    }
    let by_shard = groups.into_iter().enumerate();
    by_shard
        .filter(|(_, records)| !records.is_empty())
        .collect()
}
