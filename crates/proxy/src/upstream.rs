//! Connections to backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use primrose_base::verdict::Verdict;

use crate::body::Outgoing;

/// Time to open a connection; failure domains are a few milliseconds apart, so a slower answer means a lost host.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Idle connections are closed after this, before the usual limits of servers (5 s and more).
const IDLE_TIMEOUT_MS: u64 = 4_000;

/// Clients for backend servers. A connection goes back to the pool only after a complete answer.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    /// For idempotent requests: connections are kept.
    pooled: Client<HttpConnector, Outgoing>,
    /// For non-idempotent requests: always a new connection, since a kept one can be closed by the server while the
    /// request is on its way, and then nobody knows whether it ran.
    unpooled: Client<HttpConnector, Outgoing>,
}

impl Upstream {
    pub(crate) fn new() -> Upstream {
        Upstream {
            pooled: client(usize::MAX),
            unpooled: client(0),
        }
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &self,
        request: Request<Outgoing>,
        idempotent: bool,
    ) -> Result<Response<Incoming>, Error> {
        let client = if idempotent {
            &self.pooled
        } else {
            &self.unpooled
        };
        client.request(request).await
    }
}

/// What an error of [`Upstream::send`] says about the request: only a failed connection attempt proves that no byte
/// left.
pub(crate) fn verdict(error: &Error) -> Verdict {
    if error.is_connect() {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

/// The address of `path` on a backend server.
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
        // Attempts are repeated by the handler, which knows the verdict and the retry budget.
        .retry_canceled_requests(false)
        .build(connector)
}
