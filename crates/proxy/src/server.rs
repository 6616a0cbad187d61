//! The listener for callers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_config::Configuration;
use salvo::http::StatusCode;
use salvo::server::ServerHandle;
use salvo::{Depot, FlowCtrl, Request, Response, Router, Server, async_trait};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::acceptor::{Acceptor, Lingering, Unanswered};
pub use crate::attempt::Count;
use crate::attempt::{Forwarder, REQUEST_ID_HEADER};
use crate::dispatch;
use crate::failure::Failure;
use crate::handler::{Chat, Models, Plain, State, new_request_id};
pub use crate::settings::Settings;
use crate::upstream::Upstream;

/// How long a stop waits for the rest of a head of which a part has arrived.
const MAX_HEAD_WAIT: Duration = Duration::from_secs(1);

/// What the listener gets from the rest of the daemon.
pub struct Inputs {
    /// Used to ask for slots and claims.
    pub dispatch: dispatch::Client,
    /// The configuration in force on this host; `None` before the first one arrives.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// True once the daemon shuts down; new requests are then refused.
    pub draining: watch::Receiver<bool>,
    /// Counts the code of every failure that is sent to a caller, and `answer_wrong_request` and `answer_cut_short`.
    pub count: Count,
}

/// A running listener for callers; [`Handle::drain`] stops it.
pub struct Handle {
    address: SocketAddr,
    server: ServerHandle,
    task: JoinHandle<()>,
    lingering: Lingering,
    unanswered: Unanswered,
}

impl Handle {
    /// The address on which callers are served, with the port that the kernel chose if port 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no new connections and returns when all requests in flight have finished, and callers have had the time
    /// to read their refusals. There is no time limit for the requests.
    pub async fn drain(self) {
        // Afterwards the server waits for the requests itself, but not for heads that have arrived in part.
        let _ = tokio::time::timeout(MAX_HEAD_WAIT, self.unanswered.close_and_wait()).await;
        self.server.stop_graceful(None);
        // The task ends only by the graceful stop; a panic in it has been reported by the runtime.
        let _ = self.task.await;
        self.lingering.ended().await;
    }
}

/// Starts to serve callers on `address`; with port 0 the kernel chooses the port.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(address: SocketAddr, settings: Settings, inputs: Inputs) -> io::Result<Handle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let lingering = Lingering::default();
    let unanswered = Unanswered::default();
    let acceptor = Acceptor::new(listener, lingering.clone(), unanswered.clone())?;
    let state = State {
        forwarder: Forwarder {
            dispatch: inputs.dispatch,
            upstream: Upstream::new(),
            settings,
            count: inputs.count,
        },
        configuration: inputs.configuration,
        draining: inputs.draining,
    };
    let server = Server::new(acceptor);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router(state)));
    Ok(Handle {
        address,
        server: handle,
        task,
        lingering,
        unanswered,
    })
}

fn router(state: State) -> Router {
    let count = Arc::clone(&state.forwarder.count);
    Router::new()
        .push(Router::with_path("v1/chat/completions").post(Chat(state.clone())))
        .push(Router::with_path("v1/models").get(Models(state.clone())))
        .push(Router::with_path("plain/{**rest}").goal(Plain(state)))
        .push(Router::with_path("{**rest}").goal(NotFound { count }))
}

/// Refuses requests that no other route matches.
struct NotFound {
    count: Count,
}

#[async_trait]
impl salvo::Handler for NotFound {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let message = format!(
            "there is no {} {}; callers use POST /v1/chat/completions, GET /v1/models and /plain/SERVICE/...",
            request.method(),
            request.uri().path()
        );
        let failure = Failure::refuse("unknown_path", StatusCode::NOT_FOUND, message);
        (self.count)(failure.code);
        failure.render(response);
        response
            .headers_mut()
            .insert(REQUEST_ID_HEADER, new_request_id());
    }
}
