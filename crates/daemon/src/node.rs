//! Starts the tasks of a daemon, and shuts the daemon down.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_base::stop::Grace;
use primrose_config::Configuration;
use primrose_consensus::message::{Body, Message};
use primrose_member::view::Location;
use primrose_proxy::dispatch::{self, Event};
use primrose_proxy::server;
use primrose_schedule::ledger::Origin;
use primrose_wire::frame::Traffic;
use primrose_wire::peer::Packet;
use slog::{Logger, info, warn};
use tarpc::context;
use tokio::sync::{mpsc, oneshot, watch};

use crate::counters::Counters;
use crate::links::{self, Links};
use crate::membership::{self, View};
use crate::packets::{self, Inbox, Outbox, Received};
use crate::replica::{self, Input, Outgoing, address_of};
use crate::scheduler::{self, Query};
use crate::settings::{self, Settings};
use crate::submit::Submitter;
use crate::{bootstrap, claims, follow, operator, orders, peers};

/// Maximum number of queries that wait for the scheduler.
const QUERY_QUEUE_CAPACITY: usize = 16;

/// Interval at which a draining daemon checks whether its requests have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a daemon cannot start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The settings or the key file cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] settings::Error),
    /// The data folder cannot be used, for example because it is damaged.
    #[error("the data folder cannot be used")]
    Disk(#[from] primrose_consensus::disk::Error),
    /// A socket cannot be opened on an address.
    #[error("cannot listen for {purpose} on {address}")]
    Socket {
        /// The use of the socket: `callers`, `operators`, `daemons` or `counters`.
        purpose: &'static str,
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
}

/// A running daemon. [`Handle::drain`] shuts it down.
pub struct Handle {
    callers: server::Handle,
    operator_address: SocketAddr,
    draining: watch::Sender<bool>,
    /// Becomes true when the scheduler runs and answers queries.
    ready: watch::Receiver<bool>,
    queries: mpsc::Sender<Query>,
    replica: Option<replica::Handle>,
    /// Time from the start of a stop until the daemon ends, in ms; `None` without a time limit.
    grace_ms: Option<u64>,
    log: Logger,
}

impl Handle {
    /// The bound address for connections of callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// The bound address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Shuts the daemon down: refuses new requests, hands over the leadership of the log and the ownership of the
    /// failure domain, and returns when the requests in flight have finished.
    ///
    /// New connections are accepted until then, and their requests refused as not run. A connection that is not
    /// accepted would hang until the process ends, and its caller would not know whether the request ran.
    ///
    /// With a grace period it returns at its end at the latest. Requests without an answer got one shortly before; answers
    /// that have begun are broken off when the process ends.
    pub async fn drain(self) {
        info!(self.log, "leaving");
        let grace = self.grace_ms.map(|ms| Grace::new(Time::now(), ms));
        self.draining.send_replace(true);
        if let Some(replica) = &self.replica {
            replica.send(Input::TransferLeadership);
        }
        let log = self.log.clone();
        let finish = self.finish_requests();
        let Some(grace) = grace else {
            finish.await;
            info!(log, "all requests have finished");
            return;
        };
        let left = grace.end().until(Time::now());
        match tokio::time::timeout(left, finish).await {
            Ok(()) => info!(log, "all requests have finished"),
            Err(_) => warn!(log, "the grace period has ended before all requests"),
        }
    }
}

impl Handle {
    async fn finish_requests(self) {
        self.wait_for_requests().await;
        self.callers.drain().await;
    }

    /// Waits until no request of this host is in flight to a backend server.
    async fn wait_for_requests(&self) {
        while *self.ready.borrow() && self.in_flight().await.is_some_and(|count| count > 0) {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    async fn in_flight(&self) -> Option<usize> {
        let (reply, state) = oneshot::channel();
        self.queries.send(Query { reply }).await.ok()?;
        Some(state.await.ok()?.in_flight)
    }
}

/// Values and channels that several tasks use.
struct Context {
    settings: Arc<Settings>,
    incarnation: u64,
    counters: Arc<Counters>,
    traffic: Traffic,
    links: Links,
    outbox: Outbox,
    configuration: watch::Receiver<Option<Arc<Configuration>>>,
    draining: watch::Receiver<bool>,
    log: Logger,
}

/// Starts a daemon.
///
/// # Errors
///
/// Returns an [`Error`] if a file or an address cannot be used.
pub async fn spawn(settings: Settings, log: Logger) -> Result<Handle, Error> {
    let settings = Arc::new(settings);
    let key = settings::read_key(&settings.fleet_key_file)?;
    let counters = Counters::open(settings.statsd_address);
    let counters = Arc::new(counters.map_err(socket_error("counters", settings.operator_address))?);
    let traffic = Traffic::default();
    let links = links::new(key.clone(), traffic.clone());
    let (inbox, receivers) = Inbox::new();
    let peer_address = settings.peer_address;
    let outbox = packets::bind(
        peer_address,
        key.clone(),
        traffic.clone(),
        links.clone(),
        inbox.clone(),
        Arc::clone(&counters),
    );
    let outbox = outbox
        .await
        .map_err(socket_error("daemons", peer_address))?;
    let (configuration_sender, configuration) = watch::channel(None);
    let (draining_sender, draining) = watch::channel(false);
    let context = Context {
        settings: Arc::clone(&settings),
        incarnation: wall_clock_ms(),
        counters: Arc::clone(&counters),
        traffic: traffic.clone(),
        links: links.clone(),
        outbox,
        configuration: configuration.clone(),
        draining,
        log: log.clone(),
    };
    let replica = context.open_replica(configuration_sender.clone(), receivers.replica)?;
    let submitter = Submitter::new(
        Arc::clone(&settings),
        links,
        replica.clone(),
        configuration.clone(),
    );
    context.spawn_configuration_task(replica.as_ref(), &submitter, configuration_sender);
    if let Some(replica) = &replica {
        orders::spawn(orders::Inputs {
            replica: replica.clone(),
            submitter: submitter.clone(),
            counters: Arc::clone(&counters),
            log: log.clone(),
        });
    }
    let (ready_sender, ready) = watch::channel(false);
    let peer_inputs = peers::Inputs {
        key,
        traffic,
        replica: replica.clone(),
        configuration,
        ready: ready.clone(),
        draining: context.draining.clone(),
        inbox,
        counters,
    };
    peers::bind(peer_address, peer_inputs)
        .await
        .map_err(socket_error("daemons", peer_address))?;
    let serve_inputs = ServeInputs {
        replica,
        submitter,
        membership: receivers.membership,
        scheduler: receivers.scheduler,
        ready: ready_sender,
    };
    let handle = context.serve(serve_inputs, draining_sender).await?;
    info!(log, "started";
        "callers" => %handle.caller_address(), "operators" => %handle.operator_address(), "peers" => %peer_address);
    Ok(handle)
}

impl Context {
    fn open_replica(
        &self,
        configuration: watch::Sender<Option<Arc<Configuration>>>,
        packets: mpsc::Receiver<Received>,
    ) -> Result<Option<replica::Handle>, Error> {
        let Some(folder) = &self.settings.data_folder else {
            return Ok(None);
        };
        let (outgoing, messages) = mpsc::unbounded_channel();
        let inputs = replica::Inputs {
            fleet: self.settings.fleet.clone(),
            host: self.settings.host.clone(),
            outgoing,
            configuration,
            counters: Arc::clone(&self.counters),
            log: self.log.clone(),
        };
        let replica = replica::open(folder, inputs)?;
        let replica_sender = ReplicaSender {
            settings: Arc::clone(&self.settings),
            links: self.links.clone(),
            configuration: self.configuration.clone(),
            outbox: self.outbox.clone(),
        };
        tokio::spawn(replica_sender.send(messages));
        tokio::spawn(receive_replica_packets(replica.clone(), packets));
        Ok(Some(replica))
    }

    fn spawn_configuration_task(
        &self,
        replica: Option<&replica::Handle>,
        submitter: &Submitter,
        configuration: watch::Sender<Option<Arc<Configuration>>>,
    ) {
        match replica {
            Some(replica) => bootstrap::spawn(bootstrap::Inputs {
                settings: Arc::clone(&self.settings),
                links: self.links.clone(),
                replica: replica.clone(),
                submitter: submitter.clone(),
                log: self.log.clone(),
            }),
            None => follow::spawn(follow::Inputs {
                settings: Arc::clone(&self.settings),
                links: self.links.clone(),
                configuration,
                submitter: submitter.clone(),
                log: self.log.clone(),
            }),
        }
    }

    async fn serve(
        self,
        inputs: ServeInputs,
        draining: watch::Sender<bool>,
    ) -> Result<Handle, Error> {
        let ServeInputs {
            replica,
            submitter,
            membership,
            scheduler,
            ready,
        } = inputs;
        let (dispatch, events, claim_events) = dispatch::Client::new();
        let (origin_sender, origin) = watch::channel(None);
        let (view_sender, view) = watch::channel(Arc::default());
        let (query_sender, queries) = mpsc::channel(QUERY_QUEUE_CAPACITY);
        claims::spawn(claims::Inputs {
            events: claim_events,
            origin,
            submitter: submitter.clone(),
            counters: Arc::clone(&self.counters),
        });
        let callers = self.bind_callers(dispatch).await?;
        let operator_inputs = operator::Inputs {
            settings: Arc::clone(&self.settings),
            configuration: self.configuration.clone(),
            view,
            ready: ready.subscribe(),
            draining: self.draining.clone(),
            queries: query_sender.clone(),
            links: self.links.clone(),
            submitter,
            replica: replica.clone(),
            counters: Arc::clone(&self.counters),
            traffic: self.traffic.clone(),
        };
        let operator_address = operator::bind(operator_inputs).await;
        let operator_address =
            operator_address.map_err(socket_error("operators", self.settings.operator_address))?;
        let log = self.log.clone();
        let grace_ms = self.settings.limits.grace_ms;
        let is_ready = ready.subscribe();
        let join_inputs = JoinInputs {
            membership,
            scheduler,
            events,
            queries,
            origin: origin_sender,
            ready,
            view: view_sender,
        };
        tokio::spawn(self.join(join_inputs));
        Ok(Handle {
            callers,
            operator_address,
            draining,
            ready: is_ready,
            queries: query_sender,
            replica,
            grace_ms,
            log,
        })
    }

    async fn bind_callers(&self, dispatch: dispatch::Client) -> Result<server::Handle, Error> {
        let limits = self.settings.limits;
        let settings = server::Settings {
            max_body_bytes: limits.max_body_bytes,
            queue_timeout_ms: limits.queue_timeout_ms,
            answer_timeout_ms: limits.answer_timeout_ms,
            grace_ms: limits.grace_ms,
        };
        let counters = Arc::clone(&self.counters);
        let inputs = server::Inputs {
            dispatch,
            configuration: self.configuration.clone(),
            draining: self.draining.clone(),
            count: Arc::new(move |name| counters.count(name)),
        };
        let address = self.settings.caller_address;
        server::bind(address, settings, inputs)
            .await
            .map_err(socket_error("callers", address))
    }

    /// Waits until this host is in the configuration, and then starts membership and scheduling.
    async fn join(self, inputs: JoinInputs) {
        let mut configuration = self.configuration.clone();
        let host = self.settings.host.clone();
        let is_member = |current: &Option<Arc<Configuration>>| {
            current
                .as_ref()
                .is_some_and(|current| current.hosts.get(host.as_str()).is_some())
        };
        let own = match configuration.wait_for(is_member).await {
            Ok(current) => current
                .as_ref()
                .and_then(|current| current.hosts.get(host.as_str()).cloned()),
            Err(_) => None,
        };
        let Some(own) = own else {
            warn!(
                self.log,
                "the daemon stopped before it was in the configuration"
            );
            return;
        };
        let origin = Origin {
            host: own.id,
            incarnation: self.incarnation,
        };
        let domain = self.settings.failure_domain.clone();
        let members = membership::spawn(membership::Inputs {
            host: own.id,
            incarnation: self.incarnation,
            location: Location {
                // The address in the settings may be a wildcard address, to which other hosts cannot send.
                address: own.peer,
                domain: domain.clone(),
            },
            configuration: self.configuration.clone(),
            draining: self.draining.clone(),
            packets: inputs.membership,
            outbox: self.outbox.clone(),
            counters: Arc::clone(&self.counters),
            log: self.log.clone(),
        });
        let scheduler = scheduler::spawn(scheduler::Inputs {
            origin,
            domain,
            limits: self.settings.limits,
            events: inputs.events,
            packets: inputs.scheduler,
            queries: inputs.queries,
            configuration: self.configuration,
            view: members.view.clone(),
            draining: self.draining,
            outbox: self.outbox,
            counters: self.counters,
            log: self.log.clone(),
        });
        info!(self.log, "joined the fleet"; "host id" => own.id.0, "incarnation" => self.incarnation);
        inputs.origin.send_replace(Some(origin));
        inputs.ready.send_replace(true);
        forward_view(members.view, inputs.view).await;
        // Both tasks run until the daemon ends.
        let _ = tokio::join!(members.task, scheduler);
    }
}

/// The inputs of [`Context::serve`], which serves callers and operators even before this host has joined the fleet.
struct ServeInputs {
    replica: Option<replica::Handle>,
    submitter: Submitter,
    membership: mpsc::Receiver<Received>,
    scheduler: mpsc::Receiver<Received>,
    ready: watch::Sender<bool>,
}

/// The inputs of [`Context::join`]: the channels of membership and scheduling, and the senders of what other tasks
/// learn when this host has joined the fleet.
struct JoinInputs {
    membership: mpsc::Receiver<Received>,
    scheduler: mpsc::Receiver<Received>,
    events: mpsc::UnboundedReceiver<Event>,
    queries: mpsc::Receiver<Query>,
    origin: watch::Sender<Option<Origin>>,
    ready: watch::Sender<bool>,
    view: watch::Sender<Arc<View>>,
}

async fn forward_view(mut from: watch::Receiver<Arc<View>>, to: watch::Sender<Arc<View>>) {
    loop {
        let view = from.borrow_and_update().clone();
        to.send_replace(view);
        if from.changed().await.is_err() {
            return;
        }
    }
}

/// Sends the messages of the replica to other hosts. Messages with log entries or snapshot data are sent over TCP,
/// which retransmits lost data. All others are sent as packets, which take a third of the bytes and may be lost.
struct ReplicaSender {
    settings: Arc<Settings>,
    links: Links,
    outbox: Outbox,
    configuration: watch::Receiver<Option<Arc<Configuration>>>,
}

impl ReplicaSender {
    async fn send(self, mut messages: mpsc::UnboundedReceiver<Outgoing>) {
        while let Some(outgoing) = messages.recv().await {
            let configuration = self.configuration.borrow().clone();
            let Ok(address) = address_of(&outgoing.host, configuration.as_deref(), &self.settings)
            else {
                continue;
            };
            let sender = self.settings.host.clone();
            if outgoing.messages.iter().any(has_payload) {
                tokio::spawn(send_replica_messages(
                    self.links.clone(),
                    address,
                    sender,
                    outgoing,
                ));
            } else {
                self.outbox.send(
                    address,
                    &Packet::Consensus {
                        sender,
                        messages: outgoing.messages,
                    },
                );
            }
        }
    }
}

fn has_payload(message: &Message) -> bool {
    match &message.body {
        Body::Append { entries, .. } => !entries.is_empty(),
        Body::Chunk { data, .. } => !data.is_empty(),
        _ => false,
    }
}

async fn receive_replica_packets(replica: replica::Handle, mut packets: mpsc::Receiver<Received>) {
    while let Some(received) = packets.recv().await {
        if let Packet::Consensus { sender, messages } = received.packet {
            replica.send(Input::Messages { sender, messages });
        }
    }
}

async fn send_replica_messages(
    links: Links,
    address: SocketAddr,
    sender: Name,
    outgoing: Outgoing,
) {
    let Ok(client) = links.client(address).await else {
        return;
    };
    if client
        .step(context::current(), sender, outgoing.messages)
        .await
        .is_err()
    {
        links.reset(address).await;
    }
}

fn socket_error(purpose: &'static str, address: SocketAddr) -> impl FnOnce(io::Error) -> Error {
    move |source| Error::Socket {
        purpose,
        address,
        source,
    }
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
