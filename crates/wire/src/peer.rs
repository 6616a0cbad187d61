//! The messages and calls between daemons.
//!
//! A [`Packet`] is small and sent by UDP, so it may be lost, duplicated or reordered. The protocols that use packets
//! tolerate this; most of them synchronise state, so that a later packet replaces the earlier ones. The [`Peer`]
//! service is called over TCP for messages that need an answer, an order or more bytes than a datagram holds: those
//! of the replicated log, submissions to it and the configuration.

use primrose_base::id;
use primrose_base::name::Name;
use primrose_consensus::membership::Id;
use primrose_consensus::message::Message;
use primrose_member::message::Datagram;
use primrose_member::ownership::{self, Release};
use primrose_schedule::message::{Answer, Report};
use primrose_state::{Command, Reply, Update};
use serde::{Deserialize, Serialize};

/// A message that may be lost, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// A message between failure detectors.
    Membership(Datagram),
    /// The usage and the slot counts that a host reports to the owner of a failure domain.
    Report(Report),
    /// Leases slots to the receiver; sent in reply to a `Report` or without one.
    Answer {
        /// The owner of the failure domain.
        from: id::Host,
        /// The state of the lease, with its slots and sums of charges.
        answer: Answer,
    },
    /// Answers a `Report` whose receiver is not the owner of its failure domain.
    Redirect {
        /// The receiver of the report.
        from: id::Host,
        /// The host that it supports as owner, if any.
        owner: Option<id::Host>,
    },
    /// Asks the hosts of a failure domain to support the sender as owner.
    SupportRequest(ownership::Request),
    /// Answers a `SupportRequest`.
    SupportAnswer {
        /// The host that answers.
        from: id::Host,
        /// Whether it supports the owner.
        answer: ownership::Answer,
    },
    /// Tells the supporters of an owner that it has resigned.
    SupportRelease(Release),
    /// Messages of the replicated log without entries: heartbeats, votes and answers.
    Consensus {
        /// Name of the host of the sending replica.
        sender: Name,
        /// The messages, in the order in which they were produced.
        messages: Vec<Message>,
    },
    /// Latency of the sender's requests on the servers of one failure domain, since its previous packet of this kind.
    Latency {
        /// The sender.
        from: id::Host,
        /// One entry per server, sorted by server.
        servers: Vec<Latency>,
    },
}

/// Token latencies and failures of one server, as one host measured them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    /// Id of the measured server.
    pub server: id::Server,
    /// Number of requests that received a first token.
    pub first_tokens: u32,
    /// Number of first tokens that took longer than [`SLOW_FIRST_MS`](primrose_schedule::limit::SLOW_FIRST_MS).
    pub slow_first_tokens: u32,
    /// Number of gaps between consecutive tokens.
    pub gaps: u32,
    /// Number of gaps that were longer than [`SLOW_GAP_MS`](primrose_schedule::limit::SLOW_GAP_MS).
    pub slow_gaps: u32,
    /// Number of requests that could not be started because the server did not answer.
    pub failures: u32,
}

/// The identity of a replica, which it sends before the fleet is formed or when its disk is new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// Name of the host of the replica.
    pub host: Name,
    /// Id of the replica in the replicated log.
    pub replica: Id,
    /// Whether the data folder of the replica contains neither a vote nor an entry.
    pub is_empty: bool,
}

/// The result of [`Peer::submit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Submitted {
    /// Committed and applied, with the reply of the state machine.
    Applied(Reply),
    /// The host is not the leader; nothing was appended. The caller should try `leader`.
    NotLeader {
        /// Name of the host of the leader, if known.
        leader: Option<Name>,
    },
    /// Appended, but the outcome is unknown: the leader stepped down or the command was not applied in time.
    Unknown,
}

/// The result of [`Peer::follow`]: the current leader and configuration, for a host that is not a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notification {
    /// Name of the host of the leader, if the answering voter knows it.
    pub leader: Option<Name>,
    /// The changes from the caller's configuration to the current one, if that is newer.
    pub update: Option<Update>,
}

/// The status of a host, for an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Description {
    /// Version of the configuration that the host applies.
    pub version: u64,
    /// Current term of the replicated log, if the host has a replica.
    pub term: Option<u64>,
    /// Whether the host accepts requests.
    pub ready: bool,
}

/// The service that every daemon offers to the other daemons.
#[tarpc::service]
pub trait Peer {
    /// Delivers a packet that does not fit into a datagram.
    async fn deliver(packet: Packet);
    /// Delivers messages of the replicated log from the replica on host `sender`.
    async fn step(sender: Name, messages: Vec<Message>);
    /// Tells the called host the identity of the caller's replica, and returns that of its own replica, if it has
    /// one.
    async fn introduce(caller: Introduction) -> Option<Introduction>;
    /// Proposes a command to the replicated log and waits until it is applied.
    async fn submit(command: Command) -> Submitted;
    /// Returns the status of the called host. A host that an operator asks calls this on the other hosts.
    async fn describe() -> Description;
    /// Waits until the configuration is newer than `version` or a timeout has passed. Returns `None` if the called
    /// host has no replica.
    async fn follow(version: u64) -> Option<Notification>;
}
