//! Errors returned when parsing a state chart.

use std::fmt;

use displaydoc::Display;

/// A problem in a chart file.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Problem {
    /// {file}:{line}: expected a section header, got {text:?}
    MalformedHeader {
        /// Name of the chart file.
        file: String,
        /// Line number, starting at one.
        line: u32,
        /// The rejected line.
        text: String,
    },
    /// {file}:{line}: expected "event = state", got {text:?}
    MalformedLine {
        /// Name of the chart file.
        file: String,
        /// Line number, starting at one.
        line: u32,
        /// The rejected line.
        text: String,
    },
    /// {file}:{line}: unknown {kind} {name:?}, expected one of {expected}
    UnknownName {
        /// Name of the chart file.
        file: String,
        /// Line number, starting at one.
        line: u32,
        /// Kind of name, such as "state".
        kind: &'static str,
        /// The unknown name.
        name: String,
        /// The valid names.
        expected: String,
    },
    /// {file}:{line}: duplicate {kind} {name:?}, first defined on line {first}
    Duplicate {
        /// Name of the chart file.
        file: String,
        /// Line number, starting at one.
        line: u32,
        /// Kind of the duplicate, such as "event".
        kind: &'static str,
        /// Name of the duplicate.
        name: String,
        /// Line of the first definition.
        first: u32,
    },
    /// {file}:{line}: state {name:?} cannot be reached from the start state
    UnreachableState {
        /// Name of the chart file.
        file: String,
        /// Line of the state's section header.
        line: u32,
        /// Name of the state.
        name: String,
    },
    /// {file}: no section for {name:?}
    MissingSection {
        /// Name of the chart file.
        file: String,
        /// Name of the missing section.
        name: String,
    },
    /// {file}: section "chart" has no key "start"
    MissingStart {
        /// Name of the chart file.
        file: String,
    },
}

/// All problems of a chart file, in the order in which they were found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The problems; never empty.
    pub problems: Vec<Problem>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

/// Result of parsing a chart.
pub type Result<T> = std::result::Result<T, Error>;
