//! Rate limit and back-off for calls to the platform, which all daemons share.

use ids::{Micros, Millis, hash_pair};

const JITTER_SEED: u64 = 0x6261_636b_6f66_0001;

/// A token bucket.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    burst: u64,
    interval_ms: Millis,
    tokens: u64,
    /// Time up to which tokens have been added.
    filled_until: Micros,
}

impl TokenBucket {
    pub(crate) fn new(burst: u64, interval_ms: Millis) -> Self {
        Self {
            burst,
            interval_ms,
            tokens: burst,
            filled_until: Micros(0),
        }
    }

    /// Takes a token if one is available.
    pub(crate) fn try_take(&mut self, now: Micros) -> bool {
        let added = now.since(self.filled_until).0 / self.interval_ms.0.max(1);
        self.filled_until = self.filled_until + Millis(added * self.interval_ms.0);
        self.tokens = self.tokens.saturating_add(added).min(self.burst);
        if self.tokens == 0 {
            return false;
        }
        self.tokens -= 1;
        true
    }
}

/// Exponential back-off with jitter.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backoff {
    failures: u32,
    /// Differs between instances, so that they do not retry at the same time after an outage.
    seed: u64,
    retry_at: Micros,
}

impl Backoff {
    pub(crate) const MIN_MS: Millis = Millis(200);
    pub(crate) const MAX_MS: Millis = Millis(30_000);

    pub(crate) fn new(seed: u64) -> Self {
        Self {
            failures: 0,
            seed,
            retry_at: Micros(0),
        }
    }

    pub(crate) fn has_elapsed(&self, now: Micros) -> bool {
        now >= self.retry_at
    }

    pub(crate) fn reset(&mut self) {
        self.failures = 0;
        self.retry_at = Micros(0);
    }

    /// Records a failure and sets the time of the next try. The limit on the wait doubles with each
    /// failure up to [`Self::MAX_MS`], and the wait is between half of the limit and all of it.
    pub(crate) fn record_failure(&mut self, now: Micros) {
        let limit_ms = ((2 * Self::MIN_MS.0) << self.failures.min(10)).min(Self::MAX_MS.0);
        self.failures = self.failures.saturating_add(1);
        let jitter = hash_pair(self.seed ^ JITTER_SEED, u64::from(self.failures)) % (limit_ms / 2);
        self.retry_at = now + Millis(limit_ms / 2 + jitter);
    }
}
