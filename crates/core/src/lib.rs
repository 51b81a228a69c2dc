//! Decision core of the load balancer, free of I/O, clocks, threads and randomness.
//!
//! A daemon runs one [`control::Control`], the control plane. It tracks membership, the published
//! document and the state of targets, and publishes an immutable [`view::View`]. It also runs one
//! [`shard::Shard`] per core, which handles the flows and requests that hash to it under the latest
//! view. Both are state machines: they take events with an explicit time and append actions, so
//! the daemon, the tests and the lab drive the same code.
//! See [the design](../../../docs/design.md).

mod admission;
mod alert;
mod answer;
mod backoff;
mod caller_frames;
pub mod control;
mod dispatch;
mod error;
pub mod event;
mod fence;
mod fetch;
pub mod flow;
mod flow_maintenance;
mod flow_open;
mod flow_owners;
mod flow_record;
mod flow_resolve;
mod flow_response;
pub mod flow_state;
mod history;
mod index;
mod join;
pub mod membership;
mod peer;
pub mod placement;
pub mod request;
mod request_record;
mod retry;
pub mod rollout;
mod routes;
mod services;
pub mod shard;
mod table;
mod target;
mod target_frames;
mod target_selection;
mod values;
pub mod view;
mod watch;

pub use error::{Error, Result};
