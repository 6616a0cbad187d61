//! Drives the accounts and collects the history.

use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use miette::Result;
use primrose_engine::batch::Load;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::client::{self, Pool, Received};
use super::history::{Attempt, Outcome};
use super::settings::{Behaviour, Settings};
use super::workload::{self, Call};

/// Length of the intervals in which tokens are counted, in ms.
pub const INTERVAL_MS: u64 = 100;

/// Time between two readings of the load of the model engines, in ms.
const LOAD_PERIOD_MS: u64 = 250;

/// Everything that a run leaves behind.
#[derive(Debug)]
pub struct Record {
    /// Attempts in order of their end.
    pub history: Vec<Attempt>,
    /// Prompt and output tokens of each account in each interval.
    pub tokens: Vec<Vec<Tokens>>,
    /// Time between two events with tokens, in µs, of the attempts that ended within the measured time.
    pub gaps: Histogram<u64>,
    /// Sequences that ran on the model engines at each reading.
    pub running: Vec<usize>,
    /// Open-loop calls that were not sent because too many were in flight.
    pub unsent: u64,
    /// Time from the start until the last call was started, in s.
    pub duration_s: f64,
}

/// Tokens served in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Prompt tokens, counted when the first output token arrives.
    pub input: u64,
    /// Output tokens, counted when they arrive.
    pub output: u64,
    /// Events with output tokens; a JSON answer is one event.
    pub events: u64,
}

#[derive(Debug, Default)]
struct Interval {
    input: AtomicU64,
    output: AtomicU64,
    events: AtomicU64,
}

struct Shared {
    settings: Settings,
    run: String,
    pool: Pool,
    start: Instant,
    /// End of the time in which calls start.
    end: Instant,
    left: AtomicI64,
    next: AtomicU64,
    open: AtomicUsize,
    unsent: AtomicU64,
    intervals: Vec<Vec<Interval>>,
    history: Mutex<Vec<Attempt>>,
    gaps: Mutex<Histogram<u64>>,
    running: Mutex<Vec<usize>>,
}

/// Runs the accounts of `settings` and waits for the last answer.
///
/// # Errors
///
/// Returns an error if the settings are out of range.
pub async fn run(settings: &Settings) -> Result<Record> {
    settings.validate()?;
    let shared = Arc::new(Shared::new(settings.clone()));
    let sampler = tokio::spawn(sample(Arc::clone(&shared)));
    let mut accounts = JoinSet::new();
    for index in 0..settings.accounts.len() {
        match settings.accounts[index].behaviour {
            Behaviour::Backlogged { in_flight } => {
                for worker in 0..in_flight {
                    accounts.spawn(closed(Arc::clone(&shared), index, worker));
                }
            }
            Behaviour::Open { rate } | Behaviour::Flood { rate } => {
                accounts.spawn(open(Arc::clone(&shared), index, rate));
            }
        }
    }
    let mut duration_s = 0.0_f64;
    while let Some(ended) = accounts.join_next().await {
        // A panic in a worker is a fault of this program and must not look like a good run.
        let ended = ended.unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()));
        duration_s = duration_s.max(ended);
    }
    sampler.abort();
    Ok(shared.record(duration_s))
}

impl Shared {
    fn new(settings: Settings) -> Shared {
        let start = Instant::now();
        let longest_s = settings.duration_s + settings.timeout_s * 4.0;
        let count = (longest_s * 1_000.0 / INTERVAL_MS as f64) as usize + 2;
        let intervals = || (0..count).map(|_| Interval::default()).collect();
        Shared {
            run: settings.run.clone().unwrap_or_else(unix_time_hex),
            pool: client::pool(),
            start,
            end: start + Duration::from_secs_f64(settings.duration_s),
            left: AtomicI64::new(settings.requests.map_or(i64::MAX, |count| count as i64)),
            next: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            unsent: AtomicU64::new(0),
            intervals: settings.accounts.iter().map(|_| intervals()).collect(),
            history: Mutex::default(),
            gaps: Mutex::new(histogram()),
            running: Mutex::default(),
            settings,
        }
    }

    /// Draws the next call, or none if the run is over.
    fn draw(&self, account: usize, random: &mut StdRng) -> Option<Call> {
        if Instant::now() >= self.end || self.left.fetch_sub(1, Ordering::Relaxed) <= 0 {
            return None;
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let nonce = format!("{}-{account}-{number}", self.run);
        Some(workload::draw(
            account,
            &self.settings.accounts[account],
            nonce,
            random,
        ))
    }

    fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn micros(&self, at: Instant) -> u64 {
        (at - self.start).as_micros() as u64
    }

    fn count(&self, account: usize, input: u32, output: u32) {
        let at = self.start.elapsed().as_millis() as u64 / INTERVAL_MS;
        if let Some(interval) = self.intervals[account].get(at as usize) {
            add(&interval.input, u64::from(input));
            add(&interval.output, u64::from(output));
            add(&interval.events, 1);
        }
    }

    fn is_measured(&self, at_us: u64) -> bool {
        let at_s = at_us as f64 / 1e6;
        at_s >= self.settings.warmup_s && at_s < self.settings.duration_s
    }

    fn record(&self, duration_s: f64) -> Record {
        let tokens = |interval: &Interval| Tokens {
            input: interval.input.load(Ordering::Relaxed),
            output: interval.output.load(Ordering::Relaxed),
            events: interval.events.load(Ordering::Relaxed),
        };
        let account = |intervals: &Vec<Interval>| intervals.iter().map(tokens).collect();
        Record {
            history: std::mem::take(&mut lock(&self.history)),
            tokens: self.intervals.iter().map(account).collect(),
            gaps: lock(&self.gaps).clone(),
            running: std::mem::take(&mut lock(&self.running)),
            unsent: self.unsent.load(Ordering::Relaxed),
            duration_s,
        }
    }
}

fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A histogram of µs up to one hour with three digits.
pub fn histogram() -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!());
    histogram.auto(true);
    histogram
}

/// The wall-clock time in ms as hexadecimal digits, to tell runs apart.
pub(crate) fn unix_time_hex() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    format!("{:x}", since.map_or(0, |since| since.as_millis()))
}

/// A generator for one worker of one account.
fn generator(seed: u64, account: usize, worker: usize) -> StdRng {
    StdRng::seed_from_u64(seed ^ ((account as u64) << 48) ^ ((worker as u64) << 24))
}

/// Closed loop; returns when it ended, in s.
async fn closed(shared: Arc<Shared>, account: usize, worker: usize) -> f64 {
    let mut random = generator(shared.settings.seed, account, worker);
    while let Some(call) = shared.draw(account, &mut random) {
        let outcome = perform(&shared, &call, &mut random).await;
        // A target that refuses at once must not be called in a tight loop.
        if outcome != Outcome::Complete {
            tokio::time::sleep(Duration::from_millis(REFUSED_PAUSE_MS)).await;
        }
    }
    shared.seconds()
}

/// Pause of a closed loop after a call that was not served, in ms.
const REFUSED_PAUSE_MS: u64 = 10;

/// Open loop; returns when the last call was started, in s.
async fn open(shared: Arc<Shared>, account: usize, rate: f64) -> f64 {
    let mut random = generator(shared.settings.seed, account, 0);
    let mut calls = JoinSet::new();
    let mut at = Instant::now();
    loop {
        at += Duration::from_secs_f64(workload::gap(rate, &mut random));
        tokio::time::sleep_until(at).await;
        while calls.try_join_next().is_some() {}
        let Some(call) = shared.draw(account, &mut random) else {
            break;
        };
        if shared.open.load(Ordering::Relaxed) >= shared.settings.in_flight_limit {
            shared.unsent.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        shared.open.fetch_add(1, Ordering::Relaxed);
        let (shared, mut random) = (Arc::clone(&shared), StdRng::seed_from_u64(random.random()));
        calls.spawn(async move {
            perform(&shared, &call, &mut random).await;
            shared.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
    let ended = shared.seconds();
    while calls.join_next().await.is_some() {}
    ended
}

/// Makes the attempts of one call and returns how the last one ended.
async fn perform(shared: &Shared, call: &Call, random: &mut StdRng) -> Outcome {
    let mut target = shared.settings.choose(call, random);
    let mut number = 0;
    loop {
        let outcome = attempt(shared, call, target, number).await;
        if !outcome.is_lost() || number >= call.resends {
            return outcome;
        }
        target = shared.settings.choose_other(call, target, random);
        number += 1;
    }
}

/// Makes one attempt and records it.
async fn attempt(shared: &Shared, call: &Call, target: usize, number: u32) -> Outcome {
    let delay = Duration::from_millis(shared.settings.delay_ms);
    let start = Instant::now();
    pause(delay).await;
    let mut received = Received::default();
    let outcome = send(shared, call, target, number, &mut received).await;
    pause(delay).await;
    if shared.is_measured(shared.micros(Instant::now())) {
        let mut gaps = lock(&shared.gaps);
        for gap in received.gaps_us.drain(..) {
            gaps.saturating_record(gap);
        }
    }
    let attempt = Attempt {
        account: call.account,
        target,
        nonce: call.nonce.clone(),
        number,
        kind: call.kind,
        non_idempotent: call.non_idempotent,
        key: call.key.clone(),
        start_us: shared.micros(start),
        first_us: received
            .first_token
            .map(|first| shared.micros(first + delay)),
        end_us: shared.micros(Instant::now()),
        outcome,
        status: received.status,
        code: received.code,
        verdict: received.verdict,
        contradiction: received.contradiction,
        request_id: received.request_id,
        prompt_tokens: call.prompt,
        output_tokens: received.tokens,
    };
    lock(&shared.history).push(attempt);
    outcome
}

/// Exchanges request and answer until the answer ends or the caller gives up.
async fn send(
    shared: &Shared,
    call: &Call,
    target: usize,
    number: u32,
    received: &mut Received,
) -> Outcome {
    let settings = &shared.settings;
    let first = AtomicBool::new(true);
    let progress = |tokens| {
        let prompt = if first.swap(false, Ordering::Relaxed) {
            call.prompt
        } else {
            0
        };
        shared.count(call.account, prompt, tokens);
    };
    let address = settings.targets_of(call.kind)[target];
    let key = &settings.accounts[call.account].key;
    let exchange = client::exchange(&shared.pool, address, key, call, received, &progress);
    let (limit_s, otherwise) = match call.abandon_ms.filter(|_| number == 0) {
        Some(ms) => (ms / 1_000.0, Outcome::Abandoned),
        None => (settings.timeout_s, Outcome::TimedOut),
    };
    tokio::time::timeout(Duration::from_secs_f64(limit_s), exchange)
        .await
        .unwrap_or(otherwise)
}

async fn pause(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}

/// Reads the load of the model engines until the end of the measured time.
async fn sample(shared: Arc<Shared>) {
    let settings = &shared.settings;
    if settings.loads.is_empty() {
        return;
    }
    tokio::time::sleep(Duration::from_secs_f64(settings.warmup_s)).await;
    while Instant::now() < shared.end {
        let mut running = 0;
        for address in &settings.loads {
            let load = client::get::<Load>(&shared.pool, *address, "/load").await;
            running += load.map_or(0, |load| load.running);
        }
        lock(&shared.running).push(running);
        tokio::time::sleep(Duration::from_millis(LOAD_PERIOD_MS)).await;
    }
}
