//! Direct runs: saturation of the stand-ins, and what the path through an entry host costs compared with them.

use std::fmt;

use hdrhistogram::Histogram;
use miette::{Context, IntoDiagnostic, Result, ensure};
use serde::{Deserialize, Serialize};

use super::check::{self, Check};
use super::history::{Attempt, Kind, Outcome};
use super::report::{Quantiles, Report, quantiles};
use super::run::{self, Record};
use super::settings::{Account, Behaviour, Settings, Spread};

/// Ticks per second in `/proc/PID/stat`; Linux fixes this value for user space on the usual architectures.
const TICKS_PER_S: f64 = 100.0;

/// Calls in flight per slot in a saturation run; above 1 so that a sequence always waits.
const SATURATION_DEPTH: f64 = 1.25;

/// Runs the workload of the backlogged accounts against the stand-ins in `direct`, with more calls in flight than slots.
///
/// # Errors
///
/// Returns an error if the settings name no stand-ins or slots.
pub async fn saturate(settings: &Settings) -> Result<Report> {
    let slots = settings
        .slots
        .context("saturate needs the number of slots")?;
    ensure!(
        !settings.direct.is_empty(),
        "saturate needs the addresses in `direct`"
    );
    let mut direct = settings.clone();
    direct.targets.clone_from(&settings.direct);
    direct.spread = Spread::Account;
    direct.accounts = saturating(settings, f64::from(slots));
    direct.gap_bound = None;
    direct.saturation = None;
    let record = run::run(&direct).await?;
    let check = check::run(&direct, &record.history).await;
    Ok(Report::new(&direct, &record, check))
}

/// One closed loop per account and stand-in, with calls in flight by share.
///
/// All stand-ins then get the mix that a fair router gives them, and no queue runs empty, as a random spread would
/// let happen.
fn saturating(settings: &Settings, slots: f64) -> Vec<Account> {
    let servers = settings.direct.len();
    let backlogged = settings
        .accounts
        .iter()
        .filter(|one| one.behaviour.is_backlogged());
    let mut chosen: Vec<&Account> = backlogged.collect();
    if chosen.is_empty() {
        chosen = settings.accounts.iter().collect();
    }
    let shares: f64 = chosen.iter().map(|one| one.share).sum();
    let mut accounts = Vec::new();
    // With `Spread::Account` the target of an account is its index modulo the number of stand-ins.
    for account in chosen {
        let in_flight = slots * SATURATION_DEPTH / servers as f64 * account.share / shares;
        for server in 0..servers {
            let mut copy = account.clone();
            copy.name = format!("{}-{server}", account.name);
            copy.behaviour = Behaviour::Backlogged {
                in_flight: in_flight.ceil() as usize,
            };
            copy.plain = None;
            accounts.push(copy);
        }
    }
    accounts
}

/// Figures of one side of the comparison, over all rounds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Side {
    /// Whole answer of model requests without streaming and of plain calls.
    pub answer: Quantiles,
    /// First token of streamed requests.
    pub first_token: Quantiles,
    /// Time between tokens.
    pub token_gap: Quantiles,
    /// Whole answers per second.
    pub requests_per_s: f64,
    /// Events with tokens per second.
    pub events_per_s: f64,
    /// CPU time of the given processes per second of time, in cores.
    pub cores: f64,
    /// Attempts that did not end with a whole answer.
    pub failed: usize,
}

/// Result of the comparison.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Overhead {
    /// Without an entry host.
    pub direct: Side,
    /// Through an entry host.
    pub through: Side,
    /// Check of the answers and the logs over all rounds.
    pub check: Check,
}

/// Alternates between the direct way and the way through `targets` for `rounds` rounds.
///
/// The two ways alternate, so that a change of the machine's other load affects both.
///
/// # Errors
///
/// Returns an error if the settings name no stand-ins in `direct` or a process cannot be read.
pub async fn measure(settings: &Settings, rounds: u32) -> Result<Overhead> {
    ensure!(
        !settings.direct.is_empty(),
        "overhead needs the addresses in `direct`"
    );
    let mut direct = settings.clone();
    direct.targets.clone_from(&settings.direct);
    direct.plain_targets.clear();
    let (mut first, mut second) = (Sum::new(), Sum::new());
    for round in 0..rounds {
        first.add(&direct, round, "direct").await?;
        second.add(settings, round, "through").await?;
    }
    let mut history = std::mem::take(&mut first.history);
    history.append(&mut second.history);
    Ok(Overhead {
        direct: first.side(),
        through: second.side(),
        check: check::run(settings, &history).await,
    })
}

/// Measurements of one side so far.
struct Sum {
    answer: Histogram<u64>,
    first_token: Histogram<u64>,
    gaps: Histogram<u64>,
    events: u64,
    served: usize,
    failed: usize,
    seconds: f64,
    cpu_s: f64,
    history: Vec<Attempt>,
}

impl Sum {
    fn new() -> Sum {
        Sum {
            answer: run::histogram(),
            first_token: run::histogram(),
            gaps: run::histogram(),
            events: 0,
            served: 0,
            failed: 0,
            seconds: 0.0,
            cpu_s: 0.0,
            history: Vec::new(),
        }
    }

    async fn add(&mut self, settings: &Settings, round: u32, side: &str) -> Result<()> {
        let mut settings = settings.clone();
        let run = settings.run.unwrap_or_default();
        settings.run = Some(format!("{run}{side}-{round}-{}", run::time_of_start()));
        // Everything counts, so that figures and CPU time cover the same span.
        settings.warmup_s = 0.0;
        let cpu = cpu_s(&settings.processes)?;
        let record = run::run(&settings).await?;
        self.cpu_s += cpu_s(&settings.processes)? - cpu;
        self.take(record)
    }

    fn take(&mut self, record: Record) -> Result<()> {
        let end_us = record
            .history
            .iter()
            .map(|one| one.end_us)
            .max()
            .unwrap_or(0);
        self.seconds += end_us as f64 / 1e6;
        self.gaps.add(&record.gaps).into_diagnostic()?;
        self.events += record
            .tokens
            .iter()
            .flatten()
            .map(|one| one.events)
            .sum::<u64>();
        for attempt in &record.history {
            if attempt.outcome != Outcome::Complete {
                self.failed += 1;
                continue;
            }
            self.served += 1;
            if attempt.kind == Kind::Stream {
                let first = attempt.first_us.unwrap_or(attempt.end_us);
                self.first_token.saturating_record(first - attempt.start_us);
            } else {
                self.answer
                    .saturating_record(attempt.end_us - attempt.start_us);
            }
        }
        self.history.extend(record.history);
        Ok(())
    }

    fn side(&self) -> Side {
        Side {
            answer: quantiles(&self.answer),
            first_token: quantiles(&self.first_token),
            token_gap: quantiles(&self.gaps),
            requests_per_s: self.served as f64 / self.seconds,
            events_per_s: self.events as f64 / self.seconds,
            cores: self.cpu_s / self.seconds,
            failed: self.failed,
        }
    }
}

/// CPU time of `processes` so far, in s.
///
/// # Errors
///
/// Returns an error if a process does not exist.
pub fn cpu_s(processes: &[u32]) -> Result<f64> {
    let mut ticks = 0;
    for process in processes {
        let path = format!("/proc/{process}/stat");
        let stat = std::fs::read_to_string(&path)
            .into_diagnostic()
            .wrap_err_with(|| format!("process {process} cannot be read"))?;
        ticks += parse_ticks(&stat).with_context(|| format!("{path} has an unknown format"))?;
    }
    Ok(ticks as f64 / TICKS_PER_S)
}

/// User and system time (fields 14 and 15) of a line of `/proc/PID/stat`, in ticks.
pub fn parse_ticks(stat: &str) -> Option<u64> {
    // The name of the program, field 2, may hold spaces and parentheses.
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_ascii_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

impl fmt::Display for Overhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (direct, through) = (&self.direct, &self.through);
        writeln!(
            f,
            "time in ms             direct              through             added"
        )?;
        writeln!(
            f,
            "                  p50       p99       p50       p99       p50       p99"
        )?;
        for (name, one, two) in [
            ("answer", direct.answer, through.answer),
            ("first token", direct.first_token, through.first_token),
            ("token gap", direct.token_gap, through.token_gap),
        ] {
            let (p50, p99) = (two.p50 - one.p50, two.p99 - one.p99);
            writeln!(
                f,
                "  {name:<11} {:>8.3} {:>9.3} {:>9.3} {:>9.3} {p50:>9.3} {p99:>9.3}",
                one.p50, one.p99, two.p50, two.p99
            )?;
        }
        for (name, side) in [("direct", direct), ("through", through)] {
            writeln!(
                f,
                "  {name:<8} requests/s {:>9.1}  token events/s {:>9.1}  cores {:>6.3}  failed {}",
                side.requests_per_s, side.events_per_s, side.cores, side.failed
            )?;
        }
        if through.cores > 0.0 {
            let (requests, events) = (
                through.requests_per_s / through.cores,
                through.events_per_s / through.cores,
            );
            writeln!(
                f,
                "  per core: {requests:.1} requests/s, {events:.1} token events/s"
            )?;
        }
        write!(
            f,
            "check: {} violations, {} logs unread",
            self.check.violations.len(),
            self.check.unread.len()
        )
    }
}
