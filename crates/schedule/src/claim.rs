//! The host's part in running a non-idempotent request with a key at most once.
//!
//! A [`Guard`] accompanies one request. It allows one send, only while the claim of the key is held and younger than its
//! deadline on the host's own clock, and it says what has to be settled and reported however the request ends. After a
//! send was allowed it never reports "not run".
//!
//! It relies on the replicated state for this: a settlement by an attempt that does not hold the claim has no effect.

use primrose_base::clock::Time;
use primrose_base::verdict::Verdict;

use crate::admission;

/// Age of a claim, counted from when it was asked for, at which the request must not be sent any more.
pub const DEADLINE_MS: u64 = 10_000;

/// The voters' answer to the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// This request holds the claim.
    Won,
    /// Another request with the key holds it and may have run.
    Held,
    /// Another request with the key is complete.
    Complete,
    /// The key was claimed for another request.
    KeyReused,
    /// No answer, or there is no majority. The claim may still be recorded later.
    Unavailable,
}

/// What to settle in the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The request ran to its end.
    Complete,
    /// The request did not run, and the key may be claimed again.
    Released,
}

/// Why a request with a claim has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was refused before it was sent.
    Refused(admission::Reason),
    /// Another request with the key holds the claim or is complete.
    Duplicate,
    /// It was sent, and the answer did not arrive whole.
    Interrupted,
    /// The answer arrived whole.
    Answered,
}

impl Cause {
    /// The code in errors.
    pub const fn code(self) -> &'static str {
        match self {
            Cause::Refused(reason) => reason.code(),
            Cause::Duplicate => "duplicate_request",
            Cause::Interrupted => "interrupted",
            Cause::Answered => "answered",
        }
    }
}

/// The end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// Why it ended.
    pub cause: Cause,
    /// What the caller is told.
    pub verdict: Verdict,
    /// What has to be settled. It is sent until the voters have acknowledged it.
    pub settlement: Option<Settlement>,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing has been asked.
    Unclaimed,
    /// The claim was asked for at this time.
    Claiming { asked: Time },
    /// The claim is held, and the request may be sent before this time.
    Held { until: Time },
    /// Bytes may have left; the claim counted until this time.
    Sent { until: Time },
    /// The caller was told; nothing changes any more, except that a claim that is won late is released.
    Settled { sent: bool },
}

/// Guards one request.
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
    /// Makes the guard of a request whose claim must be younger than `deadline_ms` when it is sent.
    pub fn new(deadline_ms: u64) -> Guard {
        Guard {
            state: State::Unclaimed,
            deadline_ms,
        }
    }

    /// Called just before the claim is sent to a voter for the first time; the deadline counts from `now`. Repetitions
    /// of the same claim do not move it. False if the request has ended.
    pub fn claim(&mut self, now: Time) -> bool {
        if self.state == State::Unclaimed {
            self.state = State::Claiming { asked: now };
        }
        matches!(self.state, State::Claiming { .. })
    }

    /// Takes the voters' answer. Returns the end of the request unless it may now wait for a slot.
    ///
    /// An answer may also arrive after the end; if it says that the claim was won, it is released.
    pub fn on_reply(&mut self, now: Time, reply: Reply) -> Option<Ending> {
        match (self.state, reply) {
            (State::Claiming { asked }, Reply::Won) => {
                let until = asked.plus_ms(self.deadline_ms);
                self.state = State::Held { until };
                self.check(now).err()
            }
            (State::Claiming { .. }, reply) => Some(self.end(refused(reply))),
            (State::Settled { sent: false }, Reply::Won) => {
                let reason = admission::Reason::ClaimUnavailable;
                Some(not_run(reason, Some(Settlement::Released)))
            }
            _ => None,
        }
    }

    /// Whether the request may be sent at `now`; if its claim is too old, the request ends.
    ///
    /// # Errors
    ///
    /// Returns the end of the request if the claim was held and is too old.
    pub fn check(&mut self, now: Time) -> Result<bool, Ending> {
        let State::Held { until } = self.state else {
            return Ok(false);
        };
        if now < until {
            return Ok(true);
        }
        let reason = admission::Reason::ClaimExpired;
        Err(self.end(not_run(reason, Some(Settlement::Released))))
    }

    /// Called on the connection that is ready, just before the first byte. Only if it returns true may the byte be
    /// written, and from then on the request counts as sent. `now` must be read from the clock in the same step: a host
    /// that was frozen between the reading and the call would not notice.
    ///
    /// # Errors
    ///
    /// As [`Guard::check`].
    pub fn send(&mut self, now: Time) -> Result<bool, Ending> {
        let allowed = self.check(now)?;
        if let State::Held { until } = self.state {
            self.state = State::Sent { until };
        }
        Ok(allowed)
    }

    /// Takes [`Guard::send`] back, because no connection could be opened and no byte has left.
    pub fn on_unsent(&mut self) {
        if let State::Sent { until } = self.state {
            self.state = State::Held { until };
        }
    }

    /// Ends a request whose answer arrived whole. `None` if it was not sent or has ended.
    pub fn on_answer(&mut self) -> Option<Ending> {
        let ending = Ending {
            cause: Cause::Answered,
            verdict: Verdict::Complete,
            settlement: Some(Settlement::Complete),
        };
        matches!(self.state, State::Sent { .. }).then(|| self.end(ending))
    }

    /// Ends a request for any other reason, for example because the caller or the backend server is gone. `reason`
    /// applies if the request was not sent. `None` if it has ended before.
    pub fn on_failure(&mut self, reason: admission::Reason) -> Option<Ending> {
        let ending = match self.state {
            State::Unclaimed => not_run(reason, None),
            // The claim may have been recorded although no answer has arrived.
            State::Claiming { .. } | State::Held { .. } => {
                not_run(reason, Some(Settlement::Released))
            }
            // The claim stays, so that a second request with the key learns that this one may have run.
            State::Sent { .. } => Ending {
                cause: Cause::Interrupted,
                verdict: Verdict::MayHaveRun,
                settlement: None,
            },
            State::Settled { .. } => return None,
        };
        Some(self.end(ending))
    }

    fn end(&mut self, ending: Ending) -> Ending {
        let sent = matches!(self.state, State::Sent { .. });
        self.state = State::Settled { sent };
        ending
    }
}

fn not_run(reason: admission::Reason, settlement: Option<Settlement>) -> Ending {
    Ending {
        cause: Cause::Refused(reason),
        verdict: Verdict::NotRun,
        settlement,
    }
}

/// The end of a request whose claim was not won.
fn refused(reply: Reply) -> Ending {
    let duplicate = |verdict| Ending {
        cause: Cause::Duplicate,
        verdict,
        settlement: None,
    };
    match reply {
        Reply::Held => duplicate(Verdict::MayHaveRun),
        Reply::Complete => duplicate(Verdict::Complete),
        Reply::KeyReused => not_run(admission::Reason::KeyReused, None),
        Reply::Won | Reply::Unavailable => not_run(
            admission::Reason::ClaimUnavailable,
            Some(Settlement::Released),
        ),
    }
}
