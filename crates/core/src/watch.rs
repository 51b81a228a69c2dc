//! Long polls on keys of the platform.

use ids::{Micros, Millis, hash_pair};

use crate::backoff::{Backoff, TokenBucket};
use crate::event::{ControlAction, PlatformKey, PlatformOutcome};

/// Time beyond its wait after which a call counts as lost, in case the driver never answers.
const CALL_TIMEOUT_MARGIN_MS: Millis = Millis(10_000);

const RENEWAL_SEED: u64 = 0x7265_6e65_7761_0001;

/// A long poll on one key that is renewed whenever it ends.
///
/// A change ends the watches of the whole fleet at once. As the platform counts each renewal as a
/// call, instances renew their watches at different times; a change that happens before the renewal
/// is returned by it. See [the capacity page](../../../docs/CAPACITY.md).
#[derive(Debug)]
pub(crate) struct Watch {
    key: PlatformKey,
    wait_ms: Millis,
    etag: Option<String>,
    /// When the pending call was sent.
    sent_at: Option<Micros>,
    backoff: Backoff,
    /// Time over which renewals after a change are spread.
    renewal_spread_ms: Millis,
    /// Differs between instances, so that they renew at different times.
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

    /// Starts the next call if it is due and the rate limit allows it.
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

    /// Handles the outcome of a call. Returns the value if it changed.
    pub(crate) fn complete_call(
        &mut self,
        now: Micros,
        outcome: PlatformOutcome,
    ) -> Option<Vec<u8>> {
        let sent_at = self.sent_at.take();
        match outcome {
            PlatformOutcome::Value { bytes, etag } => {
                self.backoff.reset();
                self.etag = Some(etag);
                self.change_count += 1;
                let delay_hash = hash_pair(self.seed ^ RENEWAL_SEED, self.change_count);
                self.renew_at = now + Millis(delay_hash % (self.renewal_spread_ms.0 + 1));
                return Some(bytes);
            }
            // Without a back-off, a service that does not hold the call would be polled in a tight
            // loop.
            PlatformOutcome::Unchanged
                if sent_at.is_none_or(|sent_at| now.since(sent_at).0 < self.wait_ms.0 / 2) =>
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

    /// Discards the last value read, so that it is read again after a back-off.
    pub(crate) fn discard_value(&mut self, now: Micros) {
        self.etag = None;
        self.renew_at = now;
        self.backoff.record_failure(now);
    }
}
