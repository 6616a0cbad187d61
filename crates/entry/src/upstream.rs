//! Connections to backend servers.
//!
//! A connection carries one request at a time and is kept only after a complete answer. Dropping it closes it, which
//! makes the server drop the request.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
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

/// Time to open a connection: failure domains are a few ms apart, and a server that is starting accepts at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long sent bytes may stay unacknowledged. A lost path is noticed after it; a few lost packets are not.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Silence after which the other end is probed, and the interval between probes; the shortest that sockets offer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is lost.
const PROBES: u32 = 2;

/// How long a connection may stay idle if the server does not say, in ms.
const DEFAULT_IDLE_MS: u64 = 2_000;

/// A connection is not used for this long before the server would close it, in ms: a request that crosses the close may
/// or may not have run.
const IDLE_MARGIN_MS: u64 = 800;

/// A connection that is open.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    server: Arc<str>,
    address: SocketAddrV4,
    idle_ms: u64,
    /// Whether it has carried a request before.
    pub(crate) is_kept: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a request got no answer.
pub(crate) enum Failure {
    /// Not a byte of it was sent.
    NotSent,
    /// It may have been sent; the text says what happened.
    Broken(String),
}

impl Connection {
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        let result = self.sender.try_send_request(request).await;
        let response = result.map_err(|mut error| match error.take_message() {
            Some(_) => Failure::NotSent,
            None => Failure::Broken(error.into_error().to_string()),
        })?;
        if let Some(seconds) = keep_alive_seconds(response.headers()) {
            self.idle_ms = (seconds * 1_000).saturating_sub(IDLE_MARGIN_MS);
        }
        Ok(response)
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

/// Connections that wait for a request.
#[derive(Clone, Default)]
pub(crate) struct Pool {
    /// Sorted by server.
    idle: Arc<Mutex<Vec<Shelf>>>,
}

/// The idle connections to one server, in the order in which they became idle.
struct Shelf {
    server: Arc<str>,
    idle: Vec<Idle>,
}

impl Pool {
    /// A connection that is kept, if there is one.
    pub(crate) fn kept(&self, server: &Server) -> Option<Connection> {
        let now = Time::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let at = idle
            .binary_search_by(|shelf| shelf.server.cmp(&server.id))
            .ok()?;
        let waiting = &mut idle[at].idle;
        waiting.retain(|idle| is_usable(idle, now, server.address));
        let connection = waiting.pop().map(|idle| idle.connection);
        if waiting.is_empty() {
            idle.remove(at);
        }
        connection
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket; `TimedOut` if the server does not answer.
    pub(crate) async fn open(&self, server: &Server) -> io::Result<Connection> {
        let address = SocketAddr::V4(server.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(PROBES);
        socket.set_tcp_keepalive(&probes)?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // The error of a connection reaches the request that uses it; an idle one is just closed.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            server: Arc::clone(&server.id),
            address: server.address,
            idle_ms: DEFAULT_IDLE_MS,
            is_kept: false,
        })
    }

    /// Keeps a connection whose answer is complete, unless the server closes it.
    pub(crate) fn keep(&self, mut connection: Connection) {
        let idle = Arc::clone(&self.idle);
        tokio::spawn(async move {
            if connection.sender.ready().await.is_err() {
                return;
            }
            connection.is_kept = true;
            let server = Arc::clone(&connection.server);
            let since = Time::now();
            let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
            let at = idle
                .binary_search_by(|shelf| shelf.server.cmp(&server))
                .unwrap_or_else(|at| {
                    let idle_here = Vec::new();
                    idle.insert(
                        at,
                        Shelf {
                            server,
                            idle: idle_here,
                        },
                    );
                    at
                });
            idle[at].idle.push(Idle { connection, since });
        });
    }

    /// Closes the idle connections to a server after one of them went silent.
    pub(crate) fn forget(&self, server: &str) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(at) = idle.binary_search_by(|shelf| (*shelf.server).cmp(server)) {
            idle.remove(at);
        }
    }

    /// Closes the connections that were idle for too long.
    pub(crate) fn prune(&self) {
        let now = Time::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for shelf in idle.iter_mut() {
            let waiting = &mut shelf.idle;
            waiting.retain(|idle| is_usable(idle, now, idle.connection.address));
        }
        idle.retain(|shelf| !shelf.idle.is_empty());
    }
}

fn is_usable(idle: &Idle, now: Time, address: SocketAddrV4) -> bool {
    now.since(idle.since) < idle.connection.idle_ms
        && !idle.connection.sender.is_closed()
        && idle.connection.address == address
}
