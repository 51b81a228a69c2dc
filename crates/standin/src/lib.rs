//! Test-only stand-ins for the systems around pollenpin: platform, targets, callers and fabric.
//!
//! Each implements the published protocols of [the design](../../../docs/design.md) on loopback and
//! records what it receives, so that a run can be checked afterwards.

pub mod caller;
pub mod content;
pub mod demo;
mod error;
pub mod fabric;
pub mod load_result;
pub mod platform;
pub mod ports;
pub mod runtime;
pub mod target;

pub use error::{Error, Result};
