//! Runs directly against the stand-ins: their saturation throughput, and the overhead of the path through an entry
//! host compared with them.

use std::fmt;

use hdrhistogram::Histogram;
use miette::{Context, IntoDiagnostic, Result, ensure};
use serde::{Deserialize, Serialize};

use super::check::{self, Check};
use super::history::{Attempt, Kind, Outcome};
use super::report::{Quantiles, Report, quantiles};
use super::run::{self, Record};
use super::settings::{Account, Behaviour, Settings, Spread};

/// Clock ticks per second in `/proc/PID/stat`; Linux fixes this value for user space on the usual architectures.
const TICKS_PER_S: f64 = 100.0;

/// Calls in flight per slot in a saturation run; more than 1, so that a sequence always waits for a slot.
const SATURATION_CALLS_PER_SLOT: f64 = 1.25;

/// Runs the workload of the backlogged accounts directly against the stand-ins in `direct`.
///
/// There are more calls in flight than slots.
///
/// # Errors
///
/// Returns an error if the settings lack `direct` or `slots`, or if their values are out of range.
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
    direct.accounts = saturation_accounts(settings, f64::from(slots));
    direct.gap_bound = None;
    direct.saturation = None;
    let record = run::run(&direct).await?;
    let check = check::run(&direct, &record.history).await;
    Ok(Report::new(&direct, &record, check))
}

/// Returns one closed-loop account per backlogged account and stand-in, with calls in flight in proportion to its
/// share.
///
/// Every stand-in then receives the mix of accounts that a fair router would send, and no queue becomes empty, which
/// could happen if the calls were spread at random. If no account is backlogged, all accounts are used.
fn saturation_accounts(settings: &Settings, slots: f64) -> Vec<Account> {
    let servers = settings.direct.len();
    let backlogged = settings
        .accounts
        .iter()
        .filter(|account| account.behaviour.is_backlogged());
    let mut chosen: Vec<&Account> = backlogged.collect();
    if chosen.is_empty() {
        chosen = settings.accounts.iter().collect();
    }
    let shares: f64 = chosen.iter().map(|account| account.share).sum();
    let mut accounts = Vec::new();
    // With `Spread::Account`, the index of the target is the index of the account modulo the number of stand-ins.
    for account in chosen {
        let in_flight = slots * SATURATION_CALLS_PER_SLOT / servers as f64 * account.share / shares;
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

/// Measurements on one of the two compared paths, over all rounds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Side {
    /// Time to the complete answer, for model requests without streaming and for plain calls.
    pub answer: Quantiles,
    /// Time to the first token of streamed requests.
    pub first_token: Quantiles,
    /// Time between consecutive events with tokens.
    pub token_gap: Quantiles,
    /// Complete answers per second.
    pub requests_per_s: f64,
    /// Events with output tokens per second.
    pub events_per_s: f64,
    /// CPU time of the processes in the settings per second of wall-clock time, in cores.
    pub cores: f64,
    /// Number of attempts that did not end with a complete answer.
    pub failed: usize,
}

/// Comparison of the path through an entry host with the direct path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Overhead {
    /// Measurements on the path directly to the stand-ins.
    pub direct: Side,
    /// Measurements on the path through an entry host.
    pub through: Side,
    /// Check of the answers against the execution logs, over all rounds.
    pub check: Check,
}

/// Measures the direct path and the path through `targets`, each `rounds` times.
///
/// The runs alternate between the paths, so that changes in the other load of the machine affect both.
///
/// # Errors
///
/// Returns an error if `direct` is empty, another setting is out of range, or the CPU time of a process cannot be
/// read.
pub async fn measure(settings: &Settings, rounds: u32) -> Result<Overhead> {
    ensure!(
        !settings.direct.is_empty(),
        "overhead needs the addresses in `direct`"
    );
    let mut direct = settings.clone();
    direct.targets.clone_from(&settings.direct);
    direct.plain_targets.clear();
    let (mut direct_total, mut through_total) = (Total::new(), Total::new());
    for round in 0..rounds {
        direct_total.run_round(&direct, round, "direct").await?;
        through_total.run_round(settings, round, "through").await?;
    }
    let mut history = std::mem::take(&mut direct_total.history);
    history.append(&mut through_total.history);
    Ok(Overhead {
        direct: direct_total.side(),
        through: through_total.side(),
        check: check::run(settings, &history).await,
    })
}

/// Measurements on one path, accumulated over the rounds so far.
struct Total {
    /// Times to the complete answer, in µs.
    answer: Histogram<u64>,
    /// Times to the first token, in µs.
    first_token: Histogram<u64>,
    /// Times between events with tokens, in µs.
    gaps: Histogram<u64>,
    events: u64,
    served: usize,
    failed: usize,
    seconds: f64,
    cpu_s: f64,
    history: Vec<Attempt>,
}

impl Total {
    fn new() -> Total {
        Total {
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

    /// Runs one round and adds its measurements. `side` keeps the nonces of the two paths apart.
    async fn run_round(&mut self, settings: &Settings, round: u32, side: &str) -> Result<()> {
        let mut settings = settings.clone();
        let run = settings.run.unwrap_or_default();
        settings.run = Some(format!("{run}{side}-{round}-{}", run::unix_time_hex()));
        // Without a warm-up the measurements and the CPU time cover the same time span.
        settings.warmup_s = 0.0;
        let cpu_before_s = cpu_s(&settings.processes)?;
        let record = run::run(&settings).await?;
        self.cpu_s += cpu_s(&settings.processes)? - cpu_before_s;
        self.add(record)
    }

    fn add(&mut self, record: Record) -> Result<()> {
        let end_us = record
            .history
            .iter()
            .map(|attempt| attempt.end_us)
            .max()
            .unwrap_or(0);
        self.seconds += end_us as f64 / 1e6;
        self.gaps.add(&record.gaps).into_diagnostic()?;
        self.events += record
            .tokens
            .iter()
            .flatten()
            .map(|tokens| tokens.events)
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

/// Returns the total user and system CPU time that `processes` have used so far, in s.
///
/// # Errors
///
/// Returns an error if a process does not exist or its `/proc/PID/stat` cannot be parsed.
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

/// Returns the sum of user and system time (fields 14 and 15) of a line of `/proc/PID/stat`, in clock ticks.
pub fn parse_ticks(stat: &str) -> Option<u64> {
    // Field 2, the program name in parentheses, may itself contain spaces and parentheses.
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
        for (name, direct, through) in [
            ("answer", direct.answer, through.answer),
            ("first token", direct.first_token, through.first_token),
            ("token gap", direct.token_gap, through.token_gap),
        ] {
            let (p50, p99) = (through.p50 - direct.p50, through.p99 - direct.p99);
            writeln!(
                f,
                "  {name:<11} {:>8.3} {:>9.3} {:>9.3} {:>9.3} {p50:>9.3} {p99:>9.3}",
                direct.p50, direct.p99, through.p50, through.p99
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
