//! The validation of documents and the lookup of requests.

use std::sync::Arc;

use primrose_route::document::{Account, Document, Invalid, Kind, Limits, Pool, Route, Target};
use primrose_route::table::{Caller, Table, choose_pool};
use test_case::test_case;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        max_gap_ms: None,
        priority: 1,
        targets: vec![Target {
            pool: "desk".into(),
            weight: 1,
        }],
        max_servers: 2,
        allows_anonymous: false,
    }
}

fn account(name: &str, key: &str) -> Account {
    Account {
        name: name.into(),
        keys: vec![key.into()],
        priority: None,
    }
}

fn document() -> Document {
    Document {
        version: 1,
        routes: vec![route("all", "/"), route("deep", "/a/b/"), route("a", "/a/")],
        pools: vec![Pool {
            name: "desk".into(),
            max_connections: 10,
            engine: None,
            warmup: None,
        }],
        limits: Limits::default(),
        accounts: Some(vec![account("x", "k1"), account("y", "k2")]),
    }
}

// A document that violates one rule must be rejected as a whole.
#[test_case(|d| d.routes[0].targets[0].pool = "none".into(), "names the unknown pool"; "unknown pool")]
#[test_case(|d| d.routes[0].prefix = "/a/".into(), "share the host"; "duplicate route")]
#[test_case(|d| d.routes[1].targets[0].weight = 0, "add up to 0"; "zero weight")]
#[test_case(|d| d.routes[1].timeout_ms = 0, "is 0"; "zero timeout")]
#[test_case(|d| d.routes[1].prefix = "/a/b".into(), "end with a slash"; "prefix without slash")]
#[test_case(|d| d.accounts = Some(vec![account("x", "k"), account("y", "k")]), "share a key"; "shared key")]
fn an_invalid_document_is_rejected(invalidate: fn(&mut Document), message: &str) {
    let mut changed = document();
    assert_eq!(changed.check(), Ok::<(), Invalid>(()));
    invalidate(&mut changed);
    let error = changed.check().expect_err("the document is invalid");
    assert!(error.to_string().contains(message), "{error}");
}

// A request must go to the most specific route, regardless of the order in the document.
#[test_case("a.example", "/a/b/c", Some("deep"))]
#[test_case("A.example:8080", "/a/b", Some("a"); "a path without the final slash of a prefix")]
#[test_case("a.example", "/x?y=/a/b/", Some("all"); "a query is not part of the path")]
#[test_case("b.example", "/a/b/c", None; "another host")]
fn the_longest_prefix_wins(host: &str, path: &str, expected: Option<&str>) {
    let table = Table::new(Arc::new(document()));
    let found = table.route(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

// A request with a revoked key must not reach a server unless its route allows anonymous requests.
#[test]
fn keys_identify_accounts() {
    let table = Table::new(Arc::new(document()));
    let keyed = route("r", "/");
    let anonymous = Route {
        allows_anonymous: true,
        ..route("o", "/")
    };
    assert!(matches!(table.caller(&keyed, Some("k2")), Caller::Account(a) if &*a.name == "y"));
    assert_eq!(table.caller(&keyed, Some("k3")), Caller::Unknown);
    assert_eq!(table.caller(&keyed, None), Caller::Unknown);
    assert_eq!(table.caller(&anonymous, None), Caller::Anonymous);
}

// Requests of a route must be divided among its targets in proportion to the weights, and a target
// of weight 0 must get none.
#[test]
fn requests_are_divided_by_weight() {
    let mut split = route("r", "/");
    let target = |pool: &str, weight| Target {
        pool: pool.into(),
        weight,
    };
    split.targets = vec![target("a", 3), target("none", 0), target("b", 1)];
    let hits = |name: &str| {
        (0..100u64)
            .filter(|&draw| choose_pool(&split, draw).is_some_and(|pool| &**pool == name))
            .count()
    };
    assert_eq!((hits("a"), hits("none"), hits("b")), (75, 0, 25));
}

// A configuration of 8 MiB holds some ten thousand routes and pools. If every target is searched for among all pools, the
// check takes nearly a minute in a debug build, in which the core host does nothing else.
#[test]
fn check_of_many_routes_and_pools_takes_no_quadratic_time() {
    const COUNT: usize = 60_000;
    let pools: Vec<Pool> = (0..COUNT)
        .map(|number| Pool {
            name: format!("pool-{number}").into(),
            max_connections: 1,
            engine: None,
            warmup: None,
        })
        .collect();
    let routes: Vec<Route> = (0..COUNT)
        .map(|number| Route {
            targets: vec![Target {
                pool: pools[COUNT - 1 - number].name.clone(),
                weight: 1,
            }],
            ..route("r", &format!("/{number}/"))
        })
        .collect();
    let mut document = Document {
        routes,
        pools,
        ..document()
    };
    assert_eq!(document.check(), Ok(()));
    document.routes[COUNT - 1].targets[0].pool = "unknown".into();
    assert!(matches!(document.check(), Err(Invalid::UnknownPool { .. })));
}
