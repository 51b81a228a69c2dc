//! The life cycle: starting, serving, stopping.
//!
//! Each state is a type of its own, so that a step out of order does not compile.

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
use crate::peer::discover_peers;
use crate::relay::RelayService;
use crate::view_reader::{LoopEvent, ReaderContext, ViewReader};
use crate::{Error, Result};

/// Time for which a stopping instance goes on forwarding in any case. Routers take it out of rotation
/// after two missed checks, which are half a second apart, and packets on their way follow.
const MIN_LINGER: Millis = Millis(1_500);

/// Time without packets after which the routers have left. A shorter pause may be one of few callers.
const QUIET_PERIOD: Millis = Millis(500);

/// Longest time for which it goes on while packets arrive. Routers that miss most instances of a failure
/// domain use them all, whether they are ready or not.
const MAX_LINGER: Millis = Millis(3_500);

/// Time kept back before the process would be ended by force.
const STOP_MARGIN: Millis = Millis(1_000);

/// The socket is bound, so that packets wait in it; nothing runs.
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
    /// Begins to listen, inside a runtime. To be called before anything else, since a signal ends a
    /// process that does not listen yet.
    ///
    /// # Errors
    /// Fails when the system refuses a handler.
    pub fn listen() -> Result<Self> {
        let handler = |kind| signal(kind).map_err(Error::io("listening for signals"));
        Ok(Self {
            terminate: handler(SignalKind::terminate())?,
            interrupt: handler(SignalKind::interrupt())?,
            reload: handler(SignalKind::hangup())?,
        })
    }
}

/// Packets are forwarded.
#[derive(Debug)]
pub struct Serving {
    packets: PacketLoop,
    events: flume::Receiver<LoopEvent>,
    stopping: watch::Sender<bool>,
    settings: Settings,
    signals: Signals,
}

/// Not ready any more; packets are still forwarded.
#[derive(Debug)]
pub struct Stopping {
    packets: PacketLoop,
    events: flume::Receiver<LoopEvent>,
    linger: Millis,
}

/// A daemon in one state of its life.
#[derive(Debug)]
pub struct Daemon<S> {
    state: S,
    log: Logger,
}

impl Daemon<Starting> {
    /// Binds the socket for packets.
    ///
    /// # Errors
    /// Fails when the address is taken or not this machine's.
    pub fn bind(settings: Settings, signals: Signals, log: Logger) -> Result<Self> {
        let step = format!("binding {}", settings.packets);
        let socket = std::net::UdpSocket::bind(settings.packets).map_err(Error::io(&*step))?;
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

    /// Starts every task. Must run inside a runtime.
    ///
    /// # Errors
    /// Fails when a client or the metrics cannot be set up.
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
        let context = ReaderContext {
            store: Store::new(settings.store)?,
            peers: peers.clone(),
            relay: relay.clone(),
            change_limit: settings.change_limit,
            clock,
        };
        tokio::spawn(ViewReader::new(context, queue.clone(), metrics.clone(), log.clone()).run());
        if let Some(address) = settings.peer {
            spawn_server(&log, serve_peers(address, relay.clone()));
            let seeds = settings.seeds.clone();
            tokio::spawn(discover_peers(peers, seeds, clock, log.clone()));
        }
        let (usable_view, has_usable_view) = watch::channel(false);
        let (stopping, is_stopping) = watch::channel(false);
        let readiness = Readiness {
            has_usable_view,
            is_stopping,
        };
        let ready = http::serve_readiness(settings.ready, platform::READY_PATH, readiness.clone());
        spawn_server(&log, ready);
        let operators = OperatorState {
            metrics: metrics.clone(),
            instance: settings.instance.clone(),
            domain: settings.domain.clone(),
            readiness,
            events: queue.clone(),
        };
        spawn_server(&log, http::serve_operators(settings.metrics, operators));
        let socket = UdpSocket::from_std(socket).map_err(Error::io("registering the socket"))?;
        let steer_settings = steer::Settings {
            domain: settings.domain.as_str().into(),
            flow_life: settings.flow_life,
            ..steer::Settings::default()
        };
        let steer = Steer::new(steer_settings, seed).map_err(|error| Error::Failed {
            step: "reading the chart of targets",
            reason: error.to_string(),
        })?;
        info!(log, "started"; "step" => "start", "packets" => %settings.packets,
            "ready" => %settings.ready, "metrics" => %settings.metrics,
            "store" => %settings.store);
        let packets = PacketLoop::new(
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
                packets,
                events,
                stopping,
                settings,
                signals,
            },
            log,
        })
    }
}

/// Returns what peers learn of this instance. Without an address of its own it is never followed.
fn own_peer(settings: &Settings) -> Peer {
    Peer {
        address: settings.peer.unwrap_or(settings.ready),
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
    /// Serves until a signal asks to stop.
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
        self.state.packets.run(&self.state.events, stop).await;
        self.state.stopping.send_replace(true);
        let limit = self.state.settings.stop_limit.0;
        let linger = MAX_LINGER.min(Millis(limit.saturating_sub(STOP_MARGIN.0)));
        info!(self.log, "stopping"; "step" => "stop", "linger" => %linger);
        Daemon {
            state: Stopping {
                packets: self.state.packets,
                events: self.state.events,
                linger,
            },
            log: self.log,
        }
    }
}

impl Daemon<Stopping> {
    /// Forwards until routers send their packets elsewhere. An instance that is away for less time
    /// leaves less to the others, of which several may be stopped in turn.
    pub async fn finish(mut self) {
        let started_at = Instant::now();
        let mut wait = MIN_LINGER.min(self.state.linger);
        while wait > Millis(0) {
            let pause = tokio::time::sleep(Duration::from_millis(wait.0));
            self.state.packets.run(&self.state.events, pause).await;
            let remaining = self
                .state
                .linger
                .0
                .saturating_sub(millis_since(started_at).0);
            let idle = millis_since(self.state.packets.last_received_at());
            wait = Millis(QUIET_PERIOD.0.saturating_sub(idle.0).min(remaining));
        }
        info!(self.log, "stopped"; "step" => "stop", "after" => %millis_since(started_at));
    }
}

fn millis_since(at: Instant) -> Millis {
    Millis(at.elapsed().as_millis() as u64)
}

/// Reads the settings again. Addresses and names hold for the life of a process.
fn check_settings(log: &Logger, current: &Settings) {
    match Settings::read(&platform::settings_file()) {
        Ok(new) => info!(log, "settings read again"; "step" => "reload",
            "changed" => new != *current),
        Err(error) => warn!(log, "settings refused, the former ones hold"; "step" => "reload",
            "reason" => %error),
    }
}
