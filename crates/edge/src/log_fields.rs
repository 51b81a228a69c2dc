//! Fields that several log lines have in common.

use slog::{KV, Record, Serializer};
use steer::Revision;

/// The fields `epoch` and `revision` of a view.
#[derive(Debug)]
pub struct AtRevision(pub Revision);

impl KV for AtRevision {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_u64("epoch", self.0.epoch)?;
        serializer.emit_u64("revision", self.0.number)
    }
}
