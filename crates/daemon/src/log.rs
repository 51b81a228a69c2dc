//! JSON log lines with the fields `step` and `peer`.

use balance::event::{ControlLog, PeerChange, Source};
use conf::settings::{Level, Settings};
use slog::{Logger, info, o, warn};

/// Returns a logger to standard output, and the guard that writes the last lines when dropped.
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

/// Logs an event of the control part and returns its kind for the metrics.
pub fn control(log: &Logger, event: &ControlLog) -> &'static str {
    match event {
        ControlLog::InForce {
            version,
            root_hash,
            source,
        } => {
            info!(log, "document in force"; "step" => "document", "peer" => origin(source),
                "version" => version, "root_hash" => %root_hash);
            "document-in-force"
        }
        ControlLog::DocumentRefused { source, reason } => {
            warn!(log, "document refused"; "step" => "document", "peer" => origin(source),
                "reason" => reason);
            "document-refused"
        }
        ControlLog::ListRefused { reason } => {
            warn!(log, "instance list refused"; "step" => "membership", "peer" => "platform",
                "reason" => reason);
            "list-refused"
        }
        ControlLog::VersionConflict { version } => {
            warn!(log, "two documents claim one version"; "step" => "document",
                "version" => version);
            "version-conflict"
        }
        ControlLog::Stale { source, version } => {
            info!(log, "older document ignored"; "step" => "document", "peer" => origin(source),
                "version" => version);
            "document-stale"
        }
        ControlLog::Peer { name, change } => {
            info!(log, "peer changed"; "step" => "membership", "peer" => %name,
                "change" => change_name(*change));
            "peer-changed"
        }
        ControlLog::Paused { gap_ms } => {
            warn!(log, "process was not scheduled"; "step" => "lease", "gap" => %gap_ms);
            "paused"
        }
        ControlLog::Target { name, from, to } => {
            info!(log, "target changed"; "step" => "targets", "peer" => name, "from" => from,
                "to" => to);
            "target-changed"
        }
        ControlLog::Panic { service } => {
            warn!(log, "health reports distrusted"; "step" => "targets", "service" => service);
            "reports-distrusted"
        }
        ControlLog::Alert {
            rule,
            firing,
            notify,
        } => {
            warn!(log, "alert"; "step" => "alerts", "rule" => rule, "firing" => firing,
                "notify" => notify.join(","));
            "alert"
        }
    }
}

fn origin(source: &Source) -> String {
    match source {
        Source::Platform => "platform".to_owned(),
        Source::Peer(name) => name.to_string(),
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
