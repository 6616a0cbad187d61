//! History of a run: one entry per attempt.

use primrose_base::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Model request with an event stream.
    Stream,
    /// Model request with a JSON answer.
    Json,
    /// Plain call.
    Plain,
}

/// How an attempt ended, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer is whole and belongs to the request.
    Complete,
    /// An answer with an error status.
    Refused,
    /// The connection broke before the answer was whole.
    Broken,
    /// No connection could be made.
    Unreachable,
    /// The caller gave up after its timeout.
    TimedOut,
    /// The caller dropped the connection on purpose.
    Abandoned,
    /// The answer ended as if it were whole, but is not.
    Truncated,
    /// The answer holds something that does not belong to the request.
    Foreign,
}

impl Outcome {
    /// Whether the caller does not know if its request ran.
    pub fn is_lost(self) -> bool {
        matches!(
            self,
            Outcome::Broken | Outcome::Unreachable | Outcome::TimedOut | Outcome::Abandoned
        )
    }
}

/// One attempt of one call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Index of the account in the settings.
    pub account: usize,
    /// Index of the target in the settings.
    pub target: usize,
    /// Nonce of the call; the same for all its attempts.
    pub nonce: String,
    /// Number of the attempt, from 0.
    pub number: u32,
    /// Kind of the call.
    pub kind: Kind,
    /// Whether the call is marked as non-idempotent.
    pub non_idempotent: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Start of the attempt, in µs since the start of the run.
    pub start_us: u64,
    /// First token, in µs since the start of the run.
    pub first_us: Option<u64>,
    /// End, in µs since the start of the run.
    pub end_us: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// HTTP status, 0 without an answer.
    pub status: u16,
    /// Code of the error.
    pub code: Option<String>,
    /// Verdict of the error.
    pub verdict: Option<Verdict>,
    /// Whether the verdict in the header differs from the one in the body.
    pub contradiction: bool,
    /// The `x-request-id` of the answer.
    pub request_id: Option<String>,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens received.
    pub output_tokens: u32,
}
