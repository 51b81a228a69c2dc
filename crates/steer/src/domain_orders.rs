//! Orders about failure domains as the store publishes them: the latest event of each failure
//! domain, and orders that a restored store has lost.
//!
//! A store that is restored from a copy may lack an order that operators have given since. Obeying
//! it for some time longer costs only capacity, while dropping it would send flows to a failure
//! domain that is about to be switched off, so it stays in force until operators had time to write
//! it again.

use hashbrown::HashMap;
use ids::{Micros, Millis};
use smol_str::SmolStr;

use crate::domains::{LOST_NUMBER, domain_of};
use crate::model::{Change, Update};
use crate::revision::Revision;

/// Latest event about a failure domain.
#[derive(Debug)]
struct Order {
    event: Update,
    /// When this instance learned that the restored store lacks the order.
    lost_at: Option<Micros>,
}

impl Order {
    fn is_in_force(&self) -> bool {
        matches!(self.event.change, Change::DomainEvacuated(_))
    }
}

/// The latest order about each failure domain.
#[derive(Debug, Default)]
pub(crate) struct DomainOrders {
    orders: HashMap<SmolStr, Order>,
}

impl DomainOrders {
    /// Returns the orders in force.
    pub fn items(&self) -> impl Iterator<Item = &Update> {
        self.orders
            .values()
            .filter(|order| order.is_in_force())
            .map(|order| &order.event)
    }

    /// Returns whether the order about a failure domain is in force but missing from the store.
    pub fn is_lost(&self, domain: &str) -> bool {
        self.orders
            .get(domain)
            .is_some_and(|order| order.is_in_force() && order.lost_at.is_some())
    }

    /// Applies an event, or returns it if a later one is known.
    pub fn apply(&mut self, now: Micros, event: Update) -> Option<Update> {
        let domain = domain_of(&event.change)?.clone();
        let is_lost = event.revision.number == LOST_NUMBER;
        let known = self.orders.get(&domain);
        if let Some(known) = known {
            let is_repeated = known.event.change == event.change;
            if event.revision < known.event.revision {
                return Some(event).filter(|_| !is_repeated);
            }
            if event.revision == known.event.revision && is_repeated {
                return None;
            }
        }
        // An order that is told by a peer as lost has been lost for as long as it is known to be.
        let lost_at = known.and_then(|known| known.lost_at);
        let order = Order {
            event,
            lost_at: is_lost.then(|| lost_at.unwrap_or(now)),
        };
        self.orders.insert(domain, order);
        None
    }

    /// Ends the orders that a snapshot does not name, after it was applied. Orders of an earlier
    /// epoch are lost but stay in force.
    pub fn end_missing(&mut self, now: Micros, revision: Revision, snapshot: &[SmolStr]) {
        // All items of a new epoch are newer than the events of earlier ones.
        self.orders
            .retain(|_, order| order.is_in_force() || order.event.revision.epoch >= revision.epoch);
        for (domain, order) in &mut self.orders {
            if !order.is_in_force() || order.event.revision > revision {
                continue;
            }
            if order.event.revision.epoch < revision.epoch {
                order.event.revision = Revision {
                    epoch: revision.epoch,
                    number: LOST_NUMBER,
                };
                order.lost_at.get_or_insert(now);
            } else if order.lost_at.is_none() && !snapshot.contains(domain) {
                order.event = reinstated(revision, domain);
            }
        }
    }

    /// Ends the orders that have been lost for longer than `retention`, and returns the events.
    pub fn end_lost(&mut self, now: Micros, revision: Revision, retention: Millis) -> Vec<Update> {
        let mut events = Vec::new();
        for (domain, order) in &mut self.orders {
            let is_over = order.lost_at.is_some_and(|at| now.since(at) > retention);
            if !is_over || !order.is_in_force() {
                continue;
            }
            order.event = reinstated(revision, domain);
            order.lost_at = None;
            events.push(order.event.clone());
        }
        events
    }
}

fn reinstated(revision: Revision, domain: &SmolStr) -> Update {
    Update {
        revision,
        change: Change::DomainReinstated(domain.clone()),
    }
}
