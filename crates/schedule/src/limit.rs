//! Slot limit of one backend server: additive increase, multiplicative decrease.
//!
//! An engine slows down as its batch grows, and nothing says in advance at which size it becomes too slow. The limit
//! grows by one slot after a window in which the server was full and fast, and shrinks to [`Settings::decrease_percent`]
//! (or, close to the target, to [`Settings::mild_decrease_percent`]) of itself after one in which too many token gaps or
//! first tokens were slow. Three rules keep it from swinging:
//!
//! - Between half the target and the target nothing changes.
//! - Reports lag, so those that arrive within [`Settings::lag_ms`] after a change are ignored: they describe the limit
//!   before.
//! - The limit that was too high is remembered and tried again only after [`Settings::retry_ms`], then after twice that
//!   time and so on up to [`Settings::max_retry_ms`]. A trial that fails goes back by one slot.
//!
//! At rest, one window and one lag in `max_retry_ms` is slow: 4 s in 240 s, 1.7% with the defaults, below the target.

use primrose_base::clock::Time;
use serde::{Deserialize, Serialize};

/// A token gap above this is slow, in ms.
pub const SLOW_GAP_MS: u64 = 50;

/// A first token above this is slow, in ms.
pub const SLOW_FIRST_MS: u64 = 880;

/// Windows after which one that has too few samples is started again, so that old samples do not count for ever.
const MAX_WINDOWS: u64 = 5;

/// Up to this many times the target, the limit is taken to be only a little too high.
pub const MILD_TARGETS: u64 = 3;

/// Bounds and speed of a [`Limit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// The limit never goes below; at least 1.
    pub floor: u32,
    /// The limit never goes above.
    pub ceiling: u32,
    /// Highest share of slow gaps and slow first tokens, in percent.
    pub target_percent: u64,
    /// Length of a window.
    pub window_ms: u64,
    /// How late reports arrive at most: an exchange interval (500 ms) at the host, one at the owner, and one second for
    /// requests that were admitted under the old limit to leave.
    pub lag_ms: u64,
    /// Fewer gaps or first tokens than this in a window say nothing: at 20 samples the target is one slow sample.
    pub min_samples: u64,
    /// What is left of the limit after a decrease, in percent.
    pub decrease_percent: u32,
    /// The same if the share of slow tokens is at most [`MILD_TARGETS`] times the target. With 80% for every decrease,
    /// noise at the edge kept an engine with a best batch of 119 at 109 on average.
    pub mild_decrease_percent: u32,
    /// Time until a limit that was too high is tried again.
    pub retry_ms: u64,
    /// Longest such time.
    pub max_retry_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            floor: 1,
            ceiling: 256,
            target_percent: 5,
            window_ms: 2_000,
            lag_ms: 2_000,
            min_samples: 20,
            decrease_percent: 80,
            mild_decrease_percent: 96,
            retry_ms: 30_000,
            max_retry_ms: 240_000,
        }
    }
}

/// What was observed of a server since the last report, from one host or from several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Gaps between tokens.
    pub gaps: u64,
    /// Those above [`SLOW_GAP_MS`].
    pub slow_gaps: u64,
    /// First tokens.
    pub firsts: u64,
    /// Those above [`SLOW_FIRST_MS`].
    pub slow_firsts: u64,
}

/// A change of the limit, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The limit before.
    pub before: u32,
    /// The limit from now on.
    pub after: u32,
    /// Share of slow gaps or first tokens that led to it, whichever is higher, in percent, rounded down.
    pub slow_percent: u64,
}

/// A limit that was too high.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Failed {
    limit: u32,
    retry_at: Time,
    /// Time between the failure and `retry_at`.
    wait_ms: u64,
}

/// The slot limit of one server, kept by its owner.
#[derive(Clone, Debug)]
pub struct Limit {
    settings: Settings,
    /// Between the floor and the ceiling.
    value: u32,
    failed: Option<Failed>,
    /// Start of the window; in the future while reports may still describe the limit before.
    opened: Time,
    sum: Sample,
    /// Most slots in use at a report in this window.
    peak_busy: u32,
}

impl Limit {
    /// Starts from the configured slots.
    pub fn new(configured: u32, settings: Settings, now: Time) -> Limit {
        let floor = settings.floor.max(1);
        let settings = Settings {
            floor,
            ceiling: settings.ceiling.max(floor),
            ..settings
        };
        Limit {
            settings,
            value: configured.clamp(floor, settings.ceiling),
            failed: None,
            opened: now,
            sum: Sample::default(),
            peak_busy: 0,
        }
    }

    /// Slots that may be in use.
    pub fn slots(&self) -> u32 {
        self.value
    }

    /// Adds a report that arrived at `now`. `busy` is the number of slots in use at all hosts.
    pub fn record(&mut self, now: Time, sample: &Sample, busy: u32) {
        if now < self.opened {
            return;
        }
        self.sum.gaps += sample.gaps;
        self.sum.slow_gaps += sample.slow_gaps;
        self.sum.firsts += sample.firsts;
        self.sum.slow_firsts += sample.slow_firsts;
        self.peak_busy = self.peak_busy.max(busy);
    }

    /// Ends the window if it is over, and returns the change of the limit if there is one.
    pub fn evaluate(&mut self, now: Time) -> Option<Change> {
        let age_ms = now.since(self.opened);
        if age_ms < self.settings.window_ms {
            return None;
        }
        let Some(slow) = self.slow_per_mille() else {
            if age_ms >= MAX_WINDOWS * self.settings.window_ms {
                self.open(now);
            }
            return None;
        };
        let before = self.value;
        self.value = self.next(now, slow);
        let lag_ms = if self.value == before {
            0
        } else {
            self.settings.lag_ms
        };
        self.open(now.plus_ms(lag_ms));
        (self.value != before).then_some(Change {
            before,
            after: self.value,
            slow_percent: slow / 10,
        })
    }

    fn open(&mut self, at: Time) {
        self.opened = at;
        self.sum = Sample::default();
        self.peak_busy = 0;
    }

    /// The higher of the shares of slow gaps and slow first tokens, in per mille; `None` without enough samples.
    fn slow_per_mille(&self) -> Option<u64> {
        let enough = |count: u64| count >= self.settings.min_samples.max(1);
        let share = |slow: u64, count: u64| enough(count).then(|| slow * 1_000 / count);
        let gaps = share(self.sum.slow_gaps, self.sum.gaps);
        let firsts = share(self.sum.slow_firsts, self.sum.firsts);
        gaps.max(firsts)
    }

    fn next(&mut self, now: Time, slow: u64) -> u32 {
        let target = self.settings.target_percent * 10;
        if slow > target {
            return self.decreased(now, slow);
        }
        if self
            .failed
            .is_some_and(|failed| self.value >= failed.limit && self.is_full())
        {
            // The trial went well.
            self.failed = None;
        }
        if 2 * slow <= target && self.is_full() {
            return self.increased(now);
        }
        self.value
    }

    fn is_full(&self) -> bool {
        self.peak_busy >= self.value
    }

    fn increased(&mut self, now: Time) -> u32 {
        let wanted = (self.value + 1).min(self.settings.ceiling);
        match self.failed {
            Some(failed) if wanted >= failed.limit && now < failed.retry_at => self.value,
            _ => wanted,
        }
    }

    fn decreased(&mut self, now: Time, slow: u64) -> u32 {
        // Slots that were not in use did not slow the server down.
        let used = self.value.min(self.peak_busy.max(self.settings.floor));
        let trial = self.failed.filter(|failed| used >= failed.limit);
        let wait_ms = trial.map_or(self.settings.retry_ms, |failed| 2 * failed.wait_ms);
        let wait_ms = wait_ms.min(self.settings.max_retry_ms);
        self.failed = Some(Failed {
            limit: used,
            retry_at: now.plus_ms(wait_ms),
            wait_ms,
        });
        let is_mild = slow <= MILD_TARGETS * self.settings.target_percent * 10;
        let percent = if is_mild {
            self.settings.mild_decrease_percent
        } else {
            self.settings.decrease_percent
        };
        let one_less = used.saturating_sub(1);
        let wanted = match trial {
            Some(_) => one_less,
            None => (used * percent / 100).min(one_less),
        };
        wanted.max(self.settings.floor)
    }
}
