//! Retry budget: decides whether a request that failed is sent again.
//!
//! In each sliding window of [`WINDOW_MS`] an account may have at most as many retries as 10% of its requests
//! plus 10. The window moves in steps of [`SLICE_MS`], so it covers between 55 and 60 s. Each host counts only its
//! own requests.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::verdict::Verdict;

/// Length of the window, in ms. It is long enough that 10% is a meaningful number for an account with one request per
/// second, and short enough that one burst of failures does not use up the retries for the next burst.
pub const WINDOW_MS: u64 = 60_000;

/// Step by which the window moves, in ms.
pub const SLICE_MS: u64 = 5_000;

/// Retries that an account may have per hundred requests in the window.
pub const BUDGET_PERCENT: u32 = 10;

/// Retries that an account may have in the window in addition to [`BUDGET_PERCENT`] of its requests.
pub const BASE_RETRIES: u32 = 10;

/// How often one request is sent at most, including the first attempt.
pub const MAX_ATTEMPTS: u32 = 3;

const SLICES: usize = (WINDOW_MS / SLICE_MS) as usize;

/// Why a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The request has not run.
    NotRun,
    /// The request may have run, but is idempotent, and no byte of an answer has been passed on to the caller.
    Idempotent,
}

impl Reason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Reason; 2] = [Reason::NotRun, Reason::Idempotent];

    /// Returns the name of the counter of such retries.
    pub const fn code(self) -> &'static str {
        match self {
            Reason::NotRun => "retry_not_run",
            Reason::Idempotent => "retry_idempotent",
        }
    }
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// The complete answer was received.
    Complete,
    /// Bytes of an answer have been passed on to the caller, and a second answer would be appended to them.
    Delivered,
    /// The request may have run and must not run twice.
    NonIdempotent,
    /// The request was sent [`MAX_ATTEMPTS`] times.
    Attempts,
    /// The account has used up its retry budget.
    Budget,
}

impl Refusal {
    /// All variants, in the order of their declaration.
    pub const ALL: [Refusal; 5] = [
        Refusal::Complete,
        Refusal::Delivered,
        Refusal::NonIdempotent,
        Refusal::Attempts,
        Refusal::Budget,
    ];

    /// Returns the name of the counter of such refusals.
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

/// The state of a request whose last attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What is known about the execution of the request.
    pub verdict: Verdict,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Bytes of an answer that were passed on to the caller.
    pub delivered_bytes: u64,
    /// How often the request has been sent.
    pub attempts: u32,
}

/// Decides whether the request may be sent again, without regard to the budget.
///
/// # Errors
///
/// Returns the first [`Refusal`] that applies.
pub fn check(failure: &Failure) -> Result<Reason, Refusal> {
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
        Verdict::NotRun => Ok(Reason::NotRun),
        Verdict::MayHaveRun | Verdict::Complete => Ok(Reason::Idempotent),
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    requests: u32,
    retries: u32,
}

/// Counts of one account over the sliding window.
#[derive(Clone, Debug)]
struct Window {
    account: id::Account,
    /// Ring buffer; slice number `n` is at index `n % SLICES`.
    slices: [Slice; SLICES],
    /// Number of the latest slice with a count.
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
        retries < requests * u64::from(BUDGET_PERCENT) / 100 + u64::from(BASE_RETRIES)
    }
}

/// The retry budgets of all accounts at one host.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Sorted by account.
    windows: Vec<Window>,
}

impl Budget {
    /// Creates the budgets without any counts.
    pub fn new() -> Budget {
        Budget::default()
    }

    /// Counts a new request of the account. Retries are not counted here.
    pub fn count_request(&mut self, now: Time, account: id::Account) {
        self.window(now, account).current(now).requests += 1;
    }

    /// Decides whether a failed request is sent again, and counts the retry if it is.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] to count and to tell the caller.
    pub fn decide(
        &mut self,
        now: Time,
        account: id::Account,
        failure: &Failure,
    ) -> Result<Reason, Refusal> {
        let reason = check(failure)?;
        let window = self.window(now, account);
        window.current(now);
        if !window.has_budget() {
            return Err(Refusal::Budget);
        }
        window.current(now).retries += 1;
        Ok(reason)
    }

    /// Removes accounts without requests in the window. Must be called regularly to bound memory use.
    pub fn expire(&mut self, now: Time) {
        let oldest = (now.as_ms() / SLICE_MS).saturating_sub(SLICES as u64);
        self.windows.retain(|window| window.latest > oldest);
    }

    /// Returns the number of accounts with counts in memory.
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
