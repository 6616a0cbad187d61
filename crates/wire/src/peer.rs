//! What daemons say to each other.
//!
//! [`Packet`]s are small, may be lost, repeated or overtaken, and go by UDP; the state machines behind them synchronise
//! state, so the newest packet says all. [`Peer`] is called over TCP where an answer, an order or size matters: the
//! replicated log, submissions to it and the configuration.

use primrose_base::id;
use primrose_base::name::Name;
use primrose_consensus::membership::Id;
use primrose_consensus::message::Message;
use primrose_member::message::Datagram;
use primrose_member::ownership::{self, Release};
use primrose_schedule::message::{Answer, Report};
use primrose_state::{Command, Reply, Update};
use serde::{Deserialize, Serialize};

/// A message that may be lost, repeated or overtaken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// Membership.
    Member(Datagram),
    /// From a host to an owner.
    Report(Report),
    /// From an owner to a host.
    Answer {
        /// The owner.
        from: id::Host,
        /// The answer.
        answer: Answer,
    },
    /// The receiver of a report is not the owner of its failure domain.
    Redirect {
        /// The sender.
        from: id::Host,
        /// The owner that the sender supports.
        owner: Option<id::Host>,
    },
    /// Asks the hosts of a failure domain to support the sender as owner.
    SupportRequest(ownership::Request),
    /// Answers a `SupportRequest`.
    SupportAnswer {
        /// The supporter.
        from: id::Host,
        /// Its answer.
        answer: ownership::Answer,
    },
    /// Tells the supporters of an owner that it has resigned.
    SupportRelease(Release),
    /// Messages of the replicated log without entries: heartbeats, votes and answers.
    Step {
        /// The host of the sending replica.
        sender: Name,
        /// The messages.
        messages: Vec<Message>,
    },
    /// How engines served this host's requests since the last of these packets.
    Pace {
        /// The sender.
        from: id::Host,
        /// One entry per server, sorted by server.
        servers: Vec<Pace>,
    },
}

/// Token times of one server, as one host saw them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The server.
    pub server: id::Server,
    /// Requests whose first token came.
    pub first_tokens: u32,
    /// Of them, later than the target.
    pub late_first_tokens: u32,
    /// Gaps between tokens.
    pub gaps: u32,
    /// Of them, longer than the target.
    pub late_gaps: u32,
    /// Requests that could not be started because the server did not answer.
    pub failures: u32,
}

/// A replica that introduces itself before the fleet is formed or when its disk is new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The host that the replica lives on.
    pub host: Name,
    /// The replica.
    pub replica: Id,
    /// Whether its folder holds nothing: no vote, no entry.
    pub is_empty: bool,
}

/// The result of a submission to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Submitted {
    /// Committed and applied, with the reply of the state machine.
    Applied(Reply),
    /// Not accepted here; nothing was appended. `leader` may know more.
    NotLeader {
        /// The host of the leader, if known.
        leader: Option<Name>,
    },
    /// Appended here, but the outcome is not known: the leader stepped down or the wait was too long.
    Unknown,
}

/// The configuration for a host that is not a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The leader of the log, if the answering voter knows one.
    pub leader: Option<Name>,
    /// How to reach the current configuration, if it is newer than the one that the caller has.
    pub update: Option<Update>,
}

/// What a host tells about itself when an operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Description {
    /// The version of the configuration in force.
    pub version: u64,
    /// The term of the log, if the host keeps a replica.
    pub term: Option<u64>,
    /// Whether it takes requests.
    pub ready: bool,
}

/// Calls between daemons.
#[tarpc::service]
pub trait Peer {
    /// Delivers a packet that is too long for a datagram.
    async fn deliver(packet: Packet);
    /// Delivers messages of the replicated log from the replica on host `sender`.
    async fn step(sender: Name, messages: Vec<Message>);
    /// Introduces the caller's replica and returns the own one, if this host keeps one.
    async fn introduce(caller: Introduction) -> Option<Introduction>;
    /// Proposes a command and waits until it is applied.
    async fn submit(command: Command) -> Submitted;
    /// Tells what this host is, for an operator's question to another host.
    async fn describe() -> Description;
    /// Waits until the configuration is newer than `version` or a time has passed.
    async fn follow(version: u64) -> Option<News>;
}
