//! Servers, documents and requests for the tests of the placer.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::sync::Arc;

use primrose_place::Server;
use primrose_place::Settings;
use primrose_place::demand::{Demand, Key, Part, Prompt};
use primrose_place::placer::{Decision, Placer};
use primrose_route::Document;
use primrose_route::document::{Engine, Pool};

pub(crate) const POOL: &str = "engines";

pub(crate) fn engine(number: u32) -> Server {
    Server {
        id: format!("engine-{number:02}").into(),
        pool: POOL.into(),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        domain: "north".into(),
        slots: 48,
        draining: false,
        cold: false,
    }
}

pub(crate) fn engines(count: u32) -> Vec<Server> {
    (1..=count).map(engine).collect()
}

/// A document with one pool of engines that can cache many prompts. `tokens_per_s` is the
/// guaranteed capacity, if any.
pub(crate) fn document(tokens_per_s: Option<f64>) -> Arc<Document> {
    let engine = Engine {
        slots: 48,
        cache_tokens: 444_000,
        token_bytes: Some(131_072),
        link_mbps: 180_000.0,
    };
    let mut document = Document {
        pools: vec![Pool {
            name: POOL.into(),
            max_connections: 310,
            engine: Some(engine),
            warmup: None,
        }],
        ..Document::default()
    };
    document.limits.tokens_per_s = tokens_per_s;
    Arc::new(document)
}

/// A document whose engines fetch cached tokens quickly, which turns on what depends on it.
pub(crate) fn fast_document() -> Arc<Document> {
    let mut document = (*document(None)).clone();
    document.pools[0]
        .engine
        .as_mut()
        .expect("an engine")
        .token_bytes = Some(18_432);
    Arc::new(document)
}

pub(crate) fn placer(count: u32) -> Placer {
    let mut placer = Placer::new(Settings::default());
    placer.set_servers(&engines(count));
    placer.set_document(&document(None));
    placer
}

/// A request whose prompt has a shared part with the id `part` and `shared` tokens, and `own`
/// tokens that no other request has.
pub(crate) fn demand(sequence: u64, part: u64, shared: u32, own: u32) -> Demand {
    let parts = vec![
        Part {
            id: part,
            tokens: shared,
        },
        Part {
            id: 1_000_000 + sequence,
            tokens: own,
        },
    ];
    Demand {
        key: Key { entry: 1, sequence },
        pool: POOL.into(),
        account: Some("account".into()),
        domain: "north".into(),
        prompt: Some(Prompt {
            model: 1,
            parts,
            input_tokens: shared + own,
            output_tokens: 100,
        }),
        objective_ms: 600,
        waited_ms: 0,
        remaining_ms: 8_000,
        returning: false,
        tried: Vec::new(),
    }
}

/// Returns the id of the server of a request that must be placed.
pub(crate) fn server_of(decision: Decision) -> Arc<str> {
    match decision {
        Decision::Place { server, .. } => server.id,
        Decision::Refuse { reason, .. } => panic!("refused: {reason:?}"),
        Decision::Wait { .. } => panic!("waits"),
    }
}
