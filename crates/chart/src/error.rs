//! Errors of reading a state chart.

use std::fmt;

use displaydoc::Display;

/// One problem of a chart file.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Problem {
    /// {file}:{line}: expected a section header, got {text:?}
    MalformedHeader {
        /// Name of the chart file.
        file: String,
        /// Line, counted from one.
        line: u32,
        /// The line refused.
        text: String,
    },
    /// {file}:{line}: expected "event = state", got {text:?}
    MalformedLine {
        /// Name of the chart file.
        file: String,
        /// Line, counted from one.
        line: u32,
        /// The line refused.
        text: String,
    },
    /// {file}:{line}: unknown {kind} {name:?}, expected one of {expected}
    UnknownName {
        /// Name of the chart file.
        file: String,
        /// Line, counted from one.
        line: u32,
        /// What the name stands for.
        kind: &'static str,
        /// The name refused.
        name: String,
        /// The names known.
        expected: String,
    },
    /// {file}:{line}: {kind} {name:?} is given twice, first on line {first}
    Duplicate {
        /// Name of the chart file.
        file: String,
        /// Line, counted from one.
        line: u32,
        /// What is given twice.
        kind: &'static str,
        /// Its name.
        name: String,
        /// Line of its first use.
        first: u32,
    },
    /// {file}:{line}: state {name:?} cannot be reached from the start state
    UnreachableState {
        /// Name of the chart file.
        file: String,
        /// Line of the state's section.
        line: u32,
        /// The state.
        name: String,
    },
    /// {file}: no section for {name:?}
    MissingSection {
        /// Name of the chart file.
        file: String,
        /// The section that is missing.
        name: String,
    },
    /// {file}: section "chart" states no start state
    MissingStart {
        /// Name of the chart file.
        file: String,
    },
}

/// All problems of one chart file, in the order in which they were found.
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

/// Result of reading a chart.
pub type Result<T> = std::result::Result<T, Error>;
