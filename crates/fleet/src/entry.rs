//! The encoding of the entries and snapshots of the log.
//!
//! Both begin with [`MARKER`], which tells them from those of the first layout ([`legacy`](crate::legacy)). If the
//! layout of a document changes again, entries get a new variant and snapshots a new version, so that logs which were
//! written before can be opened.

use serde::{Deserialize, Serialize};

use crate::drain::{List, Order};
use crate::legacy;
use crate::store::Stored;

/// No entry or snapshot of the first layout begins with these bytes: an entry begins with a number of at most 64 bits,
/// whose tenth byte is at most 1, and a snapshot with 0 or 1.
const MARKER: [u8; 10] = [0xff; 10];

/// The version of the snapshots that this build writes.
const SNAPSHOT_VERSION: u8 = 1;

/// The content of an entry. New variants are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A document.
    Document(Stored),
    /// An order about a failure domain.
    Order(Order),
}

/// The content of a snapshot.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Snapshot<N> {
    pub(crate) newest: Option<N>,
    pub(crate) drained: List,
}

impl Entry {
    /// Encodes the entry.
    ///
    /// # Errors
    ///
    /// Returns an error of the encoding, which occurs only for types that the format does not support.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, MARKER.to_vec())
    }

    /// Decodes an entry of this or of the first layout.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no entry of a known layout.
    pub fn decode(bytes: &[u8]) -> Result<Entry, postcard::Error> {
        match bytes.strip_prefix(&MARKER) {
            Some(content) => postcard::from_bytes(content),
            None => legacy::entry(bytes).map(Entry::Document),
        }
    }
}

pub(crate) fn encode_snapshot(snapshot: &Snapshot<&Stored>) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = MARKER.to_vec();
    bytes.push(SNAPSHOT_VERSION);
    postcard::to_extend(snapshot, bytes)
}

pub(crate) fn decode_snapshot(bytes: &[u8]) -> Result<Snapshot<Stored>, postcard::Error> {
    match bytes.strip_prefix(&MARKER) {
        Some([SNAPSHOT_VERSION, content @ ..]) => postcard::from_bytes(content),
        Some(_) => Err(postcard::Error::DeserializeBadEncoding),
        None => Ok(Snapshot {
            newest: legacy::snapshot(bytes)?,
            drained: List::default(),
        }),
    }
}
