//! Pending probes, and the order in which members are probed.

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
    /// When other members are asked to ping the host; `None` after they have been asked.
    pub(crate) indirect_at: Option<Time>,
    /// When the probe counts as failed.
    pub(crate) deadline: Time,
}

/// A pending probe on behalf of another host, the origin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    pub(crate) target: id::Host,
    /// Nonce of the ping to the target.
    pub(crate) nonce: u32,
    /// Address of the origin.
    pub(crate) origin: SocketAddr,
    /// Nonce of the request of the origin.
    pub(crate) origin_nonce: u32,
    pub(crate) expires_at: Time,
}

/// A shuffled round over all members. Each member is probed once per round, which bounds the time until its first
/// probe.
#[derive(Clone, Debug, Default)]
pub(crate) struct Round {
    /// Members still to be probed in this round; the last one is next.
    remaining: Vec<id::Host>,
}

impl Round {
    /// Returns the next member that is present, and starts a new round when this one has ended.
    pub(crate) fn next(&mut self, table: &Table, rng: &mut Xoshiro256PlusPlus) -> Option<id::Host> {
        let is_present = |host: id::Host| {
            let entry = table.get(host);
            entry.is_some_and(|entry| entry.member.state.is_present())
        };
        while let Some(host) = self.remaining.pop() {
            if is_present(host) {
                return Some(host);
            }
        }
        self.remaining = table.present().map(|member| member.host).collect();
        self.remaining.shuffle(rng);
        self.remaining.pop()
    }

    /// Adds a new member at a random position of this round.
    pub(crate) fn insert(&mut self, host: id::Host, rng: &mut Xoshiro256PlusPlus) {
        let at = rng.random_range(0..=self.remaining.len());
        self.remaining.insert(at, host);
    }
}
