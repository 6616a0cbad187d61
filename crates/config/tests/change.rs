//! Applying changes and computing differences.

use primrose_base::name::Name;
use primrose_config::{
    Account, Action, Change, Code, Configuration, Host, KeyHash, Kind, Pool, Server, State, Table,
    difference, spec, text,
};
use proptest::prelude::*;
use test_case::test_case;

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn change(base: u64, actions: Vec<Action>) -> Change {
    Change {
        id: name("c"),
        base,
        actions,
    }
}

fn account(account: &str, key: &str) -> Action {
    Action::PutAccount(spec::Account {
        name: name(account),
        share: 1,
        keys: vec![KeyHash::of(key)],
        waiting_limit: None,
    })
}

fn pool(pool: &str, model: &str) -> Action {
    Action::PutPool(spec::Pool {
        name: name(pool),
        kind: Kind::Model {
            model: model.into(),
            input_weight: 1,
            output_weight: 2,
        },
        output_estimate: 100,
    })
}

fn server(server: &str, pool: &str, port: u16) -> spec::Server {
    spec::Server {
        name: name(server),
        pool: name(pool),
        address: ([10, 0, 0, 1], port).into(),
        domain: name("zone"),
        slots: 4,
        checks_fencing: false,
    }
}

fn host(host: &str, port: u16, voter: bool) -> spec::Host {
    spec::Host {
        name: name(host),
        domain: name("zone"),
        peer: ([10, 0, 1, 1], port).into(),
        voter,
    }
}

/// Two accounts, two pools, two servers in the pool `chat`, and two hosts, of which one is a voter.
fn fleet() -> Configuration {
    let actions = vec![
        account("a", "key-a"),
        account("b", "key-b"),
        pool("chat", "plum"),
        pool("idle", "pear"),
        Action::AddServer(server("m1", "chat", 1)),
        Action::AddServer(server("m2", "chat", 2)),
        Action::AddHost(host("h1", 1, true)),
        Action::AddHost(host("h2", 2, false)),
    ];
    Configuration::default()
        .apply(&change(0, actions))
        .expect("a valid fleet")
}

/// Without one of these checks a script can break the fleet. A refusal with the index of another action misleads the
/// operator.
#[test_case(vec![account("a", "key-b")], Code::DuplicateKey, 0; "key of another account")]
#[test_case(vec![account("c", "x"), account("d", "x")], Code::DuplicateKey, 1; "key twice in one change")]
#[test_case(vec![Action::RemoveAccount(name("c"))], Code::UnknownName, 0; "unknown account")]
#[test_case(vec![pool("other", "plum")], Code::DuplicateModel, 0; "model served twice")]
#[test_case(vec![Action::RemovePool(name("chat"))], Code::InUse, 0; "pool in use")]
#[test_case(vec![Action::AddServer(server("m3", "none", 3))], Code::UnknownName, 0; "unknown pool")]
#[test_case(vec![Action::AddServer(server("m3", "chat", 2))], Code::DuplicateAddress, 0; "address of another server")]
#[test_case(vec![Action::AddServer(server("m1", "chat", 3))], Code::DuplicateName, 0; "name of another server")]
#[test_case(vec![Action::AddServer(server("m3", "chat", 0))], Code::InvalidValue, 0; "port zero")]
#[test_case(vec![Action::PutServer(server("m1", "idle", 1))], Code::InvalidValue, 0; "other pool")]
#[test_case(vec![Action::RetireServer(name("m1")), Action::DrainServer(name("m1"))], Code::WrongState, 1; "drain after retirement")]
#[test_case(vec![Action::DrainHost(name("h1")), Action::DrainHost(name("h2"))], Code::LastHost, 1; "last active host")]
#[test_case(vec![Action::RetireHost(name("h1"))], Code::Voters, 0; "last voter")]
#[test_case(vec![Action::AddHost(host("h3", 1, false))], Code::DuplicateAddress, 0; "peer address of another host")]
fn invalid_changes_are_refused(actions: Vec<Action>, code: Code, index: u32) {
    let fleet = fleet();
    let refusal = fleet.apply(&change(1, actions)).expect_err("a refusal");
    assert_eq!(
        (refusal.code, refusal.action),
        (code, Some(index)),
        "{refusal}"
    );
}

/// The constraints between items must be checked after the last action. Checks after each action would refuse this
/// change, although its result is valid.
#[test]
fn conflicts_that_the_change_itself_resolves_are_accepted() {
    let actions = vec![
        account("a", "key-b"),
        account("b", "key-a"),
        Action::RetireServer(name("m1")),
        Action::AddServer(server("m9", "chat", 1)),
        Action::RetireHost(name("h1")),
        Action::AddHost(host("h9", 1, true)),
    ];
    let next = fleet().apply(&change(1, actions)).unwrap();
    assert_eq!(next.version, 2);
    let holder = next.account_by_key(&KeyHash::of("key-a")).unwrap();
    assert_eq!(holder.name.as_str(), "b");
}

/// With a reused id, a new server would get the slots and orders of the old one.
#[test]
fn ids_are_never_reused() {
    let mut fleet = fleet();
    let mut seen = vec![fleet.servers.get("m1").unwrap().id];
    for round in 0..300 {
        let actions = vec![
            Action::RetireServer(name("m1")),
            Action::AddServer(server("m1", "chat", 1)),
            Action::AddServer(server(&format!("x{round}"), "chat", 3)),
            Action::RetireServer(name(&format!("x{round}"))),
        ];
        fleet = fleet.apply(&change(fleet.version, actions)).unwrap();
        let id = fleet.servers.get("m1").unwrap().id;
        assert!(seen.iter().all(|old| *old < id), "id {id} in round {round}");
        seen.push(id);
    }
    let retired = fleet.servers.iter().filter(|s| s.state == State::Retired);
    assert_eq!(retired.count(), primrose_config::apply::MAX_RETIRED);
}

/// With an index that is not rebuilt, requests would be routed to a drained server, or a removed account admitted.
#[test]
fn indexes_follow_the_lists() {
    let old = fleet();
    let actions = vec![
        Action::DrainServer(name("m1")),
        Action::RemoveAccount(name("a")),
        pool("idle", "quince"),
    ];
    let new = old.apply(&change(1, actions)).unwrap();
    assert!(new.account_by_key(&KeyHash::of("key-a")).is_none());
    assert!(new.pool_by_model("pear").is_none() && new.pool_by_model("quince").is_some());
    assert_eq!(new.active_servers("chat").len(), 1);
    let m1 = new
        .servers
        .by_id(old.servers.get("m1").unwrap().id)
        .unwrap();
    assert_eq!(m1.state, State::Leaving);
    assert_eq!(old.active_servers("chat").len(), 2);
}

fn any_name() -> impl Strategy<Value = Name> {
    // Without quotes, YAML would read most of these names as a number or null.
    proptest::sample::select(vec!["1e3", "null", "12", "z.9_-"]).prop_map(name)
}

fn any_action() -> impl Strategy<Value = Action> {
    let any_server = || (any_name(), any_name(), 1..5_u16, 0..3_u32, any::<bool>());
    let to_server = |(n, pool, port, slots, checks_fencing)| spec::Server {
        slots,
        checks_fencing,
        ..server(Name::as_str(&n), Name::as_str(&pool), port)
    };
    let any_host = || (any_name(), 1..5_u16, any::<bool>(), any_name());
    let to_host = |(n, port, voter, domain)| spec::Host {
        domain,
        ..host(Name::as_str(&n), port, voter)
    };
    prop_oneof![
        2 => (any_name(), 0..4_u32, prop::collection::vec(0..6_u8, 0..3)).prop_map(
            |(name, share, keys)| Action::PutAccount(spec::Account {
                name,
                share,
                keys: keys.iter().map(|key| KeyHash([*key; 32])).collect(),
                waiting_limit: Some(share).filter(|limit| *limit != 2),
            })
        ),
        1 => any_name().prop_map(Action::RemoveAccount),
        3 => (any_name(), any_name()).prop_map(|(n, model)| pool(n.as_str(), model.as_str())),
        1 => any_name().prop_map(|name| Action::PutPool(spec::Pool {
            name,
            kind: Kind::Plain,
            output_estimate: 1,
        })),
        1 => any_name().prop_map(Action::RemovePool),
        6 => any_server().prop_map(move |fields| Action::AddServer(to_server(fields))),
        2 => any_server().prop_map(move |fields| Action::PutServer(to_server(fields))),
        1 => any_name().prop_map(Action::DrainServer),
        1 => any_name().prop_map(Action::RetireServer),
        3 => any_host().prop_map(move |fields| Action::AddHost(to_host(fields))),
        1 => any_host().prop_map(move |fields| Action::PutHost(to_host(fields))),
        1 => any_name().prop_map(Action::DrainHost),
        1 => any_name().prop_map(Action::RetireHost),
    ]
}

/// The configuration after `actions`, of which the refused ones are skipped.
fn apply_accepted(actions: &[Action]) -> Configuration {
    let mut fleet = Configuration::default();
    for action in actions {
        if let Ok(next) = fleet.apply(&change(fleet.version, vec![action.clone()])) {
            fleet = next;
        }
    }
    fleet
}

fn any_configuration() -> impl Strategy<Value = Configuration> {
    prop::collection::vec(any_action(), 0..160).prop_map(|actions| apply_accepted(&actions))
}

/// The parts of a configuration that a difference must reproduce: everything but ids and retired items.
fn comparable(fleet: &Configuration) -> impl PartialEq + std::fmt::Debug {
    fn specs<T, D>(items: &Table<T>, spec: impl Fn(&T) -> Option<D>) -> Vec<D>
    where
        T: primrose_config::table::Item,
    {
        items.iter().filter_map(|item| spec(item)).collect()
    }
    let kept = |state: State| state != State::Retired;
    (
        fleet.settings.clone(),
        specs(&fleet.accounts, |a: &Account| Some(a.spec())),
        specs(&fleet.pools, |p: &Pool| Some(p.spec())),
        specs(&fleet.servers, |s: &Server| {
            kept(s.state).then(|| (s.spec(), s.state))
        }),
        specs(&fleet.hosts, |h: &Host| {
            kept(h.state).then(|| (h.spec(), h.state))
        }),
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// An incomplete or refused difference makes `primrose apply FILE` fail or reach another configuration than FILE.
    #[test]
    fn a_difference_leads_to_its_target(old in any_configuration(), new in any_configuration()) {
        let actions = difference(&old, &new);
        if actions.is_empty() {
            prop_assert_eq!(comparable(&old), comparable(&new));
            return Ok(());
        }
        match old.apply(&change(old.version, actions)) {
            Ok(reached) => prop_assert_eq!(comparable(&reached), comparable(&new)),
            Err(refusal) => {
                let active = new.hosts.iter().any(|host| host.state == State::Active);
                let expected = match refusal.code {
                    Code::LastHost => !active,
                    Code::Voters => new.voters().count() == 0,
                    _ => false,
                };
                prop_assert!(expected, "{:?}", refusal);
            }
        }
    }

    /// A configuration that is printed and read must not change; otherwise a review would alter or lose parts of it.
    /// Reading checks the constraints between items, so this also finds an accepted change that violates one.
    #[test]
    fn every_accepted_configuration_can_be_printed_and_read(fleet in any_configuration()) {
        let printed = text::print_configuration(&fleet);
        let read = text::read_configuration("printed", &printed);
        let read = read.map_err(|error| TestCaseError::fail(format!("{error:?}\n{printed}")))?;
        prop_assert_eq!(&read, &fleet);
        prop_assert_eq!(text::print_configuration(&read), printed);
    }

    /// A change that is printed and read must not change either.
    #[test]
    fn every_change_can_be_printed_and_read(id in any_name(), base: u64, actions in prop::collection::vec(any_action(), 0..9)) {
        let change = Change { id, base, actions };
        let printed = text::print_change(&change);
        prop_assert_eq!(text::read_change("printed", &printed).map_err(|e| TestCaseError::fail(format!("{e:?}")))?, change);
    }
}
