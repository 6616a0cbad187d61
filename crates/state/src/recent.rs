//! The answers of the recent past, by which a repeated message is recognised.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Values by key, of which the oldest are dropped when there are too many.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Recent<K, V> {
    /// Ascending by key.
    entries: Vec<(K, V)>,
    /// The same keys, oldest first.
    ages: VecDeque<K>,
}

impl<K, V> Default for Recent<K, V> {
    fn default() -> Recent<K, V> {
        Recent {
            entries: Vec::new(),
            ages: VecDeque::new(),
        }
    }
}

impl<K: Clone + Ord, V> Recent<K, V> {
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        let at = self.position(key).ok()?;
        self.entries.get(at).map(|(_, value)| value)
    }

    /// Adds a value for a key, unless there is one, and keeps the last `capacity` keys.
    pub(crate) fn add(&mut self, key: K, value: V, capacity: usize) {
        let Err(at) = self.position(&key) else {
            return;
        };
        self.entries.insert(at, (key.clone(), value));
        self.ages.push_back(key);
        if self.ages.len() > capacity {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(key) = self.ages.pop_front() else {
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
