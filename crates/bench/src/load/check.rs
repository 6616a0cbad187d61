//! Compares the history of a run with the execution logs of the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_base::verdict::Verdict;
use primrose_engine::record::{Execution, Log, Progress};
use serde::{Deserialize, Serialize};

use super::client;
use super::history::{Attempt, Outcome};
use super::settings::Settings;

/// A guarantee that a run can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// An answer holds something that belongs to another request.
    SwappedAnswer,
    /// An answer that is not whole ended like a whole one.
    TruncatedAnswer,
    /// An answer is whole, but no execution completed.
    CompleteWithoutExecution,
    /// An error says "complete", but no execution completed.
    FalseComplete,
    /// An error says "not run", but an execution started.
    NotRunButStarted,
    /// A non-idempotent call started more than once.
    ExecutedTwice,
    /// Header and body of an error carry different verdicts.
    VerdictContradiction,
}

/// One broken guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The guarantee.
    pub rule: Rule,
    /// Nonce of the call.
    pub nonce: String,
}

/// Result of the comparison.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Attempts that were checked.
    pub attempts: usize,
    /// Executions in the logs that were read.
    pub executions: usize,
    /// Broken guarantees.
    pub violations: Vec<Violation>,
    /// Stand-ins whose log could not be read; the run then counts as failed, because the check is incomplete.
    pub unread: Vec<SocketAddr>,
}

impl Check {
    /// Whether every guarantee was checked and holds.
    pub fn holds(&self) -> bool {
        self.violations.is_empty() && self.unread.is_empty()
    }
}

/// Reads the logs and compares. Without addresses of logs only the answers themselves are checked.
pub async fn run(settings: &Settings, history: &[Attempt]) -> Check {
    tokio::time::sleep(Duration::from_millis(settings.settle_ms)).await;
    let pool = client::pool();
    let mut logs = Vec::new();
    let mut unread = Vec::new();
    for address in &settings.logs {
        match client::get::<Log>(&pool, *address, "/log").await {
            Ok(log) => logs.push(log),
            Err(_) => unread.push(*address),
        }
    }
    let violations = match settings.logs.is_empty() {
        true => answers(history),
        false => compare(history, &logs),
    };
    Check {
        attempts: history.len(),
        executions: logs.iter().map(|log| log.executions.len()).sum(),
        violations,
        unread,
    }
}

/// What the answers alone show.
pub fn answers(history: &[Attempt]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for attempt in history {
        let rule = match attempt.outcome {
            Outcome::Foreign => Some(Rule::SwappedAnswer),
            Outcome::Truncated => Some(Rule::TruncatedAnswer),
            _ if attempt.contradiction => Some(Rule::VerdictContradiction),
            _ => None,
        };
        violations.extend(rule.map(|rule| violation(rule, attempt)));
    }
    violations
}

/// What the answers and the logs show together.
pub fn compare(history: &[Attempt], logs: &[Log]) -> Vec<Violation> {
    let executions: Vec<&Execution> = logs.iter().flat_map(|log| &log.executions).collect();
    let index = Index {
        nonces: sorted(&executions, |one| Some(&one.nonce)),
        requests: sorted(&executions, |one| Some(&one.request_id)),
        keys: sorted(&executions, |one| one.key.as_deref()),
    };
    let mut attempts: Vec<&Attempt> = history.iter().collect();
    attempts.sort_by(|a, b| (&a.nonce, a.number).cmp(&(&b.nonce, b.number)));
    let mut violations = answers(history);
    for call in attempts.chunk_by(|a, b| a.nonce == b.nonce) {
        let rules = broken(call, &index);
        violations.extend(rules.into_iter().map(|rule| violation(rule, call[0])));
    }
    violations
}

fn violation(rule: Rule, attempt: &Attempt) -> Violation {
    Violation {
        rule,
        nonce: attempt.nonce.clone(),
    }
}

type Sorted<'a> = Vec<(&'a str, &'a Execution)>;

/// Executions sorted by nonce, by request id and by idempotency key; empty ids are left out.
struct Index<'a> {
    nonces: Sorted<'a>,
    requests: Sorted<'a>,
    keys: Sorted<'a>,
}

fn sorted<'a>(
    executions: &[&'a Execution],
    id: impl Fn(&'a Execution) -> Option<&'a str>,
) -> Sorted<'a> {
    let with_id = executions.iter().filter_map(|one| Some((id(one)?, *one)));
    let mut entries: Vec<_> = with_id.filter(|(id, _)| !id.is_empty()).collect();
    entries.sort_by_key(|(id, _)| *id);
    entries
}

fn find<'a, 'b>(entries: &'b Sorted<'a>, id: &str) -> &'b [(&'a str, &'a Execution)] {
    let start = entries.partition_point(|(one, _)| *one < id);
    let end = entries.partition_point(|(one, _)| *one <= id);
    &entries[start..end]
}

/// The rules that the attempts of one call break.
fn broken(call: &[&Attempt], index: &Index<'_>) -> Vec<Rule> {
    let runs = find(&index.nonces, &call[0].nonce);
    let completed = runs
        .iter()
        .any(|(_, run)| run.progress == Progress::Completed);
    let mut rules = Vec::new();
    let mut require = |holds: bool, rule| {
        if !holds {
            rules.push(rule);
        }
    };
    let whole = call.iter().any(|one| one.outcome == Outcome::Complete);
    require(!whole || completed, Rule::CompleteWithoutExecution);
    let claimed = call
        .iter()
        .any(|one| one.verdict == Some(Verdict::Complete));
    require(!claimed || completed, Rule::FalseComplete);
    require(
        !call.iter().any(|one| is_foreign(one, index)),
        Rule::SwappedAnswer,
    );
    // Another attempt of the same call may have run, unless all of them are said not to have run.
    let none_ran = call.iter().all(|one| one.verdict == Some(Verdict::NotRun));
    let refused_ran = call.iter().any(|one| refused_but_ran(one, index));
    require(
        !(none_ran && !runs.is_empty() || refused_ran),
        Rule::NotRunButStarted,
    );
    let keyed = call[0]
        .key
        .as_deref()
        .map_or(0, |key| find(&index.keys, key).len());
    let once = runs.len().max(keyed) <= 1;
    require(!call[0].non_idempotent || once, Rule::ExecutedTwice);
    rules
}

fn requests<'a, 'b>(attempt: &Attempt, index: &'b Index<'a>) -> &'b [(&'a str, &'a Execution)] {
    let id = attempt.request_id.as_deref();
    id.map_or(&[], |id| find(&index.requests, id))
}

/// Whether the answer was taken as whole under the id of another request.
fn is_foreign(attempt: &Attempt, index: &Index<'_>) -> bool {
    let runs = requests(attempt, index);
    let own = runs.iter().any(|(_, run)| run.nonce == attempt.nonce);
    attempt.outcome == Outcome::Complete && !runs.is_empty() && !own
}

fn refused_but_ran(attempt: &Attempt, index: &Index<'_>) -> bool {
    attempt.verdict == Some(Verdict::NotRun) && !requests(attempt, index).is_empty()
}
