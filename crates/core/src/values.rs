//! Store of published values by content hash, and assembly of documents from them.

use std::collections::BTreeSet;
use std::sync::Arc;

use conf::Document;
use conf::packed::Root;
use hashbrown::HashMap;
use ids::{ContentHash, ServiceName, Version};

use crate::peer::DocumentDigest;

/// Result of assembling a document.
#[derive(Debug)]
pub(crate) enum Assembly {
    /// All needed values are held.
    Complete(Document),
    /// Needed values that are not held. Once they are, further ones may prove to be needed.
    Missing(BTreeSet<ContentHash>),
}

/// Store of published values.
#[derive(Debug)]
pub(crate) struct ValueStore {
    /// Services that the group handles; if empty, all services of the document.
    services: BTreeSet<ServiceName>,
    held: HashMap<ContentHash, Arc<[u8]>>,
    roots: HashMap<ContentHash, Root>,
}

impl ValueStore {
    pub(crate) fn new(services: Vec<ServiceName>) -> Self {
        Self {
            services: services.into_iter().collect(),
            held: HashMap::new(),
            roots: HashMap::new(),
        }
    }

    pub(crate) fn get(&self, hash: &ContentHash) -> Option<&Arc<[u8]>> {
        self.held.get(hash)
    }

    pub(crate) fn held_bytes(&self) -> usize {
        self.held.values().map(|value| value.len()).sum()
    }

    /// Stores a value whose hash was verified.
    pub(crate) fn insert(&mut self, hash: ContentHash, bytes: Vec<u8>) {
        self.held.insert(hash, bytes.into());
    }

    /// Stores a root document if it can be parsed, and returns its version.
    pub(crate) fn insert_root(
        &mut self,
        hash: ContentHash,
        bytes: Vec<u8>,
    ) -> Result<Version, String> {
        let version = self.parse_root(hash, &bytes)?.version;
        self.insert(hash, bytes);
        Ok(version)
    }

    fn parse_root(&mut self, hash: ContentHash, bytes: &[u8]) -> Result<&Root, String> {
        let mut root = Root::parse(bytes).map_err(|error| error.to_string())?;
        if !self.services.is_empty() {
            root.restrict_to(&self.services);
        }
        Ok(self.roots.entry(hash).or_insert(root))
    }

    /// Assembles a document from the stored values.
    pub(crate) fn assemble(&mut self, (version, hash): DocumentDigest) -> Result<Assembly, String> {
        let Some(bytes) = self.held.get(&hash).cloned() else {
            return Ok(Assembly::Missing(BTreeSet::from([hash])));
        };
        if !self.roots.contains_key(&hash) {
            self.parse_root(hash, &bytes)?;
        }
        let Some(root) = self.roots.get(&hash) else {
            return Ok(Assembly::Missing(BTreeSet::from([hash])));
        };
        if root.version != version {
            return Err(format!(
                "announced as version {version}, but root document {hash} has version {}",
                root.version
            ));
        }
        let missing = root
            .missing_values(
                |hash| self.bytes_of(hash),
                |service| self.is_service_needed(service),
            )
            .map_err(|error| error.to_string())?;
        if !missing.is_empty() {
            return Ok(Assembly::Missing(missing));
        }
        root.assemble(
            |hash| self.bytes_of(hash),
            |service| self.is_service_needed(service),
        )
        .map(Assembly::Complete)
        .map_err(|error| error.to_string())
    }

    fn bytes_of(&self, hash: ContentHash) -> Option<&[u8]> {
        self.held.get(&hash).map(AsRef::as_ref)
    }

    fn is_service_needed(&self, service: &ServiceName) -> bool {
        self.services.is_empty() || self.services.contains(service)
    }

    /// Returns the hashes of all values that a document needs, as far as its pages are held.
    pub(crate) fn needed_by(&self, root_hash: ContentHash) -> BTreeSet<ContentHash> {
        let mut needed = BTreeSet::from([root_hash]);
        let Some(root) = self.roots.get(&root_hash) else {
            return needed;
        };
        let pages: BTreeSet<_> = root.needed_pages().map(|(_, hash)| hash).collect();
        // Only pages are provided, so every other value that is needed is reported as missing.
        let only_pages = |hash| self.bytes_of(hash).filter(|_| pages.contains(&hash));
        if let Ok(missing) =
            root.missing_values(only_pages, |service| self.is_service_needed(service))
        {
            needed.extend(missing);
        }
        needed.extend(pages);
        needed
    }

    /// Drops all values that none of these documents needs. Returns the hashes that they need.
    pub(crate) fn retain_for(&mut self, roots: &[ContentHash]) -> BTreeSet<ContentHash> {
        let needed: BTreeSet<_> = roots
            .iter()
            .flat_map(|&root| self.needed_by(root))
            .collect();
        self.held.retain(|hash, _| needed.contains(hash));
        self.roots.retain(|hash, _| roots.contains(hash));
        needed
    }
}
