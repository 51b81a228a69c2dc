//! Packing of a document and its assembly from published values.

#![allow(clippy::expect_used)]

use std::collections::{BTreeMap, BTreeSet};

use conf::packed::{self, PackedDocument, Root, page_count};
use conf::{Document, Error, document};
use ids::{ContentHash, ServiceName};
use proptest::prelude::*;

fn sample() -> Document {
    document::parse("d.ini", include_str!("document.ini")).expect("a valid document")
}

/// Renders a document with the given number of targets per service.
fn document_of(targets: &[u8]) -> Document {
    let mut text = String::from(
        "[document]\nversion = 3\npreset = ordinary\n\
         [preset.ordinary]\n[preset.peak]\n[preset.maintenance]\n",
    );
    for (service, count) in targets.iter().enumerate() {
        text.push_str(&format!("[service.s{service}]\n[class.s{service}.feed]\n"));
        for target in 0..*count {
            text.push_str(&format!(
                "[target.s{service}.t{target}]\ndomain = a\naddress = 127.0.{service}.{target}:7500\n"
            ));
        }
    }
    document::parse("d.ini", &text).expect("a valid document")
}

fn bytes_of(packed: &PackedDocument) -> BTreeMap<ContentHash, Vec<u8>> {
    let values = packed.values.iter();
    values
        .map(|(hash, text)| (*hash, text.clone().into_bytes()))
        .collect()
}

fn assemble(
    packed: &PackedDocument,
    held: &BTreeMap<ContentHash, Vec<u8>>,
) -> conf::Result<Document> {
    let root = Root::parse(packed.root.as_bytes())?;
    root.assemble(|hash| held.get(&hash).map(Vec::as_slice), |_| true)
}

/// Guards against a value that is lost between packing and assembly.
#[test]
fn sample_survives_packing() {
    let packed = packed::pack(&sample(), None).expect("a small document");
    assert_eq!(assemble(&packed, &bytes_of(&packed)), Ok(sample()));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Guards against a number of pages or services for which packing loses something.
    #[test]
    fn any_size_survives_packing(
        targets in prop::collection::vec(1_u8..4, 1..20),
        pages in 1_usize..6,
    ) {
        let document = document_of(&targets);
        let packed = packed::pack(&document, Some(pages)).expect("a small document");
        let assembled = assemble(&packed, &bytes_of(&packed)).expect("a whole document");
        prop_assert_eq!(assembled.root_hash, packed.root_hash);
        prop_assert_eq!(assembled.services, document.services);
    }
}

/// Guards against a root that grows with anything but its pages, and against a change to one
/// service that renames other values.
#[test]
fn one_change_renames_one_part_one_page_and_the_root() {
    let before = packed::pack(&document_of(&[1; 100]), None).expect("a small document");
    let mut counts = [1; 100];
    counts[42] = 2;
    let after = packed::pack(&document_of(&counts), None).expect("a small document");
    let renamed = after
        .values
        .keys()
        .filter(|hash| !before.values.contains_key(hash));
    assert_eq!(renamed.count(), 2);
    assert_eq!(before.root.len(), after.root.len());
    assert_eq!(
        Root::parse(after.root.as_bytes())
            .expect("a root")
            .pages
            .len(),
        10
    );
}

#[yare::parameterized(
    none = { 0, 1 },
    one = { 1, 1 },
    two = { 2, 2 },
    square = { 4, 2 },
    above_square = { 5, 3 },
    planned = { 6_800, 83 },
)]
fn page_count_is_the_rounded_up_root(services: usize, expected: usize) {
    assert_eq!(page_count(services), expected);
}

/// Guards against a torn, missing or oversize value that is accepted. Each value is tried in turn.
#[test]
fn every_torn_missing_or_oversize_value_is_refused() {
    let packed = packed::pack(&sample(), None).expect("a small document");
    for hash in packed.values.keys() {
        let mut held = bytes_of(&packed);
        held.get_mut(hash).expect("a value").pop();
        assert!(
            matches!(assemble(&packed, &held), Err(Error::HashMismatch { expected, .. }) if expected == *hash)
        );
        held.insert(*hash, vec![b';'; packed::MAX_VALUE_BYTES + 1]);
        assert!(matches!(
            assemble(&packed, &held),
            Err(Error::TooLarge { .. })
        ));
        held.remove(hash);
        assert!(
            matches!(assemble(&packed, &held), Err(Error::MissingValue { hash: missing, .. }) if missing == *hash)
        );
    }
}

/// Guards against a fetch that stops before all values are held, or that asks for too many.
#[test]
fn missing_values_are_named_until_all_are_held() {
    let packed = packed::pack(&sample(), None).expect("a small document");
    let root = Root::parse(packed.root.as_bytes()).expect("a root");
    let all = bytes_of(&packed);
    let wanted = |service: &ServiceName| service.as_str() == "rates";
    let mut held: BTreeMap<ContentHash, Vec<u8>> = BTreeMap::new();
    let mut rounds = 0;
    loop {
        let missing = root
            .missing_values(|hash| held.get(&hash).map(Vec::as_slice), wanted)
            .expect("sound pages");
        if missing.is_empty() {
            break;
        }
        rounds += 1;
        held.extend(missing.iter().map(|hash| (*hash, all[hash].clone())));
    }
    assert_eq!((rounds, held.len()), (2, all.len() - 1));
    let document = root
        .assemble(|hash| held.get(&hash).map(Vec::as_slice), wanted)
        .expect("the wanted part of a document");
    assert!(document.services.keys().all(wanted));
}

/// Guards against an instance of few services that receives the pages of all others.
#[test]
fn narrowed_root_needs_the_pages_of_its_services_only() {
    let packed = packed::pack(&document_of(&[1; 100]), None).expect("a small document");
    let services: BTreeSet<ServiceName> = ["s7", "s42"]
        .map(|name| name.parse().expect("a name"))
        .into();
    let mut root = Root::parse(packed.root.as_bytes()).expect("a root");
    root.restrict_to(&services);
    let pages: BTreeSet<_> = root.needed_pages().map(|(_, hash)| hash).collect();
    assert!(pages.len() <= 2);
    let mut held = bytes_of(&packed);
    held.retain(|hash, text| !text.starts_with(b"[page]") || pages.contains(hash));
    let document = root
        .assemble(
            |hash| held.get(&hash).map(Vec::as_slice),
            |name| services.contains(name),
        )
        .expect("the wanted part of a document");
    let assembled: BTreeSet<_> = document.services.into_keys().collect();
    assert_eq!(assembled, services);
}

/// Returns a document with one page and one value replaced, named by its new hash throughout.
fn republished(start: &str, edit: impl Fn(&str) -> String) -> conf::Result<Document> {
    let packed = packed::pack(&document_of(&[1, 2]), Some(1)).expect("a small document");
    let mut held = bytes_of(&packed);
    let mut root = packed.root.clone();
    let mut replace = |old: &str, new: &str, within: &str| {
        let hash = packed::content_hash(new.as_bytes());
        held.insert(hash, new.as_bytes().to_vec());
        let old = packed::content_hash(old.as_bytes()).to_string();
        within.replace(&old, &hash.to_string())
    };
    let find = |start: &str| {
        let found = packed.values.values().find(|text| text.starts_with(start));
        found.expect("a value of this kind")
    };
    let (value, page) = (find(start), find("[page]"));
    if start == "[page]" {
        root = replace(page, &edit(page), &root);
    } else {
        let new_page = replace(value, &edit(value), page);
        root = replace(page, &new_page, &root);
    }
    assemble(&PackedDocument { root, ..packed }, &held)
}

/// Guards against a value with a sound hash and unsound contents. A part must carry the service that
/// its page says and nothing of any other service.
#[yare::parameterized(
    other_service = { "[service.s0]", "s0", "s1", "expected sections of service s0 only" },
    no_service = { "[service.s0]", "[service.s0]\n", "", "expected a section for this service" },
    foreign_share = {
        "[service.s0]", "[service.s0]\n",
        "[service.s0]\n[preset.peak]\nshare.s1.feed = 5\n",
        "share.s1.feed = 5: expected share.<service>.<class> of a service of this text"
    },
    preset_in_part = {
        "[service.s0]", "[service.s0]\n", "[service.s0]\n[preset.peak]\nretry_budget = 5\n",
        "retry_budget = 5: expected one of the keys share.<service>.<class>"
    },
    bad_hash = { "[page]", "s0 = ", "s0 = z", "expected a service of page 0" },
    other_section = { "[page]", "[page]", "[leaf]", "[leaf]: expected page" },
)]
fn unsound_value_is_refused(start: &str, from: &str, to: &str, expected: &str) {
    let refusal = republished(start, |text| text.replace(from, to)).expect_err("an unsound value");
    assert!(refusal.to_string().contains(expected), "{refusal}");
}

/// Guards against a helper whose edits are refused for another reason than their contents.
#[test]
fn republished_value_is_accepted() {
    let document = republished("[service.s0]", |text| format!("; Edited.\n{text}"));
    assert_eq!(document.expect("a sound document").services.len(), 2);
}

/// Guards against a service that two pages list, with two parts.
#[test]
fn service_in_another_page_is_refused() {
    let mut packed = packed::pack(&document_of(&[1; 9]), None).expect("a small document");
    let root = Root::parse(packed.root.as_bytes()).expect("a root");
    let (first, second) = (root.pages[0].to_string(), root.pages[1].to_string());
    packed.root = packed
        .root
        .replace(&first, "first")
        .replace(&second, &first);
    packed.root = packed.root.replace("first", &second);
    let refusal = assemble(&packed, &bytes_of(&packed)).expect_err("swapped pages");
    assert!(
        refusal.to_string().contains("expected a service of page 0"),
        "{refusal}"
    );
}

/// Guards against a root without pages, under which every service would vanish.
#[test]
fn root_without_pages_is_refused() {
    let packed = packed::pack(&sample(), None).expect("a small document");
    let head = packed.root.split("0 = ").next().expect("a head");
    let refusal = Root::parse(head.as_bytes()).expect_err("a root without pages");
    assert!(
        refusal.to_string().contains("at least one page"),
        "{refusal}"
    );
}

#[yare::parameterized(
    no_version = { "version = 7\n", "", "root:1: [root] version is missing" },
    skipped_page = { "0 = ", "7 = ", "expected page 0 with" },
    short_hash = { "common = ", "common = 0", "[root] common = " },
    extra_key = { "version = 7", "version = 7\nservices = 2", "[root] services = 2" },
    other_section = { "[pages]", "[leaves]", "[leaves]: expected root or pages" },
)]
fn faulty_root_is_refused(from: &str, to: &str, expected: &str) {
    let packed = packed::pack(&sample(), None).expect("a small document");
    let refusal =
        Root::parse(packed.root.replacen(from, to, 1).as_bytes()).expect_err("a faulty root");
    assert!(refusal.to_string().contains(expected), "{refusal}");
}
