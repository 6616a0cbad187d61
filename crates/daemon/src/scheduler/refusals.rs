//! Converts refusals into the errors that callers receive.

use primrose_proxy::failure::Failure;
use primrose_schedule::admission::Reason;
use primrose_schedule::retry::Refusal;
use salvo::http::StatusCode;

/// Returns the error for a request that is refused by admission control or while it waits.
pub(super) fn of_admission(reason: Reason) -> Failure {
    let message = match reason {
        Reason::Draining => return Failure::draining(),
        Reason::NotReady => "this host has no configuration yet",
        Reason::UnknownPool => "the model or service is not configured",
        Reason::NoServer => "no backend server is in use for this model or service",
        Reason::Partitioned => {
            "no failure domain with backend servers for this request can be reached"
        }
        Reason::AccountQueueFull => {
            "too many requests of this account wait; send the request again later"
        }
        Reason::HostQueueFull => {
            "too many requests wait on this host; send the request again later"
        }
        Reason::Overload => "the request would wait longer than its deadline",
        Reason::QueueDeadline => "the request waited for a slot until its deadline",
        Reason::ClaimUnavailable
        | Reason::ClaimExpired
        | Reason::KeyReused
        | Reason::CallerGone => "the request was abandoned before it was sent",
    };
    Failure::refuse(reason.code(), status(reason), message)
}

fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::UnknownPool => StatusCode::NOT_FOUND,
        Reason::AccountQueueFull => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the error for a retry that is refused. The caller receives the failure of the previous attempt instead.
pub(super) fn of_retry(refusal: Refusal) -> Failure {
    let message = "the request failed and is not sent again";
    Failure::refuse(refusal.code(), StatusCode::BAD_GATEWAY, message)
}
