//! Counts the tokens that the requests of an engine hold in its memory.
//!
//! Failure: an engine crashes if the requests that it runs need more memory than it has, for example many long prompts
//! that are each quick to prefill. Cached parts that no request uses do not count, because the engine evicts them.

use crate::demand::{Demand, total_tokens};

/// The part of an engine's memory that requests may hold. The rest is for requests that another placer has assigned and
/// that are not reported yet.
const USABLE: f64 = 0.875;

/// The tokens of one request.
#[derive(Clone, Debug, Default)]
pub struct Need {
    /// Cache keys and lengths of the parts of the prompt.
    parts: Vec<(u64, u32)>,
    /// Tokens that no other request shares: the output, and the rest of the prompt beyond its parts.
    own: u64,
}

impl Need {
    /// The need of a request whose prompt has these parts.
    pub fn new(demand: &Demand, parts: &[(u64, u32)]) -> Need {
        let in_parts = total_tokens(parts.iter().map(|&(_, tokens)| tokens));
        let own = demand.prompt.as_ref().map_or(0, |prompt| {
            let rest = prompt.input_tokens.saturating_sub(in_parts);
            u64::from(rest) + u64::from(prompt.output_tokens)
        });
        Need {
            parts: parts.to_vec(),
            own,
        }
    }
}

/// A part that requests of an engine hold.
#[derive(Clone, Copy, Debug)]
struct Part {
    key: u64,
    tokens: u32,
    /// Number of requests that hold the part; at least 1.
    holders: u32,
}

/// The tokens that the requests of one engine hold and will still produce.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// Sorted by key.
    parts: Vec<Part>,
    /// Sum of the lengths of `parts` and of the own tokens of all requests.
    tokens: u64,
}

impl Held {
    /// Tokens in use.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Whether the engine has room for a request. An engine without requests takes one of up to its whole memory.
    pub fn has_room(&self, need: &Need, capacity: u64) -> bool {
        let is_new = |part: &&(u64, u32)| self.position(part.0).is_err();
        let new = need.parts.iter().filter(is_new);
        let more = new.map(|&(_, tokens)| u64::from(tokens)).sum::<u64>() + need.own;
        let limit = if self.tokens == 0 {
            capacity
        } else {
            (capacity as f64 * USABLE) as u64
        };
        self.tokens.saturating_add(more) <= limit
    }

    /// Adds a request.
    pub fn add(&mut self, need: &Need) {
        self.tokens += need.own;
        for &(key, tokens) in &need.parts {
            match self.position(key) {
                Ok(at) => self.parts[at].holders += 1,
                Err(at) => {
                    self.tokens += u64::from(tokens);
                    let holders = 1;
                    self.parts.insert(
                        at,
                        Part {
                            key,
                            tokens,
                            holders,
                        },
                    );
                }
            }
        }
    }

    /// Removes a request that was added.
    pub fn remove(&mut self, need: &Need) {
        self.tokens -= need.own;
        for (key, _) in &need.parts {
            let Ok(at) = self.position(*key) else {
                continue;
            };
            self.parts[at].holders -= 1;
            if self.parts[at].holders == 0 {
                self.tokens -= u64::from(self.parts.remove(at).tokens);
            }
        }
    }

    fn position(&self, key: u64) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&key, |part| part.key)
    }
}
