//! Random faults for property tests.

use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    Crash,
    Restart,
    Freeze,
    Thaw,
    Leave,
    Side(usize),
}

/// A fault of one host, and the state of the network and the time until the next fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    pub(crate) kind: Kind,
    pub(crate) host: usize,
    pub(crate) loss: u32,
    pub(crate) delay_ms: u64,
    pub(crate) wait_ms: u64,
}

pub(crate) fn faults(hosts: usize, max_wait_ms: u64) -> impl Strategy<Value = Vec<Fault>> {
    use Kind::{Crash, Freeze, Leave, Restart, Side, Thaw};
    let kind = prop::sample::select(vec![Crash, Restart, Freeze, Thaw, Leave, Side(0), Side(1)]);
    let network = (
        prop::sample::select(vec![0, 0, 20, 50]),
        prop::sample::select(vec![3, 300, 4_000]),
    );
    let fault =
        (kind, 0..hosts, network, 0..max_wait_ms).prop_map(|(kind, host, network, wait_ms)| {
            let (loss, delay_ms) = network;
            Fault {
                kind,
                host,
                loss,
                delay_ms,
                wait_ms,
            }
        });
    prop::collection::vec(fault, 1..16)
}
