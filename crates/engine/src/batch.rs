//! Continuous batching: one loop runs the steps of all sequences.
//!
//! The loop admits sequences in order of arrival and knows no priorities, as the real engines do.

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

/// Length of the text that one cached prefix adds to the one before it, in bytes.
pub const PREFIX_BYTES: usize = 1_024;

/// Cache events kept for `GET /cache-events`; older ones are lost.
const KEPT_EVENTS: usize = 10_000;

/// Load samples kept; at one per step of 10 ms they reach back 40 s.
const KEPT_SAMPLES: usize = 4_096;

/// What a sequence sends to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// So many further tokens.
    Tokens(u32),
    /// The answer is whole. A channel that closes without this was cancelled.
    Done,
}

/// A sequence to run.
#[derive(Debug)]
pub(crate) struct Sequence {
    /// Position of its execution in the log.
    pub(crate) execution: usize,
    /// The `x-request-id`, for cancelling.
    pub(crate) request_id: String,
    /// Prefixes of the prompt, shortest first.
    pub(crate) prefixes: Vec<Prefix>,
    /// Prompt tokens.
    pub(crate) prompt: u32,
    /// Output tokens still to produce.
    pub(crate) output: u32,
    /// Receiver of the tokens; the sequence is cancelled when it is closed.
    pub(crate) sender: mpsc::UnboundedSender<Event>,
}

#[derive(Debug)]
struct Running {
    sequence: Sequence,
    /// Prompt tokens still to read.
    prefill: u32,
}

/// A prefix of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Prefix {
    /// The first 16 hexadecimal digits of the SHA-256 of the prefix.
    pub hash: String,
    /// Length of the prefix in bytes.
    pub bytes: usize,
}

/// The prefixes of `prompt` that the cache knows: each multiple of [`PREFIX_BYTES`], or the whole of a shorter prompt.
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

/// A change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Number of the event; missing numbers are lost events.
    pub number: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
    /// The prefix.
    pub prefix: Prefix,
}

/// The answer to `GET /load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Sequences in the batch.
    pub running: usize,
    /// Sequences that wait for a place in the batch.
    pub waiting: usize,
    /// Places in the batch.
    pub slots: usize,
}

/// Prefixes in memory, least recently used first out.
#[derive(Debug)]
struct Cache {
    /// Sorted by prefix; the second field is the time of the last use.
    entries: Vec<(Prefix, u64)>,
    capacity: usize,
    uses: u64,
    /// Events that are published once they are old enough, oldest first.
    events: VecDeque<(Time, Change)>,
    next_event: u64,
    loss: f64,
    random: StdRng,
}

impl Cache {
    /// Stores `prefix` and returns whether it was there before.
    fn touch(&mut self, prefix: &Prefix) -> bool {
        self.uses += 1;
        match self.entries.binary_search_by(|entry| entry.0.cmp(prefix)) {
            Ok(at) => {
                self.entries[at].1 = self.uses;
                true
            }
            Err(at) => {
                self.entries.insert(at, (prefix.clone(), self.uses));
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
        let oldest = (0..self.entries.len()).min_by_key(|at| self.entries[*at].1);
        if let Some(at) = oldest {
            let (prefix, _) = self.entries.remove(at);
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
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Stores the prefixes and returns the length of the longest one that was cached, in bytes.
    fn admit(&mut self, prefixes: &[Prefix]) -> usize {
        let mut cached = 0;
        let mut unbroken = true;
        for prefix in prefixes {
            unbroken &= self.touch(prefix);
            if unbroken {
                cached = prefix.bytes;
            }
        }
        cached
    }
}

/// What the step loop shares with the requests.
#[derive(Debug)]
struct Shared {
    cache: Mutex<Cache>,
    samples: Mutex<VecDeque<(Time, Load)>>,
    executions: Mutex<Vec<Execution>>,
}

/// Handle of the step loop.
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
    /// Queues a sequence.
    pub(crate) fn run(&self, sequence: Sequence) {
        // The loop ends only together with the service; the closed channel then breaks the answer.
        let _ = self.sender.send(Command::Run(sequence));
    }

    /// Cancels the sequences with this request id.
    pub(crate) fn cancel(&self, request_id: &str) {
        let _ = self.sender.send(Command::Cancel(request_id.to_owned()));
    }

    /// Adds an execution to the log and returns its position.
    pub(crate) fn start(&self, execution: Execution) -> usize {
        let mut executions = lock(&self.shared.executions);
        executions.push(execution);
        executions.len() - 1
    }

    /// Gives access to the log.
    pub(crate) fn executions<T>(&self, access: impl FnOnce(&mut Vec<Execution>) -> T) -> T {
        access(&mut lock(&self.shared.executions))
    }

    /// The load as it was `lag_ms` ago.
    pub(crate) fn load(&self, lag_ms: u64) -> Option<Load> {
        let now = Time::now();
        let samples = lock(&self.shared.samples);
        let sample = samples
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= lag_ms);
        sample.map(|(_, load)| *load)
    }

    /// Cache events from number `since` that are at least `lag_ms` old.
    pub(crate) fn changes(&self, since: u64, lag_ms: u64) -> Vec<Change> {
        let now = Time::now();
        let cache = lock(&self.shared.cache);
        cache
            .events
            .iter()
            .filter(|(at, change)| change.number >= since && now.since(*at) >= lag_ms)
            .map(|(_, change)| change.clone())
            .collect()
    }

    /// Whether the cache holds `prefix`.
    pub(crate) fn holds(&self, prefix: &Prefix) -> bool {
        let cache = lock(&self.shared.cache);
        cache
            .entries
            .binary_search_by(|entry| entry.0.cmp(prefix))
            .is_ok()
    }

    /// Stores `prefix` without computing it.
    pub(crate) fn import(&self, prefix: &Prefix) {
        lock(&self.shared.cache).touch(prefix);
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the step loop.
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
        samples: Mutex::new(VecDeque::new()),
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

struct Batch {
    settings: Settings,
    running: Vec<Running>,
    waiting: VecDeque<Sequence>,
    shared: Arc<Shared>,
}

impl Batch {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Command>) {
        let mut deadline = Instant::now();
        loop {
            self.sample();
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
            self.drop_closed();
            self.admit();
            self.sample();
            let read = self.prefill();
            // Deadlines add up, so that the rounding of the timer to 1 ms does not slow the engine down.
            deadline += self.step_time(read);
            tokio::time::sleep_until(deadline).await;
            self.emit();
            // An engine that is late by more than a step does not catch up with a burst of steps.
            deadline = deadline.max(Instant::now() - self.step_time(0));
        }
    }

    fn apply(&mut self, command: Command) {
        match command {
            Command::Run(sequence) => self.waiting.push_back(sequence),
            Command::Cancel(id) => {
                let (running, shared) = (&mut self.running, &self.shared);
                running.retain(|one| {
                    one.sequence.request_id != id || cancelled(shared, &one.sequence)
                });
                self.waiting
                    .retain(|one| one.request_id != id || cancelled(shared, one));
            }
        }
    }

    fn drop_closed(&mut self) {
        let (running, shared) = (&mut self.running, &self.shared);
        running.retain(|one| !one.sequence.sender.is_closed() || cancelled(shared, &one.sequence));
        self.waiting
            .retain(|one| !one.sender.is_closed() || cancelled(shared, one));
    }

    fn admit(&mut self) {
        let mut cache = lock(&self.shared.cache);
        while self.running.len() < self.settings.slots {
            let Some(sequence) = self.waiting.pop_front() else {
                return;
            };
            let cached = cache.admit(&sequence.prefixes).div_ceil(4) as u32;
            let prefill = sequence.prompt.saturating_sub(cached);
            self.running.push(Running { sequence, prefill });
        }
    }

    /// Reads prompts in order of arrival and returns the tokens read in this step.
    fn prefill(&mut self) -> u32 {
        let mut left = self.settings.prefill_chunk.max(1);
        let whole = left;
        for one in &mut self.running {
            let read = one.prefill.min(left);
            one.prefill -= read;
            left -= read;
        }
        whole - left
    }

    fn step_time(&self, read: u32) -> Duration {
        let settings = &self.settings;
        let sequences = self.running.len() as f64 * settings.step_sequence_ms;
        let prefill = f64::from(read) * settings.prefill_ms / 1_000.0;
        let ms = settings.step_base_ms + sequences + prefill;
        Duration::from_secs_f64(ms.max(0.01) / 1_000.0)
    }

    fn emit(&mut self) {
        let per_step = self.settings.tokens_per_step.max(1);
        let mut executions = lock(&self.shared.executions);
        self.running.retain_mut(|one| {
            if one.prefill > 0 {
                return true;
            }
            let sequence = &mut one.sequence;
            let count = sequence.output.min(per_step);
            sequence.output -= count;
            let execution = &mut executions[sequence.execution];
            execution.output_tokens += count;
            let done = sequence.output == 0;
            if done {
                execution.progress = Progress::Completed;
            }
            // A closed receiver is found before the next step.
            let _ = sequence.sender.send(Event::Tokens(count));
            if done {
                let _ = sequence.sender.send(Event::Done);
            }
            !done
        });
    }

    fn sample(&self) {
        let load = Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            slots: self.settings.slots,
        };
        let mut samples = lock(&self.shared.samples);
        samples.push_back((Time::now(), load));
        if samples.len() > KEPT_SAMPLES {
            samples.pop_front();
        }
    }
}

/// Records the end of a cancelled sequence; returns false, so that `retain` removes it.
fn cancelled(shared: &Shared, sequence: &Sequence) -> bool {
    let mut executions = lock(&shared.executions);
    executions[sequence.execution].progress = Progress::Cancelled;
    false
}
