//! Published form of a document: root, pages, parts of services and common part.
//!
//! All values except the root are referenced by their content hash, so a corrupted value is
//! detected and an unchanged one is not sent again. See section 8 of [the design](../../../docs/design.md).

use std::collections::{BTreeMap, BTreeSet};

use ids::{ContentHash, PresetName, ServiceName, Version, hash_of};

use crate::document::{DocumentDraft, Scope};
use crate::ini::{IniReader, Section};
use crate::model::Document;
use crate::section_fields::SectionFields;
use crate::{Error, Result, render};

/// Maximum size of a value, a limit of the configuration service.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

const PAGE_SEED: u64 = 0x7061_6765_0000_0001;
/// Maximum number of pages, far above the square root of the number of services in any planned
/// fleet.
const MAX_PAGES: usize = 4_096;
const HASH_FORMAT: &str = "32 hexadecimal digits";

/// The published values of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackedDocument {
    /// Text of the root.
    pub root: String,
    /// Content hash of the root.
    pub root_hash: ContentHash,
    /// Pages, parts and the common part by content hash.
    pub values: BTreeMap<ContentHash, String>,
}

/// A parsed root.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Root {
    /// Version of the document.
    pub version: Version,
    /// Name of the active preset.
    pub preset: PresetName,
    /// Content hash of the common part.
    pub common: ContentHash,
    /// Content hashes of the pages. The hash of its name determines the page of a service.
    pub pages: Vec<ContentHash>,
    /// Content hash of the root itself.
    pub hash: ContentHash,
    /// Indexes of pages that hold no wanted service, see [`Root::restrict_to`].
    skipped_pages: BTreeSet<usize>,
}

/// Returns the content hash of a value.
pub fn content_hash(bytes: &[u8]) -> ContentHash {
    let mut hash = [0; 16];
    blake3::Hasher::new()
        .update(bytes)
        .finalize_xof()
        .fill(&mut hash);
    ContentHash(hash)
}

/// Checks the size of a value and compares its content hash with `hash`.
pub fn verify(kind: &'static str, hash: ContentHash, bytes: &[u8]) -> Result<()> {
    check_size(kind, bytes.len())?;
    let actual = content_hash(bytes);
    if actual != hash {
        return Err(Error::HashMismatch {
            kind,
            expected: hash,
            actual,
        });
    }
    Ok(())
}

fn check_size(kind: &str, size_bytes: usize) -> Result<()> {
    if size_bytes > MAX_VALUE_BYTES {
        return Err(Error::TooLarge {
            kind: kind.to_owned(),
            size_bytes,
            max_bytes: MAX_VALUE_BYTES,
        });
    }
    Ok(())
}

fn page_index(service: &ServiceName, pages: usize) -> usize {
    let hash = hash_of(PAGE_SEED, service.as_str().as_bytes());
    usize::try_from(hash % pages.max(1) as u64).unwrap_or(0)
}

/// Returns the number of pages for a number of services: the square root, rounded up. The root and
/// a page then have the same size, which minimizes the bytes sent for a change to one service.
pub fn page_count(services: usize) -> usize {
    let root_floor = services.isqrt();
    let root = if root_floor * root_floor == services {
        root_floor
    } else {
        root_floor + 1
    };
    root.clamp(1, MAX_PAGES)
}

/// Packs a document. Unless `pages` is given, the number of pages follows from [`page_count`].
pub fn pack(document: &Document, pages: Option<usize>) -> Result<PackedDocument> {
    let pages = pages
        .unwrap_or_else(|| page_count(document.services.len()))
        .clamp(1, MAX_PAGES);
    let mut values = BTreeMap::new();
    let mut add_value = |kind: &str, text: String| {
        check_size(kind, text.len())?;
        let hash = content_hash(text.as_bytes());
        values.insert(hash, text);
        Ok(hash)
    };
    let mut page_contents = vec![BTreeMap::new(); pages];
    for service in document.services.keys() {
        let kind = format!("part of service {service}");
        let hash = add_value(&kind, render::part(document, service))?;
        if let Some(page) = page_contents.get_mut(page_index(service, pages)) {
            page.insert(service.clone(), hash);
        }
    }
    let page_contents = page_contents.iter();
    let hashes: Result<Vec<_>> = page_contents
        .map(|page| add_value("page", render::page(page)))
        .collect();
    let common = add_value("common part", render::common(document))?;
    let root = render::root(document.version, &document.preset, common, &hashes?);
    check_size("root", root.len())?;
    let root_hash = content_hash(root.as_bytes());
    Ok(PackedDocument {
        root,
        root_hash,
        values,
    })
}

impl Root {
    /// Parses a root.
    pub fn parse(bytes: &[u8]) -> Result<Self> {
        check_size("root", bytes.len())?;
        let text = decode_utf8("root", bytes)?;
        let mut reader = IniReader::new("root");
        let (mut root_section, mut pages) = (None, None);
        for section in reader.sections(text) {
            match section.name {
                "root" => root_section = read_root_section(&mut reader, &section),
                "pages" => pages = read_pages(&mut reader, &section),
                name => reader.report_section(section.line, name, "root or pages"),
            }
        }
        if root_section.is_none() && reader.problems.is_empty() {
            reader.report_section(1, "root", "a section with version, preset and common");
        }
        if pages.is_none() && reader.problems.is_empty() {
            reader.report_section(1, "pages", "a section with at least one page");
        }
        let root = root_section
            .zip(pages)
            .map(|((version, preset, common), pages)| Self {
                version,
                preset,
                common,
                pages,
                hash: content_hash(bytes),
                skipped_pages: BTreeSet::new(),
            });
        reader.finish(root)
    }

    /// Skips the pages that hold none of these services, so that after a change to another service
    /// an instance fetches the root only.
    pub fn restrict_to(&mut self, services: &BTreeSet<ServiceName>) {
        let needed: BTreeSet<_> = services
            .iter()
            .map(|service| page_index(service, self.pages.len()))
            .collect();
        self.skipped_pages = (0..self.pages.len())
            .filter(|page| !needed.contains(page))
            .collect();
    }

    /// Returns the index and content hash of the pages that are not skipped.
    pub fn needed_pages(&self) -> impl Iterator<Item = (usize, ContentHash)> {
        let pages = self.pages.iter().copied().enumerate();
        pages.filter(|(index, _)| !self.skipped_pages.contains(index))
    }

    /// Returns the hashes of the wanted values that `get` does not return. The hashes of parts are
    /// listed in pages, so the caller has to call this again after fetching pages.
    pub fn missing_values<'v>(
        &self,
        get: impl Fn(ContentHash) -> Option<&'v [u8]>,
        wanted: impl Fn(&ServiceName) -> bool,
    ) -> Result<BTreeSet<ContentHash>> {
        let mut missing = BTreeSet::new();
        if get(self.common).is_none() {
            missing.insert(self.common);
        }
        for (index, hash) in self.needed_pages() {
            let Some(bytes) = get(hash) else {
                missing.insert(hash);
                continue;
            };
            let parts = self.read_page(index, hash, bytes)?;
            let parts = parts.into_iter().filter(|(service, _)| wanted(service));
            missing.extend(
                parts
                    .map(|(_, part)| part)
                    .filter(|part| get(*part).is_none()),
            );
        }
        Ok(missing)
    }

    /// Assembles the document of the wanted services and checks every value against its content
    /// hash.
    pub fn assemble<'v>(
        &self,
        get: impl Fn(ContentHash) -> Option<&'v [u8]>,
        wanted: impl Fn(&ServiceName) -> bool,
    ) -> Result<Document> {
        let mut draft = DocumentDraft::new("root");
        draft.version = Some(self.version);
        draft.preset = Some((self.preset.clone(), draft.reader.location(1)));
        let text = verified_text("common part", self.common, &get)?;
        draft
            .reader
            .start_file(format!("common part {}", self.common));
        draft.read(text, &Scope::Common);
        for (index, hash) in self.needed_pages() {
            let page = verified_text("page", hash, &get)?;
            let parts = self.read_page(index, hash, page.as_bytes())?;
            for (service, part) in parts.into_iter().filter(|(service, _)| wanted(service)) {
                let text = verified_text("part", part, &get)?;
                draft.reader.start_file(format!("part {part}"));
                draft.read(text, &Scope::Part(service));
            }
        }
        draft.finish_parts(self.hash)
    }

    fn read_page(
        &self,
        index: usize,
        hash: ContentHash,
        bytes: &[u8],
    ) -> Result<BTreeMap<ServiceName, ContentHash>> {
        verify("page", hash, bytes)?;
        let text = decode_utf8("page", bytes)?;
        let mut reader = IniReader::new(&format!("page {hash}"));
        let mut parts = BTreeMap::new();
        for section in reader.sections(text) {
            if section.name != "page" {
                reader.report_section(section.line, section.name, "page");
                continue;
            }
            for (key, value, line) in reader.keys(&section, |_| true, "") {
                let service = key.parse().ok();
                // A service outside of the page for its name could be listed in two pages.
                let belongs_to_page =
                    |service: &ServiceName| page_index(service, self.pages.len()) == index;
                match (service.filter(belongs_to_page), value.parse()) {
                    (Some(service), Ok(part)) => {
                        parts.insert(service, part);
                    }
                    _ => {
                        let expected = format!("a service of page {index} and {HASH_FORMAT}");
                        reader.report_value("page", key, value, line, &expected);
                    }
                }
            }
        }
        reader.finish(Some(parts))
    }
}

fn read_root_section(
    reader: &mut IniReader,
    section: &Section,
) -> Option<(Version, PresetName, ContentHash)> {
    let mut fields = SectionFields::new(reader, section, &["version", "preset", "common"]);
    let version = fields.required("version", "a whole number");
    let preset = fields.required("preset", "the name of one preset");
    let common = fields.required("common", HASH_FORMAT);
    Some((version?, preset?, common?))
}

fn read_pages(reader: &mut IniReader, section: &Section) -> Option<Vec<ContentHash>> {
    let mut pages = Vec::new();
    for (key, value, line) in reader.keys(section, |_| true, "") {
        let is_next = key.parse() == Ok(pages.len()) && pages.len() < MAX_PAGES;
        match value.parse() {
            Ok(hash) if is_next => pages.push(hash),
            _ => {
                let expected = format!("page {} with {HASH_FORMAT}", pages.len());
                reader.report_value("pages", key, value, line, &expected);
            }
        }
    }
    Some(pages).filter(|pages| !pages.is_empty())
}

fn decode_utf8<'v>(kind: &'static str, bytes: &'v [u8]) -> Result<&'v str> {
    std::str::from_utf8(bytes).map_err(|_| Error::InvalidUtf8 { kind })
}

fn verified_text<'v>(
    kind: &'static str,
    hash: ContentHash,
    get: impl Fn(ContentHash) -> Option<&'v [u8]>,
) -> Result<&'v str> {
    let bytes = get(hash).ok_or(Error::MissingValue { kind, hash })?;
    verify(kind, hash, bytes)?;
    decode_utf8(kind, bytes)
}
