//! Compares the history of a run with the execution logs of the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_base::verdict::Verdict;
use primrose_engine::record::{Execution, Log, Progress};
use serde::{Deserialize, Serialize};

use super::client;
use super::history::{Attempt, Outcome};
use super::settings::Settings;

/// A guarantee that a run can violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// An answer contains text or an id that belongs to another request.
    SwappedAnswer,
    /// An incomplete answer ended like a complete one.
    TruncatedAnswer,
    /// An answer is complete, but the logs show no completed execution.
    CompleteWithoutExecution,
    /// An error carries the verdict "complete", but the logs show no completed execution.
    FalseComplete,
    /// An error carries the verdict "not run", but the logs show that an execution started.
    NotRunButStarted,
    /// A non-idempotent call was executed more than once.
    ExecutedTwice,
    /// The header and the body of an error carry different verdicts.
    VerdictContradiction,
}

/// One violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The guarantee that was violated.
    pub rule: Rule,
    /// Nonce of the call whose attempts violated the guarantee.
    pub nonce: String,
}

/// Result of comparing the history of a run with the execution logs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Number of attempts that were checked.
    pub attempts: usize,
    /// Number of executions in the logs that were read.
    pub executions: usize,
    /// All violations found.
    pub violations: Vec<Violation>,
    /// Log addresses that could not be read. If there are any, the check is incomplete and the run counts as failed.
    pub unread: Vec<SocketAddr>,
}

impl Check {
    /// Returns whether all logs were read and no guarantee was violated.
    pub fn passes(&self) -> bool {
        self.violations.is_empty() && self.unread.is_empty()
    }
}

/// Reads the execution logs and checks `history` against them.
///
/// If the settings name no log addresses, only the answers themselves are checked.
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
        true => check_answers(history),
        false => check_with_logs(history, &logs),
    };
    Check {
        attempts: history.len(),
        executions: logs.iter().map(|log| log.executions.len()).sum(),
        violations,
        unread,
    }
}

/// Returns the violations that the answers alone show.
pub fn check_answers(history: &[Attempt]) -> Vec<Violation> {
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

/// Returns the violations that the answers and the execution logs show together.
pub fn check_with_logs(history: &[Attempt], logs: &[Log]) -> Vec<Violation> {
    let executions: Vec<&Execution> = logs.iter().flat_map(|log| &log.executions).collect();
    let index = Index {
        nonces: sort_by_id(&executions, |execution| Some(&execution.nonce)),
        requests: sort_by_id(&executions, |execution| Some(&execution.request_id)),
        keys: sort_by_id(&executions, |execution| execution.key.as_deref()),
    };
    let mut attempts: Vec<&Attempt> = history.iter().collect();
    attempts.sort_by(|a, b| (&a.nonce, a.number).cmp(&(&b.nonce, b.number)));
    let mut violations = check_answers(history);
    for call in attempts.chunk_by(|a, b| a.nonce == b.nonce) {
        let rules = violated_rules(call, &index);
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

/// Executions with one of their ids, sorted by it.
type Sorted<'a> = Vec<(&'a str, &'a Execution)>;

/// Executions of all stand-ins by nonce, by request id and by idempotency key.
struct Index<'a> {
    nonces: Sorted<'a>,
    requests: Sorted<'a>,
    keys: Sorted<'a>,
}

/// Sorts the executions by `id` and leaves out those whose id is missing or empty.
fn sort_by_id<'a>(
    executions: &[&'a Execution],
    id: impl Fn(&'a Execution) -> Option<&'a str>,
) -> Sorted<'a> {
    let with_id = executions
        .iter()
        .filter_map(|execution| Some((id(execution)?, *execution)));
    let mut entries: Vec<_> = with_id.filter(|(id, _)| !id.is_empty()).collect();
    entries.sort_by_key(|(id, _)| *id);
    entries
}

/// Returns the entries with the given id.
fn find<'a, 'b>(entries: &'b Sorted<'a>, id: &str) -> &'b [(&'a str, &'a Execution)] {
    let start = entries.partition_point(|(entry, _)| *entry < id);
    let end = entries.partition_point(|(entry, _)| *entry <= id);
    &entries[start..end]
}

/// Returns the guarantees that the attempts of one call violate.
fn violated_rules(call: &[&Attempt], index: &Index<'_>) -> Vec<Rule> {
    let executions = find(&index.nonces, &call[0].nonce);
    let completed = executions
        .iter()
        .any(|(_, execution)| execution.progress == Progress::Completed);
    let mut rules = Vec::new();
    let mut require = |holds: bool, rule| {
        if !holds {
            rules.push(rule);
        }
    };
    let answered = call
        .iter()
        .any(|attempt| attempt.outcome == Outcome::Complete);
    require(!answered || completed, Rule::CompleteWithoutExecution);
    let reported_complete = call
        .iter()
        .any(|attempt| attempt.verdict == Some(Verdict::Complete));
    require(!reported_complete || completed, Rule::FalseComplete);
    require(
        !call.iter().any(|attempt| has_foreign_id(attempt, index)),
        Rule::SwappedAnswer,
    );
    // The nonce is the same for all attempts of a call, so an execution with it contradicts "not run" only if every
    // attempt has this verdict.
    let none_ran = call
        .iter()
        .all(|attempt| attempt.verdict == Some(Verdict::NotRun));
    let refused_ran = call.iter().any(|attempt| refused_but_ran(attempt, index));
    require(
        !(none_ran && !executions.is_empty() || refused_ran),
        Rule::NotRunButStarted,
    );
    let executions_with_key = call[0]
        .key
        .as_deref()
        .map_or(0, |key| find(&index.keys, key).len());
    let once = executions.len().max(executions_with_key) <= 1;
    require(!call[0].non_idempotent || once, Rule::ExecutedTwice);
    rules
}

/// Returns the executions with the request id that the answer of `attempt` carries.
fn executions_by_request<'a, 'b>(
    attempt: &Attempt,
    index: &'b Index<'a>,
) -> &'b [(&'a str, &'a Execution)] {
    let id = attempt.request_id.as_deref();
    id.map_or(&[], |id| find(&index.requests, id))
}

/// Returns whether a complete answer carries the request id of another request.
fn has_foreign_id(attempt: &Attempt, index: &Index<'_>) -> bool {
    let executions = executions_by_request(attempt, index);
    let own = executions
        .iter()
        .any(|(_, execution)| execution.nonce == attempt.nonce);
    attempt.outcome == Outcome::Complete && !executions.is_empty() && !own
}

/// Returns whether an attempt has the verdict "not run", but an execution with its request id exists.
fn refused_but_ran(attempt: &Attempt, index: &Index<'_>) -> bool {
    attempt.verdict == Some(Verdict::NotRun) && !executions_by_request(attempt, index).is_empty()
}
