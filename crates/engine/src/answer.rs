//! Text of an answer as a function of the nonce in the request.
//!
//! The load generator and the stand-in compute the same text, so a client detects a missing part of an answer and an
//! answer that belongs to another request.

use std::fmt::Write;

/// Text that precedes a nonce in a prompt, a path or a body.
const NONCE_PREFIX: &str = "nonce:";

/// Finds the nonce in `text`: the ASCII letters, digits and hyphens after the first `nonce:`.
pub fn find_nonce(text: &str) -> Option<&str> {
    let start = text.find(NONCE_PREFIX)? + NONCE_PREFIX.len();
    let rest = &text[start..];
    let end = rest
        .find(|c: char| !c.is_ascii_alphanumeric() && c != '-')
        .unwrap_or(rest.len());
    (end > 0).then(|| &rest[..end])
}

/// Formats `nonce` so that [`find_nonce`] finds it in a prompt, a path or a body.
pub fn format_nonce(nonce: &str) -> String {
    format!("{NONCE_PREFIX}{nonce}")
}

/// Counts the tokens of a prompt: one per four bytes, rounded up.
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(4)).unwrap_or(u32::MAX)
}

/// Appends tokens `from..to` of the answer for `nonce` to `text`. Each token is a space and four hexadecimal digits.
pub fn append_tokens(text: &mut String, nonce: &str, from: u32, to: u32) {
    let seed = hash(nonce.as_bytes());
    for index in from..to {
        // Writing to a string does not fail.
        let _ = write!(text, " {:04x}", mix(seed ^ u64::from(index)) & 0xffff);
    }
}

/// Returns the complete text of an answer of `tokens` tokens for `nonce`.
pub fn full_text(nonce: &str, tokens: u32) -> String {
    let mut text = String::with_capacity(tokens as usize * 5);
    append_tokens(&mut text, nonce, 0, tokens);
    text
}

/// The 64-bit FNV-1a hash of `bytes`.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |state, byte| {
        (state ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The output function of the SplitMix64 generator.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
