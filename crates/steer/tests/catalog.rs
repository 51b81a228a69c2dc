//! Tests of the published items that an instance knows, above all across restores of the store.

#![allow(clippy::panic)]

mod kit;

use ids::{Micros, Millis};
use kit::{default_routes, new_document, new_target};
use steer::{Applied, Catalog, Change, Revision, Target, TargetId, Update};

const NOW: Micros = Micros(1_000_000);

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

fn at(epoch: u64, number: u64) -> Revision {
    Revision { epoch, number }
}

fn document(revision: Revision, version: u64) -> Update {
    Update {
        revision,
        change: Change::Document(new_document(version, default_routes())),
    }
}

/// Returns a report of the only target.
fn report(revision: Revision, sequence: u64, is_draining: bool) -> Update {
    let target = Target {
        sequence,
        is_draining,
        ..new_target(1, "rates", "a")
    };
    Update {
        revision,
        change: Change::Target(target),
    }
}

fn removal(revision: Revision) -> Update {
    Update {
        revision,
        change: Change::TargetGone(TargetId(1)),
    }
}

/// Returns a catalog with version 1 of the configuration and a ready target.
fn new_catalog() -> Catalog {
    let mut catalog = Catalog::default();
    let items = vec![document(at(1, 2), 1), report(at(1, 3), 1, false)];
    catalog.apply_snapshot(NOW, at(1, 3), items);
    catalog
}

fn version(catalog: &Catalog) -> Option<u64> {
    catalog.items().find_map(|item| match &item.change {
        Change::Document(document) => Some(document.version),
        _ => None,
    })
}

fn target(catalog: &Catalog) -> Option<&Target> {
    catalog.items().find_map(|item| match &item.change {
        Change::Target(target) => Some(target),
        _ => None,
    })
}

fn is_draining(catalog: &Catalog) -> Option<bool> {
    target(catalog).map(|target| target.is_draining)
}

/// Restores the store from a copy of what [`new_catalog`] holds.
fn restore(catalog: &mut Catalog) -> Applied {
    let items = vec![document(at(2, 2), 1), report(at(2, 3), 1, false)];
    catalog.apply_snapshot(NOW, at(2, 3), items)
}

cases! {
    older_configuration_of_a_copy_is_outdated => {
        let mut catalog = new_catalog();
        catalog.apply_changes(NOW, at(1, 4), vec![document(at(1, 4), 2)]);
        let applied = restore(&mut catalog);
        assert_eq!(applied.outdated, [document(at(2, 2), 1)]);
        assert_eq!(version(&catalog), Some(2));
    }

    configuration_under_a_reissued_revision_is_taken => {
        let mut catalog = new_catalog();
        catalog.apply_changes(NOW, at(1, 5), vec![document(at(1, 5), 2)]);
        restore(&mut catalog);
        catalog.apply_changes(NOW, at(2, 4), vec![document(at(2, 4), 3)]);
        assert_eq!(version(&catalog), Some(3));
    }

    copy_does_not_revert_a_drain => {
        let mut catalog = new_catalog();
        catalog.apply_changes(NOW, at(1, 4), vec![report(at(1, 4), 2, true)]);
        let applied = restore(&mut catalog);
        assert_eq!(applied.outdated, [report(at(2, 3), 1, false)]);
        assert!(applied.updates.contains(&report(at(2, 3), 2, true)));
        assert_eq!(is_draining(&catalog), Some(true));
        // Also not when the store is read once more, before the target has written again.
        restore(&mut catalog);
        assert_eq!(is_draining(&catalog), Some(true));
    }

    target_that_left_does_not_return_with_the_copy => {
        let mut catalog = new_catalog();
        let changes = vec![report(at(1, 4), 2, true), removal(at(1, 5))];
        catalog.apply_changes(NOW, at(1, 5), changes);
        for _ in 0..2 {
            restore(&mut catalog);
            assert_eq!(target(&catalog), None);
        }
    }

    target_that_reports_the_same_after_a_lapse_returns_with_the_copy => {
        let mut catalog = new_catalog();
        catalog.apply_changes(NOW, at(1, 4), vec![removal(at(1, 4))]);
        restore(&mut catalog);
        assert_eq!(is_draining(&catalog), Some(false));
    }

    new_process_of_a_departed_target_is_taken_from_a_restored_store => {
        let mut catalog = new_catalog();
        let changes = vec![report(at(1, 4), 9, true), removal(at(1, 5))];
        catalog.apply_changes(NOW, at(1, 5), changes);
        let started_again = Update {
            revision: at(2, 4),
            change: Change::Target(Target {
                incarnation: 2,
                ..new_target(1, "rates", "a")
            }),
        };
        catalog.apply_snapshot(NOW, at(2, 4), vec![document(at(2, 2), 1), started_again]);
        assert_eq!(is_draining(&catalog), Some(false));
    }

    report_written_after_the_restore_is_taken => {
        let mut catalog = new_catalog();
        catalog.apply_changes(NOW, at(1, 5), vec![report(at(1, 5), 3, false)]);
        restore(&mut catalog);
        catalog.apply_changes(NOW, at(2, 4), vec![report(at(2, 4), 4, true)]);
        assert_eq!(is_draining(&catalog), Some(true));
    }

    item_missing_in_the_copy_is_taken_once_it_is_written_again => {
        let mut catalog = new_catalog();
        catalog.apply_snapshot(NOW, at(2, 2), vec![document(at(2, 2), 1)]);
        assert_eq!(target(&catalog), None);
        catalog.apply_changes(NOW, at(2, 3), vec![report(at(2, 3), 1, false)]);
        assert_eq!(is_draining(&catalog), Some(false));
    }

    removals_are_forgotten_after_a_while => {
        let mut catalog = new_catalog();
        let changes = vec![report(at(1, 4), 2, true), removal(at(1, 5))];
        catalog.apply_changes(NOW, at(1, 5), changes);
        let later = NOW + Millis(61_000);
        let items = vec![document(at(2, 2), 1), report(at(2, 3), 1, false)];
        catalog.apply_snapshot(later, at(2, 3), items);
        assert_eq!(is_draining(&catalog), Some(false));
    }

    repeated_changes_do_not_bring_a_target_back => {
        let mut catalog = new_catalog();
        catalog.apply_changes(NOW, at(1, 5), vec![removal(at(1, 5))]);
        let applied = catalog.apply_changes(NOW, at(1, 4), vec![report(at(1, 4), 2, false)]);
        assert_eq!(applied.outdated, [report(at(1, 4), 2, false)]);
        assert_eq!(target(&catalog), None);
    }

    page_newer_than_its_snapshot_is_not_reverted_by_older_changes => {
        let mut catalog = Catalog::default();
        let items = vec![document(at(1, 2), 1), report(at(1, 6), 3, true)];
        catalog.apply_snapshot(NOW, at(1, 3), items);
        catalog.apply_changes(NOW, at(1, 5), vec![report(at(1, 5), 2, false)]);
        assert_eq!(is_draining(&catalog), Some(true));
    }

    instances_that_know_different_items_at_one_revision_have_different_digests => {
        let mut remembering = new_catalog();
        remembering.apply_changes(NOW, at(1, 4), vec![report(at(1, 4), 2, true)]);
        restore(&mut remembering);
        let mut started = Catalog::default();
        restore(&mut started);
        assert_eq!(remembering.revision(), started.revision());
        assert_ne!(remembering.digest(), started.digest());
        let items = remembering.items().cloned().collect();
        started.apply_snapshot(NOW, remembering.revision(), items);
        assert_eq!(remembering.digest(), started.digest());
        assert_eq!(is_draining(&started), Some(true));
    }

    digest_ignores_when_an_item_was_written => {
        let mut catalog = new_catalog();
        let digest = catalog.digest();
        catalog.apply_changes(NOW, at(1, 4), vec![report(at(1, 4), 2, false)]);
        assert_eq!(catalog.digest(), digest);
    }
}
