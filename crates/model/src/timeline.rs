//! A queue of events in virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Pending events, ordered by time. The user of the queue chooses the unit of time.
///
/// Invariant: events with the same time are returned in the order in which they were added, so that
/// a simulation with the same seed is reproducible.
#[derive(Debug)]
pub struct Queue<E> {
    events: BinaryHeap<Reverse<Entry<E>>>,
    /// Number of events added so far.
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
    /// Adds an event that is due at the time `at`.
    pub fn push(&mut self, at: u64, event: E) {
        self.added += 1;
        let order = self.added;
        self.events.push(Reverse(Entry { at, order, event }));
    }

    /// The time of the next event, or `None` if the queue is empty.
    pub fn next_at(&self) -> Option<u64> {
        self.events.peek().map(|entry| entry.0.at)
    }

    /// Removes and returns the next event if it is due at or before `now`.
    pub fn pop_due(&mut self, now: u64) -> Option<E> {
        if self.next_at()? > now {
            return None;
        }
        self.events.pop().map(|entry| entry.0.event)
    }
}
