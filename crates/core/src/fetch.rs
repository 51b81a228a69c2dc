//! Fetches values by content hash from peers that announced them and from the platform.

use std::collections::BTreeMap;

use ids::{ContentHash, DomainName, InstanceName, Micros, Millis, hash_of, hash_pair};

use crate::backoff::{Backoff, TokenBucket};
use crate::event::{ControlAction, PlatformKey};
use crate::peer::Peer;

/// Maximum number of concurrent fetches; more would cause bursts on expensive links.
const MAX_CONCURRENT_FETCHES: usize = 8;
/// Time after which an unanswered fetch has failed.
const FETCH_TIMEOUT_MS: Millis = Millis(3_000);

/// Time for which a peer that failed to answer is tried after all others.
const FAILED_PEER_PENALTY_MS: Millis = Millis(5_000);

/// Source of a value.
#[derive(Debug, Clone, PartialEq, Eq)]
enum FetchSource {
    Platform,
    Peer(InstanceName),
}

#[derive(Debug)]
struct PendingFetch {
    /// Source that is being queried, and since when.
    current: Option<(FetchSource, Micros)>,
    tried: Vec<FetchSource>,
    /// Whether all sources have failed; reset after the backoff.
    is_exhausted: bool,
    backoff: Backoff,
}

/// Values that are needed and the state of their fetches.
#[derive(Debug)]
pub(crate) struct Fetcher {
    seed: u64,
    domain: DomainName,
    pending: BTreeMap<ContentHash, PendingFetch>,
    /// Time at which each peer last failed to answer a fetch.
    peer_failures: BTreeMap<InstanceName, Micros>,
}

impl Fetcher {
    /// Creates a fetcher; `seed` must differ between instances.
    pub(crate) fn new(seed: u64, domain: DomainName) -> Self {
        Self {
            seed,
            domain,
            pending: BTreeMap::new(),
            peer_failures: BTreeMap::new(),
        }
    }

    pub(crate) fn is_pending(&self, hash: &ContentHash) -> bool {
        self.pending.contains_key(hash)
    }

    /// Returns whether all sources of a value have failed.
    pub(crate) fn is_exhausted(&self, hash: &ContentHash) -> bool {
        self.pending
            .get(hash)
            .is_some_and(|fetch| fetch.is_exhausted)
    }

    /// Ends the fetch of a value that has arrived.
    pub(crate) fn complete(&mut self, hash: &ContentHash) {
        self.pending.remove(hash);
    }

    /// Drops the fetches of values that are no longer needed.
    pub(crate) fn retain(&mut self, is_needed: impl Fn(&ContentHash) -> bool) {
        self.pending.retain(|hash, _| is_needed(hash));
    }

    /// Records that a source did not deliver a value; `None` is the platform.
    pub(crate) fn record_failure(
        &mut self,
        now: Micros,
        hash: &ContentHash,
        from: Option<&InstanceName>,
    ) {
        if let Some(peer) = from {
            self.peer_failures.insert(peer.clone(), now);
        }
        let source = match from {
            Some(peer) => FetchSource::Peer(peer.clone()),
            None => FetchSource::Platform,
        };
        if let Some(fetch) = self.pending.get_mut(hash)
            && fetch
                .current
                .as_ref()
                .is_some_and(|(current, _)| *current == source)
        {
            fetch.current = None;
        }
    }

    /// Starts a fetch of a value unless one is in progress.
    ///
    /// Peers that announced the value are tried first, those in the own failure domain before
    /// others, then the platform.
    pub(crate) fn request<'a>(
        &mut self,
        now: Micros,
        hash: ContentHash,
        peers: impl Iterator<Item = &'a Peer>,
        bucket: Option<&mut TokenBucket>,
        out: &mut Vec<ControlAction>,
    ) {
        let seed = hash_pair(self.seed, hash_of(0, &hash.0));
        // A peer that has recently failed is tried last: a crashed peer is known to be unreachable
        // only after 2 s, and until then each value would run into a timeout again.
        self.peer_failures
            .retain(|_, failed_at| now.since(*failed_at) < FAILED_PEER_PENALTY_MS);
        let in_progress = self
            .pending
            .values()
            .filter(|fetch| fetch.current.is_some())
            .count();
        let fetch = self.pending.entry(hash).or_insert_with(|| PendingFetch {
            current: None,
            tried: Vec::new(),
            is_exhausted: false,
            backoff: Backoff::new(seed),
        });
        if let Some((source, since)) = &fetch.current {
            if now.since(*since) < FETCH_TIMEOUT_MS {
                return;
            }
            if let FetchSource::Peer(peer) = source {
                self.peer_failures.insert(peer.clone(), now);
            }
            fetch.current = None;
        }
        if in_progress >= MAX_CONCURRENT_FETCHES {
            return;
        }
        if fetch.is_exhausted && fetch.backoff.has_elapsed(now) {
            fetch.is_exhausted = false;
            fetch.tried.clear();
        }
        let peer = peers
            .filter(|peer| {
                !fetch
                    .tried
                    .contains(&FetchSource::Peer(peer.view.name.clone()))
            })
            .max_by_key(|peer| {
                let has_not_failed = !self.peer_failures.contains_key(&peer.view.name);
                let is_local = peer.view.domain == self.domain;
                (has_not_failed, is_local, hash_pair(peer.view.hash, seed))
            });
        if let Some(peer) = peer {
            let name = peer.view.name.clone();
            fetch.begin(now, FetchSource::Peer(name.clone()));
            out.push(ControlAction::FetchFromPeer {
                from: name,
                address: peer.grpc_address,
                hash,
            });
            return;
        }
        if fetch.is_exhausted {
            return;
        }
        if let Some(bucket) = bucket
            && !fetch.tried.contains(&FetchSource::Platform)
        {
            if bucket.try_take(now) {
                fetch.begin(now, FetchSource::Platform);
                out.push(ControlAction::ReadPlatform {
                    key: PlatformKey::Part(hash),
                    etag: None,
                    wait_ms: Millis(0),
                });
            }
            return;
        }
        // A peer that announces the value during the backoff is still queried at once.
        fetch.is_exhausted = true;
        fetch.backoff.record_failure(now);
    }
}

impl PendingFetch {
    fn begin(&mut self, now: Micros, source: FetchSource) {
        self.tried.push(source.clone());
        self.current = Some((source, now));
    }
}
