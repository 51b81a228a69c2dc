//! Checks and compares configurations of steering daemons, in the platform's format.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use platform::{DecodeProblem, decode_draft, name_of_place};
use serde::Serialize;
use steer::document_check::{self, Draft, Finding, Severity, Side};
use steer::status::Status;

use crate::read_file;
use crate::report::{ExitStatus, Report, Result};
use crate::status_client::fetch_statuses;
use crate::table::Table;

/// A finding as it is shown.
#[derive(Debug, Serialize)]
pub struct FileFinding {
    /// File that has the field.
    file: String,
    /// Place in the file; empty if the whole file is meant.
    field: String,
    /// `error`, `warning` or `change`.
    severity: String,
    /// What is found.
    message: String,
}

impl FileFinding {
    fn new(file: &str, finding: &Finding) -> Self {
        Self {
            file: file.to_owned(),
            field: name_of_place(&finding.place),
            severity: finding.problem.severity().to_string(),
            message: finding.problem.to_string(),
        }
    }

    fn undecodable(file: &str, problem: DecodeProblem) -> Self {
        Self {
            file: file.to_owned(),
            field: problem.field,
            severity: Severity::Error.to_string(),
            message: problem.message,
        }
    }
}

impl fmt::Display for FileFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: ", self.file, self.severity)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

/// Checks one configuration.
pub fn check(file: &str, text: &str) -> Vec<FileFinding> {
    let draft = match decode(file, text) {
        Ok(draft) => draft,
        Err(findings) => return findings,
    };
    let findings = document_check::check(&draft);
    let shown = findings.iter();
    shown
        .map(|finding| FileFinding::new(file, finding))
        .collect()
}

fn decode(file: &str, text: &str) -> std::result::Result<Draft, Vec<FileFinding>> {
    decode_draft(text).map_err(|problems| {
        let problems = problems.into_iter();
        problems
            .map(|problem| FileFinding::undecodable(file, problem))
            .collect()
    })
}

#[derive(Debug, Default, Serialize)]
struct ConfigurationDiff {
    /// `configurations`, `versions`, or `nothing` if one side could not be had.
    compared: &'static str,
    findings: Vec<FileFinding>,
    changes: Vec<FileFinding>,
}

/// Compares a new configuration with the one in a file.
pub fn diff_files(old: &Path, new: &Path) -> Result<Report> {
    let old_file = old.display().to_string();
    let new_file = new.display().to_string();
    let old_draft = decode(&old_file, &read_file(old)?);
    let new_draft = decode(&new_file, &read_file(new)?);
    let (old_draft, new_draft) = match (old_draft, new_draft) {
        (Ok(old_draft), Ok(new_draft)) => (old_draft, new_draft),
        (old_draft, new_draft) => {
            let findings = [old_draft.err(), new_draft.err()];
            return undecodable(findings.into_iter().flatten().flatten().collect());
        }
    };
    let mut diff = ConfigurationDiff {
        compared: "configurations",
        ..ConfigurationDiff::default()
    };
    for finding in document_check::compare(&old_draft, &new_draft) {
        let file = match finding.side {
            Side::Old => &old_file,
            Side::New => &new_file,
        };
        diff.add(file, &finding);
    }
    diff.report(String::new(), None)
}

/// Compares the version of a new configuration with the one in force on an instance.
pub fn diff_instance(address: SocketAddr, new: &Path, wait_ms: u64) -> Result<Report> {
    let file = new.display().to_string();
    let draft = match decode(&file, &read_file(new)?) {
        Ok(draft) => draft,
        Err(findings) => return undecodable(findings),
    };
    let mut diff = ConfigurationDiff {
        compared: "nothing",
        ..ConfigurationDiff::default()
    };
    let responses = fetch_statuses::<Status>(&[address], Duration::from_millis(wait_ms))?;
    for response in responses {
        let Some(status) = response.status else {
            let error = response.error.as_deref().unwrap_or("no status");
            diff.findings.push(FileFinding {
                file: address.to_string(),
                field: String::new(),
                severity: Severity::Error.to_string(),
                message: format!("cannot be reached: {error}"),
            });
            return diff.report(String::new(), Some(ExitStatus::Unreachable));
        };
        diff.compared = "versions";
        let version = status.beliefs.version;
        let finding = document_check::compare_versions(version, draft.version);
        diff.add(&file, &finding);
    }
    let note = format!(
        "only versions are compared: {address} does not tell the rest of its configuration\n"
    );
    diff.report(note, None)
}

fn undecodable(findings: Vec<FileFinding>) -> Result<Report> {
    let diff = ConfigurationDiff {
        compared: "nothing",
        findings,
        changes: Vec::new(),
    };
    diff.report(String::new(), None)
}

impl ConfigurationDiff {
    fn add(&mut self, file: &str, finding: &Finding) {
        let list = match finding.problem.severity() {
            Severity::Change => &mut self.changes,
            Severity::Error | Severity::Warning => &mut self.findings,
        };
        list.push(FileFinding::new(file, finding));
    }

    fn report(&self, note: String, exit_status: Option<ExitStatus>) -> Result<Report> {
        let by_findings = match self.findings.is_empty() {
            true => ExitStatus::Success,
            false => ExitStatus::Findings,
        };
        let mut table = Table::new(&["KIND", "FILE", "FIELD", "WHAT"]);
        for finding in self.findings.iter().chain(&self.changes) {
            table.add_row(&[
                &finding.severity,
                &finding.file,
                &finding.field,
                &finding.message,
            ]);
        }
        let text = note + &table.render();
        Report::new(text, self, exit_status.unwrap_or(by_findings))
    }
}
