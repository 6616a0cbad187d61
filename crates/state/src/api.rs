//! JSON replies of the operators' HTTP interface, for the daemon that writes them and the library that reads them.
//!
//! A reader ignores fields that it does not know, so that the tool and the daemons can be upgraded one after the other.

use primrose_base::name::Name;
use primrose_config::Refusal;
use serde::{Deserialize, Serialize};

use crate::command::ChangeReply;

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
            Submission::Refused(refused) => match refused.code.as_str() {
                INVALID_TEXT => 400,
                UNAVAILABLE => 503,
                _ => 409,
            },
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
