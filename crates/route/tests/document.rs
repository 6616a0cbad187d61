//! Documents are refused as a whole, and requests find their route.

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
        }],
        limits: Limits::default(),
        accounts: Some(vec![account("x", "k1"), account("y", "k2")]),
    }
}

// A document that breaks a rule must not come into force in part.
#[test_case(|d| d.routes[0].targets[0].pool = "none".into(), "names the unknown pool"; "unknown pool")]
#[test_case(|d| d.routes[0].prefix = "/a/".into(), "share the host"; "same place")]
#[test_case(|d| d.routes[1].targets[0].weight = 0, "add up to 0"; "no weight")]
#[test_case(|d| d.routes[1].timeout_ms = 0, "is 0"; "no timeout")]
#[test_case(|d| d.routes[1].prefix = "/a/b".into(), "end with a slash"; "open prefix")]
#[test_case(|d| d.accounts = Some(vec![account("x", "k"), account("y", "k")]), "share a key"; "shared key")]
fn an_invalid_document_is_refused(damage: fn(&mut Document), message: &str) {
    let mut damaged = document();
    assert_eq!(damaged.check(), Ok::<(), Invalid>(()));
    damage(&mut damaged);
    let error = damaged.check().expect_err("the rule is broken");
    assert!(error.to_string().contains(message), "{error}");
}

// A request must go to the most specific route, whatever the order in the document.
#[test_case("a.example", "/a/b/c", Some("deep"))]
#[test_case("A.example:8080", "/a/b", Some("a"); "a prefix ends with its slash")]
#[test_case("a.example", "/x?y=/a/b/", Some("all"); "a query is not part of the path")]
#[test_case("b.example", "/a/b/c", None; "another host")]
fn the_longest_prefix_wins(host: &str, path: &str, expected: Option<&str>) {
    let table = Table::new(Arc::new(document()));
    let found = table.route(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

// A revoked key must not reach a server, and an open route needs none.
#[test]
fn keys_name_accounts() {
    let table = Table::new(Arc::new(document()));
    let closed = route("r", "/");
    let open = Route {
        allows_anonymous: true,
        ..route("o", "/")
    };
    assert!(matches!(table.caller(&closed, Some("k2")), Caller::Account(a) if &*a.name == "y"));
    assert_eq!(table.caller(&closed, Some("k3")), Caller::Unknown);
    assert_eq!(table.caller(&closed, None), Caller::Unknown);
    assert_eq!(table.caller(&open, None), Caller::Anonymous);
}

// A split route must reach every target in proportion, and never one of weight 0.
#[test]
fn weights_split_a_route() {
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
