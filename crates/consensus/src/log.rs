//! The entries that a node holds in memory.

use std::collections::VecDeque;

use crate::entry::{Entry, Position};

/// A contiguous range of entries after `base`.
#[derive(Debug)]
pub(crate) struct Log {
    /// The position before the first entry held. The entries up to it have been compacted or are covered by a
    /// snapshot.
    base: Position,
    /// Invariant: the entry at offset `i` has the index `base.index + 1 + i`, and terms never decrease with the
    /// index.
    entries: VecDeque<Entry>,
}

impl Log {
    pub(crate) fn new(base: Position, entries: Vec<Entry>) -> Log {
        let entries = VecDeque::from(entries);
        Log { base, entries }
    }

    pub(crate) fn base(&self) -> Position {
        self.base
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |e| e.position)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The term at `index`, or `None` if the entry has been compacted or does not exist.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    pub(crate) fn holds(&self, position: Position) -> bool {
        self.term(position.index) == Some(position.term)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and all after it.
    pub(crate) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Drops the entries up to and including `index`.
    pub(crate) fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else { return };
        let count = (index - self.base.index) as usize;
        self.entries.drain(..count);
        self.base = Position { term, index };
        if self.entries.capacity() > 4 * self.entries.len().max(256) {
            self.entries.shrink_to(2 * self.entries.len());
        }
    }

    /// Removes all entries and continues after a snapshot at `base`.
    pub(crate) fn reset(&mut self, base: Position) {
        self.base = base;
        self.entries = VecDeque::new();
    }

    /// Copies the entries from `from` to `to` inclusive, up to `max_bytes` in total, but at least one entry if it
    /// exists.
    pub(crate) fn slice(&self, from: u64, to: u64, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut slice = Vec::new();
        for index in from..=to {
            let Some(entry) = self.get(index) else { break };
            bytes += entry.bytes();
            if bytes > max_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// The last position at or before `index` whose term is at most `term`, or the base if there is none. A follower
    /// sends it to the leader as the last entry on which their logs can agree.
    pub(crate) fn hint(&self, index: u64, term: u64) -> Position {
        let count = index.saturating_sub(self.base.index) as usize;
        let count = count.min(self.entries.len());
        // Terms never decrease, so a binary search finds the number of entries whose term is at most `term`.
        let (mut low, mut high) = (0, count);
        while low < high {
            let middle = low + (high - low) / 2;
            if self.entries[middle].position.term <= term {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        match low {
            0 => self.base,
            n => self.entries[n - 1].position,
        }
    }
}
