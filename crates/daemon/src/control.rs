//! Driver of the control plane: one task that owns [`Control`] and performs its actions.

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
use crate::platform::PlatformClient;
use crate::status::StatusTracker;

/// Capacity of the control plane's queue.
pub const MAX_QUEUED_EVENTS: usize = 4_096;

/// Interval between ticks of the control plane. Heartbeats and leases need a precision of a fifth
/// of it.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the alert rules are evaluated on the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Flow records in one gRPC message. At about 40 bytes each, a message stays well below the gRPC
/// limit of 4 MiB.
const MAX_RECORDS_PER_CALL: usize = 10_000;

/// Input of the control plane's task.
#[derive(Debug)]
pub enum ControlInput {
    /// An event for the decision core.
    Event(ControlEvent),
    /// A peer requests a value by its hash.
    ReadValue {
        /// Hash of the value.
        hash: ContentHash,
        /// Receives the value, or `None` if this instance does not hold it.
        reply: oneshot::Sender<Option<Vec<u8>>>,
    },
    /// A stopping shard transfers flow records to a peer.
    HandOverRecords {
        /// Peer that becomes the owner of the flows.
        to: InstanceName,
        /// Records of the flows.
        records: Vec<FlowRecord>,
    },
    /// A shard completed its remaining work after a stop.
    ShardDrained,
    /// Requests the status of this instance.
    ReadStatus(oneshot::Sender<Status>),
}

/// Channels and clients that the control plane uses.
#[derive(Debug, Clone)]
pub struct ControlLinks {
    /// The control plane's own queue, for responses of the platform and of peers.
    pub control: flume::Sender<ControlInput>,
    /// Queues of all shards.
    pub shards: Vec<flume::Sender<ShardEvent>>,
    /// Sender of peer datagrams.
    pub peers: PeerLink,
    /// gRPC client for calls to peers.
    pub grpc: grpc::Client,
    /// Client of the configuration service.
    pub platform: PlatformClient,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Clock of the daemon.
    pub clock: Clock,
    /// Logger of the daemon.
    pub log: Logger,
}

/// State of the control plane that other tasks watch.
#[derive(Debug)]
pub struct PublishedState {
    /// Whether the instance is ready.
    pub is_ready: watch::Sender<bool>,
    /// Latest view; `None` until the first one is published.
    pub view: watch::Sender<Option<Arc<View>>>,
    /// Number of shards that completed their remaining work after a stop.
    pub drained_shards: watch::Sender<usize>,
}

/// Feeds events to the control plane and performs the resulting actions.
#[derive(Debug)]
pub struct Driver {
    control: Control,
    inbox: flume::Receiver<ControlInput>,
    links: ControlLinks,
    published: PublishedState,
    status_tracker: StatusTracker,
    grpc_addresses: HashMap<InstanceName, SocketAddr>,
    actions: Vec<ControlAction>,
}

impl Driver {
    /// Creates a driver for a control plane.
    pub fn new(
        control: Control,
        inbox: flume::Receiver<ControlInput>,
        links: ControlLinks,
        published: PublishedState,
        status_tracker: StatusTracker,
    ) -> Self {
        Self {
            control,
            inbox,
            links,
            published,
            status_tracker,
            grpc_addresses: HashMap::new(),
            actions: Vec::new(),
        }
    }

    /// Runs until the daemon ends.
    pub async fn run(mut self) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut metrics_tick = tokio::time::interval(METRICS_INTERVAL);
        metrics_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let inbox = self.inbox.clone();
        loop {
            tokio::select! {
                input = inbox.recv_async() => match input {
                    Ok(input) => self.handle_input(input),
                    Err(_) => return,
                },
                _ = tick.tick() => self.handle_event(ControlEvent::Tick),
                _ = metrics_tick.tick() => self.report_metrics(),
            }
            self.perform_actions().await;
        }
    }

    fn handle_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Event(event) => self.handle_event(event),
            ControlInput::ReadValue { hash, reply } => {
                // The peer's call may have timed out.
                let _ = reply.send(self.control.value(&hash).map(|value| value.to_vec()));
            }
            ControlInput::HandOverRecords { to, records } => self.hand_over_records(to, records),
            ControlInput::ReadStatus(reply) => {
                let status = Status {
                    flows: self.links.metrics.flows.get().max(0) as u64,
                    queued: self.links.metrics.requests_waiting.get().max(0) as u64,
                    ..self.status_tracker.status(self.links.clock.now())
                };
                // The client may have disconnected.
                let _ = reply.send(status);
            }
            ControlInput::ShardDrained => self
                .published
                .drained_shards
                .send_modify(|count| *count += 1),
        }
    }

    fn handle_event(&mut self, event: ControlEvent) {
        self.update_grpc_addresses(&event);
        let now = self.links.clock.now();
        self.status_tracker.on_event(now, &event);
        self.control.handle(now, event, &mut self.actions);
    }

    /// Updates the gRPC addresses of peers, which the hand-over of flow records needs.
    fn update_grpc_addresses(&mut self, event: &ControlEvent) {
        if let ControlEvent::PeerMessage(message) = event {
            return self.record_instance_info(message);
        }
        let ControlEvent::PlatformResponse {
            key: PlatformKey::Instances(_),
            outcome: PlatformOutcome::Value { bytes, .. },
        } = event
        else {
            return;
        };
        // The control plane reports an invalid list.
        let text = std::str::from_utf8(bytes).unwrap_or_default();
        let listed = conf::instances::parse("instances", text).unwrap_or_default();
        self.status_tracker.on_instance_list(&listed);
        self.grpc_addresses = listed
            .into_iter()
            .map(|listed| (listed.name, listed.grpc_address))
            .collect();
    }

    fn record_instance_info(&mut self, message: &PeerMessage) {
        let Some(Body::Heartbeat(heartbeat)) = &message.body else {
            return;
        };
        let Some(instance_info) = &heartbeat.instance_info else {
            return;
        };
        if let (Ok(name), Ok(grpc)) = (message.from.parse(), instance_info.grpc_address.parse()) {
            self.grpc_addresses.insert(name, grpc);
        }
    }

    /// Passes the current metric values to the alert rules.
    fn report_metrics(&mut self) {
        let values = self.links.metrics.values();
        self.handle_event(ControlEvent::Metrics(values));
    }

    async fn perform_actions(&mut self) {
        let actions = std::mem::take(&mut self.actions);
        for action in actions {
            match action {
                ControlAction::PublishView(view) => self.publish_view(view).await,
                ControlAction::SendToPeer { address, body, .. } => {
                    self.links.peers.send(address, body);
                }
                ControlAction::ReadPlatform { key, etag, wait_ms } => {
                    let links = self.links.clone();
                    tokio::spawn(async move {
                        let outcome = links.platform.read(&key, etag, wait_ms).await;
                        let event = ControlEvent::PlatformResponse { key, outcome };
                        // The queue closes only on process exit.
                        let _ = links.control.send_async(ControlInput::Event(event)).await;
                    });
                }
                ControlAction::FetchFromPeer {
                    from,
                    address,
                    hash,
                } => self.fetch_value(from, address, hash),
                ControlAction::Log(event) => {
                    let kind = log::log_control_event(&self.links.log, &event);
                    self.status_tracker.on_log(self.links.clock.now(), &event);
                    self.links.metrics.on_control_event(kind, &event);
                }
                ControlAction::SetReady(is_ready) => {
                    info!(self.links.log, "readiness changed"; "step" => "readiness",
                        "ready" => is_ready);
                    self.status_tracker.on_readiness(is_ready);
                    self.links.metrics.ready.set(i64::from(is_ready));
                    self.published.is_ready.send_replace(is_ready);
                }
            }
        }
    }

    async fn publish_view(&mut self, view: Arc<View>) {
        self.status_tracker.on_view(view.clone());
        self.links.metrics.on_view(&view);
        for shard in &self.links.shards {
            // A shard's queue closes only on process exit.
            let _ = shard.send_async(ShardEvent::View(view.clone())).await;
        }
        self.published.view.send_replace(Some(view));
    }

    fn fetch_value(&self, from: InstanceName, address: SocketAddr, hash: ContentHash) {
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
            // The queue closes only on process exit.
            let _ = links.control.send_async(ControlInput::Event(event)).await;
        });
    }

    fn hand_over_records(&self, to: InstanceName, records: Vec<FlowRecord>) {
        let Some(address) = self.grpc_addresses.get(&to).copied() else {
            return self.links.metrics.count_drop("unknown-peer");
        };
        let links = self.links.clone();
        tokio::spawn(async move {
            for records in records.chunks(MAX_RECORDS_PER_CALL) {
                if let Err(error) = links.grpc.hand_over(address, records).await {
                    links.metrics.count_drop("hand-over");
                    warn!(links.log, "{}", error; "step" => "hand-over", "peer" => %to);
                }
            }
        });
    }
}
