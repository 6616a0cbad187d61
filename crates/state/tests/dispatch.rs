//! Which orders are sent to engines, and when, across changes of the leader.

use std::collections::BTreeMap;

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_config::{Action, Change, Settings as FleetSettings, spec};
use primrose_state::order::{
    self, Answer, Dispatcher, Lease, Order, Output, Request, Settings, State, Work,
};
use primrose_state::{Command, Machine};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SERVERS: u32 = 4;

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

/// A machine with servers 1 to 4, of which the odd ones check fencing numbers.
fn machine(loads_per_minute: u32, burst: u32) -> Machine {
    let mut actions = vec![
        Action::PutSettings(FleetSettings {
            weight_loads_per_minute: loads_per_minute,
            weight_load_burst: burst,
            ..FleetSettings::default()
        }),
        Action::PutPool(spec::Pool {
            name: name("chat"),
            kind: primrose_config::Kind::Plain,
            output_estimate: 1,
        }),
    ];
    for server in 1..=SERVERS {
        actions.push(Action::AddServer(spec::Server {
            name: name(&format!("m{server}")),
            pool: name("chat"),
            address: ([10, 0, 0, 1], server as u16).into(),
            domain: name("zone"),
            slots: 1,
            checks_fencing: server % 2 == 1,
        }));
    }
    let mut machine = Machine::default();
    machine.apply(&Command::Change(Change {
        id: name("setup"),
        base: 0,
        actions,
    }));
    assert_eq!(machine.configuration().version, 1);
    machine
}

fn record(machine: &mut Machine, id: &str, server: u32, work: Work) {
    let spec = order::Spec {
        id: name(id),
        server: id::Server(server),
        work,
    };
    machine.apply(&Command::Order(spec));
}

fn role(role: &str) -> Work {
    Work::ChangeRole {
        role: role.to_owned(),
    }
}

fn load() -> Work {
    Work::LoadModel {
        model: "plum".to_owned(),
    }
}

fn lease(term: u64, until_ms: u64) -> Option<Lease> {
    Some(Lease {
        term,
        until: Time::from_ms(until_ms),
        caught_up: true,
    })
}

fn poll(
    dispatcher: &mut Dispatcher,
    now_ms: u64,
    lease: Option<Lease>,
    machine: &Machine,
) -> Output {
    dispatcher.poll(
        Time::from_ms(now_ms),
        lease,
        machine.orders(),
        machine.configuration(),
    )
}

fn numbers(output: &Output) -> Vec<u64> {
    output
        .requests
        .iter()
        .map(|request| request.number)
        .collect()
}

/// A leader that is cut off from the other voters must not go on sending orders next to its successor.
#[test]
fn nothing_is_sent_without_a_lease() {
    let mut machine = machine(60, 1);
    record(&mut machine, "o1", 1, role("prefill"));
    let mut dispatcher = Dispatcher::new(3, Time::from_ms(1_000), Settings::default());
    let not_caught_up = lease(3, 9_000).map(|lease| Lease {
        caught_up: false,
        ..lease
    });
    for refused in [
        None,
        lease(2, 9_000),
        lease(4, 9_000),
        lease(3, 1_000),
        not_caught_up,
    ] {
        let output = poll(&mut dispatcher, 1_000, refused, &machine);
        assert_eq!(output, Output::default(), "{refused:?}");
    }
    let output = poll(&mut dispatcher, 1_000, lease(3, 1_001), &machine);
    assert_eq!((numbers(&output), output.requests[0].fencing), (vec![1], 3));
    dispatcher.record_answer(Time::from_ms(1_100), 1, Answer::Stale { seen: 4 });
    let output = poll(&mut dispatcher, 9_000, lease(3, 9_500), &machine);
    assert_eq!(output, Output::default());
}

/// An engine that ignores fencing numbers must not get orders of a new leader while the old one may still send.
#[test]
fn orders_to_engines_without_fencing_wait_for_the_earlier_lease() {
    let mut machine = machine(60, 1);
    record(&mut machine, "o1", 1, role("prefill"));
    record(&mut machine, "o2", 2, role("prefill"));
    let mut dispatcher = Dispatcher::new(3, Time::from_ms(1_000), Settings::default());
    let output = poll(&mut dispatcher, 1_000, lease(3, 9_000), &machine);
    assert_eq!(numbers(&output), [1]);
    let output = poll(&mut dispatcher, 1_749, lease(3, 9_000), &machine);
    assert_eq!(numbers(&output), [0_u64; 0]);
    let output = poll(&mut dispatcher, 1_750, lease(3, 9_000), &machine);
    assert_eq!(numbers(&output), [2]);
}

/// An order that is not sent again after a lost answer, or that the next one overtakes, would leave an engine in the
/// wrong role.
#[test]
fn orders_are_sent_one_at_a_time_until_the_log_has_recorded_their_end() {
    let mut machine = machine(60, 1);
    record(&mut machine, "o1", 1, role("prefill"));
    record(&mut machine, "o2", 1, role("decode"));
    let mut dispatcher = Dispatcher::new(3, Time::from_ms(1_000), Settings::default());
    let always = lease(3, 1_000_000);
    assert_eq!(
        numbers(&poll(&mut dispatcher, 1_000, always, &machine)),
        [1]
    );
    assert_eq!(
        numbers(&poll(&mut dispatcher, 2_999, always, &machine)),
        [0; 0]
    );
    assert_eq!(
        numbers(&poll(&mut dispatcher, 3_000, always, &machine)),
        [1]
    );
    dispatcher.record_answer(Time::from_ms(3_100), 1, Answer::Done);
    let output = poll(&mut dispatcher, 3_100, always, &machine);
    assert_eq!((output.requests.len(), output.proposals.len()), (0, 1));
    // The proposal is lost, so it is repeated after `resend_ms`.
    assert_eq!(
        poll(&mut dispatcher, 5_099, always, &machine),
        Output::default()
    );
    let again = poll(&mut dispatcher, 5_100, always, &machine);
    assert_eq!(again.proposals, output.proposals);
    machine.apply(&Command::OrderDone(again.proposals[0].clone()));
    assert_eq!(
        numbers(&poll(&mut dispatcher, 5_100, always, &machine)),
        [2]
    );
}

/// More loads at once than the weight store allows would slow down every engine that loads weights.
#[test]
fn loads_are_limited_and_other_orders_are_not() {
    let mut machine = machine(6, 2);
    for server in 1..=SERVERS {
        record(&mut machine, &format!("o{server}"), server, load());
    }
    let mut dispatcher = Dispatcher::new(
        1,
        Time::ZERO,
        Settings {
            resend_ms: 1_000_000,
            ..Settings::default()
        },
    );
    let always = lease(1, 1_000_000);
    assert_eq!(
        numbers(&poll(&mut dispatcher, 9_999, always, &machine)),
        [0; 0]
    );
    assert_eq!(
        numbers(&poll(&mut dispatcher, 10_000, always, &machine)),
        [1]
    );
    assert_eq!(
        numbers(&poll(&mut dispatcher, 100_000, always, &machine)),
        [2, 3]
    );
    assert_eq!(
        numbers(&poll(&mut dispatcher, 110_000, always, &machine)),
        [4]
    );
    let done = order::Completion {
        number: 4,
        failure: None,
    };
    machine.apply(&Command::OrderDone(done));
    record(&mut machine, "o5", 4, role("decode"));
    assert_eq!(
        numbers(&poll(&mut dispatcher, 110_000, always, &machine)),
        [5]
    );
}

/// An engine that records the orders that it accepts.
#[derive(Default)]
struct Engine {
    greatest_fencing: u64,
    /// Fencing number and order number of each accepted request.
    accepted: Vec<(u64, u64)>,
}

impl Engine {
    fn receive(&mut self, request: &Request, checks_fencing: bool) -> Answer {
        if checks_fencing && request.fencing < self.greatest_fencing {
            return Answer::Stale {
                seen: self.greatest_fencing,
            };
        }
        self.greatest_fencing = self.greatest_fencing.max(request.fencing);
        self.accepted.push((request.fencing, request.number));
        Answer::Done
    }
}

/// No engine may accept an order of an old leader after one of a newer leader, or an older order after a newer one.
/// New leaders are elected while old ones still have a lease, answers are lost, and requests are delayed by less than
/// `transit_margin_ms`.
#[test]
fn engines_accept_no_order_of_an_old_leader_after_a_new_one() {
    for seed in 0..40 {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut machine = machine(600, 4);
        let mut engines: BTreeMap<u32, Engine> = BTreeMap::new();
        // Each leader with its term and the end of its lease. When a leader is elected, the lease of the earlier one
        // lasts for less than the lease duration from then on.
        let mut leaders: Vec<(Dispatcher, u64, u64)> = Vec::new();
        // Each request in transit with the time of its arrival and the index of the leader that sent it.
        let mut network: Vec<(u64, usize, Request)> = Vec::new();
        // No new orders in the last 70 s, so that all get done: several answers in a row may be lost, which takes 2 s
        // each.
        for now in (1_000_u64..120_000).step_by(50) {
            if rng.random_bool(0.01) || leaders.is_empty() {
                let term = leaders.len() as u64 + 1;
                let dispatcher = Dispatcher::new(term, Time::from_ms(now), Settings::default());
                leaders.push((dispatcher, term, now + 500));
            }
            if now < 50_000 && rng.random_bool(0.1) {
                let server = rng.random_range(1..=SERVERS);
                let work = if rng.random_bool(0.5) {
                    load()
                } else {
                    role("decode")
                };
                record(&mut machine, &format!("o{now}"), server, work);
            }
            let newest = leaders.len() - 1;
            leaders[newest].2 = now + 500;
            for (index, (dispatcher, term, until)) in leaders.iter_mut().enumerate() {
                let output = poll(dispatcher, now, lease(*term, *until), &machine);
                // Only the newest leader can reach a majority.
                for done in output.proposals.into_iter().filter(|_| index == newest) {
                    machine.apply(&Command::OrderDone(done));
                }
                for request in output.requests {
                    network.push((now + rng.random_range(1..250), index, request));
                }
            }
            network.sort_by_key(|(due, ..)| *due);
            let later = network.split_off(network.partition_point(|(due, ..)| *due <= now));
            for (_, index, request) in std::mem::replace(&mut network, later) {
                let engine = engines.entry(request.server.0).or_default();
                let answer = engine.receive(&request, request.server.0 % 2 == 1);
                if rng.random_bool(0.7) {
                    leaders[index]
                        .0
                        .record_answer(Time::from_ms(now), request.number, answer);
                }
            }
        }
        for (server, engine) in &engines {
            assert!(
                engine.accepted.is_sorted(),
                "server {server}: {:?}",
                engine.accepted
            );
            let orders: Vec<u64> = engine.accepted.iter().map(|(_, number)| *number).collect();
            assert!(orders.is_sorted(), "server {server}: {orders:?}");
        }
        let pending = |order: &&Order| order.state == State::Pending;
        assert_eq!(
            machine.orders().iter().filter(pending).count(),
            0,
            "orders that are still pending"
        );
        assert!(
            leaders.len() > 1 && machine.orders().len() > 20,
            "{} leaders and {} orders, expected more than 1 and 20",
            leaders.len(),
            machine.orders().len()
        );
    }
}
