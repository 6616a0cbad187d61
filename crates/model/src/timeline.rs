//! Events in virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Events that have not happened yet. The unit of time is that of its user.
///
/// Invariant: events of the same moment happen in the order in which they were added, so that a run repeats.
#[derive(Debug)]
pub struct Queue<E> {
    events: BinaryHeap<Reverse<Entry<E>>>,
    added: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at: u64,
    order: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Entry<E>) -> bool {
        self.order == other.order
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Entry<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Entry<E>) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl<E> Default for Queue<E> {
    fn default() -> Queue<E> {
        Queue {
            events: BinaryHeap::new(),
            added: 0,
        }
    }
}

impl<E> Queue<E> {
    /// Adds an event that happens at `at`.
    pub fn push(&mut self, at: u64, event: E) {
        self.added += 1;
        let order = self.added;
        self.events.push(Reverse(Entry { at, order, event }));
    }

    /// When the next event happens.
    pub fn next_at(&self) -> Option<u64> {
        self.events.peek().map(|entry| entry.0.at)
    }

    /// Takes the next event that has happened by `now`.
    pub fn pop_due(&mut self, now: u64) -> Option<E> {
        if self.next_at()? > now {
            return None;
        }
        self.events.pop().map(|entry| entry.0.event)
    }
}
