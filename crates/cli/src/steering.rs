//! Command `pollenpin steering`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use steer::status::Status;

use crate::report::{Report, Result};
use crate::status_client::{StatusResponse, exit_status, fetch_statuses, unreachable_findings};
use crate::table::Table;

/// Age above which a view is a finding; several times the wait of a watch request.
const MAX_VIEW_AGE_MS: u64 = 15_000;

#[derive(Debug, Serialize)]
struct Overview {
    instances: Vec<StatusResponse<Status>>,
    findings: Vec<String>,
}

/// Fetches and prints the state that steering daemons assume of their targets.
pub fn run(addresses: &[SocketAddr], wait_ms: u64) -> Result<Report> {
    let instances: Vec<StatusResponse<Status>> =
        fetch_statuses(addresses, Duration::from_millis(wait_ms))?;
    let mut findings = unreachable_findings(&instances);
    let reachable = || {
        instances
            .iter()
            .filter_map(|response| response.status.as_ref())
    };
    let newest = reachable().map(|status| status.beliefs.version).max();
    for status in reachable() {
        findings.extend(instance_findings(status, newest.unwrap_or_default()));
    }
    let exit_status = exit_status(&instances, &findings);
    let text = render(&instances, &findings);
    Report::new(
        text,
        &Overview {
            instances,
            findings,
        },
        exit_status,
    )
}

fn instance_findings(status: &Status, newest: u64) -> Vec<String> {
    let name = &status.instance;
    let mut findings = Vec::new();
    if !status.is_ready {
        findings.push(format!("{name} is not ready"));
    }
    if status.beliefs.version < newest {
        let version = status.beliefs.version;
        findings.push(format!(
            "{name} has version {version}, another has {newest}"
        ));
    }
    if status.view_age_ms.0 > MAX_VIEW_AGE_MS {
        findings.push(format!("{name} has a view of {}", status.view_age_ms));
    }
    for target in status
        .beliefs
        .targets
        .iter()
        .filter(|target| target.is_avoided)
    {
        findings.push(format!("{name} avoids {} of {}", target.id, target.service));
    }
    findings
}

fn render(instances: &[StatusResponse<Status>], findings: &[String]) -> String {
    let mut targets = Table::new(&[
        "INSTANCE", "SERVICE", "TARGET", "DOMAIN", "STANDING", "AVOIDED", "WAITING", "FLOWS",
    ]);
    for status in instances
        .iter()
        .filter_map(|response| response.status.as_ref())
    {
        for target in &status.beliefs.targets {
            targets.add_row(&[
                &status.instance,
                &target.service,
                &target.id,
                &target.domain,
                &target.standing,
                &if target.is_avoided { "yes" } else { "no" },
                &target.waiting,
                &target.flows,
            ]);
        }
    }
    let mut text = targets.render();
    for finding in findings {
        text.push_str(finding);
        text.push('\n');
    }
    text
}
