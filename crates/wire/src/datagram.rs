//! Authenticated datagrams for membership.
//!
//! A replayed datagram is accepted: the messages inside carry incarnation numbers and merge idempotently, so a replay
//! changes nothing that a later incarnation has replaced.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::key::{Key, TAG_BYTES};

/// The largest datagram, in bytes; it fits an Ethernet frame without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The code does not match: the sender does not have the fleet key, or the bytes were damaged.
    #[error("the datagram is not authenticated with the fleet key")]
    Authentication,
    /// The code matches but the contents are not a message of this version.
    #[error("the datagram cannot be decoded")]
    Encoding,
    /// The message does not fit a datagram.
    #[error("the message has {bytes} bytes, a datagram holds at most {MAX_DATAGRAM_BYTES}")]
    TooLong {
        /// Bytes of the message with its code.
        bytes: usize,
    },
}

/// Encodes `message` and appends its authentication code.
///
/// # Errors
///
/// Returns [`Error::TooLong`] if the result exceeds [`MAX_DATAGRAM_BYTES`].
pub fn seal<M: Serialize>(key: &Key, message: &M) -> Result<Vec<u8>, Error> {
    let mut bytes = postcard::to_stdvec(message).map_err(|_| Error::Encoding)?;
    let tag = key.code(&[b"datagram", &bytes]);
    bytes.extend_from_slice(&tag);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::TooLong { bytes: bytes.len() });
    }
    Ok(bytes)
}

/// Checks the authentication code of `datagram` and decodes the message.
///
/// # Errors
///
/// Returns [`Error::Authentication`] for a stranger's datagram and [`Error::Encoding`] for an unknown message.
pub fn open<M: DeserializeOwned>(key: &Key, datagram: &[u8]) -> Result<M, Error> {
    let at = datagram
        .len()
        .checked_sub(TAG_BYTES)
        .ok_or(Error::Authentication)?;
    let (bytes, tag) = datagram.split_at(at);
    if !key.verify(&[b"datagram", bytes], tag) {
        return Err(Error::Authentication);
    }
    postcard::from_bytes(bytes).map_err(|_| Error::Encoding)
}
