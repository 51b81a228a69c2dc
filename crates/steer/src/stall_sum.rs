//! Adds up the stalled requests of a service's targets.
//!
//! A stalled request is judged by the mean of all targets. A sum that is kept up to date makes the
//! cost independent of the number of targets.

use std::collections::VecDeque;

use ids::Micros;

use crate::evidence::{STALL_WINDOW, StalledRequests};
use crate::model::TargetId;

/// Stalled requests of a target and of its service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StallCounts {
    /// Number of the target's stalled requests.
    pub count: u64,
    /// Number of the service's other targets.
    pub others: u64,
    /// Number of their stalled requests.
    pub others_total: u64,
}

/// Stalled requests within the current windows of a service's targets.
#[derive(Debug, Default)]
pub(crate) struct StallSum {
    /// Targets with a current window, ordered by its start. All windows are equally long, so the
    /// first one ends first.
    windows: VecDeque<(Micros, TargetId)>,
    /// Sum of the counts of these targets.
    total: u64,
}

impl StallSum {
    /// Returns the sum of the targets' counts.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Removes the windows that are over. Call it before a target counts a stalled request, which
    /// may replace its window.
    pub(crate) fn expire(&mut self, now: Micros, count_of: impl Fn(TargetId) -> u32) {
        while let Some((start, id)) = self.windows.front().copied() {
            if now.since(start) <= STALL_WINDOW {
                return;
            }
            self.windows.pop_front();
            self.total = self.total.saturating_sub(u64::from(count_of(id)));
        }
    }

    /// Includes a stalled request that a target has just counted.
    pub(crate) fn add(&mut self, id: TargetId, stalled: &StalledRequests) {
        if stalled.last_count() == 1 {
            self.insert_window(id, stalled);
        }
        self.total += 1;
    }

    /// Includes a target that comes from another service.
    pub(crate) fn insert(&mut self, now: Micros, id: TargetId, stalled: &StalledRequests) {
        let count = stalled.count(now);
        if count == 0 {
            return;
        }
        self.insert_window(id, stalled);
        self.total += u64::from(count);
    }

    /// Excludes a target that leaves the service or whose count is discarded.
    pub(crate) fn remove(&mut self, id: TargetId, stalled: &StalledRequests) {
        let Some(index) = self.windows.iter().position(|(_, known)| *known == id) else {
            return;
        };
        self.windows.remove(index);
        self.total = self.total.saturating_sub(u64::from(stalled.last_count()));
    }

    fn insert_window(&mut self, id: TargetId, stalled: &StalledRequests) {
        let start = stalled.window_start();
        let index = self.windows.partition_point(|(known, _)| *known <= start);
        self.windows.insert(index, (start, id));
    }
}
