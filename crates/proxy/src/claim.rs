//! The claim on the idempotency key of a request, for as long as this host handles the request.

use primrose_base::clock::Time;
use primrose_base::verdict::Verdict;
use primrose_schedule::admission::Reason;
use primrose_schedule::claim::{Cause, Guard, Outcome};
use salvo::http::StatusCode;

use crate::dispatch::{self, Claim};
use crate::failure::Failure;

/// A granted claim; dropping it settles the claim as [`Guard`] decides.
pub(crate) struct Handle {
    dispatch: dispatch::Client,
    claim: Claim,
    guard: Guard,
}

impl Handle {
    pub(crate) fn new(dispatch: dispatch::Client, claim: Claim, guard: Guard) -> Handle {
        Handle {
            dispatch,
            claim,
            guard,
        }
    }

    /// Records that the answer has arrived completely.
    pub(crate) fn complete(&mut self) {
        let outcome = self.guard.on_answer();
        self.settle(outcome);
    }

    fn settle(&self, outcome: Option<Outcome>) {
        if let Some(settlement) = outcome.and_then(|outcome| outcome.settlement) {
            self.dispatch.settle(self.claim.clone(), settlement);
        }
    }

    /// Reverts [`Handle::mark_sent`] after a connection could not be opened.
    pub(crate) fn mark_unsent(&mut self) {
        self.guard.on_unsent();
    }

    /// Whether the request may be sent now under this claim.
    pub(crate) fn can_send(&self) -> bool {
        self.guard.clone().check(Time::now()) == Ok(true)
    }

    /// Marks the request as sent; must be called before its first byte is sent.
    ///
    /// # Errors
    ///
    /// Fails if the request was sent before or the claim is too old.
    pub(crate) fn mark_sent(&mut self) -> Result<(), Failure> {
        match self.guard.send(Time::now()) {
            Ok(true) => Ok(()),
            // The request was sent under this claim before.
            Ok(false) => Err(Failure::after_sending(
                "interrupted",
                "the request was sent before and may have run",
            )),
            Err(outcome) => {
                self.settle(Some(outcome));
                Err(failure(&outcome))
            }
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        let outcome = self.guard.on_failure(Reason::CallerGone);
        self.settle(outcome);
    }
}

/// Returns the failure that tells the caller why the request was not sent under its claim.
pub(crate) fn failure(outcome: &Outcome) -> Failure {
    let (status, message) = match (outcome.cause, outcome.verdict) {
        (Cause::Refused(Reason::KeyReused), _) => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "this idempotency key was used with another request",
        ),
        (Cause::Refused(Reason::ClaimExpired), _) => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the claim on the idempotency key became too old before the request was sent; send the request again",
        ),
        (Cause::Refused(_), _) => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the idempotency key could not be recorded safely, so the request was not run",
        ),
        (_, Verdict::Complete) => (
            StatusCode::CONFLICT,
            "the request with this idempotency key has completed",
        ),
        (..) => (
            StatusCode::CONFLICT,
            "a request with this idempotency key was sent before and may have run",
        ),
    };
    Failure {
        code: outcome.cause.code(),
        status,
        message: message.to_owned(),
        verdict: outcome.verdict,
    }
}
