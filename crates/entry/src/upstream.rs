//! Connections to backend servers.
//!
//! A connection carries one request at a time and is reused only after a complete answer. Dropping it closes it,
//! which makes the server cancel the request.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use primrose_base::clock::Time;
use primrose_place::Server;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::buffer;
use crate::slow;

/// Timeout for opening a connection: failure domains are a few ms apart, and a server that is starting accepts
/// connections at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long sent bytes may stay unacknowledged or unread (`TCP_USER_TIMEOUT`). A server that is silent for a second or
/// two reads nothing either, and a few lost packets take as long; a lost path is found by requests before that.
const USER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Silence after which a TCP keepalive probe is sent, and the interval between probes: the shortest that sockets
/// offer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which the connection is closed.
const PROBES: u32 = 2;

/// How long a connection may stay idle if the server sends no `Keep-Alive` header, in ms.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 2_000;

/// A connection is not reused for this long before the server's idle timeout, in ms: if the server closes the
/// connection while a request is on its way, the request may or may not have run.
const IDLE_MARGIN_MS: u64 = 800;

/// The most bytes of an answer that are read ahead of their use, and the largest head of an answer. hyper's default would
/// hold 400 KiB on each connection to a server that sends a head without an end.
const MAX_READ_BYTES: usize = 32 << 10;

/// An open connection to a backend server.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    server: Arc<str>,
    address: SocketAddrV4,
    idle_timeout_ms: u64,
    /// Whether the connection has carried a request before.
    pub(crate) is_reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a request got no answer.
pub(crate) enum Error {
    /// No byte of the request was sent. It is returned.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request may have been sent; the text says what happened.
    Broken(String),
}

/// The body of an answer. Its first bytes may have been read to find out that the server sends any.
pub(crate) struct Body {
    /// Whether the first bytes, or the end of an empty body, have been read.
    pub(crate) has_begun: bool,
    /// `Some` if these bytes have been read and not been returned.
    first: Option<Bytes>,
    rest: Incoming,
}

impl Body {
    /// Waits for the first bytes or the end of the body. Returns whether there are any.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection to the server.
    pub(crate) async fn begin(&mut self) -> Result<bool, hyper::Error> {
        self.first = buffer::next_data(&mut self.rest).await?;
        self.has_begun = true;
        Ok(self.first.is_some())
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }
}

impl Connection {
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Body>, Error> {
        let result = self.sender.try_send_request(request).await;
        let response = result.map_err(|mut error| match error.take_message() {
            Some(request) => Error::NotSent(Box::new(request)),
            None => Error::Broken(error.into_error().to_string()),
        })?;
        if let Some(seconds) = keep_alive_seconds(response.headers()) {
            self.idle_timeout_ms = seconds.saturating_mul(1_000).saturating_sub(IDLE_MARGIN_MS);
        }
        Ok(response.map(|rest| Body {
            has_begun: false,
            first: None,
            rest,
        }))
    }
}

fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',');
    let timeout = parameters.find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    timeout.parse().ok()
}

struct Idle {
    connection: Connection,
    since: Time,
}

/// The idle connections to all servers.
#[derive(Clone, Default)]
pub(crate) struct Pool {
    /// Sorted by server.
    idle: Arc<Mutex<Vec<ServerConnections>>>,
}

/// The idle connections to one server, in the order in which they became idle.
struct ServerConnections {
    server: Arc<str>,
    idle: Vec<Idle>,
}

impl Pool {
    /// Takes an idle connection to the server out of the pool, if there is a usable one.
    pub(crate) fn take_idle(&self, server: &Server) -> Option<Connection> {
        let now = Time::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let at = idle
            .binary_search_by(|group| group.server.cmp(&server.id))
            .ok()?;
        let usable = &mut idle[at].idle;
        usable.retain(|idle| is_usable(idle, now, server.address));
        let connection = usable.pop().map(|idle| idle.connection);
        if usable.is_empty() {
            idle.remove(at);
        }
        connection
    }

    /// Opens a connection to the server. `is_bounded` tells whether the kernel's buffers are bounded.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, `TimedOut` if the server does not accept within [`CONNECT_TIMEOUT`].
    pub(crate) async fn open(&self, server: &Server, is_bounded: bool) -> io::Result<Connection> {
        let address = SocketAddr::V4(server.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        if is_bounded {
            slow::bound_buffers(&stream);
        }
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(PROBES);
        socket.set_tcp_keepalive(&probes)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // The request that uses the connection gets its error; for an idle connection it does not matter.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            server: Arc::clone(&server.id),
            address: server.address,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            is_reused: false,
        })
    }

    /// Returns a connection to the pool after a complete answer, unless the server closes it.
    pub(crate) fn release(&self, mut connection: Connection) {
        let idle = Arc::clone(&self.idle);
        tokio::spawn(async move {
            if connection.sender.ready().await.is_err() {
                return;
            }
            connection.is_reused = true;
            let server = Arc::clone(&connection.server);
            let since = Time::now();
            let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
            let at = idle
                .binary_search_by(|group| group.server.cmp(&server))
                .unwrap_or_else(|at| {
                    let idle_here = Vec::new();
                    idle.insert(
                        at,
                        ServerConnections {
                            server,
                            idle: idle_here,
                        },
                    );
                    at
                });
            idle[at].idle.push(Idle { connection, since });
        });
    }

    /// Closes the idle connections to a server. Used when a connection to it got no answer or an invalid one.
    pub(crate) fn close_idle(&self, server: &str) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(at) = idle.binary_search_by(|group| (*group.server).cmp(server)) {
            idle.remove(at);
        }
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        let now = Time::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for group in idle.iter_mut() {
            let usable = &mut group.idle;
            usable.retain(|idle| is_usable(idle, now, idle.connection.address));
        }
        idle.retain(|group| !group.idle.is_empty());
    }
}

fn is_usable(idle: &Idle, now: Time, address: SocketAddrV4) -> bool {
    now.since(idle.since) < idle.connection.idle_timeout_ms
        && !idle.connection.sender.is_closed()
        && idle.connection.address == address
}
