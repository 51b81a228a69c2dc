//! The decisions of the balancer, without I/O, clocks, threads or randomness.
//!
//! [`control::Control`] exists once per daemon: it follows membership, the published document and
//! the state of targets, and hands out an immutable [`view::View`]. A [`shard::Shard`] exists once
//! per core: it decides about the flows and requests that hash to it under the newest view. Both
//! take events with an explicit time and append actions, so the daemon, the tests and the lab
//! drive the same code. See [the design](../../../docs/design.md).

mod admit;
mod alert;
mod answer;
mod backoff;
pub mod control;
mod dispatch;
mod error;
pub mod event;
mod fence;
mod fetch;
pub mod flow;
mod flow_answer;
mod flow_open;
mod flow_record;
mod flow_resolve;
mod flow_upkeep;
mod history;
mod index;
mod intake;
mod join;
pub mod lifecycle;
pub mod membership;
mod outcome;
mod owners;
mod peer;
pub mod place;
mod record;
pub mod request;
mod retry;
pub mod rollout;
mod routes;
mod services;
pub mod shard;
mod spread;
mod table;
mod target;
mod values;
pub mod view;
mod watch;

pub use error::{Error, Result};
