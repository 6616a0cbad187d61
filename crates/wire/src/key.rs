//! The fleet key and the message authentication codes made with it.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The shortest fleet key, in bytes: the output length of SHA-256, as RFC 2104 recommends.
pub const MIN_KEY_BYTES: usize = 32;

/// Bytes of an authentication code; RFC 2104 allows truncation to half of the hash.
pub const TAG_BYTES: usize = 16;

/// A secret that all daemons of one fleet share.
#[derive(Clone)]
pub struct Key {
    mac: Hmac<Sha256>,
}

/// The key is too short to be safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fleet key has {bytes} bytes, it needs at least {MIN_KEY_BYTES}")]
pub struct TooShort {
    /// Bytes in the key that was refused.
    pub bytes: usize,
}

impl Key {
    /// Makes a key of secret bytes.
    ///
    /// # Errors
    ///
    /// Refuses fewer than [`MIN_KEY_BYTES`] bytes.
    pub fn new(secret: &[u8]) -> Result<Key, TooShort> {
        if secret.len() < MIN_KEY_BYTES {
            return Err(TooShort {
                bytes: secret.len(),
            });
        }
        Ok(Key::from_any_length(secret))
    }

    fn from_any_length(secret: &[u8]) -> Key {
        // HMAC accepts keys of every length.
        let mac = Hmac::new_from_slice(secret).expect("HMAC accepts every key length");
        Key { mac }
    }

    /// Derives the key of one direction of a connection from a label and the nonces of both ends.
    pub(crate) fn derive(&self, label: &[u8], nonces: [&[u8]; 2]) -> Key {
        Key::from_any_length(&self.full_code(&[label, nonces[0], nonces[1]]))
    }

    /// The authentication code of the concatenation of `parts`.
    pub(crate) fn code(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let full = self.full_code(parts);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full[..TAG_BYTES]);
        tag
    }

    /// Compares a received code in constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        subtle::ConstantTimeEq::ct_eq(&self.code(parts)[..], tag).into()
    }

    fn full_code(&self, parts: &[&[u8]]) -> [u8; 32] {
        let mut mac = self.mac.clone();
        for part in parts {
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}
