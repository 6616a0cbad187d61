//! A send that brought no answer.

use hyper::StatusCode;

use crate::refusal::Refusal;

/// When a caller comes back whose server was full, in ms: some requests have ended by then.
pub(crate) const FULL_RETURN_MS: u32 = 500;

/// Why a send got no answer that can be passed on.
pub(crate) struct Miss {
    /// Name of the counter if the request is sent again.
    pub(crate) retry: &'static str,
    /// The answer to the caller if it is not.
    pub(crate) refusal: Refusal,
    /// Whether the server took notice of the request.
    pub(crate) was_sent: bool,
}

impl Miss {
    pub(crate) fn not_run(retry: &'static str, code: &'static str, message: &str) -> Miss {
        Miss {
            retry,
            refusal: Refusal::not_run(code, FULL_RETURN_MS, message),
            was_sent: false,
        }
    }

    pub(crate) fn sent(mut self) -> Miss {
        self.was_sent = true;
        self
    }

    pub(crate) fn full(server: &str) -> Miss {
        let message = format!("server {server} is full");
        Miss::not_run("retry_server_full", "server_full", &message).sent()
    }

    pub(crate) fn unknown(retry: &'static str, code: &'static str, message: &str) -> Miss {
        Miss {
            retry,
            refusal: Refusal::unknown(code, StatusCode::BAD_GATEWAY, message),
            was_sent: true,
        }
    }
}
