//! Experiments over the decision core.
//!
//! Each experiment drives [`balance`] with explicit time and fixed seeds and prints a Markdown
//! table that docs/ quotes together with its command. Nothing here runs in production.

pub mod affinity;
pub mod control;
pub mod cost;
mod endpoints;
pub mod error;
pub mod fixture;
pub mod flood;
pub mod group;
mod linear_fit;
mod network_changes;
pub mod platform;
pub mod rollout;
pub mod shard_driver;
pub mod shard_network;
pub mod spread;
pub mod traffic;

pub use error::{Error, Result};
