//! Errors that are sent to callers.

use primrose_base::verdict::Verdict;
use salvo::http::{HeaderValue, StatusCode};
use serde::Serialize;

/// The header that tells a caller whether the request may have run.
pub const VERDICT_HEADER: &str = "x-primrose-verdict";

/// Why a request has no answer from a backend server.
///
/// Invariant: `verdict` is [`Verdict::NotRun`] only if no attempt has sent a byte to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Stable code in snake case; also the name of the counter of such failures.
    pub code: &'static str,
    /// HTTP status of the error answer.
    pub status: StatusCode,
    /// Description for people; may change between versions.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

#[derive(Serialize)]
struct Document<'a> {
    error: Body<'a>,
}

#[derive(Serialize)]
struct Body<'a> {
    code: &'a str,
    message: &'a str,
    verdict: Verdict,
}

impl Failure {
    /// Creates the failure for a request of which nothing was sent to a backend server.
    pub fn refuse(code: &'static str, status: StatusCode, message: impl Into<String>) -> Failure {
        Failure {
            code,
            status,
            message: message.into(),
            verdict: Verdict::NotRun,
        }
    }

    /// Creates the failure, with status 502, for a request of which a backend server may have received bytes.
    pub(crate) fn after_sending(code: &'static str, message: impl Into<String>) -> Failure {
        Failure {
            code,
            status: StatusCode::BAD_GATEWAY,
            message: message.into(),
            verdict: Verdict::MayHaveRun,
        }
    }

    /// Creates the failure for a request that arrives or still waits while the daemon shuts down.
    pub fn draining() -> Failure {
        Failure::refuse(
            "draining",
            StatusCode::SERVICE_UNAVAILABLE,
            "this host is shutting down; send the request again to reach another host",
        )
    }

    /// Creates the failure for a request that a backend server has not answered at the end of the grace period.
    pub(crate) fn stopped() -> Failure {
        Failure::after_sending(
            "stopped",
            "this host is shutting down and the backend server has not answered yet",
        )
    }

    /// Writes status, verdict header and JSON body of the error answer.
    pub(crate) fn render(&self, response: &mut salvo::Response) {
        let document = Document {
            error: Body {
                code: self.code,
                message: &self.message,
                verdict: self.verdict,
            },
        };
        response.status_code(self.status);
        let verdict = HeaderValue::from_static(self.verdict.as_str());
        response.headers_mut().insert(VERDICT_HEADER, verdict);
        response.render(salvo::writing::Json(document));
    }
}
