//! Repeated change ids, updates of hosts without a replica, orders and snapshots.

use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::{Action, Change, Code, Configuration, spec};
use primrose_state::order::{self, State, Work};
use primrose_state::{
    ChangeReply, Command, MAX_REPLIES, Machine, Member, Members, Reply, SnapshotError, Update,
    claim,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn put_account(account: &str, share: u32) -> Action {
    Action::PutAccount(spec::Account {
        name: name(account),
        share,
        keys: Vec::new(),
        waiting_limit: None,
    })
}

fn change(id: &str, base: u64, actions: Vec<Action>) -> Command {
    Command::Change(Change {
        id: name(id),
        base,
        actions,
    })
}

fn accepted(version: u64) -> Reply {
    Reply::Change(ChangeReply::Accepted { version })
}

fn refused_code(reply: Reply) -> Option<Code> {
    match reply {
        Reply::Change(ChangeReply::Refused { refusal, .. }) => Some(refusal.code),
        _ => None,
    }
}

/// A machine at configuration version 1, with the active server 1.
fn machine_with_server() -> Machine {
    let mut machine = Machine::default();
    let actions = vec![
        Action::PutPool(spec::Pool {
            name: name("chat"),
            kind: primrose_config::Kind::Plain,
            output_estimate: 1,
        }),
        Action::AddServer(spec::Server {
            name: name("m1"),
            pool: name("chat"),
            address: ([10, 0, 0, 1], 1).into(),
            domain: name("zone"),
            slots: 1,
            checks_fencing: true,
        }),
    ];
    assert_eq!(machine.apply(&change("setup", 0, actions)), accepted(1));
    machine
}

fn load(id: &str, server: u32, model: &str) -> Command {
    Command::Order(order::Spec {
        id: name(id),
        server: id::Server(server),
        work: Work::LoadModel {
            model: model.to_owned(),
        },
    })
}

/// A resent change must not be applied again or refused for its base version. Either would make the operator correct
/// a configuration that is right.
#[test]
fn a_resent_change_gets_the_first_reply() {
    let mut machine = Machine::default();
    let first = change("one", 0, vec![put_account("a", 1)]);
    let stale = change("two", 0, vec![put_account("b", 1)]);
    assert_eq!(machine.apply(&first), accepted(1));
    assert_eq!(refused_code(machine.apply(&stale)), Some(Code::BaseVersion));
    let third = change("three", 1, vec![put_account("a", 5)]);
    assert_eq!(machine.apply(&third), accepted(2));
    assert_eq!(machine.apply(&first), accepted(1));
    assert_eq!(refused_code(machine.apply(&stale)), Some(Code::BaseVersion));
    let other = change("one", 2, vec![put_account("a", 7)]);
    assert_eq!(refused_code(machine.apply(&other)), Some(Code::IdReused));
    assert_eq!(machine.apply(&first), accepted(1));
    assert_eq!(machine.configuration().version, 2);
}

/// If change ids were kept for ever, they would exhaust the memory. If they were dropped too early, a resent change
/// would be applied again.
#[test]
fn the_last_10_000_change_ids_are_kept() {
    let mut machine = Machine::default();
    let put = |number: u64| {
        let share = number as u32 + 1;
        change(&format!("c{number}"), number, vec![put_account("a", share)])
    };
    let kept = MAX_REPLIES as u64;
    for number in 0..=kept {
        assert_eq!(machine.apply(&put(number)), accepted(number + 1));
    }
    assert_eq!(machine.apply(&put(1)), accepted(2));
    assert_eq!(
        refused_code(machine.apply(&put(0))),
        Some(Code::BaseVersion)
    );
}

/// A host that is updated by changes must reach the voter's configuration, and never go back to an older version.
#[test]
fn updates_lead_to_the_current_version() {
    for seed in 0..20 {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut machine = Machine::default();
        let mut hosts = vec![Configuration::default(); 3];
        let mut late = (0, Update::Current);
        for step in 0..600_u64 {
            let account = format!("a{}", rng.random_range(0..30));
            let base = machine.configuration().version;
            let action = if rng.random_bool(0.7) {
                put_account(&account, rng.random_range(0..5))
            } else {
                Action::RemoveAccount(name(&account))
            };
            machine.apply(&change(&format!("c{step}"), base, vec![action]));
            let host = &mut hosts[rng.random_range(0..3)];
            if rng.random_bool(0.02) {
                *host = Configuration::default();
            }
            if rng.random_bool(0.2) {
                let update = machine.update_since(host.version);
                for (asked_version, update) in [(host.version, update), late.clone()] {
                    let before = host.version;
                    // Only a host that has restarted with an empty configuration may get a late reply that it cannot
                    // apply.
                    match update.apply(host) {
                        Ok(next) => *host = next.unwrap_or_else(|| host.clone()),
                        Err(refusal) => assert!(before < asked_version, "{refusal}"),
                    }
                    assert!(
                        host.version >= before,
                        "the host went back from version {before} to {}",
                        host.version
                    );
                }
                assert_eq!(host, machine.configuration());
            }
            if rng.random_bool(0.05) {
                let asked_version = rng.random_range(0..=base);
                late = (asked_version, machine.update_since(asked_version));
            }
        }
        assert!(
            machine.configuration().version > 256,
            "too few accepted changes to exceed the history"
        );
        assert!(matches!(machine.update_since(0), Update::Configuration(_)));
    }
}

/// An order that is recorded twice would be carried out twice. An order to a retired server must not stay pending for
/// ever.
#[test]
fn orders_are_recorded_once_and_cancelled_with_their_server() {
    let mut machine = machine_with_server();
    assert_eq!(machine.apply(&load("o1", 1, "plum")), Reply::Order(Ok(1)));
    assert_eq!(machine.apply(&load("o1", 1, "plum")), Reply::Order(Ok(1)));
    let reused = machine.apply(&load("o1", 1, "pear"));
    assert_eq!(reused, Reply::Order(Err(order::Refusal::IdReused)));
    let unknown = machine.apply(&load("o2", 9, "plum"));
    assert_eq!(unknown, Reply::Order(Err(order::Refusal::NoServer)));
    assert_eq!(machine.apply(&load("o2", 1, "pear")), Reply::Order(Ok(2)));
    let done = Command::OrderDone(order::Completion {
        number: 1,
        failure: None,
    });
    assert_eq!(machine.apply(&done), Reply::OrderDone(true));
    assert_eq!(machine.apply(&done), Reply::OrderDone(false));
    machine.apply(&change("retire", 1, vec![Action::RetireServer(name("m1"))]));
    let states: Vec<_> = machine.orders().iter().map(|o| o.state.clone()).collect();
    assert_eq!(states, [State::Done, State::Cancelled]);
}

/// The number of orders must not grow without bound, and pending orders must not be dropped to limit it.
#[test]
fn the_number_of_orders_is_bounded() {
    let mut machine = machine_with_server();
    for number in 1..=order::MAX_PENDING as u64 {
        let recorded = machine.apply(&load(&format!("o{number}"), 1, "plum"));
        assert_eq!(recorded, Reply::Order(Ok(number)));
    }
    let full = machine.apply(&load("more", 1, "plum"));
    assert_eq!(full, Reply::Order(Err(order::Refusal::Full)));
    for number in 1..=order::MAX_FINISHED as u64 + 500 {
        let failure = Some("x".repeat(5_000));
        machine.apply(&Command::OrderDone(order::Completion { number, failure }));
    }
    let finished = machine
        .orders()
        .iter()
        .filter(|o| o.state != State::Pending);
    assert_eq!(finished.count(), order::MAX_FINISHED);
    let pending = machine.orders().len() - order::MAX_FINISHED;
    assert_eq!(pending, order::MAX_PENDING - order::MAX_FINISHED - 500);
}

fn any_command(rng: &mut SmallRng, step: u64, version: u64) -> Command {
    let attempt = claim::Attempt {
        host: id::Host(rng.random_range(1..3)),
        incarnation: 1,
        request: rng.random_range(0..3),
    };
    let key = format!("k{}", rng.random_range(0..4));
    match rng.random_range(0..6) {
        0 => change(
            &format!("c{}", rng.random_range(0..=step)),
            version,
            vec![put_account(&format!("a{step}"), rng.random_range(0..3))],
        ),
        1 => Command::Claim(claim::Claim {
            account: id::Account(1),
            key,
            digest: [rng.random_range(0..2); 32],
            attempt,
            proposed_ms: step,
        }),
        2 => Command::Settle(claim::Settle {
            account: id::Account(1),
            key,
            attempt,
            outcome: claim::Outcome::Released,
        }),
        3 => load(&format!("o{}", rng.random_range(0..=step)), 1, "plum"),
        4 => Command::OrderDone(order::Completion {
            number: rng.random_range(0..9),
            failure: None,
        }),
        _ => Command::Members(Members {
            voters: vec![Member {
                host: id::Host(1),
                replica: step,
            }],
            learners: Vec::new(),
        }),
    }
}

/// A replica that is restored from a snapshot must reply as the others do; otherwise the voters' states diverge.
#[test]
fn a_restored_machine_behaves_as_the_original() {
    for seed in 0..10 {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut original = machine_with_server();
        let mut restored = machine_with_server();
        for step in 0..300 {
            let command = any_command(&mut rng, step, original.configuration().version);
            assert_eq!(original.apply(&command), restored.apply(&command));
            if step % 7 == 0 {
                let snapshot = original.snapshot();
                assert_eq!(restored.snapshot(), snapshot);
                restored = Machine::restore(&snapshot).unwrap();
                assert_eq!(restored.snapshot(), snapshot);
            }
        }
        assert_eq!(restored.update_since(0), original.update_since(0));
        assert_eq!(restored.members(), original.members());
    }
}

/// A truncated snapshot or one in another format must be refused instead of being read as an empty or partial state.
#[test]
fn a_damaged_snapshot_is_refused() {
    let snapshot = machine_with_server().snapshot();
    for length in 1..snapshot.len() {
        let truncated = Machine::restore(&snapshot[..length]);
        assert!(
            matches!(truncated, Err(SnapshotError::Damaged(_))),
            "first {length} bytes"
        );
    }
    let mut other = snapshot.clone();
    other[0] = 9;
    let format = Machine::restore(&other).unwrap_err();
    assert_eq!(format, SnapshotError::Format { found: Some(9) });
    assert!(Machine::restore(&[]).is_err());
}
