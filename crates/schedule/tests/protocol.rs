//! Slots are neither lost nor doubled, whatever happens to messages and processes.

#[allow(dead_code, unreachable_pub, reason = "every test file uses a part")]
mod fleet;

use fleet::{Fleet, Plan};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

const SLOTS: u64 = 4;

/// Runs load on a bad network, then a quiet time, then full load on a good network.
fn disturb(seed: u64, loss: f64, duplication: f64, jitter_ms: u64, restarts: &[(u64, usize)]) {
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
        fleet.check_books();
        if loss <= 0.1 && !owner_restarts {
            // With more loss an owner may miss all reports of a lease, and rightly lends the slots again. A new owner
            // learns what is in flight only from the reports of its first second.
            fleet.check_running();
        }
    }
    fleet.plan.loss = 0.0;
    fleet.plan.jitter_ms = 0;
    fleet.run_until(60_000);
    for server in 0..fleet.plan.servers {
        assert_eq!(
            fleet.lent(server),
            0,
            "server {server} still lent when idle"
        );
    }
    for host in 0..9 {
        fleet.load(host % 4, host, 10, 60_000..u64::MAX);
    }
    // Not all slots are busy at the same moment, because some are being handed over.
    let mut most = [0; 6];
    for step in 1..=200 {
        fleet.run_until(64_000 + step * 10);
        for (server, most) in most.iter_mut().enumerate() {
            *most = fleet.running_on(server).max(*most);
        }
        fleet.check_books();
        fleet.check_running();
    }
    assert_eq!(most, [SLOTS; 6], "every slot must be used again");
}

// Guards against slots that are lost or lent twice because a message was lost, repeated or overtaken, or because a
// host or an owner restarted between two messages.
#[test]
fn no_slot_is_lost_or_doubled() {
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
        disturb(seed, loss, duplication, jitter_ms, &restarts);
        Ok(())
    });
    result.expect("holds for all inputs");
}
