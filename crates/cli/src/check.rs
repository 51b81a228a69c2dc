//! Command `pollenpin check`.

use std::fmt;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use conf::{Problem, Settings, document, instances};
use serde::Serialize;

use crate::args::FileKind;
use crate::configuration::{self, FileFinding};
use crate::read_file;
use crate::report::{ExitStatus, Report, Result};

/// Result of checking one file.
#[derive(Debug, Serialize)]
struct FileCheck {
    file: String,
    kind: Option<&'static str>,
    problems: Vec<FileProblem>,
}

/// A problem in the terms of the kind of the file.
#[derive(Debug, Serialize)]
#[serde(untagged)]
enum FileProblem {
    Line(Problem),
    Field(FileFinding),
}

impl fmt::Display for FileProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Line(problem) => problem.fmt(f),
            Self::Field(finding) => finding.fmt(f),
        }
    }
}

/// Checks files and reports every problem.
pub fn run(files: &[PathBuf], kind: Option<FileKind>) -> Result<Report> {
    let checked: Result<Vec<_>> = files.iter().map(|file| check_file(file, kind)).collect();
    let checked = checked?;
    let mut text = String::new();
    for file in &checked {
        for problem in &file.problems {
            let _ = writeln!(text, "{problem}");
        }
        let kind = file.kind.unwrap_or("unknown kind");
        let _ = match file.problems.len() {
            0 => writeln!(text, "{}: {kind}, fine", file.file),
            1 => writeln!(text, "{}: {kind}, 1 problem", file.file),
            count => writeln!(text, "{}: {kind}, {count} problems", file.file),
        };
    }
    let has_no_problems = checked.iter().all(|file| file.problems.is_empty());
    let exit_status = if has_no_problems {
        ExitStatus::Success
    } else {
        ExitStatus::Findings
    };
    Report::new(text, &checked, exit_status)
}

fn check_file(path: &Path, kind: Option<FileKind>) -> Result<FileCheck> {
    let text = read_file(path)?;
    let file = path.display().to_string();
    let is_toml = path
        .extension()
        .is_some_and(|extension| extension == "toml");
    let by_extension = is_toml.then_some(FileKind::Steering);
    let Some(kind) = kind.or(by_extension).or_else(|| detect_kind(&text)) else {
        let problem = Problem {
            file: file.clone(),
            line: 1,
            section: String::new(),
            key: String::new(),
            value: None,
            expected:
                "a section instance, document or instance.<name>, a JSON object with version \
                       and routes, or --kind"
                    .to_owned(),
        };
        return Ok(FileCheck {
            file,
            kind: None,
            problems: vec![FileProblem::Line(problem)],
        });
    };
    let (name, outcome) = match kind {
        FileKind::Settings => ("settings", Settings::parse(&file, &text).map(drop)),
        FileKind::Document => ("document", document::parse(&file, &text).map(drop)),
        FileKind::Instances => ("instance list", instances::parse(&file, &text).map(drop)),
        FileKind::Steering => ("steering settings", check_steering(&file, &text)),
        FileKind::Configuration => {
            let findings = configuration::check(&file, &text).into_iter();
            return Ok(FileCheck {
                file,
                kind: Some("configuration"),
                problems: findings.map(FileProblem::Field).collect(),
            });
        }
    };
    let problems = match outcome {
        Ok(()) => Vec::new(),
        Err(conf::Error::Invalid(problems)) => {
            problems.0.into_iter().map(FileProblem::Line).collect()
        }
        Err(other) => return Err(other.into()),
    };
    Ok(FileCheck {
        file,
        kind: Some(name),
        problems,
    })
}

/// Checks settings in the platform's format. Its parser stops at the first problem and gives no
/// position.
fn check_steering(file: &str, text: &str) -> conf::Result<()> {
    platform::Settings::parse(text)
        .map(drop)
        .map_err(|expected| {
            conf::Error::Invalid(conf::Problems(vec![Problem {
                file: file.to_owned(),
                line: 1,
                section: String::new(),
                key: String::new(),
                value: None,
                expected,
            }]))
        })
}

/// Detects the kind of a file from its first section header that is specific to one kind. A JSON
/// object has no sections.
fn detect_kind(text: &str) -> Option<FileKind> {
    if platform::is_draft(text) {
        return Some(FileKind::Configuration);
    }
    text.lines().find_map(|line| {
        let section = line.trim().strip_prefix('[')?.strip_suffix(']')?.trim();
        let (head, rest) = section.split_once('.').unwrap_or((section, ""));
        match head {
            "instance" if rest.is_empty() => Some(FileKind::Settings),
            "instance" => Some(FileKind::Instances),
            "listen" | "platform" | "secret" | "limits" | "log" | "trace" => {
                Some(FileKind::Settings)
            }
            "document" | "service" | "class" | "target" | "preset" => Some(FileKind::Document),
            _ => None,
        }
    })
}
