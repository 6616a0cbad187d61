//! Failed attempts to send a request to a backend server.

use hyper::StatusCode;
use primrose_place::placer::DRAINED_RETRY_AFTER_MS;

use crate::notice::Block;
use crate::refusal::Refusal;

/// The time after which a caller is told to retry if the server was full, in ms: some requests have ended by then.
pub(crate) const FULL_RETRY_AFTER_MS: u32 = 500;

/// Why an attempt got no answer that can be forwarded to the caller.
pub(crate) struct Failure {
    /// Name of the counter that is incremented if the request is sent again.
    pub(crate) retry_counter: &'static str,
    /// The answer to the caller if the request is not sent again.
    pub(crate) refusal: Refusal,
    /// Whether the server may have received the request.
    pub(crate) was_received: bool,
}

impl Failure {
    pub(crate) fn not_run(
        retry_counter: &'static str,
        code: &'static str,
        message: &str,
    ) -> Failure {
        Failure {
            retry_counter,
            refusal: Refusal::not_run(code, FULL_RETRY_AFTER_MS, message),
            was_received: false,
        }
    }

    pub(crate) fn received(mut self) -> Failure {
        self.was_received = true;
        self
    }

    /// The server refused the request as full. `retry_after_ms` is the time after which the caller is told to retry.
    pub(crate) fn full(server: &str, retry_after_ms: u32) -> Failure {
        let message = format!("server {server} is full");
        let mut failure = Failure::not_run("retry_server_full", "server_full", &message).received();
        failure.refusal.retry_after_ms = Some(retry_after_ms);
        failure
    }

    /// The assigned server must get no requests, so the request was not sent to it.
    pub(crate) fn blocked(server: &str, block: Block) -> Failure {
        let (retry_counter, code, reason) = match block {
            Block::Leaving => ("retry_server_leaving", "no_server", "is leaving"),
            Block::Drained => {
                let reason = "is in a drained failure domain";
                ("retry_server_drained", "drained", reason)
            }
            Block::Paused(_) => ("retry_server_paused", "no_server", "has asked for a pause"),
        };
        let message = format!("server {server} {reason}");
        let mut failure = Failure::not_run(retry_counter, code, &message);
        if block == Block::Drained {
            failure.refusal.retry_after_ms = Some(DRAINED_RETRY_AFTER_MS);
        }
        failure
    }

    /// The placement is too old for the assigned server, so the request was not sent to it.
    pub(crate) fn stale(server: &str) -> Failure {
        let message = format!("the placement on server {server} is too old");
        Failure::not_run("retry_placement_stale", "no_server", &message)
    }

    pub(crate) fn may_have_run(
        retry_counter: &'static str,
        code: &'static str,
        message: &str,
    ) -> Failure {
        Failure {
            retry_counter,
            refusal: Refusal::may_have_run(code, StatusCode::BAD_GATEWAY, message),
            was_received: true,
        }
    }
}
