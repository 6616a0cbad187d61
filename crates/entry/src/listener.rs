//! The HTTP/1 server for callers, the platform and operators.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use primrose_base::clock::Time;
use primrose_wire::linger;
use rustix::io::Errno;
use rustix::net::{SocketFlags, accept_with};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{unconstrained, yield_now};
use tokio::time::Instant;

use crate::body::Body;
use crate::closing::{self, Cause, Guard, Record};
use crate::idle::{self, Activity};
use crate::overload::{self, Detector};
use crate::pressure::{Intake, Next};
use crate::slow;
use crate::tracked::{Answer, Socket};

/// The largest head of a request that the listener accepts, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// How long the listener stays closed: until the overload has been measured again.
const REOPEN_DELAY: Duration = overload::SAMPLE_INTERVAL;

/// How long nothing is accepted after an error. The error may persist, and without a pause the loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The phase of the shutdown of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Connections are kept open for further requests.
    Serving,
    /// Each answer closes its connection, unless a further request has arrived on it.
    Leaving,
    /// Idle connections are closed too, and no new connections are accepted.
    Closing,
    /// All connections are closed, except those whose callers still send a request that was answered.
    Ended,
}

/// HTTP request extension that marks the first request of a connection. The overload check was made for this request
/// when the connection was accepted.
#[derive(Clone, Copy, Debug)]
pub struct FirstRequest {
    /// Whether the check found that the request is to be refused.
    pub is_shed: bool,
}

/// A handle to a running listener.
#[derive(Clone, Debug)]
pub struct Handle {
    connections: Arc<AtomicUsize>,
    /// In ms, as [`Time`].
    last_accepted: Arc<AtomicU64>,
    /// The address on which the listener accepts connections.
    pub address: SocketAddr,
}

impl Handle {
    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// When the last connection was accepted; [`Time::ZERO`] before the first one.
    pub fn last_accepted(&self) -> Time {
        Time::from_ms(self.last_accepted.load(Ordering::Relaxed))
    }
}

/// Limits of the connections of a listener.
#[derive(Clone)]
pub struct Limits {
    /// The limits after which connections are closed on which nothing happens.
    pub timeouts: idle::Source,
    /// The most open connections. Above half of it, each answer closes its connection, so that file descriptors and
    /// memory remain for requests. At the limit, new connections are closed at once.
    pub max_connections: usize,
    /// Detects whether the host is overloaded. An overloaded host closes new connections without reading from them:
    /// that costs it much less than a refusal, and callers go to another host at once.
    pub overload: Detector,
    /// Where the ends of connections are counted and logged, or `None` if they are not.
    pub closings: Option<closing::Log>,
    /// Bounds what waits for slow readers, or `None` if it is not bounded.
    pub readers: Option<slow::Register>,
}

/// Listens on `address` and answers each request with `handle`.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn bind<F, R>(
    address: SocketAddr,
    limits: Limits,
    phase: watch::Receiver<Phase>,
    handle: F,
) -> io::Result<Handle>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let connections = Arc::new(AtomicUsize::new(0));
    let last_accepted = Arc::new(AtomicU64::new(Time::ZERO.as_ms()));
    let running = Handle {
        connections: Arc::clone(&connections),
        last_accepted: Arc::clone(&last_accepted),
        address: listener.local_addr()?,
    };
    let admission = Admission {
        limits,
        connections,
    };
    let (shared_admission, closing) = (admission.clone(), phase.clone());
    let start_serving = move |stream: TcpStream, is_shed: bool| {
        last_accepted.store(Time::now().as_ms(), Ordering::Relaxed);
        let open = OpenConnection::new(&shared_admission.connections);
        let served = serve(
            stream,
            is_shed,
            shared_admission.clone(),
            phase.clone(),
            handle.clone(),
        );
        tokio::spawn(async move {
            served.await;
            drop(open);
        });
    };
    let accepting = accept(listener, running.address, closing, admission, start_serving);
    tokio::spawn(unconstrained(accepting));
    Ok(running)
}

/// Accepts connections until the closing phase, and passes the admitted ones to `start_serving`.
///
/// Pending connections are accepted in one pass, within the limits of [`Intake`]. On a busy host it takes long until
/// the task runs again, and callers whose connections are not accepted cannot go to another host.
async fn accept(
    mut listener: TcpListener,
    address: SocketAddr,
    mut closing: watch::Receiver<Phase>,
    admission: Admission,
    start_serving: impl Fn(TcpStream, bool),
) {
    let mut intake = Intake::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Callers whose connections are not accepted any more reach another host at once. A request that is
            // accepted this late might not end before the process does.
            _ = closing.wait_for(|phase| *phase >= Phase::Closing) => return,
        };
        intake.begin(Time::now(), admission.limits.overload.thresholds());
        match accepted {
            Ok((stream, _)) => {
                let entrance = admission.entrance(&intake);
                intake.record(entrance != Entrance::Served);
                match entrance {
                    Entrance::Served => start_serving(stream, false),
                    Entrance::Refused => start_serving(stream, true),
                    Entrance::Closed => drop(stream),
                }
            }
            // For example, no file descriptors are left.
            Err(_) => {
                admission.limits.overload.count("accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
        let next = loop {
            let mut is_empty = false;
            while intake.may_take() {
                let Some(socket) = accept_pending(&listener) else {
                    is_empty = true;
                    break;
                };
                let entrance = admission.entrance(&intake);
                intake.record(entrance != Entrance::Served);
                if entrance == Entrance::Closed {
                    drop(socket);
                    continue;
                }
                match TcpStream::from_std(socket.into()) {
                    Ok(stream) => start_serving(stream, entrance == Entrance::Refused),
                    Err(_) => admission.limits.overload.count("accept_failed"),
                }
            }
            let next = intake.end(is_empty);
            if next != Next::Yield {
                break next;
            }
            yield_now().await;
            if *closing.borrow() >= Phase::Closing {
                return;
            }
            intake.begin(Time::now(), admission.limits.overload.thresholds());
        };
        let delay = match next {
            Next::Wait | Next::Yield => continue,
            Next::Renew => {
                admission.limits.overload.count("listener_renewed");
                Duration::ZERO
            }
            Next::Close => {
                admission.limits.overload.count("listener_closed");
                REOPEN_DELAY
            }
        };
        drop(listener);
        listener = tokio::select! {
            listener = reopen(address, delay, &admission.limits.overload) => listener,
            _ = closing.wait_for(|phase| *phase >= Phase::Closing) => return,
        };
    }
}

/// Listens again after `delay`. Binding is retried without limit, because the host is useless without its address.
async fn reopen(address: SocketAddr, delay: Duration, overload: &Detector) -> TcpListener {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => overload.count("listener_not_opened"),
        }
        tokio::time::sleep(REOPEN_DELAY).await;
    }
}

/// Accepts a pending connection without waiting. The connection is not registered with the runtime yet, which would
/// be wasted work for one that is rejected.
fn accept_pending(listener: &TcpListener) -> Option<OwnedFd> {
    loop {
        match accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
            Ok(socket) => return Some(socket),
            // The caller has already disconnected, or a signal interrupted the call.
            Err(Errno::CONNABORTED | Errno::INTR) => {}
            // No connection is pending. Any other error occurs again at the next accept of the runtime.
            Err(_) => return None,
        }
    }
}

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entrance {
    Served,
    /// Its first request gets a refusal, after which callers go to another host.
    Refused,
    /// It is closed without reading from it, which costs least. Callers connect again at once, mostly to this host.
    Closed,
}

/// Decides which connections are admitted, and which stay open after an answer.
#[derive(Clone)]
struct Admission {
    limits: Limits,
    connections: Arc<AtomicUsize>,
}

impl Admission {
    fn open(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    fn entrance(&self, intake: &Intake) -> Entrance {
        if self.open() >= self.limits.max_connections {
            Entrance::Closed
        } else if !self.limits.overload.rejects_connection(intake) {
            Entrance::Served
        } else if intake.may_refuse() {
            Entrance::Refused
        } else {
            Entrance::Closed
        }
    }

    /// Whether answers close their connections because more than half of the allowed connections are open.
    fn closes_after_answer(&self) -> bool {
        self.open() > self.limits.max_connections / 2
    }
}

/// Counts a connection from creation to drop.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(count: &Arc<AtomicUsize>) -> OpenConnection {
        count.fetch_add(1, Ordering::Relaxed);
        OpenConnection(Arc::clone(count))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// When the activity of a connection is checked next.
fn next_check(record: &Record) -> Instant {
    let now = Time::now();
    let next = record.timeouts().next_check(now, record.activity());
    Instant::now() + next.until(now)
}

async fn serve<F, R>(
    stream: TcpStream,
    is_shed: bool,
    admission: Admission,
    phase: watch::Receiver<Phase>,
    handle: F,
) where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<Body>>,
{
    // Otherwise small writes of an answer wait until the caller acknowledges earlier ones (Nagle's algorithm). If the
    // option cannot be set, the next read returns the error.
    let _ = stream.set_nodelay(true);
    let limits = &admission.limits;
    let caller = stream.peer_addr().ok();
    let record = Record::new(Arc::clone(&limits.timeouts));
    let service_phase = phase.clone();
    let is_first = AtomicBool::new(true);
    let service = service_fn(|mut request: Request<Incoming>| {
        if is_first.swap(false, Ordering::Relaxed) {
            request.extensions_mut().insert(FirstRequest { is_shed });
        }
        let exchange = record.record_request(&request);
        request.extensions_mut().insert(exchange);
        let answer = handle(request);
        let phase = service_phase.clone();
        let (admission, record) = (&admission, record.clone());
        async move {
            let mut response = answer.await;
            // A caller takes no answer after one that closes the connection, so a request that has arrived already is
            // answered before.
            let is_last = *phase.borrow() != Phase::Serving && !record.has_further_request();
            if admission.closes_after_answer() || is_last {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            record.record_answer_head(response.headers());
            Ok::<_, Infallible>(response.map(|body| Answer::new(body, record)))
        }
    });
    if let Some(readers) = &limits.readers {
        if readers.is_on() {
            slow::bound_buffers(&stream);
        }
        readers.add(&stream, &record.flow);
    }
    let socket = Socket::new(stream, record.clone());
    let mut connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    // Declared after the connection, so that it is dropped before.
    let guard = Guard::new(limits.closings.clone(), record.clone(), caller);
    let mut closing_phase = phase.clone();
    let mut closing = pin!(closing_phase.wait_for(|phase| *phase >= Phase::Closing));
    let mut ended_phase = phase.clone();
    let mut ended = pin!(ended_phase.wait_for(|phase| *phase == Phase::Ended));
    let mut may_end = true;
    let mut is_closing = false;
    let mut timer = pin!(tokio::time::sleep_until(next_check(&record)));
    let mut is_expired = false;
    let result = loop {
        tokio::select! {
            // What has arrived is read before the connection is closed for another reason.
            biased;
            result = &mut connection => break result,
            _ = &mut closing, if !is_closing => {
                is_closing = true;
                // The answer to the last request of which a part has arrived closes the connection in this phase.
                if !matches!(record.activity(), Activity::Head(_)) && !record.has_further_request() {
                    Pin::new(&mut connection).graceful_shutdown();
                }
            }
            reached = &mut ended, if may_end => {
                if reached.is_ok() {
                    return;
                }
                // Without a sender, the phase does not change any more.
                may_end = false;
            }
            () = &mut timer => {
                let activity = record.activity();
                let due = record.timeouts().due(activity);
                is_expired = due.is_some_and(|due| due <= Time::now());
                if is_expired {
                    // hyper neither ends a connection within a head nor one whose caller does not read the last answer.
                    break Ok(());
                }
                timer.as_mut().reset(next_check(&record));
            }
        }
    };
    let cause = if is_expired {
        Cause::Expired
    } else if *phase.borrow() >= Phase::Closing {
        Cause::Shutdown
    } else {
        Cause::Connection
    };
    record.record_end();
    let parts = connection.into_parts();
    let mut socket = parts.io.into_inner();
    if record.needs_reset() {
        socket.reset_on_drop();
    }
    // After an error the connection is closed, which tells the caller.
    let sending = guard.end(result, cause, parts.read_buf.len(), socket.unread());
    if let Some(sending) = sending {
        sending.end(linger::discard(&mut socket).await);
    }
}
