//! What the placer needs to know about a request.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies one send of a request to a backend server; unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The incarnation of the entry host that received the request.
    pub entry: u64,
    /// Counts the sends of this incarnation.
    pub sequence: u64,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Identifies the content: parts with the same id have the same content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The prompt of a generation request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Hash of the model's name. Engines cache parts separately for each model.
    pub model: u64,
    /// The parts in order. The last one belongs to this request alone; others may be shared.
    pub parts: Vec<Part>,
    /// Length of the whole prompt in tokens.
    pub input_tokens: u32,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
}

impl Prompt {
    /// The parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared)
    }

    /// Length of the parts that other requests may share, in tokens; saturates at the greatest value.
    pub fn shared_tokens(&self) -> u32 {
        total_tokens(self.shared_parts().iter().map(|part| part.tokens))
    }

    /// The capacity that the request uses, in weighted tokens: an input token counts once, an
    /// output token twice.
    pub fn weighted_tokens(&self) -> f64 {
        f64::from(self.input_tokens) + 2.0 * f64::from(self.output_tokens)
    }
}

/// The sum of lengths in tokens, which callers choose; saturates at the greatest value.
pub(crate) fn total_tokens(tokens: impl Iterator<Item = u32>) -> u32 {
    tokens.fold(0, u32::saturating_add)
}

/// A request for which the placer chooses a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Identifies this send of the request.
    pub key: Key,
    /// Name of the pool that serves the request.
    pub pool: Arc<str>,
    /// Name of the client account, or `None` for an anonymous request.
    pub account: Option<Arc<str>>,
    /// The failure domain of the entry host. A server may be unreachable from one domain and
    /// reachable from others.
    pub domain: Arc<str>,
    /// `None` for a plain service.
    pub prompt: Option<Prompt>,
    /// Latency objective for the answer, or for its first event, in ms.
    pub objective_ms: u32,
    /// Time since the entry host received the request, in ms.
    pub waited_ms: u32,
    /// Time until the caller's deadline, in ms.
    pub remaining_ms: u32,
    /// Whether the caller was refused before and retries.
    pub returning: bool,
    /// Ids of the servers that this request must not be sent to again.
    pub tried: Vec<Arc<str>>,
}
