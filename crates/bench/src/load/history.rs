//! History of a run: one record per attempt of a call.

use primrose_base::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Model request that is answered with an event stream.
    Stream,
    /// Model request that is answered with a JSON document.
    Json,
    /// Call to a plain service.
    Plain,
}

/// Outcome of an attempt, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer is complete and belongs to the request.
    Complete,
    /// The answer has an error status.
    Refused,
    /// The connection broke before the answer was complete.
    Broken,
    /// No connection could be established.
    Unreachable,
    /// The caller gave up after its timeout.
    TimedOut,
    /// The caller dropped the connection on purpose.
    Abandoned,
    /// The answer ended like a complete one, but is incomplete.
    Truncated,
    /// The answer contains text or a nonce that does not belong to the request, or malformed events.
    Foreign,
}

impl Outcome {
    /// Returns whether the caller cannot know if its request was executed.
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
    /// Index of the target in the list for this kind of call.
    pub target: usize,
    /// Nonce of the call, the same for all its attempts.
    pub nonce: String,
    /// Number of the attempt within the call, from 0.
    pub number: u32,
    /// Kind of the call.
    pub kind: Kind,
    /// Whether the call is marked as non-idempotent.
    pub non_idempotent: bool,
    /// Idempotency key of the call.
    pub key: Option<String>,
    /// Start of the attempt, in µs since the start of the run.
    pub start_us: u64,
    /// Arrival of the first token, in µs since the start of the run.
    pub first_us: Option<u64>,
    /// End of the attempt, in µs since the start of the run.
    pub end_us: u64,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// HTTP status; 0 if no answer arrived.
    pub status: u16,
    /// Error code from the body of an error answer.
    pub code: Option<String>,
    /// Verdict from the header of an error answer.
    pub verdict: Option<Verdict>,
    /// Whether the verdict in the header differs from the one in the body.
    pub contradiction: bool,
    /// The `x-request-id` header of the answer.
    pub request_id: Option<String>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of output tokens received.
    pub output_tokens: u32,
}
