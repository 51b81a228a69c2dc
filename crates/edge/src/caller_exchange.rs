//! Sums of the openings of callers that an instance and its followers see.

use ids::Micros;
use steer::caller_total::{MAX_LISTED, MAX_TOTALS};
use steer::{CallerBitmap, CallerSums, CallerTotal, Priority};
use wire::steering::{CallerReport, CallerTotal as WireTotal};

/// Longest name of a service that is accepted from a peer.
const MAX_NAME_BYTES: usize = 256;

/// Collects the openings of callers in a subtree of instances.
#[derive(Debug, Default)]
pub struct CallerExchange {
    sums: CallerSums,
}

impl CallerExchange {
    /// Adds the report of a follower, if there is one. Followers of an earlier version send none.
    pub fn receive(&mut self, report: Option<&CallerReport>) {
        if let Some(report) = report {
            self.sums.add(&decode(report));
        }
    }

    /// Returns the sums over this instance and its followers, if it is time for them.
    pub fn take_sums(&mut self, now: Micros, own: &[CallerTotal]) -> Vec<CallerTotal> {
        self.sums.add(own);
        self.sums.take(now)
    }
}

/// Encodes totals, or returns `None` if there are none. Nothing is sent while no service is short of
/// capacity.
pub fn encode(totals: &[CallerTotal]) -> Option<CallerReport> {
    if totals.is_empty() {
        return None;
    }
    let mut report = CallerReport::default();
    for (index, total) in (0..).zip(totals) {
        for (caller, openings) in &total.largest {
            report.addresses.push(caller.to_bits());
            report.total_indexes.push(index);
            report.openings.push(*openings);
        }
        report.totals.push(WireTotal {
            priority: total.priority.0.into(),
            openings: total.openings,
            caller_bitmap: total.callers.to_bytes(),
            service: total.service.to_string(),
        });
    }
    Some(report)
}

/// Decodes totals. Those beyond the bounds of a report are left out, as are addresses without a total
/// or without openings.
pub fn decode(report: &CallerReport) -> Vec<CallerTotal> {
    let totals = report.totals.iter().take(MAX_TOTALS);
    let mut totals: Vec<Option<CallerTotal>> = totals.map(decode_total).collect();
    let entries = report.addresses.iter().zip(&report.total_indexes);
    for ((address, index), openings) in entries.zip(&report.openings) {
        let total = totals.get_mut(*index as usize).and_then(Option::as_mut);
        if let Some(total) = total
            && total.largest.len() < MAX_LISTED
            && *openings > 0
        {
            total.largest.push(((*address).into(), *openings));
        }
    }
    totals.into_iter().flatten().collect()
}

fn decode_total(total: &WireTotal) -> Option<CallerTotal> {
    if total.service.len() > MAX_NAME_BYTES {
        return None;
    }
    let priority = Priority(total.priority.try_into().ok()?);
    Some(CallerTotal {
        openings: total.openings,
        callers: CallerBitmap::from_bytes(&total.caller_bitmap),
        ..CallerTotal::none(total.service.as_str().into(), priority)
    })
}
