//! Which prompt parts an engine keeps.
//!
//! An engine keeps the parts that it has read until it needs their memory; the least recently used yield first. A part
//! counts only if all parts before it are kept too.

use std::hash::BuildHasher;

use foldhash::quality::FixedState;

use crate::demand::Prompt;

/// The parts of one engine, as far as its placer knows.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    /// Sorted by key.
    kept: Vec<Kept>,
    /// Sum of the tokens in `kept`.
    tokens: u64,
    /// The order of the last use. Times would not do: parts that are learnt from an engine have one time.
    last: u64,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    key: u64,
    tokens: u32,
    /// Differs from that of every other part.
    used: u64,
}

/// Identifies a part as a model has read it.
pub fn part_key(model: u64, part: u64) -> u64 {
    FixedState::default().hash_one((model, part))
}

/// The key and length of each part of a prompt.
pub fn keys(prompt: &Prompt) -> impl Iterator<Item = (u64, u32)> + '_ {
    let parts = prompt.parts.iter();
    parts.map(|part| (part_key(prompt.model, part.id), part.tokens))
}

impl Cache {
    /// How many tokens of the prompt need not be read again.
    pub fn hit(&self, parts: &[(u64, u32)]) -> u32 {
        let kept = parts
            .iter()
            .take_while(|(key, _)| self.position(*key).is_ok());
        kept.map(|&(_, tokens)| tokens).sum()
    }

    /// Records that the engine reads the prompt, and forgets the least recently used parts beyond `capacity` tokens.
    pub fn touch(&mut self, parts: &[(u64, u32)], capacity: u64) {
        // The first part is used last, since the others are worth nothing without it.
        for &(key, tokens) in parts.iter().rev() {
            self.last += 1;
            let used = self.last;
            match self.position(key) {
                Ok(at) => self.kept[at].used = used,
                Err(at) => {
                    self.kept.insert(at, Kept { key, tokens, used });
                    self.tokens += u64::from(tokens);
                }
            }
        }
        if self.tokens > capacity {
            self.evict(capacity);
        }
    }

    /// Forgets everything, after the engine was lost or started anew.
    pub fn clear(&mut self) {
        self.kept.clear();
        self.tokens = 0;
    }

    /// Frees an eighth at a time, so that a full cache is not sorted for every request.
    fn evict(&mut self, capacity: u64) {
        let goal = capacity - capacity / 8;
        let mut ages: Vec<(u64, u32)> = self.kept.iter().map(|k| (k.used, k.tokens)).collect();
        ages.sort_unstable();
        let mut excess = self.tokens.saturating_sub(goal);
        let mut limit = 0;
        for (used, tokens) in ages {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(u64::from(tokens));
            limit = used;
        }
        self.kept.retain(|kept| kept.used > limit);
        self.tokens = self.kept.iter().map(|kept| u64::from(kept.tokens)).sum();
    }

    fn position(&self, key: u64) -> Result<usize, usize> {
        self.kept.binary_search_by_key(&key, |kept| kept.key)
    }
}
