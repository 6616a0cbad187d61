//! Sends one order to an engine by `POST /orders`, only while the leader lease of one term holds.

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

/// Time for an order: a free connection, the connection attempt and the answer. Loading the weights of a large model
/// takes a minute or two.
const TIMEOUT_MS: u64 = 240_000;

/// After this time the dispatcher sends again; longer than [`TIMEOUT_MS`], so that an order has one request at a time.
pub const LIMIT_MS: u64 = TIMEOUT_MS + 1_000;

/// Time to open a connection; failure domains are a few milliseconds apart.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Connections in use at most: an order to each server of the target size would take 2,300 descriptors.
const MAX_CONNECTIONS: usize = 64;

/// Connections that are kept after an answer.
const MAX_IDLE: usize = 16;

/// Idle connections are not used again after this, before the usual limits of servers (5 s and more).
const IDLE_TIMEOUT_MS: u64 = 4_000;

/// Bytes of an answer that are read at most.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Code in the answer of an engine that has seen a greater fencing number.
const STALE_FENCING: &str = "stale_fencing";

/// The connections of a leader in one term to engines.
pub struct Sender {
    lease: Arc<Guard>,
    counters: Arc<Counters>,
    permits: Semaphore,
    /// At most [`MAX_IDLE`], the one used last at the end.
    idle: Mutex<Vec<Idle>>,
}

struct Idle {
    address: SocketAddr,
    since: Time,
    connection: SendRequest<String>,
}

/// The lease of one term.
struct Guard {
    replica: replica::Handle,
    term: u64,
    counters: Arc<Counters>,
}

/// The body of `POST /orders`.
#[derive(Serialize)]
struct Body<'a> {
    /// The same in every repetition.
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
    /// Connections for the term `term` of `replica`; nothing is sent in another one.
    pub fn new(replica: replica::Handle, term: u64, counters: Arc<Counters>) -> Sender {
        let guard = Guard {
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

    /// Sends an order and waits for the answer. Without a lease the order counts as lost and no byte of it leaves.
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
        let mut connection = match self.kept(address) {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        connection.ready().await.map_err(io::Error::other)?;
        self.counters.count("order_sent");
        let response = connection.send_request(http).await;
        let response = response.map_err(io::Error::other)?;
        let answer = answer(response, request.fencing).await?;
        self.keep(address, connection);
        Ok(answer)
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<SendRequest<String>> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let stream = Leased {
            stream,
            lease: Arc::clone(&self.lease),
        };
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // Ends when the sender is dropped. Its errors reach the request that is under way.
        tokio::spawn(connection);
        Ok(sender)
    }

    fn kept(&self, address: SocketAddr) -> Option<SendRequest<String>> {
        let now = Time::now();
        let mut idle = lock(&self.idle);
        idle.retain(|one| now.since(one.since) < IDLE_TIMEOUT_MS && !one.connection.is_closed());
        let at = idle.iter().position(|one| one.address == address)?;
        Some(idle.remove(at).connection)
    }

    fn keep(&self, address: SocketAddr, connection: SendRequest<String>) {
        let mut idle = lock(&self.idle);
        if idle.len() == MAX_IDLE {
            idle.remove(0);
        }
        idle.push(Idle {
            address,
            since: Time::now(),
            connection,
        });
    }
}

impl Guard {
    /// Reads the lease anew.
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

/// A connection on which nothing is written outside the lease.
struct Leased {
    stream: TcpStream,
    lease: Arc<Guard>,
}

impl AsyncRead for Leased {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Leased {
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

/// What an answer says. An answer that is cut short is an error.
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
        // An engine refuses only numbers below the greatest one that it has seen.
        Ok(failure) if failure.error.code == STALE_FENCING => Answer::Stale { seen: fencing + 1 },
        Ok(failure) => Answer::Failed(failure.error.message),
        Err(_) => Answer::Failed(format!("status {status}")),
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // The list is whole between any two of its operations.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
