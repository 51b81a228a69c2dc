//! The daemon `pollenpin-edge`, which steers flows on the users' platform.
//!
//! One thread receives packets and carries out the verdicts of [`steer`]. Async tasks on the same
//! thread read the store, exchange data with peers and serve HTTP. See [running on the
//! platform](../../../docs/platform.md).

pub mod caller_exchange;
mod clock;
pub mod daemon;
mod error;
mod evidence;
mod follower;
mod http;
pub mod late_call;
mod line_limiter;
pub mod load_exchange;
mod log_fields;
mod metrics;
mod packets;
mod peer;
mod recorder;
mod relay;
pub mod remote_loads;
pub mod store_timing;
pub mod view_part;
mod view_reader;

pub use error::{Error, Result};
