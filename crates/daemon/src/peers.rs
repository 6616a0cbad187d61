//! Serves the [`Peer`] calls of other daemons.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_config::Configuration;
use primrose_consensus::message::Message;
use primrose_state::Command;
use primrose_wire::frame::Traffic;
use primrose_wire::handshake;
use primrose_wire::key::Key;
use primrose_wire::peer::{Description, Introduction, Notification, Packet, Peer, Submitted};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::counters::Counters;
use crate::packets::{Inbox, Received};
use crate::replica::{self, Input};

/// Time after which a `follow` call is answered even if there is no newer configuration.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3);

/// The inputs of the calls.
#[derive(Clone)]
pub struct Inputs {
    /// The fleet key, which authenticates the calling daemons.
    pub key: Key,
    /// Counts the bytes of the connections.
    pub traffic: Traffic,
    /// The replica of this host, if it keeps one.
    pub replica: Option<replica::Handle>,
    /// The configuration in force on this host; `None` until the first one arrives.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// Becomes true when the scheduler runs.
    pub ready: watch::Receiver<bool>,
    /// Becomes true when the daemon starts to drain.
    pub draining: watch::Receiver<bool>,
    /// Receives the packets that were too long for a datagram.
    pub inbox: Inbox,
    /// Counts `peer_refused`.
    pub counters: Arc<Counters>,
}

/// Binds `address` and starts to serve other daemons; returns the bound address.
///
/// # Errors
///
/// Returns the error of the socket if the address cannot be bound.
pub async fn bind(address: SocketAddr, inputs: Inputs) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(accept(listener, inputs));
    Ok(address)
}

/// Returns the status of this host, as other daemons and operators see it.
pub(crate) fn describe(
    configuration: &watch::Receiver<Option<Arc<Configuration>>>,
    replica: Option<&replica::Handle>,
    ready: &watch::Receiver<bool>,
    draining: &watch::Receiver<bool>,
) -> Description {
    Description {
        version: configuration
            .borrow()
            .as_ref()
            .map_or(0, |configuration| configuration.version),
        term: replica.map(|replica| replica.status().term),
        ready: *ready.borrow() && !*draining.borrow(),
    }
}

async fn accept(listener: TcpListener, inputs: Inputs) {
    loop {
        match listener.accept().await {
            Ok((stream, source)) => {
                tokio::spawn(serve(stream, source, inputs.clone()));
            }
            // Fails if the process has no free file descriptors, for example. The pause avoids a tight loop.
            Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn serve(stream: TcpStream, source: SocketAddr, inputs: Inputs) {
    let Ok(connection) = handshake::accept(stream, &inputs.key, &inputs.traffic).await else {
        inputs.counters.count("peer_refused");
        return;
    };
    let server = Server { source, inputs };
    let calls = BaseChannel::with_defaults(connection).execute(server.serve());
    calls
        .for_each(|call| async {
            tokio::spawn(call);
        })
        .await;
}

#[derive(Clone)]
struct Server {
    source: SocketAddr,
    inputs: Inputs,
}

impl Peer for Server {
    async fn deliver(self, _: Context, packet: Packet) {
        self.inputs.inbox.deliver(Received {
            source: self.source,
            packet,
        });
    }

    async fn step(self, _: Context, sender: Name, messages: Vec<Message>) {
        if let Some(replica) = &self.inputs.replica {
            replica.send(Input::Messages { sender, messages });
        }
    }

    async fn introduce(self, _: Context, caller: Introduction) -> Option<Introduction> {
        let replica = self.inputs.replica.as_ref()?;
        if caller.is_empty {
            replica.send(Input::Introduce(caller));
        }
        Some(replica.status().introduction)
    }

    async fn submit(self, _: Context, command: Command) -> Submitted {
        match &self.inputs.replica {
            Some(replica) => replica.submit(command).await,
            None => Submitted::NotLeader { leader: None },
        }
    }

    async fn describe(self, _: Context) -> Description {
        let inputs = &self.inputs;
        describe(
            &inputs.configuration,
            inputs.replica.as_ref(),
            &inputs.ready,
            &inputs.draining,
        )
    }

    async fn follow(self, _: Context, version: u64) -> Option<Notification> {
        let replica = self.inputs.replica.as_ref()?;
        let mut configuration = self.inputs.configuration.clone();
        let is_newer = |current: &Option<Arc<Configuration>>| {
            current
                .as_ref()
                .is_some_and(|current| current.version > version)
        };
        // The guard that `wait_for` returns must be dropped before `read`. It blocks the thread of the replica when
        // the thread publishes a configuration, and `read` waits for that thread, so both would wait forever.
        let has_newer = tokio::time::timeout(FOLLOW_TIMEOUT, configuration.wait_for(is_newer))
            .await
            .is_ok();
        let status = replica.status();
        // A host that restarts without a configuration may have had a newer one than a voter that lags.
        let may_answer = has_newer && (version > 0 || status.may_serve_configuration(Time::now()));
        let newer = may_answer.then(|| replica.read(|machine| machine.update_since(version)));
        Some(Notification {
            leader: status.leader,
            update: newer,
        })
    }
}
