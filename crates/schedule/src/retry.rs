//! Retry budget: whether a request that failed is sent again.
//!
//! In each sliding window of [`WINDOW_MS`] an account may have as many retries as 10% of its requests plus 10. The window
//! moves in steps of [`SLICE_MS`], so it covers between 55 and 60 s. Each host counts for itself.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::verdict::Verdict;

/// Length of the window. Long enough for the 10% to be meaningful for an account with one request per second, short
/// enough that a burst of failures does not use up the retries of the next one.
pub const WINDOW_MS: u64 = 60_000;

/// Step by which the window moves.
pub const SLICE_MS: u64 = 5_000;

/// Retries per hundred requests.
pub const PERCENT: u32 = 10;

/// Retries that are allowed besides.
pub const BASE: u32 = 10;

/// Times that one request is sent at most, with the first one.
pub const MAX_ATTEMPTS: u32 = 3;

const SLICES: usize = (WINDOW_MS / SLICE_MS) as usize;

/// Why a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ground {
    /// It has not run.
    NotRun,
    /// It may have run, but is idempotent, and no byte of an answer has reached the caller.
    Idempotent,
}

impl Ground {
    /// All grounds.
    pub const ALL: [Ground; 2] = [Ground::NotRun, Ground::Idempotent];

    /// Name of the counter.
    pub const fn code(self) -> &'static str {
        match self {
            Ground::NotRun => "retry_not_run",
            Ground::Idempotent => "retry_idempotent",
        }
    }
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// The answer was received whole.
    Complete,
    /// Bytes of an answer have reached the caller, and a second answer would be appended to them.
    Delivered,
    /// It may have run and must not run twice.
    NonIdempotent,
    /// It was sent [`MAX_ATTEMPTS`] times.
    Attempts,
    /// The account has used up its budget.
    Budget,
}

impl Refusal {
    /// All reasons of refusal.
    pub const ALL: [Refusal; 5] = [
        Refusal::Complete,
        Refusal::Delivered,
        Refusal::NonIdempotent,
        Refusal::Attempts,
        Refusal::Budget,
    ];

    /// Name of the counter.
    pub const fn code(self) -> &'static str {
        match self {
            Refusal::Complete => "no_retry_complete",
            Refusal::Delivered => "no_retry_delivered",
            Refusal::NonIdempotent => "no_retry_non_idempotent",
            Refusal::Attempts => "no_retry_attempts",
            Refusal::Budget => "no_retry_budget",
        }
    }
}

/// A request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What is known about its execution.
    pub verdict: Verdict,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Bytes of the answer that were passed on to the caller.
    pub delivered_bytes: u64,
    /// How often it has been sent.
    pub attempts: u32,
}

/// The rules that do not depend on the budget.
///
/// # Errors
///
/// Returns the first [`Refusal`] that applies.
pub fn ground(failure: &Failure) -> Result<Ground, Refusal> {
    if failure.verdict == Verdict::Complete {
        return Err(Refusal::Complete);
    }
    if failure.delivered_bytes > 0 {
        return Err(Refusal::Delivered);
    }
    if !failure.verdict.allows_retry(failure.idempotent) {
        return Err(Refusal::NonIdempotent);
    }
    if failure.attempts >= MAX_ATTEMPTS {
        return Err(Refusal::Attempts);
    }
    match failure.verdict {
        Verdict::NotRun => Ok(Ground::NotRun),
        Verdict::MayHaveRun | Verdict::Complete => Ok(Ground::Idempotent),
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    requests: u32,
    retries: u32,
}

/// Counts of one account.
#[derive(Clone, Debug)]
struct Window {
    account: id::Account,
    /// A ring; slice number `n` is at `n % SLICES`.
    slices: [Slice; SLICES],
    /// Number of the latest slice that was used.
    latest: u64,
}

impl Window {
    fn new(account: id::Account, now: Time) -> Window {
        Window {
            account,
            slices: [Slice::default(); SLICES],
            latest: now.as_ms() / SLICE_MS,
        }
    }

    fn current(&mut self, now: Time) -> &mut Slice {
        let number = now.as_ms() / SLICE_MS;
        let passed = number.saturating_sub(self.latest).min(SLICES as u64);
        for step in 1..=passed {
            self.slices[((self.latest + step) % SLICES as u64) as usize] = Slice::default();
        }
        if passed == SLICES as u64 {
            self.slices = [Slice::default(); SLICES];
        }
        self.latest = self.latest.max(number);
        &mut self.slices[(self.latest % SLICES as u64) as usize]
    }

    fn has_budget(&self) -> bool {
        let requests: u64 = self
            .slices
            .iter()
            .map(|slice| u64::from(slice.requests))
            .sum();
        let retries: u64 = self
            .slices
            .iter()
            .map(|slice| u64::from(slice.retries))
            .sum();
        retries < requests * u64::from(PERCENT) / 100 + u64::from(BASE)
    }
}

/// The retry budgets of all accounts at one host.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Sorted by account.
    windows: Vec<Window>,
}

impl Budget {
    /// Makes budgets without any use.
    pub fn new() -> Budget {
        Budget::default()
    }

    /// Counts a new request of the account, not a retry.
    pub fn count_request(&mut self, now: Time, account: id::Account) {
        self.window(now, account).current(now).requests += 1;
    }

    /// Decides whether a failed request is sent again, and counts the retry if it is.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] that the answer to the caller and the counters should show.
    pub fn decide(
        &mut self,
        now: Time,
        account: id::Account,
        failure: &Failure,
    ) -> Result<Ground, Refusal> {
        let ground = ground(failure)?;
        let window = self.window(now, account);
        window.current(now);
        if !window.has_budget() {
            return Err(Refusal::Budget);
        }
        window.current(now).retries += 1;
        Ok(ground)
    }

    /// Forgets accounts without requests in the window; called from time to time to bound the memory.
    pub fn expire(&mut self, now: Time) {
        let oldest = (now.as_ms() / SLICE_MS).saturating_sub(SLICES as u64);
        self.windows.retain(|window| window.latest > oldest);
    }

    /// Accounts that take up memory.
    pub fn accounts(&self) -> usize {
        self.windows.len()
    }

    fn window(&mut self, now: Time, account: id::Account) -> &mut Window {
        let found = self
            .windows
            .binary_search_by_key(&account, |window| window.account);
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                self.windows.insert(at, Window::new(account, now));
                at
            }
        };
        &mut self.windows[at]
    }
}
