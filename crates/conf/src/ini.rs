//! INI text as sections with lines, for settings, documents and lists.

use std::collections::HashMap;

use ini_core::{Item, Parser};

use crate::error::{Error, Problem, Problems, Result};

/// One line of a section.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry<'a> {
    /// Text before the first `=`, or the whole line when there is none.
    pub key: &'a str,
    /// Text after the first `=`.
    pub value: Option<&'a str>,
    /// Line, counted from one.
    pub line: u32,
}

/// A section of a file.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    /// Text between the brackets.
    pub name: &'a str,
    /// Line of the header.
    pub line: u32,
    /// Its lines.
    pub entries: Vec<Entry<'a>>,
}

/// A line of one of the files of a [`IniReader`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Location {
    file: usize,
    /// Line, counted from one.
    pub line: u32,
}

/// Files that are being read, with the problems found so far.
#[derive(Debug)]
pub(crate) struct IniReader {
    files: Vec<String>,
    /// Problems found so far.
    pub problems: Vec<Problem>,
}

impl IniReader {
    /// Begins with a file; the name is used in problems only.
    pub fn new(file: &str) -> Self {
        Self {
            files: vec![file.to_owned()],
            problems: Vec::new(),
        }
    }

    /// Continues with another file.
    pub fn start_file(&mut self, file: String) {
        self.files.push(file);
    }

    /// Returns a location in the file that is being read.
    pub fn location(&self, line: u32) -> Location {
        Location {
            file: self.files.len() - 1,
            line,
        }
    }

    /// Splits text into sections. Reports malformed headers, lines outside of sections and sections
    /// given twice, of which the first counts.
    pub fn sections<'t>(&mut self, text: &'t str) -> Vec<Section<'t>> {
        let mut sections: Vec<Section<'t>> = Vec::new();
        let mut first_lines = HashMap::new();
        // Lines of a refused section are skipped, since nothing can be said about them.
        let mut is_in_section = false;
        let mut is_skipping = false;
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            // The parser's own count has already moved on after a line is read.
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

    /// Returns the keys of a section with their values; reports lines without `=`, unknown keys and
    /// keys given twice.
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

    /// Reports a value.
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

    /// Reports a whole section.
    pub fn report_section(&mut self, line: u32, section: &str, expected: &str) {
        self.report(line, section, "", None, expected);
    }

    fn report_line(&mut self, line: u32, text: &str, expected: &str) {
        self.report(line, "", "", Some(text), expected);
    }

    fn report(&mut self, line: u32, section: &str, key: &str, value: Option<&str>, expected: &str) {
        self.report_at(self.location(line), section, key, value, expected);
    }

    /// Reports a problem in any of the files.
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

    /// Returns the value when there are no problems; reports them in the order of lines otherwise.
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
