//! Tests of packing a document and of assembling it from published values.

#![allow(clippy::expect_used)]

use std::collections::{BTreeMap, BTreeSet};

use conf::packed::{self, PackedDocument, Root, page_count};
use conf::{Document, Error, document};
use ids::{ContentHash, ServiceName};
use proptest::prelude::*;

fn sample() -> Document {
    document::parse("d.ini", include_str!("document.ini")).expect("a valid document")
}

/// Creates a document with the given number of targets per service.
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

/// Guards against a value that is lost when a document is packed and assembled.
#[test]
fn packing_round_trips_the_sample() {
    let packed = packed::pack(&sample(), None).expect("a small document");
    assert_eq!(assemble(&packed, &bytes_of(&packed)), Ok(sample()));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Guards against numbers of pages or services for which packing loses a value.
    #[test]
    fn packing_round_trips_any_size(
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

/// Guards against a root whose size depends on anything but the number of pages, and against a
/// change to one service that changes the hashes of other values.
#[test]
fn change_to_a_service_replaces_one_part_and_one_page() {
    let before = packed::pack(&document_of(&[1; 100]), None).expect("a small document");
    let mut counts = [1; 100];
    counts[42] = 2;
    let after = packed::pack(&document_of(&counts), None).expect("a small document");
    let new_hashes = after
        .values
        .keys()
        .filter(|hash| !before.values.contains_key(hash));
    assert_eq!(new_hashes.count(), 2);
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
fn page_count_is_the_square_root_rounded_up(services: usize, expected: usize) {
    assert_eq!(page_count(services), expected);
}

/// Guards against a corrupted, missing or oversized value that is accepted. Each value is tested in
/// turn.
#[test]
fn corrupted_missing_or_oversized_value_is_rejected() {
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

/// Guards against fetching too few or too many values.
#[test]
fn missing_values_are_returned_until_all_are_held() {
    let packed = packed::pack(&sample(), None).expect("a small document");
    let root = Root::parse(packed.root.as_bytes()).expect("a root");
    let all = bytes_of(&packed);
    let wanted = |service: &ServiceName| service.as_str() == "rates";
    let mut held: BTreeMap<ContentHash, Vec<u8>> = BTreeMap::new();
    let mut rounds = 0;
    loop {
        let missing = root
            .missing_values(|hash| held.get(&hash).map(Vec::as_slice), wanted)
            .expect("valid pages");
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

/// Guards against an instance of few services that fetches the pages of all other services.
#[test]
fn restricted_root_needs_only_the_pages_of_its_services() {
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

/// Assembles a document after editing the value that begins with `start`. All references to it are
/// updated to its new hash.
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

/// Guards against a value with a correct hash and invalid contents. A part must hold the service
/// for which its page lists it, and nothing of other services.
#[yare::parameterized(
    other_service = { "[service.s0]", "s0", "s1", "expected sections of service s0 only" },
    no_service = { "[service.s0]", "[service.s0]\n", "", "expected a section for this service" },
    share_of_other_service = {
        "[service.s0]", "[service.s0]\n",
        "[service.s0]\n[preset.peak]\nshare.s1.feed = 5\n",
        "share.s1.feed = 5: expected share.<service>.<class> of a service of this text"
    },
    preset_in_part = {
        "[service.s0]", "[service.s0]\n", "[service.s0]\n[preset.peak]\nretry_budget = 5\n",
        "retry_budget = 5: expected one of the keys share.<service>.<class>"
    },
    invalid_hash = { "[page]", "s0 = ", "s0 = z", "expected a service of page 0" },
    other_section = { "[page]", "[page]", "[leaf]", "[leaf]: expected page" },
)]
fn invalid_value_with_correct_hash_is_rejected(start: &str, from: &str, to: &str, expected: &str) {
    let error = republished(start, |text| text.replace(from, to)).expect_err("an invalid value");
    assert!(error.to_string().contains(expected), "{error}");
}

/// Guards against a test helper whose edits are rejected for a reason other than their contents.
#[test]
fn republished_value_is_accepted() {
    let document = republished("[service.s0]", |text| format!("; Edited.\n{text}"));
    assert_eq!(document.expect("a valid document").services.len(), 2);
}

/// Guards against a service that is listed in two pages with different parts.
#[test]
fn service_in_another_page_is_rejected() {
    let mut packed = packed::pack(&document_of(&[1; 9]), None).expect("a small document");
    let root = Root::parse(packed.root.as_bytes()).expect("a root");
    let (first, second) = (root.pages[0].to_string(), root.pages[1].to_string());
    packed.root = packed
        .root
        .replace(&first, "first")
        .replace(&second, &first);
    packed.root = packed.root.replace("first", &second);
    let error = assemble(&packed, &bytes_of(&packed)).expect_err("swapped pages");
    assert!(
        error.to_string().contains("expected a service of page 0"),
        "{error}"
    );
}

/// Guards against accepting a root without pages, which would remove all services.
#[test]
fn root_without_pages_is_rejected() {
    let packed = packed::pack(&sample(), None).expect("a small document");
    let root_section = packed.root.split("0 = ").next().expect("a root section");
    let error = Root::parse(root_section.as_bytes()).expect_err("a root without pages");
    assert!(error.to_string().contains("at least one page"), "{error}");
}

#[yare::parameterized(
    no_version = { "version = 7\n", "", "root:1: [root] version is missing" },
    skipped_page = { "0 = ", "7 = ", "expected page 0 with" },
    short_hash = { "common = ", "common = 0", "[root] common = " },
    extra_key = { "version = 7", "version = 7\nservices = 2", "[root] services = 2" },
    other_section = { "[pages]", "[leaves]", "[leaves]: expected root or pages" },
)]
fn invalid_root_is_rejected(from: &str, to: &str, expected: &str) {
    let packed = packed::pack(&sample(), None).expect("a small document");
    let error =
        Root::parse(packed.root.replacen(from, to, 1).as_bytes()).expect_err("an invalid root");
    assert!(error.to_string().contains(expected), "{error}");
}
