//! Orders to drain a failure domain or to return it to service, and the list of drained domains that follows from them.

use std::sync::Arc;

use primrose_place::drained::Set;
use serde::{Deserialize, Serialize};

/// The most domains that are drained at the same time.
pub const MAX_DOMAINS: usize = 64;

/// The most bytes that the names of all drained domains take, each with one byte for its length. They are sent in every
/// status, which must fit into a datagram of 1,400 bytes beside the quarantined prompt parts: with 384 bytes, the longest
/// status of a fleet with eight core hosts had 1,414.
pub const MAX_NAMES_BYTES: usize = 256;

/// What an order does with a domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Nothing more is sent to servers of the domain.
    Drain,
    /// The domain is returned to service.
    Return,
}

/// An order of an operator. The same order may be applied any number of times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Name of the domain.
    pub domain: Arc<str>,
    /// What is done with it.
    pub action: Action,
    /// When the order was received, in ms since the Unix epoch.
    pub at_ms: u64,
}

/// A drained domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// Name of the domain.
    pub name: Arc<str>,
    /// When the order to drain it was received, in ms since the Unix epoch.
    pub since_ms: u64,
    /// Number of that order: the revision of the list that it made.
    pub order: u64,
}

/// The drained domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Number of orders that have changed the list.
    pub revision: u64,
    /// Sorted by name; at most [`MAX_DOMAINS`], whose names take at most [`MAX_NAMES_BYTES`].
    pub domains: Vec<Domain>,
}

/// An order cannot be carried out, because the list would exceed [`MAX_DOMAINS`] or [`MAX_NAMES_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Excess;

impl List {
    /// Carries out an order. An order that is carried out already changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Excess`] if a bound of the list would be exceeded.
    pub fn apply(&mut self, order: &Order) -> Result<(), Excess> {
        match (self.find(&order.domain), order.action) {
            (Ok(_), Action::Drain) | (Err(_), Action::Return) => {}
            (Ok(at), Action::Return) => {
                self.revision += 1;
                self.domains.remove(at);
            }
            (Err(at), Action::Drain) => {
                let names = self.domains.iter().map(|domain| &domain.name);
                let names = names.chain([&order.domain]);
                let bytes: usize = names.map(|name| name.len() + 1).sum();
                if self.domains.len() >= MAX_DOMAINS || bytes > MAX_NAMES_BYTES {
                    return Err(Excess);
                }
                self.revision += 1;
                let domain = Domain {
                    name: Arc::clone(&order.domain),
                    since_ms: order.at_ms,
                    order: self.revision,
                };
                self.domains.insert(at, domain);
            }
        }
        Ok(())
    }

    /// Whether the domain is drained.
    pub fn contains(&self, domain: &str) -> bool {
        self.find(domain).is_ok()
    }

    /// The names of the domains, for the hosts that send requests.
    pub fn set(&self) -> Set {
        let names = self.domains.iter().map(|domain| Arc::clone(&domain.name));
        Set {
            revision: self.revision,
            domains: names.collect(),
        }
    }

    fn find(&self, domain: &str) -> Result<usize, usize> {
        self.domains
            .binary_search_by(|drained| (*drained.name).cmp(domain))
    }
}
