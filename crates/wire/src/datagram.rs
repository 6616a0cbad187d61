//! Authenticated datagrams.
//!
//! There is no protection against replay: a replayed datagram is accepted. Membership messages carry incarnation
//! numbers and are merged idempotently, so their replay can't undo what a later incarnation has replaced.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::key::{Key, TAG_BYTES};

/// Maximum size of a datagram, in bytes, including its tag; it fits into an Ethernet frame without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Why a message could not be sealed or a datagram not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The tag does not match: the sender does not have the fleet key, or the bytes were damaged.
    #[error("the datagram is not authenticated with the fleet key")]
    Authentication,
    /// The message could not be encoded, or the tag matches but the contents are not a message of this version.
    #[error("the datagram could not be encoded or decoded")]
    Encoding,
    /// The message does not fit into a datagram.
    #[error(
        "the message has {bytes} bytes with its tag, but a datagram has at most {MAX_DATAGRAM_BYTES}"
    )]
    TooLong {
        /// Length of the message with its tag, in bytes.
        bytes: usize,
    },
}

/// Encodes `message` and appends its authentication tag.
///
/// # Errors
///
/// Returns [`Error::TooLong`] if the result exceeds [`MAX_DATAGRAM_BYTES`], and [`Error::Encoding`] if the message
/// cannot be encoded.
pub fn seal<M: Serialize>(key: &Key, message: &M) -> Result<Vec<u8>, Error> {
    let mut bytes = postcard::to_stdvec(message).map_err(|_| Error::Encoding)?;
    let tag = key.tag(&[b"datagram", &bytes]);
    bytes.extend_from_slice(&tag);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::TooLong { bytes: bytes.len() });
    }
    Ok(bytes)
}

/// Checks the authentication tag of `datagram` and decodes the message.
///
/// # Errors
///
/// Returns [`Error::Authentication`] if the tag does not match or is missing, and [`Error::Encoding`] if the contents
/// are not a message of type `M`.
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
