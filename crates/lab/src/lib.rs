//! Simulations of and experiments on the decision core.
//!
//! Each experiment drives [`balance`] or [`steer`] in simulated time with a fixed seed and prints Markdown
//! tables, which docs/ quotes with the command that gave them. Nothing here runs in production.

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
pub mod opening_cost;
pub mod platform;
pub mod pressure;
pub mod rollout;
pub mod shard_driver;
pub mod shard_network;
pub mod spread;
pub mod traffic;

pub use error::{Error, Result};
