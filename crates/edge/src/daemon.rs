//! Life cycle of the daemon: starting, serving, stopping.
//!
//! Each state is a separate type, so that transitions in the wrong order do not compile.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ids::Millis;
use platform::{Settings, Store};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use slog::{Logger, info, warn};
use steer::{Peer, Peers, Steer};
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use wire::steering::relay_server::RelayServer;

use crate::clock::Clock;
use crate::http::{self, OperatorState, Readiness};
use crate::metrics::Metrics;
use crate::packets::PacketLoop;
use crate::peer::{DiscoverySignals, discover_peers};
use crate::relay::{RelayService, lock};
use crate::view_reader::{LoopEvent, ReaderContext, ViewReader};
use crate::{Error, Result};

/// Minimum time for which a stopping instance continues to forward. Routers take it out of rotation
/// after two failed checks, half a second apart, and packets in flight arrive after that.
const MIN_LINGER: Millis = Millis(1_500);

/// Time without packets after which routers are assumed to have stopped sending. With few callers,
/// shorter gaps are normal.
const QUIET_PERIOD: Millis = Millis(500);

/// Maximum time for which a stopping instance continues to forward while packets arrive. When most
/// instances of a failure domain are not ready, routers send packets to all of them regardless.
const MAX_LINGER: Millis = Millis(3_500);

/// Reserve before the platform would kill the process.
const STOP_MARGIN: Millis = Millis(1_000);

/// State before the start: the socket is bound and buffers packets, and no task runs.
#[derive(Debug)]
pub struct Starting {
    socket: std::net::UdpSocket,
    settings: Settings,
    signals: Signals,
}

/// Signals that the daemon handles.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the signal handlers. Call it inside a runtime and before anything else: until then
    /// these signals kill the process.
    ///
    /// # Errors
    /// Fails when the operating system refuses a handler.
    pub fn listen() -> Result<Self> {
        let handler = |kind| signal(kind).map_err(Error::io("installing signal handlers"));
        Ok(Self {
            terminate: handler(SignalKind::terminate())?,
            interrupt: handler(SignalKind::interrupt())?,
            reload: handler(SignalKind::hangup())?,
        })
    }
}

/// State in which the instance forwards packets and is ready once it has a usable view.
#[derive(Debug)]
pub struct Serving {
    packet_loop: PacketLoop,
    events: flume::Receiver<LoopEvent>,
    stopping: watch::Sender<bool>,
    settings: Settings,
    signals: Signals,
}

/// State in which the instance is no longer ready but still forwards packets.
#[derive(Debug)]
pub struct Stopping {
    packet_loop: PacketLoop,
    events: flume::Receiver<LoopEvent>,
    linger: Millis,
}

/// Daemon in the life cycle state `S`.
#[derive(Debug)]
pub struct Daemon<S> {
    state: S,
    log: Logger,
}

impl Daemon<Starting> {
    /// Binds the socket for packets.
    ///
    /// # Errors
    /// Fails when the address is in use or does not belong to this machine.
    pub fn bind(settings: Settings, signals: Signals, log: Logger) -> Result<Self> {
        let step = format!("binding UDP socket {}", settings.packet_address);
        let socket =
            std::net::UdpSocket::bind(settings.packet_address).map_err(Error::io(&*step))?;
        socket.set_nonblocking(true).map_err(Error::io(step))?;
        Ok(Self {
            state: Starting {
                socket,
                settings,
                signals,
            },
            log,
        })
    }

    /// Starts all tasks. Must be called inside a runtime.
    ///
    /// # Errors
    /// Fails when the store client, the metrics or the steering core cannot be set up.
    pub fn start(self) -> Result<Daemon<Serving>> {
        let Self { state, log } = self;
        let Starting {
            socket,
            settings,
            signals,
        } = state;
        let metrics = Metrics::new()?;
        let clock = Clock::start();
        let (queue, events) = flume::unbounded();
        let peers = Arc::new(Mutex::new(Peers::new(own_peer(&settings))));
        let seed = SmallRng::from_os_rng().next_u64();
        let relay = RelayService::new(peers.clone(), queue.clone(), seed, clock, log.clone());
        let discovery = DiscoverySignals::default();
        let context = ReaderContext {
            store: Store::new(settings.store_address)?,
            peers: peers.clone(),
            discovery: discovery.clone(),
            relay: relay.clone(),
            change_limit: settings.change_limit,
            clock,
        };
        tokio::spawn(ViewReader::new(context, queue.clone(), metrics.clone(), log.clone()).run());
        if let Some(address) = settings.peer_address {
            spawn_server(&log, serve_peers(address, relay.clone()));
            let seeds = settings.seeds.clone();
            tokio::spawn(discover_peers(
                peers,
                discovery,
                queue.clone(),
                seeds,
                clock,
                log.clone(),
            ));
        } else {
            // Without peers, this instance owns all cold targets only if there are no seeds.
            let members = lock(&peers).members(settings.seeds.is_empty());
            let _ = queue.send(LoopEvent::Members(members));
        }
        let (usable_view, has_usable_view) = watch::channel(false);
        let (stopping, is_stopping) = watch::channel(false);
        let readiness = Readiness {
            has_usable_view,
            is_stopping,
        };
        let ready = http::serve_readiness(
            settings.ready_address,
            platform::READY_PATH,
            readiness.clone(),
        );
        spawn_server(&log, ready);
        let operator_state = OperatorState {
            metrics: metrics.clone(),
            instance: settings.instance.clone(),
            domain: settings.domain.clone(),
            readiness,
            events: queue.clone(),
        };
        spawn_server(
            &log,
            http::serve_operators(settings.metrics_address, operator_state),
        );
        let socket = UdpSocket::from_std(socket)
            .map_err(Error::io("registering the packet socket with the runtime"))?;
        let steer_settings = steer::Settings {
            domain: settings.domain.as_str().into(),
            max_flow_lifetime: settings.max_flow_lifetime,
            cold_limit: settings.cold_limit,
            ..steer::Settings::default()
        };
        let steer = Steer::new(steer_settings, seed).map_err(|error| Error::Failed {
            step: "loading the chart of target states",
            reason: error.to_string(),
        })?;
        info!(log, "started"; "step" => "start", "packets" => %settings.packet_address,
            "ready" => %settings.ready_address, "metrics" => %settings.metrics_address,
            "store" => %settings.store_address);
        let packet_loop = PacketLoop::new(
            socket,
            steer,
            relay,
            metrics,
            clock,
            log.clone(),
            usable_view,
        );
        Ok(Daemon {
            state: Serving {
                packet_loop,
                events,
                stopping,
                settings,
                signals,
            },
            log,
        })
    }
}

/// Returns the description of this instance that is sent to peers. An instance without a peer
/// address cannot be followed.
fn own_peer(settings: &Settings) -> Peer {
    Peer {
        address: settings.peer_address.unwrap_or(settings.ready_address),
        domain: settings.domain.as_str().into(),
        link_kbps: settings.link_kbps,
    }
}

async fn serve_peers(address: SocketAddr, relay: RelayService) -> Result<()> {
    tonic::transport::Server::builder()
        .add_service(RelayServer::new(relay))
        .serve(address)
        .await
        .map_err(|error| Error::Failed {
            step: "serving peers",
            reason: error.to_string(),
        })
}

fn spawn_server(log: &Logger, server: impl Future<Output = Result<()>> + Send + 'static) {
    let log = log.clone();
    tokio::spawn(async move {
        if let Err(error) = server.await {
            warn!(log, "server ended"; "reason" => %error);
        }
    });
}

impl Daemon<Serving> {
    /// Forwards packets until a signal requests a stop.
    pub async fn serve(mut self) -> Daemon<Stopping> {
        let Signals {
            terminate,
            interrupt,
            reload,
        } = &mut self.state.signals;
        let log = self.log.clone();
        let stop = async {
            loop {
                tokio::select! {
                    _ = terminate.recv() => return,
                    _ = interrupt.recv() => return,
                    _ = reload.recv() => check_settings(&log, &self.state.settings),
                }
            }
        };
        self.state.packet_loop.run(&self.state.events, stop).await;
        self.state.stopping.send_replace(true);
        let limit = self.state.settings.stop_timeout.0;
        let linger = MAX_LINGER.min(Millis(limit.saturating_sub(STOP_MARGIN.0)));
        info!(self.log, "stopping"; "step" => "stop", "linger" => %linger);
        Daemon {
            state: Stopping {
                packet_loop: self.state.packet_loop,
                events: self.state.events,
                linger,
            },
            log: self.log,
        }
    }
}

impl Daemon<Stopping> {
    /// Forwards packets until routers send them elsewhere. Returns as early as possible: until the
    /// restart the remaining instances carry the load, and several instances may be restarted in
    /// turn.
    pub async fn finish(mut self) {
        let started_at = Instant::now();
        let mut wait = MIN_LINGER.min(self.state.linger);
        while wait > Millis(0) {
            let pause = tokio::time::sleep(Duration::from_millis(wait.0));
            self.state.packet_loop.run(&self.state.events, pause).await;
            let remaining = self
                .state
                .linger
                .0
                .saturating_sub(millis_since(started_at).0);
            let idle = millis_since(self.state.packet_loop.last_received_at());
            wait = Millis(QUIET_PERIOD.0.saturating_sub(idle.0).min(remaining));
        }
        info!(self.log, "stopped"; "step" => "stop", "after" => %millis_since(started_at));
    }
}

fn millis_since(at: Instant) -> Millis {
    Millis(at.elapsed().as_millis() as u64)
}

/// Reads and checks the settings file. Nothing is applied: addresses and names are fixed for the
/// life of a process.
fn check_settings(log: &Logger, current: &Settings) {
    match Settings::read(&platform::settings_file()) {
        Ok(new) => info!(log, "settings read again"; "step" => "reload",
            "changed" => new != *current),
        Err(error) => warn!(log, "settings refused, the former ones hold"; "step" => "reload",
            "reason" => %error),
    }
}
