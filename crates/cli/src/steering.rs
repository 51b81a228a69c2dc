//! Command `pollenpin steering`.

use std::collections::BTreeSet;
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
    let evacuated: BTreeSet<&str> = reachable()
        .flat_map(|status| &status.beliefs.evacuated_domains)
        .map(|domain| domain.as_str())
        .collect();
    for status in reachable() {
        findings.extend(instance_findings(status, newest.unwrap_or_default()));
        findings.extend(evacuation_findings(status, &evacuated));
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

/// Returns the failure domains that another instance evacuates and this one does not. The
/// evacuation as such is intended.
fn evacuation_findings(status: &Status, evacuated: &BTreeSet<&str>) -> Vec<String> {
    let own = &status.beliefs.evacuated_domains;
    evacuated
        .iter()
        .filter(|domain| !own.iter().any(|name| name == **domain))
        .map(|domain| {
            let name = &status.instance;
            format!("{name} does not evacuate {domain}, another does")
        })
        .collect()
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
    for status in instances
        .iter()
        .filter_map(|response| response.status.as_ref())
    {
        let name = &status.instance;
        for balance in &status.beliefs.balance {
            let ratio = f64::from(balance.busiest_over_mean_milli) / 1_000.0;
            let service = &balance.service;
            text.push_str(&format!(
                "{name}: busiest target of {service} in {} has {ratio:.2} of the mean busy time\n",
                status.domain
            ));
        }
        let evacuated = &status.beliefs.evacuated_domains;
        if !evacuated.is_empty() {
            text.push_str(&format!("{name} evacuates {}\n", evacuated.join(", ")));
        }
    }
    for finding in findings {
        text.push_str(finding);
        text.push('\n');
    }
    text
}
