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
        }
    }
}

/// The cost of prefilling one prompt on one engine.
#[derive(Clone, Copy, Debug)]
pub struct Prefill {
    /// Time to compute the tokens that are not cached, in ms, without the base time of the steps.
    pub work_ms: f64,
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

/// Time that the report of a first event takes to reach the placer, in ms: about two hops between
/// failure domains and the batching of reports.
const REPORT_DELAY_MS: f64 = 10.0;

/// The shortest predicted prefill from which the slowdown is measured, in ms. Shorter prefills say
/// little about the speed, because they share steps with others.
const MIN_OBSERVED_MS: f64 = 25.0;

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
    /// Whether `slowdown` comes from requests of this engine.
    is_measured: bool,
    /// Lower bound of `slowdown`; above 0.
    min_slowdown: f64,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    key: Key,
    prefill: Prefill,
    assigned: Time,
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
            is_measured: false,
            min_slowdown: *SLOWDOWN_RANGE.start(),
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
        self.is_measured.then_some(self.slowdown)
    }

    /// Sets the slowdown that is assumed until it is measured.
    pub fn assume_slowdown(&mut self, slowdown: f64) {
        if !self.is_measured {
            self.slowdown = slowdown;
        }
    }

    /// Sets the lower bound of the slowdown, which must be above 0.
    pub fn set_min_slowdown(&mut self, min_slowdown: f64) {
        self.min_slowdown = min_slowdown;
    }

    /// Duration of a step without the prefill of prompts, in ms.
    fn step_ms(&self, speed: &Speed) -> f64 {
        let context: f64 = self
            .running
            .iter()
            .map(|run| f64::from(run.context_tokens))
            .sum();
        speed.step_ms + context * speed.step_ms_per_thousand / 1_000.0
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
        });
    }

    /// Records the first event of a request, and updates the slowdown if the request was the
    /// oldest without one. Returns the fixed time of the first event, in ms, if the engine was free and the prefill was
    /// too short for its speed to matter.
    pub fn record_first_event(&mut self, now: Time, key: Key, speed: &Speed) -> Option<f64> {
        let at = self.pending.iter().position(|pending| pending.key == key)?;
        let pending = self.pending.remove(at);
        let end = now.as_ms() as f64 - speed.first_ms - REPORT_DELAY_MS;
        let start = self.prefilled_until.max(pending.assigned.as_ms() as f64);
        let expected = self.duration_ms(&pending.prefill, self.step_ms(speed));
        if at == 0 && expected >= MIN_OBSERVED_MS && end > start {
            let measured = (end - start) / expected * self.slowdown;
            let slowdown = self.slowdown + SLOWDOWN_WEIGHT * (measured - self.slowdown);
            self.slowdown = slowdown.clamp(self.min_slowdown, *SLOWDOWN_RANGE.end());
            self.is_measured = true;
        }
        let assigned = pending.assigned.as_ms() as f64;
        let is_fixed = at == 0 && expected < MIN_OBSERVED_MS && self.prefilled_until <= assigned;
        let fixed = now.as_ms() as f64 - assigned - expected - REPORT_DELAY_MS;
        self.prefilled_until = self.prefilled_until.max(end);
        let context_tokens = pending.prefill.context_tokens;
        self.running.push(Running {
            key,
            context_tokens,
        });
        is_fixed.then_some(fixed)
    }

    /// Removes a request that has ended, with or without an answer.
    pub fn remove(&mut self, key: Key) {
        self.pending.retain(|pending| pending.key != key);
        self.running.retain(|run| run.key != key);
    }
}
