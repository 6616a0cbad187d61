//! Random faults for property tests.

use primrose_member::view::State;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fleet::{Fleet, Mode};

#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    Crash,
    Restart,
    Freeze,
    Thaw,
    Leave,
    Side(usize),
}

/// A fault of one host; the loss in percent and the delay in ms of the network from then on; the ms until the next one.
pub(crate) type Fault = (Kind, usize, u32, u64, u64);

pub(crate) fn faults(hosts: usize, max_wait_ms: u64) -> impl Strategy<Value = Vec<Fault>> {
    use Kind::{Crash, Freeze, Leave, Restart, Side, Thaw};
    let kind = prop::sample::select(vec![Crash, Restart, Freeze, Thaw, Leave, Side(0), Side(1)]);
    let loss = prop::sample::select(vec![0, 0, 20, 50]);
    let delay_ms = prop::sample::select(vec![3, 300, 4_000]);
    prop::collection::vec((kind, 0..hosts, loss, delay_ms, 0..max_wait_ms), 1..16)
}

/// Runs through the faults, then ends them all and starts the hosts again that do not run or leave.
pub(crate) fn run_through(fleet: &mut Fleet, faults: &[Fault]) {
    for &(kind, host, loss, delay_ms, wait_ms) in faults {
        let host = host % fleet.hosts.len();
        match (kind, fleet.hosts[host].mode) {
            (Kind::Crash, _) => fleet.hosts[host].mode = Mode::Down,
            (Kind::Restart, _) => fleet.restart(host, 0),
            (Kind::Freeze, Mode::Running) => fleet.hosts[host].mode = Mode::Frozen,
            (Kind::Thaw, Mode::Frozen) => fleet.hosts[host].mode = Mode::Running,
            (Kind::Leave, Mode::Running) => fleet.leave(host),
            (Kind::Freeze | Kind::Thaw | Kind::Leave, _) => {}
            (Kind::Side(side), _) => fleet.hosts[host].side = side,
        }
        (fleet.loss, fleet.delay_ms) = (loss, delay_ms);
        fleet.run(wait_ms);
    }
    (fleet.loss, fleet.delay_ms) = (0, 3);
    for host in 0..fleet.hosts.len() {
        fleet.hosts[host].side = 0;
        let state = fleet.hosts[host].detector.local().state;
        if state == State::Left || !fleet.runs(host) {
            fleet.restart(host, 0);
        }
    }
}

pub(crate) fn config(cases: u32, seed: u64) -> ProptestConfig {
    println!("proptest seed {seed}");
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
