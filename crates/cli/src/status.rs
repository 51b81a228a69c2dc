//! Command `pollenpin status`.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use conf::status::{Reachability, Status};
use serde::Serialize;

use crate::report::{Report, Result};
use crate::status_client::{StatusResponse, exit_status, fetch_statuses, unreachable_findings};
use crate::table::Table;

#[derive(Debug, Serialize)]
struct Overview {
    instances: Vec<StatusResponse<Status>>,
    findings: Vec<String>,
}

/// Fetches and prints the status of instances.
pub fn run(addresses: &[SocketAddr], details: bool, wait_ms: u64) -> Result<Report> {
    let instances = fetch_statuses(addresses, Duration::from_millis(wait_ms))?;
    let findings = findings(&instances);
    let exit_status = exit_status(&instances, &findings);
    let overview = Overview {
        instances,
        findings,
    };
    Report::new(render(&overview, details), &overview, exit_status)
}

fn findings(responses: &[StatusResponse<Status>]) -> Vec<String> {
    let mut findings = unreachable_findings(responses);
    let reachable = || {
        responses
            .iter()
            .filter_map(|response| response.status.as_ref())
    };
    findings.extend(reachable().flat_map(instance_findings));
    let newest = reachable().max_by_key(|status| (status.version, status.root_hash));
    for status in reachable() {
        let Some(newest) = newest else { break };
        if (status.version, status.root_hash) != (newest.version, newest.root_hash) {
            findings.push(format!(
                "{} has version {}, {} has {}",
                status.instance,
                or_none(status.version),
                newest.instance,
                or_none(newest.version)
            ));
        }
    }
    findings
}

fn instance_findings(status: &Status) -> Vec<String> {
    let name = &status.instance;
    let mut findings = Vec::new();
    if !status.ready {
        findings.push(format!("{name} is not ready ({})", status.state));
    }
    if status.version_conflicts > 0 {
        let count = status.version_conflicts;
        findings.push(format!("{name} saw {count} version conflicts"));
    }
    for peer in status
        .peers
        .iter()
        .filter(|peer| peer.reach != Reachability::Reachable)
    {
        findings.push(format!("{name} sees peer {} as {}", peer.name, peer.reach));
    }
    findings
}

fn or_none(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}

fn render(overview: &Overview, details: bool) -> String {
    let mut table = Table::new(&[
        "INSTANCE",
        "DOMAIN",
        "STATE",
        "READY",
        "VERSION",
        "PRESET",
        "ROOT",
        "STALE",
        "FLOWS",
        "QUEUED",
        "IN FLIGHT",
        "TARGETS",
    ]);
    for response in &overview.instances {
        let Some(status) = &response.status else {
            table.add_row(&[&response.address, &"-", &"unreachable"]);
            continue;
        };
        let is_serving = |state: &str| state == "serving";
        let serving = status
            .targets
            .iter()
            .filter(|target| is_serving(&target.state));
        let root = or_none(status.root_hash);
        table.add_row(&[
            &status.instance,
            &status.domain,
            &status.state,
            &if status.ready { "yes" } else { "no" },
            &or_none(status.version),
            &or_none(status.preset.as_ref()),
            // Eight hexadecimal digits are enough to distinguish documents.
            &root.get(..8).unwrap_or(&root),
            &status.staleness_ms,
            &status.flows,
            &status.queued,
            &status.in_flight,
            &format!("{}/{} serving", serving.count(), status.targets.len()),
        ]);
    }
    let mut text = table.render();
    if details {
        for status in overview
            .instances
            .iter()
            .filter_map(|response| response.status.as_ref())
        {
            text.push_str(&render_details(status));
        }
    }
    if !overview.findings.is_empty() {
        text.push_str("\nfindings:\n");
    }
    for finding in &overview.findings {
        let _ = writeln!(text, "  {finding}");
    }
    text
}

fn render_details(status: &Status) -> String {
    let mut targets = Table::new(&["SERVICE", "TARGET", "STATE", "IN FLIGHT", "FLOWS"]);
    for target in &status.targets {
        targets.add_row(&[
            &target.service,
            &target.name,
            &target.state,
            &target.in_flight,
            &target.flows,
        ]);
    }
    let mut peers = Table::new(&["PEER", "DOMAIN", "STATE", "REACH", "VERSION"]);
    for peer in &status.peers {
        peers.add_row(&[
            &peer.name,
            &peer.domain,
            &or_none(peer.state),
            &peer.reach,
            &or_none(peer.version),
        ]);
    }
    let name = &status.instance;
    format!(
        "\ntargets of {name}:\n{}\npeers of {name}:\n{}",
        targets.render(),
        peers.render()
    )
}
