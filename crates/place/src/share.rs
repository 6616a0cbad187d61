//! Which accounts ask for more than their share.
//!
//! The capacity of all engines is shared max-min: every account gets what it asks for up to a common level, and the level
//! is as high as the capacity allows. What an account asks beyond the level is the first to be refused in an overload;
//! while there is room it is served like everything else. Engines may do more than is promised. A second level, in what
//! has been admitted, tells how far beyond its share an account is: among those beyond the promised level the ones that
//! got the most are refused first, so that what the engines do beyond the promise is shared evenly too.

use std::sync::Arc;

use primrose_base::clock::Time;

/// Time constant of the decay, in ms; half of the window over which shares are promised, so that a burst is noticed
/// within it and forgotten soon after.
const DECAY_MS: f64 = 2_000.0;

/// How long a computed level is used again, in ms.
const LEVEL_INTERVAL_MS: u64 = 50;

/// What each account asked for and got.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Sorted by name.
    usages: Vec<Usage>,
    levels: Levels,
    leveled_at: Time,
}

/// Common levels, in decayed tokens; `None` where all that is asked for fits.
#[derive(Clone, Copy, Debug, Default)]
struct Levels {
    /// In the promised capacity.
    promised: Option<f64>,
    /// In what has been admitted, if that is more. Invariant: not below the promised one.
    actual: Option<f64>,
}

/// What an account got against the common levels.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Against the level in the promised capacity: over 1 if the account is beyond its share; 0 while all fits.
    pub promised: f64,
    /// Against the level in what the engines turn out to do; 0 while all fits.
    pub actual: f64,
}

#[derive(Clone, Debug)]
struct Usage {
    name: Arc<str>,
    /// Tokens asked for, decayed.
    asked: f64,
    /// Tokens admitted, decayed.
    admitted: f64,
    at: Time,
}

impl Usage {
    fn decay(&mut self, now: Time) {
        let factor = (-(now.since(self.at) as f64) / DECAY_MS).exp();
        self.asked *= factor;
        self.admitted *= factor;
        self.at = now;
    }
}

impl Meter {
    /// Counts a request.
    pub fn ask(&mut self, now: Time, account: &Arc<str>, tokens: f64) {
        let usage = self.usage(now, account);
        usage.asked += tokens;
    }

    /// Counts an admitted request.
    pub fn admit(&mut self, now: Time, account: &Arc<str>, tokens: f64) {
        let usage = self.usage(now, account);
        usage.admitted += tokens;
    }

    /// What the account got against the common levels.
    pub fn excess(&mut self, now: Time, account: &Arc<str>, tokens_per_s: f64) -> Excess {
        if now.since(self.leveled_at) >= LEVEL_INTERVAL_MS {
            self.levels = self.compute(now, tokens_per_s);
            self.leveled_at = now;
        }
        let levels = self.levels;
        let admitted = self.usage(now, account).admitted;
        let against = |level: Option<f64>| level.map_or(0.0, |level| admitted / level.max(1.0));
        Excess {
            promised: against(levels.promised),
            actual: against(levels.actual),
        }
    }

    fn compute(&mut self, now: Time, tokens_per_s: f64) -> Levels {
        for usage in &mut self.usages {
            usage.decay(now);
        }
        let mut asked: Vec<f64> = self.usages.iter().map(|usage| usage.asked).collect();
        asked.sort_by(f64::total_cmp);
        let promised = tokens_per_s * DECAY_MS / 1_000.0;
        let admitted: f64 = self.usages.iter().map(|usage| usage.admitted).sum();
        Levels {
            promised: level(&asked, promised),
            actual: level(&asked, promised.max(admitted)),
        }
    }

    fn usage(&mut self, now: Time, account: &Arc<str>) -> &mut Usage {
        let at = self
            .usages
            .binary_search_by(|usage| usage.name.cmp(account))
            .unwrap_or_else(|at| {
                let usage = Usage {
                    name: Arc::clone(account),
                    asked: 0.0,
                    admitted: 0.0,
                    at: now,
                };
                self.usages.insert(at, usage);
                at
            });
        self.usages[at].decay(now);
        &mut self.usages[at]
    }
}

/// The max-min level of `asked`, which is sorted, in `capacity`, or `None` if all of it fits.
fn level(asked: &[f64], capacity: f64) -> Option<f64> {
    if asked.iter().sum::<f64>() <= capacity {
        return None;
    }
    let mut rest = capacity;
    let count = asked.len();
    for (at, &amount) in asked.iter().enumerate() {
        let even = rest / (count - at) as f64;
        if amount > even {
            return Some(even);
        }
        rest -= amount;
    }
    None
}
