//! Drives the control part: one task that owns [`Control`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use balance::control::Control;
use balance::event::{ControlAction, ControlEvent, PlatformKey, PlatformOutcome, ShardEvent};
use balance::view::View;
use conf::status::Status;
use ids::{ContentHash, InstanceName};
use slog::{Logger, info, warn};
use tokio::sync::{oneshot, watch};
use tokio::time::{Duration, MissedTickBehavior};
use wire::peer::{Body, FlowRecord, PeerMessage};

use crate::clock::Clock;
use crate::grpc;
use crate::log;
use crate::metrics::Metrics;
use crate::peer::PeerLink;
use crate::platform::Platform;
use crate::status::Board;

/// Events that wait for the control part.
pub const QUEUE_EVENTS: usize = 4_096;

/// Time between two ticks; a fifth of it is the precision that heartbeats and leases need.
const TICK: Duration = Duration::from_millis(20);

/// Time between two looks of the alert rules at the metrics.
const METRICS_PERIOD: Duration = Duration::from_secs(1);

/// Records in one gRPC message; some 40 bytes each keep it well below the limit of 4 MiB.
const RECORDS_PER_CALL: usize = 10_000;

/// What reaches the control part.
#[derive(Debug)]
pub enum ControlInput {
    /// An event for the decision core.
    Event(ControlEvent),
    /// A peer asks for a value by its hash.
    Value {
        /// Hash of the value.
        hash: ContentHash,
        /// Where the answer goes.
        reply: oneshot::Sender<Option<Vec<u8>>>,
    },
    /// A stopping shard hands flow records to a peer.
    HandOver {
        /// The peer.
        to: InstanceName,
        /// The records.
        records: Vec<FlowRecord>,
    },
    /// A shard finished its work after the stop.
    Drained,
    /// Someone asks for the status.
    Status(oneshot::Sender<Status>),
}

/// What the control part is connected to.
#[derive(Debug, Clone)]
pub struct ControlLinks {
    /// Queue of the control part itself, for answers of the platform and of peers.
    pub control: flume::Sender<ControlInput>,
    /// Queues of all shards.
    pub shards: Vec<flume::Sender<ShardEvent>>,
    /// Messages to peers.
    pub peers: PeerLink,
    /// gRPC calls to peers.
    pub grpc: grpc::Client,
    /// The configuration service.
    pub platform: Platform,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Clock of the daemon.
    pub clock: Clock,
    /// Log of the daemon.
    pub log: Logger,
}

/// State that other tasks watch.
#[derive(Debug)]
pub struct Published {
    /// Whether the instance is ready.
    pub ready: watch::Sender<bool>,
    /// Newest view.
    pub view: watch::Sender<Option<Arc<View>>>,
    /// Shards that finished their work after the stop.
    pub drained: watch::Sender<usize>,
}

/// Drives the control part.
#[derive(Debug)]
pub struct Driver {
    control: Control,
    inbox: flume::Receiver<ControlInput>,
    links: ControlLinks,
    published: Published,
    board: Board,
    grpc_of: HashMap<InstanceName, SocketAddr>,
    actions: Vec<ControlAction>,
}

impl Driver {
    /// Connects the control part.
    pub fn new(
        control: Control,
        inbox: flume::Receiver<ControlInput>,
        links: ControlLinks,
        published: Published,
        board: Board,
    ) -> Self {
        Self {
            control,
            inbox,
            links,
            published,
            board,
            grpc_of: HashMap::new(),
            actions: Vec::new(),
        }
    }

    /// Runs until the daemon ends.
    pub async fn run(mut self) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut report = tokio::time::interval(METRICS_PERIOD);
        report.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let inbox = self.inbox.clone();
        loop {
            tokio::select! {
                input = inbox.recv_async() => match input {
                    Ok(input) => self.take(input),
                    Err(_) => return,
                },
                _ = tick.tick() => self.handle(ControlEvent::Tick),
                _ = report.tick() => self.report_metrics(),
            }
            self.perform().await;
        }
    }

    fn take(&mut self, input: ControlInput) {
        match input {
            ControlInput::Event(event) => self.handle(event),
            ControlInput::Value { hash, reply } => {
                // The peer may have given up meanwhile.
                let _ = reply.send(self.control.value(&hash).map(|value| value.to_vec()));
            }
            ControlInput::HandOver { to, records } => self.hand_over(to, records),
            ControlInput::Status(reply) => {
                let status = Status {
                    flows: self.links.metrics.flows.get().max(0) as u64,
                    queued: self.links.metrics.waiting.get().max(0) as u64,
                    ..self.board.status(self.links.clock.now())
                };
                // The client may have gone meanwhile.
                let _ = reply.send(status);
            }
            ControlInput::Drained => self.published.drained.send_modify(|count| *count += 1),
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        self.learn_addresses(&event);
        let now = self.links.clock.now();
        self.board.on_event(now, &event);
        self.control.handle(now, event, &mut self.actions);
    }

    /// Keeps the gRPC addresses of peers, which hand-over needs.
    fn learn_addresses(&mut self, event: &ControlEvent) {
        if let ControlEvent::PeerMessage(message) = event {
            return self.learn_instance_info(message);
        }
        let ControlEvent::PlatformResponse {
            key: PlatformKey::Instances(_),
            outcome: PlatformOutcome::Value { bytes, .. },
        } = event
        else {
            return;
        };
        // A faulty list is reported by the control part.
        let text = std::str::from_utf8(bytes).unwrap_or_default();
        let listed = conf::instances::parse("instances", text).unwrap_or_default();
        self.board.on_list(&listed);
        self.grpc_of = listed
            .into_iter()
            .map(|listed| (listed.name, listed.grpc_address))
            .collect();
    }

    fn learn_instance_info(&mut self, message: &PeerMessage) {
        let Some(Body::Heartbeat(heartbeat)) = &message.body else {
            return;
        };
        let Some(instance_info) = &heartbeat.instance_info else {
            return;
        };
        if let (Ok(name), Ok(grpc)) = (message.from.parse(), instance_info.grpc_address.parse()) {
            self.grpc_of.insert(name, grpc);
        }
    }

    /// Gives the metrics to the alert rules.
    fn report_metrics(&mut self) {
        let values = self.links.metrics.values();
        self.handle(ControlEvent::Metrics(values));
    }

    async fn perform(&mut self) {
        let actions = std::mem::take(&mut self.actions);
        for action in actions {
            match action {
                ControlAction::PublishView(view) => self.publish(view).await,
                ControlAction::SendToPeer { address, body, .. } => {
                    self.links.peers.send(address, body);
                }
                ControlAction::ReadPlatform { key, etag, wait_ms } => {
                    let links = self.links.clone();
                    tokio::spawn(async move {
                        let outcome = links.platform.read(&key, etag, wait_ms).await;
                        let event = ControlEvent::PlatformResponse { key, outcome };
                        // The queue closes only when the process ends.
                        let _ = links.control.send_async(ControlInput::Event(event)).await;
                    });
                }
                ControlAction::FetchFromPeer {
                    from,
                    address,
                    hash,
                } => self.fetch(from, address, hash),
                ControlAction::Log(event) => {
                    let kind = log::control(&self.links.log, &event);
                    self.board.on_log(self.links.clock.now(), &event);
                    self.links.metrics.on_control(kind, &event);
                }
                ControlAction::SetReady(ready) => {
                    info!(self.links.log, "readiness changed"; "step" => "readiness",
                        "ready" => ready);
                    self.board.on_ready(ready);
                    self.links.metrics.ready.set(i64::from(ready));
                    self.published.ready.send_replace(ready);
                }
            }
        }
    }

    async fn publish(&mut self, view: Arc<View>) {
        self.board.on_view(view.clone());
        self.links.metrics.on_view(&view);
        for shard in &self.links.shards {
            // A shard's queue closes only when the process ends.
            let _ = shard.send_async(ShardEvent::View(view.clone())).await;
        }
        self.published.view.send_replace(Some(view));
    }

    fn fetch(&self, from: InstanceName, address: SocketAddr, hash: ContentHash) {
        let links = self.links.clone();
        tokio::spawn(async move {
            let value = match links.grpc.fetch(address, hash).await {
                Ok(value) => value,
                Err(error) => {
                    warn!(links.log, "{}", error; "step" => "fetch", "peer" => %from);
                    None
                }
            };
            let event = ControlEvent::Fetched { from, hash, value };
            // The queue closes only when the process ends.
            let _ = links.control.send_async(ControlInput::Event(event)).await;
        });
    }

    fn hand_over(&self, to: InstanceName, records: Vec<FlowRecord>) {
        let Some(address) = self.grpc_of.get(&to).copied() else {
            return self.links.metrics.drop("unknown-peer");
        };
        let links = self.links.clone();
        tokio::spawn(async move {
            for records in records.chunks(RECORDS_PER_CALL) {
                if let Err(error) = links.grpc.hand_over(address, records).await {
                    links.metrics.drop("hand-over");
                    warn!(links.log, "{}", error; "step" => "hand-over", "peer" => %to);
                }
            }
        });
    }
}
