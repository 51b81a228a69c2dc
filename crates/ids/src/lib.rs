//! Newtypes for ids, sizes, rates and times, shared by all crates of the workspace.
//!
//! Plain integers and strings are easily confused, for example a flow id with a request id, so
//! every quantity that crosses a module boundary has its own type with `Display` and `FromStr`.
//! See [the glossary](../../../docs/glossary.md) for the terms.

mod error;
mod hash;
mod name;
mod number;
mod time;

pub use error::{Error, Result};
pub use hash::{ContentHash, hash_of, hash_pair};
pub use name::{
    ClassName, DomainName, GroupName, InstanceName, MemberName, PresetName, ServiceName, TargetName,
};
pub use number::{Bytes, FlowId, Incarnation, Permille, Rate, RequestId, Slots, Version, Weight};
pub use time::{Micros, Millis};
