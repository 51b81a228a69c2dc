//! The daemon `pollenpind`: sockets, tasks and lifecycle around the decision core.
//!
//! Each shard runs on its own thread with its own socket. Everything else shares one runtime, so
//! that packets do not delay control traffic. See
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
