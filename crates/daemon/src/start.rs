//! Construction and start of all tasks of the daemon.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

use balance::control::Control;
use balance::event::ShardEvent;
use balance::shard::Shard;
use conf::Settings;
use opentelemetry_proto::tonic::trace::v1::Span;
use slog::{Logger, error};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wire::seal::Keys;

use crate::clock::Clock;
use crate::control::{self, ControlInput, ControlLinks, PublishedState};
use crate::core_settings;
use crate::grpc;
use crate::health;
use crate::http::Endpoints;
use crate::metrics::Metrics;
use crate::packet::{self, ShardLinks};
use crate::peer::PeerLink;
use crate::platform::PlatformClient;
use crate::status::StatusTracker;
use crate::trace::{self, Tracer};
use crate::{Error, Result};

/// Handles to the running tasks and shards.
#[derive(Debug)]
pub(crate) struct DaemonHandles {
    pub(crate) settings: Settings,
    pub(crate) control: flume::Sender<ControlInput>,
    pub(crate) shards: Vec<flume::Sender<ShardEvent>>,
    /// Set to true to report the instance as not ready.
    pub(crate) is_stopping: watch::Sender<bool>,
    /// Set to true to end the threads of the shards.
    pub(crate) quit: watch::Sender<bool>,
    /// Number of shards that completed their remaining work after a stop.
    pub(crate) drained_shards: watch::Receiver<usize>,
    pub(crate) is_ready: watch::Receiver<bool>,
    pub(crate) tasks: Vec<JoinHandle<()>>,
}

/// Listening sockets. All are bound before any shard or server task starts, so that a failed bind
/// does not leave a partially started daemon.
struct Sockets {
    frames: Vec<std::net::UdpSocket>,
    grpc: TcpListener,
    http: TcpListener,
}

/// Shared parts from which the tasks are built.
struct Components {
    settings: Settings,
    log: Logger,
    clock: Clock,
    metrics: Metrics,
    keys: Keys,
    peers: PeerLink,
    control: flume::Sender<ControlInput>,
    shards: Vec<flume::Sender<ShardEvent>>,
    tasks: Tasks,
}

fn bind_listener(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(Error::io(format!("listening on {address}")))
}

impl Sockets {
    fn bind(settings: &Settings) -> Result<Self> {
        let shards = core_settings::shard_count(settings);
        let frames = (0..shards).map(|_| packet::bind(settings.listen.caller));
        Ok(Self {
            frames: frames.collect::<Result<_>>()?,
            grpc: bind_listener(settings.listen.grpc)?,
            http: bind_listener(settings.listen.http)?,
        })
    }
}

/// Binds all sockets and starts all tasks. Must be called within a Tokio runtime.
pub(crate) fn start(settings: Settings, log: Logger) -> Result<DaemonHandles> {
    let (clock, metrics) = (Clock::start(), Metrics::new()?);
    let other_key = settings.secret.other_key.as_ref().map(|key| key.expose());
    let keys = Keys::new(settings.secret.key.expose(), other_key);
    let peers = PeerLink::bind(
        settings.listen.peer,
        settings.instance.name.clone(),
        clock.incarnation(),
        keys.clone(),
        metrics.clone(),
    )?;
    let sockets = Sockets::bind(&settings)?;
    let (control, control_inbox) = flume::bounded(control::MAX_QUEUED_EVENTS);
    let (shards, shard_inboxes): (Vec<_>, Vec<_>) = (0..sockets.frames.len())
        .map(|_| flume::bounded(packet::MAX_QUEUED_EVENTS))
        .unzip();
    let (quit, quit_receiver) = watch::channel(false);
    let (is_stopping, stopping_receiver) = watch::channel(false);
    let (is_ready, ready_receiver) = watch::channel(false);
    let (view, view_receiver) = watch::channel(None);
    let (drained_shards, drained_receiver) = watch::channel(0);
    let published = PublishedState {
        is_ready,
        view,
        drained_shards,
    };
    let mut components = Components {
        tasks: Tasks {
            log: log.clone(),
            handles: Vec::new(),
        },
        settings,
        log,
        clock,
        metrics,
        keys,
        peers,
        control,
        shards,
    };
    let spans = components.spawn_trace_writer();
    let shards = shard_inboxes.into_iter().zip(sockets.frames);
    components.spawn_shards(shards, quit_receiver, spans)?;
    components.spawn_control(control_inbox, published)?;
    components.spawn_peers(sockets.grpc);
    let health_poller = health::poll_targets(view_receiver, components.control.clone());
    components.tasks.spawn("health", health_poller);
    let endpoints = Endpoints {
        metrics: components.metrics.clone(),
        is_ready: ready_receiver.clone(),
        is_stopping: stopping_receiver,
        control: components.control.clone(),
    };
    components
        .tasks
        .spawn("http", endpoints.serve(sockets.http));
    Ok(DaemonHandles {
        settings: components.settings,
        control: components.control,
        shards: components.shards,
        is_stopping,
        quit,
        drained_shards: drained_receiver,
        is_ready: ready_receiver,
        tasks: components.tasks.handles,
    })
}

impl Components {
    /// Starts the trace writer, if a trace file is configured, and returns its queue.
    fn spawn_trace_writer(&mut self) -> Option<flume::Sender<Span>> {
        let path = PathBuf::from(self.settings.trace.file.as_ref()?.as_str());
        let (spans, queue) = flume::bounded(trace::MAX_QUEUED_SPANS);
        let instance = self.settings.instance.name.to_string();
        self.tasks
            .spawn("traces", trace::write_spans(path, instance, queue));
        Some(spans)
    }

    fn spawn_shards(
        &self,
        shards: impl Iterator<Item = (flume::Receiver<ShardEvent>, std::net::UdpSocket)>,
        quit: watch::Receiver<bool>,
        spans: Option<flume::Sender<Span>>,
    ) -> Result<()> {
        let links = ShardLinks {
            shards: self.shards.clone(),
            control: self.control.clone(),
            peers: self.peers.clone(),
            metrics: self.metrics.clone(),
            clock: self.clock,
            quit,
        };
        let settings = core_settings::shard_settings(&self.settings, self.shards.len());
        let sample_rate = self.settings.trace.sample;
        for (index, (inbox, socket)) in shards.enumerate() {
            let shard = Shard::new(settings.clone(), self.keys.clone());
            let tracer = Tracer::new(self.clock, self.metrics.clone(), sample_rate, spans.clone());
            packet::Driver::new(index, shard, inbox, links.clone(), tracer).spawn(socket)?;
        }
        Ok(())
    }

    fn spawn_control(
        &mut self,
        inbox: flume::Receiver<ControlInput>,
        published: PublishedState,
    ) -> Result<()> {
        let links = ControlLinks {
            control: self.control.clone(),
            shards: self.shards.clone(),
            peers: self.peers.clone(),
            grpc: grpc::Client::new(self.settings.instance.name.to_string(), self.keys.clone()),
            platform: PlatformClient::new(self.settings.platform.address, self.metrics.clone())?,
            metrics: self.metrics.clone(),
            clock: self.clock,
            log: self.log.clone(),
        };
        let identity = core_settings::identity(&self.settings, &self.clock);
        let control = Control::new(identity, core_settings::control_settings(&self.settings))
            .map_err(|error| Error::failed("creating the control plane", error))?;
        let status_tracker = StatusTracker::new(&self.settings);
        let driver = control::Driver::new(control, inbox, links, published, status_tracker);
        self.tasks.handles.push(tokio::spawn(driver.run()));
        Ok(())
    }

    fn spawn_peers(&mut self, grpc: TcpListener) {
        let (shards, control) = (self.shards.clone(), self.control.clone());
        let service = grpc::Service::new(self.keys.clone(), control.clone(), shards.clone());
        self.tasks.spawn("grpc", service.serve(grpc));
        let receiver = self.peers.clone().receive(shards, control);
        self.tasks.spawn("peers", receiver);
    }
}

struct Tasks {
    log: Logger,
    handles: Vec<JoinHandle<()>>,
}

impl Tasks {
    /// Spawns a task. A failure is logged and does not stop the other tasks.
    fn spawn(
        &mut self,
        name: &'static str,
        task: impl Future<Output = Result<()>> + Send + 'static,
    ) {
        let log = self.log.clone();
        self.handles.push(tokio::spawn(async move {
            if let Err(failure) = task.await {
                error!(log, "{}", failure; "step" => name);
            }
        }));
    }
}
