//! `pollenpin explain`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::Read as _;
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::read;
use crate::report::{Code, Error, Report, Result};

/// Name of standard input among the files.
const STANDARD_INPUT: &str = "-";

/// A log line with its place in the story.
#[derive(Debug)]
struct Line {
    /// Revision of the view that the instance had, known to all instances. It orders lines of
    /// instances whose clocks differ.
    revision: u64,
    time: String,
    value: Value,
}

/// Prints the story of one flow from the log lines of any number of daemons.
pub fn run(flow: &str, files: &[PathBuf]) -> Result<Report> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(parse(&text_of(file)?));
    }
    if files.is_empty() {
        lines.extend(parse(&text_of(Path::new(STANDARD_INPUT))?));
    }
    let story = story(flow, lines);
    let mut text = String::new();
    for line in &story {
        let _ = writeln!(text, "{}", describe(line));
    }
    if story.is_empty() {
        let _ = writeln!(
            text,
            "no line names {flow}; it may be beyond the budget of lines"
        );
    }
    let code = if story.is_empty() {
        Code::Findings
    } else {
        Code::Fine
    };
    let values: Vec<&Value> = story.iter().map(|line| &line.value).collect();
    Report::new(text, &values, code)
}

fn text_of(file: &Path) -> Result<String> {
    if file != Path::new(STANDARD_INPUT) {
        return read(file);
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

/// Parses the lines of one file. What stands before the brace is the collector's, and lines that
/// are no JSON are another program's.
fn parse(text: &str) -> Vec<Line> {
    let mut revisions: BTreeMap<String, u64> = BTreeMap::new();
    text.lines()
        .filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok())
        .map(|value: Value| {
            let revision = revisions.entry(field(&value, "instance")).or_default();
            if let Some(told) = value["revision"].as_u64() {
                *revision = told;
            }
            Line {
                revision: *revision,
                time: field(&value, "ts"),
                value,
            }
        })
        .collect()
}

/// Selects the lines of a flow, and what the same instances then noticed of its targets.
fn story(flow: &str, mut lines: Vec<Line>) -> Vec<Line> {
    let is_of_flow = |line: &Line| field(&line.value, "flow").contains(flow);
    let instances: BTreeSet<String> = lines
        .iter()
        .filter(|line| is_of_flow(line))
        .map(|line| field(&line.value, "instance"))
        .collect();
    let targets: BTreeSet<String> = lines
        .iter()
        .filter(|line| is_of_flow(line))
        .map(|line| field(&line.value, "target"))
        .filter(|target| !target.is_empty())
        .collect();
    lines.retain(|line| {
        let is_of_target = line.value["flow"].is_null()
            && targets.contains(&field(&line.value, "target"))
            && instances.contains(&field(&line.value, "instance"));
        is_of_flow(line) || is_of_target
    });
    lines.sort_by(|left, right| (left.revision, &left.time).cmp(&(right.revision, &right.time)));
    lines
}

fn describe(line: &Line) -> String {
    let mut text = format!(
        "{} revision {} {}: {}",
        line.time,
        line.revision,
        field(&line.value, "instance"),
        field(&line.value, "msg"),
    );
    let known = ["ts", "level", "msg", "instance", "domain", "revision"];
    let fields = line.value.as_object().into_iter().flatten();
    for (name, value) in fields.filter(|(name, _)| !known.contains(&name.as_str())) {
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        let _ = write!(text, ", {name} {value}");
    }
    text
}

fn field(value: &Value, name: &str) -> String {
    value[name].as_str().unwrap_or_default().to_owned()
}
