//! Text of an answer as a function of the nonce in the prompt.
//!
//! Client and stand-in compute the same text, so a client detects a missing part or the answer to another request.

use std::fmt::Write;

const MARK: &str = "nonce:";

/// The nonce in `text`: the letters, digits and hyphens after the first `nonce:`.
pub fn nonce(text: &str) -> Option<&str> {
    let start = text.find(MARK)? + MARK.len();
    let rest = &text[start..];
    let end = rest
        .find(|c: char| !c.is_ascii_alphanumeric() && c != '-')
        .unwrap_or(rest.len());
    (end > 0).then(|| &rest[..end])
}

/// The text that carries `nonce` in a prompt, a path or a body.
pub fn mark(nonce: &str) -> String {
    format!("{MARK}{nonce}")
}

/// Number of tokens in `text`: one per four bytes, rounded up.
pub fn tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(4)).unwrap_or(u32::MAX)
}

/// Appends tokens `from..to` of the answer for `nonce` to `text`. Each token is a space and four hexadecimal digits.
pub fn append(text: &mut String, nonce: &str, from: u32, to: u32) {
    let seed = hash(nonce.as_bytes());
    for index in from..to {
        // Writing to a string does not fail.
        let _ = write!(text, " {:04x}", mix(seed ^ u64::from(index)) & 0xffff);
    }
}

/// The whole answer of `tokens` tokens for `nonce`.
pub fn whole(nonce: &str, tokens: u32) -> String {
    let mut text = String::with_capacity(tokens as usize * 5);
    append(&mut text, nonce, 0, tokens);
    text
}

/// FNV-1a, 64 bits.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |state, byte| {
        (state ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The output function of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
