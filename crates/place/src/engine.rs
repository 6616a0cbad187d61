//! Predicts when an engine generates the first token of a request.
//!
//! An engine works in steps. Each step generates one token for every running request and prefills
//! one chunk of the prompt at the head of its queue. Prompts are therefore prefilled one after the
//! other, and the context of the requests that generate tokens slows down every step.

use primrose_base::clock::Time;
use serde::{Deserialize, Serialize};

use crate::demand::Key;

/// The speed of an engine. The defaults are the values that the operators' specification sheets
/// give for all of their engines; [`Load::record_first_event`] corrects them for each server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Speed {
    /// Prompt tokens prefilled per ms.
    pub tokens_per_ms: f64,
    /// Attention time per million pairs of tokens, in ms.
    pub ms_per_million_pairs: f64,
    /// The shortest step, in ms.
    pub step_ms: f64,
    /// Time that each thousand tokens of running context add to a step, in ms.
    pub step_ms_per_thousand: f64,
    /// The most prompt tokens that one step prefills.
    pub chunk_tokens: f64,
    /// Time from the end of the prefill to the arrival of the first event, in ms. The engine is
    /// free for other work during this time.
    pub first_ms: f64,
    /// Size in bytes of a cached token of the engines for which the figures were written. For pools with another size,
    /// the figures are learnt; see [`crate::speed`].
    pub token_bytes: u64,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed {
            tokens_per_ms: 93.0,
            ms_per_million_pairs: 0.442,
            step_ms: 3.29,
            step_ms_per_thousand: 0.0262,
            chunk_tokens: 2_048.0,
            first_ms: 85.0,
            token_bytes: 131_072,
        }
    }
}

/// The cost of prefilling one prompt on one engine.
#[derive(Clone, Copy, Debug)]
pub struct Prefill {
    /// Time to compute the tokens that are not cached, in ms, without the base time of the steps.
    pub work_ms: f64,
    /// Tokens that are not cached; at least 1.
    pub uncached: f64,
    /// Pairs of tokens whose attention is computed.
    pub pairs: f64,
    /// Number of steps that the prefill takes.
    pub steps: f64,
    /// Tokens that the request holds in memory while it runs.
    pub context_tokens: u32,
}

impl Speed {
    /// The cost of prefilling `input_tokens` tokens, the first `cached_tokens` of which are cached.
    pub fn prefill(&self, input_tokens: u32, cached_tokens: u32) -> Prefill {
        let uncached = f64::from(input_tokens.saturating_sub(cached_tokens)).max(1.0);
        let pairs = uncached * (f64::from(cached_tokens) + uncached / 2.0);
        Prefill {
            work_ms: uncached / self.tokens_per_ms + pairs * self.ms_per_million_pairs / 1e6,
            uncached,
            pairs,
            // Several short prompts can share one step.
            steps: uncached / self.chunk_tokens + 0.25,
            context_tokens: input_tokens,
        }
    }
}

/// Weight of one observation in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.1;

/// Bounds of the slowdown: a value outside of them has another cause than the engine's speed. Pools with learnt figures
/// have a lower bound of [`crate::speed::MIN_SLOWDOWN`].
const SLOWDOWN_RANGE: std::ops::RangeInclusive<f64> = 0.7..=5.0;

/// A slowdown within this factor of a bound counts as one at the bound. A single sample changes it by 6 % at most, so the
/// noise of one sample does not make an engine count as within the bounds.
const BOUND_MARGIN: f64 = 1.1;

/// A slowdown of a pool with learnt figures counts as assumed if it was not measured for this time, in ms. The figures
/// that it is relative to have changed meanwhile.
const MEASUREMENT_MS: u64 = 60_000;

/// Time that the report of a first event takes to reach the placer, in ms: about two hops between
/// failure domains and the batching of reports.
const REPORT_DELAY_MS: f64 = 10.0;

/// The shortest predicted prefill from which the slowdown is measured, in ms. Shorter prefills say
/// little about the speed, because they share steps with others.
const MIN_OBSERVED_MS: f64 = 25.0;

/// The shortest predicted prefill from which the slowdown is measured in pools with learnt figures, in ms. Engines that are
/// faster than the settings say rarely need longer.
const MIN_LEARNT_MS: f64 = 10.0;

/// The predicted prefill from which a measurement has its full weight in pools with learnt figures, in ms: several times
/// the noise of the reports.
const FULL_WEIGHT_MS: f64 = 50.0;

/// Weight of one observation of the slowdown in pools with learnt figures.
const LEARNT_WEIGHT: f64 = 0.2;

/// The largest deviation from the slowdown that counts in pools with learnt figures, as a logarithm. Single samples that
/// are wrong by hundreds of ms then change the slowdown by at most 6 %.
const MAX_DEVIATION: f64 = 0.3;

/// A request that is assigned to an engine this long after its last prefill has found the engine free, in ms: twice the
/// spread of the reports. With a shorter pause, it is not known whether the request waited.
const MIN_PAUSE_MS: f64 = 15.0;

/// Prefills that follow each other without a pause are measured together up to this predicted duration, in ms. Prompts
/// share steps, so the end of each depends on the next one.
const MEASURED_MS: f64 = 200.0;

/// What an engine computes for the prompts of a [`Sample`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    /// Tokens that are not cached.
    pub uncached: f64,
    /// Pairs of tokens whose attention is computed.
    pub pairs: f64,
    /// Number of steps.
    pub steps: f64,
    /// Sum over the steps of the context of the requests that generated tokens.
    pub context_tokens: f64,
}

impl Work {
    fn add(&mut self, other: &Work) {
        self.uncached += other.uncached;
        self.pairs += other.pairs;
        self.steps += other.steps;
        self.context_tokens += other.context_tokens;
    }

    /// Duration on an engine with the slowdown 1, in ms.
    fn duration_ms(&self, speed: &Speed) -> f64 {
        self.uncached / speed.tokens_per_ms
            + self.pairs * speed.ms_per_million_pairs / 1e6
            + self.steps * speed.step_ms
            + self.context_tokens * speed.step_ms_per_thousand / 1_000.0
    }
}

/// The measured time of one or several prefills.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// What the engine has computed.
    pub work: Work,
    /// The slowdown of the engine before this sample.
    pub slowdown: f64,
    /// Whether the engine was free before. `elapsed_ms` then includes the fixed time of the first event.
    pub was_free: bool,
    /// Time from the assignment, or from the report before if the engine was busy, in ms.
    pub elapsed_ms: f64,
}

/// The latest prefills of an engine without a pause between them.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    work: Work,
    was_free: bool,
    /// When the engine was free and got the first request, or when the event before it was reported, in ms.
    start: f64,
    /// When the event of the last request was reported, in ms.
    end: f64,
}

/// What only pools with learnt figures need for the requests of an engine. All times are without the delay of the reports,
/// on the placer's clock in ms.
#[derive(Clone, Debug, Default)]
struct Observation {
    /// The measurement that the next request may extend.
    open: Option<Measurement>,
    /// When the last first event was reported.
    reported: f64,
    /// Work for requests whose first event was reported before that of the oldest one, and when the last was.
    passed: Work,
    passed_until: f64,
    /// Whether the engine has worked for a request whose time is unknown: one that ended without a first event or was
    /// excluded, or one of an earlier run of this host.
    is_disturbed: bool,
}

/// The requests that are assigned to one engine.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests without a first event, in the order of their assignment.
    pending: Vec<Pending>,
    /// Requests that generate tokens.
    running: Vec<Running>,
    /// When the engine finished the last prefill that was reported, on the placer's clock in ms.
    prefilled_until: f64,
    /// Ratio of the measured to the predicted prefill time, as a moving average.
    slowdown: f64,
    /// When `slowdown` was last measured in requests of this engine; `None` if it is assumed.
    measured: Option<Time>,
    /// Lower bound of `slowdown`; above 0.
    min_slowdown: f64,
    observation: Observation,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    key: Key,
    prefill: Prefill,
    assigned: Time,
    /// Whether the time until the first event says nothing about the speed of the engine.
    is_excluded: bool,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    key: Key,
    context_tokens: u32,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            pending: Vec::new(),
            running: Vec::new(),
            prefilled_until: 0.0,
            slowdown: 1.0,
            measured: None,
            min_slowdown: *SLOWDOWN_RANGE.start(),
            observation: Observation::default(),
        }
    }
}

impl Load {
    /// Number of assigned requests that have not ended.
    pub fn len(&self) -> usize {
        self.pending.len() + self.running.len()
    }

    /// Whether no request is assigned.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of requests whose first event has not been reported.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Ratio of the measured to the predicted prefill time; above 1 for a server that is slower
    /// than its [`Speed`].
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// The slowdown if it was measured on this engine.
    pub fn measured_slowdown(&self) -> Option<f64> {
        self.measured.map(|_| self.slowdown)
    }

    /// Sets the slowdown that is assumed until it is measured.
    pub fn assume_slowdown(&mut self, slowdown: f64) {
        if self.measured.is_none() {
            self.slowdown = slowdown;
        }
    }

    /// Counts the slowdown as assumed if it has not been measured for [`MEASUREMENT_MS`].
    pub fn expire_slowdown(&mut self, now: Time) {
        self.measured = self
            .measured
            .filter(|&measured| now.since(measured) < MEASUREMENT_MS);
    }

    /// Forgets what was learnt about the engine, because its pool now has other figures or learns none. The assigned
    /// requests stay.
    pub fn reset_learnt(&mut self) {
        let load = Load::default();
        self.slowdown = load.slowdown;
        self.measured = load.measured;
        self.min_slowdown = load.min_slowdown;
        self.observation = load.observation;
    }

    /// Sets the lower bound of the slowdown, which must be above 0.
    pub fn set_min_slowdown(&mut self, min_slowdown: f64) {
        self.min_slowdown = min_slowdown;
    }

    /// Whether the slowdown is at a bound or near to it, so that the true one may be further off.
    pub fn is_at_bound(&self) -> bool {
        let (least, most) = (self.min_slowdown, *SLOWDOWN_RANGE.end());
        !(least * BOUND_MARGIN..=most / BOUND_MARGIN).contains(&self.slowdown)
    }

    /// Divides the slowdown by `factor`, because the figures that it is relative to were multiplied by it.
    pub fn rescale_slowdown(&mut self, factor: f64) {
        self.slowdown = (self.slowdown / factor).clamp(self.min_slowdown, *SLOWDOWN_RANGE.end());
    }

    /// Context of the requests that generate tokens.
    fn context_tokens(&self) -> f64 {
        self.running
            .iter()
            .map(|run| f64::from(run.context_tokens))
            .sum()
    }

    /// Duration of a step without the prefill of prompts, in ms.
    fn step_ms(&self, speed: &Speed) -> f64 {
        speed.step_ms + self.context_tokens() * speed.step_ms_per_thousand / 1_000.0
    }

    /// Time until the engine has prefilled the prompts of all assigned requests, in ms.
    pub fn wait_ms(&self, now: Time, speed: &Speed) -> f64 {
        let step = self.step_ms(speed);
        let now = now.as_ms() as f64;
        let mut until = self.prefilled_until;
        for pending in &self.pending {
            let start = until.max(pending.assigned.as_ms() as f64);
            let end = start + self.duration_ms(&pending.prefill, step);
            // If the first event is overdue, the engine is still prefilling this prompt.
            until = end.max(now - speed.first_ms - REPORT_DELAY_MS);
        }
        (until - now).max(0.0)
    }

    /// Time that one more prefill takes once the engine starts it, in ms.
    pub fn prefill_ms(&self, prefill: &Prefill, speed: &Speed) -> f64 {
        self.duration_ms(prefill, self.step_ms(speed))
    }

    fn duration_ms(&self, prefill: &Prefill, step_ms: f64) -> f64 {
        (prefill.work_ms + prefill.steps * step_ms) * self.slowdown
    }

    /// Appends a request to the engine's queue.
    pub fn assign(&mut self, now: Time, key: Key, prefill: Prefill) {
        self.pending.push(Pending {
            key,
            prefill,
            assigned: now,
            is_excluded: false,
        });
    }

    /// Excludes an assigned request from the measurements: it waits for something else than the prefills before it.
    pub fn exclude(&mut self, key: Key) {
        let mut pending = self.pending.iter_mut();
        if let Some(pending) = pending.find(|pending| pending.key == key) {
            pending.is_excluded = true;
        }
    }

    /// Records the first event of a request, and updates the slowdown if the request was the
    /// oldest without one.
    pub fn record_first_event(&mut self, now: Time, key: Key, speed: &Speed) {
        let Some(at) = self.pending.iter().position(|pending| pending.key == key) else {
            return;
        };
        let pending = self.pending.remove(at);
        let end = now.as_ms() as f64 - speed.first_ms - REPORT_DELAY_MS;
        let start = self.prefilled_until.max(pending.assigned.as_ms() as f64);
        let expected = self.duration_ms(&pending.prefill, self.step_ms(speed));
        if at == 0 && expected >= MIN_OBSERVED_MS && end > start {
            let measured = (end - start) / expected * self.slowdown;
            let slowdown = self.slowdown + SLOWDOWN_WEIGHT * (measured - self.slowdown);
            self.slowdown = slowdown.clamp(self.min_slowdown, *SLOWDOWN_RANGE.end());
            self.measured = Some(now);
        }
        self.prefilled_until = self.prefilled_until.max(end);
        let context_tokens = pending.prefill.context_tokens;
        self.running.push(Running {
            key,
            context_tokens,
        });
    }

    /// Records the first event of a request in a pool with learnt figures. Returns a sample for the figures if a
    /// measurement is complete, and updates the slowdown from it. Nothing is measured unless `is_in_charge`: this host
    /// does not know all requests of the engine otherwise.
    pub fn observe_first_event(
        &mut self,
        now: Time,
        key: Key,
        speed: &Speed,
        is_in_charge: bool,
    ) -> Option<Sample> {
        let at = self.pending.iter().position(|pending| pending.key == key)?;
        let pending = self.pending.remove(at);
        let reported = now.as_ms() as f64 - REPORT_DELAY_MS;
        let assigned = pending.assigned.as_ms() as f64;
        // An entry host reports its running requests again to a core host that has restarted. The assignment and the first
        // event of such a request arrive together.
        let is_resent = reported <= assigned;
        let is_excluded = pending.is_excluded || is_resent || !is_in_charge;
        let prefill = &pending.prefill;
        let mut work = Work {
            uncached: prefill.uncached,
            pairs: prefill.pairs,
            steps: prefill.steps,
            context_tokens: prefill.steps * self.context_tokens(),
        };
        self.running.push(Running {
            key,
            context_tokens: prefill.context_tokens,
        });
        let seen = &mut self.observation;
        if at > 0 && is_excluded {
            seen.is_disturbed = true;
            return None;
        }
        if at > 0 {
            // Reports of prompts that shared a step arrive in any order. They are measured together with the oldest.
            seen.passed.add(&work);
            seen.passed_until = seen.passed_until.max(reported);
            return None;
        }
        work.add(&std::mem::take(&mut seen.passed));
        let end = reported.max(seen.passed_until);
        let pause_ms = assigned - self.prefilled_until;
        let is_disturbed = std::mem::replace(&mut seen.is_disturbed, is_resent);
        let was_free = pause_ms >= MIN_PAUSE_MS;
        let start = if was_free { assigned } else { seen.reported };
        let is_behind = pause_ms <= 0.0 && seen.reported > 0.0;
        let is_known = !is_disturbed && !is_excluded && (was_free || is_behind) && end > start;
        let measurement = Measurement {
            work,
            was_free,
            start,
            end,
        };
        let slowdown = self.slowdown;
        let complete = match &mut seen.open {
            Some(open)
                if is_known
                    && !was_free
                    && open.work.duration_ms(speed) * slowdown < MEASURED_MS =>
            {
                open.work.add(&work);
                open.end = end;
                None
            }
            open => std::mem::replace(open, is_known.then_some(measurement)),
        };
        seen.reported = end;
        self.prefilled_until = self.prefilled_until.max(end - speed.first_ms);
        let complete = complete.filter(|_| is_in_charge)?;
        let elapsed_ms = complete.end - complete.start;
        let fixed_ms = if complete.was_free {
            speed.first_ms
        } else {
            0.0
        };
        let expected_ms = complete.work.duration_ms(speed) * slowdown;
        self.observe_slowdown(now, expected_ms, elapsed_ms - fixed_ms);
        Some(Sample {
            work: complete.work,
            slowdown,
            was_free: complete.was_free,
            elapsed_ms,
        })
    }

    /// Moves the slowdown toward the ratio of the measured to the expected time of a prefill.
    fn observe_slowdown(&mut self, now: Time, expected_ms: f64, measured_ms: f64) {
        if expected_ms < MIN_LEARNT_MS {
            return;
        }
        let deviation = (measured_ms / expected_ms).max(f64::MIN_POSITIVE).ln();
        let weight = LEARNT_WEIGHT * (expected_ms / FULL_WEIGHT_MS).min(1.0);
        let step = weight * deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        let slowdown = self.slowdown * step.exp();
        self.slowdown = slowdown.clamp(self.min_slowdown, *SLOWDOWN_RANGE.end());
        self.measured = Some(now);
    }

    /// Removes a request that has ended, with or without an answer.
    pub fn remove(&mut self, key: Key) {
        if self.pending.iter().any(|pending| pending.key == key) {
            let seen = &mut self.observation;
            seen.is_disturbed = true;
            seen.reported = seen.reported.max(seen.passed_until);
            seen.passed = Work::default();
        }
        self.pending.retain(|pending| pending.key != key);
        self.running.retain(|run| run.key != key);
    }
}
