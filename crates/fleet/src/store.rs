//! The replicated state machine, which holds the newest document.

use std::sync::Arc;

use primrose_route::Document;
use serde::{Deserialize, Serialize};

/// A document with the bytes that its author sent. Readers get these bytes unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// The decoded document.
    pub document: Arc<Document>,
    /// The bytes as sent by the author.
    pub source: Arc<[u8]>,
}

/// The reply of the state machine to a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The document is in force, or was superseded by one with a higher version.
    Stored,
    /// A different document with the same version is in force.
    Conflict,
}

/// The state machine. The document with the highest version is in force.
#[derive(Clone, Debug, Default)]
pub struct Store {
    newest: Option<Arc<Stored>>,
}

impl Store {
    /// The document in force, or `None` before the first one.
    pub fn newest(&self) -> Option<&Arc<Stored>> {
        self.newest.as_ref()
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
        postcard::to_stdvec(&self.newest.as_deref())
    }

    /// Decodes a state that was encoded by [`Store::snapshot`].
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a snapshot of this version of the program.
    pub fn restore(bytes: &[u8]) -> Result<Store, postcard::Error> {
        let newest: Option<Stored> = postcard::from_bytes(bytes)?;
        Ok(Store {
            newest: newest.map(Arc::new),
        })
    }
}
