//! Structured logs as JSON lines on standard output, written without blocking the caller.
//!
//! A separate thread writes the lines. If the reader of standard output stalls, lines are dropped
//! and counted; see [operations](../../../docs/OPERATIONS.md).

use slog::{Drain, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV};
pub use slog_async::AsyncGuard;

/// Capacity of the queue of the writer thread in lines; at 300 bytes per line it takes 300 KB.
const QUEUE_LINES: usize = 1_024;

/// Returns a logger that adds `values` to every line, and a guard. Dropping the guard writes the
/// lines that are still queued.
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
