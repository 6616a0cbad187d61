//! Messages between replicas.
//!
//! Any message may be lost, repeated, delayed or overtaken.

use primrose_base::clock::Time;
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Position};
use crate::membership::{Id, Membership};

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// The sender.
    pub from: Id,
    /// The receiver. A message to an earlier replica id of the same host is dropped.
    pub to: Id,
    /// The term of the sender; in a pre-vote and in the reply that grants it, the term that the candidate would start.
    pub term: u64,
    /// The content.
    pub body: Body,
}

/// When the leader sent a message. Followers return it unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// Counts heartbeat rounds and read barriers within a term.
    pub round: u64,
    /// The leader's own clock; has no meaning to anybody else.
    pub sent: Time,
}

/// The content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A candidate asks for a vote.
    Vote {
        /// The last entry of the candidate.
        last: Position,
        /// Whether this only asks what the answer would be, without starting a term.
        pre: bool,
        /// Whether the leader has stepped down in favour of the candidate, so that its lease need not be respected.
        transfer: bool,
    },
    /// The answer to `Vote`.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
        /// Whether this answers a pre-vote.
        pre: bool,
    },
    /// The leader sends entries, or none as a heartbeat.
    Append {
        /// When it was sent.
        stamp: Stamp,
        /// The entry before `entries`.
        previous: Position,
        /// Consecutive entries that follow `previous`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
    },
    /// The answer to `Append` and to the last chunk of a snapshot.
    AppendReply {
        /// Copied from the request.
        stamp: Stamp,
        /// Whether the entries were appended.
        outcome: Outcome,
    },
    /// A part of a snapshot.
    Chunk {
        /// When it was sent.
        stamp: Stamp,
        /// The last entry that the snapshot covers.
        position: Position,
        /// The membership at that entry.
        membership: Membership,
        /// The size of the whole snapshot in bytes.
        total: u64,
        /// Where `data` starts.
        offset: u64,
        /// The bytes; none if this only asks how much has arrived.
        data: Vec<u8>,
    },
    /// The answer to `Chunk` while the snapshot is incomplete.
    ChunkReply {
        /// Copied from the request.
        stamp: Stamp,
        /// Copied from the request.
        position: Position,
        /// How many bytes have arrived without a gap.
        received: u64,
    },
    /// The leader has stepped down and asks the receiver to start an election at once.
    Transfer,
}

/// The result of an `Append`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The follower holds the leader's log up to and including this index, on its disk.
    Matched(u64),
    /// The follower does not hold `previous`.
    Mismatch {
        /// The index of the `previous` that was refused.
        previous: u64,
        /// The follower's last entry at or before `previous` whose term is at most that of `previous`: the logs can
        /// agree at most up to there, so a whole term is skipped per round trip.
        hint: Position,
    },
    /// The sender's term is over; the term of this message is higher.
    Stale,
}
