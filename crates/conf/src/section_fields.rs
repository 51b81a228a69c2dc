//! Typed access to the keys of a section.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::ini::{IniReader, Section};

/// The keys of one section, with the problems reported to its source.
#[derive(Debug)]
pub(crate) struct SectionFields<'s, 't> {
    /// Where problems go.
    pub reader: &'s mut IniReader,
    section: &'t str,
    line: u32,
    keys: Vec<(&'t str, &'t str, u32)>,
}

impl<'s, 't> SectionFields<'s, 't> {
    /// Reads the keys of a section and reports those that are not listed.
    pub fn new(reader: &'s mut IniReader, section: &Section<'t>, known: &[&str]) -> Self {
        let expected = match known {
            [] => "none here".to_owned(),
            _ => known.join(", "),
        };
        let keys = reader.keys(section, |key| known.contains(&key), &expected);
        Self {
            reader,
            section: section.name,
            line: section.line,
            keys,
        }
    }

    /// Returns a key's value with its line.
    pub fn raw(&self, key: &str) -> Option<(&'t str, u32)> {
        let found = self.keys.iter().find(|(name, ..)| *name == key);
        found.map(|(_, value, line)| (*value, *line))
    }

    /// Returns a key's value; reports one that is malformed.
    pub fn optional<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        let (value, line) = self.raw(key)?;
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.reader
                .report_value(self.section, key, value, line, expected);
        }
        parsed
    }

    /// Returns a key's value; reports one that is malformed or missing.
    pub fn required<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        if self.raw(key).is_none() {
            self.reader
                .report_missing_key(self.section, key, self.line, expected);
        }
        self.optional(key, expected)
    }

    /// Returns a key's value, or a default when it is absent, malformed or out of range; reports the
    /// latter two.
    pub fn in_range<T>(&mut self, key: &str, range: RangeInclusive<T>, default: T) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let Some((text, line)) = self.raw(key) else {
            return default;
        };
        match text.parse() {
            Ok(value) if range.contains(&value) => value,
            _ => {
                let expected = format!("{} to {}", range.start(), range.end());
                self.reader
                    .report_value(self.section, key, text, line, &expected);
                default
            }
        }
    }

    /// Reports a key that is present.
    pub fn report(&mut self, key: &str, expected: &str) {
        if let Some((value, line)) = self.raw(key) {
            self.reader
                .report_value(self.section, key, value, line, expected);
        }
    }
}
