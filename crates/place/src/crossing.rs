//! When requests may leave the failure domain of their entry host.
//!
//! Traffic between domains is slow and expensive, but a domain's own servers are sometimes too few. For each pool and home
//! domain a [`Register`] derives two values from the backlogs of the servers: a price that the placer adds to servers of
//! other domains, and a share of requests that entry hosts may send to other domains while they decide alone. The price
//! falls at once when the home domain becomes too slow, and rises only after it has been fast for a while; otherwise
//! requests would move to and fro with each burst.

use std::hash::BuildHasher;
use std::sync::Arc;

use foldhash::quality::FixedState;
use primrose_base::clock::Time;
use serde::{Deserialize, Serialize};

use crate::demand::Key;
use crate::settings::Settings;

/// How often the values are derived, in ms. Predicted waits change little in less time.
pub const INTERVAL_MS: u64 = 100;

/// The part of the price that falls with the backlog, as a share of the objective. Higher prices keep requests at home that
/// are then too late.
const FULL_PRICE: f64 = 0.05;

/// Backlog up to which a domain serves its own requests, as a share of the objective.
const LOW_BACKLOG: f64 = 0.15;

/// Backlog from which the price is lowest. Requests are refused from about 0.6 on.
const HIGH_BACKLOG: f64 = 0.45;

/// How long the backlog must be low before the price rises, in ms: more than half of the 11 s after which bursts of callers
/// return.
const HOLD_MS: u64 = 6_000;

/// Time in which the price rises from its lowest to its highest value, in ms.
const RISE_MS: f64 = 3_000.0;

/// The largest share of requests that leaves a domain with usable servers, per mille.
const MAX_PER_MILLE: f64 = 500.0;

/// The most that a share changes in one interval, per mille: the other domains' backlogs show the effect of one change
/// before the next.
const SHARE_STEP: f64 = 25.0;

/// The most pairs of a pool and a domain for which values are derived. Others have the highest price and the share 0.
pub const MAX_WAYS: usize = 64;

/// The most bytes that the shares of one status take, by [`Share::encoded_bytes`]. A status travels in one datagram
/// together with the quarantined parts and the drained domains.
pub const MAX_SHARES_BYTES: usize = 96;

/// The share of requests that hosts of one domain may send to other domains while they decide alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Failure domain of the entry hosts.
    pub home: Arc<str>,
    /// From 0 to 1,000.
    pub per_mille: u16,
}

impl Share {
    /// Upper bound of the size in a message: the names with their lengths, and the share.
    fn encoded_bytes(&self) -> usize {
        self.pool.len() + self.home.len() + 7
    }

    /// Whether the request with this key may leave.
    pub fn admits(&self, key: Key) -> bool {
        let hash = FixedState::default().hash_one((key.entry, key.sequence));
        hash % 1_000 < u64::from(self.per_mille)
    }
}

/// The usable servers of one pool as hosts of one domain see them.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The hosts' own domain.
    pub home: Arc<str>,
    /// Number of usable servers in the home domain.
    pub servers: u32,
    /// Mean predicted wait on these servers as a share of the objective; 0 if there are none.
    pub backlog: f64,
    /// Backlog of each usable server of the other domains.
    pub others: Vec<f64>,
}

impl View {
    /// Servers' worth of load that the other domains can take.
    fn free(&self) -> f64 {
        let others = self.others.iter();
        others
            .map(|backlog| (1.0 - backlog / HIGH_BACKLOG).max(0.0))
            .sum()
    }

    /// How far the home domain is too slow, from 0 to 1.
    fn pressure(&self) -> f64 {
        if self.servers == 0 {
            return 1.0;
        }
        ((self.backlog - LOW_BACKLOG) / (HIGH_BACKLOG - LOW_BACKLOG)).clamp(0.0, 1.0)
    }

    /// Servers' worth of load that should leave.
    fn surplus(&self) -> f64 {
        self.pressure() * MAX_PER_MILLE / 1_000.0 * f64::from(self.servers)
    }
}

/// Requests of a domain have begun to leave it, or leave it no longer.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// The domain that the requests leave.
    pub home: Arc<str>,
    /// Whether the price has fallen.
    pub is_open: bool,
    /// Backlog of the home domain as a share of the objective.
    pub backlog: f64,
}

#[derive(Clone, Debug)]
struct Way {
    pool: Arc<str>,
    home: Arc<str>,
    /// From 0 (lowest price) to 1 (highest).
    level: f64,
    /// Since when the backlog has been low, if it is.
    low_since: Option<Time>,
    /// From 0 to 1,000.
    per_mille: f64,
    /// Whether a change to a lower price was reported and its end was not.
    is_open: bool,
}

/// The values for all pools and home domains.
#[derive(Clone, Debug, Default)]
pub struct Register {
    /// Sorted by pool and home; at most [`MAX_WAYS`].
    ways: Vec<Way>,
    /// Not taken yet; at most [`MAX_WAYS`].
    changes: Vec<Change>,
}

impl Register {
    /// Derives the values of one pool from the `views` of all home domains. To be called every [`INTERVAL_MS`].
    pub fn update(&mut self, now: Time, pool: &Arc<str>, views: &[View]) {
        let surplus: f64 = views.iter().map(View::surplus).sum();
        for view in views {
            let Some(at) = self.position_or_insert(pool, &view.home) else {
                continue;
            };
            let way = &mut self.ways[at];
            way.update_level(now, view);
            way.update_share(view, surplus);
            let is_open = if way.is_open {
                way.level < 1.0
            } else {
                way.level < 0.9
            };
            if is_open != way.is_open && self.changes.len() < MAX_WAYS {
                way.is_open = is_open;
                self.changes.push(Change {
                    pool: Arc::clone(pool),
                    home: Arc::clone(&view.home),
                    is_open,
                    backlog: view.backlog,
                });
            }
        }
    }

    /// Removes the values of all pools for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.ways.retain(|way| is_known(&way.pool));
    }

    /// The price of a server of another domain for a request of `pool` from a host in `home`, in ms.
    pub fn price_ms(&self, pool: &str, home: &str, objective_ms: u32, settings: &Settings) -> f64 {
        let level = self
            .position(pool, home)
            .map_or(1.0, |at| self.ways[at].level);
        let falling_ms = level * FULL_PRICE * f64::from(objective_ms);
        settings.remote_ms + settings.crossing_weight * (leaving_ms(settings) + falling_ms)
    }

    /// The shares for hosts that decide alone, as many as fit into [`MAX_SHARES_BYTES`]. The hosts of the other domains
    /// use their own view.
    pub fn shares(&self) -> Vec<Share> {
        let mut bytes = 0;
        let shares = self.ways.iter().map(|way| Share {
            pool: Arc::clone(&way.pool),
            home: Arc::clone(&way.home),
            per_mille: way.per_mille as u16,
        });
        shares
            .take_while(|share| {
                bytes += share.encoded_bytes();
                bytes <= MAX_SHARES_BYTES
            })
            .collect()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn position(&self, pool: &str, home: &str) -> Result<usize, usize> {
        self.ways
            .binary_search_by(|way| (&*way.pool, &*way.home).cmp(&(pool, home)))
    }

    fn position_or_insert(&mut self, pool: &Arc<str>, home: &Arc<str>) -> Option<usize> {
        match self.position(pool, home) {
            Ok(at) => Some(at),
            Err(_) if self.ways.len() >= MAX_WAYS => None,
            Err(at) => {
                let way = Way {
                    pool: Arc::clone(pool),
                    home: Arc::clone(home),
                    level: 1.0,
                    low_since: None,
                    per_mille: 0.0,
                    is_open: false,
                };
                self.ways.insert(at, way);
                Some(at)
            }
        }
    }
}

impl Way {
    fn update_level(&mut self, now: Time, view: &View) {
        let pressure = view.pressure();
        if pressure > 0.0 {
            self.low_since = None;
            self.level = self.level.min(1.0 - pressure);
            return;
        }
        let low_since = *self.low_since.get_or_insert(now);
        if now.since(low_since) >= HOLD_MS {
            self.level = (self.level + INTERVAL_MS as f64 / RISE_MS).min(1.0);
        }
    }

    /// Moves the share toward the part of the domain's load that should leave and that the others can take, of which
    /// all domains together have `surplus` servers' worth.
    fn update_share(&mut self, view: &View, surplus: f64) {
        if view.servers == 0 {
            self.per_mille = 1_000.0;
            return;
        }
        let part = if surplus > 0.0 {
            (view.free() / surplus).min(1.0)
        } else {
            0.0
        };
        let goal = view.pressure() * MAX_PER_MILLE * part;
        // A share of a domain that had no servers does not apply to one that has.
        let current = self.per_mille.min(MAX_PER_MILLE);
        self.per_mille = current + (goal - current).clamp(-SHARE_STEP, SHARE_STEP);
    }
}

/// Cost of a request that leaves its domain, in the unit of the placer's score.
fn leaving_ms(settings: &Settings) -> f64 {
    settings.leaving_tokens * settings.reading_weight / settings.speed.tokens_per_ms
}
