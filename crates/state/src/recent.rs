//! A bounded map of recent replies, by which repeated messages are recognised.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// A map that drops its oldest entry when it exceeds its capacity.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Recent<K, V> {
    /// Ascending by key.
    entries: Vec<(K, V)>,
    /// The same keys, oldest first.
    insertion_order: VecDeque<K>,
}

impl<K, V> Default for Recent<K, V> {
    fn default() -> Recent<K, V> {
        Recent {
            entries: Vec::new(),
            insertion_order: VecDeque::new(),
        }
    }
}

impl<K: Clone + Ord, V> Recent<K, V> {
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        let at = self.position(key).ok()?;
        self.entries.get(at).map(|(_, value)| value)
    }

    /// Adds an entry unless the key exists, and keeps the last `capacity` entries.
    pub(crate) fn add(&mut self, key: K, value: V, capacity: usize) {
        let Err(at) = self.position(&key) else {
            return;
        };
        self.entries.insert(at, (key.clone(), value));
        self.insertion_order.push_back(key);
        if self.insertion_order.len() > capacity {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(key) = self.insertion_order.pop_front() else {
            return;
        };
        if let Ok(at) = self.position(&key) {
            self.entries.remove(at);
        }
    }

    fn position(&self, key: &K) -> Result<usize, usize> {
        self.entries.binary_search_by(|(other, _)| other.cmp(key))
    }
}
