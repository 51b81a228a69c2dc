//! A simulated instance: its control plane and one shard, driven directly.

use balance::control::{Control, ControlSettings, Identity};
use balance::event::{ControlAction, ControlEvent, ControlLogEvent, ShardAction, ShardEvent};
use balance::shard::{Shard, ShardSettings};
use ids::{ContentHash, Incarnation, InstanceName, Micros, Millis};
use wire::peer::{Body, PeerMessage};
use wire::seal::Keys;

/// Action of an instance that the simulation executes.
#[derive(Debug)]
pub enum Output {
    Shard(ShardAction),
    Control(ControlAction),
}

/// State of the instance's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    /// Not scheduled until this time; messages wait in its socket buffers.
    Paused(Micros),
    /// Stopping gracefully since this time.
    Stopping(Micros),
    Exited,
}

/// A simulated instance.
#[derive(Debug)]
pub struct Instance {
    pub name: InstanceName,
    pub domain: String,
    pub process_state: ProcessState,
    /// Active versions over time, to check that they never go back.
    pub active_versions: Vec<u64>,
    /// Active presets over time.
    pub active_presets: Vec<String>,
    /// Whether the instance is ready.
    pub is_ready: bool,
    incarnation: Incarnation,
    started_at: Micros,
    control: Control,
    shard: Shard,
    is_drained: bool,
}

impl Instance {
    pub fn start(identity: Identity, now: Micros) -> Self {
        Self {
            name: identity.name.clone(),
            domain: identity.domain.to_string(),
            process_state: ProcessState::Running,
            active_versions: Vec::new(),
            active_presets: Vec::new(),
            is_ready: false,
            incarnation: identity.incarnation,
            started_at: now,
            control: Control::new(identity, ControlSettings::default())
                .expect("the charts are valid"),
            shard: Shard::new(ShardSettings::default(), Keys::new("matrix", None)),
            is_drained: false,
        }
    }

    /// Returns whether the process is running and not paused.
    pub fn is_scheduled(&self) -> bool {
        matches!(
            self.process_state,
            ProcessState::Running | ProcessState::Stopping(_)
        )
    }

    /// Returns whether the process has drained and has been stopping for `linger_ms`, so that it
    /// can exit.
    pub fn can_exit(&self, now: Micros, linger_ms: Millis) -> bool {
        matches!(
            self.process_state,
            ProcessState::Stopping(since) if self.is_drained && now >= since + linger_ms
        )
    }

    /// Handles a message from a peer.
    pub fn on_peer(&mut self, now: Micros, message: PeerMessage, out: &mut Vec<Output>) {
        match message.body.clone() {
            Some(Body::RelayedFrame(relay)) => {
                let Some(frame) = relay.frame else { return };
                let from = message.from.parse().expect("names of the matrix are valid");
                self.on_shard(
                    now,
                    ShardEvent::RelayedFrame {
                        from,
                        frame,
                        hops: relay.hops,
                    },
                    out,
                );
            }
            Some(Body::FlowRecords(records)) => {
                self.on_shard(now, ShardEvent::FlowRecords(records.records), out);
            }
            _ => self.on_control(now, ControlEvent::PeerMessage(message), out),
        }
    }

    /// Passes an event to the shard and collects its actions.
    pub fn on_shard(&mut self, now: Micros, event: ShardEvent, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.shard.handle(self.local_time(now), event, &mut actions);
        for action in actions {
            match action {
                ShardAction::ReportObservation(observation) => {
                    self.on_control(
                        now,
                        ControlEvent::Observed {
                            shard: 0,
                            observation,
                        },
                        out,
                    );
                }
                ShardAction::Drained => self.is_drained = true,
                action => out.push(Output::Shard(action)),
            }
        }
    }

    /// Passes an event to the control plane and collects its actions.
    pub fn on_control(&mut self, now: Micros, event: ControlEvent, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.control
            .handle(self.local_time(now), event, &mut actions);
        for action in actions {
            match action {
                ControlAction::PublishView(view) => {
                    self.active_versions.push(view.document.version.0);
                    self.active_presets.push(view.document.preset.to_string());
                    self.on_shard(now, ShardEvent::View(view), out);
                }
                ControlAction::SetReady(is_ready) => self.is_ready = is_ready,
                ControlAction::Log(log) => self.on_log(&log),
                action => out.push(Output::Control(action)),
            }
        }
    }

    /// Returns a stored part of a document, as the gRPC service of an instance does.
    pub fn value(&self, hash: &ContentHash) -> Option<Vec<u8>> {
        self.control.value(hash).map(|value| value.to_vec())
    }

    /// Starts a graceful stop.
    pub fn stop(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.process_state = ProcessState::Stopping(now);
        self.on_control(now, ControlEvent::Stop, out);
        self.on_shard(now, ShardEvent::Stop, out);
    }

    /// Wraps a body in a message from this instance.
    pub fn message(&self, body: Body) -> PeerMessage {
        PeerMessage {
            from: self.name.to_string(),
            incarnation: self.incarnation.0,
            body: Some(body),
        }
    }

    // Each process has its own monotonic clock, so that confusing the clocks of two instances makes
    // a cell fail.
    fn local_time(&self, now: Micros) -> Micros {
        Micros(now.0 - self.started_at.0)
    }

    fn on_log(&self, log: &ControlLogEvent) {
        if std::env::var_os("MATRIX_LOG").is_some() {
            eprintln!("{}: {log:?}", self.name);
        }
    }
}
