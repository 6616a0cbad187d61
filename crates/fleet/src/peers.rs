//! Calls (RPC) between core hosts, and from entry hosts to core hosts.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_consensus::message::Message;
use primrose_observe::Meter;
use primrose_place::demand::Demand;
use primrose_place::placer::Decision;
use primrose_place::quarantine::list::Record;
use primrose_route::Document;
use primrose_wire::frame::Traffic;
use primrose_wire::key::Key;
use primrose_wire::{handshake, link};
use tarpc::client::Config;
use tarpc::context::{self, Context};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

use crate::directory::{Directory, Freshness};
use crate::message::{Acknowledgement, Core, CoreClient, Introduction, Update};
use crate::replica::{self, Input};

/// Timeout of a call. Calls are answered from memory, so a later answer means that the host or the connection is
/// lost.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Connections to core hosts, one for each host that was called.
pub type Links = link::Links<CoreClient>;

/// Creates links that authenticate with `key`.
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

/// Calls the core host at `address`. Returns `None` if it cannot be reached or does not answer within
/// [`CALL_TIMEOUT`].
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
        // The connection may have been lost without an error, so the next call opens a new one.
        links.reset(address).await;
    }
    answer
}

/// Fetches the directory of the core host at `address`, with the time when its list was read at the earliest, on the
/// clock of this host. Returns `None` if the core host cannot be reached, does not answer in time, or has no directory.
pub async fn directory(links: &Links, address: SocketAddrV4) -> Option<(Arc<Directory>, Time)> {
    let asked = Time::now();
    let answer = call(links, address, |client| async move {
        client.directory(context::current()).await
    });
    let (directory, freshness) = answer.await??;
    Some((directory, freshness.read(asked)))
}

/// Tells the core host at `address` all that this host knows of quarantined prompt parts. Returns what the core host knows
/// then, or `None` if it cannot be reached or does not answer in time.
pub async fn exchange_quarantine(
    links: &Links,
    address: SocketAddrV4,
    record: Record,
) -> Option<Record> {
    call(links, address, |client| async move {
        client.exchange_quarantine(context::current(), record).await
    })
    .await
}

/// Follows the directory that a core host gives to others, with the time when its list was read.
pub type Published = watch::Receiver<Option<(Arc<Directory>, Time)>>;

/// A call that the task of a core host answers.
#[derive(Debug)]
pub enum Question {
    /// [`Core::place`].
    Place {
        /// The request to be placed.
        demand: Demand,
        /// Gets the decision.
        reply: oneshot::Sender<Decision>,
    },
    /// [`Core::update`].
    Update(Vec<Update>),
    /// [`Core::exchange_quarantine`].
    Quarantine {
        /// What the caller knows of quarantined prompt parts.
        record: Record,
        /// Gets what the task knows then.
        reply: oneshot::Sender<Record>,
    },
}

/// Parameters of the RPC server.
#[derive(Clone)]
pub struct Inputs {
    /// The fleet's key, which authenticates the callers.
    pub key: Key,
    /// The replica of the log on this host.
    pub replica: replica::Handle,
    /// The directory of this host, and when its list was read.
    pub directory: Published,
    /// The calls that the task of the core host answers.
    pub questions: mpsc::Sender<Question>,
    /// Counters; the names are in [`crate::counter`].
    pub meter: Arc<Meter>,
}

/// Listens on `address` and starts to serve calls.
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
            // For example, no file descriptors are left; the pause keeps the loop from spinning.
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
    async fn deliver(self, _: Context, sender: Name, messages: Vec<Message>) {
        self.0.replica.send(Input::Messages { sender, messages });
    }

    async fn introduce(self, _: Context, caller: Introduction) -> Acknowledgement {
        let state = self.0.replica.state();
        let answer = self.0.replica.introduce(caller).await;
        // The thread of the replica answers unless the process is ending.
        answer.unwrap_or(Acknowledgement {
            introduction: state.introduction,
            members: state.members,
            is_retired: false,
        })
    }

    async fn document(self, _: Context, version: u64) -> Option<Arc<Document>> {
        let newest = self.0.replica.follow_newest();
        let newest = newest.borrow();
        let document = &newest.as_ref()?.document;
        (document.version > version).then(|| Arc::clone(document))
    }

    async fn directory(self, _: Context) -> Option<(Arc<Directory>, Freshness)> {
        let published = self.0.directory.borrow();
        let (directory, read) = published.as_ref()?;
        let freshness = Freshness::new(Time::now(), directory.fingerprint(), *read);
        Some((Arc::clone(directory), freshness))
    }

    async fn place(self, _: Context, demand: Demand) -> Option<Decision> {
        let (reply, decision) = oneshot::channel();
        // The task ends only with the process.
        let question = Question::Place { demand, reply };
        let _ = self.0.questions.send(question).await;
        decision.await.ok()
    }

    async fn update(self, _: Context, updates: Vec<Update>) {
        // The task ends only with the process.
        let _ = self.0.questions.send(Question::Update(updates)).await;
    }

    async fn exchange_quarantine(self, _: Context, record: Record) -> Record {
        let (reply, answer) = oneshot::channel();
        // The task ends only with the process.
        let question = Question::Quarantine { record, reply };
        let _ = self.0.questions.send(question).await;
        answer.await.unwrap_or_default()
    }
}
