//! Serves HTTP to callers, the platform and operators.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::io::Errno;
use rustix::net::{SocketFlags, accept_with};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::unconstrained;

use crate::body::Body;
use crate::pace::{self, Pace};

/// The largest head of a request, in bytes, as far as the listener is concerned.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Connections that are turned away in one turn; then the listener is closed for a while. Callers that are turned away
/// come back at once, and in a flood of thousands a second the host closed 3,400 connections beside 150 requests that it
/// served in half a second. The kernel refuses them without the host.
const MAX_TURNED_AWAY: usize = 8;

/// How long the listener is closed: until the pace has been measured anew.
const REST: Duration = pace::INTERVAL;

/// How long nothing is accepted after an error, which may last: without a pause the loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How far a process is with leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Connections are kept open for further requests.
    Serving,
    /// Each answer ends its connection.
    Leaving,
    /// Idle connections are closed too, and no new ones are accepted.
    Closing,
}

/// An extension of the first request of a connection. Whether the host takes it was decided when it took the connection.
#[derive(Clone, Copy, Debug)]
pub struct First;

/// A running listener.
#[derive(Clone, Debug)]
pub struct Handle {
    connections: Arc<AtomicUsize>,
    /// The address that it listens on.
    pub address: SocketAddr,
}

impl Handle {
    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Limits of the connections of a listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// A connection that is idle for so long is closed.
    pub idle: Duration,
    /// The most connections. Beyond half of them each answer ends its connection, so that a host that callers press on
    /// keeps descriptors and memory for the requests; beyond all of them new ones are closed at once.
    pub max_connections: usize,
    /// Whether the host keeps up. One that does not closes new connections unread: that takes far less of it than a
    /// refusal, and callers go to another host at once.
    pub pace: Pace,
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
    let running = Handle {
        connections: Arc::clone(&connections),
        address: listener.local_addr()?,
    };
    let door = Door {
        limits,
        connections,
    };
    let (inside, closing) = (door.clone(), phase.clone());
    let take = move |stream: TcpStream| {
        let open = Open::new(&inside.connections);
        let served = serve(stream, inside.clone(), phase.clone(), handle.clone());
        tokio::spawn(async move {
            served.await;
            drop(open);
        });
    };
    let accepting = accept(listener, running.address, closing, door, take);
    tokio::spawn(unconstrained(accepting));
    Ok(running)
}

/// Accepts connections until the process closes, and hands those that the door lets in to `take`.
///
/// All connections that wait are accepted in one turn: on a busy host the next turn is far off, and callers whose connection
/// is not accepted cannot go to another host.
async fn accept(
    mut listener: TcpListener,
    address: SocketAddr,
    mut closing: watch::Receiver<Phase>,
    door: Door,
    take: impl Fn(TcpStream),
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Callers that are turned away here reach another host at once; a request that is taken so late may not end
            // before the process does.
            _ = closing.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        let mut turned_away = 0;
        match accepted {
            // Callers retry a connection that is closed unread at another host.
            Ok((stream, _)) if door.turns_away() => {
                drop(stream);
                turned_away += 1;
            }
            Ok((stream, _)) => take(stream),
            // Out of file descriptors, for example.
            Err(_) => {
                door.limits.pace.count("accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
        while turned_away < MAX_TURNED_AWAY
            && let Some(socket) = waiting(&listener)
        {
            if door.turns_away() {
                drop(socket);
                turned_away += 1;
            } else {
                match TcpStream::from_std(socket.into()) {
                    Ok(stream) => take(stream),
                    Err(_) => door.limits.pace.count("accept_failed"),
                }
            }
        }
        if turned_away == MAX_TURNED_AWAY {
            drop(listener);
            listener = tokio::select! {
                listener = reopen(address, &door.limits.pace) => listener,
                _ = closing.wait_for(|phase| *phase == Phase::Closing) => return,
            };
        }
    }
}

/// Listens again after a pause. An address that cannot be had is tried again and again: the host is of no use without it.
async fn reopen(address: SocketAddr, pace: &Pace) -> TcpListener {
    pace.count("listener_closed");
    loop {
        tokio::time::sleep(REST).await;
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => pace.count("listener_not_opened"),
        }
    }
}

/// A connection that waits to be accepted. It is not registered with the runtime, which would be in vain for one that is
/// turned away.
fn waiting(listener: &TcpListener) -> Option<OwnedFd> {
    loop {
        match accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
            Ok(socket) => return Some(socket),
            // The caller has left already, or a signal came.
            Err(Errno::CONNABORTED | Errno::INTR) => {}
            // None waits. Other errors are met again by the next accept of the runtime.
            Err(_) => return None,
        }
    }
}

/// Compares the connections that are open with the limits.
#[derive(Clone)]
struct Door {
    limits: Limits,
    connections: Arc<AtomicUsize>,
}

impl Door {
    fn open(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Whether a new connection is closed unread.
    fn turns_away(&self) -> bool {
        self.open() >= self.limits.max_connections || self.limits.pace.turns_away()
    }

    /// Whether answers end their connections.
    fn is_pressed(&self) -> bool {
        self.open() > self.limits.max_connections / 2
    }
}

/// Counts a connection while it is open.
struct Open(Arc<AtomicUsize>);

impl Open {
    fn new(count: &Arc<AtomicUsize>) -> Open {
        count.fetch_add(1, Ordering::Relaxed);
        Open(Arc::clone(count))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve<F, R>(stream: TcpStream, door: Door, phase: watch::Receiver<Phase>, handle: F)
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<Body>>,
{
    // Without it answers wait for acknowledgements; an error shows in the next read.
    let _ = stream.set_nodelay(true);
    let answering = phase.clone();
    let is_first = AtomicBool::new(true);
    let service = service_fn(|mut request: Request<Incoming>| {
        if is_first.swap(false, Ordering::Relaxed) {
            request.extensions_mut().insert(First);
        }
        let answer = handle(request);
        let phase = answering.clone();
        let door = &door;
        async move {
            let mut response = answer.await;
            if door.is_pressed() || *phase.borrow() != Phase::Serving {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(door.limits.idle)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut phase = phase;
    let closing = phase.wait_for(|phase| *phase == Phase::Closing);
    tokio::select! {
        // The caller learns of an error by the end of the connection.
        _ = connection.as_mut() => return,
        _ = closing => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
