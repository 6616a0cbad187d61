//! Connections to backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use primrose_base::verdict::Verdict;

use crate::attempt::REQUEST_ID_HEADER;
use crate::body::Outgoing;
use crate::connector::{Connector, Record};

/// Time after which an idle connection is closed, in ms. It is shorter than the usual idle timeouts of servers, which
/// are 5 s and more.
const IDLE_TIMEOUT_MS: u64 = 4_000;

/// HTTP clients for backend servers. A connection is reused only after a complete answer.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    /// For idempotent requests: connections are kept open and reused.
    pooled: Client<Connector, Outgoing>,
    /// For non-idempotent requests: each one gets a new connection. The server may close an idle connection while the
    /// request is being sent on it, and then it is unknown whether the request ran.
    unpooled: Client<Connector, Outgoing>,
}

impl Upstream {
    pub(crate) fn new() -> Upstream {
        Upstream {
            pooled: client(usize::MAX),
            unpooled: client(0),
        }
    }

    /// Sends a request and waits for the header section of the answer. A connection whose answer does not have the
    /// request id is not used again: if the server repeated an answer there, it would look like that to the next
    /// request.
    pub(crate) async fn send(
        &self,
        mut request: Request<Outgoing>,
        idempotent: bool,
    ) -> Result<Reply, Error> {
        let client = if idempotent {
            &self.pooled
        } else {
            &self.unpooled
        };
        let id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let used = capture_connection(&mut request);
        let response = client.request(request).await?;
        let origin = origin(&response, id.as_ref());
        if let (false, Some(connection)) = (origin == Origin::Named, &*used.connection_metadata()) {
            connection.poison();
        }
        Ok(Reply {
            response,
            is_foreign: origin == Origin::Foreign,
        })
    }
}

/// The header section of an answer, with the body still to be read.
pub(crate) struct Reply {
    pub(crate) response: Response<Incoming>,
    /// Whether it is not the answer to the request after which it arrived.
    pub(crate) is_foreign: bool,
}

/// The request to which an answer belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// The answer has the id of its request.
    Named,
    /// The answer has no id, and neither had an earlier one on its connection. It is taken for that to its request.
    Unnamed,
    /// The answer is that to another request.
    Foreign,
}

/// Returns the origin of an answer on the connection of a request with the given id, and records it.
///
/// A server that repeated the id of a request repeats those of all later ones. If an answer has none, it is a copy of an
/// earlier answer, and that to the request may still come.
fn origin(response: &Response<Incoming>, id: Option<&HeaderValue>) -> Origin {
    let record = response.extensions().get::<Record>();
    match response.headers().get(REQUEST_ID_HEADER) {
        Some(own) if Some(own) == id => {
            if let Some(record) = record {
                record.mark_id();
            }
            Origin::Named
        }
        // Whether the connection was used before does not matter: it may have been returned to the pool, after an empty
        // body, before `Upstream::send` excluded it from further use.
        None if !record.is_some_and(Record::has_id) => Origin::Unnamed,
        _ => Origin::Foreign,
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

fn client(idle_per_server: usize) -> Client<Connector, Outgoing> {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .pool_max_idle_per_host(idle_per_server)
        // `Forwarder` makes the retries, because they depend on the verdict and the retry budget.
        .retry_canceled_requests(false)
        .build(Connector::new())
}
