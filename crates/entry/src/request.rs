//! The path of one request: looked up, read, placed, sent, answered.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use foldhash::quality::FixedState;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderValue};
use hyper::http::{request, response};
use hyper::{Request, Response, StatusCode, Version};
use primrose_base::clock::Time;
use primrose_base::verdict::Verdict;
use primrose_observe::Meter;
use primrose_place::Server;
use primrose_place::demand::{Demand, Key, Prompt};
use primrose_place::placer::{Decision, Outcome};
use primrose_route::document::Route;
use primrose_route::table::{Caller, choose_pool};
use slog::{Logger, info};
use std::hash::BuildHasher;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::body::Body;
use crate::budget::Budget;
use crate::direct;
use crate::hop;
use crate::link;
use crate::listener;
use crate::miss::{FULL_RETURN_MS, Miss};
use crate::pace::Pace;
use crate::protocol::{Classification, Malformed, Metadata, Outgoing, Protocol};
use crate::refusal::Refusal;
use crate::stream;
use crate::ticket::Ticket;
use crate::upstream::{Connection, Failure, Pool};

/// Failed connections after which a request is refused: each one may take the whole connection timeout.
const MAX_UNREACHABLE: u32 = 3;

/// When a caller comes back to a host that is not ready, in ms: another host is chosen then.
const NOT_READY_RETURN_MS: u32 = 400;

/// When a caller comes back to a host that does not keep up, in ms: retries reach other hosts.
const BEHIND_RETURN_MS: u32 = 50;

/// The largest answer that is held until it is complete, in bytes. A larger one is passed on as it comes.
const MAX_HELD_BYTES: u64 = 512 << 10;

/// A caller that waits for less than this part of the longest deadline of its route has been refused before; the
/// deadlines of first attempts differ by up to 15 in 100.
const RETURNING_PART: f64 = 0.84;

/// The longest time to wait for the answer of an idempotent request before it is tried elsewhere, in objectives.
const SILENT_OBJECTIVES: u64 = 2;

/// What all requests of a host share.
pub struct Shared {
    /// The core hosts.
    pub link: link::Handle,
    /// The wire of the platform.
    pub protocol: Protocol,
    /// The failure domain of this host.
    pub domain: Arc<str>,
    /// The retry budget.
    pub budget: Mutex<Budget>,
    /// Whether this host keeps up.
    pub pace: Pace,
    /// Counters and histograms.
    pub meter: Arc<Meter>,
    /// Log.
    pub log: Logger,
    pool: Pool,
    sequence: AtomicU64,
    /// The longest deadline seen on each route, in ms; sorted by route.
    deadlines: Mutex<Vec<(Arc<str>, u64)>>,
}

impl Shared {
    /// What the requests of a host share.
    pub fn new(
        link: link::Handle,
        protocol: Protocol,
        domain: Arc<str>,
        budget: Budget,
        pace: Pace,
        meter: Arc<Meter>,
        log: Logger,
    ) -> Shared {
        Shared {
            link,
            protocol,
            domain,
            budget: Mutex::new(budget),
            pace,
            meter,
            log,
            pool: Pool::default(),
            sequence: AtomicU64::new(0),
            deadlines: Mutex::default(),
        }
    }

    /// Closes connections to backend servers that were idle for too long.
    pub fn prune(&self) {
        self.pool.prune();
    }

    /// Whether a caller has used up a part of its deadline in an earlier attempt.
    fn is_returning(&self, route: &Route, deadline_ms: u64) -> bool {
        let mut deadlines = self
            .deadlines
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let at = deadlines
            .binary_search_by(|(name, _)| name.cmp(&route.name))
            .unwrap_or_else(|at| {
                deadlines.insert(at, (Arc::clone(&route.name), 0));
                at
            });
        let longest = &mut deadlines[at].1;
        *longest = (*longest).max(deadline_ms);
        (deadline_ms as f64) < *longest as f64 * RETURNING_PART
    }
}

/// Answers a request.
pub async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let started = Time::now();
    let start = Instant::now();
    let (head, body) = request.into_parts();
    let metadata = (shared.protocol.read)(&head);
    let id = metadata
        .as_ref()
        .ok()
        .map(|metadata| Arc::clone(&metadata.attempt));
    let mut response = match admit(&shared, head, body, metadata, started, start).await {
        Ok(job) => job.run().await,
        Err(refusal) => {
            shared.meter.count(refusal.code);
            info!(shared.log, "request refused"; "id" => id.as_deref(), "code" => refusal.code,
                "status" => refusal.status.as_u16(), "message" => &refusal.message);
            refusal.response()
        }
    };
    if shared.pace.is_pressed() {
        // The caller's next connection goes to a host that is ready.
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Looks a request up and reads its body.
async fn admit(
    shared: &Arc<Shared>,
    head: request::Parts,
    body: Incoming,
    metadata: Result<Metadata, Malformed>,
    started: Time,
    start: Instant,
) -> Result<Job, Refusal> {
    // A caller that has just connected was taken or turned away then.
    let is_first = head.extensions.get::<listener::First>().is_some();
    if !is_first && shared.pace.sheds() {
        let message = "this host does not keep up with its callers";
        return Err(Refusal::not_run("host_behind", BEHIND_RETURN_MS, message));
    }
    let Some(table) = shared.link.table() else {
        let message = "this host has no configuration yet";
        return Err(Refusal::not_run("not_ready", NOT_READY_RETURN_MS, message));
    };
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let Some(route) = table.route(host, head.uri.path()) else {
        let message = format!("no route for host {host:?} and path {:?}", head.uri.path());
        let status = StatusCode::NOT_FOUND;
        return Err(Refusal::improper("unknown_route", status, message));
    };
    let metadata = metadata.map_err(|malformed| {
        let status = StatusCode::BAD_REQUEST;
        Refusal::improper("malformed_request", status, malformed.0)
    })?;
    let account = match table.caller(route, metadata.key.as_deref()) {
        Caller::Anonymous => None,
        Caller::Account(account) => Some(Arc::clone(&account.name)),
        Caller::Unknown => {
            let message = "the key is missing or names no account";
            let status = StatusCode::UNAUTHORIZED;
            return Err(Refusal::improper("unknown_key", status, message));
        }
    };
    let route = route.clone();
    let wait_ms = metadata
        .deadline_ms
        .map_or(route.timeout_ms, |deadline| deadline.min(route.timeout_ms));
    let draw = FixedState::default().hash_one(&metadata.attempt);
    let Some(pool) = choose_pool(&route, draw).cloned() else {
        let message = "the route has no pool";
        return Err(Refusal::not_run("no_server", NOT_READY_RETURN_MS, message));
    };
    let ends = start + Duration::from_millis(wait_ms);
    let limit = table.document().limits.max_body_bytes;
    let body = read_body(body, limit, ends).await?;
    let returning = metadata
        .deadline_ms
        .is_some_and(|deadline| shared.is_returning(&route, deadline));
    Ok(Job {
        shared: Arc::clone(shared),
        head,
        body,
        metadata,
        route,
        account,
        pool,
        version: table.document().version,
        started,
        ends,
        returning,
        tried: Vec::new(),
        sent: 0,
        unreachable: 0,
        may_have_run: false,
        server: None,
        wait_ms: 0,
        predicted_ms: 0,
        kept: 0,
        fetch_from: None,
        first_ms: None,
        demand: None,
    })
}

async fn read_body(body: Incoming, limit: u64, ends: Instant) -> Result<Bytes, Refusal> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let read = tokio::time::timeout_at(ends, Limited::new(body, limit).collect()).await;
    match read {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body is larger than {limit} bytes");
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(Refusal::improper("body_too_large", status, message))
        }
        Ok(Err(error)) => {
            let message = format!("the body cannot be read: {error}");
            let status = StatusCode::BAD_REQUEST;
            Err(Refusal::improper("body_unreadable", status, message))
        }
        Err(_) => {
            let message = "the body did not arrive in time";
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(Refusal::improper("body_unreadable", status, message))
        }
    }
}

/// A request on its way.
pub(crate) struct Job {
    pub(crate) shared: Arc<Shared>,
    head: request::Parts,
    body: Bytes,
    metadata: Metadata,
    pub(crate) route: Route,
    account: Option<Arc<str>>,
    pool: Arc<str>,
    /// Version of the document that decided.
    version: u64,
    pub(crate) started: Time,
    /// When the caller or the route gives up.
    pub(crate) ends: Instant,
    returning: bool,
    /// Servers that must not be chosen again.
    tried: Vec<Arc<str>>,
    /// Servers that it was sent to.
    sent: u32,
    unreachable: u32,
    /// Whether it may have run at a server that it was sent to.
    may_have_run: bool,
    /// The last server that it was sent to.
    server: Option<Arc<str>>,
    wait_ms: u32,
    predicted_ms: u32,
    kept: u32,
    /// The engine from which the server fetches kept parts.
    fetch_from: Option<SocketAddrV4>,
    /// When the first event was passed on, in ms after the arrival.
    first_ms: Option<u64>,
    /// What was placed last and not sent yet.
    demand: Option<Arc<Demand>>,
}

/// An answer whose head has arrived.
pub(crate) struct Answered {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) ticket: Ticket,
    failed: bool,
}

impl Job {
    async fn run(mut self) -> Response<Body> {
        self.count_request();
        loop {
            let answered = match self.answered(None).await {
                Ok(answered) => answered,
                Err(refusal) => return self.give_up(&refusal),
            };
            // A failure of the server is short, also where the answer would be a stream.
            let comes_in_pieces = self.route.kind.is_stream() && !answered.failed;
            if comes_in_pieces || is_large(&answered) {
                return self.pass_on(answered);
            }
            match self.hold(answered).await {
                Ok(Some(response)) => return response,
                Ok(None) => {}
                Err(refusal) => return self.give_up(&refusal),
            }
        }
    }

    fn give_up(&self, refusal: &Refusal) -> Response<Body> {
        self.ended(refusal.code, Some(refusal));
        refusal.response()
    }

    /// Sends the request until a server answers it, as long as it may be sent again. `resume_after` is the last event
    /// that the caller has.
    pub(crate) async fn answered(
        &mut self,
        resume_after: Option<&str>,
    ) -> Result<Answered, Refusal> {
        loop {
            let server = self.place().await?;
            let miss = match self.send(&server, resume_after).await {
                Ok(answered) => return Ok(answered),
                Err(miss) => miss,
            };
            self.may_have_run |= miss.refusal.verdict != Verdict::NotRun;
            self.may_go_on(&miss)?;
            self.shared.meter.count(miss.retry);
            info!(self.shared.log, "request sent again"; "id" => &*self.metadata.attempt,
                "reason" => miss.retry, "server" => &*server.id, "sent" => self.sent);
        }
    }

    fn count_request(&self) {
        let mut budget = self.budget();
        budget.request(self.started, &self.pool);
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, Budget> {
        self.shared
            .budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn remaining_ms(&self) -> u64 {
        self.ends
            .saturating_duration_since(Instant::now())
            .as_millis() as u64
    }

    async fn place(&mut self) -> Result<Server, Refusal> {
        if self.remaining_ms() == 0 {
            return Err(self.timed_out());
        }
        let sequence = self.shared.sequence.fetch_add(1, Ordering::Relaxed);
        let now = Time::now();
        let demand = Arc::new(Demand {
            key: Key {
                entry: self.shared.link.incarnation,
                sequence,
            },
            pool: Arc::clone(&self.pool),
            account: self.account.clone(),
            domain: Arc::clone(&self.shared.domain),
            prompt: self.metadata.prompt.clone(),
            objective_ms: self.route.objective_ms as u32,
            waited_ms: now.since(self.started) as u32,
            remaining_ms: self.remaining_ms() as u32,
            returning: self.returning,
            tried: self.tried.clone(),
        });
        let decision = self.shared.link.place(&demand).await;
        self.shared.meter.record("placing", Time::now().since(now));
        match decision {
            Decision::Place {
                server,
                predicted_ms,
                wait_ms,
                cached_tokens,
                fetch_from,
            } => {
                self.fetch_from = fetch_from;
                self.predicted_ms = predicted_ms;
                self.wait_ms = wait_ms;
                self.kept = cached_tokens;
                self.demand = Some(demand);
                Ok(server)
            }
            Decision::Refuse {
                reason,
                retry_after_ms,
                wait_ms,
            } => {
                self.wait_ms = wait_ms;
                let message = "no server is expected to answer in time";
                Err(self.refuse(Refusal::not_run(reason.code(), retry_after_ms, message)))
            }
        }
    }

    /// A refusal that claims no more than what is known after the earlier sends.
    fn refuse(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run && refusal.verdict == Verdict::NotRun {
            let status = StatusCode::BAD_GATEWAY;
            return Refusal::unknown(refusal.code, status, refusal.message);
        }
        refusal
    }

    fn timed_out(&self) -> Refusal {
        if self.sent == 0 {
            return Refusal::not_run(
                "timeout",
                FULL_RETURN_MS,
                "no server was found before the timeout",
            );
        }
        let status = StatusCode::GATEWAY_TIMEOUT;
        Refusal::unknown("timeout", status, "the server did not answer in time")
    }

    async fn send(
        &mut self,
        server: &Server,
        resume_after: Option<&str>,
    ) -> Result<Answered, Miss> {
        let Some(demand) = self.demand.take() else {
            return Err(Miss::not_run(
                "retry_not_sent",
                "no_server",
                "no server was found",
            ));
        };
        let mut ticket = Ticket::open(&self.shared.link, &demand, &server.id);
        let mut fresh_only = false;
        let response = loop {
            let kept = if fresh_only {
                None
            } else {
                self.shared.pool.kept(server)
            };
            let mut connection = match kept {
                Some(connection) => connection,
                None => match self.shared.pool.open(server).await {
                    Ok(connection) => {
                        self.shared.meter.count("connection_opened");
                        connection
                    }
                    Err(error) => {
                        ticket.end(Outcome::Unreachable);
                        self.tried.push(Arc::clone(&server.id));
                        self.unreachable += 1;
                        let message = format!("server {} cannot be reached: {error}", server.id);
                        return Err(Miss::not_run("retry_unreachable", "unreachable", &message));
                    }
                },
            };
            if connection.is_kept {
                self.shared.meter.count("connection_reused");
            }
            let request = self.request(server, resume_after);
            match self.exchange(&mut connection, request).await {
                Ok(response) => break (response, connection),
                // A kept connection was closed before the request left.
                Err(Some(Failure::NotSent)) => fresh_only = true,
                Err(Some(Failure::Broken(error))) => {
                    self.count_sent(server);
                    ticket.end(Outcome::Answered { failed: true });
                    let message = format!("the answer of server {} broke off: {error}", server.id);
                    return Err(Miss::unknown(
                        "retry_answer_broken",
                        "answer_broken",
                        &message,
                    ));
                }
                Err(None) => {
                    self.count_sent(server);
                    self.shared.pool.forget(&server.id);
                    let is_over = self.remaining_ms() == 0;
                    ticket.end(Outcome::Answered { failed: true });
                    let mut miss = Miss::unknown("retry_silent", "timeout", "");
                    if is_over {
                        miss.refusal = self.timed_out();
                    }
                    return Err(miss);
                }
            }
        };
        self.count_sent(server);
        let (response, connection) = response;
        let (head, body) = response.into_parts();
        match (self.shared.protocol.classify)(&head, &self.metadata.attempt) {
            Classification::Answer { failed } => {
                if !self.route.kind.is_stream() {
                    ticket.first();
                }
                Ok(Answered {
                    head,
                    body,
                    connection,
                    ticket,
                    failed,
                })
            }
            Classification::Full => {
                self.recycle(body, connection).await;
                ticket.end(Outcome::Full);
                self.shared.meter.count("server_full");
                Err(Miss::full(&server.id))
            }
            Classification::Replaced => {
                ticket.end(Outcome::Replaced);
                self.shared.meter.count("server_gone");
                let message = format!("another server has the address of {}", server.id);
                Err(Miss::not_run("retry_server_gone", "server_gone", &message).sent())
            }
            Classification::Invalid => {
                self.shared.pool.forget(&server.id);
                ticket.end(Outcome::Answered { failed: true });
                let message = format!("server {} sent something else than an answer", server.id);
                Err(Miss::unknown(
                    "retry_answer_broken",
                    "answer_foreign",
                    &message,
                ))
            }
        }
    }

    fn count_sent(&mut self, server: &Server) {
        self.sent += 1;
        self.server = Some(Arc::clone(&server.id));
        self.tried.push(Arc::clone(&server.id));
    }

    /// Sends the request and waits for the head of the answer; `None` if it did not come in time.
    async fn exchange(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Option<Failure>> {
        let mut ends = self.ends;
        let may_repeat = self.route.kind.is_repeatable() && self.sent + 1 < self.route.max_servers;
        if may_repeat {
            let patience = (self.route.objective_ms * SILENT_OBJECTIVES)
                .max(u64::from(self.predicted_ms) * SILENT_OBJECTIVES);
            ends = ends.min(Instant::now() + Duration::from_millis(patience));
        }
        match tokio::time::timeout_at(ends, connection.send(request)).await {
            Ok(result) => result.map_err(Some),
            Err(_) => Err(None),
        }
    }

    /// Whether a request that got no answer is sent again.
    fn may_go_on(&mut self, miss: &Miss) -> Result<(), Refusal> {
        let refusal = self.refuse(miss.refusal.clone());
        if self.remaining_ms() == 0 {
            return Err(self.timed_out());
        }
        if !miss.was_sent {
            return if self.unreachable < MAX_UNREACHABLE {
                Ok(())
            } else {
                Err(refusal)
            };
        }
        let verdict = miss.refusal.verdict;
        if !verdict.allows_retry(self.route.kind.is_repeatable()) {
            self.shared.meter.count("no_retry_non_idempotent");
            return Err(refusal);
        }
        // The address of a server that is gone leads to no server that was meant.
        let is_stray = miss.retry == "retry_server_gone";
        if self.sent >= self.route.max_servers && !is_stray {
            self.shared.meter.count("no_retry_attempts");
            return Err(refusal);
        }
        let hosts = self.shared.link.state().entries;
        if !self.budget().take(Time::now(), &self.pool, hosts) {
            self.shared.meter.count("no_retry_budget");
            return Err(refusal);
        }
        Ok(())
    }

    fn request(&self, server: &Server, resume_after: Option<&str>) -> Request<Full<Bytes>> {
        let mut headers = self.head.headers.clone();
        hop::remove(&mut headers);
        headers.remove(EXPECT);
        headers.remove(CONTENT_LENGTH);
        let outgoing = Outgoing {
            server,
            remaining_ms: self.remaining_ms(),
            account: self.account.as_deref(),
            fetch_from: self.fetch_from,
            resume_after,
        };
        (self.shared.protocol.write)(&mut headers, &outgoing);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = headers;
        request
    }

    /// Reads what is left of a short answer, so that its connection can be kept.
    async fn recycle(&self, body: Incoming, connection: Connection) {
        let read = Limited::new(body, MAX_HELD_BYTES as usize).collect();
        let limit = Duration::from_millis(100);
        if let Ok(Ok(_)) = tokio::time::timeout(limit, read).await {
            self.shared.pool.keep(connection);
        }
    }

    /// Holds an answer until it is complete, so that one that breaks off can be asked for again.
    async fn hold(&mut self, answered: Answered) -> Result<Option<Response<Body>>, Refusal> {
        let Answered {
            head,
            body,
            connection,
            ticket,
            failed,
        } = answered;
        let read = tokio::time::timeout_at(self.ends, body.collect()).await;
        let miss = match read {
            Ok(Ok(collected)) => {
                self.shared.pool.keep(connection);
                ticket.end(Outcome::Answered { failed });
                let miss = Miss::unknown("retry_server_failed", "server_failed", "");
                if failed && self.may_repeat_failed(&miss) {
                    self.shared.meter.count(miss.retry);
                    return Ok(None);
                }
                return Ok(Some(self.complete(head, collected.to_bytes(), failed)));
            }
            Ok(Err(error)) => {
                ticket.end(Outcome::Answered { failed: true });
                let message = format!("the answer broke off: {error}");
                Miss::unknown("retry_answer_broken", "answer_broken", &message)
            }
            Err(_) => {
                ticket.end(Outcome::Cancelled);
                return Err(self.timed_out());
            }
        };
        self.may_have_run = true;
        self.may_go_on(&miss)?;
        self.shared.meter.count(miss.retry);
        Ok(None)
    }

    /// Whether a request that its server failed is sent to another one. Nothing else is lost if it is not: the answer is
    /// there.
    fn may_repeat_failed(&mut self, miss: &Miss) -> bool {
        self.may_have_run = true;
        self.route.kind.is_repeatable() && self.may_go_on(miss).is_ok()
    }

    fn complete(&self, head: response::Parts, body: Bytes, failed: bool) -> Response<Body> {
        self.answered_whole(if failed { "server_failed" } else { "served" });
        let mut response = Response::new(Body::whole(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        hop::remove(response.headers_mut());
        response
    }

    /// Passes an answer on as it comes.
    fn pass_on(self, answered: Answered) -> Response<Body> {
        let mut response = Response::new(Body::whole(Bytes::new()));
        *response.status_mut() = answered.head.status;
        *response.headers_mut() = answered.head.headers.clone();
        hop::remove(response.headers_mut());
        let resumes = answered.head.status.is_success()
            && self.route.kind.is_stream()
            && self.route.kind.is_repeatable();
        if resumes {
            // The rest may come from another server.
            response.headers_mut().remove(CONTENT_LENGTH);
            let (pieces, received) = mpsc::channel(stream::PIECES);
            tokio::spawn(stream::carry(self, answered, pieces));
            *response.body_mut() = Body::Pieces(received);
        } else {
            let answer = direct::Answer::new(self, answered);
            *response.body_mut() = Body::Direct(Box::pin(answer));
        }
        response
    }

    /// Whether a stream that broke off for `reason` goes on at another server.
    pub(crate) fn may_resume(&mut self, reason: &str) -> bool {
        self.may_have_run = true;
        let miss = Miss::unknown("stream_resumed", "stream_broken", reason);
        let may_go_on = self.may_go_on(&miss).is_ok();
        self.broke_off(reason, may_go_on);
        if may_go_on {
            self.shared.meter.count(miss.retry);
        }
        may_go_on
    }

    pub(crate) fn broke_off(&self, reason: &str, goes_on: bool) {
        info!(self.shared.log, "stream broke off"; "id" => &*self.metadata.attempt,
            "server" => self.server.as_deref(), "reason" => reason, "goes_on" => goes_on);
    }

    /// Records an answer that is complete.
    pub(crate) fn answered_whole(&self, code: &'static str) {
        let latency = Time::now().since(self.started);
        self.shared.meter.record("answer", latency);
        self.ended(code, None);
    }

    /// Records that a piece of the answer is passed on.
    pub(crate) fn passed(&mut self) {
        if self.first_ms.is_none() {
            let latency = Time::now().since(self.started);
            self.first_ms = Some(latency);
            self.shared.meter.record("first_event", latency);
        }
    }

    pub(crate) fn keep(&self, connection: Connection) {
        self.shared.pool.keep(connection);
    }

    /// Counts what became of a request that was looked up, and logs it in one line with what decided.
    pub(crate) fn ended(&self, outcome: &'static str, refusal: Option<&Refusal>) {
        self.shared.meter.count(outcome);
        info!(self.shared.log, "request ended"; "id" => &*self.metadata.attempt,
            "route" => &*self.route.name, "version" => self.version,
            "account" => self.account.as_deref(), "pool" => &*self.pool,
            "server" => self.server.as_deref(), "sent" => self.sent,
            "returning" => self.returning, "deadline_ms" => self.metadata.deadline_ms,
            "input" => self.metadata.prompt.as_ref().map(|prompt| prompt.input_tokens),
            "shared" => self.metadata.prompt.as_ref().map(Prompt::shared_tokens), "kept" => self.kept,
            "fetch_from" => self.fetch_from.map(|address| address.to_string()),
            "predicted_ms" => self.predicted_ms, "ahead_ms" => self.wait_ms,
            "first_ms" => self.first_ms, "ms" => Time::now().since(self.started), "outcome" => outcome,
            "verdict" => refusal.map(|refusal| refusal.verdict.as_str()),
            "message" => refusal.map(|refusal| &*refusal.message));
    }
}

fn is_large(answered: &Answered) -> bool {
    let length = answered.head.headers.get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse::<u64>().ok());
    length.is_some_and(|length| length > MAX_HELD_BYTES)
}
