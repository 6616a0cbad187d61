//! Continuous batching: one loop runs the steps of all sequences.
//!
//! Like the real engines, the loop admits sequences in order of arrival, without priorities.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use primrose_base::clock::Time;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::Settings;
use crate::record::{Execution, Progress};

/// Granularity of the prefix cache: each cached prefix of a prompt is this many bytes longer than the one before it.
pub const PREFIX_BYTES: usize = 1_024;

/// Number of cache events kept for `GET /cache-events`; when it is exceeded, the oldest event is discarded.
const MAX_CACHE_EVENTS: usize = 10_000;

/// Number of load samples kept; with two samples per step of 10 ms they cover the last 20 s.
const MAX_LOAD_SAMPLES: usize = 4_096;

/// Message from a running sequence to the request that waits for its output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// Number of output tokens produced since the last event.
    Tokens(u32),
    /// All output tokens were produced. If the channel closes without this event, the sequence was cancelled.
    Done,
}

/// One request in the batch or in the queue before it.
#[derive(Debug)]
pub(crate) struct Sequence {
    /// Index of its execution in the execution log.
    pub(crate) execution: usize,
    /// The `x-request-id` of the request, by which `POST /cancel` finds the sequence.
    pub(crate) request_id: String,
    /// Cacheable prefixes of the prompt, shortest first.
    pub(crate) prefixes: Vec<Prefix>,
    pub(crate) prompt_tokens: u32,
    /// Number of output tokens still to produce.
    pub(crate) remaining_output: u32,
    /// Channel for the output; the sequence is cancelled when its receiver is closed.
    pub(crate) sender: mpsc::UnboundedSender<Event>,
}

/// A sequence in the batch.
#[derive(Debug)]
struct Running {
    sequence: Sequence,
    /// Number of prompt tokens still to process.
    remaining_prompt: u32,
}

/// A cacheable prefix of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Prefix {
    /// First 16 hexadecimal digits of the SHA-256 digest of the prefix.
    pub hash: String,
    /// Length of the prefix in bytes.
    pub bytes: usize,
}

/// Returns the cacheable prefixes of `prompt`, shortest first.
///
/// These are the prefixes whose length is a multiple of [`PREFIX_BYTES`], or the whole prompt if it is shorter.
pub fn prefixes(prompt: &str) -> Vec<Prefix> {
    let bytes = prompt.as_bytes();
    if bytes.len() < PREFIX_BYTES {
        return vec![prefix(&Sha256::new().chain_update(bytes), bytes.len())];
    }
    let mut state = Sha256::new();
    bytes
        .chunks_exact(PREFIX_BYTES)
        .enumerate()
        .map(|(index, chunk)| {
            state.update(chunk);
            prefix(&state, (index + 1) * PREFIX_BYTES)
        })
        .collect()
}

fn prefix(state: &Sha256, bytes: usize) -> Prefix {
    let digest = state.clone().finalize();
    let hash = hex::encode(&digest[..8]);
    Prefix { hash, bytes }
}

/// Event of the prefix cache: a prefix was stored or evicted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Sequence number of the event, from 0. A gap in the numbers means that events were lost.
    pub number: u64,
    /// Whether the prefix was stored (true) or evicted (false).
    pub stored: bool,
    /// The prefix that was stored or evicted.
    pub prefix: Prefix,
}

/// The answer to `GET /load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of sequences in the batch.
    pub running: usize,
    /// Number of sequences that wait for a slot in the batch.
    pub waiting: usize,
    /// Number of slots in the batch.
    pub slots: usize,
}

/// Prefix cache with eviction of the least recently used prefix.
#[derive(Debug)]
struct Cache {
    /// Prefixes in ascending order, each with the value that `uses` had at its last use.
    entries: Vec<(Prefix, u64)>,
    /// Number of prefixes above which one is evicted.
    capacity: usize,
    /// Number of uses of the cache so far, as a logical clock.
    uses: u64,
    /// Events with the time at which they occurred, oldest first.
    events: VecDeque<(Time, Change)>,
    next_event: u64,
    /// Probability that an event is never published.
    loss: f64,
    random: StdRng,
}

impl Cache {
    /// Marks `prefix` as just used, stores it if necessary, and returns whether it was cached before.
    fn touch(&mut self, prefix: &Prefix) -> bool {
        self.uses += 1;
        match self.entries.binary_search_by(|entry| entry.0.cmp(prefix)) {
            Ok(index) => {
                self.entries[index].1 = self.uses;
                true
            }
            Err(index) => {
                self.entries.insert(index, (prefix.clone(), self.uses));
                self.publish(true, prefix.clone());
                self.evict();
                false
            }
        }
    }

    fn evict(&mut self) {
        if self.entries.len() <= self.capacity {
            return;
        }
        let oldest = (0..self.entries.len()).min_by_key(|index| self.entries[*index].1);
        if let Some(index) = oldest {
            let (prefix, _) = self.entries.remove(index);
            self.publish(false, prefix);
        }
    }

    fn publish(&mut self, stored: bool, prefix: Prefix) {
        let number = self.next_event;
        self.next_event += 1;
        if self.random.random_bool(self.loss) {
            return;
        }
        let change = Change {
            number,
            stored,
            prefix,
        };
        self.events.push_back((Time::now(), change));
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }

    /// Stores the prefixes of a prompt and returns how many bytes at its start were cached before.
    ///
    /// A cached prefix counts only if all shorter prefixes of the prompt were cached too.
    fn lookup_and_store(&mut self, prefixes: &[Prefix]) -> usize {
        let mut cached = 0;
        let mut all_cached = true;
        for prefix in prefixes {
            all_cached &= self.touch(prefix);
            if all_cached {
                cached = prefix.bytes;
            }
        }
        cached
    }
}

/// State shared by the step loop and the request handlers.
#[derive(Debug)]
struct Shared {
    cache: Mutex<Cache>,
    /// Load at past steps with the time of each sample, oldest first.
    load_samples: Mutex<VecDeque<(Time, Load)>>,
    /// The execution log, in order of arrival.
    executions: Mutex<Vec<Execution>>,
}

/// Handle through which request handlers use the step loop.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    sender: mpsc::UnboundedSender<Command>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
enum Command {
    Run(Sequence),
    Cancel(String),
}

impl Engine {
    /// Appends a sequence to the queue.
    pub(crate) fn submit(&self, sequence: Sequence) {
        // The step loop ends only when the stand-in stops. The sequence is then dropped with its output channel, and
        // the answer is aborted.
        let _ = self.sender.send(Command::Run(sequence));
    }

    /// Cancels all queued and running sequences with this request id.
    pub(crate) fn cancel(&self, request_id: &str) {
        let _ = self.sender.send(Command::Cancel(request_id.to_owned()));
    }

    /// Appends an execution to the log and returns its index.
    pub(crate) fn record_start(&self, execution: Execution) -> usize {
        let mut executions = lock(&self.shared.executions);
        executions.push(execution);
        executions.len() - 1
    }

    /// Calls `access` with the locked execution log.
    pub(crate) fn with_executions<T>(&self, access: impl FnOnce(&mut Vec<Execution>) -> T) -> T {
        access(&mut lock(&self.shared.executions))
    }

    /// Returns the load `lag_ms` ago, or `None` if no sample is that old.
    pub(crate) fn load(&self, lag_ms: u64) -> Option<Load> {
        let now = Time::now();
        let samples = lock(&self.shared.load_samples);
        let sample = samples
            .iter()
            .rev()
            .find(|(time, _)| now.since(*time) >= lag_ms);
        sample.map(|(_, load)| *load)
    }

    /// Returns the cache events with numbers from `since` that are at least `lag_ms` old.
    pub(crate) fn cache_events(&self, since: u64, lag_ms: u64) -> Vec<Change> {
        let now = Time::now();
        let cache = lock(&self.shared.cache);
        cache
            .events
            .iter()
            .filter(|(time, change)| change.number >= since && now.since(*time) >= lag_ms)
            .map(|(_, change)| change.clone())
            .collect()
    }

    /// Returns whether `prefix` is cached.
    pub(crate) fn is_cached(&self, prefix: &Prefix) -> bool {
        let cache = lock(&self.shared.cache);
        cache
            .entries
            .binary_search_by(|entry| entry.0.cmp(prefix))
            .is_ok()
    }

    /// Stores `prefix` in the cache without running a prompt, as after a transfer from another engine.
    pub(crate) fn import(&self, prefix: &Prefix) {
        lock(&self.shared.cache).touch(prefix);
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the step loop. It runs until its task is aborted or all handles are dropped.
pub(crate) fn spawn(settings: &Settings) -> (Engine, JoinHandle<()>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let cache = Cache {
        entries: Vec::new(),
        capacity: settings.cache_prefixes,
        uses: 0,
        events: VecDeque::new(),
        next_event: 0,
        loss: settings.cache_event_loss.clamp(0.0, 1.0),
        random: StdRng::seed_from_u64(settings.seed),
    };
    let shared = Arc::new(Shared {
        cache: Mutex::new(cache),
        load_samples: Mutex::new(VecDeque::new()),
        executions: Mutex::new(Vec::new()),
    });
    let engine = Engine {
        sender,
        shared: Arc::clone(&shared),
    };
    let batch = Batch {
        settings: settings.clone(),
        running: Vec::new(),
        waiting: VecDeque::new(),
        shared,
    };
    (engine, tokio::spawn(batch.run(receiver)))
}

/// State of the step loop.
struct Batch {
    settings: Settings,
    /// Sequences in the batch, in order of arrival.
    running: Vec<Running>,
    /// Sequences that wait for a slot, in order of arrival.
    waiting: VecDeque<Sequence>,
    shared: Arc<Shared>,
}

impl Batch {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Command>) {
        let mut deadline = Instant::now();
        loop {
            self.sample_load();
            if self.running.is_empty() && self.waiting.is_empty() {
                let Some(command) = receiver.recv().await else {
                    return;
                };
                self.apply(command);
                deadline = Instant::now();
            }
            while let Ok(command) = receiver.try_recv() {
                self.apply(command);
            }
            self.cancel_disconnected();
            self.admit();
            self.sample_load();
            let prompt_tokens = self.prefill();
            // Each deadline is computed from the previous one, so that the rounding of the timer to 1 ms does not
            // accumulate and slow the engine down.
            deadline += self.step_duration(prompt_tokens);
            tokio::time::sleep_until(deadline).await;
            self.emit();
            // A loop that is late by more than one step must not catch up with a burst of steps.
            deadline = deadline.max(Instant::now() - self.step_duration(0));
        }
    }

    fn apply(&mut self, command: Command) {
        match command {
            Command::Run(sequence) => self.waiting.push_back(sequence),
            Command::Cancel(id) => {
                let (running, shared) = (&mut self.running, &self.shared);
                running.retain(|Running { sequence, .. }| {
                    sequence.request_id != id || record_cancelled(shared, sequence)
                });
                self.waiting.retain(|sequence| {
                    sequence.request_id != id || record_cancelled(shared, sequence)
                });
            }
        }
    }

    /// Cancels the sequences whose caller no longer reads the output.
    fn cancel_disconnected(&mut self) {
        let (running, shared) = (&mut self.running, &self.shared);
        running.retain(|Running { sequence, .. }| {
            !sequence.sender.is_closed() || record_cancelled(shared, sequence)
        });
        self.waiting
            .retain(|sequence| !sequence.sender.is_closed() || record_cancelled(shared, sequence));
    }

    /// Moves waiting sequences into free slots.
    fn admit(&mut self) {
        let mut cache = lock(&self.shared.cache);
        while self.running.len() < self.settings.slots {
            let Some(sequence) = self.waiting.pop_front() else {
                return;
            };
            // A prompt token counts as four bytes, as in `answer::count_tokens`.
            let cached = cache.lookup_and_store(&sequence.prefixes).div_ceil(4) as u32;
            let remaining_prompt = sequence.prompt_tokens.saturating_sub(cached);
            self.running.push(Running {
                sequence,
                remaining_prompt,
            });
        }
    }

    /// Processes prompt tokens in order of arrival and returns how many were processed in this step.
    fn prefill(&mut self) -> u32 {
        let limit = self.settings.prefill_chunk.max(1);
        let mut remaining = limit;
        for running in &mut self.running {
            let processed = running.remaining_prompt.min(remaining);
            running.remaining_prompt -= processed;
            remaining -= processed;
        }
        limit - remaining
    }

    /// Returns the duration of a step that processes `prompt_tokens` prompt tokens.
    fn step_duration(&self, prompt_tokens: u32) -> Duration {
        let settings = &self.settings;
        let sequences = self.running.len() as f64 * settings.step_sequence_ms;
        let prefill = f64::from(prompt_tokens) * settings.prefill_ms / 1_000.0;
        let ms = settings.step_base_ms + sequences + prefill;
        Duration::from_secs_f64(ms.max(0.01) / 1_000.0)
    }

    /// Produces the output tokens of one step and removes the sequences that are complete.
    fn emit(&mut self) {
        let per_step = self.settings.tokens_per_step.max(1);
        let mut executions = lock(&self.shared.executions);
        self.running.retain_mut(|running| {
            if running.remaining_prompt > 0 {
                return true;
            }
            let sequence = &mut running.sequence;
            let count = sequence.remaining_output.min(per_step);
            sequence.remaining_output -= count;
            let execution = &mut executions[sequence.execution];
            execution.output_tokens += count;
            let done = sequence.remaining_output == 0;
            if done {
                execution.progress = Progress::Completed;
            }
            // If the receiver is closed, `cancel_disconnected` removes the sequence before the next step.
            let _ = sequence.sender.send(Event::Tokens(count));
            if done {
                let _ = sequence.sender.send(Event::Done);
            }
            !done
        });
    }

    fn sample_load(&self) {
        let load = Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            slots: self.settings.slots,
        };
        let mut samples = lock(&self.shared.load_samples);
        samples.push_back((Time::now(), load));
        if samples.len() > MAX_LOAD_SAMPLES {
            samples.pop_front();
        }
    }
}

/// Records in the execution log that a sequence was cancelled. Returns false, so that `retain` removes the sequence.
fn record_cancelled(shared: &Shared, sequence: &Sequence) -> bool {
    let mut executions = lock(&shared.executions);
    executions[sequence.execution].progress = Progress::Cancelled;
    false
}
