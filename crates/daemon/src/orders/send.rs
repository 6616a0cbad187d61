//! Sends orders to engines with `POST /orders`, only while the leader lease of one term is valid.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use primrose_base::clock::Time;
use primrose_state::order::{Answer, Request, Work};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::counters::Counters;
use crate::replica;

/// Timeout of an order, from the wait for a free connection to the answer. Loading the weights of a large model takes
/// one to two minutes.
const TIMEOUT_MS: u64 = 240_000;

/// Time after which the dispatcher sends an order again; longer than [`TIMEOUT_MS`], so that an order has at most one
/// request in flight.
pub const RESEND_TIMEOUT_MS: u64 = TIMEOUT_MS + 1_000;

/// Timeout for opening a connection. The latency between failure domains is a few milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Maximum number of connections in use. Without it, one order to each server of a fleet of the target size would use
/// 2,300 file descriptors.
const MAX_CONNECTIONS: usize = 64;

/// Maximum number of idle connections that are kept for further orders.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Time after which an idle connection is closed; shorter than the usual idle timeouts of servers (5 s and more).
const IDLE_TIMEOUT_MS: u64 = 4_000;

/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Error code in the answer of an engine that has seen a greater fencing number.
const STALE_FENCING: &str = "stale_fencing";

/// Sends the orders of a leader to engines during one term.
pub struct Sender {
    lease: Arc<LeaseGuard>,
    counters: Arc<Counters>,
    permits: Semaphore,
    /// At most [`MAX_IDLE_CONNECTIONS`], the most recently used one last.
    idle: Mutex<Vec<Idle>>,
}

struct Idle {
    address: SocketAddr,
    since: Time,
    connection: SendRequest<String>,
}

/// Checks that the leader lease of one term is valid.
struct LeaseGuard {
    replica: replica::Handle,
    term: u64,
    counters: Arc<Counters>,
}

/// The body of `POST /orders`.
#[derive(Serialize)]
struct Body<'a> {
    /// The same whenever the order is sent again.
    number: u64,
    fencing: u64,
    kind: &'static str,
    /// The model, adapter, version or role.
    value: &'a str,
    /// The model that an adapter or version belongs to.
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
}

#[derive(Deserialize)]
struct Failure {
    error: FailureBody,
}

#[derive(Deserialize)]
struct FailureBody {
    code: String,
    message: String,
}

impl Sender {
    /// Creates a sender without connections, which sends orders only while `replica` leads in `term`.
    pub fn new(replica: replica::Handle, term: u64, counters: Arc<Counters>) -> Sender {
        let guard = LeaseGuard {
            replica,
            term,
            counters: Arc::clone(&counters),
        };
        Sender {
            lease: Arc::new(guard),
            counters,
            permits: Semaphore::new(MAX_CONNECTIONS),
            idle: Mutex::default(),
        }
    }

    /// Sends an order and waits for the answer. Without a valid lease no byte is sent and the answer is
    /// [`Answer::Lost`].
    pub async fn send(&self, address: SocketAddr, request: &Request) -> Answer {
        let exchange = self.exchange(address, request);
        match tokio::time::timeout(Duration::from_millis(TIMEOUT_MS), exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Answer::Lost,
        }
    }

    async fn exchange(&self, address: SocketAddr, request: &Request) -> io::Result<Answer> {
        let _permit = self.permits.acquire().await.map_err(io::Error::other)?;
        let body = serde_json::to_string(&body(request))?;
        let http = hyper::Request::builder()
            .method(Method::POST)
            .uri("/orders")
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(io::Error::other)?;
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        connection.ready().await.map_err(io::Error::other)?;
        self.counters.count("order_sent");
        let response = connection.send_request(http).await;
        let response = response.map_err(io::Error::other)?;
        let answer = answer(response, request.fencing).await?;
        self.return_idle(address, connection);
        Ok(answer)
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<SendRequest<String>> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let stream = GuardedStream {
            stream,
            lease: Arc::clone(&self.lease),
        };
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // The task ends when the sender is dropped. The request in flight receives its errors.
        tokio::spawn(connection);
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<String>> {
        let now = Time::now();
        let mut idle = lock(&self.idle);
        idle.retain(|idle| now.since(idle.since) < IDLE_TIMEOUT_MS && !idle.connection.is_closed());
        let at = idle.iter().position(|idle| idle.address == address)?;
        Some(idle.remove(at).connection)
    }

    fn return_idle(&self, address: SocketAddr, connection: SendRequest<String>) {
        let mut idle = lock(&self.idle);
        if idle.len() == MAX_IDLE_CONNECTIONS {
            idle.remove(0);
        }
        idle.push(Idle {
            address,
            since: Time::now(),
            connection,
        });
    }
}

impl LeaseGuard {
    /// Returns an error unless the replica holds the lease at this moment. The lease is read again in each call.
    fn check(&self) -> io::Result<()> {
        let lease = self.replica.lease();
        let holds = lease.is_some_and(|lease| {
            lease.term == self.term && lease.caught_up && Time::now() < lease.until
        });
        if holds {
            return Ok(());
        }
        self.counters.count("order_lease_ended");
        let message = format!("the leader lease of term {} has ended", self.term);
        Err(io::Error::new(io::ErrorKind::PermissionDenied, message))
    }
}

/// A connection whose writes fail unless the lease is valid.
struct GuardedStream {
    stream: TcpStream,
    lease: Arc<LeaseGuard>,
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.lease.check()?;
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

fn body(request: &Request) -> Body<'_> {
    let (kind, value, model) = match &request.work {
        Work::LoadModel { model } => ("load-model", model, None),
        Work::LoadAdapter { model, adapter } => ("load-adapter", adapter, Some(model)),
        Work::LoadVersion { model, version } => ("load-version", version, Some(model)),
        Work::ChangeRole { role } => ("change-role", role, None),
    };
    Body {
        number: request.number,
        fencing: request.fencing,
        kind,
        value,
        model: model.map(String::as_str),
    }
}

/// Interprets a response. A response whose body is incomplete is an error.
async fn answer(response: Response<hyper::body::Incoming>, fencing: u64) -> io::Result<Answer> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    if status.is_success() {
        return Ok(Answer::Done);
    }
    let is_temporary = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS
    );
    if status.is_server_error() || is_temporary {
        return Ok(Answer::Lost);
    }
    Ok(match serde_json::from_slice::<Failure>(&body) {
        // The engine refuses only fencing numbers below the greatest one that it has seen.
        Ok(failure) if failure.error.code == STALE_FENCING => Answer::Stale { seen: fencing + 1 },
        Ok(failure) => Answer::Failed(failure.error.message),
        Err(_) => Answer::Failed(format!("status {status}")),
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Each operation on the list leaves it in a valid state, so a panic while the lock was held does no harm.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
