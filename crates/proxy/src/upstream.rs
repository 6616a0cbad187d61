//! Connections to backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use primrose_base::verdict::Verdict;

use crate::attempt::REQUEST_ID_HEADER;
use crate::body::Outgoing;

/// Time limit for opening a connection, in ms. Failure domains are a few milliseconds apart, so the host of a server
/// that exceeds it is assumed to be down.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Time after which an idle connection is closed, in ms. It is shorter than the usual idle timeouts of servers, which
/// are 5 s and more.
const IDLE_TIMEOUT_MS: u64 = 4_000;

/// HTTP clients for backend servers. A connection is reused only after a complete answer.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    /// For idempotent requests: connections are kept open and reused.
    pooled: Client<HttpConnector, Outgoing>,
    /// For non-idempotent requests: each one gets a new connection. The server may close an idle connection while the
    /// request is being sent on it, and then it is unknown whether the request ran.
    unpooled: Client<HttpConnector, Outgoing>,
}

impl Upstream {
    pub(crate) fn new() -> Upstream {
        Upstream {
            pooled: client(usize::MAX),
            unpooled: client(0),
        }
    }

    /// Sends a request and waits for the header section of the answer. A connection whose answer has no request id is
    /// not used again: if the server repeated the answer there, it would look like that to the next request.
    pub(crate) async fn send(
        &self,
        mut request: Request<Outgoing>,
        idempotent: bool,
    ) -> Result<Response<Incoming>, Error> {
        let client = if idempotent {
            &self.pooled
        } else {
            &self.unpooled
        };
        let used = capture_connection(&mut request);
        let response = client.request(request).await?;
        let has_id = response.headers().contains_key(REQUEST_ID_HEADER);
        if let (false, Some(connection)) = (has_id, &*used.connection_metadata()) {
            connection.poison();
        }
        Ok(response)
    }
}

/// Returns what an error of [`Upstream::send`] says about the request. Only a failure to connect proves that no byte
/// was sent.
pub(crate) fn verdict(error: &Error) -> Verdict {
    if error.is_connect() {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

/// The URI of `path` on the backend server at `address`.
pub(crate) fn uri(address: SocketAddr, path: &str) -> Result<Uri, hyper::http::Error> {
    Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
}

fn client(idle_per_server: usize) -> Client<HttpConnector, Outgoing> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .pool_max_idle_per_host(idle_per_server)
        // `Forwarder` makes the retries, because they depend on the verdict and the retry budget.
        .retry_canceled_requests(false)
        .build(connector)
}
