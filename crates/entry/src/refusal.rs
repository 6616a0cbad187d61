//! Error answers that the entry host itself sends to callers.
//!
//! Each answer has a verdict. `NotRun` guarantees that the request has not run and never will; `MayHaveRun`
//! guarantees nothing. Each answer also has a code, which is the name of its counter as well.

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use primrose_base::verdict::Verdict;
use serde_json::json;

use crate::body::Body;

/// Why a caller gets an error instead of the answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The error code, which is also the name of the counter.
    pub code: &'static str,
    /// The HTTP status.
    pub status: StatusCode,
    /// Whether the request may have run on a backend server.
    pub verdict: Verdict,
    /// A description of the error for people.
    pub message: String,
    /// Time after which the caller should retry, in ms, or `None` if it should not.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    /// Creates a refusal of a request that has not run and may be retried after `retry_after_ms`.
    pub fn not_run(code: &'static str, retry_after_ms: u32, message: impl Into<String>) -> Refusal {
        Refusal {
            code,
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Creates a refusal of an invalid request, which has not run. Retrying the same request does not help.
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

    /// Creates the error answer to a request that may have run.
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

    /// Builds the HTTP response, with the error as JSON.
    pub fn response(&self) -> Response<Body> {
        let body = json!({"error": {
            "code": self.code,
            "message": self.message,
            "verdict": self.verdict.as_str(),
        }});
        let mut response = Response::new(Body::full(body.to_string()));
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
