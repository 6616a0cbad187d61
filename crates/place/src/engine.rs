//! Predicts when an engine generates the first token of a request.
//!
//! An engine works in steps. Each step generates one token for every running request and reads one chunk of the prompt
//! at the head of its queue, so prompts are read one after the other and every step is slowed by the context of the
//! requests that are generating.

use primrose_base::clock::Time;
use serde::{Deserialize, Serialize};

use crate::demand::Key;

/// How fast an engine is. The defaults are the figures that the operators' sheets give for all of their engines;
/// [`Load::observe`] corrects them for each server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Speed {
    /// Prompt tokens read in a ms.
    pub tokens_per_ms: f64,
    /// Time for a million pairs of tokens in attention, in ms.
    pub ms_per_million_pairs: f64,
    /// The shortest step, in ms.
    pub step_ms: f64,
    /// Time that a thousand tokens of running context add to each step, in ms.
    pub step_ms_per_thousand: f64,
    /// The most prompt tokens read in one step.
    pub chunk_tokens: f64,
    /// Time between the end of reading and the arrival of the first event, in ms, in which the engine does other work.
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

/// The prompt of a request, as it burdens one engine.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Time to read what is not kept, in ms, without the steps' own time.
    pub work_ms: f64,
    /// Steps in which it is read.
    pub steps: f64,
    /// Tokens in memory while it runs.
    pub context: u32,
}

impl Speed {
    /// What it takes to read `input` tokens of which the first `kept` are kept.
    pub fn reading(&self, input: u32, kept: u32) -> Reading {
        let fresh = f64::from(input.saturating_sub(kept)).max(1.0);
        let pairs = fresh * (f64::from(kept) + fresh / 2.0);
        Reading {
            work_ms: fresh / self.tokens_per_ms + pairs * self.ms_per_million_pairs / 1e6,
            // Short prompts share a step.
            steps: fresh / self.chunk_tokens + 0.25,
            context: input,
        }
    }
}

/// Weight of one observation in the correction of the speed.
const SLOWNESS_WEIGHT: f64 = 0.1;

/// Bounds of the correction: outside of them something else than speed is wrong.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.7..=5.0;

/// Time that the report of a first event takes to reach the placer, in ms: about two hops between failure domains and
/// the batching of reports.
const REPORT_DELAY_MS: f64 = 10.0;

/// Shorter readings say little about the speed, because they share steps with others.
const MIN_OBSERVED_MS: f64 = 25.0;

/// The requests that are booked on one engine.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests without a first token, in the order of their booking.
    pending: Vec<Pending>,
    /// Requests that generate.
    running: Vec<Running>,
    /// When the engine had read the last prompt that was reported; a time of the placer's clock in ms.
    read_until: f64,
    /// Measured against predicted time to the first token.
    slowness: f64,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    key: Key,
    reading: Reading,
    booked: Time,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    key: Key,
    context: u32,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            pending: Vec::new(),
            running: Vec::new(),
            read_until: 0.0,
            slowness: 1.0,
        }
    }
}

impl Load {
    /// Requests that are booked.
    pub fn len(&self) -> usize {
        self.pending.len() + self.running.len()
    }

    /// Whether nothing is booked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Requests without a first token.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Measured against predicted time to the first token; over 1 for a slow server.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Duration of a step besides the reading of prompts, in ms.
    fn step_ms(&self, speed: &Speed) -> f64 {
        let context: f64 = self.running.iter().map(|run| f64::from(run.context)).sum();
        speed.step_ms + context * speed.step_ms_per_thousand / 1_000.0
    }

    /// Time until the engine has read all prompts that are booked, in ms.
    pub fn wait_ms(&self, now: Time, speed: &Speed) -> f64 {
        let step = self.step_ms(speed);
        let now = now.as_ms() as f64;
        let mut until = self.read_until;
        for pending in &self.pending {
            let start = until.max(pending.booked.as_ms() as f64);
            let end = start + self.reading_ms(&pending.reading, step);
            // One whose report is overdue is being read still.
            until = end.max(now - speed.first_ms - REPORT_DELAY_MS);
        }
        (until - now).max(0.0)
    }

    /// Time to read one more prompt once the engine begins with it, in ms.
    pub fn own_ms(&self, reading: &Reading, speed: &Speed) -> f64 {
        self.reading_ms(reading, self.step_ms(speed))
    }

    fn reading_ms(&self, reading: &Reading, step_ms: f64) -> f64 {
        (reading.work_ms + reading.steps * step_ms) * self.slowness
    }

    /// Books a request.
    pub fn book(&mut self, now: Time, key: Key, reading: Reading) {
        self.pending.push(Pending {
            key,
            reading,
            booked: now,
        });
    }

    /// Records the first event of a request.
    pub fn observe(&mut self, now: Time, key: Key, speed: &Speed) {
        let Some(at) = self.pending.iter().position(|pending| pending.key == key) else {
            return;
        };
        let pending = self.pending.remove(at);
        let read = now.as_ms() as f64 - speed.first_ms - REPORT_DELAY_MS;
        let start = self.read_until.max(pending.booked.as_ms() as f64);
        let expected = self.reading_ms(&pending.reading, self.step_ms(speed));
        if at == 0 && expected >= MIN_OBSERVED_MS && read > start {
            let measured = (read - start) / expected * self.slowness;
            let slowness = self.slowness + SLOWNESS_WEIGHT * (measured - self.slowness);
            self.slowness = slowness.clamp(*SLOWNESS.start(), *SLOWNESS.end());
        }
        self.read_until = self.read_until.max(read);
        let context = pending.reading.context;
        self.running.push(Running { key, context });
    }

    /// Records that a request has ended, one way or the other.
    pub fn end(&mut self, key: Key) {
        self.pending.retain(|pending| pending.key != key);
        self.running.retain(|run| run.key != key);
    }
}
