//! Figures of a run, as JSON and as a table.

use std::fmt;

use hdrhistogram::Histogram;
use primrose_base::verdict::Verdict;
use serde::{Deserialize, Serialize};

use super::check::Check;
use super::fairness::{self, Gap, Series};
use super::history::{Attempt, Kind, Outcome};
use super::run::{self, INTERVAL_MS, Record, Tokens};
use super::settings::{Settings, Weights};

/// Intervals per second.
const PER_SECOND: usize = (1_000 / INTERVAL_MS) as usize;

/// Quantiles of a time, in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Greatest value.
    pub max: f64,
}

/// Attempts that ended alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// How they ended.
    pub outcome: Outcome,
    /// HTTP status, 0 without an answer.
    pub status: u16,
    /// Code of the error.
    pub code: Option<String>,
    /// Verdict of the error.
    pub verdict: Option<Verdict>,
    /// Number of attempts.
    pub count: usize,
}

/// Figures of one account in the measured time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name.
    pub name: String,
    /// Share.
    pub share: f64,
    /// Whether it always had a request waiting.
    pub backlogged: bool,
    /// Whole answers.
    pub served: usize,
    /// Refused attempts.
    pub refused: usize,
    /// Attempts that ended otherwise.
    pub failed: usize,
    /// First token of streamed requests.
    pub first_token: Quantiles,
    /// Weighted tokens per second and share.
    pub service_per_s: f64,
    /// Prompt and output tokens in each second of the whole run.
    pub tokens_per_s: Vec<u64>,
}

/// Figures of a run. All rates and quantiles are of the measured time: after the warm-up and before the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Measured time, in s.
    pub measured_s: f64,
    /// Attempts of the whole run.
    pub attempts: usize,
    /// Whole answers of the whole run.
    pub served: usize,
    /// Attempts after the first of a call.
    pub resent: usize,
    /// Open-loop calls that were not sent because of the limit on calls in flight.
    pub unsent: u64,
    /// Event streams that broke.
    pub broken_streams: usize,
    /// All attempts of the whole run by how they ended.
    pub outcomes: Vec<Group>,
    /// Whole answers per second.
    pub requests_per_s: f64,
    /// Output tokens per second.
    pub output_per_s: f64,
    /// Events with output tokens per second.
    pub events_per_s: f64,
    /// Weighted tokens per second.
    pub weighted_per_s: f64,
    /// First token of streamed requests.
    pub first_token: Quantiles,
    /// Time between tokens of streamed requests.
    pub token_gap: Quantiles,
    /// Whole answer of model requests.
    pub answer: Quantiles,
    /// Whole answer of plain calls.
    pub plain: Quantiles,
    /// Accounts in the order of the settings.
    pub accounts: Vec<Account>,
    /// Greatest fairness gap between backlogged accounts, in weighted tokens per share; intervals of 100 ms.
    pub fairness: Gap,
    /// Greatest gap that passes.
    pub gap_bound: Option<f64>,
    /// Mean number of running sequences as a share of the given slots.
    pub slot_utilisation: Option<f64>,
    /// Weighted tokens per second as a share of direct saturation.
    pub utilisation: Option<f64>,
    /// Comparison with the execution logs.
    pub check: Check,
}

impl Report {
    /// Computes the figures.
    pub fn new(settings: &Settings, record: &Record, check: Check) -> Report {
        let window = Window::new(settings, record);
        let whole = |one: &&Attempt| one.outcome == Outcome::Complete;
        let measured: Vec<&Attempt> = record
            .history
            .iter()
            .filter(|one| window.holds(one))
            .collect();
        let served = measured.iter().copied().filter(whole).count();
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
            served: record.history.iter().filter(whole).count(),
            resent: record.history.iter().filter(|one| one.number > 0).count(),
            unsent: record.unsent,
            broken_streams: record
                .history
                .iter()
                .filter(|one| is_broken_stream(one))
                .count(),
            outcomes: groups(&record.history),
            requests_per_s: served as f64 / window.seconds,
            output_per_s: total.output as f64 / window.seconds,
            events_per_s: total.events as f64 / window.seconds,
            weighted_per_s,
            first_token: first_token(&measured),
            token_gap: quantiles(&record.gaps),
            answer: answer(&measured, |kind| kind != Kind::Plain),
            plain: answer(&measured, |kind| kind == Kind::Plain),
            accounts: accounts(settings, record, &window, &measured),
            fairness: fairness::largest_gap(&series(settings, record, &window)),
            gap_bound: settings.gap_bound,
            slot_utilisation: slot_utilisation(settings, record),
            utilisation: settings.saturation.map(|most| weighted_per_s / most),
            check,
        }
    }

    /// Whether all checks hold. A run without a single whole answer shows nothing and does not pass.
    pub fn passes(&self) -> bool {
        let bound = self.gap_bound.unwrap_or(f64::INFINITY);
        self.served > 0 && self.fairness.gap <= bound && self.check.passes()
    }
}

/// The measured time.
struct Window {
    from: usize,
    to: usize,
    seconds: f64,
}

impl Window {
    fn new(settings: &Settings, record: &Record) -> Window {
        let end_s = settings
            .duration_s
            .min(record.duration_s)
            .max(settings.warmup_s);
        let interval = |seconds: f64| (seconds * PER_SECOND as f64) as usize;
        Window {
            from: interval(settings.warmup_s),
            to: interval(end_s).max(interval(settings.warmup_s) + 1),
            seconds: (end_s - settings.warmup_s).max(1.0 / PER_SECOND as f64),
        }
    }

    fn holds(&self, attempt: &Attempt) -> bool {
        let at = (attempt.end_us / (INTERVAL_MS * 1_000)) as usize;
        at >= self.from && at < self.to
    }

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

fn weigh(weights: Weights, tokens: Tokens) -> f64 {
    weights.input * tokens.input as f64 + weights.output * tokens.output as f64
}

fn is_broken_stream(attempt: &Attempt) -> bool {
    attempt.kind == Kind::Stream && attempt.outcome == Outcome::Broken
}

fn groups(history: &[Attempt]) -> Vec<Group> {
    let mut keys: Vec<_> = history
        .iter()
        .map(|one| (one.outcome, one.status, one.code.as_deref(), one.verdict))
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

fn first_token(attempts: &[&Attempt]) -> Quantiles {
    let streams = attempts.iter().filter(|one| one.kind == Kind::Stream);
    let times = streams.filter_map(|one| Some(one.first_us?.saturating_sub(one.start_us)));
    collected(times)
}

fn answer(attempts: &[&Attempt], kind: impl Fn(Kind) -> bool) -> Quantiles {
    let whole = attempts
        .iter()
        .filter(|one| one.outcome == Outcome::Complete && kind(one.kind));
    collected(whole.map(|one| one.end_us - one.start_us))
}

fn collected(times: impl Iterator<Item = u64>) -> Quantiles {
    let mut histogram = run::histogram();
    times.for_each(|time| histogram.saturating_record(time));
    quantiles(&histogram)
}

/// Quantiles in ms of a histogram in µs.
pub fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles {
        count: histogram.len(),
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
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
            .filter(|one| one.account == index)
            .collect();
        let count = |outcome| own.iter().filter(|one| one.outcome == outcome).count();
        let (served, refused) = (count(Outcome::Complete), count(Outcome::Refused));
        let service = weigh(settings.weights, window.sum(&record.tokens[index]));
        Account {
            name: account.name.clone(),
            share: account.share,
            backlogged: account.behaviour.is_backlogged(),
            served,
            refused,
            failed: own.len() - served - refused,
            first_token: first_token(&own),
            service_per_s: service / account.share / window.seconds,
            tokens_per_s: per_second(&record.tokens[index]),
        }
    };
    settings.accounts.iter().enumerate().map(account).collect()
}

/// Tokens in each second, up to the last one with any.
fn per_second(tokens: &[Tokens]) -> Vec<u64> {
    let second = |part: &[Tokens]| part.iter().map(|one| one.input + one.output).sum();
    let mut seconds: Vec<u64> = tokens.chunks(PER_SECOND).map(second).collect();
    let used = seconds
        .iter()
        .rposition(|count| *count > 0)
        .map_or(0, |last| last + 1);
    seconds.truncate(used);
    seconds
}

fn series(settings: &Settings, record: &Record, window: &Window) -> Vec<Series> {
    let mut series = Vec::new();
    for (account, tokens) in settings.accounts.iter().zip(&record.tokens) {
        if !account.behaviour.is_backlogged() {
            continue;
        }
        let mut sum = 0.0;
        let inside = &tokens[window.from.min(tokens.len())..window.to.min(tokens.len())];
        let charges = inside.iter().map(|one| weigh(settings.weights, *one));
        let rising = charges.map(|charge| {
            sum += charge / account.share;
            sum
        });
        series.push(Series {
            account: account.name.clone(),
            group: account.model.clone(),
            service: std::iter::once(0.0).chain(rising).collect(),
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
        self.show_rates(f)?;
        writeln!(
            f,
            "account          share   served  refused   failed  first p95  service/share/s"
        )?;
        for account in &self.accounts {
            writeln!(f, "  {account}")?;
        }
        self.show_scheduling(f)?;
        self.show_check(f)?;
        write!(f, "{}", if self.passes() { "PASS" } else { "FAIL" })
    }
}

impl Report {
    fn show_rates(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
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

    fn show_scheduling(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
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

    fn show_check(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let check = &self.check;
        write!(
            f,
            "check: {} attempts, {} executions, ",
            check.attempts, check.executions
        )?;
        write!(f, "{} violations, ", check.violations.len())?;
        writeln!(f, "{} logs unread", check.unread.len())?;
        for violation in check.violations.iter().take(SHOWN_VIOLATIONS) {
            writeln!(f, "  {:?} {}", violation.rule, violation.nonce)?;
        }
        Ok(())
    }
}

/// Violations in the table; the JSON report has them all.
const SHOWN_VIOLATIONS: usize = 20;
