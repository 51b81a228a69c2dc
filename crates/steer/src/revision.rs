//! Positions in the order of the store's changes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in the order of the store's changes.
///
/// A store that is restored from a copy gives out numbers again, so numbers can be compared only
/// within an epoch. Peers tell the epoch once for all items of a view, so that the encoding of an
/// item holds the number only. See [state and its owners](../../../docs/platform.md).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// Epoch of the store, which increases with each restore.
    #[serde(skip)]
    pub epoch: u64,
    /// Number of the change in its epoch.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}
