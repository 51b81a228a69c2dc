//! Typed access to the keys of an INI section.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::ini::{IniReader, Section};

/// The keys of a section; problems with their values are reported to the reader.
#[derive(Debug)]
pub(crate) struct SectionFields<'s, 't> {
    /// Reader to which problems are reported.
    pub reader: &'s mut IniReader,
    section: &'t str,
    line: u32,
    keys: Vec<(&'t str, &'t str, u32)>,
}

impl<'s, 't> SectionFields<'s, 't> {
    /// Reads the keys of a section and reports keys that are not in `known`.
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

    /// Returns the unparsed value of a key and its line.
    pub fn raw(&self, key: &str) -> Option<(&'t str, u32)> {
        let found = self.keys.iter().find(|(name, ..)| *name == key);
        found.map(|(_, value, line)| (*value, *line))
    }

    /// Returns the value of a key, if it is given; reports a malformed value.
    pub fn optional<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        let (value, line) = self.raw(key)?;
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.reader
                .report_value(self.section, key, value, line, expected);
        }
        parsed
    }

    /// Returns the value of a key; reports a malformed or missing value.
    pub fn required<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        if self.raw(key).is_none() {
            self.reader
                .report_missing_key(self.section, key, self.line, expected);
        }
        self.optional(key, expected)
    }

    /// Returns the value of a key, or the default if it is missing, malformed or out of range.
    /// Reports malformed values and those out of range.
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

    /// Reports an invalid value of a key, if the key is given.
    pub fn report(&mut self, key: &str, expected: &str) {
        if let Some((value, line)) = self.raw(key) {
            self.reader
                .report_value(self.section, key, value, line, expected);
        }
    }
}
