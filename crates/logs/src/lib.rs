//! Structured logs: JSON lines on standard output that never delay the caller.
//!
//! A thread of its own writes the lines. When the reader of standard output stalls, lines are
//! dropped and counted instead of waiting; see [operations](../../../docs/OPERATIONS.md).

use slog::{Drain, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV};
pub use slog_async::AsyncGuard;

/// Lines that wait for the writer; at 300 bytes a line they take 300 KB.
const QUEUE_LINES: usize = 1_024;

/// Returns a logger that adds `values` to every line, and the guard that writes the lines still
/// queued when it is dropped.
pub fn logger<V>(level: Level, values: OwnedKV<V>) -> (Logger, AsyncGuard)
where
    V: SendSyncRefUnwindSafeKV + 'static,
{
    let lines = slog_json::Json::default(std::io::stdout()).fuse();
    let (queued, guard) = slog_async::Async::new(lines)
        .chan_size(QUEUE_LINES)
        .build_with_guard();
    (
        Logger::root(queued.filter_level(level).fuse(), values),
        guard,
    )
}
