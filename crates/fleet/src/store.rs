//! The replicated state machine, which holds the newest document and the drained failure domains.

use std::sync::Arc;

use primrose_route::Document;
use serde::{Deserialize, Serialize};

use crate::drain::{Excess, List, Order};
use crate::entry::{self, Entry, Snapshot};

/// A document with the bytes that its author sent. Readers get these bytes unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// The decoded document.
    pub document: Arc<Document>,
    /// The bytes as sent by the author.
    pub source: Arc<[u8]>,
}

/// The reply of the state machine to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The document is in force, or was superseded by one with a higher version.
    Stored,
    /// A different document with the same version is in force.
    Conflict,
    /// The order has been carried out.
    Ordered,
    /// The order exceeds a bound of the list of drained domains and is not carried out.
    Excess,
}

/// The state machine. The document with the highest version is in force.
#[derive(Clone, Debug, Default)]
pub struct Store {
    newest: Option<Arc<Stored>>,
    drained: Arc<List>,
}

impl Store {
    /// The document in force, or `None` before the first one.
    pub fn newest(&self) -> Option<&Arc<Stored>> {
        self.newest.as_ref()
    }

    /// The drained failure domains.
    pub fn drained(&self) -> &Arc<List> {
        &self.drained
    }

    /// Applies an entry of the log.
    pub fn apply(&mut self, entry: Entry) -> Reply {
        match entry {
            Entry::Document(stored) => self.put(stored),
            Entry::Order(order) => self.order(&order),
        }
    }

    fn order(&mut self, order: &Order) -> Reply {
        match Arc::make_mut(&mut self.drained).apply(order) {
            Ok(()) => Reply::Ordered,
            Err(Excess) => Reply::Excess,
        }
    }

    /// Puts a document in force if its version is higher than that of the current one.
    pub fn put(&mut self, stored: Stored) -> Reply {
        if let Some(newest) = &self.newest {
            let (held, given) = (newest.document.version, stored.document.version);
            if given == held && newest.document != stored.document {
                return Reply::Conflict;
            }
            if given <= held {
                return Reply::Stored;
            }
        }
        self.newest = Some(Arc::new(stored));
        Reply::Stored
    }

    /// Encodes the state.
    ///
    /// # Errors
    ///
    /// Returns an error of the encoding, which occurs only for types that the format does not support.
    pub fn snapshot(&self) -> Result<Vec<u8>, postcard::Error> {
        entry::encode_snapshot(&Snapshot {
            newest: self.newest.as_deref(),
            drained: List::clone(&self.drained),
        })
    }

    /// Decodes a state that was encoded by [`Store::snapshot`] of this build, or of one that wrote the first layout.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no snapshot of a known layout.
    pub fn restore(bytes: &[u8]) -> Result<Store, postcard::Error> {
        let snapshot = entry::decode_snapshot(bytes)?;
        Ok(Store {
            newest: snapshot.newest.map(Arc::new),
            drained: Arc::new(snapshot.drained),
        })
    }
}
