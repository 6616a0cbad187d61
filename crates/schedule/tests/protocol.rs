//! Tests of the protocol between dispatchers and allocators: no slot is lost or leased twice, even if messages are
//! lost, duplicated or reordered and processes restart.

#[allow(dead_code, unreachable_pub, reason = "every test file uses a part")]
mod fleet;

use fleet::{Fleet, Plan};
use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::name::Name;
use primrose_schedule::allocator::{self, Allocator, Support};
use primrose_schedule::dispatcher::{self, Action, Dispatcher, Reason};
use primrose_schedule::ledger::Origin;
use primrose_schedule::message::{Answer, Grant, Lease, Report, Row, Usage};
use primrose_schedule::queue::Request;
use primrose_schedule::settings::Settings;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

const SLOTS: u64 = 4;

/// Runs load on an unreliable network with `restarts` (time in units of 100 ms, host), then no load, then full load
/// on a reliable network.
fn run_with_faults(
    seed: u64,
    loss: f64,
    duplication: f64,
    jitter_ms: u64,
    restarts: &[(u64, usize)],
) {
    let mut fleet = Fleet::new(Plan {
        loss,
        duplication,
        jitter_ms,
        ..Plan::small(seed)
    });
    for host in 0..9 {
        fleet.load(host % 4, host, 2, 0..15_000);
    }
    let mut restarts = restarts.to_vec();
    let owner_restarts = restarts.iter().any(|r| fleet.owners.contains(&r.1));
    restarts.sort_unstable();
    for step in 1..=150 {
        while restarts.first().is_some_and(|r| r.0 <= step) {
            fleet.restart(restarts.remove(0).1);
        }
        fleet.run_until(step * 100);
        fleet.check_leased_slots();
        if loss <= 0.1 && !owner_restarts {
            // With more loss an owner may miss all reports during a lease, after which it is correct to lease the
            // slots again. A new owner knows what is in flight only after it has received reports for one second.
            fleet.check_running();
        }
    }
    fleet.plan.loss = 0.0;
    fleet.plan.jitter_ms = 0;
    fleet.run_until(60_000);
    for server in 0..fleet.plan.servers {
        assert_eq!(
            fleet.leased(server),
            0,
            "slots of server {server} are still leased although nothing waits or runs"
        );
    }
    for host in 0..9 {
        fleet.load(host % 4, host, 10, 60_000..u64::MAX);
    }
    // Not all slots are busy at the same time, because some are being moved between hosts.
    let mut most = [0; 6];
    for step in 1..=200 {
        fleet.run_until(64_000 + step * 10);
        for (server, most) in most.iter_mut().enumerate() {
            *most = fleet.running_on(server).max(*most);
        }
        fleet.check_leased_slots();
        fleet.check_running();
    }
    assert_eq!(
        most, [SLOTS; 6],
        "some slots are not used again after the faults"
    );
}

// Guards against slots that are lost or leased twice because a message was lost, duplicated or reordered, or because
// a host or an owner restarted between two messages.
#[test]
fn no_slot_is_lost_or_leased_twice() {
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: 32,
            failure_persistence: None,
            ..Config::default()
        },
        TestRunner::deterministic().rng().clone(),
    );
    let restart = (1..150_u64, 0..9_usize);
    let input = (
        any::<u64>(),
        0.0..0.4,
        0.0..0.5,
        0..300_u64,
        prop::collection::vec(restart, 0..4),
    );
    let result = runner.run(&input, |(seed, loss, duplication, jitter_ms, restarts)| {
        println!("loss {loss} duplication {duplication} jitter {jitter_ms} restarts {restarts:?}");
        run_with_faults(seed, loss, duplication, jitter_ms, &restarts);
        Ok(())
    });
    result.expect("the property holds for all inputs");
}

/// A report that asks for slots for one account.
fn demand(host: u32, account: u32, charge: u64, waiting: u32) -> Report {
    let row = Row {
        account: id::Account(account),
        charge,
        in_flight: 0,
        waiting,
        estimate: 1_000,
        age_s: 0,
    };
    Report {
        host: id::Host(host),
        incarnation: 1,
        number: 1,
        owner_incarnation: 0,
        lease: Lease::None,
        sent: Time::from_ms(1),
        acknowledged_answer: 0,
        acknowledged_sums: None,
        pools: vec![Usage {
            pool: fleet::POOL,
            virtual_time: 0,
            accounts: vec![row],
            offsets: Vec::new(),
        }],
        slots: Vec::new(),
        retired: Vec::new(),
    }
}

fn request(id: u64, deadline: Time) -> Request {
    Request {
        id,
        account: id::Account(0),
        pool: fleet::POOL,
        estimate: 1,
        deadline,
        affinity: 0,
    }
}

/// Returns how many of 6 free slots an owner grants to hosts 0, 1 and 2 after these reports.
fn granted(reports: &[Report]) -> [u32; 3] {
    let mut allocator = Allocator::new(Time::ZERO, 1, Settings::default());
    allocator.set_support(Support {
        supporters: 1,
        hosts: 1,
    });
    allocator.set_servers(&[allocator::Server {
        server: id::Server(0),
        pool: fleet::POOL,
        limit: 0,
        leaving: false,
    }]);
    let now = Time::from_ms(1_000);
    for report in reports {
        allocator.report(now, report);
    }
    allocator.poll(now);
    // By the next poll, grants to new hosts are no longer rate-limited.
    allocator.set_limit(id::Server(0), 6);
    let mut granted = [0; 3];
    for envelope in allocator.poll(now.plus_ms(1_100)) {
        granted[envelope.to.0 as usize] = envelope.answer.grants[0].granted;
    }
    granted
}

// Guards against one account with little service receiving every free slot until the next exchange. Account 0 waits
// at two hosts, and its normalised service is 1,500 lower than that of account 1. Each grant raises it by 1,000 at
// both hosts, so that the grants alternate after the first two.
#[test]
fn grant_raises_the_service_of_the_account_at_all_hosts() {
    let light = [demand(0, 0, 0, 10), demand(1, 0, 0, 10)];
    let [first, second, other] = granted(&[&light[..], &[demand(2, 1, 1_500, 10)]].concat());
    assert_eq!((first + second, other), (4, 2));
}

// Guards against granting a host more slots than it has waiting requests, which other hosts could use.
#[test]
fn one_waiting_request_gets_one_slot() {
    assert_eq!(granted(&[demand(0, 0, 0, 1)]), [1, 0, 0]);
}

// Guards against an answer that arrives late, twice or from an earlier process of the owner, and thereby makes a
// leaving server usable again or grants the same slots again.
#[test]
fn reordered_and_duplicate_answers_are_ignored() {
    let now = Time::from_ms(1_000);
    let name = Name::new("d0").expect("valid name");
    let origin = Origin {
        host: id::Host(0),
        incarnation: 1,
    };
    let mut dispatcher = Dispatcher::new(origin, name.clone(), Settings::default());
    let server = id::Server(0);
    dispatcher.set_servers(
        now,
        &[dispatcher::Server {
            server,
            pool: fleet::POOL,
            domain: name.clone(),
        }],
    );
    dispatcher.set_owner(now, &name, Some(id::Host(9)));
    let answer = |number, granted, leaving: bool| Answer {
        host_incarnation: 1,
        incarnation: 2,
        number,
        epoch: 1,
        renewed_from: Some(now),
        acknowledged_report: 0,
        has_sums: false,
        pools: Vec::new(),
        grants: vec![Grant {
            server,
            granted,
            keep: leaving.then_some(0),
            leaving,
        }],
        retired: Vec::new(),
    };
    for answer in [
        answer(1, 1, false),
        answer(3, 2, true),
        answer(3, 2, true),
        answer(2, 2, false),
        Answer {
            incarnation: 1,
            ..answer(9, 5, false)
        },
    ] {
        dispatcher.answer(now, id::Host(9), &answer);
    }
    dispatcher.enqueue(now, request(1, now.plus_ms(1_000)));
    let actions = dispatcher.poll(now, |_, candidates| candidates[0].server);
    let starts = actions.iter().any(|a| matches!(a, Action::Dispatch { .. }));
    assert!(!starts, "request started on a leaving server: {actions:?}");
    assert_eq!(dispatcher.snapshot().pools[0].servers[0].leased, 0);
}

// Guards against the owners on both sides of a partitioned domain leasing all slots, and against an owner without
// supporters renewing leases.
#[test]
fn support_limits_the_leased_slots() {
    let support = |supporters, hosts| Support { supporters, hosts };
    assert_eq!(support(2, 3).capacity(8), 8);
    assert_eq!(support(1, 3).capacity(8), 2);
    assert_eq!(support(1, 2).capacity(8), 4);
    assert_eq!(support(0, 3).capacity(8), 0);
    let mut allocator = Allocator::new(Time::ZERO, 1, Settings::default());
    let now = Time::from_ms(1_000);
    allocator.report(now, &demand(0, 0, 0, 1));
    let envelopes = allocator.poll(now);
    assert_eq!(envelopes[0].answer.renewed_from, None);
}

// Guards against a waiting request that is never answered, and against one that is answered twice.
#[test]
fn waiting_request_is_refused_once_or_cancelled() {
    let at = Time::from_ms;
    let name = Name::new("d0").expect("valid name");
    let mut dispatcher = Dispatcher::new(Origin::default(), name.clone(), Settings::default());
    let refused = |dispatcher: &mut Dispatcher, now| {
        let actions = dispatcher.poll(now, |_, candidates| candidates[0].server);
        let refused = actions.into_iter().filter_map(|action| match action {
            Action::Refuse { request, reason } => Some((request, reason)),
            _ => None,
        });
        refused.collect::<Vec<_>>()
    };
    dispatcher.enqueue(at(1), request(1, at(50)));
    assert_eq!(refused(&mut dispatcher, at(1)), [(1, Reason::NoServer)]);
    let server = dispatcher::Server {
        server: id::Server(0),
        pool: fleet::POOL,
        domain: name,
    };
    dispatcher.set_servers(at(1), &[server]);
    dispatcher.enqueue(at(1), request(2, at(50)));
    dispatcher.enqueue(at(1), request(3, at(50)));
    assert!(dispatcher.cancel(at(2), 3));
    assert_eq!(refused(&mut dispatcher, at(49)), []);
    assert_eq!(dispatcher.next_wake(at(49)), at(50));
    assert_eq!(refused(&mut dispatcher, at(50)), [(2, Reason::Expired)]);
    assert_eq!(refused(&mut dispatcher, at(60)), []);
    assert!(!dispatcher.cancel(at(60), 2));
    assert_eq!(dispatcher.waiting_total(), 0);
}
