//! The commands in the log, and the replies of the state machine.

use primrose_base::id;
use primrose_config::{Change, Refusal};
use serde::{Deserialize, Serialize};

use crate::claim;
use crate::order;

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Change(Change),
    /// Claims an idempotency key for a request that must not run twice.
    Claim(claim::Claim),
    /// Completes or releases a claim.
    Settle(claim::Settle),
    /// Records an order to an engine. It is sent once this command is applied.
    Order(order::Spec),
    /// Records how an order ended.
    OrderDone(order::Completion),
    /// Replaces the recorded voters and learners of the log.
    Members(Members),
}

/// The answer of the state machine to a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`Command::Change`].
    Change(ChangeReply),
    /// Reply to [`Command::Claim`].
    Claim(claim::Reply),
    /// Reply to [`Command::Settle`]. False if the attempt does not hold the claim, or has settled it with the other
    /// outcome.
    Settle(bool),
    /// Reply to [`Command::Order`]: the number of the order.
    Order(Result<u64, order::Refusal>),
    /// Reply to [`Command::OrderDone`]. False if no order with this number is pending.
    OrderDone(bool),
    /// Reply to [`Command::Members`].
    Members,
}

/// The reply to a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeReply {
    /// The change is in force.
    Accepted {
        /// The version of the configuration with the change.
        version: u64,
    },
    /// No part of the change is in force.
    Refused {
        /// The reason and the action that it concerns.
        refusal: Refusal,
        /// The version that was current when the change was refused.
        version: u64,
    },
}

/// A replica of the log on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The host that keeps the replica.
    pub host: id::Host,
    /// Distinguishes the replica from earlier ones of the same host, whose data was lost.
    pub replica: u64,
}

/// The replicas of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that vote and count towards a majority.
    pub voters: Vec<Member>,
    /// Replicas that receive the log but do not vote, until they are up to date.
    pub learners: Vec<Member>,
}
