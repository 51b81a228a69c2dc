//! Watches of keys of the platform.

use ids::{Micros, Millis, hash_pair};

use crate::backoff::{Backoff, TokenBucket};
use crate::event::{ControlAction, PlatformKey, PlatformOutcome};

/// Time beyond its wait after which a call counts as lost, for a driver that never answers.
const CALL_TIMEOUT_MARGIN_MS: Millis = Millis(10_000);

const RENEWAL_SEED: u64 = 0x7265_6e65_7761_0001;

/// A long poll that is renewed whenever it ends.
///
/// A change ends the watches of all readers of the fleet at once. Each renews its own at another
/// moment, because the platform counts a renewal as a call; a change that comes before the renewal
/// is answered by it. See [the capacity page](../../../docs/CAPACITY.md).
#[derive(Debug)]
pub(crate) struct Watch {
    key: PlatformKey,
    wait_ms: Millis,
    etag: Option<String>,
    /// When the call under way was sent.
    sent_at: Option<Micros>,
    backoff: Backoff,
    /// Time over which renewals after a change are spread.
    renewal_spread_ms: Millis,
    /// Separates instances.
    seed: u64,
    change_count: u64,
    renew_at: Micros,
}

impl Watch {
    pub(crate) fn new(
        key: PlatformKey,
        wait_ms: Millis,
        renewal_spread_ms: Millis,
        seed: u64,
    ) -> Self {
        Self {
            key,
            wait_ms,
            etag: None,
            sent_at: None,
            backoff: Backoff::new(seed),
            renewal_spread_ms,
            seed,
            change_count: 0,
            renew_at: Micros(0),
        }
    }

    /// Starts the next call when it is due and the budget allows it.
    pub(crate) fn poll(
        &mut self,
        now: Micros,
        bucket: &mut TokenBucket,
        out: &mut Vec<ControlAction>,
    ) {
        if let Some(sent) = self.sent_at
            && now >= sent + self.wait_ms + CALL_TIMEOUT_MARGIN_MS
        {
            self.sent_at = None;
            self.backoff.record_failure(now);
        }
        let is_due =
            self.sent_at.is_none() && now >= self.renew_at && self.backoff.has_elapsed(now);
        if !is_due || !bucket.try_take(now) {
            return;
        }
        self.sent_at = Some(now);
        out.push(ControlAction::ReadPlatform {
            key: self.key.clone(),
            etag: self.etag.clone(),
            wait_ms: match self.etag {
                Some(_) => self.wait_ms,
                None => Millis(0),
            },
        });
    }

    /// Takes the end of a call and returns a new value.
    pub(crate) fn complete_call(
        &mut self,
        now: Micros,
        outcome: PlatformOutcome,
    ) -> Option<Vec<u8>> {
        let sent = self.sent_at.take();
        match outcome {
            PlatformOutcome::Value { bytes, etag } => {
                self.backoff.reset();
                self.etag = Some(etag);
                self.change_count += 1;
                let spread = hash_pair(self.seed ^ RENEWAL_SEED, self.change_count);
                self.renew_at = now + Millis(spread % (self.renewal_spread_ms.0 + 1));
                return Some(bytes);
            }
            // A service that does not hold the call would otherwise be asked without a pause.
            PlatformOutcome::Unchanged
                if sent.is_none_or(|sent| now.since(sent).0 < self.wait_ms.0 / 2) =>
            {
                self.backoff.record_failure(now);
            }
            PlatformOutcome::Unchanged => self.backoff.reset(),
            PlatformOutcome::Missing | PlatformOutcome::Failed(_) => {
                self.backoff.record_failure(now)
            }
        }
        None
    }

    /// Forgets the value read last, so that the next call reads it again after a pause.
    pub(crate) fn discard_value(&mut self, now: Micros) {
        self.etag = None;
        self.renew_at = now;
        self.backoff.record_failure(now);
    }
}
