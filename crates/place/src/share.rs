//! Which accounts use more than their fair share.
//!
//! The capacity of all engines is shared max-min fairly: every account gets what it requests up to
//! a common level, and the level is as high as the capacity allows. In an overload, requests beyond
//! the level are refused first; while there is free capacity, they are served like all others.
//!
//! Engines may process more than the guaranteed capacity. A second level, computed from the tokens
//! that were admitted, shows how far an account exceeds its share of this actual capacity. Among
//! the accounts beyond the guaranteed level, those that got the most are refused first, so that the
//! capacity beyond the guarantee is shared evenly too.

use std::sync::Arc;

use primrose_base::clock::Time;

/// Time constant of the exponential decay, in ms: half of the window for which shares are
/// guaranteed, so that a burst counts within the window and stops counting soon after it.
const DECAY_MS: f64 = 2_000.0;

/// How long computed levels stay in use, in ms.
const LEVEL_INTERVAL_MS: u64 = 50;

/// Measures the tokens that each account requests and gets.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Sorted by account.
    usages: Vec<Usage>,
    levels: Levels,
    levels_computed: Time,
}

/// Max-min fair levels, in decayed tokens; `None` if the capacity suffices for all requests.
#[derive(Clone, Copy, Debug, Default)]
struct Levels {
    /// Level for the guaranteed capacity.
    guaranteed: Option<f64>,
    /// Level for the greater of the guaranteed capacity and the admitted tokens. Invariant: not
    /// below the guaranteed level.
    actual: Option<f64>,
}

/// Ratio of the tokens that an account got to the common levels.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Whether the guaranteed capacity is less than all requests need, so that there is a level.
    pub is_scarce: bool,
    /// Ratio to the level for the guaranteed capacity: above 1 if the account is beyond its share;
    /// 0 if the capacity suffices for all requests.
    pub guaranteed: f64,
    /// Ratio to the level for the capacity that the engines actually have; 0 if it suffices for all
    /// requests.
    pub actual: f64,
}

#[derive(Clone, Debug)]
struct Usage {
    account: Arc<str>,
    /// Tokens requested, decayed.
    requested: f64,
    /// Tokens admitted, decayed.
    admitted: f64,
    /// When both sums were last decayed.
    decayed: Time,
}

impl Usage {
    fn decay(&mut self, now: Time) {
        let factor = (-(now.since(self.decayed) as f64) / DECAY_MS).exp();
        self.requested *= factor;
        self.admitted *= factor;
        self.decayed = now;
    }
}

impl Meter {
    /// Counts the weighted tokens of a request, whether it is admitted or not.
    pub fn record_requested(&mut self, now: Time, account: &Arc<str>, tokens: f64) {
        let usage = self.usage(now, account);
        usage.requested += tokens;
    }

    /// Counts the weighted tokens of an admitted request.
    pub fn record_admitted(&mut self, now: Time, account: &Arc<str>, tokens: f64) {
        let usage = self.usage(now, account);
        usage.admitted += tokens;
    }

    /// Compares the tokens that the account got with the common levels. `tokens_per_s` is the
    /// guaranteed capacity of all engines, in weighted tokens per second.
    pub fn excess(&mut self, now: Time, account: &Arc<str>, tokens_per_s: f64) -> Excess {
        if now.since(self.levels_computed) >= LEVEL_INTERVAL_MS {
            self.levels = self.compute_levels(now, tokens_per_s);
            self.levels_computed = now;
        }
        let levels = self.levels;
        let admitted = self.usage(now, account).admitted;
        let ratio = |level: Option<f64>| level.map_or(0.0, |level| admitted / level.max(1.0));
        Excess {
            is_scarce: levels.guaranteed.is_some(),
            guaranteed: ratio(levels.guaranteed),
            actual: ratio(levels.actual),
        }
    }

    fn compute_levels(&mut self, now: Time, tokens_per_s: f64) -> Levels {
        for usage in &mut self.usages {
            usage.decay(now);
        }
        let mut requested: Vec<f64> = self.usages.iter().map(|usage| usage.requested).collect();
        requested.sort_by(f64::total_cmp);
        let guaranteed = tokens_per_s * DECAY_MS / 1_000.0;
        let admitted: f64 = self.usages.iter().map(|usage| usage.admitted).sum();
        Levels {
            guaranteed: max_min_level(&requested, guaranteed),
            actual: max_min_level(&requested, guaranteed.max(admitted)),
        }
    }

    fn usage(&mut self, now: Time, account: &Arc<str>) -> &mut Usage {
        let at = self
            .usages
            .binary_search_by(|usage| usage.account.cmp(account))
            .unwrap_or_else(|at| {
                let usage = Usage {
                    account: Arc::clone(account),
                    requested: 0.0,
                    admitted: 0.0,
                    decayed: now,
                };
                self.usages.insert(at, usage);
                at
            });
        self.usages[at].decay(now);
        &mut self.usages[at]
    }
}

/// Returns the max-min fair level at which `requested`, sorted in ascending order, shares
/// `capacity`, or `None` if the capacity suffices for the whole sum.
fn max_min_level(requested: &[f64], capacity: f64) -> Option<f64> {
    if requested.iter().sum::<f64>() <= capacity {
        return None;
    }
    let mut rest = capacity;
    let count = requested.len();
    for (at, &amount) in requested.iter().enumerate() {
        let level = rest / (count - at) as f64;
        if amount > level {
            return Some(level);
        }
        rest -= amount;
    }
    None
}
