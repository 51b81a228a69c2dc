//! Lifecycle of the daemon: starting, serving, stopping, stopped.
//!
//! Each state is a separate type, so that an invalid transition does not compile.

use balance::event::ShardEvent;
use conf::Settings;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Duration, Instant};

use crate::Result;
use crate::control::ControlInput;
use crate::start::{DaemonHandles, start};

/// Minimum time from the stop until the process exits, even without remaining work. It lets the
/// fabric observe the changed readiness, and lets the next packets of callers arrive through other
/// instances, from which targets learn the new return path.
const MIN_STOP_DURATION: Duration = Duration::from_secs(2);

/// Settings are loaded; no socket is bound yet.
#[derive(Debug)]
pub struct Starting {
    settings: Settings,
}

/// Sockets are bound and all tasks are running.
#[derive(Debug)]
pub struct Serving {
    handles: DaemonHandles,
}

/// Completes accepted work and accepts no new work.
#[derive(Debug)]
pub struct Stopping {
    handles: DaemonHandles,
    stopping_since: Instant,
}

/// All tasks have been aborted.
#[derive(Debug)]
pub struct Stopped {
    /// Whether all accepted work completed before the stop timeout.
    pub is_complete: bool,
}

/// The daemon in lifecycle state `S`.
#[derive(Debug)]
pub struct Daemon<S> {
    state: S,
    log: Logger,
}

impl Daemon<Starting> {
    /// Creates a daemon from validated settings.
    pub fn new(settings: Settings, log: Logger) -> Self {
        Self {
            state: Starting { settings },
            log,
        }
    }

    /// Binds all sockets and starts all tasks. Must be called within a Tokio runtime.
    pub fn start(self) -> Result<Daemon<Serving>> {
        let handles = start(self.state.settings, self.log.clone())?;
        info!(self.log, "serving"; "step" => "start", "shards" => handles.shards.len());
        Ok(Daemon {
            state: Serving { handles },
            log: self.log,
        })
    }
}

impl Daemon<Serving> {
    /// Returns a watch on the readiness of the instance.
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.state.handles.is_ready.clone()
    }

    /// Starts a graceful stop: clears the readiness and notifies the control plane and all shards.
    pub async fn stop(self) -> Daemon<Stopping> {
        let Self { state, log } = self;
        let handles = state.handles;
        info!(log, "stopping"; "step" => "stop");
        handles.is_stopping.send_replace(true);
        let stop = ControlInput::Event(balance::event::ControlEvent::Stop);
        // Queues close only on process exit.
        let _ = handles.control.send_async(stop).await;
        for shard in &handles.shards {
            let _ = shard.send_async(ShardEvent::Stop).await;
        }
        Daemon {
            state: Stopping {
                handles,
                stopping_since: Instant::now(),
            },
            log,
        }
    }
}

impl Daemon<Stopping> {
    /// Waits until requests are finished, for `stop_timeout_ms` at most, and ends every task.
    pub async fn finish(self) -> Daemon<Stopped> {
        let Self { state, log } = self;
        let DaemonHandles {
            settings,
            shards,
            quit,
            mut drained_shards,
            tasks,
            ..
        } = state.handles;
        let deadline =
            state.stopping_since + Duration::from_millis(settings.limits.stop_timeout_ms.0);
        let all_drained = drained_shards.wait_for(|count| *count >= shards.len());
        let is_complete = matches!(
            tokio::time::timeout_at(deadline, all_drained).await,
            Ok(Ok(_))
        );
        if !is_complete {
            warn!(log, "requests remain after the wait"; "step" => "stop",
                "stop_wait" => %settings.limits.stop_timeout_ms);
        }
        tokio::time::sleep_until((state.stopping_since + MIN_STOP_DURATION).min(deadline)).await;
        quit.send_replace(true);
        tasks.iter().for_each(JoinHandle::abort);
        info!(log, "stopped"; "step" => "stop", "complete" => is_complete);
        Daemon {
            state: Stopped { is_complete },
            log,
        }
    }
}

impl Daemon<Stopped> {
    /// Returns whether all accepted work completed before the stop timeout.
    pub fn is_complete(&self) -> bool {
        self.state.is_complete
    }
}
