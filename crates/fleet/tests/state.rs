//! Tests of the replicated documents, the directory and the membership of the log.

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

// Operators may write concurrently and retry. The highest version must win, a retry must be acknowledged again, and a
// different document with the same version must be neither stored nor acknowledged.
#[test]
fn document_with_the_highest_version_is_in_force() {
    let mut store = Store::default();
    assert_eq!(store.put(stored(5, 1)), Reply::Stored);
    assert_eq!(store.put(stored(5, 1)), Reply::Stored);
    assert_eq!(store.put(stored(5, 2)), Reply::Conflict);
    assert_eq!(store.put(stored(3, 9)), Reply::Stored);
    let newest = store.newest().expect("a document is in force");
    assert_eq!(&*newest.source, b"5/1");
    assert_eq!(store.put(stored(9, 2)), Reply::Stored);
    let restored = Store::restore(&store.snapshot().expect("the state can be encoded"))
        .expect("the state can be decoded");
    assert_eq!(restored.newest(), store.newest());
}

fn server(id: &str, draining: bool) -> Server {
    Server {
        id: id.into(),
        pool: "pool".into(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        domain: "north".into(),
        slots: 1,
        draining,
        cold: false,
    }
}

// A host must fetch a newer list, but neither one with the same content nor an older one.
#[test]
fn directories_are_compared_by_age() {
    let asked = Time::from_ms(10_000);
    let read = Time::from_ms(9_000);
    let other = |fingerprint, age_ms| {
        compare(
            Some(asked),
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
    assert_eq!(compare(Some(asked), None, fresh), Action::Fetch);
}

// A message may have waited while this host or its sender was frozen. Its age counts from the message that it answers, or an
// old list would seem to be new; without such a message it is not believed.
#[test]
fn age_in_a_delayed_message_makes_no_list_newer() {
    let own = Some((1, Time::from_ms(9_000)));
    let other = |fingerprint| Freshness {
        fingerprint,
        age_ms: 300,
    };
    let asked = Some(Time::from_ms(5_000));
    assert_eq!(compare(asked, own, other(1)), Action::Keep);
    assert_eq!(compare(asked, own, other(2)), Action::Keep);
    assert_eq!(compare(None, own, other(1)), Action::Keep);
    assert_eq!(compare(None, own, other(2)), Action::Keep);
    assert_eq!(compare(None, None, other(2)), Action::Fetch);
}

// The pages of a list arrive in any order, which must not change the fingerprint; a server that starts draining must
// change it.
#[test]
fn fingerprint_depends_on_the_content_only() {
    let one = Directory::new(vec![server("a", false), server("b", false)]);
    let same = Directory::new(vec![server("b", false), server("a", false)]);
    let draining = Directory::new(vec![server("a", true), server("b", false)]);
    assert_eq!(one.fingerprint(), same.fingerprint());
    assert_ne!(one.fingerprint(), draining.fingerprint());
}

fn name(text: &str) -> Name {
    Name::new(text).expect("the name is valid")
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
        is_leaving: false,
    }
}

fn next_change(members: &[Member], newcomers: &[Introduction], lost: &[u64]) -> Option<Change> {
    next_change_with_leaving(members, newcomers, lost, &[])
}

fn next_change_with_leaving(
    members: &[Member],
    newcomers: &[Introduction],
    lost: &[u64],
    leaving: &[Id],
) -> Option<Change> {
    let is_lost = |host: &Name| {
        lost.iter()
            .any(|id| host.as_str() == format!("10.0.0.{id}"))
    };
    View {
        members,
        own: Id(1),
        newcomers,
        leaving,
        silence_ms: &|host| if is_lost(host) { 60_000 } else { 0 },
        domain: &|_| None,
        tolerated_losses: 1,
    }
    .next_change()
}

// A host that is replaced by one with another address must be replaced as a voter, by one change at a time.
#[test]
fn lost_voter_is_replaced_by_a_new_host() {
    let voters = [member(1, true), member(2, true), member(3, true)];
    let newcomers = [newcomer(4, "10.0.0.4")];
    let add = next_change(&voters, &newcomers, &[3]);
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
        next_change(&with_learner, &[], &[3]),
        Some(Change::Remove { id: Id(3) })
    );
    let without = [voters[0].clone(), voters[1].clone(), member(4, false)];
    assert_eq!(
        next_change(&without, &[], &[]),
        Some(Change::Promote { id: Id(4) })
    );
}

// A host that is only unreachable must keep its vote while no other host can replace it.
#[test]
fn silent_voter_stays_without_a_replacement() {
    let voters = [member(1, true), member(2, true), member(3, true)];
    assert_eq!(next_change(&voters, &[], &[3]), None);
}

// A voter whose host shuts down must be replaced before it ends, and must count until its successor votes: with one
// voter less, the loss of another disk ends the majority for good.
#[test]
fn voter_that_shuts_down_is_replaced_before_it_ends() {
    let mut members = vec![
        member(1, true),
        member(2, true),
        member(3, true),
        member(4, false),
    ];
    let next =
        |members: &[Member], leaving: &[Id]| next_change_with_leaving(members, &[], &[], leaving);
    let leaving = [Id(3)];
    assert_eq!(next(&members, &[]), None);
    assert_eq!(
        next(&members, &leaving),
        Some(Change::Promote { id: Id(4) })
    );
    members[3].voter = true;
    assert_eq!(next(&members, &leaving), Some(Change::Remove { id: Id(3) }));
    members.remove(2);
    assert_eq!(next(&members, &leaving), None);
}

// A host that shuts down must not replace another one, and one that nothing can replace must stay a voter until it ends.
#[test]
fn host_that_shuts_down_replaces_none() {
    let members = [
        member(1, true),
        member(2, true),
        member(3, true),
        member(4, false),
    ];
    let leaving = [Id(3), Id(4)];
    assert_eq!(next_change_with_leaving(&members, &[], &[], &leaving), None);
    assert_eq!(
        next_change_with_leaving(&members[..3], &[], &[], &leaving),
        None
    );
}

// A voter that was restarted before it could be removed must not be removed while it is present, nor keep a lost voter in
// the log.
#[test]
fn surplus_voter_is_removed_once_it_is_lost() {
    let voters = [1, 2, 3, 4].map(|id| member(id, true));
    assert_eq!(next_change(&voters, &[], &[]), None);
    assert_eq!(
        next_change(&voters, &[], &[3]),
        Some(Change::Remove { id: Id(3) })
    );
}

// A host that returns with an empty disk must not count twice, and its former replica must not count again.
#[test]
fn replica_with_an_emptied_disk_replaces_the_former_one() {
    let voters = [member(1, true), member(2, true), member(3, true)];
    let returned = Member {
        id: Id(9),
        host: name("10.0.0.3"),
        voter: false,
    };
    let members = [
        voters[0].clone(),
        voters[1].clone(),
        voters[2].clone(),
        returned,
    ];
    assert_eq!(
        next_change(&members, &[], &[]),
        Some(Change::Remove { id: Id(3) })
    );
}

// A learner that is permanently lost must be removed.
#[test]
fn lost_learner_is_removed() {
    let members = [
        member(1, true),
        member(2, true),
        member(3, true),
        member(4, false),
    ];
    assert_eq!(
        next_change(&members, &[], &[4]),
        Some(Change::Remove { id: Id(4) })
    );
}
