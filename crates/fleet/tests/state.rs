//! The replicated documents, the directory and the members of the log.

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_consensus::membership::{Change, Id, Member};
use primrose_fleet::directory::{Action, Directory, Freshness, compare};
use primrose_fleet::members::View;
use primrose_fleet::message::Introduction;
use primrose_fleet::store::{Reply, Store, Stored};
use primrose_place::Server;
use primrose_route::Document;

fn stored(version: u64, header_bytes: u64) -> Stored {
    let mut document = Document {
        version,
        ..Document::default()
    };
    document.limits.max_header_bytes = header_bytes;
    Stored {
        document: Arc::new(document),
        source: format!("{version}/{header_bytes}").as_bytes().into(),
    }
}

// Operators race and send again: the highest version wins, the same order is acknowledged again, and another content
// under a version that is held is neither taken nor acknowledged.
#[test]
fn the_highest_version_is_in_force() {
    let mut store = Store::default();
    assert_eq!(store.put(stored(5, 1)), Reply::Stored);
    assert_eq!(store.put(stored(5, 1)), Reply::Stored);
    assert_eq!(store.put(stored(5, 2)), Reply::Conflict);
    assert_eq!(store.put(stored(3, 9)), Reply::Stored);
    let newest = store.newest().expect("there is one");
    assert_eq!(&*newest.source, b"5/1");
    assert_eq!(store.put(stored(9, 2)), Reply::Stored);
    let restored = Store::restore(&store.snapshot().expect("encodes")).expect("decodes");
    assert_eq!(restored.newest(), store.newest());
}

fn server(id: &str, leaving: bool) -> Server {
    Server {
        id: id.into(),
        pool: "pool".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "north".into(),
        slots: 1,
        draining: leaving,
    }
}

// A host must follow the newest list without fetching one that says the same, and never an older one.
#[test]
fn directories_are_compared_by_age() {
    let now = Time::from_ms(10_000);
    let read = Time::from_ms(9_000);
    let other = |fingerprint, age_ms| {
        compare(
            now,
            Some((1, read)),
            Freshness {
                fingerprint,
                age_ms,
            },
        )
    };
    assert_eq!(other(1, 500), Action::Renew(Time::from_ms(9_500)));
    assert_eq!(other(1, 2_000), Action::Keep);
    assert_eq!(other(2, 500), Action::Fetch);
    assert_eq!(other(2, 2_000), Action::Keep);
    let fresh = Freshness {
        fingerprint: 1,
        age_ms: 0,
    };
    assert_eq!(compare(now, None, fresh), Action::Fetch);
}

// Pages of a list come in any order; a server that starts to leave must change the fingerprint.
#[test]
fn the_stamp_tells_directories_apart() {
    let one = Directory::new(vec![server("a", false), server("b", false)]);
    let same = Directory::new(vec![server("b", false), server("a", false)]);
    let leaving = Directory::new(vec![server("a", true), server("b", false)]);
    assert_eq!(one.fingerprint(), same.fingerprint());
    assert_ne!(one.fingerprint(), leaving.fingerprint());
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn member(id: u64, voter: bool) -> Member {
    Member {
        id: Id(id),
        host: name(&format!("10.0.0.{id}")),
        voter,
    }
}

fn newcomer(id: u64, host: &str) -> Introduction {
    Introduction {
        host: name(host),
        domain: "north".into(),
        replica: Id(id),
        is_empty: true,
        is_first_start: false,
    }
}

fn step(members: &[Member], newcomers: &[Introduction], lost: &[u64]) -> Option<Change> {
    let is_lost = |host: &Name| {
        lost.iter()
            .any(|id| host.as_str() == format!("10.0.0.{id}"))
    };
    View {
        members,
        own: Id(1),
        newcomers,
        silence_ms: &|host| if is_lost(host) { 60_000 } else { 0 },
        domain: &|_| None,
        tolerated_losses: 1,
    }
    .next_change()
}

// A host that is replaced at another address must take the place of the one that is gone, one voter at a time.
#[test]
fn a_replaced_host_gives_way() {
    let voters = [member(1, true), member(2, true), member(3, true)];
    let arrived = [newcomer(4, "10.0.0.4")];
    let add = step(&voters, &arrived, &[3]);
    assert!(
        matches!(add, Some(Change::AddLearner { id: Id(4), .. })),
        "{add:?}"
    );
    let with_learner = [
        voters[0].clone(),
        voters[1].clone(),
        voters[2].clone(),
        member(4, false),
    ];
    assert_eq!(
        step(&with_learner, &[], &[3]),
        Some(Change::Remove { id: Id(3) })
    );
    let without = [voters[0].clone(), voters[1].clone(), member(4, false)];
    assert_eq!(
        step(&without, &[], &[]),
        Some(Change::Promote { id: Id(4) })
    );
}

// A host that is only cut off must keep its vote while nobody could take its place.
#[test]
fn a_silent_voter_stays_without_a_successor() {
    let voters = [member(1, true), member(2, true), member(3, true)];
    assert_eq!(step(&voters, &[], &[3]), None);
}

// A host that comes back with an empty disk must not count twice, and its former replica never again.
#[test]
fn an_emptied_disk_replaces_its_former_replica() {
    let voters = [member(1, true), member(2, true), member(3, true)];
    let back = Member {
        id: Id(9),
        host: name("10.0.0.3"),
        voter: false,
    };
    let members = [
        voters[0].clone(),
        voters[1].clone(),
        voters[2].clone(),
        back,
    ];
    assert_eq!(step(&members, &[], &[]), Some(Change::Remove { id: Id(3) }));
}

// A learner that was lost for good must not be carried along forever.
#[test]
fn a_lost_learner_is_removed() {
    let members = [
        member(1, true),
        member(2, true),
        member(3, true),
        member(4, false),
    ];
    assert_eq!(
        step(&members, &[], &[4]),
        Some(Change::Remove { id: Id(4) })
    );
}
