//! The fleet key and the authentication tags made with it.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Minimum length of the fleet key, in bytes: the output length of SHA-256, as RFC 2104 recommends.
pub const MIN_KEY_BYTES: usize = 32;

/// Length of an authentication tag, in bytes: HMAC-SHA-256 truncated to half of its output, as RFC 2104 allows.
pub const TAG_BYTES: usize = 16;

/// A symmetric key: the fleet key, which all daemons of one fleet share, or a session key derived from it.
#[derive(Clone)]
pub struct Key {
    mac: Hmac<Sha256>,
}

/// The key is too short to be safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fleet key has {bytes} bytes but needs at least {MIN_KEY_BYTES}")]
pub struct TooShort {
    /// Length of the rejected key, in bytes.
    pub bytes: usize,
}

impl Key {
    /// Creates the fleet key from secret bytes.
    ///
    /// # Errors
    ///
    /// Returns [`TooShort`] for fewer than [`MIN_KEY_BYTES`] bytes.
    pub fn new(secret: &[u8]) -> Result<Key, TooShort> {
        if secret.len() < MIN_KEY_BYTES {
            return Err(TooShort {
                bytes: secret.len(),
            });
        }
        Ok(Key::from_any_length(secret))
    }

    fn from_any_length(secret: &[u8]) -> Key {
        let mac = Hmac::new_from_slice(secret).expect("HMAC accepts every key length");
        Key { mac }
    }

    /// Derives the session key of one direction of a connection from a label and the nonces of client and server.
    pub(crate) fn derive(&self, label: &[u8], nonces: [&[u8]; 2]) -> Key {
        Key::from_any_length(&self.full_tag(&[label, nonces[0], nonces[1]]))
    }

    /// The authentication tag of the concatenation of `parts`.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let full = self.full_tag(parts);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full[..TAG_BYTES]);
        tag
    }

    /// Compares a received tag in constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        subtle::ConstantTimeEq::ct_eq(&self.tag(parts)[..], tag).into()
    }

    fn full_tag(&self, parts: &[&[u8]]) -> [u8; 32] {
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
