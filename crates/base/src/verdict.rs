//! Whether a request may have run on a backend server.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What the system knows about the execution of a request.
///
/// Every refusal and error carries one, because it decides whether the request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request left for a backend server, and none will.
    NotRun,
    /// Bytes of the request may have reached a backend server; the outcome is unknown.
    MayHaveRun,
    /// The backend server answered and the answer was received whole.
    Complete,
}

impl Verdict {
    /// The text used in headers, errors and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Complete => "complete",
        }
    }

    /// Whether a request with this verdict may be sent again.
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
