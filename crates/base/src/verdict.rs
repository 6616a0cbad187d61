//! Whether a request may have run on a backend server.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request.
///
/// Every refusal and error contains a verdict, because it determines whether the request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request was sent to a backend server, and none will be.
    NotRun,
    /// Bytes of the request may have reached a backend server; the outcome is unknown.
    MayHaveRun,
    /// The answer of the backend server was received completely.
    Complete,
}

impl Verdict {
    /// The text that stands for the verdict in headers, errors and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Complete => "complete",
        }
    }

    /// Whether a request with this verdict may be sent again. After `MayHaveRun` only an idempotent one may.
    pub const fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => idempotent,
            Verdict::Complete => false,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
