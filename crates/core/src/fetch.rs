//! Fetches of values by content hash, from peers that announced them and from the platform.

use std::collections::BTreeMap;

use ids::{ContentHash, DomainName, InstanceName, Micros, Millis, hash_of, hash_pair};

use crate::backoff::{Backoff, TokenBucket};
use crate::event::{ControlAction, PlatformKey};
use crate::peer::Peer;

/// Fetches under way at once; more would burst over costly links.
const MAX_CONCURRENT_FETCHES: usize = 8;
/// Time after which a fetch counts as lost.
const FETCH_TIMEOUT_MS: Millis = Millis(3_000);

/// Time for which a peer that failed is asked after all others.
const FAILED_PEER_PENALTY_MS: Millis = Millis(5_000);

/// Who was asked for a value.
#[derive(Debug, Clone, PartialEq, Eq)]
enum FetchSource {
    Platform,
    Peer(InstanceName),
}

#[derive(Debug)]
struct PendingFetch {
    /// Who is asked now, and since when.
    current: Option<(FetchSource, Micros)>,
    tried: Vec<FetchSource>,
    /// Whether everybody was asked in vain, until the back-off is over.
    is_exhausted: bool,
    backoff: Backoff,
}

/// The values that are wanted and how far their fetches are.
#[derive(Debug)]
pub(crate) struct Fetcher {
    seed: u64,
    domain: DomainName,
    pending: BTreeMap<ContentHash, PendingFetch>,
    /// When a peer last failed to answer a fetch.
    peer_failures: BTreeMap<InstanceName, Micros>,
}

impl Fetcher {
    /// `seed` differs between instances.
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

    /// Tells whether everybody was asked for a value in vain.
    pub(crate) fn is_exhausted(&self, hash: &ContentHash) -> bool {
        self.pending
            .get(hash)
            .is_some_and(|fetch| fetch.is_exhausted)
    }

    /// Notes that a value has arrived whole.
    pub(crate) fn complete(&mut self, hash: &ContentHash) {
        self.pending.remove(hash);
    }

    /// Drops wants that no candidate has any more.
    pub(crate) fn retain(&mut self, is_needed: impl Fn(&ContentHash) -> bool) {
        self.pending.retain(|hash, _| is_needed(hash));
    }

    /// Notes that a value did not arrive from where it was asked for.
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

    /// Asks for a value unless that is under way: first the peers that announced it, those of the
    /// own failure domain before others, then the platform.
    pub(crate) fn request<'a>(
        &mut self,
        now: Micros,
        hash: ContentHash,
        peers: impl Iterator<Item = &'a Peer>,
        bucket: Option<&mut TokenBucket>,
        out: &mut Vec<ControlAction>,
    ) {
        let seed = hash_pair(self.seed, hash_of(0, &hash.0));
        // A peer that has just failed is the last choice: one that died is known as unreachable
        // only after 2 s, and each of its values would be waited for anew.
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
        // A peer that announces the value later is still asked at once.
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
