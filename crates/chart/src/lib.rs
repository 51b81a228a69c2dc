//! State machines that are defined in INI files.
//!
//! A chart has a section `[chart]` with `start = state` and one section per state with
//! `event = next-state` lines. An event that is not listed does not change the state;
//! [`Chart::next`] returns `None` for it. A terminal state has an empty section.
//!
//! ```
//! chart::labels! {
//!     /// States of a lamp.
//!     pub enum Lamp {
//!         /// Dark.
//!         Off = "off",
//!         /// Lit.
//!         On = "on",
//!     }
//! }
//! chart::labels! {
//!     /// Events of a lamp.
//!     pub enum Input {
//!         /// The switch was pressed.
//!         Press = "press",
//!     }
//! }
//! let text = "[chart]\nstart = off\n[off]\npress = on\n[on]\npress = off\n";
//! let lamp = chart::Chart::<Lamp, Input>::parse("lamp.ini", text)?;
//! assert_eq!(lamp.next(lamp.start(), Input::Press), Some(Lamp::On));
//! # Ok::<(), chart::Error>(())
//! ```

mod error;
mod label;
mod parse;

use std::marker::PhantomData;

pub use error::{Error, Problem, Result};
pub use label::Label;

/// A validated state chart with states `S` and events `E`.
#[derive(Debug, Clone)]
pub struct Chart<S, E> {
    start: S,
    /// Next states, indexed by state, then event. The table is flat, so that a lookup neither
    /// hashes nor allocates.
    table: Box<[Option<S>]>,
    events: PhantomData<fn(E)>,
}

impl<S: Label, E: Label> Chart<S, E> {
    /// Parses and validates a chart; `file` is the file name shown in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let (start, table) = parse::parse::<S, E>(file, text)?;
        Ok(Self {
            start,
            table: table.into_boxed_slice(),
            events: PhantomData,
        })
    }

    /// Returns the start state.
    pub fn start(&self) -> S {
        self.start
    }

    /// Returns the state after an event, or `None` if the state has no transition for it.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.table
            .get(parse::table_index::<S, E>(state, event))
            .copied()
            .flatten()
    }
}
