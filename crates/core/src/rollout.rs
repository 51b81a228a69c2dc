//! Rollout of documents, see section 8 of [the design](../../../docs/design.md).
//!
//! Documents are ordered by (version, root hash) and only ever move forward, so instances agree
//! without talking about it. A document comes into force when every value that it needs here is
//! held and verified.

mod candidate;

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use conf::Document;
use conf::packed::content_hash;
use ids::{ContentHash, InstanceName, Micros, Millis, ServiceName, hash_of};

use crate::backoff::TokenBucket;
use crate::control::Identity;
use crate::event::{ControlAction, ControlLogEvent, DocumentSource, PlatformKey, PlatformOutcome};
use crate::fetch::Fetches;
use crate::membership::Membership;
use crate::peer::DocumentDigest;
use crate::values::ValueStore;
use crate::watch::Watch;
use candidate::Candidate;

const SEED: u64 = 0x726f_6c6c_6f75_0001;
/// Candidates held at once. More than one is needed when the newest cannot be read in full.
const MAX_CANDIDATES: usize = 4;
/// Digests remembered as refused, or as already logged.
const MAX_REMEMBERED: usize = 64;

/// Limits of the rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Services of the group; empty for all of the document.
    pub services: Vec<ServiceName>,
    /// Instances per failure domain that watch the root.
    pub root_watchers: usize,
    /// How long the platform may hold the watch of the root.
    pub root_wait_ms: Millis,
    /// How long the platform may hold the watch of the instance list.
    pub list_wait_ms: Millis,
    /// Time over which the readers spread the renewals of their watches after a change.
    pub renewal_spread_ms: Millis,
    /// Calls of the platform that may be made at once after a quiet time.
    pub call_burst: u64,
    /// Time between two calls of the platform in the long run.
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

/// The document in force and those on their way.
#[derive(Debug)]
pub(crate) struct Rollout {
    settings: RolloutSettings,
    active_document: Option<Arc<Document>>,
    values: ValueStore,
    /// The candidates, smallest first.
    candidates: Vec<Candidate>,
    rejected: VecDeque<ContentHash>,
    /// Roots that were logged as stale or as in conflict, so that each is logged once.
    logged: VecDeque<DocumentDigest>,
    fetches: Fetches,
    call_budget: TokenBucket,
    root_watch: Watch,
    list_watch: Watch,
}

impl Rollout {
    pub(crate) fn new(me: &Identity, settings: RolloutSettings) -> Self {
        let seed = hash_of(SEED, me.name.as_str().as_bytes());
        let list = PlatformKey::Instances(me.group.clone());
        Self {
            active_document: None,
            values: ValueStore::new(settings.services.clone()),
            candidates: Vec::new(),
            rejected: VecDeque::new(),
            logged: VecDeque::new(),
            fetches: Fetches::new(seed, me.domain.clone()),
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

    /// Returns a value held for peers that fetch it.
    pub(crate) fn value(&self, hash: &ContentHash) -> Option<&Arc<[u8]>> {
        self.values.get(hash)
    }

    /// Returns the bytes of the values held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.values.held_bytes()
    }

    /// Tells whether a document is as good as one that a peer announced.
    pub(crate) fn is_up_to_date_with(&self, announced: DocumentDigest) -> bool {
        self.digest().is_some_and(|held| held >= announced) || self.rejected.contains(&announced.1)
    }

    /// Takes an answer of the platform. Returns a new instance list.
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
                _ => self.fetches.failed(now, &hash, None),
            },
        }
        None
    }

    /// Makes the list be read again after a pause.
    pub(crate) fn reject_list(&mut self, now: Micros) {
        self.list_watch.discard_value(now);
    }

    /// Takes a peer's answer to a fetch.
    pub(crate) fn on_fetched(
        &mut self,
        now: Micros,
        from: &InstanceName,
        hash: ContentHash,
        value: Option<Vec<u8>>,
    ) {
        match value {
            Some(bytes) => self.on_value(now, hash, Some(from), bytes),
            None => self.fetches.failed(now, &hash, Some(from)),
        }
    }

    fn on_value(
        &mut self,
        now: Micros,
        hash: ContentHash,
        from: Option<&InstanceName>,
        bytes: Vec<u8>,
    ) {
        if !self.fetches.is_wanted(&hash) {
            return;
        }
        if content_hash(&bytes) != hash {
            self.fetches.failed(now, &hash, from);
            return;
        }
        self.fetches.arrived(&hash);
        self.values.insert(hash, bytes);
        for candidate in &mut self.candidates {
            candidate.missing.remove(&hash);
        }
    }

    /// Takes a root that the platform serves.
    fn on_root(&mut self, now: Micros, bytes: Vec<u8>, out: &mut Vec<ControlAction>) {
        let hash = content_hash(&bytes);
        match self.values.insert_root(hash, bytes) {
            Ok(version) => {
                self.fetches.arrived(&hash);
                for candidate in &mut self.candidates {
                    candidate.missing.remove(&hash);
                }
                self.add_candidate((version, hash), DocumentSource::Platform, out);
                self.drop_unneeded_values();
            }
            // A value torn on its way has another hash, so this does not shut out the whole one.
            Err(reason) => self.reject_document(now, hash, DocumentSource::Platform, reason, out),
        }
    }

    /// Takes the digest of a document that can be had somewhere.
    fn add_candidate(
        &mut self,
        digest: DocumentDigest,
        source: DocumentSource,
        out: &mut Vec<ControlAction>,
    ) {
        if self.rejected.contains(&digest.1) {
            return;
        }
        let held = self.digest();
        if held == Some(digest) {
            return;
        }
        let is_conflict = held
            .into_iter()
            .chain(self.candidates.iter().map(|candidate| candidate.digest))
            .any(|other| other.0 == digest.0 && other.1 != digest.1);
        let is_new = is_conflict && self.mark_logged(digest);
        if is_new {
            out.push(ControlAction::Log(ControlLogEvent::VersionConflict {
                version: digest.0.0,
            }));
        }
        if held.is_some_and(|held| held > digest) {
            // A peer that is behind is being brought up; a platform that is behind is a fault.
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

    /// Returns whether a digest was not noted before, and notes it.
    fn mark_logged(&mut self, digest: DocumentDigest) -> bool {
        if self.logged.contains(&digest) {
            return false;
        }
        push_bounded(&mut self.logged, digest);
        true
    }

    /// Reads what is due, takes over what peers announced, and puts the greatest complete
    /// candidate in force. Returns whether the document in force changed.
    pub(crate) fn advance(
        &mut self,
        now: Micros,
        members: &Membership,
        out: &mut Vec<ControlAction>,
    ) -> bool {
        self.list_watch.poll(now, &mut self.call_budget, out);
        let held = self.digest();
        for peer in members.peers().filter(|peer| peer.is_reachable()) {
            if let Some(digest) = peer.digest
                && held.is_none_or(|held| held.0 <= digest.0 && held != digest)
            {
                self.add_candidate(digest, DocumentSource::Peer(peer.view.name.clone()), out);
            }
        }
        let is_changed = self.activate_best_candidate(now, members, out);
        // ValueStore come before the next root. Otherwise frequent changes would spend the whole
        // budget on roots that are superseded before their values are read.
        if members.is_assigned(SEED, self.settings.root_watchers) {
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
