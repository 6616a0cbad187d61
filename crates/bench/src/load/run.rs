//! Sends the calls of all accounts and records the attempts and measurements.

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

/// Interval between two samples of the load of the model engines, in ms.
const LOAD_SAMPLE_INTERVAL_MS: u64 = 250;

/// History and measurements of a run.
#[derive(Debug)]
pub struct Record {
    /// All attempts, in the order in which they ended.
    pub history: Vec<Attempt>,
    /// Tokens by account, in the order of the settings, and by interval of [`INTERVAL_MS`].
    pub tokens: Vec<Vec<Tokens>>,
    /// Times between consecutive events with tokens, in µs, of the attempts that ended within the measured time.
    pub gaps: Histogram<u64>,
    /// Number of sequences running on all model engines, per load sample.
    pub running: Vec<usize>,
    /// Number of open-loop calls that were not sent because `in_flight_limit` was reached.
    pub unsent: u64,
    /// Time from the start of the run until its accounts stopped starting calls, in s.
    pub duration_s: f64,
}

/// Tokens served in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Number of prompt tokens, counted when the first output token arrives.
    pub input: u64,
    /// Number of output tokens, counted when they arrive.
    pub output: u64,
    /// Number of events with output tokens; a JSON answer is one event.
    pub events: u64,
}

/// [`Tokens`] of an interval while the run is in progress.
#[derive(Debug, Default)]
struct Interval {
    input: AtomicU64,
    output: AtomicU64,
    events: AtomicU64,
}

/// State shared by the tasks of a run.
struct Shared {
    settings: Settings,
    /// Identifier of the run, with which every nonce begins.
    run: String,
    pool: Pool,
    start: Instant,
    /// Time after which no call starts.
    end: Instant,
    /// Number of calls that may still start.
    calls_left: AtomicI64,
    /// Number of the next call.
    next_call: AtomicU64,
    /// Open-loop calls in flight.
    open_in_flight: AtomicUsize,
    unsent: AtomicU64,
    /// By account and interval.
    intervals: Vec<Vec<Interval>>,
    history: Mutex<Vec<Attempt>>,
    gaps: Mutex<Histogram<u64>>,
    running: Mutex<Vec<usize>>,
}

/// Sends the calls of all accounts in `settings` and waits until the last call has ended.
///
/// # Errors
///
/// Returns an error if the settings are out of range.
pub async fn run(settings: &Settings) -> Result<Record> {
    settings.validate()?;
    let shared = Arc::new(Shared::new(settings.clone()));
    let sampler = tokio::spawn(sample_load(Arc::clone(&shared)));
    let mut accounts = JoinSet::new();
    for index in 0..settings.accounts.len() {
        match settings.accounts[index].behaviour {
            Behaviour::Backlogged { in_flight } => {
                for worker in 0..in_flight {
                    accounts.spawn(run_closed_loop(Arc::clone(&shared), index, worker));
                }
            }
            Behaviour::Open { rate } | Behaviour::Flood { rate } => {
                accounts.spawn(run_open_loop(Arc::clone(&shared), index, rate));
            }
        }
    }
    let mut duration_s = 0.0_f64;
    while let Some(ended) = accounts.join_next().await {
        // A panic in a worker is a bug in this program. It is propagated, so that the run cannot pass.
        let ended = ended.unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()));
        duration_s = duration_s.max(ended);
    }
    sampler.abort();
    Ok(shared.take_record(duration_s))
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
            calls_left: AtomicI64::new(settings.requests.map_or(i64::MAX, |count| count as i64)),
            next_call: AtomicU64::new(0),
            open_in_flight: AtomicUsize::new(0),
            unsent: AtomicU64::new(0),
            intervals: settings.accounts.iter().map(|_| intervals()).collect(),
            history: Mutex::default(),
            gaps: Mutex::new(histogram()),
            running: Mutex::default(),
            settings,
        }
    }

    /// Draws the next call of an account. Returns `None` if the time or the number of calls of the run is used up.
    fn next_call(&self, account: usize, random: &mut StdRng) -> Option<Call> {
        if Instant::now() >= self.end || self.calls_left.fetch_sub(1, Ordering::Relaxed) <= 0 {
            return None;
        }
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let nonce = format!("{}-{account}-{number}", self.run);
        Some(workload::draw(
            account,
            &self.settings.accounts[account],
            nonce,
            random,
        ))
    }

    /// Time since the start of the run, in s.
    fn elapsed_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Time from the start of the run to `at`, in µs.
    fn time_us(&self, at: Instant) -> u64 {
        (at - self.start).as_micros() as u64
    }

    /// Adds one event with tokens to the current interval.
    fn count_tokens(&self, account: usize, input: u32, output: u32) {
        let interval = self.start.elapsed().as_millis() as u64 / INTERVAL_MS;
        if let Some(interval) = self.intervals[account].get(interval as usize) {
            add(&interval.input, u64::from(input));
            add(&interval.output, u64::from(output));
            add(&interval.events, 1);
        }
    }

    /// Returns whether a point in time, in µs since the start, is within the measured time.
    fn is_measured(&self, at_us: u64) -> bool {
        let at_s = at_us as f64 / 1e6;
        at_s >= self.settings.warmup_s && at_s < self.settings.duration_s
    }

    /// Takes the history and measurements of the finished run.
    fn take_record(&self, duration_s: f64) -> Record {
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

/// Creates an empty histogram for times in µs, with three significant digits.
///
/// It is created for values up to one hour and resizes itself for larger ones.
pub fn histogram() -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!());
    histogram.auto(true);
    histogram
}

/// Returns the Unix time in ms as hexadecimal digits, which tells runs apart.
pub(crate) fn unix_time_hex() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    format!("{:x}", since.map_or(0, |since| since.as_millis()))
}

/// Creates the random number generator of one worker of one account, seeded differently for each of them.
fn worker_rng(seed: u64, account: usize, worker: usize) -> StdRng {
    StdRng::seed_from_u64(seed ^ ((account as u64) << 48) ^ ((worker as u64) << 24))
}

/// Sends one call after another; the next one starts when the previous one has ended.
///
/// Returns the time from the start of the run until the loop ended, in s.
async fn run_closed_loop(shared: Arc<Shared>, account: usize, worker: usize) -> f64 {
    let mut random = worker_rng(shared.settings.seed, account, worker);
    while let Some(call) = shared.next_call(account, &mut random) {
        let outcome = run_call(&shared, &call, &mut random).await;
        // Without a pause, a target that refuses at once would be called in a tight loop.
        if outcome != Outcome::Complete {
            tokio::time::sleep(Duration::from_millis(UNSERVED_PAUSE_MS)).await;
        }
    }
    shared.elapsed_s()
}

/// Pause of a closed loop after a call without a complete answer, in ms.
const UNSERVED_PAUSE_MS: u64 = 10;

/// Starts calls at random times, independently of the answers, and waits until all of them have ended.
///
/// Returns the time from the start of the run until it stopped starting calls, in s.
async fn run_open_loop(shared: Arc<Shared>, account: usize, rate: f64) -> f64 {
    let mut random = worker_rng(shared.settings.seed, account, 0);
    let mut calls = JoinSet::new();
    let mut next_start = Instant::now();
    loop {
        next_start += Duration::from_secs_f64(workload::exponential_gap_s(rate, &mut random));
        tokio::time::sleep_until(next_start).await;
        while calls.try_join_next().is_some() {}
        let Some(call) = shared.next_call(account, &mut random) else {
            break;
        };
        if shared.open_in_flight.load(Ordering::Relaxed) >= shared.settings.in_flight_limit {
            shared.unsent.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        shared.open_in_flight.fetch_add(1, Ordering::Relaxed);
        let (shared, mut random) = (Arc::clone(&shared), StdRng::seed_from_u64(random.random()));
        calls.spawn(async move {
            run_call(&shared, &call, &mut random).await;
            shared.open_in_flight.fetch_sub(1, Ordering::Relaxed);
        });
    }
    let ended = shared.elapsed_s();
    while calls.join_next().await.is_some() {}
    ended
}

/// Makes the attempts of one call and returns the outcome of the last one.
async fn run_call(shared: &Shared, call: &Call, random: &mut StdRng) -> Outcome {
    let mut target = shared.settings.choose_target(call, random);
    let mut number = 0;
    loop {
        let outcome = run_attempt(shared, call, target, number).await;
        if !outcome.is_lost() || number >= call.resends {
            return outcome;
        }
        target = shared.settings.choose_other_target(call, target, random);
        number += 1;
    }
}

/// Makes one attempt and records it, with the configured delay before and after the exchange.
async fn run_attempt(shared: &Shared, call: &Call, target: usize, number: u32) -> Outcome {
    let delay = Duration::from_millis(shared.settings.delay_ms);
    let start = Instant::now();
    pause(delay).await;
    let mut received = Received::default();
    let outcome = send(shared, call, target, number, &mut received).await;
    pause(delay).await;
    if shared.is_measured(shared.time_us(Instant::now())) {
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
        start_us: shared.time_us(start),
        first_us: received
            .first_token
            .map(|first| shared.time_us(first + delay)),
        end_us: shared.time_us(Instant::now()),
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

/// Sends the request and receives the answer until it ends or the caller drops the connection.
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
        shared.count_tokens(call.account, prompt, tokens);
    };
    let address = settings.targets_for(call.kind)[target];
    let key = &settings.accounts[call.account].key;
    let exchange = client::exchange(&shared.pool, address, key, call, received, &progress);
    let (limit_s, outcome_at_limit) = match call.abandon_ms.filter(|_| number == 0) {
        Some(ms) => (ms / 1_000.0, Outcome::Abandoned),
        None => (settings.timeout_s, Outcome::TimedOut),
    };
    tokio::time::timeout(Duration::from_secs_f64(limit_s), exchange)
        .await
        .unwrap_or(outcome_at_limit)
}

async fn pause(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}

/// Samples the load of the model engines from the end of the warm-up until no further call starts.
async fn sample_load(shared: Arc<Shared>) {
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
        tokio::time::sleep(Duration::from_millis(LOAD_SAMPLE_INTERVAL_MS)).await;
    }
}
