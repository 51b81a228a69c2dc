//! Steering of flows whose answers bypass the balancer.
//!
//! The decision core of the second protocol: callers and targets carry a token of 32 bits that
//! names the target of a flow, so every instance forwards every packet without shared state. The
//! core has no sockets, clocks or threads; a driver passes events with the time and carries out
//! the verdicts. See [running on the platform](../../../docs/platform.md).
//!
//! A packet is read in this order: [`packet`], [`steer`], `opening` with [`placement`], `established` with
//! [`flow`], `passive_health` with [`evidence`], [`verdict`]. [`model`], [`view`] and [`target_state`] hold what is
//! published, [`peers`] decides who reads it, and [`status`] shows all of it.

mod established;
pub mod evidence;
pub mod flow;
pub mod model;
mod opening;
pub mod packet;
mod passive_health;
pub mod peers;
pub mod placement;
pub mod settings;
pub mod status;
pub mod steer;
pub mod target_state;
pub mod verdict;
pub mod view;

pub use evidence::{Evidence, Observation, UnansweredPacket};
pub use model::{Change, Document, Repeat, Route, Share, Target, TargetId, Update};
pub use packet::{FlowId, PacketKind, Segment, Token};
pub use peers::{Peer, Peers};
pub use settings::Settings;
pub use steer::Steer;
pub use target_state::TargetState;
pub use verdict::{Destination, DropReason, Note, Resend, ResetReason, Verdict};
pub use view::View;
