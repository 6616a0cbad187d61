//! Messages between hosts.
//!
//! [`Packet`]s are sent over UDP: any of them may be lost, repeated or reordered, and the next one contains what
//! matters. [`Core`] is called over TCP for data that is large or for calls that need an answer.

use std::sync::Arc;

use primrose_base::clock::Time;
use primrose_base::name::Name;
use primrose_consensus::membership::{Id, Member};
use primrose_consensus::message::Message;
use primrose_place::crossing::Share;
use primrose_place::demand::{Demand, Key};
use primrose_place::drained;
use primrose_place::placer::{Decision, Outcome};
use primrose_place::quarantine::list::{Record, Summary};
use primrose_place::speed::Figures;
use primrose_route::Document;
use primrose_wire::datagram::MAX_DATAGRAM_BYTES;
use serde::{Deserialize, Serialize};

use crate::directory::{Directory, Freshness};

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// An entry host announces itself to a core host, which answers with a [`Status`].
    Hello {
        /// Marks this message.
        stamp: Stamp,
        /// What the entry host knows of quarantined prompt parts, as much as fits; nothing if the latest status of the core
        /// host showed that it knows the same.
        quarantine: Record,
        /// Capacity of the entry host, in the unit of its fleet; at least 1.
        capacity: u32,
    },
    /// The answer of a core host to `Hello`, also sent when the directory, the document or the drained domains
    /// change.
    Status(Status),
    /// An entry host asks to which server a request is to be sent.
    Place(Demand),
    /// The answer to `Place`.
    Decision {
        /// Identifies the request.
        key: Key,
        /// The assigned server, or why the request is refused.
        decision: Decision,
    },
    /// Updates on requests that were assigned to servers.
    Updates(Vec<Update>),
    /// Sent periodically by each core host to all others.
    Heartbeat(Heartbeat),
    /// Messages of the replicated log.
    Log {
        /// The core host that sends the messages.
        sender: Name,
        /// Messages to the receiving host's replica.
        messages: Vec<Message>,
    },
}

/// Marks a message, so that the receiver can say which message of the sender it received last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Identifies the incarnation of the sender's process, whose clock `sent` is a time of.
    pub incarnation: u64,
    /// When the message was sent, on the sender's clock.
    pub sent: Time,
}

impl Stamp {
    /// The stamp of a message that is sent now by the given incarnation of this process.
    pub fn now(incarnation: u64) -> Stamp {
        Stamp {
            incarnation,
            sent: Time::now(),
        }
    }

    /// When the message was sent, if it is one of the given incarnation of this process.
    pub fn sent_by(self, incarnation: u64) -> Option<Time> {
        (self.incarnation == incarnation).then_some(self.sent)
    }
}

/// The state of a core host as sent to entry hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The core host that sends the status.
    pub host: Name,
    /// Identifies the incarnation of its process. A new incarnation does not know the current assignments.
    pub incarnation: u64,
    /// Name of the host's failure domain.
    pub domain: Arc<str>,
    /// All other core hosts that the sender knows.
    pub core_hosts: Vec<Name>,
    /// The host whose replica leads the log, if known.
    pub leader: Option<Name>,
    /// The sender's current term of the log.
    pub term: u64,
    /// Version of the newest document that the sender may distribute; 0 if there is none.
    pub version: u64,
    /// Which directory the sender has, or `None` before the first one.
    pub directory: Option<Freshness>,
    /// The latest `Hello` from the receiver. `directory` was stated later.
    pub answers: Stamp,
    /// Number of entry hosts that the sender has heard from recently. They share the retry budget.
    pub entry_hosts: u32,
    /// Smallest capacity of these entry hosts; 0 if there are none.
    pub smallest_capacity: u32,
    /// Largest capacity of these entry hosts; 0 if there are none.
    pub largest_capacity: u32,
    /// The prompt parts that are quarantined.
    pub quarantine: Summary,
    /// The shares of requests that may leave their failure domain while entry hosts decide alone. Empty unless the sender
    /// places requests at present; at most [`primrose_place::crossing::MAX_WAYS`].
    pub crossing: Vec<Share>,
    /// The learnt figures of pools, for entry hosts that decide alone. Empty unless the sender places requests at present;
    /// at most [`primrose_place::speed::MAX_FIGURES_BYTES`] long.
    pub figures: Vec<Figures>,
    /// The newest set of drained failure domains that the sender knows.
    pub drained: drained::Set,
}

/// An update on a request that was assigned to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The request is being sent to a server.
    Assigned {
        /// The request as it was placed.
        demand: Demand,
        /// Id of the assigned server.
        server: Arc<str>,
    },
    /// The first event of the answer has arrived.
    FirstEvent(Key),
    /// The request has ended.
    End {
        /// Identifies the request.
        key: Key,
        /// How the request ended.
        outcome: Outcome,
    },
    /// The server with this id has ended: a connection to it broke, and it no longer listens.
    Crashed(Arc<str>),
    /// A connection to the server with this id broke, or the server was silent for too long. It may restart, and be cold
    /// then. Reported only for pools with a warm-up.
    Broken(Arc<str>),
}

/// Whether a datagram has room for [`Packet::Place`] with this demand, and for [`Update::Assigned`] with it and a server of
/// any id.
pub fn fits_into_datagram(demand: &Demand) -> bool {
    /// All fields of a fixed length, the tag, and the longest id of a server.
    const OTHER_BYTES: usize = 450;
    let text = |text: &str| text.len() + 2;
    let names = [
        Some(&demand.pool),
        demand.account.as_ref(),
        Some(&demand.domain),
    ];
    let names: usize = names.iter().flatten().map(|name| text(name)).sum();
    let tried: usize = demand.tried.iter().map(|server| text(server)).sum();
    let parts = demand.prompt.iter().flat_map(|prompt| &prompt.parts);
    let parts: usize = parts
        .map(|part| number_bytes(part.id) + number_bytes(part.tokens.into()))
        .sum();
    OTHER_BYTES + names + tried + parts <= MAX_DATAGRAM_BYTES
}

/// Encoded length of a number in bytes: 7 bits in each.
fn number_bytes(number: u64) -> usize {
    let bits = u64::BITS - number.leading_zeros();
    bits.div_ceil(7).max(1) as usize
}

/// The state of a core host as sent to the other core hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The core host that sends the heartbeat.
    pub host: Name,
    /// All other core hosts that the sender knows.
    pub core_hosts: Vec<Name>,
    /// Which directory the sender has, or `None` before the first one.
    pub directory: Option<Freshness>,
    /// Marks this heartbeat.
    pub stamp: Stamp,
    /// The latest heartbeat from the receiver, or `None` before the first one. `directory` was stated later.
    pub answers: Option<Stamp>,
    /// The prompt parts that are quarantined.
    pub quarantine: Summary,
    /// The learnt figures of pools, for core hosts that may take over. Empty unless the sender places requests at present;
    /// at most [`primrose_place::speed::MAX_FIGURES_BYTES`] long.
    pub figures: Vec<Figures>,
    /// The newest set of drained failure domains that the sender knows.
    pub drained: drained::Set,
}

/// Describes a replica of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The host of the replica.
    pub host: Name,
    /// Name of the host's failure domain.
    pub domain: Arc<str>,
    /// Id of the replica. A replica with an emptied disk gets another id.
    pub replica: Id,
    /// Whether the replica has no log entries and no term on its disk.
    pub is_empty: bool,
    /// Whether the whole system starts for the first time, so that a fleet may be formed.
    pub is_first_start: bool,
    /// Whether the host shuts down, so that another one is to take its place as a voter.
    pub is_leaving: bool,
}

/// The answer of a replica to an [`Introduction`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// Describes the replica that answers.
    pub introduction: Introduction,
    /// The members of the log that the answering replica knows.
    pub members: Vec<Member>,
    /// Whether the introduced replica was permanently removed from the log. The removal is committed.
    pub is_retired: bool,
}

/// The calls that a core host serves.
#[tarpc::service]
pub trait Core {
    /// Delivers messages of the log that do not fit into a datagram.
    async fn deliver(sender: Name, messages: Vec<Message>);
    /// Introduces the replica of the caller. An empty replica thereby asks to be added to the log.
    async fn introduce(caller: Introduction) -> Acknowledgement;
    /// Returns the newest document if its version is greater than `version`.
    async fn document(version: u64) -> Option<Arc<Document>>;
    /// Returns the directory and its age, or `None` before the first one.
    async fn directory() -> Option<(Arc<Directory>, Freshness)>;
    /// [`Packet::Place`] for a demand that does not fit into a datagram.
    async fn place(demand: Demand) -> Option<Decision>;
    /// [`Packet::Updates`] for updates that do not fit into a datagram.
    async fn update(updates: Vec<Update>);
    /// Tells all that the caller knows of quarantined prompt parts. Returns what the callee knows then.
    async fn exchange_quarantine(record: Record) -> Record;
}
