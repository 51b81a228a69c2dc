//! Command `pollenpin explain`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::Read as _;
use std::path::{Path, PathBuf};

use serde_json::Value;
use steer::Revision;

use crate::read_file;
use crate::report::{Error, ExitStatus, Report, Result};

/// File argument that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// A log line with its sort key.
#[derive(Debug)]
struct LogLine {
    /// Revision of the view that the instance had. All instances share revisions, so they order
    /// lines of instances whose clocks differ.
    revision: Revision,
    time: String,
    value: Value,
}

/// Prints the history of one flow from the log lines of any number of daemons.
pub fn run(flow: &str, files: &[PathBuf]) -> Result<Report> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(parse_lines(&read_input(file)?));
    }
    if files.is_empty() {
        lines.extend(parse_lines(&read_input(Path::new(STANDARD_INPUT))?));
    }
    let selected = select_lines(flow, lines);
    let mut text = String::new();
    for line in &selected {
        let _ = writeln!(text, "{}", format_line(line));
    }
    if selected.is_empty() {
        let _ = writeln!(
            text,
            "no line names {flow}; the log line limit may have dropped its lines"
        );
    }
    let exit_status = if selected.is_empty() {
        ExitStatus::Findings
    } else {
        ExitStatus::Success
    };
    let values: Vec<&Value> = selected.iter().map(|line| &line.value).collect();
    Report::new(text, &values, exit_status)
}

fn read_input(file: &Path) -> Result<String> {
    if file != Path::new(STANDARD_INPUT) {
        return read_file(file);
    }
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .map_err(|source| Error::Read {
            file: "standard input".to_owned(),
            source,
        })?;
    Ok(text)
}

/// Parses the lines of one file. Skips a prefix before the JSON object, which log collectors add,
/// and lines that are not JSON.
fn parse_lines(text: &str) -> Vec<LogLine> {
    let mut revisions: BTreeMap<String, Revision> = BTreeMap::new();
    text.lines()
        .filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok())
        .map(|value: Value| {
            let revision = revisions
                .entry(string_field(&value, "instance"))
                .or_default();
            // Daemons that do not know the epoch write none.
            if let Some(epoch) = value["epoch"].as_u64() {
                revision.epoch = epoch;
            }
            if let Some(number) = value["revision"].as_u64() {
                revision.number = number;
            }
            LogLine {
                revision: *revision,
                time: string_field(&value, "ts"),
                value,
            }
        })
        .collect()
}

/// Selects the lines of a flow and those of the same instances about the targets of the flow, in
/// order of revision and time.
fn select_lines(flow: &str, mut lines: Vec<LogLine>) -> Vec<LogLine> {
    let is_of_flow = |line: &LogLine| string_field(&line.value, "flow").contains(flow);
    let instances: BTreeSet<String> = lines
        .iter()
        .filter(|line| is_of_flow(line))
        .map(|line| string_field(&line.value, "instance"))
        .collect();
    let targets: BTreeSet<String> = lines
        .iter()
        .filter(|line| is_of_flow(line))
        .map(|line| string_field(&line.value, "target"))
        .filter(|target| !target.is_empty())
        .collect();
    lines.retain(|line| {
        let is_of_target = line.value["flow"].is_null()
            && targets.contains(&string_field(&line.value, "target"))
            && instances.contains(&string_field(&line.value, "instance"));
        is_of_flow(line) || is_of_target
    });
    lines.sort_by(|left, right| (left.revision, &left.time).cmp(&(right.revision, &right.time)));
    lines
}

fn format_line(line: &LogLine) -> String {
    let mut text = format!(
        "{} revision {} {}: {}",
        line.time,
        line.revision,
        string_field(&line.value, "instance"),
        string_field(&line.value, "msg"),
    );
    let known = [
        "ts", "level", "msg", "instance", "domain", "epoch", "revision",
    ];
    let fields = line.value.as_object().into_iter().flatten();
    for (name, value) in fields.filter(|(name, _)| !known.contains(&name.as_str())) {
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        let _ = write!(text, ", {name} {value}");
    }
    text
}

fn string_field(value: &Value, name: &str) -> String {
    value[name].as_str().unwrap_or_default().to_owned()
}
