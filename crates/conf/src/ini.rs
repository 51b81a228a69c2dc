//! INI reader for settings, documents and instance lists, which reports problems with their lines.

use std::collections::HashMap;

use ini_core::{Item, Parser};

use crate::error::{Error, Problem, Problems, Result};

/// A line of a section.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry<'a> {
    /// Text before the first `=`, or the whole line if it has none.
    pub key: &'a str,
    /// Text after the first `=`, if there is one.
    pub value: Option<&'a str>,
    /// Line number, starting at one.
    pub line: u32,
}

/// A section of an INI file.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    /// Text between the brackets.
    pub name: &'a str,
    /// Line of the header.
    pub line: u32,
    /// Lines of the section.
    pub entries: Vec<Entry<'a>>,
}

/// A line in one of the files of an [`IniReader`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Location {
    file: usize,
    /// Line number, starting at one.
    pub line: u32,
}

/// Reader of one or more INI files that collects the problems found in them.
#[derive(Debug)]
pub(crate) struct IniReader {
    files: Vec<String>,
    /// Problems found so far.
    pub problems: Vec<Problem>,
}

impl IniReader {
    /// Creates a reader of the file `file`; the name is only used in problems.
    pub fn new(file: &str) -> Self {
        Self {
            files: vec![file.to_owned()],
            problems: Vec::new(),
        }
    }

    /// Continues with another file; later problems are reported in it.
    pub fn start_file(&mut self, file: String) {
        self.files.push(file);
    }

    /// Returns the location of a line in the current file.
    pub fn location(&self, line: u32) -> Location {
        Location {
            file: self.files.len() - 1,
            line,
        }
    }

    /// Splits a text into sections. Reports malformed headers, lines outside of sections and
    /// duplicate sections, of which the first is used.
    pub fn sections<'t>(&mut self, text: &'t str) -> Vec<Section<'t>> {
        let mut sections: Vec<Section<'t>> = Vec::new();
        let mut first_lines = HashMap::new();
        // Lines after an invalid header are skipped, because their section is not known.
        let mut is_in_section = false;
        let mut is_skipping = false;
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            // Read before `next`, which advances the line counter.
            let line = parser.line() + 1;
            let Some(item) = parser.next() else { break };
            match item {
                Item::Section(name) => {
                    let first = *first_lines.entry(name).or_insert(line);
                    is_in_section = first == line;
                    is_skipping = !is_in_section;
                    if is_skipping {
                        let expected = format!("a section once, first given on line {first}");
                        self.report_section(line, name, &expected);
                        continue;
                    }
                    sections.push(Section {
                        name,
                        line,
                        entries: Vec::new(),
                    });
                }
                Item::Property(key, value) if is_in_section => {
                    if let Some(section) = sections.last_mut() {
                        section.entries.push(Entry { key, value, line });
                    }
                }
                Item::Property(..) if is_skipping => {}
                Item::Property(key, _) => self.report_line(line, key, "a section header first"),
                Item::Error(header) => {
                    is_in_section = false;
                    is_skipping = true;
                    self.report_line(line, header, "a section header in brackets");
                }
                Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            }
        }
        sections
    }

    /// Returns the keys of a section with their values and lines. Reports lines without `=`,
    /// unknown keys and duplicate keys.
    pub fn keys<'t>(
        &mut self,
        section: &Section<'t>,
        is_known: impl Fn(&str) -> bool,
        expected: &str,
    ) -> Vec<(&'t str, &'t str, u32)> {
        let mut keys: Vec<(&str, &str, u32)> = Vec::new();
        let mut first_lines = HashMap::new();
        for entry in &section.entries {
            let Some(value) = entry.value else {
                self.report_value(section.name, "", entry.key, entry.line, "key = value");
                continue;
            };
            if !is_known(entry.key) {
                let expected = format!("one of the keys {expected}");
                self.report_value(section.name, entry.key, value, entry.line, &expected);
                continue;
            }
            let first = *first_lines.entry(entry.key).or_insert(entry.line);
            if first != entry.line {
                let expected = format!("a key once, first given on line {first}");
                self.report_value(section.name, entry.key, value, entry.line, &expected);
                continue;
            }
            keys.push((entry.key, value, entry.line));
        }
        keys
    }

    /// Reports an invalid value.
    pub fn report_value(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
        line: u32,
        expected: &str,
    ) {
        self.report(line, section, key, Some(value), expected);
    }

    /// Reports a missing key.
    pub fn report_missing_key(&mut self, section: &str, key: &str, line: u32, expected: &str) {
        self.report(line, section, key, None, expected);
    }

    /// Reports a problem with a whole section.
    pub fn report_section(&mut self, line: u32, section: &str, expected: &str) {
        self.report(line, section, "", None, expected);
    }

    fn report_line(&mut self, line: u32, text: &str, expected: &str) {
        self.report(line, "", "", Some(text), expected);
    }

    fn report(&mut self, line: u32, section: &str, key: &str, value: Option<&str>, expected: &str) {
        self.report_at(self.location(line), section, key, value, expected);
    }

    /// Reports a problem at a location in any of the files.
    pub fn report_at(
        &mut self,
        location: Location,
        section: &str,
        key: &str,
        value: Option<&str>,
        expected: &str,
    ) {
        let file = self.files.get(location.file).cloned().unwrap_or_default();
        self.problems.push(Problem {
            file,
            line: location.line,
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.map(str::to_owned),
            expected: expected.to_owned(),
        });
    }

    /// Returns the value if no problems were found, and otherwise the problems, ordered by file and
    /// line.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T> {
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => {
                let order = |problem: &Problem| (problem.file.clone(), problem.line);
                self.problems.sort_by_key(order);
                Err(Error::Invalid(Problems(self.problems)))
            }
        }
    }
}
