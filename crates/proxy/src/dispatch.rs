//! Messages from request tasks to the tasks that own the decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_base::verdict::Verdict;
use primrose_schedule::claim::{self, Settlement};
use primrose_schedule::retry;
use tokio::sync::{mpsc, oneshot};

use crate::failure::Failure;

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Call {
    /// Unique in this process; never reused.
    pub id: u64,
    /// The account that pays.
    pub account: id::Account,
    /// The pool that can serve it.
    pub pool: id::Pool,
    /// Expected input tokens, unweighted.
    pub input_tokens: u64,
    /// Output tokens that the caller allows at most, unweighted; `None` if the caller named no limit.
    pub max_output_tokens: Option<u64>,
    /// Hash of the start of the prompt, for servers that cache prefixes.
    pub affinity: u64,
    /// The queue refuses the request at this time.
    pub deadline: Time,
    /// What failed before, if this is a retry; retries are charged to the retry budget of the account.
    pub retry: Option<retry::Failure>,
    /// A server that has just failed this request and is avoided if another one has a slot.
    pub avoid: Option<id::Server>,
}

/// A backend server with a slot for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// The backend server.
    pub server: id::Server,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Tokens of a request and how they were spaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Input tokens, as the engine reported them or else as estimated.
    pub input_tokens: u64,
    /// Output tokens seen so far or, at the end, as the engine reported them.
    pub output_tokens: u64,
    /// Time from sending the request to the first token; `None` before it.
    pub first_token_ms: Option<u64>,
    /// Gaps between tokens seen so far.
    pub gaps: u32,
    /// Gaps longer than the target between tokens.
    pub slow_gaps: u32,
}

/// How a request left its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// Whether it ran.
    pub verdict: Verdict,
    /// Final figures.
    pub usage: Usage,
    /// The backend server did not begin an answer: it refused or dropped the connection, or was silent.
    pub unanswered: bool,
}

/// A message to the task that owns the queues.
#[derive(Debug)]
pub enum Event {
    /// A request wants a slot; the answer comes once, a dropped sender means that the daemon is shutting down.
    Arrive {
        /// The request.
        call: Call,
        /// Receives the slot or the refusal.
        reply: oneshot::Sender<Result<Slot, Failure>>,
    },
    /// Tokens have flowed.
    Progress {
        /// [`Call::id`].
        id: u64,
        /// Totals so far.
        usage: Usage,
    },
    /// The request left the queue or its slot.
    End {
        /// [`Call::id`].
        id: u64,
        /// How it ended.
        end: End,
    },
}

/// A claim on the key of a non-idempotent request.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Tells this request from others with the same key; unique in this process.
    pub request: u64,
    /// The account that owns the key.
    pub account: id::Account,
    /// The caller's idempotency key.
    pub key: Arc<str>,
    /// SHA-256 of method, path and the held part of the body.
    pub digest: [u8; 32],
}

/// A message to the task that makes claims.
#[derive(Debug)]
pub enum ClaimEvent {
    /// Claims a key.
    Claim {
        /// The claim.
        claim: Claim,
        /// Receives the answer.
        reply: oneshot::Sender<claim::Reply>,
    },
    /// Records the outcome of a granted claim.
    Settle {
        /// The claim.
        claim: Claim,
        /// The outcome.
        settlement: Settlement,
    },
}

/// Sends [`Event`]s; cloned into every request task.
#[derive(Clone, Debug)]
pub struct Client {
    events: mpsc::UnboundedSender<Event>,
    claims: mpsc::UnboundedSender<ClaimEvent>,
    next_id: Arc<AtomicU64>,
}

impl Client {
    /// Makes a dispatch and the receivers that the owning tasks read.
    ///
    /// The channels are unbounded because `End` must not be lost; the admission limits bound what is in them.
    pub fn new() -> (
        Client,
        mpsc::UnboundedReceiver<Event>,
        mpsc::UnboundedReceiver<ClaimEvent>,
    ) {
        let (events, event_receiver) = mpsc::unbounded_channel();
        let (claims, claim_receiver) = mpsc::unbounded_channel();
        let dispatch = Client {
            events,
            claims,
            next_id: Arc::new(AtomicU64::new(1)),
        };
        (dispatch, event_receiver, claim_receiver)
    }

    /// An id that no other request of this process has.
    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Waits for a slot. If the caller leaves meanwhile, dropping the future removes the request from the queue.
    pub(crate) async fn acquire_slot(&self, call: Call) -> Result<(Slot, Registration), Failure> {
        let registration = Registration {
            id: call.id,
            events: self.events.clone(),
            usage: Usage::default(),
            open: true,
        };
        let (reply, answer) = oneshot::channel();
        if self.events.send(Event::Arrive { call, reply }).is_err() {
            return Err(registration.refuse(Failure::draining()));
        }
        match answer.await {
            Ok(Ok(slot)) => Ok((slot, registration)),
            Ok(Err(failure)) => Err(registration.refuse(failure)),
            Err(_) => Err(registration.refuse(Failure::draining())),
        }
    }

    /// Claims a key and waits for the answer.
    pub(crate) async fn claim(&self, claim: Claim) -> claim::Reply {
        let (reply, answer) = oneshot::channel();
        if self
            .claims
            .send(ClaimEvent::Claim { claim, reply })
            .is_err()
        {
            return claim::Reply::Unavailable;
        }
        answer.await.unwrap_or(claim::Reply::Unavailable)
    }

    /// Records the outcome of a granted claim.
    pub(crate) fn settle(&self, claim: Claim, settlement: Settlement) {
        // A closed channel means that the daemon ends; the claim then stays held, which is safe.
        let _ = self.claims.send(ClaimEvent::Settle { claim, settlement });
    }
}

/// A request's place in the queue or in a slot; dropping it ends the request.
#[derive(Debug)]
pub(crate) struct Registration {
    id: u64,
    events: mpsc::UnboundedSender<Event>,
    usage: Usage,
    /// False once the end has been reported or the queue has refused the request.
    open: bool,
}

impl Registration {
    pub(crate) fn report_progress(&mut self, usage: Usage) {
        self.usage = usage;
        let _ = self.events.send(Event::Progress { id: self.id, usage });
    }

    pub(crate) fn end(mut self, end: End) {
        self.send_end(end);
    }

    fn refuse(mut self, failure: Failure) -> Failure {
        self.open = false;
        failure
    }

    fn send_end(&mut self, end: End) {
        self.open = false;
        let _ = self.events.send(Event::End { id: self.id, end });
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        if self.open {
            let end = End {
                verdict: Verdict::MayHaveRun,
                usage: self.usage,
                unanswered: false,
            };
            self.send_end(end);
        }
    }
}
