//! Rollout of documents, see section 8 of [the design](../../../docs/design.md).
//!
//! Documents are ordered by (version, root hash) and an instance only ever moves to a greater one,
//! so instances converge without coordination. A document becomes active when every value that this
//! group needs of it is held and verified.

mod candidate;

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use conf::Document;
use conf::packed::content_hash;
use ids::{ContentHash, InstanceName, Micros, Millis, ServiceName, hash_of};

use crate::backoff::TokenBucket;
use crate::control::Identity;
use crate::event::{ControlAction, ControlLogEvent, DocumentSource, PlatformKey, PlatformOutcome};
use crate::fetch::Fetcher;
use crate::membership::Membership;
use crate::peer::DocumentDigest;
use crate::values::ValueStore;
use crate::watch::Watch;
use candidate::Candidate;

const ROLLOUT_SEED: u64 = 0x726f_6c6c_6f75_0001;
/// Maximum number of candidates. More than one is needed in case the newest cannot be read
/// completely.
const MAX_CANDIDATES: usize = 4;
/// Maximum number of documents remembered as rejected, and of those remembered as logged.
const MAX_REMEMBERED: usize = 64;

/// Settings of the document rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Services that the group handles; if empty, all services of the document.
    pub services: Vec<ServiceName>,
    /// Number of instances per failure domain that watch the root document.
    pub root_watchers: usize,
    /// How long the platform may hold a long poll of the root document.
    pub root_wait_ms: Millis,
    /// How long the platform may hold a long poll of the instance list.
    pub list_wait_ms: Millis,
    /// Time over which the renewals of watches are spread after a change.
    pub renewal_spread_ms: Millis,
    /// Burst size of the rate limit on calls to the platform.
    pub call_burst: u64,
    /// Mean interval between calls to the platform that the rate limit allows.
    pub call_interval_ms: Millis,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            services: Vec::new(),
            root_watchers: 2,
            root_wait_ms: Millis(30_000),
            list_wait_ms: Millis(60_000),
            renewal_spread_ms: Millis(3_000),
            call_burst: 10,
            call_interval_ms: Millis(500),
        }
    }
}

/// The active document and the candidates to replace it.
#[derive(Debug)]
pub(crate) struct Rollout {
    settings: RolloutSettings,
    active_document: Option<Arc<Document>>,
    values: ValueStore,
    /// Candidates in ascending order.
    candidates: Vec<Candidate>,
    rejected: VecDeque<ContentHash>,
    /// Documents already logged as stale or conflicting, so that each is logged only once.
    logged: VecDeque<DocumentDigest>,
    fetcher: Fetcher,
    call_budget: TokenBucket,
    root_watch: Watch,
    list_watch: Watch,
}

impl Rollout {
    pub(crate) fn new(identity: &Identity, settings: RolloutSettings) -> Self {
        let seed = hash_of(ROLLOUT_SEED, identity.name.as_str().as_bytes());
        let list = PlatformKey::Instances(identity.group.clone());
        Self {
            active_document: None,
            values: ValueStore::new(settings.services.clone()),
            candidates: Vec::new(),
            rejected: VecDeque::new(),
            logged: VecDeque::new(),
            fetcher: Fetcher::new(seed, identity.domain.clone()),
            call_budget: TokenBucket::new(settings.call_burst, settings.call_interval_ms),
            root_watch: Watch::new(
                PlatformKey::Root,
                settings.root_wait_ms,
                settings.renewal_spread_ms,
                seed,
            ),
            list_watch: Watch::new(
                list,
                settings.list_wait_ms,
                settings.renewal_spread_ms,
                !seed,
            ),
            settings,
        }
    }

    pub(crate) fn active_document(&self) -> Option<&Arc<Document>> {
        self.active_document.as_ref()
    }

    pub(crate) fn digest(&self) -> Option<DocumentDigest> {
        self.active_document
            .as_ref()
            .map(|document| (document.version, document.root_hash))
    }

    /// Returns the value with a hash, for a peer that fetches it.
    pub(crate) fn value(&self, hash: &ContentHash) -> Option<&Arc<[u8]>> {
        self.values.get(hash)
    }

    /// Returns the total size of the values held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.values.held_bytes()
    }

    /// Returns whether the active document is at least as new as one that a peer announced, or the
    /// announced one was rejected.
    pub(crate) fn is_up_to_date_with(&self, announced: DocumentDigest) -> bool {
        self.digest().is_some_and(|active| active >= announced)
            || self.rejected.contains(&announced.1)
    }

    /// Handles a response of the platform. Returns the instance list if it changed.
    pub(crate) fn on_platform(
        &mut self,
        now: Micros,
        key: PlatformKey,
        outcome: PlatformOutcome,
        out: &mut Vec<ControlAction>,
    ) -> Option<Vec<u8>> {
        match key {
            PlatformKey::Instances(_) => return self.list_watch.complete_call(now, outcome),
            PlatformKey::Root => {
                if let Some(bytes) = self.root_watch.complete_call(now, outcome) {
                    self.on_root(now, bytes, out);
                }
            }
            PlatformKey::Part(hash) => match outcome {
                PlatformOutcome::Value { bytes, .. } => self.on_value(now, hash, None, bytes),
                _ => self.fetcher.record_failure(now, &hash, None),
            },
        }
        None
    }

    /// Discards an instance list that could not be parsed, so that it is read again after a
    /// back-off.
    pub(crate) fn reject_list(&mut self, now: Micros) {
        self.list_watch.discard_value(now);
    }

    /// Handles a peer's answer to a fetch.
    pub(crate) fn on_fetched(
        &mut self,
        now: Micros,
        from: &InstanceName,
        hash: ContentHash,
        value: Option<Vec<u8>>,
    ) {
        match value {
            Some(bytes) => self.on_value(now, hash, Some(from), bytes),
            None => self.fetcher.record_failure(now, &hash, Some(from)),
        }
    }

    fn on_value(
        &mut self,
        now: Micros,
        hash: ContentHash,
        from: Option<&InstanceName>,
        bytes: Vec<u8>,
    ) {
        if !self.fetcher.is_pending(&hash) {
            return;
        }
        if content_hash(&bytes) != hash {
            self.fetcher.record_failure(now, &hash, from);
            return;
        }
        self.fetcher.complete(&hash);
        self.values.insert(hash, bytes);
        for candidate in &mut self.candidates {
            candidate.missing.remove(&hash);
        }
    }

    /// Handles a root document that the platform serves.
    fn on_root(&mut self, now: Micros, bytes: Vec<u8>, out: &mut Vec<ControlAction>) {
        let hash = content_hash(&bytes);
        match self.values.insert_root(hash, bytes) {
            Ok(version) => {
                self.fetcher.complete(&hash);
                for candidate in &mut self.candidates {
                    candidate.missing.remove(&hash);
                }
                self.add_candidate((version, hash), DocumentSource::Platform, out);
                self.drop_unneeded_values();
            }
            // A root that was truncated in transit has another hash, so rejecting it does not
            // reject the complete one.
            Err(reason) => self.reject_document(now, hash, DocumentSource::Platform, reason, out),
        }
    }

    /// Adds an available document to the candidates, unless it was rejected or is not newer than
    /// the active one.
    fn add_candidate(
        &mut self,
        digest: DocumentDigest,
        source: DocumentSource,
        out: &mut Vec<ControlAction>,
    ) {
        if self.rejected.contains(&digest.1) {
            return;
        }
        let active = self.digest();
        if active == Some(digest) {
            return;
        }
        let is_conflict = active
            .into_iter()
            .chain(self.candidates.iter().map(|candidate| candidate.digest))
            .any(|other| other.0 == digest.0 && other.1 != digest.1);
        let is_new = is_conflict && self.mark_logged(digest);
        if is_new {
            out.push(ControlAction::Log(ControlLogEvent::VersionConflict {
                version: digest.0.0,
            }));
        }
        if active.is_some_and(|active| active > digest) {
            // A peer that is behind catches up on its own, but a platform must not be behind.
            if source == DocumentSource::Platform && (is_new || self.mark_logged(digest)) {
                out.push(ControlAction::Log(ControlLogEvent::StaleDocumentIgnored {
                    source,
                    version: digest.0.0,
                }));
            }
            return;
        }
        match self
            .candidates
            .binary_search_by_key(&digest, |candidate| candidate.digest)
        {
            Ok(_) => {}
            Err(index) => {
                let candidate = Candidate {
                    digest,
                    source,
                    missing: BTreeSet::new(),
                };
                self.candidates.insert(index, candidate);
                if self.candidates.len() > MAX_CANDIDATES {
                    self.candidates.remove(0);
                }
            }
        }
    }

    /// Marks a document as logged. Returns whether it was not marked before.
    fn mark_logged(&mut self, digest: DocumentDigest) -> bool {
        if self.logged.contains(&digest) {
            return false;
        }
        push_bounded(&mut self.logged, digest);
        true
    }

    /// Starts reads that are due, adds documents that peers announced to the candidates, and
    /// activates the greatest complete candidate. Returns whether the active document changed.
    pub(crate) fn advance(
        &mut self,
        now: Micros,
        membership: &Membership,
        out: &mut Vec<ControlAction>,
    ) -> bool {
        self.list_watch.poll(now, &mut self.call_budget, out);
        let active = self.digest();
        for peer in membership.peers().filter(|peer| peer.is_reachable()) {
            if let Some(digest) = peer.digest
                && active.is_none_or(|active| active.0 <= digest.0 && active != digest)
            {
                self.add_candidate(digest, DocumentSource::Peer(peer.view.name.clone()), out);
            }
        }
        let is_changed = self.activate_best_candidate(now, membership, out);
        // Values take precedence over the next root. Otherwise frequent changes would use up the
        // call budget for roots that are superseded before their values are read.
        if membership.is_assigned(ROLLOUT_SEED, self.settings.root_watchers) {
            self.root_watch.poll(now, &mut self.call_budget, out);
        }
        if is_changed {
            self.drop_unneeded_values();
        }
        is_changed
    }
}

fn push_bounded<T>(items: &mut VecDeque<T>, item: T) {
    items.push_back(item);
    if items.len() > MAX_REMEMBERED {
        items.pop_front();
    }
}
