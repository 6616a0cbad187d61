//! Draws the calls of an account at random, according to its settings.

use std::net::SocketAddr;

use bytes::Bytes;
use primrose_engine::answer;
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::json;

use super::history::Kind;
use super::settings::{Account, Length, Plain, Settings, Spread};

/// One call; all its attempts send the same request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Index of the account in the settings.
    pub account: usize,
    /// Nonce in the request, which identifies the call.
    pub nonce: String,
    /// Kind of the call.
    pub kind: Kind,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
    /// Number of prompt tokens; 0 for a plain call.
    pub prompt: u32,
    /// Number of output tokens in the complete answer; 0 for a plain call.
    pub output: u32,
    /// Whether the call is marked as non-idempotent.
    pub non_idempotent: bool,
    /// Idempotency key of the call.
    pub key: Option<String>,
    /// How often the call is resent after a lost answer.
    pub resends: u32,
    /// Time after which the caller drops the first attempt, in ms.
    pub abandon_ms: Option<f64>,
}

/// Draws a call of the account with index `account` and the given settings.
pub fn draw(account: usize, settings: &Account, nonce: String, random: &mut StdRng) -> Call {
    match &settings.plain {
        Some(plain) if random.random_bool(plain.share.clamp(0.0, 1.0)) => {
            draw_plain(account, plain, nonce, random)
        }
        _ => draw_model(account, settings, nonce, random),
    }
}

fn draw_model(account: usize, settings: &Account, nonce: String, random: &mut StdRng) -> Call {
    let length = settings.prompt.draw(random);
    let output = settings.output.draw(random);
    let stream = random.random_bool(settings.streamed.clamp(0.0, 1.0));
    let text = prompt(settings, &nonce, length, random);
    let body = json!({
        "model": settings.model,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": output,
        "stand_in_tokens": output,
        "stream": stream,
    });
    Call {
        account,
        kind: if stream { Kind::Stream } else { Kind::Json },
        path: "/v1/chat/completions".to_owned(),
        body: Bytes::from(body.to_string()),
        prompt: answer::count_tokens(&text),
        output,
        non_idempotent: false,
        key: None,
        resends: 0,
        abandon_ms: None,
        nonce,
    }
}

/// Generates a prompt of about `tokens` tokens: a part of a document of the account, text unique to the call, and the
/// nonce.
fn prompt(settings: &Account, nonce: &str, tokens: u32, random: &mut StdRng) -> String {
    let suffix = answer::format_nonce(nonce);
    // A prompt token counts as four bytes, whereas `append_tokens` appends five bytes per token.
    let bytes = (tokens as usize * 4).max(suffix.len() + 1) - suffix.len() - 1;
    let mut text = String::new();
    if settings.documents > 0 {
        let document = random.random_range(0..settings.documents);
        let title = format!("{}-{document}", settings.name);
        let document_bytes = bytes as f64 * settings.document_share.clamp(0.0, 1.0);
        answer::append_tokens(&mut text, &title, 0, document_bytes as u32 / 5);
    }
    let rest = (bytes - text.len()).div_ceil(5) as u32;
    answer::append_tokens(&mut text, nonce, 0, rest);
    text.truncate(bytes);
    text + " " + &suffix
}

fn draw_plain(account: usize, plain: &Plain, nonce: String, random: &mut StdRng) -> Call {
    let non_idempotent = random.random_bool(plain.non_idempotent.clamp(0.0, 1.0));
    let keyed = non_idempotent && random.random_bool(plain.keyed.clamp(0.0, 1.0));
    let abandoned = random.random_bool(plain.abandoned.clamp(0.0, 1.0));
    let abandon_ms = random.random_range(0.0..=plain.abandon_ms.max(0.0));
    let body = json!({"order": answer::format_nonce(&nonce)});
    Call {
        account,
        kind: Kind::Plain,
        path: format!("/plain/{}/calls", plain.pool),
        body: Bytes::from(body.to_string()),
        prompt: 0,
        output: 0,
        non_idempotent,
        key: keyed.then(|| format!("key-{nonce}")),
        resends: if keyed || !non_idempotent {
            plain.resends
        } else {
            0
        },
        abandon_ms: abandoned.then_some(abandon_ms),
        nonce,
    }
}

impl Length {
    /// Draws a length between 1 and `max`, in tokens.
    pub fn draw(&self, random: &mut StdRng) -> u32 {
        let normal = standard_normal(random);
        let value = self.median * (self.sigma * normal).exp();
        (value.round() as u32).clamp(1, self.max.max(1))
    }
}

/// Draws from the standard normal distribution with the Box-Muller transform.
fn standard_normal(random: &mut StdRng) -> f64 {
    let radius: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    let angle = random.random_range(0.0..std::f64::consts::TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}

/// Draws the time between two calls of a Poisson process with `rate` calls per second, in s.
pub fn exponential_gap_s(rate: f64, random: &mut StdRng) -> f64 {
    let value: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    -value.ln() / rate
}

impl Settings {
    /// Returns the targets for calls of this kind.
    pub fn targets_for(&self, kind: Kind) -> &[SocketAddr] {
        if kind == Kind::Plain && !self.plain_targets.is_empty() {
            &self.plain_targets
        } else {
            &self.targets
        }
    }

    /// Chooses the target of the first attempt of a call and returns its index.
    pub fn choose_target(&self, call: &Call, random: &mut StdRng) -> usize {
        let count = self.targets_for(call.kind).len();
        match &self.spread {
            Spread::Random => random.random_range(0..count),
            Spread::Account => call.account % count,
            Spread::Weighted { weights } => {
                weighted_index(&weights[..count.min(weights.len())], random)
            }
        }
    }

    /// Chooses a random target other than `last` and returns its index; returns `last` if there is no other target.
    pub fn choose_other_target(&self, call: &Call, last: usize, random: &mut StdRng) -> usize {
        let count = self.targets_for(call.kind).len();
        if count < 2 {
            return last;
        }
        (last + random.random_range(1..count)) % count
    }
}

/// Draws an index with probability proportional to its weight.
fn weighted_index(weights: &[f64], random: &mut StdRng) -> usize {
    let total: f64 = weights.iter().sum();
    let mut remaining = random.random_range(0.0..1.0) * total;
    for (index, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return index;
        }
        remaining -= weight;
    }
    weights.len() - 1
}
