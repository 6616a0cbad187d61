//! The queue of requests that wait for a server, and the decision between placing, waiting and refusing.
//!
//! Load pattern: callers together request more than the engines can process, in waves of some seconds. Objectives are
//! short and deadlines are long, so a request that cannot be in time at a crest can be served at the next trough, and
//! its answer is still worth something. A request that came back after a refusal is in the same position.
//!
//! A late request must never delay one that can be in time. It is placed only on an engine with almost nothing ahead,
//! so that the objectives of new arrivals can still be met there. A request waits only while the spare engine time of
//! the last seconds is predicted to drain the queue in time for its deadline.

use std::sync::Arc;

use primrose_base::clock::Time;

use crate::demand::Key;

/// The most requests that wait in all pools. Each of them asks again several times a second.
const MAX_ENTRIES: usize = 256;

/// The longest wait on an engine that may get a late request, as a part of the objective. With 0.1, late requests took
/// the place of requests in time of accounts beyond their share, and less worth was earned than without waiting.
const LATE_WAIT_PART: f64 = 0.02;

/// One in this many engines takes no late requests, for the next arrivals in time.
const RESERVE: usize = 10;

/// The part of the remaining time in which the queue must be predicted to drain for a request to begin to wait. With
/// 0.5, more than twice as many requests were refused after waiting, for the same worth.
const BEGIN_PART: f64 = 0.2;

/// The same for a request that waits already. The difference keeps requests from being refused after waiting.
const KEEP_PART: f64 = 0.8;

/// Shortest and longest time until a waiting request asks again, in ms. Shorter ones cost the placer processor time,
/// longer ones leave engines idle in a short trough.
const AGAIN_MS: std::ops::RangeInclusive<f64> = 60.0..=400.0;

/// Part of the predicted time until it is placed after which a request asks again.
const AGAIN_PART: f64 = 0.25;

/// An entry expires this long after the time at which its request should have asked again, in ms: more than two
/// timeouts of a placement request.
const EXPIRY_MS: u64 = 200;

/// Time constant with which spare engine time is forgotten, in ms: about half of the longest wave observed.
const SPARE_DECAY_MS: f64 = 8_000.0;

/// Weight of the assumed spare time while little was measured, in ms.
const PRIOR_MS: f64 = 1_000.0;

/// The share of engine time that is assumed to be spare until it is measured.
const PRIOR_SPARE: f64 = 0.1;

/// Interval between two samples of idle engines, in ms.
const SAMPLE_MS: u64 = 20;

/// A request that cannot be placed at once without delaying others.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Identifies the request. It stays the same when the request asks again.
    pub key: Key,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Ratio of what the account got to its fair share; 1 for an account within its share.
    pub excess: f64,
    /// Whether the request cannot meet its objective any more.
    pub is_late: bool,
    /// Whether the request was refused before. The placer's memory of a refusal is lost with the first ask.
    pub has_returned: bool,
    /// Latency objective, in ms.
    pub objective_ms: f64,
    /// Time until the caller's deadline, in ms.
    pub remaining_ms: f64,
    /// Time that the best engine is busy before it starts the request, in ms.
    pub wait_ms: f64,
    /// Time that the request occupies the best engine, in ms.
    pub own_ms: f64,
    /// Time between the prefill and the first event, in ms.
    pub first_ms: f64,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The request is placed on the best engine.
    Place,
    /// The request asks again after this time.
    Wait {
        /// Time until the request asks again, in ms.
        again_ms: u32,
    },
    /// The request is refused: the queue is full or does not drain in time.
    Refuse,
}

#[derive(Clone, Debug)]
struct Entry {
    key: Key,
    pool: Arc<str>,
    excess: f64,
    is_late: bool,
    has_returned: bool,
    deadline: Time,
    own_ms: f64,
    expires: Time,
}

impl Entry {
    /// Entries with lower values are placed first: accounts within their share, then requests that can be in time, then
    /// those with the earliest deadline.
    fn order(&self) -> (f64, bool, Time, Key) {
        (self.excess, self.is_late, self.deadline, self.key)
    }
}

/// Engine time of a pool that requests in time left unused.
#[derive(Clone, Debug)]
struct Spare {
    pool: Arc<str>,
    /// Idle time of all engines and time given to late requests, in ms, decayed.
    unused_ms: f64,
    /// Time over which it was observed, in ms, decayed.
    observed_ms: f64,
    /// Number of usable engines at the last sample.
    engines: usize,
    sampled: Time,
}

impl Spare {
    /// Unused engine time for each ms.
    fn rate(&self) -> f64 {
        let assumed = PRIOR_SPARE * self.engines as f64 * PRIOR_MS;
        (self.unused_ms + assumed) / (self.observed_ms + PRIOR_MS)
    }
}

/// The requests that wait in all pools.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Sorted by key; at most [`MAX_ENTRIES`].
    entries: Vec<Entry>,
    /// Sorted by pool. A pool without requests that wait or are late stays until the process ends; there are as many
    /// as the documents named.
    spares: Vec<Spare>,
}

impl Queue {
    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the request waits, and if so, whether it was refused before it began to wait.
    pub fn has_returned(&self, key: Key) -> Option<bool> {
        self.position(key)
            .ok()
            .map(|at| self.entries[at].has_returned)
    }

    /// Removes a request that was placed or refused. Returns whether it waited.
    pub fn remove(&mut self, key: Key) -> bool {
        let position = self.position(key);
        position.map(|at| self.entries.remove(at)).is_ok()
    }

    /// Removes the requests that did not ask again: their callers are gone, or another placer is asked.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|entry| now < entry.expires);
    }

    /// Samples which engines of a pool are idle. `waits` are the times until they have prefilled all prompts, in ms.
    pub fn observe(&mut self, now: Time, pool: &Arc<str>, waits: &[f64]) {
        let at = self.spares.binary_search_by(|spare| spare.pool.cmp(pool));
        let at = at.unwrap_or_else(|at| {
            let spare = Spare {
                pool: Arc::clone(pool),
                unused_ms: 0.0,
                observed_ms: 0.0,
                engines: waits.len(),
                sampled: now,
            };
            self.spares.insert(at, spare);
            at
        });
        let spare = &mut self.spares[at];
        let elapsed = now.since(spare.sampled);
        if elapsed < SAMPLE_MS {
            return;
        }
        let elapsed = elapsed as f64;
        let kept = (-elapsed / SPARE_DECAY_MS).exp();
        let idle = waits.iter().filter(|wait| **wait <= 0.0).count();
        spare.unused_ms = spare.unused_ms * kept + idle as f64 * elapsed;
        spare.observed_ms = spare.observed_ms * kept + elapsed;
        spare.engines = waits.len();
        spare.sampled = now;
    }

    /// Decides on a request that would be refused, or that is late. `waits` are the waits on all usable engines.
    pub fn decide(&mut self, now: Time, ask: &Ask, waits: &[f64]) -> Answer {
        let known = self.position(ask.key);
        let entry = Entry {
            key: ask.key,
            pool: Arc::clone(&ask.pool),
            excess: ask.excess,
            is_late: ask.is_late,
            has_returned: ask.has_returned,
            deadline: now.plus_ms(ask.remaining_ms as u64),
            own_ms: ask.own_ms,
            expires: now,
        };
        let order = entry.order();
        let ahead = self.entries.iter().filter(|other| {
            other.pool == ask.pool
                && other.key != ask.key
                && now < other.expires
                && other.order() < order
        });
        let (mut rank, mut work_ms) = (0, ask.own_ms);
        for other in ahead {
            rank += 1;
            work_ms += other.own_ms;
        }
        let late_wait_ms = LATE_WAIT_PART * ask.objective_ms;
        // Each engine takes late requests until its wait exceeds the limit.
        let room = |wait: &f64| ((late_wait_ms - wait) / ask.own_ms.max(1.0)).floor() as i64 + 1;
        let places: i64 = waits.iter().map(room).map(|room| room.max(0)).sum();
        let reserved = waits
            .len()
            .div_ceil(RESERVE)
            .min(waits.len().saturating_sub(1)) as i64;
        if ask.wait_ms <= late_wait_ms && rank < places - reserved {
            if let Some(spare) = self.spare(&ask.pool) {
                spare.unused_ms += ask.own_ms;
            }
            self.remove(ask.key);
            return Answer::Place;
        }
        let rate = self.spare(&ask.pool).map_or(0.0, |spare| spare.rate());
        let drain_ms = work_ms / rate.max(1e-9);
        let part = if known.is_ok() { KEEP_PART } else { BEGIN_PART };
        let is_full = known.is_err() && self.entries.len() >= MAX_ENTRIES;
        let needed_ms = drain_ms + ask.own_ms + ask.first_ms;
        if is_full || needed_ms > part * ask.remaining_ms {
            self.remove(ask.key);
            return Answer::Refuse;
        }
        let again_ms = (AGAIN_PART * drain_ms).clamp(*AGAIN_MS.start(), *AGAIN_MS.end());
        let entry = Entry {
            expires: now.plus_ms(again_ms as u64 + EXPIRY_MS),
            ..entry
        };
        match known {
            Ok(at) => self.entries[at] = entry,
            Err(at) => self.entries.insert(at, entry),
        }
        Answer::Wait {
            again_ms: again_ms as u32,
        }
    }

    fn spare(&mut self, pool: &str) -> Option<&mut Spare> {
        let at = self
            .spares
            .binary_search_by(|spare| (*spare.pool).cmp(pool));
        at.ok().map(|at| &mut self.spares[at])
    }

    fn position(&self, key: Key) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |entry| entry.key)
    }
}
