//! Calls that an account makes, drawn from its settings.

use std::net::SocketAddr;

use bytes::Bytes;
use primrose_engine::answer;
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::json;

use super::history::Kind;
use super::settings::{Account, Length, Plain, Settings, Spread};

/// One call, the same for all its attempts.
#[derive(Clone, Debug)]
pub struct Call {
    /// Index of the account.
    pub account: usize,
    /// Nonce of the call.
    pub nonce: String,
    /// Kind of the call.
    pub kind: Kind,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens that the whole answer has.
    pub output: u32,
    /// Whether it is marked as non-idempotent.
    pub non_idempotent: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// How often it is sent again after a lost answer.
    pub resends: u32,
    /// Time after which the caller drops the first attempt, in ms.
    pub abandon_ms: Option<f64>,
}

/// Draws a call of `account` with the given nonce.
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

/// A prompt of about `tokens` tokens: a part of a document of the account, text of its own, and the nonce.
fn prompt(settings: &Account, nonce: &str, tokens: u32, random: &mut StdRng) -> String {
    let mark = answer::format_nonce(nonce);
    let bytes = (tokens as usize * 4).max(mark.len() + 1) - mark.len() - 1;
    let mut text = String::new();
    if settings.documents > 0 {
        let document = random.random_range(0..settings.documents);
        let title = format!("{}-{document}", settings.name);
        let share = bytes as f64 * settings.document_share.clamp(0.0, 1.0);
        answer::append_tokens(&mut text, &title, 0, share as u32 / 5);
    }
    let rest = (bytes - text.len()).div_ceil(5) as u32;
    answer::append_tokens(&mut text, nonce, 0, rest);
    text.truncate(bytes);
    text + " " + &mark
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
    /// Draws a length of at least 1.
    pub fn draw(&self, random: &mut StdRng) -> u32 {
        let normal = normal(random);
        let value = self.median * (self.sigma * normal).exp();
        (value.round() as u32).clamp(1, self.max.max(1))
    }
}

/// A standard normal value, by the Box-Muller transform.
fn normal(random: &mut StdRng) -> f64 {
    let radius: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    let angle = random.random_range(0.0..std::f64::consts::TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}

/// An exponential gap for `rate` events per second, in s.
pub fn gap(rate: f64, random: &mut StdRng) -> f64 {
    let value: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    -value.ln() / rate
}

impl Settings {
    /// The targets for a kind of call.
    pub fn targets_of(&self, kind: Kind) -> &[SocketAddr] {
        if kind == Kind::Plain && !self.plain_targets.is_empty() {
            &self.plain_targets
        } else {
            &self.targets
        }
    }

    /// The index of the target of a first attempt.
    pub fn choose(&self, call: &Call, random: &mut StdRng) -> usize {
        let count = self.targets_of(call.kind).len();
        match &self.spread {
            Spread::Random => random.random_range(0..count),
            Spread::Account => call.account % count,
            Spread::Weighted { weights } => weighted(&weights[..count.min(weights.len())], random),
        }
    }

    /// The index of another target than `last`, if there is one.
    pub fn choose_other(&self, call: &Call, last: usize, random: &mut StdRng) -> usize {
        let count = self.targets_of(call.kind).len();
        if count < 2 {
            return last;
        }
        (last + random.random_range(1..count)) % count
    }
}

fn weighted(weights: &[f64], random: &mut StdRng) -> usize {
    let total: f64 = weights.iter().sum();
    let mut left = random.random_range(0.0..1.0) * total;
    for (index, weight) in weights.iter().enumerate() {
        if left < *weight {
            return index;
        }
        left -= weight;
    }
    weights.len() - 1
}
