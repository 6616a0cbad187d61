//! What the log carries, and what the state machine answers.

use primrose_base::id;
use primrose_config::{Change, Refusal};
use serde::{Deserialize, Serialize};

use crate::claim;
use crate::order;

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Change(Change),
    /// Claims an idempotency key for a request that must not run twice.
    Claim(claim::Claim),
    /// Says how the request of a claim ended.
    Settle(claim::Settle),
    /// Records an order to an engine, before it is sent.
    Order(order::Spec),
    /// Says how an order ended.
    OrderDone(order::Completion),
    /// Replaces the voters and learners.
    Members(Members),
}

/// The answer of the state machine to a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Command::Change`].
    Change(ChangeReply),
    /// To [`Command::Claim`].
    Claim(claim::Reply),
    /// To [`Command::Settle`]. False if the attempt does not hold the claim, or settled it otherwise before.
    Settle(bool),
    /// To [`Command::Order`].
    Order(Result<u64, order::Refusal>),
    /// To [`Command::OrderDone`]. False if no such order is pending.
    OrderDone(bool),
    /// To [`Command::Members`].
    Members,
}

/// What became of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeReply {
    /// It is in force.
    Accepted {
        /// The version that it made.
        version: u64,
    },
    /// Nothing of it is in force.
    Refused {
        /// The reason.
        refusal: Refusal,
        /// The version that was current when the change was refused.
        version: u64,
    },
}

/// A replica of the log on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The host.
    pub host: id::Host,
    /// Distinguishes the replica from earlier ones of the host, whose disk was lost.
    pub replica: u64,
}

/// The replicas of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that count in majorities.
    pub voters: Vec<Member>,
    /// Replicas that are being brought up to date.
    pub learners: Vec<Member>,
}
