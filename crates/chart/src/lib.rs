//! State charts that are read from INI files, checked and interpreted.
//!
//! A chart has a section `[chart]` with `start = state` and one section per state with
//! `event = next-state` lines. An event that a state does not list leaves the state as it is, which
//! [`Chart::next`] reports as `None`. A terminal state is an empty section.
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

/// A checked state chart over the states `S` and the events `E`.
#[derive(Debug, Clone)]
pub struct Chart<S, E> {
    start: S,
    /// Next state by state, then event; flat, so that a lookup neither hashes nor allocates.
    table: Box<[Option<S>]>,
    events: PhantomData<fn(E)>,
}

impl<S: Label, E: Label> Chart<S, E> {
    /// Reads a chart; `file` only names it in errors.
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

    /// Returns the state after an event, or `None` when the state does not react to it.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.table
            .get(parse::table_index::<S, E>(state, event))
            .copied()
            .flatten()
    }
}
