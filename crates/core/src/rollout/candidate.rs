//! Candidate documents: fetching their values, activation and rejection.

use std::collections::BTreeSet;
use std::sync::Arc;

use conf::Document;
use ids::{ContentHash, Micros};

use super::{Rollout, push_bounded};
use crate::event::{ControlAction, ControlLogEvent, DocumentSource};
use crate::membership::Membership;
use crate::peer::DocumentDigest;
use crate::values::Assembly;

/// A document that may become active.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) digest: DocumentDigest,
    pub(super) source: DocumentSource,
    /// Values that are known to be missing; if empty, assembling the document finds them.
    pub(super) missing: BTreeSet<ContentHash>,
}

impl Rollout {
    /// Activates the greatest candidate that is complete, and fetches missing values of the others.
    /// Returns whether the active document changed.
    pub(super) fn activate_best_candidate(
        &mut self,
        now: Micros,
        membership: &Membership,
        out: &mut Vec<ControlAction>,
    ) -> bool {
        let mut may_fetch = true;
        for index in (0..self.candidates.len()).rev() {
            let Candidate { digest, source, .. } = &self.candidates[index];
            let (digest, source) = (*digest, source.clone());
            if self.candidates[index].missing.is_empty() {
                match self.values.assemble(digest) {
                    Ok(Assembly::Complete(document)) => {
                        self.activate(document, source, out);
                        self.candidates.drain(..=index);
                        return true;
                    }
                    Ok(Assembly::Missing(missing)) => self.candidates[index].missing = missing,
                    Err(reason) => {
                        self.candidates.remove(index);
                        self.reject_document(now, digest.1, source, reason, out);
                        continue;
                    }
                }
            }
            if !may_fetch {
                continue;
            }
            for &hash in &self.candidates[index].missing {
                let announcers = membership
                    .peers()
                    .filter(|peer| peer.is_reachable() && peer.digest == Some(digest));
                // The platform serves a root only as the latest one, not by its hash.
                let call_budget = (hash != digest.1).then_some(&mut self.call_budget);
                self.fetcher
                    .request(now, hash, announcers, call_budget, out);
            }
            // A smaller candidate is fetched only if a greater one cannot be completed for now.
            let mut missing = self.candidates[index].missing.iter();
            may_fetch = missing.any(|hash| self.fetcher.is_exhausted(hash));
        }
        false
    }

    fn activate(
        &mut self,
        document: Document,
        source: DocumentSource,
        out: &mut Vec<ControlAction>,
    ) {
        out.push(ControlAction::Log(ControlLogEvent::DocumentActivated {
            version: document.version.0,
            root_hash: document.root_hash,
            source,
        }));
        self.active_document = Some(Arc::new(document));
    }

    /// Drops values that neither the active document nor a candidate needs.
    pub(super) fn drop_unneeded_values(&mut self) {
        let roots: Vec<_> = self
            .digest()
            .into_iter()
            .chain(self.candidates.iter().map(|candidate| candidate.digest))
            .map(|(_, hash)| hash)
            .collect();
        let needed = self.values.retain_for(&roots);
        self.fetcher.retain(|hash| needed.contains(hash));
    }

    /// Rejects an invalid document, so that it is neither fetched nor logged again.
    pub(super) fn reject_document(
        &mut self,
        now: Micros,
        root: ContentHash,
        source: DocumentSource,
        reason: String,
        out: &mut Vec<ControlAction>,
    ) {
        if !self.rejected.contains(&root) {
            if source == DocumentSource::Platform {
                // Reading the root once more tells whether it was only truncated in transit.
                self.root_watch.discard_value(now);
            }
            push_bounded(&mut self.rejected, root);
            out.push(ControlAction::Log(ControlLogEvent::DocumentRejected {
                source,
                reason,
            }));
        }
        self.drop_unneeded_values();
    }
}
