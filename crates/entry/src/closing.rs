//! Why callers' connections end: one counter for each reason, and a log line for the connections that this host closes
//! or that end while a request is not answered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;

use hyper::header::CONNECTION;
use hyper::{HeaderMap, Version};
use primrose_base::clock::Time;
use primrose_observe::Meter;
use primrose_route::Table;
use slog::{Logger, info};
use tokio::sync::watch;

use crate::framing::Tracker;
use crate::idle::{self, Activity, Timeouts};
use crate::slow::Flow;

/// The reason for the end of a connection on which a request was answered before its body was read.
const BODY_UNREAD: &str = "closed_body_unread";

/// The reason for the end of a connection whose last answer said that it is closed.
const ANNOUNCED: &str = "closed_announced";

/// The reason for the end of a connection on which something else than a request arrived, or a head that is too large.
const PROTOCOL: &str = "closed_protocol";

/// Where the ends of connections are counted and logged.
#[derive(Clone, Debug)]
pub struct Log {
    /// Counters; the names are in [`crate::counter`].
    pub meter: Arc<Meter>,
    /// The log of the process.
    pub log: Logger,
    /// The routing table of the document in force.
    pub table: watch::Receiver<Option<Arc<Table>>>,
}

/// HTTP request extension through which the handler tells what it knows about the request of a connection.
#[derive(Clone, Debug, Default)]
pub struct Exchange(Arc<Facts>);

#[derive(Debug, Default)]
struct Facts {
    attempt: OnceLock<Arc<str>>,
    /// Version of the document in force when the request was admitted.
    version: OnceLock<u64>,
    /// The code with which the request ended.
    code: OnceLock<&'static str>,
    is_body_read: AtomicBool,
}

impl Exchange {
    /// Records the attempt id of the request.
    pub fn set_attempt(&self, attempt: &Arc<str>) {
        self.0.attempt.get_or_init(|| Arc::clone(attempt));
    }

    /// Records the version of the document in force when the request was admitted.
    pub fn set_version(&self, version: u64) {
        self.0.version.get_or_init(|| version);
    }

    /// Records the code with which the request ended. Only the first call has an effect.
    pub fn set_code(&self, code: &'static str) {
        self.0.code.get_or_init(|| code);
    }

    /// Records that the whole body of the request was read.
    pub fn set_body_read(&self) {
        self.0.is_body_read.store(true, Ordering::Relaxed);
    }

    fn is_body_read(&self) -> bool {
        self.0.is_body_read.load(Ordering::Relaxed)
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No request head has been received since the last answer.
    Idle,
    /// A request is being handled.
    Handling,
    /// An answer is being sent.
    Answering,
}

/// What has happened on a connection so far.
struct State {
    opened: Time,
    stage: Stage,
    /// The time at which the stage began.
    since: Time,
    /// The time at which the last byte was read from the caller.
    last_read: Time,
    /// The time at which the first byte of the next request head was read.
    head_since: Option<Time>,
    /// The limit for an idle connection that was in force when the stage began, in ms.
    idle_limit_ms: u64,
    /// What has been read.
    framing: Tracker,
    /// Number of request heads received.
    requests: u64,
    /// Number of answers that were passed on whole.
    answered: u64,
    /// The last request.
    exchange: Option<Exchange>,
    /// The stage in which the caller closed the connection.
    closed_by_caller: Option<Stage>,
    /// Whether the last request has an older version than HTTP/1.1, so that the end of its connection is taken for the end
    /// of an answer without a length.
    is_old: bool,
    /// Whether the last request asked for the connection to be closed.
    is_close_asked: bool,
    /// Whether the last answer announced that the connection is closed.
    is_close_announced: bool,
    is_interrupted: bool,
    has_write_error: bool,
    /// Whether the connection has ended. What its drop does to the answer is not recorded.
    has_ended: bool,
}

/// Records what happens on one connection. Clones share the record. Invariant: its end is counted once, even if the
/// task of the connection panics or is dropped.
#[derive(Clone)]
pub(crate) struct Record {
    state: Arc<Mutex<State>>,
    /// What waits for the caller.
    pub(crate) flow: Arc<Flow>,
    timeouts: idle::Source,
}

impl Record {
    pub(crate) fn new(timeouts: idle::Source) -> Record {
        let now = Time::now();
        let idle_limit_ms = timeouts().idle_ms;
        let state = Arc::new(Mutex::new(State {
            opened: now,
            stage: Stage::Idle,
            since: now,
            last_read: now,
            head_since: None,
            idle_limit_ms,
            framing: Tracker::default(),
            requests: 0,
            answered: 0,
            exchange: None,
            closed_by_caller: None,
            is_old: false,
            is_close_asked: false,
            is_close_announced: false,
            is_interrupted: false,
            has_write_error: false,
            has_ended: false,
        }));
        Record {
            state,
            flow: Arc::default(),
            timeouts,
        }
    }

    /// The limits in force.
    pub(crate) fn timeouts(&self) -> Timeouts {
        (self.timeouts)()
    }

    /// What the connection waits for.
    pub(crate) fn activity(&self) -> Activity {
        let state = self.lock();
        match (state.stage, state.head_since) {
            (Stage::Idle, Some(since)) => Activity::Head(since),
            (Stage::Idle, None) => Activity::Idle {
                since: state.since,
                limit_ms: state.idle_limit_ms,
            },
            (Stage::Handling | Stage::Answering, _) => Activity::Request,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Nothing can panic between two changes, so the state is valid even after a panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records bytes that were read, or the end of the connection if there are none.
    pub(crate) fn record_read(&self, bytes: &[u8]) {
        let mut state = self.lock();
        state.framing.read(bytes);
        if !bytes.is_empty() {
            let now = Time::now();
            state.last_read = now;
            // The rest of a body that was not read is no head.
            if state.stage == Stage::Idle && state.is_body_read() {
                state.head_since.get_or_insert(now);
            }
        } else {
            state.closed_by_caller = state.closed_by_caller.or(Some(state.stage));
        }
    }

    /// Whether a part of a further request has arrived while one is handled.
    pub(crate) fn has_further_request(&self) -> bool {
        self.lock().has_further_request()
    }

    /// Records that bytes of an answer were written. A connection is idle only after the last of them.
    pub(crate) fn record_written(&self, bytes: usize) {
        self.flow.record_written(bytes);
        let mut state = self.lock();
        if state.stage == Stage::Idle {
            state.since = Time::now();
        }
    }

    pub(crate) fn record_write_error(&self) {
        self.lock().has_write_error = true;
    }

    /// Records the head of a request. The handler gets the returned exchange.
    pub(crate) fn record_request<B: http_body::Body>(
        &self,
        request: &hyper::Request<B>,
    ) -> Exchange {
        let exchange = Exchange::default();
        if request.body().is_end_stream() {
            exchange.set_body_read();
        }
        self.flow.record_request();
        let mut state = self.lock();
        state.begin(Stage::Handling);
        state.requests += 1;
        state.exchange = Some(exchange.clone());
        state.is_old = request.version() < Version::HTTP_11;
        state.is_close_asked = state.is_old || announces_close(request.headers());
        exchange
    }

    pub(crate) fn record_answer_head(&self, headers: &HeaderMap) {
        let mut state = self.lock();
        state.begin(Stage::Answering);
        state.is_close_announced = announces_close(headers);
    }

    pub(crate) fn record_interrupted(&self) {
        self.lock().is_interrupted = true;
    }

    /// Whether an answer was broken off and looks complete to its caller unless the connection is reset.
    pub(crate) fn needs_reset(&self) -> bool {
        let state = self.lock();
        state.is_interrupted && state.is_old
    }

    /// Records that the connection has ended, before it is dropped.
    pub(crate) fn record_end(&self) {
        self.lock().has_ended = true;
    }

    /// Records that hyper has taken the whole answer.
    pub(crate) fn record_answer_end(&self) {
        let mut state = self.lock();
        if !state.is_interrupted && !state.has_ended {
            state.answered += 1;
            state.begin(Stage::Idle);
            state.head_since = state.has_further_request().then_some(state.since);
            state.idle_limit_ms = (self.timeouts)().idle_ms;
        }
    }
}

impl State {
    fn begin(&mut self, stage: Stage) {
        self.stage = stage;
        self.since = Time::now();
        self.head_since = None;
    }

    fn has_further_request(&self) -> bool {
        self.framing.begun() > self.requests
    }

    fn is_body_read(&self) -> bool {
        self.exchange.as_ref().is_none_or(Exchange::is_body_read)
    }

    /// Name of the counter for the end of the connection.
    fn reason(&self, end: &End) -> &'static str {
        let has_partial_head = self.stage == Stage::Idle && end.unparsed > 0;
        match &end.result {
            None if thread::panicking() => "closed_panic",
            None => "closed_at_stop",
            _ if self.is_interrupted => "closed_interrupted",
            _ if self.has_write_error => "closed_write_error",
            _ if self.closed_by_caller == Some(Stage::Idle) && !has_partial_head => {
                "closed_by_caller_idle"
            }
            _ if self.closed_by_caller.is_some() => "closed_by_caller",
            Some(Err(error)) if error.is_user() => "closed_interrupted",
            _ if end.is_expired && has_partial_head => "closed_partial_head",
            _ if end.is_expired => "closed_idle",
            Some(Err(error)) if error.is_parse() => PROTOCOL,
            Some(Err(_)) => "closed_other",
            // hyper discards a body that has arrived whole and keeps the connection. Otherwise it closes the connection
            // at once, so the end of a connection that it kept has one of the reasons above or is a shutdown.
            Some(Ok(()))
                if !self.is_body_read() && (self.is_close_announced || !end.is_shutdown) =>
            {
                BODY_UNREAD
            }
            Some(Ok(())) if self.is_close_announced => ANNOUNCED,
            Some(Ok(())) if self.is_close_asked => "closed_as_asked",
            Some(Ok(())) if end.is_shutdown => "closed_shutdown",
            Some(Ok(())) => "closed_other",
        }
    }
}

/// What made the connection end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The caller, an error, or an answer after which the connection is closed.
    Connection,
    /// The listener is in the closing phase.
    Shutdown,
    /// Nothing has happened on the connection for longer than the listener allows.
    Expired,
}

/// How a connection has ended.
struct End {
    /// The result of the connection, or `None` if its task panicked or was dropped.
    result: Option<hyper::Result<()>>,
    /// Number of bytes that were read but belong to no request whose head was parsed.
    unparsed: usize,
    /// Number of bytes that the kernel has received but this process has not read.
    unread: u64,
    /// Whether the listener is in the closing phase.
    is_shutdown: bool,
    /// Whether nothing has happened on the connection for longer than the listener allows.
    is_expired: bool,
}

impl End {
    /// Whether bytes were read that belong to no request so far. If the task of the connection was dropped, the record
    /// of its reads tells.
    fn is_within_head(&self, state: &State) -> bool {
        self.unparsed > 0 || self.result.is_none() && state.head_since.is_some()
    }
}

/// Counts and logs the end of a connection once. To be dropped before the connection, whose drop ends the answer.
pub(crate) struct Guard {
    log: Option<Log>,
    record: Record,
    caller: Option<SocketAddr>,
}

impl Guard {
    /// `log` is `None` if the connections of the listener are not counted.
    pub(crate) fn new(log: Option<Log>, record: Record, caller: Option<SocketAddr>) -> Guard {
        Guard {
            log,
            record,
            caller,
        }
    }

    /// Records the end of the connection. Returns a value if the caller may still be sending while an answer is on its
    /// way to it, which would be lost if the connection were closed with unread bytes. `unparsed` is the number of bytes
    /// that were read but belong to no request whose head was parsed, `unread` the number of those that the process has
    /// not read.
    pub(crate) fn end(
        mut self,
        result: hyper::Result<()>,
        cause: Cause,
        unparsed: usize,
        unread: u64,
    ) -> Option<Sending> {
        let end = End {
            result: Some(result),
            unparsed,
            unread,
            is_shutdown: cause == Cause::Shutdown,
            is_expired: cause == Cause::Expired,
        };
        let reason = self.reason(&end);
        let log = self.log.take();
        if let Some(log) = &log {
            self.write(log, &end, reason);
        }
        let is_sending = match reason {
            BODY_UNREAD | PROTOCOL => true,
            ANNOUNCED => unparsed > 0 || unread > 0,
            _ => false,
        };
        is_sending.then(|| Sending {
            log,
            record: self.record.clone(),
            caller: self.caller,
            is_closed: false,
        })
    }

    /// Name of the counter for the end of the connection.
    fn reason(&self, end: &End) -> &'static str {
        if self.record.flow.is_cut() {
            return "closed_slow_reader";
        }
        self.record.lock().reason(end)
    }

    fn write(&self, log: &Log, end: &End, reason: &'static str) {
        let state = self.record.lock();
        log.meter.count(reason);
        // The bytes that follow an unread body belong to it.
        let has_partial_head =
            state.stage == Stage::Idle && end.is_within_head(&state) && reason != BODY_UNREAD;
        let is_unanswered = state.stage != Stage::Idle || state.has_write_error || has_partial_head;
        // Most connections end in one of these ways, and a log line for each would cost too much.
        let is_usual = matches!(reason, "closed_by_caller_idle" | "closed_as_asked");
        if is_usual && !is_unanswered && end.unread == 0 {
            return;
        }
        let now = Time::now();
        let table = log.table.borrow().clone();
        let document = table.as_ref().map(|table| table.document());
        let facts = state.exchange.as_ref().map(|exchange| &exchange.0);
        let error = end.result.as_ref().and_then(|result| result.as_ref().err());
        let is_idle = state.stage == Stage::Idle;
        info!(log.log, "connection closed"; "reason" => reason,
            "caller" => self.caller.map(|caller| caller.to_string()),
            "age_ms" => now.since(state.opened), "requests" => state.requests,
            "answered" => state.answered, "idle_ms" => is_idle.then(|| now.since(state.since)),
            "read_ms_ago" => now.since(state.last_read), "unanswered" => is_unanswered,
            "partial_head" => has_partial_head, "unread" => end.unread,
            "id" => facts.and_then(|facts| facts.attempt.get()).map(|id| &**id),
            "code" => facts.and_then(|facts| facts.code.get()).copied(),
            "body_read" => state.is_body_read(),
            "version" => facts.and_then(|facts| facts.version.get()).copied(),
            "version_at_end" => document.map(|document| document.version),
            "idle_limit_ms" => document.map(|document| document.limits.idle_timeout_ms),
            "error" => error.map(ToString::to_string));
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(log) = self.log.take() {
            let end = End {
                result: None,
                unparsed: 0,
                unread: 0,
                is_shutdown: false,
                is_expired: false,
            };
            let reason = self.reason(&end);
            self.write(&log, &end, reason);
        }
    }
}

/// A caller that may still be sending a request that was answered. Its drop counts and logs a caller whose connection is
/// open and whose request is known to be incomplete, also when the process ends: such a caller may lose the answer. A
/// caller that sends its body in chunks is counted only within the head, since the end of the body is not followed.
pub(crate) struct Sending {
    log: Option<Log>,
    record: Record,
    caller: Option<SocketAddr>,
    is_closed: bool,
}

impl Sending {
    /// Records whether the connection has ended: the caller has closed it, or it has failed.
    pub(crate) fn end(mut self, is_closed: bool) {
        self.is_closed = is_closed;
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        let Some(log) = self.log.take().filter(|_| !self.is_closed) else {
            return;
        };
        let state = self.record.lock();
        if !state.framing.is_within_request() {
            return;
        }
        log.meter.count("sending_cut_off");
        let facts = state.exchange.as_ref().map(|exchange| &exchange.0);
        let now = Time::now();
        info!(log.log, "caller still sent when its connection was closed";
            "caller" => self.caller.map(|caller| caller.to_string()),
            "answered_ms_ago" => now.since(state.since),
            "read_ms_ago" => now.since(state.last_read),
            "id" => facts.and_then(|facts| facts.attempt.get()).map(|id| &**id),
            "code" => facts.and_then(|facts| facts.code.get()).copied());
    }
}

fn announces_close(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION).iter();
    values.any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
