//! Execution log: which requests ran, how often, and for which account.

use serde::{Deserialize, Serialize};

/// State of an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// The whole request was received; it is waiting or running.
    Started,
    /// The last output token was produced, or the call to the plain service ended.
    Completed,
    /// The caller disconnected, or the execution was cancelled, before its end.
    Cancelled,
}

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The `x-request-id` header of the request; empty if it had none.
    pub request_id: String,
    /// The `idempotency-key` header of the request.
    pub key: Option<String>,
    /// The nonce in the request; empty if it had none.
    pub nonce: String,
    /// The `x-primrose-account` header of the request.
    pub account: Option<String>,
    /// State of the execution.
    pub progress: Progress,
    /// Number of prompt tokens; 0 for a call to the plain service.
    pub prompt_tokens: u32,
    /// Number of output tokens that the complete answer has; 0 for a call to the plain service.
    pub requested_tokens: u32,
    /// Number of output tokens produced so far.
    pub output_tokens: u32,
    /// How often `POST /resume` continued the execution.
    pub resumed: u32,
}

/// Number of executions with the same idempotency key or the same request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The idempotency key or the request id.
    pub id: String,
    /// Number of executions that started.
    pub started: u32,
    /// Number of executions that completed.
    pub completed: u32,
}

/// Executions and tokens of one account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Name of the account, from the `x-primrose-account` header.
    pub account: String,
    /// Number of executions that started.
    pub started: u32,
    /// Number of prompt tokens over all executions.
    pub prompt_tokens: u64,
    /// Number of output tokens produced over all executions.
    pub output_tokens: u64,
}

/// An order that an engine received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the order.
    pub fencing: u64,
    /// Kind of the order, for example `load-model`, `load-adapter`, `load-version` or `change-role`.
    pub kind: String,
    /// Name of the model, adapter, version or role.
    pub value: String,
    /// Whether the engine accepted the order; otherwise its fencing number was too low.
    #[serde(default)]
    pub accepted: bool,
}

/// Execution log, as `GET /log` returns it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// Every execution in order of arrival.
    pub executions: Vec<Execution>,
    /// Number of executions per idempotency key, sorted by key.
    pub keys: Vec<Count>,
    /// Number of executions per request id, sorted by request id.
    pub requests: Vec<Count>,
    /// Executions and tokens per account, sorted by account.
    pub accounts: Vec<Total>,
    /// Received orders in order of arrival, including refused ones.
    pub orders: Vec<Order>,
}

impl Log {
    /// Builds the log and computes its counts and totals.
    pub(crate) fn new(executions: Vec<Execution>, orders: Vec<Order>) -> Log {
        Log {
            keys: counts(&executions, |execution| execution.key.as_deref()),
            requests: counts(&executions, |execution| Some(&execution.request_id)),
            accounts: totals(&executions),
            executions,
            orders,
        }
    }
}

fn counts(executions: &[Execution], id: impl Fn(&Execution) -> Option<&str>) -> Vec<Count> {
    let mut sorted: Vec<_> = executions
        .iter()
        .filter_map(|execution| Some((id(execution)?, execution.progress)))
        .collect();
    sorted.sort_by_key(|(id, _)| *id);
    sorted
        .chunk_by(|a, b| a.0 == b.0)
        .map(|group| Count {
            id: group[0].0.to_owned(),
            started: group.len() as u32,
            completed: group
                .iter()
                .filter(|(_, progress)| *progress == Progress::Completed)
                .count() as u32,
        })
        .collect()
}

fn totals(executions: &[Execution]) -> Vec<Total> {
    let mut sorted: Vec<_> = executions
        .iter()
        .filter_map(|execution| Some((execution.account.as_deref()?, execution)))
        .collect();
    sorted.sort_by_key(|(account, _)| *account);
    sorted
        .chunk_by(|a, b| a.0 == b.0)
        .map(|group| Total {
            account: group[0].0.to_owned(),
            started: group.len() as u32,
            prompt_tokens: group
                .iter()
                .map(|(_, execution)| u64::from(execution.prompt_tokens))
                .sum(),
            output_tokens: group
                .iter()
                .map(|(_, execution)| u64::from(execution.output_tokens))
                .sum(),
        })
        .collect()
}
