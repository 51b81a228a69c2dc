//! `pollenpin steering`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use steer::status::Status;

use crate::ask::{Answer, ask_all, code, findings_of_unreached};
use crate::report::{Report, Result};
use crate::table::Table;

/// Age of a view from which it is a finding: several waits of a watch.
const OLD_VIEW_MS: u64 = 15_000;

#[derive(Debug, Serialize)]
struct Overview {
    instances: Vec<Answer<Status>>,
    findings: Vec<String>,
}

/// Asks steering daemons what they believe.
pub fn run(addresses: &[SocketAddr], wait_ms: u64) -> Result<Report> {
    let instances: Vec<Answer<Status>> = ask_all(addresses, Duration::from_millis(wait_ms))?;
    let mut findings = findings_of_unreached(&instances);
    let reached = || instances.iter().filter_map(|answer| answer.status.as_ref());
    let newest = reached().map(|status| status.beliefs.version).max();
    for status in reached() {
        findings.extend(findings_of(status, newest.unwrap_or_default()));
    }
    let code = code(&instances, &findings);
    let text = render(&instances, &findings);
    Report::new(
        text,
        &Overview {
            instances,
            findings,
        },
        code,
    )
}

fn findings_of(status: &Status, newest: u64) -> Vec<String> {
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
    if status.view_age_ms.0 > OLD_VIEW_MS {
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

fn render(instances: &[Answer<Status>], findings: &[String]) -> String {
    let mut targets = Table::new(&[
        "INSTANCE", "SERVICE", "TARGET", "DOMAIN", "STANDING", "AVOIDED", "WAITING", "FLOWS",
    ]);
    for status in instances.iter().filter_map(|answer| answer.status.as_ref()) {
        for target in &status.beliefs.targets {
            targets.row(&[
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
