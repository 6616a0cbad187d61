//! Which prompt parts an engine keeps.
//!
//! An engine keeps the parts that it has read until it needs their memory; the least recently used yield first. A part
//! counts only if all parts before it are kept too, so it is identified by a hash over the whole chain up to it.

use std::hash::BuildHasher;

use foldhash::quality::FixedState;
use primrose_base::clock::Time;

use crate::demand::Prompt;

/// The parts of one engine, as far as its placer knows.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    /// Sorted by chain.
    kept: Vec<Kept>,
    /// Sum of the tokens in `kept`.
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    chain: u64,
    tokens: u32,
    used: Time,
}

/// The chain of each part of a prompt.
pub fn chains(prompt: &Prompt) -> impl Iterator<Item = (u64, u32)> + '_ {
    let mut chain = prompt.model;
    prompt.parts.iter().map(move |part| {
        chain = FixedState::default().hash_one((chain, part.id));
        (chain, part.tokens)
    })
}

impl Cache {
    /// How many tokens of the prompt need not be read again.
    pub fn hit(&self, chains: &[(u64, u32)]) -> u32 {
        let kept = chains
            .iter()
            .take_while(|(chain, _)| self.position(*chain).is_ok());
        kept.map(|&(_, tokens)| tokens).sum()
    }

    /// Records that the engine reads the prompt, and forgets the least recently used parts beyond `capacity` tokens.
    pub fn touch(&mut self, now: Time, chains: &[(u64, u32)], capacity: u64) {
        for &(chain, tokens) in chains {
            match self.position(chain) {
                Ok(at) => self.kept[at].used = now,
                Err(at) => {
                    let used = now;
                    self.kept.insert(
                        at,
                        Kept {
                            chain,
                            tokens,
                            used,
                        },
                    );
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
        let mut ages: Vec<(Time, u32)> = self.kept.iter().map(|k| (k.used, k.tokens)).collect();
        ages.sort_unstable();
        let mut excess = self.tokens.saturating_sub(goal);
        let mut limit = Time::ZERO;
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

    fn position(&self, chain: u64) -> Result<usize, usize> {
        self.kept.binary_search_by_key(&chain, |kept| kept.chain)
    }
}
