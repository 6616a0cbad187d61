//! The list of backend servers, read from the platform's service discovery.

use std::hash::BuildHasher;

use foldhash::quality::FixedState;
use primrose_base::clock::Time;
use primrose_place::Server;
use serde::{Deserialize, Serialize};

/// All backend servers at the time when the list was read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Sorted by id.
    servers: Vec<Server>,
    /// Hash of the servers. Directories with the same fingerprint have the same content.
    fingerprint: u64,
}

/// Identifies the directory of a host and tells its age. Hosts exchange ages instead of times because their clocks
/// differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// The fingerprint of the directory.
    pub fingerprint: u64,
    /// Time since the list was read, in ms.
    pub age_ms: u64,
}

impl Freshness {
    /// Describes a directory whose list was read at `read`.
    pub fn new(now: Time, fingerprint: u64, read: Time) -> Freshness {
        Freshness {
            fingerprint,
            age_ms: now.since(read),
        }
    }

    /// The time when the list was read at the earliest, on the clock of this host. The age must have been stated later
    /// than `asked`. Messages may be delayed, and either host may be frozen at any moment, so the time at which the age
    /// is received does not tell when it was stated.
    pub fn read(self, asked: Time) -> Time {
        Time::from_ms(asked.as_ms().saturating_sub(self.age_ms))
    }
}

/// A directory replaces another one only if it was read later by more than this, in ms: less than the interval
/// between two reads, and more than the transit time of a message.
const MIN_AGE_DIFFERENCE_MS: u64 = 100;

impl Directory {
    /// Creates a directory. Of servers with the same id, one is kept, and a draining one rather than one that is not:
    /// a server that starts to drain between the reads of two pages can be on both of them.
    pub fn new(mut servers: Vec<Server>) -> Directory {
        servers.sort_by(|a, b| {
            let order = a.id.cmp(&b.id);
            order
                .then_with(|| b.draining.cmp(&a.draining))
                .then_with(|| a.cmp(b))
        });
        servers.dedup_by(|a, b| a.id == b.id);
        let fingerprint = FixedState::default().hash_one(&servers);
        Directory {
            servers,
            fingerprint,
        }
    }

    /// The servers, sorted by id.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Hash of the servers; equal for directories with the same content.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }
}

/// What to do after a comparison with the directory of another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// This host's directory is up to date.
    Keep,
    /// The directories have the same content, and the list of the other one was read later: this host's directory
    /// counts as read at that time.
    Renew(Time),
    /// The other directory is newer and differs: it is to be fetched.
    Fetch,
}

/// Compares this host's directory, given by its fingerprint and the time when its list was read, with that of another
/// host. `asked` is a time on this host's clock that is earlier than the statement of the other one; without it, nothing
/// shows that the other directory is newer.
pub fn compare(asked: Option<Time>, own: Option<(u64, Time)>, other: Freshness) -> Action {
    let Some((fingerprint, read)) = own else {
        return Action::Fetch;
    };
    let Some(asked) = asked else {
        return Action::Keep;
    };
    let other_read = other.read(asked);
    if fingerprint == other.fingerprint {
        match other_read > read {
            true => Action::Renew(other_read),
            false => Action::Keep,
        }
    } else if other_read > read.plus_ms(MIN_AGE_DIFFERENCE_MS) {
        Action::Fetch
    } else {
        Action::Keep
    }
}
