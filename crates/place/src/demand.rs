//! What a request asks for.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies a request across the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The incarnation of the entry host that took the request.
    pub entry: u64,
    /// Counts the sends of that host.
    pub sequence: u64,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Identifies the content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Hash of the model: parts are kept for each model apart.
    pub model: u64,
    /// The parts in order; the last one belongs to this request alone.
    pub parts: Vec<Part>,
    /// Tokens to read.
    pub input: u32,
    /// Tokens that are expected to be generated.
    pub output: u32,
}

impl Prompt {
    /// Tokens of the parts that other requests may share.
    pub fn shared(&self) -> u32 {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.tokens).sum()
    }

    /// Tokens as capacity counts them: each one read once, each one generated twice.
    pub fn cost(&self) -> f64 {
        f64::from(self.input) + 2.0 * f64::from(self.output)
    }
}

/// A request that wants a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The request.
    pub key: Key,
    /// The pool that serves it.
    pub pool: Arc<str>,
    /// Whose it is.
    pub account: Option<Arc<str>>,
    /// The failure domain of the entry host, for which servers may be unreachable that others can reach.
    pub domain: Arc<str>,
    /// `None` for a plain service.
    pub prompt: Option<Prompt>,
    /// The time within which the answer, or its first event, is on time, in ms.
    pub objective_ms: u32,
    /// How long the caller has waited already, in ms.
    pub waited_ms: u32,
    /// How long the caller goes on waiting, in ms.
    pub left_ms: u32,
    /// Whether the caller was refused before and came back.
    pub returning: bool,
    /// Servers that this request must not go to again.
    pub tried: Vec<Arc<str>>,
}
