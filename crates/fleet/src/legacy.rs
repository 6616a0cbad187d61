//! The first layout of the entries and snapshots of the log, which builds up to 7b70528 wrote.
//!
//! An entry was a stored document without a marker, and a snapshot was a stored document or none. Pools had no warm-up.

use std::sync::Arc;

use primrose_route::document::{self, Account, Engine, Limits, Route};
use serde::Deserialize;

use crate::store;

#[derive(Deserialize)]
struct Stored {
    document: Document,
    source: Arc<[u8]>,
}

#[derive(Deserialize)]
struct Document {
    version: u64,
    routes: Vec<Route>,
    pools: Vec<Pool>,
    limits: Limits,
    accounts: Option<Vec<Account>>,
}

#[derive(Deserialize)]
struct Pool {
    name: Arc<str>,
    max_connections: u32,
    engine: Option<Engine>,
}

impl From<Pool> for document::Pool {
    fn from(pool: Pool) -> document::Pool {
        document::Pool {
            name: pool.name,
            max_connections: pool.max_connections,
            engine: pool.engine,
            warmup: None,
        }
    }
}

impl From<Stored> for store::Stored {
    fn from(stored: Stored) -> store::Stored {
        let Stored { document, source } = stored;
        let document = document::Document {
            version: document.version,
            routes: document.routes,
            pools: document.pools.into_iter().map(Into::into).collect(),
            limits: document.limits,
            accounts: document.accounts,
        };
        store::Stored {
            document: Arc::new(document),
            source,
        }
    }
}

pub(crate) fn entry(bytes: &[u8]) -> Result<store::Stored, postcard::Error> {
    postcard::from_bytes::<Stored>(bytes).map(Into::into)
}

pub(crate) fn snapshot(bytes: &[u8]) -> Result<Option<store::Stored>, postcard::Error> {
    let stored = postcard::from_bytes::<Option<Stored>>(bytes)?;
    Ok(stored.map(Into::into))
}
