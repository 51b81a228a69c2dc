//! Steering of flows whose answers bypass the balancer.
//!
//! The decision core of the second protocol: callers and targets carry a token of 32 bits that
//! names the target of a flow, so every instance forwards every packet without shared state. The
//! core has no sockets, clocks or threads; a driver passes events with the time and carries out
//! the verdicts. See [running on the platform](../../../docs/platform.md).
//!
//! A packet is read in this order: [`packet`], [`steer`], `opening` with [`place`], `following` with
//! [`flow`], `judging` with [`silence`], [`verdict`]. [`model`], [`view`] and [`standing`] hold what is
//! published, [`peers`] decides who reads it, and [`status`] shows all of it.

pub mod flow;
mod following;
mod judging;
pub mod model;
mod opening;
pub mod packet;
pub mod peers;
pub mod place;
pub mod settings;
pub mod silence;
pub mod standing;
pub mod status;
pub mod steer;
pub mod verdict;
pub mod view;

pub use model::{Change, Document, Repeat, Route, Share, Target, TargetId, Update};
pub use packet::{FlowId, Kind, Segment, Token};
pub use peers::{Peer, Peers};
pub use settings::Settings;
pub use silence::{Asked, Evidence, Sign};
pub use standing::Standing;
pub use steer::Steer;
pub use verdict::{Destination, Drop, Note, Refusal, Resend, Verdict};
pub use view::View;
