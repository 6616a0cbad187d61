//! Entries, positions, hard state and snapshots.

use std::mem;

use serde::{Deserialize, Serialize};

use crate::membership::{Id, Membership};

/// The term and index of a log entry. Two logs that both contain an entry at the same position are identical up to
/// it.
///
/// The term is compared first, so of two logs the one with the greater last position is more up to date.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Position {
    /// The term of the leader that appended the entry; 0 before the first entry.
    pub term: u64,
    /// The index of the entry, counted from 1; 0 before the first entry.
    pub index: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The term and index of the entry.
    pub position: Position,
    /// The content.
    pub payload: Payload,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing. A new leader appends such an entry, because it can commit earlier entries only together with an entry
    /// of its own term.
    Empty,
    /// A command for the caller's state machine, opaque to this crate.
    Data(Vec<u8>),
    /// The membership from this entry on. It takes effect as soon as the entry is in the log, committed or not.
    Members(Membership),
}

impl Entry {
    /// The approximate size in memory and in messages, in bytes. The limits of [`crate::node::Options`] apply to it.
    pub fn bytes(&self) -> usize {
        let payload = match &self.payload {
            Payload::Empty => 0,
            Payload::Data(data) => data.len(),
            Payload::Members(membership) => {
                membership.members().len() * 64 + membership.retired().len() * 8
            }
        };
        mem::size_of::<Entry>() + payload
    }
}

/// The hard state of Raft: what a replica must persist besides its entries and its snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hard {
    /// The highest term that the replica has seen. Never decreases.
    pub term: u64,
    /// The candidate that received this replica's vote in `term`, if any.
    pub voted_for: Option<Id>,
    /// An index up to which entries are known to be committed. On the disk it may be too low: a change of this field
    /// alone is written without fsync, because a restarted replica learns the commit index from the leader.
    pub commit: u64,
}

/// The state of the caller's state machine after the entry at `position`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The last entry that the snapshot covers.
    pub position: Position,
    /// The membership in force at `position`.
    pub membership: Membership,
    /// The encoded state of the caller's state machine, opaque to this crate.
    pub data: Vec<u8>,
}
