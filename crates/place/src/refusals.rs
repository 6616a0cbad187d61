//! Recognises requests that come back after they were refused.
//!
//! Load pattern: an account floods the fleet. Most of its requests are refused, and their callers
//! return after the time that they were told. These requests have missed their objective already, so
//! engine time that they get is lost to requests of the same account that can still be on time. The
//! placer therefore serves them only from what the others leave.
//!
//! A caller returns to another entry host and with another attempt id. What stays the same is the
//! last part of the prompt, which belongs to the request or its session alone.

use primrose_base::clock::Time;

/// How long a refused request is remembered, in ms: longer than the longest time after which a
/// caller is told to retry.
const MEMORY_MS: u64 = 4_000;

/// Interval at which forgotten requests are removed, in ms.
const CLEANUP_INTERVAL_MS: u64 = 500;

/// The requests that were refused recently and have not come back.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    /// Sorted by key, without duplicates.
    entries: Vec<Entry>,
    last_cleanup: Time,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// The cache key of the last part of the prompt.
    key: u64,
    refused: Time,
}

impl Refusals {
    /// Records that a request was refused.
    pub fn record(&mut self, now: Time, key: u64) {
        self.clean_up(now);
        let entry = Entry { key, refused: now };
        match self.position(key) {
            Ok(at) => self.entries[at] = entry,
            Err(at) => self.entries.insert(at, entry),
        }
    }

    /// Whether the request was refused recently.
    pub fn contains(&self, now: Time, key: u64) -> bool {
        let at = self.position(key);
        at.is_ok_and(|at| now.since(self.entries[at].refused) < MEMORY_MS)
    }

    /// Whether the request was refused recently. Forgets it, so that the next request of the same
    /// session does not count as returning as well.
    pub fn take(&mut self, now: Time, key: u64) -> bool {
        let was_refused = self.contains(now, key);
        if let Ok(at) = self.position(key) {
            self.entries.remove(at);
        }
        was_refused
    }

    fn clean_up(&mut self, now: Time) {
        if now.since(self.last_cleanup) >= CLEANUP_INTERVAL_MS {
            self.last_cleanup = now;
            self.entries
                .retain(|entry| now.since(entry.refused) < MEMORY_MS);
        }
    }

    fn position(&self, key: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |entry| entry.key)
    }
}
