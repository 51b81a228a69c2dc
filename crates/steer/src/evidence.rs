//! Evidence from callers' packets of whether a target responds.
//!
//! Responses bypass the balancer. A caller that acknowledges new bytes has received a response from
//! its target, and a caller that retransmits a packet has not. Reports of targets are seconds old
//! and may be wrong, so this evidence takes precedence over them.

use std::net::Ipv4Addr;

use ids::{Micros, Millis};

use crate::model::TargetId;

/// Number of unanswered packets of different flows after which a target is avoided for the long
/// time. A single one may be a lost datagram.
const LONG_AVOIDANCE_COUNT: u32 = 2;

/// Number of unanswered requests of different established flows within [`EVIDENCE_WINDOW`] after
/// which all flows of the target count as dead. Two losses may coincide on a live target between two
/// responses; three do not.
const DEAD_COUNT: usize = 3;

/// Number of unanswered requests that are remembered for each target. Of one caller there are at most
/// [`DEAD_COUNT`], so that a caller with many flows leaves room for the requests of others.
const REMEMBERED_REQUESTS: usize = 2 * DEAD_COUNT;

/// Time for which an unanswered request counts beside later ones. Those of a cut that has ended
/// must not add up with a single loss long after it.
const EVIDENCE_WINDOW: Millis = Millis(2_000);

/// Number of stalled requests within [`STALL_WINDOW`] after which a target gets no new flows. A
/// healthy target occasionally stalls a request.
const STALLED_COUNT: u32 = 3;

/// Time window in which stalled requests are counted.
pub(crate) const STALL_WINDOW: Millis = Millis(2_000);

/// Time for which a target that stalls requests gets no new flows. New flows have to follow then,
/// because only they show whether the target has recovered.
const STALL_AVOIDANCE: Millis = Millis(3_000);

/// Time after the last unanswered request for which flows count as dead. The first request after
/// this time detects that a target has recovered.
const DEAD_WINDOW: Millis = Millis(1_000);

/// Number of long avoidances for which an unanswered packet counts. A target that does not respond
/// gets its next packet after one.
const COUNTED_AVOIDANCES: u64 = 2;

/// Kind of a packet that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnansweredPacket {
    /// An opening packet. A live target does not answer it if it is full.
    Opening,
    /// A request of an established flow, which every live target acknowledges.
    Request,
}

/// An observation of a target that one instance sends to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// The target.
    pub target: TargetId,
    /// What was observed.
    pub observation: Observation,
    /// Time since the target responded, or since the unanswered packet was first sent.
    pub age: Millis,
    /// Caller whose packet was not answered. Peers of earlier versions do not tell it.
    pub caller: Option<Ipv4Addr>,
}

/// An observation of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// A caller received a response.
    Responded,
    /// A packet was not answered.
    Unanswered(UnansweredPacket),
    /// A request was acknowledged but not answered for a long time.
    Stalled,
}

/// An unanswered request of an established flow.
#[derive(Debug, Clone, Copy)]
struct UnansweredRequest {
    recorded_at: Micros,
    caller: Option<Ipv4Addr>,
}

/// Evidence from callers' packets about one target.
#[derive(Debug, Default, Clone)]
pub struct Responsiveness {
    /// Last time a caller showed that it had received a response.
    last_response_at: Micros,
    /// When the last unanswered packet was first sent.
    unanswered_sent_at: Micros,
    /// When the last unanswered packet was recorded.
    last_unanswered_at: Micros,
    /// Number of unanswered packets since the last response or a long time without any.
    unanswered_count: u32,
    /// The last unanswered requests of established flows, oldest first. They are forgotten with each
    /// response, so that most targets need no memory for them.
    unanswered_requests: Vec<UnansweredRequest>,
    /// End of the time in which the target gets no new flows.
    avoid_until: Micros,
}

impl Responsiveness {
    /// Records a response of the target, unless newer evidence is known. Returns whether the target
    /// was avoided until now.
    pub fn record_response(&mut self, now: Micros, last_response_at: Micros) -> bool {
        if last_response_at < self.last_response_at || last_response_at < self.unanswered_sent_at {
            return false;
        }
        let was_avoided = now < self.avoid_until;
        *self = Self {
            last_response_at,
            ..Self::default()
        };
        was_avoided
    }

    /// Records that a caller's packet sent at `sent_at` was not answered. Returns the number of such
    /// packets, or `None` if the target has responded since.
    pub fn record_unanswered(
        &mut self,
        now: Micros,
        packet: UnansweredPacket,
        caller: Option<Ipv4Addr>,
        sent_at: Micros,
        brief_avoidance: Millis,
        long_avoidance: Millis,
    ) -> Option<u32> {
        if sent_at < self.last_response_at {
            return None;
        }
        self.unanswered_sent_at = self.unanswered_sent_at.max(sent_at);
        if now.since(self.last_unanswered_at).0 > long_avoidance.0 * COUNTED_AVOIDANCES {
            self.unanswered_count = 0;
        }
        self.last_unanswered_at = now;
        self.unanswered_count = self.unanswered_count.saturating_add(1);
        if packet == UnansweredPacket::Request {
            self.add_request(UnansweredRequest {
                recorded_at: now,
                caller,
            });
        }
        let avoidance = if self.unanswered_count >= LONG_AVOIDANCE_COUNT {
            long_avoidance
        } else {
            brief_avoidance
        };
        self.avoid_until = self.avoid_until.max(now + avoidance);
        Some(self.unanswered_count)
    }

    /// Remembers an unanswered request, if necessary in place of the oldest one.
    fn add_request(&mut self, request: UnansweredRequest) {
        let is_of_caller =
            |known: &UnansweredRequest| request.caller.is_some() && known.caller == request.caller;
        let known = &mut self.unanswered_requests;
        let count = known.iter().filter(|known| is_of_caller(known)).count();
        if count >= DEAD_COUNT {
            if let Some(oldest) = known.iter().position(is_of_caller) {
                known.remove(oldest);
            }
        } else if known.len() == REMEMBERED_REQUESTS {
            known.remove(0);
        }
        known.push(request);
    }

    /// Returns the last time a caller showed that it had received a response from the target.
    pub fn last_response_at(&self) -> Micros {
        self.last_response_at
    }

    /// Returns the unanswered requests that still count.
    fn requests(&self, now: Micros) -> impl Iterator<Item = &UnansweredRequest> {
        let known = self.unanswered_requests.iter();
        known.filter(move |request| now.since(request.recorded_at) <= EVIDENCE_WINDOW)
    }

    /// Returns the number of unanswered requests of established flows that still count, of any
    /// callers.
    pub fn unanswered_requests(&self, now: Micros) -> usize {
        self.requests(now).count()
    }

    /// Returns the number of unanswered requests that count against flows of a caller. All requests of
    /// another caller count as one, because the fault may be on the side of that caller.
    pub fn unanswered_requests_for(&self, now: Micros, caller: Ipv4Addr) -> usize {
        let is_first_of_its_caller = |request: &UnansweredRequest| {
            let mut known = self.requests(now);
            let first = known.find(|known| known.caller == request.caller);
            first.is_some_and(|first| std::ptr::eq(first, request))
        };
        self.requests(now)
            .filter(|request| {
                request.caller.is_none()
                    || request.caller == Some(caller)
                    || is_first_of_its_caller(request)
            })
            .count()
    }

    /// Returns whether the target gets no new flows.
    pub fn is_avoided(&self, now: Micros) -> bool {
        now < self.avoid_until
    }

    /// Returns whether so many requests were not answered that the target may be dead.
    pub fn is_silent(&self, now: Micros) -> bool {
        let mut requests = self.requests(now);
        requests.any(|request| now.since(request.recorded_at) <= DEAD_WINDOW)
            && self.unanswered_requests(now) >= DEAD_COUNT
    }

    /// Returns whether a caller's established flows with the target count as dead.
    pub fn is_dead_for(&self, now: Micros, caller: Ipv4Addr) -> bool {
        self.is_silent(now) && self.unanswered_requests_for(now, caller) >= DEAD_COUNT
    }
}

/// Requests that a target acknowledged but did not answer. It may still answer others and report
/// itself healthy.
#[derive(Debug, Default, Clone, Copy)]
pub struct StalledRequests {
    window_start: Micros,
    count: u32,
    avoid_until: Micros,
}

impl StalledRequests {
    /// Counts a stalled request and returns the number within the window.
    pub fn add(&mut self, now: Micros) -> u32 {
        if now.since(self.window_start) > STALL_WINDOW {
            self.window_start = now;
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.count
    }

    /// Returns the number of stalled requests within the window.
    pub fn count(&self, now: Micros) -> u32 {
        if now.since(self.window_start) > STALL_WINDOW {
            return 0;
        }
        self.count
    }

    /// Returns the number of stalled requests within the last window, which may be over.
    pub(crate) fn last_count(&self) -> u32 {
        self.count
    }

    /// Returns the start of the last window.
    pub(crate) fn window_start(&self) -> Micros {
        self.window_start
    }

    /// Avoids the target if enough requests stalled within the window. Returns whether it was not
    /// avoided before.
    pub fn avoid_if_excessive(&mut self, now: Micros) -> bool {
        if self.count(now) < STALLED_COUNT {
            return false;
        }
        let was_avoided = self.is_avoided(now);
        self.avoid_until = now + STALL_AVOIDANCE;
        !was_avoided
    }

    /// Returns whether the target gets no new flows.
    pub fn is_avoided(&self, now: Micros) -> bool {
        now < self.avoid_until
    }
}
