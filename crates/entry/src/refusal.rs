//! Answers of the system's own: refusals and failures.
//!
//! A refusal promises that the request has not run and never will; everything else promises nothing. Each one has a
//! code, which is also its counter.

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use primrose_base::verdict::Verdict;
use serde_json::json;

use crate::body::Body;

/// Why a caller gets no answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Name of the counter.
    pub code: &'static str,
    /// The status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What a person needs to know.
    pub message: String,
    /// When the caller should come back, in ms.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    /// The request has not run; the caller may come back after `retry_after_ms`.
    pub fn not_run(code: &'static str, retry_after_ms: u32, message: impl Into<String>) -> Refusal {
        Refusal {
            code,
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// The request is not proper; coming back does not help.
    pub fn invalid_request(
        code: &'static str,
        status: StatusCode,
        message: impl Into<String>,
    ) -> Refusal {
        Refusal {
            code,
            status,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// The request may have run.
    pub fn may_have_run(
        code: &'static str,
        status: StatusCode,
        message: impl Into<String>,
    ) -> Refusal {
        Refusal {
            code,
            status,
            verdict: Verdict::MayHaveRun,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// The answer to the caller.
    pub fn response(&self) -> Response<Body> {
        let body = json!({"error": {
            "code": self.code,
            "message": self.message,
            "verdict": self.verdict.as_str(),
        }});
        let mut response = Response::new(Body::whole(body.to_string()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(ms) = self.retry_after_ms {
            let text = format!("{}.{:03}", ms / 1_000, ms % 1_000);
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
