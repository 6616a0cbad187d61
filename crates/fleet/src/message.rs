//! What hosts say to each other.
//!
//! [`Packet`]s go by UDP: any of them may be lost, repeated or overtaken, and the next one says all that matters. [`Core`]
//! is called over TCP for what is large or needs an answer.

use std::sync::Arc;

use primrose_base::name::Name;
use primrose_consensus::membership::{Id, Member};
use primrose_consensus::message::Message;
use primrose_place::demand::{Demand, Key};
use primrose_place::placer::{Decision, Outcome};
use primrose_route::Document;
use serde::{Deserialize, Serialize};

use crate::directory::{Directory, Freshness};

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// An entry host makes itself known to a core host, which answers with a [`Welcome`].
    Hello,
    /// A core host answers, or tells that something changed.
    Welcome(Welcome),
    /// An entry host asks for a server.
    Ask(Demand),
    /// The answer to `Ask`.
    Answer {
        /// The request.
        key: Key,
        /// Its server, or why it has none.
        decision: Decision,
    },
    /// What became of requests.
    Notes(Vec<Note>),
    /// A core host tells the others what it knows.
    Beat(Beat),
    /// Messages of the log.
    Step {
        /// The core host of the sender.
        sender: Name,
        /// The messages.
        messages: Vec<Message>,
    },
}

/// What a core host tells an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The core host.
    pub host: Name,
    /// Identifies this life of its process: a new one knows nothing of what was booked.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// All core hosts that it knows.
    pub cores: Vec<Name>,
    /// The host that leads the log, if known.
    pub leader: Option<Name>,
    /// The term of the log.
    pub term: u64,
    /// The version of the newest document that it may show; 0 for none.
    pub version: u64,
    /// Its directory; `None` before the first one.
    pub directory: Option<Freshness>,
    /// Entry hosts that it has heard from lately, for sharing the retry budget.
    pub entries: u32,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Note {
    /// It was sent to a server.
    Booked {
        /// The request.
        demand: Demand,
        /// Id of the server.
        server: Arc<str>,
    },
    /// The first event of its answer has arrived.
    First(Key),
    /// It has ended.
    End {
        /// The request.
        key: Key,
        /// How.
        outcome: Outcome,
    },
}

/// What a core host tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub host: Name,
    /// All core hosts that it knows.
    pub cores: Vec<Name>,
    /// Its directory; `None` before the first one.
    pub directory: Option<Freshness>,
}

/// A replica of the log introduces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The host that it lives on.
    pub host: Name,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its id.
    pub replica: Id,
    /// Whether its disk holds nothing yet.
    pub is_empty: bool,
    /// Whether the whole system starts for the first time, so that a fleet may be founded.
    pub is_first_start: bool,
}

/// The answer to an [`Introduction`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquaintance {
    /// The replica that answers.
    pub introduction: Introduction,
    /// The members of the log, as far as it knows.
    pub members: Vec<Member>,
    /// Whether the members are those in force, because the answer comes from the leader within its lease.
    pub is_current: bool,
    /// Whether the replica that introduced itself was removed for good.
    pub is_retired: bool,
}

/// The calls of a core host.
#[tarpc::service]
pub trait Core {
    /// Messages of the log that do not fit a datagram.
    async fn step(sender: Name, messages: Vec<Message>);
    /// A replica introduces itself; an empty one asks to be added.
    async fn introduce(caller: Introduction) -> Acquaintance;
    /// The newest document if its version is greater than `version`.
    async fn document(version: u64) -> Option<Arc<Document>>;
    /// The directory.
    async fn directory() -> Option<(Arc<Directory>, Freshness)>;
}
