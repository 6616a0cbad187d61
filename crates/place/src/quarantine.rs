//! Prompt parts that crash the servers that begin to write an answer to them.
//!
//! A request with such a part ends its server and all requests on it. The placer would send the next one, which other
//! callers send through other hosts, to the next server. [`Register`] finds the part that such requests have in common.
//! Requests with that part are then refused until the quarantine ends.
//!
//! A server may end for any cause, and requests with sound parts are on it then, too. What tells the parts apart is that
//! a crashing part ends every server that begins an answer to it:
//!
//! - A part is cleared as soon as an answer to a request with it goes on for a while or is complete.
//! - Several servers that end at the same time count once for a part: the later request must have been assigned after
//!   the earlier crash was known.
//! - The crashes must be on several servers, and a noticeable share of all crashes of the pool.
//! - A part is not quarantined while another one would explain the same crashes and more. Once a part is quarantined, the
//!   crashes that it explains no longer count against other parts.
//! - Parts that were in exactly the same crashes cannot be told apart. Then only requests that have all of them are
//!   refused, and one with some of them decides. A part that one of the crashes lacks counts as well: that crash may have had
//!   another cause, or a report may have been lost.
//!
//! The register is a state machine without input or output. Hosts tell each other of quarantined parts ([`list`]), so that
//! these outlive the host that found them.

pub mod list;

use std::hash::BuildHasher;
use std::net::SocketAddrV4;
use std::sync::Arc;

use foldhash::quality::FixedState;
use primrose_base::clock::Time;
use serde::{Deserialize, Serialize};

use crate::demand::{self, Demand};
use list::{List, Notice, Record, Summary, is_subset};

/// How long a part is quarantined for the first time, in ms. After that, requests with it are sent one at a time, and one
/// more crash quarantines it again at once.
pub const QUARANTINE_MS: u64 = 10 * 60 * 1_000;

/// How long a crash is remembered that no quarantined part explains, in ms. Few requests may come in an hour.
pub const MEMORY_MS: u64 = 24 * 60 * 60 * 1_000;

/// How long after its first event an answer counts as just begun, in ms. If its server is still up then, the request has
/// not crashed it.
pub const BEGINNING_MS: u64 = 300;

/// Crashes that quarantine a part, if they were on enough different servers.
const CRASHES: usize = 3;

/// Crashes that quarantine a part whatever servers they were on. A server that ends again and again for a reason of its
/// own would have to meet the same part each time.
const CRASHES_OF_ANY_SERVER: usize = 5;

/// Different servers on which these crashes must be, if the pool has so many.
const MIN_SERVERS: usize = 3;

/// A part must be in one of so many crashes of its pool. Otherwise the servers end without it, too.
const MAX_CRASHES_PER_HIT: usize = 4;

/// Reports of the same server within this time are about the same crash, in ms: less than a server needs to start.
const SAME_CRASH_MS: u64 = 1_000;

/// The most crashes that are remembered.
const MAX_PAST: usize = 64;

/// The most suspected parts that are remembered: those of a full server with prompts of 300 parts.
pub const MAX_SUSPICIONS: usize = 1 << 14;

/// The most answers that have just begun and are watched.
const MAX_BEGUN: usize = 4_096;

/// The pool and the part of a [`Key`] in a message. A hash takes up to 10 bytes as a number of variable length, and the
/// keys of a status would leave too little room in a datagram for the other fields.
type Encoded = [[u8; 8]; 2];

impl From<Encoded> for Key {
    fn from([pool, part]: Encoded) -> Key {
        Key {
            pool: u64::from_le_bytes(pool),
            part: u64::from_le_bytes(part),
        }
    }
}

impl From<Key> for Encoded {
    fn from(key: Key) -> Encoded {
        [key.pool.to_le_bytes(), key.part.to_le_bytes()]
    }
}

/// A part of prompts in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "Encoded", into = "Encoded")]
pub struct Key {
    /// Hash of the name of the pool.
    pub pool: u64,
    /// Id of the part.
    pub part: u64,
}

impl Key {
    /// The key of the part with the id `part` in a pool.
    pub fn new(pool: &str, part: u64) -> Key {
        Key {
            pool: FixedState::default().hash_one(pool),
            part,
        }
    }

    /// The keys of the shared parts of a request, sorted. The last part belongs to one request and cannot crash servers
    /// again.
    pub fn of(demand: &Demand) -> Vec<Key> {
        let Some(prompt) = &demand.prompt else {
            return Vec::new();
        };
        let pool = FixedState::default().hash_one(&*demand.pool);
        let parts = prompt.shared_parts().iter();
        let mut keys: Vec<Key> = parts
            .map(|part| Key {
                pool,
                part: part.id,
            })
            .collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }
}

/// A server that has ended without notice.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Id of the server.
    pub server: Arc<str>,
    /// Name of its pool.
    pub pool: Arc<str>,
    /// Its address.
    pub address: SocketAddrV4,
    /// Number of servers in the pool.
    pub servers: usize,
    /// The requests that may have caused the crash.
    pub suspects: Vec<Suspect>,
}

/// A request on a crashed server whose answer had at most just begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The shared parts of its prompt, sorted.
    pub keys: Vec<Key>,
    /// When it was assigned to the server.
    pub assigned: Time,
}

/// A crash that is remembered.
#[derive(Clone, Debug)]
struct Past {
    number: u64,
    at: Time,
    /// Without suspects once they are no longer needed.
    crash: Crash,
    /// Whether a quarantined part was on the server.
    is_explained: bool,
    /// Whether the register has looked for the part that caused it, with all suspects that are known.
    is_decided: bool,
}

/// A part that was in crashes and has not been cleared.
#[derive(Clone, Debug)]
struct Suspicion {
    key: Key,
    /// In the order of their crashes. Invariant: not empty, and all crashes are remembered.
    hits: Vec<Hit>,
}

/// A crash of a server that had a request with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Hit {
    /// Number of the crash.
    crash: u64,
    at: Time,
    address: SocketAddrV4,
    /// When the latest such request was assigned.
    assigned: Time,
}

/// An answer that has just begun.
#[derive(Clone, Debug)]
struct Begun {
    at: Time,
    server: Arc<str>,
    keys: Vec<Key>,
}

/// The crashes, the parts that are suspected, and those that are quarantined.
#[derive(Clone, Debug, Default)]
pub struct Register {
    /// Number of crashes so far.
    crashes: u64,
    /// In the order of their times; at most [`MAX_PAST`].
    past: Vec<Past>,
    /// Sorted by key; at most [`MAX_SUSPICIONS`].
    suspicions: Vec<Suspicion>,
    /// In the order of their times; at most [`MAX_BEGUN`].
    begun: Vec<Begun>,
    list: List,
    /// Number of suspicions that were dropped because there were too many.
    lost: u64,
}

impl Register {
    /// Time until a request with these parts may be sent, in ms, or `None` if it may be sent now. `keys` are sorted.
    pub fn remaining_ms(&self, now: Time, keys: &[Key]) -> Option<u64> {
        self.list.remaining_ms(now, keys)
    }

    /// The parts that are quarantined, to be told to other hosts.
    pub fn notices(&self, now: Time) -> Vec<Notice> {
        self.list.notices(now)
    }

    /// Hash of the parts that are quarantined.
    pub fn digest(&self, now: Time) -> u64 {
        self.list.digest(now)
    }

    /// What other hosts are told of the quarantined parts in a datagram.
    pub fn summary(&self, now: Time) -> Summary {
        self.list.summary(now)
    }

    /// All that other hosts can be told of the quarantined parts.
    pub fn record(&self, now: Time) -> Record {
        self.list.record(now)
    }

    /// Takes over what another host knows. Returns the notices that were not known.
    pub fn merge(&mut self, now: Time, record: &Record) -> Vec<Notice> {
        self.list.merge(now, record)
    }

    /// Time until this request, which has these parts, may be sent, in ms, or `None` if it may be sent now.
    pub fn refusal_ms(&self, now: Time, keys: &[Key], request: demand::Key) -> Option<u64> {
        self.list.refusal_ms(now, keys, request)
    }

    /// The time after which a request is to come back that would be sent on trial, in ms, if this host sends none.
    pub fn no_trial_ms(&self, keys: &[Key]) -> Option<u64> {
        self.list.no_trial_ms(keys)
    }

    /// Records that a request was sent, which ends by `until`. If a quarantine of its parts has ended, others wait for its
    /// outcome.
    pub fn record_sent(&mut self, now: Time, keys: &[Key], request: demand::Key, until: Time) {
        self.list.begin_trial(now, keys, request, until);
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, now: Time, request: demand::Key) {
        self.list.end_trial(now, request);
    }

    /// Whether no part is or was quarantined.
    pub fn is_empty(&self) -> bool {
        self.list.entries().is_empty()
    }

    /// Number of parts and groups of parts that are no longer quarantined, since others took their place, since the last
    /// call.
    pub fn take_dropped(&mut self) -> u64 {
        self.list.take_dropped()
    }

    /// Records that the answer to a request with these parts has begun on a server. They are cleared if it goes on.
    pub fn record_begun(&mut self, now: Time, server: &Arc<str>, keys: &[Key]) {
        self.clear_begun(now);
        if self.begun.len() < MAX_BEGUN && keys.iter().any(|key| self.is_suspected(key)) {
            self.begun.push(Begun {
                at: now,
                server: Arc::clone(server),
                keys: keys.to_vec(),
            });
        }
    }

    /// Records that a request with these parts, assigned at `assigned`, got a complete answer, and clears them.
    pub fn record_served(&mut self, now: Time, assigned: Time, keys: &[Key]) {
        self.clear(now, keys, Some(assigned));
    }

    /// Records a crash, or further suspects of one that is known. Returns the notice of a part that is quarantined because
    /// of it. If this register may have an incomplete view of the requests, `decides` is false, and no part is until
    /// [`Register::decide`] is called.
    pub fn record_crash(&mut self, now: Time, crash: &Crash, decides: bool) -> Option<Notice> {
        self.clear_begun(now);
        self.begun.retain(|begun| begun.server != crash.server);
        self.forget(now);
        let known = self.past.iter().rposition(|past| {
            past.crash.server == crash.server && now.since(past.at) < SAME_CRASH_MS
        });
        let known = match known {
            Some(at) if self.past[at].is_explained => return None,
            Some(at) => at,
            None => {
                self.crashes += 1;
                self.past.push(Past {
                    number: self.crashes,
                    at: now,
                    crash: Crash {
                        suspects: Vec::new(),
                        ..crash.clone()
                    },
                    is_explained: false,
                    is_decided: false,
                });
                let excess = self.past.len().saturating_sub(MAX_PAST);
                self.past.drain(..excess);
                self.past.len() - 1
            }
        };
        let suspects = crash.suspects.iter().map(|suspect| &suspect.keys[..]);
        if let Some(entry) = self.list.explanation(suspects) {
            let repeated = (!entry.is_active(now)).then(|| entry.repeat(now));
            let number = self.past[known].number;
            self.exonerate(&[number]);
            return repeated;
        }
        let past = &mut self.past[known];
        let is_new = |suspect: &&Suspect| !past.crash.suspects.contains(suspect);
        let new: Vec<Suspect> = crash.suspects.iter().filter(is_new).cloned().collect();
        if !new.is_empty() {
            past.is_decided = false;
            past.crash.suspects.extend_from_slice(&new);
            let (number, at) = (past.number, past.at);
            self.suspect(number, at, crash.address, &new);
        }
        if decides { self.decide(now) } else { None }
    }

    /// Looks for the part that caused the crashes for which this was not done yet. The caller must have a complete view of
    /// the requests. Returns the notice of a part that is quarantined; there may be more.
    pub fn decide(&mut self, now: Time) -> Option<Notice> {
        while let Some(past) = self.past.iter_mut().find(|past| !past.is_decided) {
            past.is_decided = true;
            if past.is_explained {
                continue;
            }
            let crash = past.crash.clone();
            if let Some(notice) = self.find_cause(now, &crash) {
                return Some(notice);
            }
        }
        None
    }

    /// Number of suspicions that were dropped, since there were too many, since the last call.
    pub fn take_lost(&mut self) -> u64 {
        std::mem::take(&mut self.lost)
    }

    /// Number of parts that are suspected.
    pub fn suspected(&self) -> usize {
        self.suspicions.len()
    }

    /// Adds a hit to all parts that may have caused a crash.
    fn suspect(&mut self, crash: u64, at: Time, address: SocketAddrV4, suspects: &[Suspect]) {
        let parts = suspects.iter().flat_map(|suspect| {
            let keys = suspect.keys.iter();
            keys.map(|key| (*key, suspect.assigned))
        });
        let mut parts: Vec<(Key, Time)> = parts.collect();
        // The latest assignment of each part comes first.
        parts.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
        parts.dedup_by_key(|part| part.0);
        let mut new = Vec::new();
        for (key, assigned) in parts {
            let hit = Hit {
                crash,
                at,
                address,
                assigned,
            };
            let Ok(at) = self.position(&key) else {
                let hits = vec![hit];
                new.push(Suspicion { key, hits });
                continue;
            };
            let hits = &mut self.suspicions[at].hits;
            match hits.binary_search_by_key(&crash, |hit| hit.crash) {
                Ok(at) => hits[at].assigned = hits[at].assigned.max(hit.assigned),
                Err(at) => hits.insert(at, hit),
            }
        }
        self.suspicions.append(&mut new);
        self.drop_weakest();
        self.suspicions.sort_by_key(|suspicion| suspicion.key);
    }

    /// Drops the suspicions with the fewest hits, the oldest first, if there are too many.
    fn drop_weakest(&mut self) {
        let excess = self.suspicions.len().saturating_sub(MAX_SUSPICIONS);
        if excess > 0 {
            let strength = |suspicion: &Suspicion| {
                let last = suspicion.hits.last().map(|hit| hit.at);
                (suspicion.hits.len(), last)
            };
            self.suspicions.select_nth_unstable_by_key(excess, strength);
            self.suspicions.drain(..excess);
            self.lost += excess as u64;
        }
    }

    /// Quarantines the part, or the group of parts, that explains the most crashes of a pool, if the evidence is sufficient.
    fn find_cause(&mut self, now: Time, crash: &Crash) -> Option<Notice> {
        let pool = FixedState::default().hash_one(&*crash.pool);
        let suspicions = self.suspicions.iter();
        let suspicions: Vec<&Suspicion> = suspicions
            .filter(|suspicion| suspicion.key.pool == pool)
            .collect();
        // Only these can be convincing, or explain more than one that is.
        let strong = suspicions.iter().copied();
        let strong: Vec<&Suspicion> = strong
            .filter(|suspicion| suspicion.hits.len() >= CRASHES)
            .collect();
        let convincing = strong.iter().filter(|suspicion| {
            let mut others = strong.iter();
            self.is_convincing(&suspicion.hits, crash)
                && !others.any(|other| explains_more(other, suspicion))
        });
        let best = convincing.max_by_key(|suspicion| suspicion.hits.len())?;
        let explained: Vec<u64> = best.hits.iter().map(|hit| hit.crash).collect();
        let equal = suspicions.iter().filter(|other| {
            let crashes = other.hits.iter().map(|hit| hit.crash);
            crashes.eq(explained.iter().copied())
        });
        let equal: Vec<Key> = equal.map(|other| other.key).collect();
        let close = suspicions.iter().filter(|other| {
            let is_explained = |hit: &Hit| explained.contains(&hit.crash);
            other.hits.len() + 1 >= explained.len() && other.hits.iter().all(is_explained)
        });
        let close: Vec<Key> = close.map(|other| other.key).collect();
        // Parts of different requests cannot be refused together. One more crash tells them apart.
        let suspects = crash.suspects.iter();
        let suspects = suspects.filter(|suspect| is_subset(&equal, &suspect.keys));
        let groups = suspects.map(|suspect| {
            let keys = close.iter().copied();
            keys.filter(|key| suspect.keys.binary_search(key).is_ok())
        });
        let keys: Vec<Key> = groups.map(Iterator::collect).max_by_key(Vec::len)?;
        let mut known = self.list.entries().iter();
        if known.any(|entry| entry.keys == keys && entry.is_active(now)) {
            return None;
        }
        let since = best.hits[0].at;
        if keys.len() == 1 {
            self.exonerate(&explained);
        }
        Some(self.list.quarantine(now, keys, since))
    }

    fn is_convincing(&self, hits: &[Hit], crash: &Crash) -> bool {
        let (mut count, mut last) = (0, Time::ZERO);
        let mut addresses: Vec<SocketAddrV4> = Vec::new();
        for hit in hits {
            if count == 0 || hit.assigned >= last {
                count += 1;
                last = hit.at;
                if !addresses.contains(&hit.address) {
                    addresses.push(hit.address);
                }
            }
        }
        let min_servers = crash.servers.clamp(2, MIN_SERVERS);
        let is_enough =
            count >= CRASHES && addresses.len() >= min_servers || count >= CRASHES_OF_ANY_SERVER;
        let first = hits.first().map_or(0, |hit| hit.crash);
        let since = self.past.iter().filter(|past| {
            past.crash.pool == crash.pool && past.number >= first && !past.is_explained
        });
        is_enough && since.count() <= hits.len() * MAX_CRASHES_PER_HIT
    }

    /// Removes crashes that a quarantined part explains from the suspicions against all parts.
    fn exonerate(&mut self, explained: &[u64]) {
        for past in &mut self.past {
            if explained.contains(&past.number) {
                past.is_explained = true;
                past.crash.suspects = Vec::new();
            }
        }
        self.suspicions.retain_mut(|suspicion| {
            suspicion.hits.retain(|hit| !explained.contains(&hit.crash));
            !suspicion.hits.is_empty()
        });
    }

    /// Clears the parts of a request whose answer did not crash its server. `complete` is the time when the request was
    /// assigned, if its answer is complete.
    fn clear(&mut self, now: Time, keys: &[Key], complete: Option<Time>) {
        for key in keys {
            if let Ok(at) = self.position(key) {
                self.suspicions.remove(at);
            }
        }
        if !self.list.clear(now, keys, complete) {
            return;
        }
        // A crash that only one part is left to explain counts against no other one.
        let entries = self.list.entries().iter();
        let alone: Vec<Key> = entries
            .filter(|entry| entry.keys.len() == 1)
            .map(|entry| entry.keys[0])
            .collect();
        for key in alone {
            if let Ok(at) = self.position(&key) {
                let hits = self.suspicions[at].hits.iter();
                let explained: Vec<u64> = hits.map(|hit| hit.crash).collect();
                self.exonerate(&explained);
            }
        }
    }

    fn is_suspected(&self, key: &Key) -> bool {
        let mut entries = self.list.entries().iter();
        self.position(key).is_ok() || entries.any(|entry| entry.keys.binary_search(key).is_ok())
    }

    /// Clears the parts of answers that have gone on for long enough.
    fn clear_begun(&mut self, now: Time) {
        let is_over = |begun: &&Begun| now.since(begun.at) >= BEGINNING_MS;
        let count = self.begun.iter().take_while(is_over).count();
        let over: Vec<Begun> = self.begun.drain(..count).collect();
        for begun in over {
            self.clear(now, &begun.keys, None);
        }
    }

    /// Forgets crashes and quarantines that ended long ago.
    fn forget(&mut self, now: Time) {
        self.past.retain(|past| now.since(past.at) < MEMORY_MS);
        for past in &mut self.past {
            if past.is_decided && now.since(past.at) >= SAME_CRASH_MS {
                past.crash.suspects = Vec::new();
            }
        }
        let oldest = self.past.first().map_or(u64::MAX, |past| past.number);
        self.suspicions.retain_mut(|suspicion| {
            suspicion.hits.retain(|hit| hit.crash >= oldest);
            !suspicion.hits.is_empty()
        });
        self.list.forget(now);
    }

    fn position(&self, key: &Key) -> Result<usize, usize> {
        self.suspicions
            .binary_search_by_key(key, |suspicion| suspicion.key)
    }
}

/// Whether a part was in all crashes in which the other one was, and in more.
fn explains_more(part: &Suspicion, other: &Suspicion) -> bool {
    let is_in = |hit: &Hit| part.hits.iter().any(|own| own.crash == hit.crash);
    part.hits.len() > other.hits.len() && other.hits.iter().all(is_in)
}
