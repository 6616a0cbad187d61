//! Execution log: what ran, how often, and for whom.

use serde::{Deserialize, Serialize};

/// How far an execution came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// The request was received whole and runs or waits.
    Started,
    /// The last token was produced, or the call returned.
    Completed,
    /// The caller disconnected or cancelled before the end.
    Cancelled,
}

/// One execution of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The `x-request-id` of the request, empty if it had none.
    pub request_id: String,
    /// The `idempotency-key` of the request.
    pub key: Option<String>,
    /// The nonce of the request, empty if it had none.
    pub nonce: String,
    /// The `x-primrose-account` of the request.
    pub account: Option<String>,
    /// How far it came.
    pub progress: Progress,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens that the request asks for; 0 for a plain call.
    pub requested_tokens: u32,
    /// Output tokens produced so far.
    pub output_tokens: u32,
    /// How often it was continued by `POST /resume`.
    pub resumed: u32,
}

/// How often the executions with one key or one request id started and completed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The idempotency key or the request id.
    pub id: String,
    /// Executions that started.
    pub started: u32,
    /// Executions that completed.
    pub completed: u32,
}

/// Tokens of one account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// The `x-primrose-account` header.
    pub account: String,
    /// Executions that started.
    pub started: u32,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

/// An order that an engine received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number that came with it.
    pub fencing: u64,
    /// For example `load-model`, `load-adapter`, `load-version`, `change-role`.
    pub kind: String,
    /// The model, adapter, version or role.
    pub value: String,
    /// Whether it was accepted; otherwise its fencing number was too low.
    #[serde(default)]
    pub accepted: bool,
}

/// The answer to `GET /log`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// Every execution in order of arrival.
    pub executions: Vec<Execution>,
    /// Executions per idempotency key, sorted by key.
    pub keys: Vec<Count>,
    /// Executions per request id, sorted by request id.
    pub requests: Vec<Count>,
    /// Tokens per account, sorted by account.
    pub accounts: Vec<Total>,
    /// Orders in order of arrival.
    pub orders: Vec<Order>,
}

impl Log {
    /// Builds the log with its totals.
    pub(crate) fn new(executions: Vec<Execution>, orders: Vec<Order>) -> Log {
        Log {
            keys: counts(&executions, |one| one.key.as_deref()),
            requests: counts(&executions, |one| Some(&one.request_id)),
            accounts: totals(&executions),
            executions,
            orders,
        }
    }
}

fn counts(executions: &[Execution], id: impl Fn(&Execution) -> Option<&str>) -> Vec<Count> {
    let mut sorted: Vec<_> = executions
        .iter()
        .filter_map(|one| Some((id(one)?, one.progress)))
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
        .filter_map(|one| Some((one.account.as_deref()?, one)))
        .collect();
    sorted.sort_by_key(|(account, _)| *account);
    sorted
        .chunk_by(|a, b| a.0 == b.0)
        .map(|group| Total {
            account: group[0].0.to_owned(),
            started: group.len() as u32,
            prompt_tokens: group
                .iter()
                .map(|(_, one)| u64::from(one.prompt_tokens))
                .sum(),
            output_tokens: group
                .iter()
                .map(|(_, one)| u64::from(one.output_tokens))
                .sum(),
        })
        .collect()
}
