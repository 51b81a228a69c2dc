//! Fetches of values by content hash, from peers that announced them and from the platform.

use std::collections::BTreeMap;

use ids::{ContentHash, DomainName, InstanceName, Micros, Millis, hash_of, hash_pair};

use crate::backoff::{Backoff, TokenBucket};
use crate::event::{ControlAction, PlatformKey};
use crate::peer::Peer;

/// Fetches under way at once; more would burst over costly links.
const CONCURRENT: usize = 8;
/// Time after which a fetch counts as lost.
const LOST_MS: Millis = Millis(3_000);

/// Time for which a peer that failed is asked after all others.
const FAILED_MS: Millis = Millis(5_000);

/// Who was asked for a value.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Asked {
    Platform,
    Peer(InstanceName),
}

#[derive(Debug)]
struct Want {
    /// Who is asked now, and since when.
    asked: Option<(Asked, Micros)>,
    tried: Vec<Asked>,
    /// Whether everybody was asked in vain, until the back-off is over.
    is_exhausted: bool,
    backoff: Backoff,
}

/// The values that are wanted and how far their fetches are.
#[derive(Debug)]
pub(crate) struct Fetches {
    seed: u64,
    domain: DomainName,
    wants: BTreeMap<ContentHash, Want>,
    /// When a peer last failed to answer a fetch.
    failures: BTreeMap<InstanceName, Micros>,
}

impl Fetches {
    /// `seed` differs between instances.
    pub(crate) fn new(seed: u64, domain: DomainName) -> Self {
        Self {
            seed,
            domain,
            wants: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }

    pub(crate) fn is_wanted(&self, hash: &ContentHash) -> bool {
        self.wants.contains_key(hash)
    }

    /// Tells whether everybody was asked for a value in vain.
    pub(crate) fn is_exhausted(&self, hash: &ContentHash) -> bool {
        self.wants.get(hash).is_some_and(|want| want.is_exhausted)
    }

    /// Notes that a value has arrived whole.
    pub(crate) fn arrived(&mut self, hash: &ContentHash) {
        self.wants.remove(hash);
    }

    /// Drops wants that no candidate has any more.
    pub(crate) fn retain(&mut self, wanted: impl Fn(&ContentHash) -> bool) {
        self.wants.retain(|hash, _| wanted(hash));
    }

    /// Notes that a value did not arrive from where it was asked for.
    pub(crate) fn failed(&mut self, now: Micros, hash: &ContentHash, from: Option<&InstanceName>) {
        if let Some(peer) = from {
            self.failures.insert(peer.clone(), now);
        }
        let asked = match from {
            Some(peer) => Asked::Peer(peer.clone()),
            None => Asked::Platform,
        };
        if let Some(want) = self.wants.get_mut(hash)
            && want
                .asked
                .as_ref()
                .is_some_and(|(now_asked, _)| *now_asked == asked)
        {
            want.asked = None;
        }
    }

    /// Asks for a value unless that is under way: first the peers that announced it, those of the
    /// own failure domain before others, then the platform.
    pub(crate) fn want<'a>(
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
        self.failures
            .retain(|_, failed| now.since(*failed) < FAILED_MS);
        let under_way = self
            .wants
            .values()
            .filter(|want| want.asked.is_some())
            .count();
        let want = self.wants.entry(hash).or_insert_with(|| Want {
            asked: None,
            tried: Vec::new(),
            is_exhausted: false,
            backoff: Backoff::new(seed),
        });
        if let Some((asked, since)) = &want.asked {
            if now.since(*since) < LOST_MS {
                return;
            }
            if let Asked::Peer(peer) = asked {
                self.failures.insert(peer.clone(), now);
            }
            want.asked = None;
        }
        if under_way >= CONCURRENT {
            return;
        }
        if want.is_exhausted && want.backoff.has_elapsed(now) {
            want.is_exhausted = false;
            want.tried.clear();
        }
        let peer = peers
            .filter(|peer| !want.tried.contains(&Asked::Peer(peer.view.name.clone())))
            .max_by_key(|peer| {
                let is_sound = !self.failures.contains_key(&peer.view.name);
                let is_near = peer.view.domain == self.domain;
                (is_sound, is_near, hash_pair(peer.view.hash, seed))
            });
        if let Some(peer) = peer {
            let name = peer.view.name.clone();
            want.ask(now, Asked::Peer(name.clone()));
            out.push(ControlAction::FetchFromPeer {
                from: name,
                address: peer.grpc_address,
                hash,
            });
            return;
        }
        if want.is_exhausted {
            return;
        }
        if let Some(bucket) = bucket
            && !want.tried.contains(&Asked::Platform)
        {
            if bucket.try_take(now) {
                want.ask(now, Asked::Platform);
                out.push(ControlAction::ReadPlatform {
                    key: PlatformKey::Part(hash),
                    etag: None,
                    wait_ms: Millis(0),
                });
            }
            return;
        }
        // A peer that announces the value later is still asked at once.
        want.is_exhausted = true;
        want.backoff.record_failure(now);
    }
}

impl Want {
    fn ask(&mut self, now: Micros, asked: Asked) {
        self.tried.push(asked.clone());
        self.asked = Some((asked, now));
    }
}
