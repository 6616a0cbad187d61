//! Speed figures that are learnt for whole pools.
//!
//! The engines of a pool may all differ from the operators' figures, so that the placer refuses requests that would be in
//! time or admits ones that would not. For pools whose cached tokens have another size than [`Speed::token_bytes`], a
//! [`Register`] fits the figures to the times of first events: a regression over the latest samples in which a sample
//! that is far from its prediction counts less, because about one in ten is wrong, and to which the settings are added as
//! if they were samples. The figures are those of an engine with the slowdown 1, which is the geometric mean of the
//! measured slowdowns.

use std::ops::RangeInclusive;
use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_route::Document;
use primrose_route::document::Engine;
use serde::{Deserialize, Serialize};

use crate::engine::{Sample, Speed};

/// Number of learnt figures.
const COUNT: usize = 5;

/// Bounds of the learnt figures as factors of the settings: outside of them, something other than the engines delays the
/// first events.
const RANGE: RangeInclusive<f64> = 0.2..=5.0;

/// The smallest slowdown of an engine of a pool with learnt figures. Some pools have engines that take 0.49 of the default
/// time.
pub const MIN_SLOWDOWN: f64 = 0.3;

/// Range of the slowdowns relative to the middle one beyond which they do not move the mean of their pool further. A single
/// engine that is slower by a factor of 20 would otherwise bring those of all others to their lower bound. The engines of
/// known pools differ by a factor of 2.4.
const MEAN_RANGE: RangeInclusive<f64> = 1.0 / 3.0..=3.0;

/// The deviation from a prediction up to which a sample counts in full: this many ms, mostly from the batching of reports,
/// and this share of the predicted time.
const NOISE_MS: f64 = 5.0;
const NOISE_SHARE: f64 = 0.03;

/// Weight of the setting of each figure relative to a sample whose time is as long as the noise. The tokens and the steps
/// of a prompt are nearly proportional, so the samples leave open how the time is divided between them.
const SETTINGS_WEIGHTS: [f64; COUNT] = [16.0, 3.0, 24.0, 4.0, 3.0];

/// The number of samples that count, at first and at most. It grows with the number of recorded samples, so that those
/// that were weighed with wrong figures are forgotten soon.
const MEMORY: RangeInclusive<f64> = 50.0..=2_000.0;

/// The part of all recorded samples that count while the memory grows.
const MEMORY_PART: f64 = 0.3;

/// How often the figures are fitted, in ms.
const INTERVAL_MS: u64 = 100;

/// Number of samples before the figures are sent to other hosts. A placer that has just started must not replace the
/// figures of its predecessor there by the settings.
const MIN_SENT_SAMPLES: u64 = 200;

/// Weight of adopted figures relative to the settings. The settings then change them by 1 % of the difference only.
const ADOPTED_WEIGHT: f64 = 100.0;

/// Number of samples after which the change of the figures is limited, and the most by which each may change in a second.
/// The engines of a pool do not become slower all at once, but a host that gets little processor time reads all reports
/// late. With 2 % in place of 1 %, a minute of reports that are 300 ms late led to three times as many refusals.
const FAST_SAMPLES: u64 = 1_000;
const MAX_CHANGE_PER_S: f64 = 1.01;

/// A change of a figure by this factor is reported.
const REPORTED_FACTOR: f64 = 1.25;

/// The shortest time between two reports for a pool, in ms.
const REPORT_INTERVAL_MS: u64 = 10_000;

/// The most bytes that the figures of one status take, by [`Figures::encoded_bytes`]. A status travels in one datagram.
pub const MAX_FIGURES_BYTES: usize = 96;

/// The learnt figures of one pool, as sent to other hosts. Each has the unit of the field of [`Speed`] with its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Prompt tokens prefilled per ms.
    pub tokens_per_ms: f32,
    /// Attention time per million pairs of tokens, in ms.
    pub ms_per_million_pairs: f32,
    /// The shortest step, in ms.
    pub step_ms: f32,
    /// Time that each thousand tokens of running context add to a step, in ms.
    pub step_ms_per_thousand: f32,
    /// Time from the end of the prefill to the arrival of the first event, in ms.
    pub first_ms: f32,
}

impl Figures {
    fn new(pool: &Arc<str>, speed: &Speed) -> Figures {
        Figures {
            pool: Arc::clone(pool),
            tokens_per_ms: speed.tokens_per_ms as f32,
            ms_per_million_pairs: speed.ms_per_million_pairs as f32,
            step_ms: speed.step_ms as f32,
            step_ms_per_thousand: speed.step_ms_per_thousand as f32,
            first_ms: speed.first_ms as f32,
        }
    }

    /// Upper bound of the size in a message: the name with its length, and the figures.
    fn encoded_bytes(&self) -> usize {
        self.pool.len() + 2 + COUNT * size_of::<f32>()
    }

    /// The figures relative to `settings`, or `None` if one is not finite or not positive. A figure whose setting is 0
    /// is not learnt.
    fn factors(&self, settings: &Speed) -> Option<[f64; COUNT]> {
        let values = [
            1.0 / f64::from(self.tokens_per_ms),
            f64::from(self.ms_per_million_pairs),
            f64::from(self.step_ms),
            f64::from(self.step_ms_per_thousand),
            f64::from(self.first_ms),
        ];
        let mut factors = [1.0; COUNT];
        for ((factor, value), setting) in factors.iter_mut().zip(values).zip(scales(settings)) {
            if setting > 0.0 {
                if !value.is_finite() || value <= 0.0 {
                    return None;
                }
                *factor = (value / setting).clamp(*RANGE.start(), *RANGE.end());
            }
        }
        Some(factors)
    }
}

/// The figures of one pool have changed by more than a quarter.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// The figures now.
    pub speed: Speed,
}

/// The learnt figures of one pool.
#[derive(Clone, Debug)]
struct Estimate {
    pool: Arc<str>,
    /// The figures relative to the settings, in the order of [`scales`]; within [`RANGE`].
    factors: [f64; COUNT],
    /// The settings with `factors`.
    speed: Speed,
    fit: Fit,
    /// Number of recorded samples.
    samples: u64,
    last_fit: Time,
    /// `factors` as last reported, and when.
    reported: ([f64; COUNT], Option<Time>),
}

/// The sums of a regression. All times are divided by the noise of their sample.
#[derive(Clone, Debug, Default)]
struct Fit {
    /// Sums of the products of two features.
    products: [[f64; COUNT]; COUNT],
    /// Sums of the products of a feature and the measured time.
    times: [f64; COUNT],
}

/// The learnt figures of all pools that have any.
#[derive(Clone, Debug, Default)]
pub struct Register {
    /// Sorted by pool.
    estimates: Vec<Estimate>,
    /// Whether the figures come from another host.
    is_follower: bool,
    /// Not taken yet; at most one for each pool.
    changes: Vec<Change>,
}

/// Whether the figures of a pool are learnt: its engines are not those for which the settings were written.
pub fn is_learnt(engine: &Engine, settings: &Speed) -> bool {
    engine
        .token_bytes
        .is_some_and(|bytes| bytes != settings.token_bytes)
}

impl Register {
    /// Sets the pools of a new document. Pools that stay retain their figures.
    pub fn set_document(&mut self, document: &Document, settings: &Speed) {
        let mut old = std::mem::take(&mut self.estimates);
        let is_on = |engine| is_learnt(engine, settings);
        let pools = document.pools.iter();
        let pools = pools.filter(|pool| pool.engine.as_ref().is_some_and(is_on));
        self.estimates = pools
            .map(
                |pool| match old.iter().position(|estimate| estimate.pool == pool.name) {
                    Some(at) => old.swap_remove(at),
                    None => Estimate::new(&pool.name, settings),
                },
            )
            .collect();
        self.estimates.sort_by(|a, b| a.pool.cmp(&b.pool));
    }

    /// Whether the pool has learnt figures.
    pub fn is_on(&self, pool: &str) -> bool {
        self.position(pool).is_ok()
    }

    /// The speed of an average engine of the pool, apart from the slowdown of each.
    pub fn speed(&self, pool: &str, settings: &Speed) -> Speed {
        self.position(pool)
            .map_or(*settings, |at| self.estimates[at].speed)
    }

    /// Whether the figures come from another host and nothing is learnt.
    pub fn is_follower(&self) -> bool {
        self.is_follower
    }

    /// Records the time of one first event. Returns whether the figures are due to be fitted.
    pub fn record(&mut self, now: Time, pool: &str, sample: &Sample, settings: &Speed) -> bool {
        let Ok(at) = self.position(pool) else {
            return false;
        };
        let estimate = &mut self.estimates[at];
        estimate.record(sample, settings);
        now.since(estimate.last_fit) >= INTERVAL_MS
    }

    /// Fits the figures of a pool whose engines have the given geometric mean of the measured slowdowns. Returns the
    /// factor by which all slowdowns of the pool are to be divided. The figures of the prefill are multiplied by it, so that
    /// no prediction changes while figures and slowdowns are within their bounds and the figures within the permitted
    /// change; otherwise figures and slowdowns could drift against each other.
    pub fn fit(&mut self, now: Time, pool: &str, mean_slowdown: f64, settings: &Speed) -> f64 {
        let Ok(at) = self.position(pool) else {
            return 1.0;
        };
        let estimate = &mut self.estimates[at];
        let before = (estimate.factors, estimate.last_fit);
        let factor = estimate.rescale(mean_slowdown);
        estimate.fit(now, settings);
        estimate.limit_change(before, settings);
        if let Some(change) = estimate.change(now) {
            self.changes.retain(|known| known.pool != change.pool);
            self.changes.push(change);
        }
        factor
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The figures for other hosts, as many as fit into [`MAX_FIGURES_BYTES`].
    pub fn figures(&self) -> Vec<Figures> {
        let mut bytes = 0;
        let learnt = self.estimates.iter();
        let learnt = learnt.filter(|estimate| estimate.samples >= MIN_SENT_SAMPLES);
        learnt
            .map(|estimate| Figures::new(&estimate.pool, &estimate.speed))
            .filter(|figures| {
                let with_these = bytes + figures.encoded_bytes();
                let fits = with_these <= MAX_FIGURES_BYTES;
                if fits {
                    bytes = with_these;
                }
                fits
            })
            .collect()
    }

    /// Takes over the figures of another host. From then on, nothing is learnt from samples.
    pub fn follow(&mut self, figures: &[Figures], settings: &Speed) {
        self.is_follower = true;
        for received in figures {
            if let Some(factors) = received.factors(settings)
                && let Ok(at) = self.position(&received.pool)
            {
                self.estimates[at].set(factors, settings);
            }
        }
    }

    /// Takes over the figures of another host as those from which this one goes on to learn.
    pub fn adopt(&mut self, figures: &[Figures], settings: &Speed) {
        for received in figures {
            if let Some(factors) = received.factors(settings)
                && let Ok(at) = self.position(&received.pool)
            {
                let estimate = &mut self.estimates[at];
                estimate.set(factors, settings);
                estimate.fit = Fit::around(&factors);
                estimate.samples = MIN_SENT_SAMPLES;
            }
        }
    }

    fn position(&self, pool: &str) -> Result<usize, usize> {
        self.estimates
            .binary_search_by(|estimate| (*estimate.pool).cmp(pool))
    }
}

impl Estimate {
    fn new(pool: &Arc<str>, settings: &Speed) -> Estimate {
        Estimate {
            pool: Arc::clone(pool),
            factors: [1.0; COUNT],
            speed: *settings,
            fit: Fit::default(),
            samples: 0,
            last_fit: Time::ZERO,
            reported: ([1.0; COUNT], None),
        }
    }

    fn set(&mut self, factors: [f64; COUNT], settings: &Speed) {
        self.factors = factors;
        self.speed = Speed {
            tokens_per_ms: settings.tokens_per_ms / factors[0],
            ms_per_million_pairs: settings.ms_per_million_pairs * factors[1],
            step_ms: settings.step_ms * factors[2],
            step_ms_per_thousand: settings.step_ms_per_thousand * factors[3],
            first_ms: settings.first_ms * factors[4],
            ..*settings
        };
    }

    fn record(&mut self, sample: &Sample, settings: &Speed) {
        let features = features(sample, settings);
        let predicted: f64 = features.iter().zip(self.factors).map(|(x, f)| x * f).sum();
        let noise = NOISE_MS + NOISE_SHARE * predicted;
        let deviation = (sample.elapsed_ms - predicted).abs() / noise;
        if !deviation.is_finite() {
            return;
        }
        // Huber's weight: the influence of a sample on the figures does not grow with its deviation.
        let weight = 1.0 / deviation.max(1.0) / (noise * noise);
        self.samples += 1;
        let memory = (self.samples as f64 * MEMORY_PART).clamp(*MEMORY.start(), *MEMORY.end());
        self.fit
            .add(&features, sample.elapsed_ms, weight, 1.0 - 1.0 / memory);
    }

    /// Multiplies the figures of the prefill by the mean slowdown, as far as they stay within their bounds.
    fn rescale(&mut self, mean_slowdown: f64) -> f64 {
        let (least, most) = (*RANGE.start(), *RANGE.end());
        let factor = mean_slowdown.clamp(least / self.factors[0], most / self.factors[0]);
        if !factor.is_finite() || factor <= 0.0 {
            return 1.0;
        }
        self.fit.rescale(factor);
        for figure in &mut self.factors[..COUNT - 1] {
            *figure = (*figure * factor).clamp(least, most);
        }
        factor
    }

    fn fit(&mut self, now: Time, settings: &Speed) {
        self.last_fit = now;
        let factors = self.fit.solve().unwrap_or(self.factors);
        self.set(factors, settings);
    }

    /// Brings the factors within the permitted change since `before`, the factors and the time of the last fit.
    fn limit_change(&mut self, before: ([f64; COUNT], Time), settings: &Speed) {
        if self.samples < FAST_SAMPLES {
            return;
        }
        let (before, at) = before;
        let most = MAX_CHANGE_PER_S.powf(self.last_fit.since(at) as f64 / 1_000.0);
        let mut factors = self.factors;
        for (factor, before) in factors.iter_mut().zip(before) {
            *factor = factor.clamp(before / most, before * most);
        }
        self.set(factors, settings);
    }

    /// The change to be reported, if there is one.
    fn change(&mut self, now: Time) -> Option<Change> {
        let (factors, at) = self.reported;
        let has_moved = factors.iter().zip(self.factors).any(|(before, after)| {
            after > before * REPORTED_FACTOR || after * REPORTED_FACTOR < *before
        });
        let is_due = at.is_none_or(|at| now.since(at) >= REPORT_INTERVAL_MS);
        if !has_moved || !is_due {
            return None;
        }
        self.reported = (self.factors, Some(now));
        Some(Change {
            pool: Arc::clone(&self.pool),
            speed: self.speed,
        })
    }
}

impl Fit {
    /// Sums whose solution is near to `factors` until about 200 samples have replaced them.
    fn around(factors: &[f64; COUNT]) -> Fit {
        let mut fit = Fit::default();
        for (at, (factor, weight)) in factors.iter().zip(SETTINGS_WEIGHTS).enumerate() {
            fit.products[at][at] = ADOPTED_WEIGHT * weight;
            fit.times[at] = ADOPTED_WEIGHT * weight * factor;
        }
        fit
    }

    /// Adds a sample, unless its products are not finite.
    fn add(&mut self, features: &[f64; COUNT], time: f64, weight: f64, decay: f64) {
        let largest = features.iter().copied().fold(time.abs(), f64::max);
        if !(weight * largest * largest).is_finite() {
            return;
        }
        for (row, (sums, x)) in self.products.iter_mut().zip(features).enumerate() {
            for (sum, y) in sums.iter_mut().zip(features) {
                *sum = *sum * decay + weight * x * y;
            }
            self.times[row] = self.times[row] * decay + weight * x * time;
        }
    }

    /// Multiplies the figures of the prefill by `factor`, and divides the slowdowns of the recorded samples by it.
    fn rescale(&mut self, factor: f64) {
        let divisor = |at| if at < COUNT - 1 { factor } else { 1.0 };
        for (row, sums) in self.products.iter_mut().enumerate() {
            for (column, sum) in sums.iter_mut().enumerate() {
                *sum /= divisor(row) * divisor(column);
            }
            self.times[row] /= divisor(row);
        }
    }

    /// The factors that fit the samples and the settings best within [`RANGE`], or `None` if they cannot be computed.
    fn solve(&self) -> Option<[f64; COUNT]> {
        let mut fixed = [None; COUNT];
        // Each round fixes at least one factor at its bound, or is the last one.
        for _ in 0..=COUNT {
            let factors = self.solve_with(&fixed)?;
            let mut is_within = true;
            for (fixed, factor) in fixed.iter_mut().zip(factors) {
                if !RANGE.contains(&factor) {
                    *fixed = Some(factor.clamp(*RANGE.start(), *RANGE.end()));
                    is_within = false;
                }
            }
            if is_within {
                return Some(factors);
            }
        }
        None
    }

    /// Solves the equations for the factors that are not fixed, by elimination. The matrix is positive
    /// definite without the rows and columns of the fixed factors, and the rows of these have a 1 only.
    fn solve_with(&self, fixed: &[Option<f64>; COUNT]) -> Option<[f64; COUNT]> {
        let mut matrix = self.products;
        let mut right = self.times;
        for row in 0..COUNT {
            matrix[row][row] += SETTINGS_WEIGHTS[row];
            right[row] += SETTINGS_WEIGHTS[row];
        }
        for (at, fixed) in fixed.iter().enumerate() {
            if let Some(value) = fixed {
                matrix[at] = [0.0; COUNT];
                matrix[at][at] = 1.0;
                right[at] = *value;
            }
        }
        for pivot in 0..COUNT {
            for row in pivot + 1..COUNT {
                let factor = matrix[row][pivot] / matrix[pivot][pivot];
                let above = matrix[pivot];
                for (value, above) in matrix[row].iter_mut().zip(above) {
                    *value -= factor * above;
                }
                right[row] -= factor * right[pivot];
            }
        }
        for row in (0..COUNT).rev() {
            let known: f64 = (row + 1..COUNT).map(|at| matrix[row][at] * right[at]).sum();
            right[row] = (right[row] - known) / matrix[row][row];
        }
        let is_finite = right.iter().all(|factor| factor.is_finite());
        is_finite.then_some(right)
    }
}

/// The settings as times, in the order of the factors.
fn scales(settings: &Speed) -> [f64; COUNT] {
    [
        1.0 / settings.tokens_per_ms,
        settings.ms_per_million_pairs,
        settings.step_ms,
        settings.step_ms_per_thousand,
        settings.first_ms,
    ]
}

/// The time that each figure contributes to a sample if it has the value of the settings, in ms.
fn features(sample: &Sample, settings: &Speed) -> [f64; COUNT] {
    let Sample { work, slowdown, .. } = sample;
    let amounts = [
        work.uncached * slowdown,
        work.pairs / 1e6 * slowdown,
        work.steps * slowdown,
        work.context_tokens / 1_000.0 * slowdown,
        if sample.was_free { 1.0 } else { 0.0 },
    ];
    let mut features = scales(settings);
    for (feature, amount) in features.iter_mut().zip(amounts) {
        *feature *= amount;
    }
    features
}

/// The median of the slowdowns that were measured in a pool, or `None` if there is none.
pub fn median(mut slowdowns: Vec<f64>) -> Option<f64> {
    slowdowns.sort_unstable_by(f64::total_cmp);
    slowdowns.get(slowdowns.len() / 2).copied()
}

/// The geometric mean of the slowdowns that were measured in a pool; 1 if there is none. Slowdowns beyond
/// [`MEAN_RANGE`] count as the bound.
pub fn mean(mut slowdowns: Vec<f64>) -> f64 {
    slowdowns.sort_unstable_by(f64::total_cmp);
    // The lower one of two in the middle: engines fail more often by being slow than by being fast.
    let Some(middle) = slowdowns.get(slowdowns.len().saturating_sub(1) / 2) else {
        return 1.0;
    };
    let (least, most) = (middle * MEAN_RANGE.start(), middle * MEAN_RANGE.end());
    let logarithms = slowdowns
        .iter()
        .map(|slowdown| slowdown.clamp(least, most).ln());
    f64::exp(logarithms.sum::<f64>() / slowdowns.len() as f64)
}
