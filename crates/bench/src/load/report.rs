//! Report on a run: measurements and check results, as JSON and as a table.

use std::fmt;

use hdrhistogram::Histogram;
use primrose_base::verdict::Verdict;
use serde::{Deserialize, Serialize};

use super::check::Check;
use super::fairness::{self, Gap, Series};
use super::history::{Attempt, Kind, Outcome};
use super::run::{self, INTERVAL_MS, Record, Tokens};
use super::settings::{Settings, Weights};

/// Number of token-counting intervals per second.
const INTERVALS_PER_SECOND: usize = (1_000 / INTERVAL_MS) as usize;

/// Distribution of a duration: number of values, and quantiles in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of measured values.
    pub count: u64,
    /// Median, in ms.
    pub p50: f64,
    /// 95th percentile, in ms.
    pub p95: f64,
    /// 99th percentile, in ms.
    pub p99: f64,
    /// Largest value, in ms.
    pub max: f64,
}

/// Attempts with the same outcome, status, error code and verdict.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Outcome of the attempts.
    pub outcome: Outcome,
    /// HTTP status; 0 if no answer arrived.
    pub status: u16,
    /// Error code from the body of the error answer.
    pub code: Option<String>,
    /// Verdict from the header of the error answer.
    pub verdict: Option<Verdict>,
    /// Number of attempts.
    pub count: usize,
}

/// Measurements for one account within the measured time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account in the settings.
    pub name: String,
    /// Share of the capacity, relative to the other accounts.
    pub share: f64,
    /// Whether the account always had a request waiting.
    pub backlogged: bool,
    /// Number of complete answers.
    pub served: usize,
    /// Number of attempts that were answered with an error status.
    pub refused: usize,
    /// Number of attempts with any other outcome.
    pub failed: usize,
    /// Time to the first token of streamed requests.
    pub first_token: Quantiles,
    /// Weighted tokens per second, divided by the share.
    pub service_per_s: f64,
    /// Prompt and output tokens in each second of the whole run, including the warm-up.
    pub tokens_per_s: Vec<u64>,
}

/// Report on a run.
///
/// All rates and quantiles cover the measured time, which begins after the warm-up and ends when no further call
/// starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Length of the measured time, in s.
    pub measured_s: f64,
    /// Number of attempts in the whole run.
    pub attempts: usize,
    /// Number of complete answers in the whole run.
    pub served: usize,
    /// Number of attempts that were not the first of their call.
    pub resent: usize,
    /// Number of open-loop calls that were not sent because `in_flight_limit` was reached.
    pub unsent: u64,
    /// Number of event streams whose connection broke.
    pub broken_streams: usize,
    /// All attempts of the whole run, grouped by outcome, status, error code and verdict.
    pub outcomes: Vec<Group>,
    /// Complete answers per second.
    pub requests_per_s: f64,
    /// Output tokens per second.
    pub output_per_s: f64,
    /// Events with output tokens per second.
    pub events_per_s: f64,
    /// Weighted tokens per second.
    pub weighted_per_s: f64,
    /// Time to the first token of streamed requests.
    pub first_token: Quantiles,
    /// Time between consecutive events with tokens of streamed requests.
    pub token_gap: Quantiles,
    /// Time to the complete answer of model requests.
    pub answer: Quantiles,
    /// Time to the complete answer of plain calls.
    pub plain: Quantiles,
    /// Measurements per account, in the order of the settings.
    pub accounts: Vec<Account>,
    /// Largest fairness gap between backlogged accounts, in weighted tokens per share, from intervals of 100 ms.
    pub fairness: Gap,
    /// Largest fairness gap with which the run passes, in weighted tokens per share.
    pub gap_bound: Option<f64>,
    /// Mean number of running sequences divided by the number of slots in the settings.
    pub slot_utilisation: Option<f64>,
    /// Weighted tokens per second divided by the throughput at direct saturation.
    pub utilisation: Option<f64>,
    /// Check of the answers against the execution logs.
    pub check: Check,
}

impl Report {
    /// Computes the report from the measurements of a run and the result of its check.
    pub fn new(settings: &Settings, record: &Record, check: Check) -> Report {
        let window = Window::new(settings, record);
        let is_complete = |attempt: &&Attempt| attempt.outcome == Outcome::Complete;
        let measured: Vec<&Attempt> = record
            .history
            .iter()
            .filter(|attempt| window.contains(attempt))
            .collect();
        let served = measured.iter().copied().filter(is_complete).count();
        let total = record
            .tokens
            .iter()
            .map(|tokens| window.sum(tokens))
            .fold(Tokens::default(), add);
        let weighted_per_s = weigh(settings.weights, total) / window.seconds;
        Report {
            seed: settings.seed,
            measured_s: window.seconds,
            attempts: record.history.len(),
            served: record.history.iter().filter(is_complete).count(),
            resent: record
                .history
                .iter()
                .filter(|attempt| attempt.number > 0)
                .count(),
            unsent: record.unsent,
            broken_streams: record
                .history
                .iter()
                .filter(|attempt| is_broken_stream(attempt))
                .count(),
            outcomes: group_outcomes(&record.history),
            requests_per_s: served as f64 / window.seconds,
            output_per_s: total.output as f64 / window.seconds,
            events_per_s: total.events as f64 / window.seconds,
            weighted_per_s,
            first_token: time_to_first_token(&measured),
            token_gap: quantiles(&record.gaps),
            answer: time_to_answer(&measured, |kind| kind != Kind::Plain),
            plain: time_to_answer(&measured, |kind| kind == Kind::Plain),
            accounts: accounts(settings, record, &window, &measured),
            fairness: fairness::largest_gap(&service_series(settings, record, &window)),
            gap_bound: settings.gap_bound,
            slot_utilisation: slot_utilisation(settings, record),
            utilisation: settings
                .saturation
                .map(|saturation| weighted_per_s / saturation),
            check,
        }
    }

    /// Returns whether the run passes: no violation, all logs read and a fairness gap within the bound.
    ///
    /// A run without a single complete answer proves nothing and does not pass.
    pub fn passes(&self) -> bool {
        let bound = self.gap_bound.unwrap_or(f64::INFINITY);
        self.served > 0 && self.fairness.gap <= bound && self.check.passes()
    }
}

/// The measured time of a run, after the warm-up.
struct Window {
    /// Index of the first interval.
    from: usize,
    /// Index after the last interval.
    to: usize,
    /// Length, in s.
    seconds: f64,
}

impl Window {
    fn new(settings: &Settings, record: &Record) -> Window {
        let end_s = settings
            .duration_s
            .min(record.duration_s)
            .max(settings.warmup_s);
        let interval = |seconds: f64| (seconds * INTERVALS_PER_SECOND as f64) as usize;
        Window {
            from: interval(settings.warmup_s),
            to: interval(end_s).max(interval(settings.warmup_s) + 1),
            seconds: (end_s - settings.warmup_s).max(1.0 / INTERVALS_PER_SECOND as f64),
        }
    }

    fn contains(&self, attempt: &Attempt) -> bool {
        let interval = (attempt.end_us / (INTERVAL_MS * 1_000)) as usize;
        interval >= self.from && interval < self.to
    }

    /// Returns the total of the intervals within the measured time.
    fn sum(&self, tokens: &[Tokens]) -> Tokens {
        let inside = &tokens[self.from.min(tokens.len())..self.to.min(tokens.len())];
        inside.iter().copied().fold(Tokens::default(), add)
    }
}

fn add(a: Tokens, b: Tokens) -> Tokens {
    Tokens {
        input: a.input + b.input,
        output: a.output + b.output,
        events: a.events + b.events,
    }
}

/// Returns the weighted sum of prompt and output tokens.
fn weigh(weights: Weights, tokens: Tokens) -> f64 {
    weights.input * tokens.input as f64 + weights.output * tokens.output as f64
}

fn is_broken_stream(attempt: &Attempt) -> bool {
    attempt.kind == Kind::Stream && attempt.outcome == Outcome::Broken
}

/// Groups the attempts by outcome, status, error code and verdict.
fn group_outcomes(history: &[Attempt]) -> Vec<Group> {
    let mut keys: Vec<_> = history
        .iter()
        .map(|attempt| {
            (
                attempt.outcome,
                attempt.status,
                attempt.code.as_deref(),
                attempt.verdict,
            )
        })
        .collect();
    keys.sort_unstable();
    let chunks = keys.chunk_by(|a, b| a == b);
    chunks
        .map(|group| Group {
            outcome: group[0].0,
            status: group[0].1,
            code: group[0].2.map(str::to_owned),
            verdict: group[0].3,
            count: group.len(),
        })
        .collect()
}

/// Returns the time to the first token of streamed requests.
fn time_to_first_token(attempts: &[&Attempt]) -> Quantiles {
    let streams = attempts
        .iter()
        .filter(|attempt| attempt.kind == Kind::Stream);
    let times =
        streams.filter_map(|attempt| Some(attempt.first_us?.saturating_sub(attempt.start_us)));
    quantiles_of(times)
}

/// Returns the time to the complete answer of calls whose kind `kind` accepts.
fn time_to_answer(attempts: &[&Attempt], kind: impl Fn(Kind) -> bool) -> Quantiles {
    let complete = attempts
        .iter()
        .filter(|attempt| attempt.outcome == Outcome::Complete && kind(attempt.kind));
    quantiles_of(complete.map(|attempt| attempt.end_us - attempt.start_us))
}

/// Returns the quantiles in ms of times in µs.
fn quantiles_of(times: impl Iterator<Item = u64>) -> Quantiles {
    let mut histogram = run::histogram();
    times.for_each(|time| histogram.saturating_record(time));
    quantiles(&histogram)
}

/// Returns the quantiles in ms of a histogram in µs.
pub fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles {
        count: histogram.len(),
        p50: quantile_ms(0.5),
        p95: quantile_ms(0.95),
        p99: quantile_ms(0.99),
        max: histogram.max() as f64 / 1_000.0,
    }
}

fn accounts(
    settings: &Settings,
    record: &Record,
    window: &Window,
    measured: &[&Attempt],
) -> Vec<Account> {
    let account = |(index, account): (usize, &super::settings::Account)| {
        let own: Vec<&Attempt> = measured
            .iter()
            .copied()
            .filter(|attempt| attempt.account == index)
            .collect();
        let count = |outcome| {
            own.iter()
                .filter(|attempt| attempt.outcome == outcome)
                .count()
        };
        let (served, refused) = (count(Outcome::Complete), count(Outcome::Refused));
        let service = weigh(settings.weights, window.sum(&record.tokens[index]));
        Account {
            name: account.name.clone(),
            share: account.share,
            backlogged: account.behaviour.is_backlogged(),
            served,
            refused,
            failed: own.len() - served - refused,
            first_token: time_to_first_token(&own),
            service_per_s: service / account.share / window.seconds,
            tokens_per_s: tokens_per_second(&record.tokens[index]),
        }
    };
    settings.accounts.iter().enumerate().map(account).collect()
}

/// Returns the prompt and output tokens in each second, up to the last second with tokens.
fn tokens_per_second(tokens: &[Tokens]) -> Vec<u64> {
    let second = |intervals: &[Tokens]| {
        intervals
            .iter()
            .map(|tokens| tokens.input + tokens.output)
            .sum()
    };
    let mut seconds: Vec<u64> = tokens.chunks(INTERVALS_PER_SECOND).map(second).collect();
    let used = seconds
        .iter()
        .rposition(|count| *count > 0)
        .map_or(0, |last| last + 1);
    seconds.truncate(used);
    seconds
}

/// Returns the cumulative service of each backlogged account within the measured time.
fn service_series(settings: &Settings, record: &Record, window: &Window) -> Vec<Series> {
    let mut series = Vec::new();
    for (account, tokens) in settings.accounts.iter().zip(&record.tokens) {
        if !account.behaviour.is_backlogged() {
            continue;
        }
        let mut sum = 0.0;
        let inside = &tokens[window.from.min(tokens.len())..window.to.min(tokens.len())];
        let charges = inside.iter().map(|tokens| weigh(settings.weights, *tokens));
        let cumulative = charges.map(|charge| {
            sum += charge / account.share;
            sum
        });
        series.push(Series {
            account: account.name.clone(),
            group: account.model.clone(),
            service: std::iter::once(0.0).chain(cumulative).collect(),
        });
    }
    series
}

fn slot_utilisation(settings: &Settings, record: &Record) -> Option<f64> {
    let slots = f64::from(settings.slots?);
    let samples = record.running.len();
    let total: usize = record.running.iter().sum();
    (samples > 0).then(|| total as f64 / samples as f64 / slots)
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Quantiles {
            count,
            p50,
            p95,
            p99,
            max,
        } = self;
        write!(f, "{count:>9} {p50:>9.2} {p95:>9.2} {p99:>9.2} {max:>9.2}")
    }
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = format!("{:?}", self.outcome);
        let code = self.code.as_deref().unwrap_or("-");
        let verdict = self.verdict.map_or("-", Verdict::as_str);
        write!(
            f,
            "{outcome:<12} {:>4} {code:<24} {verdict:<13} {:>9}",
            self.status, self.count
        )
    }
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.backlogged { "backlogged" } else { "" };
        write!(f, "{:<14} {:>5} {:>8} ", self.name, self.share, self.served)?;
        write!(f, "{:>8} {:>8} ", self.refused, self.failed)?;
        write!(
            f,
            "{:>10.1} {:>16.1} {mark}",
            self.first_token.p95, self.service_per_s
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, measured {:.1} s", self.seed, self.measured_s)?;
        write!(f, "attempts {}, served {}, ", self.attempts, self.served)?;
        write!(f, "resent {}, unsent {}, ", self.resent, self.unsent)?;
        writeln!(f, "broken streams {}", self.broken_streams)?;
        for group in &self.outcomes {
            writeln!(f, "  {group}")?;
        }
        self.write_rates(f)?;
        writeln!(
            f,
            "account          share   served  refused   failed  first p95  service/share/s"
        )?;
        for account in &self.accounts {
            writeln!(f, "  {account}")?;
        }
        self.write_scheduling(f)?;
        self.write_check(f)?;
        write!(f, "{}", if self.passes() { "PASS" } else { "FAIL" })
    }
}

impl Report {
    fn write_rates(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "per second: requests {:.1}, ", self.requests_per_s)?;
        write!(f, "output tokens {:.1}, ", self.output_per_s)?;
        write!(f, "weighted tokens {:.1}, ", self.weighted_per_s)?;
        writeln!(f, "token events {:.1}", self.events_per_s)?;
        writeln!(
            f,
            "time in ms        count       p50       p95       p99       max"
        )?;
        writeln!(f, "  first token {}", self.first_token)?;
        writeln!(f, "  token gap   {}", self.token_gap)?;
        writeln!(f, "  model       {}", self.answer)?;
        writeln!(f, "  plain       {}", self.plain)
    }

    fn write_scheduling(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let gap = &self.fairness;
        write!(f, "fairness gap {:.0} ", gap.gap)?;
        if gap.gap > 0.0 {
            write!(f, "({} ahead of {}) ", gap.ahead, gap.behind)?;
        }
        match self.gap_bound {
            Some(bound) => writeln!(f, "of at most {bound:.0}")?,
            None => writeln!(f, "without a bound")?,
        }
        let percent = |share: Option<f64>| {
            share.map_or("-".to_owned(), |share| format!("{:.1}%", share * 100.0))
        };
        write!(
            f,
            "utilisation: of slots {}, ",
            percent(self.slot_utilisation)
        )?;
        writeln!(f, "of direct saturation {}", percent(self.utilisation))
    }

    fn write_check(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let check = &self.check;
        write!(
            f,
            "check: {} attempts, {} executions, ",
            check.attempts, check.executions
        )?;
        write!(f, "{} violations, ", check.violations.len())?;
        writeln!(f, "{} logs unread", check.unread.len())?;
        for violation in check.violations.iter().take(MAX_LISTED_VIOLATIONS) {
            writeln!(f, "  {:?} {}", violation.rule, violation.nonce)?;
        }
        Ok(())
    }
}

/// Maximum number of violations listed in the table; the JSON report contains all of them.
const MAX_LISTED_VIOLATIONS: usize = 20;
