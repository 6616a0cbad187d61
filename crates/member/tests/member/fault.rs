//! Random sequences of faults for property tests.

use primrose_member::view::State;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fleet::{Fleet, Mode};

#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    Crash,
    Restart,
    Suspend,
    Resume,
    Leave,
    /// Moves the host into the given partition of the network.
    Partition(usize),
}

/// A fault as (kind, host, packet loss of the network in percent from then on, maximum delay of the network in ms
/// from then on, ms until the next fault).
pub(crate) type Fault = (Kind, usize, u32, u64, u64);

pub(crate) fn faults(hosts: usize, max_wait_ms: u64) -> impl Strategy<Value = Vec<Fault>> {
    use Kind::{Crash, Leave, Partition, Restart, Resume, Suspend};
    let kind = prop::sample::select(vec![
        Crash,
        Restart,
        Suspend,
        Resume,
        Leave,
        Partition(0),
        Partition(1),
    ]);
    let loss = prop::sample::select(vec![0, 0, 20, 50]);
    let delay_ms = prop::sample::select(vec![3, 300, 4_000]);
    prop::collection::vec((kind, 0..hosts, loss, delay_ms, 0..max_wait_ms), 1..16)
}

/// Applies the faults one after the other. Then ends them all and restarts the hosts that are not running or have
/// left.
pub(crate) fn apply(fleet: &mut Fleet, faults: &[Fault]) {
    for &(kind, host, loss, delay_ms, wait_ms) in faults {
        let host = host % fleet.hosts.len();
        match (kind, fleet.hosts[host].mode) {
            (Kind::Crash, _) => fleet.hosts[host].mode = Mode::Down,
            (Kind::Restart, _) => fleet.restart(host, 0),
            (Kind::Suspend, Mode::Running) => fleet.hosts[host].mode = Mode::Suspended,
            (Kind::Resume, Mode::Suspended) => fleet.hosts[host].mode = Mode::Running,
            (Kind::Leave, Mode::Running) => fleet.leave(host),
            (Kind::Suspend | Kind::Resume | Kind::Leave, _) => {}
            (Kind::Partition(partition), _) => fleet.hosts[host].partition = partition,
        }
        (fleet.loss, fleet.delay_ms) = (loss, delay_ms);
        fleet.run(wait_ms);
    }
    (fleet.loss, fleet.delay_ms) = (0, 3);
    for host in 0..fleet.hosts.len() {
        fleet.hosts[host].partition = 0;
        let state = fleet.hosts[host].detector.local().state;
        if state == State::Left || !fleet.is_running(host) {
            fleet.restart(host, 0);
        }
    }
}

/// Runs `cases` cases with a fixed seed, so that every run of the tests has the same cases.
pub(crate) fn config(cases: u32, seed: u64) -> ProptestConfig {
    println!("proptest seed {seed}");
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
