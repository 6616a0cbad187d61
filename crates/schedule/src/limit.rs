//! Slot limit of one backend server: additive increase, multiplicative decrease.
//!
//! An engine slows down as its batch grows, and the batch size at which it becomes too slow is not known in advance.
//! The limit increases by one slot after a window in which the server was full and fast. It decreases to
//! [`Settings::decrease_percent`] (or, close to the target, to [`Settings::mild_decrease_percent`]) of its value
//! after a window in which too many token gaps or first tokens were slow. Three rules prevent oscillation:
//!
//! - If the percentage of slow tokens is between half the target and the target, the limit does not change.
//! - Reports that arrive within [`Settings::lag_ms`] after a change are ignored, because they may describe the time
//!   before the change.
//! - A limit that was too high is remembered and tried again only after [`Settings::retry_ms`], then after twice that
//!   time and so on up to [`Settings::max_retry_ms`]. If a trial fails, the limit decreases by one slot only.
//!
//! In the steady state, tokens are slow during one window and one lag in `max_retry_ms`. With the defaults this is
//! 4 s in 240 s, or 1.7%, which is below the target.

use primrose_base::clock::Time;
use serde::{Deserialize, Serialize};

/// A gap between two tokens that is longer than this is slow, in ms.
pub const SLOW_GAP_MS: u64 = 50;

/// A first token that takes longer than this is slow, in ms.
pub const SLOW_FIRST_MS: u64 = 880;

/// A window that has too few samples is extended to at most this many window lengths and then discarded, so that old
/// samples do not count for ever.
const MAX_WINDOWS: u64 = 5;

/// Up to this multiple of [`Settings::target_percent`], the limit is assumed to be only slightly too high.
pub const MILD_TARGET_FACTOR: u64 = 3;

/// Bounds, target and timing of a [`Limit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Lowest limit, in slots; at least 1.
    pub floor: u32,
    /// Highest limit, in slots.
    pub ceiling: u32,
    /// Highest acceptable percentage of slow gaps and of slow first tokens.
    pub target_percent: u64,
    /// Length of a window, in ms.
    pub window_ms: u64,
    /// Time after a change of the limit during which reports are ignored, in ms: the interval at which a host reports
    /// latencies (1,000 ms), and one second for requests that were admitted under the old limit to end.
    pub lag_ms: u64,
    /// Smallest number of gaps or first tokens in a window that is evaluated. At 20 samples, the default target is
    /// one slow sample.
    pub min_samples: u64,
    /// Limit after a decrease, in percent of the limit before.
    pub decrease_percent: u32,
    /// The same if the percentage of slow tokens is at most [`MILD_TARGET_FACTOR`] times the target. With 80% for
    /// every decrease, noise close to the target kept an engine with a best batch size of 119 at 109 on average.
    pub mild_decrease_percent: u32,
    /// Time until a limit that was too high is tried again, in ms.
    pub retry_ms: u64,
    /// Longest time until a limit that was too high is tried again, in ms.
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

/// Token latencies of a server since the last report, counted by one or several hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Number of gaps between tokens.
    pub gaps: u64,
    /// Number of gaps longer than [`SLOW_GAP_MS`].
    pub slow_gaps: u64,
    /// Number of first tokens.
    pub firsts: u64,
    /// Number of first tokens that took longer than [`SLOW_FIRST_MS`].
    pub slow_firsts: u64,
}

/// A change of the limit, for log messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The limit before the change, in slots.
    pub before: u32,
    /// The limit after the change, in slots.
    pub after: u32,
    /// Percentage of slow gaps or of slow first tokens that caused the change, whichever is higher, rounded down.
    pub slow_percent: u64,
}

/// A number of slots that was too high.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Exceeded {
    limit: u32,
    /// When `limit` may be tried again.
    retry_at: Time,
    /// Time between the decrease and `retry_at`.
    wait_ms: u64,
}

/// The slot limit of one server, kept by its owner.
#[derive(Clone, Debug)]
pub struct Limit {
    settings: Settings,
    /// In slots, between the floor and the ceiling.
    value: u32,
    exceeded: Option<Exceeded>,
    /// Start of the window. It is in the future while reports may still describe the time before the last change.
    window_start: Time,
    sum: Sample,
    /// Highest number of slots in use in a report of this window.
    peak_busy: u32,
}

impl Limit {
    /// Creates a limit that starts with the `configured` number of slots, moved to between floor and ceiling.
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
            exceeded: None,
            window_start: now,
            sum: Sample::default(),
            peak_busy: 0,
        }
    }

    /// Returns the limit: the number of slots that may be in use at all hosts together.
    pub fn slots(&self) -> u32 {
        self.value
    }

    /// Adds a report that arrived at `now`. `busy` is the number of slots in use at all hosts.
    pub fn record(&mut self, now: Time, sample: &Sample, busy: u32) {
        if now < self.window_start {
            return;
        }
        self.sum.gaps += sample.gaps;
        self.sum.slow_gaps += sample.slow_gaps;
        self.sum.firsts += sample.firsts;
        self.sum.slow_firsts += sample.slow_firsts;
        self.peak_busy = self.peak_busy.max(busy);
    }

    /// Ends the window if it is long enough at `now`, and returns the change of the limit if there is one.
    pub fn evaluate(&mut self, now: Time) -> Option<Change> {
        let age_ms = now.since(self.window_start);
        if age_ms < self.settings.window_ms {
            return None;
        }
        let Some(slow) = self.slow_per_mille() else {
            if age_ms >= MAX_WINDOWS * self.settings.window_ms {
                self.start_window(now);
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
        self.start_window(now.plus_ms(lag_ms));
        (self.value != before).then_some(Change {
            before,
            after: self.value,
            slow_percent: slow / 10,
        })
    }

    fn start_window(&mut self, at: Time) {
        self.window_start = at;
        self.sum = Sample::default();
        self.peak_busy = 0;
    }

    /// Returns the higher of the fractions of slow gaps and of slow first tokens, in per mille; `None` if there are
    /// too few samples.
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
            .exceeded
            .is_some_and(|exceeded| self.value >= exceeded.limit && self.is_full())
        {
            // The server is now fast enough with a limit that was too high before.
            self.exceeded = None;
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
        match self.exceeded {
            Some(exceeded) if wanted >= exceeded.limit && now < exceeded.retry_at => self.value,
            _ => wanted,
        }
    }

    fn decreased(&mut self, now: Time, slow: u64) -> u32 {
        // Slots that were not in use cannot have slowed the server down, so the decrease starts from those in use.
        let used = self.value.min(self.peak_busy.max(self.settings.floor));
        let trial = self.exceeded.filter(|exceeded| used >= exceeded.limit);
        let wait_ms = trial.map_or(self.settings.retry_ms, |exceeded| 2 * exceeded.wait_ms);
        let wait_ms = wait_ms.min(self.settings.max_retry_ms);
        self.exceeded = Some(Exceeded {
            limit: used,
            retry_at: now.plus_ms(wait_ms),
            wait_ms,
        });
        let is_mild = slow <= MILD_TARGET_FACTOR * self.settings.target_percent * 10;
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
