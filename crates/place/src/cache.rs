//! Which prompt parts each engine has cached.
//!
//! An engine keeps the key-value cache of the prompt parts that it has prefilled until it needs the
//! memory; it evicts the least recently used parts first. A cached part is useful only if all parts
//! before it in the prompt are cached too.

use std::hash::BuildHasher;

use foldhash::quality::FixedState;

use crate::demand::{Prompt, total_tokens};

/// Number of buckets of a [`Filter`]; a power of two. An engine has some hundred parts cached.
const BUCKETS: usize = 1_024;

/// Tells quickly that a part is not cached, which is the answer for most engines: every placement looks for the parts of
/// its prompt on all of them.
#[derive(Clone, Debug, Default)]
struct Filter {
    /// Number of cached parts by the lowest bits of their keys. Empty before the first part. A count that has reached its
    /// greatest value stays there.
    counts: Vec<u16>,
}

impl Filter {
    fn bucket(key: u64) -> usize {
        key as usize % BUCKETS
    }

    /// Whether the part with this key may be cached.
    fn may_contain(&self, key: u64) -> bool {
        let count = self.counts.get(Filter::bucket(key));
        count.is_some_and(|count| *count > 0)
    }

    fn insert(&mut self, key: u64) {
        if self.counts.is_empty() {
            self.counts = vec![0; BUCKETS];
        }
        let count = &mut self.counts[Filter::bucket(key)];
        *count = count.saturating_add(1);
    }

    fn remove(&mut self, key: u64) {
        if let Some(count) = self.counts.get_mut(Filter::bucket(key))
            && *count < u16::MAX
        {
            *count = count.saturating_sub(1);
        }
    }
}

/// The placer's estimate of what one engine has cached.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    /// Sorted by key.
    entries: Vec<Entry>,
    /// The keys of `entries`.
    filter: Filter,
    /// Sum of the tokens in `entries`.
    tokens: u64,
    /// The `last_use` that was assigned most recently. A counter and not a time, because all parts
    /// that an engine reports at once have the same time.
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: u64,
    tokens: u32,
    /// Orders entries by their last use. Unique among the entries.
    last_use: u64,
    /// Whether the engine has prefilled the part. Before that, only requests behind the one that
    /// prefills it can use it, and only on this engine.
    is_ready: bool,
    /// Whether more than one request has used the part.
    is_reused: bool,
}

/// Returns the cache key of the part with the id `part` for the model with the hash `model`.
pub fn part_key(model: u64, part: u64) -> u64 {
    FixedState::default().hash_one((model, part))
}

/// Returns the cache key and the length in tokens of each part of a prompt, in order.
pub fn part_keys(prompt: &Prompt) -> impl Iterator<Item = (u64, u32)> + '_ {
    let parts = prompt.parts.iter();
    parts.map(|part| (part_key(prompt.model, part.id), part.tokens))
}

impl Cache {
    /// Length of the cached prefix of a prompt, in tokens. Each part is a pair of its key and its
    /// length in tokens.
    pub fn cached_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        let cached = parts
            .iter()
            .take_while(|(key, _)| self.filter.may_contain(*key) && self.position(*key).is_ok());
        total_tokens(cached.map(|&(_, tokens)| tokens))
    }

    /// Length of the prefix of a prompt that the engine has prefilled and other engines can fetch, in tokens.
    pub fn ready_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        let is_ready = |key| {
            self.filter.may_contain(key)
                && self.position(key).is_ok_and(|at| self.entries[at].is_ready)
        };
        let ready = parts.iter().take_while(|(key, _)| is_ready(*key));
        total_tokens(ready.map(|&(_, tokens)| tokens))
    }

    /// Records that the engine has prefilled all parts of a prompt.
    pub fn record_ready(&mut self, parts: &[(u64, u32)], capacity: u64) {
        self.mark_used(parts, capacity);
        for (key, _) in parts {
            if let Ok(at) = self.position(*key) {
                self.entries[at].is_ready = true;
            }
        }
    }

    /// Removes the parts of a prompt that the engine has not prefilled, because the request that was
    /// to prefill them has ended. If another request on this engine shares them, its first event
    /// records them again.
    pub fn remove_unread(&mut self, parts: &[(u64, u32)]) {
        for (key, _) in parts {
            if let Ok(at) = self.position(*key)
                && !self.entries[at].is_ready
            {
                self.tokens -= u64::from(self.entries.remove(at).tokens);
                self.filter.remove(*key);
            }
        }
    }

    /// Records that the engine uses all parts of a prompt, and evicts the least recently used parts
    /// if the cache exceeds `capacity` tokens. Parts that are new are not prefilled yet.
    pub fn touch(&mut self, parts: &[(u64, u32)], capacity: u64) {
        for (key, _) in parts {
            if let Ok(at) = self.position(*key) {
                self.entries[at].is_reused = true;
            }
        }
        self.mark_used(parts, capacity);
    }

    fn mark_used(&mut self, parts: &[(u64, u32)], capacity: u64) {
        // The first part becomes the most recently used one, since the others are useless without
        // it.
        for &(key, tokens) in parts.iter().rev() {
            self.uses += 1;
            let last_use = self.uses;
            match self.position(key) {
                Ok(at) => self.entries[at].last_use = last_use,
                Err(at) => {
                    let entry = Entry {
                        key,
                        tokens,
                        last_use,
                        is_ready: false,
                        is_reused: false,
                    };
                    self.entries.insert(at, entry);
                    self.filter.insert(key);
                    self.tokens += u64::from(tokens);
                }
            }
        }
        if self.tokens > capacity {
            self.evict(capacity);
        }
    }

    /// Tokens of parts that more than one request has used and that the engine evicts to cache `tokens` more.
    pub fn evicted_tokens(&self, tokens: u32, capacity: u64) -> u64 {
        let mut excess = (self.tokens + u64::from(tokens)).saturating_sub(capacity);
        if excess == 0 {
            return 0;
        }
        let mut oldest: Vec<&Entry> = self.entries.iter().collect();
        oldest.sort_unstable_by_key(|entry| entry.last_use);
        let mut reused = 0;
        for entry in oldest {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(u64::from(entry.tokens));
            if entry.is_reused {
                reused += u64::from(entry.tokens);
            }
        }
        reused
    }

    /// Removes all parts, after the engine was lost or restarted.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.filter = Filter::default();
        self.tokens = 0;
    }

    /// Evicts down to seven eighths of the capacity, so that a full cache is not sorted again for
    /// every request.
    fn evict(&mut self, capacity: u64) {
        let goal = capacity - capacity / 8;
        let mut uses: Vec<(u64, u32)> = self
            .entries
            .iter()
            .map(|entry| (entry.last_use, entry.tokens))
            .collect();
        uses.sort_unstable();
        let mut excess = self.tokens.saturating_sub(goal);
        let mut last_evicted = 0;
        for (last_use, tokens) in uses {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(u64::from(tokens));
            last_evicted = last_use;
        }
        let filter = &mut self.filter;
        self.entries.retain(|entry| {
            let is_kept = entry.last_use > last_evicted;
            if !is_kept {
                filter.remove(entry.key);
            }
            is_kept
        });
        self.tokens = self
            .entries
            .iter()
            .map(|entry| u64::from(entry.tokens))
            .sum();
    }

    fn position(&self, key: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |entry| entry.key)
    }
}
