//! Structured JSON logging; events carry the fields `step` and `peer`.

use balance::event::{ControlLogEvent, DocumentSource, PeerChange};
use conf::settings::{Level, Settings};
use slog::{Logger, info, o, warn};

/// Creates a logger to standard output. Dropping the guard flushes the remaining lines.
pub fn logger(settings: &Settings) -> (Logger, logs::AsyncGuard) {
    let level = match settings.log.level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    };
    let values = o!(
        "instance" => settings.instance.name.to_string(),
        "domain" => settings.instance.domain.to_string(),
    );
    logs::logger(level, values)
}

/// Logs an event of the control plane and returns its `kind` label for the metrics.
pub fn log_control_event(log: &Logger, event: &ControlLogEvent) -> &'static str {
    match event {
        ControlLogEvent::DocumentActivated {
            version,
            root_hash,
            source,
        } => {
            info!(log, "document in force"; "step" => "document",
                "peer" => source_name(source), "version" => version, "root_hash" => %root_hash);
            "document-in-force"
        }
        ControlLogEvent::DocumentRejected { source, reason } => {
            warn!(log, "document refused"; "step" => "document",
                "peer" => source_name(source), "reason" => reason);
            "document-refused"
        }
        ControlLogEvent::InstanceListRejected { reason } => {
            warn!(log, "instance list refused"; "step" => "membership", "peer" => "platform",
                "reason" => reason);
            "list-refused"
        }
        ControlLogEvent::VersionConflict { version } => {
            warn!(log, "two documents claim one version"; "step" => "document",
                "version" => version);
            "version-conflict"
        }
        ControlLogEvent::StaleDocumentIgnored { source, version } => {
            info!(log, "older document ignored"; "step" => "document",
                "peer" => source_name(source), "version" => version);
            "document-stale"
        }
        ControlLogEvent::PeerChanged { name, change } => {
            info!(log, "peer changed"; "step" => "membership", "peer" => %name,
                "change" => change_name(*change));
            "peer-changed"
        }
        ControlLogEvent::ProcessPaused { gap_ms } => {
            warn!(log, "process was not scheduled"; "step" => "lease", "gap" => %gap_ms);
            "paused"
        }
        ControlLogEvent::TargetStateChanged { name, from, to } => {
            info!(log, "target changed"; "step" => "targets", "peer" => name, "from" => from,
                "to" => to);
            "target-changed"
        }
        ControlLogEvent::PanicModeEntered { service } => {
            warn!(log, "health reports distrusted"; "step" => "targets", "service" => service);
            "reports-distrusted"
        }
        ControlLogEvent::AlertChanged {
            rule,
            is_firing,
            notify,
        } => {
            warn!(log, "alert"; "step" => "alerts", "rule" => rule, "firing" => is_firing,
                "notify" => notify.join(","));
            "alert"
        }
    }
}

fn source_name(source: &DocumentSource) -> String {
    match source {
        DocumentSource::Platform => "platform".to_owned(),
        DocumentSource::Peer(name) => name.to_string(),
    }
}

fn change_name(change: PeerChange) -> String {
    match change {
        PeerChange::Reachable => "reachable".to_owned(),
        PeerChange::Suspect => "suspect".to_owned(),
        PeerChange::Unreachable => "unreachable".to_owned(),
        PeerChange::Restarted => "restarted".to_owned(),
        PeerChange::State(state) => format!("{state:?}").to_lowercase(),
    }
}
