//! The table of members, with the updates that this host still has to gossip.

use primrose_base::clock::Time;
use primrose_base::id;
use rand::RngExt;
use rand::rngs::Xoshiro256PlusPlus;

use crate::message::Update;
use crate::view::{Member, State};

/// A suspicion that has been neither refuted nor confirmed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    /// When this host starts to probe the member itself, in case the host that started the suspicion has failed.
    pub(crate) probe_from: Time,
    /// Failed probes in a row by this host.
    pub(crate) failures: u32,
}

/// A member, with its suspicion and the pending gossip about it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    /// Present while the state is `Suspect`, and only then.
    pub(crate) suspicion: Option<Suspicion>,
    /// How many more datagrams carry the record.
    pub(crate) transmissions_left: u32,
}

/// All known members except this host, sorted by host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    entries: Vec<Entry>,
}

impl Table {
    pub(crate) fn get(&self, host: id::Host) -> Option<&Entry> {
        let at = self.position(host).ok()?;
        Some(&self.entries[at])
    }

    pub(crate) fn get_mut(&mut self, host: id::Host) -> Option<&mut Entry> {
        let at = self.position(host).ok()?;
        Some(&mut self.entries[at])
    }

    pub(crate) fn insert(&mut self, entry: Entry) {
        match self.position(entry.member.host) {
            Ok(at) => self.entries[at] = entry,
            Err(at) => self.entries.insert(at, entry),
        }
    }

    pub(crate) fn remove(&mut self, host: id::Host) {
        if let Ok(at) = self.position(host) {
            self.entries.remove(at);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.iter_mut()
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.iter().map(|entry| &entry.member)
    }

    pub(crate) fn present(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state.is_present())
    }

    /// Up to `count` distinct members that are alive, in random order, excluding `except`.
    pub(crate) fn pick(
        &self,
        count: usize,
        except: id::Host,
        rng: &mut Xoshiro256PlusPlus,
    ) -> Vec<Member> {
        let alive = |member: &&Member| member.state == State::Alive && member.host != except;
        let mut candidates: Vec<&Member> = self.members().filter(alive).collect();
        let mut picked = Vec::with_capacity(count);
        while picked.len() < count && !candidates.is_empty() {
            let at = rng.random_range(0..candidates.len());
            picked.push(candidates.swap_remove(at).clone());
        }
        picked
    }

    /// Returns the updates that have been gossiped least often, up to `byte_budget` bytes, excluding those about
    /// `except`, and counts them as gossiped once more.
    pub(crate) fn take_updates(&mut self, byte_budget: usize, except: &[id::Host]) -> Vec<Update> {
        let mut pending: Vec<usize> = (0..self.entries.len())
            .filter(|&at| self.entries[at].transmissions_left > 0)
            .filter(|&at| !except.contains(&self.entries[at].member.host))
            .collect();
        pending.sort_by_key(|&at| std::cmp::Reverse(self.entries[at].transmissions_left));
        let mut updates = Vec::new();
        let mut bytes = 0;
        for at in pending {
            let update = Update::of(&self.entries[at].member);
            bytes += update.max_bytes();
            if bytes > byte_budget {
                break;
            }
            self.entries[at].transmissions_left -= 1;
            updates.push(update);
        }
        updates
    }

    fn position(&self, host: id::Host) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&host, |entry| entry.member.host)
    }
}

/// How often each host transmits an update in a fleet of `members` hosts: `3 * ceil(log2(members + 1))`.
///
/// Gossip reaches every member with high probability after a number of transmissions that is proportional to the
/// logarithm of the fleet size (Das et al., SWIM, DSN 2002); the factor 3 compensates for lost datagrams.
pub(crate) fn transmissions(members: usize) -> u32 {
    3 * (members + 1).next_power_of_two().ilog2()
}

/// The longest prefix of `updates` that fits into `byte_budget` bytes.
pub(crate) fn take_fitting(
    updates: impl Iterator<Item = Update>,
    byte_budget: usize,
) -> Vec<Update> {
    let mut bytes = 0;
    updates
        .take_while(|update| {
            bytes += update.max_bytes();
            bytes <= byte_budget
        })
        .collect()
}
