//! The replicated state: the newest document.

use std::sync::Arc;

use primrose_route::Document;
use serde::{Deserialize, Serialize};

/// A document with the bytes that its author sent, which are returned to readers unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// The content.
    pub document: Arc<Document>,
    /// The bytes.
    pub source: Arc<[u8]>,
}

/// What became of a document that was submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It is in force, or was overtaken by a higher version.
    Stored,
    /// Another document has this version.
    Conflict,
}

/// The state machine.
#[derive(Clone, Debug, Default)]
pub struct Store {
    newest: Option<Arc<Stored>>,
}

impl Store {
    /// The document in force.
    pub fn newest(&self) -> Option<&Arc<Stored>> {
        self.newest.as_ref()
    }

    /// Takes a document over if its version is higher than that of the one in force.
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

    /// The state as bytes.
    ///
    /// # Errors
    ///
    /// Returns an error of the encoding, which only types cause that the format does not have.
    pub fn snapshot(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(&self.newest.as_deref())
    }

    /// The state that was encoded by [`Store::snapshot`].
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
