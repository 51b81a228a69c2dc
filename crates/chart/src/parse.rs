//! Parser of chart files.

use ini_core::Item;
use smol_str::SmolStr;

use crate::error::Problem;
use crate::{Error, Label, Result};

const CHART_SECTION: &str = "chart";
const START_KEY: &str = "start";

/// Contents of a chart file and the problems found so far.
struct Parser<'a, S, E> {
    file: &'a str,
    problems: Vec<Problem>,
    start: Option<(S, u32)>,
    sections: Vec<(SmolStr, u32)>,
    transitions: Vec<Transition<S, E>>,
}

/// An `event = state` line.
struct Transition<S, E> {
    from: S,
    event: E,
    to: S,
    line: u32,
}

/// Section to which the current line belongs.
enum Section<S> {
    None,
    Chart,
    State(S),
}

/// Parses a chart into its start state and a flat table of next states, indexed by state, then
/// event.
pub(crate) fn parse<S: Label, E: Label>(file: &str, text: &str) -> Result<(S, Vec<Option<S>>)> {
    let mut parser = Parser::<S, E> {
        file,
        problems: Vec::new(),
        start: None,
        sections: Vec::new(),
        transitions: Vec::new(),
    };
    parser.read(text);
    let table = parser.build_table();
    parser.check_reachable(&table);
    match parser.start {
        Some((start, _)) if parser.problems.is_empty() => Ok((start, table)),
        _ => Err(Error {
            problems: parser.problems,
        }),
    }
}

impl<S: Label, E: Label> Parser<'_, S, E> {
    fn read(&mut self, text: &str) {
        let mut section = Section::None;
        let mut lines = ini_core::Parser::new(text).auto_trim(true);
        loop {
            // Read before `next`, which advances the line counter.
            let line = lines.line() + 1;
            let Some(item) = lines.next() else { break };
            match item {
                Item::Section(name) => section = self.open_section(name, line),
                Item::Property(key, Some(value)) => self.read_property(&section, key, value, line),
                Item::Property(text, None) => self.report_malformed_line(text, line),
                Item::Error(text) => {
                    section = Section::None;
                    self.problems.push(Problem::MalformedHeader {
                        file: self.file.to_owned(),
                        line,
                        text: text.to_owned(),
                    });
                }
                Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            }
        }
    }

    fn open_section(&mut self, name: &str, line: u32) -> Section<S> {
        let first = self.section_line(name);
        if let Some(first) = first {
            self.report_duplicate("section", name, line, first);
        } else {
            self.sections.push((SmolStr::new(name), line));
        }
        if name == CHART_SECTION {
            return Section::Chart;
        }
        self.find_label::<S>("state", name, line)
            .map_or(Section::None, Section::State)
    }

    fn read_property(&mut self, section: &Section<S>, key: &str, value: &str, line: u32) {
        match section {
            Section::None => {}
            Section::Chart if key == START_KEY => {
                let state = self.find_label("state", value, line);
                match (self.start, state) {
                    (Some((_, first)), _) => self.report_duplicate("key", key, line, first),
                    (None, Some(state)) => self.start = Some((state, line)),
                    (None, None) => {}
                }
            }
            Section::Chart => self.report_unknown_name("key", key, line, START_KEY.to_owned()),
            Section::State(from) => {
                let event = self.find_label::<E>("event", key, line);
                let to = self.find_label::<S>("state", value, line);
                if let (Some(event), Some(to)) = (event, to) {
                    self.add_transition(*from, event, to, line);
                }
            }
        }
    }

    fn add_transition(&mut self, from: S, event: E, to: S, line: u32) {
        let duplicate = self
            .transitions
            .iter()
            .find(|other| other.from == from && other.event == event);
        if let Some(first) = duplicate.map(|other| other.line) {
            return self.report_duplicate("event", event.name(), line, first);
        }
        self.transitions.push(Transition {
            from,
            event,
            to,
            line,
        });
    }

    fn build_table(&mut self) -> Vec<Option<S>> {
        let mut table = vec![None; S::all().len() * E::all().len()];
        for transition in &self.transitions {
            table[table_index::<S, E>(transition.from, transition.event)] = Some(transition.to);
        }
        let states = S::all().iter().map(|state| state.name());
        for name in std::iter::once(CHART_SECTION).chain(states) {
            if self.section_line(name).is_none() {
                self.problems.push(Problem::MissingSection {
                    file: self.file.to_owned(),
                    name: name.to_owned(),
                });
            }
        }
        table
    }

    fn check_reachable(&mut self, table: &[Option<S>]) {
        let Some((start, _)) = self.start else {
            let file = self.file.to_owned();
            self.problems.push(Problem::MissingStart { file });
            return;
        };
        let mut reachable = vec![start];
        let mut next_index = 0;
        while let Some(&state) = reachable.get(next_index) {
            next_index += 1;
            for event in E::all() {
                match table[table_index::<S, E>(state, *event)] {
                    Some(to) if !reachable.contains(&to) => reachable.push(to),
                    _ => {}
                }
            }
        }
        for state in S::all().iter().filter(|state| !reachable.contains(state)) {
            if let Some(line) = self.section_line(state.name()) {
                self.problems.push(Problem::UnreachableState {
                    file: self.file.to_owned(),
                    line,
                    name: state.name().to_owned(),
                });
            }
        }
    }

    fn section_line(&self, name: &str) -> Option<u32> {
        let section = self.sections.iter().find(|(known, _)| known == name);
        section.map(|(_, line)| *line)
    }

    fn find_label<L: Label>(&mut self, kind: &'static str, name: &str, line: u32) -> Option<L> {
        let found = L::all().iter().find(|label| label.name() == name).copied();
        if found.is_none() {
            let names: Vec<_> = L::all().iter().map(|label| label.name()).collect();
            self.report_unknown_name(kind, name, line, names.join(", "));
        }
        found
    }

    fn report_unknown_name(&mut self, kind: &'static str, name: &str, line: u32, expected: String) {
        self.problems.push(Problem::UnknownName {
            file: self.file.to_owned(),
            line,
            kind,
            name: name.to_owned(),
            expected,
        });
    }

    fn report_duplicate(&mut self, kind: &'static str, name: &str, line: u32, first: u32) {
        self.problems.push(Problem::Duplicate {
            file: self.file.to_owned(),
            line,
            kind,
            name: name.to_owned(),
            first,
        });
    }

    fn report_malformed_line(&mut self, text: &str, line: u32) {
        self.problems.push(Problem::MalformedLine {
            file: self.file.to_owned(),
            line,
            text: text.to_owned(),
        });
    }
}

/// Returns the index of a state and an event in the flat table.
pub(crate) fn table_index<S: Label, E: Label>(state: S, event: E) -> usize {
    state.index() * E::all().len() + event.index()
}
