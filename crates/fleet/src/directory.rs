//! The backend servers that exist, as the platform's list tells.

use std::hash::BuildHasher;

use foldhash::quality::FixedState;
use primrose_base::clock::Time;
use primrose_place::Server;
use serde::{Deserialize, Serialize};

/// All backend servers at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Sorted by id.
    servers: Vec<Server>,
    /// Hash of the servers: two directories with the same stamp say the same.
    stamp: u64,
}

/// Which directory a host has, and how old it is. Ages are compared instead of times, since clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// The stamp of the directory.
    pub stamp: u64,
    /// How long ago the list was read, in ms.
    pub age_ms: u64,
}

impl Freshness {
    /// The freshness of the directory with this stamp whose list was read at `read`.
    pub fn new(now: Time, stamp: u64, read: Time) -> Freshness {
        Freshness {
            stamp,
            age_ms: now.since(read),
        }
    }

    /// When the list was read, on the own clock.
    pub fn read(self, now: Time) -> Time {
        Time::from_ms(now.as_ms().saturating_sub(self.age_ms))
    }
}

/// A directory must be this much younger to replace another one, in ms: less than the interval between two reads, and
/// more than the time that a message takes.
const MARGIN_MS: u64 = 100;

impl Directory {
    /// A directory of these servers.
    pub fn new(mut servers: Vec<Server>) -> Directory {
        servers.sort();
        servers.dedup_by(|a, b| a.id == b.id);
        let stamp = FixedState::default().hash_one(&servers);
        Directory { servers, stamp }
    }

    /// The servers, sorted by id.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Hash of the servers.
    pub fn stamp(&self) -> u64 {
        self.stamp
    }
}

/// What to do about the directory of another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The own one is as good.
    Keep,
    /// The other one says the same and was read later: the own one counts as read at this time.
    Renew(Time),
    /// The other one is newer and says something else.
    Fetch,
}

/// Compares the own directory, read at `read`, with that of another host.
pub fn compare(now: Time, own: Option<(u64, Time)>, other: Freshness) -> Step {
    let other_read = other.read(now);
    match own {
        None => Step::Fetch,
        Some((stamp, read)) if stamp == other.stamp && other_read > read => Step::Renew(other_read),
        Some((stamp, read)) if stamp != other.stamp && other_read > read.plus_ms(MARGIN_MS) => {
            Step::Fetch
        }
        Some(_) => Step::Keep,
    }
}
