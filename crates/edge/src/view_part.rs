//! Encoding of items in parts of a view, which peers send to each other.
//!
//! Daemons that do not know epochs, orders about failure domains or terms of configurations read
//! and write the same encoding of the other items, so these are in fields of their own.

use steer::{Change, DocumentTerms, Revision, Update};
use wire::steering::{DomainOrder, ViewPart};

/// Encodes items into a part.
///
/// # Errors
/// Fails if an item cannot be encoded.
pub fn encode(part: ViewPart, updates: &[&Update]) -> postcard::Result<ViewPart> {
    let is_order = |change: &Change| {
        matches!(
            change,
            Change::DomainEvacuated(_) | Change::DomainReinstated(_)
        )
    };
    let mut items = updates.to_vec();
    items.retain(|update| !is_order(&update.change));
    Ok(ViewPart {
        updates: postcard::to_allocvec(&items)?,
        report_numbers: items.iter().copied().map(report_number).collect(),
        document_terms: encode_terms(&items)?,
        domain_orders: updates.iter().copied().filter_map(encode_order).collect(),
        ..part
    })
}

/// Returns whether a complete part tells the orders in force. Peers of earlier versions know none,
/// and their parts have no terms of the configuration either.
pub fn has_orders(part: &ViewPart) -> bool {
    !part.document_terms.is_empty()
}

/// Returns the revision up to which the view is complete after a part. If the peer tells no epoch,
/// its revisions are taken to be of `known_epoch`.
pub fn revision(part: &ViewPart, known_epoch: u64) -> Revision {
    let epoch = match part.epoch {
        0 => known_epoch,
        epoch => epoch,
    };
    Revision {
        epoch,
        number: part.revision,
    }
}

/// Decodes the items of a part, whose revisions are of `epoch`.
///
/// # Errors
/// Fails if the bytes are not encoded items.
pub fn decode(part: &ViewPart, epoch: u64) -> postcard::Result<Vec<Update>> {
    let mut updates: Vec<Update> = if part.updates.is_empty() {
        Vec::new()
    } else {
        postcard::from_bytes(&part.updates)?
    };
    let numbers = part.report_numbers.iter().chain(std::iter::repeat(&0));
    for (update, number) in updates.iter_mut().zip(numbers) {
        update.revision.epoch = epoch;
        if let Change::Target(target) = &mut update.change {
            target.sequence = *number;
        }
    }
    decode_terms(part, &mut updates)?;
    let orders = part.domain_orders.iter();
    updates.extend(orders.map(|order| decode_order(order, epoch)));
    Ok(updates)
}

fn report_number(update: &Update) -> u64 {
    match &update.change {
        Change::Target(target) => target.sequence,
        _ => 0,
    }
}

/// Encodes the terms of the last configuration, the only one that stays in force.
fn encode_terms(items: &[&Update]) -> postcard::Result<Vec<u8>> {
    let mut documents = items.iter().filter_map(|item| match &item.change {
        Change::Document(document) => Some(document),
        _ => None,
    });
    let Some(document) = documents.next_back() else {
        return Ok(Vec::new());
    };
    postcard::to_allocvec(&DocumentTerms {
        routes: document.routes.iter().map(|route| route.terms).collect(),
        services: document.services.clone(),
    })
}

/// Adds the terms of a part to its last configuration. Parts of earlier versions have none.
fn decode_terms(part: &ViewPart, updates: &mut [Update]) -> postcard::Result<()> {
    if part.document_terms.is_empty() {
        return Ok(());
    }
    let terms: DocumentTerms = postcard::from_bytes(&part.document_terms)?;
    let mut documents = updates
        .iter_mut()
        .filter_map(|update| match &mut update.change {
            Change::Document(document) => Some(document),
            _ => None,
        });
    let Some(document) = documents.next_back() else {
        return Ok(());
    };
    document.services = terms.services;
    for (route, terms) in document.routes.iter_mut().zip(terms.routes) {
        route.terms = terms;
    }
    Ok(())
}

fn encode_order(update: &Update) -> Option<DomainOrder> {
    let (domain, is_evacuated) = match &update.change {
        Change::DomainEvacuated(domain) => (domain, true),
        Change::DomainReinstated(domain) => (domain, false),
        _ => return None,
    };
    Some(DomainOrder {
        domain: domain.to_string(),
        is_evacuated,
        revision: update.revision.number,
    })
}

fn decode_order(order: &DomainOrder, epoch: u64) -> Update {
    let domain = order.domain.as_str().into();
    let change = if order.is_evacuated {
        Change::DomainEvacuated(domain)
    } else {
        Change::DomainReinstated(domain)
    };
    Update {
        revision: Revision {
            epoch,
            number: order.revision,
        },
        change,
    }
}
