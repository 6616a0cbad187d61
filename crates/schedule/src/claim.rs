//! The host's part in running a non-idempotent request with an idempotency key at most once.
//!
//! Before a host sends such a request, it must obtain a claim on the key from the voters, which keep claims in the
//! replicated state. A [`Guard`] tracks one request. It allows one send, and only while the request holds the claim
//! and the claim is younger than its deadline on the host's own clock. However the request ends, the guard decides
//! what to tell the caller and what to record for the claim. After it has allowed a send, it never reports "not run".
//!
//! This relies on the replicated state: a settlement by an attempt that does not hold the claim has no effect.

use primrose_base::clock::Time;
use primrose_base::verdict::Verdict;

use crate::admission;

/// Age of a claim, in ms since it was requested, from which on the request must not be sent.
pub const DEADLINE_MS: u64 = 10_000;

/// The voters' answer to the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// This request holds the claim.
    Granted,
    /// An earlier attempt with the same key holds the claim and may have run.
    HeldByOther,
    /// An earlier attempt with the same key is complete.
    Complete,
    /// The key was claimed for a different request.
    KeyReused,
    /// The voters did not answer or have no majority. The claim may still be recorded later.
    Unavailable,
}

/// How to resolve the claim in the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The request is complete; the key cannot be claimed again.
    Complete,
    /// The request did not run, and the key may be claimed again.
    Released,
}

/// Why a request with a claim has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request was refused before it was sent.
    Refused(admission::Reason),
    /// An earlier attempt with the same key holds the claim or is complete.
    Duplicate,
    /// The request was sent, and no complete answer arrived.
    Interrupted,
    /// The complete answer arrived.
    Answered,
}

impl Cause {
    /// Returns the code in error messages to callers.
    pub const fn code(self) -> &'static str {
        match self {
            Cause::Refused(reason) => reason.code(),
            Cause::Duplicate => "duplicate_request",
            Cause::Interrupted => "interrupted",
            Cause::Answered => "answered",
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Why the request ended.
    pub cause: Cause,
    /// What the caller is told about the execution of the request.
    pub verdict: Verdict,
    /// How to resolve the claim, if anything must be recorded. It must be sent until the voters have acknowledged it.
    pub settlement: Option<Settlement>,
}

/// The progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The claim has not been requested.
    Unclaimed,
    /// The claim was requested at the time `asked`.
    Claiming { asked: Time },
    /// The request holds the claim and may be sent before the time `until`.
    Held { until: Time },
    /// Bytes of the request may have been sent; the claim is valid until the time `until`.
    Sent { until: Time },
    /// The outcome was returned. The state is final; a claim that is won after this is released.
    Settled { sent: bool },
}

/// Ensures that one request is sent at most once, and only while it holds its claim.
#[derive(Clone, Debug)]
pub struct Guard {
    state: State,
    deadline_ms: u64,
}

impl Default for Guard {
    fn default() -> Guard {
        Guard::new(DEADLINE_MS)
    }
}

impl Guard {
    /// Creates the guard of a request, which may be sent only while its claim is younger than `deadline_ms`.
    pub fn new(deadline_ms: u64) -> Guard {
        Guard {
            state: State::Unclaimed,
            deadline_ms,
        }
    }

    /// Must be called just before the claim is sent to a voter. The deadline counts from the first call; later calls
    /// for the same claim do not extend it. Returns false if the claim has been answered or the request has ended.
    pub fn claim(&mut self, now: Time) -> bool {
        if self.state == State::Unclaimed {
            self.state = State::Claiming { asked: now };
        }
        matches!(self.state, State::Claiming { .. })
    }

    /// Processes the voters' answer. Returns the outcome if the request has ended, or `None` if it may wait for a
    /// slot.
    ///
    /// If an answer that the claim was won arrives after the request has ended unsent, the claim is released.
    pub fn on_reply(&mut self, now: Time, reply: Reply) -> Option<Outcome> {
        match (self.state, reply) {
            (State::Claiming { asked }, Reply::Granted) => {
                let until = asked.plus_ms(self.deadline_ms);
                self.state = State::Held { until };
                self.check(now).err()
            }
            (State::Claiming { .. }, reply) => Some(self.finish(refused(reply))),
            (State::Settled { sent: false }, Reply::Granted) => {
                let reason = admission::Reason::ClaimUnavailable;
                Some(not_run(reason, Some(Settlement::Released)))
            }
            _ => None,
        }
    }

    /// Whether the request may be sent at `now`. Ends the request if it holds the claim but the claim is too old.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the request if its claim is too old.
    pub fn check(&mut self, now: Time) -> Result<bool, Outcome> {
        let State::Held { until } = self.state else {
            return Ok(false);
        };
        if now < until {
            return Ok(true);
        }
        let reason = admission::Reason::ClaimExpired;
        Err(self.finish(not_run(reason, Some(Settlement::Released))))
    }

    /// Must be called when the connection is ready, just before the first byte is written. The byte may be written
    /// only if this returns true, and from then on the request counts as sent. `now` must be read from the clock
    /// immediately before the call: if the host were suspended in between, an expired claim would not be noticed.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the request if its claim is too old.
    pub fn send(&mut self, now: Time) -> Result<bool, Outcome> {
        let allowed = self.check(now)?;
        if let State::Held { until } = self.state {
            self.state = State::Sent { until };
        }
        Ok(allowed)
    }

    /// Reverts [`Guard::send`] after the connection failed before any byte was written.
    pub fn on_unsent(&mut self) {
        if let State::Sent { until } = self.state {
            self.state = State::Held { until };
        }
    }

    /// Ends a request whose complete answer arrived. Returns `None` if the request was not sent or has ended before.
    pub fn on_answer(&mut self) -> Option<Outcome> {
        let outcome = Outcome {
            cause: Cause::Answered,
            verdict: Verdict::Complete,
            settlement: Some(Settlement::Complete),
        };
        matches!(self.state, State::Sent { .. }).then(|| self.finish(outcome))
    }

    /// Ends a request for any other reason, for example because the caller or the backend server has disconnected.
    /// `reason` is the cause if the request was not sent. Returns `None` if the request has ended before.
    pub fn on_failure(&mut self, reason: admission::Reason) -> Option<Outcome> {
        let outcome = match self.state {
            State::Unclaimed => not_run(reason, None),
            // The claim may have been recorded although no answer has arrived.
            State::Claiming { .. } | State::Held { .. } => {
                not_run(reason, Some(Settlement::Released))
            }
            // The claim is not released, so that a second request with the key is told that this one may have run.
            State::Sent { .. } => Outcome {
                cause: Cause::Interrupted,
                verdict: Verdict::MayHaveRun,
                settlement: None,
            },
            State::Settled { .. } => return None,
        };
        Some(self.finish(outcome))
    }

    fn finish(&mut self, outcome: Outcome) -> Outcome {
        let sent = matches!(self.state, State::Sent { .. });
        self.state = State::Settled { sent };
        outcome
    }
}

fn not_run(reason: admission::Reason, settlement: Option<Settlement>) -> Outcome {
    Outcome {
        cause: Cause::Refused(reason),
        verdict: Verdict::NotRun,
        settlement,
    }
}

/// Returns the outcome of a request whose claim was not won.
fn refused(reply: Reply) -> Outcome {
    let duplicate = |verdict| Outcome {
        cause: Cause::Duplicate,
        verdict,
        settlement: None,
    };
    match reply {
        Reply::HeldByOther => duplicate(Verdict::MayHaveRun),
        Reply::Complete => duplicate(Verdict::Complete),
        Reply::KeyReused => not_run(admission::Reason::KeyReused, None),
        Reply::Granted | Reply::Unavailable => not_run(
            admission::Reason::ClaimUnavailable,
            Some(Settlement::Released),
        ),
    }
}
