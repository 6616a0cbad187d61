//! The claim of a request with an idempotency key, for as long as the request is here.

use primrose_base::clock::Time;
use primrose_base::verdict::Verdict;
use primrose_schedule::admission::Reason;
use primrose_schedule::claim::{Cause, Guard, Outcome};
use salvo::http::StatusCode;

use crate::dispatch::{self, Claim};
use crate::failure::Failure;

/// A granted claim; dropping it settles the claim as [`Guard`] decides.
pub(crate) struct Hold {
    dispatch: dispatch::Client,
    claim: Claim,
    guard: Guard,
}

impl Hold {
    pub(crate) fn new(dispatch: dispatch::Client, claim: Claim, guard: Guard) -> Hold {
        Hold {
            dispatch,
            claim,
            guard,
        }
    }

    /// Records that the answer has arrived whole.
    pub(crate) fn complete(&mut self) {
        let ending = self.guard.on_answer();
        self.settle(ending);
    }

    fn settle(&self, ending: Option<Outcome>) {
        if let Some(settlement) = ending.and_then(|ending| ending.settlement) {
            self.dispatch.settle(self.claim.clone(), settlement);
        }
    }

    /// Takes [`Hold::send`] back: no connection could be opened.
    pub(crate) fn unsend(&mut self) {
        self.guard.on_unsent();
    }

    pub(crate) fn can_send(&self) -> bool {
        self.guard.clone().check(Time::now()) == Ok(true)
    }

    /// Marks the request as sent.
    pub(crate) fn send(&mut self) -> Result<(), Failure> {
        match self.guard.send(Time::now()) {
            Ok(true) => Ok(()),
            // The request was sent under the claim before.
            Ok(false) => Err(Failure::broken(
                "interrupted",
                "the request was sent before and may have run",
            )),
            Err(ending) => {
                self.settle(Some(ending));
                Err(claim_failure(&ending))
            }
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let ending = self.guard.on_failure(Reason::CallerGone);
        self.settle(ending);
    }
}

/// What the caller is told about the end of a request with a claim.
pub(crate) fn claim_failure(ending: &Outcome) -> Failure {
    let (status, message) = match (ending.cause, ending.verdict) {
        (Cause::Refused(Reason::KeyReused), _) => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "this idempotency key was used with another request",
        ),
        (Cause::Refused(Reason::ClaimExpired), _) => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the claim on the idempotency key is too old to send the request; send it again",
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
        code: ending.cause.code(),
        status,
        message: message.to_owned(),
        verdict: ending.verdict,
    }
}
