//! Probes under way and the order in which members are probed.

use std::net::SocketAddr;

use primrose_base::clock::Time;
use primrose_base::id;
use rand::RngExt;
use rand::rngs::Xoshiro256PlusPlus;
use rand::seq::SliceRandom;

use crate::gossip::Table;

/// A probe that has not been answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) host: id::Host,
    pub(crate) nonce: u32,
    /// When the other members are asked to probe the host; `None` once they have been.
    pub(crate) indirect_at: Option<Time>,
    /// When the probe counts as failed.
    pub(crate) until: Time,
}

/// A probe on behalf of another host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    pub(crate) target: id::Host,
    /// Nonce of the ping to the target.
    pub(crate) nonce: u32,
    /// Who asked for it.
    pub(crate) origin: SocketAddr,
    /// Nonce of the request.
    pub(crate) origin_nonce: u32,
    pub(crate) until: Time,
}

/// A shuffled round over all members. Each is probed once per round, which bounds the time until the first probe.
#[derive(Clone, Debug, Default)]
pub(crate) struct Round {
    /// Members still to be probed in this round; the last one is next.
    rest: Vec<id::Host>,
}

impl Round {
    /// The next member that is present.
    pub(crate) fn next(&mut self, table: &Table, rng: &mut Xoshiro256PlusPlus) -> Option<id::Host> {
        let is_present = |host: id::Host| {
            let entry = table.get(host);
            entry.is_some_and(|entry| entry.member.state.is_present())
        };
        while let Some(host) = self.rest.pop() {
            if is_present(host) {
                return Some(host);
            }
        }
        self.rest = table.present().map(|member| member.host).collect();
        self.rest.shuffle(rng);
        self.rest.pop()
    }

    /// Adds a new member at a random place of this round.
    pub(crate) fn insert(&mut self, host: id::Host, rng: &mut Xoshiro256PlusPlus) {
        let at = rng.random_range(0..=self.rest.len());
        self.rest.insert(at, host);
    }
}
