//! JSON replies of the operators' HTTP interface, for the daemon that writes them and the library that reads them.
//!
//! A reader ignores fields that it does not know, so that the tool and the daemons can be upgraded one after the other.

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
        /// The version that it made.
        version: u64,
    },
    /// Nothing of the change is in force.
    Refused(Refused),
    /// The change may be accepted or not. Submitting the same text again, with the same change id, tells.
    Unknown {
        /// Why nothing is known.
        message: String,
    },
}

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// One of [`primrose_config::Code`], or one of the constants of this module.
    pub code: String,
    /// The reason, for people.
    pub message: String,
    /// Index of the refused action, from 0.
    pub action: Option<u32>,
    /// The key of the refused field in the text.
    pub field: Option<String>,
    /// The version that was current, if the daemon knows it.
    pub version: Option<u64>,
}

/// Code of [`Refused`]: the text is not a change.
pub const INVALID_TEXT: &str = "invalid_text";

/// Code of [`Refused`]: there is no leader with a majority, and the change was not proposed.
pub const UNAVAILABLE: &str = "unavailable";

impl Submission {
    /// The status code of the HTTP response.
    pub fn http_status(&self) -> u16 {
        match self {
            Submission::Accepted { .. } => 200,
            Submission::Refused(refused) => refused.http_status(),
            Submission::Unknown { .. } => 504,
        }
    }

    /// A refusal that did not go through the log.
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
    /// Chosen by the operator. An order that is submitted again with the same id is not recorded a second time.
    pub id: Name,
    /// The name of the backend server.
    pub server: Name,
    /// What it is to do.
    pub work: order::Work,
}

/// The reply to `POST /operator/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OrderSubmission {
    /// The order is recorded and will be sent until the server answers.
    Recorded {
        /// The number of the order.
        number: u64,
    },
    /// The order is not recorded.
    Refused(Refused),
    /// The order may be recorded or not. Submitting it again, with the same id, tells.
    Unknown {
        /// Why nothing is known.
        message: String,
    },
}

impl OrderSubmission {
    /// The reply for the outcome of [`crate::Command::Order`].
    pub fn of(outcome: Result<u64, order::Refusal>) -> OrderSubmission {
        match outcome {
            Ok(number) => OrderSubmission::Recorded { number },
            Err(refusal) => OrderSubmission::refused(refusal.code(), refusal.to_string()),
        }
    }

    /// A refusal, for example of a server name that the configuration does not have.
    pub fn refused(code: &str, message: impl Into<String>) -> OrderSubmission {
        OrderSubmission::Refused(Refused {
            code: code.to_owned(),
            message: message.into(),
            action: None,
            field: None,
            version: None,
        })
    }

    /// The status code of the HTTP response.
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
    /// Ascending in the order of the log.
    pub number: u64,
    /// The id that the operator chose.
    pub id: Name,
    /// The backend server, or none if the configuration does not have it any more.
    pub server: Option<Name>,
    /// What it is to do.
    pub work: order::Work,
    /// What became of it.
    pub state: order::State,
}

/// The reply to `GET /operator/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The host that answers; it is a voter.
    pub host: Name,
    /// Ascending by number.
    pub orders: Vec<Order>,
}

/// What a host does for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Leads the log.
    Leader,
    /// Keeps a replica that counts.
    Voter,
    /// Keeps a replica that is brought up to date.
    Learner,
    /// Follows the log without a replica.
    Follower,
}

/// A host as the answering daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the host.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Whether the answering daemon reaches it.
    pub reachable: bool,
    /// The version of the configuration in force there, if known.
    pub version: Option<u64>,
    /// The start time of its daemon in milliseconds of wall-clock time, if known.
    pub incarnation: Option<u64>,
    /// What it does for the log.
    pub role: Role,
    /// Whether it takes requests.
    pub ready: bool,
}

/// The reply to `GET /operator/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host that answers.
    pub host: Name,
    /// The version in force on it.
    pub version: u64,
    /// The host that leads the log, if there is one.
    pub leader: Option<Name>,
    /// The term of the log.
    pub term: u64,
    /// Voters that the answering daemon reaches, including itself.
    pub reachable_voters: u32,
    /// Voters in all.
    pub voters: u32,
    /// All hosts of the configuration that are not retired.
    pub hosts: Vec<Host>,
}

/// An account in one pool, across the fleet as far as the answering daemon knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The name of the account.
    pub account: Name,
    /// The name of the pool.
    pub pool: Name,
    /// The weight of the account.
    pub share: u32,
    /// Requests that wait.
    pub waiting: u64,
    /// Requests on backend servers.
    pub in_flight: u64,
    /// Sum of the charges, in weighted tokens.
    pub service: u64,
    /// Normalised service, in weighted tokens per share.
    pub v: u64,
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
    /// The name, such as `refused.draining`.
    pub name: String,
    /// The value since the daemon started.
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

/// An error reply of the operators' interface, in the form that all errors of the daemon have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// The error.
    pub error: ErrorBody,
}

/// The content of an [`ErrorReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The reason, for programs.
    pub code: String,
    /// The reason, for people.
    pub message: String,
}
