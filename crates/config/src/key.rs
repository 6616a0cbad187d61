//! Hashes of API keys.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

/// The SHA-256 of an API key. The key itself is never stored.
///
/// Serialized as 64 hexadecimal digits in text formats and as 32 bytes in binary ones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub [u8; 32]);

/// A text that is parsed as a [`KeyHash`] is not 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key hash must be the SHA-256 of the key as 64 hexadecimal digits")]
pub struct Error;

impl KeyHash {
    /// Hashes an API key in the form in which a caller sends it.
    pub fn of(key: &str) -> KeyHash {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }
}

impl FromStr for KeyHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<KeyHash, Error> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| Error)?;
        Ok(KeyHash(bytes))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<KeyHash, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            Ok(KeyHash(<[u8; 32]>::deserialize(deserializer)?))
        }
    }
}
