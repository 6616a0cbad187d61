//! Sends a request to backend servers until one of them answers.
//!
//! While a server is silent ([`silence`](crate::silence)), a request that may run twice is also sent to another server.
//! The silent one keeps the request until the other has sent the first bytes of an answer, so that asking never costs the
//! caller the answer.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::Full;
use hyper::{Request, Response};
use primrose_base::clock::Time;
use primrose_base::verdict::Verdict;
use primrose_place::Server;
use primrose_place::placer::Outcome;
use slog::info;
use tokio::time::Instant;

use crate::assignment::Assignment;
use crate::ending::Ending;
use crate::failure::Failure;
use crate::notice::Block;
use crate::protocol::Classification;
use crate::refusal::Refusal;
use crate::request::{Answered, Job, Shared};
use crate::silence::Watch;
use crate::upstream::{self, Body, Connection};

/// Why a server that was assigned a request did not begin an answer.
enum Unanswered {
    /// No connection to the server could be opened, so it has not received the request.
    Unreachable(std::io::Error),
    /// The server gave notice, or its domain was drained, before the request was sent.
    Blocked(Block),
    /// The placement became too old before the request was sent.
    Stale,
    /// The connection broke; the server may have received the request.
    Broken(String),
}

type Exchange = Result<(Response<Body>, Connection), Unanswered>;

/// A request that a server has and has not answered. Dropping it closes the connection, which cancels the request.
struct Attempt {
    server: Server,
    assignment: Assignment,
    exchange: Pin<Box<dyn Future<Output = Exchange> + Send>>,
}

impl Attempt {
    /// Gives up on a server that was silent for too long.
    fn end_silent(self, shared: &Shared) {
        drop(self.exchange);
        // The idle connections to it may be dead too.
        shared.close_idle(&self.server.id);
        self.assignment.end_silent();
    }
}

/// What happened next to a request that no server has answered.
enum Step {
    Sent(Attempt),
    NotSent(Failure),
    /// No server is assigned.
    Refused(Refusal),
    /// The exchange of the attempt at this index ended.
    Ended(usize, Exchange),
    Silent,
    TimedOut,
}

impl Job {
    /// Sends the request until a server answers it, as often as it may be sent again. `resume_after` is the id of the
    /// last event that the caller has received.
    pub(crate) async fn send_until_answered(
        &mut self,
        resume_after: Option<&str>,
    ) -> Result<Answered, Refusal> {
        // The servers that have the request, in the order in which they got it.
        let mut open: Vec<Attempt> = Vec::new();
        let mut watch = self.watch_head();
        let limit = self.limit.clone();
        let mut is_sending = true;
        loop {
            let step = if is_sending {
                tokio::select! {
                    biased;
                    (at, exchange) = next_end(&mut open) => Step::Ended(at, exchange),
                    // Until its last step, nothing of the request is sent.
                    () = limit.passed() => Step::TimedOut,
                    step = self.send(resume_after) => step,
                }
            } else {
                self.next_step(&mut open, &watch).await
            };
            let failure = match step {
                Step::Sent(attempt) => {
                    open.push(attempt);
                    watch = self.watch_head();
                    is_sending = false;
                    continue;
                }
                Step::Ended(at, exchange) => {
                    let mut attempt = open.remove(at);
                    let exchange = match exchange {
                        Ok((response, connection))
                            if !open.is_empty() && is_only_head(&response) =>
                        {
                            attempt.exchange = Box::pin(begin(response, connection));
                            open.insert(at, attempt);
                            continue;
                        }
                        exchange => exchange,
                    };
                    match self.receive(attempt, exchange).await {
                        // Another server may still serve the request.
                        Ok(answered) if answered.failed && !open.is_empty() => {
                            answered.end_failed();
                            continue;
                        }
                        Ok(answered) => {
                            for silent in open.drain(..at) {
                                silent.end_silent(&self.shared);
                            }
                            return Ok(answered);
                        }
                        // The retry that is under way was granted when this server was silent.
                        Err(failure) if is_sending => {
                            self.may_have_run |= failure.refusal.verdict != Verdict::NotRun;
                            continue;
                        }
                        Err(failure) => failure,
                    }
                }
                Step::NotSent(failure) => failure,
                Step::Silent => Failure::may_have_run(
                    "retry_silent",
                    "timeout",
                    "the backend server did not answer within the resend timeout",
                ),
                Step::Refused(refusal) if open.is_empty() => return Err(refusal),
                Step::Refused(_) => {
                    self.log_waiting();
                    watch.stop();
                    is_sending = false;
                    continue;
                }
                Step::TimedOut => {
                    self.may_have_run |= !open.is_empty();
                    // A server is not at fault if the host stops before it answers.
                    if !self.limit.is_stop() {
                        for silent in open {
                            silent.end_silent(&self.shared);
                        }
                    }
                    return Err(self.timed_out());
                }
            };
            self.may_have_run |= failure.refusal.verdict != Verdict::NotRun;
            match self.check_retry(&failure) {
                Ok(()) => {
                    is_sending = true;
                    self.shared.meter.count(failure.retry_counter);
                    info!(self.shared.log, "request sent again"; "id" => &*self.metadata.attempt,
                        "reason" => failure.retry_counter, "server" => self.server.as_deref(),
                        "sent" => self.sent);
                }
                Err(refusal) if open.is_empty() => return Err(refusal),
                Err(_) => {
                    self.log_waiting();
                    watch.stop();
                    is_sending = false;
                }
            }
        }
    }

    /// Records that the request waits for a silent server, because no other one may be asked or is assigned.
    fn log_waiting(&self) {
        self.shared.meter.count("silence_waited");
        info!(self.shared.log, "server is silent"; "id" => &*self.metadata.attempt,
            "server" => self.server.as_deref(), "asks_another" => false, "gave_up" => self.gave_up,
            "silent_ms" => None::<u64>, "sent" => self.sent);
    }

    fn watch_head(&self) -> Watch {
        let objective_ms = self.route.objective_ms;
        let mut watch = Watch::head(Time::now(), objective_ms, u64::from(self.predicted_ms));
        if !self.route.kind.is_repeatable() || self.sent >= self.route.max_servers {
            watch.stop();
        }
        watch
    }

    /// Waits until an attempt ends, a silence is over its limit or the limit of the request has passed.
    async fn next_step(&self, open: &mut [Attempt], watch: &Watch) -> Step {
        let now = Time::now();
        let due = watch.due().map(|due| Instant::now() + due.until(now));
        tokio::select! {
            biased;
            (at, exchange) = next_end(open) => Step::Ended(at, exchange),
            () = self.limit.passed() => Step::TimedOut,
            () = sleep_until_some(due) => Step::Silent,
        }
    }

    /// Requests a server and begins to send the request to it.
    async fn send(&mut self, resume_after: Option<&str>) -> Step {
        if let Some(resend_at) = self.resend_at {
            tokio::time::sleep_until(resend_at).await;
        }
        let (server, demand) = match self.place().await {
            Ok(placed) => placed,
            Err(refusal) => return Step::Refused(refusal),
        };
        if let Err(failure) = self.check_server(&server) {
            return Step::NotSent(failure);
        }
        let assignment = Assignment::open(&self.shared.link, &demand, &server);
        let connection = match self.shared.take_idle(&server) {
            Some(connection) => connection,
            None => match self.shared.connect(&server).await {
                Ok(connection) => {
                    // The server may have given notice in the meantime.
                    if let Err(failure) = self.check_server(&server) {
                        return Step::NotSent(failure);
                    }
                    connection
                }
                Err(error) => {
                    assignment.end(Outcome::Unreachable);
                    return Step::NotSent(self.record_unreachable(&server, &error));
                }
            },
        };
        if self.is_stale() {
            return Step::NotSent(Failure::stale(&server.id));
        }
        // The stop may have begun while the server was assigned or connected.
        if let Err(refusal) = self.check_stop() {
            return Step::Refused(refusal);
        }
        let request = self.request(&server, resume_after);
        self.sent += 1;
        self.server = Some(Arc::clone(&server.id));
        self.tried.push(Arc::clone(&server.id));
        let exchange = exchange(
            Arc::clone(&self.shared),
            server.clone(),
            connection,
            request,
            self.send_by,
        );
        Step::Sent(Attempt {
            server,
            assignment,
            exchange: Box::pin(exchange),
        })
    }

    fn record_unreachable(&mut self, server: &Server, error: &std::io::Error) -> Failure {
        self.tried.push(Arc::clone(&server.id));
        self.unreachable += 1;
        let message = format!("connecting to server {} failed: {error}", server.id);
        Failure::not_run("retry_unreachable", "unreachable", &message)
    }

    /// Judges the end of an exchange: an answer to forward, or a failed attempt.
    async fn receive(&mut self, attempt: Attempt, exchange: Exchange) -> Result<Answered, Failure> {
        let Attempt {
            server,
            mut assignment,
            ..
        } = attempt;
        let (response, connection) = match exchange {
            Ok(answered) => answered,
            Err(Unanswered::Unreachable(error)) => {
                self.sent -= 1;
                assignment.end(Outcome::Unreachable);
                return Err(self.record_unreachable(&server, &error));
            }
            Err(Unanswered::Blocked(block)) => {
                self.sent -= 1;
                assignment.end(Outcome::Cancelled);
                return Err(Failure::blocked(&server.id, block));
            }
            Err(Unanswered::Stale) => {
                self.sent -= 1;
                // The server may be chosen again.
                self.tried.retain(|tried| *tried != server.id);
                assignment.end(Outcome::Cancelled);
                return Err(Failure::stale(&server.id));
            }
            Err(Unanswered::Broken(error)) => {
                assignment.end_broken();
                let message = format!(
                    "the connection to server {} broke before the answer: {error}",
                    server.id
                );
                return Err(Failure::may_have_run(
                    "retry_answer_broken",
                    "answer_broken",
                    &message,
                ));
            }
        };
        let (head, body) = response.into_parts();
        self.shared
            .record_notice(&server.id, head.status, &head.headers);
        let classify = self.shared.protocol.classify;
        match classify(&head, &self.metadata.attempt, connection.is_reused) {
            Classification::Answer { failed } => {
                if !head.status.is_success() {
                    assignment.record_refusal();
                }
                if !self.route.kind.is_stream() {
                    assignment.record_first_event();
                }
                self.server = Some(server.id);
                Ok(Answered {
                    head,
                    body,
                    connection,
                    assignment,
                    failed,
                })
            }
            Classification::Full => {
                self.drain_short_answer(body, connection).await;
                assignment.end(Outcome::Full);
                self.shared.meter.count("server_full");
                Err(Failure::full(&server.id, self.full_retry_after_ms()))
            }
            Classification::Replaced => {
                assignment.end(Outcome::Replaced);
                self.shared.meter.count("server_gone");
                let message = format!(
                    "the address of server {} belongs to another server now",
                    server.id
                );
                Err(Failure::not_run("retry_server_gone", "server_gone", &message).received())
            }
            Classification::Invalid => {
                self.shared.close_idle(&server.id);
                assignment.end(Outcome::Answered { failed: true });
                let message = format!("server {} sent an invalid answer", server.id);
                Err(Failure::may_have_run(
                    "retry_answer_broken",
                    "answer_foreign",
                    &message,
                ))
            }
        }
    }
}

/// Sends a request and waits for the head of the answer. If the server has closed an idle connection before the request
/// was sent, it is sent on a new one. Nothing is sent after `send_by`.
async fn exchange(
    shared: Arc<Shared>,
    server: Server,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    send_by: Option<Time>,
) -> Exchange {
    let mut request = request;
    loop {
        if send_by.is_some_and(|until| Time::now() > until) {
            return Err(Unanswered::Stale);
        }
        request = match connection.send(request).await {
            Ok(response) => return Ok((response, connection)),
            Err(upstream::Error::Broken(error)) => return Err(Unanswered::Broken(error)),
            Err(upstream::Error::NotSent(request)) => *request,
        };
        let opened = shared.connect(&server).await;
        connection = opened.map_err(Unanswered::Unreachable)?;
        if let Some(block) = shared.link.notices().block_assigned(Time::now(), &server) {
            return Err(Unanswered::Blocked(block));
        }
    }
}

/// Whether the head says that a body follows, of which nothing has been read. A server that crashes may have sent such a
/// head, so it is no reason to give up the other servers that have the request.
fn is_only_head(response: &Response<Body>) -> bool {
    let body = response.body();
    response.status().is_success() && !body.has_begun && !body.is_end_stream()
}

/// Waits for the first bytes of an answer, or for its end if it is empty.
async fn begin(response: Response<Body>, connection: Connection) -> Exchange {
    let (head, mut body) = response.into_parts();
    let begun = body.begin().await;
    let has_bytes = begun.map_err(|error| Unanswered::Broken(error.to_string()))?;
    if !has_bytes {
        let end = Ending::new(&head, &body, false).check();
        end.map_err(|reason| Unanswered::Broken(reason.to_owned()))?;
    }
    Ok((Response::from_parts(head, body), connection))
}

/// Waits until `due`, or for ever if it is `None`.
async fn sleep_until_some(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}

/// Waits until the exchange of an attempt ends. The result is its index and what the exchange returned.
async fn next_end(open: &mut [Attempt]) -> (usize, Exchange) {
    poll_fn(|context| {
        for (at, attempt) in open.iter_mut().enumerate() {
            if let Poll::Ready(exchange) = attempt.exchange.as_mut().poll(context) {
                return Poll::Ready((at, exchange));
            }
        }
        Poll::Pending
    })
    .await
}
