//! JSON bodies of the operator API, shared by the daemon and the client library.
//!
//! Unknown fields in a reply are ignored, so that the command-line tool and the daemons can be upgraded one after the
//! other.

use primrose_base::name::Name;
use primrose_config::Refusal;
use serde::{Deserialize, Serialize};

use crate::command::ChangeReply;
use crate::order;

/// The reply to `POST /operator/changes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Submission {
    /// The change is in force on the voters and reaches the other hosts within seconds.
    Accepted {
        /// The version of the configuration with the change.
        version: u64,
    },
    /// No part of the change is in force.
    Refused(Refused),
    /// The change may have been accepted or not. To find out, submit the same text again with the same change id.
    Unknown {
        /// Human-readable reason why the outcome is unknown.
        message: String,
    },
}

/// Why a change or an order is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// A [`primrose_config::Code`], the code of an [`order::Refusal`], or [`INVALID_TEXT`] or [`UNAVAILABLE`].
    pub code: String,
    /// Human-readable reason.
    pub message: String,
    /// Index of the refused action of a change, from 0; none if the refusal does not concern one action.
    pub action: Option<u32>,
    /// Key of the refused field in the YAML text, if the refusal concerns one field.
    pub field: Option<String>,
    /// Version of the configuration when a change was refused, if the daemon knows it.
    pub version: Option<u64>,
}

/// Code of a [`Refused`] with status 400: the body is not a valid change or order, or an order is for a server name
/// that the configuration does not have.
pub const INVALID_TEXT: &str = "invalid_text";

/// Code of a [`Refused`] with status 503: no leader with a majority was found, and nothing was proposed.
pub const UNAVAILABLE: &str = "unavailable";

impl Submission {
    /// The status code of the HTTP response that has this body.
    pub fn http_status(&self) -> u16 {
        match self {
            Submission::Accepted { .. } => 200,
            Submission::Refused(refused) => refused.http_status(),
            Submission::Unknown { .. } => 504,
        }
    }

    /// A refusal of a change that was not proposed to the log.
    pub fn refused(code: &str, message: impl Into<String>, version: Option<u64>) -> Submission {
        Submission::Refused(Refused {
            code: code.to_owned(),
            message: message.into(),
            action: None,
            field: None,
            version,
        })
    }
}

impl From<ChangeReply> for Submission {
    fn from(reply: ChangeReply) -> Submission {
        match reply {
            ChangeReply::Accepted { version } => Submission::Accepted { version },
            ChangeReply::Refused { refusal, version } => {
                Submission::Refused(Refused::new(refusal, version))
            }
        }
    }
}

impl Refused {
    fn http_status(&self) -> u16 {
        match self.code.as_str() {
            INVALID_TEXT => 400,
            UNAVAILABLE => 503,
            _ => 409,
        }
    }

    fn new(refusal: Refusal, version: u64) -> Refused {
        Refused {
            code: refusal.code.as_str().to_owned(),
            message: refusal.message,
            action: refusal.action,
            field: refusal.field,
            version: Some(version),
        }
    }
}

/// The body of `POST /operator/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Idempotency key, chosen by the operator. An order that is submitted again with the same id is not recorded
    /// again.
    pub id: Name,
    /// Name of the backend server whose engine carries the order out.
    pub server: Name,
    /// The operation to carry out.
    pub work: order::Work,
}

/// The reply to `POST /operator/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OrderSubmission {
    /// The order is recorded and will be sent until the server answers or is no longer active.
    Recorded {
        /// Number of the order.
        number: u64,
    },
    /// The order is not recorded.
    Refused(Refused),
    /// The order may have been recorded or not. To find out, submit it again with the same id.
    Unknown {
        /// Human-readable reason why the outcome is unknown.
        message: String,
    },
}

impl OrderSubmission {
    /// Converts the reply to a [`crate::Command::Order`].
    pub fn of(outcome: Result<u64, order::Refusal>) -> OrderSubmission {
        match outcome {
            Ok(number) => OrderSubmission::Recorded { number },
            Err(refusal) => OrderSubmission::refused(refusal.code(), refusal.to_string()),
        }
    }

    /// A refusal, for example because the configuration has no server with the name.
    pub fn refused(code: &str, message: impl Into<String>) -> OrderSubmission {
        OrderSubmission::Refused(Refused {
            code: code.to_owned(),
            message: message.into(),
            action: None,
            field: None,
            version: None,
        })
    }

    /// The status code of the HTTP response that has this body.
    pub fn http_status(&self) -> u16 {
        match self {
            OrderSubmission::Recorded { .. } => 200,
            OrderSubmission::Refused(refused) => refused.http_status(),
            OrderSubmission::Unknown { .. } => 504,
        }
    }
}

/// A recorded order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Position in the sequence of all orders, from 1.
    pub number: u64,
    /// Idempotency key that the operator chose.
    pub id: Name,
    /// Name of the backend server; none if the configuration no longer contains it.
    pub server: Option<Name>,
    /// The operation to carry out.
    pub work: order::Work,
    /// Whether the order is pending or how it ended.
    pub state: order::State,
}

/// The reply to `GET /operator/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The host that answers, which is a voter.
    pub host: Name,
    /// The pending orders and the last finished ones, ascending by number.
    pub orders: Vec<Order>,
}

/// The role of a host in the replication of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Voter that leads the log.
    Leader,
    /// Keeps a replica that votes and counts towards a majority.
    Voter,
    /// Keeps a replica that receives the log but does not vote, until it is up to date.
    Learner,
    /// Keeps no replica and fetches the configuration from the voters.
    Follower,
}

/// A host, according to the answering daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: Name,
    /// Failure domain of the host.
    pub domain: Name,
    /// Whether the answering daemon considers the host reachable.
    pub reachable: bool,
    /// Version of the configuration in force on the host, if known.
    pub version: Option<u64>,
    /// Start of the host's daemon, in milliseconds of wall-clock time, if known.
    pub incarnation: Option<u64>,
    /// Role of the host in the replication of the log.
    pub role: Role,
    /// Whether the host accepts requests of callers.
    pub ready: bool,
}

/// The reply to `GET /operator/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host that answers.
    pub host: Name,
    /// Version of the configuration in force on the answering host.
    pub version: u64,
    /// The host that leads the log; none if no leader is known.
    pub leader: Option<Name>,
    /// Current term of the log.
    pub term: u64,
    /// Number of voters that the answering daemon reaches, itself included.
    pub reachable_voters: u32,
    /// Number of voters.
    pub voters: u32,
    /// All hosts of the configuration that are not retired.
    pub hosts: Vec<Host>,
}

/// Figures of an account in one pool, for the part of the fleet that the answering daemon knows about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account.
    pub account: Name,
    /// Name of the pool.
    pub pool: Name,
    /// Weight of the account in fair scheduling.
    pub share: u32,
    /// Number of queued requests.
    pub waiting: u64,
    /// Number of requests in flight on backend servers.
    pub in_flight: u64,
    /// Service received: the sum of the charges of the requests, in weighted tokens.
    pub service: u64,
    /// Normalised service by which accounts are scheduled, in weighted tokens per unit of weight.
    #[serde(rename = "v")]
    pub normalised_service: u64,
}

/// The reply to `GET /operator/accounts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accounts {
    /// The host that answers.
    pub host: Name,
    /// Ascending by account and pool.
    pub accounts: Vec<Account>,
}

/// A counter of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counter {
    /// Name, for example `refused.draining`.
    pub name: String,
    /// Count since the daemon started.
    pub value: u64,
}

/// The reply to `GET /operator/counters`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// The host that answers.
    pub host: Name,
    /// Ascending by name.
    pub counters: Vec<Counter>,
}

/// An error reply of the operator API, in the same form as every error reply of the daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Code and message of the error.
    pub error: ErrorBody,
}

/// The content of an [`ErrorReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Machine-readable reason.
    pub code: String,
    /// Human-readable reason.
    pub message: String,
}
