//! Wire formats: encoding, decoding and authentication of network messages.
//!
//! [`frame`] defines the datagram between callers, instances and targets, and [`peer`] the
//! datagrams between instances. [`control`] and [`steering`] are the gRPC services between
//! instances. [`token`] seals the route token that a caller echoes, and [`seal`] authenticates
//! messages with shared keys. Other crates use typed values only. The protocol for callers and
//! targets is described in [the frame reference](../../../docs/frame.md).

mod error;
pub mod frame;
/// gRPC service between instances, generated from `proto/control.proto` by the crate `codegen`.
#[allow(missing_docs, missing_debug_implementations, clippy::all)]
#[rustfmt::skip]
#[path = "generated/pollenpin.control.v1.rs"]
pub mod control;
pub mod peer;
pub mod seal;
/// gRPC service between steering instances, generated from `proto/steering.proto`.
#[allow(missing_docs, missing_debug_implementations, clippy::all)]
#[rustfmt::skip]
#[path = "generated/pollenpin.steering.v1.rs"]
pub mod steering;
pub mod token;

pub use error::{Error, Result};
