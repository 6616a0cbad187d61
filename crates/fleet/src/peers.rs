//! Calls between core hosts, and from entry hosts to them.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_consensus::message::Message;
use primrose_observe::Meter;
use primrose_route::Document;
use primrose_wire::frame::Traffic;
use primrose_wire::key::Key;
use primrose_wire::{handshake, link};
use tarpc::client::Config;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::directory::{Directory, Freshness};
use crate::ledger::{self, Input};
use crate::message::{Acquaintance, Core, CoreClient, Introduction};

/// Time for an answer to a call. Calls are answered from memory, so a later answer means a lost host or connection.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// One connection to each core host that was called.
pub type Links = link::Links<CoreClient>;

/// Links that authenticate with `key`.
pub fn links(key: Key) -> Links {
    let traffic = Traffic::default();
    link::Links::new(Arc::new(move |stream| {
        let (key, traffic) = (key.clone(), traffic.clone());
        Box::pin(async move {
            let connection = handshake::connect(stream, &key, &traffic).await?;
            Ok(CoreClient::new(Config::default(), connection).spawn())
        })
    }))
}

/// Calls the host at `address`; `None` if it does not answer in time.
pub async fn call<T, F>(
    links: &Links,
    address: SocketAddrV4,
    call: impl FnOnce(CoreClient) -> F,
) -> Option<T>
where
    F: Future<Output = Result<T, tarpc::client::RpcError>>,
{
    let address = SocketAddr::V4(address);
    let answer = async {
        let client = links.client(address).await.ok()?;
        call(client).await.ok()
    };
    let answer = tokio::time::timeout(CALL_TIMEOUT, answer)
        .await
        .ok()
        .flatten();
    if answer.is_none() {
        // An open connection may have gone silent for good, so the next call opens a new one.
        links.reset(address).await;
    }
    answer
}

/// The directory that a core host hands out.
pub type Shown = watch::Receiver<Option<(Arc<Directory>, Time)>>;

/// What the calls need.
#[derive(Clone)]
pub struct Inputs {
    /// Authenticates the callers.
    pub key: Key,
    /// The own replica.
    pub ledger: ledger::Handle,
    /// The directory and when the list was read.
    pub directory: Shown,
    /// Counters.
    pub meter: Arc<Meter>,
}

/// Starts to serve calls.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn bind(address: SocketAddrV4, inputs: Inputs) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(accept(listener, inputs));
    Ok(())
}

async fn accept(listener: TcpListener, inputs: Inputs) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, inputs.clone()));
            }
            // Out of file descriptors, for example; the pause keeps the loop from spinning.
            Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn serve(stream: TcpStream, inputs: Inputs) {
    let traffic = Traffic::default();
    let Ok(connection) = handshake::accept(stream, &inputs.key, &traffic).await else {
        inputs.meter.count("peer_refused");
        return;
    };
    let calls = BaseChannel::with_defaults(connection).execute(Server(inputs).serve());
    calls
        .for_each(|call| async {
            tokio::spawn(call);
        })
        .await;
}

#[derive(Clone)]
struct Server(Inputs);

impl Core for Server {
    async fn step(self, _: Context, sender: Name, messages: Vec<Message>) {
        self.0.ledger.send(Input::Messages { sender, messages });
    }

    async fn introduce(self, _: Context, caller: Introduction) -> Acquaintance {
        let standing = self.0.ledger.standing();
        let answer = self.0.ledger.introduce(caller).await;
        // The thread answers unless the process is ending.
        answer.unwrap_or(Acquaintance {
            introduction: standing.introduction,
            members: standing.members,
            is_current: false,
            is_retired: false,
        })
    }

    async fn document(self, _: Context, version: u64) -> Option<Arc<Document>> {
        let newest = self.0.ledger.follow_newest();
        let newest = newest.borrow();
        let document = &newest.as_ref()?.document;
        (document.version > version).then(|| Arc::clone(document))
    }

    async fn directory(self, _: Context) -> Option<(Arc<Directory>, Freshness)> {
        let shown = self.0.directory.borrow();
        let (directory, read) = shown.as_ref()?;
        let freshness = Freshness::new(Time::now(), directory.stamp(), *read);
        Some((Arc::clone(directory), freshness))
    }
}
