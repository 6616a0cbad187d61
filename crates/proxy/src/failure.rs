//! Errors that callers see.

use primrose_base::verdict::Verdict;
use salvo::http::{HeaderValue, StatusCode};
use serde::Serialize;

/// The header that tells a caller whether the request may have run.
pub const VERDICT_HEADER: &str = "x-primrose-verdict";

/// Why a request has no answer from a backend server.
///
/// Invariant: `verdict` is [`Verdict::NotRun`] only if no byte left for a backend server in any attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Stable code in snake case; also the suffix of its counter.
    pub code: &'static str,
    /// HTTP status.
    pub status: StatusCode,
    /// Sentence for a person.
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
    /// A refusal: the request was not run.
    pub fn refuse(code: &'static str, status: StatusCode, message: impl Into<String>) -> Failure {
        Failure {
            code,
            status,
            message: message.into(),
            verdict: Verdict::NotRun,
        }
    }

    /// A failure after bytes of the request may have reached a backend server.
    pub(crate) fn after_sending(code: &'static str, message: impl Into<String>) -> Failure {
        Failure {
            code,
            status: StatusCode::BAD_GATEWAY,
            message: message.into(),
            verdict: Verdict::MayHaveRun,
        }
    }

    /// The daemon is shutting down.
    pub fn draining() -> Failure {
        Failure::refuse(
            "draining",
            StatusCode::SERVICE_UNAVAILABLE,
            "this host is leaving; send the request again to reach another host",
        )
    }

    /// The failure as an HTTP answer.
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
