//! Choice of a backend server for a request that the dispatcher has already selected.
//!
//! Only servers with an idle slot are considered. The order of preference is:
//!
//! 1. a server that has cached the prompt prefix according to its cache events;
//! 2. a server that had cached the prefix before some of its events were lost;
//! 3. the first server by rendezvous hash of prefix and server, on which all hosts agree without messages, unless it
//!    has a much higher load than another one ([`MAX_SKEW_PERCENT`]);
//! 4. the least loaded server; the only rule for requests without a prefix.
//!
//! Cache events are hints: if one is wrong, the server must compute the prefix again, and nothing worse happens.

use std::hash::BuildHasher;

use foldhash::quality::FixedState;
use primrose_base::clock::Time;
use primrose_base::id;

/// Length of a prefix, in bytes. The rest of the prompt does not influence the choice.
pub const PREFIX_BYTES: usize = 1_024;

/// Shortest prompt with a prefix, in bytes. The cached prefix of a shorter prompt is not worth restricting the
/// choice.
pub const MIN_PREFIX_BYTES: usize = 64;

/// A server is not chosen by hash if its percentage of slots in use is higher than that of the least loaded server by
/// more than this many points. Otherwise one frequent prefix would fill one server while others are idle.
pub const MAX_SKEW_PERCENT: u32 = 50;

/// Time after which a cache event is ignored, in ms. Engines evict unused prefixes, and the eviction event may be
/// lost.
pub const EVENT_LIFETIME_MS: u64 = 600_000;

/// If more consecutive events than this are late, the server is assumed to have restarted and its restart event to be
/// lost.
const MAX_LATE: u32 = 64;

/// Default capacity of a [`Directory`], in entries. At 24 bytes each they take up 384 KiB.
pub const MAX_ENTRIES: usize = 16_384;

/// Hash of the start of a prompt; the same on all hosts that run the same build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix(pub u64);

impl Prefix {
    /// Returns the prefix of a prompt, or `None` if the prompt is shorter than [`MIN_PREFIX_BYTES`].
    pub fn of(prompt: &[u8]) -> Option<Prefix> {
        if prompt.len() < MIN_PREFIX_BYTES {
            return None;
        }
        let start = &prompt[..prompt.len().min(PREFIX_BYTES)];
        Some(Prefix(FixedState::default().hash_one(start)))
    }
}

/// A server of the pool of which this host holds slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Unique identifier of the server.
    pub server: id::Server,
    /// Slots that this host holds and that have no request in flight. A server without any is not chosen.
    pub idle: u32,
    /// Slots in use, as far as this host knows.
    pub busy: u32,
    /// All slots of the server.
    pub slots: u32,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// According to its events, the server has cached the prefix.
    Cached,
    /// The server had cached the prefix before some of its events were lost.
    MaybeCached,
    /// The server is the first by rendezvous hash.
    Hash,
    /// The server has the lowest load.
    LeastLoaded,
}

impl Reason {
    /// All reasons, in the order of preference.
    pub const ALL: [Reason; 4] = [
        Reason::Cached,
        Reason::MaybeCached,
        Reason::Hash,
        Reason::LeastLoaded,
    ];

    /// Returns the name of the counter of such choices.
    pub const fn code(self) -> &'static str {
        match self {
            Reason::Cached => "choice_cached",
            Reason::MaybeCached => "choice_maybe_cached",
            Reason::Hash => "choice_hash",
            Reason::LeastLoaded => "choice_least_loaded",
        }
    }
}

/// The result of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The chosen server.
    pub server: id::Server,
    /// Why this server was chosen.
    pub reason: Reason,
}

/// The content of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The server has cached the prefix.
    Stored(Prefix),
    /// The server has evicted the prefix.
    Removed(Prefix),
    /// The server has cleared its cache. If the event has number 0, the server has restarted and numbers its events
    /// from the beginning.
    Cleared,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    prefix: Prefix,
    server: id::Server,
    /// When the event arrived.
    at: Time,
    /// Value of `Feed::gaps` when the event arrived.
    gaps: u32,
}

impl Entry {
    fn key(&self) -> (Prefix, id::Server) {
        (self.prefix, self.server)
    }
}

/// The state of the event stream of one server.
#[derive(Clone, Copy, Debug)]
struct Feed {
    server: id::Server,
    /// Highest number of an event.
    latest: u64,
    /// How often one or more events were missing, or the numbering started again.
    gaps: u32,
    /// Number of consecutive late events.
    late: u32,
}

impl Feed {
    /// Records the number of an event and returns whether the event is late, that is, older than the latest one.
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

/// The prefixes that servers have cached, according to their cache events.
#[derive(Clone, Debug)]
pub struct Directory {
    /// Sorted by prefix and server; at most `capacity`.
    entries: Vec<Entry>,
    /// Sorted by server.
    feeds: Vec<Feed>,
    /// In entries; at least 1.
    capacity: usize,
}

impl Default for Directory {
    fn default() -> Directory {
        Directory::new(MAX_ENTRIES)
    }
}

impl Directory {
    /// Creates an empty directory of at most `capacity` entries.
    pub fn new(capacity: usize) -> Directory {
        Directory {
            entries: Vec::new(),
            feeds: Vec::new(),
            capacity: capacity.max(1),
        }
    }

    /// Records event number `sequence` of a server. Events may be missing or late. An event that is older than the
    /// latest one can only remove a prefix, because a prefix that it stored may have been evicted since.
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

    /// Removes all entries of a server, and its event numbers. Called when the server has been removed.
    pub fn remove_server(&mut self, server: id::Server) {
        self.entries.retain(|entry| entry.server != server);
        self.feeds.retain(|feed| feed.server != server);
    }

    /// Returns the number of entries, including expired ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the directory has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Chooses among the candidates with an idle slot. Returns `None` if there is none.
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

    /// Returns whether the server has or may have cached the prefix; `None` if there is no valid entry.
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
                self.evict_oldest();
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

    /// Evicts the oldest tenth of the entries if the directory is full. Evicting a single entry would require a pass
    /// over all entries for each event.
    fn evict_oldest(&mut self) {
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

/// Returns the slots in use, in percent of all slots, limited to 1,000.
fn load_percent(candidate: &Candidate) -> u32 {
    let slots = u64::from(candidate.slots.max(1));
    (u64::from(candidate.busy) * 100 / slots).min(1_000) as u32
}

/// Weight of a server in rendezvous hashing (Thaler and Ravishankar, 1998): when a server is removed, only its
/// prefixes move to other servers.
fn weight(prefix: Prefix, server: id::Server) -> u64 {
    FixedState::default().hash_one((prefix.0, server.0))
}
