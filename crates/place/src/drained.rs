//! The failure domains to whose servers nothing is sent, by order of the operators.
//!
//! Hosts hear of the orders from several core hosts, in any order and some of them late. The set with the highest
//! revision is in force on a host, so that an older one never revokes a newer order.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The names of the drained failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set {
    /// Number of the order that made the set what it is; 0 before the first one.
    pub revision: u64,
    /// Sorted, without duplicates.
    pub domains: Vec<Arc<str>>,
}

impl Set {
    /// Whether the domain is drained.
    pub fn contains(&self, domain: &str) -> bool {
        let found = self.domains.binary_search_by(|name| (**name).cmp(domain));
        found.is_ok()
    }

    /// Takes over `other` if its revision is higher. Returns whether it was.
    pub fn merge(&mut self, other: &Set) -> bool {
        let is_newer = other.revision > self.revision;
        if is_newer {
            self.clone_from(other);
            // Another host may have sent the names in any order.
            self.domains.sort();
            self.domains.dedup();
        }
        is_newer
    }
}
