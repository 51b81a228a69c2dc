//! Command `pollenpin diff`.

use std::path::Path;

use conf::diff::{Change, changes};
use serde::Serialize;

use crate::args::Baseline;
use crate::configuration;
use crate::placement::{MovedFlows, estimate_moved_flows};
use crate::report::{Error, ExitStatus, Report, Result};
use crate::table::Table;
use crate::{read_document, read_file};

#[derive(Debug, Serialize)]
struct DocumentDiff {
    warnings: Vec<Change>,
    changes: Vec<Change>,
    moved: Vec<MovedFlows>,
}

/// Compares two documents of the first protocol, or two configurations of steering daemons.
pub fn run(old: &Baseline, new: &Path, wait_ms: u64) -> Result<Report> {
    let is_configuration = platform::is_draft(&read_file(new)?);
    match old {
        Baseline::Instance(address) if is_configuration => {
            configuration::diff_instance(*address, new, wait_ms)
        }
        Baseline::Instance(_) => Err(Error::NoConfiguration(new.display().to_string())),
        Baseline::File(old) if is_configuration || platform::is_draft(&read_file(old)?) => {
            configuration::diff_files(old, new)
        }
        Baseline::File(old) => diff_documents(old, new),
    }
}

/// Compares two documents and estimates the flows that move to another target.
fn diff_documents(old: &Path, new: &Path) -> Result<Report> {
    let (old, new) = (read_document(old)?, read_document(new)?);
    let (warnings, changes) = changes(&old, &new)
        .into_iter()
        .partition(Change::is_warning);
    let diff = DocumentDiff {
        warnings,
        changes,
        moved: estimate_moved_flows(&old, &new),
    };
    let exit_status = if diff.warnings.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::Findings
    };
    Report::new(render(&diff), &diff, exit_status)
}

fn render(diff: &DocumentDiff) -> String {
    if diff.warnings.is_empty() && diff.changes.is_empty() {
        return "no changes\n".to_owned();
    }
    let mut table = Table::new(&["KIND", "WHAT"]);
    for change in &diff.warnings {
        table.add_row(&[&"warning", change]);
    }
    for change in &diff.changes {
        table.add_row(&[&"change", change]);
    }
    let mut text = table.render();
    if !diff.moved.is_empty() {
        let mut table = Table::new(&["SERVICE", "FLOWS PLACED ELSEWHERE"]);
        for moved in &diff.moved {
            let (whole, tenth) = (moved.permille / 10, moved.permille % 10);
            table.add_row(&[&moved.service, &format!("about {whole}.{tenth}%")]);
        }
        text.push('\n');
        text.push_str(&table.render());
    }
    text
}
