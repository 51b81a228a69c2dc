//! The daemon `pollenpind`: sockets, tasks and life cycle around the decision core.
//!
//! Each shard runs on a thread of its own with its own sockets; everything else shares one runtime,
//! so that control traffic is not delayed by packets. See
//! [the design](../../../docs/design.md), sections 3 and 12.

pub mod clock;
pub mod control;
mod core_settings;
mod error;
pub mod grpc;
pub mod health;
pub mod http;
pub mod lifecycle;
pub mod log;
pub mod metrics;
pub mod observations;
pub mod packet;
pub mod peer;
pub mod platform;
pub mod sharding;
mod start;
pub mod status;
pub mod trace;

pub use error::{Error, Result};
