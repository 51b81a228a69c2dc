//! Packet path: one thread with one socket and one [`Shard`] per CPU core.

use std::collections::HashMap;
use std::io::IoSliceMut;
use std::net::SocketAddr;

use balance::event::{ControlEvent, Observation, ShardAction, ShardEvent};
use balance::shard::Shard;
use balance::view::View;
use ids::InstanceName;
use quinn_udp::{BATCH_SIZE, RecvMeta, UdpSockRef, UdpSocketState};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::io::Interest;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Duration, MissedTickBehavior};
use wire::frame::Frame;
use wire::peer::Body;

use crate::clock::Clock;
use crate::control::ControlInput;
use crate::metrics::Metrics;
use crate::observations::ObservationBuffer;
use crate::peer::PeerLink;
use crate::sharding::{self, TargetAddresses};
use crate::trace::Tracer;
use crate::{Error, Result};

/// Capacity of a shard's event queue.
pub const MAX_QUEUED_EVENTS: usize = 4_096;

/// Interval between ticks of a shard. Retries and timeouts are rounded up to it.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Receive buffer size requested from the kernel. It holds about 20 ms of traffic at the maximum
/// packet rate of one core.
const RECEIVE_BUFFER_BYTES: usize = 8 << 20;

/// Buffer size for one receive, which may hold several datagrams coalesced by the kernel (GRO).
const RECEIVE_SLOT_BYTES: usize = 1 << 16;

/// Further queued events handled before the socket is polled again.
const MAX_EVENTS_PER_TURN: usize = 256;

/// Channels and shared state that a shard's thread uses.
#[derive(Debug, Clone)]
pub struct ShardLinks {
    /// Queues of all shards, this one included.
    pub shards: Vec<flume::Sender<ShardEvent>>,
    /// Queue of the control plane.
    pub control: flume::Sender<ControlInput>,
    /// Sender of peer datagrams.
    pub peers: PeerLink,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Clock of the daemon.
    pub clock: Clock,
    /// Becomes true when the thread must end.
    pub quit: watch::Receiver<bool>,
}

/// Feeds one shard with events and performs the resulting actions.
#[derive(Debug)]
pub struct Driver {
    index: usize,
    shard: Shard,
    inbox: flume::Receiver<ShardEvent>,
    links: ShardLinks,
    tracer: Tracer,
    target_addresses: TargetAddresses,
    peer_addresses: HashMap<InstanceName, SocketAddr>,
    observations: ObservationBuffer,
    is_stopping: bool,
    is_drained: bool,
    reported_flows: i64,
    reported_waiting: i64,
    actions: Vec<ShardAction>,
    datagram: Vec<u8>,
}

/// Binds one of the sockets that share the frame address through `SO_REUSEPORT`. The kernel
/// distributes datagrams over them.
pub fn bind(address: SocketAddr) -> Result<std::net::UdpSocket> {
    let bind = || {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::DGRAM,
            Some(Protocol::UDP),
        )?;
        socket.set_reuse_port(true)?;
        // The kernel caps the size at its limit. With a smaller buffer, it drops datagrams at a
        // lower load.
        let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        Ok(socket.into())
    };
    bind().map_err(Error::io(format!("binding the frame socket to {address}")))
}

impl Driver {
    /// Creates a driver for a shard.
    pub fn new(
        index: usize,
        shard: Shard,
        inbox: flume::Receiver<ShardEvent>,
        links: ShardLinks,
        tracer: Tracer,
    ) -> Self {
        Self {
            index,
            shard,
            inbox,
            links,
            tracer,
            target_addresses: TargetAddresses::default(),
            peer_addresses: HashMap::new(),
            observations: ObservationBuffer::default(),
            is_stopping: false,
            is_drained: false,
            reported_flows: 0,
            reported_waiting: 0,
            actions: Vec::new(),
            datagram: Vec::new(),
        }
    }

    /// Runs the shard on its own thread until the daemon quits.
    pub fn spawn(self, socket: std::net::UdpSocket) -> Result<std::thread::JoinHandle<()>> {
        let step = format!("starting shard {}", self.index);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::io(step.clone()))?;
        let guard = runtime.enter();
        let state = UdpSocketState::new((&socket).into()).map_err(Error::io(step.clone()))?;
        let socket = UdpSocket::from_std(socket).map_err(Error::io(step.clone()))?;
        drop(guard);
        std::thread::Builder::new()
            .name(format!("shard-{}", self.index))
            .spawn(move || runtime.block_on(self.run(socket, state)))
            .map_err(Error::io(step))
    }

    async fn run(mut self, socket: UdpSocket, state: UdpSocketState) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; BATCH_SIZE * RECEIVE_SLOT_BYTES];
        let mut metas = [RecvMeta::default(); BATCH_SIZE];
        let inbox = self.inbox.clone();
        let mut quit = self.links.quit.clone();
        loop {
            tokio::select! {
                event = inbox.recv_async() => {
                    let Ok(event) = event else { return };
                    self.handle_event(event);
                    for event in inbox.try_iter().take(MAX_EVENTS_PER_TURN) {
                        self.handle_event(event);
                    }
                }
                ready = socket.readable() => {
                    if ready.is_ok() {
                        self.receive_datagrams(&socket, &state, &mut buffer, &mut metas);
                    }
                }
                _ = tick.tick() => {
                    self.handle_event(ShardEvent::Tick);
                    self.update_gauges();
                    self.flush_observations();
                }
                _ = quit.changed() => return,
            }
            self.perform_actions(&socket).await;
        }
    }

    fn receive_datagrams(
        &mut self,
        socket: &UdpSocket,
        state: &UdpSocketState,
        buffer: &mut [u8],
        metas: &mut [RecvMeta; BATCH_SIZE],
    ) {
        let received = socket.try_io(Interest::READABLE, || {
            let mut slots = buffer.chunks_mut(RECEIVE_SLOT_BYTES).map(IoSliceMut::new);
            let mut slices: [IoSliceMut<'_>; BATCH_SIZE] =
                std::array::from_fn(|_| slots.next().unwrap_or_else(|| IoSliceMut::new(&mut [])));
            state.recv(UdpSockRef::from(socket), &mut slices, metas)
        });
        let Ok(count) = received else { return };
        for (meta, slot) in metas
            .iter()
            .zip(buffer.chunks(RECEIVE_SLOT_BYTES))
            .take(count)
        {
            if meta.len == 0 {
                // `chunks` yields nothing for an empty datagram.
                self.on_datagram(meta.addr, &[]);
                continue;
            }
            for datagram in slot[..meta.len].chunks(meta.stride.max(1)) {
                self.on_datagram(meta.addr, datagram);
            }
        }
    }

    fn on_datagram(&mut self, from: SocketAddr, datagram: &[u8]) {
        self.links.metrics.frames_in.inc();
        let Ok(frame) = Frame::from_datagram(datagram) else {
            return self.links.metrics.count_drop("not-a-frame");
        };
        let shard = sharding::receiving_shard(&frame, self.links.shards.len());
        let event = self.target_addresses.classify(from, frame);
        if shard == self.index {
            self.handle_event(event);
        } else if self.links.shards[shard].try_send(event).is_err() {
            self.links.metrics.count_drop("shard-queue-full");
        }
    }

    /// Passes an event to the shard, which collects its actions in `self.actions`.
    fn handle_event(&mut self, mut event: ShardEvent) {
        match &event {
            ShardEvent::View(view) => self.on_view(view),
            ShardEvent::Stop => self.is_stopping = true,
            _ => {}
        }
        let owner = sharding::flow_request_owner(&event, self.links.shards.len());
        if let Some(owner) = owner.filter(|&owner| owner != self.index && self.shard.has_view()) {
            return self.forward_flow_request(owner, event);
        }
        let now = self.links.clock.now();
        self.tracer.on_event(now, &mut event);
        self.shard.handle(now, event, &mut self.actions);
    }

    /// Forwards a request that belongs to a flow of this shard, together with the target of the
    /// flow, to the shard that owns the request.
    fn forward_flow_request(&self, owner: usize, event: ShardEvent) {
        let (mut frame, from, hops) = match event {
            ShardEvent::CallerFrame { from, frame } => (frame, Some(from), 0),
            ShardEvent::RelayedFrame { frame, hops, .. } => (frame, None, hops),
            _ => return,
        };
        if let Some(from) = from.filter(|_| frame.source.is_empty()) {
            frame.source = from.to_string();
        }
        let target = self.shard.flows().target_of(&frame);
        let event = ShardEvent::FlowRequest {
            frame,
            target,
            hops,
        };
        if self.links.shards[owner].try_send(event).is_err() {
            self.links.metrics.count_drop("shard-queue-full");
        }
    }

    /// Adds the changes of this shard's counts to the gauges, which are sums over all shards.
    fn update_gauges(&mut self) {
        let flows = self.shard.flows().len() as i64;
        let waiting = self.shard.requests().waiting_count() as i64;
        self.links.metrics.flows.add(flows - self.reported_flows);
        self.links
            .metrics
            .requests_waiting
            .add(waiting - self.reported_waiting);
        (self.reported_flows, self.reported_waiting) = (flows, waiting);
    }

    /// Sends buffered observations to the control plane. Those that do not fit the queue stay
    /// buffered until the next tick.
    fn flush_observations(&mut self) {
        let (index, control) = (self.index, &self.links.control);
        self.observations.flush(|observation| {
            control
                .try_send(observation_input(index, observation))
                .is_ok()
        });
        if self.is_drained && control.try_send(ControlInput::ShardDrained).is_ok() {
            self.is_drained = false;
        }
    }

    fn on_view(&mut self, view: &View) {
        self.target_addresses = TargetAddresses::from_view(view);
        let epochs = view.current_epoch().into_iter();
        self.peer_addresses = epochs
            .flat_map(|epoch| epoch.peers.iter().chain(&epoch.leaving))
            .map(|peer| (peer.name.clone(), peer.address))
            .collect();
    }

    async fn perform_actions(&mut self, socket: &UdpSocket) {
        let now = self.links.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        for mut action in actions.drain(..) {
            self.tracer.on_action(now, &mut action);
            self.perform_action(socket, action).await;
        }
        self.actions = actions;
    }

    async fn perform_action(&mut self, socket: &UdpSocket, action: ShardAction) {
        match action {
            ShardAction::SendToTarget { to, frame, .. } => {
                self.links.metrics.frames_to_targets.inc();
                self.send_frame(socket, to, &frame).await;
            }
            ShardAction::SendToCaller { to, frame } => {
                self.links.metrics.frames_to_callers.inc();
                self.send_frame(socket, to, &frame).await;
            }
            ShardAction::SendToPeer { to, body } => self.send_to_peer(to, body),
            ShardAction::ReportObservation(observation) => {
                if let Some(immediate) = self.observations.record(observation) {
                    self.send_to_control(observation_input(self.index, immediate));
                }
            }
            ShardAction::Count(event) => self.links.metrics.count_event(&event),
            ShardAction::Drained => self.is_drained = true,
        }
    }

    async fn send_frame(&mut self, socket: &UdpSocket, to: SocketAddr, frame: &Frame) {
        if frame.encode_into(&mut self.datagram).is_err() {
            return self.links.metrics.count_drop("frame-too-long");
        }
        let sent = match socket.try_send_to(&self.datagram, to) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                socket.send_to(&self.datagram, to).await
            }
            sent => sent,
        };
        if sent.is_err() {
            self.links.metrics.count_drop("frame-send");
        }
    }

    fn send_to_peer(&self, to: InstanceName, body: Body) {
        match body {
            // A stopping instance cannot resend records after a loss, so it sends them through
            // gRPC.
            Body::FlowRecords(records) if self.is_stopping => {
                let records = records.records;
                self.send_to_control(ControlInput::HandOverRecords { to, records });
            }
            body => match self.peer_addresses.get(&to) {
                Some(address) => self.links.peers.send(*address, body),
                None => self.links.metrics.count_drop("unknown-peer"),
            },
        }
    }

    fn send_to_control(&self, input: ControlInput) {
        if self.links.control.try_send(input).is_err() {
            self.links.metrics.count_drop("control-queue-full");
        }
    }
}

fn observation_input(shard: usize, observation: Observation) -> ControlInput {
    let shard = shard as u16;
    ControlInput::Event(ControlEvent::Observed { shard, observation })
}
