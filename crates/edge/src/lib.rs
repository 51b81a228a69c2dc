//! The daemon `pollenpin-edge`: steers flows on the users' platform.
//!
//! One thread receives packets and carries out the verdicts of [`steer`]; tasks beside it read the
//! store and answer over HTTP. See [running on the platform](../../../docs/platform.md).

mod budget;
mod clock;
mod error;
mod evidence;
mod feed;
mod http;
pub mod life;
mod metrics;
mod packets;
mod peer;
mod relay;
mod tell;

pub use error::{Error, Result};
