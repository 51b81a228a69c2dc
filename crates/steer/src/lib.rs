//! Steering of flows whose responses bypass the balancer (direct server return).
//!
//! The decision core of the second protocol. Packets of callers and targets carry a 32-bit token
//! that identifies the target of a flow, so every instance can forward every packet without shared
//! state. The core has no sockets, clocks or threads: a driver passes in events with the current
//! time and carries out the verdicts. See [running on the platform](../../../docs/platform.md).
//!
//! A packet passes through the modules in this order: [`packet`], [`steer`], then `opening` with
//! [`placement`] or `established` with [`flow`], and `passive_health` with [`evidence`]; the result
//! is a [`verdict`]. [`model`], [`catalog`] with `domain_orders`, [`view`], [`target_state`] and
//! [`domains`] hold the published state in the order of [`revision`], [`service_index`] with
//! `stall_sum` groups the targets, `reserve` keeps capacity free for urgent flows, `retry_budget`
//! limits resent opening packets, `tokens` tells targets with equal tokens apart, [`cold_start`]
//! limits the flows of targets that have just started, [`peers`]
//! decides which instance reads the published state from the store, [`store_turn`] decides when the
//! others call it, and [`status`] reports the state to operators. [`load`], [`flow_demand`] and [`work`]
//! hold the load of the targets. [`document_check`] examines a configuration before it is published.
//! [`remote_loads`] and [`spill`] decide which flows go to other failure domains.

pub mod admission;
pub mod caller_shares;
pub mod caller_total;
pub mod catalog;
pub mod cold_start;
mod demand;
pub mod document_check;
mod domain_loads;
mod domain_orders;
pub mod domains;
mod established;
pub mod evidence;
pub mod fairness;
pub mod flow;
pub mod flow_demand;
pub mod load;
pub mod model;
mod opening;
pub mod packet;
mod passive_health;
pub mod peers;
pub mod placement;
pub mod remote_loads;
mod reserve;
mod retry_budget;
pub mod revision;
pub mod service_index;
pub mod settings;
pub mod spill;
mod stall_sum;
pub mod status;
pub mod steer;
pub mod store_turn;
pub mod target_state;
mod tokens;
pub mod verdict;
pub mod view;
pub mod work;

pub use caller_total::{CallerBitmap, CallerSums, CallerTotal};
pub use catalog::{Applied, Catalog};
pub use domains::DomainState;
pub use evidence::{Evidence, Observation, UnansweredPacket};
pub use load::TargetLoad;
pub use model::{
    Change, Document, DocumentTerms, Priority, Repeat, Route, RouteTerms, Service, Share, Target,
    TargetId, Update,
};
pub use packet::{FlowId, PacketKind, Segment, Token};
pub use peers::{Members, Peer, PeerReport, Peers};
pub use remote_loads::RemoteLoad;
pub use revision::Revision;
pub use settings::{ColdLimit, Settings};
pub use steer::Steer;
pub use target_state::TargetState;
pub use verdict::{Destination, DropReason, Note, Resend, ResetReason, Verdict};
pub use view::View;
