//! Messages from request tasks to the scheduler task, which grants slots, and to the task that makes claims.

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
    /// Identifies this attempt. Unique in this process and never reused; a retry gets a new id.
    pub id: u64,
    /// The account to which the tokens are charged.
    pub account: id::Account,
    /// The pool whose servers can serve the request.
    pub pool: id::Pool,
    /// Estimated number of input tokens, unweighted.
    pub input_tokens: u64,
    /// Maximum number of output tokens that the caller allows, unweighted; `None` if the caller set no limit.
    pub max_output_tokens: Option<u64>,
    /// Hash of the start of the body. Requests with equal hashes probably share a prompt prefix that a server has
    /// cached.
    pub affinity: u64,
    /// A request that still waits in the queue at this time is refused.
    pub deadline: Time,
    /// The previous failure, if this is a retry. Retries count against the retry budget of the account.
    pub retry: Option<retry::Failure>,
    /// The server on which the previous attempt failed; it is to be avoided if another server has a free slot.
    pub avoid: Option<id::Server>,
}

/// A backend server with a slot for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// The server that the slot belongs to.
    pub server: id::Server,
    /// The address on which the server listens for requests.
    pub address: SocketAddr,
}

/// Token counts and token timing of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of input tokens, as reported by the engine or, before its report, as estimated.
    pub input_tokens: u64,
    /// Number of output tokens relayed so far or, at the end, as reported by the engine.
    pub output_tokens: u64,
    /// Time from sending the request to the first token, in ms; `None` before the first token.
    pub first_token_ms: Option<u64>,
    /// Number of gaps between tokens so far.
    pub gaps: u32,
    /// Number of gaps longer than [`SLOW_GAP_MS`](primrose_schedule::limit::SLOW_GAP_MS).
    pub slow_gaps: u32,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// Whether the request may have run on the server.
    pub verdict: Verdict,
    /// Final token counts.
    pub usage: Usage,
    /// Whether the server did not begin an answer: it refused or closed the connection, or sent nothing in time.
    pub unanswered: bool,
}

/// A message to the scheduler task.
#[derive(Debug)]
pub enum Event {
    /// A request asks for a slot. The scheduler replies once; it drops `reply` unused if the daemon is shutting down.
    Arrive {
        /// The request that asks.
        call: Call,
        /// Receives the slot, or the failure to send to the caller.
        reply: oneshot::Sender<Result<Slot, Failure>>,
    },
    /// Further tokens of an answer have been relayed.
    Progress {
        /// [`Call::id`].
        id: u64,
        /// Counts since the start of the answer.
        usage: Usage,
    },
    /// The request has left the queue or its slot.
    End {
        /// [`Call::id`].
        id: u64,
        /// Verdict and final token counts.
        end: End,
    },
}

/// A claim on the idempotency key of a non-idempotent request.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Distinguishes this request from others with the same key; unique in this process.
    pub request: u64,
    /// The account of the caller; different accounts may use the same key.
    pub account: id::Account,
    /// The idempotency key that the caller sent.
    pub key: Arc<str>,
    /// SHA-256 of the method, the path and the buffered start of the body.
    pub digest: [u8; 32],
}

/// A message to the task that makes claims.
#[derive(Debug)]
pub enum ClaimEvent {
    /// Asks for a claim.
    Claim {
        /// The claim to be granted.
        claim: Claim,
        /// Receives the decision once.
        reply: oneshot::Sender<claim::Reply>,
    },
    /// Records the outcome of a granted claim.
    Settle {
        /// The granted claim.
        claim: Claim,
        /// Whether the claim is completed or released.
        settlement: Settlement,
    },
}

/// Sends [`Event`]s and [`ClaimEvent`]s; cloned into every request task.
#[derive(Clone, Debug)]
pub struct Client {
    events: mpsc::UnboundedSender<Event>,
    claims: mpsc::UnboundedSender<ClaimEvent>,
    next_id: Arc<AtomicU64>,
}

impl Client {
    /// Creates a client and the receivers that the scheduler task and the task that makes claims read.
    ///
    /// The channels are unbounded because [`Event::End`] must not be lost; the admission limits bound the number of
    /// messages in them.
    pub fn new() -> (
        Client,
        mpsc::UnboundedReceiver<Event>,
        mpsc::UnboundedReceiver<ClaimEvent>,
    ) {
        let (events, event_receiver) = mpsc::unbounded_channel();
        let (claims, claim_receiver) = mpsc::unbounded_channel();
        let client = Client {
            events,
            claims,
            next_id: Arc::new(AtomicU64::new(1)),
        };
        (client, event_receiver, claim_receiver)
    }

    /// Returns a new id for a [`Call`] or a [`Claim`].
    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Waits for a slot. Dropping the future, as when the caller disconnects, removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the scheduler, or [`Failure::draining`] if the scheduler task has ended.
    pub(crate) async fn acquire_slot(&self, call: Call) -> Result<(Slot, Registration), Failure> {
        let registration = Registration {
            id: call.id,
            events: self.events.clone(),
            usage: Usage::default(),
            open: true,
        };
        let (reply, answer) = oneshot::channel();
        if self.events.send(Event::Arrive { call, reply }).is_err() {
            return Err(registration.close_refused(Failure::draining()));
        }
        match answer.await {
            Ok(Ok(slot)) => Ok((slot, registration)),
            Ok(Err(failure)) => Err(registration.close_refused(failure)),
            Err(_) => Err(registration.close_refused(Failure::draining())),
        }
    }

    /// Asks for a claim and waits for the decision.
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
        // The channel is closed only while the daemon exits. The claim then remains held, which is safe.
        let _ = self.claims.send(ClaimEvent::Settle { claim, settlement });
    }
}

/// The registration of a request with the scheduler. While it exists, the request keeps its place in the queue or its
/// slot; dropping it reports the end of the request.
#[derive(Debug)]
pub(crate) struct Registration {
    id: u64,
    events: mpsc::UnboundedSender<Event>,
    usage: Usage,
    /// False once the end has been reported or the scheduler has refused the request.
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

    /// Closes the registration of a request that got no slot. The scheduler expects no report of its end.
    fn close_refused(mut self, failure: Failure) -> Failure {
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
