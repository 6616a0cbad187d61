//! Messages between replicas.
//!
//! The protocol tolerates that messages are lost, duplicated, delayed or reordered.

use primrose_base::clock::Time;
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Position};
use crate::membership::{Id, Membership};

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// The replica id of the sender.
    pub from: Id,
    /// The replica id of the receiver. A host drops messages to an earlier replica id of its own.
    pub to: Id,
    /// The term of the sender; in a pre-vote and in the reply that grants it, the term that the candidate would
    /// start.
    pub term: u64,
    /// The content.
    pub body: Body,
}

/// The round and time at which the leader sent a message. Followers return the stamp unchanged in their answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// The number of heartbeat rounds and read barriers of the leader so far in its term.
    pub round: u64,
    /// The time on the leader's clock, which cannot be compared with the clocks of other replicas.
    pub sent: Time,
}

/// The content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A candidate requests a vote or a pre-vote.
    Vote {
        /// The last entry of the candidate.
        last: Position,
        /// Whether this is a pre-vote: it asks how the receiver would vote, without starting a term.
        pre: bool,
        /// Whether the leader has stepped down in favour of the candidate, so that its lease need not be respected.
        transfer: bool,
    },
    /// The answer to [`Body::Vote`].
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
        /// Whether this answers a pre-vote.
        pre: bool,
    },
    /// The leader sends entries. Without entries, the message is a heartbeat or announces a new commit index.
    Append {
        /// The round and time of sending.
        stamp: Stamp,
        /// The position of the entry before `entries`.
        previous: Position,
        /// Consecutive entries that follow `previous`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
    },
    /// The answer to [`Body::Append`] and to the last chunk of a snapshot.
    AppendReply {
        /// The stamp of the message that is answered.
        stamp: Stamp,
        /// Whether the follower now holds the entries or the snapshot.
        outcome: Outcome,
    },
    /// A part of a snapshot.
    Chunk {
        /// The round and time of sending.
        stamp: Stamp,
        /// The last entry that the snapshot covers.
        position: Position,
        /// The membership in force at `position`.
        membership: Membership,
        /// The size of the whole snapshot in bytes.
        total: u64,
        /// The offset of `data` in the snapshot, in bytes.
        offset: u64,
        /// The bytes of the chunk. Empty if the message only asks how much has arrived.
        data: Vec<u8>,
    },
    /// The answer to [`Body::Chunk`] while the snapshot is incomplete.
    ChunkReply {
        /// The stamp of the chunk that is answered.
        stamp: Stamp,
        /// The position of the snapshot to which the chunk belongs.
        position: Position,
        /// The number of bytes received without a gap from the start of the snapshot.
        received: u64,
    },
    /// The leader has stepped down and asks the receiver to start an election immediately, without a pre-vote.
    Transfer,
}

/// The result of [`Body::Append`] or of the last chunk of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The follower holds the leader's log up to and including this index on its disk.
    Matched(u64),
    /// The follower does not hold the entry at `previous`, so it appended nothing.
    Mismatch {
        /// The index of the `previous` that the follower does not hold.
        previous: u64,
        /// The follower's last entry at or before `previous` whose term is at most that of `previous`. The two logs
        /// cannot agree on any later entry, so the leader skips the entries of at least one term per round trip.
        hint: Position,
    },
    /// The term of the request is over. The reply has a higher term.
    Stale,
}
