//! Choice of a backend server for a request that the scheduler has already selected.
//!
//! Among the servers with an idle slot, in this order:
//!
//! 1. a server whose cache events say that it holds the prompt prefix;
//! 2. one that held it before some of its events were lost;
//! 3. the first by rendezvous hash of prefix and server, on which all hosts agree without messages, unless it is much
//!    fuller than another one ([`MAX_SKEW_PERCENT`]);
//! 4. the least loaded one, also for requests without a prefix.
//!
//! Cache events are hints: a wrong one costs a computation of the prefix and nothing else.

use std::hash::BuildHasher;

use foldhash::quality::FixedState;
use primrose_base::clock::Time;
use primrose_base::id;

/// Bytes of the prompt that count.
pub const PREFIX_BYTES: usize = 1_024;

/// Shorter prompts have no prefix that would be worth keeping a request together with others.
pub const MIN_PREFIX_BYTES: usize = 64;

/// A server is not chosen by hash if its share of slots in use is higher than that of the least loaded one by more than
/// this, so that one frequent prefix does not fill one server while others are idle.
pub const MAX_SKEW_PERCENT: u32 = 50;

/// How long a cache event counts. Engines evict prefixes that are not used, and the event of it may be lost.
pub const EVENT_LIFETIME_MS: u64 = 600_000;

/// After more late events in a row than this the server must have restarted, and the event that said so was lost.
const MAX_LATE: u32 = 64;

/// Entries of a [`Directory`]; at 40 bytes each they take up 640 KiB.
pub const MAX_ENTRIES: usize = 16_384;

/// Hash of the start of a prompt; the same on all hosts that run the same build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix(pub u64);

impl Prefix {
    /// The prefix of a prompt; `None` if it is too short.
    pub fn of(prompt: &[u8]) -> Option<Prefix> {
        if prompt.len() < MIN_PREFIX_BYTES {
            return None;
        }
        let start = &prompt[..prompt.len().min(PREFIX_BYTES)];
        Some(Prefix(FixedState::default().hash_one(start)))
    }
}

/// A server of the pool that this host holds slots of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: id::Server,
    /// Held slots without a request. Servers without any are not chosen.
    pub idle: u32,
    /// Slots in use, as far as this host knows.
    pub busy: u32,
    /// Slots of the server.
    pub slots: u32,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// Its events say that it holds the prefix.
    Cached,
    /// It held the prefix before some of its events were lost.
    MaybeCached,
    /// By rendezvous hash.
    Hash,
    /// It is the least loaded.
    LeastLoaded,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 4] = [
        Reason::Cached,
        Reason::MaybeCached,
        Reason::Hash,
        Reason::LeastLoaded,
    ];

    /// Name of the counter.
    pub const fn code(self) -> &'static str {
        match self {
            Reason::Cached => "choice_cached",
            Reason::MaybeCached => "choice_maybe_cached",
            Reason::Hash => "choice_hash",
            Reason::LeastLoaded => "choice_least_loaded",
        }
    }
}

/// The chosen server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The server.
    pub server: id::Server,
    /// Why.
    pub reason: Reason,
}

/// What a cache event says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The server has cached the prefix.
    Stored(Prefix),
    /// The server has evicted the prefix.
    Removed(Prefix),
    /// The server has emptied its cache. Number 0 means that it has restarted and numbers its events anew.
    Cleared,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    prefix: Prefix,
    server: id::Server,
    at: Time,
    /// Value of `Feed::gaps` when the event arrived.
    gaps: u32,
}

impl Entry {
    fn key(&self) -> (Prefix, id::Server) {
        (self.prefix, self.server)
    }
}

/// The events of one server.
#[derive(Clone, Copy, Debug)]
struct Feed {
    server: id::Server,
    /// Number of the latest event.
    latest: u64,
    /// How often events were missing.
    gaps: u32,
    /// Late events in a row.
    late: u32,
}

impl Feed {
    /// Counts an event and returns whether it is late.
    fn advance(&mut self, sequence: u64, is_restart: bool) -> bool {
        let is_late = sequence < self.latest;
        self.late = if is_late { self.late + 1 } else { 0 };
        if is_restart || self.late > MAX_LATE {
            self.gaps = self.gaps.wrapping_add(1);
            self.late = 0;
            self.latest = sequence;
            return false;
        }
        if sequence > self.latest.saturating_add(1) {
            self.gaps = self.gaps.wrapping_add(1);
        }
        self.latest = self.latest.max(sequence);
        is_late
    }
}

/// What the cache events of all servers say.
#[derive(Clone, Debug)]
pub struct Directory {
    /// Sorted by prefix and server; at most `capacity`.
    entries: Vec<Entry>,
    /// Sorted by server.
    feeds: Vec<Feed>,
    capacity: usize,
}

impl Default for Directory {
    fn default() -> Directory {
        Directory::new(MAX_ENTRIES)
    }
}

impl Directory {
    /// Makes an empty directory of at most `capacity` entries.
    pub fn new(capacity: usize) -> Directory {
        Directory {
            entries: Vec::new(),
            feeds: Vec::new(),
            capacity: capacity.max(1),
        }
    }

    /// Takes in event number `sequence` of a server. Events may be missing or late: one that is older than the latest
    /// can only remove, because what it stored may have been evicted since.
    pub fn record(&mut self, now: Time, server: id::Server, sequence: u64, change: Change) {
        let feed = self.feed(server, sequence);
        let is_restart = change == Change::Cleared && sequence == 0;
        let is_late = feed.advance(sequence, is_restart);
        let gaps = feed.gaps;
        match change {
            Change::Stored(prefix) if !is_late => self.store(Entry {
                prefix,
                server,
                at: now,
                gaps,
            }),
            Change::Stored(_) => {}
            Change::Removed(prefix) => self.remove(prefix, server),
            Change::Cleared => self.entries.retain(|entry| entry.server != server),
        }
    }

    /// Forgets a server that has left.
    pub fn forget(&mut self, server: id::Server) {
        self.entries.retain(|entry| entry.server != server);
        self.feeds.retain(|feed| feed.server != server);
    }

    /// Entries that take up memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Chooses among the candidates with an idle slot; `None` if there is none.
    pub fn choose(
        &self,
        now: Time,
        prefix: Option<Prefix>,
        candidates: &[Candidate],
    ) -> Option<Pick> {
        let idle = || candidates.iter().filter(|candidate| candidate.idle > 0);
        let least = idle().min_by_key(|candidate| (load_percent(candidate), candidate.server))?;
        let fallback = Pick {
            server: least.server,
            reason: Reason::LeastLoaded,
        };
        let Some(prefix) = prefix else {
            return Some(fallback);
        };
        let cached = idle()
            .filter_map(|candidate| Some((self.cached(now, prefix, candidate.server)?, candidate)))
            .min_by_key(|(reason, candidate)| (*reason, load_percent(candidate), candidate.server));
        if let Some((reason, candidate)) = cached {
            let server = candidate.server;
            return Some(Pick { server, reason });
        }
        let first = idle().max_by_key(|candidate| weight(prefix, candidate.server))?;
        if load_percent(first) > load_percent(least) + MAX_SKEW_PERCENT {
            return Some(fallback);
        }
        Some(Pick {
            server: first.server,
            reason: Reason::Hash,
        })
    }

    fn cached(&self, now: Time, prefix: Prefix, server: id::Server) -> Option<Reason> {
        let at = self.position(prefix, server).ok()?;
        let entry = &self.entries[at];
        if now.since(entry.at) > EVENT_LIFETIME_MS {
            return None;
        }
        let at = self
            .feeds
            .binary_search_by_key(&server, |feed| feed.server)
            .ok()?;
        if entry.gaps == self.feeds[at].gaps {
            Some(Reason::Cached)
        } else {
            Some(Reason::MaybeCached)
        }
    }

    fn feed(&mut self, server: id::Server, sequence: u64) -> &mut Feed {
        let found = self.feeds.binary_search_by_key(&server, |feed| feed.server);
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let feed = Feed {
                    server,
                    latest: sequence,
                    gaps: 0,
                    late: 0,
                };
                self.feeds.insert(at, feed);
                at
            }
        };
        &mut self.feeds[at]
    }

    fn store(&mut self, entry: Entry) {
        match self.position(entry.prefix, entry.server) {
            Ok(at) => self.entries[at] = entry,
            Err(_) => {
                self.make_room();
                let at = self
                    .entries
                    .partition_point(|other| other.key() < entry.key());
                self.entries.insert(at, entry);
            }
        }
    }

    fn remove(&mut self, prefix: Prefix, server: id::Server) {
        if let Ok(at) = self.position(prefix, server) {
            self.entries.remove(at);
        }
    }

    /// Drops the oldest tenth if the directory is full; one at a time would visit all entries for each event.
    fn make_room(&mut self) {
        if self.entries.len() < self.capacity {
            return;
        }
        let mut times: Vec<Time> = self.entries.iter().map(|entry| entry.at).collect();
        let (_, &mut limit, _) = times.select_nth_unstable(self.capacity / 10);
        let mut excess = self.capacity / 10 + 1;
        self.entries.retain(|entry| {
            let drops = entry.at <= limit && excess > 0;
            excess -= usize::from(drops);
            !drops
        });
    }

    fn position(&self, prefix: Prefix, server: id::Server) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&(prefix, server), Entry::key)
    }
}

fn load_percent(candidate: &Candidate) -> u32 {
    let slots = u64::from(candidate.slots.max(1));
    (u64::from(candidate.busy) * 100 / slots).min(1_000) as u32
}

/// Rendezvous hash (Thaler and Ravishankar, 1998): when a server leaves, only its prefixes move.
fn weight(prefix: Prefix, server: id::Server) -> u64 {
    FixedState::default().hash_one((prefix.0, server.0))
}
