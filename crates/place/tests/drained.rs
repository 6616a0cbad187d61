//! Placement while the servers of some failure domains must get no requests.

mod support;

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_place::drained::Set;
use primrose_place::placer::{DRAINED_RETRY_AFTER_MS, Decision, Outcome, Placer, Reason};
use primrose_place::{Server, Settings};

fn set(revision: u64, domains: &[&str]) -> Set {
    Set {
        revision,
        domains: domains.iter().map(|&name| name.into()).collect(),
    }
}

/// A placer with two engines in the domain `west` and one in `east`, as entry hosts in `north` see them.
fn placer() -> Placer {
    let server = |number: u32| Server {
        domain: if number < 3 { "west" } else { "east" }.into(),
        ..support::engine(number)
    };
    let mut placer = Placer::new(Settings::default());
    placer.set_servers(&(1..=3).map(server).collect::<Vec<_>>());
    placer.set_document(&support::document(None));
    placer
}

fn domain_of(decision: Decision) -> Arc<str> {
    match decision {
        Decision::Place { server, .. } => server.domain,
        Decision::Refuse { reason, .. } => panic!("refused: {reason:?}"),
        Decision::Wait { .. } => panic!("waits although waiting is off"),
    }
}

fn reason_of(decision: &Decision) -> Option<Reason> {
    match decision {
        Decision::Place { .. } => None,
        Decision::Refuse { reason, .. } => Some(*reason),
        Decision::Wait { .. } => panic!("waits although waiting is off"),
    }
}

// However loaded the rest of the pool is, no request may go to a drained domain, and an older set, which arrives late,
// must not change that. The servers must be used again when the domain returns.
#[test]
fn drained_domain_gets_no_requests() {
    let now = Time::from_ms(1_000);
    let mut placer = placer();
    assert!(placer.set_drained(Time::ZERO, &set(3, &["west"])));
    assert!(!placer.set_drained(Time::ZERO, &set(2, &[])));
    for sequence in 0..200 {
        match placer.place(now, &support::demand(sequence, 0, 500, 10)) {
            Decision::Place { server, .. } => assert_eq!(&*server.domain, "east"),
            // The only server in service is loaded, which is no consequence of the order.
            Decision::Refuse { reason, .. } => assert_ne!(reason, Reason::Drained),
            Decision::Wait { .. } => panic!("waits although waiting is off"),
        }
    }
    assert!(placer.set_drained(Time::ZERO, &set(4, &[])));
    assert_eq!(
        &*domain_of(placer.place(now, &support::demand(300, 0, 500, 10))),
        "west"
    );
}

// A caller must be told at once that no server is in service, also if its entry host excludes servers that it was
// assigned by a host that had not heard of the order. If the servers cannot be used anyway, that is the reason.
#[test]
fn pool_in_drained_domains_refuses() {
    let now = Time::from_ms(1_000);
    let mut placer = placer();
    placer.set_drained(Time::ZERO, &set(1, &["east", "west"]));
    let mut demand = support::demand(1, 0, 500, 10);
    let refusal = Decision::Refuse {
        reason: Reason::Drained,
        retry_after_ms: DRAINED_RETRY_AFTER_MS,
        wait_ms: 0,
    };
    assert_eq!(placer.place(now, &demand), refusal);
    demand.tried = (1..=3).map(|number| support::engine(number).id).collect();
    assert_eq!(placer.place(now, &demand), refusal);
    placer.set_drained(Time::ZERO, &set(2, &[]));
    let decision = placer.place(now, &demand);
    assert_eq!(reason_of(&decision), Some(Reason::NoServer));
    placer.set_drained(Time::ZERO, &set(3, &["west", "east"]));
    let leaving = (1..=3).map(|number| Server {
        draining: true,
        domain: "west".into(),
        ..support::engine(number)
    });
    placer.set_servers(&leaving.collect::<Vec<_>>());
    demand.tried.clear();
    let decision = placer.place(now, &demand);
    assert_eq!(reason_of(&decision), Some(Reason::NoServer));
}

// Requests that run in a drained domain finish, so that their ends must still be recorded, and their cached parts may be
// fetched by engines in service rather than read again.
#[test]
fn running_requests_and_cached_parts_outlive_the_order() {
    let mut placer = placer();
    let now = Time::from_ms(1_000);
    placer.set_drained(Time::ZERO, &set(1, &["east"]));
    let first = support::demand(1, 7, 20_000, 10);
    assert_eq!(&*domain_of(placer.place(now, &first)), "west");
    placer.set_drained(Time::ZERO, &set(2, &["west"]));
    assert_eq!(placer.assigned(), 1);
    let now = now.plus_ms(2_000);
    placer.record_first_event(now, first.key);
    placer.record_end(now, first.key, Outcome::Answered { failed: false });
    assert_eq!(placer.assigned(), 0);
    let second = support::demand(2, 7, 20_000, 10);
    match placer.place(now, &second) {
        Decision::Place {
            server, fetch_from, ..
        } => {
            assert_eq!(&*server.domain, "east");
            assert!(fetch_from.is_some(), "the part is read again");
        }
        refused @ Decision::Refuse { .. } => panic!("{refused:?}"),
        Decision::Wait { .. } => panic!("waits although waiting is off"),
    }
}
